"""Workers that send queued attempts to a replica and settle each attempt exactly once."""

from enum import Enum

import trio
from loguru import logger

from zinnia_backends.attempts import Attempt
from zinnia_backends.connections import (
    ConnectFailedError,
    Connection,
    ConnectionLostError,
    Connector,
    SendWithheldError,
    WireResponse,
)
from zinnia_backends.crashes import CrashRegistry, CrashStatus
from zinnia_backends.health import HealthChecker
from zinnia_backends.publication import StatePublisher
from zinnia_backends.replica import Replica
from zinnia_backends.responses import classify_response
from zinnia_backends.send_checks import SendChecker
from zinnia_backends.silence import SilenceWatch
from zinnia_backends.state_updates import ReplicaStateUpdater
from zinnia_model.ids import AttemptId
from zinnia_model.ownership import OwnershipState
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import SubResult

CONNECT_TIMEOUT_S = 0.5
# A cancelled request stays counted as in flight until the backend server closes the connection, so
# that the next request does not run beside it. The timeout keeps a silent server from blocking the
# slot forever.
CANCEL_TIMEOUT_S = 0.25


class _AttemptEnd(Enum):
    SETTLED = "settled"
    PUT_BACK = "put_back"
    LOST = "lost"
    STOPPED = "stopped"


