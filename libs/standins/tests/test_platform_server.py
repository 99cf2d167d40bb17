import json
import unittest
from collections.abc import Awaitable, Callable

import httpcore
import trio

from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_platform.http import HttpObjectStore
from zinnia_platform.limiter import CallLimiter
from zinnia_standins.platform_server import PlatformServer


def run_with_server(check: Callable[[PlatformServer, HttpObjectStore, int], Awaitable]) -> None:
    async def main() -> None:
        server = PlatformServer()
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, 0)
            url = f"http://127.0.0.1:{port}"
            async with HttpObjectStore(url, CallLimiter(1), timeout_s=0.2) as store:
                with trio.fail_after(10):
                    await check(server, store, port)
            nursery.cancel_scope.cancel()

    trio.run(main)


class PlatformServerTest(unittest.TestCase):
    def test_objects_survive_the_wire(self):
        async def check(server, store, port):
            version = await store.put("config", "a/b c", {"x": 1}, 0)
            stored = await store.get("config", "a/b c")
            self.assertEqual((version, {"x": 1}), (stored.version, stored.value))
            self.assertIsNone(await store.get("config", "missing"))
            with self.assertRaises(ConflictError) as caught:
                await store.put("config", "a/b c", {}, 0)
            self.assertEqual(version, caught.exception.current_version)
            await store.delete("config", "a/b c", version)
            self.assertEqual([], (await store.list("config"))[0])

        run_with_server(check)

    def test_watch_tells_of_a_change_and_of_a_removal(self):
        async def check(server, store, port):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.put, "config", "a", {}, 0)
                items, cursor = await store.watch("config", 0, 5.0)
            self.assertEqual(["a"], [item.name for item in items])
            await store.delete("config", "a", None)
            items, cursor = await store.watch("config", cursor, 5.0)
            self.assertTrue(items[0].deleted)
            self.assertEqual([], (await store.watch("config", cursor, 0.01))[0])
            self.assertEqual({"writes": 2, "watches": 3}, dict(server.core.counts))

        run_with_server(check)

    def test_lost_reply_is_told_from_a_refusal(self):
        async def check(server, store, port):
            for switches, maybe_applied in (
                ({"lose_replies": 1}, True),
                ({"silent": True}, True),
                ({"silent": False, "outage": True}, False),
                ({"outage": False, "over_budget": True}, False),
            ):
                server.core.set_faults(switches)
                with self.assertRaises(PlatformUnavailableError) as caught:
                    await store.put("config", "a", {"x": 1}, None)
                self.assertEqual(maybe_applied, caught.exception.maybe_applied, switches)
            server.core.set_faults({"over_budget": False})
            self.assertEqual({"x": 1}, (await store.get("config", "a")).value)

        run_with_server(check)

    def test_refused_connection_means_not_applied(self):
        async def check(server, store, port):
            async with HttpObjectStore("http://127.0.0.1:1", CallLimiter(1), 0.2) as other:
                with self.assertRaises(PlatformUnavailableError) as caught:
                    await other.put("config", "a", {}, 0)
            self.assertFalse(caught.exception.maybe_applied)

        run_with_server(check)

    def test_control_calls(self):
        async def check(server, store, port):
            url = f"http://127.0.0.1:{port}"
            row = {"id": "vm-1", "address": "127.0.0.1:1", "data_centre": "a", "state": "live"}
            async with httpcore.AsyncConnectionPool() as pool:
                body = json.dumps({"vms": [row]}).encode()
                await pool.request("POST", f"{url}/vms", content=body)
                refused = await pool.request("POST", f"{url}/faults", content=b'{"outag": true}')
                self.assertEqual(400, refused.status)
                counts = await pool.request("GET", f"{url}/counts")
                self.assertEqual(b"{}", counts.content)
            self.assertEqual("vm-1", (await store.list_vms())[0].id)

        run_with_server(check)


if __name__ == "__main__":
    unittest.main()
