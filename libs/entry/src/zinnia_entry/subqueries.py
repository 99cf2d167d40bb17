"""Subqueries: parts of fan-outs that this VM runs for other VMs.

They use this VM's view of the replicas, its retry budget and its measured latencies.
"""

import trio

from zinnia_catalog.catalog import Catalog
from zinnia_catalog.ids import RouteName, ServiceName
from zinnia_catalog.routes import Repeatability, Route
from zinnia_delegation.messages import SubqueryStart
from zinnia_delegation.server import SubqueryHandler
from zinnia_entry.logs import RequestLog, RequestRecord
from zinnia_entry.metrics import Metrics
from zinnia_entry.reasons import SubqueryOutcome
from zinnia_entry.routestates import RouteStates
from zinnia_sending.attempts import AttemptSender, RunRequest
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.fleet import Fleet
from zinnia_sending.protocol import ReplicaProtocol
from zinnia_sending.subqueries import SubqueryReporter, SubqueryRun


class TierSubqueryHandler(SubqueryHandler):
    """Creates the subquery runs for other VMs, and logs how they end."""

    def __init__(
        self,
        catalog: Catalog,
        fleet: Fleet,
        retry_budget: RetryBudget,
        sender: AttemptSender,
        protocol: ReplicaProtocol,
        route_states: RouteStates,
        metrics: Metrics,
        log: RequestLog,
    ) -> None:
        self._catalog = catalog
        self._fleet = fleet
        self._retry_budget = retry_budget
        self._sender = sender
        self._protocol = protocol
        self._route_states = route_states
        self._metrics = metrics
        self._log = log

    def make_run(self, start: SubqueryStart, reporter: SubqueryReporter) -> SubqueryRun:
        """Return the run for a start message; it passes its results to ``reporter``."""
        now = trio.current_time()
        route = _make_route(start)
        prepared = self._protocol.unpack(start.request)
        request = RunRequest(
            id=prepared.request_id.decode("latin-1"),
            route=route,
            services=route.shards,
            is_fanout=True,
            prepared=prepared,
            received_at=now,
            target_at=now + start.report_in_us / 1e6,
            end_at=now + start.end_in_us / 1e6,
            latency=self._route_states.get(route.name, route.target_latency_s).latency,
        )
        return SubqueryRun(
            request,
            self._fleet,
            self._retry_budget,
            self._sender,
            request.target_at,
            start.max_absent,
            reporter,
        )

    def note_end(self, start: SubqueryStart, run: SubqueryRun, is_cancelled: bool) -> None:
        """Record the outcome and the duration of a run in the metrics and in the request log."""
        if is_cancelled:
            outcome = SubqueryOutcome.ENDED if run.is_answered else SubqueryOutcome.CANCELLED
        else:
            outcome = SubqueryOutcome.PARTIAL if run.missing else SubqueryOutcome.COMPLETE
        request = run.request
        duration_s = trio.current_time() - request.received_at
        self._metrics.count_subquery(outcome, duration_s)
        configuration = self._catalog.configuration
        self._log.put(
            RequestRecord(
                request_id=request.prepared.request_id,
                deadline_s=start.end_in_us / 1e6,
                route=request.route.name,
                outcome=outcome,
                reason=None,
                duration_s=duration_s,
                is_late=trio.current_time() > request.target_at,
                missing_shards=run.missing,
                trace=run.trace,
                configuration=configuration.version if configuration else None,
                replicas_known=len(self._catalog.replicas),
                delegated_by=start.vm,
                sends=run.sends,
            )
        )


def _make_route(start: SubqueryStart) -> Route:
    """Return a route with only those values that a subquery run uses."""
    return Route(
        name=RouteName(start.route),
        host="",
        path_prefix="",
        repeatability=Repeatability.IDEMPOTENT,
        timeout_s=start.end_in_us / 1e6,
        target_latency_s=start.target_us / 1e6,
        priority=0,
        max_attempts=start.max_attempts,
        shards=tuple(ServiceName(name) for name in start.services),
        top_k=start.top_k,
    )
