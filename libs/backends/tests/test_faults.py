import unittest

import trio
from fakes import ANSWERED, Rig, not_run, unknown

from zinnia_model.observations import ObservedResult
from zinnia_model.reasons import Outcome, Reason


class FaultTest(unittest.TestCase):
    def test_crashing_request_becomes_suspect_and_then_refused(self):
        """Guards against a request that is retried and crashes one backend server after another."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            for number in (2, 3):
                rig.backend.crashes = True
                rig.submit(f"crash-{number}", fingerprint="bad")
                await trio.sleep(0.005)
                rig.backend.start_id = f"start-{number}"
                await trio.sleep(0.1)
                rig.backend.crashes = False
                self.assertIs(Reason.BACKEND_CRASHED, rig.results[-1].reason)
                self.assertIs(Outcome.UNKNOWN, rig.results[-1].outcome)
            refused = await rig.submit_and_wait("again", fingerprint="bad")
            self.assertEqual({"again": not_run(Reason.CRASHES_BACKENDS)}, refused)
            self.assertEqual(
                {"good": ANSWERED}, await rig.submit_and_wait("good", fingerprint="good")
            )
            crash = [o for o in rig.observed if o.result is ObservedResult.CRASH]
            self.assertEqual([False, True], [o.suspect for o in crash])

        rig.run(check)

    def test_broken_connection_followed_by_a_refused_one_is_a_crash(self):
        """Guards against missing a crash after which the backend server stays down."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            rig.backend.crashes = rig.backend.refuses = True
            self.assertEqual({"a": unknown(Reason.BACKEND_CRASHED)}, await rig.submit_and_wait("a"))
            self.assertTrue(rig.view.cold)
            self.assertEqual(
                {"b": not_run(Reason.CONNECT_FAILED)},
                await rig.submit_and_wait("b", fingerprint="g"),
            )

        rig.run(check)

    def test_broken_connection_without_restart_is_not_a_crash_and_the_request_is_not_resent(self):
        """Guards against a second run of a request that may not be repeated (promise 8)."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            rig.backend.crashes = True
            results = await rig.submit_and_wait("a", repeatable=False)
            self.assertEqual({"a": unknown(Reason.CONNECTION_LOST)}, results)
            self.assertEqual(["a"], rig.backend.ran)
            self.assertEqual({"b": unknown(Reason.CONNECTION_LOST)}, await rig.submit_and_wait("b"))

        rig.run(check)

    def test_silent_connection_during_a_request_is_closed_within_two_seconds(self):
        """Guards against a request that hangs on a dead connection until its deadline."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            for connection in rig.backend.connections:
                connection.silent = True
            started_at = trio.current_time()
            self.assertEqual(
                {"a": unknown(Reason.CONNECTION_SILENT)}, await rig.submit_and_wait("a")
            )
            self.assertLessEqual(trio.current_time() - started_at, 2.0)

        rig.run(check)

    def test_silent_idle_connections_are_closed_within_two_seconds(self):
        """Guards against sending on a connection that became silent while idle."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            rig.backend.delay_s = 0.1
            await rig.submit_and_wait("a", "b", "c", "d")
            rig.backend.delay_s = 0.01
            silent = [c for c in rig.backend.connections if not c.closed]
            self.assertEqual(4, len(silent))
            for connection in silent:
                connection.silent = True
            await trio.sleep(2.0)
            self.assertTrue(all(connection.closed for connection in silent))
            self.assertEqual({"e": ANSWERED}, await rig.submit_and_wait("e"))

        rig.run(check)

    def test_long_request_that_the_server_lists_as_running_is_not_interrupted(self):
        """Guards against closing the connection of a request that is only slow."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            rig.backend.delay_s, rig.backend.lists_running = 3.0, True
            self.assertEqual({"a": ANSWERED}, await rig.submit_and_wait("a"))

        rig.run(check)

    def test_health_marks_cold_but_never_warm(self):
        """Guards against full load on a cold replica whose health endpoint reports it as warm."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
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
        """Guards against publishing a fact for each request under load."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            first = rig.facts.cursor
            for index in range(200):
                await rig.submit_and_wait(f"a{index}")
            elapsed_s = 200 * 0.011
            self.assertLessEqual(rig.facts.cursor - first, elapsed_s / 0.5 + 2)

        rig.run(check)


if __name__ == "__main__":
    unittest.main()
