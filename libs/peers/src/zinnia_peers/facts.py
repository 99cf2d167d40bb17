"""Conversion between facts and the records that messages carry."""

from collections.abc import Iterable

from zinnia_facts.table import Fact, FactKind
from zinnia_model.messages import FactRecord

_KINDS = {kind.value: kind for kind in FactKind}


def make_records(facts: Iterable[Fact]) -> tuple[FactRecord, ...]:
    """Return the facts as records for a message."""
    return tuple(
        FactRecord(f.kind.value, f.subject, f.origin, f.version, f.value, f.ttl_s) for f in facts
    )


def read_records(records: Iterable[FactRecord]) -> list[Fact]:
    """Return the facts of a message without those whose kind this version does not know."""
    return [
        Fact(_KINDS[r.kind], r.subject, r.origin, r.version, r.value, r.ttl_s)
        for r in records
        if r.kind in _KINDS
    ]
