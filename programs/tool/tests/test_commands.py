import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from fakes import FIRST, SECOND, STATUS, FakeAdminClient, make_config, run, run_json

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
NOTE = EXAMPLES / "bellsound-note.yaml"
APPLY = (FIRST, "POST", "/admin/notes?dry_run=0")
REPORT = MoveReport(
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
MOVES = Response(200, {"moves": [REPORT.model_dump(mode="json")]})


class ExampleTest(unittest.TestCase):
    def test_example_note_can_be_applied_to_the_example_configuration(self):
        document = load_document((EXAMPLES / "bellsound-config.yaml").read_text())
        document = document.model_copy(update={"revision": 1})
        wall_ms = resolve_local("2026-12-04 10:00", "Asia/Taipei")
        plan = plan_note(parse_note(NOTE.read_text()), document, wall_ms)
        self.assertEqual(5, len(plan.moves))

    def test_example_configurations_are_valid(self):
        for name, service in (("bellsound", "licence-handling"), ("kavalam", "billing")):
            document = load_document((EXAMPLES / f"{name}-config.yaml").read_text())
            routes = document.services[service].routes.values()
            self.assertTrue(any(not route.repeatable for route in routes))


class NoteTest(unittest.TestCase):
    def test_check_needs_no_server(self):
        code, output = run("note check", str(NOTE))
        self.assertEqual((0, "note 2026-12-04-morning is valid: 5 items\n"), (code, output))

    def test_check_prints_every_reason(self):
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("format: 1\nid: n\n")
            file.flush()
            code, output = run("note check", file.name)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("refused: operator: the key is missing", output)
        self.assertIn("refused: against_revision: the key is missing", output)

    def test_apply_sends_the_text_and_shows_changes(self):
        reply = {"revision": 6, "changes": ["tune: move all"], "moves": ["n.1"]}
        fake = FakeAdminClient({APPLY: Response(200, reply)})
        code, output = run("note apply", str(NOTE), fake)
        self.assertEqual(0, code)
        self.assertIn("is applied in revision 6\n  tune: move all", output)
        self.assertEqual(NOTE.read_bytes(), fake.calls[0][3])

    def test_dry_run_is_told_to_the_server(self):
        dry = (FIRST, "POST", "/admin/notes?dry_run=1")
        fake = FakeAdminClient({dry: Response(200, {"revision": 6})})
        code, output = run("note apply", f"{NOTE} --dry-run", fake)
        self.assertEqual(0, code)
        self.assertIn("would be applied", output)

    def test_refusal_and_conflict_have_their_own_exit_codes(self):
        for response, expected, part in (
            (Response(400, {"reasons": ["a", "b"]}), ExitCode.REFUSED, "refused: b"),
            (Response(409, {"message": "m", "changed_by": "ben"}), ExitCode.CONFLICT, "by ben"),
        ):
            code, output = run("note apply", str(NOTE), FakeAdminClient({APPLY: response}))
            self.assertEqual(expected, code)
            self.assertIn(part, output)


class MovesTest(unittest.TestCase):
    def setUp(self):
        self.fake = FakeAdminClient({(FIRST, "GET", "/admin/moves"): MOVES})

    def test_table_shows_state_hour_and_cause(self):
        code, output = run("moves", "", self.fake)
        self.assertEqual(0, code)
        for part in ("taken_back", "tune: v1 to v2", "12:00 Asia/Taipei", "v2 <failed> in 31"):
            self.assertIn(part, output)

    def test_details_tell_what_the_store_does_not_know_yet(self):
        code, output = run("moves", "n1", self.fake)
        self.assertEqual(0, code)
        self.assertIn("recorded  not yet", output)

    def test_unknown_move(self):
        self.assertEqual(ExitCode.NOT_FOUND, run("moves", "n9", self.fake)[0])

    def test_json_is_the_reply(self):
        code, data = run_json("moves", "", self.fake)
        self.assertEqual((0, "n1.1"), (code, data["moves"][0]["id"]))


class StatusTest(unittest.TestCase):
    def test_next_server_is_tried_if_one_does_not_answer_or_is_not_able(self):
        status = (SECOND, "GET", "/admin/status")
        for first in (None, Response(503, {"message": "starting"})):
            table = {(FIRST, "GET", "/admin/status"): first, status: Response(200, STATUS)}
            code, output = run("status", "", FakeAdminClient(table), (FIRST, SECOND))
            self.assertEqual(0, code)
            self.assertIn("not ready: no_majority", output)
            self.assertIn("1/2", output)

    def test_unreachable_names_every_server(self):
        code, output = run("status", "", FakeAdminClient({}), (FIRST, SECOND))
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn(f"{FIRST}: connection refused", output)
        self.assertIn(f"{SECOND}: connection refused", output)

    def test_servers_come_from_the_environment(self):
        fake = FakeAdminClient({(SECOND, "GET", "/admin/status"): Response(200, STATUS)})
        with patch.dict("os.environ", {"ZINNIA_SERVERS": f"{FIRST},{SECOND}"}):
            self.assertEqual(0, run("status", "", fake, servers=())[0])

    def test_config_shows_who_is_behind(self):
        fake = FakeAdminClient({(FIRST, "GET", "/admin/status"): Response(200, STATUS)})
        code, output = run("config", "", fake)
        self.assertEqual(0, code)
        self.assertIn("1 of 2 VMs behind", output)


class ConfigApplyTest(unittest.TestCase):
    file = str(EXAMPLES / "kavalam-config.yaml")
    get, put = (FIRST, "GET", "/admin/config"), (FIRST, "PUT", "/admin/config")

    def test_writes_against_the_current_revision(self):
        fake = FakeAdminClient({self.get: make_config(4), self.put: Response(200, {"revision": 5})})
        code, output = run("config apply", self.file, fake)
        self.assertEqual((0, "configuration is in force as revision 5\n"), (code, output))
        self.assertIn(b'"expected_revision": 4', fake.calls[-1][3])

    def test_first_configuration_of_an_empty_platform(self):
        fake = FakeAdminClient(
            {self.get: Response(404, {}), self.put: Response(200, {"revision": 1})}
        )
        self.assertEqual(0, run("config apply", self.file, fake)[0])

    def test_conflict_with_the_own_lost_write_is_a_success(self):
        """Guards against a conflict report for a write that took effect but lost its reply."""
        conflict = Response(409, {"message": "revision 4 was expected", "revision": 5})
        for change_id, expected in (("c1", ExitCode.OK), ("c2", ExitCode.CONFLICT)):
            fake = FakeAdminClient({self.get: make_config(5, change_id="c1"), self.put: conflict})
            with patch("uuid.uuid4") as make_id:
                make_id.return_value.hex = change_id
                self.assertEqual(expected, run("config apply", f"{self.file} --expect 4", fake)[0])


class DataCentreTest(unittest.TestCase):
    def test_out_at_once(self):
        path = (FIRST, "POST", "/admin/data-centres/hill")
        fake = FakeAdminClient({path: Response(200, {"revision": 6})})
        code, output = run("data-centre out", "hill --operator ben", fake)
        self.assertEqual((0, "data centre hill: out in revision 6\n"), (code, output))
        self.assertEqual(b'{"state": "out", "operator": "ben"}', fake.calls[0][3])

    def test_out_by_an_hour_becomes_a_note(self):
        reply = Response(200, {"revision": 6})
        fake = FakeAdminClient({(FIRST, "GET", "/admin/config"): make_config(5), APPLY: reply})
        arguments = "hill --by '2026-12-04 12:00' --time-zone Asia/Taipei"
        self.assertEqual(0, run("data-centre out", arguments, fake)[0])
        note = parse_note(fake.calls[-1][3].decode())
        self.assertEqual(5, note.head.against_revision)
        self.assertEqual("hill", note.items[0].item.data_centre)

    def test_bad_hour_is_refused_before_it_is_sent(self):
        fake = FakeAdminClient({(FIRST, "GET", "/admin/config"): make_config(5)})
        code, output = run("data-centre in", "hill --by noon", fake)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("YYYY-MM-DD HH:MM", output)


class RequestTest(unittest.TestCase):
    path = "/admin/requests/q%2F1"

    def test_explain_asks_every_vm(self):
        event = {"at_s": 0.0012, "event": "hedge", "detail": "r-2"}
        trace = {"request_id": "q/1", "vm": "vm-2", "events": [event]}
        table = {
            (FIRST, "GET", self.path): Response(404, {}),
            (SECOND, "GET", self.path): Response(200, trace),
        }
        code, output = run("explain", "q/1", FakeAdminClient(table), (FIRST, SECOND))
        self.assertEqual(0, code)
        self.assertIn("1.2 ms  hedge  r-2", output)

    def test_explain_tells_which_vms_did_not_answer(self):
        fake = FakeAdminClient({(FIRST, "GET", self.path): Response(404, {})})
        code, output = run("explain", "q/1", fake, (FIRST, SECOND))
        self.assertEqual(ExitCode.NOT_FOUND, code)
        self.assertIn(f"{SECOND}: connection refused", output)

    def test_outcome_shows_all_keys(self):
        path = (FIRST, "GET", "/admin/outcomes/billing/k%201")
        fake = FakeAdminClient({path: Response(200, {"outcome": "answered", "state": "done"})})
        code, output = run("outcome", "billing 'k 1'", fake)
        self.assertEqual((0, "outcome: answered\nstate: done\n"), (code, output))

    def test_reply_that_is_not_understood_is_no_crash(self):
        fake = FakeAdminClient({(FIRST, "GET", "/admin/moves"): Response(200, {"moves": 3})})
        code, data = run_json("moves", "", fake)
        self.assertEqual((ExitCode.REFUSED, "refused"), (code, data["error"]))


class UsageTest(unittest.TestCase):
    def test_usage_errors_exit_with_2(self):
        for arguments in (["bogus"], ["status", "--bogus"], ["status", "-s", "nowhere:1"]):
            with patch("sys.argv", ["zinnia", *arguments]), patch("sys.stderr"):
                self.assertEqual(ExitCode.USAGE, main(), arguments)
