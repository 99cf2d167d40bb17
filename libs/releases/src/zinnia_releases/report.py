"""Report of the moves, which operators read and hand over to the next operator."""

from collections.abc import Mapping

from zinnia_model.configuration import ConfigDocument, Model, MoveKind, MoveRecord, MoveState
from zinnia_model.ids import MoveId, ServiceId, VersionId
from zinnia_releases.changes import is_version_move
from zinnia_releases.evidence import PooledEvidence
from zinnia_releases.local_times import format_local
from zinnia_releases.moves import (
    DEFAULT_POLICY,
    MovePolicy,
    compute_effective_shares,
    find_take_back_cause,
)
from zinnia_releases.vetoes import Veto


class VersionEvidence(Model):
    """Counts of the answers of one version in a move, over all VMs and steps.

    ``distinct_faults`` is the number of distinct request fingerprints kept for faulty answers.
    """

    version: str
    answers: int
    faults: int
    distinct_faults: int


class MoveReport(Model):
    """Current state of one move.

    ``state`` is the state that every VM applies; ``recorded`` is the state in the configuration
    document, which may be older while the store is down. ``share`` is the effective share of the
    new version. ``due`` and ``settled`` are local times in ``time_zone``.
    """

    id: str
    note: str
    kind: MoveKind
    subject: str
    operator: str
    state: MoveState
    recorded: MoveState
    from_version: str = ""
    to_version: str = ""
    share: float = 0.0
    target_share: float = 1.0
    step: int = 0
    steps: int = 0
    due: str
    time_zone: str
    seconds_left: float = 0.0
    settled: str = ""
    cause: str = ""
    evidence: tuple[VersionEvidence, ...] = ()


def report_moves(
    document: ConfigDocument,
    evidence: PooledEvidence,
    vetoes: Mapping[MoveId, Veto],
    wall_ms: int,
    policy: MovePolicy = DEFAULT_POLICY,
) -> list[MoveReport]:
    """Return a report of each move: unfinished moves first, and the newest first in each group."""
    reports = [
        _report_move(move, document, evidence, vetoes, wall_ms, policy)
        for move in reversed(document.moves.values())
    ]
    final_states = (MoveState.DONE, MoveState.TAKEN_BACK)
    return sorted(reports, key=lambda report: report.state in final_states)


def _report_move(
    move: MoveRecord,
    document: ConfigDocument,
    evidence: PooledEvidence,
    vetoes: Mapping[MoveId, Veto],
    wall_ms: int,
    policy: MovePolicy,
) -> MoveReport:
    cause = find_take_back_cause(move, document, vetoes, wall_ms)
    state = MoveState.TAKEN_BACK if cause else move.state
    shares = compute_effective_shares(ServiceId(move.subject), document, vetoes, wall_ms)
    is_ramp = is_version_move(move)
    return MoveReport(
        id=move.id,
        note=move.note,
        kind=move.kind,
        subject=move.subject,
        operator=move.operator,
        state=state,
        recorded=move.state,
        from_version=move.from_version,
        to_version=move.to_version,
        share=shares.get(VersionId(move.to_version), 0.0),
        target_share=move.target_share,
        step=move.step + 1 if is_ramp else 0,
        steps=len(policy.list_steps(move.target_share)) if is_ramp else 0,
        due=move.due,
        time_zone=move.time_zone,
        seconds_left=max(0.0, (move.due_ms - wall_ms) / 1000),
        settled=format_local(move.settled_ms, move.time_zone) if move.settled_ms else "",
        cause=cause or move.cause,
        evidence=_sum_evidence(move, evidence) if is_ramp else (),
    )


def _sum_evidence(move: MoveRecord, evidence: PooledEvidence) -> tuple[VersionEvidence, ...]:
    rows = []
    for version in (move.from_version, move.to_version):
        counts = evidence.sum_counts(move.id, version)
        rows.append(
            VersionEvidence(
                version=version,
                answers=counts.answers,
                faults=counts.faults,
                distinct_faults=len(counts.fault_fingerprints),
            )
        )
    return tuple(rows)
