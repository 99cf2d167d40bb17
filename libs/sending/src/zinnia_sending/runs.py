"""Runs one request: over all shards of a route, or at one replica of a service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import trio

from zinnia_sending.answers import ReplicaAnswer
from zinnia_sending.attempts import AttemptSender, RunRequest, SendReason, ShardProgress
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.delegation import (
    Assignment,
    Delegation,
    DelegationEnd,
    DelegationListener,
    Delegator,
    PartialResult,
)
from zinnia_sending.fleet import Fleet
from zinnia_sending.shards import ShardRun, TraceStep

# Time before the target latency at which an incomplete answer is sealed, as a part of the target,
# beside the delay that this VM has seen between that time and its reply.
SEAL_MARGIN_PART = 0.07
MIN_SEAL_MARGIN_S = 0.007
# An answer that is sealed later than this waited for parts, not for the processor.
LONGEST_LAG_S = 0.03
# A VM that has not accepted its shards after this time is taken for lost: some round trips within
# a data centre, and a few milliseconds in which its processor is busy.
ACCEPT_TIMEOUT_S = 0.025
# Time before the seal of an incomplete answer at which other VMs report what is in.
REPORT_LEAD_S = 0.004
# A VM that has not reported this long after the seal is taken for lost.
REPORT_GRACE_S = 0.012


class RunVerdict(Enum):
    """How a run ended."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    FAILED = "failed"
    EXPIRED = "expired"
    NO_REPLICA = "no_replica"
    REJECTED = "rejected"


@dataclass(slots=True)
class RunTiming:
    """When a run first sent and when it was sealed, on the runtime's clock; None if it did not."""

    sent_at: float | None = None
    sealed_at: float | None = None


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """The answers of a run and how it ended.

    ``answers`` holds the parts that are in; ``failure`` is a replica's own failure, to be passed on
    if there is no answer. ``may_have_run`` tells whether the request may have run anywhere.
    ``retry_after_s`` is when another attempt may find a replica. ``planned_seal_at`` is
    the time at which an incomplete answer was to be sealed, None if it was not sealed by time.
    """

    verdict: RunVerdict
    answers: tuple[ReplicaAnswer, ...]
    missing: int
    failure: ReplicaAnswer | None
    may_have_run: bool
    retry_after_s: float
    trace: tuple[TraceStep, ...]
    planned_seal_at: float | None = None


