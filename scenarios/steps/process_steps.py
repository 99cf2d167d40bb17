"""Steps that start, signal and replace the processes of a running tier."""

import json
import signal
import threading
import time

import httpcore
from behave import given, step, then, when
from process_tier import (
    COMMAND_ROUTE,
    COMMAND_SERVICE,
    QUERY_SERVICE,
    QUERY_SHARDS,
    RunningTier,
)
from process_traffic import Traffic

from zinnia_measure.deployment import MEDIAN_MS
from zinnia_measure.processes import wait_until
from zinnia_measure.tier import PLATFORM

COMMAND_DEADLINE_MS = 4000
# A stop takes the ready grace (1 s), the requests in flight and at most 3 s for the seat.
STOP_LIMIT_S = 10.0
# Longer than a takeover, so that a load that stalls fails with the requests that it sent.
LOAD_LIMIT_S = 20.0
OUT_AFTER_S = 3.0
NO_ANSWER = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)

# The tier outlives a scenario: behave drops attributes that a step sets when the scenario ends.
running: dict[str, RunningTier] = {}


def close_tier() -> None:
    tier = running.pop("tier", None)
    if tier is not None:
        tier.__exit__(None, None, None)


@given("a running tier of 3 daemons")
def start_or_repair(context):
    seed = int(context.config.userdata.get("seed", "1"))
    if "tier" not in running:
        name = context.feature.filename.rsplit("/", 1)[-1].removesuffix(".feature")
        running["tier"] = RunningTier(name.replace("_", "-"), seed).__enter__()
        context.add_cleanup(close_tier, layer="feature")
    else:
        running["tier"].repair()
    context.tier = running["tier"]
    context.calls = []


def signal_process(context, name: str, number: signal.Signals) -> None:
    context.tier.processes.signal(PLATFORM if name == "the platform" else name, number)


@when("the process of {name} is stopped")
def stop_process(context, name):
    signal_process(context, name, signal.SIGSTOP)
    context.fault_at = time.monotonic()


@when("the process of {name} is resumed")
def resume_process(context, name):
    signal_process(context, name, signal.SIGCONT)


@when("the process of {name} is killed")
def kill_process(context, name):
    context.tier.processes.kill(PLATFORM if name == "the platform" else name)
    context.fault_at = time.monotonic()


@when("the process of {vm} is started again")
def start_again(context, vm):
    context.tier.start_daemon(context.tier.plan.daemons[context.tier.find_number(vm)])
    context.tier.wait_whole()


@when("the process of {vm} gets SIGTERM and ends with exit status 0")
def end_gracefully(context, vm):
    processes = context.tier.processes
    processes.signal(vm, signal.SIGTERM)
    status = processes.wait(vm, STOP_LIMIT_S)
    assert status == 0, f"{vm} ended with exit status {status}"


@when("the process of {vm} is replaced")
def replace_one(context, vm):
    end_gracefully(context, vm)
    start_again(context, vm)


@when("the processes of all VMs are replaced one by one")
def replace_all(context):
    for vm in context.tier.vms:
        replace_one(context, vm)


# Commands


def send_command(context, vm: int, deadline_ms: int = COMMAND_DEADLINE_MS):
    """Send the command of the scenario; return status and answer, None if the VM is lost."""
    try:
        return context.tier.command(
            COMMAND_SERVICE, COMMAND_ROUTE, context.key, {"visit": 7}, deadline_ms, vm
        )
    except NO_ANSWER:
        return None


@step("the backend servers of the command service need {milliseconds:d} ms for a run")
def slow_down(context, milliseconds):
    factor = milliseconds / MEDIAN_MS
    context.tier.set_backend_faults({"service": COMMAND_SERVICE}, slow_factor=factor)


@given("the platform of the running tier answers after {milliseconds:d} ms")
def slow_platform(context, milliseconds):
    context.tier.set_platform_faults(delay_s=milliseconds / 1000)


@when("the platform of the running tier answers at once")
def restore_platform(context):
    context.tier.set_platform_faults(delay_s=0.0)


