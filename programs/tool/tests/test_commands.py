import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from fakes import (
    FIRST_SERVER,
    SECOND_SERVER,
    STATUS_BODY,
    FakeAdminClient,
    make_config_response,
    run_tool,
    run_tool_json,
)

from zinnia_model.configuration import MoveKind, MoveState
from zinnia_releases.local_times import resolve_local
from zinnia_releases.note import parse_note
from zinnia_releases.note_planning import plan_note
from zinnia_releases.report import MoveReport
from zinnia_tool.client import Response
from zinnia_tool.configuration import load_document
from zinnia_tool.exits import ExitCode
from zinnia_tool.main import main

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
NOTE_PATH = EXAMPLES / "bellsound-note.yaml"
APPLY_CALL = (FIRST_SERVER, "POST", "/admin/notes?dry_run=0")
MOVE_REPORT = MoveReport(
    id="n1.1",
    note="n1",
    kind=MoveKind.VERSION,
    subject="tune",
    operator="mei",
    state=MoveState.TAKEN_BACK,
    recorded=MoveState.RAMPING,
    from_version="v1",
    to_version="v2",
    step=2,
    steps=5,
    due="2026-12-04 12:00",
    time_zone="Asia/Taipei",
    cause="version v2 <failed> in 31 of 240 answers",
)
MOVES_RESPONSE = Response(200, {"moves": [MOVE_REPORT.model_dump(mode="json")]})


class ExampleFilesTest(unittest.TestCase):
    def test_example_note_applies_to_the_example_configuration(self):
        document = load_document((EXAMPLES / "bellsound-config.yaml").read_text())
        document = document.model_copy(update={"revision": 1})
        wall_ms = resolve_local("2026-12-04 10:00", "Asia/Taipei")
        plan = plan_note(parse_note(NOTE_PATH.read_text()), document, wall_ms)
        self.assertEqual(5, len(plan.moves))

    def test_example_configurations_are_valid(self):
        for name, service in (("bellsound", "licence-handling"), ("kavalam", "billing")):
            document = load_document((EXAMPLES / f"{name}-config.yaml").read_text())
            routes = document.services[service].routes.values()
            self.assertTrue(any(not route.repeatable for route in routes))


class NoteTest(unittest.TestCase):
    def test_check_needs_no_server(self):
        code, output = run_tool("note check", str(NOTE_PATH))
        self.assertEqual((0, "note 2026-12-04-morning is valid: 5 items\n"), (code, output))

    def test_check_prints_every_reason_of_an_invalid_note(self):
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("format: 1\nid: n\n")
            file.flush()
            code, output = run_tool("note check", file.name)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("refused: operator: the key is missing", output)
        self.assertIn("refused: against_revision: the key is missing", output)

    def test_apply_sends_the_file_unchanged_and_prints_the_changes(self):
        reply = {"revision": 6, "changes": ["tune: move all"], "moves": ["n.1"]}
        fake = FakeAdminClient({APPLY_CALL: Response(200, reply)})
        code, output = run_tool("note apply", str(NOTE_PATH), fake)
        self.assertEqual(0, code)
        self.assertIn("is applied in revision 6\n  tune: move all", output)
        self.assertEqual(NOTE_PATH.read_bytes(), fake.calls[0][3])

    def test_dry_run_is_sent_to_the_server(self):
        dry_run_call = (FIRST_SERVER, "POST", "/admin/notes?dry_run=1")
        fake = FakeAdminClient({dry_run_call: Response(200, {"revision": 6})})
        code, output = run_tool("note apply", f"{NOTE_PATH} --dry-run", fake)
        self.assertEqual(0, code)
        self.assertIn("would be applied", output)

    def test_refusal_and_conflict_have_their_own_exit_codes(self):
        for response, expected, part in (
            (Response(400, {"reasons": ["a", "b"]}), ExitCode.REFUSED, "refused: b"),
            (Response(409, {"message": "m", "changed_by": "ben"}), ExitCode.CONFLICT, "by ben"),
        ):
            code, output = run_tool(
                "note apply", str(NOTE_PATH), FakeAdminClient({APPLY_CALL: response})
            )
            self.assertEqual(expected, code)
            self.assertIn(part, output)


