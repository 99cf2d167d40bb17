"""A VM's view of configuration, replicas, members, releases and data centres out of service."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from zinnia_catalog.ids import DataCentreId, ReplicaId, ServiceName
from zinnia_catalog.members import Member, read_member
from zinnia_catalog.objects import Change, ObjectKind, StoredObject
from zinnia_catalog.releases import ReleaseOrder
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import Configuration


class ObjectDecoder(ABC):
    """Converts stored objects to the types of the catalog."""

    @abstractmethod
    def decode_configuration(self, item: StoredObject) -> Configuration | None:
        """Return the configuration, or None if the object is not a valid one."""

    @abstractmethod
    def decode_replica(self, item: StoredObject) -> ReplicaEntry | None:
        """Return the replica, or None if the entry is not valid."""

    @abstractmethod
    def decode_release(self, item: StoredObject) -> ReleaseOrder | None:
        """Return the release order, or None if the object is not a valid one."""

    @abstractmethod
    def read_order_key(self, kind: ObjectKind, item: StoredObject) -> tuple[int, ...] | None:
        """Return a key that is higher for later states of an object, None if nothing tells."""


class CatalogListener(ABC):
    """Receives the changes of the catalog."""

    @abstractmethod
    def adopt_configuration(self, configuration: Configuration) -> None:
        """Switch to a newer configuration."""

    @abstractmethod
    def update_replica(self, entry: ReplicaEntry) -> None:
        """Add a new replica, or update a known one from its changed entry."""

    @abstractmethod
    def remove_replica(self, replica: ReplicaId, reason: str) -> None:
        """Remove a replica; ``reason`` is a text for the log."""

    @abstractmethod
    def hold_replica(self, replica: ReplicaId, hold_s: float) -> None:
        """Note that a replica without an entry stays in use for ``hold_s`` seconds at most."""

    @abstractmethod
    def change_data_centre(self, data_centre: DataCentreId, is_out: bool) -> None:
        """Take a data centre out of service if ``is_out``, else return it to service."""

    @abstractmethod
    def change_release(self, service: ServiceName, order: ReleaseOrder | None) -> None:
        """Set the release order of a service; None if its order was withdrawn."""


class Catalog:
    """Applies changes of stored objects to this VM's view and reports them to a listener.

    Parameters
    ----------
    decoder : ObjectDecoder
        Converts stored objects to the types of the catalog.
    listener : CatalogListener
        Receives each change that took effect.
    clock : Callable[[], float]
        Returns monotonic time in seconds.
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
        self._removal_due: dict[ReplicaId, float] = {}

    def apply(
        self, kind: ObjectKind, changes: tuple[Change, ...], hold_until: float | None
    ) -> None:
        """Apply changes of one kind.

        Until the clock time ``hold_until``, a removed replica is kept unless it was draining: its
        entry may have lapsed only because it couldn't be renewed during an outage of the store.
        """
        for change in changes:
            if kind is ObjectKind.CONFIGURATION:
                self._apply_configuration(change)
            elif kind is ObjectKind.REPLICAS:
                self._apply_replica(change, hold_until)
            elif kind is ObjectKind.DATA_CENTRES_OUT:
                self._apply_data_centre(change)
            elif kind is ObjectKind.RELEASES:
                self._apply_release(change)
            else:
                self._apply_member(change)

    def find_expiry(self) -> float | None:
        """Return the clock time at which ``expire_lapsed`` is due, None if nothing is pending."""
        return min(self._removal_due.values(), default=None)

    def expire_lapsed(self) -> None:
        """Remove replicas whose entries lapsed in a store outage and were not rewritten in time."""
        now = self._clock()
        for replica in [key for key, due in self._removal_due.items() if due <= now]:
            self._remove(replica, "its entry lapsed in a store outage and was not rewritten")

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

    def _apply_replica(self, change: Change, hold_until: float | None) -> None:
        replica = ReplicaId(change.object.name)
        if change.is_deleted:
            if replica not in self.replicas:
                return
            self._apply_removal(replica, hold_until)
            return
        entry = self._decoder.decode_replica(change.object)
        if entry is None:
            self._remove(replica, "its entry is not valid")
            return
        self._removal_due.pop(replica, None)
        self.replicas[replica] = entry
        self._listener.update_replica(entry)

    def _apply_removal(self, replica: ReplicaId, hold_until: float | None) -> None:
        hold_s = 0.0 if hold_until is None else hold_until - self._clock()
        if hold_s <= 0 or self.replicas[replica].is_draining:
            self._remove(replica, "its entry was removed from the store")
        elif replica not in self._removal_due:
            self._removal_due[replica] = hold_until
            self._listener.hold_replica(replica, hold_s)

    def _remove(self, replica: ReplicaId, reason: str) -> None:
        self._removal_due.pop(replica, None)
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
