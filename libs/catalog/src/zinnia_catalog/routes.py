"""Routes, service limits and caller limits of one configuration version."""

from dataclasses import dataclass, field
from enum import Enum

from zinnia_catalog.ids import RouteName, ServiceName


class Repeatability(Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets requests of a route in proportion to its weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Target services and limits of the requests for one host and path prefix.

    ``shards`` is empty for a route that sends each request to one replica, ``targets`` for a route
    that fans out over shards. Times are in seconds; ``priority`` 0 is the highest.
    """

    name: RouteName
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[ServiceName, ...] = ()
    top_k: int = 0
    min_shard_ratio: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may have run already may be sent again."""
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Load limits of the replicas of one service.

    ``max_connections`` counts the connections of all VMs to one replica. A cold replica gets at
    most ``warmup_rate_per_s`` requests per second for ``warmup_s`` seconds; 0 means no limit.
    """

    name: ServiceName
    max_connections: int
    warmup_s: float
    warmup_rate_per_s: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's requests in bytes, and on its timeouts in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceLimits]
    limits: CallerLimits
    _by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for host, routes in by_host.items():
            routes.sort(key=lambda route: -len(route.path_prefix))
            self._by_host[host] = tuple(routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, None if none matches.

        A host with a port falls back to the routes of the host without it.
        """
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0], ())
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None
