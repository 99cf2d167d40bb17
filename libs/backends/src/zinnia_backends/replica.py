"""State of one replica at the VM that owns it."""

from collections import deque
from dataclasses import dataclass

import trio

from zinnia_backends.attempts import Attempt
from zinnia_backends.connections import Connection
from zinnia_backends.estimates import ConnectCost
from zinnia_backends.queue import MAX_QUEUED_PER_SLOT, ReplicaQueue
from zinnia_backends.silence import MAX_UNVERIFIED_S
from zinnia_backends.temperature import Temperature
from zinnia_model.configuration import ServiceConfig
from zinnia_model.ids import Fingerprint, ReplicaId, ServiceId, ShardId, StartId, VersionId
from zinnia_model.ownership import OwnershipState
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord
from zinnia_model.subrequests import ReplicaView

MIN_DRAINING_S = 30.0  # health answers lag by seconds and must not end draining earlier
ACTING_OWNERSHIP_STATES = frozenset({OwnershipState.OWNER, OwnershipState.DEGRADED})


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose connection broke; a changed start id shows that it crashed the replica."""

    fingerprint: Fingerprint
    start_id: StartId
    lost_at: float


@dataclass(slots=True)
class PublishedState:
    """The last published state and load of a replica, with time and version of the fact."""

    state: tuple[bool, bool] | None = None
    load: tuple[int, int, int] | None = None
    published_at: float = float("-inf")
    version: int = 0


class Replica:
    """Queue, temperature, idle connections and running attempts of one replica."""

    def __init__(self, record: ReplicaRecord, service: ServiceId, config: ServiceConfig):
        self.id = ReplicaId(record.id)
        self.record = record
        self.service = service
        self.config = config
        self.queue = ReplicaQueue(MAX_QUEUED_PER_SLOT * config.slots)
        self.temperature = Temperature(config.slots, config.cold_concurrency)
        self.connect_cost = ConnectCost(config.connect_ms / 1000)
        self.idle: list[Connection] = []
        self.sending: set[Attempt] = set()
        self.health_connections = 0  # connections in use by health requests
        self.assigned: deque[Attempt] = deque()  # attempts that workers run next
        self.workers = trio.lowlevel.ParkingLot()
        self.version = VersionId(record.version)
        self.acting = False
        self.ownership_state = OwnershipState.NOT_OWNER
        self.handed_over: tuple[ReplicaFact, float] | None = None
        self.waiting_until: float | None = None
        self.removed = False
        self.probing = False
        self.last_health_at = 0.0
        self.draining = False
        self._draining_at = 0.0
        self._draining_answered = False
        self.lost_requests: list[LostRequest] = []
        self.published = PublishedState()
        self.shard_holders: dict[ShardId, frozenset[ReplicaId]] = {}

    def configure(self, config: ServiceConfig) -> None:
        """Apply a changed service configuration."""
        self.config = config
        self.queue.bound = MAX_QUEUED_PER_SLOT * config.slots
        self.temperature.configure(config.slots, config.cold_concurrency)

    def compute_limit(self, ownership_state: OwnershipState) -> int:
        """Return how many sub-requests may be in flight; 0 for a cold replica in degraded mode."""
        limit = min(self.temperature.limit, self.config.connections)
        if ownership_state is not OwnershipState.DEGRADED:
            return limit
        return 0 if self.temperature.cold else min(limit, max(1, self.config.slots // 2))

    def compute_send_limit(self, ownership_state: OwnershipState) -> int:
        """Return the concurrency limit, lowered to the connections that health requests leave."""
        return min(
            self.compute_limit(ownership_state), self.config.connections - self.health_connections
        )

    def count_connections(self) -> int:
        """Return the number of connections that are open or may be opening."""
        return self.queue.in_flight + len(self.idle) + self.health_connections

    def pop_idle(self, now: float) -> Connection | None:
        """Return the most recently used connection that is fresh and reusable, or None.

        Close unusable connections found before it.
        """
        while self.idle:
            connection = self.idle.pop()
            fresh = now - connection.verified_at <= MAX_UNVERIFIED_S
            if fresh and connection.is_reusable():
                return connection
            connection.close()
        return None

    def keep_idle(self, connection: Connection, now: float, used: bool = True) -> None:
        """Keep a connection for reuse, or close it if it is unneeded or over a limit.

        The most recently used connections are reused first; ``used`` is false after a health
        request, which does not count as use.
        """
        stopped = self.removed or self.draining or not self.acting
        full = len(self.idle) > self.config.slots
        # The count still includes the task that returns this connection, so equality is allowed.
        over = self.count_connections() > self.config.connections
        if stopped or full or over or not connection.is_reusable():
            connection.close()
            return
        if not used:
            self.idle.insert(0, connection)
            return
        connection.idle_since = now
        self.idle.append(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle.pop().close()

    def has_other_open_connection(self, beside: Attempt) -> bool:
        """Return whether a connection is open besides that of the attempt ``beside``."""
        if any(other is not beside for other in self.sending):
            return True
        return any(connection.is_reusable() for connection in self.idle)

    def mark_draining(self, now: float) -> None:
        """Mark the replica as draining because an answer reported it."""
        self.draining = self._draining_answered = True
        self._draining_at = now

    def apply_health_draining(self, draining: bool, now: float) -> None:
        """Apply the draining state of a health answer.

        Draining that a response to a sub-request reported can be cleared only after
        ``MIN_DRAINING_S``.
        """
        if draining:
            self.draining = True
        elif not self._draining_answered or now - self._draining_at > MIN_DRAINING_S:
            self.draining = self._draining_answered = False

    def clear_draining(self) -> None:
        """Clear the draining state, which belonged to the process before the restart."""
        self.draining = self._draining_answered = False

    def build_view(self, ownership_state: OwnershipState) -> ReplicaView:
        """Return the state of the replica for planners."""
        return ReplicaView(
            self.id,
            self.temperature.cold,
            self.draining,
            len(self.queue),
            self.queue.in_flight,
            self.compute_limit(ownership_state),
            self.temperature.start_id,
            self.version,
        )

    def build_fact(self, ownership_state: OwnershipState) -> ReplicaFact:
        """Return the state of the replica for publication and handover."""
        return ReplicaFact(
            replica=self.id,
            cold=self.temperature.cold,
            draining=self.draining,
            limit=self.compute_limit(ownership_state),
            queue_length=len(self.queue),
            in_flight=self.queue.in_flight,
            start_id=self.temperature.start_id,
            version=self.version,
        )

    def restore(self, fact: ReplicaFact) -> None:
        """Apply the state from the last owner."""
        self.temperature.restore(fact.cold, fact.limit, StartId(fact.start_id))
        self.draining = fact.draining
