"""Pool of connections to one replica, each with one exchange at a time."""

import socket
from dataclasses import dataclass

import trio

from zinnia_sending.parser import AnswerParser

RECEIVE_BYTES = 65536
# After this time without a connection the request is sent to another replica.
CONNECT_TIMEOUT_S = 0.3
# The kernel closes a connection whose sent data is unacknowledged for this long, such as behind a
# network partition.
TCP_USER_TIMEOUT_MS = 3000
# Idle timeout of a connection if the replica sends none.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Connections are dropped this long before the idle timeout that the replica sends.
IDLE_TIMEOUT_MARGIN_S = 0.7
# A connection that served an answer this recently is reused without a check that it is still open.
# Answers without request ids are always checked for: a late one can't be told from the next answer.
UNCHECKED_CONNECTION_IDLE_S = 0.02
# A request that is not idempotent only reuses a connection that served an answer this recently, and
# always after a check that it is still open.
RECENT_CONNECTION_IDLE_S = 1.0


class ConnectionEndedError(Exception):
    """The connection ended before the answer was complete; the request may have run.

    ``by_replica`` tells whether the replica closed or reset it, instead of being unreachable.
    """

    def __init__(self, text: str, by_replica: bool) -> None:
        super().__init__(text)
        self.by_replica = by_replica


class NotConnectedError(Exception):
    """No connection could be opened, so nothing was sent."""


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """A complete answer as received; ``is_reusable`` tells whether to keep the connection."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_reusable: bool


class Connection:
    """One connection to a replica; ``has_request_ids`` is set once an answer had a request id."""

    __slots__ = ("_socket", "expires_at", "has_request_ids", "opened_at", "used_at")

    def __init__(self, sock: socket.socket, now: float) -> None:
        self._socket = sock
        self.opened_at = now
        self.used_at = now
        self.has_request_ids = False
        self.expires_at = now + DEFAULT_IDLE_TIMEOUT_S

    def close(self) -> None:
        """Close the socket; the replica then stops a request that is still running on it."""
        self._socket.close()

    def is_stale(self) -> bool:
        """Return whether the replica has closed the idle connection or sent unexpected bytes."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def exchange(self, data: bytes, parser: AnswerParser) -> RawAnswer:
        """Send a request and return its complete answer.

        Raises
        ------
        ConnectionEndedError
            The connection ended before the answer was complete.
        BadAnswerError
            The replica sent an invalid answer.
        """
        try:
            await self._send(data)
            await self._receive(parser)
        except OSError as error:
            by_replica = isinstance(error, ConnectionResetError | BrokenPipeError)
            text = f"connection failed: {error.strerror or error}"
            raise ConnectionEndedError(text, by_replica) from error
        return RawAnswer(
            parser.status,
            tuple(parser.headers),
            parser.body,
            parser.keeps_alive and not parser.has_extra,
        )

    async def _send(self, data: bytes) -> None:
        try:
            sent = self._socket.send(data)
        except BlockingIOError:
            sent = 0
        if sent == len(data):
            return
        view = memoryview(data)[sent:]
        while view:
            try:
                view = view[self._socket.send(view) :]
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)

    async def _receive(self, parser: AnswerParser) -> None:
        while not parser.is_complete:
            await trio.lowlevel.wait_readable(self._socket)
            data = self._socket.recv(RECEIVE_BYTES)
            if data:
                parser.feed(data)
                continue
            if parser.finish():
                parser.keeps_alive = False
                return
            text = "the replica closed the connection before its answer ended"
            raise ConnectionEndedError(text, True)


class ConnectionPool:
    """Connections of this VM to one replica.

    Parameters
    ----------
    host, port
        Address of the replica.
    limit : int
        Maximum number of open connections.
    """

    def __init__(self, host: str, port: int, limit: int) -> None:
        self._address = (host, port)
        self.limit = limit
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()

    @property
    def has_capacity(self) -> bool:
        """Whether a connection is idle or may be opened within the limit."""
        return bool(self._idle) or len(self._open) < self.limit

    def acquire_idle(self, now: float, must_be_recent: bool) -> Connection | None:
        """Return an idle connection that still looks usable, or None.

        With ``must_be_recent``, the connection must have served an answer within
        ``RECENT_CONNECTION_IDLE_S``.
        """
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.used_at
            is_too_old = must_be_recent and idle_s > RECENT_CONNECTION_IDLE_S
            must_check = must_be_recent or idle_s > UNCHECKED_CONNECTION_IDLE_S
            must_check = must_check or not connection.has_request_ids
            is_usable = now < connection.expires_at and not is_too_old
            if is_usable and not (must_check and connection.is_stale()):
                return connection
            self.discard(connection)
        return None

    async def open(self) -> Connection:
        """Open a connection.

        Raises
        ------
        NotConnectedError
            The replica refused the connection or did not accept it in time.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        connection = Connection(sock, trio.current_time())
        self._open.add(connection)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await _connect(sock, self._address)
        except (OSError, trio.TooSlowError) as error:
            self.discard(connection)
            cause = "connect timeout" if isinstance(error, trio.TooSlowError) else str(error)
            raise NotConnectedError(cause) from error
        except BaseException:
            self.discard(connection)
            raise
        return connection

    def release(self, connection: Connection, now: float, idle_s: float | None) -> None:
        """Keep a connection for reuse; ``idle_s`` is the idle timeout that the replica sent."""
        lifetime_s = DEFAULT_IDLE_TIMEOUT_S if idle_s is None else idle_s - IDLE_TIMEOUT_MARGIN_S
        if lifetime_s <= 0:
            self.discard(connection)
            return
        connection.used_at = now
        connection.expires_at = now + lifetime_s
        self._idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection."""
        self._open.discard(connection)
        connection.close()

    def discard_idle(self, opened_before: float) -> None:
        """Close the idle connections that were opened before ``opened_before``."""
        kept = []
        for connection in self._idle:
            if connection.opened_at < opened_before:
                self.discard(connection)
            else:
                kept.append(connection)
        self._idle = kept

    def discard_expired(self, now: float) -> None:
        """Close idle connections whose idle timeout has passed."""
        kept = []
        for connection in self._idle:
            if connection.expires_at <= now:
                self.discard(connection)
            else:
                kept.append(connection)
        self._idle = kept

    def close(self) -> None:
        """Close the idle connections; busy ones are closed when their exchange ends."""
        self.limit = 0
        for connection in self._idle:
            self.discard(connection)
        self._idle = []


async def _connect(sock: socket.socket, address: tuple[str, int]) -> None:
    try:
        sock.connect(address)
        return
    except BlockingIOError:
        await trio.lowlevel.wait_writable(sock)
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, "cannot connect")
