"""Counts of answers, faults and service times in each step of a move, pooled over all VMs."""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from zinnia_facts.table import Fact, FactKind, FactTable
from zinnia_model.configuration import ConfigDocument, MoveState
from zinnia_model.observations import Observation, ObservedResult, Observer
from zinnia_releases.changes import is_version_move

PUBLISH_INTERVAL_S = 0.5
# The report must still show the evidence when one operator hands over to the next.
EVIDENCE_TTL_S = 6 * 3600.0
# A veto needs three distinct fingerprints. A few more make pooling robust; the limit keeps the
# fact small.
MAX_FINGERPRINTS_PER_CELL = 8
FINGERPRINT_PREFIX_LENGTH = 8
# Bucket limits grow by a factor of 2^(1/4), or 19%: 0.1 ms to 60 s takes 77 buckets.
BUCKETS_PER_OCTAVE = 4
MIN_SERVICE_TIME_S = 0.0001
SLOW_QUANTILE = 0.95
# All answers of one VM in a window of this length count as one independent sample at most, because
# a stall of the VM or of its network slows all batches in flight.
STALL_WINDOW_S = 0.25
# With fewer answers, the p95 depends on the few slowest ones.
MIN_QUANTILE_ANSWERS = 100


class CellKey(NamedTuple):
    """Key of one counter cell."""

    move: str
    step: int
    version: str
    route: str


@dataclass(slots=True)
class Counts:
    """Counts of the answers of one version.

    ``buckets`` is a histogram of the service times of good answers, with logarithmic buckets; good
    answers without a known time are in ``ok`` only. ``clusters`` is the number of independent
    samples among the timed answers: those of one batch, or of one VM in one stall window, count as
    one at most, because a pause slows all of them together.
    """

    ok: int = 0
    faults: int = 0
    clusters: float = 0.0
    buckets: dict[int, int] = field(default_factory=dict)
    fault_fingerprints: set[str] = field(default_factory=set)
    slow_fingerprints: set[str] = field(default_factory=set)

    @property
    def answers(self) -> int:
        """Number of all answers, good or faulty."""
        return self.ok + self.faults

    @property
    def timed_answers(self) -> int:
        """Number of good answers with a known service time."""
        return sum(self.buckets.values())

    @property
    def independent_fraction(self) -> float:
        """Independent samples per timed answer, 1 if each batch had one sub-request."""
        timed_answers = self.timed_answers
        return min(1.0, self.clusters / timed_answers) if timed_answers else 1.0

    def add(self, other: "Counts") -> None:
        """Add the counts of another VM, step or route."""
        self.ok += other.ok
        self.clusters += other.clusters
        self.faults += other.faults
        for bucket, count in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count
        self.fault_fingerprints |= other.fault_fingerprints
        self.slow_fingerprints |= other.slow_fingerprints

    def count_above(self, threshold: int | None) -> int:
        """Return how many good answers are in buckets above ``threshold``, 0 if it is ``None``."""
        if threshold is None:
            return 0
        return sum(count for bucket, count in self.buckets.items() if bucket > threshold)

    def find_quantile(self, quantile: float) -> int | None:
        """Return the bucket that holds the quantile, or ``None`` if there are too few answers."""
        timed_answers = self.timed_answers
        if timed_answers < MIN_QUANTILE_ANSWERS:
            return None
        seen = 0
        for bucket in sorted(self.buckets):
            seen += self.buckets[bucket]
            if seen >= quantile * timed_answers:
                return bucket
        return None

    def encode(self) -> str:
        """Return the counts as JSON."""
        value = {
            "ok": self.ok,
            "faults": self.faults,
            "clusters": round(self.clusters, 3),
            "buckets": self.buckets,
            "fault_fingerprints": sorted(self.fault_fingerprints),
            "slow_fingerprints": sorted(self.slow_fingerprints),
        }
        return json.dumps(value, separators=(",", ":"))


def decode_counts(text: str) -> Counts:
    """Return the counts from the JSON value of a fact."""
    value = json.loads(text)
    return Counts(
        ok=value["ok"],
        faults=value["faults"],
        clusters=value["clusters"],
        buckets={int(bucket): count for bucket, count in value["buckets"].items()},
        fault_fingerprints=set(value["fault_fingerprints"]),
        slow_fingerprints=set(value["slow_fingerprints"]),
    )


