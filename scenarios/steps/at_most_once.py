"""Steps for requests that may not be repeated."""

import trio
from behave import then, when
from steps.common import scripted, wait_for


def count_runs(tier, key):
    return sum(run.key == key for run in tier.runs)


@when("key {key} is sent to {vms} at the same time")
@scripted
async def send_together(context, tier, key, vms):
    for vm in vms.split(" and "):
        context.exchanges[vm] = tier.command(vm, key)


@when("key {key} is sent to {vm:Vm}")
@scripted
async def send_one(context, tier, key, vm):
    context.exchanges[vm] = tier.command(vm, key)


@when("key {key} is sent to {vm:Vm} with {seconds:g} s to answer")
@scripted
async def send_patiently(context, tier, key, vm, seconds):
    context.exchanges[vm] = tier.command(vm, key, int(seconds * 1000))


@then("{vm:Vm} answers {outcome} within {seconds:g} s")
@scripted
async def check_outcome(context, tier, vm, outcome, seconds):
    exchange = context.exchanges[vm]
    await wait_for(exchange.done.is_set, seconds, f"{vm} answers")
    assert exchange.outcome in outcome.split(" or "), (exchange.status, exchange.answer)


@when("the claim of key {key} is written")
@scripted
async def wait_for_claim(context, tier, key):
    await wait_for(lambda: tier.core.list("claims")[0], 2.0, "a claim is written")


@when("key {key} runs")
@scripted
async def wait_for_run(context, tier, key):
    await wait_for(lambda: count_runs(tier, key), 2.0, f"{key} runs")


@then("key {key} ran {count:d} time")
@then("key {key} ran {count:d} times")
@scripted
async def check_runs(context, tier, key, count):
    await trio.sleep(5.0)
    assert count_runs(tier, key) == count, f"{key} ran {count_runs(tier, key)} times"


@when("the platform loses the reply of the next write")
@scripted
async def lose_reply(context, tier):
    tier.core.set_faults({"lose_replies": 1})


@when("the platform loses the reply of the next write, which takes effect {seconds:g} s later")
@scripted
async def lose_reply_late(context, tier, seconds):
    tier.core.set_faults({"lose_replies": 1, "late_write_s": seconds})


@then("key {key} ran at most once")
@scripted
async def check_at_most_once(context, tier, key):
    assert count_runs(tier, key) <= 1, f"{key} ran {count_runs(tier, key)} times"
