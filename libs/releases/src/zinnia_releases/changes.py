"""Revisions of the configuration document, and the typed form of the change that a move makes."""

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

SHARE_SUM_TOLERANCE = 1e-6
UNFINISHED_STATES = frozenset({MoveState.PENDING, MoveState.RAMPING})


class MoveChange(Model):
    """Change that a move makes, stored in ``MoveRecord.change``.

    The move starts no earlier than ``not_before_ms`` (wall clock time in ms), and only after the
    move with the id ``after`` is done. ``shares_before`` are the shares of the service when a
    version move began.
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
        """Return the JSON form that ``MoveRecord.change`` holds, without default values."""
        return self.model_dump(mode="json", exclude_defaults=True)


def read_change(move: MoveRecord) -> MoveChange:
    """Return the typed change of a move."""
    return MoveChange.model_validate(move.change)


def is_version_move(move: MoveRecord) -> bool:
    """Return whether a move ramps traffic from one version to another."""
    return move.change.get("action") == "ramp"


def make_service_key(service: str) -> str:
    """Return the key of a service in ``ConfigDocument.touched``."""
    return f"service/{service}"


def make_data_centre_key(data_centre: str) -> str:
    """Return the key of a data centre in ``ConfigDocument.touched``."""
    return f"data_centre/{data_centre}"


def make_subject_key(move: MoveRecord) -> str:
    """Return the key in ``ConfigDocument.touched`` of the subject of a move."""
    if move.change.get("action") == "data_centre":
        return make_data_centre_key(move.subject)
    return make_service_key(move.subject)


def list_unfinished_moves(document: ConfigDocument, subject: str) -> list[MoveRecord]:
    """Return the unfinished moves of a subject, given as its key in ``ConfigDocument.touched``."""
    return [
        move
        for move in document.moves.values()
        if move.state in UNFINISHED_STATES and make_subject_key(move) == subject
    ]


def set_shares(service: ServiceConfig, shares: dict[str, float]) -> ServiceConfig:
    """Return the service with new shares; versions that are not in ``shares`` keep theirs."""
    versions = {
        version: config.model_copy(update={"share": round(shares.get(version, config.share), 9)})
        for version, config in service.versions.items()
    }
    return service.model_copy(update={"versions": versions})


def read_shares(service: ServiceConfig) -> dict[str, float]:
    """Return the configured share of each version."""
    return {version: config.share for version, config in service.versions.items()}


def is_share_sum_one(shares: dict[str, float]) -> bool:
    """Return whether the shares sum to 1, within the rounding error."""
    return abs(sum(shares.values()) - 1.0) <= SHARE_SUM_TOLERANCE


def revise_document(
    current: ConfigDocument, proposed: ConfigDocument, by: str, change_id: str = ""
) -> ConfigDocument:
    """Return ``proposed`` as the revision after ``current``.

    ``touched`` records the revision and its author for every service and data centre that differs.
    """
    revision = current.revision + 1
    touch = Touch(revision=revision, by=by)
    touched = dict(current.touched)
    for name in _list_changed_names(current.services, proposed.services):
        touched[make_service_key(name)] = touch
    for name in _list_changed_names(current.data_centres, proposed.data_centres):
        touched[make_data_centre_key(name)] = touch
    update = {
        "revision": revision,
        "touched": touched,
        "changed_by": by,
        "change_id": change_id,
    }
    return proposed.model_copy(update=update)


def _list_changed_names(before: dict, after: dict) -> list[str]:
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

    The moves of ``current`` are kept. If ``current`` has the change id already, this call is a
    retry and ``current`` is returned unchanged.

    Raises
    ------
    ConflictError
        ``expected_revision`` is not the current revision.
    NoteError
        Shares do not sum to 1, a changed service or data centre has an unfinished move, or every
        data centre is out.
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
    replacement = proposed.model_copy(update={"moves": current.moves})
    return revise_document(current, replacement, by, change_id)


def _check_replacement(current: ConfigDocument, proposed: ConfigDocument) -> list[str]:
    reasons = [
        f"services.{name}.versions: shares sum to {sum(read_shares(service).values()):g}; "
        "make them sum to 1"
        for name, service in proposed.services.items()
        if not is_share_sum_one(read_shares(service))
    ]
    pairs = [
        (make_service_key(n), "services", n)
        for n in _list_changed_names(current.services, proposed.services)
    ]
    pairs += [
        (make_data_centre_key(n), "data_centres", n)
        for n in _list_changed_names(current.data_centres, proposed.data_centres)
    ]
    for subject, section, name in pairs:
        for move in list_unfinished_moves(current, subject):
            reasons.append(f"{section}.{name}: move {move.id} is not finished; wait for it")
    if proposed.data_centres and not list_active_data_centres(proposed.data_centres):
        reasons.append("data_centres: every data centre is out; keep at least one in")
    return reasons


def list_active_data_centres(data_centres: dict[str, DataCentreConfig]) -> list[str]:
    """Return the names of the data centres that are in, so that they receive new requests."""
    return [name for name, config in data_centres.items() if config.state is DataCentreState.IN]


def set_data_centre(
    document: ConfigDocument, data_centre: str, state: DataCentreState, operator: str, wall_ms: int
) -> ConfigDocument:
    """Return the next revision with a data centre in or out.

    The document is returned unchanged if the data centre has that state already.

    Raises
    ------
    NoteError
        The data centre is unknown, or no data centre would be in.
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
    if not list_active_data_centres(data_centres):
        raise NoteError(
            [f"data centre {data_centre!r} is the last one in; bring another one in first"]
        )
    proposed = document.model_copy(update={"data_centres": data_centres})
    return revise_document(document, proposed, operator)
