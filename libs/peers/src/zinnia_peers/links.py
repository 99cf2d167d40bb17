"""Links to peers, which send batches, calls and one-way messages over one connection per peer."""

from collections.abc import Awaitable, Callable, Iterable
from random import Random
from types import TracebackType
from typing import Any, Self

import trio
from loguru import logger

from zinnia_model.errors import ZinniaError
from zinnia_model.ids import AttemptId, VmId
from zinnia_model.messages import Cancel, Heartbeat, Hello, Results, SubmitBatch
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, BatchSender, SubResult
from zinnia_peers.codec import Envelope, MessageRole, ProtocolError, decode, encode
from zinnia_peers.counters import Direction, PeerCounters
from zinnia_peers.frames import FrameReader, Outbox, make_frame
from zinnia_peers.pending import Deliver, PendingAttempts, make_lost_result

CONNECT_TIMEOUT_S = 0.5
SILENCE_TIMEOUT_S = 1.0
SILENCE_CHECK_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_MESSAGE_ID = 0x7FFFFFFF

Connect = Callable[[str], Awaitable[trio.abc.Stream]]


class PeerLostError(ZinniaError):
    """A call got no reply because the link is down or broke; the peer may have run the call."""


class PeerTimeoutError(ZinniaError):
    """A call got no reply within its timeout; the peer may have run the call."""


async def connect_tcp(address: str) -> trio.abc.Stream:
    """Open a TCP connection to ``host:port``."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


class _Call:
    """A call that waits for its reply."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.reply: Any = None

    def settle(self, reply: Any) -> None:
        self.reply = reply
        self.done.set()


