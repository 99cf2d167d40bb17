"""Send queue of a connection; adding a frame to it never blocks."""

from collections.abc import Callable

import trio

from zinnia_relay.frames import FrameStream

SEND_TIMEOUT_S = 1.0


class Outbox:
    """Writes frames in order; all that are queued go into one write."""

    def __init__(self, frames: FrameStream) -> None:
        self._frames = frames
        self._queue: list[bytes] = []
        self._callbacks: list[Callable[[], None]] = []
        self._has_frames = trio.Event()

    def put(self, payload: bytes, on_written: Callable[[], None] | None = None) -> None:
        """Queue a frame; ``on_written`` is called once the frame has been written."""
        self._queue.append(payload)
        if on_written is not None:
            self._callbacks.append(on_written)
        self._has_frames.set()

    async def run(self, connection: trio.CancelScope) -> None:
        """Write frames until cancelled; cancel ``connection`` if a write fails or times out."""
        try:
            while True:
                await self._has_frames.wait()
                self._has_frames = trio.Event()
                payloads, self._queue = self._queue, []
                callbacks, self._callbacks = self._callbacks, []
                with trio.fail_after(SEND_TIMEOUT_S):
                    await self._frames.send(*payloads)
                for callback in callbacks:
                    callback()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            connection.cancel()
