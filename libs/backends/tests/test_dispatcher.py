import unittest

import trio
from fakes import ANSWERED, Rig, not_run, unknown

from zinnia_model.observations import ObservedResult
from zinnia_model.ownership import OwnershipState
from zinnia_model.reasons import Reason


class SendingTest(unittest.TestCase):
    def test_cold_replica_gets_one_request_at_a_time_until_it_is_warm(self):
        """Guards against full load on a replica in cold start (promise 3)."""
        rig = Rig()

        async def check():
            results = await rig.submit_and_wait(*(f"a{index}" for index in range(5)))
            self.assertEqual({ANSWERED}, set(results.values()))
            self.assertEqual(1, rig.backend.peak)
            await rig.warm_replica()
            await rig.submit_and_wait(*(f"b{index}" for index in range(20)))
            self.assertEqual(4, rig.backend.peak)
            self.assertLessEqual(len(rig.backend.connections), 5)

        rig.run(check)

    def test_restart_of_a_warm_replica_under_load_resets_the_limit(self):
        """Guards against queued work that is still sent at the warm limit after a restart."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            # When the connections break, 4 attempts are running and 4 are queued.
            rig.submit(*(f"a{index}" for index in range(8)))
            await trio.sleep(0.005)
            rig.backend.restart("start-2")
            await trio.sleep(0.02)
            rig.backend.peak = 0
            await rig.submit_and_wait("b")
            self.assertEqual(1, rig.backend.peak)

        rig.run(check)

    def test_response_to_another_request_is_never_delivered(self):
        """Guards against mixing up responses of attempts, shards or snapshots (promise 6)."""
        rig = Rig()

        async def check():
            for name in (b"x-attempt-id", b"x-shard", b"x-snapshot"):
                rig.backend.headers = {name: b"other"}
                attempt_id = name.decode()
                results = await rig.submit_and_wait(attempt_id)
                self.assertEqual(unknown(Reason.BACKEND_MISMATCH), results[attempt_id])
            self.assertEqual({b""}, {result.body for result in rig.results})
            self.assertTrue(all(connection.closed for connection in rig.backend.connections))

        rig.run(check)

    def test_refusals_are_reported_as_not_run_and_faults_as_unknown(self):
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
                self.assertEqual({f"a{index}": expected}, await rig.submit_and_wait(f"a{index}"))

        rig.run(check)

    def test_cancelled_run_counts_as_in_flight_until_the_backend_server_has_ended_it(self):
        """Guards against more requests than slots on a replica that ends cancelled runs late."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            slots = rig.backend.peak = rig.dispatcher.views()[0].limit
            rig.backend.delay_s, rig.backend.cancel_delay_s = 1.0, 0.04
            running = [f"running-{index}" for index in range(slots)]
            rig.submit(*running, *(f"next-{index}" for index in range(slots)))
            await trio.sleep(0.05)
            rig.dispatcher.cancel(running)
            await trio.sleep(0.2)
            self.assertEqual(slots, rig.backend.in_flight)
            self.assertEqual(slots, rig.backend.peak)

        rig.run(check)

    def test_process_paused_between_the_check_and_the_write_does_not_send(self):
        """Guards against a VM that was paused, lost its replica meanwhile and still sends to it."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            rig.backend.before_write = lambda: setattr(
                rig, "ownership_state", OwnershipState.NOT_OWNER
            )
            self.assertEqual({"a": not_run(Reason.NOT_OWNER)}, await rig.submit_and_wait("a"))
            self.assertEqual([], rig.backend.ran)

        rig.run(check)

    def test_cancelled_attempt_is_not_run_if_queued_or_connecting_and_unknown_if_running(self):
        """Guards against "not run" for a cancelled run, and against reuse of its connection."""
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
            self.assertEqual({"next": ANSWERED}, await rig.submit_and_wait("next"))

        rig.run(check)

    def test_expired_attempt_is_not_run_if_queued_and_unknown_if_running(self):
        """Guards against results long after the deadline, and "not run" for a request that ran."""
        rig = Rig()
        rig.backend.delay_s = 10.0

        async def check():
            base = trio.current_time()
            results = await rig.submit_and_wait("running", "waiting", deadline_s=0.3)
            self.assertEqual(unknown(Reason.DEADLINE), results["running"])
            self.assertEqual(not_run(Reason.DEADLINE), results["waiting"])
            self.assertLess(trio.current_time() - base, 0.35)
            self.assertIs(ObservedResult.FAULT, rig.observed[-1].result)

        rig.run(check)

    def test_shutdown_settles_queued_attempts_as_not_run_and_running_ones_as_unknown(self):
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
        self.assertTrue(all(connection.closed for connection in rig.backend.connections))

    def test_drain_refuses_new_work_and_waits_for_accepted_work(self):
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
