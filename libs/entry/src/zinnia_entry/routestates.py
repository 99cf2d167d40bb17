"""What a VM learns of each route from the requests that it serves."""

from dataclasses import dataclass

from zinnia_catalog.ids import RouteName
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.weights import WeightedChoice

# Weight of what is known in the running average of the delay of seals.
LAG_MEMORY = 0.9
# Part of the target latency that a replica usually takes, until latencies were measured.
USUAL_PART = 0.2


@dataclass(slots=True)
class RouteState:
    """Latencies, weights, and the deadline of first attempts."""

    latency: LatencyHistogram
    weights: WeightedChoice
    full_deadline_s: float = 0.0
    seal_lag_s: float = 0.0

    def record_lag(self, lag_s: float) -> None:
        """Note the delay from a planned seal to its reply; a larger one counts at once."""
        self.seal_lag_s = max(lag_s, self.seal_lag_s * LAG_MEMORY + lag_s * (1 - LAG_MEMORY))


class RouteStates:
    """The states of all routes."""

    def __init__(self) -> None:
        self._states: dict[RouteName, RouteState] = {}

    def get(self, route: RouteName, target_latency_s: float) -> RouteState:
        """Return the state of a route; a new one guesses latencies from the target."""
        state = self._states.get(route)
        if state is None:
            guess_s = target_latency_s * USUAL_PART
            state = self._states[route] = RouteState(LatencyHistogram(guess_s), WeightedChoice())
        return state
