"""At-most-once execution of non-repeatable requests, across VMs and restarts."""

import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count

import trio
from loguru import logger

from zinnia_claims.attempts import Attempt, AttemptPhase, AttemptRegistry, RecordHold
from zinnia_claims.recorder import ResultRecorder
from zinnia_claims.records import (
    CLAIM_KIND,
    ClaimRecord,
    ClaimState,
    CommandResult,
    HolderAnswer,
    HolderState,
    compute_claim_name,
)
from zinnia_model.errors import PlatformBudgetError, PlatformUnavailableError
from zinnia_model.ids import AttemptId, Fingerprint, IdempotencyKey, ServiceId, VmId
from zinnia_model.reasons import Outcome, Reason
from zinnia_platform.store import CREATE_ONLY, ObjectStore, StoredObject
from zinnia_platform.writes import WriteEffect, WriteResult, put_with_read_back

FIRST_RECORD_POLL_S = 0.05
LONGEST_RECORD_POLL_S = 0.5

AskHolder = Callable[[VmId, ServiceId, IdempotencyKey, AttemptId], Awaitable[HolderAnswer | None]]
Send = Callable[[AttemptId], Awaitable[CommandResult]]

KEY_REUSED = CommandResult(
    Outcome.NOT_RUN,
    Reason.KEY_REUSE,
    message="the idempotency key belongs to another body; use a new key",
)
DEADLINE_PASSED = CommandResult(
    Outcome.NOT_RUN,
    Reason.DEADLINE,
    message="the deadline passed before the request was sent",
)
IN_PROGRESS = CommandResult(
    Outcome.UNKNOWN,
    Reason.IN_PROGRESS,
    message="another attempt with this key is in progress; query its outcome by key",
)
HOLDER_LOST = CommandResult(
    Outcome.UNKNOWN,
    Reason.HOLDER_LOST,
    message="the VM that claimed this key cannot tell whether the request ran; check its effect",
)
RECORD_UNREADABLE = CommandResult(
    Outcome.UNKNOWN,
    Reason.CLAIMS_UNAVAILABLE,
    message="an earlier attempt with this key may have run, and the platform does not tell; "
    "query the outcome by key later",
)
RELEASE_PENDING = CommandResult(
    Outcome.NOT_RUN,
    Reason.CLAIMS_UNAVAILABLE,
    message="an earlier attempt did not run and its claim is not released yet; repeat the request",
)
CLAIM_UNCONFIRMED = CommandResult(
    Outcome.NOT_RUN,
    Reason.CLAIMS_UNAVAILABLE,
    message="this attempt was not sent: the platform did not confirm its claim before the "
    "deadline; repeat the request with the same key",
)


@dataclass(frozen=True, slots=True)
class _CommandContext:
    service: ServiceId
    key: IdempotencyKey
    deadline_at: float


@dataclass(slots=True)
class _WaitState:
    """State of a wait for another attempt.

    ``result`` is returned if the deadline passes. ``lost_version`` is the record version whose
    holder could not answer last time.
    """

    result: CommandResult = RECORD_UNREADABLE
    lost_version: int = -1


