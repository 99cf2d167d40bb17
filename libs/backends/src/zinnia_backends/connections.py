"""HTTP/1.1 connections to backend servers; their owner pools them, not httpcore."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import httpcore
import trio

from zinnia_model.errors import ZinniaError

Headers = list[tuple[bytes, bytes]]
READ_CHUNK_BYTES = 65536
_WRITE_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class ConnectFailedError(ZinniaError):
    """Connecting failed, so nothing was sent; ``refused`` is true if the host refused it."""

    def __init__(self, address: str, refused: bool):
        cause = "was refused" if refused else "could not be opened"
        super().__init__(f"connection to {address} {cause}; use another replica of the shard")
        self.refused = refused


class SendWithheldError(ZinniaError):
    """The check just before the write failed, so nothing was sent."""


class ConnectionLostError(ZinniaError):
    """A connection broke before the response was complete.

    ``Connection.written`` tells whether any byte of the request may have been sent.
    """


@dataclass(frozen=True, slots=True)
class WireRequest:
    """One HTTP request; ``headers`` include ``host`` and ``content-length``."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class WireResponse:
    """A complete HTTP response; the names in ``headers`` are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Connection(ABC):
    """An open connection that carries one exchange at a time.

    ``verified_at`` is when the last complete response arrived (or the connection was opened), and
    ``idle_since`` when the last request ended; both are on trio's clock, in seconds.
    """

    verified_at: float = 0.0
    idle_since: float = 0.0

    @property
    @abstractmethod
    def written(self) -> bool:
        """Whether any byte of the latest request may have been sent to the peer."""

    @abstractmethod
    async def exchange(
        self, request: WireRequest, may_send: Callable[[], bool] | None = None
    ) -> WireResponse:
        """Send one request and return its complete response.

        ``may_send`` is called directly before the write; no other task runs in between.

        Raises
        ------
        ConnectionLostError
            The connection broke or the peer violated HTTP.
        SendWithheldError
            ``may_send`` returned false; the connection must be closed.
        """

    @abstractmethod
    async def cancel(self) -> None:
        """Ask the peer to abort the running request; return when it has closed its end."""

    @abstractmethod
    def is_reusable(self) -> bool:
        """Return whether no response is outstanding and the peer has not closed."""

    @abstractmethod
    def close(self) -> None:
        """Close at once; a running exchange raises ``ConnectionLostError``."""


class Connector(ABC):
    """Opens connections to backend servers."""

    @abstractmethod
    async def connect(self, address: str) -> Connection:
        """Open a connection to ``host:port``; raises ``ConnectFailedError``."""


class _Stream(httpcore.AsyncNetworkStream):
    """Joins head and body of a request into one write and records whether it was begun.

    Ignores httpcore's timeouts, which would cost a cancel scope per call; callers use their own
    cancel scope.
    """

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._pending: list[bytes] = []
        self.written = False
        self.may_send: Callable[[], bool] | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        await self._flush()
        try:
            return await self._stream.receive_some(max_bytes)
        except _WRITE_ERRORS as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if buffer:
            self._pending.append(buffer)

    async def _flush(self) -> None:
        if not self._pending:
            return
        data, self._pending = b"".join(self._pending), []
        if self.may_send is not None and not self.may_send():
            raise SendWithheldError(
                "sending to the replica is no longer allowed; the request was not sent"
            )
        self.written = True
        try:
            await self._stream.send_all(data)
        except _WRITE_ERRORS as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        # httpcore calls this when an exchange is cancelled. The reading side stays open for
        # ``wait_for_peer_close``; the owner of the connection closes the socket.
        self.shut_down_writing()

    def shut_down_writing(self) -> None:
        with suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)

    async def wait_for_peer_close(self) -> None:
        with suppress(*_WRITE_ERRORS):
            while await self._stream.receive_some(READ_CHUNK_BYTES):
                pass

    def close(self) -> None:
        self._stream.socket.close()

    def get_extra_info(self, info: str):
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None


class HttpConnection(Connection):
    """A connection over httpcore's HTTP/1.1 implementation."""

    def __init__(self, stream: trio.SocketStream, origin: httpcore.Origin):
        self._stream = _Stream(stream)
        self._origin = origin
        self._http = httpcore.AsyncHTTP11Connection(origin, self._stream)

    @property
    def written(self) -> bool:
        """Whether any byte of the latest request was passed to the socket."""
        return self._stream.written

    async def exchange(
        self, request: WireRequest, may_send: Callable[[], bool] | None = None
    ) -> WireResponse:
        """Send one request and return its complete response."""
        origin = self._origin
        url = httpcore.URL(
            scheme=origin.scheme, host=origin.host, port=origin.port, target=request.target
        )
        self._stream.written = False
        self._stream.may_send = may_send
        message = httpcore.Request(
            request.method, url, headers=request.headers, content=request.body
        )
        try:
            response = await self._http.handle_async_request(message)
            body = await response.aread()
            await response.aclose()
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise ConnectionLostError(
                f"{error!r}; retry the request only if it is repeatable"
            ) from error
        headers = {name.lower(): value for name, value in response.headers}
        return WireResponse(response.status, headers, body)

    async def cancel(self) -> None:
        """Close the writing side and read until the peer closes."""
        self._stream.shut_down_writing()
        await self._stream.wait_for_peer_close()

    def is_reusable(self) -> bool:
        """Return whether the connection is idle and the peer has neither sent data nor closed."""
        return self._http.is_idle() and not self._http.has_expired()

    def close(self) -> None:
        """Close the socket."""
        self._stream.close()


class HttpConnector(Connector):
    """Connects to IP addresses; does not resolve host names."""

    async def connect(self, address: str) -> Connection:
        """Open a TCP connection to ``host:port``."""
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        handle = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            await handle.connect((host, int(port)))
        except OSError as error:
            handle.close()
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectFailedError(address, refused) from error
        except BaseException:
            handle.close()
            raise
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return HttpConnection(trio.SocketStream(handle), origin)
