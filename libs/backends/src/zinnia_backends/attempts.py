"""State of one attempt at the VM that owns its replica."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from zinnia_backends.connections import Connection, Headers, WireRequest
from zinnia_backends.silence import SilenceWatch
from zinnia_model.ids import StartId
from zinnia_model.reasons import Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult


@dataclass(slots=True, eq=False)
class Attempt:
    """A sub-request from its submission until its result is delivered.

    ``deadline_at`` and ``sent_at`` are on trio's clock, in seconds; ``sent_at`` is 0 until the
    request is sent. ``start_id`` is the replica's last known start id when the request was sent.
    With ``on_new_connection``, the measured service time may include the backend server's cost of
    accepting the connection.
    """

    batch: Batch
    sub: SubRequest
    deadline_at: float
    deliver: Callable[[SubResult], None]
    shared_headers: Headers
    settled: bool = False
    suspect: bool = False
    cold: bool = False
    sent_at: float = 0.0
    start_id: StartId = StartId("")
    on_new_connection: bool = False
    connection: Connection | None = None
    watch: SilenceWatch | None = None
    scope: trio.CancelScope | None = None
    stop_reason: Reason | None = None

    @property
    def written(self) -> bool:
        """Whether any byte of the request may have been sent to the backend server."""
        return self.sent_at > 0 and self.connection is not None and self.connection.written

    def stop(self, reason: Reason) -> None:
        """Cancel the attempt; if called several times, the first reason is reported."""
        if self.stop_reason is None:
            self.stop_reason = reason
        if self.scope is not None:
            self.scope.cancel()

    def build_request(self, now: float) -> WireRequest:
        """Return the HTTP request; its deadline header carries the milliseconds left at ``now``."""
        left_ms = max(1, int((self.deadline_at - now) * 1000))
        headers = [
            *self.shared_headers,
            (b"x-attempt-id", self.sub.attempt_id.encode()),
            (b"x-shard", self.sub.shard.encode()),
            (b"x-deadline-ms", b"%d" % left_ms),
        ]
        return WireRequest(b"POST", b"/v1/run", headers, self.batch.body)


def build_shared_headers(batch: Batch) -> Headers:
    """Return the headers that all sub-requests of a batch share."""
    headers = [
        (b"host", b"backend"),
        (b"content-length", b"%d" % len(batch.body)),
        (b"x-request-id", batch.request_id.encode()),
        (b"x-service", batch.service.encode()),
        (b"x-route", batch.route.encode()),
        (b"x-snapshot", batch.snapshot.encode()),
    ]
    if batch.idempotency_key is not None:
        headers.append((b"idempotency-key", batch.idempotency_key.encode()))
    return headers
