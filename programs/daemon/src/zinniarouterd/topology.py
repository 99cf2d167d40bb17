"""In-memory view of configuration, shards, owners and replicas for planner and dispatcher."""

import time
from collections.abc import Callable, Mapping

import trio

from zinnia_backends.crashes import CrashRegistry, CrashStatus
from zinnia_facts.table import Cursor, FactKind, FactTable
from zinnia_model.configuration import (
    ConfigDocument,
    DataCentreState,
    MoveState,
    ServiceConfig,
)
from zinnia_model.ids import (
    DataCentreId,
    Fingerprint,
    MoveId,
    ReplicaId,
    ServiceId,
    VersionId,
    VmId,
)
from zinnia_model.reasons import Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord, ShardMap
from zinnia_model.subrequests import ReplicaView
from zinnia_releases.changes import is_version_move
from zinnia_releases.moves import compute_effective_shares, find_take_back_cause
from zinnia_releases.vetoes import Veto, collect_vetoes
from zinnia_routing.topology import Topology
from zinniarouterd.maps import ShardMaps

DATA_CENTRE_RAMP_S = 10.0
DATA_CENTRE_INITIAL_WEIGHT = 0.1
# Vetoes and due times of moves change the shares and must take effect within 3 s; this cache age
# leaves room for that.
SHARES_CACHE_TTL_S = 0.1


def read_wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the epoch."""
    return int(time.time() * 1000)


class ReplicaViews:
    """The latest state that the owner of each replica published, read from the fact table."""

    def __init__(self, facts: FactTable) -> None:
        self._facts = facts
        self._read_cursor = Cursor(0)
        self._versions: dict[ReplicaId, int] = {}
        self._views: dict[ReplicaId, tuple[float, ReplicaView]] = {}

    def get(self, replica: ReplicaId, now: float) -> ReplicaView | None:
        """Return the view of a replica, or None if its fact is missing or expired."""
        if self._facts.cursor != self._read_cursor:
            self._read_changes(now)
        expires_at, view = self._views.get(replica, (0.0, None))
        return view if expires_at > now else None

    def _read_changes(self, now: float) -> None:
        changes, self._read_cursor = self._facts.changes_since(self._read_cursor, now)
        for fact in changes:
            replica = ReplicaId(fact.subject)
            if fact.kind is not FactKind.REPLICA_STATE:
                continue
            if fact.version < self._versions.get(replica, 0):
                continue
            self._versions[replica] = fact.version
            state = ReplicaFact.model_validate_json(fact.value)
            self._views[replica] = (now + fact.ttl_s, make_replica_view(state))


def make_replica_view(state: ReplicaFact) -> ReplicaView:
    """Convert a published replica state into the planner's view."""
    return ReplicaView(
        replica=ReplicaId(state.replica),
        cold=state.cold,
        draining=state.draining,
        queue_length=state.queue_length,
        in_flight=state.in_flight,
        limit=state.limit,
        start_id=state.start_id,
        version=VersionId(state.version),
    )


