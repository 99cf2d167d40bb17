"""The entry process of one VM: wires its servers and tasks together, and stops them gracefully."""

import secrets
import signal
from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields, replace
from functools import partial
from random import Random

import trio

from zinnia_catalog.catalog import Catalog, ObjectDecoder
from zinnia_catalog.collections import Collection
from zinnia_catalog.crashes import CrashFindings
from zinnia_catalog.departures import Departure
from zinnia_catalog.evidence import Evidence
from zinnia_catalog.ids import ProcessId, VmName
from zinnia_catalog.members import rank_names
from zinnia_catalog.objects import ObjectKind, ObjectStore
from zinnia_catalog.observations import Observation
from zinnia_catalog.restores import find_hold_times, find_min_outage
from zinnia_catalog.routes import CallerLimits
from zinnia_delegation.delegator import PeerDelegator
from zinnia_delegation.messages import DELEGATION_PROTOCOL_ID
from zinnia_delegation.server import SubqueryServer
from zinnia_entry.handler import TierHandler
from zinnia_entry.logs import EventLog, RequestLog
from zinnia_entry.messages import CallerProtocol
from zinnia_entry.metrics import Metrics
from zinnia_entry.probes import MetricsHandler, ReadinessHandler
from zinnia_entry.registration import Registration
from zinnia_entry.releases import ReleaseDriver
from zinnia_entry.routestates import RouteStates
from zinnia_entry.server import CallerServer, open_listener
from zinnia_entry.settings import EntrySettings, SettingsError
from zinnia_entry.shares import LimitShares, PartRunners, RetryShares
from zinnia_entry.sources import FOLLOWED_KINDS, SourceController, make_member
from zinnia_entry.stopping import PlannedStop
from zinnia_entry.subqueries import TierSubqueryHandler
from zinnia_relay.exchange import FindingsSource
from zinnia_relay.server import RelayServer
from zinnia_relay.store_cache import StoreCache
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.dispatcher import Dispatcher
from zinnia_sending.fleet import Fleet
from zinnia_sending.limits import AnswerMemory
from zinnia_sending.protocol import ReplicaProtocol
from zinnia_sending.versions import VersionShares

EXPIRY_CHECK_INTERVAL_S = 0.2
# How often the settings file is read again, since it may change without a signal.
RELOAD_INTERVAL_S = 5.0
# After a stop signal, requests are still accepted until the load balancer sees the VM as unready.
DRAIN_ACCEPT_S = 3.0
# Fraction of the memory for the answers of replicas that are being received.
ANSWER_MEMORY_FRACTION = 0.125
# Random bytes that tell the processes of a VM apart.
PROCESS_ID_BYTES = 4


@dataclass(frozen=True, slots=True)
class Adapter:
    """Implementations of the interfaces between this tier and the users' platform."""

    store: ObjectStore
    decoder: ObjectDecoder
    replicas: ReplicaProtocol
    callers: CallerProtocol


class FleetFindings(FindingsSource):
    """Passes findings between this VM's fleet and the other VMs."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def list_observations(self) -> list[Observation]:
        """Return this VM's own observations of slow or failing replicas."""
        return self._fleet.list_observations(trio.current_time())

    def apply_observations(self, observations: Iterable[Observation]) -> None:
        """Apply observations of other VMs to the fleet."""
        self._fleet.apply_observations(observations, trio.current_time())

    def list_departures(self) -> list[Departure]:
        """Return the replicas that are known to leave."""
        return self._fleet.notices.list_departures(trio.current_time())

    def apply_departures(self, departures: Iterable[Departure]) -> None:
        """Apply departures that other VMs know."""
        self._fleet.notices.apply_departures(departures, trio.current_time())

    def list_crashes(self) -> CrashFindings:
        """Return the crashes of replicas that are known, by request."""
        return self._fleet.crashes.list_findings()

    def apply_crashes(self, findings: CrashFindings) -> None:
        """Apply crashes that other VMs know."""
        self._fleet.crashes.apply_findings(findings)

    def list_evidence(self) -> list[Evidence]:
        """Return the evidence of this process, and what has changed of that of others."""
        return self._fleet.versions.list_evidence(trio.current_time())

    def list_totals(self) -> list[Evidence]:
        """Return the pooled evidence of all processes."""
        return self._fleet.versions.list_totals(trio.current_time())

    def merge_evidence(self, evidence: Iterable[Evidence]) -> None:
        """Merge evidence of other VMs."""
        self._fleet.versions.merge_evidence(evidence, trio.current_time())


