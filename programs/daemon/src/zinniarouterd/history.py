"""Traces of the last requests, for ``zinnia explain``."""

from collections import OrderedDict

from zinnia_model.ids import RequestId
from zinnia_model.traces import RequestTrace

KEPT_TRACES = 2000


class TraceHistory:
    """Keeps the traces of the last requests in memory."""

    def __init__(self, limit: int = KEPT_TRACES) -> None:
        self._limit = limit
        self._traces: OrderedDict[RequestId, RequestTrace] = OrderedDict()

    def start(self, request_id: RequestId, now: float) -> RequestTrace:
        """Begin the trace of a request and drop the oldest one beyond the limit."""
        trace = RequestTrace(request_id, now)
        self._traces[request_id] = trace
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)
        return trace

    def get(self, request_id: RequestId) -> RequestTrace | None:
        """Return the trace of a request, if it is still kept."""
        return self._traces.get(request_id)
