import unittest
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from zinnia_claims.claims import Claims
from zinnia_claims.records import CLAIM_KIND, CommandResult, HolderState
from zinnia_model.ids import Fingerprint, IdempotencyKey, ServiceId, VmId
from zinnia_model.reasons import Outcome, Reason
from zinnia_standins.platform_core import PlatformCore, PlatformFaults
from zinnia_standins.platform_store import FakeObjectStore

SERVICE = ServiceId("licences")
ANSWERED = CommandResult(Outcome.ANSWERED, body=b'{"id": 1}')
REFUSED = CommandResult(Outcome.NOT_RUN, Reason.OVERLOADED)
EPOCH_S = 1.7e9


class HookedObjectStore(FakeObjectStore):
    """Calls ``after_put`` once, after a write took effect and before its reply arrives."""

    after_put = None

    async def put(self, kind, name, value, if_version):
        version = await super().put(kind, name, value, if_version)
        if self.after_put is not None:
            hook, self.after_put = self.after_put, None
            await hook()
        return version


@dataclass
class Vm:
    claims: Claims
    store: HookedObjectStore
    scopes: list[trio.CancelScope] = field(default_factory=list)
    reachable: bool = True

    def kill(self):
        self.reachable = False
        for scope in self.scopes:
            scope.cancel()


class Simulation:
    def __init__(self, nursery):
        self.core = PlatformCore()
        self.vms: dict[str, Vm] = {}
        self.nursery = nursery
        self.run_counts = Counter()
        self.results = defaultdict(list)
        self.violations = []

    def start_vm(self, name):
        store = HookedObjectStore(self.core)
        claims = Claims(store, VmId(name), self.ask, lambda: EPOCH_S + trio.current_time())
        vm = self.vms[name] = Vm(claims, store)
        self.nursery.start_soon(self._run_vm, vm)
        return vm

    def restart_vm(self, name):
        self.vms[name].kill()
        return self.start_vm(name)

    async def _run_vm(self, vm):
        with trio.CancelScope() as scope:
            vm.scopes.append(scope)
            await vm.claims.run()

    async def ask(self, name, service, key, attempt_id):
        await trio.sleep(0.002)
        vm = self.vms[name]
        return vm.claims.answer_holder_query(service, key, attempt_id) if vm.reachable else None

    async def send_duplicate(
        self, name, key="k", limit_s=2.0, result=ANSWERED, send_s=0.05, body="b", is_first=False
    ):
        """Send a duplicate of a request to a VM and record a violation if NOT_RUN is wrong."""
        vm, sent = self.vms[name], []

        async def send(attempt_id):
            if result.outcome is not Outcome.NOT_RUN:
                sent.append(attempt_id)
                self.run_counts[key] += 1
            await trio.sleep(send_s)
            return result

        with trio.CancelScope() as scope:
            vm.scopes.append(scope)
            answer = await vm.claims.run_once(
                SERVICE,
                IdempotencyKey(key),
                Fingerprint(body),
                trio.current_time() + limit_s,
                send,
                is_first,
            )
            self.results[key].append(answer)
            if answer.outcome is Outcome.NOT_RUN:
                if sent:
                    self.violations.append(("NOT_RUN, but this duplicate was sent", answer))
                if self.run_counts[key] and answer.reason is not Reason.KEY_REUSE:
                    self.violations.append(("NOT_RUN, but another duplicate was sent", answer))
            return answer


def run_simulation(check, vms=("vm-1", "vm-2")):
    clock = MockClock(autojump_threshold=0)

    async def main():
        async with trio.open_nursery() as nursery:
            simulation = Simulation(nursery)
            simulation.clock = clock
            for name in vms:
                simulation.start_vm(name)
            await check(simulation)
            nursery.cancel_scope.cancel()
        return simulation

    simulation = trio.run(main, clock=clock)
    assert not simulation.violations, simulation.violations
    assert all(runs <= 1 for runs in simulation.run_counts.values()), simulation.run_counts
    return simulation


