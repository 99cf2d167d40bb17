"""Two simple ways to choose replicas, for measurements beside the product."""

from zinnia_model.ids import ReplicaId
from zinnia_model.subrequests import ReplicaView
from zinnia_routing.choice import ReplicaChoice, ResendRule
from zinnia_routing.latency import Quantiles


class RandomChoice(ReplicaChoice):
    """Any usable replica, without hedges."""

    def score(self, replica: ReplicaId, view: ReplicaView | None, outstanding: int) -> float:
        """Return the same score for all, so that random decides."""
        return 0.0

    def find_resend_rule(self, quantiles: Quantiles | None, strain: float) -> ResendRule | None:
        """Never send a slow sub-request again."""
        return None


class RoundRobinChoice(ReplicaChoice):
    """The replica that was used longest ago, with a fixed timeout and one retry.

    Parameters
    ----------
    timeout_s : float
        Age in seconds at which an attempt is cancelled and sent once to the next replica.
    """

    max_retries = 1

    def __init__(self, timeout_s: float) -> None:
        self._rule = ResendRule(timeout_s, timeout_s, limit=1, replace=True, charge=False)
        self._turn = 0
        self._last_turns: dict[ReplicaId, int] = {}

    def score(self, replica: ReplicaId, view: ReplicaView | None, outstanding: int) -> float:
        """Return a score that is lower the longer the replica was not used."""
        age = self._turn - self._last_turns.get(replica, -1)
        return 1.0 / (1 + age)

    def find_resend_rule(self, quantiles: Quantiles | None, strain: float) -> ResendRule | None:
        """Send once more after the fixed timeout."""
        return self._rule

    def note_sent(self, replica: ReplicaId) -> None:
        """Move the replica to the end of the order."""
        self._turn += 1
        self._last_turns[replica] = self._turn
