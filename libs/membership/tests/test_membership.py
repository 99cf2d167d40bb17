import unittest

from zinnia_membership.configuration import ConfigHolder
from zinnia_membership.member_list import MemberRegistry, add_member, make_view, remove_member
from zinnia_membership.membership import Membership
from zinnia_membership.rendezvous import rank
from zinnia_model.configuration import ConfigDocument
from zinnia_model.members import Member, MemberList
from zinnia_model.messages import SeatTransfer
from zinnia_model.ownership import OwnershipState

VMS = ("vm-0", "vm-1", "vm-2")


def make_member(vm, seat=0, holder_version=0):
    return Member(
        seat=seat,
        vm=vm,
        incarnation="",
        peer_address="",
        data_centre="",
        holder_version=holder_version,
    )


def make_list(vms=VMS):
    return MemberList(epoch=1, members=tuple(make_member(vm, n) for n, vm in enumerate(vms)))


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.members = [Membership(vm, "i", 0.0) for vm in VMS]
        for membership in self.members:
            membership.adopt_members(make_list(), 0.0)

    def ask(self, asker, giver, sent_at, answered_at=None):
        heartbeat = asker.make_heartbeat(giver.vm, sent_at)
        return giver.receive_heartbeat(heartbeat, answered_at or sent_at)

    def test_started_member_gives_no_promise_before_earlier_ones_have_expired(self):
        a, b, _ = self.members
        self.assertFalse(self.ask(a, b, 1.4).alive)
        self.assertTrue(self.ask(a, b, 1.6).alive)
        restarted = Membership("vm-1", "j", 2.0)
        restarted.adopt_members(make_list(), 2.0)
        reply = self.ask(a, restarted, 3.4)
        self.assertEqual((False, False, ()), (reply.alive, reply.settled, reply.dead))

    def test_promise_lasts_from_the_time_of_the_heartbeat(self):
        a, b, _ = self.members
        reply = self.ask(a, b, 2.0, answered_at=2.9)
        a.receive_reply(reply, 3.0)
        self.assertTrue(a.has_majority(3.4))
        self.assertFalse(a.has_majority(3.5))

    def test_reply_counts_once_and_only_for_the_run_that_asked(self):
        a, b, _ = self.members
        reply = self.ask(a, b, 2.0)
        restarted = Membership("vm-0", "j", 0.0)
        restarted.adopt_members(make_list(), 0.0)
        restarted.make_heartbeat("vm-1", 2.0)
        restarted.receive_reply(reply, 2.0)
        self.assertFalse(restarted.has_majority(2.1))

    def test_dead_is_promised_only_after_alive_has_expired(self):
        a, b, c = self.members
        self.ask(a, b, 2.0)
        self.assertNotIn("vm-0", self.ask(c, b, 3.4).dead)
        self.assertIn("vm-0", self.ask(c, b, 3.5).dead)
        self.assertFalse(self.ask(a, b, 4.0).alive)
        self.assertTrue(self.ask(a, b, 5.1).alive)

    def test_two_processes_with_one_id_do_not_both_get_alive(self):
        a, b, _ = self.members
        duplicate = Membership("vm-0", "j", 0.0)
        duplicate.adopt_members(make_list(), 0.0)
        self.assertTrue(self.ask(a, b, 2.0).alive)
        self.assertFalse(self.ask(duplicate, b, 2.1).alive)

    def test_members_change_only_when_a_majority_has_settled_on_the_current_list(self):
        a, b, _ = self.members
        a.receive_reply(self.ask(a, b, 1.4), 1.4)
        self.assertFalse(a.can_change_members(1.4))
        a.receive_reply(self.ask(a, b, 1.6), 1.6)
        self.assertTrue(a.can_change_members(1.6))
        a.adopt_members(remove_member(make_list(), "vm-2"), 1.7)
        self.assertFalse(a.can_change_members(1.7))

    def test_new_owner_waits_for_work_of_a_lost_owner_unless_it_was_handed_over(self):
        a, b, _ = self.members
        replica = next(f"r{n}" for n in range(99) if rank(f"r{n}", VMS) == ("vm-2", "vm-0", "vm-1"))
        now = 0.0
        observed = []
        while now < 6:
            now += 0.2
            a.tick(now)
            a.receive_reply(self.ask(a, b, now), now)
            self.ask(b, a, now)
            observed.append(a.ownership_state(replica, now))
            if observed[-1] is OwnershipState.WAITING:
                break
        self.assertIs(OwnershipState.WAITING, a.ownership_state(replica, now + 0.9))
        self.assertEqual("vm-0", a.owner(replica, now))
        a.accept_handover([replica], now)
        self.assertIs(OwnershipState.OWNER, a.ownership_state(replica, now + 0.1))


