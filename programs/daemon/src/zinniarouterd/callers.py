"""HTTP interface for callers: queries, commands, outcomes, probes and metrics."""

import itertools
import json
from dataclasses import dataclass
from urllib.parse import quote, unquote

import trio
from loguru import logger

from zinnia_claims.claims import Claims
from zinnia_claims.records import CommandResult
from zinnia_model.errors import RefusedError
from zinnia_model.fingerprints import compute_fingerprint
from zinnia_model.ids import (
    AttemptId,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    ShardId,
)
from zinnia_model.queries import Query
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.traces import RequestTrace
from zinnia_routing.execution import QueryExecutor
from zinnia_routing.topology import Topology
from zinniarouterd.gate import Gate
from zinniarouterd.history import TraceHistory
from zinniarouterd.metrics import Metrics
from zinniarouterd.requests import (
    CallerRequest,
    choose_shard,
    encode_answer,
    encode_refusal,
    parse_request,
    read_key,
)
from zinniarouterd.web import WebRequest, WebResponse, make_json

OUTCOMES_PATH = "/v1/outcomes/"
FIRST_ATTEMPT_HEADER = b"idempotency-first"


@dataclass(frozen=True, slots=True)
class _ValidatedRequest:
    """A request that passed validation, with the values that its execution needs."""

    request: CallerRequest
    request_id: RequestId
    repeatable: bool
    deadline_at: float
    body: bytes
    trace: RequestTrace
    is_first: bool


