"""Counts of messages and bytes between daemons."""

from dataclasses import dataclass, field
from enum import Enum

from zinnia_model.messages import Cancel, Results, SubmitBatch

DATA_MESSAGES = frozenset({SubmitBatch, Results, Cancel})


class Direction(Enum):
    """Whether bytes were sent or received."""

    SENT = "sent"
    RECEIVED = "received"


@dataclass(slots=True)
class Count:
    """Messages and bytes, frame headers included."""

    messages: int = 0
    frame_bytes: int = 0


@dataclass(slots=True)
class PeerCounters:
    """Counts by direction and message type; queries (data) and control apart."""

    by_type: dict[tuple[Direction, type], Count] = field(default_factory=dict)
    crossed_results: int = 0
    late_results: int = 0
    reconnects: int = 0
    silent_links: int = 0

    def add(self, direction: Direction, kind: type, frame_bytes: int) -> None:
        """Count one message."""
        count = self.by_type.get((direction, kind))
        if count is None:
            count = self.by_type[direction, kind] = Count()
        count.messages += 1
        count.frame_bytes += frame_bytes

    def sum_control(self, direction: Direction | None = None) -> Count:
        """Return the sum over control messages, which the budget of 8 KB a second covers."""
        return self._sum(direction, data=False)

    def sum_data(self, direction: Direction | None = None) -> Count:
        """Return the sum over batches, results and cancellations."""
        return self._sum(direction, data=True)

    def _sum(self, direction: Direction | None, data: bool) -> Count:
        total = Count()
        for (counted, kind), count in self.by_type.items():
            if (kind in DATA_MESSAGES) is data and direction in (None, counted):
                total.messages += count.messages
                total.frame_bytes += count.frame_bytes
        return total
