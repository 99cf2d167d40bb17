import unittest
from dataclasses import replace

from simulation import MOVE, ROUTES, START_MS, Answer, Simulation, Vm, answer_well, make_ramp

from zinnia_facts.table import Fact, FactKind
from zinnia_model.configuration import MoveState
from zinnia_model.observations import Observation, ObservedResult
from zinnia_releases.evidence import Counts, PooledEvidence
from zinnia_releases.moves import advance, effective_shares
from zinnia_releases.vetoes import (
    Sample,
    VetoRaiser,
    collect_vetoes,
    compute_ratio,
    find_cause,
)

GOOD_RUNS = 200
BAD_RUNS = 5
# 5 s of the canary share at 200 answers a second, beside what the test itself needs.
BOUND_ANSWERS = 300


def run_bad(seed: int, behave) -> Simulation:
    simulation = Simulation(
        seed,
        lambda version, route, second: behave(route, second) if version == "v2" else Answer(),
    )
    simulation.run(200)
    return simulation


class GoodVersionTest(unittest.TestCase):
    def test_version_as_good_as_the_old_one_is_completed(self):
        """Guards against false vetoes; the threshold allows 1 in 1000 moves."""
        vetoed = [
            seed
            for seed in range(GOOD_RUNS)
            if Simulation(seed, answer_well, vms=1).run(200).state is not MoveState.DONE
        ]
        self.assertEqual([], vetoed)

    def test_equal_bursts_of_faults_in_both_versions_do_not_veto(self):
        """Guards against blaming the new version for a fault of the environment."""
        for seed in range(BAD_RUNS):
            simulation = Simulation(
                seed, lambda version, route, second: Answer(0.2 if 25 < second < 37 else 0.01)
            )
            self.assertEqual(MoveState.DONE, simulation.run(200).state, simulation.move.cause)


class AloneTest(unittest.TestCase):
    """The new version has all traffic, so it is compared with what the old one did before."""

    def find_cause(self, is_slow, seconds):
        """Return the verdict after some seconds of 3 VMs with 10 batches of 7 answers a second."""
        document = make_ramp()
        move = document.moves[MOVE].model_copy(update={"state": MoveState.RAMPING, "step": 5})
        document = document.model_copy(update={"moves": {MOVE: move}})
        vms = [Vm(f"vm-{number}.a") for number in range(3)]
        for vm in vms:
            self.fill(vm, document, is_slow, seconds)
        cells = {}
        for vm in vms:
            for key, counts in vm.evidence.pool(0.5)._cells.items():
                cells.setdefault(key, Counts()).add(counts)
        return find_cause(move, PooledEvidence(cells), True)

    def fill(self, vm, document, is_slow, seconds):
        before = document.moves[MOVE].model_copy(update={"step": 4})
        vm.evidence.adopt(document.model_copy(update={"moves": {MOVE: before}}))
        for number in range(1600):
            slow = number % 20 == 0
            self.observe(vm, "v1", number, 0.05 if slow else 0.01, at_s=None)
        vm.evidence.publish(0.0)
        vm.evidence.adopt(document)
        for number in range(int(seconds * 70)):
            at_s = number / 70
            self.observe(vm, "v2", number, 0.3 if is_slow(at_s) else 0.01, at_s=100.0 + at_s)
        vm.evidence.publish(0.5)

    def observe(self, vm, version, number, service_time_s, at_s):
        fingerprint = f"{number // 7:08d}"
        observation = Observation(
            "tune", "identify", version, "r", ObservedResult.OK, fingerprint, service_time_s
        )
        vm.evidence.observe(replace(observation, batch_size=7, at_s=at_s))

    def test_short_stall_of_the_environment_is_no_fault_of_the_version(self):
        """Guards against a good version that is taken back because a busy machine stalled.

        Its answers of 0.5 s were slow, 35% of those since it got all traffic, in many batches of
        the same moment that each counted as independent evidence.
        """
        self.assertEqual("", self.find_cause(lambda at_s: 0.5 <= at_s < 1.05, 1.6))

    def test_version_that_stays_slow_is_found_within_the_bound(self):
        """Guards against a weaker test: a version that turns slow under full load, target 3 s."""
        self.assertIn("slower", self.find_cause(lambda at_s: True, 3.0))


