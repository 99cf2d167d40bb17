"""The common part of all commands."""

import getpass
import ipaddress
import json
import os
import sys
from abc import abstractmethod
from collections.abc import Callable, Sequence
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from pydantic import BaseModel

from zinnia_model.errors import NoteError
from zinnia_tool.client import AdminClient, HttpAdminClient
from zinnia_tool.exits import ExitCode, ToolError

OpenClient = Callable[[list[str]], AdminClient]

JSON_OPTION = option("json", description="Print JSON for programs")
SERVER_OPTION = option(
    "server",
    "s",
    "Admin address ip:port of a VM; may be repeated. Default: ZINNIA_SERVERS, separated by commas",
    flag=False,
    multiple=True,
)
OPERATOR_OPTION = option(
    "operator",
    description="Who makes the change. Default: ZINNIA_OPERATOR or the login name",
    flag=False,
)
CALL_OPTIONS: list[Option] = [SERVER_OPTION, JSON_OPTION]


class ToolCommand(Command):
    """A command that runs and maps errors to exit codes.

    Parameters
    ----------
    open_client : OpenClient
        Makes the client for a list of servers; tests pass a fake.
    """

    def __init__(self, open_client: OpenClient = HttpAdminClient):
        self._open_client = open_client
        super().__init__()

    def handle(self) -> int:
        """Run the command; print the reasons of a failure and return its exit code."""
        try:
            self.run_command()
        except ToolError as error:
            return self._fail(error.code, error.reasons)
        except NoteError as error:
            return self._fail(ExitCode.REFUSED, error.reasons)
        return ExitCode.OK

    @abstractmethod
    def run_command(self) -> None:
        """Do the work and print the result."""

    def open_client(self) -> AdminClient:
        """Return a client for the servers of the command line or the environment."""
        servers = list(self.option("server"))
        if not servers:
            servers = [part for part in os.environ.get("ZINNIA_SERVERS", "").split(",") if part]
        if not servers:
            reason = "no server is known; give --server ip:port or set ZINNIA_SERVERS"
            raise ToolError(ExitCode.USAGE, [reason])
        return self._open_client([_check_address(server.strip()) for server in servers])

    def read_operator(self) -> str:
        """Return the name of the operator."""
        return self.option("operator") or os.environ.get("ZINNIA_OPERATOR", "") or getpass.getuser()

    def show(self, reply: BaseModel, lines: Sequence[str]) -> None:
        """Print the reply as JSON if that is asked for, else the lines."""
        if self.option("json"):
            self.write(reply.model_dump_json())
            return
        for line in lines:
            self.write(line)

    def write(self, text: str) -> None:
        """Print a line as it is; messages may contain what cleo takes for a style."""
        self.io.write_line(text, type=Type.RAW)

    def _fail(self, code: ExitCode, reasons: list[str]) -> int:
        if self.option("json"):
            self.write(json.dumps({"error": code.name.lower(), "reasons": reasons}))
            return code
        for reason in reasons:
            self.io.write_error_line(f"{code.name.lower()}: {reason}", type=Type.RAW)
        return code


def _check_address(server: str) -> str:
    host, separator, port = server.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = separator and 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        reason = f"server {server!r} is no address; write it as ip:port, e.g. 10.0.0.1:7002"
        raise ToolError(ExitCode.USAGE, [reason])
    return server


def read_file(name: str) -> str:
    """Return the text of a file, of standard input for ``-``."""
    try:
        return sys.stdin.read() if name == "-" else Path(name).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        reason = f"file {name} cannot be read: {error}; name a readable UTF-8 file"
        raise ToolError(ExitCode.USAGE, [reason]) from error


def format_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return aligned lines."""
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
