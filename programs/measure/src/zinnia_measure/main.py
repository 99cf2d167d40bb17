"""Command line of the load and experiment tool."""

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from zinnia_measure.delegation_cost import run_delegation_cost
from zinnia_measure.demo import DemoFailedError, run_demo
from zinnia_measure.entry_cost import run_entry_cost
from zinnia_measure.fanout import run_fan_out
from zinnia_measure.measurement import DEFAULT_SEED, run_measurement
from zinnia_measure.slopes import run_slopes


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


class MeasureCommand(Command):
    """Measures the product beside its baselines."""

    name = "measure"
    description = "Measure latency, coverage and cost of the product and of its baselines."
    options = [
        option("quick", None, "A few rows in under a minute."),
        option("seed", None, "Seed of all random choices.", flag=False, default=str(DEFAULT_SEED)),
        option("size", None, "Only this deployment size.", flag=False, default=""),
        option("rows", None, "Only rows with this text in their group.", flag=False, default=""),
        option("output", None, "Directory.", flag=False, default="docs/measurements"),
    ]

    def handle(self) -> int:
        """Measure and name the report."""
        path = run_measurement(
            self.option("quick"),
            int(self.option("seed")),
            self.option("size"),
            self.option("rows"),
            self.option("output"),
        )
        self.line(f"written to {path}")
        return 0


class SlopesCommand(Command):
    """Measures the cost per unit of what grows with the fleet."""

    name = "slopes"
    description = "Measure the slopes that docs/CAPACITY.md multiplies."
    options = [option("output", None, "Directory.", flag=False, default="docs/measurements")]

    def handle(self) -> int:
        """Measure and name the report."""
        self.line(f"written to {run_slopes(self.option('output'))}")
        return 0


class FanOutCommand(Command):
    """Compares the fan-out with plain connections, and four daemons with one."""

    name = "fan-out"
    description = "Measure processor time of a fan-out and its time over four daemons."
    options = [
        option("seed", None, "Seed of all random choices.", flag=False, default=str(DEFAULT_SEED)),
        option("cost-only", None, "Leave out the runs over daemons."),
        option("output", None, "Directory.", flag=False, default="docs/measurements"),
    ]

    def handle(self) -> int:
        """Measure and name the report."""
        spread = not self.option("cost-only")
        path = run_fan_out(int(self.option("seed")), self.option("output"), spread)
        self.line(f"written to {path}")
        return 0


class EntryCostCommand(Command):
    """Measures the entry process's part of a fan-out."""

    name = "entry-cost"
    description = "Measure processor time of the entry process for each sub-request of a fan-out."

    def handle(self) -> int:
        """Print a line for each fan-out."""
        for cost in run_entry_cost():
            self.line(
                f"fan-out {cost.fan_out}: {cost.per_sub_request_us:.0f} us a sub-request, "
                f"{cost.per_request_ms:.1f} ms a request"
            )
        return 0


class DelegationCostCommand(Command):
    """Measures the messages of a part of a fan-out that another VM runs."""

    name = "delegation-cost"
    description = "Measure what a part of a fan-out on another VM costs beside its sends."

    def handle(self) -> int:
        """Print a line for each size of a part."""
        for cost in run_delegation_cost():
            self.line(
                f"part of {cost.shards}: {cost.caller_us:.0f} us for the caller's VM, "
                f"{cost.runner_us:.0f} us for the other, {cost.sent_bytes} bytes there, "
                f"{cost.received_bytes} bytes back"
            )
        return 0


def main() -> int:
    """Run the command that the command line names."""
    application = Application("zinnia-measure")
    application.add(DemoCommand())
    application.add(MeasureCommand())
    application.add(FanOutCommand())
    application.add(SlopesCommand())
    application.add(EntryCostCommand())
    application.add(DelegationCostCommand())
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
