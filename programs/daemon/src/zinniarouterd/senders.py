"""Senders of sub-requests to the owners of replicas, local or on another VM."""

from collections.abc import Callable, Iterable

from zinnia_model.ids import AttemptId, VmId
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, BatchSender, SubResult
from zinnia_peers.links import PeerLinks, PeerLostError
from zinniarouterd.metrics import Metrics

Deliver = Callable[[SubResult], None]


class CountingSender(BatchSender):
    """Counts the results of the sub-requests that this VM sends as owner."""

    def __init__(self, dispatcher: BatchSender, metrics: Metrics) -> None:
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._counters: dict[tuple[Reason | None, Outcome], object] = {}

    def submit(self, batch: Batch, deliver: Deliver) -> None:
        """Submit a batch to the dispatcher and count each result by reason and outcome."""

        def count(result: SubResult) -> None:
            key = (result.reason, result.outcome)
            counter = self._counters.get(key)
            if counter is None:
                reason = result.reason.value if result.reason else ""
                counter = self._metrics.results.labels(reason, result.outcome.value)
                self._counters[key] = counter
            counter.inc()
            deliver(result)

        self._dispatcher.submit(batch, count)

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Cancel attempts at the dispatcher."""
        self._dispatcher.cancel(attempt_ids)


class UnreachableSender(BatchSender):
    """Refuses every batch; stands for an owner to which this VM has no link."""

    def submit(self, batch: Batch, deliver: Deliver) -> None:
        """Deliver the result ``NOT_RUN`` for each item of the batch."""
        for item in batch.items:
            deliver(
                SubResult(
                    item.attempt_id,
                    Outcome.NOT_RUN,
                    item.shard,
                    item.replica,
                    Reason.OWNER_UNREACHABLE,
                )
            )

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Do nothing; ``submit`` has already settled all attempts."""


class SenderDirectory:
    """Maps each VM to its sender: the local one for this VM, the peer link for any other."""

    def __init__(self, vm: VmId, local: BatchSender, links: PeerLinks) -> None:
        self._vm = vm
        self._local = local
        self._links = links
        self._unreachable = UnreachableSender()

    def find(self, vm: VmId) -> BatchSender:
        """Return the sender for an owner; without a link, one that refuses every batch."""
        if vm == self._vm:
            return self._local
        try:
            return self._links.get(vm)
        except PeerLostError:
            return self._unreachable
