"""Peer connections between VMs in memory, with cuts."""

from collections.abc import Awaitable, Callable

import trio
from trio.testing import memory_stream_pair

ONE_WAY_S = 0.001


class Network:
    """Which pairs of VMs are cut.

    A cut loses nothing for good: as with TCP, what was sent arrives after the cut is healed, unless
    the connection was closed before. New connections get no answer.
    """

    def __init__(self) -> None:
        self._cuts: set[frozenset[str]] = set()
        self._changed = trio.Event()

    def cut(self, a: str, b: str) -> None:
        self._cuts.add(frozenset((a, b)))

    def heal(self) -> None:
        self._cuts.clear()
        self._changed.set()
        self._changed = trio.Event()

    async def pass_data(self, a: str, b: str) -> None:
        """Wait one way's delay, and until the pair is not cut."""
        await trio.sleep(ONE_WAY_S)
        while frozenset((a, b)) in self._cuts:
            await self._changed.wait()


class PeerStream(trio.abc.Stream):
    """One end of a connection between two VMs."""

    def __init__(self, network: Network, here: str, there: str, inner: trio.StapledStream) -> None:
        self._network = network
        self._ends = (here, there)
        self._inner = inner

    async def send_all(self, data: bytes) -> None:
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self._inner.receive_some(max_bytes)
        await self._network.pass_data(*self._ends)
        return bytes(data)

    async def aclose(self) -> None:
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        self._inner.send_stream.close()
        self._inner.receive_stream.close()


def make_pair(network: Network, here: str, there: str) -> tuple[PeerStream, PeerStream]:
    """Return both ends of a new connection."""
    first, second = memory_stream_pair()
    return PeerStream(network, here, there, first), PeerStream(network, there, here, second)


Connect = Callable[[str], Awaitable[trio.abc.Stream]]
