import json
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import httpcore
import trio

from zinnia_standins.asgi import JsonRequest
from zinnia_standins.backend_server import BackendGroup
from zinnia_standins.deployment import ColdSettings, Deployment, ReplicaSpec


def run_with_replica(check, **fields):
    settings = {"median_ms": 1.0, "connect_ms": 0.0, "cold": ColdSettings(at_start=False)} | fields
    spec = ReplicaSpec(id="r-1", service="s", shards=("a",), restart_ms=20, **settings)

    async def main() -> None:
        group = BackendGroup(Deployment(replicas=[spec]))
        async with trio.open_nursery() as nursery:
            await nursery.start(group.serve, 0)
            replica = group.replicas["r-1"]
            async with httpcore.AsyncConnectionPool() as pool:
                with trio.fail_after(10):
                    await check(Client(pool, replica.port), replica, group)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def wait_until(condition, bound_s=5.0):
    end = trio.current_time() + bound_s
    while trio.current_time() < end and not condition():  # noqa: ASYNC110 - state of the model
        await trio.sleep(0.005)
    assert condition()


class Client:
    def __init__(self, pool, port):
        self.pool, self.url = pool, f"http://127.0.0.1:{port}"

    async def run(self, body=b"1", **headers):
        fields = {"x-shard": "a", "x-snapshot": "s1", "x-attempt-id": "t-1"} | headers
        response = await self.pool.request(
            "POST", self.url + "/v1/run", headers=fields, content=body
        )
        names = {name.decode().lower(): value.decode() for name, value in response.headers}
        return response.status, names, json.loads(response.content)

    async def run_when_up(self):
        for _ in range(1000):
            try:
                return (await self.run())[1]
            except httpcore.ConnectError:
                await trio.sleep(0.005)
        raise AssertionError("the replica did not start again")

    async def get(self, path):
        return json.loads((await self.pool.request("GET", self.url + path)).content)


class BackendServerTest(unittest.TestCase):
    def test_answer_carries_the_headers_of_the_protocol(self):
        async def check(client, replica, group):
            status, headers, body = await client.run(b'{"x": 1}')
            self.assertEqual((200, {"shard": "a", "echo": {"x": 1}, "run": 1}), (status, body))
            self.assertEqual(("t-1", "v1"), (headers["x-attempt-id"], headers["x-server-version"]))
            self.assertEqual(replica.core.start_id, (await client.get("/healthz"))["start_id"])
            self.assertEqual({"in_flight": 0, "queued": 0}, await client.get("/load"))
            status, headers, _ = await client.run(**{"x-snapshot": "old"})
            self.assertEqual((409, "snapshot_gone"), (status, headers["x-refusal"]))

        run_with_replica(check)

    def test_crash_breaks_connections_and_starts_again_cold(self):
        async def check(client, replica, group):
            before = replica.core.start_id
            replica.set_faults({"crash_marker": "poison"})
            with self.assertRaises((httpcore.NetworkError, httpcore.ProtocolError)):
                await client.run(b"poison")
            await wait_until(lambda: not replica.core.crashed)
            headers = await client.run_when_up()
            self.assertNotEqual(before, headers["x-start-id"])
            self.assertEqual("cold", headers["x-temperature"])

        run_with_replica(check)

    def test_silenced_connection_swallows_while_a_new_one_works(self):
        async def check(client, replica, group):
            await client.run()
            replica.set_faults({"silence_connections": True})
            with trio.move_on_after(0.1) as scope:
                await client.run()
            self.assertTrue(scope.cancelled_caught)
            self.assertEqual(200, (await client.run())[0])

        run_with_replica(check)

    def test_close_by_the_client_cancels_the_run(self):
        async def check(client, replica, group):
            with trio.move_on_after(0.1):
                await client.run()
            await wait_until(lambda: replica.core.counts.cancelled == 1)
            self.assertEqual(0, replica.describe_counts()["in_progress"])

        run_with_replica(check, median_ms=5000.0)

    def test_connection_beyond_the_limit_is_closed(self):
        async def check(client, replica, group):
            await client.run()
            stream = await trio.open_tcp_stream("127.0.0.1", replica.port)
            self.assertEqual(b"", await stream.receive_some())

        run_with_replica(check, connections=1)

    def test_faults_reach_only_the_replicas_that_match(self):
        async def check(client, replica, group):
            for version, matched in (("v2", []), ("v1", ["r-1"])):
                body = {"match": {"version": version}, "faults": {"fault_fraction": 1.0}}
                reply = await group.handle(JsonRequest("POST", ("faults",), {}, body))
                self.assertEqual({"matched": matched}, reply.body)
            self.assertEqual(500, (await client.run())[0])
            reply = await group.handle(JsonRequest("GET", ("counts",), {}, {}))
            self.assertEqual(1, reply.body["r-1"]["runs"])

        run_with_replica(check)


class CommandLineTest(unittest.TestCase):
    def test_process_is_ready_and_stops_on_sigterm_and_at_its_lifetime(self):
        command = [sys.executable, "-m", "zinnia_standins.main", "platform"]
        with subprocess.Popen([*command, "--lifetime", "30"], stdout=subprocess.PIPE) as process:
            self.assertRegex(process.stdout.readline(), rb"ready \d+")
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(5))
        done = subprocess.run([*command, "--lifetime", "0.2"], capture_output=True, timeout=10)
        self.assertEqual(0, done.returncode)

    def test_deployment_file_is_served_or_refused_with_its_name(self):
        command = [sys.executable, "-m", "zinnia_standins.main", "backends", "--lifetime", "0.2"]
        rows = "- {id: r-1, service: s, shards: [a], cold: {concurrency: 2}}\n"
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "deployment.yaml"
            for text, code, output in ((rows, 0, b"ready"), (rows + "- {id: 1}", 1, b"deployment")):
                path.write_text(text)
                done = subprocess.run([*command, "--file", path], capture_output=True, timeout=10)
                self.assertEqual(code, done.returncode, done.stderr)
                self.assertIn(output, done.stdout + done.stderr)


if __name__ == "__main__":
    unittest.main()