class EntryNode:
    """The entry process of one VM, with all its servers and background tasks.

    Parameters
    ----------
    settings : EntrySettings
        Addresses, limits and timeouts.
    adapter : Adapter
        Connects this tier to the platform.
    load_settings : Callable[[], EntrySettings], optional
        Reads the settings again; raises SettingsError if they are invalid.
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
        self._loaded_settings = settings
        self._is_file_invalid = False
        self._adapter = adapter
        self._random = Random()
        runners = PartRunners(
            lambda: self.catalog.members,
            lambda: self.catalog.configuration,
            settings.delegate_from,
        )
        limit_shares = LimitShares(settings.vm, self.count_vms, runners)
        versions = VersionShares(events, make_process_id(settings.vm), settings.exposure_bounds)
        self._fleet = Fleet(
            settings.data_centre,
            self.count_vms,
            events,
            self._random,
            limit_shares,
            versions,
            metrics,
        )
        self.catalog = Catalog(adapter.decoder, self._fleet, trio.current_time)
        retry_shares = RetryShares(
            settings.vm, self.count_vms, runners, lambda: self._registration.has_listed
        )
        self._retry_budget = RetryBudget(
            settings.retry_bounds, retry_shares.get_share, trio.current_time()
        )
        findings = FleetFindings(self._fleet)
        self._store_cache = StoreCache(
            FOLLOWED_KINDS,
            self.catalog.apply,
            findings,
            self._make_collection,
            find_min_outage(settings.heartbeat_s),
        )
        self._registration = Registration(
            make_member(settings),
            adapter.store,
            self._make_collection(ObjectKind.MEMBERS),
            self.catalog,
            self._store_cache,
            events,
            self._random,
            self._retry_budget.note_new_vm,
        )
        self._source_controller = SourceController(
            settings,
            self._store_cache,
            adapter.store,
            lambda: self.catalog.members,
            metrics,
            events,
            self._random,
        )
        self._release_driver = ReleaseDriver(
            self._fleet.versions,
            adapter.store,
            self.get_rank,
            events,
            trio.current_time,
            partial(self._store_cache.apply_listing, ObjectKind.RELEASES),
        )
        self._request_log = RequestLog(events)
        self._route_states = RouteStates()
        self._delegator = PeerDelegator(
            make_member(settings),
            lambda: self.catalog.members,
            lambda service: self._fleet.choose_data_centre(service, trio.current_time()),
            events,
            settings.delegate_from,
        )
        self._subquery_server: SubqueryServer | None = None
        self._stop = PlannedStop()
        self._handler: TierHandler | None = None
        self._servers: list[CallerServer] = []

    def count_vms(self) -> int:
        """Return the number of VMs that may send requests, at least the number that is expected."""
        return max(self._settings.expected_vms, len(self.catalog.members))

    def get_rank(self) -> int:
        """Return the rank of this VM, 0 for the first; all VMs compute the same ranks."""
        names = set(self.catalog.members) | {self._settings.vm}
        return rank_names(names).index(self._settings.vm)

    @property
    def is_ready(self) -> bool:
        """Whether this VM has a configuration and current data, and is not stopping."""
        if self._stop.has_begun or self.catalog.configuration is None:
            return False
        return self._source_controller.has_started()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; reload the settings on SIGHUP."""
        self.events.note("start", vm=self._settings.vm, callers=str(self._settings.callers))
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                self._start_all(nursery)
                async for signal_number in signals:
                    if signal_number != signal.SIGHUP:
                        break
                    self.reload("signal")
                await self._stop_serving()
                nursery.cancel_scope.cancel()
        self.events.note("stop")
        self.events.flush()

    def reload(self, cause: str) -> None:
        """Read the settings again and apply them; addresses only change at a restart.

        Invalid settings are logged, and the previous ones stay in effect.
        """
        try:
            settings = self._load_settings()
        except SettingsError as error:
            self.events.note("reload_failed", reason=cause, cause=str(error))
            return
        self._loaded_settings = settings
        self._is_file_invalid = False
        if settings == self._settings:
            self.events.note("reload", reason=cause, changed=[])
            return
        changed = find_changed_settings(self._settings, settings)
        self._settings = replace(
            settings,
            callers=self._settings.callers,
            readiness=self._settings.readiness,
            peers=self._settings.peers,
            metrics=self._settings.metrics,
            store=self._settings.store,
        )
        self._retry_budget.bounds = settings.retry_bounds
        self._fleet.versions.bounds = settings.exposure_bounds
        self._source_controller.seeds = settings.seeds
        self.events.note("reload", reason=cause, changed=changed)

    def _make_collection(self, kind: ObjectKind) -> Collection:
        read_key = partial(self._adapter.decoder.read_order_key, kind)
        return Collection(kind, read_key, find_hold_times(kind, self._settings.heartbeat_s))

    def _start_all(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        dispatcher = Dispatcher(
            nursery,
            self._fleet,
            self._adapter.replicas,
            self.metrics,
            self.events,
            AnswerMemory(int(settings.memory_bytes * ANSWER_MEMORY_FRACTION)),
        )
        self._handler = TierHandler(
            self.catalog,
            self._fleet,
            self._retry_budget,
            dispatcher,
            self._adapter.callers,
            self.metrics,
            self._request_log,
            self._route_states,
            self._delegator if settings.peers is not None else None,
            self._stop,
        )
        callers = CallerServer(self._handler, self._get_limits, self.events)
        self._servers.append(callers)
        readiness = CallerServer(ReadinessHandler(lambda: self.is_ready), CallerLimits, self.events)
        nursery.start_soon(callers.serve, settings.callers.host, settings.callers.port, nursery)
        nursery.start_soon(
            readiness.serve, settings.readiness.host, settings.readiness.port, nursery
        )
        if settings.metrics is not None:
            metrics = CallerServer(
                MetricsHandler(self.metrics, self._refresh_gauges), CallerLimits, self.events
            )
            nursery.start_soon(metrics.serve, settings.metrics.host, settings.metrics.port, nursery)
        if settings.peers is not None:
            self._subquery_server = self._make_subquery_server(dispatcher)
            nursery.start_soon(self._serve_peers, settings.peers.host, settings.peers.port)
            nursery.start_soon(self._delegator.run)
        nursery.start_soon(self._source_controller.run)
        nursery.start_soon(self._release_driver.run)
        nursery.start_soon(self._run_periodic_tasks)
        nursery.start_soon(self._registration.run)
        nursery.start_soon(self.events.run)
        nursery.start_soon(self._request_log.run)

    def _make_subquery_server(self, dispatcher: Dispatcher) -> SubqueryServer:
        handler = TierSubqueryHandler(
            self.catalog,
            self._fleet,
            self._retry_budget,
            dispatcher,
            self._adapter.replicas,
            self._route_states,
            self.metrics,
            self._request_log,
        )
        return SubqueryServer(handler, self._settings.capacity, self.events)

    async def _serve_peers(self, host: str, port: int) -> None:
        protocols = {DELEGATION_PROTOCOL_ID: self._subquery_server.serve}
        relay = RelayServer(self._settings.vm, self._store_cache, protocols)
        listener = trio.SocketListener(await open_listener(host, port))
        await trio.serve_listeners(relay.serve_stream, [listener])

    def _get_limits(self) -> CallerLimits:
        configuration = self.catalog.configuration
        return configuration.limits if configuration else CallerLimits()

    def _refresh_gauges(self) -> None:
        for kind in FOLLOWED_KINDS:
            age_s = self._store_cache.get_age(kind)
            if age_s is not None:
                self.metrics.set_confirmation_age(kind.value, age_s)
        now = trio.current_time()
        for service in self._retry_budget.list_services():
            use = self._retry_budget.measure_use(service, now)
            self.metrics.set_retry_use(service, use)

    def _reload_if_changed(self) -> None:
        try:
            has_changed = self._load_settings() != self._loaded_settings
        except SettingsError:
            has_changed = not self._is_file_invalid
            self._is_file_invalid = True
        if has_changed:
            self.reload("file")

    async def _run_periodic_tasks(self) -> None:
        reload_at = trio.current_time() + RELOAD_INTERVAL_S
        while True:
            await trio.sleep_until(self._find_next_check_time())
            self._fleet.discard_expired(trio.current_time())
            self.catalog.expire_lapsed()
            self._store_cache.expire_holds()
            if trio.current_time() >= reload_at:
                reload_at = trio.current_time() + RELOAD_INTERVAL_S
                self._reload_if_changed()

    def _find_next_check_time(self) -> float:
        next_check_at = trio.current_time() + EXPIRY_CHECK_INTERVAL_S
        expiries = (self.catalog.find_expiry(), self._store_cache.find_hold_expiry())
        return min([next_check_at, *(at for at in expiries if at is not None)])

    async def _stop_serving(self) -> None:
        """Report unready, finish requests in progress, and return when no connection is open."""
        started_at = trio.current_time()
        self._stop.begin(self._settings.grace_period_s)
        self._handler.begin_stop()
        if self._subquery_server is not None:
            self._subquery_server.is_stopping = True
        for server in self._servers:
            server.is_draining = True
        self.events.note("stopping", busy=sum(server.active_requests for server in self._servers))
        with trio.move_on_at(self._stop.wait_until):
            await trio.sleep(DRAIN_ACCEPT_S)
            for server in self._servers:
                server.close_idle()
                await server.wait_closed()
        self.events.note("stopped_serving", after_s=round(trio.current_time() - started_at, 2))


def find_changed_settings(old: EntrySettings, new: EntrySettings) -> list[str]:
    """Return the names of the settings that have changed."""
    return [item.name for item in fields(old) if getattr(old, item.name) != getattr(new, item.name)]


def make_process_id(vm: VmName) -> ProcessId:
    """Return an id that no other process has, also no earlier one of this VM."""
    return ProcessId(f"{vm}/{secrets.token_hex(PROCESS_ID_BYTES)}")
