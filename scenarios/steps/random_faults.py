"""A random run over all failures; the seed of the run decides everything."""

import trio
from behave import then, when
from steps.common import POLL_S, scripted, wait_for


class Chaos:
    """Draws failures of VMs, network, platform and backend servers."""

    def __init__(self, tier):
        self.tier = tier
        self.random = tier.random
        self.keys = 0
        self.log = []

    async def run(self, seconds):
        end = trio.current_time() + seconds
        actions = (
            self.send_commands,
            self.send_commands,
            self.kill_vm,
            self.pause_vm,
            self.cut,
            self.fail_platform,
            self.crash_replica,
            self.mislead,
            self.silence,
            self.change,
        )
        while trio.current_time() < end:
            action = self.random.choice(actions)
            self.log.append((round(trio.current_time(), 2), action.__name__))
            await action()
            await trio.sleep(self.random.uniform(0.2, 2.0))

    def pick_vm(self):
        return self.random.choice(sorted(self.tier.vms))

    def pick_replica(self):
        return self.tier.replicas[self.random.choice(sorted(self.tier.replicas))]

    async def send_commands(self):
        self.keys += 1
        for _ in range(self.random.randint(1, 3)):
            self.tier.command(self.pick_vm(), f"key-{self.keys}")
            await trio.sleep(self.random.uniform(0, 0.1))

    async def kill_vm(self):
        name = self.pick_vm()
        self.tier.kill(name)
        await trio.sleep(self.random.uniform(0, 1))
        await self.tier.start(name)

    async def pause_vm(self):
        name = self.pick_vm()
        self.tier.pause(name)
        await trio.sleep(self.random.uniform(0.1, 5))
        self.tier.resume(name)

    async def cut(self):
        a, b = self.random.sample(sorted(self.tier.vms), 2)
        self.tier.network.cut(a, b)
        await trio.sleep(self.random.uniform(0.1, 4))
        self.tier.network.heal()

    async def fail_platform(self):
        faults = ({"outage": True}, {"delay_s": 0.3}, {"lose_replies": 2, "late_write_s": 1.0})
        self.tier.core.set_faults(self.random.choice(faults))
        await trio.sleep(self.random.uniform(0, 4))
        self.tier.core.set_faults({"outage": False, "delay_s": 0.0, "lose_replies": 0})

    async def crash_replica(self):
        self.pick_replica().set_faults(crash=True)
        await trio.sleep(POLL_S)

    async def mislead(self):
        self.pick_replica().set_faults(lie=self.random.random() < 0.5)
        await trio.sleep(POLL_S)

    async def silence(self):
        self.pick_replica().silence()
        await trio.sleep(POLL_S)

    async def change(self):
        name = self.pick_vm()
        value = {"state": self.random.choice(("in", "out")), "operator": name}
        with trio.move_on_after(1.0):
            await self.tier.admin(name, "POST", "data-centres/dc-b", value)


@when("random failures happen for {seconds:g} s")
@scripted
async def run_chaos(context, tier, seconds):
    context.chaos = Chaos(tier)
    await context.chaos.run(seconds)
    print(f"seed {tier.seed}: {context.chaos.log}")


@when("all failures end")
@scripted
async def end_faults(context, tier):
    tier.network.heal()
    tier.core.set_faults({"outage": False, "delay_s": 0.0, "lose_replies": 0})


@then("all VMs are ready")
@scripted
async def check_ready(context, tier):
    await wait_for(tier.is_settled, 30.0, f"ready: {tier.list_ready()} of {sorted(tier.vms)}")