def find_bucket(seconds: float) -> int:
    """Return the index of the logarithmic histogram bucket of a service time."""
    return max(
        0, math.ceil(BUCKETS_PER_OCTAVE * math.log2(max(seconds, 1e-9) / MIN_SERVICE_TIME_S))
    )


class PooledEvidence:
    """Counts of all VMs, added up per cell."""

    def __init__(self, cells: dict[CellKey, Counts]):
        self._cells = cells

    def count_answers(self, move: str, step: int, version: str) -> int:
        """Return how many answers a version gave in one step of a move."""
        return self.sum_counts(move, version, step).answers

    def list_routes(self, move: str) -> list[str]:
        """Return the sorted routes that have answers in a move."""
        return sorted({key.route for key in self._cells if key.move == move})

    def sum_counts(
        self, move: str, version: str, step: int | None = None, route: str | None = None
    ) -> Counts:
        """Return the counts of a version in a move, restricted to a step and a route if given."""
        total = Counts()
        for key, counts in self._cells.items():
            if key.move != move or key.version != version:
                continue
            if (step is None or key.step == step) and (route is None or key.route == route):
                total.add(counts)
        return total

    def find_baseline(
        self, move: str, version: str, step: int, route: str, is_new_alone: bool
    ) -> Counts:
        """Return the counts of the old version with which the new version is compared.

        They come from the same step and so from the same time: a fault of the environment affects
        both versions. If ``is_new_alone``, with the new version at 100%, they are added up from
        this and earlier steps, newest first, until enough answers have a known time.
        """
        if not is_new_alone:
            return self.sum_counts(move, version, step, route)
        total = Counts()
        for earlier in range(step, -1, -1):
            total.add(self.sum_counts(move, version, earlier, route))
            if total.timed_answers >= MIN_QUANTILE_ANSWERS:
                break
        return total


