"""Health requests: idle checks, probes beside a running request, and crash checks."""

import trio
from loguru import logger

from zinnia_backends.attempts import Attempt
from zinnia_backends.connections import (
    ConnectFailedError,
    Connection,
    ConnectionLostError,
    Connector,
    WireRequest,
)
from zinnia_backends.learning import Learner
from zinnia_backends.replica import Replica
from zinnia_backends.responses import Health, read_health
from zinnia_backends.silence import HEALTH_LIMIT_S
from zinnia_backends.temperature import ColdEvidence

CRASH_CHECK_S = 0.25  # delays the result of a request whose connection broke by at most this
_REQUEST = WireRequest(b"GET", b"/healthz", [(b"host", b"backend")])


class HealthChecker:
    """Sends health requests within the replica's connection limit.

    What they say may mark a replica cold or draining, never warm.
    """

    def __init__(self, connector: Connector, learner: Learner):
        self._connector = connector
        self._learner = learner

    async def check_idle(self, replica: Replica, connection: Connection) -> None:
        """Verify an idle connection that the caller counted as in use; close it if silent."""
        try:
            answered, _ = await self._ask(replica, connection, HEALTH_LIMIT_S)
            if not answered:
                logger.info("closed an idle connection to {} without a health answer", replica.id)
        finally:
            replica.checking -= 1

    async def probe(self, replica: Replica) -> tuple[bool, Health | None]:
        """Ask on a new connection that the caller counted as in use.

        Returns whether any answer came, and what it says.
        """
        try:
            with trio.move_on_after(HEALTH_LIMIT_S):
                connection = await self._connector.connect(replica.record.address)
                return await self._ask(replica, connection, HEALTH_LIMIT_S)
            return False, None
        except ConnectFailedError as error:
            if error.refused:
                self._learner.note_refused(replica, trio.current_time())
            return False, None
        finally:
            replica.checking -= 1

    async def find_crash(self, replica: Replica, attempt: Attempt) -> bool:
        """Return whether the backend server crashed under a request whose connection broke."""
        replica.checking += 1
        try:
            with trio.move_on_after(CRASH_CHECK_S):
                connection = await self._connector.connect(replica.record.address)
                _, health = await self._ask(replica, connection, CRASH_CHECK_S)
                known = bool(attempt.start_id) and health is not None and bool(health.start_id)
                return known and replica.temperature.start_id != attempt.start_id
            return False
        except ConnectFailedError as error:
            if error.refused:
                now = trio.current_time()
                replica.temperature.note_cold(ColdEvidence.CONNECT_REFUSED, now)
            return error.refused
        finally:
            replica.checking -= 1

    async def _ask(
        self, replica: Replica, connection: Connection, limit_s: float
    ) -> tuple[bool, Health | None]:
        response = None
        try:
            with trio.move_on_after(limit_s):
                response = await connection.exchange(_REQUEST)
        except ConnectionLostError as error:
            logger.debug("health request to {}: {}", replica.id, error)
        finally:
            if response is None:
                connection.close()
        if response is None:
            return False, None
        now = trio.current_time()
        connection.verified_at = now
        health = read_health(response) if response.status == 200 else None
        if health is not None:
            self._learner.learn_health(replica, health, now)
        replica.keep_idle(connection, now, used=False)
        return True, health
