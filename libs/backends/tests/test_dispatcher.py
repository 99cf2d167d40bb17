import unittest

import trio
from fakes import Rig

from zinnia_facts.table import Fact, FactKind
from zinnia_model.observations import ObservedResult
from zinnia_model.ownership import Standing
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord

ANSWERED = (Outcome.ANSWERED, None)


def not_run(reason):
    return Outcome.NOT_RUN, reason


def unknown(reason):
    return Outcome.UNKNOWN, reason


class SendingTest(unittest.TestCase):
    def test_cold_replica_gets_one_at_a_time_until_it_has_proved_itself(self):
        """Guards against full load on a replica in cold start (promise 3)."""
        rig = Rig()

        async def check():
            results = await rig.ask(*(f"a{index}" for index in range(5)))
            self.assertEqual({ANSWERED}, set(results.values()))
            self.assertEqual(1, rig.backend.peak)
            await rig.warm()
            await rig.ask(*(f"b{index}" for index in range(20)))
            self.assertEqual(4, rig.backend.peak)
            self.assertLessEqual(len(rig.backend.connections), 5)

        rig.run(check)

    def test_restart_of_a_warm_replica_under_load_resets_the_limit(self):
        """Guards against queued work that still runs at the warm limit after a restart."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.submit(*(f"a{index}" for index in range(8)))  # 4 break, 4 wait
            await trio.sleep(0.005)
            rig.backend.restart("start-2")
            await trio.sleep(0.02)
            rig.backend.peak = 0
            await rig.ask("b")
            self.assertEqual(1, rig.backend.peak)

        rig.run(check)

    def test_answer_of_another_request_is_never_delivered(self):
        """Guards against mixing up answers (promise 6)."""
        rig = Rig()

        async def check():
            for name in (b"x-attempt-id", b"x-shard", b"x-snapshot"):
                rig.backend.headers = {name: b"other"}
                attempt_id = name.decode()
                results = await rig.ask(attempt_id)
                self.assertEqual(unknown(Reason.BACKEND_MISMATCH), results[attempt_id])
            self.assertEqual({b""}, {result.body for result in rig.results})
            self.assertTrue(all(connection.closed for connection in rig.backend.connections))

        rig.run(check)

    def test_outcomes_of_refusals_and_faults_are_truthful(self):
        """Guards against "not run" for a fault and against "unknown" for a stated refusal."""
        cases = [
            (503, b"overloaded", not_run(Reason.BACKEND_OVERLOADED)),
            (503, b"cold", not_run(Reason.COLD)),
            (409, b"snapshot_gone", not_run(Reason.SNAPSHOT_GONE)),
            (504, b"deadline", not_run(Reason.DEADLINE)),
            (503, b"", unknown(Reason.BACKEND_FAULT)),
            (500, b"", unknown(Reason.BACKEND_FAULT)),
        ]
        rig = Rig()

        async def check():
            for index, (status, refusal, expected) in enumerate(cases):
                rig.backend.status, rig.backend.headers = status, {b"x-refusal": refusal}
                self.assertEqual({f"a{index}": expected}, await rig.ask(f"a{index}"))

        rig.run(check)

    def test_the_place_of_a_cancelled_run_is_held_until_the_backend_server_has_dropped_it(self):
        """Guards against more requests on a replica than slots when it notices a cancel late."""
        rig = Rig()

        async def check():
            await rig.warm()
            slots = rig.backend.peak = rig.dispatcher.views()[0].limit
            rig.backend.delay_s, rig.backend.cancel_s = 1.0, 0.04
            running = [f"running-{index}" for index in range(slots)]
            rig.submit(*running, *(f"next-{index}" for index in range(slots)))
            await trio.sleep(0.05)
            rig.dispatcher.cancel(running)
            await trio.sleep(0.2)
            self.assertEqual(slots, rig.backend.in_flight)
            self.assertEqual(slots, rig.backend.peak)

        rig.run(check)

    def test_a_process_paused_between_the_check_and_the_write_does_not_send(self):
        """Guards against an owner that wakes after its takeover and sends beside the new owner."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.backend.pause = lambda: setattr(rig, "standing", Standing.NOT_OWNER)
            self.assertEqual({"a": not_run(Reason.NOT_OWNER)}, await rig.ask("a"))
            self.assertEqual([], rig.backend.ran)

        rig.run(check)

    def test_cancel_of_waiting_connecting_and_running_attempts(self):
        """Guards against a false "not run" after a cancel and against reuse of its connection."""
        rig = Rig()
        rig.backend.delay_s = 1.0

        async def check():
            rig.submit("connecting", "waiting")
            await trio.sleep(0.001)
            rig.dispatcher.cancel(["connecting", "waiting", "unknown"])
            await trio.sleep(0.01)
            rig.submit("running")
            await trio.sleep(0.05)
            rig.dispatcher.cancel(["running"])
            await trio.sleep(0.05)
            outcomes = {r.attempt_id: (r.outcome, r.reason) for r in rig.results}
            expected = dict.fromkeys(("connecting", "waiting"), not_run(Reason.CANCELLED))
            self.assertEqual({**expected, "running": unknown(Reason.CANCELLED)}, outcomes)
            self.assertEqual(["running"], rig.backend.ran)
            rig.backend.delay_s = 0.01
            self.assertEqual({"next": ANSWERED}, await rig.ask("next"))

        rig.run(check)

    def test_deadline_in_queue_is_not_run_and_during_the_run_unknown(self):
        """Guards against results that come long after the deadline or claim too much."""
        rig = Rig()
        rig.backend.delay_s = 10.0

        async def check():
            base = trio.current_time()
            results = await rig.ask("running", "waiting", deadline_s=0.3)
            self.assertEqual(unknown(Reason.DEADLINE), results["running"])
            self.assertEqual(not_run(Reason.DEADLINE), results["waiting"])
            self.assertLess(trio.current_time() - base, 0.35)
            self.assertIs(ObservedResult.FAULT, rig.observed[-1].result)

        rig.run(check)

    def test_shutdown_settles_everything_truthfully(self):
        """Guards against attempts without a result, or "not run" for one that was written."""
        rig = Rig()
        rig.backend.delay_s = 10.0

        async def check():
            rig.submit("running", "waiting")
            await trio.sleep(0.05)

        rig.run(check)
        outcomes = {r.attempt_id: (r.outcome, r.reason) for r in rig.results}
        self.assertEqual(unknown(Reason.SHUTTING_DOWN), outcomes["running"])
        self.assertEqual(not_run(Reason.SHUTTING_DOWN), outcomes["waiting"])

    def test_drain_refuses_new_work_and_waits_for_old(self):
        """Guards against a planned stop that interrupts accepted work (promise 10)."""
        rig = Rig()

        async def check():
            rig.submit("a", "b")
            rig.dispatcher.begin_drain()
            rig.submit("c")
            self.assertEqual(0, await rig.dispatcher.drain(trio.current_time() + 5))
            outcomes = {r.attempt_id: (r.outcome, r.reason) for r in rig.results}
            self.assertEqual((ANSWERED, ANSWERED), (outcomes["a"], outcomes["b"]))
            self.assertEqual(not_run(Reason.SHUTTING_DOWN), outcomes["c"])

        rig.run(check)


