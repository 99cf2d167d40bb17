"""Handler of messages from peers."""

from collections.abc import Callable, Iterable
from typing import Any

import trio
from loguru import logger

from zinnia_claims.claims import Claims
from zinnia_membership.membership import Membership
from zinnia_model.ids import AttemptId, VmId
from zinnia_model.messages import (
    ClaimQuery,
    ConfigPull,
    ConfigPush,
    FactPush,
    Handover,
    Heartbeat,
    HeartbeatReply,
    MemberPull,
    MemberPush,
    SeatTransfer,
)
from zinnia_model.replicas import ReplicaFact
from zinnia_model.subrequests import Batch, BatchSender, SubResult
from zinnia_peers.server import PeerHandler
from zinniarouterd.exchange import FactExchange
from zinniarouterd.handovers import Handovers
from zinniarouterd.heartbeats import Heartbeats
from zinniarouterd.holders import make_claim_reply
from zinniarouterd.observers import Observers

# Interval at which replies carry facts to a VM without a seat, which gets no heartbeats from here.
OBSERVER_FACTS_INTERVAL_S = 1.0


class NodeHandler(PeerHandler):
    """Dispatches the messages of peers to the components of this daemon."""

    def __init__(
        self,
        sender: BatchSender,
        membership: Membership,
        exchange: FactExchange,
        heartbeats: Heartbeats,
        claims: Claims,
        import_states: Callable[[Iterable[ReplicaFact]], None],
        has_link: Callable[[VmId], bool],
        observers: Observers,
        handovers: Handovers,
    ) -> None:
        self._sender = sender
        self.membership = membership
        self._exchange = exchange
        self._heartbeats = heartbeats
        self._claims = claims
        self._import_states = import_states
        self._has_link = has_link
        self._observers = observers
        self._handovers = handovers
        self._last_incarnations: dict[VmId, str] = {}
        self._observer_facts_sent_at: dict[VmId, float] = {}

    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Send a batch of a peer to replicas that this VM owns."""
        self._sender.submit(batch, deliver)

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Cancel attempts of a peer."""
        self._sender.cancel(attempt_ids)

    async def handle(self, message: Any, sender: VmId) -> Any:
        """Handle one control message; return the reply, or None if the message has none."""
        await trio.lowlevel.checkpoint()
        match message:
            case Heartbeat():
                return self._answer_heartbeat(message)
            case FactPush():
                self._exchange.receive(message.facts)
            case ConfigPull():
                return self._answer_config(message)
            case MemberPull():
                members = self.membership.members()
                revision = self.membership.configuration.revision
                return MemberPush(self.membership.vm, members, revision)
            case ConfigPush() | MemberPush():
                self._heartbeats.handle_push(message)
            case Handover():
                self._accept_handover(message)
            case SeatTransfer():
                if self.membership.receive_seat_transfer(message, trio.current_time()):
                    logger.bind(seat=message.member.seat, vm=message.member.vm).info("seat_moved")
                    self._heartbeats.update_links()
                    self._heartbeats.send_now()
            case ClaimQuery():
                answer = self._claims.answer_holder_query(
                    message.service, message.key, message.attempt_id
                )
                return make_claim_reply(answer)
        return None

    def _answer_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        now = trio.current_time()
        restarted = self._last_incarnations.get(message.vm) != message.incarnation
        self._last_incarnations[message.vm] = message.incarnation
        if restarted:
            self._exchange.reset_peer(message.vm)
        self._exchange.receive(message.facts)
        if message.leaving:
            self._heartbeats.send_now()
        facts = ()
        if not self._has_link(message.vm) and self._are_observer_facts_due(message.vm, now):
            facts = self._exchange.make_delta(message.vm, now).records
        candidates = self._handovers.list_replicas_to_hand_over(message, now)
        reply = self.membership.receive_heartbeat(message, now, facts)
        self._handovers.start(message.vm, candidates, now)
        if self._observers.record_heartbeat(message, now):
            self._heartbeats.update_links()
        finding = self.membership.compare(message)
        if self._has_link(message.vm):
            self._heartbeats.pull_missing(
                message.vm, finding.members_differ, finding.config_is_newer
            )
        return reply

    def _are_observer_facts_due(self, vm: VmId, now: float) -> bool:
        if now - self._observer_facts_sent_at.get(vm, float("-inf")) < OBSERVER_FACTS_INTERVAL_S:
            return False
        self._observer_facts_sent_at[vm] = now
        return True

    def _answer_config(self, message: ConfigPull) -> ConfigPush:
        document = self.membership.configuration.document
        if document is None or document.revision <= message.revision:
            return ConfigPush(self.membership.vm, self.membership.configuration.revision)
        return make_config_push(self.membership)

    def _accept_handover(self, message: Handover) -> None:
        now = trio.current_time()
        self._import_states(
            ReplicaFact(
                replica=row.replica,
                cold=row.cold,
                draining=row.draining,
                limit=row.limit,
                in_flight=row.in_flight,
                start_id=row.start_id,
                version=row.version,
            )
            for row in message.replicas
        )
        self.membership.accept_handover([row.replica for row in message.replicas], now)
        logger.bind(vm_from=message.vm, replicas=len(message.replicas)).info("handover_accepted")


def make_config_push(membership: Membership) -> ConfigPush:
    """Return the current configuration as a message."""
    document = membership.configuration.document
    encoded = document.encode() if document else b""
    return ConfigPush(membership.vm, membership.configuration.revision, encoded)
