"""A pure model of one replica of a backend server with switches for its faults."""

import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from pydantic import BaseModel, ConfigDict

from zinnia_standins.deployment import ReplicaSpec


class BackendFaults(BaseModel):
    """Switches; unknown names are errors.

    Attributes
    ----------
    draining : bool
        Refuse new work; work in progress finishes.
    health_lag_s : float
        Age of what the health and load endpoints tell, in seconds.
    lie : bool
        The health and load endpoints and the temperature header always tell of a warm, idle server.
    fault_fraction, slow_factor : float
        Part of the runs that fail with 500, and factor on the service time. Both hold only on
        ``bad_routes`` if given, ``after_s`` seconds after the switch, and while more than
        ``above_in_flight`` requests are in progress.
    crash_marker : str
        A request whose body contains it crashes the server when it runs.
    straggler_fraction, straggler_factor : float
        Part of the runs that take longer by the factor.
    mismatch_fraction : float
        Part of the answers that name another attempt.
    """

    model_config = ConfigDict(extra="forbid")

    draining: bool = False
    health_lag_s: float = 0.0
    lie: bool = False
    fault_fraction: float = 0.0
    slow_factor: float = 1.0
    bad_routes: tuple[str, ...] = ()
    after_s: float = 0.0
    above_in_flight: int = 0
    crash_marker: str = ""
    straggler_fraction: float = 0.0
    straggler_factor: float = 20.0
    mismatch_fraction: float = 0.0


class Refusal(Enum):
    """Refusals that mean "not run", by their ``x-refusal`` header."""

    OVERLOADED = "overloaded"
    DRAINING = "draining"
    COLD = "cold"
    SNAPSHOT_GONE = "snapshot_gone"
    DEADLINE = "deadline"


class JobState(Enum):
    """Where a request stands in the server."""

    QUEUED = "queued"
    RUNNING = "running"
    REFUSED = "refused"
    CRASHED = "crashed"


@dataclass(slots=True)
class Job:
    """One request; the last four fields are set by the model when the request starts to run."""

    request_id: str
    shard: str
    snapshot: str
    route: str
    key: str
    body: bytes
    deadline_at: float
    state: JobState = JobState.QUEUED
    refusal: Refusal | None = None
    service_s: float = 0.0
    run: int = 0
    fault: bool = False
    mismatch: bool = False


@dataclass(slots=True)
class BackendCounts:
    """What tests read to prove promises; kept over crashes of the replica.

    ``last_request_at`` and ``last_run_at`` are times of the runtime's clock in seconds.
    """

    max_in_progress_cold: int = 0
    max_in_progress: int = 0
    runs: int = 0
    runs_by_key: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    crashes: int = 0
    cancelled: int = 0
    last_request_at: float = -math.inf
    last_run_at: float = -math.inf


