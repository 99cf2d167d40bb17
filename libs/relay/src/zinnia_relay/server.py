"""Server that answers the peers which follow this VM."""

from collections.abc import Awaitable, Callable, Mapping

import trio

from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, FollowRequest, decode, encode
from zinnia_relay.store_cache import StoreCache

# Upper limit on the wait that a peer may request.
MAX_WAIT_MS = 5000
# A peer that sends nothing for this long is disconnected.
IDLE_TIMEOUT_S = 15.0
SEND_TIMEOUT_S = 3.0

ProtocolHandler = Callable[[FrameStream], Awaitable[None]]


class RelayServer:
    """Serves connections to the peer address of this VM.

    Parameters
    ----------
    vm : str
        Name of this VM.
    store_cache : StoreCache
        Answers the requests of followers.
    protocols : Mapping[bytes, ProtocolHandler], optional
        Handlers of other protocols on the same address, by the first frame of a connection.
    """

    def __init__(
        self,
        vm: str,
        store_cache: StoreCache,
        protocols: Mapping[bytes, ProtocolHandler] | None = None,
    ) -> None:
        self._vm = vm
        self._store_cache = store_cache
        self._protocols = protocols or {}
        self.followers = 0

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends, a timeout expires or a frame is malformed."""
        frames = FrameStream(stream)
        try:
            with trio.fail_after(IDLE_TIMEOUT_S):
                first = await frames.receive()
            handler = self._protocols.get(first)
            if handler is not None:
                await handler(frames)
            else:
                await self._serve_follower(frames, first)
        except (FrameError, trio.BrokenResourceError, trio.TooSlowError, *DECODE_ERRORS):
            return  # The peer has left or uses another protocol; it is expected to reconnect.
        finally:
            await frames.aclose()

    async def _serve_follower(self, frames: FrameStream, payload: bytes) -> None:
        self.followers += 1
        try:
            while True:
                request = decode(FollowRequest, payload)
                request.wait_ms = max(0, min(MAX_WAIT_MS, request.wait_ms))
                reply = await self._store_cache.answer_request(self._vm, request)
                with trio.fail_after(SEND_TIMEOUT_S):
                    await frames.send(encode(reply))
                with trio.fail_after(IDLE_TIMEOUT_S):
                    payload = await frames.receive()
        finally:
            self.followers -= 1
