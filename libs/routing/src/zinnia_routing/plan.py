"""Pins the snapshot and version of a query and chooses replicas for its shards."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from random import Random

from zinnia_model.ids import (
    DataCentreId,
    ReplicaId,
    ServiceId,
    ShardId,
    SnapshotId,
    VersionId,
    VmId,
)
from zinnia_model.shardmaps import ReplicaRecord, ShardMap
from zinnia_routing.choice import ReplicaChoice
from zinnia_routing.shares import ShareAccumulators
from zinnia_routing.topology import Topology

# The penalties order replicas by version, then by data centre, then by the score of the choice.
OTHER_VERSION_PENALTY = 1e6
RETURNING_DATA_CENTRE_PENALTY = 1e5
TIE_BREAK_SCORE = 1e-6
WARM_UP_QUERY_SHARE = 0.5  # of the queries look for a cold replica to warm up
WARM_UP_MAX_SHARDS = 4  # searched per query


@dataclass(slots=True)
class PinnedPlan:
    """Snapshot, shards, versions and data centres that one plan of a query uses.

    ``version_penalties`` holds the score penalty of each version that the query may use, and
    ``data_centre_penalties`` that of each data centre of the shard map, None for one that is out.
    """

    service: ServiceId
    snapshot: SnapshotId
    shards: dict[ShardId, Sequence[ReplicaRecord]]
    version: VersionId
    base_version: VersionId
    version_penalties: dict[VersionId, float]
    data_centre_penalties: dict[DataCentreId, float | None] = field(default_factory=dict)


@dataclass(slots=True)
class Target:
    """A chosen replica and the VM that owns it and sends to it.

    The class is not frozen, because creating a frozen instance takes several times as long.
    """

    replica: ReplicaId
    owner: VmId


class Planner:
    """Chooses the version of a query and the replicas for its shards.

    Parameters
    ----------
    topology : Topology
        Current state of services, shard maps, owners and replicas.
    choice : ReplicaChoice
        Ranks usable replicas.
    random : Random
        Seeded source for ties, warm-ups and the share of returning data centres.
    outstanding : dict[ReplicaId, int]
        Number of unanswered sub-requests of this VM by replica, updated by the executor.
    """

    def __init__(
        self,
        topology: Topology,
        choice: ReplicaChoice,
        random: Random,
        outstanding: dict[ReplicaId, int],
    ) -> None:
        self._topology = topology
        self._choice = choice
        self._random = random
        self._outstanding = outstanding
        self._shares = ShareAccumulators()
        self._data_centres_by_service: dict[ServiceId, tuple[ShardMap, list[DataCentreId]]] = {}

    def pin(
        self, service: ServiceId, shard_map: ShardMap, shard: ShardId | None, now: float
    ) -> PinnedPlan | None:
        """Count a query for the version shares and pin its version and the shard map.

        ``shard`` limits the query to one shard. The result is None if no version has a share.
        """
        base = self._topology.base_version(service, now)
        if base is None:
            return None
        shares = self._topology.shares(service, now)
        version = self._shares.get_accumulator(service).pick_version(shares, base)
        versions = {version: 0.0}
        versions.setdefault(base, OTHER_VERSION_PENALTY)
        return self.pin_map(
            PinnedPlan(service, SnapshotId(""), {}, version, base, versions), shard_map, shard, now
        )

    def pin_map(
        self, pinned: PinnedPlan, shard_map: ShardMap, shard: ShardId | None, now: float
    ) -> PinnedPlan:
        """Pin a shard map for a query that keeps its version; the query is not counted twice."""
        shards = shard_map.shards if shard is None else {shard: shard_map.shards.get(shard, ())}
        repinned = PinnedPlan(
            pinned.service,
            SnapshotId(shard_map.snapshot),
            shards,
            pinned.version,
            pinned.base_version,
            pinned.version_penalties,
        )
        self._set_data_centre_penalties(repinned, shard_map, now)
        return repinned

    def refresh(self, pinned: PinnedPlan, now: float) -> None:
        """Exclude versions and data centres that lost their traffic since the query was planned."""
        shares = self._topology.shares(pinned.service, now)
        for version in [v for v in pinned.version_penalties if not shares.get(v)]:
            del pinned.version_penalties[version]
        pinned.base_version = (
            self._topology.base_version(pinned.service, now) or pinned.base_version
        )
        pinned.version_penalties.setdefault(pinned.base_version, OTHER_VERSION_PENALTY)
        for data_centre in pinned.data_centre_penalties:
            if self._topology.data_centre_weight(data_centre, now) <= 0:
                pinned.data_centre_penalties[data_centre] = None

    def choose(
        self,
        pinned: PinnedPlan,
        shard: ShardId,
        excluded: Collection[ReplicaId],
        allow_other_version: bool = False,
    ) -> Target | None:
        """Return the best usable replica of a shard and its owner, None if there is none.

        With ``allow_other_version``, a query on the base version may move to another version whose
        share allows it. Hedges must not do that.
        """
        records = pinned.shards[shard]
        target = self._choose_allowed(pinned, records, excluded)
        if target is None and allow_other_version and self._allow_other_version(pinned, records):
            return self._choose_allowed(pinned, records, excluded)
        return target

    def find_warm_up_target(self, pinned: PinnedPlan) -> tuple[ShardId, Target] | None:
        """Return a shard and its idle cold replica that this query should warm up, or None.

        Cold replicas rank last, so one whose shard has a warm replica would otherwise stay cold.
        Only a few shards are searched and one is used, which bounds the cost and the added latency
        of a query.
        """
        if self._random.random() >= WARM_UP_QUERY_SHARE:
            return None
        shards = tuple(pinned.shards)
        for shard in self._random.sample(shards, min(WARM_UP_MAX_SHARDS, len(shards))):
            idle = [r.id for r in pinned.shards[shard] if self._is_idle_cold(pinned, r)]
            if not idle:
                continue
            replica = ReplicaId(self._random.choice(idle))
            owner = self._topology.owner(replica)
            return None if owner is None else (shard, Target(replica, owner))
        return None

    def _is_idle_cold(self, pinned: PinnedPlan, record: ReplicaRecord) -> bool:
        if pinned.version_penalties.get(record.version) != 0 or self._outstanding.get(record.id):
            return False
        if pinned.data_centre_penalties.get(record.data_centre) != 0:
            return False
        view = self._topology.view(record.id)
        if view is None:
            return True
        return view.cold and not view.draining and view.queue_length + view.in_flight == 0

    def _choose_allowed(
        self, pinned: PinnedPlan, records: Sequence[ReplicaRecord], excluded: Collection[ReplicaId]
    ) -> Target | None:
        while True:
            replica = self._find_best(pinned, records, excluded)
            if replica is None:
                return None
            owner = self._topology.owner(replica)
            if owner is not None:
                return Target(replica, owner)
            excluded = {*excluded, replica}

    def _find_best(
        self, pinned: PinnedPlan, records: Sequence[ReplicaRecord], excluded: Collection[ReplicaId]
    ) -> ReplicaId | None:
        best, best_score = None, float("inf")
        find_view, score_of = self._topology.view, self._choice.score
        version_penalties, data_centre_penalties = (
            pinned.version_penalties,
            pinned.data_centre_penalties,
        )
        outstanding, draw = self._outstanding, self._random.random
        for record in records:
            replica = record.id
            version_penalty = version_penalties.get(record.version)
            data_centre_penalty = data_centre_penalties.get(record.data_centre)
            if version_penalty is None or data_centre_penalty is None or replica in excluded:
                continue
            view = find_view(replica)
            if view is not None and view.draining:
                continue
            score = score_of(replica, view, outstanding.get(replica, 0)) + draw() * TIE_BREAK_SCORE
            score += version_penalty + data_centre_penalty
            if score < best_score:
                best, best_score = replica, score
        return best

    def _allow_other_version(self, pinned: PinnedPlan, records: Sequence[ReplicaRecord]) -> bool:
        """Move a query from the base version to another one with the shard and credit for it."""
        if pinned.version != pinned.base_version:
            return False
        shares = self._shares.get_accumulator(pinned.service)
        for record in records:
            version = VersionId(record.version)
            if version not in pinned.version_penalties and shares.try_charge(version):
                pinned.version_penalties[version] = OTHER_VERSION_PENALTY
                return True
        return False

    def _set_data_centre_penalties(
        self, pinned: PinnedPlan, shard_map: ShardMap, now: float
    ) -> None:
        """Draw the penalty of each data centre for this query.

        A returning data centre has no penalty in a fraction of the queries equal to its weight; the
        other queries use it only as the last resort.
        """
        for data_centre in self._list_data_centres(pinned.service, shard_map):
            pinned.data_centre_penalties[data_centre] = self._draw_penalty(data_centre, now)

    def _list_data_centres(self, service: ServiceId, shard_map: ShardMap) -> list[DataCentreId]:
        """Return the sorted data centres of a shard map, cached until the map changes."""
        cached = self._data_centres_by_service.get(service)
        if cached is None or cached[0] is not shard_map:
            replicas = shard_map.list_replicas().values()
            names = sorted({DataCentreId(record.data_centre) for record in replicas})
            cached = self._data_centres_by_service[service] = (shard_map, names)
        return cached[1]

    def _draw_penalty(self, data_centre: DataCentreId, now: float) -> float | None:
        weight = self._topology.data_centre_weight(data_centre, now)
        if weight <= 0:
            return None
        if weight >= 1 or self._random.random() < weight:
            return 0.0
        return RETURNING_DATA_CENTRE_PENALTY
