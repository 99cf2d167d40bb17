"""Replicas of backend servers over HTTP/1.1, each on its own port, and a control port for all.

The replicas use trio and h11 directly: the limit and cost of connections, silent connections and a
crash that closes them all are properties of connections, which ASGI does not show.
"""

import json
from dataclasses import dataclass

import h11
import trio
from loguru import logger

from zinnia_standins.asgi import JsonReply, JsonRequest, serve_json
from zinnia_standins.backend_core import BackendCore, Job, JobState, Refusal
from zinnia_standins.deployment import Deployment, ReplicaSpec

READ_BYTES = 65536
STATUSES = {
    Refusal.OVERLOADED: 503,
    Refusal.DRAINING: 503,
    Refusal.COLD: 503,
    Refusal.SNAPSHOT_GONE: 409,
    Refusal.DEADLINE: 504,
}


@dataclass(slots=True)
class _Exchange:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class ReplicaServer:
    """One replica on its own port.

    Attributes
    ----------
    port : int
        Bound port; 0 until the replica has started if the specification says 0.
    """

    def __init__(self, spec: ReplicaSpec) -> None:
        self.spec = spec
        self.port = spec.port
        self.core = BackendCore(spec, trio.current_time())
        self._scope = trio.CancelScope()
        self._connections: set[_Connection] = set()
        self._wake_ups: dict[int, trio.Event] = {}

    async def serve(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; a crash closes all connections and starts again."""
        while True:
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
                self.port = listeners[0].socket.getsockname()[1]
                task_status.started(self.port)
                task_status = trio.TASK_STATUS_IGNORED
                await trio.serve_listeners(self._serve_connection, listeners)
            logger.info("replica {} crashed", self.spec.id)
            await trio.sleep(self.spec.restart_ms / 1000)
            self.core.restart(trio.current_time())

    def set_faults(self, switches: dict) -> None:
        """Change faults; ``silence_connections`` makes the open connections silent for good."""
        switches = dict(switches)
        if switches.pop("silence_connections", False):
            for connection in self._connections:
                connection.silent = True
        self.core.set_faults(switches, trio.current_time())
        self._close_if_crashed()

    def describe_counts(self) -> dict:
        """Return the counters of the replica."""
        counts = self.core.describe_counts(trio.current_time())
        return counts | {"connections": len(self._connections), "port": self.port}

    async def run_job(self, job: Job) -> None:
        """Take a request through the model until it is refused or has run."""
        self.core.arrive(job, trio.current_time())
        self._close_if_crashed()
        if job.state is JobState.QUEUED:
            event = self._wake_ups[id(job)] = trio.Event()
            try:
                await event.wait()
            finally:
                del self._wake_ups[id(job)]
        if job.state is JobState.RUNNING:
            await trio.sleep(job.service_s)
            self._wake(self.core.finish(job, trio.current_time()))

    def cancel_job(self, job: Job) -> None:
        """Drop a request whose client has closed."""
        self._wake(self.core.cancel(job, trio.current_time()))

    def _wake(self, jobs: list[Job]) -> None:
        for job in jobs:
            if id(job) in self._wake_ups:
                self._wake_ups[id(job)].set()
        self._close_if_crashed()

    def _close_if_crashed(self) -> None:
        if self.core.crashed:
            self._scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        async with stream:
            if len(self._connections) >= self.spec.connections:
                return
            connection = _Connection(self, stream)
            self._connections.add(connection)
            try:
                await trio.sleep(self.spec.connect_ms / 1000)
                await connection.serve()
            except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
                return
            finally:
                self._connections.discard(connection)


class _Connection:
    def __init__(self, server: ReplicaServer, stream: trio.SocketStream) -> None:
        self.silent = False
        self._server = server
        self._stream = stream
        self._http = h11.Connection(h11.SERVER)
        self._closed = False

    async def serve(self) -> None:
        while (exchange := await self._read_exchange()) is not None:
            if self.silent:
                await self._swallow()
                return
            await self._answer(exchange)
            if self._closed or self._http.our_state is h11.MUST_CLOSE:
                return
            self._http.start_next_cycle()

    async def _read_exchange(self) -> _Exchange | None:
        request, body = None, b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                headers = {name.decode(): value.decode() for name, value in request.headers}
                return _Exchange(request.method.decode(), request.target.decode(), headers, body)
            else:
                return None

    async def _answer(self, exchange: _Exchange) -> None:
        now = trio.current_time()
        match (exchange.method, exchange.target):
            case ("POST", "/v1/run"):
                await self._answer_run(exchange)
            case ("GET", "/healthz"):
                await self._send(200, {}, self._server.core.describe_health(now))
            case ("GET", "/load"):
                await self._send(200, {}, self._server.core.describe_load(now))
            case _:
                await self._send(404, {}, {})

    async def _answer_run(self, exchange: _Exchange) -> None:
        job = _read_job(exchange, trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_close, nursery.cancel_scope)
            await self._server.run_job(job)
            nursery.cancel_scope.cancel()
        if self._closed:
            self._server.cancel_job(job)
        elif self.silent:
            await self._swallow()
        else:
            await self._send_result(job, exchange)

    async def _send_result(self, job: Job, exchange: _Exchange) -> None:
        headers = self._describe(job, exchange)
        if job.refusal is not None:
            headers["x-refusal"] = job.refusal.value
            await self._send(STATUSES[job.refusal], headers, {"refusal": job.refusal.value})
        elif job.fault:
            await self._send(500, headers, {"fault": "injected"})
        else:
            body = {"shard": job.shard, "echo": _decode_echo(job.body), "run": job.run}
            await self._send(200, headers, body)

    def _describe(self, job: Job, exchange: _Exchange) -> dict[str, str]:
        core = self._server.core
        attempt = "mismatched" if job.mismatch else exchange.headers.get("x-attempt-id", "")
        headers = {
            "x-attempt-id": attempt,
            "x-shard": job.shard,
            "x-snapshot": job.snapshot,
            "x-start-id": core.start_id,
            "x-server-version": core.spec.version,
            "x-temperature": core.describe_temperature(trio.current_time()),
        }
        return headers | {"x-draining": "1"} if core.faults.draining else headers

    async def _send(self, status: int, headers: dict[str, str], body: dict) -> None:
        payload = json.dumps(body).encode()
        fields = [*headers.items(), ("content-length", str(len(payload)))]
        events = (
            h11.Response(status_code=status, headers=fields),
            h11.Data(data=payload),
            h11.EndOfMessage(),
        )
        await self._stream.send_all(b"".join(self._http.send(event) for event in events))

    async def _watch_close(self, scope: trio.CancelScope) -> None:
        while data := await self._receive_or_end():
            self._http.receive_data(data)
        self._closed = True
        scope.cancel()

    async def _swallow(self) -> None:
        while await self._receive_or_end():
            pass
        self._closed = True

    async def _receive_or_end(self) -> bytes:
        try:
            return await self._stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            return b""


class BackendGroup:
    """The replicas of one process and their control port."""

    def __init__(self, deployment: Deployment) -> None:
        self._specs = deployment.replicas
        self.replicas: dict[str, ReplicaServer] = {}

    async def serve(
        self, control_port: int, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the status value is the bound control port."""
        async with trio.open_nursery() as nursery:
            for spec in self._specs:
                replica = self.replicas[spec.id] = ReplicaServer(spec)
                await nursery.start(replica.serve)
            port = await nursery.start(serve_json, self.handle, control_port)
            task_status.started(port)

    async def handle(self, request: JsonRequest) -> JsonReply:
        """Answer a control call.

        ``GET /counts`` returns the counters by replica. ``POST /faults`` takes ``{"match": {...},
        "faults": {...}}``; the match names fields of the specification, such as ``id``,
        ``service``, ``version`` or ``data_centre``; an empty match means all replicas.
        """
        await trio.lowlevel.checkpoint()
        match (request.method, *request.path):
            case ("GET", "counts"):
                rows = {name: replica.describe_counts() for name, replica in self.replicas.items()}
                return JsonReply(200, rows)
            case ("POST", "faults"):
                return self._set_faults(request.body.get("match", {}), request.body["faults"])
        return JsonReply(404, {"message": "no such path"})

    def _set_faults(self, wanted: dict, faults: dict) -> JsonReply:
        matched = [
            replica
            for replica in self.replicas.values()
            if all(getattr(replica.spec, name, None) == value for name, value in wanted.items())
        ]
        try:
            for replica in matched:
                replica.set_faults(faults)
        except ValueError as error:
            return JsonReply(400, {"message": str(error)})
        return JsonReply(200, {"matched": [replica.spec.id for replica in matched]})


def _read_job(exchange: _Exchange, now: float) -> Job:
    get = exchange.headers.get
    return Job(
        request_id=get("x-request-id", ""),
        shard=get("x-shard", ""),
        snapshot=get("x-snapshot", ""),
        route=get("x-route", ""),
        key=get("idempotency-key", ""),
        body=exchange.body,
        deadline_at=now + float(get("x-deadline-ms", "inf")) / 1000,
    )


def _decode_echo(body: bytes) -> object:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors="replace")
