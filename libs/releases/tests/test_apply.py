import unittest

from simulation import START_MS, make_document, make_ramp, write_note

from zinnia_model.configuration import (
    MAX_DOCUMENT_BYTES,
    ConfigDocument,
    DataCentreState,
    RouteConfig,
    VersionConfig,
)
from zinnia_model.errors import ConflictError, NoteError
from zinnia_releases.changes import replace_document, set_data_centre, set_shares
from zinnia_releases.moves import advance_moves
from zinnia_releases.note import parse_note
from zinnia_releases.note_planning import NotePlan, plan_note

DATA_CENTRE_OUT_ITEM = "withdrawn:\n- {kind: data_centre, data_centre: dc-1}"


def plan(document: ConfigDocument | None = None, wall_ms: int = START_MS, **options) -> NotePlan:
    note = parse_note(write_note(**options))
    return plan_note(note, document or make_document(), wall_ms)


def make_two_versions(share: float) -> ConfigDocument:
    document = make_document()
    service = document.services["tune"]
    versions = service.versions | {"v2": VersionConfig(share=0)}
    service = service.model_copy(update={"versions": versions})
    service = set_shares(service, {"v1": 1 - share, "v2": share})
    return document.model_copy(update={"services": {"tune": service}})


class PlanTest(unittest.TestCase):
    def assert_refused(self, *parts: str, **options) -> None:
        with self.assertRaises(NoteError) as caught:
            plan(**options)
        self.assertEqual(len(parts), len(caught.exception.reasons), caught.exception.reasons)
        for part, reason in zip(parts, caught.exception.reasons, strict=True):
            self.assertIn(part, reason)

    def test_plan_has_next_revision_changes_and_moves(self):
        found = plan()
        self.assertEqual((8, "mei"), (found.document.revision, found.document.changed_by))
        self.assertEqual(["n1.1"], found.moves)
        self.assertIn("move 100% of the traffic of v1 to v2", found.changes[0])
        self.assertEqual(0.0, found.document.services["tune"].versions["v2"].share)

    def test_all_reasons_are_reported_at_once(self):
        self.assert_refused(
            "added[1].service: 'tunes' is unknown",
            "changed[1].version: v9 is unknown",
            "withdrawn[1].data_centre: 'dc-9' is unknown",
            items=(
                "added:\n- {kind: version, service: tunes, version: v2}\n"
                "changed:\n- {kind: version, service: tune, version: v9}\n"
                "withdrawn:\n- {kind: data_centre, data_centre: dc-9}"
            ),
        )

    def test_due_time_in_the_past_or_too_near_is_refused(self):
        self.assert_refused("in the past", wall_ms=START_MS + 3_600_000)
        self.assert_refused("needs 25 s", wall_ms=START_MS + 3_600_000 - 25_000)

    def test_service_with_an_unfinished_move_is_refused(self):
        items = "added:\n- {kind: version, service: tune, version: v3}"
        self.assert_refused("n1.1 by mei", items=items, document=make_ramp(), note="n2", against=8)

    def test_withdrawn_version_with_traffic_needs_a_replacement(self):
        items = "withdrawn:\n- {kind: version, service: tune, version: v1}"
        self.assert_refused("carries 100% of the traffic; add a replacement", items=items)

    def test_note_that_withdraws_every_data_centre_is_refused(self):
        items = DATA_CENTRE_OUT_ITEM + "\n- {kind: data_centre, data_centre: dc-2}"
        self.assert_refused("keep at least one in", items=items)

    def test_shares_that_do_not_sum_to_one_are_refused(self):
        items = "changed:\n- {kind: share, service: tune, version: v2, share: 0.6}"
        self.assert_refused("sum to 1.1", items=items, document=make_two_versions(0.5))

    def test_share_item_cannot_raise_a_version_above_the_canary_share_at_once(self):
        """Guards against an untested version that gets much traffic at once, without steps."""
        items = (
            "changed:\n- {kind: share, service: tune, version: v1, share: 0.5}\n"
            "- {kind: share, service: tune, version: v2, share: 0.5}"
        )
        document = make_two_versions(0)
        with self.assertRaises(NoteError) as caught:
            plan(items=items, document=document)
        self.assertIn("list it as kind version", str(caught.exception))
        found = plan(items=items, document=make_two_versions(0.4))
        settled = advance_moves(found.document, START_MS, None, {})
        shares = {v: c.share for v, c in settled.services["tune"].versions.items()}
        self.assertEqual({"v1": 0.5, "v2": 0.5}, shares)

    def test_document_above_1_mb_is_refused(self):
        document = make_document()
        service = document.services["tune"]
        routes = {"r" * MAX_DOCUMENT_BYTES: RouteConfig()}
        large = service.model_copy(update={"routes": routes})
        document = document.model_copy(update={"services": {"tune": large}})
        self.assert_refused("bytes, above 1000000", items=DATA_CENTRE_OUT_ITEM, document=document)

    def test_second_item_for_one_service_is_refused(self):
        items = (
            "added:\n- {kind: version, service: tune, version: v2}\n"
            "- {kind: version, service: tune, version: v3}"
        )
        self.assert_refused("added[2].service: service/tune is named by added[1]", items=items)


