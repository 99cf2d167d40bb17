"""Messages of a delegation between two VMs, in thrift's compact protocol."""

from enum import Enum

from thrift.protocol.TBase import TBase
from thrift.Thrift import TType

from zinnia_relay.exchange import DEPARTURE_LIST, DepartureRecord

# First frame of a connection, which selects the delegation protocol on the peer address.
DELEGATION_PROTOCOL_ID = b"zinnia subqueries 2"


class ReplyKind(Enum):
    """Meaning of a reply."""

    ACCEPTED = 1
    REFUSED = 2  # nothing was sent to replicas, and nothing will be
    RESULT = 3
    ALIVE = 4
    PERMISSION_WANTED = 5  # each of the shards is to be sent once more


class SubqueryStart(TBase):
    """Requests the answers of some shards to one request.

    ``request`` is serialized by the adapter. The first report is due in ``report_in_us`` and the
    run ends in ``end_in_us``, both in microseconds from the receipt of the message. ``target_us``
    is the target latency of the route. The run is refused if ``max_absent`` or more shards have no
    replica.
    """

    thrift_spec = (
        None,
        (1, TType.I64, "id", None, None),
        (2, TType.STRING, "request", "BINARY", None),
        (3, TType.STRING, "route", "UTF8", None),
        (4, TType.LIST, "services", (TType.STRING, "UTF8", False), None),
        (5, TType.I32, "max_attempts", None, None),
        (6, TType.I32, "top_k", None, None),
        (7, TType.I64, "target_us", None, None),
        (8, TType.I64, "report_in_us", None, None),
        (9, TType.I64, "end_in_us", None, None),
        (10, TType.I32, "max_absent", None, None),
        (11, TType.STRING, "vm", "UTF8", None),
    )

    def __init__(
        self,
        id: int = 0,  # noqa: A002 - name of the field
        request: bytes = b"",
        route: str = "",
        services: list[str] | None = None,
        max_attempts: int = 1,
        top_k: int = 0,
        target_us: int = 0,
        report_in_us: int = 0,
        end_in_us: int = 0,
        max_absent: int = 1,
        vm: str = "",
    ) -> None:
        self.id = id
        self.request = request
        self.route = route
        self.services = services or []
        self.max_attempts = max_attempts
        self.top_k = top_k
        self.target_us = target_us
        self.report_in_us = report_in_us
        self.end_in_us = end_in_us
        self.max_absent = max_absent
        self.vm = vm


class SubqueryEnd(TBase):
    """Says that the request has ended; unless ``is_answered``, its open sends are cancelled."""

    thrift_spec = (
        None,
        (1, TType.I64, "id", None, None),
        (2, TType.BOOL, "is_answered", None, None),
    )

    def __init__(self, id: int = 0, is_answered: bool = False) -> None:  # noqa: A002
        self.id = id
        self.is_answered = is_answered


class SendPermission(TBase):
    """Permits one more send for each of these shards, indexes into ``services`` of the start."""

    thrift_spec = (
        None,
        (1, TType.I64, "id", None, None),
        (2, TType.LIST, "shards", (TType.I32, None, False), None),
    )

    def __init__(self, id: int = 0, shards: list[int] | None = None) -> None:  # noqa: A002
        self.id = id
        self.shards = shards or []


class Call(TBase):
    """One frame to the VM that runs subqueries; a ping if it has no field."""

    thrift_spec = (
        None,
        (1, TType.STRUCT, "start", [SubqueryStart, SubqueryStart.thrift_spec], None),
        (2, TType.STRUCT, "end", [SubqueryEnd, SubqueryEnd.thrift_spec], None),
        (3, TType.STRUCT, "permission", [SendPermission, SendPermission.thrift_spec], None),
    )

    def __init__(
        self,
        start: SubqueryStart | None = None,
        end: SubqueryEnd | None = None,
        permission: SendPermission | None = None,
    ) -> None:
        self.start = start
        self.end = end
        self.permission = permission


class Reply(TBase):
    """One frame to the VM that delegates. ``kind`` is the value of a ``ReplyKind``.

    ``shards`` and ``failed`` are indexes into the ``services`` of the start; ``crashed`` are those
    of ``failed`` where a replica crashed, and ``misdirected`` those where a send has reached a
    replica that it was not for. After a refusal, no delegations are to be sent for
    ``hold_ms``. ``departures`` lists replicas that leave.
    """

    thrift_spec = (
        None,
        (1, TType.I64, "id", None, None),
        (2, TType.I32, "kind", None, None),
        (3, TType.LIST, "shards", (TType.I32, None, False), None),
        (4, TType.LIST, "signatures", (TType.STRING, "BINARY", False), None),
        (5, TType.STRING, "records", "BINARY", None),
        (6, TType.LIST, "failed", (TType.I32, None, False), None),
        (7, TType.LIST, "failed_sends", (TType.I32, None, False), None),
        (8, TType.BOOL, "is_last", None, None),
        (9, TType.I32, "hold_ms", None, None),
        (10, TType.LIST, "departures", DEPARTURE_LIST, None),
        (11, TType.LIST, "crashed", (TType.I32, None, False), None),
        (12, TType.LIST, "misdirected", (TType.I32, None, False), None),
    )

    def __init__(
        self,
        id: int = 0,  # noqa: A002 - name of the field
        kind: int = 0,
        shards: list[int] | None = None,
        signatures: list[bytes] | None = None,
        records: bytes = b"",
        failed: list[int] | None = None,
        failed_sends: list[int] | None = None,
        is_last: bool = False,
        hold_ms: int = 0,
        departures: list[DepartureRecord] | None = None,
        crashed: list[int] | None = None,
        misdirected: list[int] | None = None,
    ) -> None:
        self.id = id
        self.kind = kind
        self.shards = shards or []
        self.signatures = signatures or []
        self.records = records
        self.failed = failed or []
        self.failed_sends = failed_sends or []
        self.is_last = is_last
        self.hold_ms = hold_ms
        self.departures = departures or []
        self.crashed = crashed or []
        self.misdirected = misdirected or []
