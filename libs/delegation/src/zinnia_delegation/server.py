"""Serves VMs that have this one run parts of their fan-outs."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial

import trio

from zinnia_delegation.messages import Call, Reply, ReplyKind, SubqueryStart
from zinnia_delegation.outbox import Outbox
from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, decode, encode
from zinnia_sending.delegation import PartialResult
from zinnia_sending.events import EventSink
from zinnia_sending.subqueries import SubqueryRun

# Shards that may be in progress for other VMs, for each core.
MAX_SHARDS_PER_CORE = 400
# How long another VM leaves this one alone after a refusal, in milliseconds.
BUSY_HOLD_MS = 100
STOPPING_HOLD_MS = 2000


class SubqueryHandler(ABC):
    """Makes and logs the runs for other VMs."""

    @abstractmethod
    def make_run(
        self, start: SubqueryStart, report: Callable[[PartialResult, bool], None]
    ) -> SubqueryRun:
        """Return the run that a message asks for.

        Raises
        ------
        ValueError
            The message is not readable.
        """

    @abstractmethod
    def note_end(self, start: SubqueryStart, run: SubqueryRun, is_cancelled: bool) -> None:
        """Note how a run ended."""


class SubqueryServer:
    """Runs what other VMs ask for, within what this one bears.

    Parameters
    ----------
    handler : SubqueryHandler
        Makes the runs.
    capacity : float
        Cores of this VM.
    events : EventSink
        Told of faults of the program.
    """

    def __init__(self, handler: SubqueryHandler, capacity: float, events: EventSink) -> None:
        self.is_stopping = False
        self._events = events
        self._handler = handler
        self._max_shards = int(MAX_SHARDS_PER_CORE * capacity)
        self._shards = 0

    async def serve(self, frames: FrameStream) -> None:
        """Serve one VM until its connection ends; its runs end with it."""
        outbox = Outbox(frames)
        live: dict[int, tuple[SubqueryRun, trio.CancelScope]] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(outbox.run, nursery.cancel_scope)
            try:
                while True:
                    call = decode(Call, await frames.receive())
                    self._take(call, outbox, live, nursery)
            except (FrameError, trio.BrokenResourceError, *DECODE_ERRORS):
                pass  # The peer is gone or speaks another protocol; it connects again.
            nursery.cancel_scope.cancel()

    def _take(
        self,
        call: Call,
        outbox: Outbox,
        live: dict[int, tuple[SubqueryRun, trio.CancelScope]],
        nursery: trio.Nursery,
    ) -> None:
        if call.start is not None:
            self._start(call.start, outbox, live, nursery)
        elif call.end is None:
            outbox.put(encode(Reply(0, ReplyKind.ALIVE.value)))
        elif call.end.id in live:
            run, scope = live[call.end.id]
            run.is_answered = bool(call.end.is_answered)
            scope.cancel()

    def _start(
        self,
        start: SubqueryStart,
        outbox: Outbox,
        live: dict[int, tuple[SubqueryRun, trio.CancelScope]],
        nursery: trio.Nursery,
    ) -> None:
        hold_ms = self._find_hold(start)
        if hold_ms:
            outbox.put(encode(Reply(start.id, ReplyKind.REFUSED.value, hold_ms=hold_ms)))
            return
        run = self._handler.make_run(start, partial(_send_result, start, outbox))
        hedge_in_us = int(run.hedge_in_s * 1e6)
        outbox.put(encode(Reply(start.id, ReplyKind.ACCEPTED.value, hedge_in_us=hedge_in_us)))
        scope = trio.CancelScope()
        live[start.id] = run, scope
        nursery.start_soon(self._run, start, outbox, live)

    def _find_hold(self, start: SubqueryStart) -> int:
        """Return how long the VM is to be refused in milliseconds, 0 if it is served."""
        if self.is_stopping:
            return STOPPING_HOLD_MS
        return BUSY_HOLD_MS if self._shards + len(start.services) > self._max_shards else 0

    async def _run(
        self,
        start: SubqueryStart,
        outbox: Outbox,
        live: dict[int, tuple[SubqueryRun, trio.CancelScope]],
    ) -> None:
        run, scope = live[start.id]
        is_cancelled = True
        self._shards += len(start.services)
        try:
            with scope:
                # After a pause of this VM the end may have arrived together with the start.
                await trio.lowlevel.checkpoint()
                if not await run.run():
                    outbox.put(encode(Reply(start.id, ReplyKind.REFUSED.value)))
                is_cancelled = False
        except Exception as error:  # One subquery must not end the process and all others with it.
            self._events.note("internal_error", where="subquery", cause=repr(error))
        finally:
            self._shards -= len(start.services)
            del live[start.id]
            self._handler.note_end(start, run, is_cancelled)


def _send_result(
    start: SubqueryStart, outbox: Outbox, result: PartialResult, is_last: bool
) -> None:
    places = {service: index for index, service in enumerate(start.services)}
    reply = Reply(
        start.id,
        ReplyKind.RESULT.value,
        [places[service] for service, _ in result.signatures],
        [signature for _, signature in result.signatures],
        result.records,
        [places[row.service] for row in result.failures],
        [row.sends for row in result.failures],
        is_last,
    )
    outbox.put(encode(reply))
