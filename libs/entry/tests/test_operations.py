import re
import unittest
from pathlib import Path

from zinnia_entry.metrics import Metrics
from zinnia_entry.reasons import RefusalReason
from zinnia_sending.attempts import SendReason

ROOT = Path(__file__).resolve().parents[3]
SOURCES = [
    *(ROOT / "libs" / "sending" / "src").rglob("*.py"),
    *(ROOT / "libs" / "entry" / "src").rglob("*.py"),
    *(ROOT / "libs" / "delegation" / "src").rglob("*.py"),
    *(ROOT / "platform" / "zinnia_adapter").rglob("*.py"),
]
EVENT = re.compile(r"\b_?note(?:_ordinary)?\(\s*\"([a-z_]+)\"")
STEP = re.compile(r"self\._note\(\s*\"([a-z_]+)\"")
# Whose log lines the steps of a file become: steps on shards are those of both kinds of run.
SUBJECTS_OF_STEPS = {"runs.py": ("request",), "shards.py": ("request", "subquery")}
NAME = re.compile(r"`([a-z_]+)`")


def read_section(heading):
    """Return the first cells of the table of one section of the operators' page."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    section = page.split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    cells = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return {name for cell in cells for name in NAME.findall(cell)}


class OperationsPageTest(unittest.TestCase):
    def test_each_refusal_has_a_row_and_no_row_is_left_over(self):
        """Guards against a refusal that operators meet and cannot look up."""
        rows = read_section("Refusals of the entry process")
        self.assertEqual({reason.value for reason in RefusalReason}, rows)

    def test_each_event_has_a_row_and_no_row_is_left_over(self):
        """Guards against a log line that operators meet and cannot look up."""
        events = {"request_finished", "subquery_finished", "log_lines_dropped"}
        for path in SOURCES:
            text = path.read_text()
            steps = set(STEP.findall(text)) if path.name in SUBJECTS_OF_STEPS else set()
            for subject in SUBJECTS_OF_STEPS.get(path.name, ()):
                events |= {f"{subject}_{step}" for step in steps}
            events |= set(EVENT.findall(text)) - steps
        self.assertEqual(events, read_section("Log events of the entry process"))

    def test_each_metric_has_a_row(self):
        """Guards against a metric that nobody knows how to read."""
        rows = read_section("Metrics of the entry process")
        families = [family.name for family in Metrics().registry.collect()]
        known = {name.removesuffix("_total") for name in rows}
        self.assertEqual(set(families), known)

    def test_reasons_are_labels_from_the_start(self):
        """Guards against alerts on a series that does not exist until the first refusal."""
        text = Metrics().render().decode()
        for reason in RefusalReason:
            self.assertIn(f'zinnia_refusals_total{{reason="{reason.value}"}} 0.0', text)
        for reason in SendReason:
            self.assertIn(f'zinnia_sends_total{{reason="{reason.value}"}} 0.0', text)
