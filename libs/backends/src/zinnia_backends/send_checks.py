"""Checks, made just before each send, of whether a replica may get work."""

from collections.abc import Callable

from zinnia_backends.replica import ACTING_OWNERSHIP_STATES, Replica
from zinnia_backends.temperature import ColdEvidence
from zinnia_facts.table import FactKind, FactTable
from zinnia_model.ids import ReplicaId
from zinnia_model.ownership import OwnershipState
from zinnia_model.reasons import Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord

HANDED_OVER_STATE_MAX_AGE_S = 5.0  # an older handed-over state may be outdated

_REFUSAL_REASONS = {
    OwnershipState.NOT_OWNER: Reason.NOT_OWNER,
    OwnershipState.NO_MAJORITY: Reason.NO_MAJORITY,
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
        ownership_state: Callable[[ReplicaId], OwnershipState],
        blocked: Callable[[ReplicaRecord], Reason | None],
        facts: FactTable,
    ):
        self._ownership_state = ownership_state
        self._blocked = blocked
        self._facts = facts

    def check(self, replica: Replica, now: float) -> tuple[OwnershipState, Reason | None]:
        """Return this VM's ownership state and the reason to refuse queued attempts, or None."""
        ownership_state = replica.ownership_state = self._ownership_state(replica.id)
        self._track_ownership_state(replica, ownership_state, now)
        if ownership_state in _REFUSAL_REASONS:
            return ownership_state, _REFUSAL_REASONS[ownership_state]
        if replica.removed:
            return ownership_state, Reason.NO_REPLICA
        if replica.draining:
            return ownership_state, Reason.DRAINING
        reason = self._blocked(replica.record)
        if (
            reason is None
            and ownership_state is OwnershipState.DEGRADED
            and replica.temperature.cold
        ):
            reason = Reason.COLD
        return ownership_state, reason

    def _track_ownership_state(
        self, replica: Replica, ownership_state: OwnershipState, now: float
    ) -> None:
        if ownership_state is OwnershipState.WAITING:
            self._start_waiting(replica, now)
            return
        replica.waiting_until = None
        if ownership_state not in ACTING_OWNERSHIP_STATES:
            replica.acting = False
            return
        if replica.acting:
            return
        replica.acting = True
        self._start_acting(replica, ownership_state, now)

    def _start_waiting(self, replica: Replica, now: float) -> None:
        replica.acting = False
        replica.handed_over = None
        if replica.waiting_until is None:
            replica.waiting_until = now + replica.config.max_subrequest_ms / 1000

    def _start_acting(self, replica: Replica, ownership_state: OwnershipState, now: float) -> None:
        handed_over, replica.handed_over = replica.handed_over, None
        if handed_over is not None and now - handed_over[1] <= HANDED_OVER_STATE_MAX_AGE_S:
            replica.restore(handed_over[0])
            return
        known = None
        if ownership_state is OwnershipState.DEGRADED:
            known = read_latest_states(self._facts, now).get(replica.id)
        if known is not None:
            replica.restore(known)
            return
        replica.temperature.mark_cold(ColdEvidence.TAKEOVER, now)
