"""Entry point for requests: admission, planning and execution on the VM that received them."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from zlib import crc32

import trio

from zinnia_model.errors import RefusedError
from zinnia_model.ids import Fingerprint, ReplicaId, ShardId, VmId
from zinnia_model.queries import Answer, Coverage, Query
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.shardmaps import ShardMap
from zinnia_model.subrequests import BatchSender, SubResult
from zinnia_model.traces import RequestTrace
from zinnia_routing.admission import AdmissionLimit, LimitEpoch
from zinnia_routing.baselines import RandomChoice
from zinnia_routing.budget import RetryBudget
from zinnia_routing.choice import LoadAwareChoice, ReplicaChoice
from zinnia_routing.commands import CommandRun
from zinnia_routing.context import SEAL_MARGIN_S, ExecutionContext, Switches
from zinnia_routing.counters import Counters
from zinnia_routing.plan import PinnedPlan, Planner
from zinnia_routing.queries import QueryRun
from zinnia_routing.topology import Topology


@dataclass(frozen=True, slots=True)
class _AdmittedRequest:
    """An admitted request with its pinned plan; ``epoch`` is None if admission is switched off."""

    pinned: PinnedPlan
    limit: AdmissionLimit
    epoch: LimitEpoch | None
    started_at: float


class QueryExecutor:
    """Admits, plans and runs queries and commands.

    Parameters
    ----------
    topology : Topology
        Current state of services, shard maps, owners and replicas.
    sender_for : callable
        Returns the sender to an owner VM. If the owner cannot be reached, the sender delivers
        ``OWNER_UNREACHABLE`` for each attempt.
    vm : VmId
        This VM, part of the attempt ids of queries.
    counters : Counters
        Counts sub-requests, hedges, retries and refusals.
    random : Random
        Seeded source for replica selection and attempt ids.
    find_crash_refusal : callable
        Returns why requests with a fingerprint are refused, None if they are not.
    is_suspect : callable
        Tells whether a request with the fingerprint may have crashed a backend server.
    switches : Switches
        Features to switch off for measurements.
    choice : ReplicaChoice, optional
        Replaces the default replica selection, for measurements.
    """

    def __init__(
        self,
        topology: Topology,
        sender_for: Callable[[VmId], BatchSender],
        vm: VmId,
        counters: Counters,
        random: Random,
        find_crash_refusal: Callable[[Fingerprint], Reason | None],
        is_suspect: Callable[[Fingerprint], bool],
        switches: Switches | None = None,
        choice: ReplicaChoice | None = None,
    ) -> None:
        switches = switches or Switches()
        choice = choice or (LoadAwareChoice() if switches.load_aware else RandomChoice())
        outstanding: dict[ReplicaId, int] = {}
        self.context = ExecutionContext(
            topology,
            sender_for,
            counters,
            find_crash_refusal,
            is_suspect,
            switches,
            choice,
            Planner(topology, choice, random, outstanding),
            outstanding,
            RetryBudget(switches.budget),
        )
        # The random part makes ids unique across restarts of a VM.
        self._id_prefix = f"{vm}-{random.getrandbits(32):08x}"
        self._queries = 0

    async def run(self, query: Query, trace: RequestTrace | None = None) -> Answer:
        """Run a query, or a command, and return its answer.

        Raises
        ------
        RefusedError
            No shard answered. The outcome is NOT_RUN only if no backend server ran any part of the
            request.
        """
        if not query.repeatable:
            return self._convert_to_answer(query, await self.run_command(query, trace))
        admitted = self._admit(query, trace)
        run = QueryRun(
            self.context, query, admitted.pinned, self._create_attempt_prefix(query), trace
        )
        measured = False
        try:
            answer = await run.run()
            measured = True
            return answer
        except RefusedError as error:
            measured = run.missed_deadline or error.reason is Reason.DEADLINE
            raise
        finally:
            self._release(query, admitted, measured, run.missed_deadline)

    async def run_command(self, query: Query, trace: RequestTrace | None = None) -> SubResult:
        """Run a non-repeatable request on one shard and return its result.

        At most one attempt is in flight at any time, and a retry is sent only after a NOT_RUN
        result. A refusal is returned as NOT_RUN with its reason. If the query names no shard, one
        is derived from its idempotency key.
        """
        query = self._pick_shard(query)
        try:
            admitted = self._admit(query, trace)
        except RefusedError as error:
            return self._build_refusal_result(query, error)
        run = CommandRun(
            self.context, query, admitted.pinned, self._create_attempt_prefix(query), trace
        )
        measured = missed = False
        try:
            result = await run.run()
            missed = result.reason is Reason.DEADLINE
            measured = missed or result.outcome is Outcome.ANSWERED
        finally:
            self._release(query, admitted, measured, missed)
        if result.outcome is not Outcome.ANSWERED:
            reason = result.reason or Reason.INTERNAL
            self.context.refuse(reason, result.outcome, "", trio.current_time(), trace)
        return result

    def _admit(self, query: Query, trace: RequestTrace | None) -> _AdmittedRequest:
        """Check the request, admit it under the service's limit and pin its plan.

        A request that fails a check or exceeds the limit raises `RefusedError`.
        """
        now = trio.current_time()
        shard_map = self.context.topology.shard_map(query.service)
        problem = self._find_problem(query, shard_map, now)
        if problem is None:
            limit = self.context.admission_limits[query.service]
            epoch = limit.acquire() if self.context.switches.admission else None
            if epoch is None and self.context.switches.admission:
                problem = Reason.OVERLOADED, "too many queries are running; send it again later"
        if problem is not None:
            raise self.context.refuse(problem[0], Outcome.NOT_RUN, problem[1], now, trace)
        pinned = self.context.planner.pin(query.service, shard_map, query.shard, now)
        return _AdmittedRequest(pinned, limit, epoch, now)

    def _find_problem(
        self, query: Query, shard_map: ShardMap | None, now: float
    ) -> tuple[Reason, str] | None:
        """Return the reason why the request cannot run and a remedy, or None if it can run."""
        context = self.context
        service = context.topology.service(query.service)
        if service is None:
            return Reason.UNKNOWN_SERVICE, f"add service {query.service!r} to the configuration"
        if query.route not in service.routes:
            return Reason.UNKNOWN_ROUTE, (f"add route {query.route!r} to service {query.service!r}")
        refusal = context.find_crash_refusal(query.fingerprint)
        if refusal is not None:
            return refusal, "this request crashed backend servers; change its body"
        if shard_map is None or not shard_map.shards:
            return Reason.NO_REPLICA, f"publish a shard map of service {query.service!r}"
        if context.topology.base_version(query.service, now) is None:
            return Reason.NO_REPLICA, f"give a version of service {query.service!r} a share"
        if query.shard is not None and query.shard not in shard_map.shards:
            return Reason.BAD_REQUEST, f"shard {query.shard!r} is not in the map; name another"
        if query.deadline_at - now <= SEAL_MARGIN_S:
            return Reason.DEADLINE, "send the request again with a longer deadline"
        return None

    def _release(
        self, query: Query, admitted: _AdmittedRequest, measured: bool, missed: bool
    ) -> None:
        if admitted.epoch is None:
            return
        if not measured:
            admitted.limit.release_unmeasured()
            return
        given = query.deadline_at - admitted.started_at
        left = 0.0 if missed else query.deadline_at - trio.current_time()
        admitted.limit.release(admitted.epoch, left / given)

    def _create_attempt_prefix(self, query: Query) -> str:
        """Return the prefix of the request's attempt ids.

        The request id cannot serve as one, because callers may use an id for two requests at the
        same time.
        """
        if query.attempt_id is not None:
            return query.attempt_id
        self._queries += 1
        return f"{self._id_prefix}-{self._queries}"

    def _pick_shard(self, query: Query) -> Query:
        shard_map = self.context.topology.shard_map(query.service)
        if query.shard is not None or shard_map is None or not shard_map.shards:
            return query
        shards = sorted(shard_map.shards)
        key = query.idempotency_key or query.fingerprint
        return replace(query, shard=ShardId(shards[crc32(key.encode()) % len(shards)]))

    def _build_refusal_result(self, query: Query, error: RefusedError) -> SubResult:
        shard = query.shard or ShardId("")
        attempt_id = query.attempt_id or ""
        return SubResult(attempt_id, error.outcome, shard, ReplicaId(""), error.reason)

    def _convert_to_answer(self, query: Query, result: SubResult) -> Answer:
        """Return the answer of a command, or raise its refusal without counting it again."""
        if result.outcome is Outcome.ANSWERED:
            bodies = {result.shard: result.body}
            return Answer(query.request_id, result.snapshot, Coverage(1, 1), bodies)
        reason = result.reason or Reason.INTERNAL
        message = f"request did not get an answer ({reason.value}); ask for its outcome by its key"
        raise RefusedError(reason, result.outcome, message)
