"""Publishes the states of owned replicas as facts."""

import time
from collections.abc import Callable

from zinnia_backends.replica import Replica
from zinnia_facts.table import Fact, FactKind, FactTable
from zinnia_model.ids import VmId
from zinnia_model.ownership import OwnershipState

LOAD_PUBLISH_INTERVAL_S = 0.5
REFRESH_INTERVAL_S = 20.0
STATE_TTL_S = 60.0  # degraded mode reads the last known state after 10 s, so it must outlast that


def read_wall_ms() -> int:
    """Return wall clock time in milliseconds; as a fact version it grows across VM restarts."""
    return time.time_ns() // 1_000_000


class StatePublisher:
    """Stores ``REPLICA_STATE`` facts and pushes changes of temperature or draining at once."""

    def __init__(
        self,
        facts: FactTable,
        publish: Callable[[Fact], None],
        vm: VmId,
        wall_ms: Callable[[], int] = read_wall_ms,
    ):
        self._facts = facts
        self._publish = publish
        self._vm = vm
        self._wall_ms = wall_ms

    def publish_state_change(
        self, replica: Replica, ownership_state: OwnershipState, now: float
    ) -> None:
        """Push the state at once if temperature or draining changed."""
        state = (replica.temperature.cold, replica.draining)
        if state != replica.published.state and replica.acting:
            self._publish(self._store(replica, ownership_state, now))

    def publish_load(self, replica: Replica, ownership_state: OwnershipState, now: float) -> None:
        """Store a changed load at most every ``LOAD_PUBLISH_INTERVAL_S``.

        An unchanged state is stored again every ``REFRESH_INTERVAL_S``, before its fact expires.
        """
        if not replica.acting:
            return
        self.publish_state_change(replica, ownership_state, now)
        age_s = now - replica.published.published_at
        load = (len(replica.queue), replica.queue.in_flight, replica.compute_limit(ownership_state))
        if age_s >= REFRESH_INTERVAL_S or (
            age_s >= LOAD_PUBLISH_INTERVAL_S and load != replica.published.load
        ):
            self._store(replica, ownership_state, now)

    def _store(self, replica: Replica, ownership_state: OwnershipState, now: float) -> Fact:
        published, record = replica.published, replica.build_fact(ownership_state)
        published.state = (record.cold, record.draining)
        published.load = (record.queue_length, record.in_flight, record.limit)
        published.published_at = now
        published.version = max(published.version + 1, self._wall_ms())
        fact = Fact(
            FactKind.REPLICA_STATE,
            replica.id,
            self._vm,
            published.version,
            record.model_dump_json(),
            STATE_TTL_S,
        )
        self._facts.put(fact, now)
        return fact