class BadVersionTest(unittest.TestCase):
    def assert_vetoed(self, behave, bound: int) -> None:
        for seed in range(BAD_RUNS):
            simulation = run_bad(seed, behave)
            self.assertEqual(MoveState.TAKEN_BACK, simulation.move.state)
            self.assertIn("v2", simulation.move.cause)
            self.assertLess(simulation.new_answers, bound)
            shares = effective_shares("tune", simulation.document, {}, simulation.wall_ms)
            self.assertEqual({"v1": 1.0, "v2": 0.0}, shares)

    def test_faults_in_10_percent(self):
        self.assert_vetoed(lambda route, second: Answer(0.1), BOUND_ANSWERS)

    def test_faults_only(self):
        self.assert_vetoed(lambda route, second: Answer(1.0), 20)

    def test_three_times_slower(self):
        self.assert_vetoed(lambda route, second: Answer(0.01, 3.0), 40)

    def test_bad_on_one_route_only(self):
        self.assert_vetoed(
            lambda route, second: Answer(0.3 if route == ROUTES[1] else 0.01), BOUND_ANSWERS
        )

    def test_bad_after_a_while(self):
        """Guards against earlier good answers that hide later faults."""
        self.assert_vetoed(
            lambda route, second: Answer(0.3 if second > 25 else 0.01), 2 * BOUND_ANSWERS
        )

    def test_bad_under_full_load_only(self):
        """Guards against a last step without a baseline, where the old version has no answers."""
        for seed in range(BAD_RUNS):
            simulation = Simulation(seed, answer_well)
            simulation.behaviour = lambda version, route, second, simulation=simulation: Answer(
                0.3 if simulation.move.step == 4 else 0.01
            )
            self.assertEqual(MoveState.TAKEN_BACK, simulation.run(200).state)
            self.assertEqual(4, simulation.move.step)


class PoolTest(unittest.TestCase):
    def test_evidence_of_two_vms_is_pooled(self):
        """Guards against VMs that each see too few faults to decide."""
        alone, together = (self.count_seconds(vms) for vms in (False, True))
        self.assertLess(together, alone)

    def count_seconds(self, pooled: bool) -> float:
        simulation = Simulation(3, lambda v, r, s: Answer(0.4 if v == "v2" else 0.01), rate=100)
        if not pooled:
            for vm in simulation.vms:
                vm.send_facts = lambda others, now: None
        simulation.run(200)
        return simulation.second

    def test_three_distinct_fingerprints_are_needed(self):
        """Guards against one request sent again and again that takes a version back."""
        simulation = Simulation(1, lambda v, r, s: Answer(1.0 if v == "v2" else 0.01))
        draw = simulation.draw

        def draw_same(version, route):
            observation = draw(version, route)
            if version == "v1":
                return observation
            return type(observation)(
                *(getattr(observation, name) for name in observation.__slots__[:5]), "same", 0.01
            )

        simulation.draw = draw_same
        self.assertEqual("", simulation.run(20).cause)


class VetoFactTest(unittest.TestCase):
    def setUp(self):
        document = make_ramp()
        self.document = advance(document, START_MS, PooledEvidence({}), {})
        self.vm = Vm("vm-1")
        self.move = self.document.moves["n1.1"]

    def review(self, raiser: VetoRaiser, wall_ms: int, ready: bool = True) -> list[Fact]:
        return raiser.review(self.document, PooledEvidence({}), wall_ms, 1.0, ready)

    def test_older_fact_after_the_veto_does_not_undo_it(self):
        self.assertEqual(1, len(self.review(self.vm.raiser, self.move.due_ms)))
        veto = self.vm.table.list_facts(FactKind.VETO, 1.0)[0]
        older = Fact(FactKind.VETO, veto.subject, veto.origin, 0, "{}", 60.0)
        self.assertEqual([], self.vm.table.merge([older], 2.0))
        vetoes = collect_vetoes(self.vm.table, 2.0)
        self.assertEqual({"n1.1"}, set(vetoes))
        shares = effective_shares("tune", self.document, vetoes, START_MS)
        self.assertEqual({"v1": 1.0, "v2": 0.0}, shares)
        self.assertEqual({}, collect_vetoes(self.vm.table, 24 * 3600 + 2.0))

    def test_veto_wins_over_a_done_that_was_written_late(self):
        """Guards against a share that comes back when a slow store applies DONE after the hour."""
        self.review(self.vm.raiser, self.move.due_ms)
        done = self.move.model_copy(update={"state": MoveState.DONE})
        document = self.document.model_copy(update={"moves": {done.id: done}})
        vetoes = collect_vetoes(self.vm.table, 2.0)
        document = advance(document, self.move.due_ms + 1, PooledEvidence({}), vetoes)
        self.assertEqual(MoveState.TAKEN_BACK, document.moves["n1.1"].state)

    def test_vm_that_is_not_ready_does_not_veto_at_the_hour(self):
        """Guards against a cut-off VM that missed DONE and takes a finished move back."""
        self.assertEqual([], self.review(self.vm.raiser, self.move.due_ms, ready=False))


class RatioTest(unittest.TestCase):
    def test_is_zero_unless_the_new_version_is_worse(self):
        self.assertEqual(0.0, compute_ratio(Sample(1, 100), Sample(1, 100)))
        self.assertEqual(0.0, compute_ratio(Sample(0, 0), Sample(1, 100)))
        self.assertGreater(compute_ratio(Sample(30, 100), Sample(1, 100)), 7.0)
