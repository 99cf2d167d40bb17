"""Randomised search for a moment at which two VMs may send to the same replica."""

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
from zinnia_model.ownership import OwnershipState

VMS = [f"vm-{number}" for number in range(5)]
SPARES = [f"spare-{number}" for number in range(2)]
REPLICAS = [f"replica-{number}" for number in range(6)]
STEP_S = 0.05
INDEX = st.integers(0, len(VMS + SPARES) - 1)


def make_member(vm, seat=0):
    return Member(seat=seat, vm=vm, incarnation="", peer_address="", data_centre="")


class Node:
    """A VM whose clock has an arbitrary offset from simulation time."""

    def __init__(self, vm, offset):
        self.vm, self.offset, self.runs = vm, offset, 0
        self.paused_until = 0.0
        self.exists = True
        self.inbox = []

    def start(self, now, members):
        self.runs += 1
        # The take-over wait is 0 because it would hide short overlaps of ownership.
        self.membership = Membership(self.vm, str(self.runs), now + self.offset, takeover_wait_s=0)
        self.membership.adopt_members(members, now + self.offset)

    def clock(self, now):
        return now + self.offset


class Simulation:
    """Simulates five members and two spare VMs; links delay, lose and reorder messages."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.stored = MemberList(
            epoch=1, members=tuple(make_member(vm, seat) for seat, vm in enumerate(VMS))
        )
        self.delays = {}
        self.in_transit = []
        self.send_order = itertools.count()
        self.nodes = {vm: Node(vm, self.random.uniform(0, 1000)) for vm in VMS + SPARES}
        self.counts = Counter()
        for node in self.nodes.values():
            node.start(0.0, self.stored)

    def advance(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            while self.in_transit and self.in_transit[0][0] <= self.now:
                _, _, receiver, message = heapq.heappop(self.in_transit)
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
        heapq.heappush(
            self.in_transit, (arrival, next(self.send_order), receiver, (kind, sender, message))
        )

    def check(self):
        for replica in REPLICAS:
            owners = [n.vm for n in self.nodes.values() if n.exists and self.owns(n, replica)]
            self.counts[len(owners)] += 1
            assert len(owners) <= 1, f"{owners} own {replica} at {self.now:.2f}"

    def owns(self, node, replica):
        return (
            node.membership.ownership_state(replica, node.clock(self.now)) is OwnershipState.OWNER
        )

    def change(self, writer, make_list):
        """Write the next list under the conditions of ``MemberListUpdater``.

        The writer must know the stored epoch and be allowed to change members.
        """
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
        self.counts["list changes"] += 1
        node.membership.adopt_members(self.stored, now)

    def transfer(self, vm, spare):
        node = self.nodes[vm]
        if not node.exists or node.paused_until > self.now or not self.nodes[spare].exists:
            return
        try:
            message = node.membership.transfer_seat(make_member(spare), node.clock(self.now))
        except MemberListError:
            return
        self.counts["transfers"] += 1
        for peer in self.nodes:
            self.send(vm, peer, "transfer", message)
        # A VM that transferred its seat is retired and does not return under the same id.
        node.exists = False


class ExclusiveOwnership(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.simulation = Simulation(seed)
        self.names = list(self.simulation.nodes)
        self.simulation.advance(2.5)

    @rule(duration_s=st.sampled_from([0.1, 0.5, 1.6, 3.0]))
    def run_for(self, duration_s):
        self.simulation.advance(duration_s)

    @rule(a=INDEX, b=INDEX, delay=st.sampled_from([(0, 0.01), (0, 0.6), (0.5, 3.0), (None, None)]))
    def change_link(self, a, b, delay):
        self.simulation.delays[self.names[a], self.names[b]] = delay

    @rule(group=st.sets(INDEX), delay=st.sampled_from([(0, 0.01), (0.5, 3.0), (None, None)]))
    def divide(self, group, delay):
        for a, b in itertools.permutations(range(len(self.names)), 2):
            if (a in group) != (b in group):
                self.simulation.delays[self.names[a], self.names[b]] = delay

    @rule()
    def heal(self):
        self.simulation.delays.clear()

    @rule(vm=INDEX, duration_s=st.sampled_from([0.3, 1.2, 1.6, 4.0]))
    def pause(self, vm, duration_s):
        self.simulation.nodes[self.names[vm]].paused_until = self.simulation.now + duration_s

    @rule(group=st.sets(INDEX, min_size=1))
    def restart(self, group):
        for vm in group:
            node = self.simulation.nodes[self.names[vm]]
            if node.exists:
                node.start(self.simulation.now, self.simulation.stored)

    @rule(group=st.sets(INDEX, min_size=1))
    def heal_and_restart(self, group):
        # Guards against members that lose a DEAD promise by a restart just when its subject is
        # reachable again.
        self.heal()
        self.restart(group)

    @rule(vm=INDEX)
    def leave(self, vm):
        self.simulation.nodes[self.names[vm]].membership.begin_leave()

    @rule(vm=INDEX)
    def rejoin(self, vm):
        node = self.simulation.nodes[self.names[vm]]
        if node.exists and node.membership.is_leaving:
            node.runs += 1
            node.membership.rejoin(str(node.runs), node.clock(self.simulation.now))

    @rule(writer=INDEX, vms=st.lists(INDEX, min_size=1, max_size=3), removes=st.booleans())
    def change_list(self, writer, vms, removes):
        for name in (self.names[vm] for vm in vms):
            if removes:
                self.simulation.change(self.names[writer], partial(remove_member, vm=name))
            else:
                member = make_member(name)
                self.simulation.change(self.names[writer], partial(add_member, member=member))

    @rule(vm=INDEX, spare=st.integers(0, len(SPARES) - 1))
    def transfer_seat(self, vm, spare):
        self.simulation.transfer(self.names[vm], SPARES[spare])

    @invariant()
    def check(self):
        if hasattr(self, "simulation"):
            self.simulation.check()


class PromisesWithoutExclusion(GivenPromises):
    """Breaks the rule that a member gives at most one promise about another at a time."""

    def _is_bound_to_dead(self, vm, now):
        return False

    def _is_bound_to_alive(self, vm, now):
        return False


class GivenStandbyWithoutWait(GivenStandby):
    """Acts as owner once it left standby, although others still hold its standby promises."""

    def is_fully_withdrawn(self, now):
        return self.is_withdrawn


class HeldStandbyWithoutWithdrawal(HeldStandby):
    """Ignores the withdrawal of standby promises."""

    def record_announcement(self, vm, standby, sequence):
        return


class HeldStandbyWithoutExpiry(HeldStandby):
    """Ignores the expiry of standby promises."""

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


class OwnershipSearchTest(unittest.TestCase):
    def test_every_replica_has_an_owner_after_take_over_and_list_changes(self):
        # Guards against a simulation without owners, in which the search could not fail.
        simulation = Simulation(1)
        simulation.advance(4)
        self.assertTrue(
            all(any(simulation.owns(n, r) for n in simulation.nodes.values()) for r in REPLICAS)
        )
        simulation.nodes["vm-0"].paused_until = simulation.now + 5
        simulation.advance(4)
        self.assertTrue(
            all(any(simulation.owns(n, r) for n in simulation.nodes.values()) for r in REPLICAS)
        )
        simulation.change("vm-1", lambda members: remove_member(members, "vm-0"))
        simulation.advance(4)
        simulation.change("spare-0", lambda members: add_member(members, make_member("spare-0")))
        simulation.advance(4)
        simulation.transfer("vm-2", "spare-1")
        simulation.advance(4)
        self.assertEqual(
            (2, 1), (simulation.counts["list changes"], simulation.counts["transfers"])
        )
        self.assertTrue(
            all(any(simulation.owns(n, r) for n in simulation.nodes.values()) for r in REPLICAS)
        )

    def isolate_an_owner(self):
        for seed in range(10):
            simulation = Simulation(seed)
            simulation.advance(4)
            for vm in simulation.nodes:
                simulation.delays["vm-0", vm] = simulation.delays[vm, "vm-0"] = (None, None)
            simulation.advance(4)

    def test_search_detects_members_that_promise_alive_and_dead(self):
        self.isolate_an_owner()
        with (
            patch("zinnia_membership.promises.GivenPromises", PromisesWithoutExclusion),
            self.assertRaisesRegex(AssertionError, "own replica"),
        ):
            self.isolate_an_owner()

    def restart_a_member_and_cut_a_link(self):
        for seed in range(10):
            simulation = Simulation(seed)
            simulation.advance(4)
            first, second = rank(REPLICAS[0], VMS)[:2]
            simulation.nodes[first].start(simulation.now, simulation.stored)
            simulation.advance(1.2)
            # The second-ranked member does not receive the withdrawal.
            simulation.delays[first, second] = (None, None)
            simulation.advance(4)

    def test_search_detects_broken_standby_promises(self):
        self.restart_a_member_and_cut_a_link()
        for name, broken in (
            ("GivenStandby", GivenStandbyWithoutWait),
            ("HeldStandby", HeldStandbyWithoutWithdrawal),
            ("HeldStandby", HeldStandbyWithoutExpiry),
        ):
            with (
                self.subTest(broken.__name__),
                patch(f"zinnia_membership.promises.{name}", broken),
                self.assertRaisesRegex(AssertionError, "own replica"),
            ):
                self.restart_a_member_and_cut_a_link()

    def test_members_own_the_replicas_of_a_member_in_standby(self):
        # Guards against a search that never relies on a standby promise and so can't test it.
        simulation = Simulation(1)
        simulation.advance(4)
        simulation.change("spare-0", lambda members: add_member(members, make_member("spare-0")))
        simulation.advance(0.5)
        acting = [
            n for n in simulation.nodes.values() if any(simulation.owns(n, r) for r in REPLICAS)
        ]
        holding = [
            n
            for n in acting
            if n.membership.promises.standby.holds("spare-0", n.clock(simulation.now))
        ]
        self.assertTrue(holding)
        self.assertTrue(
            all(any(simulation.owns(n, r) for n in simulation.nodes.values()) for r in REPLICAS)
        )


if __name__ == "__main__":
    unittest.main()
