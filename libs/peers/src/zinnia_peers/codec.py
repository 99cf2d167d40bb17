"""Encodes messages as thrift messages in the strict binary protocol.

The C extension of the thrift library reads the attributes of the dataclasses and calls their
constructors, so no intermediate wire objects are needed. The decoder skips fields that this version
does not know; a field that an older sender left out gets the default of the dataclass.
"""

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

from thrift.protocol import fastbinary
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer

from zinnia_model import messages as m
from zinnia_model.errors import ZinniaError
from zinnia_model.members import Member, MemberList
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult

STRICT_VERSION = 0x80010000
STRICT_VERSION_MASK = 0xFFFF0000
MAX_STRING_BYTES = 4_000_000
MAX_CONTAINER_ITEMS = 1_000_000
_UINT32 = struct.Struct("!I")


class ProtocolError(ZinniaError):
    """A message is invalid, too long or cannot be encoded; a peer that sent it is disconnected."""


class MessageRole(IntEnum):
    """Role of a message on a connection; the values are the message types of thrift."""

    CALL = TMessageType.CALL
    REPLY = TMessageType.REPLY
    EXCEPTION = TMessageType.EXCEPTION
    ONEWAY = TMessageType.ONEWAY


@dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded message with its role and its id, which is unique among open calls.

    ``message`` is None if this version does not know the message type.
    """

    role: MessageRole
    message_id: int
    message: Any


# Field types as pairs of thrift type and type argument, as the thrift library expects them.
_TEXT = (TType.STRING, "UTF8")
_BYTES = (TType.STRING, "BINARY")
_BOOL = (TType.BOOL, None)
_I32 = (TType.I32, None)
_I64 = (TType.I64, None)
_DOUBLE = (TType.DOUBLE, None)


def _list(item: tuple) -> tuple:
    return (TType.LIST, (item[0], item[1], True))


def _make_struct(build: type, *fields: tuple) -> tuple:
    """Return the field type of a struct; field ids are numbered from 1 in the given order."""
    spec: list[tuple | None] = [None]
    for number, (name, (ttype, argument)) in enumerate(fields, start=1):
        spec.append((number, ttype, name, argument, None))
    return (TType.STRUCT, [build, tuple(spec)])


def _make_enum(kind: type[Enum], unknown: Enum) -> tuple:
    """Return the field type of an enum, which is sent as a struct with the enum value as its field.

    A value that this version does not know is decoded as ``unknown``.
    """
    by_value = {member.value: member for member in kind}

    class Builder:
        # The C decoder accepts only classes as constructors. It passes the fields to the
        # constructor only if the class defines __setattr__; otherwise it would set the attributes
        # of the enum member.
        def __new__(cls, _value_: str) -> Enum:
            return by_value.get(_value_, unknown)

        def __setattr__(self, name: str, value: Any) -> None:
            raise TypeError(f"cannot set {name}: enum members are immutable")

    return _make_struct(Builder, ("_value_", _TEXT))


_TEXTS = _list(_TEXT)
_OUTCOME = _make_enum(Outcome, Outcome.UNKNOWN)
_REASON = _make_enum(Reason, Reason.INTERNAL)
_SUB_REQUEST = _make_struct(SubRequest, ("attempt_id", _TEXT), ("shard", _TEXT), ("replica", _TEXT))
_BATCH = _make_struct(
    Batch,
    ("request_id", _TEXT),
    ("service", _TEXT),
    ("route", _TEXT),
    ("snapshot", _TEXT),
    ("body", _BYTES),
    ("deadline_s", _DOUBLE),
    ("repeatable", _BOOL),
    ("fingerprint", _TEXT),
    ("items", _list(_SUB_REQUEST)),
    ("idempotency_key", _TEXT),
)
_SUB_RESULT = _make_struct(
    SubResult,
    ("attempt_id", _TEXT),
    ("outcome", _OUTCOME),
    ("shard", _TEXT),
    ("replica", _TEXT),
    ("reason", _REASON),
    ("body", _BYTES),
    ("snapshot", _TEXT),
    ("start_id", _TEXT),
    ("version", _TEXT),
    ("service_time_s", _DOUBLE),
    ("queue_length", _I32),
    ("limit", _I32),
    ("cold", _BOOL),
)
_FACTS = _list(
    _make_struct(
        m.FactRecord,
        ("kind", _TEXT),
        ("subject", _TEXT),
        ("origin", _TEXT),
        ("version", _I64),
        ("value", _TEXT),
        ("ttl_s", _DOUBLE),
    )
)
_MEMBER = _make_struct(
    Member,
    ("seat", _I32),
    ("vm", _TEXT),
    ("incarnation", _TEXT),
    ("peer_address", _TEXT),
    ("data_centre", _TEXT),
    ("holder_version", _I64),
)
_MEMBER_LIST = _make_struct(MemberList, ("epoch", _I64), ("members", _list(_MEMBER)))
_HANDED_REPLICA = _make_struct(
    m.HandedReplica,
    ("replica", _TEXT),
    ("cold", _BOOL),
    ("draining", _BOOL),
    ("limit", _I32),
    ("in_flight", _I32),
    ("start_id", _TEXT),
    ("version", _TEXT),
)

_STRUCTS: dict[type, tuple] = {
    m.Hello: _make_struct(m.Hello, ("vm", _TEXT), ("incarnation", _TEXT)),
    m.Heartbeat: _make_struct(
        m.Heartbeat,
        ("vm", _TEXT),
        ("incarnation", _TEXT),
        ("epoch", _I32),
        ("view", _I64),
        ("sequence", _I32),
        ("config_revision", _I32),
        ("leaving", _BOOL),
        ("facts", _FACTS),
        ("standby", _BOOL),
        ("peer_address", _TEXT),
        ("data_centre", _TEXT),
    ),
    m.HeartbeatReply: _make_struct(
        m.HeartbeatReply,
        ("vm", _TEXT),
        ("epoch", _I32),
        ("view", _I64),
        ("sequence", _I32),
        ("asker_incarnation", _TEXT),
        ("alive", _BOOL),
        ("settled", _BOOL),
        ("dead", _TEXTS),
        ("config_revision", _I32),
        ("facts", _FACTS),
        ("standby", _BOOL),
    ),
    m.SubmitBatch: _make_struct(m.SubmitBatch, ("batch", _BATCH)),
    m.Results: _make_struct(m.Results, ("results", _list(_SUB_RESULT))),
    m.Cancel: _make_struct(m.Cancel, ("attempt_ids", _TEXTS)),
    m.ConfigPull: _make_struct(m.ConfigPull, ("vm", _TEXT), ("revision", _I64)),
    m.ConfigPush: _make_struct(
        m.ConfigPush,
        ("vm", _TEXT),
        ("revision", _I64),
        ("document", _BYTES),
        ("shard_maps", _list(_BYTES)),
        ("member_list", _MEMBER_LIST),
    ),
    m.FactPush: _make_struct(m.FactPush, ("vm", _TEXT), ("facts", _FACTS)),
    m.Handover: _make_struct(
        m.Handover, ("vm", _TEXT), ("incarnation", _TEXT), ("replicas", _list(_HANDED_REPLICA))
    ),
    m.SeatTransfer: _make_struct(
        m.SeatTransfer, ("epoch", _I64), ("previous", _TEXT), ("member", _MEMBER)
    ),
    m.ClaimQuery: _make_struct(
        m.ClaimQuery, ("vm", _TEXT), ("service", _TEXT), ("key", _TEXT), ("attempt_id", _TEXT)
    ),
    m.ClaimReply: _make_struct(
        m.ClaimReply, ("known", _BOOL), ("state", _TEXT), ("answer", _BYTES)
    ),
    m.MemberPull: _make_struct(m.MemberPull, ("vm", _TEXT)),
    m.MemberPush: _make_struct(
        m.MemberPush, ("vm", _TEXT), ("member_list", _MEMBER_LIST), ("config_revision", _I64)
    ),
    m.Acknowledgement: _make_struct(m.Acknowledgement, ("accepted", _BOOL), ("detail", _TEXT)),
}

MESSAGE_TYPES = tuple(_STRUCTS)
# Heartbeats are most of the control traffic, so their names on the wire are abbreviated.
_SHORT_NAMES = {m.Heartbeat: b"hb", m.HeartbeatReply: b"hr"}
_NAMES_ON_WIRE = {kind: _SHORT_NAMES.get(kind, kind.__name__.encode()) for kind in _STRUCTS}
_TYPES_BY_NAME = {name: kind for kind, name in _NAMES_ON_WIRE.items()}


def _make_prefix(role: MessageRole, name: bytes) -> bytes:
    return _UINT32.pack(STRICT_VERSION | role) + _UINT32.pack(len(name)) + name


_PREFIXES = {
    (role, kind): _make_prefix(role, _NAMES_ON_WIRE[kind])
    for role in MessageRole
    for kind in _STRUCTS
}


def encode(message: Any, role: MessageRole = MessageRole.ONEWAY, message_id: int = 0) -> bytes:
    """Return the bytes of a message in the strict binary protocol, without a frame header.

    Raises
    ------
    ProtocolError
        If a field has a value of the wrong type or range.
    """
    kind = type(message)
    try:
        body = fastbinary.encode_binary(message, _STRUCTS[kind][1])
    except (TypeError, AttributeError, OverflowError, KeyError) as error:
        text = f"cannot encode {kind.__name__}: {error}; check its field types"
        raise ProtocolError(text) from error
    return _PREFIXES[role, kind] + _UINT32.pack(message_id) + body


def decode(payload: bytes) -> Envelope:
    """Return the message in the payload of a frame.

    Raises
    ------
    ProtocolError
        If the bytes are not a valid thrift message or a required field is missing.
    """
    try:
        return _decode(payload)
    except ProtocolError:
        raise
    except Exception as error:
        # The C decoder and pydantic raise unrelated exception types for malformed input.
        raise ProtocolError(f"malformed message ({error}); close the connection") from error


def _decode(payload: bytes) -> Envelope:
    (version_and_role,) = _UINT32.unpack_from(payload, 0)
    if version_and_role & STRICT_VERSION_MASK != STRICT_VERSION:
        raise ProtocolError(
            "peer does not use the strict thrift binary protocol; check its address"
        )
    (length,) = _UINT32.unpack_from(payload, 4)
    kind = _TYPES_BY_NAME.get(payload[8 : 8 + length])
    (message_id,) = _UINT32.unpack_from(payload, 8 + length)
    role = MessageRole(version_and_role & 0xFF)
    if kind is None:
        return Envelope(role, message_id, None)
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(payload[12 + length :]),
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
    message = fastbinary.decode_binary(None, protocol, _STRUCTS[kind][1])
    return Envelope(role, message_id, message)
