"""Structured logs: one JSON object a line on standard output, bounded and never blocking."""

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

# Lines that wait for a slow reader; more are dropped and counted.
MAX_WAITING_LINES = 2000
# Lines a second that this VM writes on average, and how many it may write at once.
LINES_PER_S = 60.0
BURST_LINES = 400.0
# Part of the line budget that ordinary requests leave for failures and changes of belief.
SAMPLED_RESERVE = 0.5
# One of this many requests without anything unusual is logged, chosen by its id on every VM alike.
SAMPLE_EVERY = 32
FLUSH_INTERVAL_S = 0.2
# Finished requests that wait for their lines to be made, and how long they wait at least.
MAX_WAITING_REQUESTS = 300
REQUEST_DELAY_S = 0.05
DROP_REPORT_INTERVAL_S = 5.0


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is set to non-blocking mode.
    count_dropped : Callable[[str], None]
        Told the event of each dropped line.
    """

    def __init__(self, descriptor: int, count_dropped: Callable[[str], None]) -> None:
        self._descriptor = descriptor
        self._count_dropped = count_dropped
        self._waiting: deque[bytes] = deque()
        self._partial = b""
        self.dropped: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def put(self, event: str, line: bytes) -> None:
        """Queue a line, or drop it if too many wait."""
        if len(self._waiting) >= MAX_WAITING_LINES:
            self.drop(event)
            return
        self._waiting.append(line)

    def drop(self, event: str) -> None:
        """Count a line that is not written."""
        self.dropped[event] = self.dropped.get(event, 0) + 1
        self._count_dropped(event)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._partial or self._waiting:
            data = self._partial or b"".join(self._waiting)
            if not self._partial:
                self._waiting.clear()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._partial = data
                return
            except OSError:
                self._partial = b""  # The reader is gone, and there is nowhere to report it.
                return
            self._partial = data[written:]


class EventLog(EventSink):
    """Writes events of this VM within a line budget; failures go before ordinary requests."""

    def __init__(self, writer: LineWriter, vm: str, clock: Callable[[], float]) -> None:
        self._writer = writer
        self._clock = clock
        self._tokens = BURST_LINES
        self._at = clock()
        logger.remove()
        logger.add(self._write, format="{message}", level="INFO")
        self._logger = logger.bind(vm=vm)

    def note(self, event: str, **fields: Any) -> None:
        """Write a change of what this VM believes."""
        if self._take(0.0):
            self._logger.bind(**fields).info(event)
        else:
            self._writer.drop(event)

    def note_ordinary(self, event: str, **fields: Any) -> bool:
        """Write an event that is worth less than failures; return whether it was written."""
        if not self._take(SAMPLED_RESERVE):
            self._writer.drop(event)
            return False
        self._logger.bind(**fields).info(event)
        return True

    def drop(self, event: str) -> None:
        """Count an event that is not written."""
        self._writer.drop(event)

    def flush(self) -> None:
        """Write the waiting lines as far as the reader takes them now."""
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

    def _take(self, reserve: float) -> bool:
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._at) * LINES_PER_S)
        self._at = now
        if self._tokens - 1.0 < reserve * BURST_LINES:
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
    """One finished request with the beliefs that it was decided on.

    ``delegated_by`` names the VM for which this one ran some of its shards, None for an own one.
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

    @property
    def is_unusual(self) -> bool:
        """Whether the request failed, was late or lacked shards."""
        return self.is_late or self.outcome not in ORDINARY_OUTCOMES


class RequestLog:
    """Writes the decisions of requests that failed, were late or partial, and of a sample.

    Lines are made after the reply was sent, because making them takes a slow core milliseconds.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._waiting: deque[RequestRecord] = deque()
        self._arrived = trio.Event()

    def put(self, record: RequestRecord) -> None:
        """Queue a request, unless it is an ordinary one outside the sample."""
        if not record.is_unusual and not is_sampled(record.request_id):
            return
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            self._events.drop("request_finished")
            return
        self._waiting.append(record)
        self._arrived.set()

    async def run(self) -> None:
        """Write queued requests until cancelled, a few lines at a time."""
        try:
            while True:
                await self._arrived.wait()
                self._arrived = trio.Event()
                await trio.sleep(REQUEST_DELAY_S)
                while self._waiting:
                    self._write(self._waiting.popleft())
                    await trio.lowlevel.checkpoint()
        finally:
            while self._waiting:
                self._write(self._waiting.popleft())

    def _write(self, record: RequestRecord) -> None:
        write = self._events.note if record.is_unusual else self._events.note_ordinary
        request_id = record.request_id.decode("latin-1")
        subject = "request" if record.delegated_by is None else "subquery"
        for step in record.trace:
            at_ms = round(step.offset_s * 1000, 1)
            write(f"{subject}_{step.event}", request=request_id, at_ms=at_ms, **step.fields)
        origin = {} if record.delegated_by is None else {"delegated_by": record.delegated_by}
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
            **origin,
        )


def is_sampled(request_id: bytes) -> bool:
    """Whether an ordinary request is logged; the same for an id on every VM."""
    return sum(request_id) % SAMPLE_EVERY == 0


def open_log(vm: str, count_dropped: Callable[[str], None], clock: Callable[[], float]) -> EventLog:
    """Return a log on standard output."""
    return EventLog(LineWriter(sys.stdout.fileno(), count_dropped), vm, clock)
