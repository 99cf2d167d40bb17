"""Counters of messages and bytes between VMs."""

from dataclasses import dataclass, field
from enum import Enum

from zinnia_model.messages import Cancel, Results, SubmitBatch

DATA_MESSAGES = frozenset({SubmitBatch, Results, Cancel})


class Direction(Enum):
    """Whether bytes were sent or received."""

    SENT = "sent"
    RECEIVED = "received"


@dataclass(slots=True)
class TrafficCount:
    """Number of messages and of their bytes, frame headers included."""

    messages: int = 0
    frame_bytes: int = 0


@dataclass(slots=True)
class PeerCounters:
    """Traffic by direction and message type, and counts of link events.

    Attributes
    ----------
    mismatched_results : int
        Results that named another shard or replica than their attempt.
    late_results : int
        Results of attempts that were no longer open.
    sessions_started : int
        Connections opened, the first one of each link included.
    silent_links : int
        Connections that were replaced because the peer sent nothing.
    """

    by_type: dict[tuple[Direction, type], TrafficCount] = field(default_factory=dict)
    mismatched_results: int = 0
    late_results: int = 0
    sessions_started: int = 0
    silent_links: int = 0

    def add(self, direction: Direction, kind: type, frame_bytes: int) -> None:
        """Count one message; ``frame_bytes`` includes the frame header."""
        count = self.by_type.get((direction, kind))
        if count is None:
            count = self.by_type[direction, kind] = TrafficCount()
        count.messages += 1
        count.frame_bytes += frame_bytes

    def sum_control(self, direction: Direction | None = None) -> TrafficCount:
        """Return the total of control messages, whose budget is 8 KB per second."""
        return self._sum(direction, data=False)

    def sum_data(self, direction: Direction | None = None) -> TrafficCount:
        """Return the total of batches, results and cancellations."""
        return self._sum(direction, data=True)

    def _sum(self, direction: Direction | None, data: bool) -> TrafficCount:
        total = TrafficCount()
        for (counted_direction, kind), count in self.by_type.items():
            if (kind in DATA_MESSAGES) is data and direction in (None, counted_direction):
                total.messages += count.messages
                total.frame_bytes += count.frame_bytes
        return total
