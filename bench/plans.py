"""Processor time of a plan by the tasks of one job that run and that wait.

Besides, the time for the order of waiting jobs in a shortage, by their number.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Mapping

from _report import find_version

from briarshed_workloads.configuration import (
    Configuration,
    PoolRules,
    QueueRules,
    RequestLimits,
)
from briarshed_workloads.copies import plan_copies
from briarshed_workloads.engine import Engine
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.ordering import sort_jobs
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.reconciliation import correct_state
from briarshed_workloads.workloads import (
    Description,
    PollResponse,
    Registration,
    Resources,
    Step,
    Submission,
)

SIZES = (1_000, 10_000, 100_000)
RUNNING = (0, 1_000, 4_000)
ENDPOINTS = 6
CAPACITY = Resources(64_000, 1_000_000, 0)
NEED = Resources(10, 10, 0)
NOW = 100.0
WAITING_JOBS = (30, 300, 1_000, 3_000)
ORDERS, ORDER_INTERVAL_S = 100, 0.01
PLANS = 5
KINDS: Mapping[str, Mapping[str, object]] = {
    "plain": {},
    "per endpoint": {"per_endpoint": 50_000},
    "long-running": {"long_running": True},
    "speculative": {"speculative": True},
}


def make_engine() -> Engine:
    """Return an engine with fenced endpoints and one queue."""
    queue = QueueRules("q", "h", "/q/", "pool", 0, 2, 1.6, 0.6, 3.0, True)
    engine = Engine(2, LeaseTimes(4.0, 4.0, 10.0), lambda *_, **__: None)
    engine.configuration = Configuration(
        1,
        {"q": queue},
        {"pool": PoolRules("pool", False, False)},
        {},
        {},
        RequestLimits(),
        {"h": (queue,)},
    )
    names = [f"e{number}" for number in range(ENDPOINTS)]
    engine.note_registrations(
        [
            Registration(name, 1, "", "pool", "d", f"rack {name}", (), CAPACITY)
            for name in names
        ],
        NOW,
    )
    engine.roster = set(names)
    for endpoint in engine.endpoints.values():
        response = PollResponse(int(NOW * 1000), 1, (), ())
        engine.note_poll(endpoint, response, endpoint.counter, NOW, NOW)
    return engine


def plan(engine: Engine) -> tuple[float, int]:
    """Return the time of one plan in seconds, and its number of starts."""
    started = time.process_time_ns()
    orders = plan_starts(engine, NOW)
    plan_copies(engine, NOW)
    seconds = (time.process_time_ns() - started) / 1e9
    for order in orders:
        engine.note_started(order.run, int(NOW * 1000), NOW)
    return seconds, len(orders)


def measure_correction(engine: Engine) -> float:
    """Return the longest part of a correction of the state, in seconds."""
    longest, started = 0.0, time.process_time_ns()
    for _ in correct_state(engine, (), NOW):
        now = time.process_time_ns()
        longest, started = max(longest, (now - started) / 1e9), now
    return longest


def measure(size: int, running: int, kind: str) -> list[float]:
    """Return times in ms: opening the job, its longest plan, and correction."""
    engine = make_engine()
    step = Step(size, NEED, 1.0, **KINDS[kind])
    submission = Submission("job", "q", "pool", "", NOW, Description("", (step,)))
    started = time.process_time_ns()
    engine.activate(engine.accept(submission, NOW), NOW)
    opening = (time.process_time_ns() - started) / 1e9
    while len(engine.runs) < min(running, size) and plan(engine)[1]:
        pass
    longest = max(plan(engine)[0] for _ in range(PLANS))
    return [opening * 1e3, longest * 1e3, measure_correction(engine) * 1e3]


def measure_order(count: int) -> list[float]:
    """Return times in ms for the order of jobs: most, and the median of all."""
    engine = make_engine()
    step = Step(8, Resources(6_000, 6_000, 0), 1.0)
    for number in range(count):
        submission = Submission(
            f"{number}", "q", "pool", "", NOW, Description("", (step,))
        )
        engine.activate(engine.accept(submission, NOW), NOW)
    jobs = list(engine.list_open("pool").values())
    times = []
    for number in range(ORDERS):
        started = time.process_time_ns()
        sort_jobs(engine, "pool", jobs, NOW + number * ORDER_INTERVAL_S)
        times.append((time.process_time_ns() - started) / 1e6)
    return [max(times), sorted(times)[ORDERS // 2]]


def main() -> None:
    """Print a row for each size, number of running tasks and kind of step."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(f"version {find_version()}, {ENDPOINTS} endpoints; longest, in ms")
    print(f"{'kind':14}{'tasks':>8}{'running':>8}{'open':>9}{'plan':>9}{'correct':>9}")
    for count in WAITING_JOBS:
        longest, median = measure_order(count)
        print(f"order of {count:5} jobs{longest:9.2f}, median {median:.2f}", flush=True)
    for kind in KINDS:
        for size in SIZES:
            for running in RUNNING:
                opening, planning, correction = measure(size, running, kind)
                print(
                    f"{kind:14}{size:8}{running:8}"
                    f"{opening:9.1f}{planning:9.1f}{correction:9.1f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
