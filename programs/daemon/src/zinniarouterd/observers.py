"""VMs without a seat that this VM hears, one of which may take a seat during an outage."""

from dataclasses import dataclass

from zinnia_model.ids import VmId
from zinnia_model.members import Member
from zinnia_model.messages import Heartbeat

# Five heartbeat intervals.
HEARD_WITHIN_S = 1.0


@dataclass(slots=True)
class _Observer:
    member: Member
    first_heard_at: float
    heard_at: float
    leaving: bool


class Observers:
    """The VMs without a seat that sent a heartbeat lately."""

    def __init__(self) -> None:
        self._observers: dict[VmId, _Observer] = {}

    def note(self, heartbeat: Heartbeat, now: float) -> bool:
        """Remember the sender of a heartbeat; return whether it is new or has restarted.

        Members send no address in their heartbeats, as the member list has it.
        """
        if not heartbeat.peer_address:
            self._observers.pop(heartbeat.vm, None)
            return False
        self._forget_silent(now)
        known = self._observers.get(heartbeat.vm)
        member = Member(
            seat=0,
            vm=heartbeat.vm,
            incarnation=heartbeat.incarnation,
            peer_address=heartbeat.peer_address,
            data_centre=heartbeat.data_centre,
        )
        if known is not None and known.member == member:
            known.heard_at, known.leaving = now, heartbeat.leaving
            return False
        self._observers[heartbeat.vm] = _Observer(member, now, now, heartbeat.leaving)
        return True

    def list_addresses(self, now: float) -> dict[VmId, str]:
        """Return the peer address of each observer heard lately."""
        self._forget_silent(now)
        return {vm: observer.member.peer_address for vm, observer in self._observers.items()}

    def find_longest_heard(self, now: float) -> Member | None:
        """Return the observer that has been heard for the longest time and does not leave."""
        self._forget_silent(now)
        staying = [observer for observer in self._observers.values() if not observer.leaving]
        if not staying:
            return None
        return min(staying, key=lambda o: (o.first_heard_at, o.member.vm)).member

    def _forget_silent(self, now: float) -> None:
        self._observers = {
            vm: observer
            for vm, observer in self._observers.items()
            if now - observer.heard_at <= HEARD_WITHIN_S
        }
