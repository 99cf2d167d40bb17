"""Distributes the requests of a route over services in proportion to their weights."""

from collections.abc import Sequence

from zinnia_catalog.ids import ServiceName
from zinnia_catalog.routes import WeightedService


class WeightedChoice:
    """Smooth weighted round robin: any sequence of requests is split close to the weights."""

    def __init__(self) -> None:
        self._targets: tuple[WeightedService, ...] = ()
        self._credits: dict[ServiceName, float] = {}

    def choose(self, targets: Sequence[WeightedService]) -> ServiceName:
        """Return the service for the next request; changed targets reset the counts."""
        total = sum(target.weight for target in targets)
        if self._targets != tuple(targets):
            self._targets = tuple(targets)
            self._credits = {target.service: 0.0 for target in targets}
        for target in targets:
            self._credits[target.service] += target.weight
        best = max(targets, key=lambda target: self._credits[target.service]).service
        self._credits[best] -= total
        return best
