"""Liveness promises between members; see docs/design.md section 2.1.

A member holds at most one promise about another at a time: ALIVE or DEAD. Two majorities share a
seat, so no VM can hold ALIVE from a majority while another holds DEAD about it from a majority.
"""

from dataclasses import dataclass
from functools import partial

from zinnia_membership.member_list import View
from zinnia_membership.standby import GivenStandby, HeldStandby
from zinnia_model.ids import VmId
from zinnia_model.messages import Heartbeat, HeartbeatReply

PROMISE_DURATION_S = 1.5
MEMBER_SILENCE_TIMEOUT_S = 1.0
# Subtracted where a promise is counted, for clocks that run at different speeds: 500 ppm, the
# limit of common clock discipline, is 0.75 ms in 1.5 s.
CLOCK_MARGIN_S = 0.005
# DEAD is renewed this long after a member was removed, so that its successor need not pause until
# the new list is settled and the take-over wait after that has passed.
REMOVED_MEMBER_RENEWAL_S = 4.0
# Heartbeats that are older than a promise lasts cannot bring one any more.
MAX_UNANSWERED_HEARTBEATS = 16
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class GrantedPromises:
    """What a member promises in one reply."""

    alive: bool
    settled: bool
    dead: tuple[VmId, ...]


class GivenPromises:
    """The promises of this member about others, on its own clock."""

    def __init__(self, vm: VmId, now: float) -> None:
        self._vm = vm
        self._view = View(0, 0, (), 0)
        # Promises of an earlier run of this VM, or of the last holder of its seat, last so long.
        self.can_give_from = now + PROMISE_DURATION_S
        self.settled_at = now + PROMISE_DURATION_S
        # One promise for each VM: the incarnation that it was given to, and its end.
        self._alive: dict[VmId, tuple[str, float]] = {}
        self._dead_until: dict[VmId, float] = {}
        self._last_heartbeat_at: dict[VmId, float] = {}
        self._released: dict[VmId, tuple[str, float]] = {}
        self._removed_at: dict[VmId, float] = {}

    def adopt_view(self, view: View, now: float) -> None:
        """Follow a change of the member list."""
        if self._vm in view.vms and self._vm not in self._view.vms:
            self.can_give_from = max(self.can_give_from, now + PROMISE_DURATION_S)
        self.settled_at = now + PROMISE_DURATION_S
        for vm in view.vms:
            if vm not in self._view.vms:
                self._last_heartbeat_at[vm] = max(now, self._last_heartbeat_at.get(vm, NEVER))
                self._removed_at.pop(vm, None)
        for vm in self._view.vms:
            if vm not in view.vms:
                self._removed_at[vm] = now
        self._view = view

    def answer_heartbeat(self, heartbeat: Heartbeat, now: float) -> GrantedPromises:
        """Take a heartbeat and return the promises of the reply to it."""
        self._record_heartbeat(heartbeat, now)
        alive = self._give_alive(heartbeat, now)
        return GrantedPromises(alive, now >= self.settled_at, self.renew_dead_promises(now))

    def renew_dead_promises(self, now: float) -> tuple[VmId, ...]:
        """Promise DEAD anew about all silent members and return them."""
        if not self.can_give(now):
            return ()
        subjects = (*self._view.vms, *self._list_removed(now))
        silent = tuple(vm for vm in subjects if vm != self._vm and self._is_silent(vm, now))
        for vm in silent:
            self._dead_until[vm] = now + PROMISE_DURATION_S
        return silent

    def can_give(self, now: float) -> bool:
        """Whether this VM has a seat and is past the wait after its start."""
        return self._vm in self._view.vms and now >= self.can_give_from

    def find_dead_until(self, vm: VmId) -> float:
        """Return until when this member itself promises DEAD about a VM."""
        return self._dead_until.get(vm, NEVER)

    def find_released_at(self, vm: VmId) -> float:
        """Return when a VM first said that it leaves, if nothing else was heard of it since."""
        return self._released.get(vm, ("", NEVER))[1]

    def find_last_heartbeat_at(self, vm: VmId) -> float:
        """Return when the last heartbeat of a VM came."""
        return self._last_heartbeat_at.get(vm, NEVER)

    def _record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        vm = heartbeat.vm
        if heartbeat.leaving and not self._is_released(heartbeat):
            self._released[vm] = (heartbeat.incarnation, now)
        if not self._is_released(heartbeat):
            self._released.pop(vm, None)
            self._last_heartbeat_at[vm] = now
            return
        # The leaving incarnation holds no promise any more, so this member is free to say DEAD
        # unless another incarnation of that VM holds one.
        if self._alive.get(vm, ("", NEVER))[0] == heartbeat.incarnation:
            del self._alive[vm]
        self._last_heartbeat_at[vm] = NEVER

    def _is_released(self, heartbeat: Heartbeat) -> bool:
        return self._released.get(heartbeat.vm, ("", NEVER))[0] == heartbeat.incarnation

    def _give_alive(self, heartbeat: Heartbeat, now: float) -> bool:
        vm = heartbeat.vm
        if heartbeat.view != self._view.digest or vm not in self._view.vms:
            return False
        if not self.can_give(now) or self._is_released(heartbeat):
            return False
        if self._is_bound_to_dead(vm, now):
            return False
        # Two processes with the id of one VM must not both hold a majority.
        if self._is_bound_to_alive(vm, now) and self._alive[vm][0] != heartbeat.incarnation:
            return False
        self._alive[vm] = (heartbeat.incarnation, now + PROMISE_DURATION_S)
        return True

    def _list_removed(self, now: float) -> tuple[VmId, ...]:
        if not self._removed_at:
            return ()
        self._removed_at = {
            vm: at for vm, at in self._removed_at.items() if now - at < REMOVED_MEMBER_RENEWAL_S
        }
        return tuple(self._removed_at)

    def _is_silent(self, vm: VmId, now: float) -> bool:
        if self._is_bound_to_alive(vm, now):
            return False
        return now - self._last_heartbeat_at.get(vm, NEVER) >= MEMBER_SILENCE_TIMEOUT_S

    def _is_bound_to_dead(self, vm: VmId, now: float) -> bool:
        return self._dead_until.get(vm, NEVER) > now

    def _is_bound_to_alive(self, vm: VmId, now: float) -> bool:
        return self._alive.get(vm, ("", NEVER))[1] > now


