"""Version moves: the request share of a new version, and the evidence for rejecting it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random

from zinnia_catalog.evidence import AnswerCounts, Evidence, EvidencePool
from zinnia_catalog.ids import ProcessId, ServiceName, VersionId
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_sending.events import EventSink
from zinnia_sending.verdicts import VersionJudge

# Fraction of the allowed share that a new version gets until its move is decided.
USED_SHARE_FRACTION = 0.6
# Until it has got this fraction of the allowed slack in requests, it gets a larger share: a
# service with few requests would otherwise give too few answers to judge by.
TRIAL_SLACK_FRACTION = 0.5
TRIAL_SHARE = 0.2
# Sends to a new version that a VM may make up for if its replicas could not be used for a while.
MAX_CREDIT = 2.0
# An answer is bad if it is a failure or its latency is more than this many times the typical one.
SLOW_FACTOR = 3.0
# Process of a VM that pools no evidence with others.
UNNAMED_PROCESS = ProcessId("")


@dataclass(frozen=True, slots=True)
class ExposureBounds:
    """Limit on the requests that an undecided version may get over all VMs.

    It may get ``share`` of the requests of its service, and ``slack`` more.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclass(slots=True)
class VersionMove:
    """Sends of this VM, and answers of all VMs, during the version move of one service.

    ``sent`` counts the sends of this VM to all versions. Each of them adds the new version's share
    to ``credit``; a send to the new version takes a whole one. ``lost_state`` is an end state that
    the store had and has lost; it holds, and has to be written again.
    """

    order: ReleaseOrder
    started_at: float
    bounds: ExposureBounds
    credit: float = 0.0
    sent: int = 0
    is_rejected: bool = False
    lost_state: ReleaseState | None = None
    evidence: EvidencePool = field(default_factory=EvidencePool)
    judge: VersionJudge = field(default_factory=VersionJudge)

    @property
    def state(self) -> ReleaseState:
        """State of the move, which is ahead of its order if the store has lost its end."""
        return self.lost_state or self.order.state

    @property
    def is_open(self) -> bool:
        """Whether the move has not ended."""
        return self.lost_state is None and self.order.is_open

    @property
    def share(self) -> float:
        """Fraction (0 to 1) of the service's requests that the new version gets."""
        if self.state is ReleaseState.DONE:
            return 1.0
        if self.is_rejected or self.state is ReleaseState.TAKEN_BACK:
            return 0.0
        if self.evidence.total.sends < TRIAL_SLACK_FRACTION * self.bounds.slack:
            return TRIAL_SHARE
        return USED_SHARE_FRACTION * self.bounds.share

    @property
    def has_credit(self) -> bool:
        """Whether the next request may go to the new version."""
        return self.share > 0 and self.credit + self.share >= 1.0

    def change_order(self, order: ReleaseOrder) -> None:
        """Apply another state of the order; a move that has ended does not open again."""
        if order.is_open and not self.is_open:
            self.lost_state = self.state
        elif not order.is_open:
            self.lost_state = None
        self.order = order
        self.is_rejected = self.is_rejected or self.state is ReleaseState.TAKEN_BACK

    def count_send(self, is_new: bool) -> None:
        """Count a request that is about to be sent."""
        self.sent += 1
        self.credit = min(MAX_CREDIT, self.credit + self.share - is_new)
        if is_new:
            own = self.evidence.own
            self.evidence.own = replace(own, sends=own.sends + 1)

    def count_answer(self, is_new: bool, is_bad: bool) -> None:
        """Count an answer that this VM has received."""
        own = self.evidence.own
        if is_new:
            own = replace(own, good=own.good + (not is_bad), bad=own.bad + is_bad)
        else:
            own = replace(
                own,
                others_good=own.others_good + (not is_bad),
                others_bad=own.others_bad + is_bad,
            )
        self.evidence.own = own


