"""Settings of the entry process, independent of the file that they come from."""

from dataclasses import dataclass

from zinnia_catalog.ids import DataCentreId, VmName
from zinnia_sending.budgets import RetryBounds

# A fan-out over fewer shards is not worth a hop: sending it takes a few milliseconds anywhere.
DELEGATE_FROM_SHARDS = 48


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """What one VM needs to serve.

    ``seeds`` are peer addresses of some other VMs; ``expected_vms`` is the least number of VMs that
    bounds over the fleet are shared among. ``capacity`` is the processor time that the VM has, in
    cores. A fan-out over ``delegate_from`` shards or more is split over VMs. Times are in seconds.
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
    delegate_from: int = DELEGATE_FROM_SHARDS


class SettingsError(Exception):
    """A setting is missing or wrong; the message names the field, the value and the remedy."""
