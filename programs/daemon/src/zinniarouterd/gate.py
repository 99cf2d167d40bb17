"""Admission of callers' requests, and the count of those in flight for a graceful shutdown."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from zinnia_model.errors import RefusedError
from zinnia_model.reasons import Outcome, Reason

REFUSAL_MESSAGES = {
    Reason.NO_CONFIGURATION: "No configuration is known yet; apply one with zinnia or retry later.",
    Reason.NO_MAJORITY: "This VM cannot reach a majority of its peers; send to another VM.",
    Reason.SHUTTING_DOWN: "This VM is shutting down; send to another VM.",
}


class Gate:
    """Admits requests while the VM may serve and counts those in flight.

    Parameters
    ----------
    find_unready_reason : callable
        Returns the reason why the load balancer should send requests to other VMs, or None.
    find_refusal : callable
        Returns the reason why this VM must refuse requests now, or None. A VM that is not ready
        only because its data centre is being taken out still serves the requests that reach it, so
        that no request fails because of a planned move.
    """

    def __init__(
        self,
        find_unready_reason: Callable[[], Reason | None],
        find_refusal: Callable[[], Reason | None],
    ) -> None:
        self._find_unready_reason = find_unready_reason
        self._find_refusal = find_refusal
        self._in_flight = 0
        self._idle = trio.Event()
        self._idle.set()
        self._is_shutting_down = False
        self._is_closed = False

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that are not finished."""
        return self._in_flight

    def find_unready_reason(self) -> Reason | None:
        """Return the reason why the VM is not ready, or None."""
        return Reason.SHUTTING_DOWN if self._is_shutting_down else self._find_unready_reason()

    def begin_shutdown(self) -> None:
        """Report not ready; still admit requests until the load balancer has noticed."""
        self._is_shutting_down = True

    def close(self) -> None:
        """Refuse all further requests."""
        self._is_shutting_down = True
        self._is_closed = True

    @contextmanager
    def admit(self) -> Iterator[None]:
        """Count one request as in flight.

        Raises
        ------
        RefusedError
            If the VM must refuse requests; the request was not run.
        """
        refusal_reason = Reason.SHUTTING_DOWN if self._is_closed else self._find_refusal()
        if refusal_reason is not None:
            raise RefusedError(refusal_reason, Outcome.NOT_RUN, REFUSAL_MESSAGES[refusal_reason])
        self._in_flight += 1
        if self._in_flight == 1:
            self._idle = trio.Event()
        try:
            yield
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._in_flight:
            await self._idle.wait()
