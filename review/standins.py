"""Small stand-ins for the scripts of the review: store, replicas, clients and processes.

Only the standard library is used. They follow the users' pages and listen on loopback addresses.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[1]
# The command of deploy/system.toml; the port of the metrics differs, as all run on one machine.
COMMAND = ("target/app/start.py", "--metrics-port")
OBJECTS_PATH = "/-/objects/"
PAGE_SIZE = 500
PORTS = range(15000, 30000)
# Time limit of one script.
SCRIPT_TIMEOUT_S = 116.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

_given_ports: set[int] = set()


class CaseError(Exception):
    """The case could not run."""


def is_trouble() -> bool:
    """Return whether the disruption is to happen; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_ports(count: int) -> list[int]:
    """Return free ports below the range that outgoing connections use, each only once."""
    found: list[int] = []
    while len(found) < count:
        port = random.choice(PORTS)
        with socket.socket() as sock:
            if port not in _given_ports and sock.connect_ex((HOST, port)) != 0:
                _given_ports.add(port)
                found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()


class Message:
    """A request or a response as it was read from a connection; header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split()[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split()[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first.split()[1]


async def read_message(reader: asyncio.StreamReader, is_reply: bool = False) -> Message | None:
    """Read one message; return None if the connection ends before its head is complete.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection ended within the body.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_reply:
        body = await reader.read()
    return Message(lines[0], headers, body)


