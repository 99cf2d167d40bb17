"""Periodic work: silent connections, expired attempts, idle connections, published states."""

import trio
from loguru import logger

from zinnia_backends.crashes import CrashRegistry
from zinnia_backends.health import HealthChecker
from zinnia_backends.publication import StatePublisher
from zinnia_backends.replica import Replica
from zinnia_backends.send_checks import SendChecker
from zinnia_backends.sending import Sender
from zinnia_backends.silence import SWEEP_INTERVAL_S, WatchAction, is_check_due
from zinnia_model.ids import ReplicaId
from zinnia_model.ownership import OwnershipState
from zinnia_model.reasons import Reason

TICK_INTERVAL_S = 0.02  # precision of deadlines in the queue and of silence detection
HEALTH_INTERVAL_S = 1.0
IDLE_TIMEOUT_S = 30.0
CRASH_EXPIRY_INTERVAL_S = 60.0


class MaintenanceLoop:
    """Runs the periodic checks of attempts and replicas.

    Attempts are checked every ``TICK_INTERVAL_S`` while there are any, and all replicas every
    ``SWEEP_INTERVAL_S``.
    """

    def __init__(
        self,
        replicas: dict[ReplicaId, Replica],
        send_checker: SendChecker,
        sender: Sender,
        health: HealthChecker,
        publisher: StatePublisher,
        crashes: CrashRegistry,
    ):
        self._replicas = replicas
        self._send_checker = send_checker
        self._sender = sender
        self._health = health
        self._publisher = publisher
        self._crashes = crashes
        self._awake = trio.Event()
        self._nursery: trio.Nursery

    def wake(self) -> None:
        """Start checking attempts; call this after an attempt was queued."""
        self._awake.set()

    async def run(self, nursery: trio.Nursery) -> None:
        """Check attempts and replicas until cancelled."""
        self._nursery = nursery
        sweep_at = expire_at = trio.current_time()
        while True:
            await self._wait(sweep_at)
            now = trio.current_time()
            if self._sender.attempts:
                self._tick(now)
            if now >= sweep_at:
                sweep_at = now + SWEEP_INTERVAL_S
                self._sweep(now)
            if now >= expire_at:
                expire_at = now + CRASH_EXPIRY_INTERVAL_S
                self._crashes.expire(now)

    async def _wait(self, sweep_at: float) -> None:
        if self._sender.attempts:
            await trio.sleep(TICK_INTERVAL_S)
            return
        self._awake = trio.Event()
        with trio.move_on_at(sweep_at):
            await self._awake.wait()

    def _tick(self, now: float) -> None:
        for replica in list(self._replicas.values()):
            if replica.sending:
                self._check_silence(replica, now)
            if len(replica.queue):
                self._refuse_expired(replica, now)
                self._sender.dispatch_queued(replica, now)

    def _check_silence(self, replica: Replica, now: float) -> None:
        probe = False
        for attempt in list(replica.sending):
            action = attempt.watch.decide(now)
            if action is WatchAction.CLOSE:
                logger.info(
                    "closing the connection to replica {}: no answer to a running request",
                    replica.id,
                )
                attempt.stop(Reason.CONNECTION_SILENT)
            elif action is WatchAction.PROBE:
                probe = True
        if not probe or replica.probing:
            return
        if replica.idle and replica.count_connections() >= replica.config.connections:
            replica.idle.pop(0).close()
        if replica.count_connections() < replica.config.connections:
            replica.probing = True
            replica.health_connections += 1
            self._nursery.start_soon(self._probe, replica)

    async def _probe(self, replica: Replica) -> None:
        asked_at = trio.current_time()
        try:
            answered, health = await self._health.probe(replica)
        finally:
            replica.probing = False
        now = trio.current_time()
        running = health.running if health is not None else frozenset()
        for attempt in replica.sending:
            if attempt.sent_at > asked_at:
                continue
            listed = attempt.sub.attempt_id in running or attempt.batch.request_id in running
            if attempt.watch.decide(now) is not WatchAction.NONE:
                attempt.watch.record_probe_result(answered, listed, now)

    def _refuse_expired(self, replica: Replica, now: float) -> None:
        waiting = replica.waiting_until is not None
        reason = Reason.OWNER_WAITING if waiting else Reason.DEADLINE
        for attempt in replica.queue.remove(lambda a: a.deadline_at <= now):
            self._sender.refuse(replica, attempt, reason)

    def _sweep(self, now: float) -> None:
        for replica in list(self._replicas.values()):
            ownership_state, reason = self._send_checker.check(replica, now)
            if reason is not None:
                replica.close_idle()
            self._publisher.publish_load(replica, ownership_state, now)
            if replica.acting and reason in (None, Reason.DRAINING, Reason.COLD):
                self._check_idle_connections(replica, now)
                self._poll_health(replica, ownership_state, now)

    def _check_idle_connections(self, replica: Replica, now: float) -> None:
        if len(replica.idle) > 1 and now - replica.idle[0].idle_since > IDLE_TIMEOUT_S:
            replica.idle.pop(0).close()
        due = [c for c in replica.idle if is_check_due(c.verified_at, now)]
        for connection in due:
            replica.idle.remove(connection)
            replica.health_connections += 1
            self._nursery.start_soon(self._health.verify_idle_connection, replica, connection)

    def _poll_health(self, replica: Replica, ownership_state: OwnershipState, now: float) -> None:
        """Request health of cold or draining replicas that have no connection.

        An owner in degraded mode sends none to cold replicas, to spare them load.
        """
        needed = replica.draining or (
            replica.temperature.cold and ownership_state is OwnershipState.OWNER
        )
        busy = replica.queue.in_flight or replica.health_connections or replica.idle
        if not needed or busy or now - replica.last_health_at < HEALTH_INTERVAL_S:
            return
        replica.last_health_at = now
        replica.health_connections += 1
        self._nursery.start_soon(self._health.probe, replica)
