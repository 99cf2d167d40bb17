import contextlib
import socket
import unittest

import trio
import trio.testing

from zinnia_catalog.routes import CallerLimits
from zinnia_entry.messages import CallerReply
from zinnia_entry.server import CallerServer, RequestHandler
from zinnia_sending.events import NullSink

HOST = "127.0.0.1"
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = CallerLimits(
    max_header_bytes=1024, max_body_bytes=64, header_timeout_s=0.3, idle_timeout_s=0.3
)


# More than the limits, the receive buffer and what the kernel buffers.
MAX_ENDLESS_BYTES = 32 * 1024 * 1024
# Leaves most of the grace period, of which a drain spends three seconds before it stops listening.
MAX_STOP_S = 1.0


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
    def run_server(self, check):
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
                    await check(handler, server, port)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def send_and_read(self, port, data):
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(data)
        return await self.read_all(stream)

    async def read_all(self, stream):
        data = b""
        async for piece in stream:
            data += piece
        return data

    def check_status(self, data, status):
        """Check that the server replies to ``data`` with a status and closes the connection."""

        async def check(handler, server, port):
            reply = await self.send_and_read(port, data)
            self.assertTrue(reply.startswith(b"HTTP/1.1 %d" % status), reply)
            self.assertEqual([], handler.requests)

        self.run_server(check)

    def test_requests_on_one_connection_are_answered_in_order(self):
        """Guards against mixed up replies on a persistent connection."""

        async def check(handler, server, port):
            stream = await trio.open_tcp_stream(HOST, port)
            for name in (b"/1", b"/2", b"/3"):
                await stream.send_all(GET.replace(b"/x", name))
                self.assertIn(name + b"|", await stream.receive_some(4096))
            self.assertEqual([True, False, False], [row.is_first for row in handler.requests])

        self.run_server(check)

    def test_chunked_body_arrives_complete(self):
        """Guards against a body that is altered while its chunks are joined."""
        data = (
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )

        async def check(handler, server, port):
            self.assertIn(b"/x|abcde", await self.send_and_read(port, data))

        self.run_server(check)

    def test_malformed_request_is_rejected(self):
        """Guards against a smuggled or malformed request that reaches a replica."""
        for data in (
            b"nonsense\r\n\r\n",
            b"GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        ):
            with self.subTest(data=data):
                self.check_status(data, 400)

    def test_head_above_the_limit_is_rejected(self):
        """Guards against a caller that exhausts the memory of a VM."""
        data = b"GET /x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 5000 + b"\r\n\r\n"
        self.check_status(data, 431)

    def test_body_above_the_limit_is_rejected(self):
        """Guards against a body above the limit, with a content length or in chunks."""
        head = b"POST /x HTTP/1.1\r\nHost: h\r\n"
        self.check_status(head + b"Content-Length: 65\r\n\r\n", 413)
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n50\r\n" + b"a" * 80 + b"\r\n"
        self.check_status(chunked, 413)

    def test_incomplete_request_is_rejected_after_the_header_timeout(self):
        """Guards against callers that hold connections open with incomplete requests.

        Status 408 says that the request was not run.
        """
        self.check_status(b"GET /x HTTP/1.1\r\nHost:", 408)

    def test_idle_connection_is_closed_after_the_idle_timeout(self):
        """Guards against unused connections that stay open."""

        async def check(handler, server, port):
            started = trio.current_time()
            self.assertEqual(b"", await self.send_and_read(port, b""))
            self.assertGreaterEqual(trio.current_time() - started, LIMITS.idle_timeout_s)

        self.run_server(check)

    def test_exception_in_the_handler_does_not_affect_other_requests(self):
        """Guards against one failing request that ends the process and all other requests."""

        async def check(handler, server, port):
            handler.error = KeyError("route")
            self.assertIn(b" 500 ", await self.send_and_read(port, GET))
            handler.error = None
            reply = await self.send_and_read(
                port, GET.replace(b"Host", b"Connection: close\r\nHost")
            )
            self.assertIn(b"/x|", reply)

        self.run_server(check)

    def test_request_is_cancelled_when_its_caller_disconnects(self):
        """Load pattern: callers disconnect before their deadline.

        Guards against work on requests that nobody waits for.
        """

        async def check(handler, server, port):
            handler.delay_s = 3.0
            stream = await trio.open_tcp_stream(HOST, port)
            await stream.send_all(GET)
            await handler.started.wait()
            await stream.aclose()
            with trio.fail_after(0.4):
                await handler.cancelled.wait()

        self.run_server(check)

    def test_request_in_progress_at_the_end_of_a_drain_is_answered(self):
        """Load pattern: VMs are stopped in turn while callers use open connections.

        Guards against closing a connection between reading a request and replying to it.
        """

        async def check(handler, server, port):
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

        self.run_server(check)

    def test_endless_request_is_rejected_within_the_limits(self):
        """Load pattern: a caller sends bytes without end, in a head, a body or its framing.

        Guards against a caller that fills the memory of a VM or holds its event loop.
        """
        head = b"POST /x HTTP/1.1\r\nHost: h\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        for name, start, repeated in (
            ("headers", head, b"X-H: v\r\n"),
            ("header value", head + b"X-H: ", b"v" * 16),
            ("target", b"GET /", b"x" * 16),
            ("chunks", chunked, b"4\r\nbody\r\n"),
            ("chunk extension", chunked + b"4;", b"e" * 16),
            ("trailers", chunked + b"0\r\n", b"X-T: v\r\n"),
        ):
            with self.subTest(name):
                self.check_refuses_endless(start, repeated)

    def check_refuses_endless(self, start, repeated):
        async def check(handler, server, port):
            stream = await trio.open_tcp_stream(HOST, port)
            sent = await self.send_until_closed(stream, start, repeated * 512)
            self.assertLess(sent, MAX_ENDLESS_BYTES)
            self.assertEqual([], handler.requests)

        self.run_server(check)

    async def send_until_closed(self, stream, start, piece):
        """Return how many bytes were sent until the server closed the connection."""
        sent = 0
        try:
            await stream.send_all(start)
            while sent < MAX_ENDLESS_BYTES:
                await stream.send_all(piece)
                sent += len(piece)
        except trio.BrokenResourceError:
            pass  # The server has closed the connection with bytes unread.
        return sent

    def check_answered_at_close(self, send):
        """Check that a request is answered that the kernel has when the server stops listening.

        ``send`` gets the port and returns the socket of the caller, without yielding afterwards.
        """

        async def check(handler, server, port):
            caller = await send(port)
            server.close_idle()
            caller.setblocking(False)
            reply = await self.read_all(trio.SocketStream(trio.socket.from_stdlib_socket(caller)))
            self.assertIn(b"/x|", reply)
            self.assertIn(b"connection: close", reply.lower())
            await server.wait_closed()
            self.assertEqual(1, len(handler.requests))

        self.run_server(check)

    def test_request_on_a_connection_that_waits_to_be_accepted_is_answered(self):
        """Load pattern: a planned stop under load, with connections in the queue of the listener.

        Guards against resetting connections that the kernel has accepted for this process.
        """

        async def send(port):
            caller = socket.create_connection((HOST, port))
            caller.sendall(GET)
            return caller

        self.check_answered_at_close(send)

    def test_request_that_reached_an_idle_connection_is_answered(self):
        """Load pattern: a planned stop under load, with a request in the receive buffer.

        Guards against closing an idle connection whose next request has arrived.
        """

        async def send(port):
            caller = socket.create_connection((HOST, port))
            await trio.testing.wait_all_tasks_blocked()
            caller.sendall(GET)
            return caller

        self.check_answered_at_close(send)

    def test_server_stops_listening_although_connections_keep_arriving(self):
        """Load pattern: a planned stop while the load balancer uses all VMs of a data centre.

        Guards against a drain that goes on until the process is killed with requests in progress.
        """

        async def check(handler, server, port):
            server.close_idle()
            stopped_at = trio.current_time()
            with self.assertRaises(OSError):
                while True:
                    stream = await trio.open_tcp_stream(HOST, port)
                    nursery.start_soon(self.read_and_close, stream)
                    await trio.sleep(0.01)
            self.assertLess(trio.current_time() - stopped_at, MAX_STOP_S)

        async def run(handler, server, port):
            nonlocal nursery
            async with trio.open_nursery() as nursery:
                await check(handler, server, port)

        nursery = None
        self.run_server(run)

    async def read_and_close(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await self.read_all(stream)

    def test_requests_that_were_read_together_are_all_answered_while_draining(self):
        """Load pattern: a planned stop under load, with requests in a pipeline.

        Guards against dropping a request that was read in the same packet as another one.
        """

        async def check(handler, server, port):
            server.is_draining = True
            reply = await self.send_and_read(port, GET + GET.replace(b"/x", b"/y"))
            self.assertIn(b"/x|", reply)
            self.assertIn(b"/y|", reply)
            self.assertEqual(1, reply.lower().count(b"connection: close"))

        self.run_server(check)
