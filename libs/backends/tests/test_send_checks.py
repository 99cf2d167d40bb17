import unittest

import trio
from fakes import ANSWERED, Rig, not_run

from zinnia_facts.table import Fact, FactKind
from zinnia_model.ownership import OwnershipState
from zinnia_model.reasons import Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord


class SendCheckerTest(unittest.TestCase):
    def test_every_check_is_repeated_after_connecting(self):
        """Guards against a send after ownership, data centre or version was withdrawn."""
        for ownership_state, block, reason in (
            (OwnershipState.NOT_OWNER, None, Reason.NOT_OWNER),
            (OwnershipState.NO_MAJORITY, None, Reason.NO_MAJORITY),
            (OwnershipState.OWNER, Reason.DATA_CENTRE_OUT, Reason.DATA_CENTRE_OUT),
        ):
            with self.subTest(reason=reason):
                self.check_withdrawn(ownership_state, block, reason)

    def check_withdrawn(self, ownership_state, block, reason):
        rig = Rig()

        async def check():
            rig.submit("connecting", "waiting")
            await trio.sleep(0.001)
            rig.ownership_state, rig.block = ownership_state, block
            await trio.sleep(0.1)
            outcomes = {r.attempt_id: (r.outcome, r.reason) for r in rig.results}
            self.assertEqual(dict.fromkeys(("connecting", "waiting"), not_run(reason)), outcomes)
            self.assertEqual([], rig.backend.ran)

        rig.run(check)

    def test_waiting_owner_queues_work_or_refuses_it_if_its_deadline_is_too_near(self):
        """Guards against sending while work of the last owner still runs."""
        rig = Rig()

        async def check():
            rig.ownership_state = OwnershipState.WAITING
            rig.submit("patient", deadline_s=3.0)
            self.assertEqual(
                {"hasty": not_run(Reason.OWNER_WAITING)},
                await rig.submit_and_wait("hasty", deadline_s=0.5),
            )
            await trio.sleep(0.5)
            self.assertEqual([], rig.backend.ran)
            rig.ownership_state = OwnershipState.OWNER
            await trio.sleep(0.1)
            self.assertEqual(["patient"], rig.backend.ran)

        rig.run(check)

    def test_degraded_owner_sends_half_to_a_warm_replica_and_nothing_to_a_cold_one(self):
        """Guards against two owners that together overload a cold replica, or exceed its slots."""
        rig = Rig()

        async def check():
            rig.ownership_state = OwnershipState.DEGRADED
            self.assertEqual({"a": not_run(Reason.COLD)}, await rig.submit_and_wait("a"))
            rig.ownership_state = OwnershipState.OWNER
            await rig.warm_replica()
            rig.ownership_state, rig.backend.peak = OwnershipState.DEGRADED, 0
            await rig.submit_and_wait(*(f"b{index}" for index in range(8)))
            self.assertEqual(2, rig.backend.peak)

        rig.run(check)

    def test_replica_is_cold_after_a_takeover_and_stays_warm_after_a_handover(self):
        """Guards against an outdated warm state after another VM owned the replica."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            states = rig.dispatcher.export_states()
            for handed_over, cold in ((states, False), ([], True)):
                rig.ownership_state = OwnershipState.NOT_OWNER
                await trio.sleep(1)
                rig.dispatcher.import_states(handed_over)
                rig.ownership_state = OwnershipState.OWNER
                await trio.sleep(0.3)
                self.assertEqual(cold, rig.view.cold)

        rig.run(check)

    def test_released_replica_is_handed_over_only_after_its_work_has_finished(self):
        """Guards against a next owner that sends while work of the last owner still runs."""
        rig = Rig(slots=1)

        async def check():
            await rig.warm_replica()
            (state,) = rig.dispatcher.export_states()
            rig.backend.delay_s = 0.1
            rig.submit("running")
            await trio.sleep(0.05)
            rig.submit("waiting")
            rig.ownership_state = OwnershipState.NOT_OWNER
            started = trio.current_time()
            late = await rig.dispatcher.release_replicas([state.replica], started + 0.01)
            (released,) = await rig.dispatcher.release_replicas([state.replica], started + 1)
            self.assertLess(trio.current_time() - started, 0.1)
            self.assertEqual(([], False, 0), (late, released.cold, released.in_flight))
            self.assertEqual("running", rig.backend.ran[-1])
            outcomes = {r.attempt_id: (r.outcome, r.reason) for r in rig.results[-2:]}
            self.assertEqual(not_run(Reason.NOT_OWNER), outcomes["waiting"])

        rig.run(check)

    def test_draining_replica_gets_no_new_work_and_is_published_at_once(self):
        """Guards against work sent to a backend server that is shutting down (promise 9)."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
            rig.backend.headers = {b"x-draining": b"1"}
            await rig.submit_and_wait("a")
            state = ReplicaFact.model_validate_json(rig.published[-1].value)
            self.assertTrue(state.draining)
            self.assertEqual({"b": not_run(Reason.DRAINING)}, await rig.submit_and_wait("b"))
            await trio.sleep(5)
            self.assertEqual({"c": not_run(Reason.DRAINING)}, await rig.submit_and_wait("c"))
            rig.backend.restart("start-2")
            rig.backend.headers = {}
            await trio.sleep(3)
            self.assertEqual({"d": ANSWERED}, await rig.submit_and_wait("d"))

        rig.run(check)

    def test_restart_refuses_the_rest_of_the_queue_only_if_another_replica_is_warm(self):
        """Guards against queries queued at a cold replica while another replica is warm."""
        rig = Rig()

        async def check():
            await rig.warm_replica()
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
