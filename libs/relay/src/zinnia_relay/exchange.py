"""What VMs tell each other besides the objects of the store, and its wire format."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import trio
from thrift.protocol.TBase import TBase
from thrift.Thrift import TType

from zinnia_catalog.crashes import CrashFindings
from zinnia_catalog.departures import Departure
from zinnia_catalog.evidence import AnswerCounts, Evidence
from zinnia_catalog.ids import ProcessId, ReplicaId, ServiceName, VersionId
from zinnia_catalog.observations import Observation, ObservationTable
from zinnia_relay.crashrecords import (
    ANSWERED_LIST,
    CRASH_LIST,
    AnsweredRecord,
    CrashRecord,
    decode_crash_findings,
    encode_answered,
    encode_crashes,
)


class ObservedReplica(TBase):
    """A replica that a VM found slow; ``slowness`` is in tenths of the usual latency."""

    thrift_spec = (
        None,
        (1, TType.STRING, "replica", "UTF8", None),
        (2, TType.I32, "slowness", None, None),
        (3, TType.I32, "age_ms", None, None),
    )

    def __init__(self, replica: str = "", slowness: int = 0, age_ms: int = 0) -> None:
        self.replica = replica
        self.slowness = slowness
        self.age_ms = age_ms


class EvidenceRecord(TBase):
    """Counts about the new version of a release; those of all processes if ``process`` is empty."""

    thrift_spec = (
        None,
        (1, TType.STRING, "service", "UTF8", None),
        (2, TType.STRING, "target", "UTF8", None),
        (3, TType.STRING, "process", "UTF8", None),
        (4, TType.I64, "good", None, None),
        (5, TType.I64, "bad", None, None),
        (6, TType.I64, "others_good", None, None),
        (7, TType.I64, "others_bad", None, None),
        (8, TType.BOOL, "is_rejected", None, None),
        (9, TType.I64, "age_ms", None, None),
        (10, TType.I64, "sends", None, None),
    )

    def __init__(
        self,
        service: str = "",
        target: str = "",
        process: str = "",
        good: int = 0,
        bad: int = 0,
        others_good: int = 0,
        others_bad: int = 0,
        is_rejected: bool = False,
        age_ms: int = 0,
        sends: int = 0,
    ) -> None:
        self.service = service
        self.target = target
        self.process = process
        self.good = good
        self.bad = bad
        self.others_good = others_good
        self.others_bad = others_bad
        self.is_rejected = is_rejected
        self.age_ms = age_ms
        self.sends = sends


class DepartureRecord(TBase):
    """A replica that has said that it leaves, by its id and the time of its start."""

    thrift_spec = (
        None,
        (1, TType.STRING, "replica", "UTF8", None),
        (2, TType.I64, "started_ms", None, None),
        (3, TType.I32, "age_ms", None, None),
    )

    def __init__(self, replica: str = "", started_ms: int = 0, age_ms: int = 0) -> None:
        self.replica = replica
        self.started_ms = started_ms
        self.age_ms = age_ms


DEPARTURE_LIST = (TType.STRUCT, [DepartureRecord, DepartureRecord.thrift_spec], False)


class Findings(TBase):
    """What a VM has found out by itself, or heard from other VMs."""

    thrift_spec = (
        None,
        (
            1,
            TType.LIST,
            "observed",
            (TType.STRUCT, [ObservedReplica, ObservedReplica.thrift_spec], False),
            None,
        ),
        (
            2,
            TType.LIST,
            "evidence",
            (TType.STRUCT, [EvidenceRecord, EvidenceRecord.thrift_spec], False),
            None,
        ),
        (3, TType.LIST, "departures", DEPARTURE_LIST, None),
        (4, TType.LIST, "crashes", CRASH_LIST, None),
        (5, TType.LIST, "answered", ANSWERED_LIST, None),
    )

    def __init__(
        self,
        observed: list[ObservedReplica] | None = None,
        evidence: list[EvidenceRecord] | None = None,
        departures: list[DepartureRecord] | None = None,
        crashes: list[CrashRecord] | None = None,
        answered: list[AnsweredRecord] | None = None,
    ) -> None:
        self.observed = observed or []
        self.evidence = evidence or []
        self.departures = departures or []
        self.crashes = crashes or []
        self.answered = answered or []


class FindingsSource(ABC):
    """Source of what this VM has found out, and recipient of what other VMs have."""

    @abstractmethod
    def list_observations(self) -> list[Observation]:
        """Return this VM's own observations of slow or failing replicas."""

    @abstractmethod
    def apply_observations(self, observations: Iterable[Observation]) -> None:
        """Apply observations of other VMs."""

    @abstractmethod
    def list_departures(self) -> list[Departure]:
        """Return the replicas that are known to leave."""

    @abstractmethod
    def apply_departures(self, departures: Iterable[Departure]) -> None:
        """Apply departures that other VMs know."""

    @abstractmethod
    def list_crashes(self) -> CrashFindings:
        """Return the crashes of replicas that are known, by request."""

    @abstractmethod
    def apply_crashes(self, findings: CrashFindings) -> None:
        """Apply crashes that other VMs know."""

    @abstractmethod
    def list_evidence(self) -> list[Evidence]:
        """Return the evidence of this process, and what has changed of that of others."""

    @abstractmethod
    def list_totals(self) -> list[Evidence]:
        """Return the pooled evidence of all processes."""

    @abstractmethod
    def merge_evidence(self, evidence: Iterable[Evidence]) -> None:
        """Merge evidence of other VMs."""