class ClaimsTest(unittest.TestCase):
    def test_concurrent_duplicates_on_two_vms_run_once_and_get_the_same_answer(self):
        async def check(simulation):
            async with trio.open_nursery() as nursery:
                for name in ("vm-1", "vm-2", "vm-1", "vm-2"):
                    nursery.start_soon(simulation.send_duplicate, name)

        self.assertEqual([ANSWERED] * 4, run_simulation(check).results["k"])

    def test_recorded_answer_survives_the_restart_of_all_vms(self):
        async def check(simulation):
            await simulation.send_duplicate("vm-1")
            self.assertEqual(0, await simulation.vms["vm-1"].claims.flush(trio.current_time() + 1))
            for name in ("vm-1", "vm-2"):
                simulation.restart_vm(name)
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-1"))
            self.assertEqual(ANSWERED, await simulation.vms["vm-2"].claims.look_up(SERVICE, "k"))
            self.assertIsNone(await simulation.vms["vm-2"].claims.look_up(SERVICE, "other"))

        run_simulation(check)

    def test_restart_of_all_vms_during_a_run_leaves_its_outcome_unknown(self):
        async def check(simulation):
            simulation.nursery.start_soon(
                simulation.send_duplicate, "vm-1", "k", 9.0, ANSWERED, 5.0
            )
            await trio.sleep(0.1)
            for name in ("vm-1", "vm-2"):
                simulation.restart_vm(name)
            for name in ("vm-1", "vm-2"):
                self.assertIs(Reason.HOLDER_LOST, (await simulation.send_duplicate(name)).reason)

        run_simulation(check)

    def test_request_runs_if_the_reply_to_its_claim_is_lost(self):
        async def check(simulation):
            simulation.core.set_faults({"lose_replies": 1})
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-1"))

        run_simulation(check)

    def test_request_with_unconfirmed_claim_is_not_sent_and_releases_the_key_later(self):
        async def check(simulation):
            simulation.core.set_faults({"lose_replies": -1, "late_write_s": 3.0})
            unconfirmed = await simulation.send_duplicate("vm-1")
            self.assertEqual(
                (Outcome.UNKNOWN, Reason.CLAIMS_UNAVAILABLE),
                (unconfirmed.outcome, unconfirmed.reason),
            )
            simulation.core.set_faults({"lose_replies": 0})
            await trio.sleep(20)
            self.assertEqual(0, simulation.vms["vm-1"].claims.unrecorded)
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-2"))

        run_simulation(check)

    def test_late_takeover_of_a_released_record_does_not_block_the_key(self):
        async def check(simulation):
            await simulation.send_duplicate("vm-1", result=REFUSED)
            await trio.sleep(1)
            simulation.core.set_faults({"lose_replies": -1, "late_write_s": 300.0})
            self.assertIs(Outcome.UNKNOWN, (await simulation.send_duplicate("vm-2")).outcome)
            simulation.core.set_faults({"lose_replies": 0})
            await trio.sleep(600)
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-1"))

        run_simulation(check)

    def test_duplicate_on_another_vm_is_unknown_during_a_platform_outage(self):
        """Guards against NOT_RUN for a request that ran on another VM.

        The outage keeps the VM of the duplicate from reading the record.
        """

        async def check(simulation):
            await simulation.send_duplicate("vm-1")
            simulation.core.set_faults({"outage": True})
            self.assertIs(Outcome.UNKNOWN, (await simulation.send_duplicate("vm-2")).outcome)

        run_simulation(check)

    def test_platform_outage_refuses_new_requests_and_delays_recording(self):
        async def check(simulation):
            simulation.nursery.start_soon(
                simulation.send_duplicate, "vm-1", "k", 5.0, ANSWERED, 1.0
            )
            await trio.sleep(0.5)
            simulation.core.set_faults({"outage": True})
            refused = await simulation.send_duplicate("vm-1", "new")
            self.assertEqual(Outcome.UNKNOWN, refused.outcome)
            first = await simulation.send_duplicate("vm-1", "first", is_first=True)
            self.assertEqual(Outcome.NOT_RUN, first.outcome)
            self.assertEqual(0, simulation.run_counts["new"] + simulation.run_counts["first"])
            await trio.sleep(3600)
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-1"))
            simulation.core.set_faults({"outage": False})
            await trio.sleep(10)
            self.assertEqual("done", simulation.core.list(CLAIM_KIND)[0][0].value["state"])

        run_simulation(check)

    def test_key_is_not_claimed_again_after_its_holder_was_killed(self):
        async def check(simulation):
            vm = simulation.vms["vm-1"]
            vm.store.after_put = trio.sleep_forever
            simulation.nursery.start_soon(simulation.send_duplicate, "vm-1")
            await trio.sleep(0.1)
            vm.kill()
            self.assertIs(Reason.HOLDER_LOST, (await simulation.send_duplicate("vm-2")).reason)

        self.assertEqual(0, run_simulation(check).run_counts["k"])

    def test_holder_paused_after_its_claim_does_not_send_after_the_deadline(self):
        async def check(simulation):
            async def pause():
                simulation.clock.jump(80_000)

            simulation.vms["vm-1"].store.after_put = pause
            self.assertIs(Outcome.NOT_RUN, (await simulation.send_duplicate("vm-1")).outcome)
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-2"))

        run_simulation(check)

    def test_key_is_not_claimed_again_while_its_holder_is_unreachable(self):
        async def check(simulation):
            simulation.nursery.start_soon(
                simulation.send_duplicate, "vm-1", "k", 1e6, ANSWERED, 80_000
            )
            await trio.sleep(0.1)
            simulation.vms["vm-1"].reachable = False
            self.assertIs(Reason.HOLDER_LOST, (await simulation.send_duplicate("vm-2")).reason)
            simulation.vms["vm-1"].reachable = True
            self.assertIs(Reason.IN_PROGRESS, (await simulation.send_duplicate("vm-2")).reason)
            self.assertIs(Reason.IN_PROGRESS, (await simulation.send_duplicate("vm-1")).reason)
            await trio.sleep(80_000)
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-2"))

        run_simulation(check)

    def test_interrupted_send_is_recorded_as_unknown(self):
        async def check(simulation):
            with trio.move_on_after(0.1):
                await simulation.send_duplicate("vm-1", send_s=5.0)
            await trio.sleep(1)
            self.assertIs(Outcome.UNKNOWN, (await simulation.send_duplicate("vm-2")).outcome)

        run_simulation(check)

    def test_request_that_did_not_run_releases_the_key_and_other_bodies_are_refused(self):
        async def check(simulation):
            self.assertEqual(REFUSED, await simulation.send_duplicate("vm-1", result=REFUSED))
            self.assertEqual(ANSWERED, await simulation.send_duplicate("vm-2"))
            for name in ("vm-1", "vm-2"):
                reused = await simulation.send_duplicate(name, body="other")
                self.assertIs(Reason.KEY_REUSE, reused.reason)

        run_simulation(check)

    def test_later_duplicates_get_unknown_if_the_answer_was_too_large_to_store(self):
        async def check(simulation):
            large = CommandResult(Outcome.ANSWERED, body=b"x" * 70_000)
            self.assertEqual(large, await simulation.send_duplicate("vm-1", result=large))
            await trio.sleep(1)
            later = await simulation.send_duplicate("vm-2")
            self.assertEqual((Outcome.UNKNOWN, b""), (later.outcome, later.body))

        run_simulation(check)

    def test_sweep_deletes_only_old_records_at_a_low_write_rate(self):
        async def check(simulation):
            for number in range(5):
                await simulation.send_duplicate("vm-1", f"old-{number}")
            await trio.sleep(23 * 3600)
            await simulation.send_duplicate("vm-1", "young")
            before = simulation.core.counts["writes"]
            await trio.sleep(3 * 3600)
            self.assertEqual(1, len(simulation.core.list(CLAIM_KIND)[0]))
            self.assertLess(simulation.core.counts["writes"] - before, 20)

        run_simulation(check)

    def test_holder_reports_an_unknown_attempt_as_forgotten(self):
        async def check(simulation):
            answer = simulation.vms["vm-1"].claims.answer_holder_query(SERVICE, "k", "vm-1-0-1")
            self.assertIs(HolderState.FORGOTTEN, answer.state)

        run_simulation(check)


