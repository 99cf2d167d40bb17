"""This VM's share of the retries and hedges that all VMs together may send to a service."""

from collections.abc import Callable, Mapping

from zinnia_catalog.ids import ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_catalog.routes import Configuration
from zinnia_delegation.ranking import find_runners

# Fraction of a shard's slack for the VMs that run parts of fan-outs; all VMs share the rest.
RUNNERS_FRACTION = 0.5


class RetryShares:
    """Gives a larger share of the retries of a shard to the VMs that send most of its requests.

    Slack is the number of retries and hedges that a service may get whatever its number of requests
    (``RetryBounds``). Few VMs run the parts of fan-outs: with equal shares for 72 VMs, these VMs
    could only send two retries per shard in ten seconds, however many answers are lost.

    Parameters
    ----------
    own : VmName
        This VM.
    count_vms : Callable[[], int]
        Returns the number of VMs that may send requests.
    get_members : Callable[[], Mapping[VmName, Member]]
        Returns all registered VMs.
    get_configuration : Callable[[], Configuration | None]
        Returns the current configuration, None if there is none yet.
    delegate_from : int
        Minimum number of shards for which a fan-out is split over VMs.
    """

    def __init__(
        self,
        own: VmName,
        count_vms: Callable[[], int],
        get_members: Callable[[], Mapping[VmName, Member]],
        get_configuration: Callable[[], Configuration | None],
        delegate_from: int,
    ) -> None:
        self._own = own
        self._count_vms = count_vms
        self._get_members = get_members
        self._get_configuration = get_configuration
        self._delegate_from = delegate_from
        self._configuration: Configuration | None = None
        self._split_shards: set[ServiceName] = set()
        self._members: tuple[Member, ...] = ()
        self._runners: set[VmName] = set()

    def get_share(self, service: ServiceName) -> float:
        """Return the fraction of the slack of a service that this VM may use, 0 to 1."""
        equal_share = 1.0 / max(1, self._count_vms())
        members = self._get_members()
        # A VM that is not registered yet may not know all other VMs, so it takes an equal share.
        if self._own not in members or not self._is_split_shard(service):
            return equal_share
        runners = self._find_runners(members)
        runner_share = RUNNERS_FRACTION / len(runners) if self._own in runners else 0.0
        return (1.0 - RUNNERS_FRACTION) * equal_share + runner_share

    def _is_split_shard(self, service: ServiceName) -> bool:
        configuration = self._get_configuration()
        if configuration is not self._configuration:
            self._configuration = configuration
            routes = configuration.routes if configuration else ()
            self._split_shards = {
                shard
                for route in routes
                if len(route.shards) >= self._delegate_from
                for shard in route.shards
            }
        return service in self._split_shards

    def _find_runners(self, members: Mapping[VmName, Member]) -> set[VmName]:
        current = tuple(members.values())
        if current != self._members:
            self._members = current
            self._runners = find_runners(current)
        return self._runners