class MovesTest(unittest.TestCase):
    def setUp(self):
        self.fake = FakeAdminClient({(FIRST_SERVER, "GET", "/admin/moves"): MOVES_RESPONSE})

    def test_table_shows_state_due_time_and_cause(self):
        code, output = run_tool("moves", "", self.fake)
        self.assertEqual(0, code)
        for part in ("taken_back", "tune: v1 to v2", "12:00 Asia/Taipei", "v2 <failed> in 31"):
            self.assertIn(part, output)

    def test_details_say_that_the_state_is_not_recorded_yet(self):
        code, output = run_tool("moves", "n1", self.fake)
        self.assertEqual(0, code)
        self.assertIn("recorded  not yet", output)

    def test_unknown_move_is_not_found(self):
        self.assertEqual(ExitCode.NOT_FOUND, run_tool("moves", "n9", self.fake)[0])

    def test_json_is_the_reply(self):
        code, data = run_tool_json("moves", "", self.fake)
        self.assertEqual((0, "n1.1"), (code, data["moves"][0]["id"]))


class StatusTest(unittest.TestCase):
    def test_next_server_is_tried_after_no_answer_or_a_server_error(self):
        status = (SECOND_SERVER, "GET", "/admin/status")
        for first in (None, Response(503, {"message": "starting"})):
            responses = {
                (FIRST_SERVER, "GET", "/admin/status"): first,
                status: Response(200, STATUS_BODY),
            }
            code, output = run_tool(
                "status", "", FakeAdminClient(responses), (FIRST_SERVER, SECOND_SERVER)
            )
            self.assertEqual(0, code)
            self.assertIn("not ready: no_majority", output)
            self.assertIn("1/2", output)

    def test_unreachable_names_every_server(self):
        code, output = run_tool("status", "", FakeAdminClient({}), (FIRST_SERVER, SECOND_SERVER))
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn(f"{FIRST_SERVER}: connection refused", output)
        self.assertIn(f"{SECOND_SERVER}: connection refused", output)

    def test_servers_come_from_the_environment(self):
        fake = FakeAdminClient(
            {(SECOND_SERVER, "GET", "/admin/status"): Response(200, STATUS_BODY)}
        )
        with patch.dict("os.environ", {"ZINNIA_SERVERS": f"{FIRST_SERVER},{SECOND_SERVER}"}):
            self.assertEqual(0, run_tool("status", "", fake, servers=())[0])

    def test_config_shows_which_vms_are_behind(self):
        fake = FakeAdminClient({(FIRST_SERVER, "GET", "/admin/status"): Response(200, STATUS_BODY)})
        code, output = run_tool("config", "", fake)
        self.assertEqual(0, code)
        self.assertIn("1 of 2 VMs behind", output)


class ConfigApplyTest(unittest.TestCase):
    file = str(EXAMPLES / "kavalam-config.yaml")
    get, put = (FIRST_SERVER, "GET", "/admin/config"), (FIRST_SERVER, "PUT", "/admin/config")

    def test_current_revision_is_expected_by_default(self):
        fake = FakeAdminClient(
            {self.get: make_config_response(4), self.put: Response(200, {"revision": 5})}
        )
        code, output = run_tool("config apply", self.file, fake)
        self.assertEqual((0, "configuration is in force as revision 5\n"), (code, output))
        self.assertIn(b'"expected_revision": 4', fake.calls[-1][3])

    def test_first_configuration_is_accepted_on_an_empty_platform(self):
        fake = FakeAdminClient(
            {self.get: Response(404, {}), self.put: Response(200, {"revision": 1})}
        )
        self.assertEqual(0, run_tool("config apply", self.file, fake)[0])

    def test_conflict_caused_by_the_same_change_is_a_success(self):
        """Guards against a conflict error for a write that took effect but whose reply was lost.

        The retry then conflicts with the document of the first attempt, which has the same
        change id.
        """
        conflict = Response(409, {"message": "revision 4 was expected", "revision": 5})
        for change_id, expected in (("c1", ExitCode.OK), ("c2", ExitCode.CONFLICT)):
            fake = FakeAdminClient(
                {self.get: make_config_response(5, change_id="c1"), self.put: conflict}
            )
            with patch("uuid.uuid4") as make_id:
                make_id.return_value.hex = change_id
                self.assertEqual(
                    expected, run_tool("config apply", f"{self.file} --expect 4", fake)[0]
                )


