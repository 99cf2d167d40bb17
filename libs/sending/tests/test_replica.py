import contextlib
import unittest

import trio
from fakes import make_entry

from zinnia_sending.answers import AnswerFacts, AnswerFault, ExchangeResult
from zinnia_sending.protocol import PreparedRequest, ReplicaProtocol
from zinnia_sending.replica import Replica, ReplicaListener

LIMIT_S = 2.0
COPY_DELAY_S = 0.002
# Shorter than the time for which a connection is reused without a check.
REUSE_PAUSE_S = 0.008


class PlainRequest(PreparedRequest):
    request_id = b"own"
    is_head = False
    fingerprint = "fingerprint"

    def render(self, replica, remaining_s):
        return b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"

    def pack(self):
        return b""


class PlainProtocol(ReplicaProtocol):
    def read_facts(self, status, headers):
        found = dict(headers)
        return AnswerFacts(
            found.get(b"id", b""),
            found.get(b"seal", b""),
            b"not-run" in found,
            status == 421,
            False,
            is_leaving=b"leaving" in found,
        )

    def unpack(self, data):
        return PlainRequest()


def make_answer(request_id=b"own", body=b"hello", extra=b"", keep=b"5"):
    lines = [
        b"HTTP/1.1 200 OK",
        b"Id: " + request_id,
        b"Seal: s",
        b"Keep-Alive: timeout=" + keep,
        b"Content-Length: %d" % len(body),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body + extra


class ScriptedReplica:
    """Serves connections; each request gets the next of ``answers``.

    An answer is bytes, ``"close"`` (the connection is closed), ``"silent"`` (no answer) or a pair
    of an answer and bytes that are sent ``COPY_DELAY_S`` later.
    """

    def __init__(self, answers):
        self.answers = list(answers)
        self.connections = 0
        self.requests = 0

    async def serve(self, stream):
        self.connections += 1
        # A caller that closes the connection may leave bytes unread.
        with contextlib.suppress(trio.BrokenResourceError):
            await self.serve_requests(stream)

    async def serve_requests(self, stream):
        async with stream:
            while await stream.receive_some(4096):
                self.requests += 1
                answer = self.answers.pop(0)
                if answer == "silent":
                    await trio.sleep_forever()
                if answer == "close":
                    return
                answer, late = answer if isinstance(answer, tuple) else (answer, b"")
                await stream.send_all(answer)
                if late:
                    await trio.sleep(COPY_DELAY_S)
                    await stream.send_all(late)
                if b"Content-Length" not in answer:
                    return


class RecordingListener(ReplicaListener):
    def __init__(self):
        self.facts = []

    def record_facts(self, replica, facts):
        self.facts.append(facts)


class ReplicaExchangeTest(unittest.TestCase):
    def exchange(self, answers, count=1, idempotent=True, pause_s=0.0, listener=None, prepare=None):
        """Return the scripted replica and the results of ``count`` exchanges.

        ``prepare`` is called with the replica before the first of them.
        """
        scripted = ScriptedReplica(answers)
        results = []

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, scripted.serve, listeners)
                replica = Replica(make_entry("r", port=port), 4, trio.current_time(), listener)
                if prepare is not None:
                    prepare(replica)
                for _ in range(count):
                    with trio.move_on_after(LIMIT_S):
                        end_at = trio.current_time() + LIMIT_S
                        exchange = await replica.exchange(
                            PlainRequest(), PlainProtocol(), end_at, idempotent
                        )
                        results.append(exchange)
                    await trio.sleep(pause_s)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return scripted, results

    def record_leaving(self, answers, count=1):
        """Return whether the replica is known to leave after exchanges with these answers."""
        listener = RecordingListener()
        self.exchange(answers, count, listener=listener)
        return any(facts.is_leaving for facts in listener.facts)

    def test_any_answer_of_a_replica_may_say_that_it_leaves(self):
        """Guards against answers whose head is not looked at: failures, late and broken ones."""
        leaving = b"\r\nLeaving: 1\r\n\r\n"
        failure = make_answer().replace(b"200 OK", b"500 Failed")
        refusal = make_answer().replace(b"200 OK", b"503 Busy").replace(b"Seal: s", b"Not-Run: 1")
        late = make_answer(b"other")
        for answer in (make_answer(), failure, refusal, late, make_answer()[:-3]):
            with self.subTest(answer=answer):
                changed = answer.replace(b"\r\n\r\n", leaving)
                self.assertTrue(self.record_leaving([changed]))
                self.assertFalse(self.record_leaving([answer]))

    def test_answer_of_another_replica_does_not_say_that_this_one_leaves(self):
        """Guards against a new replica at the address that is taken for the old one."""
        answer = make_answer().replace(b"200 OK", b"421 Other")
        answer = answer.replace(b"\r\n\r\n", b"\r\nLeaving: 1\r\n\r\n")
        self.assertFalse(self.record_leaving([answer]))

    def test_request_that_waits_for_a_connection_is_not_sent_once_the_replica_leaves(self):
        """Load pattern: many requests open connections as the first answer arrives."""

        def leave_while_connecting(replica):
            open_connection = replica.pool.open

            async def open_and_leave():
                connection = await open_connection()
                replica.start_draining(trio.current_time())
                return connection

            replica.pool.open = open_and_leave

        scripted, results = self.exchange([make_answer()], prepare=leave_while_connecting)
        self.assertIs(ExchangeResult.NOT_SENT, results[0].result)
        self.assertEqual(0, scripted.requests)

    def test_connection_is_reused(self):
        """Guards against a TCP handshake for each request."""
        scripted, results = self.exchange([make_answer()] * 3, count=3)
        self.assertEqual([ExchangeResult.ANSWERED] * 3, [row.result for row in results])
        self.assertEqual(1, scripted.connections)

    def test_late_answer_to_an_earlier_request_is_skipped(self):
        """Load pattern: replicas send a second answer, where the answer to the next request is due.

        Guards against passing on an answer that belongs to another request.
        """
        late = make_answer(b"other", b"wrong")
        scripted, results = self.exchange([late + make_answer(), make_answer()], count=2)
        self.assertEqual([b"hello", b"hello"], [row.answer.body for row in results])
        self.assertEqual(1, scripted.connections)

    def test_late_copy_without_an_id_is_skipped_if_answers_have_ids(self):
        """Load pattern: a replica sends a second copy of an answer when the next one is due.

        Guards against a caller that gets the answer to another request.
        """
        late = make_answer(b"", b"wrong")
        scripted, results = self.exchange(
            [make_answer(), late + make_answer(body=b"right")], count=2
        )
        self.assertEqual([b"hello", b"right"], [row.answer.body for row in results])

    def test_late_copy_of_an_answer_without_ids_is_never_read(self):
        """Load pattern: as above, at replicas that send no ids, on a connection in quick reuse."""
        first = (make_answer(b""), make_answer(b"", b"wrong"))
        scripted, results = self.exchange(
            [first, make_answer(b"", b"right")], count=2, pause_s=REUSE_PAUSE_S
        )
        self.assertEqual([b"hello", b"right"], [row.answer.body for row in results])
        self.assertEqual(2, scripted.connections)

    def test_endless_answer_is_a_fault_of_the_replica(self):
        """Load pattern: a replica in trouble sends a head that does not end."""
        _, results = self.exchange([b"HTTP/1.1 200 OK\r\n" + b"X-Header: v\r\n" * 50_000])
        self.assertIs(ExchangeResult.BROKEN, results[0].result)
        self.assertIs(AnswerFault.HEAD_TOO_LARGE, results[0].fault)

    def test_exchange_with_answers_to_other_requests_only_is_broken(self):
        """Guards against waiting forever on a connection that only answers other requests."""
        _, results = self.exchange([make_answer(b"other", b"wrong") * 5])
        self.assertIs(ExchangeResult.BROKEN, results[0].result)

    def test_connection_with_extra_bytes_is_not_reused(self):
        """Guards against passing surplus bytes of one answer on as the next answer."""
        extra = make_answer(extra=make_answer(b"own", b"again"))
        scripted, results = self.exchange([extra, make_answer(body=b"second")], count=2)
        self.assertEqual([b"hello", b"second"], [row.answer.body for row in results])
        self.assertEqual(2, scripted.connections)

    def test_exchange_with_a_truncated_answer_is_broken(self):
        """Guards against passing on a truncated answer."""
        scripted, results = self.exchange(["close"])
        self.assertIs(ExchangeResult.BROKEN, results[0].result)

    def test_exchange_that_ends_within_the_head_of_the_answer_is_broken(self):
        """Load pattern: a replica stops in the middle of its answer's head and closes.

        Guards against an empty or short success that looks whole.
        """
        head = b"HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\n"
        for at in range(1, len(head) + 1):
            with self.subTest(at=at):
                _, results = self.exchange([head[:at]])
                self.assertIs(ExchangeResult.BROKEN, results[0].result)

    def test_answer_without_a_length_is_complete_at_the_end_of_the_connection(self):
        """Load pattern: replicas send answers without a length and close the connection."""
        _, results = self.exchange([b"HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nhello"])
        self.assertEqual(b"hello", results[0].answer.body)

    def test_success_without_a_signature_is_broken(self):
        """Guards against passing on bytes that the replica did not send as its answer."""
        _, results = self.exchange([b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
        self.assertIs(ExchangeResult.BROKEN, results[0].result)

    def test_answer_of_another_replica_is_a_wrong_replica_result(self):
        """Load pattern: addresses of stopped replicas are reused by others."""
        data = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
        _, results = self.exchange([data])
        self.assertIs(ExchangeResult.WRONG_REPLICA, results[0].result)
        self.assertFalse(results[0].result.may_have_run)

    def test_rejection_is_a_not_run_result(self):
        """Load pattern: replicas shed load."""
        data = b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        _, results = self.exchange([data])
        self.assertIs(ExchangeResult.NOT_RUN, results[0].result)

    def test_refused_connection_is_a_not_sent_result(self):
        """Guards against counting a request as possibly run although nothing was sent."""

        async def main():
            replica = Replica(make_entry("r", port=1), 4, trio.current_time())
            end_at = trio.current_time() + LIMIT_S
            return await replica.exchange(PlainRequest(), PlainProtocol(), end_at, True)

        self.assertIs(ExchangeResult.NOT_SENT, trio.run(main).result)

    def test_connection_is_kept_for_less_than_the_idle_timeout_of_the_replica(self):
        """Load pattern: replicas close idle connections after a second.

        Guards against sending a request while the replica closes the idle connection.
        """
        scripted, results = self.exchange(
            [make_answer(keep=b"1"), make_answer()], count=2, pause_s=0.4
        )
        self.assertEqual(2, scripted.connections)
