"""Publishes the owner's view of its replicas as facts."""

import time
from collections.abc import Callable

from zinnia_backends.replica import Replica
from zinnia_facts.table import Fact, FactKind, FactTable
from zinnia_model.ids import VmId
from zinnia_model.ownership import Standing

LOAD_INTERVAL_S = 0.5
REFRESH_S = 20.0
STATE_TTL_S = 60.0  # outlives the 10 s after which degraded mode asks for the last known state


def read_wall_ms() -> int:
    """Return wall clock time in milliseconds; versions by it grow across restarts of a VM."""
    return time.time_ns() // 1_000_000


class StatePublisher:
    """Writes ``REPLICA_STATE`` facts; changes of temperature and draining are also pushed."""

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

    def note_state(self, replica: Replica, standing: Standing, now: float) -> None:
        """Publish at once if temperature or draining changed."""
        state = (replica.temperature.cold, replica.draining)
        if state != replica.told.state and replica.acting:
            self._publish(self._store(replica, standing, now))

    def note_load(self, replica: Replica, standing: Standing, now: float) -> None:
        """Publish changed load at most every ``LOAD_INTERVAL_S``."""
        if not replica.acting:
            return
        self.note_state(replica, standing, now)
        age_s = now - replica.told.at
        load = (len(replica.queue), replica.queue.in_flight, replica.compute_limit(standing))
        if age_s >= REFRESH_S or (age_s >= LOAD_INTERVAL_S and load != replica.told.load):
            self._store(replica, standing, now)

    def _store(self, replica: Replica, standing: Standing, now: float) -> Fact:
        told, record = replica.told, replica.build_fact(standing)
        told.state = (record.cold, record.draining)
        told.load = (record.queue_length, record.in_flight, record.limit)
        told.at = now
        told.version = max(told.version + 1, self._wall_ms())
        fact = Fact(
            FactKind.REPLICA_STATE,
            replica.id,
            self._vm,
            told.version,
            record.model_dump_json(),
            STATE_TTL_S,
        )
        self._facts.put(fact, now)
        return fact