class RequestRun(ShardRun, DelegationListener):
    """Runs a request of a caller until it can be answered.

    Parameters
    ----------
    request, fleet, budget, sender
        As for ``ShardRun``.
    delegator : Delegator, optional
        Has other VMs run shards of a request over many.
    """

    def __init__(
        self,
        request: RunRequest,
        fleet: Fleet,
        budget: RetryBudget,
        sender: AttemptSender,
        delegator: Delegator | None = None,
    ) -> None:
        super().__init__(request, fleet, budget, sender)
        self.timing = RunTiming()
        self._delegator = delegator if request.is_fanout else None
        self._delegations: list[Delegation] = []
        target_s = request.target_at - request.received_at
        margin_s = max(MIN_SEAL_MARGIN_S, SEAL_MARGIN_PART * target_s) + request.seal_lag_s
        self._seal_at = request.target_at - margin_s if request.is_fanout else request.end_at

    async def run(self) -> RunOutcome:
        """Run the request; on cancellation all of its sends are cancelled."""
        try:
            if self._start_first():
                await self._wait()
            return self._seal()
        finally:
            self._is_sealed = True
            is_answered = self._is_enough(self._answered)
            self._release_attempts(is_answered)
            self._release_delegations(is_answered)

    def take_result(self, delegation: Delegation, result: PartialResult) -> None:
        """Take answers that another VM has merged; the first one carries their records."""
        if self._is_sealed:
            return
        records = result.records
        for service, signature in result.signatures:
            shard = delegation.shards.get(service)
            if shard is None or shard.is_settled:
                continue
            shard.answer = ReplicaAnswer(200, (), records, signature)
            records = b""
            self._answered += 1
            self._settle_shard(shard)
        for failure in result.failures:
            shard = delegation.shards.get(failure.service)
            if shard is not None and not shard.is_settled:
                shard.sends = failure.sends
                self._run_here(shard)

    def end_delegation(self, delegation: Delegation, end: DelegationEnd) -> None:
        """Send for the shards of a VM that is out from here."""
        if self._is_sealed:
            return
        open_shards = [row for row in delegation.shards.values() if not row.is_settled]
        self._note(
            "delegation_ended",
            peer=delegation.assignment.vm,
            cause=end.value,
            open_shards=len(open_shards),
        )
        sends = delegation.count_sends(end, trio.current_time())
        for shard in open_shards:
            shard.sends = sends
            self._run_here(shard)

    def _run_here(self, shard: ShardProgress) -> None:
        """Send from this VM for a shard that another one has not got an answer for."""
        shard.is_delegated = False
        shard.may_have_run = shard.may_have_run or shard.sends > 0
        reason = SendReason.RETRY_DELEGATED if shard.sends else SendReason.FIRST
        is_late = trio.current_time() >= self._end_at
        if is_late or not self._start(shard, reason, ()):
            self._settle_shard(shard)

    def _start_first(self) -> bool:
        """Send for each service; nothing is sent if too few services have a replica."""
        assignments = self._assign()
        named = {service for row in assignments for service in row.services}
        delegated = [shard for shard in self._shards if shard.service in named]
        planned = self._plan(shard for shard in self._shards if shard.service not in named)
        if not self._is_enough(len(planned) + len(delegated)):
            return False
        now = trio.current_time()
        self.timing.sent_at = now
        for shard in delegated:
            shard.is_delegated = True
        for assignment in assignments:
            self._delegate(assignment)
        for shard, replica in planned:
            self._send(shard, replica, SendReason.FIRST, now)
        return True

    def _assign(self) -> list[Assignment]:
        """Return what other VMs are to run, if enough shards have a replica at all."""
        if self._delegator is None:
            return []
        services = self._request.services
        if not self._is_enough(sum(self._fleet.has_replica(service) for service in services)):
            return []
        return self._delegator.assign(services)

    def _delegate(self, assignment: Assignment) -> None:
        services = set(assignment.services)
        shards = {row.service: row for row in self._shards if row.service in services}
        allowed = int(len(self._shards) * (1.0 - self._request.route.min_shard_ratio) + 1e-9)
        report_at = self._seal_at - REPORT_LEAD_S
        delegation = Delegation(
            assignment,
            self._request,
            shards,
            report_at,
            allowed + 1,
            self,
            written_at=trio.current_time(),
        )
        self._delegations.append(delegation)
        self._note("delegated", peer=assignment.vm, shards=len(shards))
        self._delegator.start(delegation)

    async def _wait(self) -> None:
        """Wait until the request can be answered or given up; hedge slow shards meanwhile."""
        hedge_at = self._find_hedge_time()
        while not self._is_decided():
            now = trio.current_time()
            if hedge_at is not None and now >= hedge_at:
                self._hedge_shards()
                hedge_at = None
                continue
            if self._end_silent(now):
                continue
            await self._wait_for_news(self._find_next_time(hedge_at))

    def _end_silent(self, now: float) -> bool:
        """Give up on VMs that should have said something by now; return whether there are any."""
        silent = [
            row for row in self._delegations if not row.is_over and self._find_word_time(row) <= now
        ]
        for delegation in silent:
            self._delegator.note_silence(delegation)
            delegation.end(DelegationEnd.SILENT)
        return bool(silent)

    def _find_word_time(self, delegation: Delegation) -> float:
        """Return when the VM must have said something next."""
        if delegation.has_reported:
            return self._end_at
        if delegation.is_accepted:
            return self._seal_at + REPORT_GRACE_S
        return delegation.written_at + ACCEPT_TIMEOUT_S

    def _find_next_time(self, hedge_at: float | None) -> float:
        next_at = self._end_at
        if hedge_at is not None:
            next_at = min(next_at, hedge_at)
        if self._seal_at > trio.current_time():
            next_at = min(next_at, self._seal_at)
        words = [self._find_word_time(row) for row in self._delegations if not row.is_over]
        return min([next_at, *words])

    def _is_decided(self) -> bool:
        now = trio.current_time()
        if self._pending == 0 or now >= self._end_at:
            return True
        missing_for_good = len(self._shards) - self._answered - self._pending
        if not self._is_enough(len(self._shards) - missing_for_good):
            return True
        return now >= self._seal_at and self._is_enough(self._answered)

    def _is_enough(self, answered: int) -> bool:
        if not self._request.is_fanout:
            return answered == len(self._shards)
        ratio = self._request.route.min_shard_ratio
        return answered > 0 and answered >= ratio * len(self._shards) - 1e-9

    def _release_delegations(self, is_answered: bool) -> None:
        for delegation in self._delegations:
            if not delegation.is_over:
                delegation.is_over = True
                self._delegator.finish(delegation, is_answered)

    def _seal(self) -> RunOutcome:
        self._is_sealed = True
        self.timing.sealed_at = now = trio.current_time()
        answers = tuple(shard.answer for shard in self._shards if shard.answer is not None)
        missing = len(self._shards) - len(answers)
        may_have_run = any(
            shard.may_have_run or shard.live or shard.is_delegated for shard in self._shards
        )
        failure = self._shards[0].failure if not self._request.is_fanout else None
        verdict = self._judge(missing, may_have_run)
        retry_after_s = self._find_retry_time() if verdict is RunVerdict.NO_REPLICA else 0.0
        late_s = now - self._seal_at
        is_by_time = verdict is RunVerdict.PARTIAL and 0 <= late_s < LONGEST_LAG_S
        return RunOutcome(
            verdict,
            answers,
            missing,
            failure,
            may_have_run,
            retry_after_s,
            self.trace,
            self._seal_at if is_by_time else None,
        )

    def _judge(self, missing: int, may_have_run: bool) -> RunVerdict:
        if missing == 0:
            return RunVerdict.COMPLETE
        if self._is_enough(self._answered):
            return RunVerdict.PARTIAL
        if trio.current_time() >= self._end_at:
            return RunVerdict.EXPIRED
        if may_have_run:
            return RunVerdict.FAILED
        was_sent = any(shard.tried for shard in self._shards)
        return RunVerdict.REJECTED if was_sent else RunVerdict.NO_REPLICA

    def _find_retry_time(self) -> float:
        """Return in how many seconds a replica of a missing shard may be tried again."""
        now = trio.current_time()
        latest = 0.0
        for shard in self._shards:
            trial_at = self._fleet.find_trial_time(shard.service, now)
            if trial_at is not None:
                latest = max(latest, trial_at - now)
        return latest
