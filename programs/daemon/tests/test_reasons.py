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
        """Guards against a reason that operators cannot look up, and rows of removed reasons."""
        self.assertEqual(sorted(r.value for r in Reason), sorted(row[0] for row in read_rows()))

    def test_each_row_names_meaning_and_remedy(self):
        """Guards against rows with too few words to explain the reason or its remedy."""
        for reason, meaning, remedy in read_rows():
            with self.subTest(reason):
                self.assertGreater(len(meaning.split()), 3)
                self.assertGreater(len(remedy.split()), 1)

    def test_each_reason_is_a_counter_label_from_the_start(self):
        """Guards against alerts on a time series that does not exist before the first refusal."""
        text = Metrics().render().decode()
        for reason in Reason:
            for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
                labels = f'{{outcome="{outcome.value}",reason="{reason.value}"}}'
                self.assertIn(f"zinnia_refusals_total{labels} 0.0", text)
            self.assertIn(f'zinnia_retries_total{{reason="{reason.value}"}} 0.0', text)

    def test_labels_are_unique_and_match_the_member_names(self):
        """Guards against two reasons with the same label, and a label unlike its member name."""
        self.assertEqual([r.name.lower() for r in Reason], [r.value for r in Reason])

    def test_refusals_use_only_the_promised_statuses(self):
        """Guards against an HTTP status that the callers' interface does not promise."""
        self.assertLessEqual(set(REFUSAL_STATUS.values()), {400, 404, 409, 413, 429, 504})
