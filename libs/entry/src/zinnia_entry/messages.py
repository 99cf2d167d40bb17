"""Requests of callers, replies to them, and how both are translated."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from zinnia_sending.answers import ReplicaAnswer
from zinnia_sending.protocol import PreparedRequest

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request; header names are in lower case, ``received_at`` is monotonic seconds.

    ``is_first`` tells whether it is the first one on its connection.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_at: float
    is_first: bool = False

    @property
    def path(self) -> str:
        """The path without the query, as the caller wrote it."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def find_header(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if there is none."""
        return next((value for key, value in self.headers if key == name), b"")


@dataclass(frozen=True, slots=True)
class CallerReply:
    """A reply; the server adds what concerns the connection."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CallerFacts:
    """What a caller's headers say; ``deadline_s`` is None if the caller names none."""

    request_id: bytes
    deadline_s: float | None


class CallerProtocol(ABC):
    """Reads callers' headers and writes those of replies and of requests to replicas."""

    @abstractmethod
    def read_facts(self, headers: Headers) -> CallerFacts:
        """Return what a caller's headers say."""

    @abstractmethod
    def prepare(self, request: CallerRequest) -> PreparedRequest:
        """Return the request as it is sent to replicas."""

    @abstractmethod
    def make_answer(self, answer: ReplicaAnswer) -> CallerReply:
        """Return one replica's answer as the reply."""

    @abstractmethod
    def make_merged(self, signatures: Sequence[bytes], missing: int, body: bytes) -> CallerReply:
        """Return the reply to a request over many shards."""

    @abstractmethod
    def make_refusal(self, status: int, text: str, retry_after_s: float) -> CallerReply:
        """Return a refusal; ``retry_after_s`` of 0 names no time."""
