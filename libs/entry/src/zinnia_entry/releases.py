"""Writes the states of version moves to the store, and completes each move in time."""

from collections.abc import Callable

import trio

from zinnia_catalog.objects import (
    Listing,
    ObjectKind,
    ObjectStore,
    StoreError,
    WriteConflictError,
)
from zinnia_catalog.releases import ReleaseState
from zinnia_sending.events import EventSink
from zinnia_sending.versions import VersionMove, VersionShares

REVIEW_INTERVAL_S = 0.5
# Delay before a VM writes, per rank, so that usually only the VM of the first rank writes.
RANK_DELAY_S = 0.4
MAX_RANK_DELAY_S = 2.0
# A move without evidence against it is done this long before its due time, or before a fraction of
# the duration of its order if that is shorter.
DONE_MARGIN_S = 4.0
DONE_MARGIN_FRACTION = 0.25
# With fewer answers of the new version than this, VMs wait longer for more of them.
ENOUGH_ANSWERS = 12
LAST_MARGIN_S = 2.0
LAST_MARGIN_FRACTION = 0.12


class ReleaseDriver:
    """Writes the states of version moves, on condition that no other VM has changed them.

    Parameters
    ----------
    get_rank : Callable[[], int]
        Returns the rank of this VM, 0 for the first; all VMs compute the same ranks.
    apply_listing : Callable[[Listing], None]
        Receives the orders as the store has them, after a write has met another revision.
    """

    def __init__(
        self,
        versions: VersionShares,
        store: ObjectStore,
        get_rank: Callable[[], int],
        events: EventSink,
        clock: Callable[[], float],
        apply_listing: Callable[[Listing], object] = lambda listing: None,
    ) -> None:
        self._versions = versions
        self._store = store
        self._get_rank = get_rank
        self._apply_listing = apply_listing
        self._events = events
        self._clock = clock

    async def run(self) -> None:
        """Review all moves until cancelled."""
        while True:
            await trio.sleep(REVIEW_INTERVAL_S)
            for move in self._versions.list_moves():
                state = self.choose_state(move)
                if state is not None:
                    await self._write(move, state)

    def choose_state(self, move: VersionMove) -> ReleaseState | None:
        """Return the state to write for a move now, None if it is not to change."""
        if not move.order.is_open:
            return None
        if move.lost_state is not None:
            return move.lost_state
        if move.is_rejected:
            return ReleaseState.TAKEN_BACK
        elapsed_s = self._clock() - move.started_at
        delay_s = min(MAX_RANK_DELAY_S, self._get_rank() * RANK_DELAY_S)
        if elapsed_s >= find_decision_time(move) + delay_s:
            return ReleaseState.TAKEN_BACK if move.judge.is_suspect else ReleaseState.DONE
        if move.order.state is ReleaseState.ORDERED and elapsed_s >= delay_s:
            return ReleaseState.RUNNING
        return None

    async def _write(self, move: VersionMove, state: ReleaseState) -> None:
        order = move.order
        try:
            await self._store.write_release(order, state)
        except WriteConflictError:
            self._events.note("release_conflict", service=order.service, state=state.value)
            await self._list_orders()
        except StoreError as error:
            self._events.note("release_unwritten", service=order.service, cause=error.cause)
        else:
            total = move.evidence.total
            self._events.note(
                "release_written",
                service=order.service,
                target=order.target,
                state=state.value,
                good=total.good,
                bad=total.bad,
            )

    async def _list_orders(self) -> None:
        """Read the orders again, as this VM's copy is behind the store."""
        try:
            self._apply_listing(await self._store.list(ObjectKind.RELEASES))
        except StoreError as error:
            self._events.note("release_unwritten", service=None, cause=error.cause)


def find_decision_time(move: VersionMove) -> float:
    """Return the seconds from the order of a move until its end state is chosen."""
    duration_s = move.order.duration_s
    if move.evidence.total.answers < ENOUGH_ANSWERS:
        return duration_s - min(LAST_MARGIN_S, LAST_MARGIN_FRACTION * duration_s)
    return duration_s - min(DONE_MARGIN_S, DONE_MARGIN_FRACTION * duration_s)
