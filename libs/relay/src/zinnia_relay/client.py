"""Follows a peer."""

import trio

from zinnia_relay.beliefs import Beliefs
from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, Update, decode, encode

CONNECT_TIMEOUT_S = 0.3
# Time beyond the requested wait after which a peer counts as lost.
ANSWER_MARGIN_S = 0.4
# The first answer may hold all objects and take longer on a small link.
FIRST_ANSWER_S = 2.0


class PeerLostError(Exception):
    """The peer did not answer; follow another one or the store."""


class PeerConnection:
    """One connection to a peer; an asynchronous context manager."""

    def __init__(
        self,
        vm: str,
        host: str,
        port: int,
        beliefs: Beliefs,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._vm = vm
        self._address = (host, port)
        self._beliefs = beliefs
        self._connect_timeout_s = connect_timeout_s
        self._frames: FrameStream | None = None
        self._answers = 0

    async def __aenter__(self) -> "PeerConnection":
        """Connect.

        Raises
        ------
        PeerLostError
            The peer does not accept connections.
        """
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await open_stream(*self._address)
        except (OSError, trio.TooSlowError) as error:
            raise PeerLostError(f"cannot connect to {self._address[0]}: {error!r}") from error
        self._frames = FrameStream(stream)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._frames is not None:
            with trio.CancelScope(shield=True):
                await self._frames.aclose()

    async def poll(self, wait_s: float) -> None:
        """Take the peer's news, at the latest after ``wait_s`` seconds.

        Raises
        ------
        PeerLostError
            The peer did not answer in time.
        """
        assert self._frames is not None
        limit_s = wait_s + (ANSWER_MARGIN_S if self._answers else FIRST_ANSWER_S)
        try:
            with trio.fail_after(limit_s):
                await self._frames.send(encode(self._beliefs.make_follow(self._vm, wait_s)))
                update = decode(Update, await self._frames.receive())
        except (FrameError, OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            raise PeerLostError(f"no answer from {self._address[0]}: {error!r}") from error
        except DECODE_ERRORS as error:
            raise PeerLostError(f"bad answer from {self._address[0]}: {error!r}") from error
        self._answers += 1
        self._beliefs.take(update)


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an address by IP number."""
    sock = trio.socket.socket()
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
