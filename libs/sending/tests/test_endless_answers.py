import time
import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.answers import AnswerFault
from zinnia_sending.limits import AnswerLimits, AnswerMemory
from zinnia_sending.parser import AnswerParser, BadAnswerError

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 65536
TOTAL_BYTES = 64 * 1024 * 1024
# A replica's bytes may not take more than this of a VM with 200 MB, nor hold its event loop.
MAX_READ_BYTES = 1024 * 1024
MAX_MEMORY_BYTES = 8 * 1024 * 1024
MAX_SECONDS = 0.5
MAX_PART_BYTES = 256 * 1024
# Connections that a VM may have to one replica, or one to each of many.
MANY_CONNECTIONS = 100

ENDLESS_ANSWERS = {
    "headers": (OK, b"X-Header: value\r\n", AnswerFault.HEAD_TOO_LARGE),
    "header value": (OK + b"X-Header: ", b"v" * 16, AnswerFault.HEAD_TOO_LARGE),
    "header name": (OK, b"n" * 16, AnswerFault.HEAD_TOO_LARGE),
    "reason phrase": (b"HTTP/1.1 200 ", b"O" * 16, AnswerFault.HEAD_TOO_LARGE),
    "chunk extension": (CHUNKED_HEAD + b"5;", b"e" * 16, AnswerFault.FRAMING_TOO_LARGE),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-T: value\r\n", AnswerFault.FRAMING_TOO_LARGE),
    "body without a length": (OK + b"\r\n", b"b" * 16, AnswerFault.BODY_TOO_LARGE),
    "chunks": (CHUNKED_HEAD, b"4\r\nbody\r\n", AnswerFault.BODY_TOO_LARGE),
    "one large chunk": (CHUNKED_HEAD + b"fffffff\r\n", b"b" * 16, AnswerFault.BODY_TOO_LARGE),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", AnswerFault.TOO_MANY_SKIPPED),
}


def make_parser(memory_bytes=16 * 1024 * 1024):
    return AnswerParser(limits=AnswerLimits(MAX_PART_BYTES, AnswerMemory(memory_bytes)))


def feed_endlessly(parser, head, repeated):
    """Feed an answer that does not end; return the bytes read until its refusal, and the fault."""
    piece = repeated * (PIECE_BYTES // len(repeated))
    read = 0
    try:
        if head:
            parser.feed(head)
        while read < TOTAL_BYTES:
            read += len(piece)
            parser.feed(piece)
    except BadAnswerError as error:
        return read, error.fault
    return read, None


def feed_until_refused(parser, head, repeated):
    """Feed an answer up to its refusal, or to just below the limit of its bytes."""
    try:
        parser.feed(head)
        for _ in range(15):
            parser.feed(repeated * (4096 // len(repeated)))
    except BadAnswerError:
        pass


class EndlessAnswerTest(unittest.TestCase):
    """Load pattern: a replica in trouble sends bytes without end until the caller closes."""

    def test_every_endless_part_is_refused_within_its_limit(self):
        """Guards against one faulty replica that fills the memory of a VM."""
        for name, (head, repeated, fault) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                read, found = feed_endlessly(make_parser(), head, repeated)
                self.assertIs(fault, found)
                self.assertLessEqual(read, MAX_READ_BYTES)

    def test_endless_part_takes_little_memory_and_time(self):
        """Guards against quadratic work that stops the event loop for seconds."""
        for name, (head, repeated, _) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                # The tracer multiplies the time, so memory is measured in a pass of its own.
                started = time.process_time()
                feed_endlessly(make_parser(), head, repeated)
                seconds = time.process_time() - started
                tracemalloc.start()
                feed_endlessly(make_parser(), head, repeated)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(peak, MAX_MEMORY_BYTES)
                self.assertLess(seconds, MAX_SECONDS)

    def test_skipped_answer_without_end_is_refused(self):
        """Guards against a late answer to another request that never ends."""
        parser = AnswerParser(
            is_own=lambda status, headers: False,
            limits=AnswerLimits(MAX_PART_BYTES, AnswerMemory(MAX_MEMORY_BYTES)),
        )
        read, fault = feed_endlessly(parser, OK + b"\r\n", b"b" * 16)
        self.assertIs(AnswerFault.BODY_TOO_LARGE, fault)
        self.assertLessEqual(read, MAX_READ_BYTES)

    def test_many_answers_in_flight_share_the_memory_of_the_vm(self):
        """Load pattern: the replicas of 90 shards send large answers at the same time."""
        memory = AnswerMemory(1024 * 1024)
        limits = AnswerLimits(MAX_PART_BYTES, memory)
        parsers = [AnswerParser(limits=limits) for _ in range(90)]
        faults = []
        for parser in parsers:
            parser.feed(OK + b"Content-Length: 200000\r\n\r\n")
            try:
                parser.feed(b"b" * PIECE_BYTES)
            except BadAnswerError as error:
                faults.append(error.fault)
        self.assertEqual({AnswerFault.MEMORY_FULL}, set(faults))
        self.assertEqual(90 - 16, len(faults))
        for parser in parsers:
            parser.release_memory()
        self.assertEqual(0, memory.used)

    def test_many_endless_answers_share_the_memory_of_the_vm(self):
        """Load pattern: a faulty replica answers on all connections, with many small parts.

        Guards against objects for each part that take many times the bytes that are counted.
        """
        parts = {
            "short headers": (OK, b"a:\r\n"),
            "short trailers": (CHUNKED_HEAD + b"0\r\n", b"a:\r\n"),
            "short chunks": (CHUNKED_HEAD, b"2\r\nxy\r\n"),
        }
        for name, (head, repeated) in parts.items():
            with self.subTest(name):
                tracemalloc.start()
                limits = AnswerLimits(MAX_PART_BYTES, AnswerMemory(MAX_MEMORY_BYTES))
                parsers = [AnswerParser(limits=limits) for _ in range(MANY_CONNECTIONS)]
                for parser in parsers:
                    feed_until_refused(parser, head, repeated)
                used, _ = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(used, 2 * MAX_MEMORY_BYTES)
                for parser in parsers:
                    parser.release_memory()
                self.assertEqual(0, limits.memory.used)

    def test_answers_within_the_limits_are_complete(self):
        """Guards against limits that refuse what replicas send in normal operation."""
        body = b"r" * MAX_PART_BYTES
        answers = (
            OK + b"Content-Length: %d\r\n\r\n" % len(body) + body,
            CHUNKED_HEAD + b"1\r\nr\r\n" * 20000 + b"0\r\n\r\n",
            OK + b"X-Header: v\r\n" * 2000 + b"Content-Length: 0\r\n\r\n",
        )
        for answer in answers:
            parser = make_parser()
            for at in range(0, len(answer), PIECE_BYTES):
                parser.feed(answer[at : at + PIECE_BYTES])
            self.assertTrue(parser.is_complete)

    @given(
        st.sampled_from(sorted(ENDLESS_ANSWERS)),
        st.integers(512, PIECE_BYTES),
        st.binary(max_size=300),
    )
    def test_any_split_of_any_bytes_ends_in_an_answer_or_an_error(self, name, split, extra):
        """Guards against limits that depend on how the network splits the bytes."""
        head, repeated, _ = ENDLESS_ANSWERS[name]
        data = head + extra + repeated * (MAX_READ_BYTES // len(repeated))
        parser = make_parser()
        try:
            for at in range(0, len(data), split):
                parser.feed(data[at : at + split])
                if parser.is_complete:
                    break
        except BadAnswerError:
            return
        self.assertTrue(parser.is_complete)
