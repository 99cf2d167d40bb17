"""The demonstration: real processes, a whole path, a release note and a data centre move."""

import json
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from datetime import UTC, datetime, timedelta

from zinnia_measure.deployment import NEW_VERSION, OLD_VERSION, RunPlan, plan_run
from zinnia_measure.processes import wait_until
from zinnia_measure.sizes import BELLSOUND, KAVALAM, DeploymentSize
from zinnia_measure.tier import Tier, make_directory

SEED = 1
DAEMONS = 3
MOVE_S = 26
LOAD_QUERIES = 100
CALLERS = 6


class DemoFailedError(Exception):
    """A step of the demonstration did not show what it must show."""


def say(text: str) -> None:
    """Print one line of the demonstration."""
    print(text, flush=True)


def check(condition: bool, text: str) -> None:
    """Print a step that holds, or fail the demonstration."""
    if not condition:
        raise DemoFailedError(text)
    say(f"  ok: {text}")


def describe(answer: dict) -> str:
    """Return an answer in a few words."""
    coverage = answer.get("coverage")
    if coverage is None:
        return f"{answer.get('outcome')} {answer.get('reason', '')} {answer.get('message', '')}"
    missing = f", missing {coverage['missing']}" if coverage["missing"] else ""
    shards = f"{coverage['answered']} of {coverage['asked']} shards"
    return f"{answer['request_id']}: snapshot {answer['snapshot']}, {shards}{missing}"


def run_demo() -> None:
    """Run both deployments one after the other."""
    say(
        "Both deployments at their real sizes of services, replicas, slots and connections;\n"
        f"only the number of processes is smaller: {DAEMONS} daemons instead of 6 to 8, and all\n"
        "backend server replicas in one stand-in process."
    )
    start = time.monotonic()
    bellsound = BELLSOUND.keep_services("tune-identification", "licence-handling")
    kavalam = KAVALAM.keep_services("field-app", "billing", "dispatch")
    with ExitStack() as stack, ThreadPoolExecutor(2) as pool:
        # Both start at the same time, because members join one after the other.
        plans = [lay_out(bellsound, (OLD_VERSION, NEW_VERSION)), lay_out(kavalam, (OLD_VERSION,))]
        starts = [pool.submit(Tier(plan).__enter__) for plan in plans]
        first, second = [stack.enter_context(closing_tier(started)) for started in starts]
        run_bellsound(first)
        run_kavalam(second, kavalam.data_centres[1])
    say(f"\nDemonstration complete in {time.monotonic() - start:.1f} s.")


def lay_out(size: DeploymentSize, versions: tuple[str, ...]) -> RunPlan:
    """Lay out one deployment."""
    return plan_run(make_directory(f"demo-{size.name}"), size, DAEMONS, SEED, versions)


@contextmanager
def closing_tier(started: Future) -> Iterator[Tier]:
    """Yield a tier that a thread has started, and stop it at the end."""
    tier = started.result()
    try:
        yield tier
    finally:
        tier.__exit__()


def say_title(tier: Tier) -> None:
    """Print which deployment follows."""
    size = tier.plan.size
    say(f"\n== {size.name}: {DAEMONS} daemons, data centres {', '.join(size.data_centres)}")


def run_bellsound(tier: Tier) -> None:
    """Show whole and partial answers, a licence request sent twice, and a release."""
    say_title(tier)
    show_whole_answer(tier, "tune-identification", 20)
    show_command(tier, "licence-handling", "request")
    show_release(tier, "tune-identification")
    show_partial_answer(tier, "licence-handling")


def run_kavalam(tier: Tier, data_centre: str) -> None:
    """Show a data centre that is taken out and comes back."""
    say_title(tier)
    show_whole_answer(tier, "field-app", 20)
    show_command(tier, "billing", "booking")
    show_data_centre(tier, "field-app", data_centre)


def show_whole_answer(tier: Tier, service: str, shards: int) -> None:
    """Send one query over all shards of a service."""
    say("- a query over all shards")
    status, answer = tier.query(service, {"tune": "westminster"})
    say(f"  {status} {describe(answer)}")
    check(status == 200 and answer["coverage"]["answered"] == shards, f"all {shards} shards")
    trace = tier.admin(0, "GET", f"requests/{answer['request_id']}")[1]["events"]
    check(bool(trace), f"zinnia explain knows the request ({len(trace)} events)")


def show_command(tier: Tier, service: str, route: str) -> None:
    """Send one non-repeatable request twice, to two VMs."""
    say("- a non-repeatable request, sent twice with one key to two VMs")
    body = {"item": 7}
    first = tier.command(service, route, "key-7", body, vm=0)
    second = tier.command(service, route, "key-7", body, vm=1)
    say(f"  {first[0]} {first[1]['outcome']}; again {second[0]} {second[1]['outcome']}")
    check(first[0] == second[0] == 200, "both calls got the answer")
    check(first[1]["result"] == second[1]["result"], "the second answer is the recorded one")
    runs = sum(row["runs_by_key"].get("key-7", 0) for row in tier.count_backends().values())
    check(runs == 1, "the backend servers ran it once")


