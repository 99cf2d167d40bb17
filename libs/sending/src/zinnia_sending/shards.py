"""Sends a request to a replica of each of its services, with retries and hedges."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf

import trio

from zinnia_sending.answers import Exchange, ExchangeResult
from zinnia_sending.attempts import (
    Attempt,
    AttemptSender,
    RunRequest,
    SendReason,
    ShardProgress,
    WantedSend,
)
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.fleet import Fleet
from zinnia_sending.heldretries import HeldRetries
from zinnia_sending.replica import Replica

# Fraction of the retry budget that hedges leave for retries after failures.
HEDGE_RESERVE_FRACTION = 0.15
# A run ends this long before the deadline of its request.
REQUEST_END_MARGIN_S = 0.03
# Passes of the event loop before a decision after a timeout; see ``_run_ready_tasks``.
EVENT_LOOP_PASSES = 2

RETRY_REASONS = {
    ExchangeResult.NOT_SENT: SendReason.RETRY_NOT_SENT,
    ExchangeResult.NOT_RUN: SendReason.RETRY_NOT_RUN,
    ExchangeResult.WRONG_REPLICA: SendReason.RETRY_WRONG_REPLICA,
    ExchangeResult.FAILED: SendReason.RETRY_FAILED,
    ExchangeResult.BROKEN: SendReason.RETRY_BROKEN,
}
# Results that show that the replica has read the request.
READ_RESULTS = frozenset((ExchangeResult.ANSWERED, ExchangeResult.FAILED, ExchangeResult.NOT_RUN))
# Results that show that the request did not reach the chosen replica.
UNDELIVERED_RESULTS = frozenset((ExchangeResult.NOT_SENT, ExchangeResult.WRONG_REPLICA))


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One decision of a run, ``offset_s`` seconds after the request was received."""

    offset_s: float
    event: str
    fields: dict


