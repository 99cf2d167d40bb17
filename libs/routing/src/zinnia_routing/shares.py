"""Error diffusion that keeps the queries on each version within its traffic share."""

from collections.abc import Mapping

from zinnia_model.ids import ServiceId, VersionId

# Integers in millionths of a query, because rounding of float sums could exceed a share.
CREDIT_PER_QUERY = 1_000_000


class ShareAccumulator:
    """Credits of the versions of one service other than the base version.

    Each query adds the share of a version to its credit, and running a query on that version costs
    the credit of one query. So at any time at most share × queries have run on the version. The
    base version is not limited and takes the remaining queries.
    """

    def __init__(self) -> None:
        self._credits: dict[VersionId, int] = {}
        self._rates: dict[VersionId, int] = {}

    def pick_version(self, shares: Mapping[VersionId, float], base: VersionId) -> VersionId:
        """Count one query and return the version on which it runs."""
        best, best_credit = base, CREDIT_PER_QUERY - 1
        for version, share in shares.items():
            if version == base:
                continue
            credit = self._add_credit(version, int(share * CREDIT_PER_QUERY))
            if credit > best_credit:
                best, best_credit = version, credit
        for version in self._rates.keys() - shares.keys():
            self._add_credit(version, 0)
        if best != base:
            self._credits[best] -= CREDIT_PER_QUERY
        return best

    def try_charge(self, version: VersionId) -> bool:
        """Charge a version for a query that was counted for another one.

        The result tells whether the credit sufficed, so that the query may run on the version.
        """
        if self._credits.get(version, 0) < CREDIT_PER_QUERY:
            return False
        self._credits[version] -= CREDIT_PER_QUERY
        return True

    def _add_credit(self, version: VersionId, rate: int) -> int:
        """Add the credit of one query and return the sum; a lowered share resets it first."""
        if rate < self._rates.get(version, 0):
            self._credits[version] = 0
        self._rates[version] = rate
        # The cap keeps unused credit, as of a version without replicas, from causing a burst.
        credit = min(self._credits.get(version, 0) + rate, 2 * CREDIT_PER_QUERY - 1) if rate else 0
        self._credits[version] = credit
        return credit


class ShareAccumulators:
    """Share accumulators of one VM, by service."""

    def __init__(self) -> None:
        self._accumulators: dict[ServiceId, ShareAccumulator] = {}

    def get_accumulator(self, service: ServiceId) -> ShareAccumulator:
        """Return the accumulator of a service; create it at the first call."""
        accumulator = self._accumulators.get(service)
        if accumulator is None:
            accumulator = self._accumulators[service] = ShareAccumulator()
        return accumulator
