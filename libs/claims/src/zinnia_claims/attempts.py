"""What a VM remembers of its own attempts."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

import trio

from zinnia_claims.records import (
    ClaimRecord,
    CommandResult,
    HolderAnswer,
    HolderState,
)
from zinnia_model.ids import AttemptId
from zinnia_model.reasons import Outcome

# A peer that read the record just before its update may ask about a recorded attempt this late.
KEEP_RECORDED_S = 60.0
MAX_RECORDED = 10_000


class Phase(Enum):
    """``SENDING`` begins before the first byte can leave, so from then on a run is possible."""

    CLAIMING = "claiming"
    SENDING = "sending"
    SETTLED = "settled"


class Hold(Enum):
    """Whether the record names the attempt; ``UNCERTAIN`` if a reply was lost."""

    NONE = "none"
    UNCERTAIN = "uncertain"
    HELD = "held"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request; ``base_version`` is the version that its claim replaces.

    ``record_known`` tells that no other attempt with the key and body ran, because this one holds
    the record or the record belongs to another body.
    """

    name: str
    record: ClaimRecord
    phase: Phase = Phase.CLAIMING
    hold: Hold = Hold.NONE
    base_version: int = 0
    version: int = 0
    record_known: bool = False
    result: CommandResult | None = None
    settled_at: float = 0.0
    finished: trio.Event = field(default_factory=trio.Event)

    @property
    def id(self) -> AttemptId:
        """Id of the attempt, as in its record."""
        return self.record.attempt_id

    @property
    def ran(self) -> bool:
        """Whether a settled attempt ran or may have run."""
        return self.result is not None and self.result.outcome is not Outcome.NOT_RUN


class AttemptBook:
    """Attempts by id and, while they last, by the name of their record."""

    def __init__(self) -> None:
        self._open: dict[str, Attempt] = {}
        self._attempts: dict[AttemptId, Attempt] = {}
        self._final: dict[str, Attempt] = {}
        self._recorded: OrderedDict[AttemptId, Attempt] = OrderedDict()

    def open(self, attempt: Attempt) -> None:
        """Remember an attempt before its claim is written."""
        self._open[attempt.name] = attempt
        self._attempts[attempt.id] = attempt

    def find_open(self, name: str) -> Attempt | None:
        """Return the attempt that is under way on this VM."""
        return self._open.get(name)

    def find_final(self, name: str) -> Attempt | None:
        """Return a settled attempt that ran or may have run."""
        return self._final.get(name)

    def settle(self, attempt: Attempt, result: CommandResult, now: float) -> None:
        """Set the result and wake the duplicates that wait for it."""
        attempt.phase, attempt.result, attempt.settled_at = Phase.SETTLED, result, now
        del self._open[attempt.name]
        if attempt.hold is Hold.NONE:
            del self._attempts[attempt.id]
        elif attempt.ran:
            self._final[attempt.name] = attempt
        attempt.finished.set()

    def mark_recorded(self, attempt: Attempt, now: float) -> None:
        """Allow the attempt to be forgotten after a while."""
        self._recorded[attempt.id] = attempt
        while self._recorded and self._may_forget(next(iter(self._recorded.values())), now):
            _, oldest = self._recorded.popitem(last=False)
            self._attempts.pop(oldest.id, None)
            if self._final.get(oldest.name) is oldest:
                del self._final[oldest.name]

    def answer(self, name: str, attempt_id: AttemptId) -> HolderAnswer:
        """Tell what is known of an attempt."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.name != name:
            return HolderAnswer(HolderState.FORGOTTEN)
        if attempt.phase is not Phase.SETTLED:
            return HolderAnswer(HolderState.RUNNING)
        state = HolderState.SETTLED if attempt.ran else HolderState.NOT_RUN
        return HolderAnswer(state, attempt.result)

    def _may_forget(self, attempt: Attempt, now: float) -> bool:
        return len(self._recorded) > MAX_RECORDED or now - attempt.settled_at > KEEP_RECORDED_S
