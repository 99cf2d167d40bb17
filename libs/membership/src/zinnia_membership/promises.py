"""Liveness promises between members; see docs/design.md section 2.1.

A promise is a vote of one member about another that is valid for a fixed time, like a lease: ALIVE
lets the subject act as owner, DEAD lets the next in rank replace it. A member gives at most one of
the two about a VM at a time. Any two majorities share a seat, so no VM can hold ALIVE from a
majority while another holds DEAD about it from a majority.
"""

from dataclasses import dataclass
from functools import partial

from zinnia_membership.member_list import View
from zinnia_membership.standby import GivenStandby, HeldStandby
from zinnia_model.ids import VmId
from zinnia_model.messages import Heartbeat, HeartbeatReply

PROMISE_DURATION_S = 1.5
# A member is promised DEAD after this time without a heartbeat.
MEMBER_SILENCE_TIMEOUT_S = 1.0
# Subtracted from the end of a received promise, because clocks run at different rates: a drift of
# 500 ppm, the limit of common clock discipline, is 0.75 ms in 1.5 s.
CLOCK_MARGIN_S = 0.005
# DEAD is renewed for this long after the removal of a member. Otherwise its successor would stop
# sending until the new list is settled and the take-over wait after that has passed.
REMOVED_MEMBER_RENEWAL_S = 4.0
# Older heartbeats need no record: promises that answer them would have expired already.
MAX_UNANSWERED_HEARTBEATS = 16
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class GrantedPromises:
    """The promises that a member gives in one reply."""

    alive: bool
    settled: bool
    dead: tuple[VmId, ...]


