"""Runs attempts as background tasks and records their results in the health of the replicas."""

import trio

from zinnia_sending.answers import AnswerFault, Exchange, ExchangeResult
from zinnia_sending.attempts import Attempt, AttemptSender
from zinnia_sending.counters import SendCounters
from zinnia_sending.events import EventSink
from zinnia_sending.fleet import Fleet
from zinnia_sending.health import Condition
from zinnia_sending.limits import MAX_ANSWER_BYTES, MAX_PART_BYTES, AnswerLimits, AnswerMemory
from zinnia_sending.protocol import ReplicaProtocol
from zinnia_sending.replica import Replica

# An attempt that is no longer needed, because a hedge answered first, may run this much longer, so
# that its connection can be reused.
ABANDONED_ATTEMPT_TIMEOUT_S = 0.25
# A cancelled attempt counts as a failure of the replica if it had run without an answer for this
# many times the tail latency, and for at least ``MIN_NO_ANSWER_S``.
NO_ANSWER_TAIL_FACTOR = 4.0
MIN_NO_ANSWER_S = 0.35


class Dispatcher(AttemptSender):
    """Runs each attempt in its own task and records its result.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the tasks; attempts may outlive the request that started them.
    answer_memory : AnswerMemory, optional
        Limits the bytes of the answers that are received at the same time.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        fleet: Fleet,
        protocol: ReplicaProtocol,
        counters: SendCounters,
        events: EventSink,
        answer_memory: AnswerMemory | None = None,
    ) -> None:
        memory = answer_memory or AnswerMemory()
        self._part_limits = AnswerLimits(MAX_PART_BYTES, memory)
        self._answer_limits = AnswerLimits(MAX_ANSWER_BYTES, memory)
        self._nursery = nursery
        self._fleet = fleet
        self._protocol = protocol
        self._counters = counters
        self._events = events

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its ``finish`` is called when the exchange has ended."""
        now = trio.current_time()
        typical_latency_s = attempt.request.latency.median_s
        attempt.is_trial = attempt.replica.health.get_condition(now) is Condition.TRIAL_DUE
        self._fleet.record_send(attempt.replica, id(attempt), typical_latency_s, now)
        self._counters.count_send(attempt.reason)
        attempt.scope = trio.CancelScope(deadline=attempt.request.end_at)
        self._nursery.start_soon(self._run_attempt, attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt immediately and close its connection."""
        attempt.scope.cancel()

    def abandon(self, attempt: Attempt) -> None:
        """Cancel an attempt unless it finishes within ``ABANDONED_ATTEMPT_TIMEOUT_S``.

        A trial goes on for longer, also beyond the deadline of its request.
        """
        now = trio.current_time()
        if attempt.is_trial:
            attempt.is_kept = True
            attempt.scope.deadline = now + attempt.replica.health.trial_patience_s
            return
        attempt.scope.deadline = min(attempt.scope.deadline, now + ABANDONED_ATTEMPT_TIMEOUT_S)

    async def _run_attempt(self, attempt: Attempt) -> None:
        exchange = None
        with attempt.scope:
            exchange = await self._exchange(attempt)
        if exchange is None:
            age_s = trio.current_time() - attempt.started_at
            exchange = Exchange(ExchangeResult.CANCELLED, age_s, None, "given up")
        self._record_result(attempt, exchange)
        attempt.finish(exchange)

    async def _exchange(self, attempt: Attempt) -> Exchange:
        request = attempt.request
        try:
            return await attempt.replica.exchange(
                request.prepared,
                self._protocol,
                request.end_at,
                request.route.is_idempotent,
                self._part_limits if request.is_fanout else self._answer_limits,
            )
        except Exception as error:  # An error in one attempt must not end the process.
            self._events.note("internal_error", where="exchange", cause=repr(error))
            age_s = trio.current_time() - attempt.started_at
            return Exchange(ExchangeResult.BROKEN, age_s, None, "internal error")

    def _record_result(self, attempt: Attempt, exchange: Exchange) -> None:
        now = trio.current_time()
        replica, latency = attempt.replica, attempt.request.latency
        replica.health.record_end(id(attempt))
        slowness = exchange.duration_s / latency.median_s
        self._counters.count_result(exchange.result, exchange.duration_s)
        if exchange.fault is not None:
            self._record_fault(replica, exchange)
        if exchange.rate_limit_per_s is not None or exchange.result is ExchangeResult.ANSWERED:
            self._fleet.record_rate_limit(replica, exchange.rate_limit_per_s)
        self._fleet.crashes.record_exchange(attempt, exchange)
        result = exchange.result
        if attempt.is_kept and exchange.duration_s > MIN_NO_ANSWER_S:
            self._record_kept_trial(attempt, exchange, now)
        elif result is ExchangeResult.ANSWERED:
            latency.record(exchange.duration_s)
            replica.health.record_answer(slowness, now)
            self._record_version(attempt, None, slowness)
        elif result is ExchangeResult.NOT_RUN:
            replica.health.record_rejection(now)
        elif result is ExchangeResult.WRONG_REPLICA:
            self._events.note("replica_replaced", replica=replica.id, cause=exchange.cause)
        elif result is ExchangeResult.CANCELLED:
            self._record_cancelled(attempt, exchange, slowness, now)
        elif exchange.fault is not AnswerFault.MEMORY_FULL:
            self._record_failure(attempt, exchange.cause, now)

    def _record_kept_trial(self, attempt: Attempt, exchange: Exchange, now: float) -> None:
        """Record whether a trial that its request no longer needed showed that a replica is back.

        How long it took says nothing about the next request.
        """
        health = attempt.replica.health
        if exchange.result is ExchangeResult.CANCELLED:
            self._record_no_answer(attempt, now)
            health.record_silent_trial(now)
        elif exchange.result in (ExchangeResult.ANSWERED, ExchangeResult.NOT_RUN):
            health.record_return()
        elif exchange.result is not ExchangeResult.WRONG_REPLICA:
            self._record_failure(attempt, exchange.cause, now)

    def _record_fault(self, replica: Replica, exchange: Exchange) -> None:
        self._counters.count_fault(exchange.fault)
        self._events.note(
            "bad_answer",
            replica=replica.id,
            service=replica.entry.service,
            fault=exchange.fault.value,
            cause=exchange.cause,
        )

    def _record_cancelled(
        self, attempt: Attempt, exchange: Exchange, slowness: float, now: float
    ) -> None:
        latency, health = attempt.request.latency, attempt.replica.health
        health.record_unfinished(slowness, now)
        if exchange.duration_s < ABANDONED_ATTEMPT_TIMEOUT_S:
            return  # It was not given the time to answer.
        is_silent = health.record_silence()
        if exchange.duration_s >= max(MIN_NO_ANSWER_S, NO_ANSWER_TAIL_FACTOR * latency.tail_s):
            self._record_no_answer(attempt, now)
        elif is_silent:
            self._count_failure(attempt.replica, "no answer in several requests", now)

    def _record_no_answer(self, attempt: Attempt, now: float) -> None:
        attempt.replica.pool.discard_idle(attempt.started_at)
        self._record_failure(attempt, "no answer", now)

    def _record_failure(self, attempt: Attempt, cause: str, now: float) -> None:
        replica = attempt.replica
        if replica.availability.find_refusal(now) is not None:
            return  # It gets nothing anyway; what fails now says nothing about its version.
        self._record_version(attempt, cause, 1.0)
        self._count_failure(replica, cause, now)

    def _count_failure(self, replica: Replica, cause: str, now: float) -> None:
        if replica.health.record_failure(now):
            self._events.note(
                "replica_suspended",
                replica=replica.id,
                service=replica.entry.service,
                cause=cause,
                retry_in_s=round(replica.health.get_trial_time() - now, 3),
            )

    def _record_version(self, attempt: Attempt, failure: str | None, slowness: float) -> None:
        entry = attempt.replica.entry
        self._fleet.versions.record(
            entry.service, entry.version, failure, slowness, trio.current_time()
        )
