"""The configuration document: services, versions, data centres and moves."""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

MAX_DOCUMENT_BYTES = 1_000_000


class Model(BaseModel):
    """Base class of all parts of the document; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RouteConfig(Model):
    """One route of a service."""

    repeatable: bool = True


class VersionConfig(Model):
    """A backend server version and its share of the service's traffic, 0 to 1."""

    share: float = Field(ge=0, le=1)


class ServiceConfig(Model):
    """A service whose index is split over shards.

    ``slots`` and ``connections`` are per replica; ``connect_ms`` is the time to open a connection
    in milliseconds; ``cold_concurrency`` is the number of sub-requests that a replica in cold start
    accepts at a time.
    """

    routes: dict[str, RouteConfig]
    versions: dict[str, VersionConfig]
    slots: int = Field(ge=1, le=1000)
    connections: int = Field(ge=1, le=10_000)
    connect_ms: float = Field(default=6.0, ge=0, le=1000)
    cold_concurrency: int = Field(default=1, ge=1, le=100)
    max_subrequest_ms: int = Field(default=1000, ge=1, le=60_000)


class DataCentreState(Enum):
    """Whether a data centre receives new requests."""

    IN = "in"
    OUT = "out"


class DataCentreConfig(Model):
    """A data centre; ``since_ms`` is the wall clock time of its last change, in milliseconds."""

    state: DataCentreState = DataCentreState.IN
    since_ms: int = 0


class MoveKind(Enum):
    """The kind of object that a move changes."""

    VERSION = "version"
    DATA_CENTRE = "data_centre"
    SERVICE = "service"
    SHARE = "share"


class MoveState(Enum):
    """Progress of a move."""

    PENDING = "pending"
    RAMPING = "ramping"
    DONE = "done"
    TAKEN_BACK = "taken_back"


class MoveRecord(Model):
    """The scheduled change of one item of a release note, and its progress.

    ``due_ms`` is the due time in milliseconds since the epoch (UTC); ``due`` and ``time_zone`` are
    the time as the operator wrote it. ``subject`` names the service or data centre.
    """

    id: str
    note: str
    kind: MoveKind
    subject: str
    due_ms: int
    due: str
    time_zone: str
    state: MoveState = MoveState.PENDING
    from_version: str = ""
    to_version: str = ""
    target_share: float = 1.0
    step: int = -1
    step_since_ms: int = 0
    step_seconds: float = 10.0
    cause: str = ""
    operator: str = ""
    settled_ms: int = 0
    change: dict = Field(default_factory=dict)


class Touch(Model):
    """The revision that last changed a service or a data centre, and the author of it."""

    revision: int = Field(ge=0)
    by: str = ""


class ConfigDocument(Model):
    """The complete configuration, stored as one object in the platform.

    ``change_id`` identifies the write that produced this revision, so that a writer whose reply was
    lost can tell its own write from another's. ``touched`` maps ``service/<id>`` and
    ``data_centre/<id>`` to the last change of each, so that a release note that was written against
    an older revision conflicts only with changes of the objects that it names.
    """

    revision: int = Field(ge=0)
    change_id: str = ""
    changed_by: str = ""
    services: dict[str, ServiceConfig] = Field(default_factory=dict)
    data_centres: dict[str, DataCentreConfig] = Field(default_factory=dict)
    moves: dict[str, MoveRecord] = Field(default_factory=dict)
    touched: dict[str, Touch] = Field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the document as JSON bytes."""
        return self.model_dump_json().encode()
