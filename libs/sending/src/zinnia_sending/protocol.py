"""Interfaces that serialize requests to replicas and interpret their answers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from zinnia_catalog.ids import Fingerprint, ReplicaId
from zinnia_sending.answers import AnswerFacts


class PreparedRequest(ABC):
    """A request that can be serialized for any replica."""

    request_id: bytes
    is_head: bool

    @property
    @abstractmethod
    def fingerprint(self) -> Fingerprint:
        """Hash of what is the same if a caller sends the request again."""

    @abstractmethod
    def render(self, replica: ReplicaId, remaining_s: float) -> bytes:
        """Return the request as bytes for one replica, with the remaining time in seconds."""

    @abstractmethod
    def pack(self) -> bytes:
        """Return the request in the form that ``ReplicaProtocol.unpack`` reads on another VM."""


class ReplicaProtocol(ABC):
    """Interprets the headers of answers and unpacks requests of other VMs."""

    @abstractmethod
    def read_facts(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> AnswerFacts:
        """Return the facts in the headers of an answer; header names are in lower case."""

    @abstractmethod
    def unpack(self, data: bytes) -> PreparedRequest:
        """Return a request that another VM has packed.

        Raises
        ------
        ValueError
            The bytes are not a packed request.
        """
