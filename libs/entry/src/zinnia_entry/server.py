"""HTTP/1.1 server on trio and h11, with limits for callers and a graceful shutdown."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from math import inf

import h11
import trio

from zinnia_catalog.routes import CallerLimits
from zinnia_entry.messages import CallerReply, CallerRequest
from zinnia_sending.events import EventSink

RECEIVE_BUFFER_BYTES = 65536
LISTEN_BACKLOG = 512
# Factor on the idle timeout. Callers may still reuse a connection up to an older, longer timeout.
IDLE_TIMEOUT_FACTOR = 1.2
# The connection is closed if the caller does not read its reply within this time.
WRITE_TIMEOUT_S = 5.0
# The previous process may still hold the port for a moment.
BIND_ATTEMPTS = 20
BIND_RETRY_DELAY_S = 0.25
TCP_USER_TIMEOUT_MS = 10000
# Before it stops listening, the server accepts connections until none has arrived for this time.
LAST_ACCEPT_WAIT_S = 0.05
# It stops listening after this time even if connections keep arriving.
LAST_ACCEPT_TIMEOUT_S = 0.4
# An idle connection is closed this long after the server stops, or after it was accepted, whichever
# is later. A request that has reached this VM by then is answered.
LAST_REQUEST_WAIT_S = 0.1


class RequestHandler(ABC):
    """Handles requests; a call is cancelled when the caller closes its connection."""

    @abstractmethod
    async def handle(self, request: CallerRequest) -> CallerReply:
        """Return the reply to a request."""


class BadRequestError(Exception):
    """A request violates a limit or the protocol; ``status`` is that of the reply."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class CallerServer:
    """Serves the connections of one listening address.

    Parameters
    ----------
    handler : RequestHandler
        Answers the requests.
    get_limits : Callable[[], CallerLimits]
        Returns the current limits.
    events : EventSink
        Receives log events of rejected requests and of internal errors.
    """

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], CallerLimits],
        events: EventSink,
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._events = events
        self._idle_scopes: set[trio.CancelScope] = set()
        self._accept_scope = trio.CancelScope()
        self._closing_at = inf
        self._is_listening = False
        self._has_changed = trio.Event()
        self.is_draining = False
        self.active_requests = 0
        self.connections = 0

    @property
    def is_closing(self) -> bool:
        """Whether idle connections are being closed."""
        return self._closing_at < inf

    async def serve(self, host: str, port: int, nursery: trio.Nursery) -> None:
        """Listen and serve connections until cancelled or closed."""
        with await open_listener(host, port) as listener:
            self._is_listening = True
            with self._accept_scope:
                while True:
                    await self._accept(listener, nursery)
            await self._accept_last(listener, nursery)
        self._is_listening = False
        self._notify_change()

    async def _accept(self, listener: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        """Accept one connection, or wait a moment after an error such as too many open files."""
        try:
            connection, _ = await listener.accept()
        except OSError as error:
            self._events.note("accept_failed", cause=str(error))
            await trio.sleep(BIND_RETRY_DELAY_S)
            return
        self.connections += 1
        nursery.start_soon(self._serve_connection, connection)

    async def _accept_last(self, listener: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        """Accept the connections that the kernel has established for this process."""
        latest = trio.current_time() + LAST_ACCEPT_TIMEOUT_S
        while trio.current_time() < latest:
            with trio.move_on_after(LAST_ACCEPT_WAIT_S) as scope:
                await self._accept(listener, nursery)
            if scope.cancelled_caught:
                return

    def close_idle(self) -> None:
        """Stop listening and close idle connections; the others close after their reply."""
        self.is_draining = True
        self._closing_at = trio.current_time()
        self._accept_scope.cancel()
        for scope in self._idle_scopes:
            scope.deadline = min(scope.deadline, self._closing_at + LAST_REQUEST_WAIT_S)

    async def wait_closed(self) -> None:
        """Return once the server has stopped listening and no connection is open."""
        while self.connections or self._is_listening:
            await self._has_changed.wait()

    def find_idle_deadline(self, idle_since: float) -> float:
        """Return the time at which a connection without a request is closed."""
        idle_until = idle_since + self._get_limits().idle_timeout_s * IDLE_TIMEOUT_FACTOR
        if not self.is_closing:
            return idle_until
        return min(idle_until, max(self._closing_at, idle_since) + LAST_REQUEST_WAIT_S)

    def _notify_change(self) -> None:
        self._has_changed.set()
        self._has_changed = trio.Event()

    async def _serve_connection(self, connection: trio.socket.SocketType) -> None:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
            await _CallerConnection(self, connection).run()
        except OSError:
            pass  # The caller disconnected; the handler has cancelled and logged its request.
        except Exception as error:  # One failing connection must not end the process.
            self._events.note("internal_error", where="caller connection", cause=repr(error))
        finally:
            self.connections -= 1
            self._notify_change()
            connection.close()


class _CallerConnection:
    """One connection of a caller; its requests are served one after the other."""

    def __init__(self, server: CallerServer, connection: trio.socket.SocketType) -> None:
        self._server = server
        self._socket = connection
        self._limits = server._get_limits()
        self._is_first = True
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    async def run(self) -> None:
        """Serve requests until either side closes."""
        while True:
            try:
                request = await self._receive_request()
            except BadRequestError as error:
                await self._reject(error)
                return
            if request is None:
                return
            reply = await self._handle_request(request)
            if reply is None:
                return
            await self._send(request.method, reply)
            if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _receive_request(self) -> CallerRequest | None:
        if not await self._wait_for_data():
            return None
        server = self._server
        with trio.move_on_after(self._limits.header_timeout_s) as scope:
            head = await self._read_event()
            if not isinstance(head, h11.Request):
                return None
            received_at = trio.current_time()
            self._check_head(head)
            body = await self._receive_body(head)
        if scope.cancelled_caught:
            raise BadRequestError(408, "the request did not arrive within the header timeout")
        self._limits = server._get_limits()
        headers = tuple((bytes(name), bytes(value)) for name, value in head.headers)
        is_first, self._is_first = self._is_first, False
        return CallerRequest(
            bytes(head.method), bytes(head.target), headers, body, received_at, is_first
        )

    async def _wait_for_data(self) -> bool:
        """Wait for data of the next request; return False if it does not arrive in time."""
        if self._http.trailing_data[0]:
            return True
        server = self._server
        idle_since = trio.current_time()
        while trio.current_time() < server.find_idle_deadline(idle_since):
            with trio.move_on_at(server.find_idle_deadline(idle_since)) as scope:
                server._idle_scopes.add(scope)
                try:
                    data = await self._socket.recv(RECEIVE_BUFFER_BYTES)
                finally:
                    server._idle_scopes.discard(scope)
                self._parse(data)
                return bool(data)
        return False

    def _check_head(self, head: h11.Request) -> None:
        """Reject a head above the limit; h11 accepts one that arrives in a single read."""
        limit = self._limits.max_header_bytes
        size = len(head.target) + sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size > limit:
            raise BadRequestError(431, f"the head has more than {limit} bytes")

    async def _receive_body(self, head: h11.Request) -> bytes:
        limit = self._limits.max_body_bytes
        for name, value in head.headers:
            if name == b"content-length" and int(value) > limit:
                raise BadRequestError(413, f"the body has more than {limit} bytes")
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._http.send(continue_response))
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await self._read_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            if not isinstance(event, h11.Data):
                raise BadRequestError(400, "the connection ended within the body")
            size += len(event.data)
            if size > limit:
                raise BadRequestError(413, f"the body has more than {limit} bytes")
            pieces.append(bytes(event.data))

    async def _read_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._parse(await self._socket.recv(RECEIVE_BUFFER_BYTES))

    def _parse(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from error

    async def _handle_request(self, request: CallerRequest) -> CallerReply | None:
        """Return the reply, or None if the caller disconnects first."""
        reply = None
        self._server.active_requests += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, nursery.cancel_scope)
                reply = await self._call_handler(request)
                nursery.cancel_scope.cancel()
        finally:
            self._server.active_requests -= 1
        return reply

    async def _call_handler(self, request: CallerRequest) -> CallerReply:
        try:
            return await self._server._handler.handle(request)
        except Exception as error:  # The reply does not say whether the request has run.
            self._server._events.note("internal_error", where="request", cause=repr(error))
            return CallerReply(500, ((b"connection", b"close"),), b"internal error")

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller closes the connection."""
        await trio.lowlevel.wait_readable(self._socket)
        try:
            data = await self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        if not data:
            scope.cancel()

    async def _reject(self, error: BadRequestError) -> None:
        self._server._events.note("bad_request", status=error.status, cause=str(error))
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = CallerReply(error.status, ((b"connection", b"close"),), str(error).encode())
        await self._send(b"", reply)

    async def _send(self, method: bytes, reply: CallerReply) -> None:
        headers = [*reply.headers, (b"content-length", str(len(reply.body)).encode())]
        has_next_request = bool(self._http.trailing_data[0])
        if self._server.is_draining and not has_next_request:
            headers.append((b"connection", b"close"))
        pieces = [
            self._http.send(h11.Response(status_code=reply.status, headers=headers)),
            self._http.send(h11.Data(data=reply.body)) if method != b"HEAD" else b"",
            self._http.send(h11.EndOfMessage()),
        ]
        await self._write(b"".join(pieces))

    async def _write(self, data: bytes) -> None:
        view = memoryview(data)
        with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
            while view:
                view = view[await self._socket.send(view) :]
        if scope.cancelled_caught:
            raise OSError("the caller did not read its reply within the write timeout")


async def open_listener(host: str, port: int) -> trio.socket.SocketType:
    """Return a listening socket; retry for some seconds if the port is still in use."""
    for attempt in range(BIND_ATTEMPTS):
        listener = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            await listener.bind((host, port))
            listener.listen(LISTEN_BACKLOG)
            return listener
        except OSError:
            listener.close()
            if attempt == BIND_ATTEMPTS - 1:
                raise
            await trio.sleep(BIND_RETRY_DELAY_S)
    raise AssertionError("unreachable")
