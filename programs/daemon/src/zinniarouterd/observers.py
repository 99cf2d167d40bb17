"""VMs without a seat that send heartbeats; one may take a seat during a platform outage."""

from dataclasses import dataclass

from zinnia_model.ids import VmId
from zinnia_model.members import Member
from zinnia_model.messages import Heartbeat

# Five heartbeat intervals.
OBSERVER_TTL_S = 1.0


@dataclass(slots=True)
class _Observer:
    member: Member
    first_heartbeat_at: float
    last_heartbeat_at: float
    leaving: bool


class Observers:
    """Registry of the VMs without a seat whose last heartbeat is at most ``OBSERVER_TTL_S`` old."""

    def __init__(self) -> None:
        self._observers: dict[VmId, _Observer] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record the sender of a heartbeat; return whether it is new or has restarted.

        A heartbeat without an address comes from a member, as the member list has its address; the
        sender is then no observer any more.
        """
        if not heartbeat.peer_address:
            self._observers.pop(heartbeat.vm, None)
            return False
        self._remove_expired(now)
        known = self._observers.get(heartbeat.vm)
        member = Member(
            seat=0,
            vm=heartbeat.vm,
            incarnation=heartbeat.incarnation,
            peer_address=heartbeat.peer_address,
            data_centre=heartbeat.data_centre,
        )
        if known is not None and known.member == member:
            known.last_heartbeat_at, known.leaving = now, heartbeat.leaving
            return False
        self._observers[heartbeat.vm] = _Observer(member, now, now, heartbeat.leaving)
        return True

    def list_addresses(self, now: float) -> dict[VmId, str]:
        """Return the peer address of each observer that has not expired."""
        self._remove_expired(now)
        return {vm: observer.member.peer_address for vm, observer in self._observers.items()}

    def find_longest_seen(self, now: float) -> Member | None:
        """Return the observer with the earliest first heartbeat, or None.

        Observers that are leaving are left out.
        """
        self._remove_expired(now)
        staying = [observer for observer in self._observers.values() if not observer.leaving]
        if not staying:
            return None
        return min(staying, key=lambda o: (o.first_heartbeat_at, o.member.vm)).member

    def _remove_expired(self, now: float) -> None:
        self._observers = {
            vm: observer
            for vm, observer in self._observers.items()
            if now - observer.last_heartbeat_at <= OBSERVER_TTL_S
        }