class GivenPromises:
    """The promises that this member gives about others, timed by its own clock."""

    def __init__(self, vm: VmId, now: float) -> None:
        self._vm = vm
        self._view = View(0, 0, (), 0)
        # Until then promises of an earlier run of this VM, or of its seat's last holder, are valid.
        self.can_give_from = now + PROMISE_DURATION_S
        self.settled_at = now + PROMISE_DURATION_S
        # The ALIVE promise about each VM: the incarnation that holds it and when it expires.
        self._alive: dict[VmId, tuple[str, float]] = {}
        self._dead_until: dict[VmId, float] = {}
        self._last_heartbeat_at: dict[VmId, float] = {}
        self._released: dict[VmId, tuple[str, float]] = {}
        self._removed_at: dict[VmId, float] = {}

    def adopt_view(self, view: View, now: float) -> None:
        """Adopt a changed view; promises given under earlier views stay valid until they expire."""
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
        """Process a heartbeat and return the promises to send in the reply."""
        self._record_heartbeat(heartbeat, now)
        alive = self._give_alive(heartbeat, now)
        return GrantedPromises(alive, now >= self.settled_at, self.renew_dead_promises(now))

    def renew_dead_promises(self, now: float) -> tuple[VmId, ...]:
        """Renew the DEAD promise about each silent member and return these members."""
        if not self.can_give(now):
            return ()
        subjects = (*self._view.vms, *self._list_removed(now))
        silent = tuple(vm for vm in subjects if vm != self._vm and self._is_silent(vm, now))
        for vm in silent:
            self._dead_until[vm] = now + PROMISE_DURATION_S
        return silent

    def can_give(self, now: float) -> bool:
        """Whether this VM has a seat and promises given before its start or join have expired."""
        return self._vm in self._view.vms and now >= self.can_give_from

    def find_dead_until(self, vm: VmId) -> float:
        """Return when the DEAD promise of this member about a VM expires."""
        return self._dead_until.get(vm, NEVER)

    def find_released_at(self, vm: VmId) -> float:
        """Return when the first leaving heartbeat of a VM's current incarnation arrived.

        It is ``NEVER`` if there was none or another incarnation has sent a heartbeat since.
        """
        return self._released.get(vm, ("", NEVER))[1]

    def find_last_heartbeat_at(self, vm: VmId) -> float:
        """Return when the last heartbeat of a VM arrived, or when it joined if that is later.

        It is ``NEVER`` once the VM has announced that it leaves.
        """
        return self._last_heartbeat_at.get(vm, NEVER)

    def _record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        vm = heartbeat.vm
        if heartbeat.leaving and not self._is_released(heartbeat):
            self._released[vm] = (heartbeat.incarnation, now)
        if not self._is_released(heartbeat):
            self._released.pop(vm, None)
            self._last_heartbeat_at[vm] = now
            return
        # The leaving incarnation has given up its ALIVE promise, so this member may promise DEAD
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
        # Two processes with the same VM id must not both get ALIVE from a majority.
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
    """The promises that this VM gives and those that it has received."""

    def __init__(self, vm: VmId, incarnation: str, now: float) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.given = GivenPromises(vm, now)
        self.view = View(0, 0, (), 0)
        self.own_standby = GivenStandby(PROMISE_DURATION_S)
        self.standby = HeldStandby()
        self.released = False
        # When this VM last began to hold ALIVE from a majority without interruption.
        self.alive_since = now
        # Members of earlier views that may still act as owners on promises from those views.
        self.former: set[VmId] = set()
        # Whether this VM was a member of the last settled view and adopted each view since.
        self.has_seen_all_changes = False
        self.settled_since: float | None = None
        self._sequence = 0
        self._sent: dict[VmId, dict[int, float]] = {}
        self._alive_until_by_peer: dict[VmId, float] = {}
        self._contact_until: dict[VmId, float] = {}
        self._dead_until_by_peer: dict[VmId, dict[VmId, float]] = {}
        self._dead_since: dict[VmId, float] = {}
        self._settled_by: set[VmId] = set()
        # Members whose join this VM has seen and whose standby promise it has not received yet.
        self._joined: set[VmId] = set()
        # Cached because it is needed before each send and changes only with replies and views.
        self._majority_alive_until: float | None = None

    def adopt_view(self, view: View, now: float) -> None:
        """Adopt a changed view; received promises stay valid until they expire."""
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
        self._majority_alive_until = None
        self.given.adopt_view(view, now)

    def copy_contact(self, earlier: "Promises") -> None:
        """Copy which members replied to the earlier incarnation, with the same expiry times.

        Contact gives no right to act as owner; it only shows that this VM can still forward.
        """
        self._contact_until = dict(earlier._contact_until)

    def release(self) -> None:
        """Give up all received ALIVE promises for this incarnation, because this VM leaves."""
        self.released = True
        self._alive_until_by_peer.clear()

    def record_sent_heartbeat(self, peer: VmId, now: float) -> int:
        """Record the send time of a heartbeat to a peer; return its sequence number."""
        self._sequence += 1
        sent = self._sent.setdefault(peer, {})
        sent[self._sequence] = now
        while len(sent) > MAX_UNANSWERED_HEARTBEATS:
            del sent[next(iter(sent))]
        return self._sequence

    def record_reply(self, reply: HeartbeatReply, now: float) -> bool:
        """Record the promises of a reply; return False if this run awaits no such reply."""
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
        """Renew the DEAD promises of this VM and update the state that depends on time alone."""
        for subject in self.given.renew_dead_promises(now):
            self._record_dead(subject, self.vm, self.given.find_dead_until(subject), now)
        self._check_settled(now)
        self._withdraw_standby_if_ready(now)

    def answer_standby(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record the standby state in a heartbeat; return whether the reply promises standby."""
        self.standby.record_announcement(heartbeat.vm, heartbeat.standby, self._sequence)
        if not heartbeat.standby:
            self._joined.discard(heartbeat.vm)
        # A VM in standby cannot act in place of this one, so it needs no promise.
        return not heartbeat.standby and self.own_standby.give_promise(heartbeat.vm, now)

    def has_majority(self, now: float) -> bool:
        """Whether this VM holds ALIVE from a majority of the members, itself included."""
        return self.find_alive_until(now) > now

    def has_contact(self, now: float) -> bool:
        """Whether a majority of the members replied within the duration of a promise."""
        if not self.view.vms:
            return False
        return self._find_majority_until(self._contact_until) > now

    def find_alive_until(self, now: float) -> float:
        """Return when ALIVE from a majority expires; a time in the past if none is held."""
        if self.released or not self.given.can_give(now):
            return NEVER
        if self._majority_alive_until is None:
            self._majority_alive_until = self._find_majority_until(self._alive_until_by_peer)
        return self._majority_alive_until

    def holds_dead(self, vm: VmId, now: float) -> bool:
        """Whether a majority of the members has promised DEAD about a VM."""
        return self._find_dead_until(vm) > now

    def find_dead_since(self, vm: VmId) -> float:
        """Return when a majority last began to promise DEAD about a VM, infinity if never."""
        return self._dead_since.get(vm, float("inf"))

    def is_settled(self, now: float) -> bool:
        """Whether a majority has let all its promises under earlier views expire."""
        self._check_settled(now)
        return self.settled_since is not None

    def _withdraw_standby_if_ready(self, now: float) -> None:
        if self.own_standby.is_withdrawn or self.vm not in self.view.vms:
            return
        if self.has_majority(now) and self.is_settled(now):
            self.own_standby.withdraw(self._sequence, now)

    def _record_standby(self, reply: HeartbeatReply, until: float, now: float) -> None:
        self.own_standby.record_acknowledgement(reply.vm, reply.sequence, now)
        if reply.standby:
            find_stopped_at = partial(self._find_stopped_at, reply.vm, now)
            self.standby.record_promise(reply.vm, reply.sequence, until, now, find_stopped_at)

    def _find_stopped_at(self, vm: VmId, now: float) -> float:
        """Return by when a VM that is now in standby had certainly stopped sending."""
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
            # The member restarted or adopted this view again after an older one.
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
        self._alive_until_by_peer[peer] = max(until, self._alive_until_by_peer.get(peer, NEVER))
        self._majority_alive_until = None
        if not had and self.has_majority(now):
            self.alive_since = now

    def _record_dead(self, subject: VmId, peer: VmId, until: float, now: float) -> None:
        had = self.holds_dead(subject, now)
        held = self._dead_until_by_peer.setdefault(subject, {})
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
        held = self._dead_until_by_peer.get(subject)
        if not held:
            return NEVER
        untils = sorted((held.get(vm, NEVER) for vm in self.view.vms), reverse=True)
        missing = self.view.majority
        return untils[missing - 1] if missing <= len(untils) else NEVER
