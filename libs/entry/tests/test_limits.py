import unittest
from bisect import bisect_left
from random import Random

from zinnia_catalog.members import Member
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import CallerLimits, Configuration, Repeatability, Route
from zinnia_entry.shares import LimitShares, PartRunners
from zinnia_sending.rates import RateLimit

# Requests that a replica may get in any window: a factor of its limit, and a number on top.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
WINDOW_S = 4.0
STEP_S = 0.01
DURATION_S = 30.0
IDLE_S = 300.0
SPLIT_SHARD = "shard"
DELEGATE_FROM = 48
# VMs, data centres, limit in requests a second
SITES = ((6, 3, 13.8), (8, 4, 10.6), (8, 4, 2.0), (67, 5, 6.0), (195, 5, 6.0), (195, 5, 0.7))
SITES += ((6, 3, 0.0), (72, 3, 40.0))


def make_members(vms, data_centres):
    return {
        f"vm-{number}": Member(
            f"vm-{number}",
            "h:1",
            f"dc{number % data_centres}",
            2.15 if number < 2 * data_centres and vms > 10 else 0.5,
        )
        for number in range(vms)
    }


def make_configuration():
    shards = (SPLIT_SHARD, *(f"s{number}" for number in range(DELEGATE_FROM)))
    route = Route("r", "h", "/", Repeatability.IDEMPOTENT, 1.0, 0.1, 0, 2, (), shards, 10, 0.9)
    return Configuration(1, (route,), {}, CallerLimits())


def make_entry(service):
    return ReplicaEntry("i-1", service, "127.0.0.1", 1, "dc1", "v1", 2, False, 0.0, 1)


class Site:
    """The VMs of a site that have learned the limit of one replica."""

    def __init__(self, vms, data_centres, limit_per_s, service, members=None):
        self.members = make_members(vms, data_centres) if members is None else members
        self.limit_per_s = limit_per_s
        self.shares = {}
        configuration = make_configuration()
        for number in range(vms):
            runners = PartRunners(lambda: self.members, lambda: configuration, DELEGATE_FROM)
            shares = LimitShares(f"vm-{number}", lambda: vms, runners)
            self.shares[f"vm-{number}"] = shares.get_share(make_entry(service), limit_per_s)
        random = Random(1)
        self.limits = {
            vm: RateLimit(limit_per_s, share, 0.0, random) for vm, share in self.shares.items()
        }

    def send(self, start_s, duration_s, wants=lambda vm: True):
        """Let VMs send whenever they may; return the times of the requests."""
        times = []
        for step in range(int(duration_s / STEP_S)):
            now = start_s + step * STEP_S
            for vm, limit in self.limits.items():
                while wants(vm) and limit.allows_send(now):
                    limit.count_send(now)
                    times.append(now)
        return times

    @property
    def most(self):
        """Most requests that the replica may get in a window."""
        return LIMIT_FACTOR * self.limit_per_s * WINDOW_S + LIMIT_SLACK


def find_busiest_window(times):
    return max((bisect_left(times, at + WINDOW_S) - at_index for at_index, at in enumerate(times)))


class LimitOverVmsTest(unittest.TestCase):
    """All VMs together keep the limit that a replica names, whoever sends when."""

    def test_every_vm_sends_as_much_as_it_may(self):
        """Load pattern: far more requests than the limit reach every VM from the first moment.

        Guards against shares that add up to more than the limit.
        """
        for vms, data_centres, limit_per_s in SITES:
            for service in ("single", SPLIT_SHARD):
                with self.subTest(vms=vms, limit_per_s=limit_per_s, service=service):
                    site = Site(vms, data_centres, limit_per_s, service)
                    times = site.send(0.0, DURATION_S)
                    self.assertLessEqual(find_busiest_window(times), site.most)
                    self.assertGreaterEqual(len(times), 0.75 * limit_per_s * DURATION_S)

    def test_all_vms_begin_to_send_at_once(self):
        """Load pattern: nobody wants the replica for minutes; then the other replicas are lost.

        Guards against permissions that pile up over many VMs while they are unused.
        """
        for vms, data_centres, limit_per_s in SITES:
            for service in ("single", SPLIT_SHARD):
                with self.subTest(vms=vms, limit_per_s=limit_per_s, service=service):
                    site = Site(vms, data_centres, limit_per_s, service)
                    times = site.send(IDLE_S, 2 * WINDOW_S)
                    self.assertLessEqual(find_busiest_window(times), site.most)

    def test_limit_that_changes_with_every_answer(self):
        """Load pattern: a replica names a slightly other limit in each answer.

        Guards against permits that are given anew with each change.
        """
        for limits in ((5.0, 4.9), (3.1, 2.9)):
            with self.subTest(limits=limits):
                site = Site(8, 4, limits[0], "single")
                other = Site(8, 4, limits[1], "single")
                times = []
                for step in range(200):
                    shares = (site if step % 2 else other).shares
                    for vm, limit in site.limits.items():
                        limit.change_share(limits[step % 2], shares[vm], step * 0.1)
                    times += site.send(step * 0.1, 0.1)
                self.assertLessEqual(find_busiest_window(times), site.most)

    def test_vms_of_the_data_centre_of_the_replica_may_send_most(self):
        """Load pattern: VMs prefer replicas of their own data centre.

        Guards against permitted requests that stay unused while others are refused.
        """
        site = Site(6, 3, 12.0, "single")
        local = {vm for vm, member in site.members.items() if member.data_centre == "dc1"}
        times = site.send(0.0, DURATION_S, lambda vm: vm in local)
        self.assertGreater(len(times), 0.6 * site.limit_per_s * DURATION_S)

    def test_vms_that_run_parts_may_send_most_to_a_shard(self):
        """Load pattern: fan-outs at 67 VMs, of which ten run the parts.

        Guards against a limit that is divided among VMs which send nothing to the shard.
        """
        site = Site(67, 5, 10.0, SPLIT_SHARD)
        runners = {f"vm-{number}" for number in range(10)}
        times = site.send(0.0, DURATION_S, lambda vm: vm in runners)
        self.assertGreater(len(times), 0.75 * site.limit_per_s * DURATION_S)

    def test_vm_that_knows_no_other_vm_takes_an_equal_share(self):
        """Load pattern: all VMs start again while the store is down.

        Guards against VMs that each use the whole limit.
        """
        site = Site(6, 3, 12.0, "single", members={})
        times = site.send(0.0, DURATION_S)
        self.assertLessEqual(find_busiest_window(times), site.most)
