"""Searches for a moment at which two VMs may send to the same replica."""

import heapq
import itertools
import random
import unittest
from collections import Counter
from functools import partial
from unittest.mock import patch

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from zinnia_membership.member_list import MemberListError, add_member, remove_member
from zinnia_membership.membership import HEARTBEAT_INTERVAL_S, Membership
from zinnia_membership.promises import GivenPromises
from zinnia_membership.rendezvous import rank
from zinnia_membership.standby import GivenStandby, HeldStandby
from zinnia_model.members import Member, MemberList
from zinnia_model.ownership import Standing

VMS = [f"vm-{number}" for number in range(5)]
SPARES = [f"spare-{number}" for number in range(2)]
REPLICAS = [f"replica-{number}" for number in range(6)]
STEP_S = 0.05
INDEX = st.integers(0, len(VMS + SPARES) - 1)


def make_member(vm, seat=0):
    return Member(seat=seat, vm=vm, incarnation="", peer_address="", data_centre="")


class Node:
    """A VM with its own clock, which starts at an arbitrary time."""

    def __init__(self, vm, offset):
        self.vm, self.offset, self.runs = vm, offset, 0
        self.paused_until = 0.0
        self.exists = True
        self.inbox = []

    def start(self, now, members):
        self.runs += 1
        # No wait after a take-over, because it would hide short overlaps.
        self.membership = Membership(self.vm, str(self.runs), now + self.offset, takeover_wait_s=0)
        self.membership.adopt_members(members, now + self.offset)

    def clock(self, now):
        return now + self.offset


