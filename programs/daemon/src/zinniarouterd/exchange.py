"""Exchange of facts with peers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from zinnia_facts.table import URGENT_KINDS, Cursor, Fact, FactTable
from zinnia_model.ids import VmId
from zinnia_model.messages import FactPush, FactRecord
from zinnia_peers.facts import make_records, read_records
from zinnia_peers.links import PeerLinks

# Each heartbeat carries the VM's own facts. Facts of other VMs are relayed less often, for peers
# that cannot reach the origin; in every heartbeat, each fact would travel once from each VM to each
# peer.
RELAY_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class FactDelta:
    """Facts for one peer, and the table positions up to which the peer has them on receipt.

    ``own`` is the position for the facts of this VM. ``relayed`` is the position for those of other
    VMs, or None if the delta leaves them out.
    """

    records: tuple[FactRecord, ...]
    own: Cursor
    relayed: Cursor | None


def find_origin(fact: Fact) -> str:
    """Return the VM in the origin of a fact, without the incarnation that may follow a slash."""
    return fact.origin.partition("/")[0]


class FactExchange:
    """Synchronizes the fact table of this VM with those of its peers.

    Parameters
    ----------
    on_new : callable
        Called with facts that were new to this VM.
    """

    def __init__(
        self, vm: VmId, facts: FactTable, links: PeerLinks, on_new: Callable[[list[Fact]], None]
    ) -> None:
        self._vm = vm
        self._facts = facts
        self._links = links
        self._on_new = on_new
        self._own: dict[VmId, Cursor] = {}
        self._relayed: dict[VmId, Cursor] = {}
        self._relayed_at: dict[VmId, float] = {}

    def publish(self, fact: Fact) -> None:
        """Store a fact of this VM and push it to all peers at once."""
        self._facts.put(fact, trio.current_time())
        self.push([fact])

    def push(self, facts: list[Fact]) -> None:
        """Send facts to all peers without waiting for the next heartbeat."""
        message = FactPush(self._vm, make_records(facts))
        for peer in self._links.list_peers():
            self._links.get(peer).notify(message)

    def make_delta(self, peer: VmId, now: float) -> FactDelta:
        """Return the facts that the peer has not confirmed and that are due now."""
        own = self._own.get(peer, Cursor(0))
        if now - self._relayed_at.get(peer, float("-inf")) < RELAY_INTERVAL_S:
            changed, cursor = self._facts.changes_since(own, now)
            due = [fact for fact in changed if self._is_own_fact(fact)]
            return FactDelta(make_records(due), cursor, None)
        self._relayed_at[peer] = now
        relayed = self._relayed.get(peer, Cursor(0))
        changed, cursor = self._facts.changes_since(min(own, relayed), now)
        due = [fact for fact in changed if find_origin(fact) != peer]
        return FactDelta(make_records(due), cursor, cursor)

    def _is_own_fact(self, fact: Fact) -> bool:
        return find_origin(fact) == self._vm

    def confirm(self, peer: VmId, delta: FactDelta) -> None:
        """Record that the peer has received a delta."""
        self._own[peer] = max(self._own.get(peer, Cursor(0)), delta.own)
        if delta.relayed is not None:
            self._relayed[peer] = max(self._relayed.get(peer, Cursor(0)), delta.relayed)

    def reset_peer(self, peer: VmId) -> None:
        """Send all facts to a peer again, after it has restarted."""
        self._own.pop(peer, None)
        self._relayed.pop(peer, None)
        self._relayed_at.pop(peer, None)

    def receive(self, records: Iterable[FactRecord]) -> None:
        """Merge the facts of a peer; push those that are new and urgent to all peers."""
        new = self._facts.merge(read_records(records), trio.current_time())
        if not new:
            return
        urgent = [fact for fact in new if fact.kind in URGENT_KINDS]
        if urgent:
            self.push(urgent)
        self._on_new(new)
