"""Shortage: what the jobs of a pool ask of it, and which of them give way."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from briarshed_workloads.engine import Engine
from briarshed_workloads.estimates import estimate_remaining_time, estimate_task
from briarshed_workloads.expected_wait import Claim, find_deferred
from briarshed_workloads.fleet import Endpoint
from briarshed_workloads.jobs import Job, find_need
from briarshed_workloads.workloads import NO_RESOURCES, Resources, Step, add, subtract

LONG_RUNNING, ON_TIME, BEYOND_SHARE, LATE, LATE_BEYOND_SHARE, EXPIRED = range(6)
"""Ranks of jobs: those that run until cancelled, those that can meet their objective,
such jobs beyond the share of their team, those that will be late, again with those
beyond a share last, and those whose result will be worth nothing to their caller."""

LATE_RANKS = {ON_TIME: LATE, BEYOND_SHARE: LATE_BEYOND_SHARE}
"""The rank of a job that gives way, by the rank that it had."""

LATE_FACTOR = 3.0
"""Multiple of a job's objective up to which a late result has a value to its caller."""

FIXED_PART = 0.3
"""Part of the loss that is the same for each job of a queue. The rest is proportional
to its work, so that large jobs are not always those that give way."""

WORK_CACHE_S = 0.1
"""Time for which a job's work is cached, since every plan needs it."""


class Rank(NamedTuple):
    """Sort key of a job.

    Attributes
    ----------
    rank : int
        See `LONG_RUNNING` and the other ranks.
    priority : int
        Priority of its queue; lower ones come first.
    due_at : float
        When the job loses value, in Unix seconds.
    job_id : str
    """

    rank: int
    priority: int
    due_at: float
    job_id: str


class JobWork(NamedTuple):
    """Work of a job in seconds of the whole pool: all of it, and what waits."""

    whole: float
    waiting: float


def measure_capacity(endpoints: Iterable[Endpoint]) -> Resources:
    """Return what endpoints have for jobs that end."""
    total = NO_RESOURCES
    for endpoint in endpoints:
        total = add(total, endpoint.registration.capacity)
        for run in endpoint.runs.values():
            if run.step.long_running:
                total = subtract(total, run.need)
    return total


def measure_work(
    engine: Engine, job: Job, capacity: Resources, unix_now: float
) -> JobWork:
    """Return the work of a job's first open occurrence; it is cached."""
    cached = job.cached_work
    if cached is not None and unix_now - cached[0] < WORK_CACHE_S:
        return cached[1]
    occurrence = next(iter(job.open_occurrences), 0)
    whole = waiting = 0.0
    for number, step in enumerate(job.description.steps):
        if step.long_running:
            continue
        each = estimate_task(engine, step) * find_part(step, capacity)
        done = len(job.succeeded.get((occurrence, number), ()))
        running = len(engine.step_runs.get((job.job_id, occurrence, number), ()))
        whole += each * step.count
        waiting += each * max(0, step.count - done - running)
    job.cached_work = unix_now, JobWork(whole, waiting)
    return job.cached_work[1]


def find_part(step: Step, capacity: Resources) -> float:
    """Return the part of a capacity that a task takes, of what it takes most of."""
    return max(
        (
            part / have
            for part, have in zip(find_need(step), capacity, strict=True)
            if have > 0
        ),
        default=0.0,
    )


def defer_jobs(
    engine: Engine,
    jobs: Mapping[str, Job],
    ranks: dict[str, Rank],
    capacity: Resources,
    unix_now: float,
) -> None:
    """Lower the ranks of jobs that would make others late.

    Nothing changes where the pool can serve all of them in time.

    Parameters
    ----------
    ranks : dict
        Ranks by the id of the job; they are changed.
    capacity : Resources
        What the pool has for jobs that end.
    """
    work = {
        job_id: measure_work(engine, jobs[job_id], capacity, unix_now)
        for job_id, row in ranks.items()
        if row.rank != LONG_RUNNING
    }
    means = _find_mean_work(jobs, work)

    def claim(row: Rank, factor: float) -> Claim:
        job = jobs[row.job_id]
        whole, waiting = work[row.job_id]
        late_by = (factor - 1.0) * engine.find_objective(job)
        return Claim(
            row.job_id,
            (row.rank, row.priority),
            row.due_at + late_by - unix_now,
            estimate_remaining_time(engine, job, unix_now),
            waiting,
            FIXED_PART * means[job.queue] + (1 - FIXED_PART) * whole,
        )

    outlook = find_deferred(
        claim(row, 1.0) for row in ranks.values() if row.rank in LATE_RANKS
    )
    for job_id in outlook.deferred:
        row = ranks[job_id]
        ranks[job_id] = row._replace(rank=LATE_RANKS[row.rank])
    late = [
        claim(row, LATE_FACTOR)
        for row in ranks.values()
        if row.rank in LATE_RANKS.values()
    ]
    for job_id in find_deferred(late, outlook.work).deferred:
        ranks[job_id] = ranks[job_id]._replace(rank=EXPIRED)


def _find_mean_work(
    jobs: Mapping[str, Job], work: Mapping[str, JobWork]
) -> dict[str, float]:
    """Return the mean work of a job for each queue."""
    rows: dict[str, list[float]] = {}
    for job_id, row in work.items():
        rows.setdefault(jobs[job_id].queue, []).append(row.whole)
    return {queue: sum(values) / len(values) for queue, values in rows.items()}