class GateTest(unittest.TestCase):
    def test_every_check_is_made_again_after_connecting(self):
        """Guards against a send after ownership, data centre or version was withdrawn."""
        for standing, block, reason in (
            (Standing.NOT_OWNER, None, Reason.NOT_OWNER),
            (Standing.NO_MAJORITY, None, Reason.NO_MAJORITY),
            (Standing.OWNER, Reason.DATA_CENTRE_OUT, Reason.DATA_CENTRE_OUT),
        ):
            with self.subTest(reason=reason):
                self.check_withdrawn(standing, block, reason)

    def check_withdrawn(self, standing, block, reason):
        rig = Rig()

        async def check():
            rig.submit("connecting", "waiting")
            await trio.sleep(0.001)
            rig.standing, rig.block = standing, block
            await trio.sleep(0.1)
            outcomes = {r.attempt_id: (r.outcome, r.reason) for r in rig.results}
            self.assertEqual(dict.fromkeys(("connecting", "waiting"), not_run(reason)), outcomes)
            self.assertEqual([], rig.backend.ran)

        rig.run(check)

    def test_waiting_owner_holds_work_or_refuses_what_cannot_wait(self):
        """Guards against sending beside work of the last owner that still runs."""
        rig = Rig()

        async def check():
            rig.standing = Standing.WAITING
            rig.submit("patient", deadline_s=3.0)
            self.assertEqual(
                {"hasty": not_run(Reason.OWNER_WAITING)}, await rig.ask("hasty", deadline_s=0.5)
            )
            await trio.sleep(0.5)
            self.assertEqual([], rig.backend.ran)
            rig.standing = Standing.OWNER
            await trio.sleep(0.1)
            self.assertEqual(["patient"], rig.backend.ran)

        rig.run(check)

    def test_degraded_owner_sends_half_to_a_warm_replica_and_nothing_to_a_cold_one(self):
        """Guards against two owners that together overload a cold replica."""
        rig = Rig()

        async def check():
            rig.standing = Standing.DEGRADED
            self.assertEqual({"a": not_run(Reason.COLD)}, await rig.ask("a"))
            rig.standing = Standing.OWNER
            await rig.warm()
            rig.standing, rig.backend.peak = Standing.DEGRADED, 0
            await rig.ask(*(f"b{index}" for index in range(8)))
            self.assertEqual(2, rig.backend.peak)

        rig.run(check)

    def test_takeover_starts_cold_and_a_handover_stays_warm(self):
        """Guards against stale warmth after another VM owned the replica meanwhile."""
        rig = Rig()

        async def check():
            await rig.warm()
            states = rig.dispatcher.export_states()
            for handed, cold in ((states, False), ([], True)):
                rig.standing = Standing.NOT_OWNER
                await trio.sleep(1)
                rig.dispatcher.import_states(handed)
                rig.standing = Standing.OWNER
                await trio.sleep(0.3)
                self.assertEqual(cold, rig.view.cold)

        rig.run(check)

    def test_ceded_replica_is_handed_over_only_after_its_work_has_finished(self):
        """Guards against a next owner that sends beside work of this one."""
        rig = Rig(slots=1)

        async def check():
            await rig.warm()
            (state,) = rig.dispatcher.export_states()
            rig.backend.delay_s = 0.1
            rig.submit("running")
            await trio.sleep(0.05)
            rig.submit("waiting")
            rig.standing = Standing.NOT_OWNER
            started = trio.current_time()
            late = await rig.dispatcher.cede([state.replica], started + 0.01)
            (ceded,) = await rig.dispatcher.cede([state.replica], started + 1)
            self.assertLess(trio.current_time() - started, 0.1)
            self.assertEqual(([], False, 0), (late, ceded.cold, ceded.in_flight))
            self.assertEqual("running", rig.backend.ran[-1])
            outcomes = {r.attempt_id: (r.outcome, r.reason) for r in rig.results[-2:]}
            self.assertEqual(not_run(Reason.NOT_OWNER), outcomes["waiting"])

        rig.run(check)

    def test_draining_replica_gets_no_new_work_and_is_told_at_once(self):
        """Guards against work sent to a leaving backend server (promise 9)."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.backend.headers = {b"x-draining": b"1"}
            await rig.ask("a")
            state = ReplicaFact.model_validate_json(rig.published[-1].value)
            self.assertTrue(state.draining)
            self.assertEqual({"b": not_run(Reason.DRAINING)}, await rig.ask("b"))
            await trio.sleep(5)
            self.assertEqual({"c": not_run(Reason.DRAINING)}, await rig.ask("c"))
            rig.backend.restart("start-2")
            rig.backend.headers = {}
            await trio.sleep(3)
            self.assertEqual({"d": ANSWERED}, await rig.ask("d"))

        rig.run(check)

    def test_restart_sends_the_rest_of_the_queue_elsewhere_only_if_another_is_warm(self):
        """Guards against queries that wait at a cold replica beside a warm one."""
        rig = Rig()

        async def check():
            await rig.warm()
            records = [
                ReplicaRecord(id=name, address="h:1", data_centre="d", version="v1")
                for name in ("r", "other")
            ]
            rig.dispatcher.set_replicas("s", records[:1], {"shard": tuple(records)})
            state = ReplicaFact(replica="other", cold=False, limit=4).model_dump_json()
            now = trio.current_time()
            rig.facts.put(Fact(FactKind.REPLICA_STATE, "other", "vm-2", 1, state, 60.0), now)
            rig.submit(*(f"a{index}" for index in range(12)))
            rig.backend.start_id = "start-2"
            await trio.sleep(1)
            sent_on = [r for r in rig.results if r.reason is Reason.COLD]
            self.assertEqual(7, len(sent_on))
            self.assertEqual(12, len(rig.results))

        rig.run(check)


class FaultTest(unittest.TestCase):
    def test_crashing_request_is_suspect_then_refused(self):
        """Guards against one request that takes down every backend server in turn."""
        rig = Rig()

        async def check():
            await rig.warm()
            for number in (2, 3):
                rig.backend.crashes = True
                rig.submit(f"crash-{number}", fingerprint="bad")
                await trio.sleep(0.005)
                rig.backend.start_id = f"start-{number}"
                await trio.sleep(0.1)
                rig.backend.crashes = False
                self.assertIs(Reason.BACKEND_CRASHED, rig.results[-1].reason)
                self.assertIs(Outcome.UNKNOWN, rig.results[-1].outcome)
            refused = await rig.ask("again", fingerprint="bad")
            self.assertEqual({"again": not_run(Reason.CRASHES_BACKENDS)}, refused)
            self.assertEqual({"good": ANSWERED}, await rig.ask("good", fingerprint="good"))
            crash = [o for o in rig.observed if o.result is ObservedResult.CRASH]
            self.assertEqual([False, True], [o.suspect for o in crash])

        rig.run(check)

    def test_refused_connection_after_a_break_is_a_crash(self):
        """Guards against missing a crash whose backend server stays down."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.backend.crashes = rig.backend.refuses = True
            self.assertEqual({"a": unknown(Reason.BACKEND_CRASHED)}, await rig.ask("a"))
            self.assertTrue(rig.view.cold)
            self.assertEqual(
                {"b": not_run(Reason.CONNECT_FAILED)}, await rig.ask("b", fingerprint="g")
            )

        rig.run(check)

    def test_break_without_restart_is_not_a_crash_and_is_not_sent_again(self):
        """Guards against a second run of a request that may not be repeated (promise 8)."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.backend.crashes = True
            results = await rig.ask("a", repeatable=False)
            self.assertEqual({"a": unknown(Reason.CONNECTION_LOST)}, results)
            self.assertEqual(["a"], rig.backend.ran)
            self.assertEqual({"b": unknown(Reason.CONNECTION_LOST)}, await rig.ask("b"))

        rig.run(check)

    def test_silent_connection_during_a_request_is_closed_within_two_seconds(self):
        """Guards against a request that hangs on a dead connection until its deadline."""
        rig = Rig()

        async def check():
            await rig.warm()
            for connection in rig.backend.connections:
                connection.silent = True
            started_at = trio.current_time()
            self.assertEqual({"a": unknown(Reason.CONNECTION_SILENT)}, await rig.ask("a"))
            self.assertLessEqual(trio.current_time() - started_at, 2.0)

        rig.run(check)

    def test_silent_idle_connections_are_closed_within_two_seconds(self):
        """Guards against requests that meet a connection which went silent while idle."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.backend.delay_s = 0.1
            await rig.ask("a", "b", "c", "d")
            rig.backend.delay_s = 0.01
            silent = [c for c in rig.backend.connections if not c.closed]
            self.assertEqual(4, len(silent))
            for connection in silent:
                connection.silent = True
            await trio.sleep(2.0)
            self.assertTrue(all(connection.closed for connection in silent))
            self.assertEqual({"e": ANSWERED}, await rig.ask("e"))

        rig.run(check)

    def test_long_request_that_the_server_lists_is_left_alone(self):
        """Guards against interrupting work that is only slow."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.backend.delay_s, rig.backend.listing = 3.0, True
            self.assertEqual({"a": ANSWERED}, await rig.ask("a"))

        rig.run(check)

    def test_health_marks_cold_but_never_warm(self):
        """Guards against load on a replica whose health endpoint claims too much."""
        rig = Rig()

        async def check():
            await rig.warm()
            rig.backend.health = {"cold": "true"}
            await trio.sleep(3)
            self.assertTrue(rig.view.cold)
            rig.backend.health = {"cold": "false"}
            await trio.sleep(10)
            self.assertTrue(rig.view.cold)

        rig.run(check)

    def test_connections_stay_within_their_limit(self):
        """Guards against health requests that exceed the backend server's connection limit."""
        rig = Rig(slots=2, connections=2)

        async def check():
            for index in range(60):
                rig.submit(f"a{index}", f"b{index}", f"c{index}", deadline_s=2.0)
                rig.backend.delay_s = 0.7 if index % 7 == 0 else 0.01
                for _ in range(10):
                    await trio.sleep(0.03)
                    opened = [c for c in rig.backend.connections if not c.closed]
                    self.assertLessEqual(len(opened), 2)
            self.assertLessEqual(rig.backend.peak, 2)

        rig.run(check)

    def test_load_is_published_at_most_every_half_second(self):
        """Guards against a flood of facts under load."""
        rig = Rig()

        async def check():
            await rig.warm()
            first = rig.facts.cursor
            for index in range(200):
                await rig.ask(f"a{index}")
            elapsed_s = 200 * 0.011
            self.assertLessEqual(rig.facts.cursor - first, elapsed_s / 0.5 + 2)

        rig.run(check)


if __name__ == "__main__":
    unittest.main()
