import unittest

from zinnia_catalog.members import (
    DEPUTY_COUNT,
    LOCAL_WATCHER_COUNT,
    MIN_VMS_FOR_LOCAL_WATCHER,
    SHARED_WATCHER_COUNT,
    Member,
    find_watchers,
    rank_names,
    read_member,
)


def make_members(counts):
    """Return members by name, ``counts`` of them in each data centre."""
    rows = [
        Member(f"{data_centre}-{number}", "127.0.0.1:1", data_centre)
        for data_centre, count in counts.items()
        for number in range(count)
    ]
    return {row.vm: row for row in rows}


class MembersTest(unittest.TestCase):
    def find_all_watchers(self, members):
        return {vm for vm, row in members.items() if not find_watchers(members, row)[0]}

    def test_small_data_centres_share_watchers(self):
        """Guards against every VM watching the store, as each call of the store costs money."""
        members = make_members({"a": 2, "b": 2, "c": 2})
        self.assertEqual(
            set(rank_names(members)[:SHARED_WATCHER_COUNT]), self.find_all_watchers(members)
        )

    def test_large_data_centre_has_its_own_watcher(self):
        """Load pattern: many VMs, and traffic between data centres costs money.

        Guards against VMs that follow a watcher in another data centre.
        """
        members = make_members({"a": 24, "b": 24, "c": 24})
        watchers = self.find_all_watchers(members)
        self.assertEqual(3 * LOCAL_WATCHER_COUNT, len(watchers))
        for vm, row in members.items():
            found, _ = find_watchers(members, row)
            self.assertLessEqual({other.data_centre for other in found}, {row.data_centre}, vm)

    def test_list_of_candidates_is_bounded(self):
        """Guards against a follower that tries all VMs in turn."""
        members = make_members({"a": MIN_VMS_FOR_LOCAL_WATCHER * 10})
        longest = max(len(find_watchers(members, row)[0]) for row in members.values())
        self.assertEqual(LOCAL_WATCHER_COUNT + DEPUTY_COUNT, longest)

    def test_vm_that_is_not_registered_yet_finds_its_watchers(self):
        """Load pattern: VMs are added.

        Guards against a new VM that follows itself or is told of a wrong number of watchers.
        """
        members = make_members({"a": 8})
        own = Member("late", "127.0.0.1:1", "a")
        found, count = find_watchers(members, own)
        if found:
            self.assertEqual(LOCAL_WATCHER_COUNT, count)
        self.assertNotIn(own, found)

    def test_rank_does_not_depend_on_the_order_of_names(self):
        """Guards against VMs that disagree on which of them are watchers."""
        names = [f"vm-{number}" for number in range(8)]
        self.assertEqual(rank_names(names), rank_names(reversed(names)))

    def test_registration_survives_a_round_trip_and_invalid_ones_are_rejected(self):
        """Guards against a VM that its peers can't reach; older registrations have no capacity."""
        member = Member("vm", "10.0.0.1:80", "a", 2.15)
        self.assertEqual(member, read_member("vm", member.write()))
        older = {"peer_address": "10.0.0.1:80", "data_centre": "a"}
        self.assertEqual(1.0, read_member("vm", older).capacity)
        self.assertIsNone(read_member("vm", {**older, "capacity": "fast"}))
        for document in (None, [], {}, {"peer_address": "nowhere"}, {"peer_address": 7}):
            self.assertIsNone(read_member("vm", document))
