"""Newest known shard map of each service, and the index from replicas to services."""

from collections.abc import Callable, Iterable

from loguru import logger
from pydantic import ValidationError

from zinnia_facts.table import Fact, FactKind
from zinnia_model.ids import ReplicaId, ServiceId
from zinnia_model.shardmaps import ReplicaRecord, ShardMap
from zinnia_platform.store import StoredObject

SHARD_MAPS_KIND = "shardmaps"
SHARD_MAP_ORIGIN = "platform"
# Longer than any platform outage, so that a new VM can still get the maps from its peers.
SHARD_MAP_TTL_S = 30 * 24 * 3600.0


class ShardMaps:
    """Holds the newest shard map of each service; an older one never replaces a newer one.

    Parameters
    ----------
    on_change : callable
        Called with a service and its new map.
    """

    def __init__(self, on_change: Callable[[ServiceId, ShardMap], None]) -> None:
        self._on_change = on_change
        self._maps: dict[ServiceId, ShardMap] = {}
        self._versions: dict[ServiceId, int] = {}
        self._services: dict[ReplicaId, ServiceId] = {}

    def get(self, service: ServiceId) -> ShardMap | None:
        """Return the shard map of a service, or None if it is unknown."""
        return self._maps.get(service)

    def find_service(self, replica: ReplicaId) -> ServiceId | None:
        """Return the service of a replica, or None if the replica is in no map."""
        return self._services.get(replica)

    def list_replicas(self) -> dict[ReplicaId, ServiceId]:
        """Return the service of each replica in the maps."""
        return dict(self._services)

    def adopt_objects(self, objects: Iterable[StoredObject]) -> list[ServiceId]:
        """Adopt stored maps of the platform; return the services whose map was new.

        Deleted and invalid objects are skipped; invalid ones are logged.
        """
        adopted = []
        for stored in objects:
            if stored.deleted:
                continue
            try:
                shard_map = ShardMap.model_validate(stored.value)
            except ValidationError as error:
                logger.bind(object=stored.name, error=str(error)).error("shard_map_invalid")
                continue
            if self.adopt(shard_map, stored.version):
                adopted.append(ServiceId(shard_map.service))
        return adopted

    def adopt(self, shard_map: ShardMap, version: int) -> bool:
        """Adopt one map if it is newer than the known one; return whether it was."""
        service = ServiceId(shard_map.service)
        if version <= self._versions.get(service, 0):
            return False
        self._versions[service] = version
        self._maps[service] = shard_map
        self._services = {
            replica: other for replica, other in self._services.items() if other != service
        }
        for replica in list_all_records(shard_map):
            self._services[ReplicaId(replica.id)] = service
        logger.bind(service=service, snapshot=shard_map.snapshot, version=version).info(
            "shard_map_adopted"
        )
        self._on_change(service, shard_map)
        return True

    def adopt_facts(self, facts: Iterable[Fact]) -> None:
        """Adopt the maps among facts of peers, which have read them from the platform."""
        for fact in facts:
            if fact.kind is FactKind.SHARD_MAP:
                self.adopt(ShardMap.model_validate_json(fact.value), fact.version)

    def make_fact(self, service: ServiceId) -> Fact:
        """Return the map of a service as a fact with the version of its object on the platform."""
        value = self._maps[service].model_dump_json()
        return Fact(
            FactKind.SHARD_MAP,
            service,
            SHARD_MAP_ORIGIN,
            self._versions[service],
            value,
            SHARD_MAP_TTL_S,
        )


def list_all_records(shard_map: ShardMap) -> list[ReplicaRecord]:
    """Return the replicas of a map, with those of the previous snapshot if it is still served."""
    records = dict(shard_map.list_replicas())
    if shard_map.previous is not None:
        records = dict(shard_map.previous.list_replicas()) | records
    return list(records.values())
