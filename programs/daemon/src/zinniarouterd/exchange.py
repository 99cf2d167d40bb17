"""Sends facts to peers and takes theirs."""

from collections.abc import Callable, Iterable

import trio

from zinnia_facts.table import URGENT_KINDS, Cursor, Fact, FactTable
from zinnia_model.ids import VmId
from zinnia_model.messages import FactPush, FactRecord
from zinnia_peers.facts import make_records, read_records
from zinnia_peers.links import PeerLinks

# Facts per heartbeat; the rest follows on the next ones, so that control stays within its budget.
MAX_FACTS_PER_HEARTBEAT = 64


class FactExchange:
    """Keeps the fact table of this VM in step with those of its peers.

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
        self._cursors: dict[VmId, Cursor] = {}

    def publish(self, fact: Fact) -> None:
        """Store a fact of this VM and push it to all peers at once."""
        self._facts.put(fact, trio.current_time())
        self.push([fact])

    def push(self, facts: list[Fact]) -> None:
        """Send facts to all peers without waiting for the next heartbeat."""
        message = FactPush(self._vm, make_records(facts))
        for peer in self._links.list_peers():
            self._links.get(peer).notify(message)

    def take_delta(self, peer: VmId, now: float) -> tuple[tuple[FactRecord, ...], Cursor]:
        """Return what changed since the last delta that the peer confirmed, and the new cursor."""
        changed, cursor = self._facts.changes_since(self._cursors.get(peer, Cursor(0)), now)
        return make_records(changed), cursor

    def confirm(self, peer: VmId, cursor: Cursor) -> None:
        """Note that the peer has all facts up to a cursor."""
        self._cursors[peer] = max(self._cursors.get(peer, Cursor(0)), cursor)

    def forget(self, peer: VmId) -> None:
        """Send everything again, because the peer has restarted."""
        self._cursors.pop(peer, None)

    def receive(self, records: Iterable[FactRecord]) -> None:
        """Merge the facts of a peer; urgent ones that are new go on to the other peers."""
        new = self._facts.merge(read_records(records), trio.current_time())
        if not new:
            return
        urgent = [fact for fact in new if fact.kind in URGENT_KINDS]
        if urgent:
            self.push(urgent)
        self._on_new(new)
