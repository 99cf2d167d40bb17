import unittest

import trio
import trio.testing
from fakes import FakePreparedRequest

from zinnia_catalog.members import Member
from zinnia_catalog.routes import Repeatability, Route
from zinnia_delegation import links
from zinnia_delegation.links import PING_INTERVAL_S, PING_TIMEOUT_S, LinkState, PeerLink
from zinnia_delegation.messages import DELEGATION_PROTOCOL_ID, Reply, ReplyKind
from zinnia_delegation.ranking import LOCAL_REPORT_LEAD_S
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

SERVICES = ("s0", "s1", "s2")


class RecordingListener(DelegationListener):
    def __init__(self):
        self.results = []
        self.ends = []
        self.wanted = []

    def handle_result(self, delegation, result):
        self.results.append(result)

    def permit_sends(self, delegation, services):
        self.wanted.append(services)
        return services[:1]

    def handle_delegation_end(self, delegation, end):
        self.ends.append(end)


class ScriptedRun:
    """Reports given results after given delays.

    An empty list waits forever; None refuses the run.
    """

    def __init__(self, start, reporter, results):
        self.start = start
        self.is_answered = False
        self.permitted = []
        self.reporter = reporter
        self._results = results
        self.was_cancelled = False
        self.is_started = False

    def permit_sends(self, services):
        self.permitted.append(services)

    async def run(self):
        self.is_started = True
        if self._results is None:
            return False
        try:
            for delay_s, result, is_last in self._results:
                await trio.sleep(delay_s)
                self.reporter.report(result, is_last)
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

    def make_run(self, start, reporter):
        run = ScriptedRun(start, reporter, self.results)
        self.runs.append(run)
        return run

    def note_end(self, start, run, is_cancelled):
        self.ends.append(is_cancelled)


def make_delegation(listener, report_in_s=0.05):
    now = trio.current_time()
    route = Route("r", "h", "/", Repeatability.IDEMPOTENT, 1.0, 0.1, 0, 2, (), SERVICES, 10, 0.9)
    request = RunRequest(
        "id", route, SERVICES, True, FakePreparedRequest(), now, now + 0.1, now + 1.0, None
    )
    assignment = Assignment("vm-2", SERVICES, "dc1", LOCAL_REPORT_LEAD_S)
    return Delegation(assignment, request, {}, now + report_in_s, 1, listener, written_at=now)


