"""State of one replica at its owner."""

from collections import deque
from dataclasses import dataclass

import trio

from zinnia_backends.attempts import Attempt
from zinnia_backends.connections import Connection
from zinnia_backends.estimates import ConnectCost
from zinnia_backends.queue import QUEUE_PER_SLOT, ReplicaQueue
from zinnia_backends.silence import UNVERIFIED_S
from zinnia_backends.temperature import Temperature
from zinnia_model.configuration import ServiceConfig
from zinnia_model.ids import Fingerprint, ReplicaId, ServiceId, ShardId, StartId, VersionId
from zinnia_model.ownership import Standing
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord
from zinnia_model.subrequests import ReplicaView

DRAIN_RECOVERY_S = 30.0  # health answers lag by seconds; a refusal outweighs them this long
ACTING = frozenset({Standing.OWNER, Standing.DEGRADED})


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose connection broke; the replica's next start id tells whether it crashed."""

    fingerprint: Fingerprint
    start_id: StartId
    at: float


@dataclass(slots=True)
class Told:
    """What was last published about a replica, and when."""

    state: tuple[bool, bool] | None = None
    load: tuple[int, int, int] | None = None
    at: float = float("-inf")
    version: int = 0


class Replica:
    """Queue, temperature, idle connections and running attempts of one replica."""

    def __init__(self, record: ReplicaRecord, service: ServiceId, config: ServiceConfig):
        self.id = ReplicaId(record.id)
        self.record = record
        self.service = service
        self.config = config
        self.queue = ReplicaQueue(QUEUE_PER_SLOT * config.slots)
        self.temperature = Temperature(config.slots, config.cold_concurrency)
        self.connect_cost = ConnectCost(config.connect_ms / 1000)
        self.idle: list[Connection] = []
        self.sending: set[Attempt] = set()
        self.checking = 0  # connections in use by health requests
        self.ready: deque[Attempt] = deque()
        self.workers = trio.lowlevel.ParkingLot()
        self.version = VersionId(record.version)
        self.acting = False
        self.standing = Standing.NOT_OWNER
        self.handed: tuple[ReplicaFact, float] | None = None
        self.waiting_until: float | None = None
        self.removed = False
        self.probing = False
        self.health_at = 0.0
        self.draining = False
        self._draining_at = 0.0
        self._draining_answered = False
        self.lost: list[LostRequest] = []
        self.told = Told()
        self.shards: dict[ShardId, frozenset[ReplicaId]] = {}

    def configure(self, config: ServiceConfig) -> None:
        """Take over a changed service configuration."""
        self.config = config
        self.queue.bound = QUEUE_PER_SLOT * config.slots
        self.temperature.configure(config.slots, config.cold_concurrency)

    def compute_limit(self, standing: Standing) -> int:
        """Return how many sub-requests may be in flight; 0 for a cold replica in degraded mode."""
        limit = min(self.temperature.limit, self.config.connections)
        if standing is not Standing.DEGRADED:
            return limit
        return 0 if self.temperature.cold else min(limit, max(1, self.config.slots // 2))

    def compute_room(self, standing: Standing) -> int:
        """Return the limit without the connections in use by health requests."""
        return min(self.compute_limit(standing), self.config.connections - self.checking)

    def count_connections(self) -> int:
        """Return the connections that are open or about to be opened."""
        return self.queue.in_flight + len(self.idle) + self.checking

    def pop_idle(self, now: float) -> Connection | None:
        """Return the connection used last that can still be trusted; close the others met."""
        while self.idle:
            connection = self.idle.pop()
            fresh = now - connection.verified_at <= UNVERIFIED_S
            if fresh and connection.is_reusable():
                return connection
            connection.close()
        return None

    def keep_idle(self, connection: Connection, now: float, used: bool = True) -> None:
        """Keep a connection for reuse unless enough are kept or work there has ended.

        Those used last are reused first; ``used`` is false after a health request.
        """
        stopped = self.removed or self.draining or not self.acting
        full = len(self.idle) > self.config.slots
        # The task that returns the connection is still counted, so equality is within the limit.
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

    def has_open(self, beside: Attempt) -> bool:
        """Return whether a connection other than that of ``beside`` is still open."""
        if any(other is not beside for other in self.sending):
            return True
        return any(connection.is_reusable() for connection in self.idle)

    def note_draining(self, now: float) -> None:
        """Stop new work because an answer said so."""
        self.draining = self._draining_answered = True
        self._draining_at = now

    def note_health_draining(self, draining: bool, now: float) -> None:
        """Take the health endpoint's word; against an answer it counts only after a while."""
        if draining:
            self.draining = True
        elif not self._draining_answered or now - self._draining_at > DRAIN_RECOVERY_S:
            self.draining = self._draining_answered = False

    def note_restart(self) -> None:
        """Forget that the former process was draining."""
        self.draining = self._draining_answered = False

    def build_view(self, standing: Standing) -> ReplicaView:
        """Return what planners are told."""
        return ReplicaView(
            self.id,
            self.temperature.cold,
            self.draining,
            len(self.queue),
            self.queue.in_flight,
            self.compute_limit(standing),
            self.temperature.start_id,
            self.version,
        )

    def build_fact(self, standing: Standing) -> ReplicaFact:
        """Return the owner's view as it is published and handed over."""
        return ReplicaFact(
            replica=self.id,
            cold=self.temperature.cold,
            draining=self.draining,
            limit=self.compute_limit(standing),
            queue_length=len(self.queue),
            in_flight=self.queue.in_flight,
            start_id=self.temperature.start_id,
            version=self.version,
        )

    def restore(self, fact: ReplicaFact) -> None:
        """Take over the state of the last owner."""
        self.temperature.restore(fact.cold, fact.limit, StartId(fact.start_id))
        self.draining = fact.draining
