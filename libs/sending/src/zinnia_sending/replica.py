"""A replica as this VM uses it: catalog entry, connections, health and warm-up."""

from collections.abc import Sequence
from dataclasses import replace

import trio

from zinnia_catalog.ids import ReplicaId
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import ServiceLimits
from zinnia_sending.answers import (
    AnswerFacts,
    AnswerFault,
    Exchange,
    ExchangeResult,
    ReplicaAnswer,
)
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
from zinnia_sending.rates import RateLimit, TokenBucket


class Replica:
    """Sends requests to one replica.

    ``is_gone`` is set once the replica is removed or another replica answers at its address; it
    gets no more requests then. ``rate_limit`` is the limit that its last answer named, if any.
    """

    def __init__(self, entry: ReplicaEntry, connection_limit: int, now: float) -> None:
        self.entry = entry
        self.health = ReplicaHealth(now)
        self.pool = ConnectionPool(entry.host, entry.port, connection_limit)
        self.warm_at = now + entry.warmup_remaining_s
        self.is_gone = False
        self.rate_limit: RateLimit | None = None
        self._warmup_limiter: TokenBucket | None = None

    @property
    def id(self) -> ReplicaId:
        """Identifier of the replica."""
        return self.entry.id

    def is_cold(self, now: float) -> bool:
        """Whether the replica is still warming up."""
        return now < self.warm_at

    def mark_cold(self, duration_s: float, now: float) -> None:
        """Treat the replica as cold for at least ``duration_s`` seconds from now."""
        self.warm_at = max(self.warm_at, now + duration_s)

    def allows_warmup_request(
        self, limits: ServiceLimits | None, rate_share: float, now: float
    ) -> bool:
        """Return whether this VM may send a request to the cold replica now.

        This VM's share of the warm-up rate is ``rate_share`` times the rate in ``limits``.
        """
        if limits is None or limits.warmup_rate_per_s <= 0:
            return True
        return self._get_warmup_limiter(limits.warmup_rate_per_s * rate_share, now).has_token(now)

    def count_warmup_request(
        self, limits: ServiceLimits | None, rate_share: float, now: float
    ) -> None:
        """Count a request that is about to be sent against the warm-up rate of the replica."""
        if limits is not None and limits.warmup_rate_per_s > 0:
            self._get_warmup_limiter(limits.warmup_rate_per_s * rate_share, now).take_token(now)

    def _get_warmup_limiter(self, rate_per_s: float, now: float) -> TokenBucket:
        if self._warmup_limiter is None:
            self._warmup_limiter = TokenBucket(rate_per_s, now)
        self._warmup_limiter.rate_per_s = rate_per_s
        return self._warmup_limiter

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
        reader = _AnswerReader(request, protocol, connection)
        parser = AnswerParser(request.is_head, reader.is_own, limits)
        try:
            remaining_s = end_at - trio.current_time()
            if remaining_s <= 0:
                is_kept = True
                self.pool.release(connection, trio.current_time(), None)
                return _end_exchange(ExchangeResult.NOT_SENT, started_at, "no time left")
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
            return _end_exchange(ExchangeResult.BROKEN, started_at, str(error))
        except BadAnswerError as error:
            return _end_exchange(ExchangeResult.BROKEN, started_at, str(error), error.fault)
        finally:
            parser.release_memory()
            if not is_kept:
                self.pool.discard(connection)

    def _classify_answer(self, raw: RawAnswer, facts: AnswerFacts, started_at: float) -> Exchange:
        if facts.warmup_s:
            self.mark_cold(facts.warmup_s, trio.current_time())
        if facts.is_wrong_replica:
            self.is_gone = True
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
        self, request: PreparedRequest, protocol: ReplicaProtocol, connection: Connection
    ) -> None:
        self.facts: AnswerFacts | None = None
        self._request_id = request.request_id
        self._protocol = protocol
        self._connection = connection

    def is_own(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> bool:
        """Return whether an answer has the id of the request.

        An answer without an id counts as well, unless the replica has sent ids on this connection:
        it is then a late answer to an earlier request.
        """
        self.facts = self._protocol.read_facts(status, headers)
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
