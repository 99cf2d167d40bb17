"""Standby promises: a member that does not act as owner yet promises this to its peers.

A member gives a standby promise about itself, so the promise is valid under any view and needs no
majority. An incarnation is in standby from its start until it is first ready to act as owner. It
then withdraws its promises with its next heartbeats, and acts only when each promise has expired or
its withdrawal was acknowledged.
"""

from collections.abc import Callable

from zinnia_model.ids import VmId

NEVER = float("-inf")


class GivenStandby:
    """The standby state of this incarnation and the standby promises that it gave."""

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._until: dict[VmId, float] = {}
        self._withdrawal_sequence: int | None = None
        self._expired_at = NEVER
        # When the last promise expired or its withdrawal was acknowledged.
        self.fully_withdrawn_at = NEVER

    @property
    def is_withdrawn(self) -> bool:
        """Whether this incarnation has left standby and gives no new promises."""
        return self._withdrawal_sequence is not None

    @property
    def handovers_valid_from(self) -> float:
        """Time before which a handover is ignored, because others could act as owner after it."""
        return self._expired_at

    def give_promise(self, peer: VmId, now: float) -> bool:
        """Promise a peer not to act as owner; return False if this incarnation left standby."""
        if self.is_withdrawn:
            return False
        self._until[peer] = now + self._duration_s
        return True

    def withdraw(self, sequence: int, now: float) -> None:
        """Leave standby; heartbeats after this sequence number withdraw the promises."""
        self._withdrawal_sequence = sequence
        self.fully_withdrawn_at = now

    def record_acknowledgement(self, peer: VmId, sequence: int, now: float) -> None:
        """Record that a peer received the heartbeat with this sequence number."""
        if self._withdrawal_sequence is None or sequence <= self._withdrawal_sequence:
            return
        self._drop_expired(now)
        if self._until.pop(peer, None) is not None:
            self.fully_withdrawn_at = max(self.fully_withdrawn_at, now)

    def is_fully_withdrawn(self, now: float) -> bool:
        """Whether this incarnation left standby and no peer holds a standby promise of it."""
        self._drop_expired(now)
        return self.is_withdrawn and not self._until

    def _drop_expired(self, now: float) -> None:
        if not self.is_withdrawn:
            return
        expired = [peer for peer, until in self._until.items() if until <= now]
        for peer in expired:
            self._expired_at = max(self._expired_at, self._until.pop(peer))
            self.fully_withdrawn_at = max(self.fully_withdrawn_at, self._expired_at)


class HeldStandby:
    """The standby promises that this VM has received."""

    def __init__(self) -> None:
        self._until: dict[VmId, float] = {}
        self._wait_start: dict[VmId, float] = {}
        # Replies to own heartbeats up to these numbers may have been sent before the withdrawal.
        self._withdrawal_sequences: dict[VmId, int] = {}
        self._announced: set[VmId] = set()

    def record_announcement(self, vm: VmId, standby: bool, sequence: int) -> None:
        """Record the standby flag of a heartbeat; ``sequence`` is of the last heartbeat sent."""
        if standby:
            self._announced.add(vm)
            return
        self._announced.discard(vm)
        self._until.pop(vm, None)
        self._withdrawal_sequences[vm] = sequence

    def record_promise(
        self,
        vm: VmId,
        sequence: int,
        until: float,
        now: float,
        find_stopped_at: Callable[[], float],
    ) -> None:
        """Record a promise from a reply, valid until ``until``.

        ``find_stopped_at`` returns by when ``vm`` had stopped sending before this promise.
        """
        if sequence <= self._withdrawal_sequences.get(vm, 0):
            return
        if not self.holds(vm, now):
            self._wait_start[vm] = find_stopped_at()
        self._until[vm] = max(until, self._until.get(vm, NEVER))

    def holds(self, vm: VmId, now: float) -> bool:
        """Whether a VM is bound by its own promise not to act as owner."""
        return self._until.get(vm, NEVER) > now

    def find_wait_start(self, vm: VmId) -> float:
        """Return the time from which the take-over wait for earlier work of a VM counts."""
        return self._wait_start.get(vm, NEVER)

    def is_announced(self, vm: VmId) -> bool:
        """Whether the last heartbeat of a VM announced standby; a forwarding hint, no promise."""
        return vm in self._announced
