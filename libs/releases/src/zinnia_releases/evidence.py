"""Counts of faults and service times per step of a move, pooled over all VMs."""

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
# Long enough for the report at the handover between two operators.
EVIDENCE_TTL_S = 6 * 3600.0
# Three distinct fingerprints decide; a few more make pooling robust and keep the fact small.
MAX_FINGERPRINTS = 8
FINGERPRINT_DIGITS = 8
# Buckets grow by 2^(1/4), 19%: 0.1 ms to 60 s takes 77 buckets.
BUCKETS_PER_OCTAVE = 4
SMALLEST_TIME_S = 0.0001
SLOW_QUANTILE = 0.95
# Answers of one VM within this time are one independent sample at most, in seconds: a stall of the
# VM or of its network slows all batches of the moment.
INDEPENDENT_S = 0.25
# The p95 of fewer answers rests on the few slowest ones.
MIN_QUANTILE_ANSWERS = 100


class CellKey(NamedTuple):
    """What one counter cell counts."""

    move: str
    step: int
    version: str
    route: str


@dataclass(slots=True)
class Counts:
    """Answers of one version; ``buckets`` is a log-bucket histogram of the times of good ones.

    Good answers without a known time are in ``ok`` only. ``clusters`` counts the timed answers with
    those of one batch, and of one moment on one VM, as one: a pause slows all of them together, so
    they are no independent samples of slowness.
    """

    ok: int = 0
    faults: int = 0
    clusters: float = 0.0
    buckets: dict[int, int] = field(default_factory=dict)
    fault_fingerprints: set[str] = field(default_factory=set)
    slow_fingerprints: set[str] = field(default_factory=set)

    @property
    def answers(self) -> int:
        """All answers, good or not."""
        return self.ok + self.faults

    @property
    def timed(self) -> int:
        """Good answers with a known time."""
        return sum(self.buckets.values())

    @property
    def independence(self) -> float:
        """Independent samples per timed answer, 1 if every batch had one sub-request."""
        timed = self.timed
        return min(1.0, self.clusters / timed) if timed else 1.0

    def add(self, other: "Counts") -> None:
        """Add the counts of another VM, step or route."""
        self.ok += other.ok
        self.clusters += other.clusters
        self.faults += other.faults
        for bucket, count in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count
        self.fault_fingerprints |= other.fault_fingerprints
        self.slow_fingerprints |= other.slow_fingerprints

    def count_slow(self, threshold: int | None) -> int:
        """Return the good answers in buckets above the threshold."""
        if threshold is None:
            return 0
        return sum(count for bucket, count in self.buckets.items() if bucket > threshold)

    def find_quantile(self, quantile: float) -> int | None:
        """Return the bucket of the quantile, ``None`` while there are too few answers."""
        timed = self.timed
        if timed < MIN_QUANTILE_ANSWERS:
            return None
        seen = 0
        for bucket in sorted(self.buckets):
            seen += self.buckets[bucket]
            if seen >= quantile * timed:
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
    """Return the counts of a fact's value."""
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
    """Return the log bucket of a service time."""
    return max(0, math.ceil(BUCKETS_PER_OCTAVE * math.log2(max(seconds, 1e-9) / SMALLEST_TIME_S)))


class PooledEvidence:
    """The sum of the counts of all VMs."""

    def __init__(self, cells: dict[CellKey, Counts]):
        self._cells = cells

    def count_answers(self, move: str, step: int, version: str) -> int:
        """Return the answers of a version in one step of a move."""
        return self.sum_counts(move, version, step).answers

    def list_routes(self, move: str) -> list[str]:
        """Return the routes that have answers in a move."""
        return sorted({key.route for key in self._cells if key.move == move})

    def sum_counts(
        self, move: str, version: str, step: int | None = None, route: str | None = None
    ) -> Counts:
        """Return the counts of a version, of one step and route if they are given."""
        total = Counts()
        for key, counts in self._cells.items():
            if key.move != move or key.version != version:
                continue
            if (step is None or key.step == step) and (route is None or key.route == route):
                total.add(counts)
        return total

    def find_baseline(self, move: str, version: str, step: int, route: str, alone: bool) -> Counts:
        """Return the old version's counts of this step, with which the new one is compared.

        Counts of the same step are from the same time, so a fault of the environment shows in both
        versions. Only where the new version is ``alone``, at 100%, earlier steps have to serve.
        """
        if not alone:
            return self.sum_counts(move, version, step, route)
        total = Counts()
        for earlier in range(step, -1, -1):
            total.add(self.sum_counts(move, version, earlier, route))
            if total.timed >= MIN_QUANTILE_ANSWERS:
                break
        return total