class LinkTest(unittest.TestCase):
    """Runs a link and a server that are connected in memory."""

    def run_link(self, test, results=(), capacity=1.0, answers=True):
        """Run ``test`` with a connected link; without ``answers`` the peer sends nothing."""

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
                self.assertEqual(DELEGATION_PROTOCOL_ID, await frames.receive())
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

    def test_result_is_returned_unchanged(self):
        """Guards against encoding that confuses shards or changes their records."""
        result = PartialResult(
            (("s2", b"sig2"), ("s0", b"\xff\x00")),
            b"\x00\xfe" * 8,
            (ShardFailure("s1", 2, has_misdirected=True),),
        )

        async def test(link, handler, server, streams):
            listener = RecordingListener()
            link.start(make_delegation(listener))
            await trio.sleep(0.1)
            self.assertEqual(([result], []), (listener.results, listener.ends))
            start = handler.runs[0].start
            self.assertEqual(
                (b"packed \xff bytes", list(SERVICES)), (start.request, start.services)
            )
            self.assertAlmostEqual(50_000, start.report_in_us, delta=100)
            self.assertFalse(link.is_busy)

        self.run_link(test, [(0.01, result, True)])

    def test_error_in_one_run_leaves_the_others_unaffected(self):
        """Guards against a process that exits because of one request."""

        async def test(link, handler, server, streams):
            listeners = [RecordingListener(), RecordingListener()]
            link.start(make_delegation(listeners[0]))
            await trio.sleep(0.01)
            handler.results = [(0.01, PartialResult((), b""), True)]
            link.start(make_delegation(listeners[1]))
            await trio.sleep(0.05)
            self.assertEqual([0, 1], [len(row.results) for row in listeners])

        self.run_link(test, results=["no result"])

    def test_reply_with_an_unknown_shard_closes_the_connection(self):
        """Guards against a process that exits because a peer runs another version."""

        async def test(link, handler, server, streams):
            listener = RecordingListener()
            link.start(make_delegation(listener))
            far = FrameStream(streams[0][1])
            await far.send(encode(Reply(1, ReplyKind.RESULT.value, [99], [b"sig"])))
            await trio.sleep(0.01)
            self.assertEqual(([], [DelegationEnd.LOST]), (listener.results, listener.ends))

        self.run_link(test)

    def test_acceptance_is_sent_before_the_first_result(self):
        """Guards against treating a VM as silent while its run is in progress."""

        async def test(link, handler, server, streams):
            delegation = make_delegation(RecordingListener())
            link.start(delegation)
            await trio.sleep(0.001)
            self.assertTrue(delegation.is_accepted)

        self.run_link(test)

    def test_vm_learns_which_sends_are_permitted(self):
        """Guards against permissions for other shards than those that were asked for."""

        async def test(link, handler, server, streams):
            listener = RecordingListener()
            delegation = make_delegation(listener)
            link.start(delegation)
            await trio.sleep(0.01)
            run = handler.runs[0]
            run.reporter.ask_permission(["s2", "s1"])
            await trio.sleep(0.01)
            self.assertEqual(([["s2", "s1"]], [["s2"]]), (listener.wanted, run.permitted))
            delegation.end(DelegationEnd.SILENT)
            run.reporter.ask_permission(["s0"])
            await trio.sleep(0.01)
            self.assertEqual(([["s2", "s1"]], [["s2"]]), (listener.wanted, run.permitted))

        self.run_link(test)

    def test_permission_for_a_run_that_has_ended_is_ignored(self):
        """Guards against a connection that breaks off because a permission comes late."""

        async def test(link, handler, server, streams):
            link.start(make_delegation(RecordingListener()))
            await trio.sleep(0.01)
            handler.runs[0].reporter.ask_permission(["s0"])
            handler.results = [(0.0, PartialResult((), b""), True)]
            link.finish(next(iter(link._delegations.values())), False)
            await trio.sleep(0.01)
            self.assertTrue(link.is_usable)

        self.run_link(test)

    def test_end_of_the_request_cancels_the_run(self):
        """Guards against replicas that keep working on a request that has ended."""

        async def test(link, handler, server, streams):
            delegation = make_delegation(RecordingListener())
            link.start(delegation)
            await trio.sleep(0.01)
            link.finish(delegation, True)
            await trio.sleep(0.01)
            self.assertTrue(handler.runs[0].was_cancelled)
            self.assertTrue(handler.runs[0].is_answered)
            self.assertEqual([True], handler.ends)

        self.run_link(test)

    def test_end_that_arrives_with_its_start_sends_nothing(self):
        """Load pattern: a VM freezes for seconds; its callers have left when it resumes.

        Guards against sending old requests to replicas with a deadline counted from the resumption.
        """

        async def test(link, handler, server, streams):
            delegation = make_delegation(RecordingListener())
            link.start(delegation)
            link.finish(delegation, False)
            await trio.sleep(0.01)
            self.assertEqual(
                ([False], [True]), ([row.is_started for row in handler.runs], handler.ends)
            )

        self.run_link(test)

    def test_lost_connection_ends_delegations_and_runs(self):
        """Load pattern: VMs are killed, or connections between VMs are reset.

        Guards against delegations that never end and runs that go on without their request.
        """

        async def test(link, handler, server, streams):
            listener = RecordingListener()
            link.start(make_delegation(listener))
            await trio.sleep(0.01)
            near, far = streams[0]
            await far.send_stream.aclose()
            await near.send_stream.aclose()
            await trio.sleep(0.01)
            self.assertEqual([DelegationEnd.LOST], listener.ends)
            self.assertTrue(handler.runs[0].was_cancelled)
            self.assertFalse(link.is_usable)
            await trio.sleep(1.0)
            self.assertTrue(link.is_usable)

        self.run_link(test)

    def test_stopping_vm_refuses_and_gets_no_delegations(self):
        """Load pattern: a rolling restart of the VMs under load.

        Guards against delegating to a VM that is about to exit.
        """

        async def test(link, handler, server, streams):
            listener = RecordingListener()
            server.is_stopping = True
            link.start(make_delegation(listener))
            await trio.sleep(0.01)
            self.assertEqual([DelegationEnd.REFUSED], listener.ends)
            self.assertFalse(link.is_usable)

        self.run_link(test)

    def test_vm_at_its_shard_limit_refuses_more(self):
        """Load pattern: more fan-outs than the fastest VMs can run; others send their own.

        Guards against overloading these VMs, and against avoiding them after the overload.
        """

        async def test(link, handler, server, streams):
            listeners = [RecordingListener(), RecordingListener()]
            for listener in listeners:
                link.start(make_delegation(listener))
                await trio.sleep(0.01)
            self.assertEqual([[], [DelegationEnd.REFUSED]], [row.ends for row in listeners])
            await trio.sleep(0.2)
            self.assertTrue(link.is_usable)

        self.run_link(test, capacity=0.01)

    def test_vm_without_replicas_refuses(self):
        """Guards against counting a refusal as sends that may have run."""

        async def test(link, handler, server, streams):
            listener = RecordingListener()
            link.start(make_delegation(listener))
            await trio.sleep(0.01)
            self.assertEqual([DelegationEnd.REFUSED], listener.ends)

        self.run_link(test, results=None)

    def test_silent_connection_is_replaced(self):
        """Load pattern: connections stop delivering data for good while new ones work.

        Guards against keeping such a connection instead of opening a new one.
        """

        async def test(link, handler, server, streams):
            listener = RecordingListener()
            link.start(make_delegation(listener))
            self.assertEqual(
                ([DelegationEnd.NOT_SENT], LinkState.CLOSED), (listener.ends, link.state)
            )
            await trio.sleep(PING_INTERVAL_S + 2 * PING_TIMEOUT_S)
            self.assertGreater(len(streams), 1)
            self.assertTrue(link.is_failing)

        self.run_link(test, answers=False)

    def test_silent_vm_is_unusable_until_its_next_reply(self):
        """Load pattern: a VM freezes for seconds and resumes.

        Guards against delegating to it while it is frozen, and against avoiding it afterwards.
        """

        async def test(link, handler, server, streams):
            link.record_silence()
            self.assertFalse(link.is_usable)
            await trio.sleep(0.01)
            self.assertTrue(link.is_usable)

        self.run_link(test)
