"""Replicas that have said in an answer that they leave; VMs tell each other of them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from zinnia_catalog.ids import ReplicaId
from zinnia_catalog.replicas import ReplicaEntry

# VMs tell each other of a departure for this time; those that were cut off for longer find out from
# the replica's answers.
TOLD_S = 30.0
# Departures that are remembered, the latest ones.
MAX_DEPARTURES = 4096


@dataclass(frozen=True, slots=True)
class Departure:
    """A replica that leaves, by its id and start, since ``age_s`` seconds.

    ``started_ms`` is as in ``ReplicaEntry``: a replica that starts again under its id has another.
    """

    replica: ReplicaId
    started_ms: int
    age_s: float


class DepartureTable:
    """The replicas that are known to leave; times are monotonic seconds.

    A replica that leaves does not come back, so its departure holds also when the store lists it as
    ready, has gone back to an older copy, or gets its entry again.
    """

    def __init__(self) -> None:
        self._since: OrderedDict[tuple[ReplicaId, int], float] = OrderedDict()

    def has(self, entry: ReplicaEntry) -> bool:
        """Return whether a replica leaves."""
        return (entry.id, entry.started_ms) in self._since

    def add(self, replica: ReplicaId, started_ms: int, since: float) -> bool:
        """Add a departure; return whether it was not known."""
        key = (replica, started_ms)
        if key in self._since:
            return False
        self._since[key] = since
        if len(self._since) > MAX_DEPARTURES:
            self._since.popitem(last=False)
        return True

    def merge(self, departures: Iterable[Departure], now: float) -> list[Departure]:
        """Add departures that other VMs know; return those that were not known."""
        return [row for row in departures if self.add(row.replica, row.started_ms, now - row.age_s)]

    def list_recent(self, now: float) -> list[Departure]:
        """Return the departures of which other VMs are told."""
        found = []
        for (replica, started_ms), since in reversed(self._since.items()):
            if now - since > TOLD_S:
                continue
            found.append(Departure(replica, started_ms, now - since))
        return found
