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


class HookedStore(FakeObjectStore):
    """Calls a hook after each write that took effect, before its reply arrives."""

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
    store: HookedStore
    scopes: list[trio.CancelScope] = field(default_factory=list)
    reachable: bool = True

    def kill(self):
        self.reachable = False
        for scope in self.scopes:
            scope.cancel()


class World:
    def __init__(self, nursery):
        self.core = PlatformCore()
        self.vms: dict[str, Vm] = {}
        self.nursery = nursery
        self.ran = Counter()
        self.results = defaultdict(list)
        self.violations = []

    def start_vm(self, name):
        store = HookedStore(self.core)
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

    async def copy(
        self, name, key="k", limit_s=2.0, result=ANSWERED, send_s=0.05, body="b", is_first=False
    ):
        """Run one copy of a request on a VM and check the truth of what it returns."""
        vm, sent = self.vms[name], []

        async def send(attempt_id):
            if result.outcome is not Outcome.NOT_RUN:
                sent.append(attempt_id)
                self.ran[key] += 1
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
                    self.violations.append(("not run, but this copy was sent", answer))
                if self.ran[key] and answer.reason is not Reason.KEY_REUSE:
                    self.violations.append(("not run, but another copy was sent", answer))
            return answer


def run_world(check, vms=("vm-1", "vm-2")):
    clock = MockClock(autojump_threshold=0)

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery)
            world.clock = clock
            for name in vms:
                world.start_vm(name)
            await check(world)
            nursery.cancel_scope.cancel()
        return world

    world = trio.run(main, clock=clock)
    assert not world.violations, world.violations
    assert all(runs <= 1 for runs in world.ran.values()), world.ran
    return world


