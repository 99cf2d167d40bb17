"""Frames that wait to be written, so that putting one never waits."""

import trio

from zinnia_relay.frames import FrameStream

SEND_TIMEOUT_S = 1.0


class Outbox:
    """Writes frames in their order, as many at once as wait."""

    def __init__(self, frames: FrameStream) -> None:
        self._frames = frames
        self._waiting: list[bytes] = []
        self._news = trio.Event()

    def put(self, payload: bytes) -> None:
        """Queue a frame."""
        self._waiting.append(payload)
        self._news.set()

    async def run(self, connection: trio.CancelScope) -> None:
        """Write until cancelled; a peer that does not read ends its connection."""
        try:
            while True:
                await self._news.wait()
                self._news = trio.Event()
                payloads, self._waiting = self._waiting, []
                with trio.fail_after(SEND_TIMEOUT_S):
                    await self._frames.send(*payloads)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            connection.cancel()
