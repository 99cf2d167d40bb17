import unittest

from zinnia_catalog.members import Member
from zinnia_delegation.ranking import (
    MAX_PARTS,
    classify_speed,
    find_runners,
    rank_members,
    split_shards,
)

SHARDS = [f"s{number}" for number in range(90)]


def make_members(fast, slow):
    rows = [Member(f"fast-{number}", "h:1", "dc1", 2.15) for number in range(fast)]
    return rows + [Member(f"slow-{number}", "h:1", "dc1", 0.516) for number in range(slow)]


class RankingTest(unittest.TestCase):
    def split(self, members, own, usable, services=SHARDS):
        ranked = [rank_members(members, part) for part in range(MAX_PARTS)]
        member = next(row for row in members if row.vm == own)
        return split_shards(services, ranked, {own, *usable}, member)

    def test_slow_vm_delegates_all_shards_to_the_fast_ones(self):
        """Load pattern: fan-outs over 90 shards arrive at VMs with half a core.

        Guards against running parts on slow VMs while fast ones are available.
        """
        found = self.split(make_members(2, 20), "slow-3", {"fast-0", "fast-1"})
        self.assertEqual({"fast-0", "fast-1"}, {row.vm for row in found})
        self.assertEqual(sorted(SHARDS), sorted(name for row in found for name in row.services))
        self.assertEqual([45, 45], [len(row.services) for row in found])

    def test_fast_vm_runs_its_own_part(self):
        """Guards against an extra hop that gains nothing."""
        (found,) = self.split(make_members(2, 20), "fast-0", {"fast-1"})
        self.assertEqual(("fast-1", 45), (found.vm, len(found.services)))

    def test_all_vms_assign_a_part_to_the_same_vm(self):
        """Guards against connections to replicas that are used too rarely to stay open."""
        members = make_members(0, 12)
        names = {row.vm for row in members}
        seen = set()
        for member in members:
            seen |= {(row.vm, row.services) for row in self.split(members, member.vm, names)}
        self.assertEqual(MAX_PARTS, len(seen))

    def test_next_vm_gets_the_part_of_a_lost_vm(self):
        """Load pattern: VMs are killed or partitioned from the network.

        Guards against shards that no VM runs.
        """
        (found,) = self.split(make_members(2, 20), "slow-3", {"fast-1"})
        self.assertEqual(("fast-1", 90), (found.vm, len(found.services)))
        found = self.split(make_members(2, 20), "slow-3", {"slow-1", "slow-2"})
        self.assertEqual(
            90, len({name for row in found for name in row.services}) + 30 * (3 - len(found))
        )

    def test_nothing_is_delegated_without_other_vms_or_without_shards(self):
        """Guards against a VM that can't serve fan-outs while no other VM is available."""
        members = make_members(2, 20)
        self.assertEqual([], self.split(members, "slow-3", ()))
        self.assertEqual([], self.split(members, "slow-3", {"fast-0"}, []))
        self.assertEqual([], split_shards(SHARDS, [], {"slow-3"}, members[5]))

    def test_speed_classes_are_a_factor_of_two_apart(self):
        """Guards against a ranking that depends on small differences in capacity."""
        self.assertEqual(
            [-1, 0, 0, 1, 2], [classify_speed(row) for row in (0.5, 0.9, 1.1, 2.15, 4)]
        )

    def test_runners_are_the_vms_that_are_assigned_parts(self):
        """Guards against giving a share of a budget to VMs that send nothing."""
        members = make_members(2, 20)
        assigned = {row.vm for row in self.split(members, "slow-3", {"fast-0", "fast-1"})}
        self.assertEqual(assigned, find_runners(members))
        others = [Member(row.vm + "x", "h:1", "dc2", row.capacity) for row in make_members(0, 5)]
        self.assertEqual(2 + MAX_PARTS, len(find_runners([*members, *others])))
