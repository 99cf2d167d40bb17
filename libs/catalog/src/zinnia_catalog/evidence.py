"""Evidence about the new version of a release, which the processes of all VMs pool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from zinnia_catalog.ids import ProcessId, ServiceName, VersionId

# Counts of other processes are sent on for this long after their last change. VMs that watch the
# store exchange them several times within it.
RECENT_CHANGE_S = 3.0


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Answers of the new version and of the other versions of its service; counts only grow.

    ``sends`` counts the requests that were sent to the new version, answered or not.
    """

    good: int = 0
    bad: int = 0
    others_good: int = 0
    others_bad: int = 0
    sends: int = 0

    @property
    def answers(self) -> int:
        """Number of answers of the new version."""
        return self.good + self.bad

    @property
    def bad_fraction(self) -> float:
        """Fraction (0 to 1) of bad answers of the new version; 0 without answers."""
        return self.bad / self.answers if self.answers else 0.0

    @property
    def others_bad_fraction(self) -> float:
        """Fraction (0 to 1) of bad answers of the other versions; 0 without answers."""
        others = self.others_good + self.others_bad
        return self.others_bad / others if others else 0.0

    def add(self, other: AnswerCounts) -> AnswerCounts:
        """Return the sum of these counts and others."""
        return self._combine(other, lambda mine, theirs: mine + theirs)

    def subtract(self, other: AnswerCounts) -> AnswerCounts:
        """Return the answers that these counts have and earlier ones lack."""
        return self._combine(other, lambda mine, theirs: max(0, mine - theirs))

    def merge(self, other: AnswerCounts) -> AnswerCounts:
        """Return the newer of two states of the same counts, field by field."""
        return self._combine(other, max)

    def _combine(self, other: AnswerCounts, operation: Callable[[int, int], int]) -> AnswerCounts:
        return AnswerCounts(
            operation(self.good, other.good),
            operation(self.bad, other.bad),
            operation(self.others_good, other.others_good),
            operation(self.others_bad, other.others_bad),
            operation(self.sends, other.sends),
        )


@dataclass(frozen=True, slots=True)
class Evidence:
    """What one process has counted during a release, or all processes if ``process`` is None.

    ``is_rejected`` says that the sender has rejected the version; ``age_s`` is the time since it
    first knew the order.
    """

    service: ServiceName
    target: VersionId
    process: ProcessId | None
    counts: AnswerCounts
    is_rejected: bool = False
    age_s: float = 0.0


@dataclass(slots=True)
class _ProcessCounts:
    counts: AnswerCounts
    changed_at: float


@dataclass(slots=True)
class EvidencePool:
    """Pooled counts of all processes about one new version; times are monotonic seconds.

    A process knows its own counts, those that other processes sent to it, and the highest totals
    that it has heard. So a total never falls when the VM that has collected it is lost.
    """

    own: AnswerCounts = AnswerCounts()
    _others: dict[ProcessId, _ProcessCounts] = field(default_factory=dict)
    _others_total: AnswerCounts = AnswerCounts()
    _heard: AnswerCounts = AnswerCounts()

    @property
    def total(self) -> AnswerCounts:
        """Counts of all processes, as far as they are known."""
        return self.own.add(self._others_total).merge(self._heard)

    def merge_process(self, process: ProcessId, counts: AnswerCounts, now: float) -> None:
        """Merge the counts of another process."""
        other = self._others.get(process)
        known = other.counts if other else AnswerCounts()
        merged = known.merge(counts)
        if other is None or merged != known:
            self._others[process] = _ProcessCounts(merged, now)
            self._others_total = self._others_total.add(merged.subtract(known))

    def merge_total(self, counts: AnswerCounts) -> None:
        """Merge the total of another VM."""
        self._heard = self._heard.merge(counts)

    def list_recent(self, now: float) -> list[tuple[ProcessId, AnswerCounts]]:
        """Return the counts of other processes that have changed recently."""
        return [
            (process, other.counts)
            for process, other in self._others.items()
            if now - other.changed_at <= RECENT_CHANGE_S
        ]
