"""Runs one request: over all shards of a route, or at one replica of a service."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

import trio

from zinnia_sending.answers import Exchange, ExchangeResult, ReplicaAnswer
from zinnia_sending.attempts import (
    Attempt,
    AttemptSender,
    RunRequest,
    SendReason,
    ShardProgress,
)
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.fleet import Fleet
from zinnia_sending.replica import Replica

# Part of the allowed extra sends that hedges leave for retries after failures.
HEDGE_RESERVE = 0.15
# Time before the target latency at which an incomplete answer is sealed, as a part of the target,
# beside the delay that this VM has seen between that time and its reply.
SEAL_MARGIN_PART = 0.07
MIN_SEAL_MARGIN_S = 0.007
# An answer that is sealed later than this waited for parts, not for the processor.
LONGEST_LAG_S = 0.03
# Time before the end of a request at which it is given up.
END_MARGIN_S = 0.03
# Passes of the event loop before a decision by time.
READ_PASSES = 2

RETRY_REASONS = {
    ExchangeResult.NOT_SENT: SendReason.RETRY_NOT_SENT,
    ExchangeResult.NOT_RUN: SendReason.RETRY_NOT_RUN,
    ExchangeResult.WRONG_REPLICA: SendReason.RETRY_WRONG_REPLICA,
    ExchangeResult.FAILED: SendReason.RETRY_FAILED,
    ExchangeResult.BROKEN: SendReason.RETRY_BROKEN,
}
# Results after which nothing has arrived at the replica that was meant.
NO_ARRIVAL = frozenset((ExchangeResult.NOT_SENT, ExchangeResult.WRONG_REPLICA))


class RunVerdict(Enum):
    """How a run ended."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    FAILED = "failed"
    EXPIRED = "expired"
    NO_REPLICA = "no_replica"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One decision of a run, ``offset_s`` seconds after the request was received."""

    offset_s: float
    event: str
    fields: dict


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


class RequestRun:
    """Sends one request to a replica of each of its services until it can be answered.

    Parameters
    ----------
    request : RunRequest
        What to run.
    fleet : Fleet
        Chooses replicas.
    budget : RetryBudget
        Pays for hedges and retries.
    sender : AttemptSender
        Carries out the attempts.
    """

    def __init__(
        self, request: RunRequest, fleet: Fleet, budget: RetryBudget, sender: AttemptSender
    ) -> None:
        self._request = request
        self._fleet = fleet
        self._budget = budget
        self._sender = sender
        self._shards = [ShardProgress(service) for service in request.services]
        self._wake = trio.Event()
        self._is_sealed = False
        self.timing = RunTiming()
        self._trace: list[TraceStep] = []
        self._pending = len(self._shards)
        self._answered = 0
        target_s = request.target_at - request.received_at
        margin_s = max(MIN_SEAL_MARGIN_S, SEAL_MARGIN_PART * target_s) + request.seal_lag_s
        self._seal_at = request.target_at - margin_s if request.is_fanout else request.end_at
        self._end_at = request.end_at - END_MARGIN_S

    @property
    def trace(self) -> tuple[TraceStep, ...]:
        """The decisions so far."""
        return tuple(self._trace)

    async def run(self) -> RunOutcome:
        """Run the request; on cancellation all of its sends are cancelled."""
        try:
            if self._start_first():
                await self._wait()
            return self._seal()
        finally:
            self._is_sealed = True
            self._release_attempts()

    def settle(self, attempt: Attempt, exchange: Exchange) -> None:
        """Take the end of an attempt."""
        shard = attempt.shard
        shard.live.remove(attempt)
        if self._is_sealed or shard.is_settled:
            return
        if exchange.result is not ExchangeResult.ANSWERED or attempt.reason is not SendReason.FIRST:
            self._note_end(attempt, exchange)
        if exchange.result.may_have_run:
            shard.may_have_run = True
        if self._accept(shard, exchange):
            return
        if exchange.result in NO_ARRIVAL:
            shard.sends -= 1
        if self._retry(shard, attempt, exchange.result):
            return
        if not shard.live:
            self._settle_shard(shard)

    def _accept(self, shard: ShardProgress, exchange: Exchange) -> bool:
        answer = exchange.answer
        if exchange.result is ExchangeResult.FAILED:
            shard.failure = answer
        if exchange.result is not ExchangeResult.ANSWERED or answer is None:
            return False
        if self._request.is_fanout and not answer.is_success:
            return False
        shard.answer = answer
        self._answered += 1
        self._settle_shard(shard)
        return True

    def _settle_shard(self, shard: ShardProgress) -> None:
        shard.is_settled = True
        self._pending -= 1
        self._wake.set()

    def _start_first(self) -> bool:
        """Send to a replica of each service; nothing is sent if too few services have one."""
        now = trio.current_time()
        planned = []
        for shard in self._shards:
            self._budget.count_request(shard.service, now)
            replica = self._fleet.choose(shard.service, (), now)
            if replica is None:
                self._note_absence(shard, SendReason.FIRST, (), now)
                self._settle_shard(shard)
            else:
                planned.append((shard, replica))
        if not self._is_enough(len(planned)):
            return False
        self.timing.sent_at = now
        for shard, replica in planned:
            self._send(shard, replica, SendReason.FIRST, now)
        return True

    def _retry(self, shard: ShardProgress, attempt: Attempt, result: ExchangeResult) -> bool:
        """Send again after a failure, if that is allowed and useful."""
        is_safe = self._request.route.is_idempotent or not result.may_have_run
        if not is_safe or result is ExchangeResult.CANCELLED:
            return False
        if trio.current_time() >= self._end_at:
            return False
        reason = RETRY_REASONS.get(result, SendReason.RETRY_FAILED)
        if self._start(shard, reason, shard.tried):
            return True
        if not result.may_have_run:
            return False
        return self._start(shard, reason, [other.replica.id for other in shard.live])

    def _start(self, shard: ShardProgress, reason: SendReason, excluded: Collection[str]) -> bool:
        now = trio.current_time()
        if shard.sends >= self._request.route.max_attempts:
            return False
        replica = self._fleet.choose(shard.service, excluded, now)
        if replica is None:
            self._note_absence(shard, reason, excluded, now)
            return False
        reserve = HEDGE_RESERVE if reason is SendReason.HEDGE else 0.0
        if shard.sends and not self._budget.take(shard.service, now, reserve):
            self._note("budget_spent", service=shard.service, reason=reason.value)
            return False
        self._note("sent", service=shard.service, replica=replica.id, reason=reason.value)
        self._send(shard, replica, reason, now)
        return True

    def _send(self, shard: ShardProgress, replica: Replica, reason: SendReason, now: float) -> None:
        attempt = Attempt(shard, replica, reason, now, self._request, self.settle)
        shard.tried.append(replica.id)
        shard.live.append(attempt)
        shard.sends += 1
        self._sender.start(attempt)

    async def _wait(self) -> None:
        """Wait until the request can be answered or given up; hedge slow shards meanwhile."""
        hedge_at = self._find_hedge_time()
        while not self._is_decided():
            now = trio.current_time()
            if hedge_at is not None and now >= hedge_at:
                self._hedge_shards()
                hedge_at = None
                continue
            with trio.move_on_at(self._find_next_time(hedge_at)) as timer:
                await self._wake.wait()
            if timer.cancelled_caught:
                await _read_arrived()
            self._wake = trio.Event()

    def _find_hedge_time(self) -> float | None:
        request = self._request
        if not request.route.is_idempotent or request.route.max_attempts < 2:
            return None
        return trio.current_time() + request.latency.hedge_s

    def _find_next_time(self, hedge_at: float | None) -> float:
        next_at = self._end_at
        if hedge_at is not None:
            next_at = min(next_at, hedge_at)
        if self._seal_at > trio.current_time():
            next_at = min(next_at, self._seal_at)
        return next_at

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

    def _hedge_shards(self) -> None:
        for shard in self._shards:
            if shard.is_settled or shard.is_hedged or len(shard.live) != 1:
                continue
            shard.is_hedged = self._start(shard, SendReason.HEDGE, shard.tried)

    def _release_attempts(self) -> None:
        is_answered = self._is_enough(self._answered)
        for shard in self._shards:
            for attempt in shard.live:
                if is_answered:
                    self._sender.abandon(attempt)
                else:
                    self._sender.cancel(attempt)

    def _seal(self) -> RunOutcome:
        self._is_sealed = True
        self.timing.sealed_at = now = trio.current_time()
        answers = tuple(shard.answer for shard in self._shards if shard.answer is not None)
        missing = len(self._shards) - len(answers)
        may_have_run = any(shard.may_have_run or shard.live for shard in self._shards)
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

    def _note(self, event: str, **fields: object) -> None:
        offset_s = trio.current_time() - self._request.received_at
        self._trace.append(TraceStep(offset_s, event, fields))

    def _note_absence(
        self, shard: ShardProgress, reason: SendReason, excluded: Collection[str], now: float
    ) -> None:
        obstacles = self._fleet.explain_absence(shard.service, excluded, now)
        self._note(
            "no_replica", service=shard.service, reason=reason.value, replicas=obstacles or "none"
        )

    def _note_end(self, attempt: Attempt, exchange: Exchange) -> None:
        self._note(
            "ended",
            service=attempt.shard.service,
            replica=attempt.replica.id,
            reason=attempt.reason.value,
            result=exchange.result.value,
            duration_ms=round(exchange.duration_s * 1000, 1),
            cause=exchange.cause,
        )


async def _read_arrived() -> None:
    """Let the tasks run whose answers are in already; a slow core may be behind with them.

    The first pass runs those that the event loop knows, the second those that it finds next.
    """
    for _ in range(READ_PASSES):
        await trio.lowlevel.checkpoint()
