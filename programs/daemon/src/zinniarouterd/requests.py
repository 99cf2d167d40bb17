"""Validation of callers' requests and encoding of the responses."""

import json
from typing import Annotated, Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from zinnia_model.errors import RefusedError
from zinnia_model.ids import ShardId
from zinnia_model.queries import Answer
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.shardmaps import ShardMap
from zinniarouterd.web import WebResponse, make_json

Identifier = Annotated[str, StringConstraints(min_length=1, max_length=200)]
MAX_KEY_LENGTH = 200

REFUSAL_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.KEY_REUSE: 409,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 504,
}


class CallerRequest(BaseModel):
    """The JSON body of a query or command."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: Identifier
    route: Identifier
    deadline_ms: int = Field(ge=1)
    body: Any = None
    shard: Identifier | None = None


def parse_request(body: bytes, max_deadline_ms: int) -> CallerRequest:
    """Parse and validate the JSON body of a query or command.

    Raises
    ------
    RefusedError
        With reason ``BAD_REQUEST`` and a message that names each bad key.
    """
    try:
        request = CallerRequest.model_validate_json(body)
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(map(str, p['loc'])) or 'body'}: {p['msg']}" for p in error.errors()
        )
        raise RefusedError(
            Reason.BAD_REQUEST,
            Outcome.NOT_RUN,
            f"Invalid request: {problems}. Correct it.",
        ) from error
    if request.deadline_ms > max_deadline_ms:
        raise RefusedError(
            Reason.BAD_REQUEST,
            Outcome.NOT_RUN,
            f"Invalid request: deadline_ms: must be at most {max_deadline_ms}. Correct it.",
        )
    return request


def read_key(headers: dict[bytes, bytes]) -> str | None:
    """Return the idempotency key from the headers, or None if there is none."""
    key = headers.get(b"idempotency-key", b"").decode("latin-1").strip()
    if len(key) > MAX_KEY_LENGTH:
        raise RefusedError(
            Reason.BAD_REQUEST,
            Outcome.NOT_RUN,
            f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters; send a shorter one.",
        )
    return key or None


def choose_shard(shard_map: ShardMap | None, key: str) -> ShardId | None:
    """Return the shard that runs commands with this idempotency key, or None without shards.

    The shard is chosen by a hash of the key, so every VM with the same shard map chooses the same.
    """
    if shard_map is None or not shard_map.shards:
        return None
    shards = sorted(shard_map.shards)
    return ShardId(shards[xxhash.xxh3_64_intdigest(key.encode()) % len(shards)])


def encode_answer(answer: Answer) -> WebResponse:
    """Encode the answer of a query; the bodies of the shards are inserted as JSON, not decoded."""
    head = json.dumps(
        {
            "request_id": answer.request_id,
            "outcome": Outcome.ANSWERED.value,
            "snapshot": answer.snapshot,
            "coverage": {
                "answered": answer.coverage.answered,
                "asked": answer.coverage.asked,
                "missing": list(answer.coverage.missing),
            },
        }
    ).encode()
    rows = b",".join(
        json.dumps(shard).encode() + b":" + body for shard, body in answer.results.items()
    )
    return WebResponse(200, head[:-1] + b',"results":{' + rows + b"}}")


def encode_refusal(error: RefusedError, request_id: str, outcome_url: str = "") -> WebResponse:
    """Encode a refusal with its reason and its outcome (not run, or unknown)."""
    status = REFUSAL_STATUS.get(error.reason, 503)
    if error.outcome is Outcome.UNKNOWN:
        status = 504
    value = {
        "request_id": request_id,
        "outcome": error.outcome.value,
        "reason": error.reason.value,
        "message": str(error),
    }
    if outcome_url:
        value["outcome_url"] = outcome_url
    return make_json(status, value)
