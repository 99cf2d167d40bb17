"""Server for the connections of peers: runs their batches and answers their calls."""

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
from zinnia_peers.codec import Envelope, MessageRole, ProtocolError, decode, encode
from zinnia_peers.counters import Direction, PeerCounters
from zinnia_peers.frames import MAX_FRAME_BYTES, FrameReader, Outbox, make_frame

# Further results go into a new Results message beyond this many bytes of bodies, so that the
# message fits into a frame.
MAX_RESULTS_BODY_BYTES = 256 * 1024
# Bytes reserved in a frame for the fields of one result other than its body.
RESULT_OVERHEAD_BYTES = 4 * 1024
HELLO_TIMEOUT_S = 2.0
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class PeerHandler(ABC):
    """Interface through which the server passes on the messages of peers."""

    @abstractmethod
    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Start a batch of a peer; call ``deliver`` once for each attempt."""

    @abstractmethod
    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Cancel attempts of a peer."""

    @abstractmethod
    async def handle(self, message: Any, sender: VmId) -> Any:
        """Handle a control message; return the reply, or None to reply with an acknowledgement."""


class PeerServer:
    """Server that listens for peers at ``address``, an IP address and port as ``host:port``."""

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
        """Accept connections until the context manager exits.

        Raises
        ------
        SettingsError
            If the server cannot listen on the address.
        """
        host, _, port = self.address.rpartition(":")
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host)
        except (OSError, ValueError) as error:
            text = f"cannot listen on {self.address!r} ({error}); set a free host:port for peers"
            raise SettingsError(text) from error
        socket_address = listeners[0].socket.getsockname()
        self.address = f"{host}:{socket_address[1]}"
        with self._scope:
            await trio.serve_listeners(
                self.serve_stream, listeners, task_status=_StartedReporter(task_status)
            )

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it is closed or breaks."""
        connection = _Connection(stream, self._handler, self.counters)
        try:
            async with stream:
                await connection.run()
        except* CONNECTION_ERRORS:
            pass
        except* ProtocolError as group:
            logger.warning(
                "connection from peer {} closed after an invalid message: {}",
                connection.sender,
                group.exceptions,
            )
        finally:
            connection.cancel_attempts()


class _StartedReporter:
    """Task status that reports the start of the server without the listeners that trio passes."""

    def __init__(self, task_status: Any) -> None:
        self._task_status = task_status

    def started(self, _value: Any = None) -> None:
        self._task_status.started()


class _Connection:
    """One connection of a peer, with a reader, a writer and the attempts that run for the peer."""

    def __init__(
        self, stream: trio.abc.Stream, handler: PeerHandler, counters: PeerCounters
    ) -> None:
        self.sender = VmId("")
        self._stream = stream
        self._handler = handler
        self._counters = counters
        self._outbox = Outbox()
        self._unsent_results: list[SubResult] = []
        self._repeatable_by_attempt: dict[AttemptId, bool] = {}
        self._is_open = True

    async def run(self) -> None:
        """Read and answer messages until the peer closes the connection."""
        reader = FrameReader(self._stream)
        with trio.move_on_after(HELLO_TIMEOUT_S) as scope:
            payloads = await reader.read()
        if scope.cancelled_caught or not payloads:
            return
        self._read_hello(payloads.pop(0))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._outbox.write_to, self._stream, self._queue_results)
            while True:
                for payload in payloads:
                    self._handle_payload(payload, nursery)
                payloads = await reader.read()
                if not payloads:
                    nursery.cancel_scope.cancel()
                    return

    def cancel_attempts(self) -> None:
        """Cancel the repeatable attempts, whose results can no longer be delivered.

        Attempts that are not repeatable continue, because cancelling could not undo their effect.
        """
        self._is_open = False
        attempt_ids = [key for key, repeatable in self._repeatable_by_attempt.items() if repeatable]
        self._repeatable_by_attempt.clear()
        if attempt_ids:
            self._handler.cancel(attempt_ids)

    def _read_hello(self, payload: bytes) -> None:
        envelope = decode(payload)
        if not isinstance(envelope.message, Hello):
            raise ProtocolError("first message on the connection is not Hello; upgrade the peer")
        self.sender = envelope.message.vm

    def _handle_payload(self, payload: bytes, nursery: trio.Nursery) -> None:
        envelope = decode(payload)
        message = envelope.message
        self._counters.add(Direction.RECEIVED, type(message), len(payload) + 4)
        if isinstance(message, SubmitBatch):
            self._submit(message.batch)
        elif isinstance(message, Cancel):
            self._handler.cancel(message.attempt_ids)
        else:
            nursery.start_soon(self._handle_control_message, envelope)

    def _submit(self, batch: Batch) -> None:
        for item in batch.items:
            self._repeatable_by_attempt[item.attempt_id] = batch.repeatable
        try:
            self._handler.submit(batch, self._deliver)
        except Exception:
            logger.exception("submitting a batch from peer {} failed", self.sender)
            for item in batch.items:
                if item.attempt_id in self._repeatable_by_attempt:
                    self._deliver(_make_internal_error_result(item))

    def _deliver(self, result: SubResult) -> None:
        if not self._is_open:
            return
        self._repeatable_by_attempt.pop(result.attempt_id, None)
        self._unsent_results.append(result)
        self._outbox.wake_writer()

    async def _handle_control_message(self, envelope: Envelope) -> None:
        if envelope.message is None:
            self._send_reply(envelope, Acknowledgement(False, "unknown message; upgrade this VM"))
            return
        try:
            reply = await self._handler.handle(envelope.message, self.sender)
        except Exception:
            logger.exception(
                "handling a message of type {} failed", type(envelope.message).__name__
            )
            reply = Acknowledgement(False, "the handler failed; see the log of the peer")
        self._send_reply(envelope, reply if reply is not None else Acknowledgement())

    def _send_reply(self, envelope: Envelope, reply: Any) -> None:
        if envelope.role is not MessageRole.CALL:
            return
        payload = encode(reply, MessageRole.REPLY, envelope.message_id)
        self._counters.add(Direction.SENT, type(reply), len(payload) + 4)
        self._outbox.put_control(make_frame(payload))

    def _queue_results(self) -> None:
        results, self._unsent_results = self._unsent_results, []
        message_results: list[SubResult] = []
        body_bytes = 0
        for result in results:
            if body_bytes and body_bytes + len(result.body) > MAX_RESULTS_BODY_BYTES:
                self._queue_results_message(message_results)
                message_results, body_bytes = [], 0
            message_results.append(_drop_oversized_body(result))
            body_bytes += len(result.body) + 1
        if message_results:
            self._queue_results_message(message_results)

    def _queue_results_message(self, message_results: list[SubResult]) -> None:
        payload = encode(Results(tuple(message_results)))
        self._counters.add(Direction.SENT, Results, len(payload) + 4)
        self._outbox.put_data(make_frame(payload))


def _make_internal_error_result(item: SubRequest) -> SubResult:
    return SubResult(item.attempt_id, Outcome.UNKNOWN, item.shard, item.replica, Reason.INTERNAL)


def _drop_oversized_body(result: SubResult) -> SubResult:
    """Return the result, or BODY_TOO_LARGE without the body if that does not fit into a frame."""
    if len(result.body) <= MAX_FRAME_BYTES - RESULT_OVERHEAD_BYTES:
        return result
    return replace(result, outcome=Outcome.UNKNOWN, reason=Reason.BODY_TOO_LARGE, body=b"")
