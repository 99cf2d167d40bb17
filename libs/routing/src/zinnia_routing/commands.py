"""Execution of non-repeatable requests: one attempt at a time, a retry only after NOT_RUN."""

import trio

from zinnia_model.queries import Query
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import SubResult
from zinnia_model.traces import RequestTrace
from zinnia_routing.attempts import Attempt, AttemptRegistry, ShardState
from zinnia_routing.context import (
    MAX_REPLANS,
    OWNER_FAILURES,
    RETRY_MARGIN_S,
    SEAL_MARGIN_S,
    TARGET_LOOKUP_PAUSE_S,
    TARGET_WAIT_S,
    ExecutionContext,
)
from zinnia_routing.merge import ResultMerge, Verdict
from zinnia_routing.plan import PinnedPlan, Target


class CommandRun:
    """Runs one non-repeatable request on one shard.

    The outcome of the result is ANSWERED, NOT_RUN if every attempt ended with NOT_RUN, and UNKNOWN
    otherwise.
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
        self._pinned = pinned
        self._trace = trace
        (self._shard,) = pinned.shards
        self._state = ShardState(self._shard)
        self._merge = ResultMerge(pinned.snapshot, pinned.shards)
        self._registry = AttemptRegistry(context, query, prefix, self.deliver)
        self._wake = trio.Event()
        self._result: SubResult | None = None
        self._replans = 0
        self._retry_reason: Reason | None = None
        self._mismatched = False

    async def run(self) -> SubResult:
        """Return the result, at the latest at the deadline."""
        last = self._build_local_result(Outcome.NOT_RUN, Reason.NO_REPLICA)
        while (target := await self._wait_for_target()) is not None:
            last = await self._run_attempt(target)
            if not self._prepare_retry(last):
                return last
        return last

    def deliver(self, result: SubResult) -> None:
        """Receive the result of the attempt in flight; other results are ignored."""
        verdict = self._merge.accept(result)
        if verdict is Verdict.MISMATCHED:
            self._mismatched = True
        if verdict in (Verdict.MERGED, Verdict.FAILED):
            self._result = result
            self._wake.set()

    async def _wait_for_target(self) -> Target | None:
        """Return a replica with its owner, None if there is none within ``TARGET_WAIT_S``."""
        give_up_at = min(
            trio.current_time() + TARGET_WAIT_S, self._query.deadline_at - RETRY_MARGIN_S
        )
        excluded = self._state.tried
        while (now := trio.current_time()) < give_up_at:
            self._context.planner.refresh(self._pinned, now)
            target = self._context.planner.choose(
                self._pinned, self._shard, excluded, allow_other_version=True
            )
            if target is not None:
                return target
            if excluded and not self._state.refused_by_owner:
                return None
            await trio.sleep_until(min(give_up_at, now + TARGET_LOOKUP_PAUSE_S))
            excluded = [r for r in self._state.tried if r not in self._state.refused_by_owner]
        return None

    async def _run_attempt(self, target: Target) -> SubResult:
        """Send one attempt and return its result, UNKNOWN if none arrives before the deadline."""
        self._wake, self._result = trio.Event(), None
        now = trio.current_time()
        if self._retry_reason is not None:
            self._context.counters.count_retry(self._retry_reason)
            self._trace_event("retry", f"{target.replica} {self._retry_reason.value}")
        is_first = self._registry.sent == 0
        self._registry.add(self._state, target, self._merge, now)
        if is_first:
            self._context.budget.earn_tokens(1)
        (attempt,) = self._registry.list_open()
        try:
            self._registry.send_batches(self._merge, now)
            with trio.move_on_at(self._query.deadline_at - SEAL_MARGIN_S):
                await self._wake.wait()
        finally:
            self._settle_attempt(attempt)
        if self._result is None:
            # An attempt that was cancelled while queued at its owner still reports NOT_RUN.
            with trio.move_on_at(self._query.deadline_at):
                await self._wake.wait()
        return self._build_result(target)

    def _settle_attempt(self, attempt: Attempt) -> None:
        if self._result is None:
            self._registry.cancel([attempt])
        else:
            self._registry.settle(attempt)

    def _build_result(self, target: Target) -> SubResult:
        if self._result is None:
            reason = Reason.BACKEND_MISMATCH if self._mismatched else Reason.DEADLINE
            return self._build_local_result(Outcome.UNKNOWN, reason)
        result = self._result
        if result.outcome is not Outcome.ANSWERED:
            self._trace_event("failed", f"{target.replica} {result.reason} {result.outcome.value}")
        if result.reason in OWNER_FAILURES:
            self._state.refused_by_owner.append(target.replica)
        return result

    def _prepare_retry(self, result: SubResult) -> bool:
        """Return whether to retry, and charge the retry; only a NOT_RUN result allows one."""
        if result.outcome is not Outcome.NOT_RUN or result.reason is Reason.CANCELLED:
            return False
        if self._query.deadline_at - trio.current_time() < RETRY_MARGIN_S:
            return False
        if self._context.find_crash_refusal(self._query.fingerprint) is not None:
            return False
        reason = result.reason or Reason.INTERNAL
        if reason is Reason.SNAPSHOT_GONE:
            return self._replan()
        if not self._state.may_retry(reason, self._context.choice.max_retries):
            return False
        if not self._context.charge_retry(reason):
            return False
        self._state.record_retry(reason)
        self._retry_reason = reason
        return True

    def _replan(self) -> bool:
        """Pin the newest shard map if it is another one with the shard; return whether it is."""
        shard_map = self._context.topology.shard_map(self._query.service)
        if shard_map is None or shard_map.snapshot == self._pinned.snapshot:
            return False
        if self._replans >= MAX_REPLANS or self._shard not in shard_map.shards:
            return False
        self._replans += 1
        self._retry_reason = Reason.SNAPSHOT_GONE
        now = trio.current_time()
        planner = self._context.planner
        self._pinned = planner.pin_map(self._pinned, shard_map, self._shard, now)
        self._merge = ResultMerge(self._pinned.snapshot, self._pinned.shards)
        self._state = ShardState(self._shard)
        return True

    def _build_local_result(self, outcome: Outcome, reason: Reason) -> SubResult:
        """Return a result that this VM creates without an answer of a backend server."""
        replica = self._state.tried[-1] if self._state.tried else ""
        attempt_id = self._query.attempt_id or ""
        return SubResult(attempt_id, outcome, self._shard, replica, reason)

    def _trace_event(self, event: str, detail: str) -> None:
        if self._trace is not None:
            self._trace.add(trio.current_time(), event, detail)
