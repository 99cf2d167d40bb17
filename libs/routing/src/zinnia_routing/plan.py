"""Pins snapshot and version of a query and chooses replicas for its shards."""

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
from zinnia_routing.shares import VersionShares
from zinnia_routing.topology import Topology

# Scores order candidates by version, then by data centre, then by the score of the choice.
OTHER_VERSION = 1e6
RETURNING_DATA_CENTRE = 1e5
TIE_BREAK = 1e-6
# Part of the queries that look for a cold replica to warm up.
WARM_UP_SHARE = 0.5
WARM_UP_LOOKS = 4  # shards per query


@dataclass(slots=True)
class Pinned:
    """What one plan of a query is bound to.

    ``versions`` maps each version that the query may use to its penalty; ``data_centres`` holds the
    penalty of each data centre that was looked up, None while it is out.
    """

    service: ServiceId
    snapshot: SnapshotId
    shards: dict[ShardId, Sequence[ReplicaRecord]]
    version: VersionId
    base: VersionId
    versions: dict[VersionId, float]
    data_centres: dict[DataCentreId, float | None] = field(default_factory=dict)


@dataclass(slots=True)
class Target:
    """A chosen replica and the VM that sends to it.

    It is not frozen, because the creation of a frozen one takes several times as long.
    """

    replica: ReplicaId
    owner: VmId