class CallerInterface:
    """Handles the HTTP requests of callers."""

    def __init__(
        self,
        id_prefix: str,
        gate: Gate,
        topology: Topology,
        executor: QueryExecutor,
        claims: Claims,
        history: TraceHistory,
        metrics: Metrics,
        max_deadline_ms: int,
    ) -> None:
        self._id_prefix = id_prefix
        self._request_numbers = itertools.count(1)
        self._gate = gate
        self._topology = topology
        self._executor = executor
        self._claims = claims
        self._history = history
        self._metrics = metrics
        self._max_deadline_ms = max_deadline_ms

    async def handle(self, request: WebRequest) -> WebResponse:
        """Route one HTTP request to its handler and return the response."""
        if request.path == "/v1/query" and request.method == "POST":
            return await self._serve(request, self._run_query)
        if request.path == "/v1/command" and request.method == "POST":
            return await self._serve(request, self._run_command)
        if request.path.startswith(OUTCOMES_PATH) and request.method == "GET":
            return await self.look_up_outcome(request.path.removeprefix(OUTCOMES_PATH))
        if request.path == "/livez":
            return make_json(200, {"alive": True})
        if request.path == "/readyz":
            return self._report_readiness()
        if request.path == "/metrics":
            return WebResponse(200, self._metrics.render(), b"text/plain; version=0.0.4")
        return make_json(404, {"message": f"{request.method} {request.path} does not exist."})

    def refuse(self, error: RefusedError) -> WebResponse:
        """Count and encode a refusal of a request that has no id yet."""
        self._metrics.count_refusal(error.reason, error.outcome)
        return encode_refusal(error, "")

    def _report_readiness(self) -> WebResponse:
        unready_reason = self._gate.find_unready_reason()
        reasons = [unready_reason.value] if unready_reason else []
        return make_json(503 if reasons else 200, {"ready": not reasons, "reasons": reasons})

    async def _serve(self, web_request: WebRequest, run) -> WebResponse:
        """Validate, run, count and trace one request; turn a refusal into its response."""
        now = trio.current_time()
        request_id = RequestId(f"{self._id_prefix}-{next(self._request_numbers)}")
        trace = self._history.start(request_id, now)
        service, outcome_url = "unknown", ""
        try:
            with self._gate.admit():
                validated = self._validate(web_request, request_id, trace, now)
                service = validated.request.service
                key = read_key(web_request.headers)
                outcome_url = make_outcome_url(service, key)
                response = await run(validated, key)
            self._metrics.queries.labels(service, Outcome.ANSWERED.value).inc()
            self._metrics.latency.labels(service).observe(trio.current_time() - now)
            trace.add(trio.current_time(), "answered")
            return response
        except RefusedError as error:
            return self._encode_traced_refusal(error, service, trace, outcome_url)
        except Exception as error:
            logger.bind(request_id=request_id).exception("request_failed")
            # The request may already have reached a backend server.
            refusal = RefusedError(
                Reason.INTERNAL,
                Outcome.UNKNOWN,
                f"Internal error ({type(error).__name__}); report it with the request id.",
            )
            return self._encode_traced_refusal(refusal, service, trace, outcome_url)

    def _encode_traced_refusal(
        self, error: RefusedError, service: str, trace: RequestTrace, outcome_url: str
    ) -> WebResponse:
        self._metrics.count_refusal(error.reason, error.outcome)
        self._metrics.queries.labels(service, error.outcome.value).inc()
        trace.add(trio.current_time(), "refused", f"{error.reason.value}: {error}")
        return encode_refusal(error, trace.request_id, outcome_url)

    def _validate(
        self, web_request: WebRequest, request_id: RequestId, trace: RequestTrace, now: float
    ) -> _ValidatedRequest:
        request = parse_request(web_request.body, self._max_deadline_ms)
        trace.add(now, "received", f"{request.service}/{request.route}")
        config = self._topology.service(ServiceId(request.service))
        if config is None:
            raise RefusedError(
                Reason.UNKNOWN_SERVICE,
                Outcome.NOT_RUN,
                f"Service {request.service!r} is not configured; check its name.",
            )
        route = config.routes.get(request.route)
        if route is None:
            raise RefusedError(
                Reason.UNKNOWN_ROUTE,
                Outcome.NOT_RUN,
                f"Service {request.service!r} has no route {request.route!r}; "
                f"use one of {sorted(config.routes)}.",
            )
        body = json.dumps(request.body, separators=(",", ":")).encode()
        deadline_at = now + request.deadline_ms / 1000
        is_first = web_request.headers.get(FIRST_ATTEMPT_HEADER) == b"true"
        return _ValidatedRequest(
            request, request_id, route.repeatable, deadline_at, body, trace, is_first
        )

    async def _run_query(self, validated: _ValidatedRequest, key: str | None) -> WebResponse:
        if not validated.repeatable:
            raise RefusedError(
                Reason.BAD_REQUEST,
                Outcome.NOT_RUN,
                f"Route {validated.request.route!r} is not repeatable; use POST /v1/command "
                "with an Idempotency-Key header.",
            )
        query = self._make_query(validated, None, None)
        answer = await self._executor.run(query, validated.trace)
        self._metrics.needed_subrequests.inc(answer.coverage.asked)
        self._metrics.missing_shards.inc(len(answer.coverage.missing))
        return encode_answer(answer)

    async def _run_command(self, validated: _ValidatedRequest, key: str | None) -> WebResponse:
        if key is None:
            raise RefusedError(
                Reason.KEY_MISSING,
                Outcome.NOT_RUN,
                "A command needs an Idempotency-Key header; send one key per intended run.",
            )
        query = self._make_query(validated, IdempotencyKey(key), None)
        result = await self._claims.run_once(
            query.service,
            IdempotencyKey(key),
            query.fingerprint,
            validated.deadline_at,
            lambda attempt_id: self._send_command(validated, key, attempt_id),
            validated.is_first,
        )
        validated.trace.add(trio.current_time(), "claim_settled", result.outcome.value)
        if result.outcome is not Outcome.ANSWERED:
            raise RefusedError(result.reason or Reason.INTERNAL, result.outcome, result.message)
        return encode_command(result, validated.request_id)

    async def _send_command(
        self, validated: _ValidatedRequest, key: str, attempt_id: AttemptId
    ) -> CommandResult:
        """Send a claimed command to one shard; the claims call this at most once for each claim."""
        query = self._make_query(validated, IdempotencyKey(key), attempt_id)
        self._metrics.needed_subrequests.inc()
        result = await self._executor.run_command(query, validated.trace)
        return CommandResult(
            outcome=result.outcome,
            reason=result.reason,
            body=result.body,
            shard=result.shard,
            snapshot=result.snapshot,
            message=describe_command(result.outcome, result.reason),
        )

    def _make_query(
        self, validated: _ValidatedRequest, key: IdempotencyKey | None, attempt_id: AttemptId | None
    ) -> Query:
        request = validated.request
        service, route = ServiceId(request.service), RouteId(request.route)
        shard = ShardId(request.shard) if request.shard else None
        if key is not None and shard is None:
            shard = choose_shard(self._topology.shard_map(service), key)
        return Query(
            request_id=validated.request_id,
            service=service,
            route=route,
            body=validated.body,
            deadline_at=validated.deadline_at,
            repeatable=validated.repeatable,
            fingerprint=compute_fingerprint(service, route, validated.body),
            idempotency_key=key,
            shard=shard,
            attempt_id=attempt_id,
        )

    async def look_up_outcome(self, path: str) -> WebResponse:
        """Return the recorded result of an earlier command.

        ``path`` is ``service/key``, each part URL-encoded.
        """
        service, _, key = path.partition("/")
        result = await self._claims.look_up(
            ServiceId(unquote(service)), IdempotencyKey(unquote(key))
        )
        if result is None:
            message = "No command with this key is recorded; records are kept for 24 h."
            return make_json(404, {"message": message})
        value = {
            "outcome": result.outcome.value,
            "reason": result.reason.value if result.reason else None,
            "shard": result.shard,
            "snapshot": result.snapshot,
            "message": result.message,
        }
        head = json.dumps(value).encode()
        return WebResponse(200, head[:-1] + b',"result":' + (result.body or b"null") + b"}")


def make_outcome_url(service: str, key: str | None) -> str:
    """Return the path under which a caller can look up the outcome of a command later.

    Empty without an idempotency key.
    """
    return f"{OUTCOMES_PATH}{quote(service, safe='')}/{quote(key, safe='')}" if key else ""


def describe_command(outcome: Outcome, reason: Reason | None) -> str:
    """Return a message with the outcome of a command and what the caller should do."""
    if outcome is Outcome.ANSWERED:
        return "The command ran."
    label = reason.value if reason else "unknown"
    if outcome is Outcome.NOT_RUN:
        return f"The command was not run ({label}); send it again with the same key."
    return f"It is unknown whether the command ran ({label}); ask for its outcome by its key."


def encode_command(result: CommandResult, request_id: RequestId) -> WebResponse:
    """Encode the answer of a command; its body is inserted as JSON, not decoded."""
    head = json.dumps(
        {
            "request_id": request_id,
            "outcome": Outcome.ANSWERED.value,
            "snapshot": result.snapshot,
            "shard": result.shard,
        }
    ).encode()
    return WebResponse(200, head[:-1] + b',"result":' + (result.body or b"null") + b"}")
