"""Conditional writes that find out whether they took effect even if a reply is lost."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from zinnia_model.errors import ConflictError, PlatformUnavailableError, ZinniaError
from zinnia_platform.store import ObjectStore, StoredObject

INITIAL_READ_BACK_DELAY_S = 0.05
MAX_READ_BACK_DELAY_S = 0.5


class WriteEffect(Enum):
    """What is known about a conditional write.

    ``SUPERSEDED``: the reply was lost and the object now has another writer's value; the value of
    this write may have been current before. ``UNKNOWN_EFFECT``: the write may still take effect
    after the call.
    """

    TOOK_EFFECT = "took_effect"
    NO_EFFECT = "did_not"
    SUPERSEDED = "overtaken"
    UNKNOWN_EFFECT = "cannot_tell"


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The effect of a write.

    ``version`` is the object's version if the write took effect. Otherwise ``error`` is the last
    error, if any: a `ConflictError`, or a `PlatformUnavailableError` if the platform did not
    answer or rejected the call.
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
    is_own_write: Callable[[dict], bool],
    deadline_at: float,
) -> WriteResult:
    """Write an object; after a lost reply, read it back until the effect is known.

    A write whose reply was lost may still reach the platform. While the object has the expected
    version, the same conditional write is sent again, since only a newer version of the object
    keeps the delayed write from taking effect.

    Parameters
    ----------
    is_own_write : callable
        Returns whether a stored value comes from this write, for example by a change id in it.
    deadline_at : float
        Time of trio's clock in seconds at which to give up.
    """
    pending = _PendingWrite(store, kind, name, value, if_version, is_own_write)
    with trio.move_on_at(deadline_at):
        return await pending.write_until_effect_known()
    return WriteResult(WriteEffect.UNKNOWN_EFFECT, error=pending.error)


@dataclass(slots=True)
class _PendingWrite:
    store: ObjectStore
    kind: str
    name: str
    value: dict
    if_version: int | None
    is_own_write: Callable[[dict], bool]
    error: ZinniaError | None = None

    async def write_until_effect_known(self) -> WriteResult:
        result = await self._write(is_first=True)
        delay = INITIAL_READ_BACK_DELAY_S
        while result is None:
            await trio.sleep(delay)
            delay = min(2 * delay, MAX_READ_BACK_DELAY_S)
            result = await self._read_back()
        return result

    async def _write(self, is_first: bool) -> WriteResult | None:
        """Send the write once; return None if the effect of the writes so far is still unknown."""
        try:
            version = await self.store.put(self.kind, self.name, self.value, self.if_version)
        except ConflictError as error:
            self.error = error
            return WriteResult(WriteEffect.NO_EFFECT, error=error) if is_first else None
        except PlatformUnavailableError as error:
            self.error = error
            if error.maybe_applied or not is_first:
                return None
            return WriteResult(WriteEffect.NO_EFFECT, error=error)
        return WriteResult(WriteEffect.TOOK_EFFECT, version)

    async def _read_back(self) -> WriteResult | None:
        try:
            stored = await self.store.get(self.kind, self.name)
        except PlatformUnavailableError as error:
            self.error = error
            return None
        if stored is not None and self.is_own_write(stored.value):
            return WriteResult(WriteEffect.TOOK_EFFECT, stored.version)
        if self._is_unchanged(stored):
            return await self._write(is_first=False)
        return WriteResult(WriteEffect.SUPERSEDED, error=self.error)

    def _is_unchanged(self, stored: StoredObject | None) -> bool:
        if self.if_version is None:
            return True
        return (stored.version if stored else 0) == self.if_version
