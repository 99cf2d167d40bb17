"""This VM's shares of what all VMs together may send: retries and hedges, and limited replicas."""

import zlib
from collections.abc import Callable, Mapping

from zinnia_catalog.ids import DataCentreId, ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import Configuration
from zinnia_delegation.ranking import find_runners
from zinnia_sending.rates import (
    MIN_LIMIT_PER_S,
    RateShare,
    RateShares,
    SenderShare,
    TrialShare,
)

# Fraction of a shard's slack for the VMs that run parts of fan-outs; all VMs share the rest.
RUNNERS_FRACTION = 0.5
# Fraction of a replica's limit for the VMs that send most of its requests, if there are others.
SENDERS_FRACTION = 0.8
# Share of a sender in the data centre of the replica, relative to that of another sender.
LOCAL_WEIGHT = 4.0
# Requests that all senders together may send at once: the limit of one second, and this number.
SENDERS_BURST_SLACK = 2.0


class PartRunners:
    """The shards whose fan-outs are split over VMs, and the VMs that run the parts.

    Parameters
    ----------
    get_members : Callable[[], Mapping[VmName, Member]]
        Returns all registered VMs.
    get_configuration : Callable[[], Configuration | None]
        Returns the current configuration, None if there is none yet.
    delegate_from : int
        Minimum number of shards for which a fan-out is split over VMs.
    """

    def __init__(
        self,
        get_members: Callable[[], Mapping[VmName, Member]],
        get_configuration: Callable[[], Configuration | None],
        delegate_from: int,
    ) -> None:
        self.get_members = get_members
        self._get_configuration = get_configuration
        self._delegate_from = delegate_from
        self._configuration: Configuration | None = None
        self._split_shards: set[ServiceName] = set()
        self._members: tuple[Member, ...] = ()
        self._runners: set[VmName] = set()

    def is_split_shard(self, service: ServiceName) -> bool:
        """Return whether a service is a shard of a fan-out that is split over VMs."""
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

    def find_runners(self) -> set[VmName]:
        """Return the VMs that run parts of fan-outs, in all data centres."""
        current = tuple(self.get_members().values())
        if current != self._members:
            self._members = current
            self._runners = find_runners(current)
        return self._runners


class RetryShares:
    """Gives a larger share of the retries of a shard to the VMs that send most of its requests.

    Slack is the number of retries and hedges that a service may get whatever its number of requests
    (``RetryBounds``). Few VMs run the parts of fan-outs: with equal shares for 72 VMs, these VMs
    could only send two retries per shard in ten seconds, however many answers are lost.

    A VM that has not read the list of VMs since its start can't tell how small its share is, and
    uses none of the slack.

    Parameters
    ----------
    own : VmName
        This VM.
    count_vms : Callable[[], int]
        Returns the number of VMs that may send requests.
    runners : PartRunners
        Knows the VMs that run parts of fan-outs.
    has_listed_vms : Callable[[], bool]
        Returns whether this VM has read the list of VMs since its start.
    """

    def __init__(
        self,
        own: VmName,
        count_vms: Callable[[], int],
        runners: PartRunners,
        has_listed_vms: Callable[[], bool],
    ) -> None:
        self._own = own
        self._count_vms = count_vms
        self._runners = runners
        self._has_listed_vms = has_listed_vms

    def get_share(self, service: ServiceName) -> float:
        """Return the fraction of the slack of a service that this VM may use, 0 to 1."""
        if not self._has_listed_vms():
            return 0.0
        equal_share = 1.0 / max(1, self._count_vms())
        # A VM that is not registered yet may not know all other VMs, so it takes an equal share.
        is_registered = self._own in self._runners.get_members()
        if not is_registered or not self._runners.is_split_shard(service):
            return equal_share
        runners = self._runners.find_runners()
        runner_share = RUNNERS_FRACTION / len(runners) if self._own in runners else 0.0
        return (1.0 - RUNNERS_FRACTION) * equal_share + runner_share


class LimitShares(RateShares):
    """Divides the limit of a replica among the VMs that send most of its requests.

    All VMs compute the same senders: those that run parts of fan-outs if the replica serves such a
    shard, otherwise any VM, and first those in the data centre of the replica. There are no more of
    them than requests in a second, so that the requests which they may send at once stay few. The
    other VMs share a small rest, at which they notice that the limit has ended.

    Parameters
    ----------
    own, count_vms, runners
        As for ``RetryShares``.
    """

    def __init__(self, own: VmName, count_vms: Callable[[], int], runners: PartRunners) -> None:
        self._own = own
        self._count_vms = count_vms
        self._runners = runners

    def get_share(self, replica: ReplicaEntry, limit_per_s: float) -> RateShare:
        """Return this VM's share of a replica's limit."""
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        members = self._runners.get_members()
        vms = max(1, self._count_vms(), len(members))
        # A VM that is not registered yet may not know all other VMs, so it takes an equal share.
        if self._own not in members:
            return SenderShare(limit_per_s / vms, 1.0)
        senders = self._rank_senders(replica)[: max(1, int(limit_per_s))]
        others = vms - len(senders)
        if self._own not in senders:
            return TrialShare(others / ((1.0 - SENDERS_FRACTION) * limit_per_s))
        weights = {vm: self._weigh(vm, replica.data_centre) for vm in senders}
        fraction = SENDERS_FRACTION if others else 1.0
        rate_per_s = fraction * limit_per_s * weights[self._own] / sum(weights.values())
        burst = (limit_per_s + SENDERS_BURST_SLACK) / len(senders)
        return SenderShare(rate_per_s, max(1.0, burst))

    def _rank_senders(self, replica: ReplicaEntry) -> list[VmName]:
        """Return the VMs that may get a larger share of the limit, best first."""
        members = self._runners.get_members()
        candidates = set(members)
        if self._runners.is_split_shard(replica.service):
            candidates = self._runners.find_runners() or candidates

        def order(vm: VmName) -> tuple[bool, int, str]:
            is_remote = members[vm].data_centre != replica.data_centre
            return is_remote, zlib.crc32(f"{vm}/{replica.id}".encode()), vm

        return sorted(candidates, key=order)

    def _weigh(self, vm: VmName, data_centre: DataCentreId) -> float:
        is_local = self._runners.get_members()[vm].data_centre == data_centre
        return LOCAL_WEIGHT if is_local else 1.0
