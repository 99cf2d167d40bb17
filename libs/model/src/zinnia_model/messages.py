"""Messages between daemons; see docs/design.md section 3.2."""

from dataclasses import dataclass

from zinnia_model.ids import (
    AttemptId,
    IdempotencyKey,
    ReplicaId,
    Revision,
    ServiceId,
    StartId,
    VersionId,
    VmId,
)
from zinnia_model.members import Member, MemberList
from zinnia_model.subrequests import Batch, SubResult


@dataclass(frozen=True, slots=True)
class FactRecord:
    """A fact on the wire; same fields as ``zinnia_facts.table.Fact`` with the kind as its value."""

    kind: str
    subject: str
    origin: str
    version: int
    value: str
    ttl_s: float


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a connection; names the VM that opened it."""

    vm: VmId
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks a member for a liveness promise.

    ``view`` identifies the holders of all seats, because seats change hands within an epoch during
    a platform outage. ``leaving`` says that this incarnation has given up every promise it held and
    never acts as owner again. ``standby`` says that this incarnation has not acted as owner yet;
    false withdraws every standby promise that it gave. ``peer_address`` and ``data_centre`` are
    sent by a VM without a seat, which no member list describes.
    """

    vm: VmId
    incarnation: str
    epoch: int
    view: int
    sequence: int
    config_revision: Revision = Revision(0)
    leaving: bool = False
    facts: tuple[FactRecord, ...] = ()
    standby: bool = False
    peer_address: str = ""
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers one heartbeat.

    ``sequence`` and ``asker_incarnation`` repeat those of the heartbeat. ``alive`` is the promise
    about the asker, ``dead`` lists the members about whom ``vm`` promises DEAD as of this reply.
    ``settled`` says that every promise which ``vm`` gave under another view has expired.
    ``standby`` promises that ``vm`` does not act as owner for the duration of a promise.
    """

    vm: VmId
    epoch: int
    view: int
    sequence: int
    asker_incarnation: str
    alive: bool = False
    settled: bool = False
    dead: tuple[VmId, ...] = ()
    config_revision: Revision = Revision(0)
    facts: tuple[FactRecord, ...] = ()
    standby: bool = False


@dataclass(frozen=True, slots=True)
class SubmitBatch:
    """Hands a batch to the owner of its replicas."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class Results:
    """Settled results, possibly of several batches."""

    results: tuple[SubResult, ...]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Gives up attempts whose results are no longer needed."""

    attempt_ids: tuple[AttemptId, ...]


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """Asks for the configuration if it is newer than ``revision``."""

    vm: VmId
    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """The configuration document and shard maps as JSON; ``document`` is empty if not newer."""

    vm: VmId
    revision: Revision
    document: bytes = b""
    shard_maps: tuple[bytes, ...] = ()
    member_list: MemberList | None = None


@dataclass(frozen=True, slots=True)
class FactPush:
    """Urgent facts, sent at once."""

    vm: VmId
    facts: tuple[FactRecord, ...]


@dataclass(frozen=True, slots=True)
class HandedReplica:
    """The state of one replica as its last owner knew it."""

    replica: ReplicaId
    cold: bool = True
    draining: bool = False
    limit: int = 1
    in_flight: int = 0
    start_id: StartId = StartId("")
    version: VersionId = VersionId("")


@dataclass(frozen=True, slots=True)
class Handover:
    """Tells the next owner that ``vm`` has stopped sending to these replicas."""

    vm: VmId
    incarnation: str
    replicas: tuple[HandedReplica, ...]


@dataclass(frozen=True, slots=True)
class SeatTransfer:
    """Tells all peers that ``previous`` gave its seat to ``member`` during a platform outage."""

    epoch: int
    previous: VmId
    member: Member


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Asks the holder of a claim for the outcome of its attempt."""

    vm: VmId
    service: ServiceId
    key: IdempotencyKey
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """State of a claim as its holder knows it; ``known`` is false if the holder cannot tell."""

    known: bool
    state: str = ""
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class MemberPull:
    """Asks a configured peer for the member list, for a fresh VM during a platform outage."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class MemberPush:
    """The member list as ``vm`` holds it."""

    vm: VmId
    member_list: MemberList | None = None
    config_revision: Revision = Revision(0)


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answers a call that has no other reply."""

    accepted: bool = True
    detail: str = ""
