import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.parser import AnswerParser, BadAnswerError

COMPLETE = b"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhello"


def parse(data, **options):
    parser = AnswerParser(**options)
    parser.feed(data)
    return parser


class AnswerParserTest(unittest.TestCase):
    @given(
        st.lists(st.integers(1, len(COMPLETE) - 1), max_size=4),
        st.sampled_from([COMPLETE, CHUNKED]),
    )
    def test_answer_does_not_depend_on_how_its_bytes_are_split(self, cuts, data):
        """Guards against an answer that depends on how the network splits it."""
        parser = AnswerParser()
        at = 0
        for cut in [*sorted(set(cuts)), len(data)]:
            if data[at:cut]:
                parser.feed(data[at:cut])
            at = cut
        self.assertTrue(parser.is_complete)
        self.assertEqual((200, b"hello", False), (parser.status, parser.body, parser.has_extra))

    def test_truncated_body_is_incomplete(self):
        """Guards against passing on a truncated body."""
        parser = parse(COMPLETE[:-1])
        self.assertFalse(parser.finish())

    def test_answer_that_ends_anywhere_before_its_end_is_incomplete(self):
        """Load pattern: a replica closes its connection within its answer, also within the head.

        The answer may follow an interim answer or a late one. Guards against an empty or short
        success that looks whole.
        """
        late = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold"
        starts = (b"", b"HTTP/1.1 100 Continue\r\n\r\n", late)
        headers = b"\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
        odd_heads = (b"HTTP/1.1 200 OK\r\nA: b\r\n", b"HTTP/1.1 200 OK\n", b"HTTP/1.1 200")
        for start in starts:
            cut = [start + data[:at] for data in (COMPLETE, CHUNKED) for at in range(len(data))]
            cut += [start + UNFRAMED[:at] for at in range(len(UNFRAMED) - len(b"hello"))]
            cut += [start + head for head in odd_heads]
            cut += [start + (b"HTTP/1.1 200 OK" + headers)[:at] for at in range(15, 50)]
            for data in cut:
                with self.subTest(data=data):
                    self.assertFalse(self.is_taken_for_whole(data))

    def is_taken_for_whole(self, data):
        """Return whether an answer is complete if the connection ends after these bytes."""

        def is_own(status, headers):
            return dict(headers).get(b"id") != b"other"

        parser = AnswerParser(is_own=is_own)
        try:
            parser.feed(data)
        except BadAnswerError:
            return False
        return parser.finish()

    def test_body_without_a_length_ends_with_the_connection(self):
        """Guards against dropping an answer whose end is marked by the end of the connection."""
        parser = parse(UNFRAMED)
        self.assertFalse(parser.is_complete)
        self.assertTrue(parser.finish())
        self.assertEqual(b"hello", parser.body)

    def test_bytes_after_the_answer_set_has_extra(self):
        """Guards against reuse of a connection that holds unread bytes of another answer."""
        for extra in (COMPLETE, b"garbage"):
            with self.subTest(extra=extra):
                parser = parse(COMPLETE + extra)
                self.assertTrue(parser.is_complete)
                self.assertTrue(parser.has_extra)
                self.assertEqual(b"hello", parser.body)

    def test_bytes_that_are_not_an_answer_raise_an_error(self):
        """Guards against waiting for an answer on a connection that sends no HTTP."""
        with self.assertRaises(BadAnswerError):
            parse(b"\x00\x01garbage\r\n\r\n")

    def test_interim_answer_is_skipped(self):
        """Guards against treating 100 Continue as the answer."""
        parser = parse(b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE)
        self.assertEqual((True, 200), (parser.is_complete, parser.status))

    def test_answer_to_head_has_no_body(self):
        """Guards against waiting for a body that is never sent."""
        parser = parse(COMPLETE[:-5], is_head=True)
        self.assertTrue(parser.is_complete)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_parsed_or_raise_bad_answer_error(self, data):
        """Guards against an unexpected exception for corrupt answers."""
        parser = AnswerParser()
        try:
            parser.feed(data)
        except BadAnswerError:
            return
        parser.finish()
