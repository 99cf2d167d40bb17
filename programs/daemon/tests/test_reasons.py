import re
import unittest
from pathlib import Path

from zinnia_model.reasons import Outcome, Reason
from zinniarouterd.metrics import Metrics
from zinniarouterd.requests import REFUSAL_STATUS

OPERATIONS = Path(__file__).resolve().parents[3] / "docs" / "OPERATIONS.md"
ROW = re.compile(r"^\| `([a-z_]+)` \|(.+)\|(.+)\|$", re.MULTILINE)
HEADING = "## Reasons"


def read_rows() -> list[tuple[str, str, str]]:
    """Return reason, meaning and remedy of each row of the table of reasons."""
    section = OPERATIONS.read_text().split(f"\n{HEADING}\n", 1)[1].split("\n## ", 1)[0]
    return [tuple(cell.strip() for cell in match) for match in ROW.findall(section)]


class ReasonsTest(unittest.TestCase):
    def test_each_reason_has_one_row_in_operations(self):
        """Guards against a reason that operators meet and cannot look up, and against old rows."""
        self.assertEqual(sorted(r.value for r in Reason), sorted(row[0] for row in read_rows()))

    def test_each_row_names_meaning_and_remedy(self):
        """Guards against rows that are there only to satisfy the check."""
        for reason, meaning, remedy in read_rows():
            with self.subTest(reason):
                self.assertGreater(len(meaning.split()), 3)
                self.assertGreater(len(remedy.split()), 1)

    def test_each_reason_is_a_counter_label_from_the_start(self):
        """Guards against alerts on a series that does not exist until the first refusal."""
        text = Metrics().render().decode()
        for reason in Reason:
            for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
                labels = f'{{outcome="{outcome.value}",reason="{reason.value}"}}'
                self.assertIn(f"zinnia_refusals_total{labels} 0.0", text)
            self.assertIn(f'zinnia_retries_total{{reason="{reason.value}"}} 0.0', text)

    def test_labels_are_unique_and_follow_the_name(self):
        """Guards against two reasons that share one label, and against a label that differs."""
        self.assertEqual([r.name.lower() for r in Reason], [r.value for r in Reason])

    def test_statuses_of_refusals_belong_to_reasons(self):
        """Guards against a status outside of those that the interface promises."""
        self.assertLessEqual(set(REFUSAL_STATUS.values()), {400, 404, 409, 413, 429, 504})
