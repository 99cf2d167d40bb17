"""The replicas of all services, and the selection of a replica for a request."""

from collections.abc import Callable, Collection, Iterable
from random import Random

import trio

from zinnia_catalog.catalog import CatalogListener
from zinnia_catalog.ids import DataCentreId, ReplicaId, ServiceName, VersionId
from zinnia_catalog.observations import Observation
from zinnia_catalog.releases import ReleaseOrder
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import Configuration, ServiceLimits
from zinnia_sending.availability import Obstacle
from zinnia_sending.counters import NullCounters, SendCounters
from zinnia_sending.crashguard import CrashGuard
from zinnia_sending.events import EventSink
from zinnia_sending.health import Condition
from zinnia_sending.notices import NoticeRecorder
from zinnia_sending.rates import EqualRateShares, RateLimit, RateShares
from zinnia_sending.replica import Replica
from zinnia_sending.versions import VersionShares

# Fraction of the connection limit of a replica that the known VMs use together; the rest is for
# health checks and VMs that are not known yet.
USED_CONNECTION_FRACTION = 0.85
MIN_CONNECTIONS = 2
# Fraction of the warm-up rate that the known VMs use together; the margin that the bounds allow on
# top of the rate is not included.
USED_WARMUP_RATE_FRACTION = 0.7
# Slowness added to the score of a replica in another data centre: the replica there becomes the
# better choice when the local ones are slower by this relative latency.
OTHER_DATA_CENTRE_PENALTY = 1.0
# Random fraction of the score, so that VMs with the same data do not all choose the same replica.
SCORE_JITTER = 0.1
# Slowness added to the score of a replica that is warming up.
COLD_PENALTY = 0.6
# Warm-up time after the return of a data centre for services without configured limits.
DEFAULT_RETURN_WARMUP_S = 3.0
# Replicas with at least this slowness are reported to other VMs.
MIN_REPORTED_SLOWNESS = 2.5
# Lower bound of the acceptance rate of a replica in its score.
MIN_ACCEPTANCE_RATE = 0.05


