"""Runs shards of a fan-out for another VM and reports their merged answers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

import trio

from zinnia_catalog.ids import ServiceName
from zinnia_sending.attempts import (
    AttemptSender,
    RunRequest,
    SendReason,
    ShardProgress,
    WantedSend,
)
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.delegation import PartialResult, ShardFailure
from zinnia_sending.fleet import Fleet
from zinnia_sending.merge import merge_records
from zinnia_sending.shards import ShardRun


class SubqueryReporter(ABC):
    """Sends messages to the VM that delegated a subquery."""

    @abstractmethod
    def report(self, result: PartialResult, is_last: bool) -> None:
        """Send a partial result; ``is_last`` says that no more follow."""

    @abstractmethod
    def ask_permission(self, services: Sequence[ServiceName]) -> None:
        """Ask whether each of these shards may be sent once more."""


class SubqueryRun(ShardRun):
    """Runs delegated shards until all are settled, the deadline has passed, or it is cancelled.

    The first report is made at ``report_at`` or as soon as all shards are settled, whichever is
    first; shards that are settled later are reported individually as they are settled. Each shard
    is sent once; the delegating VM, which may lose this one, has to permit each further send.

    Parameters
    ----------
    request, fleet, budget, sender
        As for ``ShardRun``; the services are the shards to run.
    report_at : float
        Monotonic time of the first report in seconds.
    absent_shards_to_refuse : int
        Nothing is sent if at least this many shards have no usable replica.
    reporter : SubqueryReporter
        Sends results and questions to the delegating VM.
    """

    def __init__(
        self,
        request: RunRequest,
        fleet: Fleet,
        budget: RetryBudget,
        sender: AttemptSender,
        report_at: float,
        absent_shards_to_refuse: int,
        reporter: SubqueryReporter,
    ) -> None:
        super().__init__(request, fleet, budget, sender)
        self.is_answered = False
        self._report_at = report_at
        self._absent_shards_to_refuse = absent_shards_to_refuse
        self._reporter = reporter
        self._unreported = list(self._shards)
        self._shards_by_service = {shard.service: shard for shard in self._shards}
        self._unasked: list[ServiceName] = []

    @property
    def missing(self) -> int:
        """Number of shards without an answer."""
        return len(self._shards) - self._answered

    @property
    def sends(self) -> int:
        """Number of attempts that may have reached a replica."""
        return sum(shard.sends for shard in self._shards)

    async def run(self) -> bool:
        """Run the shards; return False if nothing was sent as too few have a usable replica."""
        try:
            if not self._start_shards():
                return False
            await self._wait_until_settled()
            self._report_settled(True)
            return True
        finally:
            self._is_sealed = True
            self._release_attempts(self.is_answered)

    def permit_sends(self, services: Sequence[ServiceName]) -> None:
        """Send once more for these shards, if that is still wanted."""
        for service in services:
            shard = self._shards_by_service[service]
            shard.permitted_sends += 1
            wanted, shard.wanted = shard.wanted, None
            if wanted is not None:
                self._resume(shard, wanted)
        self._probe_held()

    def _waits_for_permission(self, shard: ShardProgress, wanted: WantedSend) -> bool:
        if shard.sends < shard.permitted_sends:
            return False
        if shard.wanted is None:
            self._unasked.append(shard.service)
            self._wake.set()
        shard.wanted = wanted
        return True

    def _ask_permission(self) -> None:
        if self._unasked:
            services, self._unasked = self._unasked, []
            self._reporter.ask_permission(services)

    def _start_shards(self) -> bool:
        now = trio.current_time()
        planned = self._choose_first_replicas(self._shards)
        if len(self._shards) - len(planned) >= self._absent_shards_to_refuse:
            return False
        for shard, replica in planned:
            self._send(shard, replica, SendReason.FIRST, now)
        return True

    async def _wait_until_settled(self) -> None:
        self._plan_hedges()
        while self._pending and trio.current_time() < self._end_at:
            now = trio.current_time()
            if self._hedge_if_due(now):
                continue
            self._ask_permission()
            if now >= self._report_at:
                self._report_settled(False)
            await self._wait_for_decision(self._find_next_time())

    def _find_next_time(self) -> float:
        next_at = min(self._end_at, self._hedge_at)
        if self._report_at > trio.current_time():
            next_at = min(next_at, self._report_at)
        return next_at

    def _is_decided(self) -> bool:
        return self._pending == 0 or trio.current_time() >= self._report_at

    def _report_settled(self, is_last: bool) -> None:
        """Report the shards settled since the previous report.

        The last report also has the shards that are not settled, as failures.
        """
        settled = [shard for shard in self._unreported if shard.is_settled]
        if not settled and not is_last:
            return
        if is_last:
            settled, self._unreported = self._unreported, []
        else:
            self._unreported = [shard for shard in self._unreported if not shard.is_settled]
        self._reporter.report(self._merge(settled), is_last)

    def _merge(self, shards: list[ShardProgress]) -> PartialResult:
        answered = [shard for shard in shards if shard.answer is not None]
        records = merge_records(
            (shard.answer.body for shard in answered), self._request.route.top_k
        )
        signatures = tuple((shard.service, shard.answer.signature) for shard in answered)
        failures = tuple(
            ShardFailure(shard.service, shard.sends, shard.has_crashed, shard.has_misdirected)
            for shard in shards
            if shard.answer is None
        )
        departures = tuple(self._fleet.notices.list_departures(trio.current_time()))
        return PartialResult(signatures, records, failures, departures)
