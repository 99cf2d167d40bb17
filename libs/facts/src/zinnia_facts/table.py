"""A mergeable table of facts: state that VMs share and that expires unless refreshed.

Facts are keyed by kind, subject and origin. Merging keeps the higher version, so the order and the
number of deliveries do not matter. Each VM reads the changes since a cursor to build the delta for
a peer.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import NewType

Cursor = NewType("Cursor", int)


class FactKind(Enum):
    """What a fact is about; the values are sent between VMs."""

    REPLICA_STATE = "replica_state"
    FAULT_COUNTS = "fault_counts"
    VETO = "veto"
    CRASH = "crash"
    SUSPECT_CLEARED = "suspect_cleared"
    SHARD_MAP = "shard_map"


# Facts of these kinds are pushed to all peers at once; others are sent with heartbeats.
URGENT_KINDS = frozenset({FactKind.VETO, FactKind.CRASH, FactKind.SHARD_MAP})


@dataclass(frozen=True, slots=True)
class Fact:
    """One version of a fact; ``value`` is JSON.

    ``ttl_s`` is the lifetime in seconds that was left when the fact was stored or sent.
    """

    kind: FactKind
    subject: str
    origin: str
    version: int
    value: str
    ttl_s: float


@dataclass(slots=True)
class _Entry:
    fact: Fact
    expires_at: float
    sequence: int


class FactTable:
    """Holds the newest version of every fact until it expires."""

    def __init__(self) -> None:
        self._entries: dict[tuple[FactKind, str, str], _Entry] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def cursor(self) -> Cursor:
        """The position after the latest change, for ``changes_since``."""
        return Cursor(self._sequence)

    def put(self, fact: Fact, now: float) -> bool:
        """Store a fact unless it has expired or is not newer; return whether it was stored."""
        key = (fact.kind, fact.subject, fact.origin)
        entry = self._entries.get(key)
        if entry is not None and entry.expires_at > now and entry.fact.version >= fact.version:
            return False
        if fact.ttl_s <= 0:
            return False
        self._sequence += 1
        self._entries[key] = _Entry(fact, now + fact.ttl_s, self._sequence)
        return True

    def merge(self, facts: Iterable[Fact], now: float) -> list[Fact]:
        """Store facts; return those that were newer than the stored ones."""
        return [fact for fact in facts if self.put(fact, now)]

    def changes_since(self, cursor: Cursor, now: float) -> tuple[list[Fact], Cursor]:
        """Return the unexpired facts that changed after the cursor, and the new cursor.

        Their ``ttl_s`` is the lifetime left at ``now``.
        """
        changed = [
            replace(entry.fact, ttl_s=entry.expires_at - now)
            for entry in self._entries.values()
            if entry.sequence > cursor and entry.expires_at > now
        ]
        return changed, self.cursor

    def list_facts(self, kind: FactKind, now: float, subject: str | None = None) -> list[Fact]:
        """Return the unexpired facts of a kind, and of one subject if it is given.

        Their ``ttl_s`` is the lifetime when they were stored.
        """
        return [
            entry.fact
            for (entry_kind, entry_subject, _), entry in self._entries.items()
            if entry_kind is kind
            and entry.expires_at > now
            and (subject is None or entry_subject == subject)
        ]

    def expire(self, now: float) -> None:
        """Remove expired facts."""
        expired = [key for key, entry in self._entries.items() if entry.expires_at <= now]
        for key in expired:
            del self._entries[key]
