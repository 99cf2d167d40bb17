"""Counts the decisions of the query executor."""

from zinnia_model.reasons import Reason
from zinnia_routing.counters import Counters
from zinniarouterd.metrics import Metrics


class ExecutorCounters(Counters):
    """Passes counts on to the metrics; refusals are counted where they are encoded."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count_refusal(self, reason: Reason) -> None:
        """Leave the refusal to the callers' interface, which knows its outcome."""

    def count_retry(self, reason: Reason) -> None:
        """Count a sub-request that is sent again."""
        self._metrics.retries.labels(reason.value).inc()

    def count_hedge(self, reason: Reason) -> None:
        """Count a hedged sub-request."""
        self._metrics.hedges.labels(reason.value).inc()

    def count_subrequest(self, count: int = 1) -> None:
        """Count sub-requests that were sent."""
        self._metrics.subrequests.inc(count)
