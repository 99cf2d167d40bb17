"""Wire format of the crashes that VMs tell each other."""

from thrift.protocol.TBase import TBase
from thrift.Thrift import TType

from zinnia_catalog.crashes import AnsweredRequest, Crash, CrashFindings
from zinnia_catalog.ids import Fingerprint, ReplicaId, ServiceName, VersionId


class CrashRecord(TBase):
    """A replica that crashed while it ran a request."""

    thrift_spec = (
        None,
        (1, TType.STRING, "fingerprint", "UTF8", None),
        (2, TType.STRING, "replica", "UTF8", None),
        (3, TType.I64, "started_ms", None, None),
        (4, TType.STRING, "service", "UTF8", None),
        (5, TType.STRING, "version", "UTF8", None),
        (6, TType.STRING, "request_id", "UTF8", None),
        (7, TType.BOOL, "had_answered", None, None),
        (8, TType.I64, "age_ms", None, None),
    )

    def __init__(
        self,
        fingerprint: str = "",
        replica: str = "",
        started_ms: int = 0,
        service: str = "",
        version: str = "",
        request_id: str = "",
        had_answered: bool = False,
        age_ms: int = 0,
    ) -> None:
        self.fingerprint = fingerprint
        self.replica = replica
        self.started_ms = started_ms
        self.service = service
        self.version = version
        self.request_id = request_id
        self.had_answered = had_answered
        self.age_ms = age_ms


class AnsweredRecord(TBase):
    """A request that was answered after a replica had crashed while it ran it."""

    thrift_spec = (
        None,
        (1, TType.STRING, "fingerprint", "UTF8", None),
        (2, TType.I64, "age_ms", None, None),
    )

    def __init__(self, fingerprint: str = "", age_ms: int = 0) -> None:
        self.fingerprint = fingerprint
        self.age_ms = age_ms


CRASH_LIST = (TType.STRUCT, [CrashRecord, CrashRecord.thrift_spec], False)
ANSWERED_LIST = (TType.STRUCT, [AnsweredRecord, AnsweredRecord.thrift_spec], False)


def encode_crashes(findings: CrashFindings) -> list[CrashRecord]:
    """Return the crashes in their wire format."""
    return [
        CrashRecord(
            crash.fingerprint,
            crash.replica,
            crash.started_ms,
            crash.service,
            crash.version,
            crash.request_id,
            crash.had_answered,
            int(crash.age_s * 1000),
        )
        for crash in findings.crashes
    ]


def encode_answered(findings: CrashFindings) -> list[AnsweredRecord]:
    """Return the answered requests in their wire format."""
    return [
        AnsweredRecord(answered.fingerprint, int(answered.age_s * 1000))
        for answered in findings.answered
    ]


def decode_crash_findings(
    crashes: list[CrashRecord], answered: list[AnsweredRecord]
) -> CrashFindings:
    """Return the findings from their wire format."""
    return CrashFindings(
        tuple(
            Crash(
                Fingerprint(record.fingerprint),
                ReplicaId(record.replica),
                record.started_ms,
                ServiceName(record.service),
                VersionId(record.version),
                record.request_id,
                bool(record.had_answered),
                max(0, record.age_ms) / 1000,
            )
            for record in crashes
        ),
        tuple(
            AnsweredRequest(Fingerprint(record.fingerprint), max(0, record.age_ms) / 1000)
            for record in answered
        ),
    )