def format_reply(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return a response with a length as bytes."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Listens on a free port and calls ``serve_request`` for each request of each connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen; a server that starts again keeps its port."""
        self.port = self.port or find_free_ports(1)[0]
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def crash(self) -> None:
        """Stop listening and reset all connections, as a process that is gone."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve_request(self, request: Message) -> bytes | None:
        """Return the response as bytes, or None to close the connection without one."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                reply = await self.serve_request(request)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The other side has left.
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: objects by kind with revisions, conditional writes and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object, status: object = None) -> None:
        """Write an object, as the operator and the replicas do."""
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known["meta"]["CreateRevision"] if known else self.revision
        meta = {"Name": name, "Revision": self.revision, "CreateRevision": created}
        row = {"meta": meta, "spec": spec, "status": status}
        self.objects[kind, name] = row
        self._record_event(kind, row, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._record_event(kind, self.objects.pop((kind, name)), True)

    def _record_event(self, kind: str, row: dict, is_deleted: bool) -> None:
        self._events.append((self.revision, kind, {"Object": row, "Deleted": is_deleted}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve_request(self, request: Message) -> bytes | None:
        """Answer a call."""
        parts = urlsplit(request.target)
        path = [unquote(part) for part in parts.path.removeprefix(OBJECTS_PATH).split("/")]
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        status, body = await self._answer(request, path, query)
        return format_reply(
            status, [("Content-Type", "application/json")], json.dumps(body).encode()
        )

    async def _answer(self, request: Message, path: list[str], query: dict) -> tuple[int, dict]:
        kind = path[0]
        if request.method != "GET":
            return self._write(request, path)
        if "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query["WaitMs"]) / 1000)
        if len(path) > 1:
            row = self.objects.get((kind, path[1]))
            return (200, row) if row else (404, {})
        rows = [row for (row_kind, _), row in sorted(self.objects.items()) if row_kind == kind]
        rows = [row for row in rows if row["meta"]["Name"] > query.get("after", "")]
        has_more = len(rows) > PAGE_SIZE
        body = {"items": rows[:PAGE_SIZE], "HasMore": has_more, "StoreRevision": self.revision}
        return 200, body

    async def _watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, dict]:
        until = time.monotonic() + wait_s
        while True:
            changed = self._changed
            events = [row for at, key, row in self._events if at > revision and key == kind]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, request: Message, path: list[str]) -> tuple[int, dict]:
        kind = path[0]
        document = json.loads(request.body or b"{}")
        if request.method == "DELETE":
            if (kind, path[1]) not in self.objects:
                return 404, {}
            self.remove(kind, path[1])
            return 200, {}
        name = path[1] if len(path) > 1 else document["meta"]["Name"]
        known = self.objects.get((kind, name))
        if request.method == "POST":
            if known is not None:
                return 409, known
            self.put(kind, name, document.get("spec"))
            return 200, self.objects[kind, name]
        if known is None:
            return 404, {}
        expected = document.get("meta", {}).get("Revision")
        if expected is not None and expected != known["meta"]["Revision"]:
            return 409, known
        if path[2:] == ["status"]:
            self.put(kind, name, known["spec"], document.get("status"))
        else:
            self.put(kind, name, document.get("spec"), known["status"])
        return 200, self.objects[kind, name]


class Replica(Server):
    """A replica of one service.

    It echoes the id of the request, answers 421 if another instance is expected, and otherwise runs
    the request and answers with a signature.
    """

    def __init__(self, name: str, service: str, zone: str, record: Record) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = 0.005
        self.runs: list[tuple[float, str]] = []

    async def serve_request(self, request: Message) -> bytes | None:
        """Run a request that is meant for this replica."""
        request_id = request.headers.get("x-request-id", "")
        echo = ("X-Request-Id", request_id)
        if request.target == "/healthz":
            return format_reply(200, [("X-Instance-Id", self.name)], b"")
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return format_reply(421, [echo, ("X-Not-Executed", "1")], b"")
        self.runs.append((self.record.now(), request_id))
        self.record.write(f"run {request_id} {request.target} at {self.name} of {self.service}")
        return await self.run(request, [echo, ("X-Response-Seal", f"{self.name}.{request_id}")])

    async def run(self, request: Message, headers: list[tuple[str, str]]) -> bytes | None:
        """Work on a request and return the response."""
        await asyncio.sleep(self.work_s)
        return format_reply(200, headers, f"{self.service} {request.target}".encode())

    def make_entry(self, state: str = "ready") -> dict:
        """Return the entry that the replica writes to the store."""
        return {
            "Service": self.service,
            "Address": f"{HOST}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "MaxConcurrency": 4,
            "State": state,
            "WarmupRemainingMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }


def make_configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return the spec of ``config/main``."""
    rows = [
        {"Name": name, "MaxConnections": 96, "WarmupS": 3.0, "WarmupPerS": 0.0} for name in services
    ]
    limits = {
        "MaxHeaderBytes": 8192,
        "MaxBodyBytes": 262144,
        "HeaderTimeoutMs": 2000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": version, "Routes": routes, "Services": rows, "Limits": limits}


def make_route(prefix: str, service: str, kind: str = "idempotent", **fields: object) -> dict:
    """Return a route to one service, for the host ``search.example``."""
    return {
        "Name": f"r-{prefix}",
        "Host": "search.example",
        "PathPrefix": f"/{prefix}/",
        "Type": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "MaxAttempts": 3,
        "Service": service,
        **fields,
    }


class Vm:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, folder: Path, name: str, zone: str, store: Store, seeds: str = "") -> None:
        self.name = name
        self.callers, self.readiness, self.peers, self.metrics = find_free_ports(4)
        self._folder = folder
        self._settings = folder / f"{name}.conf"
        self._process: asyncio.subprocess.Process | None = None
        fields = {
            "NodeName": name,
            "Role": "entry",
            "MachineClass": "frontend",
            "Serves": "frontend,control_plane",
            "Ip": HOST,
            "Zone": zone,
            "Region": "tw-north",
            "BindAddresses.Frontend": f"{HOST}:{self.callers}",
            "BindAddresses.Readiness": f"{HOST}:{self.readiness}",
            "BindAddresses.ControlPlane": f"{HOST}:{self.peers}",
            "SeedNodes": seeds or f"{HOST}:{self.peers}",
            "Bootstrap": "true",
            "Limits.CpuShare": 0.537,
            "Limits.CpuCores": 2,
            "Limits.MemoryMb": 300,
            "Limits.MaxFds": 4100,
            "HeartbeatIntervalMs": 1200,
            "Bounds.ContactWindowMs": 4000,
            "Bounds.DrainTimeoutMs": 3000,
            "Bounds.GracePeriodS": 6,
            "Bounds.ConfigApplyMs": 3000,
            "Bounds.RetryBudgetRatio": 0.2,
            "Bounds.RetryWindowS": 10,
            "Bounds.BudgetSlack": 52,
            "Bounds.MaxExposureShare": 0.1,
            "Bounds.ExposureSlack": 50,
            "platform.Address": f"{HOST}:{store.port}",
            "platform.form": "objects",
            "platform.WritesPerS": 400,
            "platform.ReadsPerS": 2000,
            "platform.HistoryS": 20,
        }
        self._settings.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))

    @property
    def pid(self) -> int:
        """Process id of the running process."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative for a signal; None while the process runs."""
        return self._process.returncode

    async def start(self) -> None:
        """Start the process."""
        if not (ROOT / COMMAND[0]).exists():
            raise CaseError("target/app/start.py is missing; run the build of the deploy file")
        keys = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in keys if key in os.environ}
        environment["ZINNIAROUTER_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                *COMMAND,
                str(self.metrics),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    async def wait_exit(self, timeout_s: float) -> int | None:
        """Return the exit status, None if the process still runs after the timeout."""
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return None

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the readiness address answers 200."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await fetch_status(self.readiness, "/-/readyz") == 200:
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready after {timeout_s} s")

    async def stop(self) -> None:
        """End the process, also a stopped one."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")


async def fetch_status(port: int, path: str) -> int | None:
    """Return the status of a request on a new connection, None without a response."""
    client = Client(port)
    try:
        reply = await client.send("GET", path, "probe")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        await client.close()
    return None if reply is None else reply.status


class Client:
    """A client with one connection, which it keeps for many requests."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, request_id: str, deadline_ms: int = 5000, body: bytes = b""
    ) -> Message | None:
        """Send a request and return the response, None if the connection ends without one.

        Raises
        ------
        TimeoutError
            There is no response within the deadline and a second.
        """
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: search.example",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        reply = None
        try:
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            limit_s = deadline_ms / 1000 + 1.0
            reply = await asyncio.wait_for(read_message(self._reader, True), limit_s)
        except ConnectionError:
            pass  # Counts as a connection that ended without a response.
        finally:
            if reply is None or reply.headers.get("connection", "").lower() == "close":
                await self.close()
        return reply

    async def close(self) -> None:
        """Close the connection; the next request opens another one."""
        writer, self._reader, self._writer = self._writer, None, None
        if writer is not None:
            writer.close()


class Case:
    """What one script has started; everything ends with the context."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.replicas: list[Replica] = []
        self.vms: list[Vm] = []
        self._temporary = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> "Case":
        """Start the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and servers."""
        for vm in self.vms:
            await vm.stop()
        for server in [*self.replicas, self.store]:
            await server.crash()
        self._temporary.cleanup()

    async def add_replica(self, replica: Replica) -> Replica:
        """Start a replica and write its entry to the store."""
        await replica.start()
        self.replicas.append(replica)
        self.store.put("servers", replica.name, replica.make_entry())
        return replica

    def make_vms(self, names: list[str], zone: str) -> None:
        """Write the settings of entry processes in a zone."""
        for name in names:
            seeds = f"{HOST}:{self.vms[0].peers}" if self.vms else ""
            self.vms.append(Vm(Path(self._temporary.name), name, zone, self.store, seeds))

    async def add_vms(self, names: list[str], zone: str) -> None:
        """Start entry processes in a zone and wait until all are ready."""
        self.make_vms(names, zone)
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await vm.wait_ready()
        self.record.write(f"{len(self.vms)} entry processes are ready")


def run_case(folder: Path, main: Callable[[Case], Awaitable[str]]) -> None:
    """Run a case and exit: 1 if it returns what broke the rule, 0 if it returns an empty text."""

    async def run() -> int:
        async with Case(folder) as case:
            broken = await asyncio.wait_for(main(case), SCRIPT_TIMEOUT_S)
            text = f"BROKEN: {broken}" if broken else "the rule held"
            case.record.write(text)
            print(text)
            return EXIT_BROKEN if broken else EXIT_HELD

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        status = asyncio.run(run())
    except (CaseError, OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        status = EXIT_NOT_RUN
    sys.exit(status)
