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
    """A fact as it is sent: ``zinnia_facts.table.Fact`` with the value of its kind enum."""

    kind: str
    subject: str
    origin: str
    version: int
    value: str
    ttl_s: float


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a connection; identifies the VM that opened it."""

    vm: VmId
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Requests a liveness promise from a member.

    ``view`` is a digest of the seat holders, because seats can be transferred within an epoch
    during a platform outage. ``leaving`` means that this incarnation has given up every promise
    that it received and never acts as owner again. ``standby`` means that this incarnation has not
    acted as owner yet; false withdraws every standby promise that it gave. ``peer_address`` and
    ``data_centre`` are sent only by a VM without a seat, which is in no member list.
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

    ``sequence`` and ``asker_incarnation`` are copied from the heartbeat. ``alive`` is the promise
    about its sender, ``dead`` lists the members about which ``vm`` promises DEAD in this reply.
    ``settled`` means that every promise that ``vm`` gave under another view has expired.
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
    """Forwards a batch to the owner of its replicas."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class Results:
    """Final results of attempts, possibly of several batches."""

    results: tuple[SubResult, ...]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels attempts whose results are no longer needed."""

    attempt_ids: tuple[AttemptId, ...]


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """Requests the configuration if it is newer than ``revision``."""

    vm: VmId
    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """The configuration document and shard maps as JSON bytes.

    ``document`` is empty if it is not newer than the requested revision.
    """

    vm: VmId
    revision: Revision
    document: bytes = b""
    shard_maps: tuple[bytes, ...] = ()
    member_list: MemberList | None = None


@dataclass(frozen=True, slots=True)
class FactPush:
    """Urgent facts, sent without waiting for the next heartbeat."""

    vm: VmId
    facts: tuple[FactRecord, ...]


@dataclass(frozen=True, slots=True)
class HandedReplica:
    """The state of one replica as its previous owner last knew it."""

    replica: ReplicaId
    cold: bool = True
    draining: bool = False
    limit: int = 1
    in_flight: int = 0
    start_id: StartId = StartId("")
    version: VersionId = VersionId("")


@dataclass(frozen=True, slots=True)
class Handover:
    """Notifies the next owner that ``vm`` has stopped sending to these replicas."""

    vm: VmId
    incarnation: str
    replicas: tuple[HandedReplica, ...]


@dataclass(frozen=True, slots=True)
class SeatTransfer:
    """Notifies all peers of a seat transfer to ``member`` during a platform outage.

    ``previous`` held the seat before.
    """

    epoch: int
    previous: VmId
    member: Member


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Requests the outcome of an attempt from the holder of its claim."""

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
    """Requests the member list from a configured peer.

    Sent by a newly started VM during a platform outage.
    """

    vm: VmId


@dataclass(frozen=True, slots=True)
class MemberPush:
    """The member list and configuration revision that ``vm`` holds."""

    vm: VmId
    member_list: MemberList | None = None
    config_revision: Revision = Revision(0)


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Acknowledges a call that has no other reply."""

    accepted: bool = True
    detail: str = ""