class _Session:
    """One connection of a link, with the attempts and calls that wait for answers on it."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.outbox = Outbox()
        self.pending = PendingAttempts()
        self.calls: dict[int, _Call] = {}
        self.unanswered_since: float | None = None
        self.expire_at = float("inf")
        self.expiry_changed = trio.Event()

    def settle(self) -> None:
        """End all attempts and calls without an answer, because the connection has ended."""
        self.pending.settle_all()
        calls, self.calls = self.calls, {}
        for call in calls.values():
            call.settle(None)


class PeerLink(BatchSender):
    """Link to one peer, which reconnects with exponential backoff until it is closed."""

    def __init__(
        self,
        vm: VmId,
        peer: VmId,
        address: str,
        random: Random,
        counters: PeerCounters,
        connect: Connect = connect_tcp,
        incarnation: str = "",
    ) -> None:
        self.peer = peer
        self.address = address
        self._hello = Hello(vm, incarnation)
        self._random = random
        self._counters = counters
        self._connect = connect
        self._session: _Session | None = None
        self._replacement: trio.abc.Stream | None = None
        self._last_message_id = 0
        self._scope = trio.CancelScope()

    @property
    def is_connected(self) -> bool:
        """Whether batches can be sent now."""
        return self._session is not None

    def submit(self, batch: Batch, deliver: Deliver) -> None:
        """Send a batch; without a connection, deliver NOT_RUN results before returning."""
        session = self._session
        if session is None:
            _reject_batch(batch, deliver, Reason.OWNER_UNREACHABLE)
            return
        try:
            frame = self._make_frame(SubmitBatch(batch))
        except ProtocolError as error:
            logger.error("cannot send batch {}: {}", batch.request_id, error)
            _reject_batch(batch, deliver, Reason.BODY_TOO_LARGE)
            return
        now = trio.current_time()
        pending = session.pending.add(batch, deliver, now)
        session.outbox.put_data(frame, pending.mark_write_started)
        if now + batch.deadline_s < session.expire_at:
            session.expiry_changed.set()

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Ask the peer to cancel attempts."""
        ids = tuple(attempt_ids)
        if self._session is not None and ids:
            self._session.outbox.put_data(self._make_frame(Cancel(ids)))

    def notify(self, message: Any) -> bool:
        """Queue a one-way message; return False if the link is down or its queue is full."""
        if self._session is None:
            return False
        frame = self._make_frame(message)
        return self._session.outbox.put_control(frame, isinstance(message, Heartbeat))

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerLostError
            If the link is down or breaks before the reply.
        PeerTimeoutError
            If no reply comes within ``timeout_s`` seconds.
        """
        session = self._session
        if session is None:
            raise PeerLostError(f"no connection to peer {self.peer}; retry or call another peer")
        self._last_message_id = self._last_message_id % MAX_MESSAGE_ID + 1
        message_id, call = self._last_message_id, _Call()
        frame = self._make_frame(message, MessageRole.CALL, message_id)
        droppable = isinstance(message, Heartbeat)
        if not session.outbox.put_control(frame, droppable):
            raise PeerLostError(
                f"send queue to peer {self.peer} is full; retry or call another peer"
            )
        session.calls[message_id] = call
        if session.unanswered_since is None:
            session.unanswered_since = trio.current_time()
        try:
            with trio.move_on_after(timeout_s):
                await call.done.wait()
        finally:
            session.calls.pop(message_id, None)
        if call.reply is not None:
            return call.reply
        if call.done.is_set():
            raise PeerLostError(f"connection to peer {self.peer} broke; the call may have run")
        raise PeerTimeoutError(f"peer {self.peer} did not reply within {timeout_s} s; retry")

    async def run(self) -> None:
        """Connect, and reconnect after each broken connection, until the link is closed."""
        with self._scope:
            try:
                await self._run_sessions()
            finally:
                if self._replacement is not None:
                    await trio.aclose_forcefully(self._replacement)

    def close(self) -> None:
        """Close the link and end its attempts and calls."""
        self._scope.cancel()

    async def _run_sessions(self) -> None:
        delay = INITIAL_BACKOFF_S
        while True:
            stream = await self._open_stream()
            if stream is None:
                await trio.sleep(delay * self._random.uniform(0.5, 1.5))
                delay = min(delay * 2, MAX_BACKOFF_S)
                continue
            started = trio.current_time()
            await self._run_session(_Session(stream))
            if trio.current_time() - started > MAX_BACKOFF_S:
                delay = INITIAL_BACKOFF_S
            if self._replacement is None:
                await trio.sleep(delay * self._random.uniform(0.5, 1.5))
                delay = min(delay * 2, MAX_BACKOFF_S)

    async def _open_stream(self) -> trio.abc.Stream | None:
        if self._replacement is not None:
            stream, self._replacement = self._replacement, None
            return stream
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                return await self._connect(self.address)
            except (OSError, ValueError) as error:
                logger.debug("cannot connect to peer {} at {}: {}", self.peer, self.address, error)
        return None

    async def _run_session(self, session: _Session) -> None:
        session.outbox.put_control(self._make_frame(self._hello))
        self._session = session
        self._counters.sessions_started += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.outbox.write_to, session.stream)
                nursery.start_soon(self._expire_attempts, session)
                nursery.start_soon(self._detect_silence, session, nursery.cancel_scope)
                await self._read_messages(session)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.info("connection to peer {} broke; reconnecting", self.peer)
        except* ProtocolError as group:
            logger.warning(
                "connection to peer {} closed after an invalid message: {}",
                self.peer,
                group.exceptions,
            )
        finally:
            self._session = None
            session.settle()
            await trio.aclose_forcefully(session.stream)

    async def _read_messages(self, session: _Session) -> None:
        reader = FrameReader(session.stream)
        while payloads := await reader.read():
            session.unanswered_since = None
            for payload in payloads:
                self._handle_payload(session, payload)

    def _handle_payload(self, session: _Session, payload: bytes) -> None:
        envelope: Envelope = decode(payload)
        message = envelope.message
        self._counters.add(Direction.RECEIVED, type(message), len(payload) + 4)
        if isinstance(message, Results):
            for result in message.results:
                self._handle_result(session, result)
        elif envelope.role is MessageRole.REPLY and message is not None:
            call = session.calls.pop(envelope.message_id, None)
            if call is not None:
                call.settle(message)

    def _handle_result(self, session: _Session, result: SubResult) -> None:
        matched = session.pending.resolve(result)
        if matched is None:
            self._counters.late_results += 1
        elif not matched:
            self._counters.mismatched_results += 1
            logger.warning(
                "result from peer {} for attempt {} names another shard or replica; ignored",
                self.peer,
                result.attempt_id,
            )

    async def _expire_attempts(self, session: _Session) -> None:
        while True:
            session.expiry_changed = trio.Event()
            next_expiry_at = session.pending.expire(trio.current_time())
            session.expire_at = next_expiry_at if next_expiry_at is not None else float("inf")
            with trio.move_on_at(session.expire_at):
                await session.expiry_changed.wait()

    async def _detect_silence(self, session: _Session, scope: trio.CancelScope) -> None:
        """Replace a connection on which the peer is silent, provided that a new one can be opened.

        A peer is silent if it sends nothing for ``SILENCE_TIMEOUT_S`` while a call is open.
        """
        while True:
            await trio.sleep(SILENCE_CHECK_INTERVAL_S)
            since = session.unanswered_since
            if since is None or trio.current_time() - since < SILENCE_TIMEOUT_S:
                continue
            replacement = await self._open_stream()
            if replacement is None:
                continue
            if session.unanswered_since is None:
                await trio.aclose_forcefully(replacement)
                continue
            self._replacement = replacement
            self._counters.silent_links += 1
            logger.warning(
                "peer {} sends nothing on its connection; replacing the connection", self.peer
            )
            scope.cancel()

    def _make_frame(
        self, message: Any, role: MessageRole = MessageRole.ONEWAY, message_id: int = 0
    ) -> bytes:
        frame = make_frame(encode(message, role, message_id))
        self._counters.add(Direction.SENT, type(message), len(frame))
        return frame


def _reject_batch(batch: Batch, deliver: Deliver, reason: Reason) -> None:
    for item in batch.items:
        result = make_lost_result(item, write_started=False)
        if reason is not Reason.OWNER_UNREACHABLE:
            result = SubResult(item.attempt_id, Outcome.NOT_RUN, item.shard, item.replica, reason)
        deliver(result)


class PeerLinks:
    """Links of one VM to its peers; a context manager that runs them in a nursery."""

    def __init__(
        self,
        vm: VmId,
        nursery: trio.Nursery,
        seed: int = 0,
        counters: PeerCounters | None = None,
        connect: Connect = connect_tcp,
        incarnation: str = "",
    ) -> None:
        self.counters = counters or PeerCounters()
        self._vm = vm
        self._nursery = nursery
        self._seed = seed
        self._connect = connect
        self._incarnation = incarnation
        self._links: dict[VmId, PeerLink] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for peer in list(self._links):
            self.remove(peer)

    def set_address(self, peer: VmId, address: str) -> PeerLink:
        """Return the link to a peer; open or replace it if the address is new."""
        link = self._links.get(peer)
        if link is not None and link.address == address:
            return link
        self.remove(peer)
        random = Random(f"{self._seed}/{self._vm}/{peer}")
        link = PeerLink(
            self._vm, peer, address, random, self.counters, self._connect, self._incarnation
        )
        self._links[peer] = link
        self._nursery.start_soon(link.run)
        return link

    def get(self, peer: VmId) -> PeerLink:
        """Return the link to a peer.

        Raises
        ------
        PeerLostError
            If there is no link to the peer.
        """
        link = self._links.get(peer)
        if link is None:
            raise PeerLostError(
                f"address of peer {peer} is unknown; retry after the next member list"
            )
        return link

    def remove(self, peer: VmId) -> None:
        """Close the link to a peer, if there is one."""
        link = self._links.pop(peer, None)
        if link is not None:
            link.close()

    def list_peers(self) -> tuple[VmId, ...]:
        """Return the peers that have a link."""
        return tuple(self._links)
