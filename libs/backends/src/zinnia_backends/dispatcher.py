"""Sends sub-requests to the replicas that this VM owns."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Self

import trio
from loguru import logger

from zinnia_backends.attempts import Attempt, build_shared_headers
from zinnia_backends.connections import Connector, Headers
from zinnia_backends.crashes import CrashRegistry, CrashStatus
from zinnia_backends.gate import Gate
from zinnia_backends.health import HealthChecker
from zinnia_backends.learning import Learner
from zinnia_backends.publication import StatePublisher, read_wall_ms
from zinnia_backends.replica import Replica
from zinnia_backends.sending import Sender
from zinnia_backends.upkeep import Upkeep
from zinnia_facts.table import Fact, FactTable
from zinnia_model.configuration import ServiceConfig
from zinnia_model.ids import AttemptId, ReplicaId, ServiceId, ShardId, VmId
from zinnia_model.observations import Observer
from zinnia_model.ownership import Standing
from zinnia_model.reasons import Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord
from zinnia_model.subrequests import Batch, BatchSender, ReplicaView, SubRequest, SubResult

CEDE_POLL_S = 0.002  # adds at most this to the time without an owner


class ReplicaDispatcher(BatchSender):
    """The owner's side of the path to backend servers; delivers exactly one result per attempt.

    ``submit`` may deliver refusals before it returns.

    Parameters
    ----------
    service_config : callable
        Configuration of a service, or None if there is none.
    standing : callable
        Whether this VM may send to a replica; asked just before each send.
    blocked : callable
        Why a replica must get no new work; asked just before each send.
    facts, publish, vm
        Table of shared facts, urgent push of one fact, and the origin of this VM's facts.
    crashes : CrashRegistry
        Requests that crash backend servers.
    observer : Observer
        Takes one observation for each settled run.
    connector : Connector
        Opens connections.
    seeded_random : random.Random
        Spreads health requests of replicas over the second.
    wall_ms : callable
        Wall clock in milliseconds, for the versions of facts.
    """

    def __init__(
        self,
        service_config: Callable[[ServiceId], ServiceConfig | None],
        standing: Callable[[ReplicaId], Standing],
        blocked: Callable[[ReplicaRecord], Reason | None],
        facts: FactTable,
        publish: Callable[[Fact], None],
        crashes: CrashRegistry,
        observer: Observer,
        connector: Connector,
        vm: VmId,
        seeded_random: random.Random,
        wall_ms: Callable[[], int] = read_wall_ms,
    ):
        self._service_config = service_config
        self._crashes = crashes
        self._random = seeded_random
        self._gate = Gate(standing, blocked, facts)
        publisher = StatePublisher(facts, publish, vm, wall_ms)
        self._sender = Sender(self._gate, connector, crashes, publisher)
        learner = Learner(facts, crashes, observer, self._sender.refuse)
        health = HealthChecker(connector, learner)
        self._sender.learner = learner
        self._sender.health = health
        self._replicas: dict[ReplicaId, Replica] = {}
        self._by_service: dict[ServiceId, set[ReplicaId]] = {}
        self._handed: dict[ReplicaId, tuple[ReplicaFact, float]] = {}
        self._upkeep = Upkeep(self._replicas, self._gate, self._sender, health, publisher, crashes)
        self._draining = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info) -> None:
        self._draining = True
        for attempt, replica in list(self._sender.attempts.values()):
            self._sender.abandon(replica, attempt, Reason.SHUTTING_DOWN)
        for replica in self._replicas.values():
            replica.close_idle()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run workers and upkeep until cancelled."""
        async with trio.open_nursery() as nursery:
            self._sender.nursery = nursery
            task_status.started()
            await self._upkeep.run(nursery)

    def set_replicas(
        self,
        service: ServiceId,
        records: Iterable[ReplicaRecord],
        shards: Mapping[ShardId, tuple[ReplicaRecord, ...]] | None = None,
    ) -> None:
        """Take over the replicas of a service from its shard maps.

        ``shards`` tells which replicas can stand in for another; without it, work waits at a
        replica that restarted.
        """
        wanted = {ReplicaId(record.id): record for record in records}
        for replica_id in self._by_service.get(service, set()) - wanted.keys():
            self._remove(replica_id)
        self._by_service[service] = set(wanted)
        config = self._service_config(service)
        if config is None:
            logger.warning("service {} has replicas but no configuration; add it", service)
            return
        others = {
            shard: frozenset(ReplicaId(record.id) for record in holders)
            for shard, holders in (shards or {}).items()
        }
        for replica_id, record in wanted.items():
            self._put(replica_id, record, service, config).shards = others

    def _put(
        self,
        replica_id: ReplicaId,
        record: ReplicaRecord,
        service: ServiceId,
        config: ServiceConfig,
    ) -> Replica:
        replica = self._replicas.get(replica_id)
        if replica is None or replica.record.address != record.address:
            self._remove(replica_id)
            replica = self._replicas[replica_id] = Replica(record, service, config)
            replica.health_at = trio.current_time() - self._random.random()
            replica.handed = self._handed.pop(replica_id, None)
        replica.record = record
        return replica

    def _remove(self, replica_id: ReplicaId) -> None:
        replica = self._replicas.pop(replica_id, None)
        if replica is None:
            return
        replica.removed = True
        replica.close_idle()
        replica.workers.unpark_all()
        for attempt in replica.queue.remove(lambda _: True):
            self._sender.refuse(replica, attempt, Reason.NO_REPLICA)

    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Queue the sub-requests of a batch; refusals are delivered at once."""
        now = trio.current_time()
        headers = build_shared_headers(batch)
        config = self._service_config(batch.service)
        reason = self._check_batch(batch, config, now)
        touched: dict[ReplicaId, Replica] = {}
        for sub in batch.items:
            replica = self._replicas.get(sub.replica)
            self._admit(batch, sub, replica, headers, deliver, now, config, reason)
            if replica is not None:
                touched[sub.replica] = replica
        for replica in touched.values():
            self._sender.pump(replica, now)

    def _check_batch(self, batch: Batch, config: ServiceConfig | None, now: float) -> Reason | None:
        if self._draining or self._sender.nursery is None:
            return Reason.SHUTTING_DOWN
        if config is None:
            return Reason.NO_CONFIGURATION
        if self._crashes.status(batch.fingerprint, now) is CrashStatus.REFUSED:
            return Reason.CRASHES_BACKENDS
        return None

    def _admit(
        self,
        batch: Batch,
        sub: SubRequest,
        replica: Replica | None,
        headers: Headers,
        deliver: Callable[[SubResult], None],
        now: float,
        config: ServiceConfig | None,
        reason: Reason | None,
    ) -> None:
        if sub.attempt_id in self._sender.attempts:
            logger.warning("attempt {} was submitted twice; the copy is ignored", sub.attempt_id)
            return
        attempt = Attempt(batch, sub, now + batch.deadline_s, deliver, headers)
        self._sender.attempts[sub.attempt_id] = (attempt, replica)
        if reason is None and replica is None:
            reason = Reason.NO_REPLICA
        if reason is None:
            if replica.config is not config:
                replica.configure(config)
            temperature = replica.temperature
            reason = replica.queue.offer(
                attempt, now, temperature.limit, temperature.times.median_s
            )
        if reason is not None:
            self._sender.refuse(replica, attempt, reason)
            return
        self._upkeep.wake()

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Give up attempts: waiting ones are not run, a running one's connection is closed."""
        for attempt_id in attempt_ids:
            attempt, replica = self._sender.attempts.get(attempt_id, (None, None))
            if attempt is None:
                continue
            if replica is not None and replica.queue.withdraw(attempt_id) is not None:
                self._sender.refuse(replica, attempt, Reason.CANCELLED)
            else:
                attempt.stop(Reason.CANCELLED)

    def views(self) -> list[ReplicaView]:
        """Return this VM's view of the replicas for which it acts."""
        acting = [replica for replica in self._replicas.values() if replica.acting]
        return [replica.build_view(replica.standing) for replica in acting]

    def begin_drain(self) -> None:
        """Refuse new work from now on; accepted work goes on."""
        self._draining = True

    def end_drain(self) -> None:
        """Accept new work again."""
        self._draining = False

    async def drain(self, deadline_at: float) -> int:
        """Wait until accepted work is settled or ``deadline_at``; return how many are left."""
        self.begin_drain()
        with trio.move_on_at(deadline_at):
            while self._sender.attempts:
                self._sender.on_empty = trio.Event()
                await self._sender.on_empty.wait()
        return len(self._sender.attempts)

    async def cede(self, replica_ids: Iterable[ReplicaId], deadline_at: float) -> list[ReplicaFact]:
        """Settle the work of replicas whose ownership this VM has lost, for their next owner.

        Waiting sub-requests are refused and running ones finish. A replica whose work still runs
        at ``deadline_at``, or whose ownership has come back, is left out.
        """
        ids = [replica_id for replica_id in replica_ids if replica_id in self._replicas]
        replicas = [self._replicas[replica_id] for replica_id in ids]
        for replica in replicas:
            self._sender.pump(replica, trio.current_time())
        # Answers come one by one on many replicas, so there is no single event to wait for.
        while (  # noqa: ASYNC110
            any(r.queue.in_flight for r in replicas) and trio.current_time() < deadline_at
        ):
            await trio.sleep(CEDE_POLL_S)
        now = trio.current_time()
        ceded = [r for r in replicas if not r.queue.in_flight]
        return [
            r.build_fact(r.standing)
            for r in ceded
            if self._gate.check(r, now)[0] is Standing.NOT_OWNER
        ]

    def export_states(self) -> list[ReplicaFact]:
        """Return the states of the replicas for which this VM acts, for their next owners."""
        acting = [replica for replica in self._replicas.values() if replica.acting]
        return [replica.build_fact(replica.standing) for replica in acting]

    def import_states(self, states: Iterable[ReplicaFact]) -> None:
        """Keep handed-over states until this VM becomes the owner, a few seconds at most."""
        now = trio.current_time()
        for state in states:
            replica = self._replicas.get(ReplicaId(state.replica))
            if replica is None:
                self._handed[ReplicaId(state.replica)] = (state, now)
            else:
                replica.handed = (state, now)
