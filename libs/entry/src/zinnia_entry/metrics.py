"""Prometheus metrics of one VM."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from zinnia_catalog.ids import ServiceName
from zinnia_entry.reasons import Phase, RefusalReason, RequestOutcome, SubqueryOutcome
from zinnia_sending.answers import AnswerFault, ExchangeResult, ReplicaNotice
from zinnia_sending.attempts import SendReason
from zinnia_sending.budgets import WindowUse
from zinnia_sending.counters import SendCounters
from zinnia_sending.outcomes import RunTiming

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0)


class Metrics(SendCounters):
    """All metrics of the entry process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._requests = self._make_histogram(
            "zinnia_request_seconds",
            "Time to reply",
            ["route", "outcome"],
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
        self._faults = self._make_counter(
            "zinnia_bad_answers", "Answers of replicas rejected because of their bytes", ["fault"]
        )
        self._notices = self._make_counter(
            "zinnia_replica_notices", "Answers in which replicas speak about themselves", ["notice"]
        )
        self._crashes = self._make_counter(
            "zinnia_crashes", "Crashes of replicas by requests that have crashed others", []
        )
        self.missing_shards = self._make_counter("zinnia_missing_shards", "Shards left out", [])
        self.log_lines_dropped = self._make_counter(
            "zinnia_log_lines_dropped", "Log lines dropped", ["event"]
        )
        self._store_calls = self._make_counter(
            "zinnia_store_calls", "Calls to the platform's store", ["kind", "result"]
        )
        self._peer_calls = self._make_counter("zinnia_peer_calls", "Calls to peers", ["result"])
        self._confirmation_age = Gauge(
            "zinnia_believed_age_seconds",
            "Time since what is believed was last confirmed",
            ["kind"],
            registry=self.registry,
        )
        self._retry_requests = self._make_gauge(
            "zinnia_retry_window_requests", "Requests that count for the retry budget"
        )
        self._retry_sends = self._make_gauge(
            "zinnia_retry_window_sends", "Sends beyond the first of each request"
        )
        self._retry_share = self._make_gauge(
            "zinnia_retry_window_share", "Sends beyond the first that this VM may make"
        )
        for reason in RefusalReason:
            self._refusals.labels(reason.value)
        for fault in AnswerFault:
            self._faults.labels(fault.value)
        for notice in ReplicaNotice:
            self._notices.labels(notice.value)
        # Keep the labelled metrics: looking one up costs as much as incrementing it.
        self._send_counters = {reason: self._sends.labels(reason.value) for reason in SendReason}
        self._exchange_histograms = {
            result: self._exchanges.labels(result.value) for result in ExchangeResult
        }
        self._phase_histograms = {phase: self._phases.labels(phase.value) for phase in Phase}

    def _make_counter(self, name: str, description: str, labels: list[str]) -> Counter:
        return Counter(name, description, labels, registry=self.registry)

    def _make_gauge(self, name: str, description: str) -> Gauge:
        return Gauge(name, description, ["service"], registry=self.registry)

    def _make_histogram(self, name: str, description: str, labels: list[str]) -> Histogram:
        return Histogram(
            name, description, labels, registry=self.registry, buckets=LATENCY_BUCKETS_S
        )

    def count_send(self, reason: SendReason) -> None:
        """Count a request that is sent to a replica."""
        self._send_counters[reason].inc()

    def count_result(self, result: ExchangeResult, duration_s: float) -> None:
        """Record the result and the duration in seconds of an exchange with a replica."""
        self._exchange_histograms[result].observe(duration_s)

    def count_fault(self, fault: AnswerFault) -> None:
        """Count an answer that was rejected because of its bytes."""
        self._faults.labels(fault.value).inc()

    def count_crash(self) -> None:
        """Count a crash of a replica by a request that has crashed others before."""
        self._crashes.inc()

    def count_notice(self, notice: ReplicaNotice) -> None:
        """Count an answer in which a replica says that it leaves or wants no requests."""
        self._notices.labels(notice.value).inc()

    def count_request(self, route: str, outcome: RequestOutcome, duration_s: float) -> None:
        """Record the outcome and the duration in seconds of a caller's request."""
        self._requests.labels(route, outcome.value).observe(duration_s)

    def count_subquery(self, outcome: SubqueryOutcome, duration_s: float) -> None:
        """Record the outcome and the duration in seconds of a subquery for another VM."""
        self._subqueries.labels(outcome.value).observe(duration_s)

    def count_phases(self, received_at: float, timing: RunTiming, now: float) -> None:
        """Record the time of a request in each phase that it reached; ``now`` is its end."""
        histograms = self._phase_histograms
        if timing.sent_at is None:
            histograms[Phase.QUEUE].observe(now - received_at)
            return
        histograms[Phase.QUEUE].observe(timing.sent_at - received_at)
        if timing.sealed_at is None:
            histograms[Phase.SEND].observe(now - timing.sent_at)
            return
        histograms[Phase.SEND].observe(timing.sealed_at - timing.sent_at)
        histograms[Phase.MERGE].observe(now - timing.sealed_at)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refused request."""
        self._refusals.labels(reason.value).inc()

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the platform's store."""
        self._store_calls.labels(kind, result).inc()

    def count_peer_call(self, result: str) -> None:
        """Count a call to a peer."""
        self._peer_calls.labels(result).inc()

    def count_dropped_log_line(self, event: str) -> None:
        """Count a log line that was dropped."""
        self.log_lines_dropped.labels(event).inc()

    def set_confirmation_age(self, kind: str, age_s: float) -> None:
        """Set the seconds since the store last confirmed a kind of object."""
        self._confirmation_age.labels(kind).set(age_s)

    def set_retry_use(self, service: ServiceName, use: WindowUse) -> None:
        """Set what this VM has used of its share of the retry budget of a service."""
        self._retry_requests.labels(service).set(use.requests)
        self._retry_sends.labels(service).set(use.extra_sends)
        self._retry_share.labels(service).set(use.allowed)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