class Claims:
    """Claims idempotency keys in the platform's object store before requests are sent.

    Parameters
    ----------
    ask_holder : callable
        Calls `answer_holder_query` of another VM; returns None if the VM cannot be reached.
    wall_clock : callable
        Returns seconds since the epoch.
    seed : int
        Seed of the retry jitter.
    """

    def __init__(
        self,
        store: ObjectStore,
        vm: VmId,
        ask_holder: AskHolder,
        wall_clock: Callable[[], float],
        seed: int = 0,
    ) -> None:
        self._store = store
        self._vm = vm
        self._ask_peer = ask_holder
        self._wall_clock = wall_clock
        self._registry = AttemptRegistry()
        rng = random.Random(f"{vm}:{seed}")
        self._recorder = ResultRecorder(store, self._registry, rng, wall_clock)
        # Attempt ids must be unique across restarts of a VM, so they do not come from the seed.
        self._prefix = f"{vm}-{secrets.token_hex(8)}"
        self._numbers = count(1)

    @property
    def unrecorded(self) -> int:
        """Number of settled attempts whose records are not updated yet."""
        return len(self._recorder)

    async def run_once(
        self,
        service: ServiceId,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        deadline_at: float,
        send: Send,
        is_first: bool = False,
    ) -> CommandResult:
        """Run a request unless an earlier attempt with its key ran or may have run.

        The outcome is NOT_RUN only if no attempt with the key ran. While the platform cannot be
        asked about earlier attempts, an attempt that was not sent therefore ends as UNKNOWN, unless
        the caller declares it the first one.

        Parameters
        ----------
        is_first : bool
            Whether the caller declares that it never sent this key before.
        deadline_at : float
            Time of the runtime's clock in seconds. ``send`` must observe it by itself.
        send : callable
            Sends the request. It must return NOT_RUN only if no backend server ran the request.
        """
        name = compute_claim_name(service, key)
        while (known := self._find_known(name, fingerprint)) is None:
            attempt = self._registry.find_open(name)
            if attempt is None:
                attempt = self._open_attempt(name, fingerprint)
                command = _CommandContext(service, key, deadline_at)
                result = await self._execute(attempt, command, send)
                return result if is_first else _account_for_earlier_attempts(attempt, result)
            with trio.move_on_at(deadline_at):
                await attempt.finished.wait()
            if not attempt.finished.is_set():
                return IN_PROGRESS
            if attempt.may_have_run and attempt.record.fingerprint == fingerprint:
                return attempt.result
        return known

    async def look_up(self, service: ServiceId, key: IdempotencyKey) -> CommandResult | None:
        """Return the known result of the request with a key, None if there is no claim record."""
        name = compute_claim_name(service, key)
        if self._registry.find_open(name) is not None:
            return IN_PROGRESS
        final = self._registry.find_final(name)
        if final is not None:
            return final.result
        try:
            stored = await self._store.get(CLAIM_KIND, name)
        except PlatformUnavailableError:
            return RECORD_UNREADABLE
        return None if stored is None else await self._derive_result(service, key, stored)

    def answer_holder_query(
        self, service: ServiceId, key: IdempotencyKey, attempt_id: AttemptId
    ) -> HolderAnswer:
        """Return what this VM knows about one of its attempts, for a peer that asks."""
        return self._registry.answer(compute_claim_name(service, key), attempt_id)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Record results and delete old records until cancelled."""
        await self._recorder.run(task_status)

    async def flush(self, deadline_at: float) -> int:
        """Record all results before a shutdown; return how many could not be recorded.

        ``deadline_at`` is a time of the runtime's clock in seconds.
        """
        return await self._recorder.flush(deadline_at)

    def _find_known(self, name: str, fingerprint: Fingerprint) -> CommandResult | None:
        """Return the result if this VM's own attempts determine it, otherwise None."""
        final = self._registry.find_final(name)
        if final is None:
            attempt = self._registry.find_open(name)
            if attempt is None or attempt.phase is not AttemptPhase.SENDING:
                return None
            return KEY_REUSED if attempt.record.fingerprint != fingerprint else None
        return KEY_REUSED if final.record.fingerprint != fingerprint else final.result

    def _open_attempt(self, name: str, fingerprint: Fingerprint) -> Attempt:
        record = ClaimRecord(
            attempt_id=AttemptId(f"{self._prefix}-{next(self._numbers)}"),
            holder=self._vm,
            state=ClaimState.CLAIMED,
            fingerprint=fingerprint,
            created_ms=int(self._wall_clock() * 1000),
        )
        attempt = Attempt(name, record)
        self._registry.add_open(attempt)
        return attempt

    async def _execute(
        self, attempt: Attempt, command: _CommandContext, send: Send
    ) -> CommandResult:
        result = None
        try:
            result = await self._claim_and_send(attempt, command, send)
        except Exception:
            logger.exception("attempt {} failed", attempt.id)
            result = _make_interrupted_result(attempt, Reason.INTERNAL)
        finally:
            # There is no result if the calling task was cancelled, perhaps during the send.
            self._settle(attempt, result or _make_interrupted_result(attempt, Reason.CANCELLED))
        return result

    async def _claim_and_send(
        self, attempt: Attempt, command: _CommandContext, send: Send
    ) -> CommandResult:
        refusal = await self._claim(attempt, command)
        if refusal is not None:
            return refusal
        # A VM that was paused after its claim must not send late when it resumes, so nothing is
        # awaited between this check and the send.
        if trio.current_time() >= command.deadline_at:
            return DEADLINE_PASSED
        attempt.phase = AttemptPhase.SENDING
        return await send(attempt.id)

    def _settle(self, attempt: Attempt, result: CommandResult) -> None:
        self._registry.settle(attempt, result, trio.current_time())
        if attempt.hold is not RecordHold.NONE:
            self._recorder.add(attempt)

    async def _claim(self, attempt: Attempt, command: _CommandContext) -> CommandResult | None:
        """Write the claim into the record; return a result if the attempt must not be sent."""
        version = CREATE_ONLY
        while True:
            if trio.current_time() >= command.deadline_at:
                return DEADLINE_PASSED
            write = await self._write_claim(attempt, version, command.deadline_at)
            if write.effect is WriteEffect.TOOK_EFFECT:
                attempt.other_run_excluded = True
                return None
            if write.effect is WriteEffect.UNKNOWN_EFFECT:
                return CLAIM_UNCONFIRMED
            if _is_refused_by_platform(write):
                return _make_unavailable_result(write.error)
            found = await self._wait_for_other_attempt(attempt, command)
            if isinstance(found, CommandResult):
                return found
            version = found

    async def _write_claim(self, attempt: Attempt, version: int, deadline_at: float) -> WriteResult:
        # Set before the write, because a cancelled write may still take effect.
        attempt.hold, attempt.replaced_version = RecordHold.UNCERTAIN, version
        value = attempt.record.model_dump(mode="json")
        write = await put_with_read_back(
            self._store,
            CLAIM_KIND,
            attempt.name,
            value,
            version,
            lambda stored: stored["attempt_id"] == attempt.id,
            deadline_at,
        )
        if write.effect is WriteEffect.TOOK_EFFECT:
            attempt.hold, attempt.record_version = RecordHold.HELD, write.version
        elif write.effect is not WriteEffect.UNKNOWN_EFFECT:
            attempt.hold = RecordHold.NONE
        return write

    async def _wait_for_other_attempt(
        self, attempt: Attempt, command: _CommandContext
    ) -> CommandResult | int:
        """Wait for the key's other attempt; return its result, or a version to replace.

        The record version is returned if the other attempt did not run and released its claim.
        """
        wait = _WaitState()
        with trio.move_on_at(command.deadline_at):
            delay = FIRST_RECORD_POLL_S
            while True:
                found = await self._read_record_once(attempt, command, wait)
                if found is not None:
                    return found
                await trio.sleep(delay)
                delay = min(2 * delay, LONGEST_RECORD_POLL_S)
        return wait.result

    async def _read_record_once(
        self, attempt: Attempt, command: _CommandContext, wait: _WaitState
    ) -> CommandResult | int | None:
        """Read the record once; return a result, a version to replace, or None to read again."""
        try:
            stored = await self._store.get(CLAIM_KIND, attempt.name)
        except PlatformUnavailableError:
            return wait.result
        if stored is None:
            return CREATE_ONLY
        record = ClaimRecord.model_validate(stored.value)
        if record.fingerprint != attempt.record.fingerprint:
            attempt.other_run_excluded = True
            return KEY_REUSED
        if record.state is ClaimState.RELEASED:
            return stored.version
        result = await self._derive_result(command.service, command.key, stored)
        if result.reason is Reason.HOLDER_LOST and wait.lost_version != stored.version:
            # The holder may have recorded its result and stopped since this record was read, so the
            # record is read once more.
            wait.lost_version, wait.result = stored.version, result
            return None
        if result in (IN_PROGRESS, RELEASE_PENDING):
            wait.result = result
            return None
        return result

    async def _derive_result(
        self, service: ServiceId, key: IdempotencyKey, stored: StoredObject
    ) -> CommandResult:
        """Return the result that a record implies; ask its holder if the attempt is not settled."""
        record = ClaimRecord.model_validate(stored.value)
        if record.state is not ClaimState.CLAIMED:
            return record.to_result()
        answer = await self._ask_holder(service, key, record)
        if answer is None or answer.state is HolderState.FORGOTTEN:
            return HOLDER_LOST
        if answer.state is HolderState.RUNNING:
            return IN_PROGRESS
        return RELEASE_PENDING if answer.state is HolderState.NOT_RUN else answer.result

    async def _ask_holder(
        self, service: ServiceId, key: IdempotencyKey, record: ClaimRecord
    ) -> HolderAnswer | None:
        if record.holder == self._vm:
            return self.answer_holder_query(service, key, record.attempt_id)
        return await self._ask_peer(VmId(record.holder), service, key, record.attempt_id)


