"""How requests to replicas are written and their answers are read."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from zinnia_catalog.ids import ReplicaId
from zinnia_sending.answers import AnswerFacts


class PreparedRequest(ABC):
    """One request that can be rendered for any replica."""

    request_id: bytes
    is_head: bool

    @abstractmethod
    def render(self, replica: ReplicaId, remaining_s: float) -> bytes:
        """Return the bytes of the request for one replica with the time that is left."""

    @abstractmethod
    def pack(self) -> bytes:
        """Return the request as another VM can unpack it."""


class ReplicaProtocol(ABC):
    """Reads what the headers of an answer say."""

    @abstractmethod
    def read_facts(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> AnswerFacts:
        """Return what an answer's headers say; names are in lower case."""

    @abstractmethod
    def unpack(self, data: bytes) -> PreparedRequest:
        """Return a request that another VM has packed.

        Raises
        ------
        ValueError
            The bytes are no packed request.
        """
