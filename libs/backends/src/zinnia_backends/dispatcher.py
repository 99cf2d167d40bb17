"""Entry point for sending sub-requests to the replicas that this VM owns."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Self

import trio
from loguru import logger

from zinnia_backends.attempts import Attempt, build_shared_headers
from zinnia_backends.connections import Connector, Headers
from zinnia_backends.crashes import CrashRegistry, CrashStatus
from zinnia_backends.health import HealthChecker
from zinnia_backends.maintenance import MaintenanceLoop
from zinnia_backends.publication import StatePublisher, read_wall_ms
from zinnia_backends.replica import Replica
from zinnia_backends.send_checks import SendChecker
from zinnia_backends.sending import Sender
from zinnia_backends.state_updates import ReplicaStateUpdater
from zinnia_facts.table import Fact, FactTable
from zinnia_model.configuration import ServiceConfig
from zinnia_model.ids import AttemptId, ReplicaId, ServiceId, ShardId, VmId
from zinnia_model.observations import Observer
from zinnia_model.ownership import OwnershipState
from zinnia_model.reasons import Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord
from zinnia_model.subrequests import Batch, BatchSender, ReplicaView, SubRequest, SubResult

RELEASE_POLL_INTERVAL_S = 0.002  # prolongs the time without an owner by at most this


class ReplicaDispatcher(BatchSender):
    """Queues and sends attempts to owned replicas; delivers exactly one result per attempt.

    ``submit`` may deliver refusals before it returns.

    Parameters
    ----------
    service_config : callable
        Configuration of a service, or None if there is none.
    ownership_state : callable
        Returns whether this VM may send to a replica; called just before each send.
    blocked : callable
        Returns the reason why a replica must get no new work, or None; called just before each
        send.
    facts : FactTable
        Facts shared between VMs.
    publish : callable
        Pushes one fact to all VMs at once.
    crashes : CrashRegistry
        Requests that crash backend servers.
    observer : Observer
        Receives one observation for each run that tells something about the replica's version.
    connector : Connector
        Opens connections to backend servers.
    vm : VmId
        Origin of the facts that this VM publishes.
    seeded_random : random.Random
        Staggers the health requests of different replicas within a second.
    wall_ms : callable
        Returns wall clock time in milliseconds, for the versions of facts.
    """

    def __init__(
        self,
        service_config: Callable[[ServiceId], ServiceConfig | None],
        ownership_state: Callable[[ReplicaId], OwnershipState],
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
        self._send_checker = SendChecker(ownership_state, blocked, facts)
        publisher = StatePublisher(facts, publish, vm, wall_ms)
        self._sender = Sender(self._send_checker, connector, crashes, publisher)
        state_updater = ReplicaStateUpdater(facts, crashes, observer, self._sender.refuse)
        health = HealthChecker(connector, state_updater)
        self._sender.state_updater = state_updater
        self._sender.health = health
        self._replicas: dict[ReplicaId, Replica] = {}
        self._replica_ids_by_service: dict[ServiceId, set[ReplicaId]] = {}
        self._handed_over: dict[ReplicaId, tuple[ReplicaFact, float]] = {}
        self._maintenance = MaintenanceLoop(
            self._replicas, self._send_checker, self._sender, health, publisher, crashes
        )
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
        """Run the workers and the periodic maintenance until cancelled."""
        async with trio.open_nursery() as nursery:
            self._sender.nursery = nursery
            task_status.started()
            await self._maintenance.run(nursery)

    def set_replicas(
        self,
        service: ServiceId,
        records: Iterable[ReplicaRecord],
        shards: Mapping[ShardId, tuple[ReplicaRecord, ...]] | None = None,
    ) -> None:
        """Replace the replicas of a service by those of its shard maps.

        ``shards`` lists the replicas that hold each shard. Without it, queued work stays at a
        replica that restarted, because no other replica of its shard is known.
        """
        wanted = {ReplicaId(record.id): record for record in records}
        for replica_id in self._replica_ids_by_service.get(service, set()) - wanted.keys():
            self._remove(replica_id)
        self._replica_ids_by_service[service] = set(wanted)
        config = self._service_config(service)
        if config is None:
            logger.warning(
                "service {} is in the shard map but has no configuration; add one", service
            )
            return
        shard_holders = {
            shard: frozenset(ReplicaId(record.id) for record in holders)
            for shard, holders in (shards or {}).items()
        }
        for replica_id, record in wanted.items():
            self._update_replica(replica_id, record, service, config).shard_holders = shard_holders

    def _update_replica(
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
            replica.last_health_at = trio.current_time() - self._random.random()
            replica.handed_over = self._handed_over.pop(replica_id, None)
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
        """Queue the sub-requests of a batch and deliver refusals at once."""
        now = trio.current_time()
        headers = build_shared_headers(batch)
        config = self._service_config(batch.service)
        reason = self._find_batch_refusal(batch, config, now)
        touched: dict[ReplicaId, Replica] = {}
        for sub in batch.items:
            replica = self._replicas.get(sub.replica)
            self._enqueue(batch, sub, replica, headers, deliver, now, config, reason)
            if replica is not None:
                touched[sub.replica] = replica
        for replica in touched.values():
            self._sender.dispatch_queued(replica, now)

    def _find_batch_refusal(
        self, batch: Batch, config: ServiceConfig | None, now: float
    ) -> Reason | None:
        if self._draining or self._sender.nursery is None:
            return Reason.SHUTTING_DOWN
        if config is None:
            return Reason.NO_CONFIGURATION
        if self._crashes.status(batch.fingerprint, now) is CrashStatus.REFUSED:
            return Reason.CRASHES_BACKENDS
        return None

    def _enqueue(
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
            logger.warning(
                "attempt {} was submitted twice; the duplicate is ignored", sub.attempt_id
            )
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
        self._maintenance.wake()

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Cancel attempts: remove queued ones, and close the connections of running ones."""
        for attempt_id in attempt_ids:
            attempt, replica = self._sender.attempts.get(attempt_id, (None, None))
            if attempt is None:
                continue
            if replica is not None and replica.queue.withdraw(attempt_id) is not None:
                self._sender.refuse(replica, attempt, Reason.CANCELLED)
            else:
                attempt.stop(Reason.CANCELLED)

    def views(self) -> list[ReplicaView]:
        """Return the states of the replicas that this VM sends to now, for planners."""
        acting = [replica for replica in self._replicas.values() if replica.acting]
        return [replica.build_view(replica.ownership_state) for replica in acting]

    def begin_drain(self) -> None:
        """Refuse new work from now on; accepted work continues."""
        self._draining = True

    def end_drain(self) -> None:
        """Accept new work again."""
        self._draining = False

    async def drain(self, deadline_at: float) -> int:
        """Wait for accepted attempts until ``deadline_at``; return how many are unsettled."""
        self.begin_drain()
        with trio.move_on_at(deadline_at):
            while self._sender.attempts:
                self._sender.no_attempts_left = trio.Event()
                await self._sender.no_attempts_left.wait()
        return len(self._sender.attempts)

    async def release_replicas(
        self, replica_ids: Iterable[ReplicaId], deadline_at: float
    ) -> list[ReplicaFact]:
        """Settle the work of replicas that this VM no longer owns; return their states.

        Queued sub-requests are refused and running ones may finish. The states are for the next
        owner. A replica is left out if its work still runs at ``deadline_at`` or if this VM owns
        it again.
        """
        ids = [replica_id for replica_id in replica_ids if replica_id in self._replicas]
        replicas = [self._replicas[replica_id] for replica_id in ids]
        for replica in replicas:
            self._sender.dispatch_queued(replica, trio.current_time())
        # Replicas finish independently, so there is no single event to wait for.
        while (  # noqa: ASYNC110
            any(r.queue.in_flight for r in replicas) and trio.current_time() < deadline_at
        ):
            await trio.sleep(RELEASE_POLL_INTERVAL_S)
        now = trio.current_time()
        released = [r for r in replicas if not r.queue.in_flight]
        return [
            r.build_fact(r.ownership_state)
            for r in released
            if self._send_checker.check(r, now)[0] is OwnershipState.NOT_OWNER
        ]

    def export_states(self) -> list[ReplicaFact]:
        """Return the states of the replicas that this VM sends to now, for their next owners."""
        acting = [replica for replica in self._replicas.values() if replica.acting]
        return [replica.build_fact(replica.ownership_state) for replica in acting]

    def import_states(self, states: Iterable[ReplicaFact]) -> None:
        """Store handed-over states until this VM becomes the owner; they expire in seconds."""
        now = trio.current_time()
        for state in states:
            replica = self._replicas.get(ReplicaId(state.replica))
            if replica is None:
                self._handed_over[ReplicaId(state.replica)] = (state, now)
            else:
                replica.handed_over = (state, now)
