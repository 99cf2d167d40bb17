"""Simple replica selection strategies against which measurements compare `LoadAwareChoice`."""

from zinnia_model.ids import ReplicaId
from zinnia_model.subrequests import ReplicaView
from zinnia_routing.choice import ReplicaChoice, ResendRule
from zinnia_routing.latency import Quantiles


class RandomChoice(ReplicaChoice):
    """Random selection among the usable replicas, without hedges."""

    def score(self, replica: ReplicaId, view: ReplicaView | None, outstanding: int) -> float:
        """Return the same score for every replica, so that the random tie-break decides."""
        return 0.0

    def find_resend_rule(self, quantiles: Quantiles | None, depletion: float) -> ResendRule | None:
        """Return None: slow sub-requests are never sent again."""
        return None


class RoundRobinChoice(ReplicaChoice):
    """Selection of the least recently used replica, with a fixed timeout and one retry.

    Parameters
    ----------
    timeout_s : float
        Age in seconds at which an attempt is cancelled and sent once more, to the next replica.
    """

    max_retries = 1

    def __init__(self, timeout_s: float) -> None:
        self._rule = ResendRule(
            timeout_s, timeout_s, max_resends=1, cancel_open=True, uses_budget=False
        )
        self._use_count = 0
        self._last_uses: dict[ReplicaId, int] = {}

    def score(self, replica: ReplicaId, view: ReplicaView | None, outstanding: int) -> float:
        """Return a score that falls with the number of sends since the replica was last used."""
        age = self._use_count - self._last_uses.get(replica, -1)
        return 1.0 / (1 + age)

    def find_resend_rule(self, quantiles: Quantiles | None, depletion: float) -> ResendRule | None:
        """Return the rule that sends once more after the fixed timeout."""
        return self._rule

    def record_sent(self, replica: ReplicaId) -> None:
        """Mark the replica as the most recently used one."""
        self._use_count += 1
        self._last_uses[replica] = self._use_count
