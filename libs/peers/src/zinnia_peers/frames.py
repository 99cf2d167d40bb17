"""Length-prefixed frames on trio streams: reading, and queueing for writing."""

import struct
from collections import deque
from collections.abc import Callable

import trio

from zinnia_peers.codec import ProtocolError

MAX_FRAME_BYTES = 4 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
# Data frames are added to a write until it has this many bytes of them, so that a control frame
# waits for about this much data at most, unless a single data frame is longer.
DATA_BYTES_PER_WRITE = 64 * 1024
MAX_CONTROL_FRAMES = 256

_LENGTH = struct.Struct("!I")


def make_frame(payload: bytes) -> bytes:
    """Return the payload with its length as a prefix.

    Raises
    ------
    ProtocolError
        If the payload is longer than ``MAX_FRAME_BYTES``.
    """
    if len(payload) > MAX_FRAME_BYTES:
        text = f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}; send smaller messages"
        raise ProtocolError(text)
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Splits the bytes of a stream into the payloads of its frames."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> list[bytes]:
        """Wait for complete frames and return their payloads; none means end of stream.

        Raises
        ------
        ProtocolError
            If the peer announces a frame longer than ``MAX_FRAME_BYTES``.
        trio.BrokenResourceError, trio.ClosedResourceError
            If the connection broke or was closed on this side.
        """
        while True:
            chunk = await self._stream.receive_some(READ_CHUNK_BYTES)
            if not chunk:
                return []
            self._buffer += chunk
            payloads = self._extract_payloads()
            if payloads:
                return payloads

    def _extract_payloads(self) -> list[bytes]:
        payloads = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                text = f"peer announced a frame of {length} bytes; close the connection"
                raise ProtocolError(text)
            end = start + _LENGTH.size + length
            if end > len(self._buffer):
                break
            payloads.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return payloads


class Outbox:
    """Frames queued for writing; control frames are written before data frames.

    The control queue is bounded. When it is full, the oldest droppable frame (a heartbeat) is
    dropped, because a newer heartbeat replaces it.
    """

    def __init__(self) -> None:
        self._control: deque[tuple[bytes, bool]] = deque()
        self._data: deque[tuple[bytes, Callable[[], None] | None]] = deque()
        self._work_queued = trio.Event()
        self.dropped_control_frames = 0

    def put_control(self, frame: bytes, droppable: bool = False) -> bool:
        """Queue a control frame; return False if the queue is full of frames not to be dropped."""
        if len(self._control) >= MAX_CONTROL_FRAMES and not self._drop_oldest_droppable():
            self.dropped_control_frames += 1
            return False
        self._control.append((frame, droppable))
        self._work_queued.set()
        return True

    def put_data(self, frame: bytes, on_write: Callable[[], None] | None = None) -> None:
        """Queue a data frame; ``on_write`` is called right before its bytes go to the socket."""
        self._data.append((frame, on_write))
        self._work_queued.set()

    def wake_writer(self) -> None:
        """Wake the writer, which then calls its ``queue_more`` callback."""
        self._work_queued.set()

    def _drop_oldest_droppable(self) -> bool:
        for index, (_, droppable) in enumerate(self._control):
            if droppable:
                del self._control[index]
                self.dropped_control_frames += 1
                return True
        return False

    def _dequeue_frames(self) -> bytes:
        frames = [frame for frame, _ in self._control]
        self._control.clear()
        size = 0
        while self._data and size < DATA_BYTES_PER_WRITE:
            frame, on_write = self._data.popleft()
            if on_write is not None:
                on_write()
            frames.append(frame)
            size += len(frame)
        return b"".join(frames)

    async def write_to(
        self, stream: trio.abc.SendStream, queue_more: Callable[[], None] | None = None
    ) -> None:
        """Write frames until the stream breaks; ``queue_more`` is called before each write.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
            If the connection broke or was closed on this side.
        """
        while True:
            await self._work_queued.wait()
            # Let the other tasks of this scheduler pass queue frames, so that one write sends all.
            await trio.lowlevel.checkpoint()
            self._work_queued = trio.Event()
            if queue_more is not None:
                queue_more()
            data = self._dequeue_frames()
            if self._data or self._control:
                self._work_queued.set()
            if data:
                await stream.send_all(data)
