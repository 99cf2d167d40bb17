"""Replies of the admin API as the tool reads them; unknown keys of newer VMs are ignored."""

from pydantic import BaseModel, ConfigDict

from zinnia_model.configuration import ConfigDocument
from zinnia_releases.report import MoveReport


class Reply(BaseModel):
    """Base of all replies."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class MemberRow(Reply):
    """A VM of the tier as another VM sees it; ``state`` is alive, dead or unknown."""

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
    """``GET /admin/status``."""

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
    """``GET /admin/config``; no document on a VM that knows none."""

    revision: int
    document: ConfigDocument | None = None


class RevisionReply(Reply):
    """The revision that a write produced."""

    revision: int


class NoteReply(Reply):
    """``POST /admin/notes``."""

    revision: int
    changes: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()


class MovesReply(Reply):
    """``GET /admin/moves``."""

    moves: tuple[MoveReport, ...] = ()


class EventRow(Reply):
    """One decision about a request, ``at_s`` seconds after its arrival."""

    at_s: float
    event: str
    detail: str = ""


class TraceReply(Reply):
    """``GET /admin/requests/{id}``."""

    request_id: str
    vm: str
    events: tuple[EventRow, ...] = ()


class OutcomeReply(BaseModel):
    """``GET /admin/outcomes/{service}/{key}``; keys beside the outcome are shown as they are."""

    model_config = ConfigDict(extra="allow", frozen=True)

    outcome: str | None = None
