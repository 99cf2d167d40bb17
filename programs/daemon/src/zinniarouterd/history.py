"""Traces of the latest requests, for ``zinnia explain``."""

from collections import OrderedDict

from zinnia_model.ids import RequestId
from zinnia_model.traces import RequestTrace

MAX_TRACES = 2000


class TraceHistory:
    """Keeps the traces of the latest requests in memory, at most ``limit`` of them."""

    def __init__(self, limit: int = MAX_TRACES) -> None:
        self._limit = limit
        self._traces: OrderedDict[RequestId, RequestTrace] = OrderedDict()

    def start(self, request_id: RequestId, now: float) -> RequestTrace:
        """Start the trace of a request; drop the oldest trace beyond the limit."""
        trace = RequestTrace(request_id, now)
        self._traces[request_id] = trace
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)
        return trace

    def get(self, request_id: RequestId) -> RequestTrace | None:
        """Return the trace of a request, or None if it is unknown or was dropped."""
        return self._traces.get(request_id)
