"""Version moves: the request share of a new version, and the evidence for rejecting it."""

from dataclasses import dataclass

from zinnia_catalog.ids import ServiceName, VersionId
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_sending.events import EventSink

# Fraction of the requests of its service that a new version gets until its move is decided.
CANARY_SHARE = 0.06
# This VM rejects the new version after at least this many bad answers that are at least this
# fraction of its answers.
BAD_ANSWERS_TO_REJECT = 3
BAD_FRACTION_TO_REJECT = 0.15
# An answer is bad if it is a failure or its latency is more than this many times the typical one.
SLOW_FACTOR = 3.0
# The fraction of bad answers must exceed that of the other versions by this factor.
BAD_RATIO_TO_REJECT = 3.0


@dataclass(slots=True)
class VersionMove:
    """Sends and answers that this VM has counted during the version move of one service.

    ``sent_new``, ``good`` and ``bad`` are counts of the new version, ``others_good`` and
    ``others_bad`` of the other versions; ``sent`` counts the requests to all versions.
    """

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
        """Fraction (0 to 1) of the service's requests that the new version gets."""
        if self.is_rejected or self.order.state is ReleaseState.TAKEN_BACK:
            return 0.0
        if self.order.state is ReleaseState.DONE:
            return 1.0
        return CANARY_SHARE

    @property
    def is_significantly_bad(self) -> bool:
        """Whether the new version has too many bad answers, also compared with the others."""
        answers = self.good + self.bad
        if self.bad < BAD_ANSWERS_TO_REJECT or self.bad < BAD_FRACTION_TO_REJECT * answers:
            return False
        others = self.others_good + self.others_bad
        others_bad_fraction = self.others_bad / others if others else 0.0
        return self.bad / answers > BAD_RATIO_TO_REJECT * others_bad_fraction


class VersionShares:
    """Enforces the request shares of version moves on this VM, and rejects bad new versions."""

    def __init__(self, events: EventSink) -> None:
        self._events = events
        self._moves: dict[ServiceName, VersionMove] = {}

    def change_order(self, service: ServiceName, order: ReleaseOrder | None, now: float) -> None:
        """Apply a new, changed or withdrawn (None) order.

        A new order for the same version keeps the counts and the rejection of its move.
        """
        known = self._moves.get(service)
        if order is None:
            self._moves.pop(service, None)
        elif known is None or known.order.target != order.target:
            self._moves[service] = VersionMove(order, now)
        else:
            known.order = order
        move = self._moves.get(service, known)
        self._events.note(
            "release_changed",
            service=service,
            target=order.target if order else None,
            state=order.state.value if order else "withdrawn",
            sent=move.sent if move else 0,
            sent_new=move.sent_new if move else 0,
            good=move.good if move else 0,
            bad=move.bad if move else 0,
        )

    def list_moves(self) -> list[VersionMove]:
        """Return all moves."""
        return list(self._moves.values())

    def find_excluded_version(self, service: ServiceName) -> VersionId | None:
        """Return the version that must not get the next request of a service, None if any may."""
        move = self._moves.get(service)
        if move is None or move.share >= 1.0:
            return None
        if move.share > 0 and move.sent_new < move.share * (move.sent + 1):
            return None
        return move.order.target

    def count_send(self, service: ServiceName, version: VersionId) -> None:
        """Count a request that is about to be sent to a version."""
        move = self._moves.get(service)
        if move is not None:
            move.sent += 1
            move.sent_new += version == move.order.target

    def record(
        self, service: ServiceName, version: VersionId, is_answered: bool, slowness: float
    ) -> None:
        """Count an answer or a failure of a version; reject the new version if it looks bad."""
        move = self._moves.get(service)
        if move is None:
            return
        is_bad = not is_answered or slowness > SLOW_FACTOR
        if version != move.order.target:
            move.others_bad += is_bad
            move.others_good += not is_bad
            return
        move.bad += is_bad
        move.good += not is_bad
        if move.order.is_open and not move.is_rejected and move.is_significantly_bad:
            move.is_rejected = True
            self._events.note(
                "version_rejected", service=service, version=version, bad=move.bad, good=move.good
            )
