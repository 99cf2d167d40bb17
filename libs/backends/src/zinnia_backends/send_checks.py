"""Checks, made just before each send, of whether a replica may get work."""

from collections.abc import Callable

from zinnia_backends.replica import ACTING_STANDINGS, Replica
from zinnia_backends.temperature import ColdEvidence
from zinnia_facts.table import FactKind, FactTable
from zinnia_model.ids import ReplicaId
from zinnia_model.ownership import Standing
from zinnia_model.reasons import Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord

HANDOVER_TTL_S = 5.0  # an older handed-over state may be outdated

_REFUSAL_REASONS = {
    Standing.NOT_OWNER: Reason.NOT_OWNER,
    Standing.NO_MAJORITY: Reason.NO_MAJORITY,
}


def read_latest_states(facts: FactTable, now: float) -> dict[str, ReplicaFact]:
    """Return the newest published state of each replica; versions are wall clock times."""
    newest: dict[str, tuple[int, str]] = {}
    for fact in facts.list_facts(FactKind.REPLICA_STATE, now):
        if fact.version > newest.get(fact.subject, (-1, ""))[0]:
            newest[fact.subject] = (fact.version, fact.value)
    return {key: ReplicaFact.model_validate_json(value) for key, (_, value) in newest.items()}


class SendChecker:
    """Checks ownership, operators' decisions and the replica's own state.

    Each check also tracks whether this VM acts as owner, because a replica that it takes over
    without a handover must be marked cold.
    """

    def __init__(
        self,
        standing: Callable[[ReplicaId], Standing],
        blocked: Callable[[ReplicaRecord], Reason | None],
        facts: FactTable,
    ):
        self._standing = standing
        self._blocked = blocked
        self._facts = facts

    def check(self, replica: Replica, now: float) -> tuple[Standing, Reason | None]:
        """Return this VM's standing and the reason to refuse queued attempts, or None."""
        standing = replica.standing = self._standing(replica.id)
        self._apply_standing(replica, standing, now)
        if standing in _REFUSAL_REASONS:
            return standing, _REFUSAL_REASONS[standing]
        if replica.removed:
            return standing, Reason.NO_REPLICA
        if replica.draining:
            return standing, Reason.DRAINING
        reason = self._blocked(replica.record)
        if reason is None and standing is Standing.DEGRADED and replica.temperature.cold:
            reason = Reason.COLD
        return standing, reason

    def _apply_standing(self, replica: Replica, standing: Standing, now: float) -> None:
        if standing is Standing.WAITING:
            self._start_waiting(replica, now)
            return
        replica.waiting_until = None
        if standing not in ACTING_STANDINGS:
            replica.acting = False
            return
        if replica.acting:
            return
        replica.acting = True
        self._start_acting(replica, standing, now)

    def _start_waiting(self, replica: Replica, now: float) -> None:
        replica.acting = False
        replica.handed_over = None
        if replica.waiting_until is None:
            replica.waiting_until = now + replica.config.max_subrequest_ms / 1000

    def _start_acting(self, replica: Replica, standing: Standing, now: float) -> None:
        handed_over, replica.handed_over = replica.handed_over, None
        if handed_over is not None and now - handed_over[1] <= HANDOVER_TTL_S:
            replica.restore(handed_over[0])
            return
        known = None
        if standing is Standing.DEGRADED:
            known = read_latest_states(self._facts, now).get(replica.id)
        if known is not None:
            replica.restore(known)
            return
        replica.temperature.mark_cold(ColdEvidence.TAKEOVER, now)
