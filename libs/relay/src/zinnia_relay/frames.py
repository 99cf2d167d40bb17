"""Length-prefixed frames on a stream."""

import struct

import trio

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
RECEIVE_BYTES = 65536


class FrameError(Exception):
    """The peer closed the connection or sent a frame that is too long."""


class FrameStream:
    """Sends and receives frames."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def send(self, *payloads: bytes) -> None:
        """Send frames."""
        pieces = [LENGTH.pack(len(payload)) + payload for payload in payloads]
        await self._stream.send_all(b"".join(pieces))

    async def receive(self) -> bytes:
        """Return the next frame.

        Raises
        ------
        FrameError
            The connection ended or the frame is too long.
        """
        head = await self._take(LENGTH.size)
        size = LENGTH.unpack(head)[0]
        if size > MAX_FRAME_BYTES:
            raise FrameError(f"a frame of {size} bytes exceeds {MAX_FRAME_BYTES}")
        return await self._take(size)

    async def aclose(self) -> None:
        """Close the stream."""
        await trio.aclose_forcefully(self._stream)

    async def _take(self, size: int) -> bytes:
        while len(self._buffer) < size:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise FrameError("the peer closed the connection")
            self._buffer += data
        payload = bytes(self._buffer[:size])
        del self._buffer[:size]
        return payload
