import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread

from zinnia_tool.client import HttpAdminClient
from zinnia_tool.exits import ExitCode, ToolError


class AdminApiHandler(BaseHTTPRequestHandler):
    def do_POST(self):  # noqa: N802 - name fixed by http.server
        body = self.rfile.read(int(self.headers["content-length"]))
        self.server.received = (self.path, self.headers["content-type"], body)
        content = b'{"revision": 6, "changes": ["x"]}'
        self.send_response(200)
        self.send_header("content-length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def log_message(self, *args):
        pass


class HttpAdminClientTest(unittest.TestCase):
    def setUp(self):
        self.server = HTTPServer(("127.0.0.1", 0), AdminApiHandler)
        self.thread = Thread(target=self.server.serve_forever)
        self.thread.start()

    def tearDown(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()

    def test_note_is_sent_as_yaml_to_the_next_server_after_a_closed_port(self):
        port = self.server.server_address[1]
        with HttpAdminClient(["127.0.0.1:1", f"127.0.0.1:{port}"]) as client:
            reply = client.apply_note("id: ü", dry_run=True)
        self.assertEqual(("x",), reply.changes)
        self.assertEqual(
            ("/admin/notes?dry_run=1", "application/yaml", "id: ü".encode()), self.server.received
        )

    def test_closed_port_raises_unreachable(self):
        with HttpAdminClient(["127.0.0.1:1"]) as client, self.assertRaises(ToolError) as caught:
            client.read_status()
        self.assertEqual(ExitCode.UNREACHABLE, caught.exception.code)
