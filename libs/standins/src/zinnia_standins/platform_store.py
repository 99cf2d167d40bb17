"""Object store on the in-memory platform, for tests on a mock clock and for the server."""

# The method ``list`` hides the builtin from annotations that are evaluated in the class.
from __future__ import annotations

import trio

from zinnia_model.errors import PlatformUnavailableError
from zinnia_model.members import VmState
from zinnia_platform.store import ObjectStore, StoredObject
from zinnia_standins.platform_core import PlatformCore, Write

WATCH_POLL_S = 0.02
# A client gives up on a silent platform after this time.
SILENCE_S = 2.0


class BudgetRefusal(PlatformUnavailableError):  # noqa: N818 - a refusal that the server maps to 429
    """The platform refused a call as over budget."""


class FakeObjectStore(ObjectStore):
    """One VM's access to a shared `PlatformCore`.

    Attributes
    ----------
    reachable : bool
        False cuts this VM off from the platform while others reach it.
    """

    def __init__(self, core: PlatformCore, silence_s: float = SILENCE_S) -> None:
        self.core = core
        self.reachable = True
        self._silence_s = silence_s

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None if there is none."""
        await self._enter("reads")
        found = self.core.get(kind, name)
        await self._delay()
        return found

    async def list(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and a cursor."""
        await self._enter("reads")
        found = self.core.list(kind)
        await self._delay()
        return found

    async def put(self, kind: str, name: str, value: dict, if_version: int | None) -> int:
        """Write the object and return its new version."""
        return await self._write(Write(kind, name, value, if_version))

    async def delete(self, kind: str, name: str, if_version: int | None) -> None:
        """Remove the object."""
        await self._write(Write(kind, name, None, if_version))

    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> tuple[list[StoredObject], int]:
        """Wait for changes after the cursor."""
        await self._enter("watches")
        with trio.move_on_after(timeout_s):
            while not self.core.changes_since(kind, since)[0]:
                await trio.sleep(WATCH_POLL_S)
                self._refuse()
                self.core.apply_due(trio.current_time())
        return self.core.changes_since(kind, since)

    async def list_vms(self) -> list[VmState]:
        """Return the lagging list of VMs."""
        await self._enter("reads")
        found = self.core.list_vms(trio.current_time())
        await self._delay()
        return found

    async def _write(self, write: Write) -> int:
        await self._enter("writes")
        if not self.core.faults.take_lost_reply():
            version = self.core.apply(write)
            await self._delay()
            return version
        late_s = self.core.faults.late_write_s
        self.core.apply_later(write, trio.current_time() + late_s)
        self.core.apply_due(trio.current_time())
        raise PlatformUnavailableError("reply lost; read the object back", maybe_applied=True)

    async def _enter(self, kind: str) -> None:
        self.core.counts[kind] += 1
        await trio.lowlevel.checkpoint()
        self._refuse()
        if self.core.faults.silent:
            await trio.sleep(self._silence_s)
            raise PlatformUnavailableError("no answer; retry later", kind == "writes")
        self.core.apply_due(trio.current_time())

    def _refuse(self) -> None:
        if self.core.faults.over_budget:
            raise BudgetRefusal("over budget; retry later", maybe_applied=False)
        if self.core.faults.outage or not self.reachable:
            raise PlatformUnavailableError("outage; retry later", maybe_applied=False)

    async def _delay(self) -> None:
        if self.core.faults.delay_s > 0:
            await trio.sleep(self.core.faults.delay_s)
