"""What a VM believes: configuration, replicas, data centres that are out, and releases."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from zinnia_catalog.ids import DataCentreId, ReplicaId, ServiceName
from zinnia_catalog.members import Member, read_member
from zinnia_catalog.objects import Change, ObjectKind, StoredObject
from zinnia_catalog.releases import ReleaseOrder
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import Configuration

# After an outage of the store, living replicas announce themselves again within two seconds.
REANNOUNCE_S = 2.0


class ObjectDecoder(ABC):
    """Turns stored objects into the catalog's types."""

    @abstractmethod
    def decode_configuration(self, item: StoredObject) -> Configuration | None:
        """Return the configuration, or None if the object is not a valid one."""

    @abstractmethod
    def decode_replica(self, item: StoredObject) -> ReplicaEntry | None:
        """Return the replica, or None if the entry names no usable one."""

    @abstractmethod
    def decode_release(self, item: StoredObject) -> ReleaseOrder | None:
        """Return the order, or None if the object is not a valid one."""


class CatalogListener(ABC):
    """Told of what changes in the catalog."""

    @abstractmethod
    def adopt_configuration(self, configuration: Configuration) -> None:
        """Note a newer configuration."""

    @abstractmethod
    def update_replica(self, entry: ReplicaEntry) -> None:
        """Note a replica that is new or says something new of itself."""

    @abstractmethod
    def remove_replica(self, replica: ReplicaId, reason: str) -> None:
        """Note a replica that is gone."""

    @abstractmethod
    def change_data_centre(self, data_centre: DataCentreId, is_out: bool) -> None:
        """Note a data centre that was taken out or returned."""

    @abstractmethod
    def change_release(self, service: ServiceName, order: ReleaseOrder | None) -> None:
        """Note the order of a version move, None once it is withdrawn."""


class Catalog:
    """Applies changes of stored objects to what the VM believes.

    Parameters
    ----------
    decoder : ObjectDecoder
        Turns objects into types.
    listener : CatalogListener
        Told of each change.
    clock : Callable[[], float]
        Monotonic time in seconds.
    """

    def __init__(
        self, decoder: ObjectDecoder, listener: CatalogListener, clock: Callable[[], float]
    ) -> None:
        self.configuration: Configuration | None = None
        self.replicas: dict[ReplicaId, ReplicaEntry] = {}
        self.members: dict[str, Member] = {}
        self._decoder = decoder
        self._listener = listener
        self._clock = clock
        self._lapsed: dict[ReplicaId, float] = {}

    def apply(self, kind: ObjectKind, changes: tuple[Change, ...], after_outage: bool) -> None:
        """Apply changes; removals right after an outage of the store wait for re-announcements."""
        for change in changes:
            if kind is ObjectKind.CONFIGURATION:
                self._apply_configuration(change)
            elif kind is ObjectKind.REPLICAS:
                self._apply_replica(change, after_outage)
            elif kind is ObjectKind.DATA_CENTRES_OUT:
                self._apply_data_centre(change)
            elif kind is ObjectKind.RELEASES:
                self._apply_release(change)
            else:
                self._apply_member(change)

    def find_expiry(self) -> float | None:
        """Return when the next replica that lapsed in an outage is due, None if there is none."""
        return min(self._lapsed.values(), default=None)

    def expire_lapsed(self) -> None:
        """Remove replicas that lapsed in an outage and were not announced again in time."""
        now = self._clock()
        for replica in [key for key, due in self._lapsed.items() if due <= now]:
            self._remove(replica, "not announced again after an outage of the store")

    def _apply_configuration(self, change: Change) -> None:
        if change.is_deleted:
            return
        configuration = self._decoder.decode_configuration(change.object)
        if configuration is None:
            return
        if self.configuration is not None and configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self._listener.adopt_configuration(configuration)

    def _apply_replica(self, change: Change, after_outage: bool) -> None:
        replica = ReplicaId(change.object.name)
        if change.is_deleted:
            if replica not in self.replicas:
                return
            if after_outage and not self.replicas[replica].is_draining:
                self._lapsed.setdefault(replica, self._clock() + REANNOUNCE_S)
                return
            self._remove(replica, "its entry was removed")
            return
        entry = self._decoder.decode_replica(change.object)
        if entry is None:
            self._remove(replica, "its entry cannot be read")
            return
        self._lapsed.pop(replica, None)
        self.replicas[replica] = entry
        self._listener.update_replica(entry)

    def _remove(self, replica: ReplicaId, reason: str) -> None:
        self._lapsed.pop(replica, None)
        if self.replicas.pop(replica, None) is not None:
            self._listener.remove_replica(replica, reason)

    def _apply_data_centre(self, change: Change) -> None:
        data_centre = DataCentreId(change.object.name)
        self._listener.change_data_centre(data_centre, not change.is_deleted)

    def _apply_release(self, change: Change) -> None:
        service = ServiceName(change.object.name)
        order = None if change.is_deleted else self._decoder.decode_release(change.object)
        self._listener.change_release(service, order)

    def _apply_member(self, change: Change) -> None:
        if change.is_deleted:
            self.members.pop(change.object.name, None)
            return
        member = read_member(change.object.name, change.object.spec)
        if member is not None:
            self.members[member.vm] = member
