"""Requests of callers, replies to them, and the interface that parses and formats both."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from zinnia_sending.answers import ReplicaAnswer
from zinnia_sending.protocol import PreparedRequest

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request; header names are in lower case, ``received_at`` is monotonic seconds.

    ``is_first`` says whether the request is the first one on its connection.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_at: float
    is_first: bool = False

    @property
    def path(self) -> str:
        """Path of the target without the query string, still percent-encoded."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def find_header(self, name: bytes) -> bytes:
        """Return the first value of a header, or empty bytes if the header is missing."""
        return next((value for key, value in self.headers if key == name), b"")


@dataclass(frozen=True, slots=True)
class CallerReply:
    """A reply; the server adds ``content-length`` and ``connection`` headers."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CallerFacts:
    """Values parsed from a caller's headers; ``deadline_s`` is None if no deadline was sent."""

    request_id: bytes
    deadline_s: float | None


class CallerProtocol(ABC):
    """Parses callers' headers, and builds replies to callers and requests to replicas."""

    @abstractmethod
    def read_facts(self, headers: Headers) -> CallerFacts:
        """Return the request ID and the deadline from a caller's headers."""

    @abstractmethod
    def prepare(self, request: CallerRequest) -> PreparedRequest:
        """Return the request in the form that is sent to replicas."""

    @abstractmethod
    def make_answer(self, answer: ReplicaAnswer) -> CallerReply:
        """Return a reply that passes on one replica's answer."""

    @abstractmethod
    def make_merged_reply(
        self, signatures: Sequence[bytes], missing: int, body: bytes
    ) -> CallerReply:
        """Return the reply to a fan-out; ``missing`` is the number of shards without an answer."""

    @abstractmethod
    def make_refusal(self, status: int, text: str, retry_after_s: float) -> CallerReply:
        """Return a refusal; it has no Retry-After header if ``retry_after_s`` is 0."""
