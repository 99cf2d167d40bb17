"""The platform stand-in over HTTP/1.1 and JSON, with ``/faults``, ``/vms`` and ``/counts``."""

import math

import trio

from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_model.members import VmState
from zinnia_platform.store import StoredObject
from zinnia_standins.asgi import JsonReply, JsonRequest, serve_json
from zinnia_standins.platform_core import PlatformCore
from zinnia_standins.platform_store import BudgetRefusal, FakeObjectStore


class PlatformServer:
    """Serves a `PlatformCore`; control calls are neither counted nor affected by faults."""

    def __init__(self, core: PlatformCore | None = None) -> None:
        self.core = core or PlatformCore()
        self._store = FakeObjectStore(self.core, silence_s=math.inf)

    async def serve(
        self, port: int, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on loopback until cancelled; the status value is the bound port."""
        await serve_json(self.handle, port, task_status)

    async def handle(self, request: JsonRequest) -> JsonReply | None:
        """Answer one request; None means that the reply is lost."""
        try:
            match (request.method, *request.path):
                case ("POST", "faults"):
                    self.core.set_faults(request.body)
                    return JsonReply(200, self.core.faults.model_dump())
                case ("POST", "vms"):
                    vms = [VmState.model_validate(row) for row in request.body["vms"]]
                    self.core.set_vms(vms, trio.current_time())
                    return JsonReply(200, {})
                case ("GET", "counts"):
                    return JsonReply(200, dict(self.core.counts))
            return await self._handle_object(request)
        except ConflictError as error:
            return JsonReply(409, {"version": error.current_version})
        except BudgetRefusal as error:
            return JsonReply(429, {"message": str(error)})
        except PlatformUnavailableError as error:
            return None if error.maybe_applied else JsonReply(503, {"message": str(error)})
        except (ValueError, KeyError) as error:
            return JsonReply(400, {"message": str(error)})

    async def _handle_object(self, request: JsonRequest) -> JsonReply:
        condition = request.query.get("if_version")
        if_version = None if condition is None else int(condition)
        match (request.method, *request.path):
            case ("GET", "v1", "objects", kind, name):
                stored = await self._store.get(kind, name)
                return JsonReply(404, {}) if stored is None else JsonReply(200, _write_row(stored))
            case ("PUT", "v1", "objects", kind, name):
                value = request.body["value"]
                return JsonReply(
                    200, {"version": await self._store.put(kind, name, value, if_version)}
                )
            case ("DELETE", "v1", "objects", kind, name):
                await self._store.delete(kind, name, if_version)
                return JsonReply(200, {})
            case ("GET", "v1", "objects", kind):
                return _write_items(*await self._store.list(kind))
            case ("GET", "v1", "watch", kind):
                since, timeout_s = int(request.query["since"]), float(request.query["timeout"])
                return _write_items(*await self._store.watch(kind, since, timeout_s))
            case ("GET", "v1", "vms"):
                vms = await self._store.list_vms()
                return JsonReply(200, {"vms": [vm.model_dump() for vm in vms]})
        return JsonReply(404, {"message": "no such path"})


def _write_row(stored: StoredObject) -> dict:
    row = {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "value": stored.value,
    }
    return row | {"deleted": True} if stored.deleted else row


def _write_items(items: list[StoredObject], cursor: int) -> JsonReply:
    return JsonReply(200, {"items": [_write_row(stored) for stored in items], "cursor": cursor})
