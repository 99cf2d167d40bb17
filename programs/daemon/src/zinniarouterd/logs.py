"""Structured logging to standard error."""

import json
import sys
import traceback

from loguru import logger

from zinniarouterd.settings import LogSettings


def write_json_line(message) -> None:
    """Write one log record as a JSON object on one line."""
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "logger": record["name"],
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        error = record["exception"].value
        line["exception"] = repr(error)
        line["traceback"] = "".join(traceback.format_exception(error))
    sys.stderr.write(json.dumps(line, default=str) + "\n")


def configure_logs(settings: LogSettings, vm: str) -> None:
    """Log to standard error in the format and from the level that the settings choose."""
    logger.remove()
    if settings.json_lines:
        logger.add(write_json_line, level=settings.level)
    else:
        logger.add(sys.stderr, level=settings.level)
    logger.configure(extra={"vm": vm})
