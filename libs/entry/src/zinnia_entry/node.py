"""One entry VM: servers, feeds and sending, from start to graceful stop."""

import signal
from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields, replace
from random import Random

import trio

from zinnia_catalog.catalog import Catalog, ObjectDecoder
from zinnia_catalog.collections import Collection
from zinnia_catalog.members import rank_names
from zinnia_catalog.objects import ObjectKind, ObjectStore, StoreError
from zinnia_catalog.observations import Observation
from zinnia_catalog.routes import CallerLimits
from zinnia_delegation.delegator import PeerDelegator
from zinnia_delegation.messages import DELEGATION_PROTOCOL_ID
from zinnia_delegation.server import SubqueryServer
from zinnia_entry.handler import TierHandler
from zinnia_entry.logs import EventLog, RequestLog
from zinnia_entry.messages import CallerProtocol
from zinnia_entry.metrics import Metrics
from zinnia_entry.probes import MetricsHandler, ReadinessHandler
from zinnia_entry.releases import ReleaseDriver
from zinnia_entry.routestates import RouteStates
from zinnia_entry.server import CallerServer, open_listener
from zinnia_entry.settings import EntrySettings, SettingsError
from zinnia_entry.shares import RetryShares
from zinnia_entry.sources import FOLLOWED_KINDS, SourceController, make_member
from zinnia_entry.subqueries import TierSubqueries
from zinnia_relay.server import RelayServer
from zinnia_relay.store_cache import ReplicaObserver, StoreCache
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.dispatcher import Dispatcher
from zinnia_sending.fleet import Fleet
from zinnia_sending.protocol import ReplicaProtocol

UPKEEP_INTERVAL_S = 0.2
# The settings file may change without a signal.
RELOAD_INTERVAL_S = 5.0
# After a stop signal, requests are still taken while the balancer notices the lost readiness.
STOP_ACCEPT_S = 3.0
# Time before the end of the grace period at which the process ends in any case.
STOP_MARGIN_S = 0.5
MEMBERS_INTERVAL_S = 10.0
# VMs that start together have registered after this time.
MEMBERS_FIRST_S = 1.0


@dataclass(frozen=True, slots=True)
class Adapter:
    """What translates between the tier and the users' platform."""

    store: ObjectStore
    decoder: ObjectDecoder
    replicas: ReplicaProtocol
    callers: CallerProtocol


