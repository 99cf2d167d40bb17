"""Runs formatter check, linter, import check, unit tests and scenarios; prints the totals.

Failing tests that KNOWN-RED.txt lists (lines ``test: <id>``) are printed and do not fail the run.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PARALLEL_SUITES = 4


def read_known_red() -> set[str]:
    """Return the ids of the tests that may fail."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_command(name: str, *command: str) -> tuple[dict[str, str], str]:
    """Run one command whose exit status is its verdict."""
    done = subprocess.run([sys.executable, *command], cwd=ROOT, capture_output=True, text=True)
    verdict = "passed" if done.returncode == 0 else "failed"
    return {name: verdict}, "" if done.returncode == 0 else done.stdout + done.stderr


def run_suite(directory: Path) -> tuple[dict[str, str], str]:
    """Run the unit tests of one library."""
    label = str(directory.parent.relative_to(ROOT))
    done = subprocess.run(
        [sys.executable, "tools/unit.py", str(directory)], cwd=ROOT, capture_output=True, text=True
    )
    return collect_verdicts(label, done)


def run_scenarios() -> tuple[dict[str, str], str]:
    """Run all scenarios."""
    done = subprocess.run(
        [sys.executable, "tools/scenarios.py", "--json"], cwd=ROOT, capture_output=True, text=True
    )
    return collect_verdicts("scenarios", done)


def collect_verdicts(label: str, done) -> tuple[dict[str, str], str]:
    """Read the JSON lines of a runner; a runner that died without one counts as failed."""
    verdicts = {}
    for line in done.stdout.splitlines():
        if line.startswith('{"test"'):
            record = json.loads(line)
            verdicts[f"{label}: {record['test']}"] = record["verdict"]
    if done.returncode != 0 and "failed" not in verdicts.values():
        verdicts[f"{label}: runner"] = "failed"
    failed = "failed" in verdicts.values()
    return verdicts, done.stdout + done.stderr if failed else ""


def find_suites() -> list[Path]:
    """Return the test directories of all libraries, programs and the adapter."""
    return [*ROOT.glob("*/*/tests"), ROOT / "platform/tests"]


def run_everything() -> list[tuple[dict[str, str], str]]:
    """Run every check; return the verdicts and the output of each."""
    results = [
        run_command("format", "-m", "black", "--check", "--quiet", "."),
        run_command("lint", "-m", "ruff", "check", "--quiet", "."),
        run_command("imports", "tools/imports.py"),
    ]
    suites = sorted(path for path in find_suites() if any(path.glob("test_*.py")))
    with ThreadPoolExecutor(PARALLEL_SUITES) as pool:
        results.extend(pool.map(run_suite, suites))
    if any((ROOT / "scenarios").rglob("*.feature")):
        results.append(run_scenarios())
    return results


def main() -> int:
    """Print the output of what failed and the totals; exit 1 on an unlisted failure."""
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    verdicts: dict[str, str] = {}
    for found, output in run_everything():
        verdicts.update(found)
        if output:
            print(output)
    known = read_known_red()
    red = {name for name, verdict in verdicts.items() if verdict == "failed"}
    for name in sorted(red):
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    unexpected = red - known
    print(f"{len(verdicts) - len(red)} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
