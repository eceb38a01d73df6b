"""Overhead of an idle entry: processor, memory, traffic and store calls.

For each size, a fleet of processes without jobs is measured. Slopes are fitted over
the sizes by least squares.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import psutil
from _report import report

from briarshed_standins.fleet import Fleet
from briarshed_standins.plans import Plan, PoolPlan, QueuePlan, TeamPlan
from briarshed_standins.processes import call

MIB = 1 << 20
SETTLE_S = 6.0
ENDPOINTS_PER_PROCESS = 90


class Size(NamedTuple):
    """Size of one fleet."""

    entries: int
    instances: int
    teams: int
    pools: int


BASE = Size(4, 30, 6, 5)
SERIES: dict[str, Sequence[Size]] = {
    "entries": [BASE._replace(entries=count) for count in (4, 8, 16, 32)],
    "instances": [BASE._replace(instances=count) for count in (30, 180, 720)],
    "teams": [BASE._replace(teams=count) for count in (6, 30, 130)],
    "pools": [BASE._replace(pools=count, instances=120) for count in (5, 25, 109)],
}
TARGET = Size(9, 720, 130, 109)


def make_plan(size: Size) -> Plan:
    """Return the plan of a fleet with one queue per pool."""
    share = [size.instances // size.pools] * size.pools
    for index in range(size.instances % size.pools):
        share[index] += 1
    pools = tuple(PoolPlan(f"pool-{index}", count) for index, count in enumerate(share))
    return Plan(
        entries=size.entries,
        data_centres=("dc1", "dc2", "dc3", "dc4"),
        pools=pools,
        teams=tuple(TeamPlan(f"team-{i}", 1, 20) for i in range(size.teams)),
        queues=tuple(QueuePlan(f"queue-{p.name}", p.name) for p in pools),
        links=("store", "peers"),
        endpoints_per_process=ENDPOINTS_PER_PROCESS,
        settings={"log": {"level": "WARNING"}},
    )


def count_calls(fleet: Fleet) -> int:
    """Return the number of calls to the store so far."""
    counts = call("GET", f"{fleet.store_url}/_counts").content
    return sum(counts.values())


def count_bytes(fleet: Fleet) -> dict[str, int]:
    """Return the bytes that each entry has sent and received so far."""
    totals = dict.fromkeys(fleet.entries, 0)
    for link, count in fleet.read_link_bytes().items():
        for name in link.split(">"):
            if name in totals:
                totals[name] += count
    return totals


def measure(size: Size, seconds: float) -> dict[str, float]:
    """Return the overhead of the entries of an idle fleet."""
    with Fleet(make_plan(size)) as fleet:
        fleet.wait_serving(timeout_s=120.0)
        time.sleep(SETTLE_S)
        watched = [psutil.Process(fleet.processes[name].pid) for name in fleet.entries]
        calls, sent = count_calls(fleet), count_bytes(fleet)
        busy = [sum(process.cpu_times()[:2]) for process in watched]
        started_at = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started_at
        used = [
            sum(process.cpu_times()[:2]) - before
            for process, before in zip(watched, busy, strict=True)
        ]
        after = count_bytes(fleet)
        spent = (count_calls(fleet) - calls) / elapsed
        memory = [process.memory_info().rss / MIB for process in watched]
        asked_at = time.monotonic()
        reply = fleet.command("change team team-0 limit 19")
        took = time.monotonic() - asked_at
        assert reply.status == 200, reply
        assert reply.content["in_force"], reply
    return {
        "core, % mean": 100 * statistics.mean(used) / elapsed,
        "core, % most": 100 * max(used) / elapsed,
        "memory, MiB most": max(memory),
        "bytes a second, mean": statistics.mean(
            (after[name] - sent[name]) / elapsed for name in after
        ),
        "bytes a second, most": max(
            (after[name] - sent[name]) / elapsed for name in after
        ),
        "store calls a second, all entries": spent,
        "change in force, s": took,
    }


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the slope of the least-squares line."""
    return statistics.linear_regression(sizes, values).slope


def main() -> None:
    """Measure the given series and report values and slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--series", default="entries,instances,teams,pools,target")
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    for name in arguments.series.split(","):
        figures: dict[str, Any] = {}
        sizes = [TARGET] if name == "target" else SERIES[name]
        results = [measure(size, arguments.seconds) for size in sizes]
        for size, result in zip(sizes, results, strict=True):
            label = "target" if name == "target" else f"{getattr(size, name)} {name}"
            figures |= {f"{label}: {key}": value for key, value in result.items()}
        if len(sizes) > 1:
            counts = [float(getattr(size, name)) for size in sizes]
            for key in results[0]:
                values = [result[key] for result in results]
                figures[f"slope a {name[:-1]}: {key}"] = fit_slope(counts, values)
        report(f"control-{name}", None, figures)


if __name__ == "__main__":
    main()
