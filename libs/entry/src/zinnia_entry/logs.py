"""Structured logs: one JSON object per line on standard output, rate limited and non-blocking."""

import json
import os
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio
import trio.lowlevel
from loguru import logger

from zinnia_entry.reasons import RefusalReason, RequestOutcome, SubqueryOutcome
from zinnia_sending.events import EventSink
from zinnia_sending.shards import TraceStep

# Lines that are queued for a slow reader; further lines are dropped and counted.
MAX_QUEUED_LINES = 2000
# Rate limit of this VM's log lines: a token bucket with this rate and burst.
MAX_LINES_PER_S = 60.0
MAX_BURST_LINES = 400.0
# Fraction of the burst that sampled ordinary requests leave to failures and other events.
FAILURE_RESERVE_FRACTION = 0.5
# One in this many ordinary requests is logged. The choice depends only on the request ID, so that
# it is the same on all VMs.
SAMPLE_INTERVAL = 32
FLUSH_INTERVAL_S = 0.2
# Finished requests that are queued for formatting, and the least delay before they are formatted.
MAX_QUEUED_REQUESTS = 300
FORMAT_DELAY_S = 0.05
DROP_REPORT_INTERVAL_S = 5.0


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    Parameters
    ----------
    descriptor : int
        The descriptor to write to; it is set to non-blocking mode.
    count_dropped : Callable[[str], None]
        Called with the event name of each dropped line.
    """

    def __init__(self, descriptor: int, count_dropped: Callable[[str], None]) -> None:
        self._descriptor = descriptor
        self._count_dropped = count_dropped
        self._queue: deque[bytes] = deque()
        self._unwritten = b""
        self.dropped: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def put(self, event: str, line: bytes) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_LINES:
            self.drop(event)
            return
        self._queue.append(line)

    def drop(self, event: str) -> None:
        """Count a line that is not written."""
        self.dropped[event] = self.dropped.get(event, 0) + 1
        self._count_dropped(event)

    def flush(self) -> None:
        """Write the queued lines until the descriptor would block."""
        while self._unwritten or self._queue:
            data = self._unwritten or b"".join(self._queue)
            if not self._unwritten:
                self._queue.clear()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._unwritten = data
                return
            except OSError:
                self._unwritten = b""  # The reader is gone, so the error can't be logged.
                return
            self._unwritten = data[written:]


class EventLog(EventSink):
    """Writes events of this VM at a limited rate, with precedence for failures."""

    def __init__(self, writer: LineWriter, vm: str, clock: Callable[[], float]) -> None:
        self._writer = writer
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        logger.remove()
        logger.add(self._write, format="{message}", level="INFO")
        self._logger = logger.bind(vm=vm)

    def note(self, event: str, **fields: Any) -> None:
        """Write an event, or drop it if the rate limit is reached."""
        if self._take_token(0.0):
            self._logger.bind(**fields).info(event)
        else:
            self._writer.drop(event)

    def note_ordinary(self, event: str, **fields: Any) -> bool:
        """Write an event that leaves a reserve for failures; return whether it was written."""
        if not self._take_token(FAILURE_RESERVE_FRACTION):
            self._writer.drop(event)
            return False
        self._logger.bind(**fields).info(event)
        return True

    def drop(self, event: str) -> None:
        """Count an event that is not written."""
        self._writer.drop(event)

    def flush(self) -> None:
        """Write the queued lines until the descriptor would block."""
        self._writer.flush()

    async def run(self) -> None:
        """Flush lines and report dropped ones until cancelled."""
        report_at = self._clock() + DROP_REPORT_INTERVAL_S
        try:
            while True:
                await trio.sleep(FLUSH_INTERVAL_S)
                if self._writer.dropped and self._clock() >= report_at:
                    dropped, self._writer.dropped = self._writer.dropped, {}
                    report_at = self._clock() + DROP_REPORT_INTERVAL_S
                    self._logger.bind(dropped=dropped).info("log_lines_dropped")
                self._writer.flush()
        finally:
            self._writer.flush()

    def _take_token(self, reserve: float) -> bool:
        now = self._clock()
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens - 1.0 < reserve * MAX_BURST_LINES:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, message: Any) -> None:
        record = message.record
        line = {"time": record["time"].isoformat(), "event": record["message"], **record["extra"]}
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        text = json.dumps(line, default=str, separators=(",", ":")) + "\n"
        self._writer.put(record["message"], text.encode())


ORDINARY_OUTCOMES = frozenset(
    (RequestOutcome.COMPLETE, SubqueryOutcome.COMPLETE, SubqueryOutcome.ENDED)
)


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A finished request or subquery, with the configuration and replica count known at its end.

    ``delegated_by`` is the VM that delegated a subquery, and ``sends`` the number of its sends to
    replicas; both are None for a request of a caller.
    """

    request_id: bytes
    deadline_s: float | None
    route: str | None
    outcome: RequestOutcome | SubqueryOutcome
    reason: RefusalReason | None
    duration_s: float
    is_late: bool
    missing_shards: int
    trace: tuple[TraceStep, ...]
    configuration: int | None
    replicas_known: int
    delegated_by: str | None = None
    sends: int | None = None

    @property
    def is_unusual(self) -> bool:
        """Whether the request failed, was late or is missing shards."""
        return self.is_late or self.outcome not in ORDINARY_OUTCOMES


