"""Explains a request from saved log files."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from zinnia_tool.command import format_table
from zinnia_tool.exits import ExitCode, ToolError

# Changes of belief this long before the end of a request are shown with it.
RELATED_WINDOW = timedelta(seconds=10)
# Events that concern every request of a VM.
GENERAL_EVENTS = frozenset(
    (
        "start",
        "stopping",
        "store_lost",
        "store_regained",
        "source_changed",
        "configuration_adopted",
        "data_centre_changed",
    )
)
# Many replicas appear at once when a VM starts; none of these lines is a cause.
UNRELATED_EVENTS = frozenset(("replica_added",))
HIDDEN_FIELDS = frozenset(("time", "event", "vm", "request"))
# Fields that name what a line is about.
SUBJECT_FIELDS = ("replica", "service", "peer")
HEAD = ("TIME", "VM", "EVENT", "DETAIL")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log."""

    time: datetime
    vm: str
    event: str
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """The request that the line is about."""
        return self.fields.get("request")

    @property
    def detail(self) -> str:
        """The other fields as text."""
        rows = ((name, value) for name, value in self.fields.items() if name not in HIDDEN_FIELDS)
        return " ".join(f"{name}={value}" for name, value in rows if value not in (None, ""))

    def names_any(self, names: set[str]) -> bool:
        """Whether the line is about one of some replicas, services or VMs."""
        return bool(names & {self.fields.get(key) for key in SUBJECT_FIELDS})


def read_lines(paths: Sequence[str]) -> list[LogLine]:
    """Return the lines of log files in the order of time; text before the JSON is skipped."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            reason = f"log file {path} cannot be read: {error}; name a readable file"
            raise ToolError(ExitCode.USAGE, [reason]) from error
        lines += [line for line in map(parse_line, text.splitlines()) if line is not None]
    return sorted(lines, key=lambda line: line.time)


def parse_line(text: str) -> LogLine | None:
    """Return one line, None if it is no log line of the tier."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(text[start:])
        time = datetime.fromisoformat(row["time"])
        return LogLine(time, row.get("vm", "?"), row["event"], row)
    except (ValueError, KeyError, TypeError):
        return None


def explain_request(lines: Sequence[LogLine], request_id: str) -> list[str]:
    """Return the decisions of a request and the beliefs behind them as text.

    Raises
    ------
    ToolError
        No line names the request.
    """
    own = [line for line in lines if line.request == request_id]
    if not own:
        reason = (
            f"request {request_id!r} is in no log line; name the logs of all VMs. Requests without "
            "anything unusual are logged as a sample only"
        )
        raise ToolError(ExitCode.NOT_FOUND, [reason])
    related = list(find_related(lines, own))
    shown = sorted([*own, *related], key=lambda line: line.time)
    rows = [
        (line.time.isoformat(timespec="milliseconds"), line.vm, line.event, line.detail)
        for line in shown
    ]
    return [*describe_end(own), *format_table(HEAD, rows)]


def find_related(lines: Sequence[LogLine], own: Sequence[LogLine]) -> Iterable[LogLine]:
    """Yield what the same VM came to believe shortly before, as far as it concerns the request."""
    names = {line.fields.get(key) for line in own for key in SUBJECT_FIELDS} - {None}
    vms = {line.vm for line in own}
    end = own[-1].time
    for line in lines:
        if line.request is not None or line.vm not in vms or line.event in UNRELATED_EVENTS:
            continue
        if not end - RELATED_WINDOW <= line.time <= end:
            continue
        if line.event in GENERAL_EVENTS or line.names_any(names):
            yield line


def describe_end(own: Sequence[LogLine]) -> list[str]:
    """Return how the request ended, in a line for each attempt that is known."""
    ends = [line for line in own if line.event == "request_finished"]
    if not ends:
        return ["the end of the request is not in the logs; its lines may have been dropped"]
    return [
        f"{line.fields.get('outcome')} on {line.vm} after {line.fields.get('duration_ms')} ms"
        + (f", reason {line.fields['reason']}" if line.fields.get("reason") else "")
        for line in ends
    ]
