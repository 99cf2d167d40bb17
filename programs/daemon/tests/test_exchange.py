import unittest

import trio
import trio.testing

from zinnia_facts.table import Fact, FactKind, FactTable
from zinnia_model.ids import VmId
from zinnia_peers.links import PeerLinks
from zinniarouterd.exchange import RELAY_INTERVAL_S, FactExchange

PEER = VmId("vm-2")


def make_fact(origin: str, version: int = 1, kind: FactKind = FactKind.REPLICA_STATE) -> Fact:
    return Fact(kind, f"subject of {origin}", origin, version, "{}", 60.0)


class FactExchangeTest(unittest.TestCase):
    def run_exchange(self, check):
        async def main():
            async with trio.open_nursery() as nursery:
                facts, new = FactTable(), []
                links = PeerLinks(VmId("vm-1"), nursery)
                check(FactExchange(VmId("vm-1"), facts, links, new.extend), facts, new)

        trio.run(main, clock=trio.testing.MockClock())

    def send_delta(self, exchange: FactExchange, now: float) -> set[tuple[str, int]]:
        delta = exchange.make_delta(PEER, now)
        exchange.confirm(PEER, delta)
        return {(record.origin, record.version) for record in delta.records}

    def test_own_facts_are_in_every_heartbeat_and_others_less_often(self):
        """Guards against heartbeats that carry every fact from every VM to every peer."""

        def check(exchange, facts, _):
            for origin in ("vm-1", "vm-2", "vm-3/incarnation"):
                facts.put(make_fact(origin), 0.0)
            self.assertEqual({("vm-1", 1), ("vm-3/incarnation", 1)}, self.send_delta(exchange, 0.0))
            for origin in ("vm-1", "vm-3/incarnation"):
                facts.put(make_fact(origin, 2), 0.1)
            self.assertEqual({("vm-1", 2)}, self.send_delta(exchange, 0.2))
            later = 0.2 + RELAY_INTERVAL_S
            self.assertEqual(
                {("vm-3/incarnation", 2)}, {*self.send_delta(exchange, later)} - {("vm-1", 2)}
            )
            self.assertEqual(set(), self.send_delta(exchange, later + 0.2))

        self.run_exchange(check)

    def test_unconfirmed_delta_is_sent_again(self):
        """Guards against facts that never arrive because the heartbeat with them was lost."""

        def check(exchange, facts, _):
            facts.put(make_fact("vm-1"), 0.0)
            exchange.make_delta(PEER, 0.0)
            self.assertEqual({("vm-1", 1)}, self.send_delta(exchange, 0.2))

        self.run_exchange(check)

    def test_restarted_peer_gets_all_facts_again(self):
        """Guards against a restarted VM without the vetoes that its last run had confirmed."""

        def check(exchange, facts, _):
            facts.put(make_fact("vm-3", kind=FactKind.VETO), 0.0)
            self.send_delta(exchange, 0.0)
            exchange.reset_peer(PEER)
            self.assertEqual({("vm-3", 1)}, self.send_delta(exchange, 0.2))

        self.run_exchange(check)


if __name__ == "__main__":
    unittest.main()