class Sender:
    """Moves attempts from queues to connections.

    A worker task serves many attempts, because starting a task for each sub-request costs more
    than waking a parked task.
    """

    def __init__(
        self,
        send_checker: SendChecker,
        connector: Connector,
        crashes: CrashRegistry,
        publisher: StatePublisher,
    ):
        self._send_checker = send_checker
        self._connector = connector
        self._crashes = crashes
        self._publisher = publisher
        self.attempts: dict[AttemptId, tuple[Attempt, Replica | None]] = {}
        self.no_attempts_left = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.state_updater: ReplicaStateUpdater
        self.health: HealthChecker

    def dispatch_queued(self, replica: Replica, now: float, in_worker: bool = False) -> None:
        """Assign queued attempts to workers up to the limit, or refuse those that may not be sent.

        With ``in_worker``, the calling worker runs the first attempt itself and none is woken for
        it.
        """
        if not len(replica.queue):
            return
        ownership_state, reason = self._send_checker.check(replica, now)
        if reason is not None:
            self._refuse_queued(replica, reason)
        elif ownership_state is OwnershipState.WAITING:
            self._refuse_expiring_while_waiting(replica)
        else:
            self._assign_to_workers(replica, ownership_state, now, in_worker)
        if ownership_state is not OwnershipState.WAITING:
            self._publisher.publish_state_change(replica, ownership_state, now)

    def _assign_to_workers(
        self, replica: Replica, ownership_state: OwnershipState, now: float, in_worker: bool
    ) -> None:
        while True:
            limit = replica.compute_send_limit(ownership_state)
            attempt, refused = replica.queue.pop_next(now, limit, self._crashes.status)
            for late, reason in refused:
                self.refuse(replica, late, reason)
            if attempt is None:
                return
            replica.assigned.append(attempt)
            if in_worker:
                in_worker = False
            elif len(replica.workers):
                replica.workers.unpark()
            else:
                self.nursery.start_soon(self._run_worker, replica)

    def _refuse_queued(self, replica: Replica, reason: Reason) -> None:
        for attempt in replica.queue.remove(lambda _: True):
            self.refuse(replica, attempt, reason)

    def _refuse_expiring_while_waiting(self, replica: Replica) -> None:
        until = replica.waiting_until
        for attempt in replica.queue.remove(lambda a: a.deadline_at <= until):
            self.refuse(replica, attempt, Reason.OWNER_WAITING)

    def refuse(self, replica: Replica | None, attempt: Attempt, reason: Reason) -> None:
        """Settle an attempt as not run; no byte of it may have been sent."""
        self.settle(replica, attempt, Outcome.NOT_RUN, reason)

    def settle(
        self,
        replica: Replica | None,
        attempt: Attempt,
        outcome: Outcome,
        reason: Reason | None,
        body: bytes = b"",
        service_time_s: float = 0.0,
    ) -> None:
        """Deliver the result of an attempt, unless it already has one."""
        if attempt.settled:
            return
        attempt.settled = True
        sub = attempt.sub
        del self.attempts[sub.attempt_id]
        if not self.attempts:
            self.no_attempts_left.set()
        result = SubResult(
            sub.attempt_id,
            outcome,
            sub.shard,
            sub.replica,
            reason,
            body,
            attempt.batch.snapshot,
            service_time_s=service_time_s,
            cold=attempt.cold,
            **self._describe_replica(replica),
        )
        try:
            attempt.deliver(result)
        except Exception:
            logger.exception("delivering the result of attempt {} failed", sub.attempt_id)

    def _describe_replica(self, replica: Replica | None) -> dict:
        if replica is None:
            return {}
        return {
            "start_id": replica.temperature.start_id,
            "version": replica.version,
            "queue_length": len(replica.queue),
            "limit": replica.temperature.limit,
        }

    async def _run_worker(self, replica: Replica) -> None:
        while True:
            while replica.assigned:
                await self._run(replica, replica.assigned.popleft())
            if replica.removed:
                return
            await replica.workers.park()

    async def _run(self, replica: Replica, attempt: Attempt) -> None:
        end = _AttemptEnd.STOPPED
        try:
            with trio.CancelScope(deadline=attempt.deadline_at) as attempt.scope:
                if attempt.stop_reason is None:
                    end = await self._try_send(replica, attempt)
            if end is _AttemptEnd.LOST:
                await self._handle_lost_connection(replica, attempt)
        finally:
            replica.sending.discard(attempt)
            if end is not _AttemptEnd.PUT_BACK:
                self._settle_stopped(replica, attempt)
            if end is _AttemptEnd.STOPPED:
                await self._drop_connection(attempt)
        if end is _AttemptEnd.PUT_BACK:
            return
        replica.queue.release(attempt)
        self.dispatch_queued(replica, trio.current_time(), in_worker=True)

    async def _drop_connection(self, attempt: Attempt) -> None:
        """Close the connection of a stopped attempt.

        If the request was written, first wait up to ``CANCEL_TIMEOUT_S`` for the backend server to
        end the run.
        """
        if attempt.connection is None:
            return
        try:
            if attempt.written:
                with trio.move_on_after(CANCEL_TIMEOUT_S):
                    await attempt.connection.cancel()
        finally:
            attempt.connection.close()

    def _settle_stopped(self, replica: Replica, attempt: Attempt) -> None:
        """Settle an attempt that ended without a response."""
        if attempt.settled:
            return
        now = trio.current_time()
        reason = attempt.stop_reason
        if reason is None:
            reason = Reason.DEADLINE if now >= attempt.deadline_at else Reason.SHUTTING_DOWN
        self._settle_unanswered(replica, attempt, reason)

    def abandon(self, replica: Replica | None, attempt: Attempt, reason: Reason) -> None:
        """Close the connection and settle the attempt: as not run only if nothing was written."""
        if attempt.connection is not None:
            attempt.connection.close()
        self._settle_unanswered(replica, attempt, reason)

    def _settle_unanswered(self, replica: Replica | None, attempt: Attempt, reason: Reason) -> None:
        if not attempt.written:
            self.refuse(replica, attempt, reason)
            return
        now = trio.current_time()
        self.state_updater.record_unanswered(replica, attempt, reason, now)
        waited_s = now - attempt.sent_at
        self.settle(replica, attempt, Outcome.UNKNOWN, reason, service_time_s=waited_s)

    async def _try_send(self, replica: Replica, attempt: Attempt) -> _AttemptEnd:
        try:
            return await self._send(replica, attempt)
        except Exception:
            logger.exception("sending attempt {} failed", attempt.sub.attempt_id)
            attempt.stop_reason = Reason.INTERNAL
            return _AttemptEnd.STOPPED

    async def _send(self, replica: Replica, attempt: Attempt) -> _AttemptEnd:
        connection = await self._acquire(replica, attempt)
        if connection is None:
            return _AttemptEnd.SETTLED
        now = trio.current_time()
        ownership_state, reason = self._check_before_send(replica, attempt, now)
        if reason is not None:
            replica.keep_idle(connection, now)
            self.refuse(replica, attempt, reason)
            return _AttemptEnd.SETTLED
        if len(replica.sending) >= replica.compute_send_limit(ownership_state):
            replica.keep_idle(connection, now)
            replica.queue.put_back(attempt)
            return _AttemptEnd.PUT_BACK
        self._mark_sent(replica, attempt, connection, now)

        def may_send() -> bool:
            # The process may have been paused since _check_before_send.
            if attempt.stop_reason is None:
                attempt.stop_reason = self._check_before_send(
                    replica, attempt, trio.current_time()
                )[1]
            return attempt.stop_reason is None

        try:
            response = await connection.exchange(attempt.build_request(now), may_send)
        except SendWithheldError:
            return _AttemptEnd.STOPPED
        except ConnectionLostError as error:
            logger.debug("attempt {}: {}", attempt.sub.attempt_id, error)
            return _AttemptEnd.LOST
        self._handle_response(replica, attempt, response)
        return _AttemptEnd.SETTLED

    def _mark_sent(
        self, replica: Replica, attempt: Attempt, connection: Connection, now: float
    ) -> None:
        attempt.connection = connection
        attempt.sent_at = now
        attempt.cold = replica.temperature.cold
        attempt.start_id = replica.temperature.start_id
        attempt.watch = SilenceWatch(now, replica.temperature.times.median_s)
        replica.sending.add(attempt)

    async def _acquire(self, replica: Replica, attempt: Attempt) -> Connection | None:
        started_at = trio.current_time()
        connection = replica.pop_idle(started_at)
        if connection is not None:
            return connection
        if started_at + replica.connect_cost.mean_s >= attempt.deadline_at:
            self.refuse(replica, attempt, Reason.DEADLINE)
            return None
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                connection = await self._connector.connect(replica.record.address)
        except ConnectFailedError as error:
            logger.info("attempt {}: {}", attempt.sub.attempt_id, error)
            if error.refused:
                self.state_updater.record_connect_refused(replica, trio.current_time())
                self._refuse_queued(replica, Reason.CONNECT_FAILED)
        if connection is None:
            self.refuse(replica, attempt, Reason.CONNECT_FAILED)
            return None
        connection.verified_at = trio.current_time()
        attempt.on_new_connection = True
        replica.connect_cost.add(connection.verified_at - started_at)
        return connection

    def _check_before_send(
        self, replica: Replica, attempt: Attempt, now: float
    ) -> tuple[OwnershipState, Reason | None]:
        """Repeat the checks just before the send; connecting may have taken time."""
        ownership_state, reason = self._send_checker.check(replica, now)
        if reason is None and ownership_state is OwnershipState.WAITING:
            reason = Reason.OWNER_WAITING
        if reason is not None:
            return ownership_state, reason
        status = self._crashes.status(attempt.batch.fingerprint, now)
        if status is CrashStatus.REFUSED:
            return ownership_state, Reason.CRASHES_BACKENDS
        if status is CrashStatus.SUSPECT and not attempt.suspect:
            return ownership_state, Reason.CRASH_SUSPECT
        return ownership_state, None

    def _handle_response(self, replica: Replica, attempt: Attempt, response: WireResponse) -> None:
        now = trio.current_time()
        connection = attempt.connection
        connection.verified_at = now
        replica.sending.discard(attempt)
        verdict = classify_response(attempt, response)
        if verdict.matched:
            self.state_updater.apply_answer(replica, attempt, verdict, now)
            replica.keep_idle(connection, now)
        else:
            connection.close()
            self.state_updater.record_mismatch(replica, attempt, now)
        service_time_s = now - attempt.sent_at
        body = response.body if verdict.outcome is Outcome.ANSWERED else b""
        self.settle(replica, attempt, verdict.outcome, verdict.reason, body, service_time_s)
        self._publisher.publish_state_change(replica, replica.ownership_state, now)

    async def _handle_lost_connection(self, replica: Replica, attempt: Attempt) -> None:
        attempt.connection.close()
        replica.sending.discard(attempt)
        attempt.stop_reason = Reason.CONNECTION_LOST
        if not attempt.written:
            return
        self.state_updater.record_connection_reset(replica, attempt, trio.current_time())
        crashed = await self.health.detect_crash(replica, attempt)
        now = trio.current_time()
        self.state_updater.record_lost_request(replica, attempt, crashed, now)
        reason = Reason.BACKEND_CRASHED if crashed else Reason.CONNECTION_LOST
        waited_s = now - attempt.sent_at
        self.settle(replica, attempt, Outcome.UNKNOWN, reason, service_time_s=waited_s)
        self._publisher.publish_state_change(replica, replica.ownership_state, now)
