"""Builds library objects of any size for the slopes."""

from collections.abc import Callable, Iterable

from zinnia_facts.table import Fact, FactKind
from zinnia_model.configuration import (
    ConfigDocument,
    DataCentreConfig,
    RouteConfig,
    ServiceConfig,
    VersionConfig,
)
from zinnia_model.ids import AttemptId, ReplicaId, ServiceId, ShardId, VmId
from zinnia_model.members import Member, MemberList
from zinnia_model.observations import Observation, Observer
from zinnia_model.reasons import Outcome
from zinnia_model.replicas import ReplicaFact
from zinnia_model.shardmaps import ReplicaRecord, ShardMap
from zinnia_model.subrequests import Batch, BatchSender, ReplicaView, SubRequest, SubResult
from zinnia_routing.topology import Topology

SERVICE = ServiceId("tune-identification")
BODY = b'{"seed":1,"number":4711}'
ANSWER = b'{"shard":"017","echo":{"seed":1,"number":4711},"run":12345}'
VMS_PER_CELL = 8


def make_service() -> ServiceConfig:
    """Return a service as Bellsound configures it."""
    return ServiceConfig(
        routes={"search": RouteConfig(), "request": RouteConfig(repeatable=False)},
        versions={"v1": VersionConfig(share=1.0)},
        slots=2,
        connections=25,
    )


def make_document(services: int) -> ConfigDocument:
    """Return a configuration of many services and 20 data centres."""
    return ConfigDocument(
        revision=1,
        services={f"service-{number:05d}": make_service() for number in range(services)},
        data_centres={f"data-centre-{number:02d}": DataCentreConfig() for number in range(20)},
    )


def make_replica(number: int) -> ReplicaRecord:
    """Return one replica with an id of usual length."""
    return ReplicaRecord(
        id=f"{SERVICE}-v1-{number:05d}-0",
        address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8080",
        data_centre=f"data-centre-{number % 20:02d}",
        version="v1",
    )


def make_map(shards: int, replicas: int = 2) -> ShardMap:
    """Return a shard map with this many replicas of each shard."""
    return ShardMap(
        service=SERVICE,
        snapshot="s1",
        shards={
            f"{shard:03d}": tuple(make_replica(shard * replicas + copy) for copy in range(replicas))
            for shard in range(shards)
        },
    )


def make_fact(number: int, version: int = 1_700_000_000_000) -> Fact:
    """Return the fact of one replica's state."""
    replica = make_replica(number).id
    state = ReplicaFact(
        replica=replica, cold=False, limit=2, in_flight=1, start_id=f"{replica}-1-1", version="v1"
    )
    text = state.model_dump_json()
    return Fact(FactKind.REPLICA_STATE, replica, f"vm-{number % 8}", version, text, 60.0)


def make_members(count: int) -> MemberList:
    """Return a member list."""
    rows = tuple(
        Member(
            seat=number,
            vm=f"vm-{number}",
            incarnation="0123456789ab",
            peer_address=f"10.0.0.{number}:9000",
            data_centre="taipei",
        )
        for number in range(count)
    )
    return MemberList(epoch=7, members=rows)


def make_batch(items: int) -> Batch:
    """Return the batch of one query for one owner."""
    subs = tuple(
        SubRequest(
            AttemptId(f"vm-1-0123abcd-4711-{number}"),
            ShardId(f"{number:03d}"),
            ReplicaId(make_replica(number).id),
        )
        for number in range(items)
    )
    fingerprint = "0123456789abcdef0123456789abcdef"
    return Batch(
        "vm-1-0123456789ab-4711", SERVICE, "search", "s1", BODY, 0.2, True, fingerprint, subs
    )


def make_result(item: SubRequest) -> SubResult:
    """Return the answer to one sub-request."""
    return SubResult(
        item.attempt_id,
        Outcome.ANSWERED,
        item.shard,
        item.replica,
        body=ANSWER,
        snapshot="s1",
        start_id=f"{item.replica}-1-1",
        version="v1",
        service_time_s=0.0051,
        limit=2,
    )


class StaticTopology(Topology):
    """A fleet that does not change; replicas are spread over the owners in turn."""

    def __init__(self, shard_map: ShardMap, owners: int = VMS_PER_CELL) -> None:
        self._map = shard_map
        self._config = make_service()
        replicas = shard_map.list_replicas()
        self._views = {replica: ReplicaView(replica, limit=2) for replica in replicas}
        self._owners = {
            replica: VmId(f"vm-{number % owners}") for number, replica in enumerate(replicas)
        }

    def service(self, service):
        """Return the one configuration."""
        return self._config

    def shard_map(self, service):
        """Return the one map."""
        return self._map

    def owner(self, replica):
        """Return the fixed owner."""
        return self._owners[replica]

    def view(self, replica):
        """Return a warm, idle replica."""
        return self._views[replica]

    def data_centre_weight(self, data_centre, now):
        """Return the weight of a data centre that is in."""
        return 1.0

    def shares(self, service, now):
        """Return the one version."""
        return {"v1": 1.0}


class InstantSender(BatchSender):
    """Answers every sub-request before it returns."""

    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Deliver an answer for each."""
        for item in batch.items:
            deliver(make_result(item))

    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Do nothing; everything is answered."""


class SilentObserver(Observer):
    """Drops observations."""

    def observe(self, observation: Observation) -> None:
        """Do nothing."""
