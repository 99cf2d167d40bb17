"""Command line of the stand-ins."""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from zinnia_model.errors import SettingsError
from zinnia_standins.backend_server import BackendGroup
from zinnia_standins.deployment import read_deployment
from zinnia_standins.platform_server import PlatformServer

# A stand-in whose test has died stops by itself after this time in seconds.
DEFAULT_LIFETIME_S = "600"
LIFETIME = option(
    "lifetime", None, "Seconds until it stops.", flag=False, default=DEFAULT_LIFETIME_S
)


def run_until_stopped(serve: Callable[..., Awaitable[None]], port: int, lifetime_s: float) -> None:
    """Serve until SIGTERM, SIGINT or the end of the lifetime; print the port when ready."""

    async def main() -> None:
        with trio.move_on_after(lifetime_s):
            async with trio.open_nursery() as nursery:
                with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                    bound = await nursery.start(serve, port)
                    print(f"ready {bound}", flush=True)
                    async for _ in signals:
                        nursery.cancel_scope.cancel()

    trio.run(main)


class PlatformCommand(Command):
    """Serves the platform stand-in."""

    name = "platform"
    description = "Serve the platform stand-in on loopback."
    options = [option("port", None, "Port, 0 for any.", flag=False, default="0"), LIFETIME]

    def handle(self) -> int:
        """Run until stopped."""
        serve = PlatformServer().serve
        run_until_stopped(serve, int(self.option("port")), float(self.option("lifetime")))
        return 0


class BackendsCommand(Command):
    """Serves replicas of backend servers."""

    name = "backends"
    description = "Serve the replicas that a deployment file lists."
    options = [
        option("file", None, "Path of deployment.yaml.", flag=False),
        option("control-port", None, "Port of /counts and /faults.", flag=False, default="0"),
        LIFETIME,
    ]

    def handle(self) -> int:
        """Run until stopped; 1 if the deployment is invalid."""
        try:
            group = BackendGroup(read_deployment(Path(self.option("file") or "deployment.yaml")))
        except SettingsError as error:
            self.line_error(str(error), style="error")
            return 1
        port = int(self.option("control-port"))
        run_until_stopped(group.serve, port, float(self.option("lifetime")))
        return 0


def main() -> int:
    """Run the command that the command line names."""
    application = Application("zinnia-standins")
    application.add(PlatformCommand())
    application.add(BackendsCommand())
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
