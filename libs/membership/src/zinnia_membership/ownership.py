"""Decides whether this VM may send to a replica and which VM owns it."""

from collections.abc import Iterable

from zinnia_membership.promises import MEMBER_SILENCE_TIMEOUT_S, Promises
from zinnia_membership.rendezvous import RankCache
from zinnia_model.ids import ReplicaId, VmId
from zinnia_model.ownership import OwnershipState

# Work that the previous owner sent may still run on a backend server for this long.
TAKEOVER_WAIT_S = 1.0
# Degraded mode begins once majority and platform have both been unavailable for this long.
DEGRADED_MODE_DELAY_S = 10.0
# A handover older than this at the time of the take-over belongs to an earlier owner change.
HANDOVER_TTL_S = 3.0
NEVER = float("-inf")


class Ownership:
    """Derives the ownership of replicas from liveness promises and the ranking of the members."""

    def __init__(self, promises: Promises, takeover_wait_s: float = TAKEOVER_WAIT_S) -> None:
        self._promises = promises
        self._takeover_wait_s = takeover_wait_s
        self._ranks = RankCache()
        self._ranks_with_former = RankCache()
        self._handed_over_at: dict[ReplicaId, float] = {}
        self._last_majority_at: float | None = None
        self._platform_lost_at: float | None = None

    def ownership_state(self, replica: ReplicaId, now: float) -> OwnershipState:
        """Return whether this VM may send to a replica now and, if not, why."""
        promises = self._promises
        if promises.released or promises.vm not in promises.view.vms:
            return OwnershipState.NOT_OWNER
        if not promises.has_majority(now):
            if self.is_degraded(now) and self.owner(replica, now) == promises.vm:
                return OwnershipState.DEGRADED
            return OwnershipState.NO_MAJORITY
        since = self._find_vacant_since(replica, now)
        if since is None:
            return OwnershipState.NOT_OWNER
        if not promises.own_standby.is_fully_withdrawn(now):
            return (
                OwnershipState.WAITING
                if promises.own_standby.is_withdrawn
                else OwnershipState.NOT_OWNER
            )
        since = max(since, promises.alive_since, promises.own_standby.fully_withdrawn_at)
        if self._may_former_member_act(replica, now):
            if not promises.is_settled(now):
                return OwnershipState.WAITING
            since = max(since, promises.settled_since or now)
        if now >= since + self._takeover_wait_s or self._was_handed_over(replica, since):
            return OwnershipState.OWNER
        return OwnershipState.WAITING

    def owner(self, replica: ReplicaId, now: float) -> VmId | None:
        """Return the VM to forward to, or None if no member is available.

        It is the highest-ranked available member that is not in standby, or the highest-ranked
        available member if all of them are in standby.
        """
        in_standby = None
        for vm in self._rank(replica):
            if self._is_unavailable(vm, now):
                continue
            if not self._is_in_standby(vm):
                return vm
            in_standby = in_standby or vm
        return in_standby

    def accept_handover(self, replicas: Iterable[ReplicaId], now: float) -> None:
        """Record that the previous owner has stopped sending to these replicas."""
        for replica in replicas:
            self._handed_over_at[replica] = now

    def list_successors(self, replicas: Iterable[ReplicaId]) -> dict[ReplicaId, VmId]:
        """Return the highest-ranked other member for each replica, whether available or not.

        This VM hands the replicas over to these members when it leaves.
        """
        successors = {}
        for replica in replicas:
            others = [vm for vm in self._rank(replica) if vm != self._promises.vm]
            if others:
                successors[replica] = others[0]
        return successors

    def record_platform_state(self, reachable: bool, now: float) -> None:
        """Record whether the platform answers; degraded mode requires an outage."""
        if reachable:
            self._platform_lost_at = None
        elif self._platform_lost_at is None:
            self._platform_lost_at = now

    def tick(self, now: float) -> None:
        """Record the last time with a majority and drop expired handovers."""
        if self._promises.has_majority(now):
            self._last_majority_at = now
        self._handed_over_at = {
            replica: at
            for replica, at in self._handed_over_at.items()
            if now - at <= HANDOVER_TTL_S + self._takeover_wait_s
        }

    def _find_vacant_since(self, replica: ReplicaId, now: float) -> float | None:
        """Return since when no higher-ranked member can act as owner, None if one can now."""
        promises = self._promises
        since = NEVER
        for vm in self._rank(replica):
            if vm == promises.vm:
                break
            if promises.standby.holds(vm, now):
                since = max(since, promises.standby.find_wait_start(vm))
            elif not promises.holds_dead(vm, now):
                return None
            elif not self._left_without_work(vm):
                since = max(since, promises.find_dead_since(vm))
        return since

    def _rank(self, replica: ReplicaId) -> tuple[VmId, ...]:
        return self._ranks.rank(replica, self._promises.view.vms)

    def _may_former_member_act(self, replica: ReplicaId, now: float) -> bool:
        """Whether a higher-ranked member of an earlier view may act until this view is settled."""
        promises = self._promises
        if not promises.has_seen_all_changes:
            return True
        if not promises.former:
            return False
        ranked = self._ranks_with_former.rank(replica, (*promises.view.vms, *promises.former))
        return any(
            vm in promises.former and not promises.holds_dead(vm, now)
            for vm in ranked[: ranked.index(promises.vm)]
        )

    def _left_without_work(self, vm: VmId) -> bool:
        released_at = self._promises.given.find_released_at(vm)
        return abs(self._promises.find_dead_since(vm) - released_at) <= HANDOVER_TTL_S

    def _was_handed_over(self, replica: ReplicaId, since: float) -> bool:
        at = self._handed_over_at.get(replica)
        if at is None:
            return False
        # If this VM had no majority when the handover came, another VM may have acted since.
        if at < self._promises.own_standby.handovers_valid_from:
            return False
        return at >= self._promises.alive_since and since - at <= HANDOVER_TTL_S

    def _is_in_standby(self, vm: VmId) -> bool:
        if vm == self._promises.vm:
            return not self._promises.own_standby.is_withdrawn
        return self._promises.standby.is_announced(vm)

    def _is_unavailable(self, vm: VmId, now: float) -> bool:
        if vm == self._promises.vm:
            return self._promises.released
        if self._promises.holds_dead(vm, now):
            return True
        if self._promises.has_majority(now) or self._promises.has_contact(now):
            return False
        return now - self._promises.given.find_last_heartbeat_at(vm) > MEMBER_SILENCE_TIMEOUT_S

    def is_degraded(self, now: float) -> bool:
        """Return whether majority and platform have both been lost for the degraded mode delay."""
        if self._promises.has_majority(now):
            return False
        majority_at = self._last_majority_at
        if majority_at is None or self._platform_lost_at is None:
            return False
        return now - max(majority_at, self._platform_lost_at) >= DEGRADED_MODE_DELAY_S