DUPLICATE = st.tuples(
    st.just("duplicate"),
    st.sampled_from(["vm-1", "vm-2", "vm-3"]),
    st.sampled_from([0.02, 0.3, 2.0]),
    st.sampled_from([0.0, 0.1, 3.0]),
    st.sampled_from([ANSWERED, ANSWERED, REFUSED]),
)
FAULT = st.tuples(
    st.just("fault"),
    st.sampled_from(
        [
            {},
            {"outage": True},
            {"silent": True},
            {"delay_s": 0.4},
            {"lose_replies": 2},
            {"lose_replies": -1, "late_write_s": 0.5},
            {"lose_replies": 3, "late_write_s": 5.0},
        ]
    ),
)
VM_FAULT = st.tuples(
    st.sampled_from(["restart", "unreachable", "reachable"]),
    st.sampled_from(["vm-1", "vm-2", "vm-3"]),
)
STEP = st.tuples(
    st.sampled_from([0.0, 0.01, 0.2, 1.0]), st.one_of(DUPLICATE, DUPLICATE, FAULT, VM_FAULT)
)


class ClaimsUnderFaultsTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(STEP, max_size=25))
    def test_request_runs_at_most_once_and_not_run_is_correct_under_random_faults(self, steps):
        async def check(simulation):
            for pause_s, (action, *rest) in steps:
                await trio.sleep(pause_s)
                self.apply_step(simulation, action, *rest)
            simulation.core.faults = PlatformFaults()
            await trio.sleep(60)
            left = sum(vm.claims.unrecorded for vm in simulation.vms.values())
            self.assertEqual(0, left, "a result was never recorded")

        run_simulation(check, ("vm-1", "vm-2", "vm-3"))

    def apply_step(self, simulation, action, subject, *rest):
        if action == "duplicate":
            limit_s, send_s, result = rest
            simulation.nursery.start_soon(
                simulation.send_duplicate, subject, "k", limit_s, result, send_s
            )
        elif action == "fault":
            simulation.core.faults = PlatformFaults(**subject)
        elif action == "restart":
            simulation.restart_vm(subject)
        else:
            simulation.vms[subject].reachable = action == "reachable"


if __name__ == "__main__":
    unittest.main()
