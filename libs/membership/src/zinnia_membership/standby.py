"""Standby promises: a member that does not act as owner yet says so itself.

A standby promise is the giver's own word about itself, so it holds under any view and needs no
majority. An incarnation is in standby from its start until it has once been ready to act. It then
withdraws its promises with its heartbeats and acts only when each is acknowledged or has expired.
"""

from collections.abc import Callable

from zinnia_model.ids import VmId

NEVER = float("-inf")


class GivenStandby:
    """The standby of this incarnation and the promises that it gave about it."""

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._until: dict[VmId, float] = {}
        self._withdrawal_sequence: int | None = None
        self._expired_at = NEVER
        # When the last promise was acknowledged or expired.
        self.fully_withdrawn_at = NEVER

    @property
    def is_ended(self) -> bool:
        """Whether this incarnation gives no standby promise any more."""
        return self._withdrawal_sequence is not None

    @property
    def handovers_valid_from(self) -> float:
        """Time before which a handover proves nothing, as others could act after it."""
        return self._expired_at

    def give_promise(self, peer: VmId, now: float) -> bool:
        """Promise a peer not to act, and return whether that was possible."""
        if self.is_ended:
            return False
        self._until[peer] = now + self._duration_s
        return True

    def withdraw(self, sequence: int, now: float) -> None:
        """Withdraw the promises; heartbeats after this sequence number say so."""
        self._withdrawal_sequence = sequence
        self.fully_withdrawn_at = now

    def record_acknowledgement(self, peer: VmId, sequence: int, now: float) -> None:
        """Note that a peer has received the heartbeat with this sequence number."""
        if self._withdrawal_sequence is None or sequence <= self._withdrawal_sequence:
            return
        self._drop_expired(now)
        if self._until.pop(peer, None) is not None:
            self.fully_withdrawn_at = max(self.fully_withdrawn_at, now)

    def is_over(self, now: float) -> bool:
        """Whether no peer holds a standby promise of this incarnation."""
        self._drop_expired(now)
        return self.is_ended and not self._until

    def _drop_expired(self, now: float) -> None:
        if not self.is_ended:
            return
        expired = [peer for peer, until in self._until.items() if until <= now]
        for peer in expired:
            self._expired_at = max(self._expired_at, self._until.pop(peer))
            self.fully_withdrawn_at = max(self.fully_withdrawn_at, self._expired_at)


class HeldStandby:
    """The standby promises that this VM holds."""

    def __init__(self) -> None:
        self._until: dict[VmId, float] = {}
        self._since: dict[VmId, float] = {}
        # Replies to heartbeats up to these sequence numbers may be older than the withdrawal.
        self._withdrawal_sequences: dict[VmId, int] = {}
        self._announced: set[VmId] = set()

    def record_announcement(self, vm: VmId, standby: bool, sequence: int) -> None:
        """Take what a heartbeat says; ``sequence`` is that of the last heartbeat sent from here."""
        if standby:
            self._announced.add(vm)
            return
        self._announced.discard(vm)
        self._until.pop(vm, None)
        self._withdrawal_sequences[vm] = sequence

    def record_promise(
        self, vm: VmId, sequence: int, until: float, now: float, find_since: Callable[[], float]
    ) -> None:
        """Count a promise; ``find_since`` tells since when earlier work of ``vm`` may have run."""
        if sequence <= self._withdrawal_sequences.get(vm, 0):
            return
        if not self.holds(vm, now):
            self._since[vm] = find_since()
        self._until[vm] = max(until, self._until.get(vm, NEVER))

    def holds(self, vm: VmId, now: float) -> bool:
        """Whether a VM is bound by its own promise not to act."""
        return self._until.get(vm, NEVER) > now

    def find_since(self, vm: VmId) -> float:
        """Return the time from which the wait for earlier work of a VM counts."""
        return self._since.get(vm, NEVER)

    def is_announced(self, vm: VmId) -> bool:
        """Whether a VM last said that it does not act; a hint for forwarding, not a promise."""
        return vm in self._announced