class LiveTopology(Topology):
    """Combines configuration, shard maps, ownership and facts.

    Parameters
    ----------
    read_document : callable
        Returns the current configuration, or None.
    find_owner : callable
        Returns the VM to forward sub-requests for a replica to at a given time of trio's clock, or
        None if no member is available.
    is_leaving : callable
        Returns whether the platform's list of VMs marks an address as leaving.
    """

    def __init__(
        self,
        read_document: Callable[[], ConfigDocument | None],
        maps: ShardMaps,
        facts: FactTable,
        find_owner: Callable[[ReplicaId, float], VmId | None],
        is_leaving: Callable[[str], bool],
        wall_ms: Callable[[], int] = read_wall_ms,
    ) -> None:
        self._read_document = read_document
        self._maps = maps
        self._facts = facts
        self._find_owner = find_owner
        self._is_leaving = is_leaving
        self._wall_ms = wall_ms
        self._views = ReplicaViews(facts)
        self._shares_cache: dict[ServiceId, tuple[float, dict[VersionId, float]]] = {}
        self._vetoes_cache: tuple[Cursor, Mapping[MoveId, Veto]] = (Cursor(-1), {})

    def service(self, service: ServiceId) -> ServiceConfig | None:
        """Return the configuration of a service, or None if the service is unknown."""
        document = self._read_document()
        return document.services.get(service) if document else None

    def shard_map(self, service: ServiceId) -> ShardMap | None:
        """Return the newest known shard map of a service."""
        return self._maps.get(service)

    def owner(self, replica: ReplicaId) -> VmId | None:
        """Return the VM to forward sub-requests for a replica to, or None if none is available."""
        return self._find_owner(replica, trio.current_time())

    def view(self, replica: ReplicaId) -> ReplicaView | None:
        """Return the latest state that the owner of a replica published, or None."""
        return self._views.get(replica, trio.current_time())

    def data_centre_weight(self, data_centre: DataCentreId, now: float) -> float:
        """Return the load weight of a data centre, from 0 to 1.

        It is 0 while the data centre is out and rises from 0.1 to 1 within 10 s after its return.
        """
        document = self._read_document()
        config = document.data_centres.get(data_centre) if document else None
        if config is None:
            return 1.0
        if config.state is DataCentreState.OUT:
            return 0.0
        age_s = (self._wall_ms() - config.since_ms) / 1000
        if config.since_ms == 0 or age_s >= DATA_CENTRE_RAMP_S:
            return 1.0
        ramp = (1 - DATA_CENTRE_INITIAL_WEIGHT) * max(0.0, age_s) / DATA_CENTRE_RAMP_S
        return DATA_CENTRE_INITIAL_WEIGHT + ramp

    def vetoes(self) -> Mapping[MoveId, Veto]:
        """Return the vetoes that this VM knows."""
        if self._vetoes_cache[0] != self._facts.cursor:
            now = trio.current_time()
            self._vetoes_cache = (self._facts.cursor, collect_vetoes(self._facts, now))
            self._shares_cache.clear()
        return self._vetoes_cache[1]

    def clear_shares_cache(self) -> None:
        """Clear the cached shares after a change of configuration."""
        self._shares_cache.clear()

    def shares(self, service: ServiceId, now: float) -> dict[VersionId, float]:
        """Return the effective share of each version after vetoes and due times of moves."""
        vetoes = self.vetoes()
        cached = self._shares_cache.get(service)
        if cached is not None and now - cached[0] < SHARES_CACHE_TTL_S:
            return cached[1]
        document = self._read_document()
        if document is None:
            return {}
        shares = compute_effective_shares(service, document, vetoes, self._wall_ms())
        self._shares_cache[service] = (now, shares)
        return shares

    def base_version(self, service: ServiceId, now: float) -> VersionId | None:
        """Return the version that takes the queries that no other version's share allows.

        While a version is being ramped up this is the old version, so that the new version gets no
        more than its share.
        """
        document = self._read_document()
        for move in document.moves.values() if document else ():
            if (
                move.subject == service
                and move.state is MoveState.RAMPING
                and is_version_move(move)
            ):
                return VersionId(move.from_version)
        return super().base_version(service, now)

    def find_block_reason(self, record: ReplicaRecord) -> Reason | None:
        """Return the reason why a replica must get no new sub-requests, or None."""
        if self.data_centre_weight(DataCentreId(record.data_centre), 0.0) == 0.0:
            return Reason.DATA_CENTRE_OUT
        if self._is_leaving(record.address):
            return Reason.DRAINING
        service = self._maps.find_service(ReplicaId(record.id))
        if service is not None and self._is_version_out(service, record.version):
            return Reason.VERSION_OUT
        return None

    def _is_version_out(self, service: ServiceId, version: str) -> bool:
        """Return whether a version is withdrawn, or its move was or must be taken back."""
        document = self._read_document()
        config = document.services.get(service) if document else None
        if config is None:
            return False
        if version not in config.versions:
            return True
        vetoes = self.vetoes()
        moves = [m for m in document.moves.values() if m.to_version == version]
        if not any(m.subject == service and is_version_move(m) for m in moves):
            return False
        if self.shares(service, trio.current_time()).get(VersionId(version), 0.0) > 0.0:
            return False
        wall_ms = self._wall_ms()
        return any(
            move.subject == service
            and (
                move.state is MoveState.TAKEN_BACK
                or find_take_back_cause(move, document, vetoes, wall_ms)
            )
            for move in moves
        )


def make_refusal_check(
    crashes: CrashRegistry,
) -> tuple[Callable[[Fingerprint], Reason | None], Callable[[Fingerprint], bool]]:
    """Return two checks of request fingerprints for the planner.

    The first returns the reason to refuse a request that crashes backend servers, or None; the
    second returns whether a request is suspected of it.
    """

    def find_crash_refusal(fingerprint: Fingerprint) -> Reason | None:
        status = crashes.status(fingerprint, trio.current_time())
        return Reason.CRASHES_BACKENDS if status is CrashStatus.REFUSED else None

    def is_suspect(fingerprint: Fingerprint) -> bool:
        return crashes.status(fingerprint, trio.current_time()) is CrashStatus.SUSPECT

    return find_crash_refusal, is_suspect
