"""Observations of slow or failing replicas that VMs exchange."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from zinnia_catalog.ids import ReplicaId

# Older observations are discarded.
OBSERVATION_TTL_S = 2.0
# Limit on the observations in one message.
MAX_SENT_OBSERVATIONS = 200


@dataclass(frozen=True, slots=True)
class Observation:
    """A replica's latency, measured by a VM ``age_s`` seconds ago.

    ``slowness`` is the ratio to the usual latency.
    """

    replica: ReplicaId
    slowness: float
    age_s: float


class ObservationTable:
    """The newest observation of each replica, made by any VM.

    Parameters
    ----------
    clock : Callable[[], float]
        Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rows: dict[ReplicaId, tuple[float, float]] = {}  # slowness, time seen

    def merge(self, observations: Iterable[Observation]) -> list[Observation]:
        """Add observations; return those that are fresh and newer than the known ones."""
        now = self._clock()
        added = []
        for observation in observations:
            seen_at = now - max(0.0, observation.age_s)
            known = self._rows.get(observation.replica)
            is_newer = known is None or seen_at > known[1]
            if observation.age_s <= OBSERVATION_TTL_S and is_newer:
                self._rows[observation.replica] = (observation.slowness, seen_at)
                added.append(observation)
        return added

    def list_fresh(self) -> list[Observation]:
        """Return the observations within their lifetime, newest first."""
        now = self._clock()
        self._rows = {
            replica: row for replica, row in self._rows.items() if now - row[1] <= OBSERVATION_TTL_S
        }
        fresh = [Observation(replica, row[0], now - row[1]) for replica, row in self._rows.items()]
        return sorted(fresh, key=lambda observation: observation.age_s)[:MAX_SENT_OBSERVATIONS]
