import unittest

import trio
import trio.testing

from zinnia_catalog.members import Member
from zinnia_catalog.routes import Repeatability, Route
from zinnia_delegation import links
from zinnia_delegation.links import ALIVE_TIMEOUT_S, PING_INTERVAL_S, LinkState, PeerLink
from zinnia_delegation.messages import GREETING, Reply, ReplyKind
from zinnia_delegation.server import SubqueryHandler, SubqueryServer
from zinnia_relay.frames import FrameStream
from zinnia_relay.messages import encode
from zinnia_sending.attempts import RunRequest
from zinnia_sending.delegation import (
    Assignment,
    Delegation,
    DelegationEnd,
    DelegationListener,
    PartialResult,
    ShardFailure,
)
from zinnia_sending.events import NullSink
from zinnia_sending.protocol import PreparedRequest

SERVICES = ("s0", "s1", "s2")


class Prepared(PreparedRequest):
    request_id = b"id"
    is_head = False

    def render(self, replica, remaining_s):
        return b""

    def pack(self):
        return b"packed \xff bytes"


class Recorder(DelegationListener):
    def __init__(self):
        self.results = []
        self.ends = []

    def take_result(self, delegation, result):
        self.results.append(result)

    def end_delegation(self, delegation, end):
        self.ends.append(end)


class ScriptedRun:
    """Reports what a test says; a run without a script waits."""

    def __init__(self, start, report, results):
        self.start = start
        self.is_answered = False
        self.hedge_in_s = 0.02
        self._report = report
        self._results = results
        self.was_cancelled = False
        self.has_begun = False

    async def run(self):
        self.has_begun = True
        if self._results is None:
            return False
        try:
            for delay_s, result, is_last in self._results:
                await trio.sleep(delay_s)
                self._report(result, is_last)
            if not self._results:
                await trio.sleep_forever()
        except trio.Cancelled:
            self.was_cancelled = True
            raise
        return True


class ScriptedHandler(SubqueryHandler):
    def __init__(self, results):
        self.results = results
        self.runs = []
        self.ends = []

    def make_run(self, start, report):
        run = ScriptedRun(start, report, self.results)
        self.runs.append(run)
        return run

    def note_end(self, start, run, is_cancelled):
        self.ends.append(is_cancelled)


def make_delegation(recorder, report_in_s=0.05):
    now = trio.current_time()
    route = Route("r", "h", "/", Repeatability.IDEMPOTENT, 1.0, 0.1, 0, 2, (), SERVICES, 10, 0.9)
    request = RunRequest("id", route, SERVICES, True, Prepared(), now, now + 0.1, now + 1.0, None)
    assignment = Assignment("vm-2", SERVICES)
    return Delegation(assignment, request, {}, now + report_in_s, 1, recorder, written_at=now)


