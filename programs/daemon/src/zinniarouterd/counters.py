"""Metrics of the query executor's decisions."""

from zinnia_model.reasons import Reason
from zinnia_routing.counters import Counters
from zinniarouterd.metrics import Metrics


class ExecutorCounters(Counters):
    """Counts the executor's decisions in the metrics, except refusals."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count_refusal(self, reason: Reason) -> None:
        """Do nothing; the callers' interface counts refusals, as it knows their outcome."""

    def count_retry(self, reason: Reason) -> None:
        """Count a sub-request that is sent again."""
        self._metrics.retries.labels(reason.value).inc()

    def count_hedge(self, reason: Reason) -> None:
        """Count a hedged sub-request."""
        self._metrics.hedges.labels(reason.value).inc()

    def count_subrequest(self, count: int = 1) -> None:
        """Count sub-requests that were sent."""
        self._metrics.subrequests.inc(count)
