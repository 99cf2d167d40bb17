"""One repeatable query on its way from the plan to the sealed answer."""

from collections import Counter

import trio

from zinnia_model.ids import ReplicaId, ShardId
from zinnia_model.queries import Answer, Coverage, Query
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.shardmaps import ShardMap
from zinnia_model.subrequests import SubResult
from zinnia_model.traces import RequestTrace
from zinnia_routing.attempts import Attempt, AttemptBook, ShardState
from zinnia_routing.choice import ResendRule
from zinnia_routing.context import (
    LONGEST_REROUTE_PAUSE_S,
    MAP_POLL_S,
    MAP_WAIT_S,
    MAX_REPLANS,
    OVERLOAD_REASONS,
    OWNER_REASONS,
    PATIENCE_S,
    REROUTE_PAUSE_S,
    RETRY_MARGIN_S,
    SEAL_MARGIN_S,
    SUSPECT_PAUSE_S,
    Context,
)
from zinnia_routing.merge import ResultMerge, Verdict
from zinnia_routing.plan import Pinned

HEDGE_PAUSE_S = 0.002  # until a hedge that was held back is considered again
RULE_PAUSE_S = 0.02  # until a service without a latency estimate is considered again
NEVER = float("inf")


class QueryRun:
    """Runs one query; the task sleeps on one event with one timer for all shards.

    ``deliver`` merges results on the caller's stack and wakes the task only when something is left
    to decide: the last shard answered, or an attempt failed.
    """

    def __init__(
        self,
        context: Context,
        query: Query,
        pinned: Pinned,
        prefix: str,
        trace: RequestTrace | None,
    ) -> None:
        self._context = context
        self._query = query
        self._trace = trace
        self._seal_at = query.deadline_at - SEAL_MARGIN_S
        self._book = AttemptBook(context, query, prefix, self.deliver)
        self._latency = context.latencies[query.service]
        self._wake = trio.Event()
        self._pinned = pinned
        self._merges: list[ResultMerge] = []
        self._not_run = 0
        self._suspect = False
        self._refusal: Reason | None = None
        self._failures: Counter[Reason] = Counter()
        self._timed_out = False
        self.missed_deadline = False

    async def run(self) -> Answer:
        """Return the sealed answer, at the latest shortly before the deadline."""
        try:
            self._start(self._pinned, trio.current_time())
            while (wake_at := self._advance(trio.current_time())) is not None:
                with trio.move_on_at(wake_at):
                    await self._wake.wait()
                if self._wake.is_set():
                    self._wake = trio.Event()
        finally:
            self._book.cancel(self._book.list_open())
            results, coverage = self._seal()
        return self._answer(results, coverage)

    def deliver(self, result: SubResult) -> None:
        """Take one result of this query, of whatever plan, and at whatever time."""
        verdict = self._merge.accept(result)
        if verdict is Verdict.IGNORED:
            return
        attempt = self._book.find(result.attempt_id)
        if verdict is Verdict.MERGED:
            self._settle_answered(attempt)
            return
        if result.outcome is Outcome.NOT_RUN:
            self._not_run += 1
        if not attempt.is_open:
            return
        self._book.close(attempt)
        mismatched = verdict is Verdict.MISMATCHED
        reason = Reason.BACKEND_MISMATCH if mismatched else result.reason or Reason.INTERNAL
        self._settle_failed(attempt, reason)

    def _start(self, pinned: Pinned, now: float) -> None:
        """Send the first attempt of every shard of a plan."""
        self._pinned = pinned
        merge = self._merge = ResultMerge(pinned.snapshot, pinned.shards)
        self._merges.append(merge)
        self._states = [ShardState(shard) for shard in pinned.shards]
        self._remaining = len(self._states)
        self._waiting: list[ShardState] = []
        self._gone: list[ShardState] = []
        self._gone_at: float | None = None
        choose, add = self._context.planner.choose, self._book.add
        warm_up = None if self._check_suspect() else self._context.planner.find_warm_up(pinned)
        sent_before = self._book.sent
        for state in self._states:
            if warm_up is not None and state.shard == warm_up[0]:
                add(state, warm_up[1], merge, now, warms_up=True)
                continue
            target = choose(pinned, state.shard, (), cross=True)
            if target is None:
                self._wait(state, None, now, now + REROUTE_PAUSE_S)
            else:
                add(state, target, merge, now)
        self._context.budget.earn(self._book.sent - sent_before)
        rule = self._find_rule()
        self._hedge_at = now + (RULE_PAUSE_S if rule is None else rule.after_s)
        self._note(now, "plan", f"{pinned.snapshot} {pinned.version} {len(self._states)} shards")
        self._book.flush(merge, now)

    def _advance(self, now: float) -> float | None:
        """Take the decisions that are due; return when to wake up, None at the end."""
        if now < self._seal_at:
            if self._gone:
                self._handle_gone(now)
            if self._waiting and self._remaining:
                self._resend_waiting(now)
            if self._hedge_at <= now and self._remaining:
                self._hedge_slow(now)
        if not self._remaining:
            return None
        if now >= self._seal_at:
            self.missed_deadline = self._timed_out = True
            return None
        wake_at = min(self._seal_at, self._hedge_at)
        for state in self._waiting:
            wake_at = min(wake_at, state.retry_at)
        return min(wake_at, now + MAP_POLL_S) if self._gone else wake_at

    # Results

    def _settle_answered(self, attempt: Attempt) -> None:
        state = attempt.state
        now = trio.current_time()
        if attempt.is_open:
            self._book.close(attempt)
            # Hedges and retries that win are shorter than most and would lower the estimate.
            if attempt.replica == state.excluded[0]:
                self._latency.record(now - attempt.sent_at)
        if state.open:
            self._cancel_losers(state, now)
        if not state.settled:
            state.settled = True
            self._remaining -= 1
        if not self._remaining:
            self._wake.set()

    def _cancel_losers(self, state: ShardState, now: float) -> None:
        losers = self._book.list_open(state)
        for attempt in losers:
            if attempt.replica == state.excluded[0]:
                self._latency.record_unfinished(now - attempt.sent_at)
        self._book.cancel(losers)

    def _settle_failed(self, attempt: Attempt, reason: Reason) -> None:
        """Plan what follows, unless another open attempt of the shard may still answer."""
        state, now = attempt.state, trio.current_time()
        self._failures[reason] += 1
        self._note(now, "failed", f"{state.shard} {attempt.replica} {reason.value}")
        if reason is Reason.BACKEND_CRASHED:
            self._suspect = True
        if state.settled:
            return
        if reason is Reason.SNAPSHOT_GONE:
            self._gone.append(state)
            state.reason = reason
            if self._gone_at is None:
                self._gone_at = now
            self._wake.set()
            return
        if reason in OWNER_REASONS:
            state.rerouted.append(attempt.replica)
        if state.open or state in self._gone:
            return
        pause = SUSPECT_PAUSE_S if self._check_suspect() else 0.0
        self._wait(state, reason, now, now + pause)
        self._wake.set()

    def _wait(self, state: ShardState, reason: Reason | None, now: float, until: float) -> None:
        state.reason = reason
        state.failed_at = now
        state.retry_at = until
        self._waiting.append(state)

    def _lose(self, state: ShardState, reason: Reason, now: float) -> None:
        """Give up a shard; the answer reports it as missing."""
        if state.settled:
            return
        state.settled = True
        self._remaining -= 1
        if reason in OVERLOAD_REASONS:
            self.missed_deadline = True
        self._failures[reason] += 1
        self._note(now, "lost", f"{state.shard} {reason.value}")

    # Retries

    def _resend_waiting(self, now: float) -> None:
        waiting, self._waiting = self._waiting, []
        due = [state for state in waiting if state.retry_at <= now]
        self._waiting = [state for state in waiting if state.retry_at > now]
        if not due:
            return
        self._context.planner.refresh(self._pinned, now)
        self._refusal = self._context.refuse_check(self._query.fingerprint)
        for state in due:
            if not state.settled and not state.open:
                self._resend(state, now)
        self._book.flush(self._merge, now)

    def _resend(self, state: ShardState, now: float) -> None:
        """Send a shard again, or look again after a pause, or give it up."""
        reason = state.reason or Reason.NO_REPLICA
        if self._refusal is not None:
            self._lose(state, self._refusal, now)
            return
        late = self._query.deadline_at - now < RETRY_MARGIN_S
        if late or not state.may_retry(reason, self._context.choice.max_retries):
            self._lose(state, reason, now)
            return
        excluded = state.excluded
        pause = min(REROUTE_PAUSE_S * max(1, len(state.rerouted)), LONGEST_REROUTE_PAUSE_S)
        if now >= state.failed_at + pause and state.rerouted:
            excluded = [replica for replica in excluded if replica not in state.rerouted]
        target = self._context.planner.choose(self._pinned, state.shard, excluded, cross=True)
        first = not state.excluded
        if target is None:
            # With no replica left but those that failed, only a change of owner can help.
            if reason in OWNER_REASONS:
                state.retry_at = now + REROUTE_PAUSE_S
                self._waiting.append(state)
                return
            can_change = first or state.rerouted
            self._look_again(state, reason if can_change else None, reason, now)
            return
        if not first and not self._context.charge_retry(reason):
            self._look_again(state, Reason.RETRY_BUDGET_EMPTY, reason, now)
            return
        if not first:
            state.note_retry(reason)
            self._context.counters.count_retry(reason)
            self._note(now, "retry", f"{state.shard} {target.replica} {reason.value}")
        self._book.add(state, target, self._merge, now)
        if first:
            self._context.budget.earn(1)

    def _look_again(
        self, state: ShardState, waits_for: Reason | None, reason: Reason, now: float
    ) -> None:
        """Keep a shard waiting until the patience ends; without a cause to wait it is lost."""
        if waits_for is None or now >= state.failed_at + PATIENCE_S:
            self._lose(state, waits_for or reason, now)
            return
        state.retry_at = now + REROUTE_PAUSE_S
        self._waiting.append(state)

    # Hedges

    def _check_suspect(self) -> bool:
        return self._suspect or self._context.is_suspect(self._query.fingerprint)

    def _find_rule(self) -> ResendRule | None:
        context = self._context
        if not context.switches.hedging:
            return None
        return context.choice.find_resend_rule(self._latency.quantiles, context.budget.strain)

    def _hedge_slow(self, now: float) -> None:
        """Hedge every shard whose newest attempt is too old, and set the next time to look."""
        self._hedge_at = NEVER
        if not self._context.switches.hedging or self._check_suspect():
            return
        rule = self._find_rule()
        if rule is None:
            self._hedge_at = now + RULE_PAUSE_S
            return
        self._context.planner.refresh(self._pinned, now)
        for state in self._states:
            if state.settled or not state.open or state.hedges >= rule.limit:
                continue
            due_at = state.sent_at + (rule.again_after_s if state.hedges else rule.after_s)
            if due_at <= now:
                due_at = now + self._hedge(state, rule, now)
            self._hedge_at = min(self._hedge_at, due_at)
        self._book.flush(self._merge, now)

    def _hedge(self, state: ShardState, rule: ResendRule, now: float) -> float:
        """Send a hedge if its target can take it; return the seconds until the next look."""
        context = self._context
        target = context.planner.choose(self._pinned, state.shard, state.excluded)
        if target is None and state.hedges:
            # All replicas run this shard already. Most stragglers are a matter of the one run, so
            # another run on a replica that was tried is likely to be fast.
            target = context.planner.choose(self._pinned, state.shard, self._list_failed(state))
        if target is None:
            return NEVER
        if rule.charge:
            if not context.has_free_slot(target.replica):
                return HEDGE_PAUSE_S
            if not context.budget.take(Reason.STRAGGLER):
                return HEDGE_PAUSE_S
        if rule.replace:
            self._book.cancel(self._book.list_open(state))
        state.hedges += 1
        context.counters.count_hedge(Reason.STRAGGLER)
        self._note(now, "hedge", f"{state.shard} {target.replica}")
        self._book.add(state, target, self._merge, now)
        return rule.again_after_s

    def _list_failed(self, state: ShardState) -> list[ReplicaId]:
        """Return the replicas whose attempt for this shard has ended without an answer."""
        running = {attempt.replica for attempt in self._book.list_open(state)}
        return [replica for replica in state.excluded if replica not in running]

    # Replans

    def _handle_gone(self, now: float) -> None:
        """Plan the whole query again on another snapshot, or give up the shards without one."""
        expired = now >= self._gone_at + MAP_WAIT_S
        quantiles = self._latency.quantiles
        time_needed = quantiles.p50 if quantiles else 0.0
        allowed = len(self._merges) <= MAX_REPLANS and self._seal_at - now > time_needed
        shard_map = self._find_untried_map(expired) if allowed else None
        if shard_map is not None:
            self._replan(shard_map, now)
            return
        if allowed and not expired:
            return
        gone, self._gone = self._gone, []
        for state in gone:
            self._lose(state, Reason.SNAPSHOT_GONE, now)

    def _find_untried_map(self, expired: bool) -> ShardMap | None:
        """Return the newest map, or the previous one if the newest is not served yet."""
        tried = {merge.snapshot for merge in self._merges}
        shard_map = self._context.topology.shard_map(self._query.service)
        if shard_map is not None and expired and shard_map.snapshot in tried:
            shard_map = shard_map.previous
        return None if shard_map is None or shard_map.snapshot in tried else shard_map

    def _replan(self, shard_map: ShardMap, now: float) -> None:
        self._context.counters.count_retry(Reason.SNAPSHOT_GONE)
        self._note(now, "replan", shard_map.snapshot)
        self._book.cancel(self._book.list_open())
        self._book.forget()
        planner = self._context.planner
        planner.refresh(self._pinned, now)
        self._start(planner.pin_again(self._pinned, shard_map, self._query.shard, now), now)

    # The end

    def _seal(self) -> tuple[dict[ShardId, bytes], Coverage]:
        """Seal all plans; the answer is the one with the best coverage, the newest on a tie."""
        best = max(reversed(self._merges), key=lambda merge: merge.answered)
        self._merge = best
        for merge in self._merges:
            merge.seal()
        return best.seal()

    def _answer(self, results: dict[ShardId, bytes], coverage: Coverage) -> Answer:
        if results:
            detail = f"{coverage.answered}/{coverage.asked}"
            self._note(trio.current_time(), "sealed", detail)
            return Answer(self._query.request_id, self._merge.snapshot, coverage, results)
        not_run = self._not_run == self._book.sent
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

    def _note(self, now: float, event: str, detail: str) -> None:
        if self._trace is not None:
            self._trace.add(now, event, detail)
