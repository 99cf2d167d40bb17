"""Updates a replica's state from answers, health answers and connection failures."""

from collections.abc import Callable

import trio
from loguru import logger

from zinnia_backends.attempts import Attempt
from zinnia_backends.crashes import CrashRegistry, CrashStatus
from zinnia_backends.replica import LostRequest, Replica
from zinnia_backends.responses import Health, Verdict
from zinnia_backends.send_checks import read_latest_states
from zinnia_backends.temperature import SLOW_ANSWER_FACTOR, ColdEvidence
from zinnia_facts.table import FactTable
from zinnia_model.ids import ShardId, StartId
from zinnia_model.observations import Observation, ObservedResult, Observer
from zinnia_model.reasons import Outcome, Reason

LOST_REQUEST_TTL_S = 5.0  # a restart later than this is not attributed to the lost request
MAX_LOST_REQUESTS = 16


def compute_service_time(replica: Replica, attempt: Attempt, now: float) -> float:
    """Return the seconds that the request took without opening its connection.

    Subtracts the configured connect cost. The real cost varies, so ``observe`` reports no service
    time for a request on a new connection.
    """
    elapsed_s = now - attempt.sent_at
    if attempt.on_new_connection:
        elapsed_s -= replica.config.connect_ms / 1000
    return max(0.0, elapsed_s)


