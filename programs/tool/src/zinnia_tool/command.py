"""Base class, options and output helpers shared by all commands."""

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

ClientFactory = Callable[[list[str]], AdminClient]

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
ADMIN_API_OPTIONS: list[Option] = [SERVER_OPTION, JSON_OPTION]


class ToolCommand(Command):
    """Base class of the commands; turns errors into exit codes.

    Parameters
    ----------
    client_factory : ClientFactory
        Creates the admin API client for a list of servers; tests pass a fake.
    """

    def __init__(self, client_factory: ClientFactory = HttpAdminClient):
        self._client_factory = client_factory
        super().__init__()

    def handle(self) -> int:
        """Run the command and return its exit code; print the reasons if it fails."""
        try:
            self.run_command()
        except ToolError as error:
            return self._print_failure(error.code, error.reasons)
        except NoteError as error:
            return self._print_failure(ExitCode.REFUSED, error.reasons)
        return ExitCode.OK

    @abstractmethod
    def run_command(self) -> None:
        """Carry out the command and print its result."""

    def open_client(self) -> AdminClient:
        """Return a client for the servers in ``--server`` or, without it, ``ZINNIA_SERVERS``."""
        servers = list(self.option("server"))
        if not servers:
            servers = [part for part in os.environ.get("ZINNIA_SERVERS", "").split(",") if part]
        if not servers:
            reason = "no server address was given; pass --server ip:port or set ZINNIA_SERVERS"
            raise ToolError(ExitCode.USAGE, [reason])
        return self._client_factory([_check_address(server.strip()) for server in servers])

    def read_operator(self) -> str:
        """Return the operator from ``--operator``, ``ZINNIA_OPERATOR`` or the login name."""
        return self.option("operator") or os.environ.get("ZINNIA_OPERATOR", "") or getpass.getuser()

    def print_reply(self, reply: BaseModel, lines: Sequence[str]) -> None:
        """Print the reply as JSON with ``--json``, otherwise the text lines."""
        if self.option("json"):
            self.print_line(reply.model_dump_json())
            return
        for line in lines:
            self.print_line(line)

    def print_line(self, text: str) -> None:
        """Print a line as raw text; cleo would read ``<...>`` in a message as a style."""
        self.io.write_line(text, type=Type.RAW)

    def _print_failure(self, code: ExitCode, reasons: list[str]) -> int:
        if self.option("json"):
            self.print_line(json.dumps({"error": code.name.lower(), "reasons": reasons}))
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
    """Return the text of a UTF-8 file, or of standard input if the name is ``-``."""
    try:
        return sys.stdin.read() if name == "-" else Path(name).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        reason = f"file {name} cannot be read: {error}; give a readable UTF-8 file"
        raise ToolError(ExitCode.USAGE, [reason]) from error


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the header and the rows as lines with aligned columns."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
