"""Explanation of a request from saved log files of the VMs."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from zinnia_tool.command import format_table
from zinnia_tool.exits import ExitCode, ToolError

# Log lines of the VM up to this long before the end of a request may explain its outcome.
RELATED_WINDOW = timedelta(seconds=10)
# Events that affect every request on a VM.
VM_WIDE_EVENTS = frozenset(
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
# A starting VM logs one such line for each replica; none of them explains an outcome.
UNRELATED_EVENTS = frozenset(("replica_added",))
HIDDEN_FIELDS = frozenset(("time", "event", "vm", "request"))
# Fields with the replica, service or VM that a line is about.
SUBJECT_FIELDS = ("replica", "service", "peer")
TABLE_HEADER = ("TIME", "VM", "EVENT", "DETAIL")


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line; ``fields`` holds all keys of its JSON object."""

    time: datetime
    vm: str
    event: str
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """Id of the request that the line is about, None if it is about none."""
        return self.fields.get("request")

    @property
    def detail(self) -> str:
        """The non-empty fields without time, event, VM and request, as ``name=value`` text."""
        rows = ((name, value) for name, value in self.fields.items() if name not in HIDDEN_FIELDS)
        return " ".join(f"{name}={value}" for name, value in rows if value not in (None, ""))

    def concerns_any(self, names: set[str]) -> bool:
        """Return whether the line is about one of the named replicas, services or VMs."""
        return bool(names & {self.fields.get(key) for key in SUBJECT_FIELDS})


def read_log_lines(paths: Sequence[str]) -> list[LogLine]:
    """Return the log lines of all files, sorted by time; other lines are left out."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            reason = f"log file {path} cannot be read: {error}; give a readable file"
            raise ToolError(ExitCode.USAGE, [reason]) from error
        lines += [line for line in map(parse_line, text.splitlines()) if line is not None]
    return sorted(lines, key=lambda line: line.time)


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it was not written by the tier.

    Text before the JSON object is skipped.
    """
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
    """Return the outcome of a request, then its log lines and those that explain them.

    Raises
    ------
    ToolError
        No log line is about the request.
    """
    request_lines = [line for line in lines if line.request == request_id]
    if not request_lines:
        reason = (
            f"request {request_id!r} is in no log line; give the logs of all VMs. Of the requests "
            "without anything unusual, only a sample is logged"
        )
        raise ToolError(ExitCode.NOT_FOUND, [reason])
    related = list(find_related(lines, request_lines))
    shown = sorted([*request_lines, *related], key=lambda line: line.time)
    rows = [
        (line.time.isoformat(timespec="milliseconds"), line.vm, line.event, line.detail)
        for line in shown
    ]
    return [*describe_outcomes(request_lines), *format_table(TABLE_HEADER, rows)]


def find_related(lines: Sequence[LogLine], request_lines: Sequence[LogLine]) -> Iterable[LogLine]:
    """Yield lines of the same VMs from shortly before the end that may explain the outcome.

    These are events that affect every request, and events of the replicas, services and VMs that
    the lines of the request name.
    """
    names = {line.fields.get(key) for line in request_lines for key in SUBJECT_FIELDS} - {None}
    vms = {line.vm for line in request_lines}
    end = request_lines[-1].time
    for line in lines:
        if line.request is not None or line.vm not in vms or line.event in UNRELATED_EVENTS:
            continue
        if not end - RELATED_WINDOW <= line.time <= end:
            continue
        if line.event in VM_WIDE_EVENTS or line.concerns_any(names):
            yield line


def describe_outcomes(request_lines: Sequence[LogLine]) -> list[str]:
    """Return one line for each logged end of the request: outcome, VM, duration, reason."""
    ends = [line for line in request_lines if line.event == "request_finished"]
    if not ends:
        return ["the end of the request is not in the logs; its lines may have been dropped"]
    return [
        f"{line.fields.get('outcome')} on {line.vm} after {line.fields.get('duration_ms')} ms"
        + (f", reason {line.fields['reason']}" if line.fields.get("reason") else "")
        for line in ends
    ]
