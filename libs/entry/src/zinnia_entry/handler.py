"""Handling of callers' requests: find the route, run the request, build the reply."""

import trio

from zinnia_catalog.catalog import Catalog
from zinnia_catalog.ids import ServiceName
from zinnia_catalog.routes import Route
from zinnia_entry.logs import RequestLog, RequestRecord
from zinnia_entry.messages import CallerFacts, CallerProtocol, CallerReply, CallerRequest
from zinnia_entry.metrics import Metrics
from zinnia_entry.reasons import RefusalReason, RequestOutcome
from zinnia_entry.routestates import RouteState, RouteStates
from zinnia_entry.server import RequestHandler
from zinnia_entry.stopping import PlannedStop
from zinnia_sending.attempts import AttemptSender, RunRequest
from zinnia_sending.budgets import RetryBudget
from zinnia_sending.delegation import Delegator
from zinnia_sending.fleet import Fleet
from zinnia_sending.merge import merge_records
from zinnia_sending.outcomes import RunOutcome, RunVerdict
from zinnia_sending.runs import RequestRun

# Retry-After without a configuration; the first one usually arrives within this time.
CONFIGURATION_RETRY_AFTER_S = 0.5
# Retry-After if there is no replica to try and no trial request to a suspended one is due.
NO_REPLICA_RETRY_AFTER_S = 0.6
# Retry-After for shed load; replicas have finished a request or two after this time.
REJECTED_RETRY_AFTER_S = 0.15
# Network time of a request and its reply, which counts towards the target latency.
CALLER_ROUND_TRIP_S = 0.002
# The first request of a connection has spent another round trip on the connect.
CONNECT_ROUND_TRIP_S = 0.002
# A deadline that is shorter than the longest one of its route by more than this time belongs to a
# retry of the caller.
MIN_CALLER_RETRY_GAP_S = 0.02


