"""Request handlers for readiness checks and metrics."""

from collections.abc import Callable

from zinnia_entry.messages import CallerReply, CallerRequest
from zinnia_entry.metrics import Metrics
from zinnia_entry.server import RequestHandler


class ReadinessHandler(RequestHandler):
    """Reports whether this VM accepts new connections."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, request: CallerRequest) -> CallerReply:
        """Return status 200 if the VM is ready, else 503."""
        return CallerReply(200) if self._is_ready() else CallerReply(503)


class MetricsHandler(RequestHandler):
    """Serves the metrics in the Prometheus text format."""

    def __init__(self, metrics: Metrics, refresh: Callable[[], None]) -> None:
        self._metrics = metrics
        self._refresh = refresh

    async def handle(self, request: CallerRequest) -> CallerReply:
        """Refresh the metrics and return all of them."""
        self._refresh()
        headers = ((b"content-type", b"text/plain; version=0.0.4"),)
        return CallerReply(200, headers, self._metrics.render())
