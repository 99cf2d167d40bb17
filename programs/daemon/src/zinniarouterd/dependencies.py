"""External dependencies of a daemon: platform, backend servers, peers and wall clock."""

from collections.abc import Callable
from dataclasses import dataclass

from zinnia_backends.connections import Connector
from zinnia_peers.links import Connect, connect_tcp
from zinnia_platform.limiter import CallLimiter
from zinnia_platform.store import ObjectStore
from zinniarouterd.topology import read_wall_ms


@dataclass(frozen=True, slots=True)
class Dependencies:
    """The external dependencies of one daemon, which tests replace by fakes.

    ``listen`` is false where a test passes peer streams to `PeerServer.serve_stream` directly.
    """

    store: ObjectStore
    limiter: CallLimiter
    connector: Connector
    connect: Connect = connect_tcp
    wall_ms: Callable[[], int] = read_wall_ms
    listen: bool = True
