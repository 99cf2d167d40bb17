import unittest
from contextlib import asynccontextmanager
from functools import wraps

import trio
from trio.testing import MockClock, memory_stream_pair, wait_all_tasks_blocked

from zinnia_model.messages import Acknowledgement, ConfigPull, Results, SubmitBatch
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult
from zinnia_peers.codec import encode
from zinnia_peers.counters import Direction
from zinnia_peers.frames import MAX_CONTROL_FRAMES, Outbox, make_frame
from zinnia_peers.links import PeerLinks, PeerLostError, PeerTimeoutError
from zinnia_peers.server import PeerHandler, PeerServer


def run_on_mock_clock(test):
    @wraps(test)
    def run(self):
        trio.run(test, self, clock=MockClock(autojump_threshold=0))

    return run


def make_batch(name, count=2, repeatable=True, deadline_s=1.0, body=b"{}"):
    items = tuple(SubRequest(f"{name}.{i}", f"shard-{i}", f"replica-{i}") for i in range(count))
    return Batch(name, "s", "r", "n", body, deadline_s, repeatable, "f", items)


def make_answered_result(item, body=b"", replica=None):
    return SubResult(
        item.attempt_id, Outcome.ANSWERED, item.shard, replica or item.replica, body=body
    )


class RecordingHandler(PeerHandler):
    def __init__(self):
        self.batches = []
        self.cancelled = []

    def submit(self, batch, deliver):
        self.batches.append((batch, deliver))

    def cancel(self, attempt_ids):
        self.cancelled.extend(attempt_ids)

    async def handle(self, message, sender):
        return Acknowledgement(True, sender)


class Fixture:
    def __init__(self, nursery):
        self.handler = RecordingHandler()
        self.server = PeerServer("127.0.0.1:0", self.handler)
        self.nursery = nursery
        self.streams = []
        self.unserved_connections = 0
        self.refuses_connections = False
        self.results = []

    async def connect(self, address):
        if self.refuses_connections:
            raise OSError("refused")
        client_end, server_end = memory_stream_pair()
        self.streams.append(server_end)
        if len(self.streams) > self.unserved_connections:
            self.nursery.start_soon(self.server.serve_stream, server_end)
        return client_end

    def list_outcomes(self):
        return sorted((r.attempt_id, r.outcome, r.reason) for r in self.results)


@asynccontextmanager
async def open_link(unserved_connections=0):
    async with trio.open_nursery() as nursery:
        fixture = Fixture(nursery)
        fixture.unserved_connections = unserved_connections
        with PeerLinks("vm-1", nursery, connect=fixture.connect) as links:
            fixture.links = links
            fixture.link = links.set_address("vm-2", "10.0.0.2:1")
            await wait_all_tasks_blocked()
            yield fixture
        nursery.cancel_scope.cancel()


class PeerLinkTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_each_attempt_gets_its_own_result_when_results_arrive_in_reverse_order(self):
        async with open_link() as f:
            results_by_batch = {"a": [], "b": []}
            for name, results in results_by_batch.items():
                f.link.submit(make_batch(name), results.append)
            await wait_all_tasks_blocked()
            for batch, deliver in reversed(f.handler.batches):
                for item in reversed(batch.items):
                    deliver(make_answered_result(item, item.attempt_id.encode()))
            await wait_all_tasks_blocked()
            for name, results in results_by_batch.items():
                found = sorted((r.attempt_id, r.body) for r in results)
                self.assertEqual([(f"{name}.{i}", f"{name}.{i}".encode()) for i in (0, 1)], found)

    @run_on_mock_clock
    async def test_result_for_another_replica_is_not_delivered(self):
        async with open_link() as f:
            f.link.submit(make_batch("a", 1), f.results.append)
            await wait_all_tasks_blocked()
            batch, deliver = f.handler.batches[0]
            deliver(make_answered_result(batch.items[0], replica="replica-9"))
            await wait_all_tasks_blocked()
            self.assertEqual([], f.results)
            self.assertEqual(1, f.links.counters.mismatched_results)
            await trio.sleep(1.1)
            self.assertEqual([Outcome.UNKNOWN], [r.outcome for r in f.results])

    @run_on_mock_clock
    async def test_attempt_without_result_becomes_unknown_50_ms_after_its_deadline(self):
        async with open_link() as f:
            f.link.submit(make_batch("a", 1, deadline_s=5.0), f.results.append)
            f.link.submit(make_batch("b", 1, deadline_s=0.2), f.results.append)
            await trio.sleep(0.249)
            self.assertEqual([], f.results)
            await trio.sleep(0.002)
            expected = [("b.0", Outcome.UNKNOWN, Reason.PEER_LOST)]
            self.assertEqual(expected, f.list_outcomes())
            batch, deliver = f.handler.batches[1]
            deliver(make_answered_result(batch.items[0]))
            await wait_all_tasks_blocked()
            self.assertEqual(expected, f.list_outcomes())
            self.assertEqual(1, f.links.counters.late_results)

    @run_on_mock_clock
    async def test_each_attempt_gets_exactly_one_result_when_the_connection_breaks(self):
        # Guards against a second result for an attempt: the handler delivers one after the
        # connection broke, when the attempt already has the result PEER_LOST.
        async with open_link() as f:
            f.link.submit(make_batch("sent"), f.results.append)
            await wait_all_tasks_blocked()
            batch, deliver = f.handler.batches[0]
            deliver(make_answered_result(batch.items[0]))
            await wait_all_tasks_blocked()
            f.refuses_connections = True
            await f.streams[0].aclose()
            await wait_all_tasks_blocked()
            deliver(make_answered_result(batch.items[1]))
            f.link.submit(make_batch("refused", 1), f.results.append)
            await trio.sleep(3)
            expected = [
                ("refused.0", Outcome.NOT_RUN, Reason.OWNER_UNREACHABLE),
                ("sent.0", Outcome.ANSWERED, None),
                ("sent.1", Outcome.UNKNOWN, Reason.PEER_LOST),
            ]
            self.assertEqual(expected, f.list_outcomes())
            f.refuses_connections = False
            await trio.sleep(2)
            self.assertEqual("vm-1", (await f.link.call(ConfigPull("vm-1", 0), 1)).detail)

    @run_on_mock_clock
    async def test_batch_that_was_never_written_gets_not_run(self):
        async with open_link() as f:
            f.link.submit(make_batch("queued", 1), f.results.append)
            f.links.remove("vm-2")
            await wait_all_tasks_blocked()
            expected = [("queued.0", Outcome.NOT_RUN, Reason.OWNER_UNREACHABLE)]
            self.assertEqual(expected, f.list_outcomes())
            self.assertEqual([], f.handler.batches)

    @run_on_mock_clock
    async def test_silent_connection_is_replaced_and_its_attempts_become_unknown(self):
        async with open_link(unserved_connections=1) as f:
            f.link.submit(make_batch("a", 1, deadline_s=30), f.results.append)
            with self.assertRaises(PeerTimeoutError):
                await f.link.call(ConfigPull("vm-1", 0), 0.2)
            await trio.sleep(1.1)
            self.assertEqual([("a.0", Outcome.UNKNOWN, Reason.PEER_LOST)], f.list_outcomes())
            self.assertEqual(1, f.links.counters.silent_links)
            self.assertTrue((await f.link.call(ConfigPull("vm-1", 0), 0.2)).accepted)

    @run_on_mock_clock
    async def test_silent_connection_is_kept_while_no_new_one_can_be_opened(self):
        # Guards against lost requests: closing the connection to a peer that answers no calls and
        # accepts no new connection would end requests that still run there.
        async with open_link(unserved_connections=1) as f:
            f.refuses_connections = True
            f.link.submit(make_batch("a", 1, deadline_s=30), f.results.append)
            with self.assertRaises(PeerTimeoutError):
                await f.link.call(ConfigPull("vm-1", 0), 0.2)
            await trio.sleep(5)
            self.assertEqual([], f.results)

    @run_on_mock_clock
    async def test_call_fails_at_once_when_the_connection_breaks(self):
        async with open_link(unserved_connections=1) as f, trio.open_nursery() as nursery:
            nursery.start_soon(f.streams[0].aclose)
            with self.assertRaises(PeerLostError), trio.fail_after(0.01):
                await f.link.call(ConfigPull("vm-1", 0), 10)

    @run_on_mock_clock
    async def test_batch_that_exceeds_a_frame_gets_not_run(self):
        async with open_link() as f:
            f.link.submit(make_batch("a", 1, body=b"x" * 5_000_000), f.results.append)
            self.assertEqual([("a.0", Outcome.NOT_RUN, Reason.BODY_TOO_LARGE)], f.list_outcomes())

    @run_on_mock_clock
    async def test_results_of_one_scheduler_pass_share_a_message(self):
        async with open_link() as f:
            f.link.submit(make_batch("a", 14), f.results.append)
            await wait_all_tasks_blocked()
            batch, deliver = f.handler.batches[0]
            for item in batch.items:
                deliver(make_answered_result(item))
            await wait_all_tasks_blocked()
            self.assertEqual(14, len(f.results))
            count = f.links.counters.by_type[Direction.RECEIVED, Results]
            self.assertEqual(1, count.messages)
            sent = f.links.counters.by_type[Direction.SENT, SubmitBatch]
            self.assertEqual(sent, f.links.counters.sum_data(Direction.SENT))
            self.assertEqual(sent.frame_bytes, len(make_frame(encode(SubmitBatch(batch)))))

    @run_on_mock_clock
    async def test_broken_connection_cancels_only_repeatable_attempts(self):
        async with open_link() as f:
            f.link.submit(make_batch("a", 1), f.results.append)
            f.link.submit(make_batch("b", 1, repeatable=False), f.results.append)
            await wait_all_tasks_blocked()
            f.links.remove("vm-2")
            await wait_all_tasks_blocked()
            self.assertEqual(["a.0"], f.handler.cancelled)


