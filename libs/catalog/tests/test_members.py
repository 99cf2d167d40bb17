import unittest

from zinnia_catalog.members import (
    DEPUTIES,
    LOCAL_VMS,
    LOCAL_WATCHERS,
    SHARED_WATCHERS,
    Member,
    find_watchers,
    rank_names,
    read_member,
)


def make_members(counts):
    """Return members by name for a number of VMs per data centre."""
    rows = [
        Member(f"{data_centre}-{number}", "127.0.0.1:1", data_centre)
        for data_centre, count in counts.items()
        for number in range(count)
    ]
    return {row.vm: row for row in rows}


class MembersTest(unittest.TestCase):
    def find_direct(self, members):
        return {vm for vm, row in members.items() if not find_watchers(members, row)[0]}

    def test_small_fleet_shares_its_watchers(self):
        """Guards against a watch by every VM, each call of which is priced."""
        members = make_members({"a": 2, "b": 2, "c": 2})
        self.assertEqual(set(rank_names(members)[:SHARED_WATCHERS]), self.find_direct(members))

    def test_large_data_centre_has_a_watcher_of_its_own(self):
        """Load pattern: many VMs, and bytes between data centres are priced."""
        members = make_members({"a": 24, "b": 24, "c": 24})
        direct = self.find_direct(members)
        self.assertEqual(3 * LOCAL_WATCHERS, len(direct))
        for vm, row in members.items():
            found, _ = find_watchers(members, row)
            self.assertLessEqual({other.data_centre for other in found}, {row.data_centre}, vm)

    def test_list_of_candidates_is_bounded(self):
        """Guards against a follower that tries all VMs one after the other."""
        members = make_members({"a": LOCAL_VMS * 10})
        longest = max(len(find_watchers(members, row)[0]) for row in members.values())
        self.assertEqual(LOCAL_WATCHERS + DEPUTIES, longest)

    def test_vm_that_is_not_registered_yet_finds_its_place(self):
        """Load pattern: machines are added."""
        members = make_members({"a": 8})
        own = Member("late", "127.0.0.1:1", "a")
        found, count = find_watchers(members, own)
        if found:
            self.assertEqual(LOCAL_WATCHERS, count)
        self.assertNotIn(own, found)

    def test_rank_does_not_depend_on_who_computes_it(self):
        """Guards against VMs that disagree on who watches."""
        names = [f"vm-{number}" for number in range(8)]
        self.assertEqual(rank_names(names), rank_names(reversed(names)))

    def test_registration_is_read_as_written(self):
        """Guards against a VM that its peers cannot reach."""
        member = Member("vm", "10.0.0.1:80", "a", 2.15)
        self.assertEqual(member, read_member("vm", member.write()))
        older = {"peer_address": "10.0.0.1:80", "data_centre": "a"}
        self.assertEqual(1.0, read_member("vm", older).capacity)
        self.assertIsNone(read_member("vm", {**older, "capacity": "fast"}))
        for document in (None, [], {}, {"peer_address": "nowhere"}, {"peer_address": 7}):
            self.assertIsNone(read_member("vm", document))
