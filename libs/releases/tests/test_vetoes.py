import unittest
from dataclasses import replace

from simulation import (
    MOVE_ID,
    ROUTES,
    START_MS,
    Simulation,
    VersionBehaviour,
    Vm,
    behave_well,
    make_ramp,
)

from zinnia_facts.table import Fact, FactKind
from zinnia_model.configuration import MoveState
from zinnia_model.observations import Observation, ObservedResult
from zinnia_releases.evidence import Counts, PooledEvidence
from zinnia_releases.moves import advance_moves, compute_effective_shares
from zinnia_releases.vetoes import (
    Sample,
    VetoRaiser,
    collect_vetoes,
    compute_log_likelihood_ratio,
    find_veto_cause,
)

GOOD_RUNS = 200
BAD_RUNS = 5
# Most answers of a bad version until its veto: those of 5 s at the canary share with 200 answers a
# second, and those that the sequential test needs.
MAX_NEW_ANSWERS = 300


def run_bad_version(seed: int, behave) -> Simulation:
    simulation = Simulation(
        seed,
        lambda version, route, second: (
            behave(route, second) if version == "v2" else VersionBehaviour()
        ),
    )
    simulation.run(200)
    return simulation


class GoodVersionTest(unittest.TestCase):
    def test_move_to_a_version_as_good_as_the_old_one_is_done(self):
        """Guards against false vetoes, which the threshold allows in 1 of 1000 moves."""
        vetoed = [
            seed
            for seed in range(GOOD_RUNS)
            if Simulation(seed, behave_well, vms=1).run(200).state is not MoveState.DONE
        ]
        self.assertEqual([], vetoed)

    def test_equal_fault_bursts_in_both_versions_cause_no_veto(self):
        """Guards against blaming the new version for a fault of the environment."""
        for seed in range(BAD_RUNS):
            simulation = Simulation(
                seed,
                lambda version, route, second: VersionBehaviour(0.2 if 25 < second < 37 else 0.01),
            )
            self.assertEqual(MoveState.DONE, simulation.run(200).state, simulation.move.cause)


class LastStepTest(unittest.TestCase):
    """The new version has all traffic and is compared with earlier answers of the old one."""

    def find_veto_cause(self, is_slow, seconds):
        """Return the veto cause after ``seconds`` of answers.

        Each of 3 VMs gets 10 batches of 7 answers a second.
        """
        document = make_ramp()
        move = document.moves[MOVE_ID].model_copy(update={"state": MoveState.RAMPING, "step": 5})
        document = document.model_copy(update={"moves": {MOVE_ID: move}})
        vms = [Vm(f"vm-{number}.a") for number in range(3)]
        for vm in vms:
            self.observe_answers(vm, document, is_slow, seconds)
        cells = {}
        for vm in vms:
            for key, counts in vm.evidence.pool(0.5)._cells.items():
                cells.setdefault(key, Counts()).add(counts)
        return find_veto_cause(move, PooledEvidence(cells), True)

    def observe_answers(self, vm, document, is_slow, seconds):
        previous_step = document.moves[MOVE_ID].model_copy(update={"step": 4})
        vm.evidence.adopt(document.model_copy(update={"moves": {MOVE_ID: previous_step}}))
        for number in range(1600):
            is_slow_answer = number % 20 == 0
            self.observe(vm, "v1", number, 0.05 if is_slow_answer else 0.01, at_s=None)
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

    def test_short_stall_of_the_environment_causes_no_veto(self):
        """Guards against taking back a good version because a busy machine stalled.

        All answers during 0.5 s were slow, 35% of those since the version got all traffic. They
        came in many batches at the same time, and each batch counted as independent evidence.
        """
        self.assertEqual("", self.find_veto_cause(lambda at_s: 0.5 <= at_s < 1.05, 1.6))

    def test_version_that_stays_slow_is_vetoed_within_3_s(self):
        """Guards against a test too weak to veto a version that becomes slow under full load."""
        self.assertIn("slower", self.find_veto_cause(lambda at_s: True, 3.0))


