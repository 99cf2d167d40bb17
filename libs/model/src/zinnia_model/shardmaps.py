"""Shard maps: the replicas that hold each shard of an index snapshot."""

from pydantic import BaseModel, ConfigDict

from zinnia_model.ids import ReplicaId, ShardId


class ReplicaRecord(BaseModel):
    """One replica; ``address`` is ``host:port`` by IP number."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    id: str
    address: str
    data_centre: str
    version: str


class ShardMap(BaseModel):
    """The shards of one index snapshot of one service and the replicas of each.

    ``previous`` is the map of the preceding snapshot, as long as backend servers still serve it.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: str
    snapshot: str
    shards: dict[str, tuple[ReplicaRecord, ...]]
    previous: "ShardMap | None" = None

    def list_replicas(self) -> dict[ReplicaId, ReplicaRecord]:
        """Return all replicas by id; a replica may hold several shards."""
        return {ReplicaId(r.id): r for replicas in self.shards.values() for r in replicas}

    def list_shards(self) -> tuple[ShardId, ...]:
        """Return the ids of all shards."""
        return tuple(ShardId(shard) for shard in self.shards)
