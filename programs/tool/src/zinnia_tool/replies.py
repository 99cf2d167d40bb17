"""Replies of the admin API; keys that newer VMs add are ignored, except in an outcome."""

from pydantic import BaseModel, ConfigDict

from zinnia_model.configuration import ConfigDocument
from zinnia_releases.report import MoveReport


class Reply(BaseModel):
    """Base class of the replies with fixed keys."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class MemberRow(Reply):
    """A VM of the tier in the local view of the VM that answers.

    ``state`` is alive, dead or unknown; ``behind`` says that its configuration is out of date.
    """

    vm: str
    data_centre: str
    state: str
    revision: int
    behind: bool


class ReplicaRow(Reply):
    """A replica; ``limit`` and ``in_flight`` count sub-requests."""

    replica: str
    service: str
    data_centre: str
    version: str
    state: str
    limit: int
    in_flight: int
    queue: int
    owner: str | None = None


class StatusReply(Reply):
    """Reply to ``GET /admin/status``; ``reasons`` says why the VM is not ready."""

    vm: str
    data_centre: str
    incarnation: str
    ready: bool
    reasons: tuple[str, ...] = ()
    revision: int
    members: tuple[MemberRow, ...] = ()
    platform: str
    replicas: tuple[ReplicaRow, ...] = ()


class ConfigReply(Reply):
    """Reply to ``GET /admin/config``; ``document`` is None on a VM without a configuration."""

    revision: int
    document: ConfigDocument | None = None


class RevisionReply(Reply):
    """Reply to a write, with the revision that it created."""

    revision: int


class NoteReply(Reply):
    """Reply to ``POST /admin/notes``."""

    revision: int
    changes: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()


class MovesReply(Reply):
    """Reply to ``GET /admin/moves``."""

    moves: tuple[MoveReport, ...] = ()


class EventRow(Reply):
    """A decision about a request, taken ``at_s`` seconds after the request arrived."""

    at_s: float
    event: str
    detail: str = ""


class TraceReply(Reply):
    """Reply to ``GET /admin/requests/{id}``; ``vm`` is the VM that received the request."""

    request_id: str
    vm: str
    events: tuple[EventRow, ...] = ()


class OutcomeReply(BaseModel):
    """Reply to ``GET /admin/outcomes/{service}/{key}``; unknown keys are kept and printed."""

    model_config = ConfigDict(extra="allow", frozen=True)

    outcome: str | None = None
