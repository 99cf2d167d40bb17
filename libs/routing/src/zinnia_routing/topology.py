"""What a planner knows about services, shard maps, owners, replicas and data centres."""

from abc import ABC, abstractmethod

from zinnia_model.configuration import ServiceConfig
from zinnia_model.ids import DataCentreId, ReplicaId, ServiceId, VersionId, VmId
from zinnia_model.shardmaps import ShardMap
from zinnia_model.subrequests import ReplicaView


class Topology(ABC):
    """Read access to the current state; all methods answer from memory."""

    @abstractmethod
    def service(self, service: ServiceId) -> ServiceConfig | None:
        """Return the configuration of a service, None if it is unknown."""

    @abstractmethod
    def shard_map(self, service: ServiceId) -> ShardMap | None:
        """Return the newest known shard map of a service."""

    @abstractmethod
    def owner(self, replica: ReplicaId) -> VmId | None:
        """Return the VM that sends to a replica, None while no VM may."""

    @abstractmethod
    def view(self, replica: ReplicaId) -> ReplicaView | None:
        """Return the last report of the owner of a replica, None before the first one."""

    @abstractmethod
    def data_centre_weight(self, data_centre: DataCentreId, now: float) -> float:
        """Return 0 for a data centre that is out, rising to 1 after its return."""

    @abstractmethod
    def shares(self, service: ServiceId, now: float) -> dict[VersionId, float]:
        """Return the effective share of each version after vetoes and named hours; sums to 1."""

    def base_version(self, service: ServiceId, now: float) -> VersionId | None:
        """Return the version that takes the queries which no bounded version may take.

        By default the version with the largest share, the first listed one on a tie. An
        implementation that knows the moves returns ``from_version`` while a move is ramping, so
        that the new version stays bounded at shares of one half and more.
        """
        shares = self.shares(service, now)
        return max(shares, key=shares.__getitem__) if shares else None
