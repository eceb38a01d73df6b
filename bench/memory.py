"""Memory that jobs take at a leader, by what they consist of.

The figures are those that `briarshed_workloads.memory` estimates.
"""

from __future__ import annotations

import argparse
import tracemalloc
from collections.abc import Callable

from _report import find_version

from briarshed_workloads.jobs import Job
from briarshed_workloads.memory import (
    JOB_BYTES,
    OCCURRENCE_BYTES,
    OPENED_STEP_BYTES,
    STEP_BYTES,
    TASK_BYTES,
)
from briarshed_workloads.records import decode, encode
from briarshed_workloads.workloads import Description, Resources, Schedule, Step

NEED = Resources(10, 10, 0)
NOW = 1_000.0
JOBS, STEPS, OCCURRENCES, TASKS = 1_000, 5_000, 1_000, 50_000


def measure(work: Callable[[], object]) -> tuple[object, int]:
    """Return the result of some work, and the bytes that it keeps allocated."""
    tracemalloc.start()
    try:
        result = work()
        return result, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def describe(counts: list[int], schedule: Schedule | None = None) -> Description:
    """Return a description of independent steps, as it is read from its record."""
    steps = tuple(Step(count, NEED, 1.0, label="a", image="b") for count in counts)
    return decode(encode(Description("run", steps, schedule)), Description)


def make_jobs(description: Description, count: int = 1) -> list[Job]:
    """Return jobs without an open occurrence."""
    return [
        Job(f"{number:016x}", "q", "pool", "team", NOW, description, 3)
        for number in range(count)
    ]


def open_jobs(jobs: list[Job]) -> None:
    """Open the occurrences that are due."""
    for job in jobs:
        job.open_due(NOW)


def measure_jobs() -> float:
    """Return the bytes of a job."""
    description = describe([1])
    return measure(lambda: make_jobs(description, JOBS))[1] / JOBS


def measure_steps() -> float:
    """Return the bytes of a step of a description."""
    encoded = encode(describe([1] * STEPS))
    return measure(lambda: decode(encoded, Description))[1] / STEPS


def measure_opened_steps() -> float:
    """Return the bytes of a step of an open occurrence, with one task."""
    jobs = make_jobs(describe([1] * STEPS))
    return measure(lambda: open_jobs(jobs))[1] / STEPS


def measure_occurrences() -> float:
    """Return the bytes of an open occurrence without its steps."""
    (job,) = make_jobs(describe([1], Schedule(0.0, 1.0, OCCURRENCES)))

    def open_all() -> None:
        for _ in range(OCCURRENCES):
            job.occurrences.activate(job.occurrences.open_next())

    return measure(open_all)[1] / OCCURRENCES


def measure_tasks() -> float:
    """Return the bytes of a task that waits."""
    jobs = make_jobs(describe([TASKS]))
    return measure(lambda: open_jobs(jobs))[1] / TASKS


def measure_successes() -> float:
    """Return the bytes of a task that has succeeded."""
    (job,) = make_jobs(describe([TASKS + 1]))
    job.open_due(NOW)
    tasks = list(job.waiting)[:TASKS]
    for task in tasks:
        job.note_ordered(task)

    def succeed() -> None:
        for task in tasks:
            job.note_succeeded(task, NOW)

    return measure(succeed)[1] / TASKS


def main() -> None:
    """Print measured and estimated bytes."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(f"version {find_version()}; bytes, measured and estimated")
    rows = (
        ("job", measure_jobs, JOB_BYTES),
        ("step of a description", measure_steps, STEP_BYTES),
        ("open occurrence", measure_occurrences, OCCURRENCE_BYTES),
        ("open step with a task", measure_opened_steps, OPENED_STEP_BYTES + TASK_BYTES),
        ("waiting task", measure_tasks, TASK_BYTES),
        ("succeeded task", measure_successes, TASK_BYTES),
    )
    for name, work, estimate in rows:
        print(f"{name:24}{work():8.0f}{estimate:8}")


if __name__ == "__main__":
    main()
