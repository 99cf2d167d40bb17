import unittest

from zinnia_membership.member_list import add_member
from zinnia_membership.membership import Membership
from zinnia_model.ids import ReplicaId, VmId
from zinnia_model.members import Member, MemberList
from zinnia_model.ownership import OwnershipState

REPLICAS = [ReplicaId(f"replica-{number}") for number in range(20)]
STEP_S = 0.1


def make_members(*vms: str) -> MemberList:
    members = MemberList()
    for vm in vms:
        member = Member(seat=0, vm=vm, incarnation="1", peer_address=f"{vm}:1", data_centre="a")
        members = add_member(members, member)
    return members


class RejoinTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.vms = {vm: Membership(VmId(vm), "1", 0.0) for vm in ("vm-1", "vm-2", "vm-3")}
        for membership in self.vms.values():
            membership.adopt_members(make_members(*self.vms), 0.0)

    def run_for(self, seconds: float) -> None:
        """Exchange all heartbeats every step; check that no replica has two owners."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for sender in self.vms.values():
                for peer in self.vms.values():
                    if peer is not sender:
                        message = sender.make_heartbeat(peer.vm, self.now)
                        sender.receive_reply(peer.receive_heartbeat(message, self.now), self.now)
            for replica in REPLICAS:
                self.assertLessEqual(len(self.list_owners(replica)), 1)

    def list_owners(self, replica: ReplicaId) -> list[str]:
        return [
            vm
            for vm, membership in self.vms.items()
            if membership.ownership_state(replica, self.now) is OwnershipState.OWNER
        ]

    def count_owned(self, vm: str) -> int:
        return sum(vm in self.list_owners(replica) for replica in REPLICAS)

    def test_member_that_left_owns_again_after_it_rejoins(self):
        """Guards against VMs that never own replicas again after their data centre is back in."""
        self.run_for(6.0)
        owned = self.count_owned("vm-1")
        self.assertGreater(owned, 0)
        self.vms["vm-1"].begin_leave()
        self.run_for(6.0)
        self.assertEqual(0, self.count_owned("vm-1"))
        self.assertEqual(len(REPLICAS), self.count_owned("vm-2") + self.count_owned("vm-3"))
        self.vms["vm-1"].rejoin("2", self.now)
        self.run_for(6.0)
        self.assertEqual(owned, self.count_owned("vm-1"))

    def test_forwarder_keeps_contact_over_a_rejoin(self):
        """Guards against requests refused as no_majority until the first reply after a rejoin."""
        self.run_for(6.0)
        self.vms["vm-1"].rejoin("2", self.now)
        self.assertTrue(self.vms["vm-1"].promises.has_contact(self.now))
        self.assertFalse(self.vms["vm-1"].promises.has_majority(self.now))


if __name__ == "__main__":
    unittest.main()
