"""Limits of requests, and the state that all requests of one VM share."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from zinnia_model.errors import RefusedError
from zinnia_model.ids import Fingerprint, ReplicaId, ServiceId, VmId
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import BatchSender
from zinnia_model.traces import RequestTrace
from zinnia_routing.admission import AdmissionLimit
from zinnia_routing.budget import RetryBudget
from zinnia_routing.choice import ReplicaChoice
from zinnia_routing.counters import Counters
from zinnia_routing.latency import LatencyEstimate
from zinnia_routing.plan import Planner
from zinnia_routing.topology import Topology

SEAL_MARGIN_S = 0.005  # answers are sealed this long before the deadline
RETRY_MARGIN_S = 0.005  # no retry is sent with less time left
TARGET_LOOKUP_PAUSE_S = 0.02  # between two lookups of a replica with an owner
# The pause grows with each refusal of an owner, since a change of owner may take seconds.
LONGEST_TARGET_LOOKUP_PAUSE_S = 0.1
TARGET_WAIT_S = 0.25  # a shard without a usable replica for this long is given up
SHARD_MAP_WAIT_S = 0.1  # wait for a newer shard map after snapshot_gone
SHARD_MAP_POLL_S = 0.01
MAX_REPLANS = 2
# A crash report reaches the other VMs within this time. A retry that crashes a server after this
# pause is then counted everywhere as the second crash of the request.
CRASH_REPORT_WAIT_S = 0.25

# Failures before the sub-request reached its replica, which may be tried again through a new owner.
OWNER_FAILURES = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.NO_MAJORITY,
        Reason.OWNER_WAITING,
        Reason.OWNER_UNREACHABLE,
        Reason.SHUTTING_DOWN,
    }
)
# Failures caused by outdated information of the planner. A retry elsewhere puts no extra load on a
# backend server, so it costs no token; otherwise a lost owner would exhaust the budget at once.
UNCHARGED_REASONS = OWNER_FAILURES | {
    Reason.DRAINING,
    Reason.DATA_CENTRE_OUT,
    Reason.VERSION_OUT,
    Reason.COLD,
}
# A shard given up for one of these reasons counts as a missed deadline for the admission limit.
OVERLOAD_REASONS = frozenset(
    {Reason.DEADLINE, Reason.QUEUE_FULL, Reason.BACKEND_OVERLOADED, Reason.RETRY_BUDGET_EMPTY}
)


@dataclass(frozen=True, slots=True)
class Switches:
    """Features that measurements can switch off."""

    hedging: bool = True
    load_aware: bool = True
    admission: bool = True
    budget: bool = True


@dataclass(slots=True)
class ExecutionContext:
    """State and collaborators shared by all requests of this VM.

    ``outstanding`` holds the number of unanswered sub-requests by replica.
    """

    topology: Topology
    sender_for: Callable[[VmId], BatchSender]
    counters: Counters
    find_crash_refusal: Callable[[Fingerprint], Reason | None]
    is_suspect: Callable[[Fingerprint], bool]
    switches: Switches
    choice: ReplicaChoice
    planner: Planner
    outstanding: dict[ReplicaId, int]
    budget: RetryBudget
    latencies: defaultdict[ServiceId, LatencyEstimate] = field(
        default_factory=lambda: defaultdict(LatencyEstimate)
    )
    admission_limits: defaultdict[ServiceId, AdmissionLimit] = field(
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
        """Count and trace a refusal, and return the error to raise."""
        self.counters.count_refusal(reason)
        if trace is not None:
            trace.add(now, "refused", f"{reason.value} {outcome.value}")
        return RefusedError(reason, outcome, message)

    def record_sent(self, replica: ReplicaId) -> None:
        """Count a sub-request as outstanding and tell the replica choice."""
        self.outstanding[replica] = self.outstanding.get(replica, 0) + 1
        self.choice.record_sent(replica)

    def record_settled(self, replica: ReplicaId) -> None:
        """Remove a settled or cancelled sub-request from the outstanding ones."""
        left = self.outstanding[replica] - 1
        if left:
            self.outstanding[replica] = left
        else:
            del self.outstanding[replica]

    def charge_retry(self, reason: Reason) -> bool:
        """Return whether a retry may be sent; take a token from the budget if one is due."""
        return reason in UNCHARGED_REASONS or self.budget.take_token(reason)

    def has_free_slot(self, replica: ReplicaId) -> bool:
        """Return whether a replica can run a hedge without queueing.

        A cold replica below its limit is allowed, because it is less slow than a straggler.
        Otherwise a shard with a single warm replica could not be hedged at all.
        """
        view = self.topology.view(replica)
        if view is None or view.queue_length > 0:
            return False
        if view.cold and view.in_flight >= view.limit:
            return False
        return self.outstanding.get(replica, 0) < view.limit
