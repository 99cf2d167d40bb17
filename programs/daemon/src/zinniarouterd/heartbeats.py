"""Heartbeats to peers, and pulls of newer configurations and member lists from them."""

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

# Shorter than a liveness promise lasts, so that a lost reply costs one heartbeat but not the
# promise.
HEARTBEAT_TIMEOUT_S = 0.6
PULL_TIMEOUT_S = 1.0
NO_REPLY_ERRORS = (PeerLostError, PeerTimeoutError)


class Heartbeats:
    """Runs one heartbeat loop for each peer and pulls what the replies show to be newer.

    Parameters
    ----------
    adopt : callable
        Called with each configuration document that a peer sends.
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
        self._configured_addresses = addresses
        self._adopt = adopt
        self._observers = observers
        self._was_in_standby = True
        self._heartbeat_scopes: dict[VmId, trio.CancelScope] = {}
        self._pulls_in_progress: set[tuple[VmId, type]] = set()
        self._send_now_event = trio.Event()
        self._nursery: trio.Nursery | None = None

    def send_now(self) -> None:
        """Send a heartbeat to every peer without waiting for the interval.

        For changes that must reach all peers quickly.
        """
        self._send_now_event.set()
        self._send_now_event = trio.Event()

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Send heartbeats until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self.update_links()
            task_status.started()
            while True:
                await trio.sleep(HEARTBEAT_INTERVAL_S)
                self._membership.tick(trio.current_time())
                self._check_standby_end()
                self.update_links()

    def update_links(self) -> None:
        """Open links to members, observers and configured peers, and close those to others."""
        wanted = self._observers.list_addresses(trio.current_time()) | self._configured_addresses
        for member in self._membership.members().members:
            wanted[VmId(member.vm)] = member.peer_address
        wanted.pop(self._membership.vm, None)
        for peer in set(self._links.list_peers()) - wanted.keys():
            self._links.remove(peer)
            if peer in self._heartbeat_scopes:
                self._heartbeat_scopes.pop(peer).cancel()
        for peer, address in wanted.items():
            self._links.set_address(peer, address)
            if peer not in self._heartbeat_scopes and self._nursery is not None:
                scope = self._heartbeat_scopes[peer] = trio.CancelScope()
                self._nursery.start_soon(self._run_heartbeat_loop, peer, scope)

    async def _run_heartbeat_loop(self, peer: VmId, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                send_now_event = self._send_now_event
                started = trio.current_time()
                await self._send_heartbeat(peer)
                with trio.move_on_at(started + HEARTBEAT_INTERVAL_S):
                    await send_now_event.wait()
                # Prevents a busy loop when calls to the peer fail immediately.
                await trio.sleep(0.001)

    async def _send_heartbeat(self, peer: VmId) -> None:
        now = trio.current_time()
        delta = self._exchange.make_delta(peer, now)
        message = self._membership.make_heartbeat(peer, now, delta.records)
        try:
            reply = await self._links.get(peer).call(message, HEARTBEAT_TIMEOUT_S)
        except NO_REPLY_ERRORS:
            return
        if not isinstance(reply, HeartbeatReply):
            return
        self._exchange.confirm(peer, delta)
        if reply.facts:
            self._exchange.receive(reply.facts)
        finding = self._membership.receive_reply(reply, trio.current_time())
        self._check_standby_end()
        self.pull_missing(peer, finding.members_differ, finding.config_is_newer)

    def _check_standby_end(self) -> None:
        # The former owners stop, and this VM may begin to act as owner, only when a heartbeat has
        # told them that the standby has ended.
        in_standby = not self._membership.promises.own_standby.is_withdrawn
        if self._was_in_standby and not in_standby:
            self.send_now()
        self._was_in_standby = in_standby

    def pull_missing(self, peer: VmId, members_differ: bool, config_is_newer: bool) -> None:
        """Pull the member list or the configuration from a peer, if the comparison asks for it."""
        if members_differ:
            self._start_pull(peer, MemberPull(self._membership.vm))
        if config_is_newer:
            revision = self._membership.configuration.revision
            self._start_pull(peer, ConfigPull(self._membership.vm, revision))

    def _start_pull(self, peer: VmId, message: MemberPull | ConfigPull) -> None:
        key = (peer, type(message))
        if key in self._pulls_in_progress or self._nursery is None:
            return
        self._pulls_in_progress.add(key)
        self._nursery.start_soon(self._pull, peer, message)

    async def _pull(self, peer: VmId, message: MemberPull | ConfigPull) -> None:
        try:
            reply = await self._links.get(peer).call(message, PULL_TIMEOUT_S)
        except NO_REPLY_ERRORS:
            return
        finally:
            self._pulls_in_progress.discard((peer, type(message)))
        self.handle_push(reply)

    def handle_push(self, message: object) -> None:
        """Adopt a member list or a configuration that a peer sent, if it is newer."""
        now = trio.current_time()
        if isinstance(message, MemberPush) and message.member_list is not None:
            if self._membership.adopt_members(message.member_list, now):
                logger.bind(epoch=message.member_list.epoch).info("member_list_adopted")
                self.update_links()
        elif isinstance(message, ConfigPush) and message.document:
            self._adopt(ConfigDocument.model_validate_json(message.document))
