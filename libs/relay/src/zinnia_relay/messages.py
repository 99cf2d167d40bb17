"""Messages that relay store changes between VMs, in thrift's compact protocol."""

import json
from collections.abc import Mapping
from math import inf
from typing import Any

from thrift.protocol.TBase import TBase
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import (
    Change,
    Changes,
    Listing,
    ObjectKind,
    StoredObject,
    StorePosition,
)
from zinnia_catalog.restores import PeerHold
from zinnia_relay.exchange import Findings

# Exceptions that ``decode`` may raise on malformed input.
DECODE_ERRORS = (TProtocolException, EOFError, ValueError, TypeError, KeyError)


class ObjectRecord(TBase):
    """One stored object with its documents as JSON, or only the name of a removed object."""

    thrift_spec = (
        None,
        (1, TType.STRING, "name", "UTF8", None),
        (2, TType.I64, "revision", None, None),
        (3, TType.STRING, "spec", "BINARY", None),
        (4, TType.STRING, "status", "BINARY", None),
        (5, TType.BOOL, "is_deleted", None, None),
    )

    def __init__(
        self,
        name: str = "",
        revision: int = 0,
        spec: bytes = b"null",
        status: bytes = b"null",
        is_deleted: bool = False,
    ) -> None:
        self.name = name
        self.revision = revision
        self.spec = spec
        self.status = status
        self.is_deleted = is_deleted


RECORD_STRUCT = [ObjectRecord, ObjectRecord.thrift_spec]


class HoldRecord(TBase):
    """An object that a VM knows in another state than a restored store lists it.

    Either record is a removal if there is no such object. ``left_ms`` is how much longer the known
    state holds, -1 without a limit.
    """

    thrift_spec = (
        None,
        (1, TType.STRUCT, "known", RECORD_STRUCT, None),
        (2, TType.STRUCT, "listed", RECORD_STRUCT, None),
        (3, TType.I64, "left_ms", None, None),
    )

    def __init__(
        self,
        known: ObjectRecord | None = None,
        listed: ObjectRecord | None = None,
        left_ms: int = 0,
    ) -> None:
        self.known = known or ObjectRecord()
        self.listed = listed or ObjectRecord()
        self.left_ms = left_ms


class KindUpdate(TBase):
    """Update of one kind: all objects if ``is_listing``, else the changes up to ``revision``.

    ``era`` is the era of the store to which the revisions belong. ``holds`` lists the objects for
    which the sender does not go by the store.
    ``age_ms`` is the time since the store last confirmed this kind to the sender, directly or
    through another VM, -1 if it never did. ``outage_age_ms`` is the time since the end of the
    latest outage of the store that the sender knows of, -1 if it knows of none.
    """

    thrift_spec = (
        None,
        (1, TType.STRING, "kind", "UTF8", None),
        (2, TType.I64, "revision", None, None),
        (3, TType.BOOL, "is_listing", None, None),
        (4, TType.LIST, "records", (TType.STRUCT, RECORD_STRUCT, False), None),
        (5, TType.I64, "age_ms", None, None),
        (6, TType.I64, "outage_age_ms", None, None),
        (7, TType.I64, "era", None, None),
        (
            8,
            TType.LIST,
            "holds",
            (TType.STRUCT, [HoldRecord, HoldRecord.thrift_spec], False),
            None,
        ),
    )

    def __init__(
        self,
        kind: str = "",
        revision: int = 0,
        is_listing: bool = False,
        records: list[ObjectRecord] | None = None,
        age_ms: int = 0,
        outage_age_ms: int = -1,
        era: int = 0,
        holds: list[HoldRecord] | None = None,
    ) -> None:
        self.kind = kind
        self.revision = revision
        self.is_listing = is_listing
        self.records = records or []
        self.age_ms = age_ms
        self.outage_age_ms = outage_age_ms
        self.era = era
        self.holds = holds or []

    @property
    def position(self) -> StorePosition:
        """The era and the revision."""
        return StorePosition(self.era, self.revision)


