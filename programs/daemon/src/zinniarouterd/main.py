"""Command line of the daemon."""

import sys
from pathlib import Path

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from loguru import logger
from returns.result import Failure, Result, safe

from zinnia_model.errors import SettingsError
from zinniarouterd.logs import configure_logs
from zinniarouterd.service import serve
from zinniarouterd.settings import Settings, load_settings

EXIT_INVALID_SETTINGS = 2


@safe(exceptions=(SettingsError,))
def read_settings(path: str) -> Settings:
    """Return the settings in a ``Success``, or the error in a ``Failure``."""
    if not path:
        raise SettingsError("no settings file; pass one with --settings")
    return load_settings(Path(path))


def list_leaf_errors(group: BaseExceptionGroup) -> list[BaseException]:
    """Return the errors in an exception group, including those in nested groups."""
    leaf_errors: list[BaseException] = []
    for error in group.exceptions:
        leaf_errors.extend(
            list_leaf_errors(error) if isinstance(error, BaseExceptionGroup) else [error]
        )
    return leaf_errors


class ServeCommand(Command):
    """Runs one daemon until SIGTERM."""

    name = "serve"
    description = "Serve callers, peers and operators until SIGTERM."
    options = [
        option("settings", "s", "Path of the YAML settings file.", flag=False),
        option("check", None, "Check the settings and exit.", flag=True),
    ]

    def handle(self) -> int:
        """Check the settings, then serve; return the exit status, 2 for invalid settings."""
        result: Result[Settings, SettingsError] = read_settings(self.option("settings") or "")
        if isinstance(result, Failure):
            print(f"zinniarouterd: {result.failure()}", file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        settings = result.unwrap()
        if self.option("check"):
            self.line(f"{self.option('settings')}: valid")
            return 0
        configure_logs(settings.log, settings.vm)
        problems: list[BaseException] = []
        try:
            trio.run(serve, settings)
        except* SettingsError as group:
            problems.extend(list_leaf_errors(group))
        except* Exception as group:
            # Cleo prints only the message of an exception group; the log has the errors in it.
            logger.opt(exception=group).critical("daemon_failed")
            raise
        for problem in problems:
            print(f"zinniarouterd: {problem}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS if problems else 0


def main() -> int:
    """Run the daemon; ``serve`` is the only command and need not be named."""
    application = Application("zinniarouterd")
    application.add(ServeCommand())
    if len(sys.argv) > 1 and sys.argv[1].startswith("--settings"):
        sys.argv.insert(1, "serve")
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
