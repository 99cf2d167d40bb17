"""Classification of responses of a backend server (no I/O)."""

import json
from dataclasses import dataclass

from loguru import logger

from zinnia_backends.attempts import Attempt
from zinnia_backends.connections import WireResponse
from zinnia_model.ids import StartId, VersionId
from zinnia_model.reasons import Outcome, Reason

_REFUSALS = {
    (503, b"overloaded"): Reason.BACKEND_OVERLOADED,
    (503, b"draining"): Reason.DRAINING,
    (503, b"cold"): Reason.COLD,
    (409, b"snapshot_gone"): Reason.SNAPSHOT_GONE,
    (504, b"deadline"): Reason.DEADLINE,
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """The classification of a response; ``matched`` is false if it answers another request."""

    outcome: Outcome
    reason: Reason | None
    matched: bool
    reports_cold: bool
    reports_draining: bool
    start_id: StartId
    version: VersionId


def _read(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _matches(attempt: Attempt, response: WireResponse) -> bool:
    headers = response.headers
    if _read(headers, b"x-attempt-id") != attempt.sub.attempt_id:
        return False
    snapshot, shard = _read(headers, b"x-snapshot"), _read(headers, b"x-shard")
    if response.status == 409 and snapshot != attempt.batch.snapshot:
        # A refusal for a removed snapshot may name the current one.
        snapshot = attempt.batch.snapshot
    return snapshot == attempt.batch.snapshot and shard == attempt.sub.shard


def _is_valid_json(body: bytes) -> bool:
    """Return whether a body is valid JSON; one invalid body would corrupt the merged answer.

    The decoded value is discarded, because the entry VM merges the bytes as they are. Checking 200
    bytes takes about 3 us.
    """
    try:
        json.loads(body)
    except ValueError:
        return False
    return True


def classify_response(attempt: Attempt, response: WireResponse) -> Verdict:
    """Classify a response; only a matching one tells whether the request ran."""
    headers = response.headers
    matched = _matches(attempt, response)
    refusal = headers.get(b"x-refusal", b"")
    if not matched:
        fault = response.status == 500 and b"x-attempt-id" not in headers
        outcome = Outcome.UNKNOWN
        reason = Reason.BACKEND_FAULT if fault else Reason.BACKEND_MISMATCH
    elif response.status == 200:
        valid = _is_valid_json(response.body)
        outcome = Outcome.ANSWERED if valid else Outcome.UNKNOWN
        reason = None if valid else Reason.BACKEND_FAULT
    else:
        reason = _REFUSALS.get((response.status, refusal))
        outcome = Outcome.UNKNOWN if reason is None else Outcome.NOT_RUN
        reason = reason or Reason.BACKEND_FAULT
    return Verdict(
        outcome,
        reason,
        matched,
        headers.get(b"x-temperature") == b"cold" or refusal == b"cold",
        headers.get(b"x-draining") == b"1" or refusal == b"draining",
        StartId(_read(headers, b"x-start-id")),
        VersionId(_read(headers, b"x-server-version")),
    )


@dataclass(frozen=True, slots=True)
class Health:
    """A health answer, possibly outdated or wrong; ``running`` is empty if not reported."""

    start_id: StartId
    draining: bool
    cold: bool
    running: frozenset[str]


def read_health(response: WireResponse) -> Health | None:
    """Return the parsed health answer, or None if it is malformed."""
    try:
        body = json.loads(response.body)
        return Health(
            StartId(str(body.get("start_id", ""))),
            body.get("draining") is True,
            body.get("cold") is True,
            frozenset(str(item) for item in body.get("running") or ()),
        )
    except (ValueError, AttributeError, TypeError) as error:
        logger.debug("malformed health answer: {}", error)
        return None
