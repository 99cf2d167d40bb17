"""Health requests: checks of idle connections, probes during a request, and crash checks."""

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
from zinnia_backends.replica import Replica
from zinnia_backends.responses import Health, read_health
from zinnia_backends.silence import HEALTH_TIMEOUT_S
from zinnia_backends.state_updates import ReplicaStateUpdater
from zinnia_backends.temperature import ColdEvidence

CRASH_CHECK_TIMEOUT_S = 0.25  # delays the result of a lost request by at most this
_REQUEST = WireRequest(b"GET", b"/healthz", [(b"host", b"backend")])


class HealthChecker:
    """Sends health requests within the replica's connection limit.

    The answers may mark a replica cold or draining, but never warm.
    """

    def __init__(self, connector: Connector, state_updater: ReplicaStateUpdater):
        self._connector = connector
        self._state_updater = state_updater

    async def verify_idle_connection(self, replica: Replica, connection: Connection) -> None:
        """Check an idle connection, and close it if no answer comes.

        The caller has incremented ``replica.health_connections``; this method decrements it.
        """
        try:
            answered, _ = await self._request_health(replica, connection, HEALTH_TIMEOUT_S)
            if not answered:
                logger.info(
                    "closed an idle connection to replica {}: no answer to a health request",
                    replica.id,
                )
        finally:
            replica.health_connections -= 1

    async def probe(self, replica: Replica) -> tuple[bool, Health | None]:
        """Send a health request on a new connection.

        Return whether any answer came, and its contents, or None if they are malformed. The caller
        has incremented ``replica.health_connections``; this method decrements it.
        """
        try:
            with trio.move_on_after(HEALTH_TIMEOUT_S):
                connection = await self._connector.connect(replica.record.address)
                return await self._request_health(replica, connection, HEALTH_TIMEOUT_S)
            return False, None
        except ConnectFailedError as error:
            if error.refused:
                self._state_updater.record_connect_refused(replica, trio.current_time())
            return False, None
        finally:
            replica.health_connections -= 1

    async def detect_crash(self, replica: Replica, attempt: Attempt) -> bool:
        """Return whether the backend server crashed during a request whose connection broke."""
        replica.health_connections += 1
        try:
            with trio.move_on_after(CRASH_CHECK_TIMEOUT_S):
                connection = await self._connector.connect(replica.record.address)
                _, health = await self._request_health(replica, connection, CRASH_CHECK_TIMEOUT_S)
                known = bool(attempt.start_id) and health is not None and bool(health.start_id)
                return known and replica.temperature.start_id != attempt.start_id
            return False
        except ConnectFailedError as error:
            if error.refused:
                now = trio.current_time()
                replica.temperature.mark_cold(ColdEvidence.CONNECT_REFUSED, now)
            return error.refused
        finally:
            replica.health_connections -= 1

    async def _request_health(
        self, replica: Replica, connection: Connection, limit_s: float
    ) -> tuple[bool, Health | None]:
        response = None
        try:
            with trio.move_on_after(limit_s):
                response = await connection.exchange(_REQUEST)
        except ConnectionLostError as error:
            logger.debug("health request to replica {} failed: {}", replica.id, error)
        finally:
            if response is None:
                connection.close()
        if response is None:
            return False, None
        now = trio.current_time()
        connection.verified_at = now
        health = read_health(response) if response.status == 200 else None
        if health is not None:
            self._state_updater.apply_health(replica, health, now)
        replica.keep_idle(connection, now, used=False)
        return True, health