class RepeatTest(unittest.TestCase):
    def test_note_applied_again_changes_nothing(self):
        document = make_ramp()
        again = plan(document, step_seconds=3)
        self.assertTrue(again.already_applied)
        self.assertIs(document, again.document)
        self.assertEqual(["n1.1"], again.moves)

    def test_same_id_with_other_content_is_refused(self):
        with self.assertRaises(NoteError) as caught:
            plan(make_ramp(), items=DATA_CENTRE_OUT_ITEM)
        self.assertIn("choose another id", str(caught.exception))


class ConflictTest(unittest.TestCase):
    def test_note_against_an_outdated_revision_conflicts_with_an_unfinished_move(self):
        """Guards against a note that overwrites the change of another operator."""
        items = "added:\n- {kind: version, service: tune, version: v3}"
        with self.assertRaises(ConflictError) as caught:
            plan(make_ramp(), note="n2", items=items)
        self.assertIn("revision 8 by mei", str(caught.exception))
        self.assertIn("unfinished move n1.1", str(caught.exception))
        self.assertEqual(8, caught.exception.current_version)

    def test_note_about_another_subject_is_applied(self):
        found = plan(make_ramp(), note="n2", items=DATA_CENTRE_OUT_ITEM)
        self.assertEqual({"n1.1", "n2.1"}, set(found.document.moves))

    def test_note_against_a_revision_that_does_not_exist_is_refused(self):
        with self.assertRaises(NoteError) as caught:
            plan(against=9)
        self.assertIn("current revision is 7", str(caught.exception))

    def test_note_conflicts_with_a_change_after_its_revision(self):
        document = set_data_centre(make_document(), "dc-1", DataCentreState.OUT, "ben", START_MS)
        with self.assertRaises(ConflictError) as caught:
            plan(document, items=DATA_CENTRE_OUT_ITEM)
        self.assertIn("data_centre/dc-1 was changed in revision 8 by ben", str(caught.exception))


class ReplaceTest(unittest.TestCase):
    def test_retry_after_a_lost_reply_is_recognised_by_its_change_id(self):
        first = replace_document(make_document(), make_document(), 7, "mei", "c1")
        self.assertEqual(8, first.revision)
        self.assertIs(first, replace_document(first, make_document(), 7, "mei", "c1"))
        with self.assertRaises(ConflictError):
            replace_document(first, make_document(), 7, "ben", "c2")

    def test_service_with_an_unfinished_move_cannot_be_replaced(self):
        with self.assertRaises(NoteError) as caught:
            replace_document(make_ramp(), make_document(), 8, "ben")
        self.assertIn("services.tune: move n1.1 is not finished", str(caught.exception))

    def test_last_data_centre_cannot_be_set_to_out(self):
        document = set_data_centre(make_document(), "dc-1", DataCentreState.OUT, "ben", START_MS)
        with self.assertRaises(NoteError):
            set_data_centre(document, "dc-2", DataCentreState.OUT, "ben", START_MS)