class FollowRequest(TBase):
    """Long poll for changes after the given positions; the reply is due after ``wait_ms``.

    ``revisions`` and ``eras`` hold the revision and the era of each kind.
    """

    thrift_spec = (
        None,
        (1, TType.STRING, "vm", "UTF8", None),
        (2, TType.MAP, "revisions", (TType.STRING, "UTF8", TType.I64, None, False), None),
        (3, TType.I64, "wait_ms", None, None),
        (4, TType.STRUCT, "findings", [Findings, Findings.thrift_spec], None),
        (5, TType.MAP, "eras", (TType.STRING, "UTF8", TType.I64, None, False), None),
    )

    def __init__(
        self,
        vm: str = "",
        positions: Mapping[ObjectKind, StorePosition] | None = None,
        wait_ms: int = 0,
        findings: Findings | None = None,
    ) -> None:
        known = positions or {}
        self.vm = vm
        self.revisions = {kind.value: position.revision for kind, position in known.items()}
        self.eras = {kind.value: position.era for kind, position in known.items()}
        self.wait_ms = wait_ms
        self.findings = findings or Findings()

    def get_position(self, kind: ObjectKind) -> StorePosition:
        """Return the position of a kind that the sender has."""
        return StorePosition(self.eras.get(kind.value, 0), self.revisions.get(kind.value, 0))


class FollowReply(TBase):
    """Reply to a ``FollowRequest``."""

    thrift_spec = (
        None,
        (1, TType.STRING, "vm", "UTF8", None),
        (2, TType.LIST, "kinds", (TType.STRUCT, [KindUpdate, KindUpdate.thrift_spec], False), None),
        (3, TType.STRUCT, "findings", [Findings, Findings.thrift_spec], None),
    )

    def __init__(
        self,
        vm: str = "",
        kinds: list[KindUpdate] | None = None,
        findings: Findings | None = None,
    ) -> None:
        self.vm = vm
        self.kinds = kinds or []
        self.findings = findings or Findings()


def encode(message: TBase) -> bytes:
    """Return a message as bytes."""
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(kind: type[TBase], data: bytes) -> Any:
    """Return the message in ``data``; raises one of ``DECODE_ERRORS`` if it is malformed."""
    message = kind()
    message.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
    return message


def make_update(
    collection: Collection,
    position: StorePosition,
    age_ms: int,
    outage_age_ms: int,
    now: float = 0.0,
) -> KindUpdate:
    """Return the update that brings a peer from a position up to date.

    It has all objects if the history of the collection doesn't reach back to the position.
    """
    update = KindUpdate(
        collection.kind.value,
        collection.revision,
        age_ms=age_ms,
        outage_age_ms=outage_age_ms,
        era=collection.position.era,
        holds=[_make_hold_record(hold) for hold in collection.list_holds(now)],
    )
    if position >= collection.position:
        return update
    changes = collection.find_changes(position)
    if changes is None:
        update.is_listing = True
        selected = [Change(item, False) for item in collection.make_listing().objects]
    else:
        selected = list(changes.changes)
    update.records = [_make_record(change) for change in selected]
    return update


def apply_update(
    collection: Collection, update: KindUpdate, now: float = 0.0
) -> tuple[Change, ...]:
    """Apply an update to a collection; return the changes that took effect."""
    changes = tuple(_read_change(record) for record in update.records)
    if update.is_listing:
        objects = tuple(change.object for change in changes)
        applied = collection.replace(Listing(objects, update.revision, update.era), now)
    else:
        applied = collection.advance(Changes(changes, update.revision, update.era), now)
    if update.position != collection.position:
        return applied
    return applied + collection.adopt_holds(map(_read_hold, update.holds), now)


def _make_record(change: Change) -> ObjectRecord:
    item = change.object
    if change.is_deleted:
        return ObjectRecord(item.name, item.revision, is_deleted=True)
    return ObjectRecord(
        item.name, item.revision, _encode_json(item.spec), _encode_json(item.status)
    )


def _read_change(record: ObjectRecord) -> Change:
    spec, status = json.loads(record.spec), json.loads(record.status)
    item = StoredObject(record.name, record.revision, spec, status)
    return Change(item, bool(record.is_deleted))


def _make_hold_record(hold: PeerHold) -> HoldRecord:
    known, listed = (
        (
            ObjectRecord(hold.name, is_deleted=True)
            if item is None
            else _make_record(Change(item, False))
        )
        for item in (hold.known, hold.listed)
    )
    return HoldRecord(known, listed, -1 if hold.left_s == inf else int(hold.left_s * 1000))


def _read_hold(record: HoldRecord) -> PeerHold:
    known, listed = (
        None if change.is_deleted else change.object
        for change in (_read_change(record.known), _read_change(record.listed))
    )
    left_s = inf if record.left_ms < 0 else record.left_ms / 1000
    return PeerHold(record.known.name, known, listed, left_s)


def _encode_json(document: Any) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
