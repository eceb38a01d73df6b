"""Runs the short set of benchmarks; writes a JSON file and a text table."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

from _report import RESULTS, describe_machine, find_version

HERE = Path(__file__).resolve().parent
TIMEOUT_S = 150
COMMANDS = {
    "throughput": ["throughput.py", "--seconds", "3", "--rounds", "2"],
    "control": ["control.py", "--series", "target", "--seconds", "10"],
    "grants": ["grants.py"],
    "waves": ["waves.py"],
    "moves": ["moves.py"],
    "decisions": ["decisions.py"],
    "plans": ["plans.py"],
    "memory": ["memory.py"],
    "policies": ["policies.py"],
}


def run_command(name: str, command: list[str]) -> dict[str, object]:
    """Run one benchmark and return its output and exit code."""
    print(f"== {name}", flush=True)
    started_at = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, str(HERE / command[0]), *command[1:]],
            cwd=HERE,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        code, output = done.returncode, done.stdout
        errors = done.stderr[-2000:] if done.returncode else ""
    except subprocess.TimeoutExpired:
        code, output, errors = -1, "", f"timed out after {TIMEOUT_S} s"
    print(output + errors, flush=True)
    return {
        "command": " ".join(command),
        "exit_code": code,
        "seconds": time.monotonic() - started_at,
        "output": output.splitlines(),
    }


def main() -> int:
    """Run all benchmarks; return 1 if one failed."""
    results = {name: run_command(name, command) for name, command in COMMANDS.items()}
    RESULTS.mkdir(exist_ok=True)
    content = {
        "version": find_version(),
        "machine": describe_machine(),
        "measurements": results,
    }
    (RESULTS / "bench.json").write_text(json.dumps(content, indent=1))
    table = [
        f"{name}\n" + "\n".join(f"    {line}" for line in result["output"])
        for name, result in results.items()
    ]
    (RESULTS / "bench.txt").write_text("\n\n".join(table) + "\n")
    failed = [name for name, result in results.items() if result["exit_code"] != 0]
    print(f"results are in bench/results; failed: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
