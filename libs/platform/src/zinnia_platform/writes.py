"""Conditional writes whose effect is established even when a reply is lost."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from zinnia_model.errors import ConflictError, PlatformUnavailableError, ZinniaError
from zinnia_platform.store import ObjectStore, StoredObject

FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 0.5


class WriteEffect(Enum):
    """What is known about a conditional write.

    ``OVERTAKEN``: the reply was lost and another writer's value is in force now, so this write is
    not in force, but it may have been for a moment. ``CANNOT_TELL``: the write may still take
    effect after the call.
    """

    TOOK_EFFECT = "took_effect"
    DID_NOT = "did_not"
    OVERTAKEN = "overtaken"
    CANNOT_TELL = "cannot_tell"


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The effect of a write.

    ``version`` is the object's version if the write took effect, ``error`` says why it did not:
    a `ConflictError`, or a `PlatformUnavailableError` of a platform that refused it.
    """

    effect: WriteEffect
    version: int = 0
    error: ZinniaError | None = None


async def put_with_read_back(
    store: ObjectStore,
    kind: str,
    name: str,
    value: dict,
    if_version: int | None,
    is_mine: Callable[[dict], bool],
    deadline_at: float,
) -> WriteResult:
    """Write an object; after a lost reply, read it back until the effect is known.

    A write whose reply was lost may reach the platform late. When the object still has the expected
    version, the same conditional write is repeated, since only a newer version keeps a late one
    from taking effect.

    Parameters
    ----------
    is_mine : callable
        Tells by a stored value whether this very write produced it, such as by a change id.
    deadline_at : float
        Time of the runtime's clock in seconds at which to give up.
    """
    pending = _PendingWrite(store, kind, name, value, if_version, is_mine)
    with trio.move_on_at(deadline_at):
        return await pending.settle()
    return WriteResult(WriteEffect.CANNOT_TELL, error=pending.error)


@dataclass(slots=True)
class _PendingWrite:
    store: ObjectStore
    kind: str
    name: str
    value: dict
    if_version: int | None
    is_mine: Callable[[dict], bool]
    error: ZinniaError | None = None

    async def settle(self) -> WriteResult:
        result = await self._write(is_first=True)
        delay = FIRST_RETRY_S
        while result is None:
            await trio.sleep(delay)
            delay = min(2 * delay, LONGEST_RETRY_S)
            result = await self._read_back()
        return result

    async def _write(self, is_first: bool) -> WriteResult | None:
        """Send the write once; None means that the effect of all writes so far is not known."""
        try:
            version = await self.store.put(self.kind, self.name, self.value, self.if_version)
        except ConflictError as error:
            self.error = error
            return WriteResult(WriteEffect.DID_NOT, error=error) if is_first else None
        except PlatformUnavailableError as error:
            self.error = error
            if error.maybe_applied or not is_first:
                return None
            return WriteResult(WriteEffect.DID_NOT, error=error)
        return WriteResult(WriteEffect.TOOK_EFFECT, version)

    async def _read_back(self) -> WriteResult | None:
        try:
            stored = await self.store.get(self.kind, self.name)
        except PlatformUnavailableError as error:
            self.error = error
            return None
        if stored is not None and self.is_mine(stored.value):
            return WriteResult(WriteEffect.TOOK_EFFECT, stored.version)
        if self._is_unchanged(stored):
            return await self._write(is_first=False)
        return WriteResult(WriteEffect.OVERTAKEN, error=self.error)

    def _is_unchanged(self, stored: StoredObject | None) -> bool:
        if self.if_version is None:
            return True
        return (stored.version if stored else 0) == self.if_version
