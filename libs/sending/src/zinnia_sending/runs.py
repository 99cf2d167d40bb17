"""Runs a request of a caller, as a fan-out over shards or at one replica of a service."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from zinnia_catalog.ids import ServiceName
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
from zinnia_sending.outcomes import RunOutcome, RunTiming, RunVerdict
from zinnia_sending.shards import ShardRun

# An incomplete answer is sealed (later results are ignored) this fraction of the target latency
# before the target, and earlier by the delay that this VM has measured between seal and reply.
SEAL_MARGIN_FRACTION = 0.07
MIN_SEAL_MARGIN_S = 0.007
# An answer that is sealed later than this after the planned time has waited for answers of shards,
# not for the processor, so its delay does not count as a sample of ``seal_lag_s``.
MAX_SEAL_LAG_S = 0.03
# The delegation to a VM that has not accepted its shards after this time ends as ``SILENT``. The
# time covers some round trips within a data centre and a few milliseconds in which the processor
# of the VM is busy.
ACCEPT_TIMEOUT_S = 0.025
# The delegation to a VM that has not reported this long after the planned seal ends as ``SILENT``.
REPORT_GRACE_S = 0.012


class RequestRun(ShardRun, DelegationListener):
    """Runs a request of a caller until it can be answered.

    Parameters
    ----------
    request, fleet, budget, sender
        As for ``ShardRun``.
    delegator : Delegator, optional
        Delegates shards of a fan-out to other VMs.
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
        margin_s = max(MIN_SEAL_MARGIN_S, SEAL_MARGIN_FRACTION * target_s) + request.seal_lag_s
        self._seal_at = request.target_at - margin_s if request.is_fanout else request.end_at
        self._refusal_s: float | None = None
        self._is_probing = False

    async def run(self) -> RunOutcome:
        """Run the request and return its outcome; on cancellation, cancel all of its attempts."""
        try:
            if await self._pass_crash_check() and self._start_shards():
                await self._wait_until_decided()
            return self._seal()
        finally:
            self._is_sealed = True
            is_answered = self._can_answer_with(self._answered)
            self._release_attempts(is_answered)
            self._release_delegations(is_answered)

    async def _pass_crash_check(self) -> bool:
        """Return whether the request may be sent; a suspect is sent to one replica first."""
        self._refusal_s = self._fleet.crashes.find_refusal_time(self._request)
        if self._refusal_s is not None:
            self._note("crash_refused", retry_after_s=round(self._refusal_s, 1))
            return False
        if not self._fleet.crashes.is_suspect(self._request):
            return True
        return await self._probe()

    async def _probe(self) -> bool:
        """Send to one replica and wait for its answer; return whether to go on with all shards.

        A version that the request has not crashed comes first: a version alone may be bad.
        """
        found = self._choose_probe()
        if found is None:
            return True
        shard, replica = found
        self._note("probed", service=shard.service, replica=replica.id)
        now = trio.current_time()
        self._budget.count_request(shard.service, now)
        self.timing.sent_at = now
        self._send(shard, replica, SendReason.FIRST, now)
        self._is_probing = True
        while not shard.is_settled and trio.current_time() < self._end_at:
            await self._wait_for_decision(self._end_at)
        self._is_probing = False
        return shard.answer is not None

    def _settle_shard(self, shard: ShardProgress) -> None:
        super()._settle_shard(shard)
        if self._is_probing:
            self._wake.set()

    def handle_result(self, delegation: Delegation, result: PartialResult) -> None:
        """Store the answers in a partial result, and run the shards that failed on this VM.

        The records of the answers are already merged, so the first shard gets all of them and the
        others get empty answers.
        """
        self._fleet.notices.apply_departures(result.departures, trio.current_time())
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
        if result.signatures:
            self._release_held()
        failures = [failure for failure in result.failures if failure.service in delegation.shards]
        for failure in failures:
            if failure.has_crashed:
                self._held.count_crash(delegation.shards[failure.service])
        for failure in failures:
            shard = delegation.shards[failure.service]
            if not shard.is_settled:
                shard.sends = failure.sends
                shard.has_misdirected = shard.has_misdirected or failure.has_misdirected
                self._run_locally(shard)
        self._probe_held()

    def handle_delegation_end(self, delegation: Delegation, end: DelegationEnd) -> None:
        """Run the unsettled shards of a failed delegation on this VM."""
        if self._is_sealed:
            return
        open_shards = [shard for shard in delegation.shards.values() if not shard.is_settled]
        if not end.may_have_sent:
            for shard in open_shards:
                shard.sends = 0
        self._note(
            "delegation_ended",
            peer=delegation.assignment.vm,
            cause=end.value,
            accepted=delegation.is_accepted,
            open_shards=len(open_shards),
            counted_sends=sum(shard.sends for shard in open_shards),
        )
        for shard in open_shards:
            self._run_locally(shard)
        self._probe_held()

    def _may_get_answer(self) -> bool:
        is_delegated = any(shard.is_delegated and not shard.is_settled for shard in self._shards)
        return is_delegated or super()._may_get_answer()

    def permit_sends(
        self, delegation: Delegation, services: Sequence[ServiceName]
    ) -> list[ServiceName]:
        """Permit one more send for each of these shards that is still open on the other VM."""
        permitted = []
        for service in services:
            shard = delegation.shards.get(service)
            if shard is None or not self._may_permit_send(shard):
                continue
            shard.sends += 1
            permitted.append(service)
        return permitted

    def _may_permit_send(self, shard: ShardProgress) -> bool:
        if self._is_sealed or shard.is_settled or not shard.is_delegated:
            return False
        if self._fleet.crashes.is_suspect(self._request):
            return False
        return shard.sends < self._request.route.max_attempts

    def _run_locally(self, shard: ShardProgress) -> None:
        """Send a request from this VM for a shard that another VM has no answer for."""
        shard.is_delegated = False
        shard.may_have_run = shard.may_have_run or shard.sends > 0
        reason = SendReason.FIRST
        if shard.sends:
            reason = SendReason.RETRY_DELEGATED
        elif shard.has_misdirected:
            reason = SendReason.RETRY_WRONG_REPLICA
        is_late = trio.current_time() >= self._end_at
        if is_late or not self._send_again(shard, reason, False):
            self._settle_shard(shard)

    def _start_shards(self) -> bool:
        """Send or delegate the open shards; return False if too few have a replica.

        Nothing is sent then. All shards are open, but for one that a probe has settled.
        """
        open_shards = [shard for shard in self._shards if not shard.is_settled]
        assignments = self._assign(tuple(shard.service for shard in open_shards))
        delegated_services = {
            service for assignment in assignments for service in assignment.services
        }
        delegated = [shard for shard in open_shards if shard.service in delegated_services]
        planned = self._choose_first_replicas(
            shard for shard in open_shards if shard.service not in delegated_services
        )
        if not self._can_answer_with(len(planned) + len(delegated) + self._answered):
            return False
        now = trio.current_time()
        self.timing.sent_at = now
        for shard in delegated:
            shard.is_delegated = True
            shard.sends = 1
        for assignment in assignments:
            self._delegate(assignment)
        for shard, replica in planned:
            self._send(shard, replica, SendReason.FIRST, now)
        return True

    def _assign(self, services: tuple[ServiceName, ...]) -> list[Assignment]:
        """Return the assignments to other VMs; empty if too few shards have a known replica."""
        if self._delegator is None:
            return []
        known = sum(self._fleet.has_replica(service) for service in services)
        if not self._can_answer_with(known + self._answered):
            return []
        return self._delegator.assign(services)

    def _delegate(self, assignment: Assignment) -> None:
        """Delegate the assigned shards; the other VM refuses if too many have no usable replica."""
        services = set(assignment.services)
        shards = {shard.service: shard for shard in self._shards if shard.service in services}
        max_missing = int(len(self._shards) * (1.0 - self._request.route.min_shard_ratio) + 1e-9)
        report_at = self._seal_at - assignment.report_lead_s
        delegation = Delegation(
            assignment,
            self._request,
            shards,
            report_at,
            max_missing + 1,
            self,
            written_at=trio.current_time(),
        )
        self._delegations.append(delegation)
        self._note(
            "delegated",
            peer=assignment.vm,
            data_centre=assignment.data_centre,
            shards=len(shards),
        )
        self._delegator.start(delegation)

    async def _wait_until_decided(self) -> None:
        """Wait until the request can be answered or has failed, and hedge slow shards."""
        self._plan_hedges()
        while not self._is_decided():
            now = trio.current_time()
            if self._hedge_if_due(now) or self._handle_overdue_delegations(now):
                continue
            await self._wait_for_decision(self._find_next_time())

    def _handle_overdue_delegations(self, now: float) -> bool:
        """Withdraw or await delegations whose VM did not reply in time; return whether any."""
        overdue = [
            delegation
            for delegation in self._delegations
            if not delegation.is_over
            and self._find_report_deadline(delegation) <= now < self._end_at
        ]
        for delegation in overdue:
            self._delegator.record_silence(delegation)
            if self._can_do_without(delegation, now):
                self._delegator.finish(delegation, False)
                delegation.end(DelegationEnd.SILENT)
            else:
                delegation.is_awaited = True
                self._note("delegate_awaited", peer=delegation.assignment.vm)
        return bool(overdue)

    def _can_do_without(self, delegation: Delegation, now: float) -> bool:
        """Return whether the request can be answered if this VM takes over the open shards.

        A VM that is only slow may still report; its work is withdrawn only if it can be replaced.
        """
        lost = sum(
            not shard.is_settled and not self._can_take_over(shard, now)
            for shard in delegation.shards.values()
        )
        return self._can_answer_with(self._answered + self._pending - lost)

    def _can_take_over(self, shard: ShardProgress, now: float) -> bool:
        """Return whether this VM may send for a shard in place of another VM."""
        return (
            shard.sends < self._request.route.max_attempts
            and self._budget.allows_send(shard.service, now)
            and self._fleet.choose(shard.service, (), now) is not None
        )

    def _find_report_deadline(self, delegation: Delegation) -> float:
        """Return the time by which the VM has to accept or report."""
        if delegation.has_reported or delegation.is_awaited:
            return self._end_at
        if delegation.is_accepted:
            return self._seal_at + REPORT_GRACE_S
        return delegation.written_at + ACCEPT_TIMEOUT_S

    def _find_next_time(self) -> float:
        """Return the earliest time at which the run has to act without a settled shard."""
        next_at = min(self._end_at, self._hedge_at)
        if self._seal_at > trio.current_time():
            next_at = min(next_at, self._seal_at)
        deadlines = [
            self._find_report_deadline(delegation)
            for delegation in self._delegations
            if not delegation.is_over
        ]
        return min([next_at, *deadlines])

    def _is_decided(self) -> bool:
        now = trio.current_time()
        if self._pending == 0 or now >= self._end_at:
            return True
        settled_without_answer = len(self._shards) - self._answered - self._pending
        if not self._can_answer_with(len(self._shards) - settled_without_answer):
            return True
        return now >= self._seal_at and self._can_answer_with(self._answered)

    def _can_answer_with(self, answered: int) -> bool:
        """Return whether answers of this many shards are enough to answer the request."""
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
        """Ignore all later results and return the outcome."""
        self._is_sealed = True
        self.timing.sealed_at = now = trio.current_time()
        answers = tuple(shard.answer for shard in self._shards if shard.answer is not None)
        missing = len(self._shards) - len(answers)
        may_have_run = any(
            shard.may_have_run or shard.in_flight or shard.is_delegated for shard in self._shards
        )
        failure = self._shards[0].failure if not self._request.is_fanout else None
        verdict = self._find_verdict(missing, may_have_run)
        is_refused = verdict in (RunVerdict.NO_REPLICA, RunVerdict.REJECTED)
        retry_after_s = self._find_retry_time() if is_refused else self._refusal_s or 0.0
        late_s = now - self._seal_at
        is_sealed_by_time = verdict is RunVerdict.PARTIAL and 0 <= late_s < MAX_SEAL_LAG_S
        return RunOutcome(
            verdict,
            answers,
            missing,
            failure,
            may_have_run,
            retry_after_s,
            self.trace,
            self._seal_at if is_sealed_by_time else None,
        )

    def _find_verdict(self, missing: int, may_have_run: bool) -> RunVerdict:
        if self._refusal_s is not None:
            return RunVerdict.CRASHES_REPLICAS
        if missing == 0:
            return RunVerdict.COMPLETE
        if self._can_answer_with(self._answered):
            return RunVerdict.PARTIAL
        if trio.current_time() >= self._end_at:
            return RunVerdict.EXPIRED
        if may_have_run:
            return RunVerdict.FAILED
        was_sent = any(shard.tried for shard in self._shards)
        return RunVerdict.REJECTED if was_sent else RunVerdict.NO_REPLICA

    def _find_retry_time(self) -> float:
        """Return the seconds until enough shards may have a replica, 0 if nothing tells."""
        now = trio.current_time()
        times = []
        for shard in self._shards:
            next_at = self._fleet.find_next_time(shard.service, now)
            times.append(0.0 if next_at is None else next_at - now)
        times.sort()
        enough = next(count for count in range(1, len(times) + 1) if self._can_answer_with(count))
        return times[enough - 1]
