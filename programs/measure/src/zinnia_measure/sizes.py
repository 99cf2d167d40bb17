"""Sizes of today's two deployments, as docs/design.md section 1.4 gives them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """One service: its shards and what each replica bears.

    ``connect_ms`` is the cost of a new connection in milliseconds.
    """

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    command_route: str = ""


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """One user's deployment; ``one_way_ms`` is the time between data centres in milliseconds."""

    name: str
    data_centres: tuple[str, ...]
    one_way_ms: float
    services: tuple[ServiceSize, ...]

    def keep_services(self, *names: str) -> "DeploymentSize":
        """Return the deployment with only the named services."""
        kept = tuple(service for service in self.services if service.name in names)
        return DeploymentSize(self.name, self.data_centres, self.one_way_ms, kept)


BELLSOUND = DeploymentSize(
    name="bellsound",
    data_centres=("taipei", "hsinchu", "taoyuan"),
    one_way_ms=1.0,
    services=(
        ServiceSize("tune-identification", 20, 2, 2, 25, 6.0),
        ServiceSize("licence-handling", 30, 2, 2, 25, 6.0, "request"),
        ServiceSize("catalogue-pages", 1, 4, 4, 100, 1.0),
        ServiceSize("curator-tools", 1, 3, 4, 100, 1.0),
    ),
)
KAVALAM = DeploymentSize(
    name="kavalam",
    data_centres=("kochi", "kollam", "kottayam", "thrissur"),
    one_way_ms=1.5,
    services=(
        ServiceSize("field-app", 20, 2, 3, 30, 6.0),
        ServiceSize("billing", 30, 2, 3, 30, 6.0, "booking"),
        ServiceSize("dispatch", 1, 4, 6, 50, 1.0),
        ServiceSize("parts-stock", 1, 4, 6, 50, 1.0),
    ),
)
SIZES = {size.name: size for size in (BELLSOUND, KAVALAM)}
