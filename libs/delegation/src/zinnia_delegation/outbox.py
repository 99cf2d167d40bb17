"""Frames that wait to be written, so that putting one never waits."""

from collections.abc import Callable

import trio

from zinnia_relay.frames import FrameStream

SEND_TIMEOUT_S = 1.0


class Outbox:
    """Writes frames in their order, as many at once as wait."""

    def __init__(self, frames: FrameStream) -> None:
        self._frames = frames
        self._waiting: list[bytes] = []
        self._told: list[Callable[[], None]] = []
        self._news = trio.Event()

    def put(self, payload: bytes, written: Callable[[], None] | None = None) -> None:
        """Queue a frame; ``written`` is told when the frame has left this VM."""
        self._waiting.append(payload)
        if written is not None:
            self._told.append(written)
        self._news.set()

    async def run(self, connection: trio.CancelScope) -> None:
        """Write until cancelled; a peer that does not read ends its connection."""
        try:
            while True:
                await self._news.wait()
                self._news = trio.Event()
                payloads, self._waiting = self._waiting, []
                told, self._told = self._told, []
                with trio.fail_after(SEND_TIMEOUT_S):
                    await self._frames.send(*payloads)
                for written in told:
                    written()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            connection.cancel()
