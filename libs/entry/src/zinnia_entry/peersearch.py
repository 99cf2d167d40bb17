"""Search for a VM to follow: a watcher, or a deputy while no watcher has fresh data."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

import trio

from zinnia_catalog.members import DEPUTY_COUNT, Member, find_watchers
from zinnia_entry.settings import Address

# How long a VM looks for a watcher or deputy with fresh data before it calls the store itself. The
# first deputies look for a shorter time, so that the other VMs find them with fresh data.
PEER_SEARCH_TIMEOUT_S = 0.6
DEPUTY_SEARCH_TIMEOUT_S = 0.2
PEER_SEARCH_INTERVAL_S = 0.2
# A VM that accepted a connection and did not answer is not tried again for this time.
SILENT_PEER_DELAY_S = 3.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that may be followed."""

    vm: str
    address: Address


class PeerSearch:
    """The VMs that a VM may follow, and how long it looks for one of them.

    Parameters
    ----------
    own : Member
        This VM.
    get_members : Callable[[], Mapping[str, Member]]
        Returns all registered VMs.
    random : Random
        Spreads the followers over the VMs that they may follow.
    """

    def __init__(
        self, own: Member, get_members: Callable[[], Mapping[str, Member]], random: Random
    ) -> None:
        self._own = own
        self._get_members = get_members
        self._random = random
        self._silent_until: dict[str, float] = {}

    @property
    def has_peers(self) -> bool:
        """Whether this VM is to follow another one; otherwise it watches the store itself."""
        return bool(find_watchers(self._get_members(), self._own)[0])

    @property
    def timeout_s(self) -> float:
        """How long to look for a VM with fresh data, in seconds."""
        candidates, watchers = find_watchers(self._get_members(), self._own)
        deputies_before = len(candidates) - watchers
        if deputies_before >= DEPUTY_COUNT:
            return PEER_SEARCH_TIMEOUT_S
        return min(PEER_SEARCH_TIMEOUT_S, DEPUTY_SEARCH_TIMEOUT_S * (deputies_before + 1))

    def list_candidates(self) -> list[Candidate]:
        """Return the VMs to try now: watchers, then deputies, each shuffled."""
        found, count = find_watchers(self._get_members(), self._own)
        watchers, deputies = found[:count], found[count:]
        self._random.shuffle(watchers)
        self._random.shuffle(deputies)
        now = trio.current_time()
        self._silent_until = {vm: until for vm, until in self._silent_until.items() if until > now}
        return [
            Candidate(member.vm, parse_address(member.peer_address))
            for member in [*watchers, *deputies]
            if member.vm not in self._silent_until
        ]

    def record_silence(self, candidate: Candidate) -> None:
        """Do not list a VM that did not answer for a while."""
        self._silent_until[candidate.vm] = trio.current_time() + SILENT_PEER_DELAY_S


def parse_address(text: str) -> Address:
    """Parse an address of the form ``host:port``."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
