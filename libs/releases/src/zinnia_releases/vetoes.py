"""Vetoes against new versions that fail more often or answer more slowly than the old one.

A one-sided sequential test compares the answers of the two versions.
"""

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
# Bad answers from fewer distinct requests may come from the requests, not from the version.
MIN_DISTINCT_FINGERPRINTS = 3
# With fewer answers of the old version its rate is too uncertain.
MIN_BASELINE_ANSWERS = 20
# One test for faults and one for slowness, in each of five steps; they share FALSE_VETO_RATE.
TESTS_PER_SCOPE = 2 * 5
# Callers tolerate a new version whose fraction of answers above the old p95 is less than doubled.
MIN_SLOW_RATIO = 2.0
ALL_ROUTES = "all routes"


@dataclass(frozen=True, slots=True)
class Veto:
    """Decision that the new version of a move gets no more traffic."""

    service: ServiceId
    version: VersionId
    move: MoveId
    cause: str


class Sample(NamedTuple):
    """Counts of one version: ``bad`` of the ``answers`` were faulty, or slow."""

    bad: float
    answers: float

    @property
    def fraction(self) -> float:
        """Fraction of bad answers, 0 without answers."""
        return self.bad / self.answers if self.answers else 0.0


def collect_vetoes(table: FactTable, now: float) -> dict[MoveId, Veto]:
    """Return the veto of each vetoed move.

    If several VMs vetoed a move, the first origin in sort order gives the cause. Every veto fact
    counts until it expires, so no later message can undo a veto.
    """
    vetoes: dict[MoveId, Veto] = {}
    facts = table.list_facts(FactKind.VETO, now)
    for fact in sorted(facts, key=lambda fact: (fact.subject, fact.origin)):
        veto = Veto(**json.loads(fact.value))
        vetoes.setdefault(veto.move, veto)
    return vetoes


def compute_log_likelihood_ratio(new: Sample, old: Sample) -> float:
    """Return the log-likelihood ratio of different rates against a common rate of bad answers.

    The rate of the new version is integrated over a Beta(1/2, 1/2) prior, so the ratio may be
    tested after every answer; for the old version and the common rate, the maximum likelihood
    estimates are used. The result is 0 if the new version is not worse.
    """
    if new.bad * old.answers <= old.bad * new.answers:
        return 0.0
    good = new.answers - new.bad
    mixed = math.lgamma(new.bad + 0.5) + math.lgamma(good + 0.5) - math.lgamma(new.answers + 1)
    mixed -= math.log(math.pi)
    pooled = Sample(new.bad + old.bad, new.answers + old.answers)
    return mixed + _compute_max_log_likelihood(old) - _compute_max_log_likelihood(pooled)


def _compute_max_log_likelihood(sample: Sample) -> float:
    good = sample.answers - sample.bad
    total = 0.0
    for count in (sample.bad, good):
        if count:
            total += count * math.log(count / sample.answers)
    return total


def find_veto_cause(move: MoveRecord, evidence: PooledEvidence, is_new_alone: bool) -> str:
    """Return why the new version of a move must not get traffic, or an empty string.

    ``is_new_alone`` is true if the old version has no share in the current step.
    """
    routes = evidence.list_routes(move.id)
    threshold = math.log((len(routes) + 1) * TESTS_PER_SCOPE / FALSE_VETO_RATE)
    pairs = {route: _collect_pair(move, evidence, route, is_new_alone) for route in routes}
    scopes = [(ALL_ROUTES, list(pairs.values()))]
    scopes += [(f"route {route}", [pair]) for route, pair in pairs.items()]
    for scope, scope_pairs in scopes:
        cause = _test_faults(move, scope, scope_pairs, threshold)
        cause = cause or _test_slowness(move, scope, scope_pairs, threshold)
        if cause:
            return cause
    return ""


class _CountPair(NamedTuple):
    """Counts of both versions on one route, compared in the current step."""

    new: Counts
    old: Counts


def _collect_pair(
    move: MoveRecord, evidence: PooledEvidence, route: str, is_new_alone: bool
) -> _CountPair:
    new = evidence.sum_counts(move.id, move.to_version, move.step, route)
    old = evidence.find_baseline(move.id, move.from_version, move.step, route, is_new_alone)
    return _CountPair(new, old)


