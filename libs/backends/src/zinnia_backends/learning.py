"""What the owner learns about a replica from answers, health answers and refused connections."""

from collections.abc import Callable

import trio
from loguru import logger

from zinnia_backends.attempts import Attempt
from zinnia_backends.crashes import CrashRegistry, CrashStatus
from zinnia_backends.gate import read_latest_states
from zinnia_backends.replica import LostRequest, Replica
from zinnia_backends.responses import Health, Verdict
from zinnia_backends.temperature import SLOW_FACTOR, ColdEvidence
from zinnia_facts.table import FactTable
from zinnia_model.ids import ShardId, StartId
from zinnia_model.observations import Observation, ObservedResult, Observer
from zinnia_model.reasons import Outcome, Reason

LOST_TTL_S = 5.0  # a later restart is not blamed on the request
MAX_LOST = 16


def compute_service_time(replica: Replica, attempt: Attempt, now: float) -> float:
    """Return the seconds that the request itself took, without the cost of its connection.

    The configured cost is subtracted; what it costs in fact varies, so evidence about a version
    leaves these times out.
    """
    elapsed_s = now - attempt.sent_at
    if attempt.on_new_connection:
        elapsed_s -= replica.config.connect_ms / 1000
    return max(0.0, elapsed_s)


class Learner:
    """Updates temperature, draining, crashes and observations.

    ``refuse`` settles an attempt that was taken out of a queue as not run.
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

    def learn_answer(
        self, replica: Replica, attempt: Attempt, verdict: Verdict, now: float
    ) -> None:
        """Take the evidence of a matching response, before its attempt is released."""
        service_time_s = compute_service_time(replica, attempt, now)
        self._learn_start(replica, verdict.start_id, now, attempt.sent_at)
        self._judge_lost(replica, verdict.start_id, now)
        replica.version = verdict.version or replica.version
        if verdict.says_draining:
            replica.note_draining(now)
        self._learn_temperature(replica, attempt, verdict, service_time_s, now)
        ran = verdict.outcome is Outcome.ANSWERED or verdict.reason is Reason.BACKEND_FAULT
        if not ran:
            return
        fingerprint = attempt.batch.fingerprint
        if self._crashes.status(fingerprint, now) is CrashStatus.SUSPECT:
            self._crashes.record_answer(fingerprint, now)
        result = ObservedResult.OK if verdict.reason is None else ObservedResult.FAULT
        self.observe(replica, attempt, result, service_time_s)

    def _learn_temperature(
        self,
        replica: Replica,
        attempt: Attempt,
        verdict: Verdict,
        service_time_s: float,
        now: float,
    ) -> None:
        temperature = replica.temperature
        if verdict.says_cold:
            temperature.note_cold(ColdEvidence.ANSWER, now)
        elif verdict.reason is Reason.BACKEND_OVERLOADED:
            # The shed request itself is counted, so fewer than the slots were running.
            if replica.queue.in_flight <= replica.config.slots:
                temperature.note_cold(ColdEvidence.SHED_BELOW_SLOTS, now)
        elif verdict.outcome is Outcome.ANSWERED:
            temperature.note_good(attempt.sent_at, service_time_s, now)
        else:
            temperature.note_bad()

    def learn_health(self, replica: Replica, health: Health, now: float) -> None:
        """Take a health answer; it never warms a replica."""
        replica.health_at = now
        self._learn_start(replica, health.start_id, now, None)
        if health.cold and not replica.temperature.cold:
            replica.temperature.note_cold(ColdEvidence.HEALTH, now)
        replica.note_health_draining(health.draining, now)

    def note_refused(self, replica: Replica, now: float) -> None:
        """Mark cold and count the requests lost just before as crashes."""
        replica.temperature.note_cold(ColdEvidence.CONNECT_REFUSED, now)
        lost, replica.lost = replica.lost, []
        for request in lost:
            if now - request.at <= LOST_TTL_S:
                self._record_crash(replica, request, now)

    def note_reset(self, replica: Replica, attempt: Attempt, now: float) -> None:
        """Mark cold if the broken connection was the last open one."""
        if not replica.has_open(beside=attempt):
            replica.temperature.note_cold(ColdEvidence.CONNECTIONS_RESET, now)

    def note_mismatch(self, replica: Replica, attempt: Attempt, now: float) -> None:
        """Count an answer of another request as a fault; it says nothing else."""
        replica.temperature.note_bad()
        service_time_s = compute_service_time(replica, attempt, now)
        self.observe(replica, attempt, ObservedResult.FAULT, service_time_s)

    def note_lost(self, replica: Replica, attempt: Attempt, crashed: bool, now: float) -> None:
        """Take a request whose connection broke after it was written."""
        request = LostRequest(attempt.batch.fingerprint, attempt.start_id, now)
        result = ObservedResult.CRASH if crashed else ObservedResult.FAULT
        self.observe(replica, attempt, result, now - attempt.sent_at)
        if crashed:
            self._record_crash(replica, request, now)
            return
        replica.temperature.note_bad()
        replica.lost = [*replica.lost[1 - MAX_LOST :], request]

    def note_unanswered(
        self, replica: Replica, attempt: Attempt, reason: Reason, now: float
    ) -> None:
        """Take a running request that was given up.

        A version that never answers would stay unseen if only answers were observed. Time already
        above the slow limit counts: as a fault at the deadline, as a slow answer when a faster
        hedge made the caller cancel.
        """
        waited_s = compute_service_time(replica, attempt, now)
        replica.temperature.note_bad()
        if waited_s <= SLOW_FACTOR * replica.temperature.times.median_s:
            return
        if reason is Reason.DEADLINE:
            self.observe(replica, attempt, ObservedResult.FAULT, waited_s)
        elif reason is Reason.CANCELLED:
            self.observe(replica, attempt, ObservedResult.OK, waited_s)

    def observe(
        self, replica: Replica, attempt: Attempt, result: ObservedResult, service_time_s: float
    ) -> None:
        """Report one observation.

        A version whose share has just grown opens many connections. With their cost of 6 ms
        counted, a good version looked slower than the old one and was taken back.
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

    def _learn_start(
        self, replica: Replica, start_id: StartId, now: float, asked_at: float | None
    ) -> None:
        if not replica.temperature.note_start(start_id, now, asked_at):
            return
        logger.info("replica {} restarted as {}", replica.id, start_id)
        replica.note_restart()
        replica.close_idle()
        self._send_elsewhere(replica, now)

    def _judge_lost(self, replica: Replica, start_id: StartId, now: float) -> None:
        if not replica.lost or not start_id:
            return
        lost, replica.lost = replica.lost, []
        for request in lost:
            recent = now - request.at <= LOST_TTL_S
            if recent and request.start_id and start_id != request.start_id:
                self._record_crash(replica, request, now)

    def _record_crash(self, replica: Replica, request: LostRequest, now: float) -> None:
        logger.warning("request {} crashed {}", request.fingerprint, replica.id)
        self._crashes.record_crash(request.fingerprint, replica.id, request.start_id, now)

    def _send_elsewhere(self, replica: Replica, now: float) -> None:
        """Refuse what waits beyond the cold limit where a warm replica has the shard."""
        if len(replica.queue) <= replica.temperature.limit:
            return
        states = read_latest_states(self._facts, now)

        def has_warm(shard: ShardId) -> bool:
            others = replica.shards.get(shard, frozenset()) - {replica.id}
            known = [states[other] for other in others if other in states]
            return any(not state.cold and not state.draining for state in known)

        removed = replica.queue.remove(lambda a: has_warm(a.sub.shard), replica.temperature.limit)
        for attempt in removed:
            self._refuse(replica, attempt, Reason.COLD)