def _is_refused_by_platform(write: WriteResult) -> bool:
    unavailable = isinstance(write.error, PlatformUnavailableError)
    return unavailable and write.effect is WriteEffect.NO_EFFECT


def _account_for_earlier_attempts(attempt: Attempt, result: CommandResult) -> CommandResult:
    """Replace NOT_RUN by UNKNOWN if an earlier attempt with the key may have run."""
    if result.outcome is not Outcome.NOT_RUN or attempt.other_run_excluded:
        return result
    message = (
        "this attempt was not sent, but the platform does not tell whether an earlier one with the "
        "key ran; query the outcome by key later"
    )
    return CommandResult(Outcome.UNKNOWN, result.reason, message=message)


def _make_interrupted_result(attempt: Attempt, reason: Reason) -> CommandResult:
    if attempt.phase is AttemptPhase.SENDING:
        message = "the attempt was interrupted after it was sent; query the outcome by key"
        return CommandResult(Outcome.UNKNOWN, reason, message=message)
    message = "the attempt was interrupted before it was sent; repeat the request"
    return CommandResult(Outcome.NOT_RUN, reason, message=message)


def _make_unavailable_result(error: PlatformUnavailableError) -> CommandResult:
    over_budget = isinstance(error, PlatformBudgetError)
    reason = Reason.PLATFORM_BUDGET if over_budget else Reason.CLAIMS_UNAVAILABLE
    message = f"this attempt was not sent: {error}; an earlier attempt may have run"
    return CommandResult(Outcome.NOT_RUN, reason, message=message)