class TierHandler(RequestHandler):
    """Sends callers' requests to replicas and replies with the replicas' answers."""

    def __init__(
        self,
        catalog: Catalog,
        fleet: Fleet,
        retry_budget: RetryBudget,
        sender: AttemptSender,
        protocol: CallerProtocol,
        metrics: Metrics,
        log: RequestLog,
        route_states: RouteStates,
        delegator: Delegator | None = None,
        stop: PlannedStop | None = None,
    ) -> None:
        self._catalog = catalog
        self._fleet = fleet
        self._retry_budget = retry_budget
        self._sender = sender
        self._protocol = protocol
        self._metrics = metrics
        self._log = log
        self._route_states = route_states
        self._delegator = delegator
        self._stop = stop or PlannedStop()
        self._runs: set[RequestRun] = set()

    def begin_stop(self) -> None:
        """End the requests in progress with the planned stop, which has begun."""
        for run in self._runs:
            run.limit_end(self._stop.requests_end_at)

    async def handle(self, request: CallerRequest) -> CallerReply:
        """Return the reply to a request; also record it in the metrics and in the request log."""
        facts = self._protocol.read_facts(request.headers)
        configuration = self._catalog.configuration
        if configuration is None:
            return self._make_refusal(request, facts, None, RefusalReason.NO_CONFIGURATION)
        host = request.find_header(b"host").decode("latin-1")
        route = configuration.find_route(host, request.path)
        if route is None:
            return self._make_refusal(request, facts, None, RefusalReason.NO_ROUTE)
        if facts.deadline_s is not None and facts.deadline_s <= 0:
            return self._make_refusal(request, facts, route, RefusalReason.BAD_DEADLINE)
        run = self._make_run(request, facts, route)
        if self._is_too_late(run.request):
            return self._make_refusal(request, facts, route, RefusalReason.STOPPING)
        self._runs.add(run)
        try:
            outcome = await run.run()
        except trio.Cancelled:
            self._record_end(request, facts, route, RequestOutcome.CALLER_LEFT, None, run.trace)
            raise
        else:
            return self._make_reply(request, facts, route, outcome)
        finally:
            self._runs.discard(run)
            self._metrics.count_phases(request.received_at, run.timing, trio.current_time())

    def _make_run(self, request: CallerRequest, facts: CallerFacts, route: Route) -> RequestRun:
        state = self._route_states.get(route.name, route.target_latency_s)
        timeout_s = route.timeout_s
        elapsed_s = CALLER_ROUND_TRIP_S
        if request.is_first:
            elapsed_s += CONNECT_ROUND_TRIP_S
        if facts.deadline_s is not None:
            timeout_s = min(timeout_s, facts.deadline_s)
            elapsed_s += self._estimate_elapsed(state, facts.deadline_s)
        target_s = route.target_latency_s - elapsed_s
        if target_s <= 0:
            target_s = route.target_latency_s
        run_request = RunRequest(
            id=facts.request_id.decode("latin-1"),
            route=route,
            services=route.shards or (self._choose_service(route, state),),
            is_fanout=bool(route.shards),
            prepared=self._protocol.prepare(request),
            received_at=request.received_at,
            target_at=request.received_at + target_s,
            end_at=min(request.received_at + timeout_s, self._stop.requests_end_at),
            latency=state.latency,
            seal_lag_s=state.seal_lag_s,
        )
        return RequestRun(
            run_request, self._fleet, self._retry_budget, self._sender, self._delegator
        )

    def _is_too_late(self, request: RunRequest) -> bool:
        """Whether this VM may stop before the request is answered."""
        if not self._stop.has_begun:
            return False
        if request.is_fanout:
            latency_s = request.route.target_latency_s
        else:
            slowness = self._fleet.estimate_slowness(request.services[0], trio.current_time())
            latency_s = request.latency.tail_s * slowness
        return self._stop.is_too_late_for(latency_s, request.route.is_idempotent)

    def _choose_service(self, route: Route, state: RouteState) -> ServiceName:
        return (
            route.targets[0].service
            if len(route.targets) == 1
            else state.weights.choose(route.targets)
        )

    def _estimate_elapsed(self, state: RouteState, deadline_s: float) -> float:
        """Return the seconds since the caller's first attempt.

        The deadline of a first attempt is taken to be the longest one seen on the route.
        """
        state.full_deadline_s = max(state.full_deadline_s, deadline_s)
        elapsed_s = state.full_deadline_s - deadline_s
        return elapsed_s if elapsed_s > MIN_CALLER_RETRY_GAP_S else 0.0

    def _make_reply(
        self, request: CallerRequest, facts: CallerFacts, route: Route, outcome: RunOutcome
    ) -> CallerReply:
        if outcome.verdict in (RunVerdict.COMPLETE, RunVerdict.PARTIAL):
            return self._make_answer(request, facts, route, outcome)
        if outcome.failure is not None:
            result = RequestOutcome.REPLICA_FAILURE
            self._record_end(request, facts, route, result, None, outcome.trace)
            return self._protocol.make_answer(outcome.failure)
        reason = find_reason(outcome, bool(route.shards))
        return self._make_refusal(request, facts, route, reason, outcome)

    def _make_answer(
        self, request: CallerRequest, facts: CallerFacts, route: Route, outcome: RunOutcome
    ) -> CallerReply:
        is_complete = outcome.verdict is RunVerdict.COMPLETE
        result = RequestOutcome.COMPLETE if is_complete else RequestOutcome.PARTIAL
        if not route.shards:
            answer = outcome.answers[0]
            if not answer.is_success:
                result = RequestOutcome.REPLICA_FAILURE
            self._record_end(request, facts, route, result, None, outcome.trace)
            return self._protocol.make_answer(answer)
        self._metrics.missing_shards.inc(outcome.missing)
        body = merge_records((answer.body for answer in outcome.answers), route.top_k)
        signatures = [answer.signature for answer in outcome.answers]
        reply = self._protocol.make_merged_reply(signatures, outcome.missing, body)
        if outcome.planned_seal_at is not None:
            self._route_states.get(route.name, route.target_latency_s).record_lag(
                trio.current_time() - outcome.planned_seal_at
            )
        self._record_end(request, facts, route, result, None, outcome.trace, outcome.missing)
        return reply

    def _make_refusal(
        self,
        request: CallerRequest,
        facts: CallerFacts,
        route: Route | None,
        reason: RefusalReason,
        outcome: RunOutcome | None = None,
    ) -> CallerReply:
        status, retry_after_s = choose_refusal_status(reason, outcome)
        trace = outcome.trace if outcome else ()
        missing = outcome.missing if outcome else 0
        self._record_end(request, facts, route, RequestOutcome.REFUSED, reason, trace, missing)
        return self._protocol.make_refusal(status, reason.value, retry_after_s)

    def _record_end(
        self,
        request: CallerRequest,
        facts: CallerFacts,
        route: Route | None,
        outcome: RequestOutcome,
        reason: RefusalReason | None,
        trace: tuple,
        missing: int = 0,
    ) -> None:
        duration_s = trio.current_time() - request.received_at
        self._metrics.count_request(route.name if route else "none", outcome, duration_s)
        if reason is not None:
            self._metrics.count_refusal(reason)
        configuration = self._catalog.configuration
        self._log.put(
            RequestRecord(
                request_id=facts.request_id,
                deadline_s=facts.deadline_s,
                route=route.name if route else None,
                outcome=outcome,
                reason=reason,
                duration_s=duration_s,
                is_late=route is not None and duration_s > route.target_latency_s,
                missing_shards=missing,
                trace=trace,
                configuration=configuration.version if configuration else None,
                replicas_known=len(self._catalog.replicas),
            )
        )


