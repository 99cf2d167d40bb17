"""The platform's object API as the query tier uses it."""

# The method ``list`` hides the builtin from annotations that are evaluated in the class.
from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from zinnia_model.members import VmState

# ``if_version`` of a write that must create the object.
CREATE_ONLY = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; ``value`` is a JSON object.

    ``deleted`` is set only on items of a watch that tell of a removal; their value is empty.
    """

    kind: str
    name: str
    version: int
    value: dict
    deleted: bool = False


class ObjectStore(ABC):
    """Objects with versions, conditional writes and watches.

    Versions increase over the whole store. All calls raise `PlatformUnavailableError` when the
    platform does not answer and `PlatformBudgetError` when the call was held back locally.
    """

    @abstractmethod
    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None if there is none."""

    @abstractmethod
    async def list(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the cursor from which to watch for later changes."""

    @abstractmethod
    async def put(self, kind: str, name: str, value: dict, if_version: int | None) -> int:
        """Write the object and return its new version.

        Parameters
        ----------
        if_version : int or None
            Version that the write replaces, 0 to create only, None to write in any case.

        Raises
        ------
        ConflictError
            The object has another version.
        PlatformUnavailableError
            No reply; ``maybe_applied`` tells whether the write may still take effect.
        """

    @abstractmethod
    async def delete(self, kind: str, name: str, if_version: int | None) -> None:
        """Remove the object; an object that is already missing is no error."""

    @abstractmethod
    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> tuple[list[StoredObject], int]:
        """Wait for changes after the cursor; return them, or none at the timeout, and a cursor."""

    @abstractmethod
    async def list_vms(self) -> list[VmState]:
        """Return the platform's list of VMs, which lags."""
