"""Replicas that crashed while they ran a request; VMs tell each other of them.

A request that crashes each replica that runs it is never answered, and does so each time it comes.
Requests that were only in flight when a replica crashed for another reason are answered elsewhere
or later; one answer clears them.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import inf

from zinnia_catalog.ids import Fingerprint, ReplicaId, ServiceName, VersionId

# Crashed replicas from which on a request is a suspect.
SUSPECT_CRASHES = 3
# Occasions on which a request has to crash replicas until it is refused. Crashes within
# ``OCCASION_GAP_S`` are one occasion, as many replicas may crash together.
REFUSAL_OCCASIONS = 3
OCCASION_GAP_S = 0.5
# Time of the first refusal, from the latest crash; it doubles with each further occasion.
FIRST_REFUSAL_S = 10.0
MAX_REFUSAL_S = 320.0
# Crashes and answers are forgotten after this time.
CRASH_TTL_S = 600.0
# Other VMs are told of suspects until these are forgotten, and of the rest for this time.
TOLD_S = 10.0
# Limits on what is remembered, the latest ones, and on what one message tells.
MAX_FINGERPRINTS = 256
MAX_CRASHES = 8
MAX_TOLD = 48


@dataclass(frozen=True, slots=True)
class Crash:
    """A replica that ended a connection without an answer while it ran a request.

    ``started_ms`` is as in ``ReplicaEntry``; ``request_id`` is that of the caller's attempt.
    ``had_answered`` tells whether the replica had answered other requests before.
    """

    fingerprint: Fingerprint
    replica: ReplicaId
    started_ms: int
    service: ServiceName
    version: VersionId
    request_id: str
    had_answered: bool
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """A request that a replica answered ``age_s`` seconds ago."""

    fingerprint: Fingerprint
    age_s: float


@dataclass(frozen=True, slots=True)
class CrashFindings:
    """Crashes without an answer since, and the latest answers to requests that had crashes."""

    crashes: tuple[Crash, ...] = ()
    answered: tuple[AnsweredRequest, ...] = ()


@dataclass(slots=True)
class _Record:
    """Crashes by process of a replica, each with its time, and the time of the latest answer."""

    crashes: dict[tuple[ReplicaId, int], tuple[float, Crash]] = field(default_factory=dict)
    answered_at: float = -inf
    changed_at: float = 0.0


class CrashTable:
    """Crashes by the fingerprint of the request; times are monotonic seconds."""

    def __init__(self) -> None:
        self._records: OrderedDict[Fingerprint, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._records

    def add(self, crash: Crash, now: float) -> bool:
        """Add a crash; return whether it was not known and the request not answered since."""
        if crash.age_s > CRASH_TTL_S:
            return False
        at = now - crash.age_s
        key = (crash.replica, crash.started_ms)
        record = self._records.get(crash.fingerprint)
        if record is None:
            record = self._records[crash.fingerprint] = _Record()
        elif at <= record.answered_at or key in record.crashes:
            return False
        record.crashes[key] = (at, crash)
        if len(record.crashes) > MAX_CRASHES:
            oldest = min(record.crashes, key=lambda known: record.crashes[known][0])
            del record.crashes[oldest]
        self._touch(crash.fingerprint, now)
        return True

    def record_answer(self, fingerprint: Fingerprint, answered_at: float, now: float) -> bool:
        """Clear a request that has been answered; return whether it had crashes before that."""
        record = self._records.get(fingerprint)
        if record is None or answered_at <= record.answered_at:
            return False
        record.answered_at = answered_at
        kept = {key: row for key, row in record.crashes.items() if row[0] > answered_at}
        is_cleared = len(kept) < len(record.crashes)
        record.crashes = kept
        if is_cleared:
            self._touch(fingerprint, now)
        return is_cleared

    def merge(self, findings: CrashFindings, now: float) -> list[Crash]:
        """Add what other VMs know; return the crashes that were not known."""
        added = [crash for crash in findings.crashes if self.add(crash, now)]
        for answered in findings.answered:
            self.record_answer(answered.fingerprint, now - answered.age_s, now)
        return added

    def list_recent(self, now: float) -> CrashFindings:
        """Return what to tell other VMs, the latest first."""
        self._discard_expired(now)
        crashes: list[Crash] = []
        answered: list[AnsweredRequest] = []
        for fingerprint, record in reversed(self._records.items()):
            is_recent = now - record.changed_at <= TOLD_S
            if is_recent or len(record.crashes) >= SUSPECT_CRASHES:
                crashes += [_with_age(crash, now - at) for at, crash in record.crashes.values()]
            if is_recent and record.answered_at > -inf:
                answered.append(AnsweredRequest(fingerprint, now - record.answered_at))
        return CrashFindings(tuple(crashes[:MAX_TOLD]), tuple(answered[:MAX_TOLD]))

    def list_crashes(self, fingerprint: Fingerprint, now: float) -> list[Crash]:
        """Return the crashes of a request since its latest answer, the oldest first."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        rows = [row for row in record.crashes.values() if now - row[0] <= CRASH_TTL_S]
        return [_with_age(crash, now - at) for at, crash in sorted(rows, key=lambda row: row[0])]

    def is_suspect(self, fingerprint: Fingerprint, request_id: str, now: float) -> bool:
        """Return whether other attempts of callers with a request have crashed replicas."""
        crashes = self.list_crashes(fingerprint, now)
        others = sum(crash.request_id != request_id for crash in crashes)
        return others >= SUSPECT_CRASHES

    def _touch(self, fingerprint: Fingerprint, now: float) -> None:
        self._records[fingerprint].changed_at = now
        self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_FINGERPRINTS:
            self._records.popitem(last=False)

    def _discard_expired(self, now: float) -> None:
        while self._records:
            fingerprint, record = next(iter(self._records.items()))
            if now - record.changed_at <= CRASH_TTL_S:
                return
            del self._records[fingerprint]


def find_refusal_time(crashes: Iterable[Crash]) -> float | None:
    """Return for how many more seconds a request with these crashes is refused, None if not.

    Only replicas that had answered other requests count: one that crashes at its first request may
    do so by itself.
    """
    solid = [crash for crash in crashes if crash.had_answered]
    occasions = count_occasions(solid)
    if len(solid) < SUSPECT_CRASHES or occasions < REFUSAL_OCCASIONS:
        return None
    refusal_s = min(MAX_REFUSAL_S, FIRST_REFUSAL_S * 2 ** (occasions - REFUSAL_OCCASIONS))
    left_s = refusal_s - min(crash.age_s for crash in solid)
    return left_s if left_s > 0 else None


def count_occasions(crashes: Iterable[Crash]) -> int:
    """Return on how many occasions these crashes happened: attempts of callers apart in time."""
    seen: set[str] = set()
    counted_age_s = inf
    for crash in sorted(crashes, key=lambda item: -item.age_s):
        if crash.request_id in seen or counted_age_s - crash.age_s < OCCASION_GAP_S:
            continue
        seen.add(crash.request_id)
        counted_age_s = crash.age_s
    return len(seen)


def _with_age(crash: Crash, age_s: float) -> Crash:
    return replace(crash, age_s=age_s)
