"""Two VMs that share a fan-out over a link in memory, whose faults the test controls."""

from math import inf
from random import Random

import trio
import trio.testing

from zinnia_catalog.members import Member
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import CallerLimits, Configuration, Repeatability, Route, ServiceLimits
from zinnia_delegation import links
from zinnia_delegation.links import PeerLink
from zinnia_delegation.ranking import LOCAL_REPORT_LEAD_S
from zinnia_delegation.server import SubqueryHandler, SubqueryServer
from zinnia_relay.frames import FrameStream
from zinnia_sending.answers import Exchange, ExchangeResult, ReplicaAnswer
from zinnia_sending.attempts import AttemptSender, RunRequest
from zinnia_sending.budgets import RetryBounds, RetryBudget
from zinnia_sending.delegation import Assignment, Delegator
from zinnia_sending.events import NullSink
from zinnia_sending.fleet import Fleet
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.protocol import PreparedRequest
from zinnia_sending.runs import RequestRun
from zinnia_sending.subqueries import SubqueryRun

SHARDS = tuple(f"s{number}" for number in range(8))
REPLICAS = tuple("abcd")
TARGET_S = 0.1
LIMIT_S = 1.0
HEDGE_S = 0.03


class FakePreparedRequest(PreparedRequest):
    """A request that no replica reads."""

    request_id = b"id"
    is_head = False
    fingerprint = "fingerprint"

    def render(self, replica, remaining_s):
        """Return no bytes."""
        return b""

    def pack(self):
        """Return bytes that are no valid text."""
        return b"packed \xff bytes"


class FaultyWire:
    """A connection whose bytes are delayed, held back in either direction, or cut off."""

    def __init__(self, nursery, delay_s=0.0002):
        self.near, near_end = trio.testing.memory_stream_pair()
        far_end, self.far = trio.testing.memory_stream_pair()
        self._ends = near_end, far_end
        self._delay_s = delay_s
        self._holds = {name: trio.Event() for name in ("calls", "replies")}
        for hold in self._holds.values():
            hold.set()
        nursery.start_soon(self._pump, near_end, far_end, "calls")
        nursery.start_soon(self._pump, far_end, near_end, "replies")

    def hold(self, *directions):
        """Deliver no more bytes in these directions until ``release``."""
        for name in directions:
            self._holds[name] = trio.Event()

    def release(self):
        """Deliver the bytes that were held back."""
        for hold in self._holds.values():
            hold.set()

    async def reset(self):
        """End the connection at both ends."""
        for end in self._ends:
            await trio.aclose_forcefully(end)

    async def _pump(self, source, sink, name):
        try:
            while data := await source.receive_some(65536):
                await trio.sleep(self._delay_s)
                await self._holds[name].wait()
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await trio.aclose_forcefully(sink)


class ScriptedSender(AttemptSender):
    """Ends attempts as ``script`` says: a list of (delay in seconds, result) for each replica.

    With a third item that is true, the replica crashes: the attempt ends without an answer.
    ``ran`` collects, for all VMs, the replicas that may have run the request, by shard.
    """

    def __init__(self, nursery, script, ran):
        self._nursery = nursery
        self._script = script
        self._ran = ran

    def start(self, attempt):
        """Start the script of the attempt's replica."""
        delay_s, result, *is_crash = self._script[attempt.replica.id]
        if result.may_have_run:
            self._ran.setdefault(attempt.shard.service, []).append(attempt.replica.id)
        self._nursery.start_soon(self._end, attempt, delay_s, result, any(is_crash))

    async def _end(self, attempt, delay_s, result, is_crash):
        await trio.sleep(delay_s)
        answer = None
        if result is ExchangeResult.ANSWERED:
            answer = ReplicaAnswer(200, (), b"r" * 16, attempt.replica.id.encode())
        exchange = Exchange(result, delay_s, answer, result.value, is_unanswered=is_crash)
        attempt.finish(exchange)

    def cancel(self, attempt):
        """Let the attempt end by itself: a replica may go on after its connection has closed."""

    def abandon(self, attempt):
        """Let the attempt end by itself."""


