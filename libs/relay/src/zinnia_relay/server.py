"""Answers peers that follow this VM."""

from collections.abc import Awaitable, Callable, Mapping

import trio

from zinnia_relay.beliefs import Beliefs
from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import DECODE_ERRORS, Follow, decode, encode

# Longest time that a peer may have its request wait.
MAX_WAIT_MS = 5000
# A peer that sends nothing for this long is disconnected.
IDLE_S = 15.0
SEND_TIMEOUT_S = 3.0

Protocol = Callable[[FrameStream], Awaitable[None]]


class RelayServer:
    """Serves the peer address of this VM.

    Parameters
    ----------
    vm : str
        Name of this VM.
    beliefs : Beliefs
        What peers are told.
    protocols : Mapping[bytes, Protocol], optional
        What else is served on the address, by the first frame of a connection.
    """

    def __init__(
        self, vm: str, beliefs: Beliefs, protocols: Mapping[bytes, Protocol] | None = None
    ) -> None:
        self._vm = vm
        self._beliefs = beliefs
        self._protocols = protocols or {}
        self.followers = 0

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one peer until it leaves."""
        frames = FrameStream(stream)
        try:
            with trio.fail_after(IDLE_S):
                first = await frames.receive()
            protocol = self._protocols.get(first)
            if protocol is not None:
                await protocol(frames)
            else:
                await self._serve_follower(frames, first)
        except (FrameError, trio.BrokenResourceError, trio.TooSlowError, *DECODE_ERRORS):
            return  # The peer is gone or speaks another protocol; it connects again.
        finally:
            await frames.aclose()

    async def _serve_follower(self, frames: FrameStream, payload: bytes) -> None:
        self.followers += 1
        try:
            while True:
                follow = decode(Follow, payload)
                follow.wait_ms = max(0, min(MAX_WAIT_MS, follow.wait_ms))
                update = await self._beliefs.answer(self._vm, follow)
                with trio.fail_after(SEND_TIMEOUT_S):
                    await frames.send(encode(update))
                with trio.fail_after(IDLE_S):
                    payload = await frames.receive()
        finally:
            self.followers -= 1
