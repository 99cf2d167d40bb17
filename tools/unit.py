"""Runs the unit tests below one directory and prints one JSON line for each test."""

import json
import sys
import unittest

from hypothesis import settings


class RecordingResult(unittest.TextTestResult):
    """Collects the id and the verdict of every test."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.verdicts: dict[str, str] = {}

    def startTest(self, test):  # noqa: N802 - name fixed by unittest
        """Count a test as passed until something else is reported."""
        super().startTest(test)
        self.verdicts.setdefault(test.id(), "passed")

    def addError(self, test, err):  # noqa: N802 - name fixed by unittest
        """Record an error."""
        super().addError(test, err)
        self.verdicts[test.id()] = "failed"

    def addFailure(self, test, err):  # noqa: N802 - name fixed by unittest
        """Record a failure."""
        super().addFailure(test, err)
        self.verdicts[test.id()] = "failed"

    def addSubTest(self, test, subtest, err):  # noqa: N802 - name fixed by unittest
        """Record a failed subtest under the test that contains it."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.verdicts[test.id()] = "failed"

    def addUnexpectedSuccess(self, test):  # noqa: N802 - name fixed by unittest
        """Record a test that was marked as an expected failure and passed."""
        super().addUnexpectedSuccess(test)
        self.verdicts[test.id()] = "failed"


def main() -> int:
    """Run the tests below the directory that the command line names."""
    # The same examples on every run and no time limit per example, so that the verdict depends on
    # the code alone and not on chance or on a busy machine.
    settings.register_profile("repeatable", derandomize=True, deadline=None)
    settings.load_profile("repeatable")
    directory = sys.argv[1]
    suite = unittest.TestLoader().discover(directory, top_level_dir=directory)
    runner = unittest.TextTestRunner(resultclass=RecordingResult, verbosity=0)
    result = runner.run(suite)
    for name, verdict in result.verdicts.items():
        print(json.dumps({"test": name, "verdict": verdict}))
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
