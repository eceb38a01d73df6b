"""Runs the features; scenarios listed in KNOWN-RED.txt may fail."""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES = ROOT / "KNOWN-RED.txt"
FEATURE_TIMEOUT_S = 540
PARALLEL_FEATURES = 4
MAX_ERROR_CHARACTERS = 300


class Outcome(NamedTuple):
    """Result of one scenario; the name is ``FILE: SCENARIO``."""

    name: str
    status: str
    failed_step: str = ""


def run_feature(path: Path, tags: str) -> tuple[list[Outcome], str]:
    """Run a feature file in a separate process; return its outcomes and output."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "behave", path.name]
        command += ["--format", "json", "--outfile", report.name]
        command += ["--format", "plain", "--no-capture", "--tags", tags]
        try:
            done = subprocess.run(
                command,
                cwd=path.parent,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
                check=False,
            )
            text = Path(report.name).read_text()
        except subprocess.TimeoutExpired:
            return [Outcome(f"{path.name}: (timed out)", "failed")], "timed out"
    try:
        content = json.loads(text)
    except ValueError:
        failed = Outcome(f"{path.name}: (did not run)", "failed")
        return [failed], done.stdout + done.stderr
    outcomes = list_outcomes(path, content)
    ran = [outcome for outcome in outcomes if outcome.status != "skipped"]
    if done.returncode != 0 and all(item.status == "passed" for item in ran):
        outcomes.append(Outcome(f"{path.name}: (ended with an error)", "failed"))
    return outcomes, done.stdout + done.stderr


def list_outcomes(path: Path, content: list[dict]) -> list[Outcome]:
    """Return the outcomes of the scenarios in a report of behave."""
    return [
        Outcome(
            f"{path.name}: {element['name'].strip()}",
            element.get("status", "failed"),
            describe_failed_step(element),
        )
        for feature in content
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def describe_failed_step(element: dict) -> str:
    """Return the first step of a scenario that did not pass, and its error."""
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") not in ("passed", "skipped", "untested", None):
            lines = result.get("error_message") or ["no message"]
            text = lines if isinstance(lines, str) else " ".join(lines)
            return f"{step['name']}: {text[-MAX_ERROR_CHARACTERS:]}"
    return ""


def read_known_failures() -> list[str]:
    """Return the scenario names listed in KNOWN-RED.txt, one on each ``test:`` line."""
    lines = KNOWN_FAILURES.read_text().splitlines()
    return [line.removeprefix("test:").strip() for line in lines if "test:" in line[:5]]


def main() -> int:
    """Run the matching features; return 1 if a scenario fails unexpectedly."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tags", default="not @long")
    parser.add_argument("--only", default="", help="part of a feature file's name")
    parser.add_argument("--verbose", action="store_true")
    arguments = parser.parse_args()
    paths = sorted(ROOT.glob("features/*/*.feature"))
    paths = [path for path in paths if arguments.only in path.name]
    with ThreadPoolExecutor(PARALLEL_FEATURES) as executor:
        tags = f"({arguments.tags}) and not @alone"
        results = list(executor.map(lambda path: run_feature(path, tags), paths))
    # These load the machine, or measure a process, so that nothing runs beside them.
    tags = f"({arguments.tags}) and @alone"
    results += [
        run_feature(path, tags) for path in paths if "@alone" in path.read_text()
    ]
    known = read_known_failures()
    outcomes: list[Outcome] = []
    for part, output in results:
        # Known failures are printed too, since their cause may be a new one.
        has_failed = any(
            outcome.status not in ("passed", "skipped") for outcome in part
        )
        if has_failed or arguments.verbose:
            print(output)
        outcomes += part
    return print_summary(outcomes, known)


def print_summary(outcomes: list[Outcome], known: list[str]) -> int:
    """Print the failures and a summary; return the exit status."""
    ran = [outcome for outcome in outcomes if outcome.status != "skipped"]
    passed = [outcome for outcome in ran if outcome.status == "passed"]
    failed = [outcome for outcome in ran if outcome.status != "passed"]
    unexpected = [outcome for outcome in failed if outcome.name not in known]
    for outcome in failed:
        label = "FAILED" if outcome in unexpected else "known failure"
        print(f"{label}: {outcome.name} ({outcome.status}) {outcome.failed_step}")
    for name in known:
        if name in {outcome.name for outcome in passed}:
            print(f"listed in KNOWN-RED.txt but passes: {name}")
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
