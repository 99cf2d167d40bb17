"""A connection to a VM that runs parts of fan-outs for this one."""

from enum import Enum
from math import inf

import trio

from zinnia_catalog.members import Member
from zinnia_delegation.messages import (
    GREETING,
    Call,
    Reply,
    ReplyKind,
    SubqueryEnd,
    SubqueryStart,
)
from zinnia_delegation.outbox import Outbox
from zinnia_relay.client import open_stream
from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, decode, encode
from zinnia_sending.delegation import Delegation, DelegationEnd, PartialResult, ShardFailure
from zinnia_sending.events import EventSink

CONNECT_TIMEOUT_S = 0.3
# An idle connection is asked for a sign of life this often, and closed if none comes in time.
PING_INTERVAL_S = 4.0
ALIVE_TIMEOUT_S = 0.5
RETRY_FIRST_S = 0.3
RETRY_MAX_S = 4.0


class LinkState(Enum):
    """Whether a VM takes delegations."""

    CLOSED = "closed"
    OPEN = "open"
    SILENT = "silent"  # it owes a word; unusable until one comes


class PeerLink:
    """Keeps a connection to one VM and carries delegations over it."""

    def __init__(self, own: Member, peer: Member, events: EventSink) -> None:
        self.peer = peer
        self.state = LinkState.CLOSED
        self.is_failing = False
        self._own = own
        self._events = events
        self._outbox: Outbox | None = None
        self._live: dict[int, Delegation] = {}
        self._last_id = 0
        self._held_until = 0.0
        self._heard_at = -inf
        self._check = trio.Event()
        self._scope = trio.CancelScope()

    @property
    def is_usable(self) -> bool:
        """Whether the VM is expected to take a delegation now."""
        return self.state is LinkState.OPEN and trio.current_time() >= self._held_until

    @property
    def is_busy(self) -> bool:
        """Whether delegations are in progress."""
        return bool(self._live)

    async def run(self) -> None:
        """Keep the connection until cancelled or closed."""
        pause_s = RETRY_FIRST_S
        with self._scope:
            while True:
                started = trio.current_time()
                await self._connect_once()
                if self._heard_at >= started:
                    pause_s = RETRY_FIRST_S
                self.is_failing = True
                await trio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)

    def close(self) -> None:
        """End the connection for good."""
        self._scope.cancel()

    def start(self, delegation: Delegation) -> None:
        """Send a delegation."""
        if self._outbox is None:
            delegation.end(DelegationEnd.NOT_SENT)
            return
        self._last_id += 1
        self._live[self._last_id] = delegation
        self._outbox.put(encode(Call(start=self._make_start(delegation))), delegation.note_written)

    def finish(self, delegation: Delegation, is_answered: bool) -> None:
        """Tell the VM that a request has ended."""
        number = self._find_id(delegation)
        if number is None:
            return
        del self._live[number]
        if self._outbox is not None:
            self._outbox.put(encode(Call(end=SubqueryEnd(number, is_answered))))

    def note_silence(self) -> None:
        """Use the VM no more until it says something; it may have lost the connection."""
        if self.state is not LinkState.OPEN:
            return
        self.state = LinkState.SILENT
        self._events.note("delegate_silent", peer=self.peer.vm)
        if self._outbox is not None:
            self._outbox.put(encode(Call()))
        self._check.set()

    def _make_start(self, delegation: Delegation) -> SubqueryStart:
        request = delegation.request
        now = trio.current_time()
        return SubqueryStart(
            id=self._last_id,
            request=request.prepared.pack(),
            route=request.route.name,
            services=list(delegation.assignment.services),
            max_attempts=request.route.max_attempts,
            top_k=request.route.top_k,
            target_us=int(request.route.target_latency_s * 1e6),
            report_in_us=max(0, int((delegation.report_at - now) * 1e6)),
            end_in_us=max(0, int((request.end_at - now) * 1e6)),
            max_absent=delegation.max_absent,
            vm=self._own.vm,
        )

    def _find_id(self, delegation: Delegation) -> int | None:
        return next((key for key, row in self._live.items() if row is delegation), None)

    async def _connect_once(self) -> None:
        """Serve one connection until it ends."""
        host, _, port = self.peer.peer_address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await open_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return
        frames = FrameStream(stream)
        try:
            await self._serve(frames)
        finally:
            self._note_closed()
            with trio.CancelScope(shield=True):
                await frames.aclose()

    async def _serve(self, frames: FrameStream) -> None:
        outbox = Outbox(frames)
        outbox.put(GREETING)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(outbox.run, nursery.cancel_scope)
            nursery.start_soon(self._watch, outbox, nursery.cancel_scope)
            try:
                while True:
                    reply = decode(Reply, await frames.receive())
                    self._note_heard(outbox)
                    self._take(reply)
            except (FrameError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # The connection has ended; what depends on it is told below.
            except (IndexError, *DECODE_ERRORS) as error:
                self._events.note("delegate_unreadable", peer=self.peer.vm, cause=repr(error))
            nursery.cancel_scope.cancel()

    async def _watch(self, outbox: Outbox, connection: trio.CancelScope) -> None:
        """Close a connection on which no sign of life comes."""
        while True:
            asked_at = trio.current_time()
            outbox.put(encode(Call()))
            await trio.sleep(ALIVE_TIMEOUT_S)
            if self._heard_at < asked_at:
                connection.cancel()
                return
            with trio.move_on_after(PING_INTERVAL_S):
                await self._check.wait()
            self._check = trio.Event()

    def _note_heard(self, outbox: Outbox) -> None:
        self._heard_at = trio.current_time()
        if self.state is LinkState.CLOSED:
            self._events.note("delegate_connected", peer=self.peer.vm)
        self.state = LinkState.OPEN
        self.is_failing = False
        self._outbox = outbox

    def _note_closed(self) -> None:
        self._outbox = None
        if self.state is not LinkState.CLOSED:
            self._events.note("delegate_lost", peer=self.peer.vm, open_subqueries=len(self._live))
        self.state = LinkState.CLOSED
        live, self._live = self._live, {}
        for delegation in live.values():
            delegation.end(DelegationEnd.LOST)

    def _take(self, reply: Reply) -> None:
        delegation = self._live.get(reply.id)
        if delegation is None:
            return  # A sign of life, or the request has ended meanwhile.
        if reply.kind == ReplyKind.ACCEPTED.value:
            delegation.accept(reply.hedge_in_us / 1e6)
        elif reply.kind == ReplyKind.REFUSED.value:
            del self._live[reply.id]
            self._held_until = trio.current_time() + reply.hold_ms / 1000
            delegation.end(DelegationEnd.REFUSED)
        elif reply.kind == ReplyKind.RESULT.value:
            if reply.is_last:
                del self._live[reply.id]
            delegation.take(_read_result(delegation, reply))
            delegation.is_over = delegation.is_over or reply.is_last


def _read_result(delegation: Delegation, reply: Reply) -> PartialResult:
    services = delegation.assignment.services
    signatures = zip(reply.shards, reply.signatures, strict=True)
    failures = zip(reply.failed, reply.failed_sends, strict=True)
    return PartialResult(
        tuple((services[index], signature) for index, signature in signatures),
        reply.records,
        tuple(ShardFailure(services[index], sends) for index, sends in failures),
    )
