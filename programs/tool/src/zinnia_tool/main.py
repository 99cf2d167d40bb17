"""Entry point of the ``zinnia`` command."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError

from zinnia_tool.client import HttpAdminClient
from zinnia_tool.command import ClientFactory
from zinnia_tool.configuration import (
    ConfigApplyCommand,
    ConfigCommand,
    DataCentreInCommand,
    DataCentreOutCommand,
)
from zinnia_tool.exits import ExitCode
from zinnia_tool.notes import MovesCommand, NoteApplyCommand, NoteCheckCommand
from zinnia_tool.requests import ExplainCommand, OutcomeCommand, StatusCommand

EXIT_CODES_HELP = (
    "Exit codes: 0 ok, 1 refused, 2 usage, 3 conflict, 4 unreachable, 5 not found. "
    "Run <info>zinnia completions bash</info> for shell completion."
)
COMMANDS = (
    NoteCheckCommand,
    NoteApplyCommand,
    StatusCommand,
    MovesCommand,
    DataCentreOutCommand,
    DataCentreInCommand,
    ConfigCommand,
    ConfigApplyCommand,
    ExplainCommand,
    OutcomeCommand,
)


class ToolApplication(Application):
    """Command-line application with all commands for operators.

    Parameters
    ----------
    client_factory : ClientFactory
        Creates the admin API client of a command; tests pass a fake.
    """

    def __init__(self, client_factory: ClientFactory = HttpAdminClient):
        super().__init__("zinnia", "0.1.0")
        self.catch_exceptions(False)
        self.auto_exits(False)
        for command in COMMANDS:
            self.add(command(client_factory))

    def add(self, command: Command) -> Command | None:
        """Add a command; its help lists the exit codes unless it has a help text of its own."""
        if not command.help:
            command.help = EXIT_CODES_HELP
        return super().add(command)


def main() -> int:
    """Run the command line and return its exit code."""
    try:
        return int(ToolApplication().run())
    except CleoError as error:
        print(f"usage: {error}; run 'zinnia list' or add --help", file=sys.stderr)
        return ExitCode.USAGE


if __name__ == "__main__":
    sys.exit(main())