class ShardRun(ABC):
    """Base class for running a request: sends, retries and hedges for each of its shards.

    Parameters
    ----------
    request : RunRequest
        The request to run.
    fleet : Fleet
        Chooses the replicas.
    budget : RetryBudget
        Limits hedges and retries.
    sender : AttemptSender
        Runs the attempts.
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
        self._trace: list[TraceStep] = []
        self._pending = len(self._shards)
        self._answered = 0
        self._held = HeldRetries()
        self._end_at = request.end_at - REQUEST_END_MARGIN_S
        self._hedge_at = inf

    @property
    def request(self) -> RunRequest:
        """The request that is run."""
        return self._request

    @property
    def trace(self) -> tuple[TraceStep, ...]:
        """The decisions made so far."""
        return tuple(self._trace)

    def limit_end(self, end_at: float) -> None:
        """End the run at the latest at ``end_at``, a monotonic time in seconds."""
        self._end_at = min(self._end_at, end_at - REQUEST_END_MARGIN_S)
        self._wake.set()

    def settle(self, attempt: Attempt, exchange: Exchange) -> None:
        """Handle the end of an attempt: accept its answer, retry, or settle the shard."""
        shard = attempt.shard
        shard.in_flight.remove(attempt)
        self._record_reading(attempt, exchange)
        if self._is_sealed or shard.is_settled:
            return
        if exchange.result is not ExchangeResult.ANSWERED or attempt.reason is not SendReason.FIRST:
            self._record_end(attempt, exchange)
        if exchange.result.may_have_run:
            shard.may_have_run = True
        if exchange.is_unanswered:
            self._held.count_crash(shard)
        if self._accept_answer(shard, exchange):
            return
        if exchange.result in UNDELIVERED_RESULTS:
            shard.sends -= 1
        if exchange.result is ExchangeResult.WRONG_REPLICA:
            shard.has_misdirected = True
        if not self._retry(shard, attempt, exchange.result):
            self._settle_if_idle(shard)
        self._probe_held()

    def _record_reading(self, attempt: Attempt, exchange: Exchange) -> None:
        """Tell the budget what the end of an attempt says about when sends arrive."""
        shard, replica = attempt.shard, attempt.replica.id
        now = trio.current_time()
        if exchange.result in READ_RESULTS or exchange.is_unanswered:
            self._budget.record_read(shard.service, replica, attempt.started_at, now)
        elif exchange.result is ExchangeResult.CANCELLED and shard.spent_at:
            spent_at = shard.spent_at.pop()
            self._budget.record_unread(shard.service, replica, attempt.started_at, spent_at, now)

    def _settle_if_idle(self, shard: ShardProgress) -> None:
        """Settle a shard without an answer that gets no more attempts."""
        if not shard.in_flight and shard.wanted is None and not shard.is_held:
            self._settle_shard(shard)

    def _accept_answer(self, shard: ShardProgress, exchange: Exchange) -> bool:
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
        self._release_held()
        return True

    def _settle_shard(self, shard: ShardProgress) -> None:
        shard.is_settled = True
        self._pending -= 1
        if self._is_decided():
            self._wake.set()

    @abstractmethod
    def _is_decided(self) -> bool:
        """Return whether ``_wait_for_decision`` should return; called after each settled shard."""

    def _choose_first_replicas(
        self, shards: Iterable[ShardProgress]
    ) -> list[tuple[ShardProgress, Replica]]:
        """Choose a replica for the first send of each shard; settle shards without a usable one."""
        now = trio.current_time()
        planned = []
        for shard in shards:
            self._budget.count_request(shard.service, now)
            replica = self._fleet.choose(shard.service, (), now)
            if replica is None:
                self._record_no_replica(shard, SendReason.FIRST, (), now)
                self._settle_shard(shard)
            else:
                planned.append((shard, replica))
        return planned

    def _choose_probe(self) -> tuple[ShardProgress, Replica] | None:
        """Choose a replica for the only send of a suspect, None without a usable one."""
        now = trio.current_time()
        for shard in self._shards:
            versions = self._fleet.crashes.list_crashed_versions(self._request, shard.service)
            replica = self._fleet.choose_avoiding(shard.service, versions, now)
            if replica is not None:
                return shard, replica
        return None

    def _retry(self, shard: ShardProgress, attempt: Attempt, result: ExchangeResult) -> bool:
        """Send again after a failure if that is allowed; return whether the shard goes on.

        If the request may have run, a replica that was tried may get it again.
        """
        is_safe = self._request.route.is_idempotent or not result.may_have_run
        if not is_safe or result is ExchangeResult.CANCELLED:
            return False
        if trio.current_time() >= self._end_at:
            return False
        reason = RETRY_REASONS.get(result, SendReason.RETRY_FAILED)
        return self._send_again(shard, reason, result.may_have_run)

    def _send_again(self, shard: ShardProgress, reason: SendReason, may_repeat: bool) -> bool:
        """Send to a replica, or wait for permission; return False if neither is possible.

        Attempts and the retry budget limit the sends. Prefers a replica that was not tried before;
        if there is none, ``may_repeat`` allows a tried one without an attempt in flight.
        """
        now = trio.current_time()
        if shard.sends >= self._request.route.max_attempts:
            return False
        if shard.sends and self._fleet.crashes.is_suspect(self._request):
            self._note("crash_suspect", service=shard.service, reason=reason.value)
            return False
        if shard.sends and self._must_hold(shard):
            return self._hold(shard, WantedSend(reason, may_repeat))
        replica = self._choose_again(shard, reason, may_repeat, now)
        if replica is None:
            return False
        reserve = HEDGE_RESERVE_FRACTION if reason is SendReason.HEDGE else 0.0
        is_extra = shard.may_have_arrived
        if is_extra and not self._budget.allows_send(shard.service, now, reserve):
            self._note("budget_spent", service=shard.service, reason=reason.value)
            return False
        if self._waits_for_permission(shard, WantedSend(reason, may_repeat)):
            return True
        if is_extra:
            self._budget.spend(shard.service, now)
            shard.spent_at.append(now)
        self._note("sent", service=shard.service, replica=replica.id, reason=reason.value)
        self._send(shard, replica, reason, now)
        return True

    def _must_hold(self, shard: ShardProgress) -> bool:
        """Return whether retries wait until the request has been answered by any replica."""
        if not self._request.is_fanout or self._answered or shard.is_probe:
            return False
        return self._held.has_crashed_many

    def _hold(self, shard: ShardProgress, wanted: WantedSend) -> bool:
        """Keep a retry until the request has an answer; return False for a hedge, which ends."""
        if wanted.reason is SendReason.HEDGE:
            return False
        self._note("held", service=shard.service, reason=wanted.reason.value)
        self._held.add(shard, wanted)
        return True

    def _release_held(self) -> None:
        """Send the retries that were held, as the request has an answer."""
        for shard, wanted in self._held.take_all():
            self._resume(shard, wanted)

    def _probe_held(self) -> None:
        """Send one of the retries that are held if nothing else can bring an answer anymore.

        If that crashes a replica too, the shards whose retries are held are settled.
        """
        while self._held.is_waiting and not self._may_get_answer():
            shard, wanted = self._held.take_first()
            if self._held.has_probed:
                self._settle_if_idle(shard)
                continue
            shard.is_probe = True
            self._resume(shard, wanted)
            self._held.has_probed = bool(shard.in_flight) or shard.wanted is not None

    def _may_get_answer(self) -> bool:
        """Return whether an attempt is in flight, or waits for permission."""
        return any(shard.in_flight or shard.wanted is not None for shard in self._shards)

    def _resume(self, shard: ShardProgress, wanted: WantedSend) -> None:
        """Send a hedge or retry that had to wait, if it is still of use."""
        if shard.is_settled or self._is_sealed or trio.current_time() >= self._end_at:
            return
        if not self._send_again(shard, wanted.reason, wanted.may_repeat):
            self._settle_if_idle(shard)

    def _waits_for_permission(self, shard: ShardProgress, wanted: WantedSend) -> bool:
        """Return whether a send has to wait until another VM permits it."""
        return False

    def _choose_again(
        self, shard: ShardProgress, reason: SendReason, may_repeat: bool, now: float
    ) -> Replica | None:
        replica = self._fleet.choose(shard.service, shard.tried, now)
        if replica is None:
            self._record_no_replica(shard, reason, shard.tried, now)
        if replica is not None or not may_repeat:
            return replica
        busy = [attempt.replica.id for attempt in shard.in_flight]
        return self._fleet.choose(shard.service, busy, now)

    def _send(self, shard: ShardProgress, replica: Replica, reason: SendReason, now: float) -> None:
        attempt = Attempt(shard, replica, reason, now, self._request, self.settle)
        shard.tried.append(replica.id)
        shard.in_flight.append(attempt)
        shard.sends += 1
        self._sender.start(attempt)

    async def _wait_for_decision(self, until: float) -> None:
        """Wait until a settled shard requires a decision, or until the given time."""
        with trio.move_on_at(until) as timer:
            await self._wake.wait()
        if timer.cancelled_caught:
            await _run_ready_tasks()
        self._wake = trio.Event()

    def _plan_hedges(self) -> None:
        """Set the time of the hedges, if the route allows any."""
        request = self._request
        if request.route.is_idempotent and request.route.max_attempts >= 2:
            self._hedge_at = trio.current_time() + request.latency.hedge_s

    def _hedge_if_due(self, now: float) -> bool:
        """Hedge the open shards once the time has come; return whether that was now."""
        if now < self._hedge_at:
            return False
        self._hedge_at = inf
        self._hedge_shards()
        return True

    def _hedge_shards(self) -> None:
        for shard in self._shards:
            if shard.is_settled or shard.is_hedged or len(shard.in_flight) != 1:
                continue
            shard.is_hedged = self._send_again(shard, SendReason.HEDGE, False)

    def _release_attempts(self, is_answered: bool) -> None:
        """Abandon the attempts in flight if the request was answered, otherwise cancel them."""
        for shard in self._shards:
            for attempt in shard.in_flight:
                if is_answered:
                    self._sender.abandon(attempt)
                else:
                    self._sender.cancel(attempt)

    def _note(self, event: str, **fields: object) -> None:
        """Add a decision to the trace; the name and fields are those of a log event."""
        offset_s = trio.current_time() - self._request.received_at
        self._trace.append(TraceStep(offset_s, event, fields))

    def _record_no_replica(
        self, shard: ShardProgress, reason: SendReason, tried: Collection[str], now: float
    ) -> None:
        obstacles = self._fleet.find_obstacles(shard.service, tried, now)
        self._note(
            "no_replica", service=shard.service, reason=reason.value, replicas=obstacles or "none"
        )

    def _record_end(self, attempt: Attempt, exchange: Exchange) -> None:
        self._note(
            "ended",
            service=attempt.shard.service,
            replica=attempt.replica.id,
            reason=attempt.reason.value,
            result=exchange.result.value,
            duration_ms=round(exchange.duration_s * 1000, 1),
            cause=exchange.cause,
        )


async def _run_ready_tasks() -> None:
    """Run the tasks whose answers have arrived but were not read yet because this VM is busy.

    The first pass runs tasks that the event loop has already scheduled, the second pass those that
    become ready in its next poll.
    """
    for _ in range(EVENT_LOOP_PASSES):
        await trio.lowlevel.checkpoint()