def start_command(context) -> None:
    context.key = f"key-{time.monotonic_ns()}"
    context.claims_before = len(context.tier.list_objects("claims"))
    thread = threading.Thread(target=lambda: context.calls.append(send_command(context, 0)))
    thread.start()
    context.add_cleanup(thread.join)
    context.thread = thread


def has_claim(context) -> bool:
    return len(context.tier.list_objects("claims")) > context.claims_before


@when("a running tier gets a command through vm-1 and its claim is recorded")
def send_until_claimed(context):
    start_command(context)
    wait_until(lambda: has_claim(context), "the claim", COMMAND_DEADLINE_MS / 1000)


@when("a running tier gets a command through vm-1 and it runs on a backend server")
def send_until_running(context):
    start_command(context)
    limit_s = COMMAND_DEADLINE_MS / 1000
    wait_until(lambda: context.tier.count_runs_of_key(context.key), "the run", limit_s)


@when("a running tier gets the same command through vm-2")
def send_again(context):
    context.reply = send_command(context, 1)
    context.calls.append(context.reply)


@when("a running tier gets the same command through every VM")
def send_everywhere(context):
    for number in range(len(context.tier.vms)):
        context.calls.append(send_command(context, number))


@when("every answer to the command has arrived")
def await_answers(context):
    context.thread.join(COMMAND_DEADLINE_MS / 1000 + LOAD_LIMIT_S)
    assert not context.thread.is_alive(), "the first call got no answer"


@then("the command is answered with its outcome or reported as unknown")
def check_truthful(context):
    assert context.reply is not None, "vm-2 gave no answer"
    status, answer = context.reply
    is_known = status == 200 and answer["outcome"] == "answered"
    is_unknown = status == 504 and answer["outcome"] == "unknown"
    assert is_known or is_unknown, context.reply


@then("the command ran {bound} once on all backend servers")
def check_runs(context, bound):
    runs = context.tier.count_runs_of_key(context.key)
    assert runs == 1 if bound == "exactly" else runs <= 1, f"{runs} runs: {context.calls}"
    for call in context.calls:
        if call is not None and call[1]["outcome"] == "answered":
            assert runs == 1, f"answered but {runs} runs: {call}"


# Load


def start_traffic(context, **options) -> None:
    context.traffic = Traffic(context.tier, **options)
    context.traffic.start()
    context.add_cleanup(context.traffic.stop)
    await_requests(context, 50)


@when("callers send queries and commands with {deadline:d} ms to the running tier")
def start_load(context, deadline):
    start_traffic(context, deadline_ms=deadline)


@when("callers send queries to the running tier")
def start_queries(context):
    start_traffic(context, commands=False)


@when("callers send queries to vm-1 and vm-3 of the running tier")
def start_queries_beside(context):
    start_traffic(context, commands=False, only=(0, 2))


@when("{count:d} more requests are answered by the running tier")
def await_requests(context, count):
    wanted = len(context.traffic.list_sent()) + count
    what = f"{count} more requests"
    wait_until(lambda: len(context.traffic.list_sent()) >= wanted, what, LOAD_LIMIT_S)


@then("every request to the running tier was answered whole")
def check_whole(context):
    sent = context.traffic.stop()
    bad = [one.describe() for one in sent if not one.is_whole]
    assert not bad, f"{len(bad)} of {len(sent)} requests were not whole:\n" + "\n".join(bad[:20])


@then("every command of the load ran exactly once")
def check_commands(context):
    runs: dict[str, int] = {}
    for row in context.tier.count_backends().values():
        for key, count in row["runs_by_key"].items():
            runs[key] = runs.get(key, 0) + count
    keys = [one.key for one in context.traffic.stop() if one.key]
    wrong = {key: runs.get(key, 0) for key in keys if runs.get(key, 0) != 1}
    assert keys and not wrong, f"runs of {len(keys)} commands: {wrong}"


@then("coverage of the running tier is whole again within {limit:g} s")
def check_recovery(context, limit):
    # Requests sent this late have a deadline of their own, so the load goes on beyond the limit.
    end = context.fault_at + limit
    wait_until(lambda: time.monotonic() > end, "the limit", limit + 1)
    await_requests(context, 100)
    late = [one for one in context.traffic.stop() if one.sent_at > end and not one.is_whole]
    assert not late, "\n".join(one.describe() for one in late[:20])