class Fleet(CatalogListener):
    """Keeps the known replicas by service and selects one for each request.

    Parameters
    ----------
    data_centre : DataCentreId
        Data centre of this VM.
    count_vms : Callable[[], int]
        Returns the number of VMs that may be sending requests.
    events : EventSink
        Receives the changes of configuration, replicas and data centres.
    random : Random
        Source of the random part of the score.
    rate_shares : RateShares, optional
        This VM's shares of the limits that replicas name; equal shares if it is left out.
    versions : VersionShares, optional
        The version moves; none are known at first if it is left out.
    counters : SendCounters, optional
        Counts what replicas say about themselves.
    """

    def __init__(
        self,
        data_centre: DataCentreId,
        count_vms: Callable[[], int],
        events: EventSink,
        random: Random,
        rate_shares: RateShares | None = None,
        versions: VersionShares | None = None,
        counters: SendCounters | None = None,
    ) -> None:
        self.versions = versions or VersionShares(events)
        self._rate_shares = rate_shares or EqualRateShares(count_vms)
        self._data_centre = data_centre
        self._count_vms = count_vms
        self._events = events
        self._random = random
        self._replicas: dict[ReplicaId, Replica] = {}
        self._services: dict[ServiceName, list[Replica]] = {}
        self._limits: dict[ServiceName, ServiceLimits] = {}
        self._excluded_data_centres: set[DataCentreId] = set()
        counters = counters or NullCounters()
        self.notices = NoticeRecorder(self.get_replica, events, counters, random)
        self.crashes = CrashGuard(events, counters, self.list_versions)

    def adopt_configuration(self, configuration: Configuration) -> None:
        """Apply the limits of all services and adjust the connection limits of their replicas."""
        self._limits.update(configuration.services)
        self._events.note(
            "configuration_adopted",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )
        for service in configuration.services:
            for replica in self._services.get(service, ()):
                replica.pool.limit = self._compute_connection_limit(service)

    def update_replica(self, entry: ReplicaEntry) -> None:
        """Add a replica or update its entry; a new incarnation starts without recorded health."""
        now = trio.current_time()
        known = self._replicas.get(entry.id)
        if known is not None and _is_same_incarnation(known.entry, entry):
            if entry.is_draining and not known.entry.is_draining:
                self._events.note("replica_draining", replica=entry.id, service=entry.service)
                known.start_draining(now)
            known.entry = entry
            if known.availability.is_draining and not self._must_drain(entry):
                known.stop_draining(self._compute_connection_limit(entry.service))
            if entry.warmup_remaining_s > 0:
                known.availability.mark_cold(entry.warmup_remaining_s, now)
            return
        if known is not None:
            self._discard_replica(known)
        limit = self._compute_connection_limit(entry.service)
        replica = Replica(entry, limit, now, self.notices)
        if self.notices.has_left(entry):
            replica.start_draining(now)
        self._replicas[entry.id] = replica
        self._services.setdefault(entry.service, []).append(replica)
        self._events.note(
            "replica_added",
            replica=entry.id,
            service=entry.service,
            data_centre=entry.data_centre,
            version=entry.version,
            draining=entry.is_draining,
            warmup_s=entry.warmup_remaining_s,
        )

    def remove_replica(self, replica: ReplicaId, reason: str) -> None:
        """Remove a replica and close its idle connections."""
        known = self._replicas.get(replica)
        if known is not None:
            self._discard_replica(known)
            self._events.note(
                "replica_removed", replica=replica, service=known.entry.service, reason=reason
            )

    def hold_replica(self, replica: ReplicaId, hold_s: float) -> None:
        """Log that a replica without an entry stays in use for a time."""
        self._events.note("replica_held", replica=replica, hold_s=round(hold_s, 2))

    def change_data_centre(self, data_centre: DataCentreId, is_out: bool) -> None:
        """Exclude a data centre, or include it again and treat its replicas as cold."""
        now = trio.current_time()
        self._events.note("data_centre_changed", data_centre=data_centre, out=is_out)
        if is_out:
            self._excluded_data_centres.add(data_centre)
            return
        self._excluded_data_centres.discard(data_centre)
        for replica in self._replicas.values():
            if replica.entry.data_centre == data_centre:
                limits = self._limits.get(replica.entry.service)
                warmup_s = limits.warmup_s if limits else DEFAULT_RETURN_WARMUP_S
                replica.availability.mark_cold(warmup_s, now)

    def change_release(self, service: ServiceName, order: ReleaseOrder | None) -> None:
        """Apply a new, changed or withdrawn order for a version move."""
        self.versions.change_order(service, order, trio.current_time())

    def has_replica(self, service: ServiceName) -> bool:
        """Return whether any replica of a service is known."""
        return service in self._services

    def list_versions(self, service: ServiceName) -> set[VersionId]:
        """Return the versions of the known replicas of a service."""
        return {replica.entry.version for replica in self._services.get(service, ())}

    def get_replica(self, replica: ReplicaId) -> Replica | None:
        """Return a replica by its id, None if it is not known."""
        return self._replicas.get(replica)

    def find_obstacles(
        self, service: ServiceName, tried: Collection[ReplicaId], now: float
    ) -> dict[ReplicaId, str]:
        """Return the obstacle of each replica of a service that cannot get a request now."""
        excluded_version = self.versions.find_excluded_version(service)
        found = {}
        for replica in self._services.get(service, ()):
            obstacle = self._find_obstacle(replica, excluded_version, tried, now)
            if obstacle is not None:
                found[replica.id] = obstacle.value
        return found

    def find_next_time(self, service: ServiceName, now: float) -> float | None:
        """Return the earliest time at which a suspended or limited replica may get a request.

        None if there is no such replica of the service, or another one may get a request now.
        """
        if self.choose(service, (), now) is not None:
            return None
        replicas = self._services.get(service, ())
        times = [replica.availability.find_next_time(now) for replica in replicas]
        return min((time for time in times if time is not None), default=None)

    def estimate_slowness(self, service: ServiceName, now: float) -> float:
        """Return the relative latency of the next request to a service, 1.0 without a replica."""
        replica = self.choose(service, (), now)
        return 1.0 if replica is None else replica.health.get_slowness(now)

    def choose_data_centre(self, service: ServiceName, now: float) -> DataCentreId | None:
        """Return the data centre whose replicas should answer a shard, None without a replica.

        This VM's data centre comes first, then that of the replica with the lowest score. Busy
        replicas count, because VMs differ in what they may send; suspended ones come last.
        """
        excluded_version = self.versions.find_excluded_version(service)
        candidates = [
            replica
            for replica in self._services.get(service, ())
            if self._find_lasting_obstacle(replica, excluded_version) is None
        ]
        if not candidates:
            return None
        if any(replica.entry.data_centre == self._data_centre for replica in candidates):
            return self._data_centre
        best = min(candidates, key=lambda replica: self._rank(replica, now))
        return best.entry.data_centre

    def _find_obstacle(
        self,
        replica: Replica,
        excluded_version: VersionId | None,
        tried: Collection[ReplicaId],
        now: float,
    ) -> Obstacle | None:
        lasting = self._find_lasting_obstacle(replica, excluded_version)
        if lasting is not None:
            return lasting
        if replica.id in tried:
            return Obstacle.TRIED
        obstacle = replica.availability.find_obstacle(now, self._compute_warmup_rate(replica, now))
        if obstacle is not None:
            return obstacle
        return None if replica.pool.has_capacity else Obstacle.CONNECTIONS_BUSY

    def _find_lasting_obstacle(
        self, replica: Replica, excluded_version: VersionId | None
    ) -> Obstacle | None:
        """Return an obstacle that holds for requests of all VMs."""
        obstacle = replica.availability.find_lasting_obstacle()
        if obstacle is not None:
            return obstacle
        entry = replica.entry
        if entry.data_centre in self._excluded_data_centres:
            return Obstacle.DATA_CENTRE_OUT
        return Obstacle.VERSION_SHARE if entry.version == excluded_version else None

    def choose(
        self, service: ServiceName, tried: Collection[ReplicaId], now: float
    ) -> Replica | None:
        """Return the usable replica with the lowest score (expected latency), None without one.

        Replicas in ``tried`` are left out. A version that is due for its share comes first.
        """
        excluded_version = self.versions.find_excluded_version(service)
        usable = [
            replica
            for replica in self._services.get(service, ())
            if self._find_obstacle(replica, excluded_version, tried, now) is None
        ]
        if not usable:
            return None
        if len(usable) == 1:
            return usable[0]
        due_version = self.versions.find_due_version(service)
        due = [replica for replica in usable if replica.entry.version == due_version]
        return min(due or usable, key=lambda replica: self._score(replica, now))

    def choose_avoiding(
        self, service: ServiceName, versions: Collection[VersionId], now: float
    ) -> Replica | None:
        """Return a usable replica of another version than these, or else any usable one."""
        avoided = [
            replica.id
            for replica in self._services.get(service, ())
            if replica.entry.version in versions
        ]
        return self.choose(service, avoided, now) or self.choose(service, (), now)

    def record_send(self, replica: Replica, key: int, typical_latency_s: float, now: float) -> None:
        """Record a request that is about to be sent, with the typical latency of its route."""
        replica.availability.count_send(now, self._compute_warmup_rate(replica, now))
        replica.health.record_start(key, typical_latency_s, now)
        self.versions.count_send(replica.entry.service, replica.entry.version)

    def record_rate_limit(self, replica: Replica, limit_per_s: float | None) -> None:
        """Apply the limit in requests a second that an answer named, None if it named none."""
        now = trio.current_time()
        known = replica.availability.rate_limit
        if limit_per_s is None:
            replica.availability.rate_limit = None
        elif known is None:
            share = self._rate_shares.get_share(replica.entry, limit_per_s)
            replica.availability.rate_limit = RateLimit(limit_per_s, share, now, self._random)
        elif known.needs_share(limit_per_s, now):
            share = self._rate_shares.get_share(replica.entry, limit_per_s)
            known.change_share(limit_per_s, share, now)
        if (known is None) != (limit_per_s is None):
            self._events.note(
                "replica_limit_changed",
                replica=replica.id,
                service=replica.entry.service,
                limit_per_s=limit_per_s,
            )

    def list_observations(self, now: float) -> list[Observation]:
        """Return the replicas that this VM itself has observed to be slow or failing."""
        found = []
        for replica in self._replicas.values():
            slowness = replica.health.get_observed_slowness(now)
            if slowness >= MIN_REPORTED_SLOWNESS:
                found.append(Observation(replica.id, slowness, 0.0))
        return found

    def apply_observations(self, observations: Iterable[Observation], now: float) -> None:
        """Record the slowness that other VMs observed."""
        for observation in observations:
            replica = self._replicas.get(observation.replica)
            if replica is not None:
                replica.health.record_peer_report(observation.slowness, now - observation.age_s)

    def discard_expired(self, now: float) -> None:
        """Close connections whose idle timeout has passed."""
        for replica in self._replicas.values():
            replica.pool.discard_expired(now)

    def _rank(self, replica: Replica, now: float) -> tuple[bool, float]:
        """Return the sort key of a replica among those that may be busy or suspended."""
        is_suspended = replica.health.get_condition(now) is Condition.SUSPENDED
        return is_suspended, self._score(replica, now)

    def _score(self, replica: Replica, now: float) -> float:
        """Return the expected latency relative to the typical latency; the lowest score is best."""
        health = replica.health
        score = health.get_slowness(now)
        if health.outstanding:
            score *= 1.0 + health.outstanding / max(1, replica.entry.slots)
        rejection_rate = health.get_rejection_rate(now)
        if rejection_rate:
            score /= max(MIN_ACCEPTANCE_RATE, 1.0 - rejection_rate)
        if replica.availability.is_cold(now):
            score += COLD_PENALTY
        if health.get_condition(now) is Condition.TRIAL_DUE:
            score *= 2.0
        if replica.entry.data_centre != self._data_centre:
            score += OTHER_DATA_CENTRE_PENALTY
        return score * (1.0 + SCORE_JITTER * self._random.random())

    def _compute_connection_limit(self, service: ServiceName) -> int:
        limits = self._limits.get(service)
        if limits is None:
            return MIN_CONNECTIONS
        share = limits.max_connections * USED_CONNECTION_FRACTION / max(1, self._count_vms())
        return max(MIN_CONNECTIONS, int(share))

    def _compute_warmup_rate(self, replica: Replica, now: float) -> float:
        """Return this VM's share of the rate for a cold replica, 0 without a limit."""
        limits = self._limits.get(replica.entry.service)
        if limits is None or not replica.availability.is_cold(now):
            return 0.0
        share = USED_WARMUP_RATE_FRACTION / max(1, self._count_vms())
        return limits.warmup_rate_per_s * share

    def _must_drain(self, entry: ReplicaEntry) -> bool:
        """Return whether a replica has registered itself as draining, or said that it leaves."""
        return entry.is_draining or self.notices.has_left(entry)

    def _discard_replica(self, replica: Replica) -> None:
        replica.availability.is_gone = True
        replica.pool.close()
        del self._replicas[replica.id]
        replicas = self._services[replica.entry.service]
        replicas.remove(replica)
        if not replicas:
            del self._services[replica.entry.service]


def _is_same_incarnation(known: ReplicaEntry, entry: ReplicaEntry) -> bool:
    return (
        known.started_ms == entry.started_ms
        and known.service == entry.service
        and (known.host, known.port) == (entry.host, entry.port)
    )
