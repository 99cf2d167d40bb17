import unittest
from collections import Counter

import trio
import trio.testing

from zinnia_catalog.members import Member
from zinnia_delegation.delegator import REMOTE_REPORT_LEAD_S, PeerDelegator
from zinnia_delegation.placement import MIN_GROUP_SHARDS
from zinnia_sending.events import NullSink

SHARDS = [f"s{number}" for number in range(87)]
DATA_CENTRES = [f"dc{number}" for number in range(5)]
MIN_SHARDS = 48


class OpenLink:
    """A link to a VM that is open unless the test closes it."""

    is_failing = False
    is_busy = False

    def __init__(self):
        self.is_usable = True


def make_members(fast=3, slow=6):
    """Return fast and slow VMs in every data centre."""
    return {
        f"{data_centre}-{kind}-{number}": Member(
            f"{data_centre}-{kind}-{number}", "127.0.0.1:1", data_centre, capacity
        )
        for data_centre in DATA_CENTRES
        for kind, count, capacity in (("fast", fast, 2.15), ("slow", slow, 0.516))
        for number in range(count)
    }


def choose_two_replicas(service):
    """Return the data centres of the two replicas of a shard."""
    number = int(service[1:])
    return DATA_CENTRES[number % 5], DATA_CENTRES[(number + 1 + number // 5 % 4) % 5]


class DelegatorHarness:
    """A delegator whose links open as soon as it needs them."""

    def __init__(self, vm="dc0-slow-2", choose=None):
        self.members = make_members()
        self.own = self.members[vm]
        self.delegator = PeerDelegator(
            self.own, lambda: self.members, choose or self.choose_nearest, NullSink(), MIN_SHARDS
        )

    def choose_nearest(self, service):
        found = choose_two_replicas(service)
        return self.own.data_centre if self.own.data_centre in found else found[0]

    def open_links(self):
        """Rank the VMs and open the links that are needed."""

        class NullNursery:
            def start_soon(self, *args):
                pass

        self.delegator._refresh(NullNursery())
        for vm in self.delegator._links:
            self.delegator._links[vm] = OpenLink()

    def close_links(self, data_centre):
        for vm, link in self.delegator._links.items():
            if self.members[vm].data_centre == data_centre:
                link.is_usable = False


def run_trio(test):
    async def main():
        return test()

    return trio.run(main, clock=trio.testing.MockClock())


class ShardsInOtherDataCentresTest(unittest.TestCase):
    """Load pattern: fan-outs over 87 shards with two replicas each, in five data centres."""

    def assign(self, harness, services=SHARDS):
        """Assign twice, since links to other data centres are opened when they are first needed."""

        def test():
            harness.open_links()
            harness.delegator.assign(services)
            harness.open_links()
            return harness.delegator.assign(services)

        return run_trio(test)

    def test_each_other_data_centre_gets_one_group_of_its_own_shards(self):
        """Guards against an answer for every shard that crosses between data centres."""
        harness = DelegatorHarness()
        found = self.assign(harness)
        remote = [row for row in found if row.data_centre != "dc0"]
        self.assertEqual(4, len(remote))
        self.assertEqual(4, len({row.data_centre for row in remote}))
        for row in remote:
            self.assertEqual(row.data_centre, harness.members[row.vm].data_centre)
            self.assertIn("fast", row.vm)
            self.assertEqual(REMOTE_REPORT_LEAD_S, row.report_lead_s)
            for service in row.services:
                self.assertEqual(row.data_centre, harness.choose_nearest(service))

    def test_every_shard_is_assigned_at_most_once(self):
        """Guards against shards that two VMs run, or that none runs."""
        found = self.assign(DelegatorHarness())
        counts = Counter(service for row in found for service in row.services)
        self.assertEqual(set(SHARDS), set(counts))
        self.assertEqual({1}, set(counts.values()))

    def test_groups_of_all_callers_spread_over_the_fast_vms(self):
        """Guards against one VM in each data centre that runs all groups."""
        runners = set()
        for vm in make_members():
            runners |= {row.vm for row in self.assign(DelegatorHarness(vm))}
        self.assertEqual({vm for vm in make_members() if "fast" in vm}, runners)

    def test_shards_of_an_unreachable_data_centre_are_kept(self):
        """Load pattern: two data centres can't reach each other.

        Guards against shards that wait for a VM that can't be reached.
        """
        harness = DelegatorHarness("dc0-fast-1")

        def test():
            harness.open_links()
            harness.delegator.assign(SHARDS)
            harness.open_links()
            harness.close_links("dc3")
            return harness.delegator.assign(SHARDS)

        found = run_trio(test)
        self.assertNotIn("dc3", {row.data_centre for row in found})
        remote = {name for row in found if row.data_centre != "dc0" for name in row.services}
        unreachable = {name for name in SHARDS if harness.choose_nearest(name) == "dc3"}
        self.assertFalse(remote & unreachable)

    def test_next_vm_of_the_data_centre_takes_over(self):
        """Load pattern: VMs are killed; guards against groups that go to a lost VM."""
        harness = DelegatorHarness()
        before = {row.data_centre: row.vm for row in self.assign(harness)}

        def test():
            harness.delegator._links[before["dc2"]].is_usable = False
            return harness.delegator.assign(SHARDS)

        after = {row.data_centre: row.vm for row in run_trio(test)}
        self.assertEqual(before["dc1"], after["dc1"])
        self.assertNotEqual(before["dc2"], after["dc2"])
        self.assertEqual("dc2", harness.members[after["dc2"]].data_centre)

    def test_few_remote_shards_are_sent_without_a_delegation(self):
        """Guards against a message that costs more than the requests that it replaces."""
        few = SHARDS[: MIN_GROUP_SHARDS - 1]
        harness = DelegatorHarness(choose=lambda name: "dc1" if name in few else "dc0")
        self.assertEqual({"dc0"}, {row.data_centre for row in self.assign(harness)})

    def test_small_fan_outs_are_not_split(self):
        """Guards against an extra hop for fan-outs that one VM sends in time."""
        self.assertEqual([], self.assign(DelegatorHarness(), SHARDS[: MIN_SHARDS - 1]))

    def test_local_shards_connect_to_no_other_data_centre(self):
        """Guards against links, and their pings, that no fan-out needs."""
        harness = DelegatorHarness(choose=lambda name: "dc0")
        self.assign(harness)
        used = {harness.members[vm].data_centre for vm in harness.delegator._links}
        self.assertEqual({"dc0"}, used)
