"""Links to peers: batches, calls and one-way messages over one connection each."""

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
from zinnia_peers.codec import Envelope, Exchange, ProtocolError, decode, encode
from zinnia_peers.counters import Direction, PeerCounters
from zinnia_peers.frames import FrameReader, Outbox, make_frame
from zinnia_peers.pending import Deliver, PendingAttempts, make_lost_result

CONNECT_TIMEOUT_S = 0.5
SILENCE_LIMIT_S = 1.0
WATCH_INTERVAL_S = 0.1
BACKOFF_FIRST_S = 0.05
BACKOFF_LIMIT_S = 1.0
MAX_MESSAGE_ID = 0x7FFFFFFF

Connect = Callable[[str], Awaitable[trio.abc.Stream]]


class PeerLostError(ZinniaError):
    """A call could not be answered because the link is down or broke; the peer may have run it."""


class PeerTimeoutError(ZinniaError):
    """A call was not answered in time; the peer may have run it."""


async def connect_tcp(address: str) -> trio.abc.Stream:
    """Open a connection to ``host:port``."""
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
    """One connection of a link and everything that waits on it."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.outbox = Outbox()
        self.pending = PendingAttempts()
        self.calls: dict[int, _Call] = {}
        self.unanswered_since: float | None = None
        self.expire_at = float("inf")
        self.expiry_changed = trio.Event()

    def settle(self) -> None:
        """Settle all attempts and calls, once the connection can carry nothing more."""
        self.pending.settle_all()
        calls, self.calls = self.calls, {}
        for call in calls.values():
            call.settle(None)


class PeerLink(BatchSender):
    """The link to one peer; reconnects until it is closed."""

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
        self._spare: trio.abc.Stream | None = None
        self._next_id = 0
        self._scope = trio.CancelScope()

    @property
    def is_connected(self) -> bool:
        """Whether batches can be sent now."""
        return self._session is not None

    def submit(self, batch: Batch, deliver: Deliver) -> None:
        """Send a batch; without a connection its attempts are settled before this returns."""
        session = self._session
        if session is None:
            _refuse(batch, deliver, Reason.OWNER_UNREACHABLE)
            return
        try:
            frame = self._make_frame(SubmitBatch(batch))
        except ProtocolError as error:
            logger.error("batch {} cannot be sent: {}", batch.request_id, error)
            _refuse(batch, deliver, Reason.BODY_TOO_LARGE)
            return
        now = trio.current_time()
        pending = session.pending.add(batch, deliver, now)
        session.outbox.put_data(frame, pending.mark_handed)
        if now + batch.deadline_s < session.expire_at:
            session.expiry_changed.set()

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Tell the peer to give up attempts."""
        ids = tuple(attempt_ids)
        if self._session is not None and ids:
            self._session.outbox.put_data(self._make_frame(Cancel(ids)))

    def notify(self, message: Any) -> bool:
        """Send a one-way message; return False if it was dropped."""
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
            raise PeerLostError(f"no connection to peer {self.peer}; try again or ask another")
        self._next_id = self._next_id % MAX_MESSAGE_ID + 1
        message_id, call = self._next_id, _Call()
        frame = self._make_frame(message, Exchange.CALL, message_id)
        droppable = isinstance(message, Heartbeat)
        if not session.outbox.put_control(frame, droppable):
            raise PeerLostError(f"queue to peer {self.peer} is full; try again or ask another")
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
            raise PeerLostError(f"link to peer {self.peer} broke; the call may have taken effect")
        raise PeerTimeoutError(f"peer {self.peer} did not answer within {timeout_s} s; try again")

    async def run(self) -> None:
        """Keep the link connected until it is closed."""
        with self._scope:
            try:
                await self._run_sessions()
            finally:
                if self._spare is not None:
                    await trio.aclose_forcefully(self._spare)

    def close(self) -> None:
        """End the link and settle what waits on it."""
        self._scope.cancel()

    async def _run_sessions(self) -> None:
        delay = BACKOFF_FIRST_S
        while True:
            stream = await self._open()
            if stream is None:
                await trio.sleep(delay * self._random.uniform(0.5, 1.5))
                delay = min(delay * 2, BACKOFF_LIMIT_S)
                continue
            started = trio.current_time()
            await self._run_session(_Session(stream))
            if trio.current_time() - started > BACKOFF_LIMIT_S:
                delay = BACKOFF_FIRST_S
            if self._spare is None:
                await trio.sleep(delay * self._random.uniform(0.5, 1.5))
                delay = min(delay * 2, BACKOFF_LIMIT_S)

    async def _open(self) -> trio.abc.Stream | None:
        if self._spare is not None:
            stream, self._spare = self._spare, None
            return stream
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                return await self._connect(self.address)
            except (OSError, ValueError) as error:
                logger.debug("peer {} at {} unreachable: {}", self.peer, self.address, error)
        return None

    async def _run_session(self, session: _Session) -> None:
        session.outbox.put_control(self._make_frame(self._hello))
        self._session = session
        self._counters.reconnects += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.outbox.write_to, session.stream)
                nursery.start_soon(self._expire, session)
                nursery.start_soon(self._watch, session, nursery.cancel_scope)
                await self._read(session)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.info("link to peer {} broke", self.peer)
        except* ProtocolError as group:
            logger.warning("link to peer {} closed: {}", self.peer, group.exceptions)
        finally:
            self._session = None
            session.settle()
            await trio.aclose_forcefully(session.stream)

    async def _read(self, session: _Session) -> None:
        reader = FrameReader(session.stream)
        while payloads := await reader.read():
            session.unanswered_since = None
            for payload in payloads:
                self._receive(session, payload)

    def _receive(self, session: _Session, payload: bytes) -> None:
        envelope: Envelope = decode(payload)
        message = envelope.message
        self._counters.add(Direction.RECEIVED, type(message), len(payload) + 4)
        if isinstance(message, Results):
            for result in message.results:
                self._resolve(session, result)
        elif envelope.exchange is Exchange.REPLY and message is not None:
            call = session.calls.pop(envelope.message_id, None)
            if call is not None:
                call.settle(message)

    def _resolve(self, session: _Session, result: SubResult) -> None:
        matched = session.pending.resolve(result)
        if matched is None:
            self._counters.late_results += 1
        elif not matched:
            self._counters.crossed_results += 1
            logger.warning(
                "peer {} answered attempt {} for another shard or replica",
                self.peer,
                result.attempt_id,
            )

    async def _expire(self, session: _Session) -> None:
        while True:
            session.expiry_changed = trio.Event()
            next_at = session.pending.expire(trio.current_time())
            session.expire_at = next_at if next_at is not None else float("inf")
            with trio.move_on_at(session.expire_at):
                await session.expiry_changed.wait()

    async def _watch(self, session: _Session, scope: trio.CancelScope) -> None:
        """Close a connection that carries no reply while a new one can be opened."""
        while True:
            await trio.sleep(WATCH_INTERVAL_S)
            since = session.unanswered_since
            if since is None or trio.current_time() - since < SILENCE_LIMIT_S:
                continue
            spare = await self._open()
            if spare is None:
                continue
            if session.unanswered_since is None:
                await trio.aclose_forcefully(spare)
                continue
            self._spare = spare
            self._counters.silent_links += 1
            logger.warning("link to peer {} went silent; it is opened anew", self.peer)
            scope.cancel()

    def _make_frame(
        self, message: Any, exchange: Exchange = Exchange.ONEWAY, message_id: int = 0
    ) -> bytes:
        frame = make_frame(encode(message, exchange, message_id))
        self._counters.add(Direction.SENT, type(message), len(frame))
        return frame


def _refuse(batch: Batch, deliver: Deliver, reason: Reason) -> None:
    for item in batch.items:
        result = make_lost_result(item, handed=False)
        if reason is not Reason.OWNER_UNREACHABLE:
            result = SubResult(item.attempt_id, Outcome.NOT_RUN, item.shard, item.replica, reason)
        deliver(result)


class PeerLinks:
    """The links of one VM; a context manager that runs them in a nursery."""

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
        """Open a link to a peer, or move it to another address."""
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
            If the address of the peer is not known.
        """
        link = self._links.get(peer)
        if link is None:
            raise PeerLostError(f"no address of peer {peer}; wait for the member list")
        return link

    def remove(self, peer: VmId) -> None:
        """Close the link to a peer."""
        link = self._links.pop(peer, None)
        if link is not None:
            link.close()

    def list_peers(self) -> tuple[VmId, ...]:
        """Return the peers that have a link."""
        return tuple(self._links)
