"""Interface of the object API of the platform, as far as the query tier uses it."""

# Annotations must not be evaluated, since inside the class ``list`` is the method.
from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from zinnia_model.members import VmState

# Value of ``if_version`` for a write that must create the object.
CREATE_ONLY = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A stored object; ``value`` is a JSON object.

    ``deleted`` is set only on items of a watch that report a removal; their value is empty.
    """

    kind: str
    name: str
    version: int
    value: dict
    deleted: bool = False


class ObjectStore(ABC):
    """Store of versioned objects with conditional writes and watches.

    Versions increase over the whole store. All calls raise `PlatformUnavailableError` if the
    platform does not answer or rejects the call, and `PlatformBudgetError` if the rate limiter of
    this VM rejects the call before it is sent.
    """

    @abstractmethod
    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

    @abstractmethod
    async def list(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the cursor from which to watch for later changes."""

    @abstractmethod
    async def put(self, kind: str, name: str, value: dict, if_version: int | None) -> int:
        """Write the object and return its new version.

        Parameters
        ----------
        if_version : int or None
            Version that the write replaces, 0 to create only, None to write unconditionally.

        Raises
        ------
        ConflictError
            If the object has another version.
        PlatformUnavailableError
            If the call failed; ``maybe_applied`` says whether the write may still take effect.
        """

    @abstractmethod
    async def delete(self, kind: str, name: str, if_version: int | None) -> None:
        """Remove the object if it has the expected version; do nothing if it does not exist."""

    @abstractmethod
    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> tuple[list[StoredObject], int]:
        """Wait for changes after the cursor ``since``; return them and the next cursor.

        No changes are returned if there are none within ``timeout_s`` seconds.
        """

    @abstractmethod
    async def list_vms(self) -> list[VmState]:
        """Return the VMs that the platform lists, a list that may be out of date."""
