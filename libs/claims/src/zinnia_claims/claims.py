"""At most one run of a non-repeatable request, across VMs and restarts."""

import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count

import trio
from loguru import logger

from zinnia_claims.attempts import Attempt, AttemptBook, Hold, Phase
from zinnia_claims.recorder import Recorder
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

FIRST_POLL_S = 0.05
LONGEST_POLL_S = 0.5

AskHolder = Callable[[VmId, ServiceId, IdempotencyKey, AttemptId], Awaitable[HolderAnswer | None]]
Send = Callable[[AttemptId], Awaitable[CommandResult]]

KEY_REUSED = CommandResult(
    Outcome.NOT_RUN,
    Reason.KEY_REUSE,
    message="the idempotency key belongs to another body; use a new key",
)
DEADLINE_PASSED = CommandResult(
    Outcome.NOT_RUN, Reason.DEADLINE, message="the deadline passed before the request was sent"
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
UNREADABLE = CommandResult(
    Outcome.UNKNOWN,
    Reason.CLAIMS_UNAVAILABLE,
    message="an earlier attempt with this key may have run, and the platform does not tell; "
    "query the outcome by key later",
)
BEING_RELEASED = CommandResult(
    Outcome.NOT_RUN,
    Reason.CLAIMS_UNAVAILABLE,
    message="an earlier attempt did not run and its claim is not released yet; repeat the request",
)
UNCONFIRMED = CommandResult(
    Outcome.NOT_RUN,
    Reason.CLAIMS_UNAVAILABLE,
    message="this attempt was not sent: the platform did not confirm its claim before the "
    "deadline; repeat the request with the same key",
)


@dataclass(frozen=True, slots=True)
class _Command:
    service: ServiceId
    key: IdempotencyKey
    deadline_at: float


@dataclass(slots=True)
class _Wait:
    """What to answer if the deadline passes during a wait."""

    result: CommandResult = UNREADABLE
    lost_version: int = -1


class Claims:
    """Claims keys in the platform before requests are sent.

    Parameters
    ----------
    ask_holder : callable
        Asks the claims of another VM (`answer_holder_query`); None if it cannot be reached.
    wall_clock : callable
        Returns seconds since the epoch.
    seed : int
        Seed of the jitter of retries.
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
        self._book = AttemptBook()
        rng = random.Random(f"{vm}:{seed}")
        self._recorder = Recorder(store, self._book, rng, wall_clock)
        # Attempt ids must differ over restarts of a VM, so they do not come from the seed.
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
        """Run a request unless an attempt with its key ran or may have run.

        The result is NOT_RUN only if no attempt with the key has run. While the platform does not
        tell of earlier attempts, the outcome of an attempt that was not sent is therefore UNKNOWN,
        unless the caller says that it is the first one.

        Parameters
        ----------
        is_first : bool
            Whether the caller has never sent this key before.
        deadline_at : float
            Time of the runtime's clock in seconds. ``send`` keeps to it on its own.
        send : callable
            Sends the request. Its result may be NOT_RUN only if no backend server ran it.
        """
        name = compute_claim_name(service, key)
        while (known := self._find_known(name, fingerprint)) is None:
            attempt = self._book.find_open(name)
            if attempt is None:
                attempt = self._open_attempt(name, fingerprint)
                command = _Command(service, key, deadline_at)
                result = await self._execute(attempt, command, send)
                return result if is_first else _judge_earlier(attempt, result)
            with trio.move_on_at(deadline_at):
                await attempt.finished.wait()
            if not attempt.finished.is_set():
                return IN_PROGRESS
            if attempt.ran and attempt.record.fingerprint == fingerprint:
                return attempt.result
        return known

    async def look_up(self, service: ServiceId, key: IdempotencyKey) -> CommandResult | None:
        """Return what is known about the request with a key; None if there is no record of it."""
        name = compute_claim_name(service, key)
        if self._book.find_open(name) is not None:
            return IN_PROGRESS
        final = self._book.find_final(name)
        if final is not None:
            return final.result
        try:
            stored = await self._store.get(CLAIM_KIND, name)
        except PlatformUnavailableError:
            return UNREADABLE
        return None if stored is None else await self._judge(service, key, stored)

    def answer_holder_query(
        self, service: ServiceId, key: IdempotencyKey, attempt_id: AttemptId
    ) -> HolderAnswer:
        """Tell a peer what this VM knows about an attempt of its own."""
        return self._book.answer(compute_claim_name(service, key), attempt_id)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Update records and remove old ones until cancelled."""
        await self._recorder.run(task_status)

    async def flush(self, deadline_at: float) -> int:
        """Update all records before a shutdown; return how many could not be updated."""
        return await self._recorder.flush(deadline_at)

    def _find_known(self, name: str, fingerprint: Fingerprint) -> CommandResult | None:
        """Return a result that follows from the memory of this VM alone."""
        final = self._book.find_final(name)
        if final is None:
            attempt = self._book.find_open(name)
            if attempt is None or attempt.phase is not Phase.SENDING:
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
        self._book.open(attempt)
        return attempt

    async def _execute(self, attempt: Attempt, command: _Command, send: Send) -> CommandResult:
        result = None
        try:
            result = await self._claim_and_send(attempt, command, send)
        except Exception:
            logger.exception("attempt {} failed", attempt.id)
            result = _judge_interrupted(attempt, Reason.INTERNAL)
        finally:
            # Without a result the caller was cancelled, perhaps during the send.
            self._settle(attempt, result or _judge_interrupted(attempt, Reason.CANCELLED))
        return result

    async def _claim_and_send(
        self, attempt: Attempt, command: _Command, send: Send
    ) -> CommandResult:
        refusal = await self._claim(attempt, command)
        if refusal is not None:
            return refusal
        # A VM that was paused after its claim must not send when it resumes. Nothing is awaited
        # between this check and the send.
        if trio.current_time() >= command.deadline_at:
            return DEADLINE_PASSED
        attempt.phase = Phase.SENDING
        return await send(attempt.id)

    def _settle(self, attempt: Attempt, result: CommandResult) -> None:
        self._book.settle(attempt, result, trio.current_time())
        if attempt.hold is not Hold.NONE:
            self._recorder.add(attempt)

    async def _claim(self, attempt: Attempt, command: _Command) -> CommandResult | None:
        """Bring the attempt into the record; return a result if it may not send."""
        version = CREATE_ONLY
        while True:
            if trio.current_time() >= command.deadline_at:
                return DEADLINE_PASSED
            write = await self._write_claim(attempt, version, command.deadline_at)
            if write.effect is WriteEffect.TOOK_EFFECT:
                attempt.record_known = True
                return None
            if write.effect is WriteEffect.CANNOT_TELL:
                return UNCONFIRMED
            if _is_refused(write):
                return _refuse_unavailable(write.error)
            found = await self._resolve(attempt, command)
            if isinstance(found, CommandResult):
                return found
            version = found

    async def _write_claim(self, attempt: Attempt, version: int, deadline_at: float) -> WriteResult:
        # Set first, since a cancelled write may take effect.
        attempt.hold, attempt.base_version = Hold.UNCERTAIN, version
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
            attempt.hold, attempt.version = Hold.HELD, write.version
        elif write.effect is not WriteEffect.CANNOT_TELL:
            attempt.hold = Hold.NONE
        return write

    async def _resolve(self, attempt: Attempt, command: _Command) -> CommandResult | int:
        """Return the result of the key's other attempt, or the version that may be replaced."""
        wait = _Wait()
        with trio.move_on_at(command.deadline_at):
            delay = FIRST_POLL_S
            while True:
                found = await self._inspect(attempt, command, wait)
                if found is not None:
                    return found
                await trio.sleep(delay)
                delay = min(2 * delay, LONGEST_POLL_S)
        return wait.result

    async def _inspect(
        self, attempt: Attempt, command: _Command, wait: _Wait
    ) -> CommandResult | int | None:
        """Read the record once; None means that it is worth to read it again."""
        try:
            stored = await self._store.get(CLAIM_KIND, attempt.name)
        except PlatformUnavailableError:
            return wait.result
        if stored is None:
            return CREATE_ONLY
        record = ClaimRecord.model_validate(stored.value)
        if record.fingerprint != attempt.record.fingerprint:
            attempt.record_known = True
            return KEY_REUSED
        if record.state is ClaimState.RELEASED:
            return stored.version
        result = await self._judge(command.service, command.key, stored)
        if result.reason is Reason.HOLDER_LOST and wait.lost_version != stored.version:
            # The holder may have recorded its result and left since the record was read.
            wait.lost_version, wait.result = stored.version, result
            return None
        if result in (IN_PROGRESS, BEING_RELEASED):
            wait.result = result
            return None
        return result

    async def _judge(
        self, service: ServiceId, key: IdempotencyKey, stored: StoredObject
    ) -> CommandResult:
        """Return the result that a record stands for; asks the holder of a claimed one."""
        record = ClaimRecord.model_validate(stored.value)
        if record.state is not ClaimState.CLAIMED:
            return record.to_result()
        answer = await self._ask(service, key, record)
        if answer is None or answer.state is HolderState.FORGOTTEN:
            return HOLDER_LOST
        if answer.state is HolderState.RUNNING:
            return IN_PROGRESS
        return BEING_RELEASED if answer.state is HolderState.NOT_RUN else answer.result

    async def _ask(
        self, service: ServiceId, key: IdempotencyKey, record: ClaimRecord
    ) -> HolderAnswer | None:
        if record.holder == self._vm:
            return self.answer_holder_query(service, key, record.attempt_id)
        return await self._ask_peer(VmId(record.holder), service, key, record.attempt_id)


def _is_refused(write: WriteResult) -> bool:
    unavailable = isinstance(write.error, PlatformUnavailableError)
    return unavailable and write.effect is WriteEffect.DID_NOT


def _judge_earlier(attempt: Attempt, result: CommandResult) -> CommandResult:
    """Return UNKNOWN instead of NOT_RUN if an earlier attempt with the key may have run."""
    if result.outcome is not Outcome.NOT_RUN or attempt.record_known:
        return result
    message = (
        "this attempt was not sent, but the platform does not tell whether an earlier one with the "
        "key ran; query the outcome by key later"
    )
    return CommandResult(Outcome.UNKNOWN, result.reason, message=message)


def _judge_interrupted(attempt: Attempt, reason: Reason) -> CommandResult:
    if attempt.phase is Phase.SENDING:
        message = "the attempt was interrupted after it was sent; query the outcome by key"
        return CommandResult(Outcome.UNKNOWN, reason, message=message)
    message = "the attempt was interrupted before it was sent; repeat the request"
    return CommandResult(Outcome.NOT_RUN, reason, message=message)


def _refuse_unavailable(error: PlatformUnavailableError) -> CommandResult:
    over_budget = isinstance(error, PlatformBudgetError)
    reason = Reason.PLATFORM_BUDGET if over_budget else Reason.CLAIMS_UNAVAILABLE
    message = f"this attempt was not sent: {error}; an earlier attempt may have run"
    return CommandResult(Outcome.NOT_RUN, reason, message=message)
