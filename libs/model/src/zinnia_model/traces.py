"""Traces that explain what happened to one request."""

from dataclasses import dataclass, field

from zinnia_model.ids import RequestId


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One decision; ``at_s`` counts seconds from the arrival of the request."""

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
        """Append an event at the runtime's time ``now``."""
        self.events.append(TraceEvent(round(now - self.started_at, 6), event, detail))
