"""What VMs tell each other of replicas that are slow or fail."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from zinnia_catalog.ids import ReplicaId

# An observation counts for this long, in seconds.
OBSERVATION_S = 2.0
# Most observations that one VM tells at a time.
MAX_OBSERVATIONS = 200


@dataclass(frozen=True, slots=True)
class Observation:
    """A replica's latency relative to the usual one, as some VM saw it ``age_s`` seconds ago."""

    replica: ReplicaId
    slowness: float
    age_s: float


class ObservationBoard:
    """The newest observation of each replica by any VM.

    Parameters
    ----------
    clock : Callable[[], float]
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rows: dict[ReplicaId, tuple[float, float]] = {}

    def merge(self, observations: Iterable[Observation]) -> list[Observation]:
        """Take observations; return those that are news."""
        now = self._clock()
        news = []
        for row in observations:
            seen_at = now - max(0.0, row.age_s)
            known = self._rows.get(row.replica)
            is_news = known is None or seen_at > known[1]
            if row.age_s <= OBSERVATION_S and is_news:
                self._rows[row.replica] = (row.slowness, seen_at)
                news.append(row)
        return news

    def list_fresh(self) -> list[Observation]:
        """Return the observations that still count, newest first."""
        now = self._clock()
        self._rows = {
            replica: row for replica, row in self._rows.items() if now - row[1] <= OBSERVATION_S
        }
        rows = [Observation(replica, row[0], now - row[1]) for replica, row in self._rows.items()]
        return sorted(rows, key=lambda row: row.age_s)[:MAX_OBSERVATIONS]
