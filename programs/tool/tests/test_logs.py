import json
import tempfile
import unittest
from pathlib import Path

from zinnia_tool.exits import ExitCode, ToolError
from zinnia_tool.logs import explain_request, parse_line, read_log_lines


def make_line(second, event, vm="vm-1", **fields):
    time = f"2026-12-04T08:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "event": event, "vm": vm, **fields})


LINES = [
    make_line(1, "replica_suspended", replica="i-1", service="s1", cause="no answer"),
    make_line(2, "replica_suspended", replica="i-9", service="other", cause="no answer"),
    make_line(3, "store_lost", kind="replicas", cause="timeout"),
    make_line(3, "store_lost", vm="vm-2", kind="replicas", cause="timeout"),
    make_line(4, "request_no_replica", request="abc", service="s1", reason="first"),
    make_line(4.1, "request_finished", request="abc", outcome="refused", reason="no_replica"),
    make_line(4.2, "request_finished", request="xyz", outcome="complete"),
]


class ExplainFromLogsTest(unittest.TestCase):
    def explain(self, request_id, lines=LINES):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "vm.log"
            path.write_text("\n".join(lines))
            return "\n".join(explain_request(read_log_lines([str(path)]), request_id))

    def test_decisions_and_the_beliefs_behind_them_are_shown(self):
        """Guards against a refusal whose cause is on another line that nobody finds."""
        text = self.explain("abc")
        self.assertIn("refused on vm-1", text)
        self.assertIn("reason no_replica", text)
        self.assertIn("replica=i-1", text)
        self.assertIn("store_lost", text)

    def test_what_does_not_concern_the_request_is_left_out(self):
        """Guards against an explanation that nobody can read."""
        text = self.explain("abc")
        self.assertNotIn("i-9", text)
        self.assertNotIn("vm-2", text)
        self.assertNotIn("xyz", text)

    def test_unknown_request_names_the_remedy(self):
        """Guards against an empty answer for a request that other VMs served."""
        with self.assertRaises(ToolError) as caught:
            self.explain("nobody")
        self.assertIs(ExitCode.NOT_FOUND, caught.exception.code)
        self.assertIn("logs of all VMs", caught.exception.reasons[0])

    def test_request_whose_end_was_dropped_is_told(self):
        """Guards against an explanation that looks whole and is not."""
        self.assertIn("dropped", self.explain("abc", LINES[:5]))

    def test_lines_of_other_programs_are_skipped(self):
        """Guards against a log file that cannot be read because of one foreign line."""
        self.assertIsNone(parse_line("plain text"))
        self.assertIsNone(parse_line('{"not": "ours"}'))
        self.assertEqual("start", parse_line("  1.5 vm-1 " + make_line(1, "start")).event)

    def test_file_that_cannot_be_read_is_named(self):
        """Guards against a traceback in place of a cause."""
        with self.assertRaises(ToolError) as caught:
            read_log_lines(["/nowhere/vm.log"])
        self.assertIn("/nowhere/vm.log", caught.exception.reasons[0])
