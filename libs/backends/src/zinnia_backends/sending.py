"""Workers that send attempts of a replica's queue and settle each exactly once."""

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
from zinnia_backends.gate import Gate
from zinnia_backends.health import HealthChecker
from zinnia_backends.learning import Learner
from zinnia_backends.publication import StatePublisher
from zinnia_backends.replica import Replica
from zinnia_backends.responses import judge_response
from zinnia_backends.silence import SilenceWatch
from zinnia_model.ids import AttemptId
from zinnia_model.ownership import Standing
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import SubResult

CONNECT_LIMIT_S = 0.5
# A cancelled request keeps its place until the backend server closes its end, so that the next
# request does not run beside it. A silent server would hold the place for ever without a limit.
CANCEL_LIMIT_S = 0.25


class _End(Enum):
    SETTLED = "settled"
    PUT_BACK = "put_back"
    LOST = "lost"
    STOPPED = "stopped"


class Sender:
    """Moves attempts from queues to connections.

    Workers are tasks that outlive an attempt: starting a task for each sub-request costs more
    than waking a parked one.
    """

    def __init__(
        self,
        gate: Gate,
        connector: Connector,
        crashes: CrashRegistry,
        publisher: StatePublisher,
    ):
        self._gate = gate
        self._connector = connector
        self._crashes = crashes
        self._publisher = publisher
        self.attempts: dict[AttemptId, tuple[Attempt, Replica | None]] = {}
        self.on_empty = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.learner: Learner
        self.health: HealthChecker

    def pump(self, replica: Replica, now: float, in_worker: bool = False) -> None:
        """Hand to workers what may be sent now, and refuse what may not.

        A worker that calls this takes the first attempt itself.
        """
        if not len(replica.queue):
            return
        standing, reason = self._gate.check(replica, now)
        if reason is not None:
            self._refuse_waiting(replica, reason)
        elif standing is Standing.WAITING:
            self._refuse_late(replica)
        else:
            self._start(replica, standing, now, in_worker)
        if standing is not Standing.WAITING:
            self._publisher.note_state(replica, standing, now)

    def _start(self, replica: Replica, standing: Standing, now: float, in_worker: bool) -> None:
        while True:
            limit = replica.compute_room(standing)
            attempt, refused = replica.queue.take(now, limit, self._crashes.status)
            for late, reason in refused:
                self.refuse(replica, late, reason)
            if attempt is None:
                return
            replica.ready.append(attempt)
            if in_worker:
                in_worker = False
            elif len(replica.workers):
                replica.workers.unpark()
            else:
                self.nursery.start_soon(self._work, replica)

    def _refuse_waiting(self, replica: Replica, reason: Reason) -> None:
        for attempt in replica.queue.remove(lambda _: True):
            self.refuse(replica, attempt, reason)

    def _refuse_late(self, replica: Replica) -> None:
        until = replica.waiting_until
        for attempt in replica.queue.remove(lambda a: a.deadline_at <= until):
            self.refuse(replica, attempt, Reason.OWNER_WAITING)

    def refuse(self, replica: Replica | None, attempt: Attempt, reason: Reason) -> None:
        """Settle an attempt of which nothing was sent."""
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
        """Deliver the only result of an attempt."""
        if attempt.settled:
            return
        attempt.settled = True
        sub = attempt.sub
        del self.attempts[sub.attempt_id]
        if not self.attempts:
            self.on_empty.set()
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
            **self._describe(replica),
        )
        try:
            attempt.deliver(result)
        except Exception:
            logger.exception("the receiver of result {} failed", sub.attempt_id)

    def _describe(self, replica: Replica | None) -> dict:
        if replica is None:
            return {}
        return {
            "start_id": replica.temperature.start_id,
            "version": replica.version,
            "queue_length": len(replica.queue),
            "limit": replica.temperature.limit,
        }

    async def _work(self, replica: Replica) -> None:
        while True:
            while replica.ready:
                await self._run(replica, replica.ready.popleft())
            if replica.removed:
                return
            await replica.workers.park()

    async def _run(self, replica: Replica, attempt: Attempt) -> None:
        end = _End.STOPPED
        try:
            with trio.CancelScope(deadline=attempt.deadline_at) as attempt.scope:
                if attempt.stop_reason is None:
                    end = await self._try_send(replica, attempt)
            if end is _End.LOST:
                await self._handle_loss(replica, attempt)
        finally:
            replica.sending.discard(attempt)
            if end is not _End.PUT_BACK:
                self._settle_stopped(replica, attempt)
            if end is _End.STOPPED:
                await self._drop_connection(attempt)
        if end is _End.PUT_BACK:
            return
        replica.queue.release(attempt)
        self.pump(replica, trio.current_time(), in_worker=True)

    async def _drop_connection(self, attempt: Attempt) -> None:
        """Close the connection of a stopped attempt once the backend server has dropped the run."""
        if attempt.connection is None:
            return
        try:
            if attempt.written:
                with trio.move_on_after(CANCEL_LIMIT_S):
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
        """Close the attempt's connection and settle it as not run only if nothing was written."""
        if attempt.connection is not None:
            attempt.connection.close()
        self._settle_unanswered(replica, attempt, reason)

    def _settle_unanswered(self, replica: Replica | None, attempt: Attempt, reason: Reason) -> None:
        if not attempt.written:
            self.refuse(replica, attempt, reason)
            return
        now = trio.current_time()
        self.learner.note_unanswered(replica, attempt, reason, now)
        waited_s = now - attempt.sent_at
        self.settle(replica, attempt, Outcome.UNKNOWN, reason, service_time_s=waited_s)

    async def _try_send(self, replica: Replica, attempt: Attempt) -> _End:
        try:
            return await self._send(replica, attempt)
        except Exception:
            logger.exception("sending {} failed", attempt.sub.attempt_id)
            attempt.stop_reason = Reason.INTERNAL
            return _End.STOPPED

    async def _send(self, replica: Replica, attempt: Attempt) -> _End:
        connection = await self._acquire(replica, attempt)
        if connection is None:
            return _End.SETTLED
        now = trio.current_time()
        standing, reason = self._recheck(replica, attempt, now)
        if reason is not None:
            replica.keep_idle(connection, now)
            self.refuse(replica, attempt, reason)
            return _End.SETTLED
        if len(replica.sending) >= replica.compute_room(standing):
            replica.keep_idle(connection, now)
            replica.queue.put_back(attempt)
            return _End.PUT_BACK
        self._mark_sent(replica, attempt, connection, now)

        def may_send() -> bool:
            # The process may have been paused since the check above.
            if attempt.stop_reason is None:
                attempt.stop_reason = self._recheck(replica, attempt, trio.current_time())[1]
            return attempt.stop_reason is None

        try:
            response = await connection.exchange(attempt.build_request(now), may_send)
        except SendWithheldError:
            return _End.STOPPED
        except ConnectionLostError as error:
            logger.debug("attempt {}: {}", attempt.sub.attempt_id, error)
            return _End.LOST
        self._finish(replica, attempt, response)
        return _End.SETTLED

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
            with trio.move_on_after(CONNECT_LIMIT_S):
                connection = await self._connector.connect(replica.record.address)
        except ConnectFailedError as error:
            logger.info("attempt {}: {}", attempt.sub.attempt_id, error)
            if error.refused:
                self.learner.note_refused(replica, trio.current_time())
                self._refuse_waiting(replica, Reason.CONNECT_FAILED)
        if connection is None:
            self.refuse(replica, attempt, Reason.CONNECT_FAILED)
            return None
        connection.verified_at = trio.current_time()
        attempt.on_new_connection = True
        replica.connect_cost.add(connection.verified_at - started_at)
        return connection

    def _recheck(
        self, replica: Replica, attempt: Attempt, now: float
    ) -> tuple[Standing, Reason | None]:
        """Check again just before the send; time may have passed while connecting."""
        standing, reason = self._gate.check(replica, now)
        if reason is None and standing is Standing.WAITING:
            reason = Reason.OWNER_WAITING
        if reason is not None:
            return standing, reason
        status = self._crashes.status(attempt.batch.fingerprint, now)
        if status is CrashStatus.REFUSED:
            return standing, Reason.CRASHES_BACKENDS
        if status is CrashStatus.SUSPECT and not attempt.suspect:
            return standing, Reason.CRASH_SUSPECT
        return standing, None

    def _finish(self, replica: Replica, attempt: Attempt, response: WireResponse) -> None:
        now = trio.current_time()
        connection = attempt.connection
        connection.verified_at = now
        replica.sending.discard(attempt)
        verdict = judge_response(attempt, response)
        if verdict.matched:
            self.learner.learn_answer(replica, attempt, verdict, now)
            replica.keep_idle(connection, now)
        else:
            connection.close()
            self.learner.note_mismatch(replica, attempt, now)
        service_time_s = now - attempt.sent_at
        body = response.body if verdict.outcome is Outcome.ANSWERED else b""
        self.settle(replica, attempt, verdict.outcome, verdict.reason, body, service_time_s)
        self._publisher.note_state(replica, replica.standing, now)

    async def _handle_loss(self, replica: Replica, attempt: Attempt) -> None:
        attempt.connection.close()
        replica.sending.discard(attempt)
        attempt.stop_reason = Reason.CONNECTION_LOST
        if not attempt.written:
            return
        self.learner.note_reset(replica, attempt, trio.current_time())
        crashed = await self.health.find_crash(replica, attempt)
        now = trio.current_time()
        self.learner.note_lost(replica, attempt, crashed, now)
        reason = Reason.BACKEND_CRASHED if crashed else Reason.CONNECTION_LOST
        waited_s = now - attempt.sent_at
        self.settle(replica, attempt, Outcome.UNKNOWN, reason, service_time_s=waited_s)
        self._publisher.note_state(replica, replica.standing, now)
