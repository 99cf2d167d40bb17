"""Attempts (single sends of a request to one replica) and the interface for making them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from zinnia_catalog.ids import ServiceName
from zinnia_catalog.routes import Route
from zinnia_sending.answers import Exchange, ReplicaAnswer
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.protocol import PreparedRequest
from zinnia_sending.replica import Replica


class SendReason(Enum):
    """Why a request is sent to a replica."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY_NOT_SENT = "retry_not_sent"
    RETRY_NOT_RUN = "retry_not_run"
    RETRY_WRONG_REPLICA = "retry_wrong_replica"
    RETRY_FAILED = "retry_failed"
    RETRY_BROKEN = "retry_broken"
    RETRY_DELEGATED = "retry_delegated"


@dataclass(slots=True)
class RunRequest:
    """A caller's request while it is processed; times are monotonic seconds.

    ``services`` names the shards of a fan-out, or else the single target service. ``target_at`` is
    the target latency and ``end_at`` the deadline. ``seal_lag_s`` is the expected delay between the
    planned time to seal an incomplete answer (from which later results are ignored) and the reply
    to the caller.
    """

    id: str
    route: Route
    services: tuple[ServiceName, ...]
    is_fanout: bool
    prepared: PreparedRequest
    received_at: float
    target_at: float
    end_at: float
    latency: LatencyHistogram
    seal_lag_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WantedSend:
    """A hedge or retry that has to wait; ``may_repeat`` as for ``ShardRun``."""

    reason: SendReason
    may_repeat: bool


@dataclass(slots=True)
class ShardProgress:
    """State of one shard of a request.

    ``tried`` lists the ids of the replicas that got an attempt, and ``in_flight`` the attempts that
    have not ended. ``sends`` counts the attempts that may have reached the replica that they were
    for; ``may_have_run`` is set once one of them may have run. ``has_misdirected`` is set once an
    attempt has reached another replica, which refused it. The shard is settled when it has an
    answer or gets no more attempts.

    ``spent_at`` lists the monotonic times of the sends that the retry budget counts, but for those
    that may arrive later.

    ``has_crashed`` is set once a replica has ended an attempt without an answer. While ``is_held``,
    a retry waits until another shard has an answer; ``is_probe`` is set if it may go ahead.

    ``is_delegated`` is set while another VM sends requests for it; ``sends`` is then the number
    that this VM has permitted. That VM counts the permitted sends in ``permitted_sends``, and
    ``wanted`` is the send for which it has asked.
    """

    service: ServiceName
    tried: list[str] = field(default_factory=list)
    in_flight: list[Attempt] = field(default_factory=list)
    sends: int = 0
    answer: ReplicaAnswer | None = None
    failure: ReplicaAnswer | None = None
    is_settled: bool = False
    may_have_run: bool = False
    has_misdirected: bool = False
    spent_at: list[float] = field(default_factory=list)
    is_hedged: bool = False
    has_crashed: bool = False
    is_held: bool = False
    is_probe: bool = False
    is_delegated: bool = False
    permitted_sends: int = 1
    wanted: WantedSend | None = None

    @property
    def may_have_arrived(self) -> bool:
        """Whether an attempt may have reached any replica, so that the next one is extra."""
        return self.sends > 0 or self.has_misdirected


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one replica.

    ``is_trial`` is set if the replica was suspended, and ``is_kept`` once the attempt goes on
    after its request was answered, to show whether the replica is back. ``settle`` is called with
    the attempt and its exchange when the exchange has ended; ``scope`` is the cancel scope of the
    task that runs the attempt.
    """

    shard: ShardProgress
    replica: Replica
    reason: SendReason
    started_at: float
    request: RunRequest
    settle: Any
    scope: Any = None
    is_trial: bool = False
    is_kept: bool = False

    def finish(self, exchange: Exchange) -> None:
        """Pass the result of the exchange to ``settle``."""
        self.settle(self, exchange)


class AttemptSender(ABC):
    """Starts attempts in the background and ends those that are no longer needed."""

    @abstractmethod
    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its ``finish`` is called when the exchange has ended."""

    @abstractmethod
    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt immediately and close its connection."""

    @abstractmethod
    def abandon(self, attempt: Attempt) -> None:
        """Allow an attempt a short time to finish, so that its latency can still be recorded."""
