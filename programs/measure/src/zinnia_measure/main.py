"""Command line of the load and experiment tool."""

from cleo.application import Application
from cleo.commands.command import Command

from zinnia_measure.demo import DemoFailedError, run_demo


class DemoCommand(Command):
    """Runs the demonstration."""

    name = "demo"
    description = "Start stand-ins and daemons, show the whole path and stop everything."

    def handle(self) -> int:
        """Return 0 if every step held."""
        try:
            run_demo()
        except (DemoFailedError, TimeoutError) as error:
            self.line_error(f"demonstration failed: {error}", style="error")
            return 1
        return 0


def main() -> int:
    """Run the command that the command line names."""
    application = Application("zinnia-measure")
    application.add(DemoCommand())
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
