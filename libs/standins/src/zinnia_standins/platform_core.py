"""A pure model of the platform's object API with switches for its faults."""

# The method ``list`` hides the builtin from annotations that are evaluated in the class.
from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict

from zinnia_model.errors import ConflictError
from zinnia_model.members import VmState
from zinnia_platform.store import StoredObject

MAX_VALUE_BYTES = 1_000_000


class PlatformFaults(BaseModel):
    """Switches; unknown names are errors.

    Attributes
    ----------
    outage : bool
        Refuse every call with 503.
    silent : bool
        Give no answer at all.
    over_budget : bool
        Refuse every call with 429.
    delay_s : float
        Wait before every answer, in seconds; a write takes effect before the wait.
    lose_replies : int
        Lose the replies of this many writes from now on, -1 for all.
    late_write_s : float
        Writes whose reply is lost take effect only after this time, in seconds.
    vm_lag_s : float
        Age of the list of VMs, in seconds.
    """

    model_config = ConfigDict(extra="forbid")

    outage: bool = False
    silent: bool = False
    over_budget: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    late_write_s: float = 0.0
    vm_lag_s: float = 0.0

    def take_lost_reply(self) -> bool:
        """Tell whether the reply of the present write is lost."""
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return True
        return self.lose_replies < 0


@dataclass(frozen=True, slots=True)
class Write:
    """A put, or a delete if ``value`` is None."""

    kind: str
    name: str
    value: dict | None
    if_version: int | None


@dataclass(slots=True)
class PlatformCore:
    """Objects in memory; all methods take the present time in seconds where it matters."""

    faults: PlatformFaults = field(default_factory=PlatformFaults)
    counts: Counter[str] = field(default_factory=Counter)
    version: int = 0
    _objects: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    _late: list[tuple[float, Write]] = field(default_factory=list)
    _vm_lists: list[tuple[float, list[VmState]]] = field(default_factory=list)

    def set_faults(self, switches: dict) -> None:
        """Change the named switches and keep the others."""
        self.faults = PlatformFaults.model_validate(self.faults.model_dump() | switches)

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return a copy of the object."""
        stored = self._objects.get((kind, name))
        return None if stored is None or stored.deleted else _copy(stored)

    def list(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the cursor."""
        found = [o for o in self._objects.values() if o.kind == kind and not o.deleted]
        return [_copy(stored) for stored in found], self.version

    def changes_since(self, kind: str, since: int) -> tuple[list[StoredObject], int]:
        """Return what changed after the cursor, removals included, and the new cursor."""
        found = [o for o in self._objects.values() if o.kind == kind and o.version > since]
        return [_copy(s) for s in sorted(found, key=lambda s: s.version)], self.version

    def apply(self, write: Write) -> int:
        """Apply a conditional write and return the new version.

        Raises
        ------
        ConflictError
            The object has another version.
        ValueError
            The value is larger than the platform takes.
        """
        stored = self.get(write.kind, write.name)
        current = stored.version if stored else 0
        if write.if_version is not None and write.if_version != current:
            raise ConflictError(f"version is {current}; read again", current)
        if write.value is None and stored is None:
            return self.version
        if len(json.dumps(write.value)) > MAX_VALUE_BYTES:
            raise ValueError(f"value exceeds {MAX_VALUE_BYTES} bytes; split it")
        self.version += 1
        changed = StoredObject(
            write.kind, write.name, self.version, write.value or {}, write.value is None
        )
        self._objects[write.kind, write.name] = _copy(changed)
        return self.version

    def apply_later(self, write: Write, at: float) -> None:
        """Keep a write that takes effect at a later time, if its condition holds then."""
        self._late.append((at, write))

    def apply_due(self, now: float) -> bool:
        """Apply the late writes that are due; return whether there were any."""
        due = [write for at, write in self._late if at <= now]
        self._late = [(at, write) for at, write in self._late if at > now]
        for write in due:
            try:
                self.apply(write)
            except ConflictError:
                continue
        return bool(due)

    def set_vms(self, vms: list[VmState], now: float) -> None:
        """Change the list of VMs; readers see it after the lag."""
        self._vm_lists.append((now, vms))

    def list_vms(self, now: float) -> list[VmState]:
        """Return the list of VMs as it was ``vm_lag_s`` ago."""
        seen = [vms for at, vms in self._vm_lists if at <= now - self.faults.vm_lag_s]
        return list(seen[-1]) if seen else []


def _copy(stored: StoredObject) -> StoredObject:
    value = json.loads(json.dumps(stored.value))
    return StoredObject(stored.kind, stored.name, stored.version, value, stored.deleted)
