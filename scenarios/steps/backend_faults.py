"""Steps for crashing requests, silent connections and leaving backend servers."""

import re

import trio
from behave import then, when
from steps.common import scripted


@when("queries that contain {marker} crash every server")
@scripted
async def set_marker(context, tier, marker):
    for replica in tier.replicas.values():
        replica.set_faults(crash_marker=marker)
    context.poisoned = []


@when("a query with {marker} is sent to {vms}, {seconds:g} s apart")
@scripted
async def send_marked(context, tier, marker, vms, seconds):
    body = {"service": "bells", "route": "search", "deadline_ms": 1000, "body": {"text": marker}}
    for vm in re.findall(r"vm-\d+", vms):
        context.poisoned.append(tier.send(vm, "/v1/query", body))
        await trio.sleep(seconds)


@then("the servers crashed at most {count:d} times")
@scripted
async def check_crash_sum(context, tier, count):
    crashes = sum(replica.core.counts.crashes for replica in tier.replicas.values())
    assert 1 <= crashes <= count, f"{crashes} crashes"


@then("the last of these queries was refused as {reason}")
@scripted
async def check_last_refusal(context, tier, reason):
    last = context.poisoned[-1]
    assert last.answer.get("reason") == reason, (last.status, last.answer)


@then("the same query without POISON is answered whole at each VM")
@scripted
async def check_healthy(context, tier):
    for vm in tier.vms:
        exchange = tier.query(vm)
        await exchange.done.wait()
        assert exchange.status == 200 and not exchange.answer["coverage"]["missing"], exchange


@when("the connections of all replicas go silent")
@scripted
async def silence_all(context, tier):
    context.silent = [c for r in tier.replicas.values() for c in r.connections]
    assert context.silent
    for replica in tier.replicas.values():
        replica.silence()


@when("the connections of {name:Replica} go silent")
@scripted
async def silence_one(context, tier, name):
    context.silent = list(tier.replicas[name].connections)
    assert context.silent
    tier.replicas[name].silence()


@then("no silent connection is open")
@scripted
async def check_silent(context, tier):
    still = sum(not connection.broken for connection in context.silent)
    assert not still, f"{still} of {len(context.silent)} silent connections are open"


@when("queries come again at {rate:g} a second")
@scripted
async def load_again(context, tier, rate):
    tier.load_ends = trio.Event()
    tier.nursery.start_soon(tier.load, rate)


@when("queries come at {rate:g} a second with {seconds:g} s to answer")
@scripted
async def load_patiently(context, tier, rate, seconds):
    tier.nursery.start_soon(tier.load, rate, int(seconds * 1000))


@when("{name:Replica} drains")
@scripted
async def drain(context, tier, name):
    tier.replicas[name].set_faults(draining=True)


@then("{name:Replica} is sent nothing for {seconds:g} s")
@scripted
async def check_nothing_sent(context, tier, name, seconds):
    since = trio.current_time()
    await trio.sleep(seconds)
    assert tier.replicas[name].core.counts.last_request_at < since, "got a request"


def list_in(tier, data_centre):
    return [r for r in tier.replicas.values() if r.spec.data_centre == data_centre]


@then("{data_centre} gets nothing for {seconds:g} s")
@scripted
async def check_idle(context, tier, data_centre, seconds):
    since = trio.current_time()
    await trio.sleep(seconds)
    late = [r.spec.id for r in list_in(tier, data_centre) if r.core.counts.last_request_at >= since]
    assert not late, f"{late} got requests"


@then("{data_centre} gets work")
@scripted
async def check_used(context, tier, data_centre):
    since = trio.current_time()
    await trio.sleep(2.0)
    assert any(r.core.counts.last_request_at >= since for r in list_in(tier, data_centre))


@then("{name:Replica} is sent at most one request in {seconds:g} s")
@scripted
async def check_one_request(context, tier, name, seconds):
    before = tier.replicas[name].core.counts.refusals["draining"]
    await trio.sleep(seconds)
    sent = tier.replicas[name].core.counts.refusals["draining"] - before
    assert sent <= 1, f"got {sent} requests"