class FindingsExchange:
    """Exchanges findings with peers: a VM sends its own, and gets those of all VMs in reply.

    Parameters
    ----------
    source : FindingsSource, optional
        Provides this VM's findings and receives those of others; nothing is exchanged without one.
    """

    def __init__(self, source: FindingsSource | None = None) -> None:
        self._source = source
        self._observations = ObservationTable(trio.current_time)

    def make_request(self) -> Findings:
        """Return the findings to send to a peer."""
        if self._source is None:
            return Findings()
        return self._make_findings(self._source.list_evidence())

    def make_reply(self) -> Findings:
        """Return the findings of all VMs for a peer."""
        if self._source is None:
            return Findings()
        return self._make_findings(self._source.list_totals())

    def apply(self, findings: Findings) -> None:
        """Apply the findings of a peer."""
        if self._source is None:
            return
        added = self._observations.merge(decode_observations(findings.observed))
        self._source.apply_observations(added)
        self._source.apply_departures(decode_departures(findings.departures))
        self._source.apply_crashes(decode_crash_findings(findings.crashes, findings.answered))
        self._source.merge_evidence(decode_evidence(findings.evidence))

    def _make_findings(self, evidence: list[Evidence]) -> Findings:
        crashes = self._source.list_crashes()
        return Findings(
            self._list_observed(),
            encode_evidence(evidence),
            encode_departures(self._source.list_departures()),
            encode_crashes(crashes),
            encode_answered(crashes),
        )

    def _list_observed(self) -> list[ObservedReplica]:
        self._observations.merge(self._source.list_observations())
        return encode_observations(self._observations.list_fresh())


def encode_observations(observations: Iterable[Observation]) -> list[ObservedReplica]:
    """Return observations in their wire format."""
    return [
        ObservedReplica(item.replica, round(item.slowness * 10), int(item.age_s * 1000))
        for item in observations
    ]


def decode_observations(observed: Iterable[ObservedReplica]) -> list[Observation]:
    """Return observations from their wire format."""
    return [
        Observation(ReplicaId(item.replica), item.slowness / 10, item.age_ms / 1000)
        for item in observed
    ]


def encode_departures(departures: Iterable[Departure]) -> list[DepartureRecord]:
    """Return departures in their wire format."""
    return [
        DepartureRecord(item.replica, item.started_ms, int(item.age_s * 1000))
        for item in departures
    ]


def decode_departures(records: Iterable[DepartureRecord]) -> list[Departure]:
    """Return departures from their wire format."""
    return [
        Departure(ReplicaId(item.replica), item.started_ms, item.age_ms / 1000) for item in records
    ]


def encode_evidence(evidence: Iterable[Evidence]) -> list[EvidenceRecord]:
    """Return evidence in its wire format."""
    return [
        EvidenceRecord(
            item.service,
            item.target,
            item.process or "",
            item.counts.good,
            item.counts.bad,
            item.counts.others_good,
            item.counts.others_bad,
            item.is_rejected,
            int(item.age_s * 1000),
            item.counts.sends,
        )
        for item in evidence
    ]


def decode_evidence(records: Iterable[EvidenceRecord]) -> list[Evidence]:
    """Return evidence from its wire format."""
    return [
        Evidence(
            ServiceName(item.service),
            VersionId(item.target),
            ProcessId(item.process) if item.process else None,
            AnswerCounts(item.good, item.bad, item.others_good, item.others_bad, item.sends),
            bool(item.is_rejected),
            item.age_ms / 1000,
        )
        for item in records
    ]
