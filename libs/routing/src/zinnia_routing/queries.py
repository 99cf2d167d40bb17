"""Execution of repeatable queries: attempts, retries, hedges and replans up to the answer."""

from collections import Counter

import trio

from zinnia_model.ids import ReplicaId, ShardId
from zinnia_model.queries import Answer, Coverage, Query
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.shardmaps import ShardMap
from zinnia_model.subrequests import SubResult
from zinnia_model.traces import RequestTrace
from zinnia_routing.attempts import Attempt, AttemptRegistry, ShardState
from zinnia_routing.choice import ResendRule
from zinnia_routing.context import (
    CRASH_REPORT_WAIT_S,
    LONGEST_TARGET_LOOKUP_PAUSE_S,
    MAX_REPLANS,
    OVERLOAD_REASONS,
    OWNER_FAILURES,
    RETRY_MARGIN_S,
    SEAL_MARGIN_S,
    SHARD_MAP_POLL_S,
    SHARD_MAP_WAIT_S,
    TARGET_LOOKUP_PAUSE_S,
    TARGET_WAIT_S,
    ExecutionContext,
)
from zinnia_routing.merge import QueryMerges, Verdict
from zinnia_routing.plan import PinnedPlan

HEDGE_RECHECK_S = 0.002  # until a hedge without a free slot or token is tried again
ESTIMATE_RECHECK_S = 0.02  # until a service without latency quantiles is checked again
NEVER = float("inf")


