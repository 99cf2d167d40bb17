"""Revisions of the configuration document and the typed change of a move."""

from typing import Literal

from pydantic import Field

from zinnia_model.configuration import (
    ConfigDocument,
    DataCentreConfig,
    DataCentreState,
    Model,
    MoveRecord,
    MoveState,
    ServiceConfig,
    Touch,
)
from zinnia_model.errors import ConflictError, NoteError

SHARE_TOLERANCE = 1e-6
UNFINISHED = frozenset({MoveState.PENDING, MoveState.RAMPING})


class MoveChange(Model):
    """What a move does, kept in ``MoveRecord.change``.

    ``not_before_ms`` delays the start (wall clock, ms); ``shares_before`` are the shares of the
    service when a version move began; ``after`` names a move that must be done first.
    """

    action: Literal[
        "ramp", "withdraw_version", "data_centre", "service", "remove_service", "shares"
    ]
    note_hash: str = ""
    not_before_ms: int = 0
    after: str = ""
    state: DataCentreState | None = None
    definition: ServiceConfig | None = None
    shares: dict[str, float] = Field(default_factory=dict)
    shares_before: dict[str, float] = Field(default_factory=dict)

    def dump(self) -> dict:
        """Return the JSON form for ``MoveRecord.change``."""
        return self.model_dump(mode="json", exclude_defaults=True)


def read_change(move: MoveRecord) -> MoveChange:
    """Return the typed change of a move."""
    return MoveChange.model_validate(move.change)


def is_version_move(move: MoveRecord) -> bool:
    """Return whether the move ramps traffic from one version to another."""
    return move.change.get("action") == "ramp"


def name_service(service: str) -> str:
    """Return the key of a service in ``ConfigDocument.touched``."""
    return f"service/{service}"


def name_data_centre(data_centre: str) -> str:
    """Return the key of a data centre in ``ConfigDocument.touched``."""
    return f"data_centre/{data_centre}"


def name_subject(move: MoveRecord) -> str:
    """Return the key in ``ConfigDocument.touched`` of what a move changes."""
    if move.change.get("action") == "data_centre":
        return name_data_centre(move.subject)
    return name_service(move.subject)


def list_unfinished(document: ConfigDocument, subject: str) -> list[MoveRecord]:
    """Return the unfinished moves of one subject, given as a key of ``touched``."""
    return [
        move
        for move in document.moves.values()
        if move.state in UNFINISHED and name_subject(move) == subject
    ]


def set_shares(service: ServiceConfig, shares: dict[str, float]) -> ServiceConfig:
    """Return the service with new shares for its versions."""
    versions = {
        version: config.model_copy(update={"share": round(shares.get(version, config.share), 9)})
        for version, config in service.versions.items()
    }
    return service.model_copy(update={"versions": versions})


def read_shares(service: ServiceConfig) -> dict[str, float]:
    """Return the configured share of each version."""
    return {version: config.share for version, config in service.versions.items()}


def has_full_share(shares: dict[str, float]) -> bool:
    """Return whether the shares sum to 1."""
    return abs(sum(shares.values()) - 1.0) <= SHARE_TOLERANCE


def revise_document(
    current: ConfigDocument, proposed: ConfigDocument, by: str, change_id: str = ""
) -> ConfigDocument:
    """Return ``proposed`` as the revision after ``current``, with every changed subject stamped."""
    revision = current.revision + 1
    touch = Touch(revision=revision, by=by)
    touched = dict(current.touched)
    for name in _list_changed(current.services, proposed.services):
        touched[name_service(name)] = touch
    for name in _list_changed(current.data_centres, proposed.data_centres):
        touched[name_data_centre(name)] = touch
    update = {
        "revision": revision,
        "touched": touched,
        "changed_by": by,
        "change_id": change_id,
    }
    return proposed.model_copy(update=update)


def _list_changed(before: dict, after: dict) -> list[str]:
    names = sorted(before.keys() | after.keys())
    return [name for name in names if before.get(name) != after.get(name)]


def replace_document(
    current: ConfigDocument,
    proposed: ConfigDocument,
    expected_revision: int,
    by: str,
    change_id: str = "",
) -> ConfigDocument:
    """Return the next revision with the services and data centres of ``proposed``.

    The moves of ``current`` stay. A repeated change id returns ``current`` as it is.

    Raises
    ------
    ConflictError
        ``expected_revision`` is not the current one.
    NoteError
        Shares do not sum to 1, or a service or data centre with an unfinished move differs.
    """
    if change_id and change_id == current.change_id:
        return current
    if expected_revision != current.revision:
        raise ConflictError(
            f"revision {expected_revision} was expected but {current.revision} by "
            f"{current.changed_by or 'nobody'} is in force; read the configuration again",
            current.revision,
        )
    reasons = _check_replacement(current, proposed)
    if reasons:
        raise NoteError(reasons)
    kept = proposed.model_copy(update={"moves": current.moves})
    return revise_document(current, kept, by, change_id)


def _check_replacement(current: ConfigDocument, proposed: ConfigDocument) -> list[str]:
    reasons = [
        f"services.{name}.versions: shares sum to {sum(read_shares(service).values()):g}; "
        "make them sum to 1"
        for name, service in proposed.services.items()
        if not has_full_share(read_shares(service))
    ]
    pairs = [
        (name_service(n), "services", n) for n in _list_changed(current.services, proposed.services)
    ]
    pairs += [
        (name_data_centre(n), "data_centres", n)
        for n in _list_changed(current.data_centres, proposed.data_centres)
    ]
    for subject, part, name in pairs:
        for move in list_unfinished(current, subject):
            reasons.append(f"{part}.{name}: move {move.id} is not finished; wait for it")
    if proposed.data_centres and not list_open(proposed.data_centres):
        reasons.append("data_centres: every data centre is out; keep at least one in")
    return reasons


def list_open(data_centres: dict[str, DataCentreConfig]) -> list[str]:
    """Return the data centres that take new work."""
    return [name for name, config in data_centres.items() if config.state is DataCentreState.IN]


def set_data_centre(
    document: ConfigDocument, data_centre: str, state: DataCentreState, operator: str, wall_ms: int
) -> ConfigDocument:
    """Return the next revision with a data centre in or out; unchanged if it is so already.

    Raises
    ------
    NoteError
        The data centre is unknown, or no other one would take new work.
    """
    current = document.data_centres.get(data_centre)
    if current is None:
        known = ", ".join(document.data_centres) or "none"
        raise NoteError([f"data centre {data_centre!r} is unknown; use one of: {known}"])
    if current.state is state:
        return document
    data_centres = document.data_centres | {
        data_centre: DataCentreConfig(state=state, since_ms=wall_ms)
    }
    if not list_open(data_centres):
        raise NoteError(
            [f"data centre {data_centre!r} is the last one in; bring another one in first"]
        )
    proposed = document.model_copy(update={"data_centres": data_centres})
    return revise_document(document, proposed, operator)
