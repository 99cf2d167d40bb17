"""Steps for replicas in cold start and for owners."""

import trio
from behave import then, when
from steps.common import scripted, wait_for

from zinnia_model.ownership import OwnershipState


def find_owner(tier, name):
    """Return the VM that may send to a replica."""
    vms = [vm for vm in tier.vms.values() if not vm.is_paused]
    owners = [vm.name for vm in vms if vm.node.find_ownership_state(name) is OwnershipState.OWNER]
    assert len(owners) == 1, f"owners of {name}: {owners}"
    return owners[0]


@when("{name:Replica} turns cold")
@scripted
async def turn_cold(context, tier, name):
    context.cold_since = trio.current_time()
    tier.replicas[name].set_faults(turn_cold=True)


@when("{name:Replica} crashes")
@scripted
async def crash(context, tier, name):
    context.cold_since = trio.current_time()
    tier.replicas[name].set_faults(crash=True)


@when("all replicas crash")
@scripted
async def crash_all(context, tier):
    context.cold_since = trio.current_time()
    for replica in tier.replicas.values():
        replica.set_faults(crash=True)


@when("the owner of {name:Replica} is killed")
@scripted
async def kill_owner(context, tier, name):
    tier.kill(find_owner(tier, name))


@when("the owner of {name:Replica} is paused")
@scripted
async def pause_owner(context, tier, name):
    context.paused = find_owner(tier, name)
    tier.pause(context.paused)


@when("the paused VM resumes")
@scripted
async def resume_paused(context, tier):
    tier.resume(context.paused)


@when("{a:Vm} and {b:Vm} are cut from each other")
@scripted
async def cut(context, tier, a, b):
    tier.network.cut(a, b)


@when("{vm:Vm} is cut off from its peers")
@scripted
async def isolate(context, tier, vm):
    tier.isolate(vm)


@when("the cuts are healed")
@scripted
async def heal(context, tier):
    tier.network.heal()


@then("{name:Replica} has run requests since it turned cold")
@scripted
async def check_used(context, tier, name):
    assert any(run.replica == name and run.at > context.cold_since for run in tier.runs)


@then("{name:Replica} crashed {count:d} time")
@scripted
async def check_crashes(context, tier, name, count):
    crashes = tier.replicas[name].core.counts.crashes
    assert crashes == count, f"{name} crashed {crashes} times"


@then("every replica crashed {count:d} time")
@scripted
async def check_all_crashes(context, tier, count):
    crashes = {name: replica.core.counts.crashes for name, replica in tier.replicas.items()}
    assert set(crashes.values()) == {count}, crashes


@when("the owner of {name:Replica} is paused while it connects to the restarted server")
@scripted
async def pause_connecting_owner(context, tier, name):
    replica = tier.replicas[name]
    replica.connect_s = 0.1
    await wait_for(lambda: not replica.core.crashed and replica.connecting, 2.0, "it connects")
    context.paused = find_owner(tier, name)
    tier.pause(context.paused)
    replica.connect_s = 0.002
