"""Error diffusion that keeps queries on a bounded version within its traffic share."""

from collections.abc import Mapping

from zinnia_model.ids import ServiceId, VersionId

# Credits are whole millionths of a query: sums of floats could exceed the bound by rounding.
ONE_QUERY = 1_000_000


class ShareAccumulator:
    """Credits of the bounded versions of one service.

    Each query adds the share of a version to its credit, and a query on that version costs one. So
    for every prefix of queries, those on the version are at most share × queries. The base version
    is not bounded and takes the rest.
    """

    def __init__(self) -> None:
        self._credits: dict[VersionId, int] = {}
        self._rates: dict[VersionId, int] = {}

    def pick(self, shares: Mapping[VersionId, float], base: VersionId) -> VersionId:
        """Count one query and return the version that it runs on."""
        best, best_credit = base, ONE_QUERY - 1
        for version, share in shares.items():
            if version == base:
                continue
            credit = self._accrue(version, int(share * ONE_QUERY))
            if credit > best_credit:
                best, best_credit = version, credit
        for version in self._rates.keys() - shares.keys():
            self._accrue(version, 0)
        if best != base:
            self._credits[best] -= ONE_QUERY
        return best

    def take(self, version: VersionId) -> bool:
        """Charge a query that was counted for another version; return whether it may cross."""
        if self._credits.get(version, 0) < ONE_QUERY:
            return False
        self._credits[version] -= ONE_QUERY
        return True

    def _accrue(self, version: VersionId, rate: int) -> int:
        """Add one query's share; a lowered share forfeits the credit earned at the higher one."""
        if rate < self._rates.get(version, 0):
            self._credits[version] = 0
        self._rates[version] = rate
        # The cap stops credit that was not used, for example without replicas, from bursting later.
        credit = min(self._credits.get(version, 0) + rate, 2 * ONE_QUERY - 1) if rate else 0
        self._credits[version] = credit
        return credit


class VersionShares:
    """The accumulators of all services of one VM."""

    def __init__(self) -> None:
        self._accumulators: dict[ServiceId, ShareAccumulator] = {}

    def for_service(self, service: ServiceId) -> ShareAccumulator:
        """Return the accumulator of a service."""
        accumulator = self._accumulators.get(service)
        if accumulator is None:
            accumulator = self._accumulators[service] = ShareAccumulator()
        return accumulator
