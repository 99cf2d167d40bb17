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
# Prefixes of the log events that the trace steps of a file become; both kinds of run use shards.py.
EVENT_PREFIXES = {"runs.py": ("request",), "shards.py": ("request", "subquery")}
NAME = re.compile(r"`([a-z_]+)`")


def read_section(heading):
    """Return the names in the first column of the tables in one section of the operators' page."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    section = page.split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    cells = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return {name for cell in cells for name in NAME.findall(cell)}


class OperationsPageTest(unittest.TestCase):
    def test_refusals_are_exactly_the_rows_of_the_page(self):
        """Guards against refusals that operators can't look up, and rows of removed refusals."""
        rows = read_section("Refusals of the entry process")
        self.assertEqual({reason.value for reason in RefusalReason}, rows)

    def test_log_events_are_exactly_the_rows_of_the_page(self):
        """Guards against log events that operators can't look up, and rows of removed events."""
        events = {"request_finished", "subquery_finished", "log_lines_dropped"}
        for path in SOURCES:
            text = path.read_text()
            steps = set(STEP.findall(text)) if path.name in EVENT_PREFIXES else set()
            for prefix in EVENT_PREFIXES.get(path.name, ()):
                events |= {f"{prefix}_{step}" for step in steps}
            events |= set(EVENT.findall(text)) - steps
        self.assertEqual(events, read_section("Log events of the entry process"))

    def test_metrics_are_exactly_the_rows_of_the_page(self):
        """Guards against metrics without an explanation, and rows of removed metrics."""
        rows = read_section("Metrics of the entry process")
        families = [family.name for family in Metrics().registry.collect()]
        known = {name.removesuffix("_total") for name in rows}
        self.assertEqual(set(families), known)

    def test_every_reason_has_a_series_from_the_start(self):
        """Guards against alerts on a series that only exists after its first refusal or send."""
        text = Metrics().render().decode()
        for reason in RefusalReason:
            self.assertIn(f'zinnia_refusals_total{{reason="{reason.value}"}} 0.0', text)
        for reason in SendReason:
            self.assertIn(f'zinnia_sends_total{{reason="{reason.value}"}} 0.0', text)
