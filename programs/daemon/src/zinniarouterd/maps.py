"""The shard maps that this VM knows, and the index from replicas to services."""

import json
from collections.abc import Callable, Iterable

from loguru import logger
from pydantic import ValidationError

from zinnia_model.ids import ReplicaId, ServiceId
from zinnia_model.shardmaps import ReplicaRecord, ShardMap
from zinnia_platform.store import StoredObject

MAPS_KIND = "shardmaps"


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

    @property
    def version(self) -> int:
        """Highest platform version among the maps."""
        return max(self._versions.values(), default=0)

    def get(self, service: ServiceId) -> ShardMap | None:
        """Return the map of a service."""
        return self._maps.get(service)

    def find_service(self, replica: ReplicaId) -> ServiceId | None:
        """Return the service of a replica."""
        return self._services.get(replica)

    def list_replicas(self) -> dict[ReplicaId, ServiceId]:
        """Return the service of every replica."""
        return dict(self._services)

    def adopt_objects(self, objects: Iterable[StoredObject]) -> bool:
        """Take maps as the platform stores them; return whether any was new."""
        adopted = False
        for stored in objects:
            if stored.deleted:
                continue
            try:
                shard_map = ShardMap.model_validate(stored.value)
            except ValidationError as error:
                logger.bind(object=stored.name, error=str(error)).error("shard_map_invalid")
                continue
            adopted |= self.adopt(shard_map, stored.version)
        return adopted

    def adopt(self, shard_map: ShardMap, version: int) -> bool:
        """Take one map; return whether it was newer than the known one."""
        service = ServiceId(shard_map.service)
        if version <= self._versions.get(service, 0):
            return False
        self._versions[service] = version
        self._maps[service] = shard_map
        self._services = {
            replica: owner for replica, owner in self._services.items() if owner != service
        }
        for replica in list_all_records(shard_map):
            self._services[ReplicaId(replica.id)] = service
        logger.bind(service=service, snapshot=shard_map.snapshot, version=version).info(
            "shard_map_adopted"
        )
        self._on_change(service, shard_map)
        return True

    def encode(self) -> tuple[bytes, ...]:
        """Return all maps for a peer."""
        return tuple(
            json.dumps(
                {"version": self._versions[service], "map": shard_map.model_dump(mode="json")}
            ).encode()
            for service, shard_map in self._maps.items()
        )

    def adopt_encoded(self, encoded: Iterable[bytes]) -> bool:
        """Take the maps of a peer; return whether any was new."""
        adopted = False
        for item in encoded:
            value = json.loads(item)
            adopted |= self.adopt(ShardMap.model_validate(value["map"]), value["version"])
        return adopted


def list_all_records(shard_map: ShardMap) -> list[ReplicaRecord]:
    """Return the replicas of a map and of the previous snapshot that is still served."""
    records = dict(shard_map.list_replicas())
    if shard_map.previous is not None:
        records = dict(shard_map.previous.list_replicas()) | records
    return list(records.values())
