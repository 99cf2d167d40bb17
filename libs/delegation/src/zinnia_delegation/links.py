"""Connection to a VM that runs parts of fan-outs for this VM."""

from enum import Enum
from math import inf

import trio

from zinnia_catalog.members import Member
from zinnia_delegation.messages import (
    DELEGATION_PROTOCOL_ID,
    Call,
    Reply,
    ReplyKind,
    SendPermission,
    SubqueryEnd,
    SubqueryStart,
)
from zinnia_delegation.outbox import Outbox
from zinnia_relay.client import open_stream
from zinnia_relay.exchange import decode_departures
from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, decode, encode
from zinnia_sending.delegation import Delegation, DelegationEnd, PartialResult, ShardFailure
from zinnia_sending.events import EventSink

CONNECT_TIMEOUT_S = 0.3
# A connection is pinged this often, and closed if no reply arrives in time.
PING_INTERVAL_S = 4.0
PING_TIMEOUT_S = 0.5
RETRY_FIRST_S = 0.3
RETRY_MAX_S = 4.0


class LinkState(Enum):
    """State of a link to a VM; only an open link carries new delegations."""

    CLOSED = "closed"
    OPEN = "open"
    SILENT = "silent"  # a reply is overdue; unusable until one arrives


class PeerLink:
    """Keeps a connection to one VM open and sends delegations over it.

    ``is_failing`` is true from a failed or ended connection until the next reply.
    """

    def __init__(self, own: Member, peer: Member, events: EventSink) -> None:
        self.peer = peer
        self.state = LinkState.CLOSED
        self.is_failing = False
        self._own = own
        self._events = events
        self._outbox: Outbox | None = None
        self._delegations: dict[int, Delegation] = {}
        self._last_id = 0
        self._refused_until = 0.0
        self._last_reply_at = -inf
        self._ping_requested = trio.Event()
        self._scope = trio.CancelScope()

    @property
    def is_usable(self) -> bool:
        """Whether the link is open and the VM's last refusal no longer holds."""
        return self.state is LinkState.OPEN and trio.current_time() >= self._refused_until

    @property
    def is_busy(self) -> bool:
        """Whether delegations are in progress."""
        return bool(self._delegations)

    async def run(self) -> None:
        """Connect, and reconnect with exponential backoff, until cancelled or closed."""
        delay_s = RETRY_FIRST_S
        with self._scope:
            while True:
                started = trio.current_time()
                await self._connect_once()
                if self._last_reply_at >= started:
                    delay_s = RETRY_FIRST_S
                self.is_failing = True
                await trio.sleep(delay_s)
                delay_s = min(RETRY_MAX_S, delay_s * 2)

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self._scope.cancel()

    def start(self, delegation: Delegation) -> None:
        """Send a delegation; end it as not sent if there is no connection."""
        if self._outbox is None:
            delegation.end(DelegationEnd.NOT_SENT)
            return
        self._last_id += 1
        self._delegations[self._last_id] = delegation
        self._outbox.put(
            encode(Call(start=self._make_start(delegation))), delegation.record_write_time
        )

    def finish(self, delegation: Delegation, is_answered: bool) -> None:
        """Tell the VM that a request has ended, and whether it was answered."""
        subquery_id = self._find_id(delegation)
        if subquery_id is None:
            return
        del self._delegations[subquery_id]
        if self._outbox is not None:
            self._outbox.put(encode(Call(end=SubqueryEnd(subquery_id, is_answered))))

    def record_silence(self) -> None:
        """Don't use the VM until it sends a reply; ping it, as the connection may be broken."""
        if self.state is not LinkState.OPEN:
            return
        self.state = LinkState.SILENT
        self._events.note("delegate_silent", peer=self.peer.vm)
        if self._outbox is not None:
            self._outbox.put(encode(Call()))
        self._ping_requested.set()

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
            max_absent=delegation.absent_shards_to_refuse,
            vm=self._own.vm,
        )

    def _find_id(self, delegation: Delegation) -> int | None:
        return next((key for key, item in self._delegations.items() if item is delegation), None)

    async def _connect_once(self) -> None:
        """Open one connection and use it until it ends."""
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
            self._handle_close()
            with trio.CancelScope(shield=True):
                await frames.aclose()

    async def _serve(self, frames: FrameStream) -> None:
        outbox = Outbox(frames)
        outbox.put(DELEGATION_PROTOCOL_ID)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(outbox.run, nursery.cancel_scope)
            nursery.start_soon(self._ping, outbox, nursery.cancel_scope)
            try:
                while True:
                    reply = decode(Reply, await frames.receive())
                    self._record_reply(outbox)
                    self._handle_reply(reply)
            except (FrameError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # The connection has ended; ``_handle_close`` ends its delegations.
            except (IndexError, *DECODE_ERRORS) as error:
                self._events.note("delegate_unreadable", peer=self.peer.vm, cause=repr(error))
            nursery.cancel_scope.cancel()

    async def _ping(self, outbox: Outbox, connection: trio.CancelScope) -> None:
        """Ping the VM, and close the connection if no reply arrives in time."""
        while True:
            pinged_at = trio.current_time()
            outbox.put(encode(Call()))
            await trio.sleep(PING_TIMEOUT_S)
            if self._last_reply_at < pinged_at:
                connection.cancel()
                return
            with trio.move_on_after(PING_INTERVAL_S):
                await self._ping_requested.wait()
            self._ping_requested = trio.Event()

    def _record_reply(self, outbox: Outbox) -> None:
        self._last_reply_at = trio.current_time()
        if self.state is LinkState.CLOSED:
            self._events.note("delegate_connected", peer=self.peer.vm)
        self.state = LinkState.OPEN
        self.is_failing = False
        self._outbox = outbox

    def _handle_close(self) -> None:
        self._outbox = None
        if self.state is not LinkState.CLOSED:
            self._events.note(
                "delegate_lost", peer=self.peer.vm, open_subqueries=len(self._delegations)
            )
        self.state = LinkState.CLOSED
        delegations, self._delegations = self._delegations, {}
        for delegation in delegations.values():
            delegation.end(DelegationEnd.LOST)

    def _handle_reply(self, reply: Reply) -> None:
        delegation = self._delegations.get(reply.id)
        if delegation is None:
            return  # A reply to a ping, or the request has already ended.
        if reply.kind == ReplyKind.ACCEPTED.value:
            delegation.accept()
        elif reply.kind == ReplyKind.PERMISSION_WANTED.value:
            self._permit_sends(delegation, reply)
        elif reply.kind == ReplyKind.REFUSED.value:
            del self._delegations[reply.id]
            self._refused_until = trio.current_time() + reply.hold_ms / 1000
            delegation.end(DelegationEnd.REFUSED)
        elif reply.kind == ReplyKind.RESULT.value:
            if reply.is_last:
                del self._delegations[reply.id]
            delegation.handle_result(_make_result(delegation, reply))
            delegation.is_over = delegation.is_over or reply.is_last

    def _permit_sends(self, delegation: Delegation, reply: Reply) -> None:
        """Permit the sends that a VM wants; one that gets no permission doesn't send."""
        services = delegation.assignment.services
        indexes = {services[index]: index for index in reply.shards}
        permitted = [indexes[service] for service in delegation.permit_sends(list(indexes))]
        if permitted:
            self._outbox.put(encode(Call(permission=SendPermission(reply.id, permitted))))


def _make_result(delegation: Delegation, reply: Reply) -> PartialResult:
    services = delegation.assignment.services
    signatures = zip(reply.shards, reply.signatures, strict=True)
    failures = zip(reply.failed, reply.failed_sends, strict=True)
    crashed, misdirected = set(reply.crashed), set(reply.misdirected)
    return PartialResult(
        tuple((services[index], signature) for index, signature in signatures),
        reply.records,
        tuple(
            ShardFailure(services[index], sends, index in crashed, index in misdirected)
            for index, sends in failures
        ),
        tuple(decode_departures(reply.departures)),
    )
