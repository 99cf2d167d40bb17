"""Queries between VMs about the state of a claimed attempt."""

import json

from zinnia_claims.records import CommandResult, HolderAnswer, HolderState
from zinnia_model.ids import AttemptId, IdempotencyKey, ServiceId, ShardId, SnapshotId, VmId
from zinnia_model.messages import ClaimQuery, ClaimReply
from zinnia_model.reasons import Outcome, Reason
from zinnia_peers.links import PeerLinks, PeerLostError, PeerTimeoutError

CLAIM_QUERY_TIMEOUT_S = 0.5


def make_claim_reply(answer: HolderAnswer) -> ClaimReply:
    """Encode a holder's answer as a message; the body of a result is passed on unchanged."""
    known = answer.state is not HolderState.FORGOTTEN
    if answer.result is None:
        return ClaimReply(known, json.dumps({"state": answer.state.value}))
    result = answer.result
    state = {
        "state": answer.state.value,
        "outcome": result.outcome.value,
        "reason": result.reason.value if result.reason else None,
        "shard": result.shard,
        "snapshot": result.snapshot,
        "message": result.message,
    }
    return ClaimReply(known, json.dumps(state), result.body)


def read_claim_reply(reply: ClaimReply) -> HolderAnswer:
    """Decode a holder's answer from its message."""
    state = json.loads(reply.state)
    if "outcome" not in state:
        return HolderAnswer(HolderState(state["state"]))
    result = CommandResult(
        Outcome(state["outcome"]),
        Reason(state["reason"]) if state["reason"] else None,
        reply.answer,
        ShardId(state["shard"]),
        SnapshotId(state["snapshot"]),
        state["message"],
    )
    return HolderAnswer(HolderState(state["state"]), result)


class HolderQueries:
    """Asks other VMs for the state of attempts whose claims they hold."""

    def __init__(self, vm: VmId, links: PeerLinks) -> None:
        self._vm = vm
        self._links = links

    async def ask(
        self, holder: VmId, service: ServiceId, key: IdempotencyKey, attempt_id: AttemptId
    ) -> HolderAnswer | None:
        """Return the answer of a holder, or None if it does not answer in time."""
        message = ClaimQuery(self._vm, service, key, attempt_id)
        try:
            reply = await self._links.get(holder).call(message, CLAIM_QUERY_TIMEOUT_S)
        except (PeerLostError, PeerTimeoutError):
            return None
        return read_claim_reply(reply) if isinstance(reply, ClaimReply) else None
