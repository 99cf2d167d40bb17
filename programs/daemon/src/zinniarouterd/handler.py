"""Handles the messages of peers."""

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

# Full facts in replies to a VM without a seat, to which no heartbeat goes from here.
OBSERVER_FACTS_INTERVAL_S = 1.0


class NodeHandler(PeerHandler):
    """Connects the peer server with the parts of this daemon."""

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
        self._incarnations: dict[VmId, str] = {}
        self._observer_sent: dict[VmId, float] = {}

    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Run a batch of a peer as owner."""
        self._sender.submit(batch, deliver)

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Give up attempts of a peer."""
        self._sender.cancel(attempt_ids)

    async def handle(self, message: Any, sender: VmId) -> Any:
        """Answer one control message."""
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
                self._heartbeats.receive_push(message)
            case Handover():
                self._accept_handover(message)
            case SeatTransfer():
                if self.membership.receive_seat_transfer(message, trio.current_time()):
                    logger.bind(seat=message.member.seat, vm=message.member.vm).info("seat_moved")
                    self._heartbeats.follow_members()
                    self._heartbeats.hurry()
            case ClaimQuery():
                answer = self._claims.answer_holder_query(
                    message.service, message.key, message.attempt_id
                )
                return make_claim_reply(answer)
        return None

    def _answer_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        now = trio.current_time()
        restarted = self._incarnations.get(message.vm) != message.incarnation
        self._incarnations[message.vm] = message.incarnation
        if restarted:
            self._exchange.forget(message.vm)
        self._exchange.receive(message.facts)
        if message.leaving:
            self._heartbeats.hurry()
        facts = ()
        if not self._has_link(message.vm) and self._is_observer_due(message.vm, now):
            facts = self._exchange.take_delta(message.vm, now).records
        held = self._handovers.list_held_for(message, now)
        reply = self.membership.receive_heartbeat(message, now, facts)
        self._handovers.start(message.vm, held, now)
        if self._observers.note(message, now):
            self._heartbeats.follow_members()
        finding = self.membership.compare(message)
        if self._has_link(message.vm):
            self._heartbeats.follow_finding(
                message.vm, finding.members_differ, finding.config_is_newer
            )
        return reply

    def _is_observer_due(self, vm: VmId, now: float) -> bool:
        if now - self._observer_sent.get(vm, float("-inf")) < OBSERVER_FACTS_INTERVAL_S:
            return False
        self._observer_sent[vm] = now
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
    """Return the held configuration as a message."""
    document = membership.configuration.document
    encoded = document.encode() if document else b""
    return ConfigPush(membership.vm, membership.configuration.revision, encoded)
