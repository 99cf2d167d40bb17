"""Small helpers for JSON over hypercorn's trio worker."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

import trio
from hypercorn.config import Config
from hypercorn.trio import serve


@dataclass(frozen=True, slots=True)
class JsonRequest:
    """A request; ``path`` is split at slashes before unquoting, ``query`` holds raw values."""

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    body: dict


@dataclass(frozen=True, slots=True)
class JsonReply:
    """An answer; None in its place means to stay silent until the client closes."""

    status: int
    body: dict


Handler = Callable[[JsonRequest], Awaitable[JsonReply | None]]


async def serve_json(
    handler: Handler, port: int, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve a handler on loopback until cancelled; the status value is the bound port."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.2
    # Keep-alive longer than that of the clients, so that no request meets a closing connection.
    config.keep_alive_timeout = 3600.0
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(serve, _make_app(handler), config)
        task_status.started(int(binds[0].rsplit(":", 1)[1]))


def _make_app(handler: Handler) -> Callable[..., Awaitable[None]]:
    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await _serve_request(handler, scope, receive, send)

    return app


async def _serve_lifespan(receive: Callable, send: Callable) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _serve_request(handler: Handler, scope: dict, receive: Callable, send: Callable) -> None:
    content = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
        content += message.get("body", b"")
        if not message.get("more_body"):
            break
    reply = await handler(_read_request(scope, content))
    if reply is None:
        while (await receive())["type"] != "http.disconnect":
            pass
        return
    payload = json.dumps(reply.body).encode()
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(payload))]
    await send({"type": "http.response.start", "status": reply.status, "headers": headers})
    await send({"type": "http.response.body", "body": payload})


def _read_request(scope: dict, content: bytes) -> JsonRequest:
    path = scope["raw_path"].decode().strip("/").split("/")
    query = dict(parse_qsl(scope["query_string"].decode()))
    body = json.loads(content) if content else {}
    return JsonRequest(scope["method"], tuple(unquote(part) for part in path), query, body)
