"""HTTP client of the platform's object API."""

# Annotations must not be evaluated, since inside the class ``list`` is the method.
from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Self
from urllib.parse import quote

import httpcore
import trio
from loguru import logger

from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_model.members import VmState
from zinnia_platform.limiter import CallKind, CallLimiter
from zinnia_platform.store import ObjectStore, StoredObject

DEFAULT_CALL_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 32
IDLE_CONNECTION_TIMEOUT_S = 30.0
# Statuses with which the platform rejects a call before it reads the object, so that a write has
# no effect.
NO_EFFECT_STATUSES = frozenset({429, 503})


@dataclass(slots=True)
class _Reply:
    status: int
    body: dict


class _SendTracker:
    """Records that httpcore has started to send a request, after which a write may take effect."""

    def __init__(self) -> None:
        self.sent = False

    async def trace(self, event: str, info: dict) -> None:
        if event == "http11.send_request_headers.started":
            self.sent = True


class HttpObjectStore(ObjectStore):
    """Object store over HTTP/1.1 with JSON; an asynchronous context manager.

    Parameters
    ----------
    base_url : str
        URL of the platform, such as ``http://127.0.0.1:7000``.
    limiter : CallLimiter
        Rejects calls beyond this VM's share of the fleet's call budget.
    timeout_s : float
        Timeout of one call in seconds; that of a watch is longer by the watch's own timeout.
    """

    def __init__(
        self, base_url: str, limiter: CallLimiter, timeout_s: float = DEFAULT_CALL_TIMEOUT_S
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._limiter = limiter
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_CONNECTION_TIMEOUT_S
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        with trio.CancelScope(shield=True):
            await self._pool.aclose()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        reply = await self._call(CallKind.READ, "GET", _object_path(kind, name))
        return None if reply.status == 404 else _parse_object(reply.body)

    async def list(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the cursor from which to watch for later changes."""
        reply = await self._call(CallKind.READ, "GET", f"/v1/objects/{quote(kind, safe='')}")
        return _parse_items(reply.body)

    async def put(self, kind: str, name: str, value: dict, if_version: int | None) -> int:
        """Write the object if it has the expected version; return its new version."""
        path = _object_path(kind, name) + _make_version_query(if_version)
        reply = await self._call(CallKind.WRITE, "PUT", path, {"value": value})
        _raise_on_conflict(reply, kind, name)
        return reply.body["version"]

    async def delete(self, kind: str, name: str, if_version: int | None) -> None:
        """Remove the object if it has the expected version."""
        path = _object_path(kind, name) + _make_version_query(if_version)
        _raise_on_conflict(await self._call(CallKind.WRITE, "DELETE", path), kind, name)

    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> tuple[list[StoredObject], int]:
        """Wait for changes after the cursor ``since``; return them and the next cursor."""
        path = f"/v1/watch/{quote(kind, safe='')}?since={since}&timeout={timeout_s:g}"
        reply = await self._call(CallKind.WATCH, "GET", path, watch_timeout_s=timeout_s)
        return _parse_items(reply.body)

    async def list_vms(self) -> list[VmState]:
        """Return the VMs that the platform lists, a list that may be out of date."""
        reply = await self._call(CallKind.READ, "GET", "/v1/vms")
        return [VmState.model_validate(row) for row in reply.body["vms"]]

    async def _call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        document: dict | None = None,
        watch_timeout_s: float = 0.0,
    ) -> _Reply:
        self._limiter.acquire(kind, trio.current_time())
        tracker = _SendTracker()
        try:
            with trio.fail_after(self._timeout_s + watch_timeout_s):
                reply = await self._send_request(method, path, document, tracker)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise self._make_error(kind, method, path, repr(error), tracker.sent) from error
        except (trio.TooSlowError, ValueError, OSError) as error:
            raise self._make_error(kind, method, path, repr(error), tracker.sent) from error
        if reply.status in (200, 404, 409):
            return reply
        has_no_effect = reply.status < 500 or reply.status in NO_EFFECT_STATUSES
        raise self._make_error(kind, method, path, f"status {reply.status}", not has_no_effect)

    async def _send_request(
        self, method: str, path: str, document: dict | None, tracker: _SendTracker
    ) -> _Reply:
        content = b"" if document is None else json.dumps(document).encode()
        response = await self._pool.request(
            method,
            self._base_url + path,
            headers={"content-type": "application/json"},
            content=content,
            extensions={"trace": tracker.trace},
        )
        return _Reply(response.status, json.loads(response.content or b"{}"))

    def _make_error(
        self, kind: CallKind, method: str, path: str, cause: str, sent: bool
    ) -> PlatformUnavailableError:
        maybe_applied = sent and kind is CallKind.WRITE
        remedy = "read the object back" if maybe_applied else "retry later"
        logger.debug("platform call {} {} failed: {}", method, path, cause)
        return PlatformUnavailableError(
            f"platform at {self._base_url} did not serve {method} {path} ({cause}); {remedy}",
            maybe_applied,
        )


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _make_version_query(if_version: int | None) -> str:
    return "" if if_version is None else f"?if_version={if_version}"


def _parse_object(row: dict) -> StoredObject:
    deleted = row.get("deleted", False)
    return StoredObject(row["kind"], row["name"], row["version"], row["value"], deleted)


def _parse_items(body: dict) -> tuple[list[StoredObject], int]:
    return [_parse_object(row) for row in body["items"]], body["cursor"]


def _raise_on_conflict(reply: _Reply, kind: str, name: str) -> None:
    if reply.status != 409:
        return
    version = reply.body.get("version", 0)
    raise ConflictError(
        f"object {kind}/{name} is at version {version}; read it and apply the change again",
        version,
    )
