import json
import os
import unittest

from zinnia_entry.logs import (
    MAX_BURST_LINES,
    MAX_QUEUED_LINES,
    SAMPLE_INTERVAL,
    EventLog,
    LineWriter,
    RequestLog,
    RequestRecord,
    is_sampled,
)
from zinnia_entry.reasons import RefusalReason, RequestOutcome, SubqueryOutcome
from zinnia_sending.shards import TraceStep


def make_record(outcome=RequestOutcome.COMPLETE, request_id=b"1", **fields):
    values = {
        "request_id": request_id,
        "deadline_s": 1.0,
        "route": "r",
        "outcome": outcome,
        "reason": None,
        "duration_s": 0.01,
        "is_late": False,
        "missing_shards": 0,
        "trace": (),
        "configuration": 4,
        "replicas_known": 9,
    }
    return RequestRecord(**(values | fields))


class LogTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.read_end, self.write_end = os.pipe()
        self.dropped = []
        self.writer = LineWriter(self.write_end, self.dropped.append)
        self.log = EventLog(self.writer, "vm-1", lambda: self.now)

    def tearDown(self):
        os.close(self.read_end)
        os.close(self.write_end)

    def read_lines(self):
        self.writer.flush()
        os.set_blocking(self.read_end, False)
        data = b""
        while True:
            try:
                data += os.read(self.read_end, 65536)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]

    def test_line_has_time_event_and_fields(self):
        """Guards against lines that aren't valid JSON."""
        self.log.note("store_lost", kind="replicas", cause='a "quoted" cause')
        line = self.read_lines()[0]
        self.assertEqual(
            ("store_lost", "replicas", "vm-1"), (line["event"], line["kind"], line["vm"])
        )
        self.assertIn("time", line)

    def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(self):
        """Load pattern: the reader of standard output stalls while many requests fail.

        Guards against a VM that waits for its log reader, and against unnoticed gaps in the log.
        """
        lines = 4 * MAX_QUEUED_LINES
        for number in range(lines):
            self.now += 0.1
            self.log.note("request_finished", number=number, text="x" * 200)
            self.writer.flush()
        self.assertGreater(len(self.dropped), 0)
        self.assertEqual({"request_finished": len(self.dropped)}, self.writer.dropped)

    def test_lines_at_one_moment_are_limited_to_the_burst(self):
        """Load pattern: all requests fail at the same moment. Guards against a flood of lines."""
        for _ in range(5000):
            self.log.note("request_finished")
        self.assertLessEqual(len(self.read_lines()), MAX_BURST_LINES)
        self.assertGreater(len(self.dropped), 4000)

    def test_ordinary_requests_leave_a_reserve_for_failures(self):
        """Guards against dropping a failure because sampled requests used up the rate limit."""
        for _ in range(5000):
            self.log.note_ordinary("request_finished")
        self.log.note("store_lost")
        self.assertEqual("store_lost", self.read_lines()[-1]["event"])

    def test_cancelled_subquery_is_logged_with_its_sends(self):
        """Guards against a lost VM whose sends can't be compared with those counted for it."""
        requests = RequestLog(self.log)
        requests.put(make_record(SubqueryOutcome.CANCELLED, b"abc", delegated_by="vm-2", sends=3))
        requests._write(requests._queue.popleft())
        line = self.read_lines()[0]
        self.assertEqual(
            ("subquery_finished", "vm-2", 3), (line["event"], line["delegated_by"], line["sends"])
        )

    def test_failed_request_is_logged_with_each_step(self):
        """Guards against a failed request whose cause is not logged."""
        requests = RequestLog(self.log)
        trace = (TraceStep(0.01, "ended", {"replica": "i-1", "result": "broken"}),)
        reason = RefusalReason.REPLICA_FAILED
        requests.put(make_record(RequestOutcome.REFUSED, b"abc", reason=reason, trace=trace))
        requests._write(requests._queue.popleft())
        lines = self.read_lines()
        self.assertEqual(["request_ended", "request_finished"], [line["event"] for line in lines])
        self.assertEqual({"abc"}, {line["request"] for line in lines})
        self.assertEqual("replica_failed", lines[1]["reason"])
        self.assertEqual(4, lines[1]["configuration"])

    def test_sample_is_the_same_on_every_vm(self):
        """Guards against a sampled request that only some of its VMs log."""
        ids = [f"{number:016x}".encode() for number in range(5000)]
        sampled = [item for item in ids if is_sampled(item)]
        self.assertEqual(sampled, [item for item in ids if is_sampled(item)])
        self.assertLess(len(sampled), 3 * len(ids) / SAMPLE_INTERVAL)
        self.assertGreater(len(sampled), 0)

    def test_ordinary_request_outside_the_sample_is_not_queued(self):
        """Guards against log lines for every ordinary request."""
        requests = RequestLog(self.log)
        ordinary = next(b"%d" % n for n in range(99) if not is_sampled(b"%d" % n))
        requests.put(make_record(request_id=ordinary))
        self.assertEqual(0, len(requests._queue))
