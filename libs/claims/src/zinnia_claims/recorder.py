"""Writes the results of attempts into their records and removes old records."""

import math
import random
from collections.abc import Callable

import trio
from loguru import logger

from zinnia_claims.attempts import Attempt, AttemptBook, Hold
from zinnia_claims.records import CLAIM_KIND, ClaimRecord, ClaimState
from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_model.ids import AttemptId
from zinnia_platform.store import CREATE_ONLY, ObjectStore, StoredObject

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 5.0
CONCURRENT_WRITES = 8
RECORD_LIFETIME_MS = 24 * 3600 * 1000
SWEEP_INTERVAL_S = 3600.0
# Two deletes a second from each of eight VMs are 5% of the fleet's budget of 300 writes a second.
SWEEP_PAUSE_S = 0.5


class Recorder:
    """Brings each settled attempt into its record, again and again until that is certain."""

    def __init__(
        self,
        store: ObjectStore,
        book: AttemptBook,
        rng: random.Random,
        wall_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._book = book
        self._random = rng
        self._wall_clock = wall_clock
        self._pending: dict[AttemptId, Attempt] = {}
        self._arrivals: trio.MemorySendChannel[Attempt] | None = None
        self._slots = trio.CapacityLimiter(CONCURRENT_WRITES)

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, attempt: Attempt) -> None:
        """Take a settled attempt whose record names it or may come to name it."""
        self._pending[attempt.id] = attempt
        if self._arrivals is not None:
            self._arrivals.send_nowait(attempt)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Record attempts and sweep old records until cancelled."""
        self._arrivals, arrivals = trio.open_memory_channel[Attempt](math.inf)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sweep_forever)
                for attempt in self._pending.values():
                    nursery.start_soon(self._record_until_done, attempt)
                task_status.started()
                async for attempt in arrivals:
                    nursery.start_soon(self._record_until_done, attempt)
        finally:
            self._arrivals = None

    async def flush(self, deadline_at: float) -> int:
        """Try to record everything before the deadline; return how many attempts are left."""
        with trio.move_on_at(deadline_at):
            while self._pending:
                async with trio.open_nursery() as nursery:
                    for attempt in self._pending.values():
                        nursery.start_soon(self._record, attempt)
                if self._pending:
                    await trio.sleep(self._jitter(FIRST_RETRY_S))
        return len(self._pending)

    async def sweep(self) -> int:
        """Delete the records that are too old at a slow rate; return how many were deleted."""
        deleted = 0
        oldest_ms = self._wall_clock() * 1000 - RECORD_LIFETIME_MS
        for stored in (await self._store.list(CLAIM_KIND))[0]:
            if stored.value.get("created_ms", 0) >= oldest_ms:
                continue
            try:
                await self._store.delete(CLAIM_KIND, stored.name, stored.version)
                deleted += 1
            except ConflictError:
                continue
            finally:
                await trio.sleep(SWEEP_PAUSE_S)
        return deleted

    async def _sweep_forever(self) -> None:
        while True:
            await trio.sleep(self._jitter(SWEEP_INTERVAL_S))
            try:
                deleted = await self.sweep()
            except PlatformUnavailableError as error:
                logger.info("sweep of old claims stopped, tried again in an hour: {}", error)
                continue
            logger.info("deleted {} claims older than 24 h", deleted)

    async def _record_until_done(self, attempt: Attempt) -> None:
        delay = FIRST_RETRY_S
        while attempt.id in self._pending and not await self._record(attempt):
            await trio.sleep(self._jitter(delay))
            delay = min(2 * delay, LONGEST_RETRY_S)

    async def _record(self, attempt: Attempt) -> bool:
        async with self._slots:
            if attempt.id not in self._pending:
                return True
            try:
                done = await self._write(attempt)
            except ConflictError:
                attempt.hold = Hold.UNCERTAIN
                return False
            except PlatformUnavailableError as error:
                attempt.hold = Hold.UNCERTAIN
                logger.debug("record of attempt {} not updated: {}", attempt.id, error)
                return False
            except ValueError as error:
                logger.error("record {} is invalid and stays as it is: {}", attempt.name, error)
                done = True
        if done and self._pending.pop(attempt.id, None) is not None:
            self._book.mark_recorded(attempt, trio.current_time())
        return done

    async def _write(self, attempt: Attempt) -> bool:
        version = attempt.version
        if attempt.hold is not Hold.HELD:
            stored = await self._store.get(CLAIM_KIND, attempt.name)
            if not _needs_update(attempt, stored):
                return True
            version = stored.version if stored else CREATE_ONLY
        value = attempt.record.settle(attempt.result).model_dump(mode="json")
        await self._store.put(CLAIM_KIND, attempt.name, value, version)
        return True

    def _jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.5, 1.5)


def _needs_update(attempt: Attempt, stored: StoredObject | None) -> bool:
    """Tell whether the record lacks the result.

    A claim whose reply was lost can still reach the platform. As long as the version that it
    replaces is in force, the record must be written so that the late claim finds another one.
    """
    if stored is None:
        return attempt.ran or attempt.base_version == CREATE_ONLY
    record = ClaimRecord.model_validate(stored.value)
    if record.attempt_id == attempt.id:
        return record.state is ClaimState.CLAIMED
    if attempt.ran:
        logger.error("claim {} was lost to attempt {}", attempt.name, record.attempt_id)
        return False
    return stored.version == attempt.base_version
