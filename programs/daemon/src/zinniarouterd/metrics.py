"""Prometheus metrics of one daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from zinnia_model.reasons import Outcome, Reason
from zinnia_platform.limiter import CallKind, CallLimiter

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Metrics:
    """All metrics, in a separate registry so that tests can run several daemons in a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.queries = self._make_counter("zinnia_requests", "Requests", ["service", "outcome"])
        self.refusals = self._make_counter("zinnia_refusals", "Refusals", ["reason", "outcome"])
        self.retries = self._make_counter("zinnia_retries", "Sub-requests sent again", ["reason"])
        self.hedges = self._make_counter("zinnia_hedges", "Hedged sub-requests", ["reason"])
        self.subrequests = self._make_counter("zinnia_subrequests", "Sub-requests sent", [])
        self.needed_subrequests = self._make_counter(
            "zinnia_subrequests_needed", "Least sub-requests needed", []
        )
        self.results = self._make_counter(
            "zinnia_results", "Settled sub-requests at the owner", ["reason", "outcome"]
        )
        self.missing_shards = self._make_counter(
            "zinnia_missing_shards", "Shards missing in answers", []
        )
        self.platform_calls = Gauge(
            "zinnia_platform_calls",
            "Platform calls since the start, sent and held back by the limiter",
            ["kind", "verdict"],
            registry=self.registry,
        )
        self.config_changes = self._make_counter("zinnia_config_adoptions", "Adopted revisions", [])
        self.vetoes = self._make_counter(
            "zinnia_vetoes", "Vetoes of versions", ["service", "version"]
        )
        self.latency = Histogram(
            "zinnia_request_seconds",
            "Time to answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.revision = self._make_gauge(
            "zinnia_config_revision", "Configuration revision in force"
        )
        self.ready = self._make_gauge("zinnia_ready", "1 when the VM takes requests")
        self.in_flight = self._make_gauge("zinnia_requests_in_flight", "Requests in flight")
        self.owned_replicas = self._make_gauge("zinnia_owned_replicas", "Replicas owned by this VM")
        self.peer_bytes = Gauge(
            "zinnia_peer_bytes",
            "Bytes to and from peers since the start",
            ["plane", "direction"],
            registry=self.registry,
        )
        for reason in Reason:
            self.retries.labels(reason.value)
            for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
                self.refusals.labels(reason.value, outcome.value)

    def _make_counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def _make_gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)

    def count_refusal(self, reason: Reason, outcome: Outcome = Outcome.NOT_RUN) -> None:
        """Count a refused request by reason and outcome."""
        self.refusals.labels(reason.value, outcome.value).inc()

    def update_platform_calls(self, limiter: CallLimiter) -> None:
        """Set the platform call metrics to the counts of the call limiter."""
        for kind in CallKind:
            self.platform_calls.labels(kind.value, "sent").set(limiter.allowed[kind])
            self.platform_calls.labels(kind.value, "held_back").set(limiter.refused[kind])

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