class DataCentreTest(unittest.TestCase):
    def test_out_without_a_time_is_set_at_once(self):
        path = (FIRST_SERVER, "POST", "/admin/data-centres/hill")
        fake = FakeAdminClient({path: Response(200, {"revision": 6})})
        code, output = run_tool("data-centre out", "hill --operator ben", fake)
        self.assertEqual((0, "data centre hill: out in revision 6\n"), (code, output))
        self.assertEqual(b'{"state": "out", "operator": "ben"}', fake.calls[0][3])

    def test_out_by_a_time_is_applied_as_a_note(self):
        reply = Response(200, {"revision": 6})
        fake = FakeAdminClient(
            {(FIRST_SERVER, "GET", "/admin/config"): make_config_response(5), APPLY_CALL: reply}
        )
        arguments = "hill --by '2026-12-04 12:00' --time-zone Asia/Taipei"
        self.assertEqual(0, run_tool("data-centre out", arguments, fake)[0])
        note = parse_note(fake.calls[-1][3].decode())
        self.assertEqual(5, note.head.against_revision)
        self.assertEqual("hill", note.items[0].item.data_centre)

    def test_invalid_time_is_refused_before_sending(self):
        fake = FakeAdminClient({(FIRST_SERVER, "GET", "/admin/config"): make_config_response(5)})
        code, output = run_tool("data-centre in", "hill --by noon", fake)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("YYYY-MM-DD HH:MM", output)


class ExplainAndOutcomeTest(unittest.TestCase):
    path = "/admin/requests/q%2F1"

    def test_explain_asks_every_vm(self):
        event = {"at_s": 0.0012, "event": "hedge", "detail": "r-2"}
        trace = {"request_id": "q/1", "vm": "vm-2", "events": [event]}
        responses = {
            (FIRST_SERVER, "GET", self.path): Response(404, {}),
            (SECOND_SERVER, "GET", self.path): Response(200, trace),
        }
        code, output = run_tool(
            "explain", "q/1", FakeAdminClient(responses), (FIRST_SERVER, SECOND_SERVER)
        )
        self.assertEqual(0, code)
        self.assertIn("1.2 ms  hedge  r-2", output)

    def test_explain_names_the_vms_that_did_not_answer(self):
        fake = FakeAdminClient({(FIRST_SERVER, "GET", self.path): Response(404, {})})
        code, output = run_tool("explain", "q/1", fake, (FIRST_SERVER, SECOND_SERVER))
        self.assertEqual(ExitCode.NOT_FOUND, code)
        self.assertIn(f"{SECOND_SERVER}: connection refused", output)

    def test_outcome_prints_all_keys_of_the_reply(self):
        path = (FIRST_SERVER, "GET", "/admin/outcomes/billing/k%201")
        fake = FakeAdminClient({path: Response(200, {"outcome": "answered", "state": "done"})})
        code, output = run_tool("outcome", "billing 'k 1'", fake)
        self.assertEqual((0, "outcome: answered\nstate: done\n"), (code, output))

    def test_invalid_reply_is_reported_as_refused(self):
        fake = FakeAdminClient({(FIRST_SERVER, "GET", "/admin/moves"): Response(200, {"moves": 3})})
        code, data = run_tool_json("moves", "", fake)
        self.assertEqual((ExitCode.REFUSED, "refused"), (code, data["error"]))


class UsageErrorTest(unittest.TestCase):
    def test_usage_errors_exit_with_2(self):
        for arguments in (["bogus"], ["status", "--bogus"], ["status", "-s", "nowhere:1"]):
            with patch("sys.argv", ["zinnia", *arguments]), patch("sys.stderr"):
                self.assertEqual(ExitCode.USAGE, main(), arguments)
