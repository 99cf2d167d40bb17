"""Runs the scenarios and prints one line for each promise and the totals.

With ``--json`` it prints one JSON line for each scenario instead, for tools/check.py.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_SEED = 1


def run_behave(only: str, seed: int) -> tuple[list[dict], str]:
    """Run behave; return its report by feature and what it printed."""
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture-hooks"]
        command += ["-D", f"seed={seed}", "-f", "json", "-o", str(report)]
        command += ["-f", "progress", "-o", str(Path(directory) / "progress")]
        if only:
            command += ["--name", only]
        # The order of sets of strings would differ between runs with the same seed.
        environment = os.environ | {"PYTHONHASHSEED": "0"}
        done = subprocess.run(
            [*command, "scenarios"], cwd=ROOT, env=environment, capture_output=True, text=True
        )
        text = report.read_text() if report.exists() else ""
        progress = Path(directory) / "progress"
        output = done.stdout + done.stderr + (progress.read_text() if progress.exists() else "")
        return json.loads(text) if text.strip() else [], output


def list_scenarios(features: list[dict]) -> list[tuple[str, str, str]]:
    """Return (promise, scenario name, verdict) for every scenario that ran."""
    rows = []
    for feature in features:
        for element in feature.get("elements", []):
            status = element.get("status", "undefined")
            if element.get("type") != "scenario" or status == "skipped":
                continue
            verdict = "passed" if status == "passed" else "failed"
            rows.append((feature["name"], element["name"], verdict))
    return rows


def list_failed_steps(features: list[dict]) -> list[str]:
    """Return the step and the error of every failed scenario."""
    lines = []
    for feature in features:
        for element in feature.get("elements", []):
            for step in element.get("steps", []):
                result = step.get("result", {})
                if result.get("status") in (None, "passed", "skipped", "untested"):
                    continue
                message = result.get("error_message", "")
                text = "\n".join(message) if isinstance(message, list) else message
                lines.append(f"{element['name']}: {step['name']}: {text}")
    return lines


def print_promises(rows: list[tuple[str, str, str]], seed: int) -> None:
    """Print one line for each promise."""
    by_promise = defaultdict(list)
    for promise, name, verdict in rows:
        by_promise[promise].append((name, verdict))
    for promise, scenarios in by_promise.items():
        failed = [name for name, verdict in scenarios if verdict == "failed"]
        state = f"FAILED: {', '.join(failed)}" if failed else "holds"
        passed = len(scenarios) - len(failed)
        print(f"{promise}: {passed} of {len(scenarios)} scenarios passed, {state} (seed {seed})")


def main() -> int:
    """Run the chosen scenarios; exit 1 if any failed or none ran."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of a scenario's name")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    features, output = run_behave(options.only, options.seed)
    rows = list_scenarios(features)
    failed = sum(verdict == "failed" for _, _, verdict in rows)
    if options.json:
        for promise, name, verdict in rows:
            print(json.dumps({"test": f"{promise}: {name}", "verdict": verdict}))
    else:
        print_promises(rows, options.seed)
    if failed or not rows:
        print("\n".join(list_failed_steps(features)) or output, file=sys.stderr)
    if not options.json:
        print(f"{len(rows) - failed} passed, {failed} failed")
    return 1 if failed or not rows else 0


if __name__ == "__main__":
    sys.exit(main())
