"""Incremental HTTP parser for the answers of a replica on one connection, based on httptools."""

from collections.abc import Callable, Sequence

import httptools

from zinnia_sending.answers import AnswerFault
from zinnia_sending.limits import (
    FRAMING_BYTES_PER_BODY_BYTE,
    HEADER_OBJECT_BYTES,
    MAX_HEAD_BYTES,
    UNCOUNTED_HEADERS,
    AnswerLimits,
)

# The connection is closed after more skipped answers (to other requests) than this.
MAX_SKIPPED_ANSWERS = 3

AnswerMatcher = Callable[[int, Sequence[tuple[bytes, bytes]]], bool]


class BadAnswerError(Exception):
    """The replica sent an invalid answer; the connection has to be closed."""

    def __init__(self, text: str, fault: AnswerFault = AnswerFault.INVALID) -> None:
        super().__init__(text)
        self.fault = fault


class AnswerParser:
    """Parses the answer to one request and skips late answers to earlier requests.

    ``has_extra`` is set if more bytes follow the answer; the connection must not be reused then.

    Parameters
    ----------
    is_head : bool
        Whether the request method was HEAD, so that the answer has no body.
    is_own : Callable[[int, Sequence[tuple[bytes, bytes]]], bool], optional
        Returns, given status and headers, whether an answer belongs to this request.
    limits : AnswerLimits, optional
        Limits on the bytes of the answer.
    """

    def __init__(
        self,
        is_head: bool = False,
        is_own: AnswerMatcher = lambda status, headers: True,
        limits: AnswerLimits | None = None,
    ) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.has_extra = False
        self.keeps_alive = False
        self._is_head = is_head
        self._limits = limits or AnswerLimits()
        self._error: BadAnswerError | None = None
        self._received = 0
        self._body = bytearray()
        self._size = 0
        self._skipped_size = 0
        self._reserved = 0
        self._has_headers = False
        self._is_framed = False
        self._is_own = is_own
        self._is_skipping = False
        self._skipped = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return bytes(self._body)

    @property
    def has_received(self) -> bool:
        """Whether any byte was received."""
        return self._received > 0

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
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadAnswerError("the replica answered with a protocol upgrade") from error
        except httptools.HttpParserError as error:
            if self._error is None and not self.is_complete:
                raise BadAnswerError(f"no valid answer: {error}") from error
            self.has_extra = True
        if self._error is None and not self.is_complete:
            self._check_overhead()
        if self._error is not None:
            raise self._error

    def release_memory(self) -> None:
        """Return the memory that was reserved for the answer; call it once the answer is used."""
        self._limits.memory.release(self._reserved)
        self._reserved = 0

    def _reserve(self, size: int) -> bool:
        """Count bytes towards the memory of the VM; return False, with an error, if it is full."""
        if self._limits.memory.reserve(size):
            self._reserved += size
            return True
        text = "the answers in progress fill the memory of this VM"
        self._error = BadAnswerError(text, AnswerFault.MEMORY_FULL)
        return False

    def _check_overhead(self) -> None:
        """Reject an answer whose head, framing or trailers do not end."""
        body_size = self._size + self._skipped_size
        overhead = self._received - body_size
        if overhead <= MAX_HEAD_BYTES:
            return
        if not self._has_headers:
            self._reject(AnswerFault.HEAD_TOO_LARGE, "head", MAX_HEAD_BYTES)
            return
        limit = 2 * MAX_HEAD_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body_size
        if overhead > limit:
            self._reject(AnswerFault.FRAMING_TOO_LARGE, "framing", limit)

    def _reject(self, fault: AnswerFault, part: str, limit: int) -> None:
        """Record the error that ``feed`` raises; the parser hides exceptions of its callbacks."""
        self._error = BadAnswerError(f"the {part} has more than {limit} bytes", fault)

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
        if self.is_complete or self._error is not None:
            return
        self.headers.append((name.lower(), value))
        if len(self.headers) > UNCOUNTED_HEADERS:
            self._reserve(len(name) + len(value) + HEADER_OBJECT_BYTES)

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
        """Store a piece of the body; count it only if the answer is skipped."""
        if self.is_complete or self._error is not None:
            return
        limit = self._limits.max_body_bytes
        if self._is_skipping:
            self._skipped_size += len(data)
            if self._skipped_size > MAX_SKIPPED_ANSWERS * limit:
                part = "body of answers to other requests"
                self._reject(AnswerFault.BODY_TOO_LARGE, part, MAX_SKIPPED_ANSWERS * limit)
            return
        self._size += len(data)
        if self._size > limit:
            self._reject(AnswerFault.BODY_TOO_LARGE, "body", limit)
        elif self._reserve(len(data)):
            self._body += data

    def on_message_complete(self) -> None:
        """Complete the answer; drop an interim answer or one to another request."""
        if self.is_complete or self._error is not None:
            return
        if self.status >= 200 and not self._is_skipping:
            self.is_complete = True
            return
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_ANSWERS:
            text = "the replica answers other requests only"
            self._error = BadAnswerError(text, AnswerFault.TOO_MANY_SKIPPED)
            return
        self.headers.clear()
        self._has_headers = self._is_skipping = False
