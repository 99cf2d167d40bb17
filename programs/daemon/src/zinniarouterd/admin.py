"""HTTP interface for operators, on a separate port."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

from loguru import logger
from pydantic import ValidationError

from zinnia_model.configuration import ConfigDocument, DataCentreState
from zinnia_model.errors import (
    ConflictError,
    NoteError,
    PlatformUnavailableError,
    RefusedError,
)
from zinnia_model.ids import RequestId
from zinnia_releases.changes import replace_document, set_data_centre
from zinnia_releases.note import parse_note
from zinnia_releases.note_planning import NotePlan, plan_note
from zinniarouterd.history import TraceHistory
from zinniarouterd.web import WebRequest, WebResponse, make_json
from zinniarouterd.writer import ConfigWriter


@dataclass(frozen=True, slots=True)
class AdminSources:
    """Functions that the admin interface calls for what it reports."""

    vm: str
    status: Callable[[], dict]
    document: Callable[[], ConfigDocument | None]
    moves: Callable[[], list[dict]]
    wall_ms: Callable[[], int]
    outcome: Callable[[str], Awaitable[WebResponse]]


class AdminInterface:
    """Handles the HTTP requests of the operators' tool."""

    def __init__(self, sources: AdminSources, writer: ConfigWriter, history: TraceHistory) -> None:
        self._sources = sources
        self._writer = writer
        self._history = history

    async def handle(self, request: WebRequest) -> WebResponse:
        """Return the response to one request; known errors become responses with their reasons."""
        try:
            return await self._route(request)
        except NoteError as error:
            return make_json(400, {"reasons": error.reasons})
        except ValidationError as error:
            reasons = [
                f"{'.'.join(map(str, p['loc']))}: {p['msg']}; correct the value"
                for p in error.errors()
            ]
            return make_json(400, {"reasons": reasons})
        except (json.JSONDecodeError, UnicodeDecodeError, KeyError, TypeError, ValueError) as error:
            return make_json(400, {"reasons": [f"invalid request ({error}); see the docs"]})
        except ConflictError as error:
            return make_json(
                409,
                {
                    "message": str(error),
                    "revision": error.current_version,
                    "changed_by": self._find_writer(),
                },
            )
        except PlatformUnavailableError as error:
            return make_json(503, {"message": str(error), "maybe_applied": error.maybe_applied})

    def refuse(self, error: RefusedError) -> WebResponse:
        """Encode an error that was raised before or by the handler."""
        return make_json(500, {"message": str(error), "reason": error.reason.value})

    async def _route(self, request: WebRequest) -> WebResponse:
        path, method = request.path.removeprefix("/admin/"), request.method
        if (method, path) == ("GET", "status"):
            return make_json(200, self._sources.status())
        if (method, path) == ("GET", "config"):
            return self._show_config()
        if (method, path) == ("PUT", "config"):
            return await self._replace_config(json.loads(request.body))
        if (method, path) == ("POST", "notes"):
            return await self._apply_note(request)
        if (method, path) == ("GET", "moves"):
            return make_json(200, {"moves": self._sources.moves()})
        if method == "POST" and path.startswith("data-centres/"):
            name = unquote(path.removeprefix("data-centres/"))
            return await self._set_data_centre(name, json.loads(request.body))
        if method == "GET" and path.startswith("requests/"):
            return self._explain(unquote(path.removeprefix("requests/")))
        if method == "GET" and path.startswith("outcomes/"):
            return await self._sources.outcome(path.removeprefix("outcomes/"))
        return make_json(404, {"message": f"{method} {request.path} does not exist."})

    def _find_writer(self) -> str:
        document = self._sources.document()
        return document.changed_by if document else ""

    def _show_config(self) -> WebResponse:
        document = self._sources.document()
        if document is None:
            return make_json(404, {"message": "No configuration is known; apply one first."})
        return make_json(
            200, {"revision": document.revision, "document": document.model_dump(mode="json")}
        )

    async def _replace_config(self, value: dict) -> WebResponse:
        proposed = ConfigDocument.model_validate(value["document"])
        expected, change_id = int(value["expected_revision"]), str(value.get("change_id", ""))
        operator = str(value.get("operator", ""))
        document = await self._writer.change(
            lambda current: replace_document(current, proposed, expected, operator, change_id)
        )
        return make_json(200, {"revision": document.revision})

    async def _apply_note(self, request: WebRequest) -> WebResponse:
        note = parse_note(request.body.decode())
        plans: list[NotePlan] = []

        def edit(current: ConfigDocument) -> ConfigDocument:
            plans.append(plan_note(note, current, self._sources.wall_ms()))
            return plans[-1].document

        if parse_qs(request.query).get("dry_run") == ["1"]:
            current = self._sources.document() or ConfigDocument(revision=0)
            revision = current.revision
            edit(current)
        else:
            revision = (await self._writer.change(edit)).revision
            logger.bind(note=note.head.id, operator=note.head.operator).info("note_applied")
        return make_json(
            200, {"revision": revision, "changes": plans[-1].changes, "moves": plans[-1].moves}
        )

    async def _set_data_centre(self, name: str, value: dict) -> WebResponse:
        state, operator = DataCentreState(value["state"]), str(value.get("operator", ""))
        document = await self._writer.change(
            lambda current: set_data_centre(current, name, state, operator, self._sources.wall_ms())
        )
        logger.bind(data_centre=name, state=state.value, by=operator).info("data_centre_changed")
        return make_json(200, {"revision": document.revision})

    def _explain(self, request_id: str) -> WebResponse:
        trace = self._history.get(RequestId(request_id))
        if trace is None:
            return make_json(404, {"message": f"Request {request_id!r} is not known on this VM."})
        events = [
            {"at_s": event.at_s, "event": event.event, "detail": event.detail}
            for event in trace.events
        ]
        return make_json(200, {"request_id": request_id, "vm": self._sources.vm, "events": events})