class BackendCore:
    """One replica: slots, a short queue, cold start, faults and counters.

    The caller serves connections and time: it calls `arrive`, sleeps ``service_s`` of a job that
    runs, then calls `finish`, and `cancel` when the client has closed. Jobs that a call starts or
    refuses are returned so that the caller can wake them. When ``crashed`` is set, the caller
    closes all connections and calls `restart` after ``restart_ms``.
    """

    def __init__(self, spec: ReplicaSpec, now: float) -> None:
        self.spec = spec
        self.faults = BackendFaults()
        self.counts = BackendCounts()
        self.crashed = False
        self.snapshots = spec.snapshots
        self.shards = spec.shards
        self._random = random.Random(f"{spec.id}:{spec.seed}")
        self._starts = count(1)
        self._faults_since = now
        self._running: list[Job] = []
        self._queue: deque[Job] = deque()
        self._reports: deque[tuple[float, dict, dict]] = deque()
        self._start(now, cold=spec.cold.at_start)

    def set_faults(self, switches: dict, now: float) -> None:
        """Change the named switches; ``crash``, ``turn_cold``, ``snapshots`` and ``shards`` act."""
        switches = dict(switches)
        self.snapshots = tuple(switches.pop("snapshots", self.snapshots))
        self.shards = tuple(switches.pop("shards", self.shards))
        turn_cold, crash = switches.pop("turn_cold", False), switches.pop("crash", False)
        self.faults = BackendFaults.model_validate(self.faults.model_dump() | switches)
        self._faults_since = now
        if turn_cold:
            self._turn_cold(now)
        if crash:
            self._crash()

    def restart(self, now: float) -> None:
        """Start again after a crash, cold and with a new start id."""
        self._start(now, cold=True)

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is in cold start."""
        return self._cold_answers_left > 0 and now < self._cold_until

    def arrive(self, job: Job, now: float) -> None:
        """Run, queue or refuse a request; sets its state."""
        self.counts.last_request_at = now
        if self.faults.health_lag_s > 0:
            self._report(now)
        refusal = self._find_refusal(job, now)
        if refusal is not None:
            self._refuse(job, refusal)
            return
        cold = self.is_cold(now)
        in_progress = len(self._running) + len(self._queue) + 1
        self.counts.max_in_progress = max(self.counts.max_in_progress, in_progress)
        if cold:
            self.counts.max_in_progress_cold = max(self.counts.max_in_progress_cold, in_progress)
        if cold and in_progress > self.spec.cold.concurrency:
            job.state = JobState.CRASHED
            self._crash()
            return
        self._queue.append(job)
        self._start_queued(now)

    def finish(self, job: Job, now: float) -> list[Job]:
        """End a run; return the queued jobs that were started or refused by it."""
        if job not in self._running:
            return []
        self._running.remove(job)
        self._cold_answers_left -= 1
        return self._start_queued(now)

    def cancel(self, job: Job, now: float) -> list[Job]:
        """Drop a request whose client has closed; return as `finish` does."""
        self.counts.cancelled += 1
        if job in self._queue:
            self._queue.remove(job)
            return []
        if job in self._running:
            self._running.remove(job)
        return self._start_queued(now)

    def describe_health(self, now: float) -> dict:
        """Return the health answer, as old as the lag says."""
        return self._report(now)[1]

    def describe_load(self, now: float) -> dict:
        """Return the load answer, as old as the lag says."""
        return self._report(now)[2]

    def describe_temperature(self, now: float) -> str:
        """Return the temperature header, which lies if told to."""
        return "cold" if self.is_cold(now) and not self.faults.lie else "warm"

    def describe_counts(self, now: float) -> dict:
        """Return the counters as JSON; times are ages in seconds, None if there was none."""
        counts = self.counts
        return {
            "start_id": self.start_id,
            "cold": self.is_cold(now),
            "in_progress": len(self._running) + len(self._queue),
            "max_in_progress_cold": counts.max_in_progress_cold,
            "max_in_progress": counts.max_in_progress,
            "runs": counts.runs,
            "runs_by_key": dict(counts.runs_by_key),
            "refusals": dict(counts.refusals),
            "crashes": counts.crashes,
            "cancelled": counts.cancelled,
            "last_request_age_s": _age(counts.last_request_at, now),
            "last_run_age_s": _age(counts.last_run_at, now),
        }

    def _start(self, now: float, cold: bool) -> None:
        self.start_id = f"{self.spec.id}-{self.spec.seed}-{next(self._starts)}"
        self.crashed = False
        self._cold_answers_left, self._cold_until = 0, now
        if cold:
            self._turn_cold(now)

    def _turn_cold(self, now: float) -> None:
        self._cold_answers_left = self.spec.cold.answers
        self._cold_until = now + self.spec.cold.seconds

    def _find_refusal(self, job: Job, now: float) -> Refusal | None:
        in_progress = len(self._running) + len(self._queue)
        if self.faults.draining:
            return Refusal.DRAINING
        if job.snapshot not in self.snapshots or job.shard not in self.shards:
            return Refusal.SNAPSHOT_GONE
        if now >= job.deadline_at:
            return Refusal.DEADLINE
        cold = self.spec.cold
        if cold.sheds and self.is_cold(now) and in_progress >= cold.concurrency:
            return Refusal.COLD
        if in_progress >= self.spec.slots + self.spec.queue and not self.is_cold(now):
            return Refusal.OVERLOADED
        return None

    def _refuse(self, job: Job, refusal: Refusal) -> None:
        job.state, job.refusal = JobState.REFUSED, refusal
        self.counts.refusals[refusal.value] += 1

    def _start_queued(self, now: float) -> list[Job]:
        settled = []
        slots = self.spec.slots
        if self.is_cold(now):
            slots = min(slots, self.spec.cold.concurrency)
        while self._queue and len(self._running) < slots and not self.crashed:
            job = self._queue.popleft()
            settled.append(job)
            if now >= job.deadline_at:
                self._refuse(job, Refusal.DEADLINE)
            else:
                self._run(job, now)
        return settled

    def _run(self, job: Job, now: float) -> None:
        self.counts.runs += 1
        self.counts.last_run_at = now
        if job.key:
            self.counts.runs_by_key[job.key] += 1
        job.state, job.run = JobState.RUNNING, self.counts.runs
        self._running.append(job)
        marker = self.faults.crash_marker.encode()
        if marker and marker in job.body:
            self._crash()
            return
        bad = self._is_bad(job, now)
        job.fault = self._draw() < self.faults.fault_fraction and bad
        job.mismatch = self._draw() < self.faults.mismatch_fraction
        job.service_s = self._draw_service_time(bad, now)

    def _is_bad(self, job: Job, now: float) -> bool:
        faults = self.faults
        on_route = not faults.bad_routes or job.route in faults.bad_routes
        late_enough = now >= self._faults_since + faults.after_s
        return on_route and late_enough and len(self._running) > faults.above_in_flight

    def _draw_service_time(self, bad: bool, now: float) -> float:
        seconds = self.spec.median_ms / 1000 * self._random.lognormvariate(0.0, self.spec.sigma)
        if bad:
            seconds *= self.faults.slow_factor
        if self._draw() < self.faults.straggler_fraction:
            seconds *= self.faults.straggler_factor
        return seconds * self.spec.cold.slow_factor if self.is_cold(now) else seconds

    def _draw(self) -> float:
        return self._random.random()

    def _crash(self) -> None:
        self.counts.crashes += 1
        self.crashed = True
        for job in (*self._running, *self._queue):
            job.state = JobState.CRASHED
        self._running.clear()
        self._queue.clear()

    def _report(self, now: float) -> tuple[float, dict, dict]:
        """Record the present health and load; return the newest record older than the lag."""
        hidden = self.faults.lie
        health = {
            "status": "ok",
            "start_id": self.start_id,
            "version": self.spec.version,
            "draining": self.faults.draining and not hidden,
            "cold": self.is_cold(now) and not hidden,
            "running": [job.request_id for job in self._running],
        }
        running, queued = len(self._running), len(self._queue)
        load = {"in_flight": 0 if hidden else running, "queued": 0 if hidden else queued}
        self._reports.append((now, health, load))
        while len(self._reports) > 1 and self._reports[1][0] <= now - self.faults.health_lag_s:
            self._reports.popleft()
        return self._reports[0]


def _age(at: float, now: float) -> float | None:
    return None if at == -math.inf else now - at
