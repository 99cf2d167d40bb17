"""The interfaces of a daemon to what lies outside of its process."""

from collections.abc import Callable
from dataclasses import dataclass

from zinnia_backends.connections import Connector
from zinnia_peers.links import Connect, connect_tcp
from zinnia_platform.limiter import CallLimiter
from zinnia_platform.store import ObjectStore
from zinniarouterd.topology import read_wall_ms


@dataclass(frozen=True, slots=True)
class Seams:
    """What a daemon meets outside of its process; tests give fakes.

    ``listen`` is false where a test connects peers to `PeerServer.serve_stream` itself.
    """

    store: ObjectStore
    limiter: CallLimiter
    connector: Connector
    connect: Connect = connect_tcp
    wall_ms: Callable[[], int] = read_wall_ms
    listen: bool = True
