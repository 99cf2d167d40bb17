"""One non-repeatable request: at most one attempt in flight, another only after NOT_RUN."""

import trio

from zinnia_model.queries import Query
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import SubResult
from zinnia_model.traces import RequestTrace
from zinnia_routing.attempts import Attempt, AttemptBook, ShardState
from zinnia_routing.context import (
    MAX_REPLANS,
    OWNER_REASONS,
    PATIENCE_S,
    REROUTE_PAUSE_S,
    RETRY_MARGIN_S,
    SEAL_MARGIN_S,
    Context,
)
from zinnia_routing.merge import ResultMerge, Verdict
from zinnia_routing.plan import Pinned, Target


class CommandRun:
    """Runs one request on one shard.

    The result's outcome is ANSWERED, NOT_RUN if every attempt ended so, and UNKNOWN otherwise.
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
        self._pinned = pinned
        self._trace = trace
        (self._shard,) = pinned.shards
        self._state = ShardState(self._shard)
        self._merge = ResultMerge(pinned.snapshot, pinned.shards)
        self._book = AttemptBook(context, query, prefix, self.deliver)
        self._wake = trio.Event()
        self._result: SubResult | None = None
        self._replans = 0
        self._retry_reason: Reason | None = None
        self._mismatched = False

    async def run(self) -> SubResult:
        """Return the typed result, at the latest at the deadline."""
        last = self._describe(Outcome.NOT_RUN, Reason.NO_REPLICA)
        while (target := await self._find_target()) is not None:
            last = await self._attempt(target)
            if not self._may_send_again(last):
                return last
        return last

    def deliver(self, result: SubResult) -> None:
        """Take the result of the attempt in flight; all others are ignored."""
        verdict = self._merge.accept(result)
        if verdict is Verdict.MISMATCHED:
            self._mismatched = True
        if verdict in (Verdict.MERGED, Verdict.FAILED):
            self._result = result
            self._wake.set()

    async def _find_target(self) -> Target | None:
        """Return a replica, after pauses if there is none; None when the patience ends."""
        give_up_at = min(trio.current_time() + PATIENCE_S, self._query.deadline_at - RETRY_MARGIN_S)
        excluded = self._state.excluded
        while (now := trio.current_time()) < give_up_at:
            self._context.planner.refresh(self._pinned, now)
            target = self._context.planner.choose(self._pinned, self._shard, excluded, cross=True)
            if target is not None:
                return target
            if excluded and not self._state.rerouted:
                return None
            await trio.sleep_until(min(give_up_at, now + REROUTE_PAUSE_S))
            excluded = [r for r in self._state.excluded if r not in self._state.rerouted]
        return None

    async def _attempt(self, target: Target) -> SubResult:
        """Send one attempt and return its result, UNKNOWN if none arrives before the deadline."""
        self._wake, self._result = trio.Event(), None
        now = trio.current_time()
        if self._retry_reason is not None:
            self._context.counters.count_retry(self._retry_reason)
            self._note("retry", f"{target.replica} {self._retry_reason.value}")
        first = self._book.sent == 0
        self._book.add(self._state, target, self._merge, now)
        if first:
            self._context.budget.earn(1)
        (attempt,) = self._book.list_open()
        try:
            self._book.flush(self._merge, now)
            with trio.move_on_at(self._query.deadline_at - SEAL_MARGIN_S):
                await self._wake.wait()
        finally:
            self._finish(attempt)
        if self._result is None:
            # A queued attempt that was withdrawn in time reports that it did not run.
            with trio.move_on_at(self._query.deadline_at):
                await self._wake.wait()
        return self._judge(target)

    def _finish(self, attempt: Attempt) -> None:
        if self._result is None:
            self._book.cancel([attempt])
        else:
            self._book.close(attempt)

    def _judge(self, target: Target) -> SubResult:
        if self._result is None:
            reason = Reason.BACKEND_MISMATCH if self._mismatched else Reason.DEADLINE
            return self._describe(Outcome.UNKNOWN, reason)
        result = self._result
        if result.outcome is not Outcome.ANSWERED:
            self._note("failed", f"{target.replica} {result.reason} {result.outcome.value}")
        if result.reason in OWNER_REASONS:
            self._state.rerouted.append(target.replica)
        return result

    def _may_send_again(self, result: SubResult) -> bool:
        """Decide on another attempt; only a result that says NOT_RUN allows one."""
        if result.outcome is not Outcome.NOT_RUN or result.reason is Reason.CANCELLED:
            return False
        if self._query.deadline_at - trio.current_time() < RETRY_MARGIN_S:
            return False
        if self._context.refuse_check(self._query.fingerprint) is not None:
            return False
        reason = result.reason or Reason.INTERNAL
        if reason is Reason.SNAPSHOT_GONE:
            return self._replan()
        if not self._state.may_retry(reason, self._context.choice.max_retries):
            return False
        if not self._context.charge_retry(reason):
            return False
        self._state.note_retry(reason)
        self._retry_reason = reason
        return True

    def _replan(self) -> bool:
        """Pin the newest map if it is another one that still has the shard."""
        shard_map = self._context.topology.shard_map(self._query.service)
        if shard_map is None or shard_map.snapshot == self._pinned.snapshot:
            return False
        if self._replans >= MAX_REPLANS or self._shard not in shard_map.shards:
            return False
        self._replans += 1
        self._retry_reason = Reason.SNAPSHOT_GONE
        now = trio.current_time()
        planner = self._context.planner
        self._pinned = planner.pin_again(self._pinned, shard_map, self._shard, now)
        self._merge = ResultMerge(self._pinned.snapshot, self._pinned.shards)
        self._state = ShardState(self._shard)
        return True

    def _describe(self, outcome: Outcome, reason: Reason) -> SubResult:
        """Return a result for this request that no backend server sent."""
        replica = self._state.excluded[-1] if self._state.excluded else ""
        attempt_id = self._query.attempt_id or ""
        return SubResult(attempt_id, outcome, self._shard, replica, reason)

    def _note(self, event: str, detail: str) -> None:
        if self._trace is not None:
            self._trace.add(trio.current_time(), event, detail)
