"""Attempts of one plan of a query: registered, grouped by owner, sent and cancelled."""

from collections.abc import Callable, Iterable

from zinnia_model.ids import AttemptId, ReplicaId, ShardId, VmId
from zinnia_model.queries import Query
from zinnia_model.reasons import Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult
from zinnia_routing.context import OWNER_REASONS, Context
from zinnia_routing.merge import ResultMerge
from zinnia_routing.plan import Target


class ShardState:
    """One shard of the plan while the query runs; times are in seconds of the runtime's clock."""

    __slots__ = (
        "shard",
        "open",
        "excluded",
        "rerouted",
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
        self.open = 0
        self.excluded: list[ReplicaId] = []
        self.rerouted: list[ReplicaId] = []
        self.sent_at = 0.0
        self.hedges = 0
        self.retries = 0
        self.settled = False
        self.reason: Reason | None = None
        self.retry_at = 0.0
        self.failed_at = 0.0

    def may_retry(self, reason: Reason, max_retries: int) -> bool:
        """Whether the shard may be sent again after a failure.

        A refusal of the owner cost the backend servers nothing, so only time limits these.
        """
        return reason in OWNER_REASONS or self.retries < max_retries

    def note_retry(self, reason: Reason) -> None:
        """Count another send after a failure."""
        self.retries += reason not in OWNER_REASONS


class Attempt:
    """One sub-request that was sent; one that ``warms_up`` a replica runs to its end."""

    __slots__ = ("id", "state", "replica", "owner", "sent_at", "is_open", "warms_up")

    def __init__(
        self,
        attempt_id: AttemptId,
        state: ShardState,
        target: Target,
        now: float,
        warms_up: bool = False,
    ):
        self.id = attempt_id
        self.state = state
        self.replica = target.replica
        self.owner = target.owner
        self.sent_at = now
        self.is_open = True
        self.warms_up = warms_up


class AttemptBook:
    """Creates the attempts of a request and hands them to the owners, one batch for each.

    Parameters
    ----------
    context : Context
        Shared state of this VM.
    query : Query
        The request.
    prefix : str
        Start of all attempt ids of this request.
    deliver : callable
        Takes the results.
    """

    def __init__(
        self, context: Context, query: Query, prefix: str, deliver: Callable[[SubResult], None]
    ) -> None:
        self._context = context
        self._query = query
        self._prefix = prefix
        self._deliver = deliver
        self._outbox: dict[VmId, list[SubRequest]] = {}
        self._attempts: dict[AttemptId, Attempt] = {}
        self.sent = 0

    def add(
        self,
        state: ShardState,
        target: Target,
        merge: ResultMerge,
        now: float,
        warms_up: bool = False,
    ) -> None:
        """Register an attempt and put it in the batch of its owner."""
        self.sent += 1
        attempt_id = AttemptId(f"{self._prefix}.{self.sent}")
        replica, owner = target.replica, target.owner
        self._attempts[attempt_id] = Attempt(attempt_id, state, target, now, warms_up)
        merge.expect(attempt_id, state.shard)
        state.open += 1
        state.excluded.append(replica)
        state.sent_at = now
        self._context.note_sent(replica)
        item = SubRequest(attempt_id, state.shard, replica)
        items = self._outbox.get(owner)
        if items is None:
            self._outbox[owner] = [item]
        else:
            items.append(item)

    def flush(self, merge: ResultMerge, now: float) -> None:
        """Send the batches; results may be delivered before this returns."""
        outbox, self._outbox = self._outbox, {}
        query, context = self._query, self._context
        for owner, items in outbox.items():
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
        """Return an attempt of the current plan."""
        return self._attempts.get(attempt_id)

    def close(self, attempt: Attempt) -> None:
        """Settle an attempt."""
        attempt.is_open = False
        attempt.state.open -= 1
        self._context.note_settled(attempt.replica)

    def list_open(self, state: ShardState | None = None) -> list[Attempt]:
        """Return the open attempts, of one shard if it is given."""
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.is_open and (state is None or attempt.state is state)
        ]

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Settle attempts and tell their owners to give them up.

        An attempt on a cold replica runs on: only answers end a cold start, and a cold replica
        would lose to every hedge.
        """
        by_owner: dict[VmId, list[AttemptId]] = {}
        for attempt in attempts:
            self.close(attempt)
            if attempt.warms_up:
                continue
            by_owner.setdefault(attempt.owner, []).append(attempt.id)
        for owner, ids in by_owner.items():
            self._context.sender_for(owner).cancel(ids)

    def forget(self) -> None:
        """Drop the attempts of a plan that was replaced; they must be closed."""
        self._attempts.clear()