class Cell:
    """Five members and two spare VMs with links that delay, lose and reorder messages."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.stored = MemberList(
            epoch=1, members=tuple(make_member(vm, seat) for seat, vm in enumerate(VMS))
        )
        self.delays = {}
        self.flying = []
        self.order = itertools.count()
        self.nodes = {vm: Node(vm, self.random.uniform(0, 1000)) for vm in VMS + SPARES}
        self.seen = Counter()
        for node in self.nodes.values():
            node.start(0.0, self.stored)

    def advance(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            while self.flying and self.flying[0][0] <= self.now:
                _, _, receiver, message = heapq.heappop(self.flying)
                self.nodes[receiver].inbox.append(message)
            for node in self.nodes.values():
                if node.exists and node.paused_until <= self.now:
                    self.run_node(node)
            self.check()

    def run_node(self, node):
        now = node.clock(self.now)
        inbox, node.inbox = node.inbox, []
        for kind, sender, message in inbox:
            if kind == "heartbeat":
                self.send(node.vm, sender, "reply", node.membership.receive_heartbeat(message, now))
            elif kind == "reply":
                if node.membership.receive_reply(message, now).members_differ:
                    self.send(node.vm, sender, "pull", None)
            elif kind == "pull":
                self.send(node.vm, sender, "list", node.membership.members())
            elif kind == "list":
                node.membership.adopt_members(message, now)
            elif kind == "transfer":
                node.membership.receive_seat_transfer(message, now)
        if self.random.random() < STEP_S / HEARTBEAT_INTERVAL_S:
            node.membership.tick(now)
            for peer in self.nodes:
                if peer != node.vm:
                    self.send(node.vm, peer, "heartbeat", node.membership.make_heartbeat(peer, now))

    def send(self, sender, receiver, kind, message):
        low, high = self.delays.get((sender, receiver), (0.0, 0.01))
        if low is None:
            return
        arrival = self.now + self.random.uniform(low, high)
        heapq.heappush(self.flying, (arrival, next(self.order), receiver, (kind, sender, message)))

    def check(self):
        for replica in REPLICAS:
            owners = [n.vm for n in self.nodes.values() if n.exists and self.owns(n, replica)]
            self.seen[len(owners)] += 1
            assert len(owners) <= 1, f"{owners} own {replica} at {self.now:.2f}"

    def owns(self, node, replica):
        return node.membership.standing(replica, node.clock(self.now)) is Standing.OWNER

    def change(self, writer, make_list):
        """Write the next list as the keeper does: on the stored epoch, by a VM in touch."""
        node = self.nodes[writer]
        members, now = node.membership.members(), node.clock(self.now)
        if not node.exists or node.paused_until > self.now:
            return
        if members.epoch != self.stored.epoch or not node.membership.can_change_members(now):
            return
        try:
            self.stored = make_list(members)
        except MemberListError:
            return
        self.seen["list changes"] += 1
        node.membership.adopt_members(self.stored, now)

    def transfer(self, vm, spare):
        node = self.nodes[vm]
        if not node.exists or node.paused_until > self.now or not self.nodes[spare].exists:
            return
        try:
            message = node.membership.transfer_seat(make_member(spare), node.clock(self.now))
        except MemberListError:
            return
        self.seen["transfers"] += 1
        for peer in self.nodes:
            self.send(vm, peer, "transfer", message)
        # A VM that gave its seat away is retired and does not come back under the same id.
        node.exists = False


class ExclusiveOwnership(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.cell = Cell(seed)
        self.names = list(self.cell.nodes)
        self.cell.advance(2.5)

    @rule(duration_s=st.sampled_from([0.1, 0.5, 1.6, 3.0]))
    def run_for(self, duration_s):
        self.cell.advance(duration_s)

    @rule(a=INDEX, b=INDEX, delay=st.sampled_from([(0, 0.01), (0, 0.6), (0.5, 3.0), (None, None)]))
    def change_link(self, a, b, delay):
        self.cell.delays[self.names[a], self.names[b]] = delay

    @rule(group=st.sets(INDEX), delay=st.sampled_from([(0, 0.01), (0.5, 3.0), (None, None)]))
    def divide(self, group, delay):
        for a, b in itertools.permutations(range(len(self.names)), 2):
            if (a in group) != (b in group):
                self.cell.delays[self.names[a], self.names[b]] = delay

    @rule()
    def heal(self):
        self.cell.delays.clear()

    @rule(vm=INDEX, duration_s=st.sampled_from([0.3, 1.2, 1.6, 4.0]))
    def pause(self, vm, duration_s):
        self.cell.nodes[self.names[vm]].paused_until = self.cell.now + duration_s

    @rule(group=st.sets(INDEX, min_size=1))
    def restart(self, group):
        for vm in group:
            node = self.cell.nodes[self.names[vm]]
            if node.exists:
                node.start(self.cell.now, self.cell.stored)

    @rule(group=st.sets(INDEX, min_size=1))
    def heal_and_restart(self, group):
        # Members that forget a DEAD promise at the moment when its subject can be heard again.
        self.heal()
        self.restart(group)

    @rule(vm=INDEX)
    def leave(self, vm):
        self.cell.nodes[self.names[vm]].membership.begin_leave()

    @rule(vm=INDEX)
    def rejoin(self, vm):
        node = self.cell.nodes[self.names[vm]]
        if node.exists and node.membership.is_leaving:
            node.runs += 1
            node.membership.rejoin(str(node.runs), node.clock(self.cell.now))

    @rule(writer=INDEX, vms=st.lists(INDEX, min_size=1, max_size=3), removes=st.booleans())
    def change_list(self, writer, vms, removes):
        for name in (self.names[vm] for vm in vms):
            if removes:
                self.cell.change(self.names[writer], partial(remove_member, vm=name))
            else:
                member = make_member(name)
                self.cell.change(self.names[writer], partial(add_member, member=member))

    @rule(vm=INDEX, spare=st.integers(0, len(SPARES) - 1))
    def transfer_seat(self, vm, spare):
        self.cell.transfer(self.names[vm], SPARES[spare])

    @invariant()
    def check(self):
        if hasattr(self, "cell"):
            self.cell.check()


class CarelessPromises(GivenPromises):
    """Breaks the rule that a member holds at most one promise about another at a time."""

    def _is_bound_to_dead(self, vm, now):
        return False

    def _is_bound_to_alive(self, vm, now):
        return False


class ForgetfulGiver(GivenStandby):
    """Acts as soon as it is ready, although others still hold its standby promises."""

    def is_over(self, now):
        return self.is_ended


class DeafHolder(HeldStandby):
    """Keeps a standby promise that was withdrawn."""

    def record_announcement(self, vm, standby, sequence):
        return


class TimelessHolder(HeldStandby):
    """Keeps a standby promise beyond its end."""

    def holds(self, vm, now):
        return vm in self._until


ExclusiveOwnership.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
ExclusiveOwnershipTest = ExclusiveOwnership.TestCase


class SearchTest(unittest.TestCase):
    def test_search_reaches_take_overs_and_list_changes(self):
        # Guards against a cell in which nobody ever owns anything, where the search proves nothing.
        cell = Cell(1)
        cell.advance(4)
        self.assertTrue(all(any(cell.owns(n, r) for n in cell.nodes.values()) for r in REPLICAS))
        cell.nodes["vm-0"].paused_until = cell.now + 5
        cell.advance(4)
        self.assertTrue(all(any(cell.owns(n, r) for n in cell.nodes.values()) for r in REPLICAS))
        cell.change("vm-1", lambda members: remove_member(members, "vm-0"))
        cell.advance(4)
        cell.change("spare-0", lambda members: add_member(members, make_member("spare-0")))
        cell.advance(4)
        cell.transfer("vm-2", "spare-1")
        cell.advance(4)
        self.assertEqual((2, 1), (cell.seen["list changes"], cell.seen["transfers"]))
        self.assertTrue(all(any(cell.owns(n, r) for n in cell.nodes.values()) for r in REPLICAS))

    def cut_off_an_owner(self):
        for seed in range(10):
            cell = Cell(seed)
            cell.advance(4)
            for vm in cell.nodes:
                cell.delays["vm-0", vm] = cell.delays[vm, "vm-0"] = (None, None)
            cell.advance(4)

    def test_search_detects_members_that_give_two_promises(self):
        self.cut_off_an_owner()
        with (
            patch("zinnia_membership.promises.GivenPromises", CarelessPromises),
            self.assertRaisesRegex(AssertionError, "own replica"),
        ):
            self.cut_off_an_owner()

    def restart_members_of_divided_cells(self):
        for seed in range(10):
            cell = Cell(seed)
            cell.advance(4)
            first, second = rank(REPLICAS[0], VMS)[:2]
            cell.nodes[first].start(cell.now, cell.stored)
            cell.advance(1.2)
            # The next in rank hears nothing of the withdrawal.
            cell.delays[first, second] = (None, None)
            cell.advance(4)

    def test_search_detects_standby_that_is_broken_on_either_side(self):
        self.restart_members_of_divided_cells()
        for name, broken in (
            ("GivenStandby", ForgetfulGiver),
            ("HeldStandby", DeafHolder),
            ("HeldStandby", TimelessHolder),
        ):
            with (
                self.subTest(broken.__name__),
                patch(f"zinnia_membership.promises.{name}", broken),
                self.assertRaisesRegex(AssertionError, "own replica"),
            ):
                self.restart_members_of_divided_cells()

    def test_members_act_for_one_in_standby(self):
        # Guards against a search that never uses a standby promise and so proves nothing of it.
        cell = Cell(1)
        cell.advance(4)
        cell.change("spare-0", lambda members: add_member(members, make_member("spare-0")))
        cell.advance(0.5)
        acting = [n for n in cell.nodes.values() if any(cell.owns(n, r) for r in REPLICAS)]
        holding = [
            n for n in acting if n.membership.promises.standby.holds("spare-0", n.clock(cell.now))
        ]
        self.assertTrue(holding)
        self.assertTrue(all(any(cell.owns(n, r) for n in cell.nodes.values()) for r in REPLICAS))


if __name__ == "__main__":
    unittest.main()
