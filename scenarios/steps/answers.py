"""Steps for queries and their answers."""

import trio
from behave import then, when
from steps.common import scripted


@when("queries come at {rate:g} a second")
@scripted
async def start_load(context, tier, rate):
    tier.nursery.start_soon(tier.load, rate)


@when("the queries end")
@scripted
async def end_load(context, tier):
    tier.load_ends.set()


@when("the index is divided into three shards as snapshot s2 and s1 is gone")
@scripted
async def repartition(context, tier):
    old = list(tier.replicas.values())
    for replica in old:
        replica.set_faults(snapshots=("s2",))
    new = [
        tier.add_replica(f"v1-02-{dc}", "02", snapshots=("s2",), data_centre=dc)
        for dc in ("dc-a", "dc-b")
    ]
    tier.write_map("s2", [*old, *new])


@when("the replicas change to snapshot s2 with the same shards")
@scripted
async def change_snapshot(context, tier):
    for replica in tier.replicas.values():
        replica.set_faults(snapshots=("s2",))
        await trio.sleep(0.02)
    tier.write_map("s2", list(tier.replicas.values()))


@when("{name:Replica} answers {factor:g} times slower")
@scripted
async def slow_down(context, tier, name, factor):
    tier.replicas[name].set_faults(slow_factor=factor)


@when("{name:Replica} is lost")
@scripted
async def lose(context, tier, name):
    tier.replicas[name].lose()


@when("one answer in three of {name:Replica} names another request")
@scripted
async def mismatch(context, tier, name):
    tier.replicas[name].set_faults(mismatch_fraction=0.33)


def list_queries(tier):
    """Return the queries that are over."""
    return [e for e in tier.exchanges if not e.key and e.status]


def is_whole(exchange):
    coverage = exchange.answer.get("coverage")
    return exchange.status == 200 and not coverage["missing"]


@then("queries have been answered from {snapshot}")
@scripted
async def check_snapshot(context, tier, snapshot):
    assert any(e.answer.get("snapshot") == snapshot for e in list_queries(tier))


@then("at least {count:d} of 100 answers are whole")
@scripted
async def check_whole(context, tier, count):
    queries = list_queries(tier)
    broken = [(e.vm, e.sent_at, e.status, e.answer) for e in queries if not is_whole(e)]
    assert len(queries) >= 20, f"only {len(queries)} queries"
    part = 100 * (1 - len(broken) / len(queries))
    assert part >= count, f"{part:.1f}% of {len(queries)} whole; {broken[:2]}"


@then("no query failed")
@scripted
async def check_all_whole(context, tier):
    broken = [(e.vm, e.sent_at, e.status, e.answer) for e in list_queries(tier) if not is_whole(e)]
    assert not broken, f"{len(broken)} of {len(list_queries(tier))} failed: {broken[:3]}"


@then("some answers lack shard {shard}")
@scripted
async def check_missing(context, tier, shard):
    answers = [e.answer.get("coverage") or {} for e in list_queries(tier)]
    assert any(shard in coverage.get("missing", ()) for coverage in answers)