class Promises:
    """The promises that this VM gives and those that it holds."""

    def __init__(self, vm: VmId, incarnation: str, now: float) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.given = GivenPromises(vm, now)
        self.view = View(0, 0, (), 0)
        self.own_standby = GivenStandby(PROMISE_DURATION_S)
        self.standby = HeldStandby()
        self.released = False
        # Start of the unbroken time for which this VM has held ALIVE from a majority.
        self.alive_since = now
        # Members of earlier views who may still act on promises of that view.
        self.former: set[VmId] = set()
        # Whether this VM was a member of the last settled view and followed each change since.
        self.has_seen_all_changes = False
        self.settled_since: float | None = None
        self._sequence = 0
        self._sent: dict[VmId, dict[int, float]] = {}
        self._alive: dict[VmId, float] = {}
        self._contact_until: dict[VmId, float] = {}
        self._dead: dict[VmId, dict[VmId, float]] = {}
        self._dead_since: dict[VmId, float] = {}
        self._settled_by: set[VmId] = set()
        # Members that this VM saw join and whose standby it has not held yet.
        self._joined: set[VmId] = set()
        # Kept because it is asked for before each send and changes only with replies.
        self._alive_until: float | None = None

    def adopt_view(self, view: View, now: float) -> None:
        """Follow a change of the member list; held promises stay valid until they expire."""
        was_member = self.vm in self.view.vms
        follows = view.changes == self.view.changes + 1 and was_member
        if self.settled_since is not None:
            self.former = set()
            self.has_seen_all_changes = follows
        else:
            self.has_seen_all_changes = self.has_seen_all_changes and follows
        self.former |= set(self.view.vms)
        self.former -= set(view.vms)
        joined = set(view.vms) - set(self.view.vms)
        self._joined = (self._joined | joined) if self.has_seen_all_changes else set()
        self.view = view
        self.settled_since = None
        self._settled_by = set()
        self._alive_until = None
        self.given.adopt_view(view, now)

    def copy_contact(self, earlier: "Promises") -> None:
        """Take over which members answered an earlier incarnation of this run, until it expires.

        Contact gives no right to act; it only shows that a forwarder is not cut off.
        """
        self._contact_until = dict(earlier._contact_until)

    def release(self) -> None:
        """Give up all held ALIVE promises for good, because this VM leaves."""
        self.released = True
        self._alive.clear()

    def record_sent_heartbeat(self, peer: VmId, now: float) -> int:
        """Record that a heartbeat is sent to a peer; return its sequence number."""
        self._sequence += 1
        sent = self._sent.setdefault(peer, {})
        sent[self._sequence] = now
        while len(sent) > MAX_UNANSWERED_HEARTBEATS:
            del sent[next(iter(sent))]
        return self._sequence

    def record_reply(self, reply: HeartbeatReply, now: float) -> bool:
        """Count the promises of a reply; return False if it answers no heartbeat of this run."""
        if reply.asker_incarnation != self.incarnation:
            return False
        sent_at = self._sent.get(reply.vm, {}).pop(reply.sequence, None)
        if sent_at is None:
            return False
        until = sent_at + PROMISE_DURATION_S - CLOCK_MARGIN_S
        self._record_standby(reply, until, now)
        if reply.view != self.view.digest or reply.vm not in self.view.vms:
            return True
        self._contact_until[reply.vm] = max(until, self._contact_until.get(reply.vm, NEVER))
        self._record_settled(reply, now)
        if reply.alive and not self.released:
            self._record_alive(reply.vm, until, now)
        for subject in reply.dead:
            self._record_dead(subject, reply.vm, until, now)
        return True

    def tick(self, now: float) -> None:
        """Renew own DEAD promises and notice what time alone has changed."""
        for subject in self.given.renew_dead_promises(now):
            self._record_dead(subject, self.vm, self.given.find_dead_until(subject), now)
        self._check_settled(now)
        self._check_ready(now)

    def answer_standby(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take what a heartbeat says about standby; return whether the reply promises it."""
        self.standby.record_announcement(heartbeat.vm, heartbeat.standby, self._sequence)
        if not heartbeat.standby:
            self._joined.discard(heartbeat.vm)
        # A VM in standby cannot act in place of this one, so it needs no promise.
        return not heartbeat.standby and self.own_standby.give_promise(heartbeat.vm, now)

    def has_majority(self, now: float) -> bool:
        """Whether this VM holds ALIVE from a majority of the members, itself included."""
        return self.find_alive_until(now) > now

    def has_contact(self, now: float) -> bool:
        """Whether a majority of the members answered lately, for a VM without a seat."""
        if not self.view.vms:
            return False
        return self._find_majority_until(self._contact_until) > now

    def find_alive_until(self, now: float) -> float:
        """Return until when ALIVE from a majority is held; in the past if it is not held."""
        if self.released or not self.given.can_give(now):
            return NEVER
        if self._alive_until is None:
            self._alive_until = self._find_majority_until(self._alive)
        return self._alive_until

    def holds_dead(self, vm: VmId, now: float) -> bool:
        """Whether DEAD about a VM is held from a majority of the members."""
        return self._find_dead_until(vm) > now

    def find_dead_since(self, vm: VmId) -> float:
        """Return the start of the unbroken time for which DEAD about a VM has been held."""
        return self._dead_since.get(vm, float("inf"))

    def is_settled(self, now: float) -> bool:
        """Whether no VM can hold promises of a majority under an earlier view."""
        self._check_settled(now)
        return self.settled_since is not None

    def _check_ready(self, now: float) -> None:
        if self.own_standby.is_ended or self.vm not in self.view.vms:
            return
        if self.has_majority(now) and self.is_settled(now):
            self.own_standby.withdraw(self._sequence, now)

    def _record_standby(self, reply: HeartbeatReply, until: float, now: float) -> None:
        self.own_standby.record_acknowledgement(reply.vm, reply.sequence, now)
        if reply.standby:
            find_since = partial(self._find_work_since, reply.vm, now)
            self.standby.record_promise(reply.vm, reply.sequence, until, now, find_since)

    def _find_work_since(self, vm: VmId, now: float) -> float:
        """Return when earlier work of a VM that is now in standby may have ended its sends."""
        if self.holds_dead(vm, now):
            return self.find_dead_since(vm)
        if vm in self._joined or vm not in (*self.view.vms, *self.former):
            self._joined.discard(vm)
            return NEVER
        return now

    def _record_settled(self, reply: HeartbeatReply, now: float) -> None:
        if reply.settled:
            self._settled_by.add(reply.vm)
        elif reply.vm in self._settled_by:
            # The member was restarted or came back from an older list.
            self._settled_by.discard(reply.vm)
            if self.settled_since is not None and not self._has_settled_majority(now):
                self.settled_since = None
                self.has_seen_all_changes = False
        self._check_settled(now)

    def _has_settled_majority(self, now: float) -> bool:
        own = self.vm in self.view.vms and now >= self.given.settled_at
        return len(self._settled_by) + own >= self.view.majority

    def _check_settled(self, now: float) -> None:
        if self.settled_since is None and self._has_settled_majority(now):
            self.settled_since = now

    def _record_alive(self, peer: VmId, until: float, now: float) -> None:
        had = self.has_majority(now)
        self._alive[peer] = max(until, self._alive.get(peer, NEVER))
        self._alive_until = None
        if not had and self.has_majority(now):
            self.alive_since = now

    def _record_dead(self, subject: VmId, peer: VmId, until: float, now: float) -> None:
        had = self.holds_dead(subject, now)
        held = self._dead.setdefault(subject, {})
        held[peer] = max(until, held.get(peer, NEVER))
        if not had and self.holds_dead(subject, now):
            self._dead_since[subject] = now

    def _find_majority_until(self, held: dict[VmId, float]) -> float:
        own = self.vm in self.view.vms
        missing = self.view.majority - own
        if missing == 0:
            return float("inf")
        untils = sorted(
            (held.get(vm, NEVER) for vm in self.view.vms if vm != self.vm), reverse=True
        )
        return untils[missing - 1] if missing <= len(untils) else NEVER

    def _find_dead_until(self, subject: VmId) -> float:
        held = self._dead.get(subject)
        if not held:
            return NEVER
        untils = sorted((held.get(vm, NEVER) for vm in self.view.vms), reverse=True)
        missing = self.view.majority
        return untils[missing - 1] if missing <= len(untils) else NEVER