class VersionShares:
    """Enforces the request shares of version moves on this VM, and rejects bad new versions.

    Parameters
    ----------
    events : EventSink
        Receives changes of orders, and rejections.
    process : ProcessId
        This process; the counts of each process are pooled.
    bounds : ExposureBounds, optional
        Limit on the requests to undecided versions.
    random : Random, optional
        Source of the credit with which a move starts.
    """

    def __init__(
        self,
        events: EventSink,
        process: ProcessId = UNNAMED_PROCESS,
        bounds: ExposureBounds | None = None,
        random: Random | None = None,
    ) -> None:
        self.bounds = bounds or ExposureBounds()
        self._random = random or Random()
        self._events = events
        self._process = process
        self._moves: dict[ServiceName, VersionMove] = {}

    def change_order(self, service: ServiceName, order: ReleaseOrder | None, now: float) -> None:
        """Apply a new, changed or withdrawn (None) order.

        A new order for the same version keeps the counts, the rejection and the end of its move.
        """
        known = self._moves.get(service)
        if order is None:
            self._moves.pop(service, None)
        elif known is None or known.order.target != order.target:
            # Credits start at random, so that many processes with few requests keep the share.
            self._moves[service] = VersionMove(order, now, self.bounds, self._random.random())
        else:
            known.change_order(order)
        move = self._moves.get(service, known)
        own = move.evidence.own if move else AnswerCounts()
        self._events.note(
            "release_changed",
            service=service,
            target=order.target if order else None,
            state=order.state.value if order else "withdrawn",
            sent=move.sent if move else 0,
            sent_new=own.sends,
            good=own.good,
            bad=own.bad,
        )

    def list_moves(self) -> list[VersionMove]:
        """Return all moves."""
        return list(self._moves.values())

    def find_excluded_version(self, service: ServiceName) -> VersionId | None:
        """Return the version that must not get the next request of a service, None if any may."""
        move = self._moves.get(service)
        if move is None or move.share >= 1.0:
            return None
        return None if move.has_credit else move.order.target

    def find_due_version(self, service: ServiceName) -> VersionId | None:
        """Return the version that should get the next request of a service, None if any may.

        A new version that got requests only where its replicas look best would be done without an
        answer of it if the others are fast.
        """
        move = self._moves.get(service)
        if move is None or not move.is_open or not move.has_credit:
            return None
        return move.order.target

    def count_send(self, service: ServiceName, version: VersionId) -> None:
        """Count a request that is about to be sent to a version."""
        move = self._moves.get(service)
        if move is not None:
            move.count_send(version == move.order.target)

    def record(
        self,
        service: ServiceName,
        version: VersionId,
        failure: str | None,
        slowness: float,
        now: float,
    ) -> None:
        """Count an answer of a version, or a failure with its cause; judge the new version."""
        move = self._moves.get(service)
        if move is None:
            return
        is_new = version == move.order.target
        is_bad = failure is not None or slowness > SLOW_FACTOR
        move.count_answer(is_new, is_bad)
        if is_new and is_bad and move.is_open:
            self._events.note(
                "version_answer_bad",
                service=service,
                version=version,
                cause=failure or "slow",
                slowness=round(slowness, 1),
            )
        self._judge(move, now)

    def list_evidence(self, now: float) -> list[Evidence]:
        """Return the counts of this process, and recently changed ones of other processes."""
        rows = []
        for move in self._moves.values():
            if not move.order.is_open:
                continue
            own = self._make_evidence(move, self._process, move.evidence.own, now)
            rows.append(replace(own, is_rejected=move.is_rejected))
            for process, counts in move.evidence.list_recent(now):
                rows.append(self._make_evidence(move, process, counts, now))
        return rows

    def list_totals(self, now: float) -> list[Evidence]:
        """Return the pooled counts of all processes."""
        rows = []
        for move in self._moves.values():
            if move.order.is_open:
                row = self._make_evidence(move, None, move.evidence.total, now)
                rows.append(replace(row, is_rejected=move.is_rejected))
        return rows

    def merge_evidence(self, evidence: Iterable[Evidence], now: float) -> None:
        """Merge evidence of other VMs; reject new versions that look bad or that they rejected."""
        for row in evidence:
            move = self._moves.get(row.service)
            if move is None or move.order.target != row.target or not move.order.is_open:
                continue
            move.started_at = min(move.started_at, now - row.age_s)
            if row.process is None:
                move.evidence.merge_total(row.counts)
            elif row.process != self._process:
                move.evidence.merge_process(row.process, row.counts, now)
            if row.is_rejected:
                self._reject(move, True)
            else:
                self._judge(move, now)

    def _make_evidence(
        self, move: VersionMove, process: ProcessId | None, counts: AnswerCounts, now: float
    ) -> Evidence:
        order = move.order
        return Evidence(
            order.service, order.target, process, counts, age_s=max(0.0, now - move.started_at)
        )

    def _judge(self, move: VersionMove, now: float) -> None:
        if not move.is_open:
            return
        move.judge.update(move.evidence.total, now)
        if move.judge.is_bad:
            self._reject(move, False)

    def _reject(self, move: VersionMove, was_told: bool) -> None:
        """Reject the new version, on this VM's own judgement or as another VM ``was_told`` of."""
        if move.is_rejected:
            return
        move.is_rejected = True
        total, own = move.evidence.total, move.evidence.own
        self._events.note(
            "version_rejected",
            service=move.order.service,
            version=move.order.target,
            bad=total.bad,
            good=total.good,
            own_bad=own.bad,
            own_good=own.good,
            others_bad=total.others_bad,
            others_good=total.others_good,
            by_peer=was_told,
        )