class LinkTest(unittest.TestCase):
    """A link and a server, connected in memory."""

    def play(self, test, results=(), capacity=1.0, answers=True):
        """Run ``test`` with a link that is open; without ``answers`` the peer says nothing."""

        async def main():
            handler = ScriptedHandler(results)
            server = SubqueryServer(handler, capacity, NullSink())
            streams = []

            async def accept(host, port):
                near, far = trio.testing.memory_stream_pair()
                streams.append((near, far))
                nursery.start_soon(serve, far)
                return near

            async def serve(stream):
                frames = FrameStream(stream)
                self.assertEqual(GREETING, await frames.receive())
                if answers:
                    await server.serve(frames)

            original, links.open_stream = links.open_stream, accept
            try:
                async with trio.open_nursery() as nursery:
                    link = PeerLink(
                        Member("vm-1", "h:1", "dc1"), Member("vm-2", "h:1", "dc1"), NullSink()
                    )
                    nursery.start_soon(link.run)
                    await trio.sleep(0.01)
                    await test(link, handler, server, streams)
                    nursery.cancel_scope.cancel()
            finally:
                links.open_stream = original

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_results_come_back_whole(self):
        """Guards against shards that are taken for each other on the way."""
        result = PartialResult(
            (("s2", b"sig2"), ("s0", b"\xff\x00")), b"\x00\xfe" * 8, (ShardFailure("s1", 2),)
        )

        async def test(link, handler, server, streams):
            recorder = Recorder()
            link.start(make_delegation(recorder))
            await trio.sleep(0.1)
            self.assertEqual(([result], []), (recorder.results, recorder.ends))
            start = handler.runs[0].start
            self.assertEqual(
                (b"packed \xff bytes", list(SERVICES)), (start.request, start.services)
            )
            self.assertAlmostEqual(50_000, start.report_in_us, delta=100)
            self.assertFalse(link.is_busy)

        self.play(test, [(0.01, result, True)])

    def test_fault_of_one_run_leaves_the_others(self):
        """Guards against a process that ends because of one request."""

        async def test(link, handler, server, streams):
            recorders = [Recorder(), Recorder()]
            link.start(make_delegation(recorders[0]))
            await trio.sleep(0.01)
            handler.results = [(0.01, PartialResult((), b""), True)]
            link.start(make_delegation(recorders[1]))
            await trio.sleep(0.05)
            self.assertEqual([0, 1], [len(row.results) for row in recorders])

        self.play(test, results=["no result"])

    def test_reply_that_names_no_shard_closes_the_connection(self):
        """Guards against a process that ends because a peer has another version."""

        async def test(link, handler, server, streams):
            recorder = Recorder()
            link.start(make_delegation(recorder))
            far = FrameStream(streams[0][1])
            await far.send(encode(Reply(1, ReplyKind.RESULT.value, [99], [b"sig"])))
            await trio.sleep(0.01)
            self.assertEqual(([], [DelegationEnd.LOST]), (recorder.results, recorder.ends))

        self.play(test)

    def test_acceptance_is_told_before_the_first_result(self):
        """Guards against a VM that is given up while it works."""

        async def test(link, handler, server, streams):
            delegation = make_delegation(Recorder())
            link.start(delegation)
            await trio.sleep(0.001)
            self.assertTrue(delegation.is_accepted)
            self.assertAlmostEqual(trio.current_time() + 0.02, delegation.hedge_at, delta=0.002)

        self.play(test)

    def test_end_of_the_request_cancels_the_run(self):
        """Guards against replicas that work on for a caller who is gone."""

        async def test(link, handler, server, streams):
            delegation = make_delegation(Recorder())
            link.start(delegation)
            await trio.sleep(0.01)
            link.finish(delegation, True)
            await trio.sleep(0.01)
            self.assertTrue(handler.runs[0].was_cancelled)
            self.assertTrue(handler.runs[0].is_answered)
            self.assertEqual([True], handler.ends)

        self.play(test)

    def test_end_that_arrives_with_its_start_sends_nothing(self):
        """Load pattern: a VM freezes for seconds; its callers are gone when it wakes.

        Guards against replicas that get old requests with a deadline that looks new.
        """

        async def test(link, handler, server, streams):
            delegation = make_delegation(Recorder())
            link.start(delegation)
            link.finish(delegation, False)
            await trio.sleep(0.01)
            self.assertEqual(
                ([False], [True]), ([row.has_begun for row in handler.runs], handler.ends)
            )

        self.play(test)

    def test_lost_connection_ends_delegations_and_runs(self):
        """Load pattern: VMs are killed, or reset each other's connections."""

        async def test(link, handler, server, streams):
            recorder = Recorder()
            link.start(make_delegation(recorder))
            await trio.sleep(0.01)
            near, far = streams[0]
            await far.send_stream.aclose()
            await near.send_stream.aclose()
            await trio.sleep(0.01)
            self.assertEqual([DelegationEnd.LOST], recorder.ends)
            self.assertTrue(handler.runs[0].was_cancelled)
            self.assertFalse(link.is_usable)
            await trio.sleep(1.0)
            self.assertTrue(link.is_usable)

        self.play(test)

    def test_vm_that_stops_refuses_and_is_left_alone(self):
        """Load pattern: VMs are stopped and started in turn while they answer."""

        async def test(link, handler, server, streams):
            recorder = Recorder()
            server.is_stopping = True
            link.start(make_delegation(recorder))
            await trio.sleep(0.01)
            self.assertEqual([DelegationEnd.REFUSED], recorder.ends)
            self.assertFalse(link.is_usable)

        self.play(test)

    def test_vm_with_too_much_work_refuses_more(self):
        """Load pattern: more fan-outs than the fastest VMs bear; the others send for themselves."""

        async def test(link, handler, server, streams):
            recorders = [Recorder(), Recorder()]
            for recorder in recorders:
                link.start(make_delegation(recorder))
                await trio.sleep(0.01)
            self.assertEqual([[], [DelegationEnd.REFUSED]], [row.ends for row in recorders])
            await trio.sleep(0.2)
            self.assertTrue(link.is_usable)

        self.play(test, capacity=0.01)

    def test_vm_without_replicas_refuses(self):
        """Guards against a refusal that is taken for sends that may have run."""

        async def test(link, handler, server, streams):
            recorder = Recorder()
            link.start(make_delegation(recorder))
            await trio.sleep(0.01)
            self.assertEqual([DelegationEnd.REFUSED], recorder.ends)

        self.play(test, results=None)

    def test_silent_connection_is_replaced(self):
        """Load pattern: connections go silent for good while new ones work."""

        async def test(link, handler, server, streams):
            recorder = Recorder()
            link.start(make_delegation(recorder))
            self.assertEqual(
                ([DelegationEnd.NOT_SENT], LinkState.CLOSED), (recorder.ends, link.state)
            )
            await trio.sleep(PING_INTERVAL_S + 2 * ALIVE_TIMEOUT_S)
            self.assertGreater(len(streams), 1)
            self.assertTrue(link.is_failing)

        self.play(test, answers=False)

    def test_silence_makes_a_vm_unusable_until_it_says_something(self):
        """Load pattern: a VM freezes for seconds and wakes again."""

        async def test(link, handler, server, streams):
            link.note_silence()
            self.assertFalse(link.is_usable)
            await trio.sleep(0.01)
            self.assertTrue(link.is_usable)

        self.play(test)