class LinkDelegator(Delegator):
    """Delegates all shards over one link."""

    def __init__(self, link):
        self._link = link

    def assign(self, services):
        """Return one assignment of all shards."""
        return [Assignment("vm-2", tuple(services), "dc1", LOCAL_REPORT_LEAD_S)]

    def start(self, delegation):
        """Send a delegation."""
        self._link.start(delegation)

    def finish(self, delegation, is_answered):
        """Report the end of the request."""
        self._link.finish(delegation, is_answered)

    def record_silence(self, delegation):
        """Record that a reply is overdue."""
        self._link.record_silence()


class RunHandler(SubqueryHandler):
    """Creates subquery runs of a VM for a scripted sender."""

    def __init__(self, vm):
        self._vm = vm

    def make_run(self, start, reporter):
        """Return a run of the shards in the message."""
        now = trio.current_time()
        request = self._vm.make_request(
            start.services, start.max_attempts, start.report_in_us / 1e6, start.end_in_us / 1e6
        )
        return SubqueryRun(
            request,
            self._vm.fleet,
            self._vm.budget,
            self._vm.sender,
            now + start.report_in_us / 1e6,
            start.max_absent,
            reporter,
        )

    def note_end(self, start, run, is_cancelled):
        """Record nothing."""


class FakeVm:
    """What one VM needs to send requests."""

    def __init__(self, nursery, script, ran):
        self.fleet = Fleet("dc1", lambda: 2, NullSink(), Random(1))
        limits = {name: ServiceLimits(name, 100, 3.0, 0.0) for name in SHARDS}
        self.fleet.adopt_configuration(Configuration(1, (), limits, CallerLimits()))
        for service in SHARDS:
            for replica in REPLICAS:
                self.fleet.update_replica(make_entry(f"{service}-{replica}", service))
        self.budget = RetryBudget(RetryBounds(0.2, 1000.0, 10.0), lambda service: 1.0, -inf)
        self.sender = ScriptedSender(nursery, script, ran)

    def make_request(self, services, max_attempts, target_s, limit_s):
        """Return a request for shards, with hedges after ``HEDGE_S``."""
        now = trio.current_time()
        route = Route(
            "r",
            "h",
            "/",
            Repeatability.IDEMPOTENT,
            limit_s,
            target_s,
            0,
            max_attempts,
            (),
            tuple(services),
            10,
            0.75,
        )
        latency = LatencyHistogram(0.01)
        latency.hedge_s = HEDGE_S
        return RunRequest(
            "id",
            route,
            tuple(services),
            True,
            FakePreparedRequest(),
            now,
            now + target_s,
            now + limit_s,
            latency,
        )


def make_entry(replica, service):
    """Return the entry of a warm replica with two slots."""
    return ReplicaEntry(
        id=replica,
        service=service,
        host="127.0.0.1",
        port=1,
        data_centre="dc1",
        version="v1",
        slots=2,
        is_draining=False,
        warmup_remaining_s=0.0,
        started_ms=1,
    )


def run_shared_fanout(script, act, max_attempts=2, delay_s=0.0002):
    """Run a fan-out of which another VM runs all shards.

    Parameters
    ----------
    script : dict
        Delay in seconds and result of each replica's exchanges.
    act : Callable
        Async function called with the wire once the request has started.

    Returns
    -------
    tuple
        The outcome, and the replicas that may have run the request, by shard.
    """

    async def main():
        ran = {}
        wires = []

        async def accept(host, port):
            wire = FaultyWire(nursery, delay_s)
            wires.append(wire)
            nursery.start_soon(serve, FrameStream(wire.far))
            return wire.near

        async def serve(frames):
            await frames.receive()
            await server.serve(frames)

        async def act_later():
            await act(wires[0])

        original, links.open_stream = links.open_stream, accept
        try:
            async with trio.open_nursery() as nursery:
                near, far = (FakeVm(nursery, script, ran) for _ in range(2))
                server = SubqueryServer(RunHandler(far), 4.0, NullSink())
                own, peer = (Member(name, "h:1", "dc1") for name in ("vm-1", "vm-2"))
                link = PeerLink(own, peer, NullSink())
                nursery.start_soon(link.run)
                await trio.sleep(0.1)
                request = near.make_request(SHARDS, max_attempts, TARGET_S, LIMIT_S)
                run = RequestRun(request, near.fleet, near.budget, near.sender, LinkDelegator(link))
                nursery.start_soon(act_later)
                outcome = await run.run()
                await trio.sleep(2 * LIMIT_S)
                nursery.cancel_scope.cancel()
        finally:
            links.open_stream = original
        return outcome, ran

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