def find_reason(outcome: RunOutcome, is_fanout: bool) -> RefusalReason:
    """Return the refusal reason for a run without an answer."""
    if outcome.verdict is RunVerdict.NO_REPLICA:
        return RefusalReason.NO_REPLICA
    if outcome.verdict is RunVerdict.REJECTED:
        return RefusalReason.REJECTED_BY_REPLICAS
    if outcome.verdict is RunVerdict.CRASHES_REPLICAS:
        return RefusalReason.CRASHES_REPLICAS
    if outcome.verdict is RunVerdict.EXPIRED:
        return RefusalReason.EXPIRED if outcome.may_have_run else RefusalReason.EXPIRED_UNSENT
    return RefusalReason.SHARDS_MISSING if is_fanout else RefusalReason.REPLICA_FAILED


def choose_refusal_status(reason: RefusalReason, outcome: RunOutcome | None) -> tuple[int, float]:
    """Return status and Retry-After in seconds; status 503 says that the request has not run."""
    if reason is RefusalReason.NO_ROUTE:
        return 404, 0.0
    if reason is RefusalReason.BAD_DEADLINE:
        return 504, 0.0
    if reason is RefusalReason.NO_CONFIGURATION:
        return 503, CONFIGURATION_RETRY_AFTER_S
    estimated_s = outcome.retry_after_s if outcome else 0.0
    if reason is RefusalReason.NO_REPLICA:
        return 503, estimated_s or NO_REPLICA_RETRY_AFTER_S
    if reason is RefusalReason.CRASHES_REPLICAS:
        return 503, estimated_s
    if reason is RefusalReason.STOPPING:
        return 503, 0.0
    if reason is RefusalReason.REJECTED_BY_REPLICAS:
        return 503, estimated_s or REJECTED_RETRY_AFTER_S
    if reason is RefusalReason.EXPIRED_UNSENT:
        return 503, REJECTED_RETRY_AFTER_S
    if reason is RefusalReason.EXPIRED:
        return 504, 0.0
    return 502, 0.0