class ClaimsTest(unittest.TestCase):
    def test_racing_copies_on_two_vms_run_once_and_get_the_same_answer(self):
        async def check(world):
            async with trio.open_nursery() as nursery:
                for name in ("vm-1", "vm-2", "vm-1", "vm-2"):
                    nursery.start_soon(world.copy, name)

        self.assertEqual([ANSWERED] * 4, run_world(check).results["k"])

    def test_recorded_answer_survives_the_restart_of_all_vms(self):
        async def check(world):
            await world.copy("vm-1")
            self.assertEqual(0, await world.vms["vm-1"].claims.flush(trio.current_time() + 1))
            for name in ("vm-1", "vm-2"):
                world.restart_vm(name)
            self.assertEqual(ANSWERED, await world.copy("vm-1"))
            self.assertEqual(ANSWERED, await world.vms["vm-2"].claims.look_up(SERVICE, "k"))
            self.assertIsNone(await world.vms["vm-2"].claims.look_up(SERVICE, "other"))

        run_world(check)

    def test_restart_of_all_vms_during_a_run_leaves_its_outcome_unknown(self):
        async def check(world):
            world.nursery.start_soon(world.copy, "vm-1", "k", 9.0, ANSWERED, 5.0)
            await trio.sleep(0.1)
            for name in ("vm-1", "vm-2"):
                world.restart_vm(name)
            for name in ("vm-1", "vm-2"):
                self.assertIs(Reason.HOLDER_LOST, (await world.copy(name)).reason)

        run_world(check)

    def test_lost_reply_of_the_claim_is_read_back(self):
        async def check(world):
            world.core.set_faults({"lose_replies": 1})
            self.assertEqual(ANSWERED, await world.copy("vm-1"))

        run_world(check)

    def test_unconfirmed_claim_never_sends_and_is_released_later(self):
        async def check(world):
            world.core.set_faults({"lose_replies": -1, "late_write_s": 3.0})
            unconfirmed = await world.copy("vm-1")
            self.assertEqual(
                (Outcome.UNKNOWN, Reason.CLAIMS_UNAVAILABLE),
                (unconfirmed.outcome, unconfirmed.reason),
            )
            world.core.set_faults({"lose_replies": 0})
            await trio.sleep(20)
            self.assertEqual(0, world.vms["vm-1"].claims.unrecorded)
            self.assertEqual(ANSWERED, await world.copy("vm-2"))

        run_world(check)

    def test_late_takeover_of_a_released_record_does_not_block_the_key(self):
        async def check(world):
            await world.copy("vm-1", result=REFUSED)
            await trio.sleep(1)
            world.core.set_faults({"lose_replies": -1, "late_write_s": 300.0})
            self.assertIs(Outcome.UNKNOWN, (await world.copy("vm-2")).outcome)
            world.core.set_faults({"lose_replies": 0})
            await trio.sleep(600)
            self.assertEqual(ANSWERED, await world.copy("vm-1"))

        run_world(check)

    def test_copy_on_another_vm_in_an_outage_does_not_deny_the_run(self):
        """Guards against "not run" about a request that ran on a VM the copy cannot ask."""

        async def check(world):
            await world.copy("vm-1")
            world.core.set_faults({"outage": True})
            self.assertIs(Outcome.UNKNOWN, (await world.copy("vm-2")).outcome)

        run_world(check)

    def test_platform_outage_refuses_and_keeps_results_for_later(self):
        async def check(world):
            world.nursery.start_soon(world.copy, "vm-1", "k", 5.0, ANSWERED, 1.0)
            await trio.sleep(0.5)
            world.core.set_faults({"outage": True})
            refused = await world.copy("vm-1", "new")
            self.assertEqual(Outcome.UNKNOWN, refused.outcome)
            first = await world.copy("vm-1", "first", is_first=True)
            self.assertEqual(Outcome.NOT_RUN, first.outcome)
            self.assertEqual(0, world.ran["new"] + world.ran["first"])
            await trio.sleep(3600)
            self.assertEqual(ANSWERED, await world.copy("vm-1"))
            world.core.set_faults({"outage": False})
            await trio.sleep(10)
            self.assertEqual("done", world.core.list(CLAIM_KIND)[0][0].value["state"])

        run_world(check)

    def test_holder_killed_after_the_claim_is_never_replaced(self):
        async def check(world):
            vm = world.vms["vm-1"]
            vm.store.after_put = trio.sleep_forever
            world.nursery.start_soon(world.copy, "vm-1")
            await trio.sleep(0.1)
            vm.kill()
            self.assertIs(Reason.HOLDER_LOST, (await world.copy("vm-2")).reason)

        self.assertEqual(0, run_world(check).ran["k"])

    def test_holder_paused_after_the_claim_does_not_send_past_its_deadline(self):
        async def check(world):
            async def pause():
                world.clock.jump(80_000)

            world.vms["vm-1"].store.after_put = pause
            self.assertIs(Outcome.NOT_RUN, (await world.copy("vm-1")).outcome)
            self.assertEqual(ANSWERED, await world.copy("vm-2"))

        run_world(check)

    def test_holder_paused_during_its_run_is_not_replaced(self):
        async def check(world):
            world.nursery.start_soon(world.copy, "vm-1", "k", 1e6, ANSWERED, 80_000)
            await trio.sleep(0.1)
            world.vms["vm-1"].reachable = False
            self.assertIs(Reason.HOLDER_LOST, (await world.copy("vm-2")).reason)
            world.vms["vm-1"].reachable = True
            self.assertIs(Reason.IN_PROGRESS, (await world.copy("vm-2")).reason)
            self.assertIs(Reason.IN_PROGRESS, (await world.copy("vm-1")).reason)
            await trio.sleep(80_000)
            self.assertEqual(ANSWERED, await world.copy("vm-2"))

        run_world(check)

    def test_interrupted_send_is_recorded_as_unknown(self):
        async def check(world):
            with trio.move_on_after(0.1):
                await world.copy("vm-1", send_s=5.0)
            await trio.sleep(1)
            self.assertIs(Outcome.UNKNOWN, (await world.copy("vm-2")).outcome)

        run_world(check)

    def test_refused_run_releases_the_key_and_another_body_is_refused(self):
        async def check(world):
            self.assertEqual(REFUSED, await world.copy("vm-1", result=REFUSED))
            self.assertEqual(ANSWERED, await world.copy("vm-2"))
            for name in ("vm-1", "vm-2"):
                reused = await world.copy(name, body="other")
                self.assertIs(Reason.KEY_REUSE, reused.reason)

        run_world(check)

    def test_answer_too_large_to_keep_is_unknown_to_later_copies(self):
        async def check(world):
            large = CommandResult(Outcome.ANSWERED, body=b"x" * 70_000)
            self.assertEqual(large, await world.copy("vm-1", result=large))
            await trio.sleep(1)
            later = await world.copy("vm-2")
            self.assertEqual((Outcome.UNKNOWN, b""), (later.outcome, later.body))

        run_world(check)

    def test_sweep_deletes_only_old_records_at_a_low_call_rate(self):
        async def check(world):
            for number in range(5):
                await world.copy("vm-1", f"old-{number}")
            await trio.sleep(23 * 3600)
            await world.copy("vm-1", "young")
            before = world.core.counts["writes"]
            await trio.sleep(3 * 3600)
            self.assertEqual(1, len(world.core.list(CLAIM_KIND)[0]))
            self.assertLess(world.core.counts["writes"] - before, 20)

        run_world(check)

    def test_unknown_attempt_is_forgotten_and_not_denied(self):
        async def check(world):
            answer = world.vms["vm-1"].claims.answer_holder_query(SERVICE, "k", "vm-1-0-1")
            self.assertIs(HolderState.FORGOTTEN, answer.state)

        run_world(check)


COPY = st.tuples(
    st.just("copy"),
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
STEP = st.tuples(st.sampled_from([0.0, 0.01, 0.2, 1.0]), st.one_of(COPY, COPY, FAULT, VM_FAULT))


class ClaimsUnderFaultsTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(STEP, max_size=25))
    def test_a_key_runs_at_most_once_and_not_run_is_true(self, steps):
        async def check(world):
            for pause_s, (action, *rest) in steps:
                await trio.sleep(pause_s)
                self.act(world, action, *rest)
            world.core.faults = PlatformFaults()
            await trio.sleep(60)
            left = sum(vm.claims.unrecorded for vm in world.vms.values())
            self.assertEqual(0, left, "a result never reached its record")

        run_world(check, ("vm-1", "vm-2", "vm-3"))

    def act(self, world, action, subject, *rest):
        if action == "copy":
            limit_s, send_s, result = rest
            world.nursery.start_soon(world.copy, subject, "k", limit_s, result, send_s)
        elif action == "fault":
            world.core.faults = PlatformFaults(**subject)
        elif action == "restart":
            world.restart_vm(subject)
        else:
            world.vms[subject].reachable = action == "reachable"


if __name__ == "__main__":
    unittest.main()
