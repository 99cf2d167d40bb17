"""In-memory state of the attempts that this VM made."""

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

# A recorded attempt is kept until this long after it was settled, because a peer that read the
# record just before its update may still ask about it.
RECORDED_ATTEMPT_LIFETIME_S = 60.0
MAX_RECORDED_ATTEMPTS = 10_000


class AttemptPhase(Enum):
    """Phase of an attempt.

    ``SENDING`` starts before the first byte is sent; from then on the request may have run.
    """

    CLAIMING = "claiming"
    SENDING = "sending"
    SETTLED = "settled"


class RecordHold(Enum):
    """Whether the claim record names the attempt; ``UNCERTAIN`` if a write's reply was lost."""

    NONE = "none"
    UNCERTAIN = "uncertain"
    HELD = "held"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request.

    ``name`` is the name of its claim record. ``replaced_version`` is the record version that the
    claim replaces, and ``record_version`` the version that the claim wrote. With
    ``other_run_excluded``, no other attempt with the key and body ran, because this one holds the
    record or the record belongs to another body.
    """

    name: str
    record: ClaimRecord
    phase: AttemptPhase = AttemptPhase.CLAIMING
    hold: RecordHold = RecordHold.NONE
    replaced_version: int = 0
    record_version: int = 0
    other_run_excluded: bool = False
    result: CommandResult | None = None
    settled_at: float = 0.0
    finished: trio.Event = field(default_factory=trio.Event)

    @property
    def id(self) -> AttemptId:
        """Id of the attempt, as in its claim record."""
        return self.record.attempt_id

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt is settled and its request ran or may have run."""
        return self.result is not None and self.result.outcome is not Outcome.NOT_RUN


class AttemptRegistry:
    """Attempts by id; open and final ones also by the name of their claim record.

    A final attempt is settled and ran or may have run.
    """

    def __init__(self) -> None:
        self._open: dict[str, Attempt] = {}
        self._attempts: dict[AttemptId, Attempt] = {}
        self._final: dict[str, Attempt] = {}
        self._recorded: OrderedDict[AttemptId, Attempt] = OrderedDict()

    def add_open(self, attempt: Attempt) -> None:
        """Add an attempt before its claim is written."""
        self._open[attempt.name] = attempt
        self._attempts[attempt.id] = attempt

    def find_open(self, name: str) -> Attempt | None:
        """Return the attempt for a record that is not settled yet, None if there is none."""
        return self._open.get(name)

    def find_final(self, name: str) -> Attempt | None:
        """Return the final attempt for a record, None if there is none."""
        return self._final.get(name)

    def settle(self, attempt: Attempt, result: CommandResult, now: float) -> None:
        """Set the result of an attempt and wake the duplicate requests that wait for it."""
        attempt.phase, attempt.result, attempt.settled_at = AttemptPhase.SETTLED, result, now
        del self._open[attempt.name]
        if attempt.hold is RecordHold.NONE:
            del self._attempts[attempt.id]
        elif attempt.may_have_run:
            self._final[attempt.name] = attempt
        attempt.finished.set()

    def mark_recorded(self, attempt: Attempt, now: float) -> None:
        """Mark an attempt as recorded, and drop recorded attempts that are past their lifetime."""
        self._recorded[attempt.id] = attempt
        while self._recorded and self._may_forget(next(iter(self._recorded.values())), now):
            _, oldest = self._recorded.popitem(last=False)
            self._attempts.pop(oldest.id, None)
            if self._final.get(oldest.name) is oldest:
                del self._final[oldest.name]

    def answer(self, name: str, attempt_id: AttemptId) -> HolderAnswer:
        """Return what this VM knows about an attempt."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.name != name:
            return HolderAnswer(HolderState.FORGOTTEN)
        if attempt.phase is not AttemptPhase.SETTLED:
            return HolderAnswer(HolderState.RUNNING)
        state = HolderState.SETTLED if attempt.may_have_run else HolderState.NOT_RUN
        return HolderAnswer(state, attempt.result)

    def _may_forget(self, attempt: Attempt, now: float) -> bool:
        return (
            len(self._recorded) > MAX_RECORDED_ATTEMPTS
            or now - attempt.settled_at > RECORDED_ATTEMPT_LIFETIME_S
        )
