import random

import trio
import trio.testing

from zinnia_backends.attempts import Attempt
from zinnia_backends.connections import (
    ConnectFailedError,
    Connection,
    ConnectionLostError,
    Connector,
    SendWithheldError,
    WireResponse,
)
from zinnia_backends.crashes import CrashRegistry
from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_facts.table import FactTable
from zinnia_model.configuration import ServiceConfig
from zinnia_model.observations import Observer
from zinnia_model.ownership import OwnershipState
from zinnia_model.reasons import Outcome
from zinnia_model.shardmaps import ReplicaRecord
from zinnia_model.subrequests import Batch, SubRequest

ANSWERED = (Outcome.ANSWERED, None)


def not_run(reason):
    return Outcome.NOT_RUN, reason


def unknown(reason):
    return Outcome.UNKNOWN, reason


def make_batch(*attempt_ids, replica="r", deadline_s=5.0, fingerprint="f", repeatable=True):
    items = tuple(SubRequest(attempt_id, "shard", replica) for attempt_id in attempt_ids)
    return Batch("request", "s", "route", "snap", b"{}", deadline_s, repeatable, fingerprint, items)


def make_attempt(attempt_id="a", deadline_at=100.0, fingerprint="f"):
    batch = make_batch(attempt_id, fingerprint=fingerprint)
    return Attempt(batch, batch.items[0], deadline_at, lambda _: None, [])


class FakeBackend:
    """A backend server with faults to switch on; ``peak`` is its highest concurrency."""

    def __init__(self):
        self.start_id = "start-1"
        self.delay_s = 0.01
        self.cancel_delay_s = 0.0
        self.before_write = lambda: None
        self.connect_delay_s = 0.006
        self.status = 200
        self.headers = {}
        self.health = {}
        self.refuses = self.crashes = self.lists_running = False
        self.connections = []
        self.ran = []
        self.health_requests = self.in_flight = self.peak = 0

    def restart(self, start_id):
        self.start_id, self.crashes = start_id, False
        for connection in self.connections:
            connection.broken = True


class FakeConnection(Connection):
    def __init__(self, backend):
        self.backend = backend
        self.closed = self.broken = self.silent = self.busy = self.sent = False
        self.running = False

    @property
    def written(self):
        return self.sent

    async def exchange(self, request, may_send=None):
        if self.closed or self.busy:
            raise AssertionError("a connection with an answer outstanding was reused")
        self.sent = False
        self.backend.before_write()
        if may_send is not None and not may_send():
            raise SendWithheldError("withheld")
        self.sent = self.busy = True
        if self.silent:
            await trio.sleep_forever()
        if request.method == b"GET":
            response = await self._answer_health()
        else:
            response = await self._run(dict(request.headers))
        self.busy = False
        return response

    async def _answer_health(self):
        backend = self.backend
        backend.health_requests += 1
        await trio.sleep(0.001)
        fields = {"start_id": backend.start_id, **backend.health}
        text = ",".join(f'"{key}":{value}' for key, value in fields.items() if key != "start_id")
        ids = ",".join(f'"{attempt_id}"' for attempt_id in backend.ran if backend.lists_running)
        body = (
            f'{{"start_id":"{fields["start_id"]}","running":[{ids}]{"," + text if text else ""}}}'
        )
        return WireResponse(200, {}, body.encode())

    async def _run(self, headers):
        backend = self.backend
        backend.in_flight += 1
        self.running = True
        backend.peak = max(backend.peak, backend.in_flight)
        backend.ran.append(headers[b"x-attempt-id"].decode())
        await trio.sleep(backend.delay_s)
        self.end_run()
        if backend.crashes or self.broken:
            raise ConnectionLostError("lost")
        echoed = {name: headers[name] for name in (b"x-attempt-id", b"x-shard", b"x-snapshot")}
        echoed[b"x-start-id"] = backend.start_id.encode()
        return WireResponse(backend.status, {**echoed, **backend.headers}, b'{"shard":"0"}')

    def end_run(self):
        self.backend.in_flight -= self.running
        self.running = False

    async def cancel(self):
        await trio.sleep(self.backend.cancel_delay_s)
        self.end_run()

    def is_reusable(self):
        return not (self.closed or self.broken or self.busy)

    def close(self):
        self.closed = True
        if not self.backend.cancel_delay_s:
            self.end_run()


class FakeConnector(Connector):
    def __init__(self):
        self.backends = {"h:1": FakeBackend()}

    async def connect(self, address):
        backend = self.backends[address]
        await trio.sleep(backend.connect_delay_s)
        if backend.refuses:
            raise ConnectFailedError(address, refused=True)
        connection = FakeConnection(backend)
        backend.connections.append(connection)
        return connection


class Rig(Observer):
    """A dispatcher with one replica; collects its results, observations and published facts."""

    def __init__(self, **config):
        self.connector = FakeConnector()
        self.backend = self.connector.backends["h:1"]
        limits = {"slots": 4, "connections": 10, **config}
        self.config = ServiceConfig(routes={}, versions={}, **limits)
        self.ownership_state = OwnershipState.OWNER
        self.block = None
        self.facts = FactTable()
        self.published = []
        self.observed = []
        self.results = []
        self.crashes = CrashRegistry(self.facts, self.published.append, "vm")
        self.dispatcher = ReplicaDispatcher(
            lambda _: self.config,
            lambda _: self.ownership_state,
            lambda _: self.block,
            self.facts,
            self.published.append,
            self.crashes,
            self,
            self.connector,
            "vm",
            random.Random(1),
            wall_ms=lambda: int(trio.current_time() * 1000),
        )

    def observe(self, observation):
        self.observed.append(observation)

    def submit(self, *attempt_ids, **batch):
        self.dispatcher.submit(make_batch(*attempt_ids, **batch), self.results.append)

    async def submit_and_wait(self, *attempt_ids, **batch):
        """Submit attempts and wait; return the outcome and reason of each by attempt id."""
        found, done = {}, trio.Event()

        def deliver(result):
            self.results.append(result)
            found[result.attempt_id] = (result.outcome, result.reason)
            if len(found) == len(attempt_ids):
                done.set()

        self.dispatcher.submit(make_batch(*attempt_ids, **batch), deliver)
        with trio.fail_after(30):
            await done.wait()
        return found

    async def warm_replica(self):
        for index in range(30):
            await self.submit_and_wait(f"warm-{index}")
        assert not self.dispatcher.views()[0].cold
        self.results.clear()
        self.backend.ran.clear()

    @property
    def view(self):
        return self.dispatcher.views()[0]

    def run(self, check):
        """Run ``check`` while the dispatcher runs, on a mock clock."""

        async def main():
            records = [ReplicaRecord(id="r", address="h:1", data_centre="d", version="v1")]
            with self.dispatcher as dispatcher:
                dispatcher.set_replicas("s", records)
                async with trio.open_nursery() as nursery:
                    await nursery.start(dispatcher.run)
                    await check()
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        ids = [result.attempt_id for result in self.results]
        assert len(ids) == len(set(ids)), "an attempt got two results"
