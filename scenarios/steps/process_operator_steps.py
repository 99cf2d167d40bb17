"""Steps for mistakes in settings and requests, and for the operators' tool."""

import json
import subprocess
import sys
from datetime import UTC, datetime, timedelta

from behave import given, then, when
from process_tier import COMMAND_ROUTE, COMMAND_SERVICE, QUERY_SERVICE
from ruamel.yaml import YAML

from zinnia_measure.demo import build_note
from zinnia_measure.processes import fetch, wait_until

START_LIMIT_S = 15.0
MOVE_S = 40.0
BODY_BYTES = 1_100_000


# Settings


def start_wrong(context, *arguments: str) -> None:
    context.done = subprocess.run(
        [sys.executable, "-m", "zinniarouterd.main", *arguments],
        capture_output=True,
        text=True,
        timeout=START_LIMIT_S,
    )


@when('a daemon process is started with the setting "{key}" set to "{value}"')
def start_with_setting(context, key, value):
    yaml = YAML(typ="safe", pure=True)
    settings = yaml.load(context.tier.plan.daemons[0].settings)
    section, _, name = key.rpartition(".")
    (settings[section] if section else settings)[name] = yaml.load(value)
    path = context.tier.plan.directory / "wrong.yaml"
    yaml.dump(settings, path)
    start_wrong(context, "--settings", str(path))


@when("a daemon process is started without a settings file")
def start_without_settings(context):
    start_wrong(context, "serve")


@then('the daemon process ends with exit status {status:d} and names "{text}"')
def check_settings_error(context, status, text):
    done = context.done
    assert (done.returncode, text in done.stderr) == (status, True), (done.returncode, done.stderr)


# Requests

GOOD = {"service": QUERY_SERVICE, "route": "search", "deadline_ms": 500, "body": {}}


def make_wrong_request(mistake: str) -> tuple[str, bytes]:
    """Return path and body of a request with a mistake."""
    command = GOOD | {"service": COMMAND_SERVICE, "route": COMMAND_ROUTE}
    values = {
        "no deadline": {key: value for key, value in GOOD.items() if key != "deadline_ms"},
        "an unknown key": GOOD | {"priority": 1},
        "an unknown service": GOOD | {"service": "nothing"},
        "an unknown route": GOOD | {"route": "nowhere"},
        "a body above 1 MB": GOOD | {"body": "x" * BODY_BYTES},
        "a command without key": command,
    }
    if mistake not in values:
        return "/v1/query", b'{"service": '
    path = "/v1/command" if values[mistake] is command else "/v1/query"
    return path, json.dumps(values[mistake]).encode()


@when("a running tier gets a request with {mistake}")
def send_wrong(context, mistake):
    path, body = make_wrong_request(mistake)
    reply = fetch("POST", f"http://{context.tier.plan.daemons[1].callers}{path}", body)
    context.refusal = (reply.status, json.loads(reply.content))


@then("the running tier refuses it with status {status:d} and reason {reason}")
def check_refusal(context, status, reason):
    got, answer = context.refusal
    assert (got, answer["reason"]) == (status, reason), context.refusal
    assert answer["outcome"] == "not_run" and answer["message"], context.refusal


# The operators' tool


@given("an operator has a release note that moves {service} of the running tier to v2")
def write_note(context, service):
    revision = context.tier.admin(0, "GET", "config")[1]["revision"]
    due = datetime.now(UTC) + timedelta(seconds=MOVE_S)
    note, old = build_note(service, due, revision), build_note(service, due, revision)
    directory = context.tier.plan.directory
    context.words = {"NOTE": directory / "note.yaml", "OLD-NOTE": directory / "old.yaml"}
    context.words["NOTE"].write_text(note)
    context.words["OLD-NOTE"].write_text(old.replace("id: demo-", "id: afternoon-"))


@given("a running tier has answered a query and a command")
def send_both(context):
    status, answer = context.tier.query(QUERY_SERVICE, {"n": 1}, vm=2)
    assert status == 200, answer
    key = f"tool-{answer['request_id']}"
    status, reply = context.tier.command(COMMAND_SERVICE, COMMAND_ROUTE, key, {"n": 1})
    assert status == 200, reply
    context.words = {"QUERY": answer["request_id"], "KEY": key}


def run_tool(context, line: str) -> subprocess.CompletedProcess:
    return context.tier.run_tool(*(str(context.words.get(word, word)) for word in line.split()))


@then('zinnia "{line}" ends with exit code {code:d} and prints "{text}"')
def check_tool(context, line, code, text):
    done = run_tool(context, line)
    output = done.stdout + done.stderr
    assert done.returncode == code and text in output, (done.returncode, output)


@then('zinnia "{line}" ends with exit code {code:d} and prints JSON')
def check_tool_json(context, line, code):
    done = run_tool(context, line)
    assert done.returncode == code, (done.returncode, done.stdout, done.stderr)
    assert isinstance(json.loads(done.stdout), dict), done.stdout


@then("the move of {service} in the running tier is done before its hour")
def check_move(context, service):
    def read_move() -> dict:
        (move,) = (m for m in context.tier.read_moves(2).values() if m["subject"] == service)
        return move

    settled = ("done", "taken_back")
    wait_until(lambda: read_move()["state"] in settled, "the end of the move", MOVE_S)
    assert read_move()["state"] == "done", read_move()
