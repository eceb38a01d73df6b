"""Estimates of run times, of tasks and of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarshed_workloads.jobs import Job
from briarshed_workloads.workloads import Step

if TYPE_CHECKING:
    from briarshed_workloads.engine import Engine

REMAINING_TIME_CACHE_S = 0.25
"""Time for which the estimate of a job's remaining time is cached."""


def estimate_remaining_time(engine: Engine, job: Job, unix_now: float) -> float:
    """Return the estimated length of the critical path left of a job in seconds.

    Of a scheduled job, it is that of the first open occurrence. It is cached for
    `REMAINING_TIME_CACHE_S`, since every plan needs it.
    """
    if (
        job.cached_remaining is not None
        and 0 <= unix_now - job.cached_remaining[0] < REMAINING_TIME_CACHE_S
    ):
        return job.cached_remaining[1]
    remaining = _measure_remaining_time(engine, job)
    job.cached_remaining = unix_now, remaining
    return remaining


def _measure_remaining_time(engine: Engine, job: Job) -> float:
    lengths: dict[int, float] = {}
    steps = job.description.steps
    occurrence = job.occurrences.find_first()

    def measure(number: int) -> float:
        if number not in lengths:
            lengths[number] = 0.0
            step = steps[number]
            before = max((measure(other) for other in step.after), default=0.0)
            done = job.succeeded.get((occurrence, number), ())
            own = 0.0 if len(done) >= step.count else estimate_task(engine, step)
            lengths[number] = before + own
        return lengths[number]

    return max((measure(number) for number in range(len(steps))), default=0.0)


def estimate_task(engine: Engine, step: Step) -> float:
    """Return a task's expected run time in seconds."""
    return engine.run_times.expect(step)
