"""Counts crashes per request fingerprint over all VMs; uses only the fact table, no I/O."""

from collections.abc import Callable
from enum import Enum

from pydantic import BaseModel, ConfigDict

from zinnia_facts.table import Cursor, Fact, FactKind, FactTable
from zinnia_model.ids import Fingerprint, ReplicaId, StartId, VmId

CRASH_TTL_S = 3600.0
CRASHES_UNTIL_REFUSAL = 2


class CrashStatus(Enum):
    """Whether a request may be sent: normally, alone on its replica (suspect), or not at all."""

    NORMAL = "normal"
    SUSPECT = "suspect"
    REFUSED = "refused"


class CrashRecord(BaseModel):
    """Value of ``CRASH`` and ``SUSPECT_CLEARED`` facts.

    With the start id, a crash of one replica process is counted once.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    fingerprint: str
    replica: str
    start_id: str


class CrashRegistry:
    """Counts distinct crashes for each fingerprint.

    A crash counts until a ``SUSPECT_CLEARED`` fact names it or an hour has passed. Both kinds of
    facts are only added and are merged as sets, so all VMs compute the same status in whatever
    order the facts arrive.
    """

    def __init__(self, facts: FactTable, publish: Callable[[Fact], None], vm: VmId):
        self._facts = facts
        self._publish = publish
        self._vm = vm
        self._cursor = Cursor(0)
        self._crashes: dict[str, dict[CrashRecord, float]] = {}
        self._cleared: dict[CrashRecord, float] = {}

    def record_crash(
        self, fingerprint: Fingerprint, replica: ReplicaId, start_id: StartId, now: float
    ) -> None:
        """Count a crash of the replica process ``start_id`` and publish it to all VMs."""
        known = start_id or f"unknown-{now:.3f}"
        record = CrashRecord(fingerprint=fingerprint, replica=replica, start_id=known)
        self._store(FactKind.CRASH, record, now)

    def record_answer(self, fingerprint: Fingerprint, now: float) -> None:
        """Clear a suspect request that was answered; a refused request stays refused."""
        if self.status(fingerprint, now) is not CrashStatus.SUSPECT:
            return
        for record in self._list_uncleared(fingerprint, now):
            self._store(FactKind.SUSPECT_CLEARED, record, now)

    def status(self, fingerprint: Fingerprint, now: float) -> CrashStatus:
        """Return the status of a request from the crashes that this VM knows of."""
        if self._facts.cursor != self._cursor:
            self._read_changes(now)
        if fingerprint not in self._crashes:
            return CrashStatus.NORMAL
        count = len(self._list_uncleared(fingerprint, now))
        if count >= CRASHES_UNTIL_REFUSAL:
            return CrashStatus.REFUSED
        return CrashStatus.SUSPECT if count else CrashStatus.NORMAL

    def _list_uncleared(self, fingerprint: Fingerprint, now: float) -> list[CrashRecord]:
        crashes = self._crashes.get(fingerprint, {})
        return [
            record
            for record, expires_at in crashes.items()
            if expires_at > now and self._cleared.get(record, now) <= now
        ]

    def _store(self, kind: FactKind, record: CrashRecord, now: float) -> None:
        subject = f"{record.fingerprint}/{record.replica}/{record.start_id}"
        fact = Fact(kind, subject, self._vm, 1, record.model_dump_json(), CRASH_TTL_S)
        self._facts.put(fact, now)
        self._publish(fact)

    def _read_changes(self, now: float) -> None:
        changes, self._cursor = self._facts.changes_since(self._cursor, now)
        for fact in changes:
            if fact.kind is FactKind.CRASH:
                record = CrashRecord.model_validate_json(fact.value)
                crashes = self._crashes.setdefault(record.fingerprint, {})
                crashes[record] = max(crashes.get(record, 0.0), now + fact.ttl_s)
            elif fact.kind is FactKind.SUSPECT_CLEARED:
                record = CrashRecord.model_validate_json(fact.value)
                self._cleared[record] = max(self._cleared.get(record, 0.0), now + fact.ttl_s)

    def expire(self, now: float) -> None:
        """Remove crashes and clearings older than an hour."""
        for fingerprint, crashes in list(self._crashes.items()):
            live = {record: at for record, at in crashes.items() if at > now}
            if live:
                self._crashes[fingerprint] = live
            else:
                del self._crashes[fingerprint]
        self._cleared = {record: at for record, at in self._cleared.items() if at > now}
