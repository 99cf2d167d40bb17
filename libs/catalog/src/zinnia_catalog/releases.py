"""Orders to roll out another version of a service, and their states."""

from dataclasses import dataclass
from enum import Enum

from zinnia_catalog.ids import ServiceName, VersionId


class ReleaseState(Enum):
    """Progress of a release; ``TAKEN_BACK`` means rolled back."""

    ORDERED = "ordered"
    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """An order to shift a service's traffic to the version ``target`` over ``duration_s`` seconds.

    ``revision`` is the revision of the stored object, for the conditional write of the next state.
    """

    service: ServiceName
    target: VersionId
    duration_s: float
    state: ReleaseState
    revision: int

    @property
    def is_open(self) -> bool:
        """Whether the release has not ended."""
        return self.state in (ReleaseState.ORDERED, ReleaseState.RUNNING)
