"""Vetoes against bad versions, by a one-sided sequential test."""

import json
import math
from dataclasses import asdict, dataclass
from typing import NamedTuple

from zinnia_facts.table import Fact, FactKind, FactTable
from zinnia_model.configuration import ConfigDocument, MoveRecord, MoveState
from zinnia_model.ids import MoveId, ServiceId, VersionId
from zinnia_releases.changes import is_version_move
from zinnia_releases.evidence import SLOW_QUANTILE, Counts, PooledEvidence

VETO_TTL_S = 24 * 3600.0
FALSE_VETO_RATE = 0.001
MIN_FINGERPRINTS = 3
# With fewer answers the rate of the old version is unknown.
MIN_BASELINE_ANSWERS = 20
# Fault and slow tests, in each of five steps.
TESTS_PER_SCOPE = 2 * 5
# A version whose tail beyond the old p95 is less than twice as heavy is no fault for callers.
SLOW_FACTOR = 2.0
OVERALL = "all routes"


@dataclass(frozen=True, slots=True)
class Veto:
    """A decision against the new version of a move."""

    service: ServiceId
    version: VersionId
    move: MoveId
    cause: str


class Sample(NamedTuple):
    """``bad`` of ``answers`` answers had the property under test."""

    bad: float
    answers: float

    @property
    def fraction(self) -> float:
        """Bad answers per answer, 0 without answers."""
        return self.bad / self.answers if self.answers else 0.0


def collect_vetoes(table: FactTable, now: float) -> dict[MoveId, Veto]:
    """Return the veto of each vetoed move; of several origins the first in order gives the cause.

    Any live fact is a veto, so no later message can undo one.
    """
    vetoes: dict[MoveId, Veto] = {}
    facts = table.list_facts(FactKind.VETO, now)
    for fact in sorted(facts, key=lambda fact: (fact.subject, fact.origin)):
        veto = Veto(**json.loads(fact.value))
        vetoes.setdefault(veto.move, veto)
    return vetoes


def compute_ratio(new: Sample, old: Sample) -> float:
    """Return the log-likelihood ratio that the new version's rate exceeds the old one's.

    The rate of the new version is integrated over a Beta(1/2, 1/2) prior, which makes the ratio
    safe to test after every answer; the rate of the old version and the common rate are the most
    likely ones. Zero if the new version is not worse.
    """
    if new.bad * old.answers <= old.bad * new.answers:
        return 0.0
    good = new.answers - new.bad
    mixed = math.lgamma(new.bad + 0.5) + math.lgamma(good + 0.5) - math.lgamma(new.answers + 1)
    mixed -= math.log(math.pi)
    pooled = Sample(new.bad + old.bad, new.answers + old.answers)
    return mixed + _max_likelihood(old) - _max_likelihood(pooled)


def _max_likelihood(sample: Sample) -> float:
    good = sample.answers - sample.bad
    total = 0.0
    for part in (sample.bad, good):
        if part:
            total += part * math.log(part / sample.answers)
    return total


def find_cause(move: MoveRecord, evidence: PooledEvidence, alone: bool) -> str:
    """Return why the new version of a move must not get traffic, empty if nothing shows.

    ``alone`` tells that the old version has no share in the current step.
    """
    routes = evidence.list_routes(move.id)
    threshold = math.log((len(routes) + 1) * TESTS_PER_SCOPE / FALSE_VETO_RATE)
    pairs = {route: _read_pair(move, evidence, route, alone) for route in routes}
    scopes = [(OVERALL, list(pairs.values()))]
    scopes += [(f"route {route}", [pair]) for route, pair in pairs.items()]
    for scope, scope_pairs in scopes:
        cause = _test_faults(move, scope, scope_pairs, threshold)
        cause = cause or _test_slowness(move, scope, scope_pairs, threshold)
        if cause:
            return cause
    return ""


class _Pair(NamedTuple):
    """Counts of one route in the current step."""

    new: Counts
    old: Counts


def _read_pair(move: MoveRecord, evidence: PooledEvidence, route: str, alone: bool) -> _Pair:
    new = evidence.sum_counts(move.id, move.to_version, move.step, route)
    old = evidence.find_baseline(move.id, move.from_version, move.step, route, alone)
    return _Pair(new, old)


