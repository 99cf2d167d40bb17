"""Interface to the state of services, shard maps, owners, replicas and data centres."""

from abc import ABC, abstractmethod

from zinnia_model.configuration import ServiceConfig
from zinnia_model.ids import DataCentreId, ReplicaId, ServiceId, VersionId, VmId
from zinnia_model.shardmaps import ShardMap
from zinnia_model.subrequests import ReplicaView


class Topology(ABC):
    """Read access to the current state; all methods read from memory and never block."""

    @abstractmethod
    def service(self, service: ServiceId) -> ServiceConfig | None:
        """Return the configuration of a service, None if it is unknown."""

    @abstractmethod
    def shard_map(self, service: ServiceId) -> ShardMap | None:
        """Return the newest known shard map of a service, None if there is none."""

    @abstractmethod
    def owner(self, replica: ReplicaId) -> VmId | None:
        """Return the VM that owns a replica, None while no VM may send to it."""

    @abstractmethod
    def view(self, replica: ReplicaId) -> ReplicaView | None:
        """Return the last report of the owner of a replica, None before the first one."""

    @abstractmethod
    def data_centre_weight(self, data_centre: DataCentreId, now: float) -> float:
        """Return the traffic weight of a data centre: 0 while out, rising to 1 after its return."""

    @abstractmethod
    def shares(self, service: ServiceId, now: float) -> dict[VersionId, float]:
        """Return the share of each version after vetoes and scheduled moves; shares sum to 1."""

    def base_version(self, service: ServiceId, now: float) -> VersionId | None:
        """Return the version that takes the queries that no other version's share allows.

        The default is the version with the largest share, the first listed one on a tie. An
        implementation that knows the version moves returns ``from_version`` while a move is
        ramping, so that the new version stays limited at shares of one half and more.
        """
        shares = self.shares(service, now)
        return max(shares, key=shares.__getitem__) if shares else None
