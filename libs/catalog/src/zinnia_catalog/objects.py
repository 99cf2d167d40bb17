"""Objects of the platform's store, and the interface of its client."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class ObjectKind(Enum):
    """Kinds of objects that a VM follows."""

    CONFIGURATION = "configuration"
    REPLICAS = "replicas"
    DATA_CENTRES_OUT = "data_centres_out"
    RELEASES = "releases"
    MEMBERS = "members"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object: its name, the revision of its last change, and its two documents."""

    name: str
    revision: int
    spec: Any
    status: Any = None


@dataclass(frozen=True, slots=True)
class Change:
    """An object that was written, or removed if ``is_deleted``."""

    object: StoredObject
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind as of a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What has changed after a revision, up to ``revision``."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreError(Exception):
    """The store did not serve a call; ``maybe_applied`` tells whether a write may take effect."""

    cause: str
    maybe_applied: bool = False
    retry_after_s: float = field(default=0.0)

    def __str__(self) -> str:
        remedy = "read the object back" if self.maybe_applied else "retry later"
        return f"the platform's store did not serve the call ({self.cause}); {remedy}"


class HistoryLostError(Exception):
    """The store no longer has the changes after the given revision; list the objects again."""


class WriteConflictError(Exception):
    """The object has another revision than the write expects; read it and decide again."""


class ObjectStore(ABC):
    """Client of the platform's store."""

    @abstractmethod
    async def list(self, kind: ObjectKind, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind.

        Raises
        ------
        StoreError
            The store did not serve the call.
        """

    @abstractmethod
    async def watch(self, kind: ObjectKind, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, at the latest after ``wait_s`` seconds.

        Raises
        ------
        HistoryLostError
            The changes after this revision are no longer known.
        StoreError
            The store did not serve the call.
        """

    @abstractmethod
    async def create(self, kind: ObjectKind, name: str, spec: Any) -> None:
        """Create an object of the tier's own; an object that exists already is left as it is."""

    @abstractmethod
    async def delete(self, kind: ObjectKind, name: str) -> None:
        """Remove an object of the tier's own; one that does not exist is no error."""

    @abstractmethod
    async def write_release(self, order: Any, state: Any) -> None:
        """Write the state of a release if its object is still at the order's revision.

        Raises
        ------
        WriteConflictError
            The object has changed meanwhile.
        StoreError
            The store did not serve the call.
        """
