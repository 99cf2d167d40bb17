"""Replicas of backend servers as they announce themselves."""

from dataclasses import dataclass

from zinnia_catalog.ids import DataCentreId, ReplicaId, ServiceName, VersionId


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """What one replica says of itself.

    ``started_ms`` is the wall clock time of its start in Unix milliseconds, 0 if unknown; another
    value under the same id is another incarnation. ``warmup_remaining_s`` counts from the moment at
    which the entry was written.
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
