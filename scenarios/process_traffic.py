"""Callers that send to a running tier as a balancer would spread them."""

import itertools
import json
import threading
import time
from dataclasses import dataclass

import httpcore
from process_tier import COMMAND_ROUTE, COMMAND_SERVICE, QUERY_SERVICE, RunningTier

CALLERS = 6
COMMAND_EVERY = 5
DEADLINE_MS = 2000
CLIENT_LIMIT_S = 8.0
BALANCER_POLL_S = 0.1
# Callers are paced so that the stand-ins, which share one process, do not saturate.
PACE_S = 0.01
TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), CLIENT_LIMIT_S)
REFUSED, BROKEN = "connection refused", "connection broken"


@dataclass(frozen=True, slots=True)
class Sent:
    """One request and what became of it; ``sent_at`` and ``ended_at`` are monotonic seconds."""

    vm: int
    sent_at: float
    ended_at: float
    status: int = 0
    answer: dict | None = None
    error: str = ""
    key: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the answer has full coverage, or the command ran."""
        if self.status != 200:
            return False
        return bool(self.key) or not self.answer["coverage"]["missing"]

    def describe(self) -> str:
        """Return the request in one line."""
        text = json.dumps(self.answer or {})[:300]
        return f"vm {self.vm} at {self.sent_at:.3f}: {self.status} {self.error} {self.key} {text}"


class Traffic:
    """Sends queries and commands from several callers until it is stopped.

    A balancer polls ``/readyz`` and takes VMs that are not ready out of service, as the platform's
    does. With ``only`` there is no balancer and the named VMs get all requests.
    """

    def __init__(
        self,
        tier: RunningTier,
        commands: bool = True,
        only: tuple[int, ...] | None = None,
        deadline_ms: int = DEADLINE_MS,
    ) -> None:
        self._tier = tier
        self._commands = commands
        self._only = only
        self._deadline_ms = deadline_ms
        self._in_service = list(only) if only is not None else tier.list_serving()
        self._numbers = itertools.count(1)
        self._stop = threading.Event()
        self._sent: list[Sent] = []
        self._threads: list[threading.Thread] = []
        self._prefix = f"load-{time.monotonic_ns()}"

    def start(self) -> None:
        """Start the callers and the balancer."""
        targets = [self._call] * CALLERS + ([] if self._only is not None else [self._balance])
        self._threads = [threading.Thread(target=target, daemon=True) for target in targets]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Sent]:
        """Stop sending, wait for the answers and return all requests in the order of sending."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.list_sent()

    def list_sent(self) -> list[Sent]:
        """Return all requests that have ended."""
        return sorted(self._sent, key=lambda sent: sent.sent_at)

    def _balance(self) -> None:
        while not self._stop.wait(BALANCER_POLL_S):
            serving = []
            for number, daemon in enumerate(self._tier.plan.daemons):
                try:
                    if self._tier.is_ready(daemon):
                        serving.append(number)
                except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                    continue
            if serving:
                self._in_service = serving

    def _call(self) -> None:
        with httpcore.ConnectionPool(max_connections=20) as pool:
            while not self._stop.wait(PACE_S):
                number = next(self._numbers)
                vms = self._in_service
                self._sent.append(self._send(pool, number, vms[number % len(vms)]))

    def _send(self, pool: httpcore.ConnectionPool, number: int, vm: int) -> Sent:
        is_command = self._commands and number % COMMAND_EVERY == 0
        key = f"{self._prefix}-{number}" if is_command else ""
        service, route, path = QUERY_SERVICE, "search", "/v1/query"
        if is_command:
            service, route, path = COMMAND_SERVICE, COMMAND_ROUTE, "/v1/command"
        value = {"service": service, "route": route, "deadline_ms": self._deadline_ms}
        content = json.dumps(value | {"body": {"number": number}}).encode()
        headers = {"Idempotency-Key": key} if key else None
        url = f"http://{self._tier.plan.daemons[vm].callers}{path}"
        start = time.monotonic()
        try:
            reply = pool.request(
                "POST", url, headers=headers, content=content, extensions={"timeout": TIMEOUT}
            )
        except httpcore.ConnectError:
            return Sent(vm, start, time.monotonic(), error=REFUSED, key=key)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            text = f"{BROKEN}: {type(error).__name__} {error}"
            return Sent(vm, start, time.monotonic(), error=text, key=key)
        return Sent(vm, start, time.monotonic(), reply.status, json.loads(reply.content), key=key)
