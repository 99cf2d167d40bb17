"""Settings of the entry process, independent of the file format."""

from dataclasses import dataclass

from zinnia_catalog.ids import DataCentreId, VmName
from zinnia_catalog.restores import DEFAULT_HEARTBEAT_S
from zinnia_sending.budgets import RetryBounds
from zinnia_sending.versions import ExposureBounds

# Delegating a smaller fan-out isn't worth the extra hop: any VM sends it in a few milliseconds.
MIN_SHARDS_TO_DELEGATE = 48
# Memory of the smallest VMs.
DEFAULT_MEMORY_BYTES = 200_000_000


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one VM.

    ``seeds`` are peer addresses of some other VMs. Fleet-wide limits are divided among at least
    ``expected_vms`` VMs. ``capacity`` is the processor time of the VM, in CPU cores. A fan-out over
    ``delegate_from`` shards or more is split over VMs. The process may use ``memory_bytes`` of
    memory. Replicas write to the store every ``heartbeat_s``. Times are in seconds.
    """

    vm: VmName
    data_centre: DataCentreId
    callers: Address
    readiness: Address
    peers: Address | None
    metrics: Address | None
    store: Address
    seeds: tuple[Address, ...]
    retry_bounds: RetryBounds
    grace_period_s: float
    expected_vms: int = 1
    capacity: float = 1.0
    delegate_from: int = MIN_SHARDS_TO_DELEGATE
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    exposure_bounds: ExposureBounds = ExposureBounds()
    heartbeat_s: float = DEFAULT_HEARTBEAT_S


class SettingsError(Exception):
    """A setting is missing or invalid; the message names the field, the value and the remedy."""
