"""Fake admin API client with fixed responses, and functions that run commands with it."""

import json

from cleo.testers.command_tester import CommandTester

from zinnia_model.configuration import ConfigDocument
from zinnia_tool.client import AdminClient, NoAnswerError, Response
from zinnia_tool.main import ToolApplication

FIRST_SERVER, SECOND_SERVER = "10.0.0.1:7002", "10.0.0.2:7002"
STATUS_BODY = {
    "vm": "vm-1",
    "data_centre": "north",
    "incarnation": "a",
    "ready": False,
    "reasons": ["no_majority"],
    "revision": 5,
    "members": [
        {"vm": "vm-1", "data_centre": "north", "state": "alive", "revision": 5, "behind": False},
        {"vm": "vm-2", "data_centre": "hill", "state": "dead", "revision": 4, "behind": True},
    ],
    "platform": "down",
    "replicas": [
        {
            "replica": "r-1",
            "service": "tune",
            "data_centre": "north",
            "version": "v1",
            "state": "warm",
            "limit": 2,
            "in_flight": 1,
            "queue": 3,
            "owner": "vm-1",
        }
    ],
}


def make_config_response(revision: int, **update) -> Response:
    document = ConfigDocument(revision=revision, **update).model_dump(mode="json")
    return Response(200, {"revision": revision, "document": document})


class FakeAdminClient(AdminClient):
    """Returns the response stored for (server, method, path) and records the calls.

    Without an entry the VM does not answer. Of a list, each call takes the next response; ``None``
    in it is a lost reply.
    """

    def __init__(self, responses: dict[tuple[str, str, str], Response | list]):
        super().__init__([FIRST_SERVER])
        self.responses = responses
        self.calls: list[tuple[str, str, str, bytes]] = []

    def exchange(self, server, method, path, content, content_type):
        self.calls.append((server, method, path, content))
        response = self.responses.get((server, method, path))
        if isinstance(response, list):
            response = response.pop(0)
        if response is None:
            raise NoAnswerError("connection refused")
        return response


def run_tool(
    name: str, arguments: str, fake: FakeAdminClient | None = None, servers=(FIRST_SERVER,)
):
    """Run a command; return its exit code and its standard output followed by standard error."""

    def make_client(addresses: list[str]) -> AdminClient:
        fake.servers = addresses
        return fake

    command = ToolApplication(make_client).get(name)
    options = "".join(f" --server {server}" for server in servers) if fake else ""
    tester = CommandTester(command)
    code = tester.execute(arguments + options)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


def run_tool_json(name: str, arguments: str, fake: FakeAdminClient):
    code, output = run_tool(name, f"{arguments} --json", fake)
    return code, json.loads(output)
