"""Server that runs parts of fan-outs for other VMs."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

import trio

from zinnia_catalog.ids import ServiceName
from zinnia_delegation.messages import (
    Call,
    Reply,
    ReplyKind,
    SendPermission,
    SubqueryEnd,
    SubqueryStart,
)
from zinnia_delegation.outbox import Outbox
from zinnia_relay.exchange import encode_departures
from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, decode, encode
from zinnia_sending.delegation import PartialResult
from zinnia_sending.events import EventSink
from zinnia_sending.subqueries import SubqueryReporter, SubqueryRun

# Limit on the shards in progress for other VMs, per CPU core.
MAX_SHARDS_PER_CORE = 400
# How long another VM sends no delegations after a refusal.
BUSY_HOLD_MS = 100
STOPPING_HOLD_MS = 2000


class SubqueryHandler(ABC):
    """Creates the subquery runs for other VMs, and records how they end."""

    @abstractmethod
    def make_run(self, start: SubqueryStart, reporter: SubqueryReporter) -> SubqueryRun:
        """Return the run for a start message; it passes results to ``reporter``.

        Raises
        ------
        ValueError
            The message is malformed.
        """

    @abstractmethod
    def note_end(self, start: SubqueryStart, run: SubqueryRun, is_cancelled: bool) -> None:
        """Record how a run ended."""


class SubqueryServer:
    """Runs subqueries for other VMs, and refuses them beyond the capacity of this VM.

    Parameters
    ----------
    handler : SubqueryHandler
        Creates the runs.
    capacity : float
        CPU cores of this VM.
    events : EventSink
        Receives log events of internal errors.
    """

    def __init__(self, handler: SubqueryHandler, capacity: float, events: EventSink) -> None:
        self.is_stopping = False
        self._events = events
        self.handler = handler
        self._max_shards = int(MAX_SHARDS_PER_CORE * capacity)
        self._shards = 0

    async def serve(self, frames: FrameStream) -> None:
        """Serve one VM until its connection ends; its runs are cancelled with the connection."""
        async with trio.open_nursery() as nursery:
            connection = _CallerVm(self, Outbox(frames), nursery)
            nursery.start_soon(connection.outbox.run, nursery.cancel_scope)
            try:
                while True:
                    connection.handle_call(decode(Call, await frames.receive()))
            except (FrameError, trio.BrokenResourceError, IndexError, *DECODE_ERRORS):
                pass  # The peer has left or uses another protocol; it is expected to reconnect.
            nursery.cancel_scope.cancel()

    def compute_hold_ms(self, start: SubqueryStart) -> int:
        """Return the hold of a refusal in milliseconds, 0 if the subquery can be run."""
        if self.is_stopping:
            return STOPPING_HOLD_MS
        return BUSY_HOLD_MS if self._shards + len(start.services) > self._max_shards else 0

    async def run_subquery(
        self, start: SubqueryStart, run: SubqueryRun, scope: trio.CancelScope, outbox: Outbox
    ) -> None:
        """Run a subquery until it ends or its scope is cancelled."""
        is_cancelled = True
        self._shards += len(start.services)
        try:
            with scope:
                # If this VM was frozen, the end may have arrived together with the start: give it a
                # chance to cancel the run before anything is sent.
                await trio.lowlevel.checkpoint()
                if not await run.run():
                    outbox.put(encode(Reply(start.id, ReplyKind.REFUSED.value)))
                is_cancelled = False
        except Exception as error:  # A failed subquery must not end the process and the others.
            self._events.note("internal_error", where="subquery", cause=repr(error))
        finally:
            self._shards -= len(start.services)
            self.handler.note_end(start, run, is_cancelled)


class _CallerVm:
    """The connection of one VM that delegates, and the subqueries that run for it."""

    def __init__(self, server: SubqueryServer, outbox: Outbox, nursery: trio.Nursery) -> None:
        self.outbox = outbox
        self._server = server
        self._nursery = nursery
        self._runs: dict[int, _ActiveRun] = {}

    def handle_call(self, call: Call) -> None:
        """Start or end a subquery, or reply to a ping."""
        if call.start is not None:
            self._start(call.start)
        elif call.end is not None:
            self._end(call.end)
        elif call.permission is not None:
            self._permit_sends(call.permission)
        else:
            self.outbox.put(encode(Reply(0, ReplyKind.ALIVE.value)))

    def _start(self, start: SubqueryStart) -> None:
        hold_ms = self._server.compute_hold_ms(start)
        if hold_ms:
            self.outbox.put(encode(Reply(start.id, ReplyKind.REFUSED.value, hold_ms=hold_ms)))
            return
        run = self._server.handler.make_run(start, _OutboxReporter(start, self.outbox))
        self.outbox.put(encode(Reply(start.id, ReplyKind.ACCEPTED.value)))
        self._runs[start.id] = _ActiveRun(start, run, trio.CancelScope())
        self._nursery.start_soon(self._run, start)

    def _end(self, end: SubqueryEnd) -> None:
        active = self._runs.get(end.id)
        if active is not None:
            active.run.is_answered = bool(end.is_answered)
            active.scope.cancel()

    def _permit_sends(self, permission: SendPermission) -> None:
        active = self._runs.get(permission.id)
        if active is not None:
            services = active.start.services
            active.run.permit_sends([services[index] for index in permission.shards])

    async def _run(self, start: SubqueryStart) -> None:
        active = self._runs[start.id]
        try:
            await self._server.run_subquery(start, active.run, active.scope, self.outbox)
        finally:
            del self._runs[start.id]


@dataclass(frozen=True, slots=True)
class _ActiveRun:
    """A subquery that is running, and the scope that cancels it."""

    start: SubqueryStart
    run: SubqueryRun
    scope: trio.CancelScope


class _OutboxReporter(SubqueryReporter):
    """Writes the messages about one subquery to the connection of the VM that delegated it."""

    def __init__(self, start: SubqueryStart, outbox: Outbox) -> None:
        self._id = start.id
        self._indexes = {service: index for index, service in enumerate(start.services)}
        self._outbox = outbox

    def report(self, result: PartialResult, is_last: bool) -> None:
        """Send a partial result."""
        indexes = self._indexes
        reply = Reply(
            self._id,
            ReplyKind.RESULT.value,
            [indexes[service] for service, _ in result.signatures],
            [signature for _, signature in result.signatures],
            result.records,
            [indexes[failure.service] for failure in result.failures],
            [failure.sends for failure in result.failures],
            is_last,
            departures=encode_departures(result.departures),
            crashed=[indexes[item.service] for item in result.failures if item.has_crashed],
            misdirected=[indexes[item.service] for item in result.failures if item.has_misdirected],
        )
        self._outbox.put(encode(reply))

    def ask_permission(self, services: Sequence[ServiceName]) -> None:
        """Ask whether each of these shards may be sent once more."""
        indexes = [self._indexes[service] for service in services]
        self._outbox.put(encode(Reply(self._id, ReplyKind.PERMISSION_WANTED.value, indexes)))
