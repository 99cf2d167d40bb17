"""Counters and latency histograms of one VM."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from zinnia_entry.reasons import Phase, RefusalReason, RequestOutcome, SubqueryOutcome
from zinnia_sending.answers import ExchangeResult
from zinnia_sending.attempts import SendReason
from zinnia_sending.counters import SendCounters
from zinnia_sending.runs import RunTiming

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0)


class Metrics(SendCounters):
    """All metrics, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._requests = self._make_histogram(
            "zinnia_request_seconds", "Time to reply", ["route", "outcome"]
        )
        self._subqueries = self._make_histogram(
            "zinnia_subquery_seconds", "Time of shards that were run for other VMs", ["outcome"]
        )
        self._exchanges = self._make_histogram(
            "zinnia_exchange_seconds", "Time of exchanges with replicas", ["result"]
        )
        self._phases = self._make_histogram(
            "zinnia_request_phase_seconds", "Time that requests spent in a phase", ["phase"]
        )
        self._refusals = self._make_counter("zinnia_refusals", "Refusals", ["reason"])
        self._sends = self._make_counter("zinnia_sends", "Requests sent to replicas", ["reason"])
        self.missing_shards = self._make_counter("zinnia_missing_shards", "Shards left out", [])
        self.log_lines_dropped = self._make_counter(
            "zinnia_log_lines_dropped", "Log lines dropped", ["event"]
        )
        self._store_calls = self._make_counter(
            "zinnia_store_calls", "Calls to the platform's store", ["kind", "result"]
        )
        self._peer_calls = self._make_counter("zinnia_peer_calls", "Calls to peers", ["result"])
        self._believed_age = Gauge(
            "zinnia_believed_age_seconds",
            "Time since what is believed was last confirmed",
            ["kind"],
            registry=self.registry,
        )
        for reason in RefusalReason:
            self._refusals.labels(reason.value)
        # The children are kept, because looking them up costs as much as counting.
        self._sends_by_reason = {row: self._sends.labels(row.value) for row in SendReason}
        self._exchanges_by_result = {
            row: self._exchanges.labels(row.value) for row in ExchangeResult
        }
        self._time_by_phase = {row: self._phases.labels(row.value) for row in Phase}

    def _make_counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def _make_histogram(self, name: str, text: str, labels: list[str]) -> Histogram:
        return Histogram(name, text, labels, registry=self.registry, buckets=LATENCY_BUCKETS_S)

    def count_send(self, reason: SendReason) -> None:
        """Count a request that is sent to a replica."""
        self._sends_by_reason[reason].inc()

    def count_result(self, result: ExchangeResult, duration_s: float) -> None:
        """Count how an exchange ended, and how long it took in seconds."""
        self._exchanges_by_result[result].observe(duration_s)

    def count_request(self, route: str, outcome: RequestOutcome, duration_s: float) -> None:
        """Count a request of a caller."""
        self._requests.labels(route, outcome.value).observe(duration_s)

    def count_subquery(self, outcome: SubqueryOutcome, duration_s: float) -> None:
        """Count shards that were run for another VM."""
        self._subqueries.labels(outcome.value).observe(duration_s)

    def count_phases(self, received_at: float, timing: RunTiming, now: float) -> None:
        """Count the time of a request in each phase that it reached; it ended now."""
        observe = self._time_by_phase
        if timing.sent_at is None:
            observe[Phase.QUEUE].observe(now - received_at)
            return
        observe[Phase.QUEUE].observe(timing.sent_at - received_at)
        if timing.sealed_at is None:
            observe[Phase.SEND].observe(now - timing.sent_at)
            return
        observe[Phase.SEND].observe(timing.sealed_at - timing.sent_at)
        observe[Phase.MERGE].observe(now - timing.sealed_at)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal."""
        self._refusals.labels(reason.value).inc()

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the platform's store."""
        self._store_calls.labels(kind, result).inc()

    def count_peer_call(self, result: str) -> None:
        """Count a call to a peer."""
        self._peer_calls.labels(result).inc()

    def log_lines_dropped_for(self, event: str) -> None:
        """Count a log line that was dropped."""
        self.log_lines_dropped.labels(event).inc()

    def set_age(self, kind: str, age_s: float) -> None:
        """Note how old the last confirmation of a kind of object is."""
        self._believed_age.labels(kind).set(age_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