class RequestLog:
    """Writes the steps of requests that failed, were late or partial, and of a sample of the rest.

    Lines are formatted after the reply was sent, since this takes milliseconds on a slow core.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._queue: deque[RequestRecord] = deque()
        self._record_added = trio.Event()

    def put(self, record: RequestRecord) -> None:
        """Queue a request, unless it is ordinary and not sampled."""
        if not record.is_unusual and not is_sampled(record.request_id):
            return
        if len(self._queue) >= MAX_QUEUED_REQUESTS:
            self._events.drop("request_finished")
            return
        self._queue.append(record)
        self._record_added.set()

    async def run(self) -> None:
        """Write queued requests until cancelled; yield to other tasks after each request."""
        try:
            while True:
                await self._record_added.wait()
                self._record_added = trio.Event()
                await trio.sleep(FORMAT_DELAY_S)
                while self._queue:
                    self._write(self._queue.popleft())
                    await trio.lowlevel.checkpoint()
        finally:
            while self._queue:
                self._write(self._queue.popleft())

    def _write(self, record: RequestRecord) -> None:
        write = self._events.note if record.is_unusual else self._events.note_ordinary
        request_id = record.request_id.decode("latin-1")
        subject = "request" if record.delegated_by is None else "subquery"
        for step in record.trace:
            at_ms = round(step.offset_s * 1000, 1)
            write(f"{subject}_{step.event}", request=request_id, at_ms=at_ms, **step.fields)
        subquery_fields = {}
        if record.delegated_by is not None:
            subquery_fields = {"delegated_by": record.delegated_by, "sends": record.sends}
        write(
            f"{subject}_finished",
            request=request_id,
            route=record.route,
            outcome=record.outcome.value,
            reason=record.reason.value if record.reason else None,
            duration_ms=round(record.duration_s * 1000, 1),
            late=record.is_late,
            missing_shards=record.missing_shards,
            deadline_s=record.deadline_s,
            configuration=record.configuration,
            replicas_known=record.replicas_known,
            **subquery_fields,
        )


def is_sampled(request_id: bytes) -> bool:
    """Whether an ordinary request is logged; the result for an ID is the same on every VM."""
    return sum(request_id) % SAMPLE_INTERVAL == 0


def open_log(vm: str, count_dropped: Callable[[str], None], clock: Callable[[], float]) -> EventLog:
    """Return a log on standard output."""
    return EventLog(LineWriter(sys.stdout.fileno(), count_dropped), vm, clock)