class MemberRegistryTest(unittest.TestCase):
    def test_adopts_only_a_newer_list(self):
        registry = MemberRegistry()
        newer = add_member(make_list(), make_member("vm-3"))
        self.assertTrue(registry.adopt(newer))
        self.assertFalse(registry.adopt(make_list()))
        self.assertEqual(make_view(newer), registry.view)

    def test_lists_of_one_epoch_merge_to_the_later_seat_holders_in_any_order(self):
        first = SeatTransfer(1, "vm-0", make_member("new-0", 0, 1))
        second = SeatTransfer(1, "vm-1", make_member("new-1", 1, 1))
        left, right = MemberRegistry(), MemberRegistry()
        for registry, transfer in ((left, first), (right, second)):
            registry.adopt(make_list())
            registry.transfer(transfer)
        ours, theirs = left.current, right.current
        left.adopt(theirs)
        right.adopt(ours)
        self.assertEqual(left.view, right.view)
        self.assertEqual(("new-0", "new-1", "vm-2"), left.view.vms)

    def test_list_whose_writer_did_not_know_of_a_transfer_does_not_undo_it(self):
        registry = MemberRegistry()
        registry.adopt(make_list())
        registry.transfer(SeatTransfer(1, "vm-0", make_member("new-0", 0, 1)))
        registry.adopt(add_member(make_list(), make_member("vm-3")))
        self.assertEqual(("new-0", "vm-1", "vm-2", "vm-3"), registry.view.vms)

    def test_epoch_of_the_next_list_counts_transfers_so_that_no_change_is_missed(self):
        registry = MemberRegistry()
        registry.adopt(make_list())
        registry.transfer(SeatTransfer(1, "vm-0", make_member("new-0", 0, 1)))
        self.assertEqual(3, remove_member(registry.current, "new-0").epoch)


class ConfigHolderTest(unittest.TestCase):
    def setUp(self):
        self.holder = ConfigHolder("vm-0")
        self.holder.adopt_view(make_view(make_list()))

    def test_revision_never_decreases(self):
        self.assertTrue(self.holder.adopt(ConfigDocument(revision=2)))
        self.assertFalse(self.holder.adopt(ConfigDocument(revision=1)))
        self.assertEqual(2, self.holder.revision)

    def test_started_vm_needs_reports_of_a_majority_of_the_others_during_an_outage(self):
        self.holder.adopt(ConfigDocument(revision=2))
        self.holder.record_revision("vm-1", 2, 1.0)
        self.assertFalse(self.holder.is_current(1.0))
        self.holder.record_revision("vm-2", 3, 1.0)
        self.assertFalse(self.holder.is_current(1.0))
        self.assertEqual("vm-2", self.holder.find_newer_source())
        self.holder.adopt(ConfigDocument(revision=3))
        self.assertTrue(self.holder.is_current(1.0))
        self.assertEqual(("vm-1",), self.holder.list_outdated_vms())
        self.assertFalse(self.holder.is_current(4.1))

    def test_exactly_three_members_are_watchers(self):
        view = make_view(make_list(tuple(f"vm-{n}" for n in range(8))))
        holders = [ConfigHolder(vm) for vm in view.vms]
        for holder in holders:
            holder.adopt_view(view)
            for vm in view.vms:
                holder.record_revision(vm, 1, 0.0)
        self.assertEqual(3, sum(holder.is_watcher(0.5) for holder in holders))


if __name__ == "__main__":
    unittest.main()