class PeerServerTest(unittest.TestCase):
    def test_serves_batches_and_calls_over_tcp(self):
        async def main():
            handler, results = RecordingHandler(), []
            handler.submit = lambda batch, deliver: [
                deliver(make_answered_result(i)) for i in batch.items
            ]
            async with trio.open_nursery() as nursery:
                with (
                    PeerServer("127.0.0.1:0", handler) as server,
                    PeerLinks("vm-1", nursery) as links,
                ):
                    await nursery.start(server.serve)
                    link = links.set_address("vm-2", server.address)
                    with trio.fail_after(5):
                        while not link.is_connected or len(results) < 14:
                            if link.is_connected and not results:
                                link.submit(make_batch("a", 14), results.append)
                            await trio.sleep(0.01)
                        reply = await link.call(ConfigPull("vm-1", 0), 1)
            return results, reply

        results, reply = trio.run(main)
        self.assertEqual({Outcome.ANSWERED}, {r.outcome for r in results})
        self.assertEqual("vm-1", reply.detail)


class OutboxTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_full_control_queue_drops_the_oldest_heartbeat_and_is_written_before_data(self):
        outbox = Outbox()
        outbox.put_data(b"data")
        outbox.put_control(b"first", droppable=False)
        for number in range(MAX_CONTROL_FRAMES):
            outbox.put_control(b"<%d>" % number, droppable=True)
        client_end, server_end = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(outbox.write_to, client_end)
            await wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        written = bytes(await server_end.receive_some())
        self.assertTrue(written.startswith(b"first<1><2>"))
        self.assertTrue(written.endswith(b"data"))
        self.assertEqual(1, outbox.dropped_control_frames)


if __name__ == "__main__":
    unittest.main()
