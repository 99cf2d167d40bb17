"""This VM's part of the extra sends that all VMs may make for a service."""

from collections.abc import Callable, Mapping

from zinnia_catalog.ids import ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_catalog.routes import Configuration
from zinnia_delegation.ranking import find_runners

# Part of a shard's slack for the VMs that run parts of fan-outs; all VMs share the rest.
RUNNERS_PART = 0.5


class SlackShares:
    """Gives the VMs that send most to a service most of its slack.

    Few VMs run the parts of fan-outs. An equal share of 72 VMs would leave them two retries of a
    shard in ten seconds, however many answers are lost.

    Parameters
    ----------
    own : VmName
        This VM.
    count_vms : Callable[[], int]
        Number of VMs that may be sending.
    get_members : Callable[[], Mapping[VmName, Member]]
        All registered VMs.
    get_configuration : Callable[[], Configuration | None]
        The configuration in force.
    delegate_from : int
        Least number of shards for which a fan-out is split.
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
        self._shards: set[ServiceName] = set()
        self._known: tuple[Member, ...] = ()
        self._runners: set[VmName] = set()

    def get_share(self, service: ServiceName) -> float:
        """Return this VM's part of the slack of a service, 0 to 1."""
        equal = 1.0 / max(1, self._count_vms())
        members = self._get_members()
        # A VM that is not registered yet does not know how many others there are.
        if self._own not in members or not self._is_shard(service):
            return equal
        runners = self._find_runners(members)
        own_part = RUNNERS_PART / len(runners) if self._own in runners else 0.0
        return (1.0 - RUNNERS_PART) * equal + own_part

    def _is_shard(self, service: ServiceName) -> bool:
        configuration = self._get_configuration()
        if configuration is not self._configuration:
            self._configuration = configuration
            routes = configuration.routes if configuration else ()
            self._shards = {
                name
                for route in routes
                if len(route.shards) >= self._delegate_from
                for name in route.shards
            }
        return service in self._shards

    def _find_runners(self, members: Mapping[VmName, Member]) -> set[VmName]:
        known = tuple(members.values())
        if known != self._known:
            self._known = known
            self._runners = find_runners(known)
        return self._runners
