"""How a replica is chosen and when a slow sub-request is sent again."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from zinnia_model.ids import ReplicaId
from zinnia_model.subrequests import ReplicaView
from zinnia_routing.latency import Quantiles

SHORTEST_HEDGE_DELAY_S = 0.003
# With 1 in 50 sub-requests slow, 2 in 2,500 have a slow hedge too; at a fan-out of 50 that is 1 in
# 50 queries, so p99 needs a second hedge, on a replica that runs the shard already if there is no
# third one.
MAX_HEDGES = 2  # per shard
MAX_RETRIES = 2  # per shard
# A cold replica ranks behind every warm one with a free slot. When all warm ones queue it gets
# work, otherwise it could never collect the good answers that end its cold start.
COLD_PENALTY = 1.0


@dataclass(frozen=True, slots=True)
class ResendRule:
    """When a sub-request without an answer is sent to another replica.

    ``after_s`` is its age in seconds, ``again_after_s`` the age of its hedge at which another is
    sent. ``replace`` cancels the first attempt, ``charge`` draws on the budget for hedges and
    retries.
    """

    after_s: float
    again_after_s: float
    limit: int = MAX_HEDGES
    replace: bool = False
    charge: bool = True


class ReplicaChoice(ABC):
    """Ranks replicas; the one with the lowest score is chosen, ties are broken by random."""

    max_retries = MAX_RETRIES

    @abstractmethod
    def score(self, replica: ReplicaId, view: ReplicaView | None, outstanding: int) -> float:
        """Return the score of a usable replica, between 0 and 1e5.

        ``outstanding`` counts the unanswered sub-requests that this VM sent to the replica.
        """

    @abstractmethod
    def find_resend_rule(self, quantiles: Quantiles | None, strain: float) -> ResendRule | None:
        """Return when slow sub-requests are sent again, None for never.

        ``quantiles`` is None before there are enough samples; ``strain`` rises from 0 to
        1 while the second half of the budget is spent.
        """

    def note_sent(self, replica: ReplicaId) -> None:  # noqa: B027
        """Take note that a replica was chosen."""


class LoadAwareChoice(ReplicaChoice):
    """Shortest queue first, with hedges after p97.

    Reports of owners are up to half a second old, many times a service time. Requests that were in
    flight then have ended; counting them made all entry VMs choose the same replica, which got 76%
    of the runs of 0.2 s (random choice: 61%). So only a reported queue counts, and what this VM has
    outstanding itself.
    """

    def score(self, replica: ReplicaId, view: ReplicaView | None, outstanding: int) -> float:
        """Return the load of the replica, with a penalty while it is cold or not known."""
        if view is None:
            return COLD_PENALTY + outstanding
        limit = view.limit or 1
        queued = view.queue_length + view.in_flight - limit
        load = (outstanding + queued if queued > 0 else outstanding) / limit
        return load + COLD_PENALTY if view.cold else load

    def find_resend_rule(self, quantiles: Quantiles | None, strain: float) -> ResendRule | None:
        """Hedge after p97, and later under strain.

        3% of the sub-requests are older than p97, and second hedges add less than 0.6%, so the
        budget of 4.8% is rarely strained. At p96 the strain was permanent and its longer delay
        cost more than the earlier start gained. A longer delay under strain leaves the tokens for
        the slowest ones; a fixed delay emptied the budget for seconds.
        """
        if quantiles is None:
            return None
        # One in five hedges is older than p80, so second hedges add less than 0.6% load. At p90 the
        # p99 of fan-out 50 was up to 1.51 times that without stragglers, at p80 up to 1.43.
        return ResendRule(
            max(SHORTEST_HEDGE_DELAY_S, quantiles.p97 * (1 + strain)),
            max(SHORTEST_HEDGE_DELAY_S, quantiles.p80),
        )