class BadVersionTest(unittest.TestCase):
    def assert_vetoed(self, behave, max_new_answers: int) -> None:
        for seed in range(BAD_RUNS):
            simulation = run_bad_version(seed, behave)
            self.assertEqual(MoveState.TAKEN_BACK, simulation.move.state)
            self.assertIn("v2", simulation.move.cause)
            self.assertLess(simulation.new_answers, max_new_answers)
            shares = compute_effective_shares("tune", simulation.document, {}, simulation.wall_ms)
            self.assertEqual({"v1": 1.0, "v2": 0.0}, shares)

    def test_version_with_10_percent_faults_is_vetoed(self):
        self.assert_vetoed(lambda route, second: VersionBehaviour(0.1), MAX_NEW_ANSWERS)

    def test_version_with_nothing_but_faults_is_vetoed(self):
        self.assert_vetoed(lambda route, second: VersionBehaviour(1.0), 20)

    def test_version_three_times_slower_is_vetoed(self):
        self.assert_vetoed(lambda route, second: VersionBehaviour(0.01, 3.0), 40)

    def test_version_bad_on_one_route_is_vetoed(self):
        self.assert_vetoed(
            lambda route, second: VersionBehaviour(0.3 if route == ROUTES[1] else 0.01),
            MAX_NEW_ANSWERS,
        )

    def test_version_that_becomes_bad_after_25_s_is_vetoed(self):
        """Guards against good answers in earlier steps that hide later faults."""
        self.assert_vetoed(
            lambda route, second: VersionBehaviour(0.3 if second > 25 else 0.01),
            2 * MAX_NEW_ANSWERS,
        )

    def test_version_bad_at_full_traffic_is_vetoed_in_the_last_step(self):
        """Guards against a last step without a baseline: the old version gives no answers there."""
        for seed in range(BAD_RUNS):
            simulation = Simulation(seed, behave_well)
            simulation.behave = (
                lambda version, route, second, simulation=simulation: VersionBehaviour(
                    0.3 if simulation.move.step == 4 else 0.01
                )
            )
            self.assertEqual(MoveState.TAKEN_BACK, simulation.run(200).state)
            self.assertEqual(4, simulation.move.step)


class PoolTest(unittest.TestCase):
    def test_two_vms_that_pool_evidence_veto_sooner(self):
        """Guards against VMs that wait because each alone has too few faults for a veto."""
        alone, together = (self.measure_veto_time_s(pooled) for pooled in (False, True))
        self.assertLess(together, alone)

    def measure_veto_time_s(self, pooled: bool) -> float:
        simulation = Simulation(
            3, lambda v, r, s: VersionBehaviour(0.4 if v == "v2" else 0.01), rate=100
        )
        if not pooled:
            for vm in simulation.vms:
                vm.send_facts = lambda others, now: None
        simulation.run(200)
        return simulation.second

    def test_faults_of_one_repeated_request_cause_no_veto(self):
        """Guards against a veto because a caller retries one bad request again and again."""
        simulation = Simulation(1, lambda v, r, s: VersionBehaviour(1.0 if v == "v2" else 0.01))
        make_observation = simulation.make_observation

        def make_same_request(version, route):
            observation = make_observation(version, route)
            if version == "v1":
                return observation
            return type(observation)(
                *(getattr(observation, name) for name in observation.__slots__[:5]), "same", 0.01
            )

        simulation.make_observation = make_same_request
        self.assertEqual("", simulation.run(20).cause)


class VetoFactTest(unittest.TestCase):
    def setUp(self):
        document = make_ramp()
        self.document = advance_moves(document, START_MS, PooledEvidence({}), {})
        self.vm = Vm("vm-1")
        self.move = self.document.moves["n1.1"]

    def review(self, raiser: VetoRaiser, wall_ms: int, ready: bool = True) -> list[Fact]:
        return raiser.review(self.document, PooledEvidence({}), wall_ms, 1.0, ready)

    def test_older_fact_after_the_veto_does_not_undo_it(self):
        self.assertEqual(1, len(self.review(self.vm.raiser, self.move.due_ms)))
        veto = self.vm.table.list_facts(FactKind.VETO, 1.0)[0]
        older_fact = Fact(FactKind.VETO, veto.subject, veto.origin, 0, "{}", 60.0)
        self.assertEqual([], self.vm.table.merge([older_fact], 2.0))
        vetoes = collect_vetoes(self.vm.table, 2.0)
        self.assertEqual({"n1.1"}, set(vetoes))
        shares = compute_effective_shares("tune", self.document, vetoes, START_MS)
        self.assertEqual({"v1": 1.0, "v2": 0.0}, shares)
        self.assertEqual({}, collect_vetoes(self.vm.table, 24 * 3600 + 2.0))

    def test_veto_takes_back_a_move_whose_done_was_written_late(self):
        """Guards against a return to v2 when a slow store applies DONE after the due time."""
        self.review(self.vm.raiser, self.move.due_ms)
        done = self.move.model_copy(update={"state": MoveState.DONE})
        document = self.document.model_copy(update={"moves": {done.id: done}})
        vetoes = collect_vetoes(self.vm.table, 2.0)
        document = advance_moves(document, self.move.due_ms + 1, PooledEvidence({}), vetoes)
        self.assertEqual(MoveState.TAKEN_BACK, document.moves["n1.1"].state)

    def test_vm_that_is_not_ready_raises_no_veto_at_the_due_time(self):
        """Guards against taking back a done move on a VM that missed DONE behind a partition."""
        self.assertEqual([], self.review(self.vm.raiser, self.move.due_ms, ready=False))


class RatioTest(unittest.TestCase):
    def test_ratio_is_zero_unless_the_new_version_is_worse(self):
        self.assertEqual(0.0, compute_log_likelihood_ratio(Sample(1, 100), Sample(1, 100)))
        self.assertEqual(0.0, compute_log_likelihood_ratio(Sample(0, 0), Sample(1, 100)))
        self.assertGreater(compute_log_likelihood_ratio(Sample(30, 100), Sample(1, 100)), 7.0)
