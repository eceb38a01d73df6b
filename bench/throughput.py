"""Throughput and added latency of one entry, compared with a minimal proxy.

Both are measured alternately with the same endpoints, so that a busy machine slows
down both. Latency is measured with open-loop load at half of the entry's throughput.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any

from _report import report
from hdrh.histogram import HdrHistogram

from briarshed_standins.fleet import Fleet, Plan, PoolPlan, QueuePlan, TeamPlan

HERE = Path(__file__).resolve().parent
CALLERS = 48
PROCESSES = 3
PERCENTILES = (50.0, 99.0)
MILLISECOND_US = 1_000

PLAN = Plan(
    entries=1,
    data_centres=("dc1",),
    pools=(PoolPlan("proofs", 8, slots=64, connections=192),),
    teams=(TeamPlan("hotels", 1, 1_000),),
    queues=(QueuePlan("proofing", "proofs", ("hotels",)),),
    endpoints_per_process=2,
    duration_ms=0,
    settings={"log": {"level": "WARNING"}},
)


def run_callers(url: str, key: str, seconds: float, rate: float = 0.0) -> list[Any]:
    """Run the load generators in parallel and return the figures of each."""
    command = [sys.executable, str(HERE / "_callers.py"), url, "--key", key]
    command += ["--seconds", str(seconds), "--rate", str(rate / PROCESSES)]
    command += ["--callers", str(CALLERS // PROCESSES if not rate else 1_000)]
    running = [
        subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        for _ in range(PROCESSES)
    ]
    return [json.loads(process.communicate()[0]) for process in running]


def find_latency(parts: list[Any]) -> list[float]:
    """Return the percentiles over all processes, in milliseconds."""
    total = HdrHistogram(1, 60_000_000, 3)
    for part in parts:
        total.add(HdrHistogram.decode(part["histogram"].encode()))
    return [total.get_value_at_percentile(p) / MILLISECOND_US for p in PERCENTILES]


def sum_throughput(parts: list[Any]) -> float:
    """Return the total finished jobs per second."""
    return sum(part["per_second"] for part in parts)


def count_others(parts: list[Any]) -> int:
    """Return the number of responses with a status other than 200."""
    return sum(
        count
        for part in parts
        for status, count in part["statuses"].items()
        if status != "200"
    )


def start_forwarder(addresses: list[str]) -> tuple[subprocess.Popen[str], str]:
    """Start the minimal proxy; return its process and its URL."""
    command = [sys.executable, str(HERE / "_forwarder.py")]
    command += ["--endpoints", ",".join(addresses)]
    bare = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert bare.stdout is not None
    return bare, "http://" + json.loads(bare.stdout.readline())["address"]


def measure(seconds: float, rounds: int) -> dict[str, Any]:
    """Start both servers, measure them and return the figures."""
    with Fleet(PLAN) as fleet:
        addresses = [instance.address for instance in fleet.instances.values()]
        bare, bare_url = start_forwarder(addresses)
        try:
            urls = {"bare": bare_url, "entry": fleet.entries["entry-1"].url}
            return compare(urls, fleet.keys["hotels"], seconds, rounds)
        finally:
            bare.terminate()
            bare.wait()


def compare(
    urls: dict[str, str], key: str, seconds: float, rounds: int
) -> dict[str, Any]:
    """Measure closed-loop load in rounds, then open-loop load at half throughput."""
    path = "/queues/proofing/jobs"
    per_second: dict[str, list[float]] = {name: [] for name in urls}
    others = 0
    for url in urls.values():
        run_callers(url + path, key, 1.0)
    for _ in range(rounds):
        for name, url in urls.items():
            parts = run_callers(url + path, key, seconds)
            per_second[name].append(sum_throughput(parts))
            others += count_others(parts)
    medians = {name: statistics.median(list_) for name, list_ in per_second.items()}
    rate = medians["entry"] / 2
    latency = {
        name: find_latency(run_callers(url + path, key, 2 * seconds, rate))
        for name, url in urls.items()
    }
    return {
        "bare forwarder, jobs a second": medians["bare"],
        "entry, jobs a second": medians["entry"],
        "throughput, entry over bare (target 0.7)": medians["entry"] / medians["bare"],
        "answers other than 200": others,
        "half load, jobs a second": rate,
        "bare p50, ms": latency["bare"][0],
        "entry p50, ms": latency["entry"][0],
        "bare p99, ms": latency["bare"][1],
        "entry p99, ms": latency["entry"][1],
        "added p99, ms (target 10)": latency["entry"][1] - latency["bare"][1],
    }


def main() -> None:
    """Measure and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    report("throughput", None, measure(arguments.seconds, arguments.rounds))


if __name__ == "__main__":
    main()
