"""Statistics of each route, collected from the requests that this VM serves."""

from dataclasses import dataclass

from zinnia_catalog.ids import RouteName
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.weights import WeightedChoice

# Weight of the previous value in the moving average of the seal delay.
LAG_SMOOTHING = 0.9
# Fraction of the target latency assumed for a replica until latencies have been measured.
INITIAL_LATENCY_FRACTION = 0.2


@dataclass(slots=True)
class RouteState:
    """Latencies, replica weights, first-attempt deadline and seal delay of a route."""

    latency: LatencyHistogram
    weights: WeightedChoice
    full_deadline_s: float = 0.0
    seal_lag_s: float = 0.0

    def record_lag(self, lag_s: float) -> None:
        """Update the average delay from a planned seal to its reply; a larger delay replaces it."""
        self.seal_lag_s = max(lag_s, self.seal_lag_s * LAG_SMOOTHING + lag_s * (1 - LAG_SMOOTHING))


class RouteStates:
    """The states of all routes."""

    def __init__(self) -> None:
        self._states: dict[RouteName, RouteState] = {}

    def get(self, route: RouteName, target_latency_s: float) -> RouteState:
        """Return the state of a route; a new state derives its latency from the target."""
        state = self._states.get(route)
        if state is None:
            initial_s = target_latency_s * INITIAL_LATENCY_FRACTION
            state = self._states[route] = RouteState(LatencyHistogram(initial_s), WeightedChoice())
        return state
