"""Processor time and bytes of running a part of a fan-out on another VM, beside its sends."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from zinnia_delegation.messages import Call, Reply, ReplyKind, SubqueryStart
from zinnia_relay.messages import decode, encode
from zinnia_sending.merge import RECORD_BYTES, merge_records

PART_SHARDS = (30, 45, 68)
RECORDS_PER_SHARD = 12
TOP_K = 10
SIGNATURE_BYTES = 30
REQUEST_BYTES = 200
REPETITIONS = 300


@dataclass(frozen=True, slots=True)
class DelegationCost:
    """What one part costs; times are microseconds of processor time."""

    shards: int
    caller_us: float
    runner_us: float
    sent_bytes: int
    received_bytes: int


def measure_delegation(shards: int, repetitions: int = REPETITIONS) -> DelegationCost:
    """Return what the VM of the caller and the VM that runs a part spend on its messages."""
    random = Random(1)
    bodies = [random.randbytes(RECORDS_PER_SHARD * RECORD_BYTES) for _ in range(shards)]
    signatures = [random.randbytes(SIGNATURE_BYTES) for _ in range(shards)]
    start = Call(
        start=SubqueryStart(
            1,
            bytes(REQUEST_BYTES),
            "search",
            [f"shard-{number}" for number in range(shards)],
            2,
            TOP_K,
        )
    )
    request = encode(start)
    result = Reply(1, ReplyKind.RESULT.value, list(range(shards)), signatures, bytes(160))
    reply = encode(result)

    def run_caller() -> None:
        encode(start)
        decode(Reply, reply)

    def run_runner() -> None:
        decode(Call, request)
        merge_records(bodies, TOP_K)
        encode(result)

    return DelegationCost(
        shards,
        _time(run_caller, repetitions),
        _time(run_runner, repetitions),
        len(request),
        len(reply),
    )


def run_delegation_cost() -> list[DelegationCost]:
    """Return a row for each size of a part."""
    return [measure_delegation(shards) for shards in PART_SHARDS]


def _time(action: Callable[[], None], repetitions: int) -> float:
    started = time.process_time()
    for _ in range(repetitions):
        action()
    return (time.process_time() - started) / repetitions * 1e6