class FaultEvidence(Observer):
    """Counts observations of services that have a version move under way.

    Parameters
    ----------
    origin : str
        Incarnation of this VM; a restart must differ, because its counts start at zero.
    table : FactTable
        Where counts are published and the counts of other VMs are read.
    """

    def __init__(self, origin: str, table: FactTable):
        self._origin = origin
        self._table = table
        self._steps: dict[str, tuple[str, int, str]] = {}
        self._cells: dict[CellKey, Counts] = {}
        self._changed: set[CellKey] = set()
        self._versions: dict[CellKey, int] = {}
        self._sent_at: dict[CellKey, float] = {}
        self._crashed: set[str] = set()
        self._moments: dict[CellKey, tuple[int, float]] = {}
        self._thresholds: dict[tuple[str, str], int | None] = {}
        self._decoded: dict[tuple[str, str], tuple[int, CellKey, Counts]] = {}
        self._published_at = -math.inf

    def adopt(self, document: ConfigDocument) -> None:
        """Take the moves of a configuration; later observations count for their current step."""
        self._steps = {
            move.subject: (move.id, move.step, move.from_version)
            for move in document.moves.values()
            if move.state is MoveState.RAMPING and is_version_move(move)
        }
        kept = {move for move, _, _ in self._steps.values()}
        self._cells = {key: counts for key, counts in self._cells.items() if key.move in kept}
        self._moments = {key: row for key, row in self._moments.items() if key in self._cells}
        self._changed &= self._cells.keys()
        self._thresholds = {
            key: bucket for key, bucket in self._thresholds.items() if key[0] in kept
        }

    def observe(self, observation: Observation) -> None:
        """Count one answer unless it came from a cold replica or a suspect request."""
        step = self._steps.get(observation.service)
        if step is None or observation.cold or observation.suspect:
            return
        if self._is_repeated_crash(observation):
            return
        key = CellKey(step[0], step[1], observation.version, observation.route)
        counts = self._cells.setdefault(key, Counts())
        self._changed.add(key)
        fingerprint = observation.fingerprint[:FINGERPRINT_DIGITS]
        if observation.result is not ObservedResult.OK:
            counts.faults += 1
            _add_capped(counts.fault_fingerprints, fingerprint)
            return
        counts.ok += 1
        if observation.service_time_s is None:
            return
        counts.clusters += self._weigh(key, observation)
        bucket = find_bucket(observation.service_time_s)
        counts.buckets[bucket] = counts.buckets.get(bucket, 0) + 1
        threshold = self._thresholds.get((key.move, key.route))
        if threshold is not None and bucket > threshold:
            _add_capped(counts.slow_fingerprints, fingerprint)

    def _weigh(self, key: CellKey, observation: Observation) -> float:
        """Return what an answer adds to the independent samples, at most 1 for all of a moment."""
        weight = 1 / observation.batch_size
        if observation.at_s is None:
            return weight
        moment = int(observation.at_s / INDEPENDENT_S)
        known, used = self._moments.get(key, (moment, 0.0))
        if known != moment:
            used = 0.0
        weight = min(weight, 1.0 - used)
        self._moments[key] = (moment, used + weight)
        return weight

    def _is_repeated_crash(self, observation: Observation) -> bool:
        """Count the crash of a replica once, however many requests were in flight on it."""
        if observation.result is not ObservedResult.CRASH:
            return False
        if observation.replica in self._crashed:
            return True
        self._crashed.add(observation.replica)
        return False

    def publish(self, now: float) -> list[Fact]:
        """Put changed counts into the table; return the facts, none within 500 ms of the last."""
        if now - self._published_at < PUBLISH_INTERVAL_S:
            return []
        self._published_at = now
        self._crashed.clear()
        self._changed |= {
            key for key in self._cells if now - self._sent_at.get(key, now) > EVIDENCE_TTL_S / 2
        }
        facts = [self._make_fact(key) for key in sorted(self._changed)]
        self._sent_at.update(dict.fromkeys(self._changed, now))
        self._changed.clear()
        for fact in facts:
            self._table.put(fact, now)
        self._update_thresholds(now)
        return facts

    def _make_fact(self, key: CellKey) -> Fact:
        self._versions[key] = self._versions.get(key, 0) + 1
        return Fact(
            FactKind.FAULT_COUNTS,
            json.dumps(key, separators=(",", ":")),
            self._origin,
            self._versions[key],
            self._cells[key].encode(),
            EVIDENCE_TTL_S,
        )

    def _update_thresholds(self, now: float) -> None:
        if not self._steps:
            return
        evidence = self.pool(now)
        for move, step, old in self._steps.values():
            for route in evidence.list_routes(move):
                baseline = evidence.find_baseline(move, old, step, route, alone=True)
                self._thresholds[(move, route)] = baseline.find_quantile(SLOW_QUANTILE)

    def pool(self, now: float) -> PooledEvidence:
        """Return the published counts of all VMs, this one included."""
        facts = self._table.list_facts(FactKind.FAULT_COUNTS, now)
        cells: dict[CellKey, Counts] = {}
        for key, counts in self._decode_facts(facts):
            cells.setdefault(key, Counts()).add(counts)
        return PooledEvidence(cells)

    def _decode_facts(self, facts: Iterable[Fact]) -> list[tuple[CellKey, Counts]]:
        """Decode facts, each version once, because most do not change between two calls."""
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


def _add_capped(fingerprints: set[str], fingerprint: str) -> None:
    if len(fingerprints) < MAX_FINGERPRINTS:
        fingerprints.add(fingerprint)
