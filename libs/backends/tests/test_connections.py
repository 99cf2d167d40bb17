import unittest

import trio
import trio.testing

from zinnia_backends.connections import (
    ConnectFailedError,
    ConnectionLostError,
    HttpConnector,
    SendWithheldError,
    WireRequest,
)

REQUEST = WireRequest(
    b"POST", b"/v1/run", [(b"host", b"backend"), (b"content-length", b"2")], b"{}"
)
ANSWER = b"HTTP/1.1 200 OK\r\nX-Shard: 1\r\ncontent-length: 2\r\n\r\nok"


class HttpConnectionTest(unittest.TestCase):
    def run_with(self, handler, check):
        """Run ``check(connection)`` against a local TCP server."""

        async def main():
            async with trio.open_nursery() as nursery:
                (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, handler, [listener])
                port = listener.socket.getsockname()[1]
                with trio.fail_after(5):
                    connection = await HttpConnector().connect(f"127.0.0.1:{port}")
                    await check(connection)
                connection.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_responses_are_read_completely_and_the_connection_is_reused(self):
        """Guards against mixed-case header names and connections not reusable after a response."""

        async def serve(stream):
            async for _ in stream:
                await stream.send_all(ANSWER)

        async def check(connection):
            for _ in range(2):
                response = await connection.exchange(REQUEST)
                self.assertEqual((200, b"ok"), (response.status, response.body))
                self.assertEqual(b"1", response.headers[b"x-shard"])
                self.assertTrue(connection.is_reusable())

        self.run_with(serve, check)

    def test_lost_connection_reports_that_the_request_was_written(self):
        """Guards against reporting "not run" for a request that a backend server may have run."""

        async def serve(stream):
            await stream.receive_some()
            await stream.aclose()

        async def check(connection):
            self.assertFalse(connection.written)
            with self.assertRaises(ConnectionLostError):
                await connection.exchange(REQUEST)
            self.assertTrue(connection.written)
            self.assertFalse(connection.is_reusable())

        self.run_with(serve, check)

    def test_cancelled_exchange_makes_the_connection_unusable(self):
        """Guards against delivering the late answer of a cancelled request to the next one."""

        async def serve(stream):
            await trio.sleep_forever()

        async def check(connection):
            with trio.move_on_after(0.02):
                await connection.exchange(REQUEST)
            self.assertFalse(connection.is_reusable())

        self.run_with(serve, check)

    def test_cancel_returns_when_the_peer_has_closed(self):
        """Guards against freeing a slot while the backend server still runs a cancelled request."""
        dropped = []

        async def serve(stream):
            await stream.receive_some()
            if await stream.receive_some():
                return
            await trio.sleep(0.05)
            dropped.append(True)

        async def check(connection):
            with trio.move_on_after(0.02):
                await connection.exchange(REQUEST)
            await connection.cancel()
            self.assertEqual([True], dropped)
            self.assertFalse(connection.is_reusable())

        self.run_with(serve, check)

    def test_withheld_request_is_not_written(self):
        """Guards against writing a request that is withheld and thus counts as not run."""
        received = []

        async def serve(stream):
            async for data in stream:
                received.append(data)

        async def check(connection):
            with self.assertRaises(SendWithheldError):
                await connection.exchange(REQUEST, lambda: False)
            await trio.testing.wait_all_tasks_blocked(0.05)
            self.assertFalse(connection.written)
            self.assertEqual([], received)

        self.run_with(serve, check)

    def test_idle_connection_closed_by_the_peer_is_not_reusable(self):
        """Guards against sending on a connection that is known to be dead."""

        async def serve(stream):
            await stream.receive_some()
            await stream.send_all(ANSWER)

        async def check(connection):
            await connection.exchange(REQUEST)
            await trio.testing.wait_all_tasks_blocked(0.05)
            self.assertFalse(connection.is_reusable())

        self.run_with(serve, check)

    def test_refused_connection_is_reported_as_refused(self):
        """Guards against treating a refusal, which shows that the server is down, as a timeout."""

        async def main():
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listener.socket.getsockname()[1]
            await listener.aclose()
            with self.assertRaises(ConnectFailedError) as caught:
                await HttpConnector().connect(f"127.0.0.1:{port}")
            self.assertTrue(caught.exception.refused)

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
