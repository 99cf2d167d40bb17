"""Answers of replicas and how an exchange with a replica ended."""

from dataclasses import dataclass
from enum import Enum


class AnswerFault(Enum):
    """What is wrong with the bytes that a replica sent as its answer."""

    INVALID = "invalid"
    HEAD_TOO_LARGE = "head_too_large"
    FRAMING_TOO_LARGE = "framing_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_SKIPPED = "too_many_skipped"
    MEMORY_FULL = "memory_full"


class ReplicaNotice(Enum):
    """What a replica says about itself beside its answer."""

    LEAVING = "leaving"
    TURNED_AWAY = "turned_away"


class ExchangeResult(Enum):
    """How one exchange with a replica ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # the replica ran the request and reported a failure
    NOT_SENT = "not_sent"  # no byte of the request reached the replica
    NOT_RUN = "not_run"  # the replica reports that it did not run the request
    WRONG_REPLICA = "wrong_replica"  # another replica has taken over the address
    BROKEN = "broken"  # no complete or valid answer; the request may have run
    CANCELLED = "cancelled"  # cancelled by this VM; the request may have run

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, or may still be running, at the replica."""
        return self not in (
            ExchangeResult.NOT_SENT,
            ExchangeResult.NOT_RUN,
            ExchangeResult.WRONG_REPLICA,
        )


@dataclass(frozen=True, slots=True)
class ReplicaAnswer:
    """A complete answer of a replica; ``headers`` holds the end-to-end headers as received."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Facts read from the headers of an answer.

    ``warmup_s`` is how long the replica remains cold in seconds, and ``rate_limit_per_s`` the
    number of requests a second that it takes from all VMs; None if there is no such header. With
    ``is_leaving`` the replica says that it leaves. ``turn_away_s`` is the time in seconds for which
    it wants no requests of this VM, as it names it; not a number if that can't be read.
    """

    request_id: bytes
    signature: bytes
    is_not_run: bool
    is_wrong_replica: bool
    has_encoding: bool
    warmup_s: float | None = None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    turn_away_s: float | None = None


@dataclass(frozen=True, slots=True)
class Exchange:
    """Result of one exchange with a replica.

    ``fault`` is set if its bytes were no valid answer. ``rate_limit_per_s`` is the limit that its
    answer names, in requests a second from all VMs. With ``is_unanswered`` the replica ended the
    connection after the request was sent, before the first byte of an answer.
    """

    result: ExchangeResult
    duration_s: float
    answer: ReplicaAnswer | None = None
    cause: str = ""
    fault: AnswerFault | None = None
    rate_limit_per_s: float | None = None
    is_unanswered: bool = False