class FleetObserver(ReplicaObserver):
    """Connects what the fleet sees of replicas with what VMs tell each other."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def list_observations(self) -> list[Observation]:
        """Return the replicas that this VM itself sees as slow or failing."""
        return self._fleet.list_observations(trio.current_time())

    def apply_observations(self, observations: Iterable[Observation]) -> None:
        """Take what other VMs saw."""
        self._fleet.apply_observations(observations, trio.current_time())


class EntryNode:
    """Everything that one VM runs.

    Parameters
    ----------
    settings : EntrySettings
        Addresses and bounds.
    adapter : Adapter
        Translates between the tier and the platform.
    load_settings : Callable[[], EntrySettings], optional
        Reads the settings again; raises SettingsError if they are wrong.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adapter: Adapter,
        metrics: Metrics,
        events: EventLog,
        load_settings: Callable[[], EntrySettings] | None = None,
    ) -> None:
        self.metrics = metrics
        self.events = events
        self._settings = settings
        self._load_settings = load_settings or (lambda: settings)
        self._loaded = settings
        self._is_file_bad = False
        self._adapter = adapter
        self._random = Random()
        self._fleet = Fleet(settings.data_centre, self.count_vms, events, self._random)
        self.catalog = Catalog(adapter.decoder, self._fleet, trio.current_time)
        shares = RetryShares(
            settings.vm,
            self.count_vms,
            lambda: self.catalog.members,
            lambda: self.catalog.configuration,
            settings.delegate_from,
        )
        self._budget = RetryBudget(settings.retry_bounds, shares.get_share)
        self._members = Collection(ObjectKind.MEMBERS)
        observer = FleetObserver(self._fleet)
        self._store_cache = StoreCache(FOLLOWED_KINDS, self.catalog.apply, observer)
        self._sources = SourceController(
            settings,
            self._store_cache,
            adapter.store,
            lambda: self.catalog.members,
            metrics,
            events,
            self._random,
        )
        self._releases = ReleaseDriver(
            self._fleet.versions, adapter.store, self.get_rank, events, trio.current_time
        )
        self._request_log = RequestLog(events)
        self._states = RouteStates()
        self._delegator = PeerDelegator(
            make_member(settings), lambda: self.catalog.members, events, settings.delegate_from
        )
        self._subqueries: SubqueryServer | None = None
        self._is_stopping = False
        self._servers: list[CallerServer] = []

    def count_vms(self) -> int:
        """Return how many VMs may be sending, at least as many as the settings expect."""
        return max(self._settings.expected_vms, len(self.catalog.members))

    def get_rank(self) -> int:
        """Return the place of this VM in the order that all VMs know, 0 for the first."""
        names = set(self.catalog.members) | {self._settings.vm}
        return rank_names(names).index(self._settings.vm)

    @property
    def is_ready(self) -> bool:
        """Whether this VM takes new connections."""
        if self._is_stopping or self.catalog.configuration is None:
            return False
        return self._store_cache.collections[ObjectKind.REPLICAS].is_known

    async def run(self) -> None:
        """Serve until a stop signal, then drain."""
        self.events.note("start", vm=self._settings.vm, callers=str(self._settings.callers))
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                self._start_all(nursery)
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    self.reload("signal")
                await self._stop()
                nursery.cancel_scope.cancel()
        self.events.note("stop")
        self.events.flush()

    def reload(self, cause: str) -> None:
        """Read the settings again; wrong ones change nothing, and addresses need a restart."""
        try:
            settings = self._load_settings()
        except SettingsError as error:
            self.events.note("reload_failed", reason=cause, cause=str(error))
            return
        self._loaded = settings
        self._is_file_bad = False
        if settings == self._settings:
            self.events.note("reload", reason=cause, changed=[])
            return
        changed = find_changes(self._settings, settings)
        self._settings = replace(
            settings,
            callers=self._settings.callers,
            readiness=self._settings.readiness,
            peers=self._settings.peers,
            metrics=self._settings.metrics,
            store=self._settings.store,
        )
        self._budget.bounds = settings.retry_bounds
        self._sources.seeds = settings.seeds
        self.events.note("reload", reason=cause, changed=changed)

    def _start_all(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        dispatcher = Dispatcher(
            nursery, self._fleet, self._adapter.replicas, self.metrics, self.events
        )
        handler = TierHandler(
            self.catalog,
            self._fleet,
            self._budget,
            dispatcher,
            self._adapter.callers,
            self.metrics,
            self._request_log,
            self._states,
            self._delegator if settings.peers is not None else None,
        )
        callers = CallerServer(handler, self._get_limits, self.events)
        self._servers.append(callers)
        readiness = CallerServer(ReadinessHandler(lambda: self.is_ready), CallerLimits, self.events)
        nursery.start_soon(callers.serve, settings.callers.host, settings.callers.port, nursery)
        nursery.start_soon(
            readiness.serve, settings.readiness.host, settings.readiness.port, nursery
        )
        if settings.metrics is not None:
            metrics = CallerServer(
                MetricsHandler(self.metrics, self._refresh_ages), CallerLimits, self.events
            )
            nursery.start_soon(metrics.serve, settings.metrics.host, settings.metrics.port, nursery)
        if settings.peers is not None:
            self._subqueries = self._make_subqueries(dispatcher)
            nursery.start_soon(self._serve_peers, settings.peers.host, settings.peers.port)
            nursery.start_soon(self._delegator.run)
        nursery.start_soon(self._sources.run)
        nursery.start_soon(self._releases.run)
        nursery.start_soon(self._keep_up)
        nursery.start_soon(self._follow_members)
        nursery.start_soon(self.events.run)
        nursery.start_soon(self._request_log.run)

    def _make_subqueries(self, sender: Dispatcher) -> SubqueryServer:
        handler = TierSubqueries(
            self.catalog,
            self._fleet,
            self._budget,
            sender,
            self._adapter.replicas,
            self._states,
            self.metrics,
            self._request_log,
        )
        return SubqueryServer(handler, self._settings.capacity, self.events)

    async def _serve_peers(self, host: str, port: int) -> None:
        protocols = {DELEGATION_PROTOCOL_ID: self._subqueries.serve}
        relay = RelayServer(self._settings.vm, self._store_cache, protocols)
        listener = trio.SocketListener(await open_listener(host, port))
        await trio.serve_listeners(relay.serve_stream, [listener])

    def _get_limits(self) -> CallerLimits:
        configuration = self.catalog.configuration
        return configuration.limits if configuration else CallerLimits()

    def _refresh_ages(self) -> None:
        for kind in FOLLOWED_KINDS:
            age_s = self._store_cache.get_age(kind)
            if age_s is not None:
                self.metrics.set_confirmation_age(kind.value, age_s)

    def _reload_if_changed(self) -> None:
        try:
            has_changed = self._load_settings() != self._loaded
        except SettingsError:
            has_changed = not self._is_file_bad
            self._is_file_bad = True
        if has_changed:
            self.reload("file")

    async def _keep_up(self) -> None:
        reload_at = trio.current_time() + RELOAD_INTERVAL_S
        while True:
            await trio.sleep_until(self._find_upkeep_time())
            self._fleet.discard_expired(trio.current_time())
            self.catalog.expire_lapsed()
            if trio.current_time() >= reload_at:
                reload_at = trio.current_time() + RELOAD_INTERVAL_S
                self._reload_if_changed()

    def _find_upkeep_time(self) -> float:
        regular_at = trio.current_time() + UPKEEP_INTERVAL_S
        expiry_at = self.catalog.find_expiry()
        return regular_at if expiry_at is None else min(regular_at, expiry_at)

    async def _follow_members(self) -> None:
        """Register this VM, and learn now and then how many there are."""
        settings = self._settings
        store = self._adapter.store
        is_registered = False
        pause_s = MEMBERS_FIRST_S
        while True:
            try:
                listing = await store.list(ObjectKind.MEMBERS, allow_stale=True)
                changes = self._members.replace(listing)
                self.catalog.apply(ObjectKind.MEMBERS, changes, False)
                if not is_registered and settings.vm not in self.catalog.members:
                    document = make_member(settings).write()
                    await store.create(ObjectKind.MEMBERS, settings.vm, document)
                is_registered = True
            except StoreError as error:
                self.events.note("members_unknown", cause=error.cause)
            await trio.sleep(pause_s * (0.8 + 0.4 * self._random.random()))
            pause_s = MEMBERS_INTERVAL_S

    async def _stop(self) -> None:
        """Lose readiness, finish requests, and return when none is left."""
        started = trio.current_time()
        self._is_stopping = True
        if self._subqueries is not None:
            self._subqueries.is_stopping = True
        for server in self._servers:
            server.is_draining = True
        self.events.note("stopping", busy=sum(server.busy for server in self._servers))
        with trio.move_on_after(self._settings.grace_period_s - STOP_MARGIN_S):
            await trio.sleep(STOP_ACCEPT_S)
            for server in self._servers:
                server.close_idle()
                await server.wait_closed()
        self.events.note("stopped_serving", after_s=round(trio.current_time() - started, 2))


def find_changes(old: EntrySettings, new: EntrySettings) -> list[str]:
    """Return the names of the settings that differ."""
    return [row.name for row in fields(old) if getattr(old, row.name) != getattr(new, row.name)]
