"""Replicas of backend servers, as registered in the store."""

from dataclasses import dataclass

from zinnia_catalog.ids import DataCentreId, ReplicaId, ServiceName, VersionId


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """The entry that one replica writes about itself.

    ``slots`` is the number of requests that it runs at once. ``started_ms`` is the wall clock time
    of its start in Unix milliseconds, 0 if unknown; a changed value under the same id means that
    the replica has restarted. ``warmup_remaining_s`` counts from the time the entry was written.
    """

    id: ReplicaId
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentreId
    version: VersionId
    slots: int
    is_draining: bool
    warmup_remaining_s: float
    started_ms: int
