"""Checks of the promises that hold in every scenario."""

from collections import Counter

from support.tier import FakeTier


def check_promises(tier: FakeTier) -> None:
    """Raise an error that names what was broken."""
    check_single_runs(tier)
    check_refusals(tier)
    check_answers(tier)
    check_cold_load(tier)
    check_revisions(tier)


def check_single_runs(tier: FakeTier) -> None:
    """A request that may not be repeated runs at most once."""
    counts = Counter(run.key for run in tier.runs if run.key)
    twice = {key: count for key, count in counts.items() if count > 1}
    assert not twice, f"keys that ran more than once: {twice}"


def check_refusals(tier: FakeTier) -> None:
    """A refusal that says "not run" is true."""
    ran = {run.request_id for run in tier.runs}
    for exchange in tier.exchanges:
        false = exchange.outcome == "not_run" and exchange.answer["request_id"] in ran
        assert not false, f"said not run, but ran: {exchange.answer}"


def check_answers(tier: FakeTier) -> None:
    """Every answer is the caller's own, from one snapshot, and its coverage is true."""
    for exchange in tier.exchanges:
        if exchange.status != 200 or "coverage" not in exchange.answer:
            continue
        answer, results = exchange.answer, exchange.answer["results"]
        coverage = answer["coverage"]
        for shard, body in results.items():
            assert body["shard"] == shard, f"shard {shard} holds {body}"
            assert body["echo"] == exchange.value["body"], f"answer of another request: {body}"
            assert body["snapshot"] == answer["snapshot"], f"mixed snapshots: {answer}"
        assert coverage["answered"] == len(results), f"false coverage: {answer}"
        assert coverage["asked"] == len(results) + len(coverage["missing"]), f"coverage: {answer}"
        assert not results.keys() & set(coverage["missing"]), f"false coverage: {answer}"


def check_cold_load(tier: FakeTier) -> None:
    """A cold replica never gets more requests at a time than it bears."""
    for name, replica in tier.replicas.items():
        bears = replica.spec.cold.concurrency
        load = replica.max_cold_load
        assert load <= bears, f"cold {name} had {load} requests at a time, it bears {bears}"


def check_revisions(tier: FakeTier) -> None:
    """No VM goes back to an older configuration."""
    for vm in (*tier.vms.values(), *tier.ended):
        assert vm.revisions == sorted(vm.revisions), f"{vm.name} reverted: {vm.revisions}"