class ReplicaStateUpdater:
    """Updates temperature, draining state and crash counts, and reports observations.

    ``refuse`` settles an attempt that was removed from a queue as not run.
    """

    def __init__(
        self,
        facts: FactTable,
        crashes: CrashRegistry,
        observer: Observer,
        refuse: Callable[[Replica, Attempt, Reason], None],
    ):
        self._facts = facts
        self._crashes = crashes
        self._observer = observer
        self._refuse = refuse

    def apply_answer(
        self, replica: Replica, attempt: Attempt, verdict: Verdict, now: float
    ) -> None:
        """Apply a matching response; call this while its attempt still counts as in flight."""
        service_time_s = compute_service_time(replica, attempt, now)
        self._apply_start_id(replica, verdict.start_id, now, attempt.sent_at)
        self._count_lost_as_crashes(replica, verdict.start_id, now)
        replica.version = verdict.version or replica.version
        if verdict.reports_draining:
            replica.mark_draining(now)
        self._update_temperature(replica, attempt, verdict, service_time_s, now)
        ran = verdict.outcome is Outcome.ANSWERED or verdict.reason is Reason.BACKEND_FAULT
        if not ran:
            return
        fingerprint = attempt.batch.fingerprint
        if self._crashes.status(fingerprint, now) is CrashStatus.SUSPECT:
            self._crashes.record_answer(fingerprint, now)
        result = ObservedResult.OK if verdict.reason is None else ObservedResult.FAULT
        self.observe(replica, attempt, result, service_time_s)

    def _update_temperature(
        self,
        replica: Replica,
        attempt: Attempt,
        verdict: Verdict,
        service_time_s: float,
        now: float,
    ) -> None:
        temperature = replica.temperature
        if verdict.reports_cold:
            temperature.mark_cold(ColdEvidence.ANSWER, now)
        elif verdict.reason is Reason.BACKEND_OVERLOADED:
            # in_flight includes the refused request, so fewer requests than slots were running.
            if replica.queue.in_flight <= replica.config.slots:
                temperature.mark_cold(ColdEvidence.SHED_BELOW_SLOTS, now)
        elif verdict.outcome is Outcome.ANSWERED:
            temperature.record_good_answer(attempt.sent_at, service_time_s, now)
        else:
            temperature.reset_good_answers()

    def apply_health(self, replica: Replica, health: Health, now: float) -> None:
        """Apply a health answer, which may mark a replica cold but never warm."""
        replica.last_health_at = now
        self._apply_start_id(replica, health.start_id, now, None)
        if health.cold and not replica.temperature.cold:
            replica.temperature.mark_cold(ColdEvidence.HEALTH, now)
        replica.apply_health_draining(health.draining, now)

    def record_connect_refused(self, replica: Replica, now: float) -> None:
        """Mark the replica cold and count recently lost requests as crashes."""
        replica.temperature.mark_cold(ColdEvidence.CONNECT_REFUSED, now)
        lost, replica.lost_requests = replica.lost_requests, []
        for request in lost:
            if now - request.lost_at <= LOST_REQUEST_TTL_S:
                self._record_crash(replica, request, now)

    def record_connection_reset(self, replica: Replica, attempt: Attempt, now: float) -> None:
        """Mark the replica cold if the broken connection was its last open one."""
        if not replica.has_other_open_connection(beside=attempt):
            replica.temperature.mark_cold(ColdEvidence.CONNECTIONS_RESET, now)

    def record_mismatch(self, replica: Replica, attempt: Attempt, now: float) -> None:
        """Report a fault for a response that answers another request; ignore its contents."""
        replica.temperature.reset_good_answers()
        service_time_s = compute_service_time(replica, attempt, now)
        self.observe(replica, attempt, ObservedResult.FAULT, service_time_s)

    def record_lost_request(
        self, replica: Replica, attempt: Attempt, crashed: bool, now: float
    ) -> None:
        """Report a request whose connection broke after the write.

        Without a known crash, the request is kept: a later restart may show that it crashed the
        replica.
        """
        request = LostRequest(attempt.batch.fingerprint, attempt.start_id, now)
        result = ObservedResult.CRASH if crashed else ObservedResult.FAULT
        self.observe(replica, attempt, result, now - attempt.sent_at)
        if crashed:
            self._record_crash(replica, request, now)
            return
        replica.temperature.reset_good_answers()
        replica.lost_requests = [*replica.lost_requests[1 - MAX_LOST_REQUESTS :], request]

    def record_unanswered(
        self, replica: Replica, attempt: Attempt, reason: Reason, now: float
    ) -> None:
        """Report a running request that ended without an answer, if it was slow.

        With observations of answers only, a version that never answers would go unnoticed. A
        request that exceeded the slow limit counts as a fault if it reached its deadline, and as a
        slow answer if the entry VM cancelled it because a hedge was faster.
        """
        waited_s = compute_service_time(replica, attempt, now)
        replica.temperature.reset_good_answers()
        if waited_s <= SLOW_ANSWER_FACTOR * replica.temperature.times.median_s:
            return
        if reason is Reason.DEADLINE:
            self.observe(replica, attempt, ObservedResult.FAULT, waited_s)
        elif reason is Reason.CANCELLED:
            self.observe(replica, attempt, ObservedResult.OK, waited_s)

    def observe(
        self, replica: Replica, attempt: Attempt, result: ObservedResult, service_time_s: float
    ) -> None:
        """Report one observation, without a service time if the connection was new.

        A version whose share has just grown opens many connections. When their cost of 6 ms was
        counted, a good version looked slower than the old one and was rolled back.
        """
        batch = attempt.batch
        self._observer.observe(
            Observation(
                batch.service,
                batch.route,
                replica.version,
                replica.id,
                result,
                batch.fingerprint,
                None if attempt.on_new_connection else service_time_s,
                attempt.cold,
                attempt.suspect,
                len(batch.items),
                trio.current_time(),
            )
        )

    def _apply_start_id(
        self, replica: Replica, start_id: StartId, now: float, asked_at: float | None
    ) -> None:
        if not replica.temperature.update_start_id(start_id, now, asked_at):
            return
        logger.info("replica {} restarted with start id {}", replica.id, start_id)
        replica.clear_draining()
        replica.close_idle()
        self._refuse_excess_queue(replica, now)

    def _count_lost_as_crashes(self, replica: Replica, start_id: StartId, now: float) -> None:
        if not replica.lost_requests or not start_id:
            return
        lost, replica.lost_requests = replica.lost_requests, []
        for request in lost:
            recent = now - request.lost_at <= LOST_REQUEST_TTL_S
            if recent and request.start_id and start_id != request.start_id:
                self._record_crash(replica, request, now)

    def _record_crash(self, replica: Replica, request: LostRequest, now: float) -> None:
        logger.warning(
            "requests with fingerprint {} crashed replica {}", request.fingerprint, replica.id
        )
        self._crashes.record_crash(request.fingerprint, replica.id, request.start_id, now)

    def _refuse_excess_queue(self, replica: Replica, now: float) -> None:
        """Refuse queued attempts beyond the cold limit whose shard has another warm replica."""
        if len(replica.queue) <= replica.temperature.limit:
            return
        states = read_latest_states(self._facts, now)

        def has_warm(shard: ShardId) -> bool:
            others = replica.shard_holders.get(shard, frozenset()) - {replica.id}
            known = [states[other] for other in others if other in states]
            return any(not state.cold and not state.draining for state in known)

        removed = replica.queue.remove(lambda a: has_warm(a.sub.shard), replica.temperature.limit)
        for attempt in removed:
            self._refuse(replica, attempt, Reason.COLD)