class FaultEvidence(Observer):
    """Counts the observations of services that have a ramping version move.

    Parameters
    ----------
    origin : str
        Name and incarnation of this VM. It must change with each restart, because the counts start
        again from zero.
    table : FactTable
        Receives the counts of this VM and holds those of the other VMs.
    """

    def __init__(self, origin: str, table: FactTable):
        self._origin = origin
        self._table = table
        # Id, step and old version of the ramping move of each service.
        self._current_steps: dict[str, tuple[str, int, str]] = {}
        self._cells: dict[CellKey, Counts] = {}
        self._changed: set[CellKey] = set()
        self._fact_versions: dict[CellKey, int] = {}
        self._cell_published_at: dict[CellKey, float] = {}
        self._crashed_replicas: set[str] = set()
        self._stall_windows: dict[CellKey, tuple[int, float]] = {}
        self._slow_thresholds: dict[tuple[str, str], int | None] = {}
        self._decoded: dict[tuple[str, str], tuple[int, CellKey, Counts]] = {}
        self._published_at = -math.inf

    def adopt(self, document: ConfigDocument) -> None:
        """Adopt the moves of a configuration; later observations count for their current step.

        Counts of moves that no longer ramp are dropped.
        """
        self._current_steps = {
            move.subject: (move.id, move.step, move.from_version)
            for move in document.moves.values()
            if move.state is MoveState.RAMPING and is_version_move(move)
        }
        ramping_moves = {move for move, _, _ in self._current_steps.values()}
        self._cells = {
            key: counts for key, counts in self._cells.items() if key.move in ramping_moves
        }
        self._stall_windows = {
            key: row for key, row in self._stall_windows.items() if key in self._cells
        }
        self._changed &= self._cells.keys()
        self._slow_thresholds = {
            key: bucket for key, bucket in self._slow_thresholds.items() if key[0] in ramping_moves
        }

    def observe(self, observation: Observation) -> None:
        """Count one answer, except from a cold replica or to a suspect request."""
        step = self._current_steps.get(observation.service)
        if step is None or observation.cold or observation.suspect:
            return
        if self._is_repeated_crash(observation):
            return
        key = CellKey(step[0], step[1], observation.version, observation.route)
        counts = self._cells.setdefault(key, Counts())
        self._changed.add(key)
        fingerprint = observation.fingerprint[:FINGERPRINT_PREFIX_LENGTH]
        if observation.result is not ObservedResult.OK:
            counts.faults += 1
            _add_within_limit(counts.fault_fingerprints, fingerprint)
            return
        counts.ok += 1
        if observation.service_time_s is None:
            return
        counts.clusters += self._compute_cluster_weight(key, observation)
        bucket = find_bucket(observation.service_time_s)
        counts.buckets[bucket] = counts.buckets.get(bucket, 0) + 1
        threshold = self._slow_thresholds.get((key.move, key.route))
        if threshold is not None and bucket > threshold:
            _add_within_limit(counts.slow_fingerprints, fingerprint)

    def _compute_cluster_weight(self, key: CellKey, observation: Observation) -> float:
        """Return how much an answer adds to ``clusters``: at most 1 for all of a stall window."""
        weight = 1 / observation.batch_size
        if observation.at_s is None:
            return weight
        window = int(observation.at_s / STALL_WINDOW_S)
        last_window, used = self._stall_windows.get(key, (window, 0.0))
        if last_window != window:
            used = 0.0
        weight = min(weight, 1.0 - used)
        self._stall_windows[key] = (window, used + weight)
        return weight

    def _is_repeated_crash(self, observation: Observation) -> bool:
        """Return whether the crash of a replica was counted since the last publication.

        The crash counts once, however many requests were in flight on the replica.
        """
        if observation.result is not ObservedResult.CRASH:
            return False
        if observation.replica in self._crashed_replicas:
            return True
        self._crashed_replicas.add(observation.replica)
        return False

    def publish(self, now: float) -> list[Fact]:
        """Put changed counts into the table; return their facts.

        Returns no facts within 500 ms of the last publication. Counts that do not change are
        published again before their facts expire.
        """
        if now - self._published_at < PUBLISH_INTERVAL_S:
            return []
        self._published_at = now
        self._crashed_replicas.clear()
        self._changed |= {
            key
            for key in self._cells
            if now - self._cell_published_at.get(key, now) > EVIDENCE_TTL_S / 2
        }
        facts = [self._make_fact(key) for key in sorted(self._changed)]
        self._cell_published_at.update(dict.fromkeys(self._changed, now))
        self._changed.clear()
        for fact in facts:
            self._table.put(fact, now)
        self._update_slow_thresholds(now)
        return facts

    def _make_fact(self, key: CellKey) -> Fact:
        self._fact_versions[key] = self._fact_versions.get(key, 0) + 1
        return Fact(
            FactKind.FAULT_COUNTS,
            json.dumps(key, separators=(",", ":")),
            self._origin,
            self._fact_versions[key],
            self._cells[key].encode(),
            EVIDENCE_TTL_S,
        )

    def _update_slow_thresholds(self, now: float) -> None:
        if not self._current_steps:
            return
        evidence = self.pool(now)
        for move, step, old in self._current_steps.values():
            for route in evidence.list_routes(move):
                baseline = evidence.find_baseline(move, old, step, route, is_new_alone=True)
                self._slow_thresholds[(move, route)] = baseline.find_quantile(SLOW_QUANTILE)

    def pool(self, now: float) -> PooledEvidence:
        """Return the published counts of all VMs, including this one."""
        facts = self._table.list_facts(FactKind.FAULT_COUNTS, now)
        cells: dict[CellKey, Counts] = {}
        for key, counts in self._decode_facts(facts):
            cells.setdefault(key, Counts()).add(counts)
        return PooledEvidence(cells)

    def _decode_facts(self, facts: Iterable[Fact]) -> list[tuple[CellKey, Counts]]:
        """Decode facts; reuse the result for facts with the same version as at the last call."""
        decoded, result = {}, []
        for fact in facts:
            key = (fact.subject, fact.origin)
            known = self._decoded.get(key)
            if known is None or known[0] != fact.version:
                known = (
                    fact.version,
                    CellKey(*json.loads(fact.subject)),
                    decode_counts(fact.value),
                )
            decoded[key] = known
            result.append((known[1], known[2]))
        self._decoded = decoded
        return result


def _add_within_limit(fingerprints: set[str], fingerprint: str) -> None:
    if len(fingerprints) < MAX_FINGERPRINTS_PER_CELL:
        fingerprints.add(fingerprint)
