"""Orders that move a service to another version, and their states."""

from dataclasses import dataclass
from enum import Enum

from zinnia_catalog.ids import ServiceName, VersionId


class ReleaseState(Enum):
    """Where a version move stands."""

    ORDERED = "ordered"
    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """An order to move a service's traffic to a version within ``duration_s`` seconds.

    ``revision`` is that of the stored object, for the conditional write of the next state.
    """

    service: ServiceName
    target: VersionId
    duration_s: float
    state: ReleaseState
    revision: int

    @property
    def is_open(self) -> bool:
        """Whether the move has not ended."""
        return self.state in (ReleaseState.ORDERED, ReleaseState.RUNNING)