class QueryRun:
    """Runs one query in a single task that waits on one event and one timer for all shards.

    ``deliver`` merges a result within the call. It wakes the task only if there is something to
    decide: the last shard was answered, or an attempt failed.
    """

    def __init__(
        self,
        context: ExecutionContext,
        query: Query,
        pinned: PinnedPlan,
        prefix: str,
        trace: RequestTrace | None,
    ) -> None:
        self._context = context
        self._query = query
        self._trace = trace
        self._seal_at = query.deadline_at - SEAL_MARGIN_S
        self._registry = AttemptRegistry(context, query, prefix, self.deliver)
        self._latency = context.latencies[query.service]
        self._wake = trio.Event()
        self._pinned = pinned
        self._merges = QueryMerges()
        self._not_run = 0
        self._has_crashed = False
        self._refusal: Reason | None = None
        self._failures: Counter[Reason] = Counter()
        self._timed_out = False
        self.missed_deadline = False

    async def run(self) -> Answer:
        """Return the sealed answer, at the latest ``SEAL_MARGIN_S`` before the deadline."""
        try:
            self._start(self._pinned, trio.current_time())
            while (wake_at := self._run_due_steps(trio.current_time())) is not None:
                with trio.move_on_at(wake_at):
                    await self._wake.wait()
                if self._wake.is_set():
                    self._wake = trio.Event()
        finally:
            self._registry.cancel(self._registry.list_open())
            self._merge = self._merges.seal()
            results, coverage = self._merge.seal()
        return self._build_answer(results, coverage)

    def deliver(self, result: SubResult) -> None:
        """Receive one result; those of replaced plans or after the end of the query are ignored."""
        verdict = self._merge.accept(result)
        if verdict is Verdict.IGNORED:
            return
        attempt = self._registry.find(result.attempt_id)
        if verdict is Verdict.MERGED:
            self._settle_answered(attempt)
            return
        if result.outcome is Outcome.NOT_RUN:
            self._not_run += 1
        if not attempt.is_open:
            return
        self._registry.settle(attempt)
        mismatched = verdict is Verdict.MISMATCHED
        reason = Reason.BACKEND_MISMATCH if mismatched else result.reason or Reason.INTERNAL
        self._settle_failed(attempt, reason)

    def _start(self, pinned: PinnedPlan, now: float) -> None:
        """Send the first attempt of each shard of a plan."""
        self._pinned = pinned
        merge = self._merge = self._merges.start(pinned.snapshot, pinned.shards)
        self._states = [ShardState(shard) for shard in pinned.shards]
        self._remaining = len(self._states)
        self._waiting: list[ShardState] = []
        self._snapshot_gone: list[ShardState] = []
        self._snapshot_gone_at: float | None = None
        choose, add = self._context.planner.choose, self._registry.add
        warm_up = (
            None if self._is_crash_suspect() else self._context.planner.find_warm_up_target(pinned)
        )
        sent_before = self._registry.sent
        for state in self._states:
            if warm_up is not None and state.shard == warm_up[0]:
                add(state, warm_up[1], merge, now, is_warm_up=True)
                continue
            target = choose(pinned, state.shard, (), allow_other_version=True)
            if target is None:
                self._schedule_retry(state, None, now, now + TARGET_LOOKUP_PAUSE_S)
            else:
                add(state, target, merge, now)
        self._context.budget.earn_tokens(self._registry.sent - sent_before)
        rule = self._find_resend_rule()
        self._hedge_at = now + (ESTIMATE_RECHECK_S if rule is None else rule.first_delay_s)
        self._trace_event(
            now, "plan", f"{pinned.snapshot} {pinned.version} {len(self._states)} shards"
        )
        self._registry.send_batches(merge, now)

    def _run_due_steps(self, now: float) -> float | None:
        """Send the retries, hedges and replans that are due.

        The result is the time of the next call, None if the query has ended.
        """
        if now < self._seal_at:
            if self._snapshot_gone:
                self._handle_snapshot_gone(now)
            if self._waiting and self._remaining:
                self._resend_waiting(now)
            if self._hedge_at <= now and self._remaining:
                self._hedge_slow_shards(now)
        if not self._remaining:
            return None
        if now >= self._seal_at:
            self.missed_deadline = self._timed_out = True
            return None
        wake_at = min(self._seal_at, self._hedge_at)
        for state in self._waiting:
            wake_at = min(wake_at, state.retry_at)
        return min(wake_at, now + SHARD_MAP_POLL_S) if self._snapshot_gone else wake_at

    def _settle_answered(self, attempt: Attempt) -> None:
        state = attempt.state
        now = trio.current_time()
        if attempt.is_open:
            self._registry.settle(attempt)
            # Only the first attempt is sampled: a hedge or retry that answers first is faster than
            # most attempts and would lower the estimate.
            if attempt.replica == state.tried[0]:
                self._latency.record(now - attempt.sent_at)
        if state.open_attempts:
            self._cancel_losers(state, now)
        if not state.settled:
            state.settled = True
            self._remaining -= 1
        if not self._remaining:
            self._wake.set()

    def _cancel_losers(self, state: ShardState, now: float) -> None:
        losers = self._registry.list_open(state)
        for attempt in losers:
            if attempt.replica == state.tried[0]:
                self._latency.record_unfinished(now - attempt.sent_at)
        self._registry.cancel(losers)

    def _settle_failed(self, attempt: Attempt, reason: Reason) -> None:
        """Schedule a retry or replan, unless another open attempt of the shard may still answer."""
        state, now = attempt.state, trio.current_time()
        self._failures[reason] += 1
        self._trace_event(now, "failed", f"{state.shard} {attempt.replica} {reason.value}")
        if reason is Reason.BACKEND_CRASHED:
            self._has_crashed = True
        if state.settled:
            return
        if reason is Reason.SNAPSHOT_GONE:
            self._snapshot_gone.append(state)
            state.reason = reason
            if self._snapshot_gone_at is None:
                self._snapshot_gone_at = now
            self._wake.set()
            return
        if reason in OWNER_FAILURES:
            state.refused_by_owner.append(attempt.replica)
        if state.open_attempts or state in self._snapshot_gone:
            return
        pause = CRASH_REPORT_WAIT_S if self._is_crash_suspect() else 0.0
        self._schedule_retry(state, reason, now, now + pause)
        self._wake.set()

    def _schedule_retry(
        self, state: ShardState, reason: Reason | None, now: float, until: float
    ) -> None:
        state.reason = reason
        state.failed_at = now
        state.retry_at = until
        self._waiting.append(state)

    def _give_up_shard(self, state: ShardState, reason: Reason, now: float) -> None:
        """Settle a shard without an answer; the coverage reports it as missing."""
        if state.settled:
            return
        state.settled = True
        self._remaining -= 1
        if reason in OVERLOAD_REASONS:
            self.missed_deadline = True
        self._failures[reason] += 1
        self._trace_event(now, "lost", f"{state.shard} {reason.value}")

    def _resend_waiting(self, now: float) -> None:
        waiting, self._waiting = self._waiting, []
        due = [state for state in waiting if state.retry_at <= now]
        self._waiting = [state for state in waiting if state.retry_at > now]
        if not due:
            return
        self._context.planner.refresh(self._pinned, now)
        self._refusal = self._context.find_crash_refusal(self._query.fingerprint)
        for state in due:
            if not state.settled and not state.open_attempts:
                self._resend_shard(state, now)
        self._registry.send_batches(self._merge, now)

    def _resend_shard(self, state: ShardState, now: float) -> None:
        """Retry a shard now, schedule another try after a pause, or give the shard up."""
        reason = state.reason or Reason.NO_REPLICA
        if self._refusal is not None:
            self._give_up_shard(state, self._refusal, now)
            return
        late = self._query.deadline_at - now < RETRY_MARGIN_S
        if late or not state.may_retry(reason, self._context.choice.max_retries):
            self._give_up_shard(state, reason, now)
            return
        excluded = state.tried
        pause = min(
            TARGET_LOOKUP_PAUSE_S * max(1, len(state.refused_by_owner)),
            LONGEST_TARGET_LOOKUP_PAUSE_S,
        )
        if now >= state.failed_at + pause and state.refused_by_owner:
            excluded = [replica for replica in excluded if replica not in state.refused_by_owner]
        target = self._context.planner.choose(
            self._pinned, state.shard, excluded, allow_other_version=True
        )
        is_first = not state.tried
        if target is None:
            # All other replicas failed, so only a change of owner can provide a target.
            if reason in OWNER_FAILURES:
                state.retry_at = now + TARGET_LOOKUP_PAUSE_S
                self._waiting.append(state)
                return
            target_may_appear = is_first or state.refused_by_owner
            self._wait_or_give_up(state, reason if target_may_appear else None, reason, now)
            return
        if not is_first and not self._context.charge_retry(reason):
            self._wait_or_give_up(state, Reason.RETRY_BUDGET_EMPTY, reason, now)
            return
        if not is_first:
            state.record_retry(reason)
            self._context.counters.count_retry(reason)
            self._trace_event(now, "retry", f"{state.shard} {target.replica} {reason.value}")
        self._registry.add(state, target, self._merge, now)
        if is_first:
            self._context.budget.earn_tokens(1)

    def _wait_or_give_up(
        self, state: ShardState, wait_reason: Reason | None, reason: Reason, now: float
    ) -> None:
        """Check a shard again after a pause, or give it up.

        It is given up ``TARGET_WAIT_S`` after its failure, or at once without a ``wait_reason``.
        """
        if wait_reason is None or now >= state.failed_at + TARGET_WAIT_S:
            self._give_up_shard(state, wait_reason or reason, now)
            return
        state.retry_at = now + TARGET_LOOKUP_PAUSE_S
        self._waiting.append(state)

    def _is_crash_suspect(self) -> bool:
        return self._has_crashed or self._context.is_suspect(self._query.fingerprint)

    def _find_resend_rule(self) -> ResendRule | None:
        context = self._context
        if not context.switches.hedging:
            return None
        return context.choice.find_resend_rule(self._latency.quantiles, context.budget.depletion)

    def _hedge_slow_shards(self, now: float) -> None:
        """Hedge each shard whose newest attempt is too old, and set the time of the next check."""
        self._hedge_at = NEVER
        if not self._context.switches.hedging or self._is_crash_suspect():
            return
        rule = self._find_resend_rule()
        if rule is None:
            self._hedge_at = now + ESTIMATE_RECHECK_S
            return
        self._context.planner.refresh(self._pinned, now)
        for state in self._states:
            if state.settled or not state.open_attempts or state.hedges >= rule.max_resends:
                continue
            due_at = state.sent_at + (rule.next_delay_s if state.hedges else rule.first_delay_s)
            if due_at <= now:
                due_at = now + self._hedge_shard(state, rule, now)
            self._hedge_at = min(self._hedge_at, due_at)
        self._registry.send_batches(self._merge, now)

    def _hedge_shard(self, state: ShardState, rule: ResendRule, now: float) -> float:
        """Send a hedge if a replica can run it at once; return the seconds until the next check."""
        context = self._context
        target = context.planner.choose(self._pinned, state.shard, state.tried)
        if target is None and state.hedges:
            # Every usable replica has been tried. Most stragglers are slow in a single run only, so
            # a second run on a replica that still runs the shard is likely to be fast.
            target = context.planner.choose(
                self._pinned, state.shard, self._list_failed_replicas(state)
            )
        if target is None:
            return NEVER
        if rule.uses_budget:
            if not context.has_free_slot(target.replica):
                return HEDGE_RECHECK_S
            if not context.budget.take_token(Reason.STRAGGLER):
                return HEDGE_RECHECK_S
        if rule.cancel_open:
            self._registry.cancel(self._registry.list_open(state))
        state.hedges += 1
        context.counters.count_hedge(Reason.STRAGGLER)
        self._trace_event(now, "hedge", f"{state.shard} {target.replica}")
        self._registry.add(state, target, self._merge, now)
        return rule.next_delay_s

    def _list_failed_replicas(self, state: ShardState) -> list[ReplicaId]:
        """Return the tried replicas that have no open attempt for this shard."""
        running = {attempt.replica for attempt in self._registry.list_open(state)}
        return [replica for replica in state.tried if replica not in running]

    def _handle_snapshot_gone(self, now: float) -> None:
        """Replan the whole query on another snapshot, or give up the affected shards.

        Without a replan, the query waits up to ``SHARD_MAP_WAIT_S`` for a newer shard map.
        """
        expired = now >= self._snapshot_gone_at + SHARD_MAP_WAIT_S
        quantiles = self._latency.quantiles
        time_needed = quantiles.p50 if quantiles else 0.0
        allowed = self._merges.count <= MAX_REPLANS and self._seal_at - now > time_needed
        newest = self._context.topology.shard_map(self._query.service)
        shard_map = self._merges.find_untried_map(newest, expired) if allowed else None
        if shard_map is not None:
            self._replan(shard_map, now)
            return
        if allowed and not expired:
            return
        gone, self._snapshot_gone = self._snapshot_gone, []
        for state in gone:
            self._give_up_shard(state, Reason.SNAPSHOT_GONE, now)

    def _replan(self, shard_map: ShardMap, now: float) -> None:
        self._context.counters.count_retry(Reason.SNAPSHOT_GONE)
        self._trace_event(now, "replan", shard_map.snapshot)
        self._registry.cancel(self._registry.list_open())
        self._registry.clear()
        planner = self._context.planner
        planner.refresh(self._pinned, now)
        self._start(planner.pin_map(self._pinned, shard_map, self._query.shard, now), now)

    def _build_answer(self, results: dict[ShardId, bytes], coverage: Coverage) -> Answer:
        if results:
            detail = f"{coverage.answered}/{coverage.asked}"
            self._trace_event(trio.current_time(), "sealed", detail)
            return Answer(self._query.request_id, self._merge.snapshot, coverage, results)
        not_run = self._not_run == self._registry.sent
        reason = self._refusal or self._find_main_reason()
        raise self._context.refuse(
            reason,
            Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
            f"no shard of service {self._query.service!r} answered ({reason.value}); "
            "send the query again with a longer deadline or check the service's replicas",
            trio.current_time(),
            self._trace,
        )

    def _find_main_reason(self) -> Reason:
        if self._timed_out or not self._failures:
            return Reason.DEADLINE
        return self._failures.most_common(1)[0][0]

    def _trace_event(self, now: float, event: str, detail: str) -> None:
        if self._trace is not None:
            self._trace.add(now, event, detail)
