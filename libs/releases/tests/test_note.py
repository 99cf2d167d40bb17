import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from simulation import START_MS, write_note

from zinnia_model.errors import NoteError
from zinnia_releases.local_times import LocalTimeError, format_local, resolve_local
from zinnia_releases.note import MAX_NOTE_CHARACTERS, parse_note

KEYS = st.sampled_from(
    ["format", "id", "operator", "against_revision", "by", "time_zone", "added", "changed"]
    + ["withdrawn", "kind", "service", "version", "share", "definition"]
)
WORDS = st.sampled_from(["version", "data_centre", "share", "2026-12-04 12:00", "Asia/Taipei", ""])
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | WORDS | st.text("ab1: -", max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=5),
    max_leaves=20,
)


class ParseTest(unittest.TestCase):
    def list_reasons(self, text: str) -> list[str]:
        with self.assertRaises(NoteError) as caught:
            parse_note(text)
        return caught.exception.reasons

    def test_items_inherit_due_time_and_zone_of_the_note(self):
        note = parse_note(write_note())
        self.assertEqual(START_MS + 3_600_000, note.items[0].due_ms)

    def test_each_reason_names_item_key_and_remedy(self):
        reasons = self.list_reasons(
            "format: 1\nid: a b\nadded:\n- kind: share\n- {kind: version, servce: x, version: v1,"
            " service: 3, by: '2026-12-04 25:00', time_zone: Asia/Taipei}\n"
        )
        self.assertIn("id: 'a b' is not a name; use up to 64 letters, digits and . _ -", reasons)
        self.assertIn("operator: the key is missing; add it", reasons)
        self.assertIn(
            "added[1].kind: 'share' is not one of version, data_centre, service; use one", reasons
        )
        self.assertIn("added[2].service: 3 is not a text; write it in quotes", reasons)
        self.assertTrue(any(r.startswith("added[2].servce: unknown key") for r in reasons))

    def test_local_times_at_clock_changes_are_refused(self):
        items = (
            "added:\n- {kind: version, service: a, version: v, by: '2026-03-29 02:30',"
            " time_zone: Europe/Berlin}\n"
            "- {kind: version, service: b, version: v, by: '2026-10-25 02:30',"
            " time_zone: Europe/Berlin}"
        )
        reasons = self.list_reasons(write_note(items))
        self.assertIn("added[1].by: 2026-03-29 02:30 does not exist", reasons[0])
        self.assertIn("added[2].by: 2026-10-25 02:30 happens twice", reasons[1])

    def test_yaml_errors_name_line_and_column(self):
        self.assertIn("line 2", self.list_reasons("format: 1\nid: [")[0] + " line 2")
        self.assertIn("line 2, column 1", self.list_reasons("id: 1\nid: 2\n")[0])

    def test_aliases_and_long_notes_are_refused(self):
        """Guards against a short note that expands to millions of values."""
        self.assertIn("aliases", self.list_reasons("a: &x [1]\nb: *x\n")[0])
        self.assertIn("split it", self.list_reasons("x" * (MAX_NOTE_CHARACTERS + 1))[0])

    @settings(deadline=None)
    @given(st.text() | st.text(alphabet="-: {}[]&*!'\"#|>%@\nabc123\t?,"))
    def test_any_text_raises_only_note_errors(self, text):
        with self.assertRaises(NoteError):
            parse_note(text)

    @given(st.dictionaries(KEYS, VALUES))
    @settings(max_examples=200, deadline=None)
    def test_any_mapping_raises_only_note_errors(self, data):
        lines = [f"{key}: {value!r}" for key, value in data.items()]
        try:
            parse_note("\n".join(lines))
        except NoteError as error:
            self.assertTrue(error.reasons)


class LocalTimeTest(unittest.TestCase):
    def test_errors_about_local_times_name_the_fault(self):
        for local, zone, part in (
            ("tomorrow", "UTC", "YYYY-MM-DD HH:MM"),
            ("2026-12-04 12:00", "Mars/Base", "is unknown"),
            ("2026-12-04 12:00", "../etc", "is unknown"),
            ("0001-01-01 00:00", "Asia/Taipei", "out of range"),
        ):
            with self.assertRaisesRegex(LocalTimeError, part):
                resolve_local(local, zone)

    def test_parsed_local_time_formats_to_the_same_time(self):
        wall_ms = resolve_local("2026-12-04 12:00", "Asia/Taipei")
        self.assertEqual("2026-12-04 12:00:00", format_local(wall_ms, "Asia/Taipei"))
