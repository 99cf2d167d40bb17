import unittest

import trio

from zinnia_catalog.routes import CallerLimits
from zinnia_entry.messages import CallerReply
from zinnia_entry.server import CallerServer, RequestHandler
from zinnia_sending.events import NullSink

HOST = "127.0.0.1"
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = CallerLimits(
    max_header_bytes=1024, max_body_bytes=64, header_timeout_s=0.3, idle_timeout_s=0.3
)


class Handler(RequestHandler):
    def __init__(self):
        self.requests = []
        self.delay_s = 0.0
        self.error = None
        self.started = trio.Event()
        self.cancelled = trio.Event()

    async def handle(self, request):
        self.requests.append(request)
        self.started.set()
        if self.error is not None:
            raise self.error
        try:
            await trio.sleep(self.delay_s)
        except trio.Cancelled:
            self.cancelled.set()
            raise
        return CallerReply(200, ((b"x-a", b"1"),), request.target + b"|" + request.body)


class CallerServerTest(unittest.TestCase):
    def run_server(self, test):
        async def main():
            handler = Handler()
            server = CallerServer(handler, lambda: LIMITS, NullSink())
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=HOST)
                port = listeners[0].socket.getsockname()[1]
                await listeners[0].aclose()
                nursery.start_soon(server.serve, HOST, port, nursery)
                await trio.testing.wait_all_tasks_blocked()
                with trio.fail_after(5):
                    await test(handler, server, port)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def exchange(self, port, data):
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(data)
        return await self.read_all(stream)

    async def read_all(self, stream):
        data = b""
        async for piece in stream:
            data += piece
        return data

    def expect_status(self, data, status):
        """Send bytes and expect a reply with a status that closes the connection."""

        async def test(handler, server, port):
            reply = await self.exchange(port, data)
            self.assertTrue(reply.startswith(b"HTTP/1.1 %d" % status), reply)
            self.assertEqual([], handler.requests)

        self.run_server(test)

    def test_requests_on_one_connection_are_answered_in_turn(self):
        """Guards against crossed answers on a kept connection."""

        async def test(handler, server, port):
            stream = await trio.open_tcp_stream(HOST, port)
            for name in (b"/1", b"/2", b"/3"):
                await stream.send_all(GET.replace(b"/x", name))
                self.assertIn(name + b"|", await stream.receive_some(4096))
            self.assertEqual([True, False, False], [row.is_first for row in handler.requests])

        self.run_server(test)

    def test_body_in_chunks_arrives_whole(self):
        """Guards against a body that is changed on its way."""
        data = (
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )

        async def test(handler, server, port):
            self.assertIn(b"/x|abcde", await self.exchange(port, data))

        self.run_server(test)

    def test_request_that_is_no_http_is_refused(self):
        """Guards against a smuggled or broken request that reaches a replica."""
        for data in (
            b"nonsense\r\n\r\n",
            b"GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        ):
            with self.subTest(data=data):
                self.expect_status(data, 400)

    def test_large_head_is_refused(self):
        """Guards against a caller that fills the memory of a VM."""
        data = b"GET /x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 5000 + b"\r\n\r\n"
        self.expect_status(data, 431)

    def test_large_body_is_refused(self):
        """Guards against a body beyond the limit, with a length and in chunks."""
        head = b"POST /x HTTP/1.1\r\nHost: h\r\n"
        self.expect_status(head + b"Content-Length: 65\r\n\r\n", 413)
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n50\r\n" + b"a" * 80 + b"\r\n"
        self.expect_status(chunked, 413)

    def test_request_that_does_not_arrive_in_time_is_refused_as_not_run(self):
        """Guards against connections that are held open with half a request."""
        self.expect_status(b"GET /x HTTP/1.1\r\nHost:", 408)

    def test_idle_connection_is_closed_after_the_limit(self):
        """Guards against connections that nobody uses."""

        async def test(handler, server, port):
            started = trio.current_time()
            self.assertEqual(b"", await self.exchange(port, b""))
            self.assertGreaterEqual(trio.current_time() - started, LIMITS.idle_timeout_s)

        self.run_server(test)

    def test_request_that_cannot_be_handled_leaves_the_others_alone(self):
        """Guards against one request that ends the process and all others with it."""

        async def test(handler, server, port):
            handler.error = KeyError("route")
            self.assertIn(b" 500 ", await self.exchange(port, GET))
            handler.error = None
            reply = await self.exchange(port, GET.replace(b"Host", b"Connection: close\r\nHost"))
            self.assertIn(b"/x|", reply)

        self.run_server(test)

    def test_request_of_a_caller_that_leaves_is_cancelled(self):
        """Load pattern: callers leave before their deadline."""

        async def test(handler, server, port):
            handler.delay_s = 3.0
            stream = await trio.open_tcp_stream(HOST, port)
            await stream.send_all(GET)
            await handler.started.wait()
            await stream.aclose()
            with trio.fail_after(0.4):
                await handler.cancelled.wait()

        self.run_server(test)

    def test_request_that_crosses_the_end_of_a_drain_is_answered(self):
        """Load pattern: machines are stopped in turn while callers use open connections.

        Guards against a stop between reading a request and answering it.
        """

        async def test(handler, server, port):
            handler.delay_s = 0.2
            busy = await trio.open_tcp_stream(HOST, port)
            idle = await trio.open_tcp_stream(HOST, port)
            await busy.send_all(GET)
            await handler.started.wait()
            server.close_idle()
            self.assertEqual(b"", await self.read_all(idle))
            reply = await self.read_all(busy)
            self.assertIn(b"/x|", reply)
            self.assertIn(b"connection: close", reply.lower())
            await server.wait_closed()
            with self.assertRaises(OSError):
                await trio.open_tcp_stream(HOST, port)

        self.run_server(test)
