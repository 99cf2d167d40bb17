"""Backend servers behind a fake connector: connections, crashes, silence and a log of all runs."""

import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from zinnia_backends.connections import (
    ConnectFailedError,
    Connection,
    ConnectionLostError,
    Connector,
    SendWithheldError,
    WireRequest,
    WireResponse,
)
from zinnia_standins.backend_core import BackendCore, Job, JobState
from zinnia_standins.backend_server import STATUSES
from zinnia_standins.deployment import ReplicaSpec

ONE_WAY_S = 0.001


@dataclass(frozen=True, slots=True)
class Run:
    """One request that a backend server started to run, at a time of the mock clock in seconds."""

    at: float
    replica: str
    version: str
    request_id: str
    attempt_id: str
    key: str


@dataclass(slots=True)
class FakeReplica:
    """One replica; it goes on while the VMs that talk to it are paused.

    ``max_cold_load`` is the largest number of requests at a time of those that arrived after the
    replica had turned cold.
    """

    spec: ReplicaSpec
    nursery: trio.Nursery
    runs: list[Run]
    core: BackendCore = field(init=False)
    connections: set["FakeConnection"] = field(default_factory=set)
    is_lost: bool = False
    connect_s: float = 2 * ONE_WAY_S
    connecting: int = 0
    cold_since: float = math.inf
    max_cold_load: int = 0
    _cold_jobs: set[str] = field(default_factory=set)
    _wake_ups: dict[int, trio.Event] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.core = BackendCore(self.spec, trio.current_time())

    def set_faults(self, **switches) -> None:
        """Change faults of the model."""
        self.core.set_faults(switches, trio.current_time())
        if switches.get("turn_cold"):
            self._cold_jobs.clear()
        self._follow_crash()

    def silence(self) -> None:
        """Make the open connections silent for good."""
        for connection in self.connections:
            connection.silent = True

    def lose(self) -> None:
        """End the replica for good."""
        self.is_lost = True
        self.core.set_faults({"crash": True}, trio.current_time())
        self._close_all()

    def check_connect(self, address: str) -> None:
        """Refuse a connection to a server that is down."""
        if self.core.crashed or self.is_lost:
            raise ConnectFailedError(address, refused=True)

    async def serve(self, connection: "FakeConnection", request: WireRequest) -> None:
        """Take one request through the model and answer it."""
        await trio.sleep(ONE_WAY_S + connection.take_setup_s())
        if connection.silent or self.core.crashed:
            return
        if request.target == b"/healthz":
            response = _encode(200, {}, self.core.describe_health(trio.current_time()))
        else:
            response = await self._run_request(connection, request)
        await trio.sleep(ONE_WAY_S)
        if response is not None and not connection.silent:
            connection.answer(response)

    async def _run_request(
        self, connection: "FakeConnection", request: WireRequest
    ) -> WireResponse | None:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        job = _read_job(headers, request.body)
        with connection.scope:
            await self._run_job(job, headers["x-attempt-id"])
        self._cold_jobs.discard(headers["x-attempt-id"])
        now = trio.current_time()
        if connection.scope.cancelled_caught:
            self._wake(self.core.cancel(job, now))
            return None
        if job.state is JobState.CRASHED:
            return None
        return self._respond(job, headers)

    async def _run_job(self, job: Job, attempt_id: str) -> None:
        now = trio.current_time()
        if self.core.is_cold(now):
            self._cold_jobs.add(attempt_id)
            self.max_cold_load = max(self.max_cold_load, len(self._cold_jobs))
        self.core.arrive(job, now)
        if job.state is JobState.QUEUED:
            event = self._wake_ups[id(job)] = trio.Event()
            try:
                await event.wait()
            finally:
                del self._wake_ups[id(job)]
        if job.run:
            row = (self.spec.id, self.spec.version, job.request_id, attempt_id, job.key)
            self.runs.append(Run(trio.current_time(), *row))
        self._follow_crash()
        if job.state is JobState.RUNNING:
            await trio.sleep(job.service_s)
            self._wake(self.core.finish(job, trio.current_time()))

    def _respond(self, job: Job, headers: dict[str, str]) -> WireResponse:
        core = self.core
        values = {
            "x-attempt-id": "mismatched" if job.mismatch else headers["x-attempt-id"],
            "x-shard": job.shard,
            "x-snapshot": job.snapshot,
            "x-start-id": core.start_id,
            "x-server-version": core.spec.version,
            "x-temperature": core.describe_temperature(trio.current_time()),
        }
        if core.faults.draining:
            values["x-draining"] = "1"
        if job.refusal is not None:
            return _encode(STATUSES[job.refusal], values | {"x-refusal": job.refusal.value}, {})
        if job.fault:
            return _encode(500, values, {"fault": "injected"})
        echo = "body of another request" if job.mismatch else json.loads(job.body)
        body = {"shard": job.shard, "snapshot": job.snapshot, "echo": echo}
        return _encode(200, values, body)

    def _wake(self, jobs: list[Job]) -> None:
        for job in jobs:
            if id(job) in self._wake_ups:
                self._wake_ups[id(job)].set()

    def _follow_crash(self) -> None:
        if self.core.crashed and not self.is_lost:
            self._close_all()
            self.nursery.start_soon(self._restart)

    def _close_all(self) -> None:
        self._cold_jobs.clear()
        for connection in list(self.connections):
            connection.lose()

    async def _restart(self) -> None:
        await trio.sleep(self.spec.restart_ms / 1000)
        if self.core.crashed and not self.is_lost:
            self.core.restart(trio.current_time())


