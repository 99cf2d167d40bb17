"""Interface for reporting events to the log."""

from abc import ABC, abstractmethod
from typing import Any


class EventSink(ABC):
    """Receives log events; must not block."""

    @abstractmethod
    def note(self, event: str, **fields: Any) -> None:
        """Report an event with its fields."""


class NullSink(EventSink):
    """Ignores all events."""

    def note(self, event: str, **fields: Any) -> None:
        """Ignore the event."""
