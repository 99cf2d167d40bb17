"""Answers peers that follow this VM."""

import trio
from thrift.protocol.TProtocol import TProtocolException

from zinnia_relay.beliefs import Beliefs
from zinnia_relay.frames import FrameError, FrameStream
from zinnia_relay.messages import Follow, decode, encode

# Longest time that a peer may have its request wait.
MAX_WAIT_MS = 5000
# A peer that sends nothing for this long is disconnected.
IDLE_S = 15.0
SEND_TIMEOUT_S = 3.0
DECODE_ERRORS = (TProtocolException, EOFError, ValueError, TypeError, KeyError)


class RelayServer:
    """Serves the peer address of this VM.

    Parameters
    ----------
    vm : str
        Name of this VM.
    beliefs : Beliefs
        What peers are told.
    """

    def __init__(self, vm: str, beliefs: Beliefs) -> None:
        self._vm = vm
        self._beliefs = beliefs
        self.followers = 0

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one peer until it leaves."""
        frames = FrameStream(stream)
        self.followers += 1
        try:
            while True:
                with trio.fail_after(IDLE_S):
                    follow = decode(Follow, await frames.receive())
                follow.wait_ms = max(0, min(MAX_WAIT_MS, follow.wait_ms))
                update = await self._beliefs.answer(self._vm, follow)
                with trio.fail_after(SEND_TIMEOUT_S):
                    await frames.send(encode(update))
        except (FrameError, trio.BrokenResourceError, trio.TooSlowError, *DECODE_ERRORS):
            return  # The peer is gone or speaks another protocol; it connects again.
        finally:
            self.followers -= 1
            await frames.aclose()