def _test_faults(move: MoveRecord, scope: str, pairs: list[_CountPair], threshold: float) -> str:
    new = Sample(sum(p.new.faults for p in pairs), sum(p.new.answers for p in pairs))
    old = Sample(sum(p.old.faults for p in pairs), sum(p.old.answers for p in pairs))
    fingerprints = set().union(*(pair.new.fault_fingerprints for pair in pairs))
    if not _is_worse(new, old, len(fingerprints), threshold):
        return ""
    return _describe_cause(move, "failed", scope, new, old)


def _test_slowness(move: MoveRecord, scope: str, pairs: list[_CountPair], threshold: float) -> str:
    """Compare the fractions of good answers that were slower than the old version's p95.

    The p95 is that of the same route. Returns the cause of a veto, or an empty string.
    """
    limits = [(pair, pair.old.find_quantile(SLOW_QUANTILE)) for pair in pairs]
    limits = [(pair, limit) for pair, limit in limits if limit is not None]
    new = Sample(
        sum(p.new.count_above(limit) for p, limit in limits),
        sum(p.new.timed_answers for p, _ in limits),
    )
    old = Sample(
        sum(p.old.count_above(limit) for p, limit in limits),
        sum(p.old.timed_answers for p, _ in limits),
    )
    if new.fraction < MIN_SLOW_RATIO * max(old.fraction, 1 - SLOW_QUANTILE):
        return ""
    fingerprints = set().union(*(pair.new.slow_fingerprints for pair, _ in limits))
    independent_fraction = min((pair.new.independent_fraction for pair, _ in limits), default=1.0)
    if not _is_worse(
        _scale_to_independent(new, independent_fraction),
        _scale_to_independent(old, independent_fraction),
        len(fingerprints),
        threshold,
    ):
        return ""
    return _describe_cause(move, "was slower than the old p95", scope, new, old)


def _scale_to_independent(sample: Sample, independent_fraction: float) -> Sample:
    """Return the sample scaled by the fraction of independent answers.

    Both versions are scaled by the smallest fraction of the new version on any route.
    One pause of a VM during a query of fan-out 20 made 28 of 204 answers slow, from ten queries.
    With each answer counted as independent, a good version was taken back.
    """
    return Sample(sample.bad * independent_fraction, sample.answers * independent_fraction)


def _is_worse(new: Sample, old: Sample, fingerprints: int, threshold: float) -> bool:
    if fingerprints < MIN_DISTINCT_FINGERPRINTS or old.answers < MIN_BASELINE_ANSWERS:
        return False
    return compute_log_likelihood_ratio(new, old) >= threshold


def _describe_cause(move: MoveRecord, symptom: str, scope: str, new: Sample, old: Sample) -> str:
    return (
        f"version {move.to_version} {symptom} in {new.bad} of {new.answers} answers on {scope}, "
        f"version {move.from_version} in {old.bad} of {old.answers}"
    )


class VetoRaiser:
    """Tests the version moves on one VM and publishes its vetoes.

    Parameters
    ----------
    origin : str
        Name and incarnation of this VM.
    table : FactTable
        Receives the vetoes; peers get them at once because their kind is urgent.
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
        """Test every ramping version move; return the veto facts that were added.

        A ready VM also vetoes a move that is not DONE by its due time. With a slow store, DONE may
        take effect after the due time, when VMs already treat the move as taken back; the veto
        makes sure that it stays taken back. A VM that is not ready may have missed DONE and must
        not decide this.
        """
        vetoes = collect_vetoes(self._table, now)
        facts = []
        for move in document.moves.values():
            if not _is_reviewed(move) or move.id in vetoes:
                continue
            if wall_ms >= move.due_ms:
                cause = f"not done at its hour {move.due} {move.time_zone}" if ready else ""
            else:
                cause = find_veto_cause(move, evidence, _is_new_alone(move, document))
            if cause:
                facts.append(self._publish_veto(move, cause, now))
        return facts

    def _publish_veto(self, move: MoveRecord, cause: str, now: float) -> Fact:
        veto = Veto(ServiceId(move.subject), VersionId(move.to_version), MoveId(move.id), cause)
        subject = f"{move.subject}/{move.to_version}/{move.id}"
        fact = Fact(FactKind.VETO, subject, self._origin, 1, json.dumps(asdict(veto)), VETO_TTL_S)
        self._table.put(fact, now)
        return fact


def _is_reviewed(move: MoveRecord) -> bool:
    return move.state is MoveState.RAMPING and is_version_move(move)


def _is_new_alone(move: MoveRecord, document: ConfigDocument) -> bool:
    """Return whether the old version of a move has no share in the configuration."""
    service = document.services.get(move.subject)
    old = service.versions.get(move.from_version) if service is not None else None
    return old is None or old.share == 0
