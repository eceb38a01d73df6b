"""Prints the figures of a benchmark and saves them as JSON."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import time
from importlib import metadata
from pathlib import Path
from typing import Any

import psutil

RESULTS = Path(__file__).resolve().parent / "results"
GIB = 1 << 30


def describe_machine() -> dict[str, Any]:
    """Return the properties of the machine that affect the figures."""
    return {
        "cores": os.cpu_count(),
        "memory_gib": round(psutil.virtual_memory().total / GIB),
        "python": platform.python_version(),
        "aiohttp": metadata.version("aiohttp"),
        "load_average": os.getloadavg()[0],
    }


def report(name: str, seed: int | None, figures: dict[str, Any]) -> None:
    """Print figures as a table and save them as JSON under bench/results."""
    content = {
        "name": name,
        "seed": seed,
        "version": find_version(),
        "machine": describe_machine(),
        "at": time.time(),
        "figures": figures,
    }
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(content, indent=1))
    machine = ", ".join(f"{key} {value}" for key, value in content["machine"].items())
    print(f"{name} (seed {seed}, version {content['version']}, {machine})")
    for key, value in figures.items():
        print(f"  {key:<44} {format_figure(value)}")


def format_figure(value: Any) -> str:
    """Return a figure with at most four significant digits."""
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def find_version() -> str:
    """Return the current commit, or 'unknown' outside a checkout."""
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"
