"""Finds the sender of an owner and counts the results of the local one."""

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
        self._children: dict[tuple[Reason | None, Outcome], object] = {}

    def submit(self, batch: Batch, deliver: Deliver) -> None:
        """Pass a batch on and count each result by reason and outcome."""

        def count(result: SubResult) -> None:
            key = (result.reason, result.outcome)
            child = self._children.get(key)
            if child is None:
                reason = result.reason.value if result.reason else ""
                child = self._metrics.results.labels(reason, result.outcome.value)
                self._children[key] = child
            child.inc()
            deliver(result)

        self._dispatcher.submit(batch, count)

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Give up attempts."""
        self._dispatcher.cancel(attempt_ids)


class UnreachableSender(BatchSender):
    """Refuses every batch, for an owner without a link."""

    def submit(self, batch: Batch, deliver: Deliver) -> None:
        """Settle all attempts as not run."""
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
        """Do nothing; all attempts are settled."""


class SenderDirectory:
    """Returns the local dispatcher for this VM and the link for any other."""

    def __init__(self, vm: VmId, local: BatchSender, links: PeerLinks) -> None:
        self._vm = vm
        self._local = local
        self._links = links
        self._unreachable = UnreachableSender()

    def find(self, vm: VmId) -> BatchSender:
        """Return the sender of an owner."""
        if vm == self._vm:
            return self._local
        try:
            return self._links.get(vm)
        except PeerLostError:
            return self._unreachable
