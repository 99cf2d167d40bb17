"""HTTP/1.1 connections to backend servers, kept without a pool."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import httpcore
import trio

from zinnia_model.errors import ZinniaError

Headers = list[tuple[bytes, bytes]]
READ_BYTES = 65536
_WRITE_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class ConnectFailedError(ZinniaError):
    """No connection was made, so nothing was sent; ``refused`` tells a refusal from silence."""

    def __init__(self, address: str, refused: bool):
        cause = "was refused" if refused else "got no answer"
        super().__init__(f"connecting to {address} {cause}; use another replica of the shard")
        self.refused = refused


class SendWithheldError(ZinniaError):
    """The check just before the write did not allow the request, so nothing was sent."""


class ConnectionLostError(ZinniaError):
    """A connection broke before the whole response; ``Connection.written`` tells what was sent."""


@dataclass(frozen=True, slots=True)
class WireRequest:
    """One HTTP request; ``headers`` include ``host`` and ``content-length``."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class WireResponse:
    """A whole HTTP response; the names in ``headers`` are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Connection(ABC):
    """One open connection that carries one exchange at a time.

    ``verified_at`` is when the last whole response arrived, on the runtime's clock, in seconds.
    """

    verified_at: float = 0.0
    idle_since: float = 0.0

    @property
    @abstractmethod
    def written(self) -> bool:
        """Whether any byte of the latest request may have left this VM."""

    @abstractmethod
    async def exchange(
        self, request: WireRequest, may_send: Callable[[], bool] | None = None
    ) -> WireResponse:
        """Send one request and return its whole response.

        ``may_send`` is asked in the step that writes, with nothing else run in between.

        Raises
        ------
        ConnectionLostError
            The connection broke or the peer violated HTTP.
        SendWithheldError
            ``may_send`` returned false; the connection must be closed.
        """

    @abstractmethod
    async def cancel(self) -> None:
        """Tell the peer to drop the running request; return when it has closed its end."""

    @abstractmethod
    def is_reusable(self) -> bool:
        """Return whether no answer is outstanding and the peer has not closed."""

    @abstractmethod
    def close(self) -> None:
        """Close at once; a running exchange ends with ``ConnectionLostError``."""


class Connector(ABC):
    """Opens connections."""

    @abstractmethod
    async def connect(self, address: str) -> Connection:
        """Open a connection to ``host:port``; raises ``ConnectFailedError``."""


class _Stream(httpcore.AsyncNetworkStream):
    """Joins head and body of a request into one write and notes whether anything was written.

    Timeouts are left to the caller's cancel scope; httpcore's own would cost a scope per call.
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
            raise SendWithheldError("the replica may not get this request now; nothing was sent")
        self.written = True
        try:
            await self._stream.send_all(data)
        except _WRITE_ERRORS as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        # httpcore calls this when an exchange is cancelled. The reading side stays open for
        # ``wait_for_end``; the owner of the connection closes the socket.
        self.end_writing()

    def end_writing(self) -> None:
        with suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)

    async def wait_for_end(self) -> None:
        with suppress(*_WRITE_ERRORS):
            while await self._stream.receive_some(READ_BYTES):
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
        """Whether any byte of the latest request was handed to the socket."""
        return self._stream.written

    async def exchange(
        self, request: WireRequest, may_send: Callable[[], bool] | None = None
    ) -> WireResponse:
        """Send one request and return its whole response."""
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
            raise ConnectionLostError(f"{error!r}; a repeatable request can be retried") from error
        headers = {name.lower(): value for name, value in response.headers}
        return WireResponse(response.status, headers, body)

    async def cancel(self) -> None:
        """Close the writing side and read until the peer closes."""
        self._stream.end_writing()
        await self._stream.wait_for_end()

    def is_reusable(self) -> bool:
        """Return whether the connection is idle and the peer has sent nothing, not even an end."""
        return self._http.is_idle() and not self._http.has_expired()

    def close(self) -> None:
        """Close the socket."""
        self._stream.close()


class HttpConnector(Connector):
    """Connects by IP number; no name is looked up."""

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
