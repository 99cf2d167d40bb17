"""Settings of the entry process, independent of the file that they come from."""

from dataclasses import dataclass

from zinnia_catalog.ids import DataCentreId, VmName
from zinnia_sending.budgets import RetryBounds


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
    bounds over the fleet are shared among. Times are in seconds.
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


class SettingsError(Exception):
    """A setting is missing or wrong; the message names the field, the value and the remedy."""