def _test_faults(move: MoveRecord, scope: str, pairs: list[_Pair], threshold: float) -> str:
    new = Sample(sum(p.new.faults for p in pairs), sum(p.new.answers for p in pairs))
    old = Sample(sum(p.old.faults for p in pairs), sum(p.old.answers for p in pairs))
    fingerprints = set().union(*(pair.new.fault_fingerprints for pair in pairs))
    if not _is_worse(new, old, len(fingerprints), threshold):
        return ""
    return _describe(move, "failed", scope, new, old)


def _test_slowness(move: MoveRecord, scope: str, pairs: list[_Pair], threshold: float) -> str:
    """Compare the parts of good answers above the old version's p95 of their route."""
    limits = [(pair, pair.old.find_quantile(SLOW_QUANTILE)) for pair in pairs]
    limits = [(pair, limit) for pair, limit in limits if limit is not None]
    new = Sample(sum(p.new.count_slow(b) for p, b in limits), sum(p.new.timed for p, _ in limits))
    old = Sample(sum(p.old.count_slow(b) for p, b in limits), sum(p.old.timed for p, _ in limits))
    if new.fraction < SLOW_FACTOR * max(old.fraction, 1 - SLOW_QUANTILE):
        return ""
    fingerprints = set().union(*(pair.new.slow_fingerprints for pair, _ in limits))
    independence = min((pair.new.independence for pair, _ in limits), default=1.0)
    if not _is_worse(
        _deflate(new, independence), _deflate(old, independence), len(fingerprints), threshold
    ):
        return ""
    return _describe(move, "was slower than the old p95", scope, new, old)


def _deflate(sample: Sample, independence: float) -> Sample:
    """Return the sample with the weight of its independent part.

    One pause of a VM during a query of fan-out 20 made 28 of 204 answers slow, from ten queries;
    with each answer counted for itself, a good version was taken back.
    """
    return Sample(sample.bad * independence, sample.answers * independence)


def _is_worse(new: Sample, old: Sample, fingerprints: int, threshold: float) -> bool:
    if fingerprints < MIN_FINGERPRINTS or old.answers < MIN_BASELINE_ANSWERS:
        return False
    return compute_ratio(new, old) >= threshold


def _describe(move: MoveRecord, what: str, scope: str, new: Sample, old: Sample) -> str:
    return (
        f"version {move.to_version} {what} in {new.bad} of {new.answers} answers on {scope}, "
        f"version {move.from_version} in {old.bad} of {old.answers}"
    )


class VetoRaiser:
    """Publishes the vetoes of one VM.

    Parameters
    ----------
    origin : str
        Incarnation of this VM.
    table : FactTable
        Where vetoes are put; the peers get them at once because their kind is urgent.
    """

    def __init__(self, origin: str, table: FactTable):
        self._origin = origin
        self._table = table

    def review(
        self,
        document: ConfigDocument,
        evidence: PooledEvidence,
        wall_ms: int,
        now: float,
        ready: bool = True,
    ) -> list[Fact]:
        """Test every version move under way; return the veto facts that were added.

        A VM that is ready also vetoes a move whose hour passed without DONE. A slow store may let
        a DONE take effect after the hour, when VMs already treat the move as taken back; the veto
        keeps that decision. A VM that is not ready may miss a DONE and must not decide this.
        """
        vetoes = collect_vetoes(self._table, now)
        facts = []
        for move in document.moves.values():
            if not _is_reviewed(move) or move.id in vetoes:
                continue
            if wall_ms >= move.due_ms:
                cause = f"not done at its hour {move.due} {move.time_zone}" if ready else ""
            else:
                cause = find_cause(move, evidence, _is_alone(move, document))
            if cause:
                facts.append(self._raise(move, cause, now))
        return facts

    def _raise(self, move: MoveRecord, cause: str, now: float) -> Fact:
        veto = Veto(ServiceId(move.subject), VersionId(move.to_version), MoveId(move.id), cause)
        subject = f"{move.subject}/{move.to_version}/{move.id}"
        fact = Fact(FactKind.VETO, subject, self._origin, 1, json.dumps(asdict(veto)), VETO_TTL_S)
        self._table.put(fact, now)
        return fact


def _is_reviewed(move: MoveRecord) -> bool:
    return move.state is MoveState.RAMPING and is_version_move(move)


def _is_alone(move: MoveRecord, document: ConfigDocument) -> bool:
    """Return whether the old version of a move has no share now."""
    service = document.services.get(move.subject)
    old = service.versions.get(move.from_version) if service is not None else None
    return old is None or old.share == 0
