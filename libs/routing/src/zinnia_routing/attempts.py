"""Registry of the attempts of one request, which sends them to the owners in batches."""

from collections.abc import Callable, Iterable

from zinnia_model.ids import AttemptId, ReplicaId, ShardId, VmId
from zinnia_model.queries import Query
from zinnia_model.reasons import Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult
from zinnia_routing.context import OWNER_FAILURES, ExecutionContext
from zinnia_routing.merge import ResultMerge
from zinnia_routing.plan import Target


class ShardState:
    """Progress of one shard of a plan.

    Times are in seconds of the runtime's clock. ``open_attempts`` counts unanswered attempts,
    ``tried`` lists the replicas of all attempts in the order of sending, and ``refused_by_owner``
    those replicas whose owner did not pass the attempt on. ``reason`` is the last failure. Once the
    shard is ``settled``, it has an answer or was given up.
    """

    __slots__ = (
        "shard",
        "open_attempts",
        "tried",
        "refused_by_owner",
        "sent_at",
        "hedges",
        "retries",
        "settled",
        "reason",
        "retry_at",
        "failed_at",
    )

    def __init__(self, shard: ShardId) -> None:
        self.shard = shard
        self.open_attempts = 0
        self.tried: list[ReplicaId] = []
        self.refused_by_owner: list[ReplicaId] = []
        self.sent_at = 0.0
        self.hedges = 0
        self.retries = 0
        self.settled = False
        self.reason: Reason | None = None
        self.retry_at = 0.0
        self.failed_at = 0.0

    def may_retry(self, reason: Reason, max_retries: int) -> bool:
        """Return whether the shard may be sent again after a failure.

        An attempt that the owner did not pass on puts no load on a backend server, so the number of
        such retries is limited by the deadline alone.
        """
        return reason in OWNER_FAILURES or self.retries < max_retries

    def record_retry(self, reason: Reason) -> None:
        """Count a retry, unless the owner did not pass the failed attempt on."""
        self.retries += reason not in OWNER_FAILURES


class Attempt:
    """One sub-request that was sent; one with ``is_warm_up`` is never cancelled."""

    __slots__ = ("id", "state", "replica", "owner", "sent_at", "is_open", "is_warm_up")

    def __init__(
        self,
        attempt_id: AttemptId,
        state: ShardState,
        target: Target,
        now: float,
        is_warm_up: bool = False,
    ):
        self.id = attempt_id
        self.state = state
        self.replica = target.replica
        self.owner = target.owner
        self.sent_at = now
        self.is_open = True
        self.is_warm_up = is_warm_up


class AttemptRegistry:
    """Creates the attempts of a request and sends them to the owners, one batch per owner.

    Parameters
    ----------
    context : ExecutionContext
        Shared state of this VM.
    query : Query
        The request that the attempts belong to.
    prefix : str
        Prefix of all attempt ids of this request.
    deliver : callable
        Called with each result.
    """

    def __init__(
        self,
        context: ExecutionContext,
        query: Query,
        prefix: str,
        deliver: Callable[[SubResult], None],
    ) -> None:
        self._context = context
        self._query = query
        self._prefix = prefix
        self._deliver = deliver
        self._unsent: dict[VmId, list[SubRequest]] = {}
        self._attempts: dict[AttemptId, Attempt] = {}
        self.sent = 0

    def add(
        self,
        state: ShardState,
        target: Target,
        merge: ResultMerge,
        now: float,
        is_warm_up: bool = False,
    ) -> None:
        """Register an attempt and add it to the unsent batch of its owner."""
        self.sent += 1
        attempt_id = AttemptId(f"{self._prefix}.{self.sent}")
        replica, owner = target.replica, target.owner
        self._attempts[attempt_id] = Attempt(attempt_id, state, target, now, is_warm_up)
        merge.expect(attempt_id, state.shard)
        state.open_attempts += 1
        state.tried.append(replica)
        state.sent_at = now
        self._context.record_sent(replica)
        item = SubRequest(attempt_id, state.shard, replica)
        items = self._unsent.get(owner)
        if items is None:
            self._unsent[owner] = [item]
        else:
            items.append(item)

    def send_batches(self, merge: ResultMerge, now: float) -> None:
        """Send all unsent batches; results may be delivered before this returns."""
        unsent, self._unsent = self._unsent, {}
        query, context = self._query, self._context
        for owner, items in unsent.items():
            context.counters.count_subrequest(len(items))
            batch = Batch(
                query.request_id,
                query.service,
                query.route,
                merge.snapshot,
                query.body,
                max(0.0, query.deadline_at - now),
                query.repeatable,
                query.fingerprint,
                tuple(items),
                query.idempotency_key,
            )
            context.sender_for(owner).submit(batch, self._deliver)

    def find(self, attempt_id: AttemptId) -> Attempt | None:
        """Return an attempt of the current plan, None if the id is unknown."""
        return self._attempts.get(attempt_id)

    def settle(self, attempt: Attempt) -> None:
        """Mark an attempt as no longer open."""
        attempt.is_open = False
        attempt.state.open_attempts -= 1
        self._context.record_settled(attempt.replica)

    def list_open(self, state: ShardState | None = None) -> list[Attempt]:
        """Return the open attempts, only those of one shard if ``state`` is given."""
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.is_open and (state is None or attempt.state is state)
        ]

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Settle attempts and tell their owners to cancel them.

        Warm-up attempts keep running at the owner. Only answers end a replica's cold start, and a
        cold replica is slower than every hedge, so its attempts would always be cancelled.
        """
        by_owner: dict[VmId, list[AttemptId]] = {}
        for attempt in attempts:
            self.settle(attempt)
            if attempt.is_warm_up:
                continue
            by_owner.setdefault(attempt.owner, []).append(attempt.id)
        for owner, ids in by_owner.items():
            self._context.sender_for(owner).cancel(ids)

    def clear(self) -> None:
        """Remove the attempts of a plan that was replaced; all must be settled."""
        self._attempts.clear()
