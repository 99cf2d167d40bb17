"""Answers every HTTP request at once with the same bytes; run as a process of its own."""

import sys
from contextlib import suppress

import trio

ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 200\r\n"
    b"keep-alive: timeout=5\r\nx-start-id: start-4711\r\nx-request-id: 0123456789abcdef\r\n"
    b"x-signature: 0123456789abcdef0123456789abcdef\r\n\r\n" + b"x" * 200
)
END_OF_HEAD = b"\r\n\r\n"
RECEIVE_BYTES = 65536


async def serve_connection(stream: trio.SocketStream) -> None:
    """Answer requests without a body until the peer closes."""
    pending = b""
    with suppress(trio.BrokenResourceError):
        async for data in stream:
            pending += data
            count = pending.count(END_OF_HEAD)
            if count:
                pending = pending.rpartition(END_OF_HEAD)[2]
                await stream.send_all(ANSWER * count)


async def serve() -> None:
    """Print the port, then serve until the process is ended."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    sys.stdout.write(f"{listener.socket.getsockname()[1]}\n")
    sys.stdout.flush()
    await trio.serve_listeners(serve_connection, [listener])


if __name__ == "__main__":
    trio.run(serve)