class FakeConnection(Connection):
    """One connection; closing it cancels its request one way's delay later."""

    def __init__(self, replica: FakeReplica) -> None:
        self.silent = False
        self.broken = False
        self.scope = trio.CancelScope()
        self._replica = replica
        self._setup_s = replica.spec.connect_ms / 1000
        self._written = False
        self._busy = False
        self._done = trio.Event()
        self._response: WireResponse | None = None
        replica.connections.add(self)

    @property
    def written(self) -> bool:
        return self._written

    def take_setup_s(self) -> float:
        setup_s, self._setup_s = self._setup_s, 0.0
        return setup_s

    async def exchange(
        self, request: WireRequest, may_send: Callable[[], bool] | None = None
    ) -> WireResponse:
        if self.broken:
            raise ConnectionLostError("closed")
        self._written = False
        if may_send is not None and not may_send():
            raise SendWithheldError("withheld")
        self._written = self._busy = True
        self._done, self._response, self.scope = trio.Event(), None, trio.CancelScope()
        self._replica.nursery.start_soon(self._replica.serve, self, request)
        await self._done.wait()
        if self._response is None:
            raise ConnectionLostError("reset by the peer")
        self._busy = False
        return self._response

    async def cancel(self) -> None:
        if self.silent:
            await trio.sleep_forever()
        self.scope.deadline = trio.current_time() + ONE_WAY_S
        await trio.sleep(2 * ONE_WAY_S)

    def is_reusable(self) -> bool:
        return not self._busy and not self.broken

    def close(self) -> None:
        if not self.broken:
            self.lose()
            self.scope.deadline = trio.current_time() + ONE_WAY_S

    def answer(self, response: WireResponse) -> None:
        if not self.broken:
            self._response = response
            self._done.set()

    def lose(self) -> None:
        self.broken = True
        self._replica.connections.discard(self)
        self._done.set()


class FakeConnector(Connector):
    """The way of one VM to all replicas; a killed VM loses its connections."""

    def __init__(self, replicas: dict[str, FakeReplica]) -> None:
        self._replicas = replicas
        self._opened: list[FakeConnection] = []
        self.is_dead = False

    async def connect(self, address: str) -> Connection:
        replica = self._replicas[address]
        replica.connecting += 1
        try:
            await trio.sleep(replica.connect_s)
        finally:
            replica.connecting -= 1
        if self.is_dead:
            raise ConnectFailedError(address, refused=False)
        replica.check_connect(address)
        connection = FakeConnection(replica)
        if len(replica.connections) > replica.spec.connections:
            connection.lose()
        self._opened = [c for c in self._opened if not c.broken] + [connection]
        return connection

    def kill(self) -> None:
        self.is_dead = True
        for connection in self._opened:
            connection.close()


def _read_job(headers: dict[str, str], body: bytes) -> Job:
    return Job(
        request_id=headers["x-request-id"],
        shard=headers["x-shard"],
        snapshot=headers["x-snapshot"],
        route=headers["x-route"],
        key=headers.get("idempotency-key", ""),
        body=body,
        deadline_at=trio.current_time() + float(headers["x-deadline-ms"]) / 1000,
    )


def _encode(status: int, headers: dict[str, str], body: dict) -> WireResponse:
    encoded = {name.encode(): value.encode() for name, value in headers.items()}
    return WireResponse(status, encoded, json.dumps(body).encode())
