"""Length-prefixed frames over a byte stream."""

import struct

import trio

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
RECEIVE_BYTES = 65536


class FrameError(Exception):
    """The peer closed the connection or sent a frame that exceeds the size limit."""


class FrameStream:
    """Sends and receives frames over a stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def send(self, *payloads: bytes) -> None:
        """Send each payload as one frame, all in one write."""
        pieces = [LENGTH_PREFIX.pack(len(payload)) + payload for payload in payloads]
        await self._stream.send_all(b"".join(pieces))

    async def wait_for_data(self) -> None:
        """Wait until the first bytes of the next frame have arrived.

        Raises
        ------
        FrameError
            The peer closed the connection.
        """
        if not self._buffer:
            await self._receive_some()

    async def receive(self) -> bytes:
        """Return the payload of the next frame.

        Raises
        ------
        FrameError
            The peer closed the connection, or the frame exceeds ``MAX_FRAME_BYTES``.
        """
        prefix = await self._receive_exactly(LENGTH_PREFIX.size)
        size = LENGTH_PREFIX.unpack(prefix)[0]
        if size > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}")
        return await self._receive_exactly(size)

    async def aclose(self) -> None:
        """Close the stream at once, without a graceful shutdown."""
        await trio.aclose_forcefully(self._stream)

    async def _receive_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            await self._receive_some()
        payload = bytes(self._buffer[:size])
        del self._buffer[:size]
        return payload

    async def _receive_some(self) -> None:
        data = await self._stream.receive_some(RECEIVE_BYTES)
        if not data:
            raise FrameError("the peer closed the connection")
        self._buffer += data
