"""Client of the admin API, which every VM serves."""

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
    """An HTTP response; ``data`` is the JSON object of the body, empty if there is none."""

    status: int
    data: dict


class NoAnswerError(Exception):
    """A VM did not answer; it may have carried out the request nevertheless."""


class AdminClient(ABC):
    """Client that sends each request to the first VM that answers without a server error.

    Writes are idempotent, so a write whose reply was lost may be sent to another VM: a note
    carries its id, a complete document a change id, and setting the state of a data centre twice
    has the same effect as once.

    Parameters
    ----------
    servers : list[str]
        Admin addresses as ``ip:port``, in the order in which they are tried.

    Raises
    ------
    ToolError
        By every method that sends a request, with the exit code for the failure.
    """

    def __init__(self, servers: list[str]):
        self.servers = servers

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:  # noqa: B027 - most fakes hold nothing to close
        """Close all connections."""

    @abstractmethod
    def exchange(
        self, server: str, method: str, path: str, content: bytes, content_type: str
    ) -> Response:
        """Send a request to one VM, without retries.

        Raises
        ------
        NoAnswerError
            The VM cannot be reached, or its response is late or broken.
        """

    def read_status(self) -> StatusReply:
        """Return the status of a VM and its view of the members and replicas."""
        return _parse_reply(StatusReply, self._send_checked("GET", "/admin/status"))

    def read_config(self) -> ConfigReply:
        """Return the current configuration."""
        return _parse_reply(ConfigReply, self._send_checked("GET", "/admin/config"))

    def replace_config(
        self, document: dict, expected_revision: int, change_id: str
    ) -> RevisionReply:
        """Replace the complete configuration if ``expected_revision`` is still the current one.

        A conflict is a success if the current document carries ``change_id``: an earlier attempt
        of this call took effect and its reply was lost.
        """
        body = {
            "document": document,
            "expected_revision": expected_revision,
            "change_id": change_id,
        }
        response = self._send_with_failover(
            "PUT", "/admin/config", json.dumps(body).encode(), JSON_TYPE
        )
        if response.status == 409:
            current = self.read_config()
            if current.document is not None and current.document.change_id == change_id:
                return RevisionReply(revision=current.revision)
        return _parse_reply(RevisionReply, _check_status(response))

    def apply_note(self, text: str, dry_run: bool) -> NoteReply:
        """Apply a release note; with ``dry_run`` only return what it would change."""
        path = f"/admin/notes?dry_run={int(dry_run)}"
        return _parse_reply(NoteReply, self._send_checked("POST", path, text.encode(), YAML_TYPE))

    def list_moves(self) -> MovesReply:
        """Return the reports of all moves."""
        return _parse_reply(MovesReply, self._send_checked("GET", "/admin/moves"))

    def set_data_centre_state(self, data_centre: str, state: str, operator: str) -> RevisionReply:
        """Take a data centre out or bring it back in at once, not as a scheduled move."""
        body = json.dumps({"state": state, "operator": operator}).encode()
        path = f"/admin/data-centres/{_quote_segment(data_centre)}"
        return _parse_reply(RevisionReply, self._send_checked("POST", path, body))

    def find_outcome(self, service: str, key: str) -> OutcomeReply:
        """Return the recorded outcome of the command with this idempotency key."""
        path = f"/admin/outcomes/{_quote_segment(service)}/{_quote_segment(key)}"
        return _parse_reply(OutcomeReply, self._send_checked("GET", path))

    def find_trace(self, request_id: str) -> TraceReply:
        """Return the trace of a request.

        The VMs are asked one by one, because only the VM that received the request keeps its trace.
        """
        path, failures = f"/admin/requests/{_quote_segment(request_id)}", []
        for server in self.servers:
            try:
                response = self.exchange(server, "GET", path, b"", JSON_TYPE)
            except NoAnswerError as error:
                failures.append(f"{server}: {error}")
                continue
            if response.status == 200:
                return _parse_reply(TraceReply, response)
            if response.status != 404:
                failures.append(f"{server}: {_read_message(response)}")
        if len(failures) == len(self.servers):
            raise _make_unreachable_error(failures)
        asked = ", ".join(self.servers)
        reasons = [f"request {request_id!r} is unknown to {asked}; give more VMs with --server"]
        raise ToolError(ExitCode.NOT_FOUND, reasons + failures)

    def _send_checked(
        self, method: str, path: str, content: bytes = b"", content_type: str = JSON_TYPE
    ) -> Response:
        """Return a successful response; raise ``ToolError`` for any other."""
        return _check_status(self._send_with_failover(method, path, content, content_type))

    def _send_with_failover(
        self, method: str, path: str, content: bytes, content_type: str
    ) -> Response:
        """Return the first response with a status below 500, trying the VMs in order."""
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
        raise _make_unreachable_error(failures)


def _make_unreachable_error(failures: list[str]) -> ToolError:
    reason = "no VM could answer; check the addresses given by --server or ZINNIA_SERVERS"
    return ToolError(ExitCode.UNREACHABLE, [reason, *failures])


def _quote_segment(segment: str) -> str:
    return quote(segment, safe="")


def _check_status(response: Response) -> Response:
    """Return the response if it is successful, else raise an error with the exit code for it."""
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


def _parse_reply(model: type[ReplyType], response: Response) -> ReplyType:
    try:
        return model.model_validate(response.data)
    except ValidationError as error:
        detail = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in detail["loc"])
        reason = f"reply is invalid at {field}: {detail['msg']}; use the zinnia of the VMs' version"
        raise ToolError(ExitCode.REFUSED, [reason]) from error


class HttpAdminClient(AdminClient):
    """Admin API client over HTTP with a connection pool.

    The pool does not retry; a failed request goes to the next VM.
    """

    def __init__(self, servers: list[str]):
        super().__init__(servers)
        self._pool = httpcore.ConnectionPool(retries=0)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def exchange(
        self, server: str, method: str, path: str, content: bytes, content_type: str
    ) -> Response:
        """Send a request to one VM, without retries.

        Raises
        ------
        NoAnswerError
            The VM cannot be reached, or its response is late or broken.
        """
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
    """Return the JSON object in a body, or an empty one if the body is anything else."""
    try:
        data = json.loads(content)
    except ValueError:
        return {}
    return data if isinstance(data, dict) else {}
