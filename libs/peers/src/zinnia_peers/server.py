"""Accepts connections of peers and runs their batches."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import replace
from types import TracebackType
from typing import Any, Self

import trio
from loguru import logger

from zinnia_model.errors import SettingsError
from zinnia_model.ids import AttemptId, VmId
from zinnia_model.messages import Acknowledgement, Cancel, Hello, Results, SubmitBatch
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult
from zinnia_peers.codec import Envelope, Exchange, ProtocolError, decode, encode
from zinnia_peers.counters import Direction, PeerCounters
from zinnia_peers.frames import MAX_FRAME_BYTES, FrameReader, Outbox, make_frame

# A Results message is closed at this many bytes of bodies, so that it stays within a frame.
RESULTS_BYTES = 256 * 1024
# Room for the ids and numbers of one result in a frame beside its body.
RESULT_OVERHEAD_BYTES = 4 * 1024
HELLO_TIMEOUT_S = 2.0
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)


class PeerHandler(ABC):
    """What a daemon does with the messages of its peers."""

    @abstractmethod
    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Start a batch of a peer; ``deliver`` is called once for each attempt."""

    @abstractmethod
    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Give up attempts of a peer."""

    @abstractmethod
    async def handle(self, message: Any, sender: VmId) -> Any:
        """Handle a control message; return the reply, or None for an acknowledgement."""


class PeerServer:
    """Listens for peers at ``address`` (``host:port`` by IP number)."""

    def __init__(
        self, address: str, handler: PeerHandler, counters: PeerCounters | None = None
    ) -> None:
        self.address = address
        self.counters = counters or PeerCounters()
        self._handler = handler
        self._scope = trio.CancelScope()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._scope.cancel()

    async def serve(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until the context is left.

        Raises
        ------
        SettingsError
            If the address cannot be listened on.
        """
        host, _, port = self.address.rpartition(":")
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host)
        except (OSError, ValueError) as error:
            text = f"cannot listen on {self.address!r} ({error}); set a free host:port for peers"
            raise SettingsError(text) from error
        bound = listeners[0].socket.getsockname()
        self.address = f"{host}:{bound[1]}"
        with self._scope:
            await trio.serve_listeners(
                self.serve_stream, listeners, task_status=_Started(task_status)
            )

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends."""
        connection = _Connection(stream, self._handler, self.counters)
        try:
            async with stream:
                await connection.run()
        except* BROKEN:
            pass
        except* ProtocolError as group:
            logger.warning("connection of peer {} closed: {}", connection.sender, group.exceptions)
        finally:
            connection.abandon()


class _Started:
    """Passes on that the server listens, without the internal listener objects."""

    def __init__(self, task_status: Any) -> None:
        self._task_status = task_status

    def started(self, _value: Any = None) -> None:
        self._task_status.started()


class _Connection:
    """One connection of a peer: a reader, a writer and the attempts that run for the peer."""

    def __init__(
        self, stream: trio.abc.Stream, handler: PeerHandler, counters: PeerCounters
    ) -> None:
        self.sender = VmId("")
        self._stream = stream
        self._handler = handler
        self._counters = counters
        self._outbox = Outbox()
        self._finished: list[SubResult] = []
        self._running: dict[AttemptId, bool] = {}
        self._open = True

    async def run(self) -> None:
        """Read and answer messages until the peer closes the connection."""
        reader = FrameReader(self._stream)
        with trio.move_on_after(HELLO_TIMEOUT_S) as scope:
            payloads = await reader.read()
        if scope.cancelled_caught or not payloads:
            return
        self._greet(payloads.pop(0))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._outbox.write_to, self._stream, self._collect_results)
            while True:
                for payload in payloads:
                    self._receive(payload, nursery)
                payloads = await reader.read()
                if not payloads:
                    nursery.cancel_scope.cancel()
                    return

    def abandon(self) -> None:
        """Stop work whose results can no longer be delivered.

        Work that may not be repeated goes on, because stopping it could not undo it.
        """
        self._open = False
        repeatable = [attempt for attempt, repeatable in self._running.items() if repeatable]
        self._running.clear()
        if repeatable:
            self._handler.cancel(repeatable)

    def _greet(self, payload: bytes) -> None:
        envelope = decode(payload)
        if not isinstance(envelope.message, Hello):
            raise ProtocolError("the first message is not Hello; upgrade the peer")
        self.sender = envelope.message.vm

    def _receive(self, payload: bytes, nursery: trio.Nursery) -> None:
        envelope = decode(payload)
        message = envelope.message
        self._counters.add(Direction.RECEIVED, type(message), len(payload) + 4)
        if isinstance(message, SubmitBatch):
            self._submit(message.batch)
        elif isinstance(message, Cancel):
            self._handler.cancel(message.attempt_ids)
        else:
            nursery.start_soon(self._answer, envelope)

    def _submit(self, batch: Batch) -> None:
        for item in batch.items:
            self._running[item.attempt_id] = batch.repeatable
        try:
            self._handler.submit(batch, self._deliver)
        except Exception:
            logger.exception("submitting a batch of {} failed", self.sender)
            for item in batch.items:
                if item.attempt_id in self._running:
                    self._deliver(_make_internal_fault(item))

    def _deliver(self, result: SubResult) -> None:
        if not self._open:
            return
        self._running.pop(result.attempt_id, None)
        self._finished.append(result)
        self._outbox.wake()

    async def _answer(self, envelope: Envelope) -> None:
        if envelope.message is None:
            self._reply(envelope, Acknowledgement(False, "unknown message; upgrade this VM"))
            return
        try:
            reply = await self._handler.handle(envelope.message, self.sender)
        except Exception:
            logger.exception("handling {} failed", type(envelope.message).__name__)
            reply = Acknowledgement(False, "the handler failed; see the log of the peer")
        self._reply(envelope, reply if reply is not None else Acknowledgement())

    def _reply(self, envelope: Envelope, reply: Any) -> None:
        if envelope.exchange is not Exchange.CALL:
            return
        payload = encode(reply, Exchange.REPLY, envelope.message_id)
        self._counters.add(Direction.SENT, type(reply), len(payload) + 4)
        self._outbox.put_control(make_frame(payload))

    def _collect_results(self) -> None:
        finished, self._finished = self._finished, []
        part: list[SubResult] = []
        size = 0
        for result in finished:
            if size and size + len(result.body) > RESULTS_BYTES:
                self._send_results(part)
                part, size = [], 0
            part.append(_limit_body(result))
            size += len(result.body) + 1
        if part:
            self._send_results(part)

    def _send_results(self, part: list[SubResult]) -> None:
        payload = encode(Results(tuple(part)))
        self._counters.add(Direction.SENT, Results, len(payload) + 4)
        self._outbox.put_data(make_frame(payload))


def _make_internal_fault(item: SubRequest) -> SubResult:
    return SubResult(item.attempt_id, Outcome.UNKNOWN, item.shard, item.replica, Reason.INTERNAL)


def _limit_body(result: SubResult) -> SubResult:
    """Return the result, without its body if that does not fit into a frame."""
    if len(result.body) <= MAX_FRAME_BYTES - RESULT_OVERHEAD_BYTES:
        return result
    return replace(result, outcome=Outcome.UNKNOWN, reason=Reason.BODY_TOO_LARGE, body=b"")
