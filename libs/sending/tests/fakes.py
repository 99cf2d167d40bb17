from math import inf
from random import Random

import trio
import trio.testing

from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import (
    CallerLimits,
    Configuration,
    Repeatability,
    Route,
    ServiceLimits,
    WeightedService,
)
from zinnia_sending.answers import Exchange, ExchangeResult, ReplicaAnswer
from zinnia_sending.attempts import AttemptSender, RunRequest
from zinnia_sending.budgets import RetryBounds, RetryBudget
from zinnia_sending.delegation import Delegator
from zinnia_sending.events import NullSink
from zinnia_sending.fleet import Fleet
from zinnia_sending.health import FAILURES_TO_SUSPEND
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.runs import RequestRun


def run_trio(test, *args):
    """Run an asynchronous test on a mock clock that skips waits."""
    return trio.run(test, *args, clock=trio.testing.MockClock(autojump_threshold=0))


def make_entry(replica, service="s", data_centre="dc1", version="v1", slots=2, **fields):
    values = {"host": "127.0.0.1", "port": 1, "is_draining": False}
    values |= {"warmup_remaining_s": 0.0, "started_ms": 1}
    values.update(fields)
    return ReplicaEntry(
        id=replica, service=service, data_centre=data_centre, version=version, slots=slots, **values
    )


def make_route(services, max_attempts=2, ratio=0.89, idempotent=True, fanout=True):
    kind = Repeatability.IDEMPOTENT if idempotent else Repeatability.NON_IDEMPOTENT
    shards = tuple(services) if fanout else ()
    targets = () if fanout else tuple(WeightedService(name, 1.0) for name in services)
    return Route(
        "r", "h", "/", kind, 1.0, 0.1, 0, max_attempts, targets, shards, 10, ratio if fanout else 0
    )


def make_fleet(*entries, warmup_rate_per_s=0.0, vms=1, services=("s",), events=None):
    fleet = Fleet("dc1", lambda: vms, events or NullSink(), Random(1))
    limits = {name: ServiceLimits(name, 25, 3.0, warmup_rate_per_s) for name in services}
    fleet.adopt_configuration(Configuration(1, (), limits, CallerLimits()))
    for entry in entries:
        fleet.update_replica(entry)
    return fleet


def suspend_replica(health, now):
    """Record as many failures as suspend a replica."""
    for _ in range(FAILURES_TO_SUSPEND):
        health.record_failure(now)


def make_answered(body=b"x" * 16, status=200, signature=b"seal"):
    result = ExchangeResult.ANSWERED if status < 500 else ExchangeResult.FAILED
    return Exchange(result, 0.01, ReplicaAnswer(status, (), body, signature))


def make_unanswered(result):
    return Exchange(result, 0.01, None, result.value)


class FakeSender(AttemptSender):
    """Finishes each attempt after a delay; ``script`` maps a replica to (delay, exchange) pairs.

    The last pair of a replica is repeated; a replica without a script never answers.
    """

    def __init__(self, nursery, script):
        self._nursery = nursery
        self._script = {replica: list(pairs) for replica, pairs in script.items()}
        self.sent = []
        self.cancelled = []
        self.abandoned = []

    def start(self, attempt):
        self.sent.append((attempt.replica.id, attempt.reason))
        self._nursery.start_soon(self._run_script, attempt)

    async def _run_script(self, attempt):
        pairs = self._script.get(attempt.replica.id)
        if not pairs:
            return
        delay_s, exchange = pairs.pop(0) if len(pairs) > 1 else pairs[0]
        await trio.sleep(delay_s)
        attempt.finish(exchange)

    def cancel(self, attempt):
        self.cancelled.append(attempt.replica.id)

    def abandon(self, attempt):
        self.abandoned.append(attempt.replica.id)


class FakeDelegator(Delegator):
    """Returns the given assignments and records the calls."""

    def __init__(self, assignments):
        self._assignments = assignments
        self.started = []
        self.finished = []
        self.silent = []

    def assign(self, services):
        return self._assignments

    def start(self, delegation):
        self.started.append(delegation)

    def finish(self, delegation, is_answered):
        self.finished.append((delegation.assignment.vm, is_answered))

    def record_silence(self, delegation):
        self.silent.append(delegation.assignment.vm)


class RunHarness:
    """Runs one request against scripted replicas on the mock clock."""

    def __init__(self, fleet, script, slack=50.0, ratio=0.2, hedge_s=0.03, delegator=None):
        self.delegator = delegator
        self.fleet = fleet
        self.script = script
        self.budget = RetryBudget(RetryBounds(ratio, slack, 10.0), lambda service: 1.0, -inf)
        self.latency = LatencyHistogram(0.01)
        self.latency.hedge_s = hedge_s
        self.sender = None
        self.took_s = 0.0

    async def run(self, route, services, target_s=0.1, limit_s=1.0, linger_s=0.0):
        """Run a request; attempts that it has abandoned go on for ``linger_s`` seconds."""
        async with trio.open_nursery() as nursery:
            self.sender = FakeSender(nursery, self.script)
            now = trio.current_time()
            request = RunRequest(
                "id",
                route,
                tuple(services),
                bool(route.shards),
                None,
                now,
                now + target_s,
                now + limit_s,
                self.latency,
            )
            run = RequestRun(request, self.fleet, self.budget, self.sender, self.delegator)
            outcome = await run.run()
            self.took_s = trio.current_time() - now
            await trio.sleep(linger_s)
            nursery.cancel_scope.cancel()
        return outcome
