"""Length-prefixed frames on trio streams."""

import struct
from collections import deque
from collections.abc import Callable

import trio

from zinnia_peers.codec import ProtocolError

MAX_FRAME_BYTES = 4 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
# Bounds what one write holds, so that a control frame waits for at most this much batch data,
# unless a single frame is longer.
WRITE_CHUNK_BYTES = 64 * 1024
MAX_CONTROL_FRAMES = 256

_LENGTH = struct.Struct("!I")


def make_frame(payload: bytes) -> bytes:
    """Return the payload with its length in front.

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
    """Cuts the bytes of a stream into payloads."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> list[bytes]:
        """Wait for bytes and return all complete payloads; an empty list means end of stream.

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
            payloads = self._cut()
            if payloads:
                return payloads

    def _cut(self) -> list[bytes]:
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
    """Frames that wait to be written; control frames overtake data frames.

    The control queue is bounded: when it is full, the oldest droppable frame goes first, because a
    newer heartbeat makes it useless.
    """

    def __init__(self) -> None:
        self._control: deque[tuple[bytes, bool]] = deque()
        self._data: deque[tuple[bytes, Callable[[], None] | None]] = deque()
        self._wake = trio.Event()
        self.dropped = 0

    def put_control(self, frame: bytes, droppable: bool = False) -> bool:
        """Queue a control frame; return False if the queue is full of frames that must stay."""
        if len(self._control) >= MAX_CONTROL_FRAMES and not self._drop_oldest():
            self.dropped += 1
            return False
        self._control.append((frame, droppable))
        self._wake.set()
        return True

    def put_data(self, frame: bytes, handed: Callable[[], None] | None = None) -> None:
        """Queue a data frame; ``handed`` is called right before its bytes go to the socket."""
        self._data.append((frame, handed))
        self._wake.set()

    def wake(self) -> None:
        """Let the writer ask its source for more frames."""
        self._wake.set()

    def _drop_oldest(self) -> bool:
        for index, (_, droppable) in enumerate(self._control):
            if droppable:
                del self._control[index]
                self.dropped += 1
                return True
        return False

    def _take(self) -> bytes:
        frames = [frame for frame, _ in self._control]
        self._control.clear()
        size = 0
        while self._data and size < WRITE_CHUNK_BYTES:
            frame, handed = self._data.popleft()
            if handed is not None:
                handed()
            frames.append(frame)
            size += len(frame)
        return b"".join(frames)

    async def write_to(
        self, stream: trio.abc.SendStream, collect: Callable[[], None] | None = None
    ) -> None:
        """Write frames until the stream breaks; ``collect`` may queue more before each write.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
            If the connection broke or was closed on this side.
        """
        while True:
            await self._wake.wait()
            # Everything that other tasks queue in this pass of the loop joins the same write.
            await trio.lowlevel.checkpoint()
            self._wake = trio.Event()
            if collect is not None:
                collect()
            data = self._take()
            if self._data or self._control:
                self._wake.set()
            if data:
                await stream.send_all(data)
