"""Sequential test whether a new version answers worse than the other versions of its service.

Page's cumulative sum test: each answer adds the logarithm of how much likelier it is from a bad
version than from one like the others, and the sum does not fall below 0. So a version that turns
bad after many good answers is found as quickly as one that is bad from the start.
"""

from collections import deque
from math import log

from zinnia_catalog.evidence import AnswerCounts

# A version like the others has this fraction of bad answers: a factor of theirs, as its replicas
# have just started, and at least a few by chance.
USUAL_BAD_FACTOR = 1.2
USUAL_BAD_MARGIN = 0.02
MIN_USUAL_BAD_FRACTION = 0.05
# A bad version has this much more.
BAD_FRACTION_MARGIN = 0.2
MAX_BAD_FRACTION = 0.98
# The sum of log likelihood ratios at which a version is bad, and those at which it is more likely
# bad than not when the move has to end: of all answers, and of the latest ones.
BAD_SUM = 5.0
SUSPECT_TOTAL = 1.0
SUSPECT_SUM = 3.0
# The others' bad answers of this time count as usual if there are enough answers: a disturbance of
# some seconds affects all versions.
RECENT_S = 3.0
MIN_RECENT_ANSWERS = 8


class VersionJudge:
    """Judges a new version by counts that only grow."""

    def __init__(self) -> None:
        self._counts = AnswerCounts()
        self._sum = 0.0
        self._total = 0.0
        self._snapshots: deque[tuple[float, AnswerCounts]] = deque()

    @property
    def is_bad(self) -> bool:
        """Whether the version is to be rejected at once."""
        return self._sum >= BAD_SUM

    @property
    def is_suspect(self) -> bool:
        """Whether the version is more likely bad than not."""
        return self._total >= SUSPECT_TOTAL or self._sum >= SUSPECT_SUM

    def update(self, counts: AnswerCounts, now: float) -> None:
        """Weigh the answers that have been counted since the previous update."""
        if counts == self._counts:
            return
        added = counts.subtract(self._counts)
        self._counts = counts
        self._add_snapshot(counts, now)
        if added.answers:
            usual = self._estimate_usual_fraction()
            bad = min(MAX_BAD_FRACTION, usual + BAD_FRACTION_MARGIN)
            change = added.bad * log(bad / usual) + added.good * log((1 - bad) / (1 - usual))
            self._total += change
            self._sum = max(0.0, self._sum + change)

    def _add_snapshot(self, counts: AnswerCounts, now: float) -> None:
        self._snapshots.append((now, counts))
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - RECENT_S:
            self._snapshots.popleft()

    def _estimate_usual_fraction(self) -> float:
        """Return the fraction of bad answers that a version like the others would have now."""
        others = self._counts.others_bad_fraction
        recent = self._counts.subtract(self._snapshots[0][1])
        if recent.others_good + recent.others_bad >= MIN_RECENT_ANSWERS:
            others = max(others, recent.others_bad_fraction)
        usual = max(MIN_USUAL_BAD_FRACTION, USUAL_BAD_FACTOR * others + USUAL_BAD_MARGIN)
        return min(usual, MAX_BAD_FRACTION - BAD_FRACTION_MARGIN)
