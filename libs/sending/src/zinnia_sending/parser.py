"""Incremental HTTP parser for the answers of a replica on one connection, based on httptools."""

from collections.abc import Callable, Sequence

import httptools

# Limits the memory for an answer, which is buffered until it is complete.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# The connection is closed after more skipped answers (to other requests) than this.
MAX_SKIPPED_ANSWERS = 3

AnswerMatcher = Callable[[int, Sequence[tuple[bytes, bytes]]], bool]


class BadAnswerError(Exception):
    """The replica sent an invalid answer; the connection has to be closed."""


class AnswerParser:
    """Parses the answer to one request and skips late answers to earlier requests.

    ``has_extra`` is set if more bytes follow the answer; the connection must not be reused then.

    Parameters
    ----------
    is_head : bool
        Whether the request method was HEAD, so that the answer has no body.
    is_own : Callable[[int, Sequence[tuple[bytes, bytes]]], bool], optional
        Returns, given status and headers, whether an answer belongs to this request.
    """

    def __init__(
        self, is_head: bool = False, is_own: AnswerMatcher = lambda status, headers: True
    ) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.has_extra = False
        self.keeps_alive = False
        self._is_head = is_head
        self._body: list[bytes] = []
        self._size = 0
        self._has_headers = False
        self._is_framed = False
        self._is_own = is_own
        self._is_skipping = False
        self._skipped = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self._body)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        BadAnswerError
            The bytes are not a valid answer, or the answer is too large.
        """
        if self.is_complete:
            self.has_extra = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadAnswerError("the replica answered with a protocol upgrade") from error
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise BadAnswerError(f"no valid answer: {error}") from error
            self.has_extra = True

    def finish(self) -> bool:
        """Handle the end of the connection; return whether the answer is complete.

        The end of the connection completes an answer without a length.
        """
        ends_with_connection = self._has_headers and not self._is_framed and not self._is_skipping
        if not self.is_complete and ends_with_connection:
            self.is_complete = True
        return self.is_complete

    # The names of the methods below are fixed by httptools.

    def on_message_begin(self) -> None:
        """Set ``has_extra`` if another answer follows the complete one."""
        if self.is_complete:
            self.has_extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header with its name in lower case."""
        if not self.is_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store status and framing, and decide whether to skip the answer."""
        if self.is_complete:
            return
        self._has_headers = True
        self.status = self._parser.get_status_code()
        self.keeps_alive = self._parser.should_keep_alive()
        self._is_framed = any(
            name in (b"content-length", b"transfer-encoding") for name, _ in self.headers
        )
        self._is_skipping = self.status >= 200 and not self._is_own(self.status, self.headers)
        if self._is_head and not self._is_skipping:
            self.is_complete = True

    def on_body(self, data: bytes) -> None:
        """Store a piece of the body."""
        if self.is_complete:
            return
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            raise BadAnswerError(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the answer; drop an interim answer or one to another request."""
        if self.is_complete:
            return
        if self.status >= 200 and not self._is_skipping:
            self.is_complete = True
            return
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_ANSWERS:
            raise BadAnswerError("the replica answers other requests only")
        self.headers.clear()
        self._body.clear()
        self._size = 0
        self._has_headers = self._is_skipping = False
