"""Fakes of the topology and of the owners of replicas."""

from collections import Counter
from dataclasses import replace
from random import Random

import trio

from zinnia_model.configuration import RouteConfig, ServiceConfig, VersionConfig
from zinnia_model.queries import Query
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.shardmaps import ReplicaRecord, ShardMap
from zinnia_model.subrequests import BatchSender, ReplicaView, SubResult
from zinnia_routing.counters import InMemoryCounters
from zinnia_routing.execution import QueryExecutor
from zinnia_routing.latency import MIN_SAMPLES
from zinnia_routing.topology import Topology


def make_map(shards: int, replicas: int = 2, snapshot: str = "s1", versions=("v1",)) -> ShardMap:
    return ShardMap(
        service="tunes",
        snapshot=snapshot,
        shards={
            f"{s}": tuple(
                ReplicaRecord(
                    id=f"r{s}-{r}",
                    address="127.0.0.1:1",
                    data_centre=f"dc{r}",
                    version=versions[r % len(versions)],
                )
                for r in range(replicas)
            )
            for s in range(shards)
        },
    )


class FakeTopology(Topology):
    def __init__(self, shard_map: ShardMap, vms: int = 4) -> None:
        self.map = shard_map
        self.weights: dict[str, float] = {}
        self.version_shares = {"v1": 1.0}
        self.views = {r: ReplicaView(r, limit=4) for r in shard_map.list_replicas()}
        self.owners = {r: f"vm{i % vms}" for i, r in enumerate(self.views)}
        self.config = ServiceConfig(
            routes={"q": RouteConfig()}, versions={"v1": VersionConfig(share=1)}, **LIMITS
        )

    def service(self, service):
        return self.config if service == "tunes" else None

    def shard_map(self, service):
        return self.map

    def owner(self, replica):
        return self.owners.get(replica)

    def view(self, replica):
        return self.views.get(replica)

    def data_centre_weight(self, data_centre, now):
        return self.weights.get(data_centre, 1.0)

    def shares(self, service, now):
        return self.version_shares

    def change_view(self, replica, **changes):
        self.views[replica] = replace(self.views[replica], **changes)


LIMITS = {"slots": 4, "connections": 25}


def answer(item, batch, **changes) -> SubResult:
    fields = {"body": item.shard.encode(), "snapshot": batch.snapshot, **changes}
    return SubResult(item.attempt_id, Outcome.ANSWERED, item.shard, item.replica, **fields)


def fail(item, reason: Reason, outcome: Outcome = Outcome.NOT_RUN) -> SubResult:
    return SubResult(item.attempt_id, outcome, item.shard, item.replica, reason)


class FakeOwners(BatchSender):
    """Sender to all owners; ``handle`` returns (delay in seconds, result), None for no reply."""

    def __init__(self, nursery: trio.Nursery, handle) -> None:
        self._nursery = nursery
        self._handle = handle
        self.items = []
        self.batches = []
        self.cancelled = []
        self.open: Counter[str] = Counter()
        self.max_open_attempts = 0

    def submit(self, batch, deliver):
        self.batches.append(batch)
        for item in batch.items:
            self.items.append(item)
            self.open[item.shard] += 1
            self.max_open_attempts = max(self.max_open_attempts, self.open[item.shard])
            reply = self._handle(item, batch)
            if reply is not None:
                self._nursery.start_soon(self._reply, reply[0], reply[1], deliver)

    async def _reply(self, delay, result, deliver):
        await trio.sleep(delay)
        self.open[result.shard] -= 1
        deliver(result)

    def cancel(self, attempt_ids):
        self.cancelled.extend(attempt_ids)


class Harness:
    """Executor with fake collaborators; ``handle`` determines the replies of the owners."""

    def __init__(self, nursery, handle, shard_map=None, **options) -> None:
        self.topology = FakeTopology(shard_map or make_map(4))
        self.owners = FakeOwners(nursery, handle)
        self.counters = InMemoryCounters()
        self.refusal = None
        self.suspects = set()
        self.executor = QueryExecutor(
            self.topology,
            lambda vm: self.owners,
            "vm0",
            self.counters,
            Random(options.pop("seed", 1)),
            lambda fingerprint: self.refusal,
            lambda fingerprint: fingerprint in self.suspects,
            **options,
        )

    def query(self, deadline_s=1.0, **changes) -> Query:
        fields = {
            "request_id": "q1",
            "service": "tunes",
            "route": "q",
            "body": b"body",
            "deadline_at": trio.current_time() + deadline_s,
            "repeatable": True,
            "fingerprint": "f",
        }
        return Query(**{**fields, **changes})

    def warm_up(self, fast_s=0.005) -> None:
        """Add latency samples of the service, because there are no hedges without an estimate."""
        for _ in range(2 * MIN_SAMPLES):
            self.executor.context.latencies["tunes"].record(fast_s)