class Planner:
    """Chooses versions and replicas.

    Parameters
    ----------
    topology : Topology
        Current state.
    choice : ReplicaChoice
        Ranks usable replicas.
    random : Random
        Seeded source for ties and for data centres that return.
    outstanding : dict[ReplicaId, int]
        Unanswered sub-requests of this VM by replica, kept by the executor.
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
        self._shares = VersionShares()
        self._data_centres: dict[ServiceId, tuple[ShardMap, list[DataCentreId]]] = {}

    def pin(
        self, service: ServiceId, shard_map: ShardMap, shard: ShardId | None, now: float
    ) -> Pinned | None:
        """Count a query, pick its version and pin the map; None if no version has a share.

        ``shard`` limits the query to one shard.
        """
        base = self._topology.base_version(service, now)
        if base is None:
            return None
        shares = self._topology.shares(service, now)
        version = self._shares.for_service(service).pick(shares, base)
        versions = {version: 0.0}
        versions.setdefault(base, OTHER_VERSION)
        return self.pin_again(
            Pinned(service, SnapshotId(""), {}, version, base, versions), shard_map, shard, now
        )

    def pin_again(
        self, pinned: Pinned, shard_map: ShardMap, shard: ShardId | None, now: float
    ) -> Pinned:
        """Pin another map for a query that keeps its version and is not counted again."""
        shards = shard_map.shards if shard is None else {shard: shard_map.shards.get(shard, ())}
        again = Pinned(
            pinned.service,
            SnapshotId(shard_map.snapshot),
            shards,
            pinned.version,
            pinned.base,
            pinned.versions,
        )
        self._weigh_data_centres(again, shard_map, now)
        return again

    def refresh(self, pinned: Pinned, now: float) -> None:
        """Drop versions and data centres that were taken out since the query was planned."""
        shares = self._topology.shares(pinned.service, now)
        for version in [v for v in pinned.versions if not shares.get(v)]:
            del pinned.versions[version]
        pinned.base = self._topology.base_version(pinned.service, now) or pinned.base
        pinned.versions.setdefault(pinned.base, OTHER_VERSION)
        for data_centre in pinned.data_centres:
            if self._topology.data_centre_weight(data_centre, now) <= 0:
                pinned.data_centres[data_centre] = None

    def choose(
        self, pinned: Pinned, shard: ShardId, excluded: Collection[ReplicaId], cross: bool = False
    ) -> Target | None:
        """Return the best usable replica of a shard that has an owner.

        ``cross`` lets a query of the base version use another version if its share allows; a hedge
        must not.
        """
        records = pinned.shards[shard]
        target = self._choose_allowed(pinned, records, excluded)
        if target is None and cross and self._cross(pinned, records):
            return self._choose_allowed(pinned, records, excluded)
        return target

    def find_warm_up(self, pinned: Pinned) -> tuple[ShardId, Target] | None:
        """Return a shard and an idle cold replica that this query should help to warm up.

        Cold replicas rank last, so without such queries one beside a warm replica would stay cold.
        Only a few shards are looked at and one is used, which bounds the cost and the effect on a
        query.
        """
        if self._random.random() >= WARM_UP_SHARE:
            return None
        shards = tuple(pinned.shards)
        for shard in self._random.sample(shards, min(WARM_UP_LOOKS, len(shards))):
            idle = [r.id for r in pinned.shards[shard] if self._is_idle_cold(pinned, r)]
            if not idle:
                continue
            replica = ReplicaId(self._random.choice(idle))
            owner = self._topology.owner(replica)
            return None if owner is None else (shard, Target(replica, owner))
        return None

    def _is_idle_cold(self, pinned: Pinned, record: ReplicaRecord) -> bool:
        if pinned.versions.get(record.version) != 0 or self._outstanding.get(record.id):
            return False
        if pinned.data_centres.get(record.data_centre) != 0:
            return False
        view = self._topology.view(record.id)
        if view is None:
            return True
        return view.cold and not view.draining and view.queue_length + view.in_flight == 0

    def _choose_allowed(
        self, pinned: Pinned, records: Sequence[ReplicaRecord], excluded: Collection[ReplicaId]
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
        self, pinned: Pinned, records: Sequence[ReplicaRecord], excluded: Collection[ReplicaId]
    ) -> ReplicaId | None:
        best, best_score = None, float("inf")
        find_view, score_of = self._topology.view, self._choice.score
        versions, data_centres = pinned.versions, pinned.data_centres
        outstanding, draw = self._outstanding, self._random.random
        for record in records:
            replica = record.id
            version_penalty = versions.get(record.version)
            place_penalty = data_centres.get(record.data_centre)
            if version_penalty is None or place_penalty is None or replica in excluded:
                continue
            view = find_view(replica)
            if view is not None and view.draining:
                continue
            score = score_of(replica, view, outstanding.get(replica, 0)) + draw() * TIE_BREAK
            score += version_penalty + place_penalty
            if score < best_score:
                best, best_score = replica, score
        return best

    def _cross(self, pinned: Pinned, records: Sequence[ReplicaRecord]) -> bool:
        """Charge a query of the base version for a version that holds the shard."""
        if pinned.version != pinned.base:
            return False
        shares = self._shares.for_service(pinned.service)
        for record in records:
            version = VersionId(record.version)
            if version not in pinned.versions and shares.take(version):
                pinned.versions[version] = OTHER_VERSION
                return True
        return False

    def _weigh_data_centres(self, pinned: Pinned, shard_map: ShardMap, now: float) -> None:
        """Decide for each data centre whether this query may prefer it.

        A returning data centre takes part in a fraction of the queries equal to its weight and is
        the last resort in the others.
        """
        for data_centre in self._list_data_centres(pinned.service, shard_map):
            pinned.data_centres[data_centre] = self._weigh(data_centre, now)

    def _list_data_centres(self, service: ServiceId, shard_map: ShardMap) -> list[DataCentreId]:
        """Return the data centres of a map, sorted; the list is kept until another map comes."""
        known = self._data_centres.get(service)
        if known is None or known[0] is not shard_map:
            replicas = shard_map.list_replicas().values()
            names = sorted({DataCentreId(record.data_centre) for record in replicas})
            known = self._data_centres[service] = (shard_map, names)
        return known[1]

    def _weigh(self, data_centre: DataCentreId, now: float) -> float | None:
        weight = self._topology.data_centre_weight(data_centre, now)
        if weight <= 0:
            return None
        if weight >= 1 or self._random.random() < weight:
            return 0.0
        return RETURNING_DATA_CENTRE
