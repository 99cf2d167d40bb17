"""Client that follows a peer's copy of the store."""

import trio

from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, FollowReply, decode, encode
from zinnia_relay.store_cache import StoreCache

CONNECT_TIMEOUT_S = 0.3
# Time beyond the requested wait in which an answer has to begin. The kernel of a VM that stands
# still accepts connections, so only this time shows that no answer comes.
ANSWER_MARGIN_S = 0.4
# Time from the first byte of an answer to its end: it may hold all objects, at low bandwidth.
ANSWER_TRANSFER_TIMEOUT_S = 2.0


class PeerLostError(Exception):
    """The peer sent no usable answer in time; follow another peer or the store."""


class PeerSilentError(PeerLostError):
    """The peer accepted the connection or kept it open, but did not answer in time."""


class PeerConnection:
    """One connection to a peer; use it as an asynchronous context manager."""

    def __init__(
        self,
        vm: str,
        host: str,
        port: int,
        store_cache: StoreCache,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._vm = vm
        self._address = (host, port)
        self._store_cache = store_cache
        self._connect_timeout_s = connect_timeout_s
        self._frames: FrameStream | None = None

    async def __aenter__(self) -> "PeerConnection":
        """Connect.

        Raises
        ------
        PeerLostError
            The peer did not accept the connection in time.
        """
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await open_stream(*self._address)
        except (OSError, trio.TooSlowError) as error:
            raise PeerLostError(f"cannot connect to peer {self._address[0]}: {error!r}") from error
        self._frames = FrameStream(stream)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._frames is not None:
            with trio.CancelScope(shield=True):
                await self._frames.aclose()

    async def poll(self, wait_s: float, margin_s: float = ANSWER_MARGIN_S) -> None:
        """Request the peer's changes and apply them; the peer waits up to ``wait_s`` for one.

        The answer has to begin within ``margin_s`` seconds after that.

        Raises
        ------
        PeerSilentError
            The peer did not answer in time.
        PeerLostError
            The connection ended, or the peer sent a malformed answer.
        """
        try:
            payload = await self._request(wait_s, margin_s)
            reply = decode(FollowReply, payload)
        except trio.TooSlowError as error:
            raise PeerSilentError(f"no answer from peer {self._address[0]} in time") from error
        except (FrameError, OSError, trio.BrokenResourceError) as error:
            raise PeerLostError(f"no answer from peer {self._address[0]}: {error!r}") from error
        except DECODE_ERRORS as error:
            raise PeerLostError(
                f"malformed answer from peer {self._address[0]}: {error!r}"
            ) from error
        self._store_cache.apply_reply(reply)

    async def _request(self, wait_s: float, margin_s: float) -> bytes:
        """Send a request and return the answer."""
        assert self._frames is not None
        with trio.fail_after(wait_s + margin_s):
            await self._frames.send(encode(self._store_cache.make_request(self._vm, wait_s)))
            await self._frames.wait_for_data()
        with trio.fail_after(ANSWER_TRANSFER_TIMEOUT_S):
            return await self._frames.receive()


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an IP address; names are not resolved."""
    sock = trio.socket.socket()
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
