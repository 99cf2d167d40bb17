"""Where decisions and changes of belief are reported."""

from abc import ABC, abstractmethod
from typing import Any


class EventSink(ABC):
    """Takes events; never blocks."""

    @abstractmethod
    def note(self, event: str, **fields: Any) -> None:
        """Report a change of what this VM believes."""


class NullSink(EventSink):
    """Drops all events."""

    def note(self, event: str, **fields: Any) -> None:
        """Drop the event."""
