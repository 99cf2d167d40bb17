"""Writes the results of attempts into their claim records and deletes old records."""

import math
import random
from collections.abc import Callable

import trio
from loguru import logger

from zinnia_claims.attempts import Attempt, AttemptRegistry, RecordHold
from zinnia_claims.records import CLAIM_KIND, ClaimRecord, ClaimState
from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_model.ids import AttemptId
from zinnia_platform.store import CREATE_ONLY, ObjectStore, StoredObject

FIRST_RETRY_DELAY_S = 0.1
LONGEST_RETRY_DELAY_S = 5.0
MAX_CONCURRENT_WRITES = 8
RECORD_LIFETIME_MS = 24 * 3600 * 1000
SWEEP_INTERVAL_S = 3600.0
# Two deletes per second on each of eight VMs use 5% of the fleet's budget of 300 writes per second.
SWEEP_DELETE_PAUSE_S = 0.5


class ResultRecorder:
    """Writes the result of each settled attempt into its record, with retries until it is there."""

    def __init__(
        self,
        store: ObjectStore,
        registry: AttemptRegistry,
        rng: random.Random,
        wall_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._registry = registry
        self._random = rng
        self._wall_clock = wall_clock
        self._pending: dict[AttemptId, Attempt] = {}
        self._new_attempts: trio.MemorySendChannel[Attempt] | None = None
        self._write_slots = trio.CapacityLimiter(MAX_CONCURRENT_WRITES)

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, attempt: Attempt) -> None:
        """Queue a settled attempt that its record names, or may name once a late write arrives."""
        self._pending[attempt.id] = attempt
        if self._new_attempts is not None:
            self._new_attempts.send_nowait(attempt)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Record results and delete old records until cancelled."""
        self._new_attempts, new_attempts = trio.open_memory_channel[Attempt](math.inf)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sweep_forever)
                for attempt in self._pending.values():
                    nursery.start_soon(self._record_until_done, attempt)
                task_status.started()
                async for attempt in new_attempts:
                    nursery.start_soon(self._record_until_done, attempt)
        finally:
            self._new_attempts = None

    async def flush(self, deadline_at: float) -> int:
        """Record all results until the deadline; return how many attempts are left.

        ``deadline_at`` is a time of the runtime's clock in seconds.
        """
        with trio.move_on_at(deadline_at):
            while self._pending:
                async with trio.open_nursery() as nursery:
                    for attempt in self._pending.values():
                        nursery.start_soon(self._try_record, attempt)
                if self._pending:
                    await trio.sleep(self._jitter(FIRST_RETRY_DELAY_S))
        return len(self._pending)

    async def sweep(self) -> int:
        """Delete records older than ``RECORD_LIFETIME_MS`` at a low rate; return how many."""
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
                await trio.sleep(SWEEP_DELETE_PAUSE_S)
        return deleted

    async def _sweep_forever(self) -> None:
        while True:
            await trio.sleep(self._jitter(SWEEP_INTERVAL_S))
            try:
                deleted = await self.sweep()
            except PlatformUnavailableError as error:
                logger.info("deletion of old claims stopped, next try in an hour: {}", error)
                continue
            logger.info("deleted {} claims older than 24 h", deleted)

    async def _record_until_done(self, attempt: Attempt) -> None:
        delay = FIRST_RETRY_DELAY_S
        while attempt.id in self._pending and not await self._try_record(attempt):
            await trio.sleep(self._jitter(delay))
            delay = min(2 * delay, LONGEST_RETRY_DELAY_S)

    async def _try_record(self, attempt: Attempt) -> bool:
        async with self._write_slots:
            if attempt.id not in self._pending:
                return True
            try:
                done = await self._write(attempt)
            except ConflictError:
                attempt.hold = RecordHold.UNCERTAIN
                return False
            except PlatformUnavailableError as error:
                attempt.hold = RecordHold.UNCERTAIN
                logger.debug("result of attempt {} not recorded, will retry: {}", attempt.id, error)
                return False
            except ValueError as error:
                logger.error(
                    "claim record {} is invalid and was not updated: {}", attempt.name, error
                )
                done = True
        if done and self._pending.pop(attempt.id, None) is not None:
            self._registry.mark_recorded(attempt, trio.current_time())
        return done

    async def _write(self, attempt: Attempt) -> bool:
        version = attempt.record_version
        if attempt.hold is not RecordHold.HELD:
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
    """Return whether the result must be written into the record.

    A claim whose reply was lost can still reach the platform late. While the record has the version
    that this claim replaces, the record must be written, so that the late claim meets a newer
    version and fails.
    """
    if stored is None:
        return attempt.may_have_run or attempt.replaced_version == CREATE_ONLY
    record = ClaimRecord.model_validate(stored.value)
    if record.attempt_id == attempt.id:
        return record.state is ClaimState.CLAIMED
    if attempt.may_have_run:
        logger.error(
            "claim {} now belongs to attempt {}, although another attempt may have run",
            attempt.name,
            record.attempt_id,
        )
        return False
    return stored.version == attempt.replaced_version