@then("the running tier is whole again within {limit:g} s")
def check_tier_whole(context, limit):
    context.tier.wait_whole(limit)


@then("no replica of the running tier had more requests in progress than slots")
def check_slots(context):
    rows = context.tier.count_backends()
    slots = {replica["id"]: replica["slots"] for replica in context.tier.plan.replicas}
    over = {n: r["max_in_progress"] for n, r in rows.items() if r["max_in_progress"] > slots[n]}
    assert not over, f"more in progress than slots: {over}"


# Platform


@then("every VM of the running tier answers {count:d} queries whole")
def check_queries(context, count):
    for number in range(len(context.tier.vms)):
        for n in range(count):
            status, answer = context.tier.query(QUERY_SERVICE, {"n": n}, vm=number)
            assert status == 200 and answer["coverage"]["answered"] == QUERY_SHARDS, answer


@then("a command through vm-1 is refused as not run or reported as unknown")
def check_refused(context):
    context.key = context.refused_key = f"key-{time.monotonic_ns()}"
    status, answer = send_command(context, 0, 1500)
    context.calls.append((status, answer))
    assert status in (503, 504), (status, answer)
    assert answer["outcome"] in ("not_run", "unknown"), answer
    context.config_before = context.tier.admin(0, "GET", "config")[1]


@then("a command through vm-1 runs within {limit:g} s")
def check_command_runs(context, limit):
    context.key = f"key-{time.monotonic_ns()}"
    wait_until(lambda: send_command(context, 0, 1500)[0] == 200, "a command", limit)
    check_runs(context, "exactly")


@then("the refused command ran at most once on all backend servers")
def check_refused_runs(context):
    runs = context.tier.count_runs_of_key(context.refused_key)
    status, answer = context.calls[0]
    assert runs <= (0 if answer["outcome"] == "not_run" else 1), (runs, status, answer)


@then("every VM of the running tier holds the configuration from before")
def check_configuration(context):
    for number in range(len(context.tier.vms)):
        status, reply = context.tier.admin(number, "GET", "config")
        assert (status, reply) == (200, context.config_before), (number, status, reply)


# Data centres


@given("1 in 50 runs on the backend servers takes 20 times as long")
def make_stragglers(context):
    context.tier.set_backend_faults({}, straggler_fraction=0.02, straggler_factor=20.0)


@when("an operator takes data centre {name} of the running tier out")
def take_out(context, name):
    switch(context, name, "out")
    context.fault_at = time.monotonic()


@when("an operator brings data centre {name} of the running tier in")
def bring_in(context, name):
    switch(context, name, "in")


def switch(context, name: str, state: str) -> None:
    body = json.dumps({"state": state, "operator": "mei"}).encode()
    status, reply = context.tier.admin(0, "POST", f"data-centres/{name}", body)
    assert status == 200, reply


def read_ages(context, name: str) -> dict[str, float]:
    """Return the age of the last request of each replica in a data centre, in seconds."""
    inside = {r["id"] for r in context.tier.plan.replicas if r["data_centre"] == name}
    rows = context.tier.count_backends()
    ages = {replica: rows[replica]["last_request_age_s"] for replica in inside}
    return {replica: age for replica, age in ages.items() if age is not None}


@then("replicas in {name} get no request that is sent {limit:g} s later or after")
def check_no_new_work(context, name, limit):
    end = context.fault_at + limit
    wait_until(lambda: time.monotonic() > end, "the limit", limit + 1)
    await_requests(context, 300)
    since_end = time.monotonic() - end
    ages = read_ages(context, name)
    late = {replica: age for replica, age in ages.items() if age < since_end}
    assert ages and not late, f"{since_end:.2f} s after the limit, ages of requests: {late}"


@then("replicas in {name} get requests again within {limit:g} s")
def check_return(context, name, limit):
    start = time.monotonic()

    def has_new_request() -> bool:
        context.tier.query(QUERY_SERVICE, {"back": time.monotonic()})
        return min(read_ages(context, name).values()) < time.monotonic() - start

    wait_until(has_new_request, f"requests in {name}", limit)
