"""Order of jobs: which waiting job is served first."""

from __future__ import annotations

from briarshed_workloads.engine import Engine
from briarshed_workloads.jobs import Job, find_objective
from briarshed_workloads.workloads import Step

LONG_RUNNING, ON_TIME, BEYOND_SHARE, LATE = 0, 1, 2, 3
"""Ranks of jobs: those that run until cancelled, those that can still meet their
objective, those beyond the share of their team, and late ones, which get the rest."""

REMAINING_TIME_CACHE_S = 0.25
"""Time for which the estimate of a job's remaining time is cached."""


def rank_job(engine: Engine, job: Job, unix_now: float) -> tuple:
    """Return the sort key of a job: rank, priority, objective.

    Jobs that miss their objective come last, in the order of their objectives.
    """
    if job.is_long_running:
        return (LONG_RUNNING, 0, job.accepted_at, job.job_id)
    queue = engine.find_queue(job)
    due = job.accepted_at
    if job.description.schedule:
        due = max(due, job.find_due(min(job.waiting.list_steps()).occurrence))
    objective = due + find_objective(job, queue)
    rank = ON_TIME if job.is_within_share else BEYOND_SHARE
    if unix_now + estimate_remaining_time(engine, job, unix_now) > objective:
        rank = LATE
    priority = queue.priority if queue else 0
    return (rank, priority, objective, job.job_id)


def estimate_remaining_time(engine: Engine, job: Job, unix_now: float) -> float:
    """Return the estimated length of the critical path left of a job in seconds.

    Of a scheduled job, it is that of the first open occurrence. It is cached for
    `REMAINING_TIME_CACHE_S`, since every plan needs it.
    """
    if (
        job.cached_remaining is not None
        and unix_now - job.cached_remaining[0] < REMAINING_TIME_CACHE_S
    ):
        return job.cached_remaining[1]
    remaining = _measure_remaining_time(engine, job)
    job.cached_remaining = unix_now, remaining
    return remaining


def _measure_remaining_time(engine: Engine, job: Job) -> float:
    lengths: dict[int, float] = {}
    steps = job.description.steps
    occurrence = next(iter(job.open_occurrences), 0)

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
