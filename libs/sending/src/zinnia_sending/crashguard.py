"""Recognizes requests that crash the replicas which run them, over all VMs."""

from collections.abc import Callable

import trio

from zinnia_catalog.crashes import (
    SUSPECT_CRASHES,
    Crash,
    CrashFindings,
    CrashTable,
    find_refusal_time,
)
from zinnia_catalog.ids import Fingerprint, ServiceName, VersionId
from zinnia_sending.answers import Exchange, ExchangeResult
from zinnia_sending.attempts import Attempt, RunRequest
from zinnia_sending.counters import SendCounters
from zinnia_sending.events import EventSink

# Results that show that the replica has run a request and goes on.
SURVIVED_RESULTS = frozenset((ExchangeResult.ANSWERED, ExchangeResult.FAILED))
# Length at which the ids of callers' requests are cut, as they are kept and sent to other VMs.
MAX_REQUEST_ID_LENGTH = 64


class CrashGuard:
    """Knows the requests that have crashed replicas, at this VM or at another one.

    A suspect has crashed three replicas and was not answered since: it is sent to one replica only,
    until one answers. A suspect that crashed replicas on several occasions is refused for a time.

    Parameters
    ----------
    events : EventSink
        Receives suspects, and those that are cleared.
    counters : SendCounters
        Counts suspects.
    list_versions : Callable[[ServiceName], set[VersionId]]
        Returns the versions of the known replicas of a service.
    """

    def __init__(
        self,
        events: EventSink,
        counters: SendCounters,
        list_versions: Callable[[ServiceName], set[VersionId]],
    ) -> None:
        self._events = events
        self._counters = counters
        self._list_versions = list_versions
        self._table = CrashTable()

    def record_exchange(self, attempt: Attempt, exchange: Exchange) -> None:
        """Record whether a replica has crashed while it ran a request, or has answered it."""
        if exchange.is_unanswered:
            self._record_crash(attempt)
        elif exchange.result in SURVIVED_RESULTS:
            attempt.replica.has_answered = True
            self._record_answer(attempt.request)

    def is_suspect(self, request: RunRequest) -> bool:
        """Return whether other attempts of callers with this request have crashed replicas."""
        if not len(self._table):
            return False
        request_id = request.id[:MAX_REQUEST_ID_LENGTH]
        return self._table.is_suspect(request.prepared.fingerprint, request_id, trio.current_time())

    def find_refusal_time(self, request: RunRequest) -> float | None:
        """Return for how many more seconds a request is refused, None if it may be sent."""
        crashes = self._list_crashes(request)
        if not any(
            self._has_crashed_all_versions(service, crashes) for service in request.services
        ):
            return None
        return find_refusal_time(crashes)

    def list_crashed_versions(self, request: RunRequest, service: ServiceName) -> set[VersionId]:
        """Return the versions of a service whose replicas a request has crashed."""
        return {crash.version for crash in self._list_crashes(request) if crash.service == service}

    def list_findings(self) -> CrashFindings:
        """Return what to tell other VMs."""
        return self._table.list_recent(trio.current_time())

    def apply_findings(self, findings: CrashFindings) -> None:
        """Apply what another VM knows."""
        for fingerprint in {
            crash.fingerprint for crash in self._table.merge(findings, trio.current_time())
        }:
            self._note_suspect(fingerprint)

    def _list_crashes(self, request: RunRequest) -> list[Crash]:
        if not len(self._table):
            return []
        return self._table.list_crashes(request.prepared.fingerprint, trio.current_time())

    def _has_crashed_all_versions(self, service: ServiceName, crashes: list[Crash]) -> bool:
        """Whether a request has crashed each version of a service; one alone may be bad."""
        crashed = {crash.version for crash in crashes if crash.service == service}
        return bool(crashed) and crashed >= self._list_versions(service)

    def _record_crash(self, attempt: Attempt) -> None:
        entry = attempt.replica.entry
        crash = Crash(
            attempt.request.prepared.fingerprint,
            entry.id,
            entry.started_ms,
            entry.service,
            entry.version,
            attempt.request.id[:MAX_REQUEST_ID_LENGTH],
            attempt.replica.has_answered,
        )
        if self._table.add(crash, trio.current_time()):
            self._note_suspect(crash.fingerprint)

    def _record_answer(self, request: RunRequest) -> None:
        if not len(self._table) or request.prepared.fingerprint not in self._table:
            return
        now = trio.current_time()
        fingerprint = request.prepared.fingerprint
        was_suspect = len(self._table.list_crashes(fingerprint, now)) >= SUSPECT_CRASHES
        if self._table.record_answer(fingerprint, now, now) and was_suspect:
            self._events.note("crash_suspect_cleared", fingerprint=fingerprint)

    def _note_suspect(self, fingerprint: Fingerprint) -> None:
        crashes = self._table.list_crashes(fingerprint, trio.current_time())
        if len(crashes) < SUSPECT_CRASHES:
            return
        self._counters.count_crash()
        self._events.note(
            "crash_suspect",
            fingerprint=fingerprint,
            crashes=len(crashes),
            latest_request=crashes[-1].request_id,
            services=sorted({crash.service for crash in crashes}),
            versions=sorted({crash.version for crash in crashes}),
            refused_s=find_refusal_time(crashes),
        )
