"""Heartbeats to peers, and the pulls that they lead to."""

from collections.abc import Callable

import trio
from loguru import logger

from zinnia_membership.membership import HEARTBEAT_INTERVAL_S, Membership
from zinnia_model.configuration import ConfigDocument
from zinnia_model.ids import VmId
from zinnia_model.messages import ConfigPull, ConfigPush, HeartbeatReply, MemberPull, MemberPush
from zinnia_peers.links import PeerLinks, PeerLostError, PeerTimeoutError
from zinniarouterd.exchange import FactExchange
from zinniarouterd.observers import Observers

# Shorter than a promise, so that a lost reply costs one heartbeat and not the promise.
REPLY_LIMIT_S = 0.6
PULL_LIMIT_S = 1.0
NO_REPLY = (PeerLostError, PeerTimeoutError)


class Heartbeats:
    """Keeps one heartbeat loop for each peer and follows what the replies tell.

    Parameters
    ----------
    adopt : callable
        Called with a configuration document of a peer.
    """

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        exchange: FactExchange,
        addresses: dict[VmId, str],
        adopt: Callable[[ConfigDocument], None],
        observers: Observers,
    ) -> None:
        self._membership = membership
        self._links = links
        self._exchange = exchange
        self._configured = addresses
        self._adopt = adopt
        self._observers = observers
        self._was_in_standby = True
        self._beating: dict[VmId, trio.CancelScope] = {}
        self._pulling: set[tuple[VmId, type]] = set()
        self._hurry = trio.Event()
        self._nursery: trio.Nursery | None = None

    def hurry(self) -> None:
        """Send a heartbeat to every peer at once, after a change that must spread quickly."""
        self._hurry.set()
        self._hurry = trio.Event()

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Beat until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self.follow_members()
            task_status.started()
            while True:
                await trio.sleep(HEARTBEAT_INTERVAL_S)
                self._membership.tick(trio.current_time())
                self._follow_standby()
                self.follow_members()

    def follow_members(self) -> None:
        """Keep links to members, observers and configured peers, and end those to others."""
        wanted = self._observers.list_addresses(trio.current_time()) | self._configured
        for member in self._membership.members().members:
            wanted[VmId(member.vm)] = member.peer_address
        wanted.pop(self._membership.vm, None)
        for peer in set(self._links.list_peers()) - wanted.keys():
            self._links.remove(peer)
            if peer in self._beating:
                self._beating.pop(peer).cancel()
        for peer, address in wanted.items():
            self._links.set_address(peer, address)
            if peer not in self._beating and self._nursery is not None:
                scope = self._beating[peer] = trio.CancelScope()
                self._nursery.start_soon(self._beat, peer, scope)

    async def _beat(self, peer: VmId, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                hurry = self._hurry
                started = trio.current_time()
                await self._send_one(peer)
                with trio.move_on_at(started + HEARTBEAT_INTERVAL_S):
                    await hurry.wait()
                # A peer that fails at once must not make this loop spin.
                await trio.sleep(0.001)

    async def _send_one(self, peer: VmId) -> None:
        now = trio.current_time()
        delta = self._exchange.take_delta(peer, now)
        message = self._membership.make_heartbeat(peer, now, delta.records)
        try:
            reply = await self._links.get(peer).call(message, REPLY_LIMIT_S)
        except NO_REPLY:
            return
        if not isinstance(reply, HeartbeatReply):
            return
        self._exchange.confirm(peer, delta)
        if reply.facts:
            self._exchange.receive(reply.facts)
        finding = self._membership.receive_reply(reply, trio.current_time())
        self._follow_standby()
        self.follow_finding(peer, finding.members_differ, finding.config_is_newer)

    def _follow_standby(self) -> None:
        # The former owners stop, and this VM may begin, only when they hear that it is ready.
        in_standby = not self._membership.promises.own_standby.is_ended
        if self._was_in_standby and not in_standby:
            self.hurry()
        self._was_in_standby = in_standby

    def follow_finding(self, peer: VmId, members_differ: bool, config_is_newer: bool) -> None:
        """Pull what a peer holds that this VM lacks."""
        if members_differ:
            self._start_pull(peer, MemberPull(self._membership.vm))
        if config_is_newer:
            revision = self._membership.configuration.revision
            self._start_pull(peer, ConfigPull(self._membership.vm, revision))

    def _start_pull(self, peer: VmId, message: MemberPull | ConfigPull) -> None:
        key = (peer, type(message))
        if key in self._pulling or self._nursery is None:
            return
        self._pulling.add(key)
        self._nursery.start_soon(self._pull, peer, message)

    async def _pull(self, peer: VmId, message: MemberPull | ConfigPull) -> None:
        try:
            reply = await self._links.get(peer).call(message, PULL_LIMIT_S)
        except NO_REPLY:
            return
        finally:
            self._pulling.discard((peer, type(message)))
        self.receive_push(reply)

    def receive_push(self, message: object) -> None:
        """Take a member list or a configuration of a peer."""
        now = trio.current_time()
        if isinstance(message, MemberPush) and message.member_list is not None:
            if self._membership.adopt_members(message.member_list, now):
                logger.bind(epoch=message.member_list.epoch).info("member_list_adopted")
                self.follow_members()
        elif isinstance(message, ConfigPush) and message.document:
            self._adopt(ConfigDocument.model_validate_json(message.document))
