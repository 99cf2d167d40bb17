"""Steps for moves between versions."""

from datetime import UTC, datetime

import trio
from behave import given, then, when
from steps.common import add_replicas, scripted, wait_for
from support.tier import SERVICE

NOTE = """format: 1
id: {note}
operator: {operator}
against_revision: {revision}
time_zone: UTC
step_seconds: 10
added:
  - kind: version
    service: {service}
    version: v2
    replaces: v1
    by: "{due:%Y-%m-%d %H:%M:%S}"
"""


def write_note(tier, seconds, operator="mei"):
    due = datetime.fromtimestamp(tier.wall_ms() / 1000 + seconds, UTC)
    revision = tier.core.get("config", "current").value["revision"]
    values = {"note": f"note-{operator}", "operator": operator, "revision": revision}
    return NOTE.format(**values, service=SERVICE, due=due)


def list_v2(tier):
    return [r for r in tier.replicas.values() if r.spec.version == "v2"]


@given("version v2 runs beside v1")
@scripted
async def start_version(context, tier):
    add_replicas(tier, "v2")
    tier.write_map("s1", list(tier.replicas.values()))
    await trio.sleep(3.0)
    await wait_for(tier.is_settled, 5.0, "all replicas are owned")


@when("a note moves all traffic to v2 within {seconds:g} s")
@scripted
async def apply_note(context, tier, seconds):
    context.moved_at = trio.current_time()
    status, answer = await tier.admin("vm-1", "POST", "notes", write_note(tier, seconds))
    assert status == 200, answer


@when("half of the requests to v2 fail")
@scripted
async def fail_half(context, tier):
    for replica in list_v2(tier):
        replica.set_faults(fault_fraction=0.5)


@when("all requests to v2 on route {route} fail")
@scripted
async def fail_route(context, tier, route):
    for replica in list_v2(tier):
        replica.set_faults(fault_fraction=1.0, bad_routes=(route,))


@when("a VM vetoes v2")
@scripted
async def wait_for_veto(context, tier):
    vetoes = [vm.node.topology.vetoes for vm in tier.vms.values()]
    await wait_for(lambda: any(known() for known in vetoes), 60.0, "a veto")
    context.vetoed_at = trio.current_time()


@then("v2 is sent nothing for {seconds:g} s")
@scripted
async def check_silence(context, tier, seconds):
    since = trio.current_time()
    await trio.sleep(seconds)
    late = [r.spec.id for r in list_v2(tier) if r.core.counts.last_request_at >= since]
    assert not late, f"{late} got requests"


@then("v2 got at most {percent:d} of 100 runs before the veto")
@scripted
async def check_share(context, tier, percent):
    runs = [run for run in tier.runs if context.moved_at <= run.at <= context.vetoed_at]
    new = sum(run.version == "v2" for run in runs)
    assert new, "v2 ran nothing"
    assert 100 * new <= percent * len(runs), f"{new} of {len(runs)} runs"


@then("the move is taken back on all VMs")
@scripted
async def check_taken_back(context, tier):
    def list_states():
        return {move["state"] for vm in tier.vms.values() for move in vm.node.list_moves()}

    await wait_for(lambda: list_states() == {"taken_back"}, 5.0, f"taken back: {list_states()}")


@then("all VMs compute the same shares and v2 has none")
@scripted
async def check_shares(context, tier):
    now = trio.current_time()
    shares = [vm.node.topology.shares(SERVICE, now) for vm in tier.vms.values()]
    assert all(share == shares[0] for share in shares), shares
    assert not shares[0].get("v2"), shares[0]


@when("two operators apply a note for v2 at vm-1 and vm-2 at the same time")
@scripted
async def race_notes(context, tier):
    context.replies = []

    async def apply(vm, operator):
        context.replies.append(
            await tier.admin(vm, "POST", "notes", write_note(tier, 300, operator))
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(apply, "vm-1", "mei")
        nursery.start_soon(apply, "vm-2", "ola")


@then("exactly one note was accepted")
@scripted
async def check_one_note(context, tier):
    assert sorted(status for status, _ in context.replies) in (
        [200, 400],
        [200, 409],
    ), context.replies
