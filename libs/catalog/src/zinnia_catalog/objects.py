"""Objects of the platform's store, and the interface of the store's client."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class ObjectKind(Enum):
    """Kinds of stored objects that a VM follows."""

    CONFIGURATION = "configuration"
    REPLICAS = "replicas"
    DATA_CENTRES_OUT = "data_centres_out"
    RELEASES = "releases"
    MEMBERS = "members"


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A revision of the store in one of its eras.

    A store that is restored from an older copy begins a new era, which is higher by one, and gives
    revisions out again. So revisions are compared within an era only.
    """

    era: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object: its name, the store revision of its last change, and its spec and status."""

    name: str
    revision: int
    spec: Any
    status: Any = None


@dataclass(frozen=True, slots=True)
class Change:
    """A write of an object, or its removal if ``is_deleted``."""

    object: StoredObject
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind as of a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The era and the revision."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of one kind between an earlier revision and ``revision``, in one era."""

    changes: tuple[Change, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The era and the revision."""
        return StorePosition(self.era, self.revision)


@dataclass(eq=False)
class StoreError(Exception):
    """A call of the store failed; ``maybe_applied`` says that a write may have taken effect."""

    cause: str
    maybe_applied: bool = False
    retry_after_s: float = field(default=0.0)

    def __str__(self) -> str:
        remedy = "read the object back" if self.maybe_applied else "retry later"
        return f"call of the platform's store failed ({self.cause}); {remedy}"


class HistoryLostError(Exception):
    """The store doesn't keep the changes after a revision, or doesn't have the revision anymore.

    The objects have to be listed again.
    """


class WriteConflictError(Exception):
    """An object is not at the revision that a conditional write expects; read it and retry."""


class ObjectStore(ABC):
    """Client of the platform's store."""

    @abstractmethod
    async def list(self, kind: ObjectKind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind; ``allow_stale`` permits an older state.

        Raises
        ------
        StoreError
            The call failed.
        """

    @abstractmethod
    async def watch(self, kind: ObjectKind, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, at the latest after ``wait_s`` seconds.

        Raises
        ------
        HistoryLostError
            The store doesn't have the changes after this revision.
        StoreError
            The call failed.
        """

    @abstractmethod
    async def create(self, kind: ObjectKind, name: str, spec: Any) -> bool:
        """Create an object that the tier owns, and return True.

        An object that exists already is left unchanged; then return False.
        """

    @abstractmethod
    async def delete(self, kind: ObjectKind, name: str) -> None:
        """Remove an object that the tier owns; a missing object is not an error."""

    @abstractmethod
    async def write_release(self, order: Any, state: Any) -> None:
        """Write the state of a release if its object is still at the revision of ``order``.

        Raises
        ------
        WriteConflictError
            The object has changed since the order was read.
        StoreError
            The call failed.
        """
