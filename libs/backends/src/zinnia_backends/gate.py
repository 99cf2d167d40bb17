"""Whether work may go to a replica now, checked at dispatch time."""

from collections.abc import Callable

from zinnia_backends.replica import ACTING, Replica
from zinnia_backends.temperature import ColdEvidence
from zinnia_facts.table import FactKind, FactTable
from zinnia_model.ids import ReplicaId
from zinnia_model.ownership import Standing
from zinnia_model.reasons import Reason
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord

HANDOVER_TTL_S = 5.0  # a state handed over longer ago may be out of date

_FORBIDDEN = {
    Standing.NOT_OWNER: Reason.NOT_OWNER,
    Standing.NO_MAJORITY: Reason.NO_MAJORITY,
}


def read_latest_states(facts: FactTable, now: float) -> dict[str, ReplicaFact]:
    """Return the newest published state of each replica; versions follow the wall clock."""
    newest: dict[str, tuple[int, str]] = {}
    for fact in facts.list_facts(FactKind.REPLICA_STATE, now):
        if fact.version > newest.get(fact.subject, (-1, ""))[0]:
            newest[fact.subject] = (fact.version, fact.value)
    return {key: ReplicaFact.model_validate_json(value) for key, (_, value) in newest.items()}


class Gate:
    """Checks ownership, operators' decisions and the replica's own state.

    It also notes when this VM begins or ceases to act as owner, because a replica taken over
    without a handover counts as cold.
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
        """Return the standing and, if nothing may be sent or held, the reason."""
        standing = replica.standing = self._standing(replica.id)
        self._note_standing(replica, standing, now)
        if standing in _FORBIDDEN:
            return standing, _FORBIDDEN[standing]
        if replica.removed:
            return standing, Reason.NO_REPLICA
        if replica.draining:
            return standing, Reason.DRAINING
        reason = self._blocked(replica.record)
        if reason is None and standing is Standing.DEGRADED and replica.temperature.cold:
            reason = Reason.COLD
        return standing, reason

    def _note_standing(self, replica: Replica, standing: Standing, now: float) -> None:
        if standing is Standing.WAITING:
            self._note_waiting(replica, now)
            return
        replica.waiting_until = None
        if standing not in ACTING:
            replica.acting = False
            return
        if replica.acting:
            return
        replica.acting = True
        self._begin(replica, standing, now)

    def _note_waiting(self, replica: Replica, now: float) -> None:
        replica.acting = False
        replica.handed = None
        if replica.waiting_until is None:
            replica.waiting_until = now + replica.config.max_subrequest_ms / 1000

    def _begin(self, replica: Replica, standing: Standing, now: float) -> None:
        handed, replica.handed = replica.handed, None
        if handed is not None and now - handed[1] <= HANDOVER_TTL_S:
            replica.restore(handed[0])
            return
        known = None
        if standing is Standing.DEGRADED:
            known = read_latest_states(self._facts, now).get(replica.id)
        if known is not None:
            replica.restore(known)
            return
        replica.temperature.note_cold(ColdEvidence.TAKEOVER, now)
