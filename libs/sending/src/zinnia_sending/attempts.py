"""One send of a request to one replica, and the interface of what carries it out."""

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
    """One caller's request on its way; times are monotonic seconds.

    ``services`` names the shards, or the one service of a route to single replicas. ``seal_lag_s``
    is the delay to expect between the planned seal of an incomplete answer and its reply.
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


@dataclass(slots=True)
class ShardProgress:
    """How far one shard of a request has come.

    ``sends`` counts the sends that may have reached a replica; ``may_have_run`` is set once one of
    them may have run. ``is_delegated`` tells whether another VM sends for the shard.
    """

    service: ServiceName
    tried: list[str] = field(default_factory=list)
    live: list[Attempt] = field(default_factory=list)
    sends: int = 0
    answer: ReplicaAnswer | None = None
    failure: ReplicaAnswer | None = None
    is_settled: bool = False
    may_have_run: bool = False
    is_hedged: bool = False
    is_delegated: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one replica."""

    shard: ShardProgress
    replica: Replica
    reason: SendReason
    started_at: float
    request: RunRequest
    settle: Any
    scope: Any = None

    def finish(self, exchange: Exchange) -> None:
        """Report how the exchange ended."""
        self.settle(self, exchange)


class AttemptSender(ABC):
    """Carries out attempts in the background."""

    @abstractmethod
    def start(self, attempt: Attempt) -> None:
        """Start to send; the attempt is settled later."""

    @abstractmethod
    def cancel(self, attempt: Attempt) -> None:
        """End an attempt now; its connection is closed."""

    @abstractmethod
    def abandon(self, attempt: Attempt) -> None:
        """Let an attempt end by itself within a short time, for what its latency tells."""
