"""A replica as this VM uses it: catalog entry, connections, health and availability."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import replace

import trio

from zinnia_catalog.ids import ReplicaId
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_sending.answers import (
    AnswerFacts,
    AnswerFault,
    Exchange,
    ExchangeResult,
    ReplicaAnswer,
)
from zinnia_sending.availability import Availability
from zinnia_sending.connections import (
    Connection,
    ConnectionEndedError,
    ConnectionPool,
    NotConnectedError,
    RawAnswer,
)
from zinnia_sending.health import ReplicaHealth
from zinnia_sending.limits import AnswerLimits
from zinnia_sending.parser import AnswerParser, BadAnswerError
from zinnia_sending.protocol import PreparedRequest, ReplicaProtocol


class ReplicaListener(ABC):
    """Receives what replicas say about themselves."""

    @abstractmethod
    def record_facts(self, replica: "Replica", facts: AnswerFacts) -> None:
        """Record the facts in the head of an answer, which may be to an earlier request."""


class Replica:
    """Sends requests to one replica.

    ``availability`` says when it may get one. ``has_answered`` is set once it has answered one.
    """

    def __init__(
        self,
        entry: ReplicaEntry,
        connection_limit: int,
        now: float,
        listener: ReplicaListener | None = None,
    ) -> None:
        self.entry = entry
        self.has_answered = False
        self._listener = listener
        self.health = ReplicaHealth(now)
        self.pool = ConnectionPool(entry.host, entry.port, connection_limit)
        self.availability = Availability(
            self.health, entry.is_draining, now + entry.warmup_remaining_s
        )

    @property
    def id(self) -> ReplicaId:
        """Identifier of the replica."""
        return self.entry.id

    def start_draining(self, now: float) -> None:
        """Send nothing more to the replica; requests in progress there go on."""
        self.availability.is_draining = True
        self.pool.limit = 0
        self.pool.discard_idle(now)

    def stop_draining(self, connection_limit: int) -> None:
        """Send requests to the replica again, over up to ``connection_limit`` connections."""
        self.availability.is_draining = False
        self.pool.limit = connection_limit

    def record_facts(self, facts: AnswerFacts) -> None:
        """Record the facts in the head of an answer, as soon as it is read."""
        if facts.is_wrong_replica:
            self.availability.is_gone = True
            return
        if facts.warmup_s:
            self.availability.mark_cold(facts.warmup_s, trio.current_time())
        if self._listener is not None:
            self._listener.record_facts(self, facts)

    async def exchange(
        self,
        request: PreparedRequest,
        protocol: ReplicaProtocol,
        end_at: float,
        is_idempotent: bool,
        limits: AnswerLimits | None = None,
    ) -> Exchange:
        """Send a request and return its result; expected errors are results, not exceptions."""
        started_at = trio.current_time()
        connection = self.pool.acquire_idle(started_at, not is_idempotent)
        try:
            if connection is None:
                connection = await self.pool.open()
        except NotConnectedError as error:
            return _end_exchange(ExchangeResult.NOT_SENT, started_at, str(error))
        is_kept = False
        reader = _AnswerReader(request, protocol, connection, self.record_facts)
        parser = AnswerParser(request.is_head, reader.is_own, limits)
        try:
            remaining_s = end_at - trio.current_time()
            cause = "no time left" if remaining_s <= 0 else self._find_new_obstacle()
            if cause:
                is_kept = True
                self.pool.release(connection, trio.current_time(), None)
                return _end_exchange(ExchangeResult.NOT_SENT, started_at, cause)
            raw = await connection.exchange(request.render(self.id, remaining_s), parser)
            is_kept = raw.is_reusable
            if is_kept:
                self.pool.release(
                    connection, trio.current_time(), parse_keep_alive_timeout(raw.headers)
                )
            exchange = self._classify_answer(raw, reader.facts, started_at)
            rate_limit_per_s = reader.facts.rate_limit_per_s
            if rate_limit_per_s is None or exchange.result is ExchangeResult.WRONG_REPLICA:
                return exchange
            return replace(exchange, rate_limit_per_s=rate_limit_per_s)
        except ConnectionEndedError as error:
            exchange = _end_exchange(ExchangeResult.BROKEN, started_at, str(error))
            is_unanswered = error.by_replica and not parser.has_received
            return replace(exchange, is_unanswered=is_unanswered)
        except BadAnswerError as error:
            return _end_exchange(ExchangeResult.BROKEN, started_at, str(error), error.fault)
        finally:
            parser.release_memory()
            if not is_kept:
                self.pool.discard(connection)

    def _find_new_obstacle(self) -> str:
        """Return why the replica gets no request anymore since it was chosen, or nothing."""
        obstacle = self.availability.find_refusal(trio.current_time())
        return "" if obstacle is None else f"the replica is {obstacle.value}"

    def _classify_answer(self, raw: RawAnswer, facts: AnswerFacts, started_at: float) -> Exchange:
        if facts.is_wrong_replica:
            return _end_exchange(
                ExchangeResult.WRONG_REPLICA, started_at, "another replica answered"
            )
        if facts.is_not_run:
            return _end_exchange(
                ExchangeResult.NOT_RUN, started_at, f"status {raw.status}, not run"
            )
        if facts.has_encoding:
            return _end_exchange(ExchangeResult.BROKEN, started_at, "the body is encoded")
        answer = ReplicaAnswer(raw.status, raw.headers, raw.body, facts.signature)
        duration_s = trio.current_time() - started_at
        if answer.is_success and not facts.signature:
            return _end_exchange(ExchangeResult.BROKEN, started_at, "a success without a signature")
        if raw.status >= 500:
            cause = f"status {raw.status}"
            return Exchange(ExchangeResult.FAILED, duration_s, answer, cause)
        return Exchange(ExchangeResult.ANSWERED, duration_s, answer)


class _AnswerReader:
    """Recognizes the answer to one request and keeps the facts of the latest answer."""

    def __init__(
        self,
        request: PreparedRequest,
        protocol: ReplicaProtocol,
        connection: Connection,
        record_facts: Callable[[AnswerFacts], None],
    ) -> None:
        self.facts: AnswerFacts | None = None
        self._request_id = request.request_id
        self._protocol = protocol
        self._connection = connection
        self._record_facts = record_facts

    def is_own(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> bool:
        """Return whether an answer has the id of the request.

        An answer without an id counts as well, unless the replica has sent ids on this connection:
        it is then a late answer to an earlier request.
        """
        self.facts = self._protocol.read_facts(status, headers)
        self._record_facts(self.facts)
        if not self.facts.request_id:
            return not self._connection.has_request_ids
        self._connection.has_request_ids = True
        return self.facts.request_id == self._request_id


def parse_keep_alive_timeout(headers: tuple[tuple[bytes, bytes], ...]) -> float | None:
    """Return the idle timeout in seconds from the ``Keep-Alive`` header, None without one."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                return float(number)
    return None


def _end_exchange(
    result: ExchangeResult, started_at: float, cause: str, fault: AnswerFault | None = None
) -> Exchange:
    """Return the result of an exchange that gave no answer."""
    return Exchange(result, trio.current_time() - started_at, None, cause, fault)
