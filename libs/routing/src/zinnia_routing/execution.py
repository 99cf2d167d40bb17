"""Runs queries over their shards from the entry VM."""

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
from zinnia_routing.admission import AdmissionLimit, Epoch
from zinnia_routing.baselines import RandomChoice
from zinnia_routing.budget import ExtraBudget
from zinnia_routing.choice import LoadAwareChoice, ReplicaChoice
from zinnia_routing.commands import CommandRun
from zinnia_routing.context import SEAL_MARGIN_S, Context, Switches
from zinnia_routing.counters import Counters
from zinnia_routing.plan import Pinned, Planner
from zinnia_routing.runs import QueryRun
from zinnia_routing.topology import Topology


@dataclass(frozen=True, slots=True)
class _Admitted:
    """A request that passed all checks; ``epoch`` is None while admission is switched off."""

    pinned: Pinned
    limit: AdmissionLimit
    epoch: Epoch | None
    started_at: float


class QueryExecutor:
    """Plans and runs requests.

    Parameters
    ----------
    topology : Topology
        Current state of services, maps, owners and replicas.
    sender_for : callable
        Returns the sender of an owner VM. It reports an owner that cannot be reached by delivering
        ``OWNER_UNREACHABLE`` for each attempt.
    vm : VmId
        This VM, part of the attempt ids of queries.
    counters : Counters
        Receives every hedge, retry and refusal.
    random : Random
        Seeded source for ties and attempt ids.
    refuse_check : callable
        Returns the reason to refuse a fingerprint, or None.
    is_suspect : callable
        Tells whether a fingerprint may have crashed a backend server.
    switches : Switches
        Decisions to switch off for measurements.
    choice : ReplicaChoice, optional
        Replaces the product's replica choice, for measurements.
    """

    def __init__(
        self,
        topology: Topology,
        sender_for: Callable[[VmId], BatchSender],
        vm: VmId,
        counters: Counters,
        random: Random,
        refuse_check: Callable[[Fingerprint], Reason | None],
        is_suspect: Callable[[Fingerprint], bool],
        switches: Switches | None = None,
        choice: ReplicaChoice | None = None,
    ) -> None:
        switches = switches or Switches()
        choice = choice or (LoadAwareChoice() if switches.load_aware else RandomChoice())
        outstanding: dict[ReplicaId, int] = {}
        self.context = Context(
            topology,
            sender_for,
            counters,
            refuse_check,
            is_suspect,
            switches,
            choice,
            Planner(topology, choice, random, outstanding),
            outstanding,
            ExtraBudget(switches.budget),
        )
        # The random part keeps ids of different starts of a VM apart.
        self._id_prefix = f"{vm}-{random.getrandbits(32):08x}"
        self._queries = 0

    async def run(self, query: Query, trace: RequestTrace | None = None) -> Answer:
        """Return the answer of a query.

        Raises
        ------
        RefusedError
            No shard answered. The outcome is NOT_RUN only if no backend server ran any part.
        """
        if not query.repeatable:
            return self._convert(query, await self.run_command(query, trace))
        admitted = self._admit(query, trace)
        run = QueryRun(self.context, query, admitted.pinned, self._create_prefix(query), trace)
        settled = False
        try:
            answer = await run.run()
            settled = True
            return answer
        except RefusedError as error:
            settled = run.missed_deadline or error.reason is Reason.DEADLINE
            raise
        finally:
            self._leave(query, admitted, settled, run.missed_deadline)

    async def run_command(self, query: Query, trace: RequestTrace | None = None) -> SubResult:
        """Run a non-repeatable request on one shard and return its typed result.

        At most one attempt is in flight at any time, and another is sent only after a result that
        says NOT_RUN. Refusals are returned as NOT_RUN with their reason. Without a shard in the
        query, one is derived from its idempotency key.
        """
        query = self._pick_shard(query)
        try:
            admitted = self._admit(query, trace)
        except RefusedError as error:
            return self._describe_refusal(query, error)
        run = CommandRun(self.context, query, admitted.pinned, self._create_prefix(query), trace)
        settled = missed = False
        try:
            result = await run.run()
            missed = result.reason is Reason.DEADLINE
            settled = missed or result.outcome is Outcome.ANSWERED
        finally:
            self._leave(query, admitted, settled, missed)
        if result.outcome is not Outcome.ANSWERED:
            reason = result.reason or Reason.INTERNAL
            self.context.refuse(reason, result.outcome, "", trio.current_time(), trace)
        return result

    # Admission

    def _admit(self, query: Query, trace: RequestTrace | None) -> _Admitted:
        """Check the request, take a place under the limit and pin its plan."""
        now = trio.current_time()
        shard_map = self.context.topology.shard_map(query.service)
        problem = self._find_problem(query, shard_map, now)
        if problem is None:
            limit = self.context.admissions[query.service]
            epoch = limit.enter() if self.context.switches.admission else None
            if epoch is None and self.context.switches.admission:
                problem = Reason.OVERLOADED, "too many queries are running; send it again later"
        if problem is not None:
            raise self.context.refuse(problem[0], Outcome.NOT_RUN, problem[1], now, trace)
        pinned = self.context.planner.pin(query.service, shard_map, query.shard, now)
        return _Admitted(pinned, limit, epoch, now)

    def _find_problem(
        self, query: Query, shard_map: ShardMap | None, now: float
    ) -> tuple[Reason, str] | None:
        """Return why the request cannot be started, and the remedy."""
        context = self.context
        service = context.topology.service(query.service)
        if service is None:
            return Reason.UNKNOWN_SERVICE, f"add service {query.service!r} to the configuration"
        if query.route not in service.routes:
            return Reason.UNKNOWN_ROUTE, f"add route {query.route!r} to service {query.service!r}"
        refusal = context.refuse_check(query.fingerprint)
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

    def _leave(self, query: Query, admitted: _Admitted, settled: bool, missed: bool) -> None:
        if admitted.epoch is None:
            return
        if not settled:
            admitted.limit.abandon()
            return
        given = query.deadline_at - admitted.started_at
        left = 0.0 if missed else query.deadline_at - trio.current_time()
        admitted.limit.leave(admitted.epoch, left / given)

    # Ids, shards and results

    def _create_prefix(self, query: Query) -> str:
        """Return the start of the attempt ids.

        Callers may use a request id twice at the same time, so that it cannot tell attempts apart.
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

    def _describe_refusal(self, query: Query, error: RefusedError) -> SubResult:
        shard = query.shard or ShardId("")
        attempt_id = query.attempt_id or ""
        return SubResult(attempt_id, error.outcome, shard, ReplicaId(""), error.reason)

    def _convert(self, query: Query, result: SubResult) -> Answer:
        """Return the answer of a command, or raise its refusal, which is already counted."""
        if result.outcome is Outcome.ANSWERED:
            bodies = {result.shard: result.body}
            return Answer(query.request_id, result.snapshot, Coverage(1, 1), bodies)
        reason = result.reason or Reason.INTERNAL
        message = f"request did not get an answer ({reason.value}); ask for its outcome by its key"
        raise RefusedError(reason, result.outcome, message)
