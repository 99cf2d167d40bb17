"""Traces of the decisions taken for a request."""

from dataclasses import dataclass, field

from zinnia_model.ids import RequestId


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One decision; ``at_s`` is the time in seconds since the arrival of the request."""

    at_s: float
    event: str
    detail: str = ""


@dataclass(slots=True)
class RequestTrace:
    """The decisions taken for one request, in order."""

    request_id: RequestId
    started_at: float
    events: list[TraceEvent] = field(default_factory=list)

    def add(self, now: float, event: str, detail: str = "") -> None:
        """Append an event; ``now`` is in seconds on the runtime's clock."""
        self.events.append(TraceEvent(round(now - self.started_at, 6), event, detail))
