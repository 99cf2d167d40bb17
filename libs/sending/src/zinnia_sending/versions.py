"""Version moves: how much a new version gets, and the evidence for and against it."""

from dataclasses import dataclass

from zinnia_catalog.ids import ServiceName, VersionId
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_sending.events import EventSink

# Share of its service that a new version gets until its move is decided.
CANARY_SHARE = 0.06
# Bad answers of the new version on this VM after which it is taken back, and their least part.
BAD_ANSWERS_TO_REJECT = 3
BAD_PART_TO_REJECT = 0.15
# Relative latency from which an answer counts as slow.
SLOW_FACTOR = 3.0
# The bad part of the new version must be this many times that of the others.
BAD_RATIO_TO_REJECT = 3.0


@dataclass(slots=True)
class VersionMove:
    """The move of one service on this VM."""

    order: ReleaseOrder
    started_at: float
    sent: int = 0
    sent_new: int = 0
    good: int = 0
    bad: int = 0
    others_good: int = 0
    others_bad: int = 0
    is_rejected: bool = False

    @property
    def share(self) -> float:
        """Part of the service's requests that the new version gets."""
        if self.is_rejected or self.order.state is ReleaseState.TAKEN_BACK:
            return 0.0
        if self.order.state is ReleaseState.DONE:
            return 1.0
        return CANARY_SHARE

    @property
    def looks_bad(self) -> bool:
        """Whether the bad answers of the new version are too many for chance."""
        answers = self.good + self.bad
        if self.bad < BAD_ANSWERS_TO_REJECT or self.bad < BAD_PART_TO_REJECT * answers:
            return False
        others = self.others_good + self.others_bad
        other_part = self.others_bad / others if others else 0.0
        return self.bad / answers > BAD_RATIO_TO_REJECT * other_part


class VersionShares:
    """Version moves of all services on this VM."""

    def __init__(self, events: EventSink) -> None:
        self._events = events
        self._moves: dict[ServiceName, VersionMove] = {}

    def change_order(self, service: ServiceName, order: ReleaseOrder | None, now: float) -> None:
        """Take a new or changed order; a move that is rejected here stays rejected."""
        known = self._moves.get(service)
        if order is None:
            self._moves.pop(service, None)
        elif known is None or known.order.target != order.target:
            self._moves[service] = VersionMove(order, now)
        else:
            known.order = order
        self._events.note(
            "release_changed",
            service=service,
            target=order.target if order else None,
            state=order.state.value if order else "withdrawn",
        )

    def list_moves(self) -> list[VersionMove]:
        """Return all moves."""
        return list(self._moves.values())

    def find_excluded(self, service: ServiceName) -> VersionId | None:
        """Return the version that the next request of a service may not go to, None if any may."""
        move = self._moves.get(service)
        if move is None or move.share >= 1.0:
            return None
        if move.share > 0 and move.sent_new < move.share * (move.sent + 1):
            return None
        return move.order.target

    def count_send(self, service: ServiceName, version: VersionId) -> None:
        """Count a request that is sent to a version."""
        move = self._moves.get(service)
        if move is not None:
            move.sent += 1
            move.sent_new += version == move.order.target

    def record(
        self, service: ServiceName, version: VersionId, is_good: bool, slowness: float
    ) -> None:
        """Count an answer or a failure of a version."""
        move = self._moves.get(service)
        if move is None:
            return
        is_bad = not is_good or slowness > SLOW_FACTOR
        if version != move.order.target:
            move.others_bad += is_bad
            move.others_good += not is_bad
            return
        move.bad += is_bad
        move.good += not is_bad
        if move.order.is_open and not move.is_rejected and move.looks_bad:
            move.is_rejected = True
            self._events.note(
                "version_rejected", service=service, version=version, bad=move.bad, good=move.good
            )
