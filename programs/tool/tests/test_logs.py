import json
import tempfile
import unittest
from pathlib import Path

from zinnia_tool.exits import ExitCode, ToolError
from zinnia_tool.logs import explain_request, parse_line, read_log_lines


def make_line(second, event, vm="vm-1", **fields):
    time = f"2026-12-04T08:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "event": event, "vm": vm, **fields})


LOG_LINES = [
    make_line(1, "replica_suspended", replica="i-1", service="s1", cause="no answer"),
    make_line(2, "replica_suspended", replica="i-9", service="other", cause="no answer"),
    make_line(3, "store_lost", kind="replicas", cause="timeout"),
    make_line(3, "store_lost", vm="vm-2", kind="replicas", cause="timeout"),
    make_line(4, "request_no_replica", request="abc", service="s1", reason="first"),
    make_line(4.1, "request_finished", request="abc", outcome="refused", reason="no_replica"),
    make_line(4.2, "request_finished", request="xyz", outcome="complete"),
]


class ExplainFromLogsTest(unittest.TestCase):
    def explain(self, request_id, lines=LOG_LINES):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "vm.log"
            path.write_text("\n".join(lines))
            return "\n".join(explain_request(read_log_lines([str(path)]), request_id))

    def test_related_lines_are_shown_with_the_request(self):
        """Guards against a refusal without its cause.

        The cause, such as a suspended replica, is logged on lines that do not name the request.
        """
        text = self.explain("abc")
        self.assertIn("refused on vm-1", text)
        self.assertIn("reason no_replica", text)
        self.assertIn("replica=i-1", text)
        self.assertIn("store_lost", text)

    def test_unrelated_lines_are_left_out(self):
        """Guards against an explanation that is cluttered by other requests, replicas and VMs."""
        text = self.explain("abc")
        self.assertNotIn("i-9", text)
        self.assertNotIn("vm-2", text)
        self.assertNotIn("xyz", text)

    def test_unknown_request_is_not_found_with_a_remedy(self):
        """Guards against an empty explanation of a request that only other VMs logged."""
        with self.assertRaises(ToolError) as caught:
            self.explain("nobody")
        self.assertIs(ExitCode.NOT_FOUND, caught.exception.code)
        self.assertIn("logs of all VMs", caught.exception.reasons[0])

    def test_missing_end_of_a_request_is_reported(self):
        """Guards against an explanation that looks complete although log lines were dropped."""
        self.assertIn("dropped", self.explain("abc", LOG_LINES[:5]))

    def test_lines_of_other_programs_are_skipped(self):
        """Guards against an unusable log file because one line comes from another program."""
        self.assertIsNone(parse_line("plain text"))
        self.assertIsNone(parse_line('{"not": "ours"}'))
        self.assertEqual("start", parse_line("  1.5 vm-1 " + make_line(1, "start")).event)

    def test_unreadable_file_is_named_in_the_error(self):
        """Guards against a traceback in place of an error message."""
        with self.assertRaises(ToolError) as caught:
            read_log_lines(["/nowhere/vm.log"])
        self.assertIn("/nowhere/vm.log", caught.exception.reasons[0])
