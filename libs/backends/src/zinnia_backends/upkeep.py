"""Regular work of the dispatcher: silence, expired attempts, idle connections, publication."""

import trio
from loguru import logger

from zinnia_backends.crashes import CrashRegistry
from zinnia_backends.gate import Gate
from zinnia_backends.health import HealthChecker
from zinnia_backends.publication import StatePublisher
from zinnia_backends.replica import Replica
from zinnia_backends.sending import Sender
from zinnia_backends.silence import SWEEP_S, WatchAction, is_check_due
from zinnia_model.ids import ReplicaId
from zinnia_model.ownership import Standing
from zinnia_model.reasons import Reason

TICK_S = 0.02  # precision of queue deadlines and of silence detection
HEALTH_INTERVAL_S = 1.0
IDLE_CLOSE_S = 30.0
EXPIRY_INTERVAL_S = 60.0


class Upkeep:
    """Ticks fast while attempts exist and sweeps over all replicas every ``SWEEP_S``."""

    def __init__(
        self,
        replicas: dict[ReplicaId, Replica],
        gate: Gate,
        sender: Sender,
        health: HealthChecker,
        publisher: StatePublisher,
        crashes: CrashRegistry,
    ):
        self._replicas = replicas
        self._gate = gate
        self._sender = sender
        self._health = health
        self._publisher = publisher
        self._crashes = crashes
        self._awake = trio.Event()
        self._nursery: trio.Nursery

    def wake(self) -> None:
        """Begin ticking because there is an attempt."""
        self._awake.set()

    async def run(self, nursery: trio.Nursery) -> None:
        """Tick and sweep until cancelled."""
        self._nursery = nursery
        sweep_at = expire_at = trio.current_time()
        while True:
            await self._wait(sweep_at)
            now = trio.current_time()
            if self._sender.attempts:
                self._tick(now)
            if now >= sweep_at:
                sweep_at = now + SWEEP_S
                self._sweep(now)
            if now >= expire_at:
                expire_at = now + EXPIRY_INTERVAL_S
                self._crashes.expire(now)

    async def _wait(self, sweep_at: float) -> None:
        if self._sender.attempts:
            await trio.sleep(TICK_S)
            return
        self._awake = trio.Event()
        with trio.move_on_at(sweep_at):
            await self._awake.wait()

    def _tick(self, now: float) -> None:
        for replica in list(self._replicas.values()):
            if replica.sending:
                self._watch(replica, now)
            if len(replica.queue):
                self._expire(replica, now)
                self._sender.pump(replica, now)

    def _watch(self, replica: Replica, now: float) -> None:
        probe = False
        for attempt in list(replica.sending):
            action = attempt.watch.decide(now)
            if action is WatchAction.CLOSE:
                logger.info("closed a silent connection to {}", replica.id)
                attempt.stop(Reason.CONNECTION_SILENT)
            elif action is WatchAction.PROBE:
                probe = True
        if not probe or replica.probing:
            return
        if replica.idle and replica.count_connections() >= replica.config.connections:
            replica.idle.pop(0).close()
        if replica.count_connections() < replica.config.connections:
            replica.probing = True
            replica.checking += 1
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
                attempt.watch.note_probe(answered, listed, now)

    def _expire(self, replica: Replica, now: float) -> None:
        waiting = replica.waiting_until is not None
        reason = Reason.OWNER_WAITING if waiting else Reason.DEADLINE
        for attempt in replica.queue.remove(lambda a: a.deadline_at <= now):
            self._sender.refuse(replica, attempt, reason)

    def _sweep(self, now: float) -> None:
        for replica in list(self._replicas.values()):
            standing, reason = self._gate.check(replica, now)
            if reason is not None:
                replica.close_idle()
            self._publisher.note_load(replica, standing, now)
            if replica.acting and reason in (None, Reason.DRAINING, Reason.COLD):
                self._check_connections(replica, now)
                self._poll(replica, standing, now)

    def _check_connections(self, replica: Replica, now: float) -> None:
        if len(replica.idle) > 1 and now - replica.idle[0].idle_since > IDLE_CLOSE_S:
            replica.idle.pop(0).close()
        due = [c for c in replica.idle if is_check_due(c.verified_at, now)]
        for connection in due:
            replica.idle.remove(connection)
            replica.checking += 1
            self._nursery.start_soon(self._health.check_idle, replica, connection)

    def _poll(self, replica: Replica, standing: Standing, now: float) -> None:
        """Ask cold and draining replicas without connections; degraded mode spares cold ones."""
        needed = replica.draining or (replica.temperature.cold and standing is Standing.OWNER)
        busy = replica.queue.in_flight or replica.checking or replica.idle
        if not needed or busy or now - replica.health_at < HEALTH_INTERVAL_S:
            return
        replica.health_at = now
        replica.checking += 1
        self._nursery.start_soon(self._health.probe, replica)
