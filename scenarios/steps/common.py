"""Steps that several features use."""

from functools import wraps

import trio
from behave import given, register_type, then, when
from parse import with_pattern
from support.promises import check_promises
from support.tier import SERVICE

POLL_S = 0.01


@with_pattern(r"vm-\d+")
def read_vm(text):
    return text


@with_pattern(r"v\d-\d\d-dc-[a-z]")
def read_replica(text):
    return text


register_type(Vm=read_vm, Replica=read_replica)
READY_WITHIN_S = 15.0
LONGEST_DEADLINE_S = 5.0


def scripted(step):
    """Run an asynchronous step in the scenario's loop, with the tier as first argument."""

    @wraps(step)
    def run(context, **values):
        return context.stage.run(step, context, context.tier, **values)

    return run


async def wait_for(condition, within_s, what):
    """Wait until a condition holds; fail after a bound from the promise."""
    with trio.move_on_after(within_s):
        # Conditions change with state that gives no event.
        while not condition():  # noqa: ASYNC110
            await trio.sleep(POLL_S)
        return
    raise AssertionError(f"not within {within_s} s: {what}")


def make_config(**values):
    """Return revision 1 of the configuration."""
    service = {
        "routes": {"search": {}, "lookup": {}, "licence": {"repeatable": False}},
        "versions": {"v1": {"share": 1.0}},
        "slots": 2,
        "connections": 25,
    }
    return {
        "revision": 1,
        "services": {SERVICE: service | values},
        "data_centres": {"dc-a": {}, "dc-b": {}},
    }


def add_replicas(tier, version="v1", **values):
    """Start two replicas of each of the two shards, one in each data centre."""
    return [
        tier.add_replica(
            f"{version}-{shard}-{data_centre}",
            shard,
            version=version,
            data_centre=data_centre,
            **values,
        )
        for shard in ("00", "01")
        for data_centre in ("dc-a", "dc-b")
    ]


@given("{count:d} VMs that serve two shards with two replicas each")
@scripted
async def start_tier(context, tier, count):
    tier.write("config", "current", make_config())
    tier.write_map("s1", add_replicas(tier))
    for number in range(1, count + 1):
        await tier.start(f"vm-{number}")
    await wait_for(tier.is_settled, READY_WITHIN_S, "all VMs are ready and all replicas owned")


@when("{seconds:g} s pass")
@scripted
async def pass_time(context, tier, seconds):
    await trio.sleep(seconds)


@when("{vm:Vm} is killed")
@scripted
async def kill(context, tier, vm):
    tier.kill(vm)


@when("{vm:Vm} is paused")
@scripted
async def pause(context, tier, vm):
    tier.pause(vm)


@when("{vm:Vm} resumes")
@scripted
async def resume(context, tier, vm):
    tier.resume(vm)


@when("{vm:Vm} starts again")
@when("{vm:Vm} starts")
@scripted
async def start(context, tier, vm):
    await tier.start(vm)


@when("all VMs are restarted")
@scripted
async def restart_all(context, tier):
    names = list(tier.vms)
    for name in names:
        tier.kill(name)
    for name in names:
        await tier.start(name)
    await wait_for(tier.is_settled, 45.0, "all VMs are ready and all replicas owned")


@when("the platform goes down")
@scripted
async def stop_platform(context, tier):
    tier.core.set_faults({"outage": True})


@when("the platform comes back")
@scripted
async def start_platform(context, tier):
    tier.core.set_faults({"outage": False})


@then("all promises held")
@scripted
async def check(context, tier):
    tier.load_ends.set()
    with trio.move_on_after(LONGEST_DEADLINE_S):
        for exchange in list(tier.exchanges):
            await exchange.done.wait()
    check_promises(tier)


@when("the platform answers {seconds:g} s late")
@scripted
async def delay_platform(context, tier, seconds):
    tier.core.set_faults({"delay_s": seconds})
