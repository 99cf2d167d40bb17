"""Helpers for ASGI applications with JSON bodies."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from loguru import logger

from zinnia_model.errors import RefusedError
from zinnia_model.reasons import Outcome, Reason

Handler = Callable[["WebRequest"], Awaitable["WebResponse"]]
JSON_TYPE = b"application/json"


@dataclass(frozen=True, slots=True)
class WebRequest:
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: str
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(frozen=True, slots=True)
class WebResponse:
    """One HTTP response."""

    status: int
    body: bytes
    content_type: bytes = JSON_TYPE


def make_json(status: int, value: Any) -> WebResponse:
    """Return a JSON response."""
    return WebResponse(status, json.dumps(value, separators=(",", ":")).encode())


async def read_body(receive, limit: int) -> bytes:
    """Read a request body of at most ``limit`` bytes.

    Raises
    ------
    RefusedError
        If the body is longer; the rest is not read.
    """
    parts, size = [], 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise RefusedError(Reason.CANCELLED, Outcome.NOT_RUN, "The caller closed the request.")
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            raise RefusedError(
                Reason.BODY_TOO_LARGE,
                Outcome.NOT_RUN,
                f"The body is larger than {limit} bytes; send a smaller one.",
            )
        parts.append(chunk)
        if not message.get("more_body"):
            return b"".join(parts)


async def send_response(send, response: WebResponse) -> None:
    """Send a response with its headers and complete body."""
    headers = [
        (b"content-type", response.content_type),
        (b"content-length", str(len(response.body)).encode()),
    ]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})


async def serve_lifespan(receive, send) -> None:
    """Handle ASGI lifespan events until shutdown.

    Hypercorn fails to start if this returns early.
    """
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def make_application(handle: Handler, body_limit: int, refuse: Callable):
    """Return an ASGI application.

    Parameters
    ----------
    handle : Handler
        Called with each request; returns the response.
    body_limit : int
        Longest accepted body, in bytes.
    refuse : callable
        Encodes a ``RefusedError`` that was raised before or by the handler as a ``WebResponse``.
    """

    async def answer(scope, receive) -> WebResponse:
        try:
            body = await read_body(receive, body_limit)
            request = WebRequest(
                scope["method"],
                scope["path"],
                scope["query_string"].decode("latin-1"),
                dict(scope["headers"]),
                body,
            )
            return await handle(request)
        except RefusedError as error:
            return refuse(error)
        except trio.Cancelled:
            raise
        except Exception as error:
            logger.bind(path=scope["path"]).exception("request_failed")
            # The failed handler may already have sent the request to a backend server.
            return refuse(
                RefusedError(
                    Reason.INTERNAL,
                    Outcome.UNKNOWN,
                    f"Internal error ({type(error).__name__}); report it with the request id.",
                )
            )

    async def application(scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        await send_response(send, await answer(scope, receive))

    return application
