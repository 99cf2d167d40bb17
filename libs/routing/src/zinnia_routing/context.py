"""What all requests of one VM share while they run."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from zinnia_model.errors import RefusedError
from zinnia_model.ids import Fingerprint, ReplicaId, ServiceId, VmId
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import BatchSender
from zinnia_model.traces import RequestTrace
from zinnia_routing.admission import AdmissionLimit
from zinnia_routing.budget import ExtraBudget
from zinnia_routing.choice import ReplicaChoice
from zinnia_routing.counters import Counters
from zinnia_routing.latency import LatencyEstimate
from zinnia_routing.plan import Planner
from zinnia_routing.topology import Topology

SEAL_MARGIN_S = 0.005  # answers leave this long before the deadline
RETRY_MARGIN_S = 0.005  # no retry is sent closer to the deadline
REROUTE_PAUSE_S = 0.02  # until the new owner of a replica is looked up again
LONGEST_REROUTE_PAUSE_S = 0.1  # a change of owner may take seconds; the pause grows up to this
PATIENCE_S = 0.25  # for a shard without a usable replica, before it is given up
MAP_WAIT_S = 0.1  # for a newer shard map after snapshot_gone
MAP_POLL_S = 0.01
MAX_REPLANS = 2
# The crash fact reaches the other VMs within this time; a crash of a retry is then the second one.
SUSPECT_PAUSE_S = 0.25

# The sub-request never reached the replica, which may be asked again through its new owner.
OWNER_REASONS = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.NO_MAJORITY,
        Reason.OWNER_WAITING,
        Reason.OWNER_UNREACHABLE,
        Reason.SHUTTING_DOWN,
    }
)
# The planner's information was out of date. Sending elsewhere puts no extra load on a backend
# server, so it does not draw on the budget; a lost owner would otherwise exhaust it at once.
UNCHARGED_REASONS = OWNER_REASONS | {
    Reason.DRAINING,
    Reason.DATA_CENTRE_OUT,
    Reason.VERSION_OUT,
    Reason.COLD,
}
# A shard lost for one of these counts as a missed deadline for the admission limit.
OVERLOAD_REASONS = frozenset(
    {Reason.DEADLINE, Reason.QUEUE_FULL, Reason.BACKEND_OVERLOADED, Reason.RETRY_BUDGET_EMPTY}
)


@dataclass(frozen=True, slots=True)
class Switches:
    """Decisions that measurements can switch off."""

    hedging: bool = True
    load_aware: bool = True
    admission: bool = True
    budget: bool = True


@dataclass(slots=True)
class Context:
    """State and collaborators shared by all requests of this VM."""

    topology: Topology
    sender_for: Callable[[VmId], BatchSender]
    counters: Counters
    refuse_check: Callable[[Fingerprint], Reason | None]
    is_suspect: Callable[[Fingerprint], bool]
    switches: Switches
    choice: ReplicaChoice
    planner: Planner
    outstanding: dict[ReplicaId, int]
    budget: ExtraBudget
    latencies: defaultdict[ServiceId, LatencyEstimate] = field(
        default_factory=lambda: defaultdict(LatencyEstimate)
    )
    admissions: defaultdict[ServiceId, AdmissionLimit] = field(
        default_factory=lambda: defaultdict(AdmissionLimit)
    )

    def refuse(
        self,
        reason: Reason,
        outcome: Outcome,
        message: str,
        now: float,
        trace: RequestTrace | None,
    ) -> RefusedError:
        """Count a refusal, put it in the trace and return its error."""
        self.counters.count_refusal(reason)
        if trace is not None:
            trace.add(now, "refused", f"{reason.value} {outcome.value}")
        return RefusedError(reason, outcome, message)

    def note_sent(self, replica: ReplicaId) -> None:
        """Count a sub-request as outstanding."""
        self.outstanding[replica] = self.outstanding.get(replica, 0) + 1
        self.choice.note_sent(replica)

    def note_settled(self, replica: ReplicaId) -> None:
        """Count a sub-request as settled or cancelled."""
        left = self.outstanding[replica] - 1
        if left:
            self.outstanding[replica] = left
        else:
            del self.outstanding[replica]

    def charge_retry(self, reason: Reason) -> bool:
        """Pay for another send after a failure; return whether it may be sent."""
        return reason in UNCHARGED_REASONS or self.budget.take(reason)

    def has_free_slot(self, replica: ReplicaId) -> bool:
        """Whether a replica can run a hedge at once.

        A cold replica within its limit can: it is slower than a warm one, but not by as much as a
        straggler. Without it, a shard with one warm replica could not be hedged at all.
        """
        view = self.topology.view(replica)
        if view is None or view.queue_length > 0:
            return False
        if view.cold and view.in_flight >= view.limit:
            return False
        return self.outstanding.get(replica, 0) < view.limit
