"""Rendezvous hashing: ranks VMs for a replica or another subject, without coordination."""

from collections.abc import Iterable

import xxhash

from zinnia_model.ids import VmId

# Limits the memory of the cache: an entry takes about 300 bytes with 8 members.
MAX_CACHED_RANKINGS = 100_000


def compute_score(subject: str, vm: VmId) -> int:
    """Return the weight of a VM for a subject; the highest weight ranks first."""
    return xxhash.xxh3_64_intdigest(f"{subject}\0{vm}".encode())


def rank(subject: str, vms: Iterable[VmId]) -> tuple[VmId, ...]:
    """Return the VMs from the highest to the lowest rank for a subject."""
    return tuple(sorted(vms, key=lambda vm: (compute_score(subject, vm), vm), reverse=True))


class RankCache:
    """Caches the rankings of one set of VMs; a different set clears the cache."""

    def __init__(self) -> None:
        self._vms: tuple[VmId, ...] = ()
        self._rankings: dict[str, tuple[VmId, ...]] = {}

    def rank(self, subject: str, vms: tuple[VmId, ...]) -> tuple[VmId, ...]:
        """Return the VMs from the highest to the lowest rank for a subject."""
        if vms is not self._vms and vms != self._vms:
            self._rankings.clear()
        self._vms = vms
        ranking = self._rankings.get(subject)
        if ranking is None:
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings.clear()
            ranking = self._rankings[subject] = rank(subject, vms)
        return ranking
