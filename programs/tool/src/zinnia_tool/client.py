"""Calls of the admin API of any VM."""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from types import TracebackType
from typing import Self, TypeVar
from urllib.parse import quote

import httpcore
from pydantic import BaseModel, ValidationError

from zinnia_tool.exits import ExitCode, ToolError
from zinnia_tool.replies import (
    ConfigReply,
    MovesReply,
    NoteReply,
    OutcomeReply,
    RevisionReply,
    StatusReply,
    TraceReply,
)

CONNECT_TIMEOUT_S = 1.0
# A VM may wait for a slow platform before it answers a write.
READ_TIMEOUT_S = 10.0

YAML_TYPE = "application/yaml"
JSON_TYPE = "application/json"

ReplyType = TypeVar("ReplyType", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response; ``data`` is the decoded JSON body."""

    status: int
    data: dict


class NoAnswerError(Exception):
    """A VM did not answer; the request may have been carried out."""


class AdminClient(ABC):
    """Calls the admin API of the first VM that answers.

    Every write may be sent to a second VM after a lost reply: notes carry their id, whole
    documents a change id, and the state of a data centre is the same when set twice.

    Parameters
    ----------
    servers : list[str]
        Admin addresses as ``ip:port``, in the order in which they are tried.

    Raises
    ------
    ToolError
        By every call, with the exit code for what went wrong.
    """

    def __init__(self, servers: list[str]):
        self.servers = servers

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:  # noqa: B027 - most fakes hold nothing to close
        """Close all connections."""

    @abstractmethod
    def exchange(
        self, server: str, method: str, path: str, content: bytes, content_type: str
    ) -> Response:
        """Send one request to one VM; raise ``NoAnswerError`` if it does not answer."""

    def read_status(self) -> StatusReply:
        """Return the status of a VM and what it knows of the others."""
        return _read(StatusReply, self._call("GET", "/admin/status"))

    def read_config(self) -> ConfigReply:
        """Return the configuration in force."""
        return _read(ConfigReply, self._call("GET", "/admin/config"))

    def replace_config(
        self, document: dict, expected_revision: int, change_id: str
    ) -> RevisionReply:
        """Replace the whole document; a conflict with the own lost write is a success."""
        body = {
            "document": document,
            "expected_revision": expected_revision,
            "change_id": change_id,
        }
        response = self._send("PUT", "/admin/config", json.dumps(body).encode(), JSON_TYPE)
        if response.status == 409:
            current = self.read_config()
            if current.document is not None and current.document.change_id == change_id:
                return RevisionReply(revision=current.revision)
        return _read(RevisionReply, _check(response))

    def apply_note(self, text: str, dry_run: bool) -> NoteReply:
        """Apply a release note, or only say what it would change."""
        path = f"/admin/notes?dry_run={int(dry_run)}"
        return _read(NoteReply, self._call("POST", path, text.encode(), YAML_TYPE))

    def list_moves(self) -> MovesReply:
        """Return the report of all moves."""
        return _read(MovesReply, self._call("GET", "/admin/moves"))

    def switch_data_centre(self, data_centre: str, state: str, operator: str) -> RevisionReply:
        """Take a data centre out or bring it in, at once."""
        body = json.dumps({"state": state, "operator": operator}).encode()
        path = f"/admin/data-centres/{_quote(data_centre)}"
        return _read(RevisionReply, self._call("POST", path, body))

    def find_outcome(self, service: str, key: str) -> OutcomeReply:
        """Return what is known about a command by its idempotency key."""
        path = f"/admin/outcomes/{_quote(service)}/{_quote(key)}"
        return _read(OutcomeReply, self._call("GET", path))

    def find_trace(self, request_id: str) -> TraceReply:
        """Ask every VM, because only the entry VM of a request keeps its trace."""
        path, silent = f"/admin/requests/{_quote(request_id)}", []
        for server in self.servers:
            try:
                response = self.exchange(server, "GET", path, b"", JSON_TYPE)
            except NoAnswerError as error:
                silent.append(f"{server}: {error}")
                continue
            if response.status == 200:
                return _read(TraceReply, response)
            if response.status != 404:
                silent.append(f"{server}: {_read_message(response)}")
        if len(silent) == len(self.servers):
            raise _make_unreachable(silent)
        asked = ", ".join(self.servers)
        reasons = [f"request {request_id!r} is unknown to {asked}; name more VMs with --server"]
        raise ToolError(ExitCode.NOT_FOUND, reasons + silent)

    def _call(
        self, method: str, path: str, content: bytes = b"", content_type: str = JSON_TYPE
    ) -> Response:
        return _check(self._send(method, path, content, content_type))

    def _send(self, method: str, path: str, content: bytes, content_type: str) -> Response:
        """Return the response of the first VM that is able to answer."""
        failures = []
        for server in self.servers:
            try:
                response = self.exchange(server, method, path, content, content_type)
            except NoAnswerError as error:
                failures.append(f"{server}: {error}")
                continue
            if response.status < 500:
                return response
            failures.append(f"{server}: {_read_message(response)}")
        raise _make_unreachable(failures)


def _make_unreachable(failures: list[str]) -> ToolError:
    remedy = "no VM could answer; check the addresses given by --server or ZINNIA_SERVERS"
    return ToolError(ExitCode.UNREACHABLE, [remedy, *failures])


def _quote(part: str) -> str:
    return quote(part, safe="")


def _check(response: Response) -> Response:
    """Return a successful response; raise with the exit code of any other."""
    codes = {404: ExitCode.NOT_FOUND, 409: ExitCode.CONFLICT}
    if response.status < 300:
        return response
    reasons = response.data.get("reasons")
    if not isinstance(reasons, list) or not reasons:
        reasons = [_read_message(response)]
    code = codes.get(response.status, ExitCode.REFUSED)
    raise ToolError(code, [str(reason) for reason in reasons])


def _read_message(response: Response) -> str:
    message = response.data.get("message") or f"status {response.status} without a message"
    changed_by = response.data.get("changed_by")
    return f"{message} (changed by {changed_by})" if changed_by else str(message)


def _read(model: type[ReplyType], response: Response) -> ReplyType:
    try:
        return model.model_validate(response.data)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        reason = f"reply not understood at {place}: {first['msg']}; use a tool of the VMs' version"
        raise ToolError(ExitCode.REFUSED, [reason]) from error


class HttpAdminClient(AdminClient):
    """Calls VMs by HTTP."""

    def __init__(self, servers: list[str]):
        super().__init__(servers)
        self._pool = httpcore.ConnectionPool(retries=0)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def exchange(
        self, server: str, method: str, path: str, content: bytes, content_type: str
    ) -> Response:
        """Send one request to one VM; raise ``NoAnswerError`` if it does not answer."""
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "read": READ_TIMEOUT_S,
            "write": READ_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
        }
        try:
            response = self._pool.request(
                method,
                f"http://{server}{path}",
                headers={"content-type": content_type},
                content=content,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise NoAnswerError(str(error) or type(error).__name__) from error
        return Response(response.status, _decode(response.content))


def _decode(content: bytes) -> dict:
    """Return the JSON object of a body, an empty one if it is something else."""
    try:
        data = json.loads(content)
    except ValueError:
        return {}
    return data if isinstance(data, dict) else {}
