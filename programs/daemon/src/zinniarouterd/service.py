"""Runs one daemon: the node, its two HTTP servers and the graceful shutdown on SIGTERM."""

import signal

import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_http
from loguru import logger

from zinnia_backends.connections import HttpConnector
from zinnia_model.errors import SettingsError
from zinnia_peers.counters import Direction
from zinnia_platform.http import HttpObjectStore
from zinnia_platform.limiter import CallLimiter
from zinniarouterd.dependencies import Dependencies
from zinniarouterd.node import Node
from zinniarouterd.settings import Settings
from zinniarouterd.web import make_application

MAX_ADMIN_BODY_BYTES = 2_000_000
GAUGE_INTERVAL_S = 1.0
KEEP_ALIVE_TIMEOUT_S = 60
HTTP_SHUTDOWN_TIMEOUT_S = 2.0
# Initial readiness, which differs from every reported one; None already means ready.
UNREPORTED = object()


async def serve(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Raises
    ------
    SettingsError
        If an address cannot be listened on.
    """
    limiter = CallLimiter()
    store = HttpObjectStore(settings.platform.url, limiter, settings.platform.timeout_s)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with store, trio.open_nursery() as nursery:
            node = Node(settings, Dependencies(store, limiter, HttpConnector()), nursery)
            with node.links, node.server, node.dispatcher:
                stopped = trio.Event()
                await nursery.start(node.run)
                await nursery.start(serve_callers, node, stopped)
                await nursery.start(serve_admin, node, stopped)
                nursery.start_soon(update_gauges, node)
                logger.bind(incarnation=node.incarnation).info("started")
                async for _ in signals:
                    break
                await node.stop()
                stopped.set()
                with trio.move_on_after(HTTP_SHUTDOWN_TIMEOUT_S):
                    await trio.sleep(0.1)
                nursery.cancel_scope.cancel()


def make_server_config(address: str) -> Config:
    """Return the Hypercorn settings of one server, without its logs; the daemon has its own."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = HTTP_SHUTDOWN_TIMEOUT_S
    return config


async def serve_application(application, address: str, stopped: trio.Event, task_status) -> None:
    """Serve one ASGI application until ``stopped`` is set.

    Raises
    ------
    SettingsError
        If the address cannot be listened on.
    """
    config = make_server_config(address)
    try:
        await serve_http(
            application,
            config,
            shutdown_trigger=stopped.wait,
            task_status=task_status,
            mode="asgi",
        )
    except OSError as error:
        raise SettingsError(
            f"cannot listen on {address} ({error.strerror}); set a free ip:port under listen"
        ) from error


async def serve_callers(
    node: Node, stopped: trio.Event, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve the HTTP interface for callers."""
    limit = node.settings.limits.body_bytes
    application = make_application(node.callers.handle, limit, node.callers.refuse)
    await serve_application(application, node.settings.listen.callers, stopped, task_status)


async def serve_admin(
    node: Node, stopped: trio.Event, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve the HTTP interface for operators."""
    application = make_application(node.admin.handle, MAX_ADMIN_BODY_BYTES, node.admin.refuse)
    await serve_application(application, node.settings.listen.admin, stopped, task_status)


async def update_gauges(node: Node) -> None:
    """Refresh the gauges every second and log each change of readiness."""
    metrics, last_unready_reason = node.metrics, UNREPORTED
    while True:
        unready_reason = node.gate.find_unready_reason()
        metrics.ready.set(unready_reason is None)
        metrics.in_flight.set(node.gate.in_flight)
        metrics.owned_replicas.set(len(node.dispatcher.views()))
        counters = node.links.counters
        for direction in Direction:
            for plane, count in (
                ("control", counters.sum_control(direction)),
                ("data", counters.sum_data(direction)),
            ):
                metrics.peer_bytes.labels(plane, direction.value).set(count.frame_bytes)
        metrics.update_platform_calls(node.dependencies.limiter)
        if unready_reason is not last_unready_reason:
            logger.bind(
                ready=unready_reason is None, reason=unready_reason and unready_reason.value
            ).info("readiness")
        last_unready_reason = unready_reason
        await trio.sleep(GAUGE_INTERVAL_S)
