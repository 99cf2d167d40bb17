"""Steps for operators and for planned stops."""

import json

import trio
from behave import then, when
from steps.common import READY_WITHIN_S, make_config, scripted, wait_for


@when("{vm:Vm} is stopped")
@scripted
async def stop(context, tier, vm):
    await tier.stop(vm)


@when("all VMs are replaced one by one")
@scripted
async def replace_all(context, tier):
    for number, old in enumerate(list(tier.vms), 1):
        await tier.start(f"vm-{10 + number}")
        await wait_for(tier.is_settled, READY_WITHIN_S, f"the successor of {old} has a seat")
        await tier.stop(old)


@then("at least {count:d} VMs are ready")
@scripted
async def check_ready(context, tier, count):
    assert len(tier.list_ready()) >= count, tier.list_ready()


async def set_data_centre(tier, vm, data_centre, state):
    value = {"state": state, "operator": vm}
    return await tier.admin(vm, "POST", f"data-centres/{data_centre}", value)


@when("an operator takes {data_centre} {state} at {vm:Vm}")
@scripted
async def change_data_centre(context, tier, data_centre, state, vm):
    status, answer = await set_data_centre(tier, vm, data_centre, state)
    assert status == 200, answer
    context.changed_at = trio.current_time()


@when("operators take dc-a out at vm-1 and dc-b out at vm-2 at the same time")
@scripted
async def race(context, tier):
    context.replies = []

    async def change(vm, data_centre):
        context.replies.append(await set_data_centre(tier, vm, data_centre, "out"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change, "vm-1", "dc-a")
        nursery.start_soon(change, "vm-2", "dc-b")


@then("one operator was told of the conflict, or both changes are in force")
@scripted
async def check_race(context, tier):
    accepted = sum(status == 200 for status, _ in context.replies)
    assert all(status in (200, 409) for status, _ in context.replies), context.replies
    stored = tier.core.get("config", "current").value
    out = [d for d in stored["data_centres"].values() if d["state"] == "out"]
    assert len(out) == accepted >= 1, (context.replies, stored["data_centres"])


@when("another tool writes revision {revision:d}")
@scripted
async def write_revision(context, tier, revision):
    tier.write("config", "current", json.loads(json.dumps(make_config())) | {"revision": revision})


@when("the platform cannot be reached from {vm:Vm}")
@scripted
async def cut_platform(context, tier, vm):
    tier.vms[vm].store.reachable = False


def list_revisions(tier, names):
    return {n: tier.vms[n].node.membership.configuration.revision for n in names}


@then("all VMs have revision {revision:d} within {seconds:g} s")
@scripted
async def check_revision(context, tier, revision, seconds):
    def is_in_force():
        return set(list_revisions(tier, tier.vms).values()) == {revision}

    await wait_for(is_in_force, seconds, f"{list_revisions(tier, tier.vms)} all at {revision}")


@then("all ready VMs have revision {revision:d} within {seconds:g} s")
@scripted
async def check_ready_revision(context, tier, revision, seconds):
    def is_in_force():
        return set(list_revisions(tier, tier.list_ready()).values()) == {revision}

    await wait_for(is_in_force, seconds, f"{list_revisions(tier, tier.list_ready())}")


@when("each VM is stopped and another one starts, {seconds:g} s apart")
@scripted
async def replace_blindly(context, tier, seconds):
    for number, old in enumerate(list(tier.vms), 1):
        await tier.start(f"vm-{10 + number}")
        await trio.sleep(seconds)
        await tier.stop(old)
        await trio.sleep(seconds)


@then("{count:d} VMs are ready")
@scripted
async def check_all_ready(context, tier, count):
    assert len(tier.list_ready()) == count, tier.list_ready()


@then("the platform gets at most {limit:d} calls in any second of the next {seconds:d} s")
@scripted
async def check_calls(context, tier, limit, seconds):
    for _ in range(seconds):
        before = tier.core.counts.total()
        await trio.sleep(1.0)
        calls = tier.core.counts.total() - before
        assert calls <= limit, f"{calls} calls in a second"
