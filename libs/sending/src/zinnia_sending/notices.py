"""What replicas say of themselves in answers: that they leave, or want no requests for a time."""

from collections.abc import Callable, Iterable
from random import Random

import trio

from zinnia_catalog.departures import Departure, DepartureTable
from zinnia_catalog.ids import ReplicaId
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_sending.answers import AnswerFacts, ReplicaNotice
from zinnia_sending.availability import MAX_TURN_AWAY_S
from zinnia_sending.counters import SendCounters
from zinnia_sending.events import EventSink
from zinnia_sending.replica import Replica, ReplicaListener


class NoticeRecorder(ReplicaListener):
    """Applies what replicas say about themselves, to this VM or to another one.

    Parameters
    ----------
    find_replica : Callable[[ReplicaId], Replica | None]
        Returns a replica by its id, None if it is not known.
    events : EventSink
        Receives replicas that leave or turn requests away.
    counters : SendCounters
        Counts the notices.
    random : Random
        Source of the spread of VMs that return to a replica.
    """

    def __init__(
        self,
        find_replica: Callable[[ReplicaId], Replica | None],
        events: EventSink,
        counters: SendCounters,
        random: Random,
    ) -> None:
        self._find_replica = find_replica
        self._events = events
        self._counters = counters
        self._random = random
        self._departures = DepartureTable()

    def record_facts(self, replica: Replica, facts: AnswerFacts) -> None:
        """Send nothing to a replica that says that it leaves, or that it wants no requests."""
        now = trio.current_time()
        if facts.is_leaving:
            self._counters.count_notice(ReplicaNotice.LEAVING)
            entry = replica.entry
            if self._departures.add(entry.id, entry.started_ms, now):
                self._start_departure(replica, False)
        if facts.turn_away_s is not None:
            self._counters.count_notice(ReplicaNotice.TURNED_AWAY)
            self._turn_away(replica, facts.turn_away_s, now)
        elif not facts.is_not_run:
            replica.availability.record_taken(now)

    def has_left(self, entry: ReplicaEntry) -> bool:
        """Return whether a replica is known to have said that it leaves."""
        return self._departures.has(entry)

    def list_departures(self, now: float) -> list[Departure]:
        """Return the replicas that have said not long ago that they leave."""
        return self._departures.list_recent(now)

    def apply_departures(self, departures: Iterable[Departure], now: float) -> None:
        """Apply departures that other VMs know."""
        for departure in self._departures.merge(departures, now):
            replica = self._find_replica(departure.replica)
            if replica is not None and self._departures.has(replica.entry):
                self._start_departure(replica, True)

    def _start_departure(self, replica: Replica, was_told: bool) -> None:
        """Drain a replica that says that it leaves, to this VM or as another VM ``was_told`` of."""
        replica.start_draining(trio.current_time())
        self._events.note(
            "replica_leaving",
            replica=replica.id,
            service=replica.entry.service,
            by_peer=was_told,
        )

    def _turn_away(self, replica: Replica, named_s: float, now: float) -> None:
        """Send nothing to a replica for the time that it names, within bounds."""
        # Not a number compares as false, so it counts as no time.
        duration_s = min(named_s, MAX_TURN_AWAY_S) if named_s > 0 else 0.0
        if duration_s > 0:
            replica.availability.turn_away(duration_s, now, self._random)
        self._events.note(
            "replica_turned_away",
            replica=replica.id,
            service=replica.entry.service,
            named_s=str(named_s),
            obeyed_s=round(duration_s, 3),
        )