def show_partial_answer(tier: Tier, service: str) -> None:
    """Stop all replicas of one shard and read the coverage."""
    say("- a query while all replicas of one shard are lost")
    lost = [r["id"] for r in tier.plan.replicas if r["service"] == service and "03" in r["shards"]]
    for replica in lost:
        tier.set_backend_faults({"id": replica}, crash=True)
    status, answer = tier.query(service, {"licence": 3}, deadline_ms=400)
    say(f"  {status} {describe(answer)}")
    check(answer["coverage"]["missing"] == ["03"], "the answer names the missing shard")
    check("03" not in answer["results"], "and holds no body for it")
    wait_until(lambda: tier.is_whole(service), "return of the shard")
    check(True, "whole again after the restart")


def show_release(tier: Tier, service: str) -> None:
    """Apply a release note and follow its move until it is done."""
    say("- a release note moves traffic to version v2")
    due = datetime.now(UTC) + timedelta(seconds=MOVE_S + 10)
    note = build_note(service, due, tier.admin(0, "GET", "config")[1]["revision"])
    (tier.plan.directory / "note.yaml").write_text(note)
    status, reply = tier.admin(1, "POST", "notes?dry_run=1", note.encode())
    say(f"  dry run: {status} {reply}")
    status, reply = tier.admin(1, "POST", "notes", note.encode())
    check(status == 200, f"note accepted as revision {reply.get('revision')}")
    move = reply["moves"][0]

    def is_settled() -> bool:
        send_load(tier, service)
        return tier.read_moves(2)[move]["state"] in ("done", "taken_back")

    wait_until(is_settled, "end of the move", MOVE_S + 15)
    row = tier.read_moves(2)[move]
    say(f"  {json.dumps(row)}")
    check(row["state"] == "done", f"move {move} is done before its hour {row['due']}")
    send_load(tier, service)
    runs = [r for n, r in tier.count_backends().items() if f"{service}-{NEW_VERSION}-" in n]
    check(sum(row["runs"] for row in runs) > 0, "version v2 answers queries")


def build_note(service: str, due: datetime, revision: int) -> str:
    """Return a release note that brings version v2 of a service into traffic."""
    return (
        "format: 1\n"
        f"id: demo-{service}\n"
        "operator: morning\n"
        f"against_revision: {revision}\n"
        "time_zone: UTC\n"
        "step_seconds: 3\n"
        "added:\n"
        "  - kind: version\n"
        f"    service: {service}\n"
        f"    version: {NEW_VERSION}\n"
        f"    replaces: {OLD_VERSION}\n"
        f'    by: "{due:%Y-%m-%d %H:%M:%S}"\n'
    )


def send_load(tier: Tier, service: str) -> None:
    """Send some queries over all VMs; every answer must be whole."""

    def send(number: int) -> tuple[int, dict]:
        return tier.query(service, {"load": number}, vm=number % DAEMONS)

    with ThreadPoolExecutor(CALLERS) as pool:
        for number, (status, answer) in enumerate(pool.map(send, range(LOAD_QUERIES))):
            if status != 200 or answer["coverage"]["missing"]:
                trace = tier.admin(number % DAEMONS, "GET", f"requests/{answer['request_id']}")[1]
                raise DemoFailedError(
                    f"a query was not whole during the move: {describe(answer)}; {trace}"
                )


def show_data_centre(tier: Tier, service: str, data_centre: str) -> None:
    """Take a data centre out and bring it back under queries."""
    say(f"- data centre {data_centre} is taken out and returns")
    status, reply = tier.admin(
        0, "POST", f"data-centres/{data_centre}", b'{"state":"out","operator":"morning"}'
    )
    check(status == 200, f"out since revision {reply.get('revision')}")
    time.sleep(3.0)  # the promise: no new work after 3 s
    before = count_runs(tier, data_centre)
    vms = [i for i, d in enumerate(tier.plan.daemons) if d.data_centre != data_centre]
    for number in range(LOAD_QUERIES):
        status, answer = tier.query(service, {"n": number}, vm=vms[number % len(vms)])
        if status != 200 or answer["coverage"]["missing"]:
            raise DemoFailedError(f"a query was not whole: {describe(answer)}")
    check(count_runs(tier, data_centre) == before, "no new work there, all answers whole")
    status, _ = tier.admin(
        0, "POST", f"data-centres/{data_centre}", b'{"state":"in","operator":"morning"}'
    )
    check(status == 200, "back in")

    def takes_work() -> bool:
        tier.query(service, {"back": time.monotonic()}, vm=vms[0])
        return count_runs(tier, data_centre) > before

    waited = wait_until(takes_work, "new work in the data centre")
    check(True, f"takes work again after {waited:.1f} s")


def count_runs(tier: Tier, data_centre: str) -> int:
    """Return the runs of all replicas in a data centre."""
    inside = {r["id"] for r in tier.plan.replicas if r["data_centre"] == data_centre}
    return sum(row["runs"] for name, row in tier.count_backends().items() if name in inside)
