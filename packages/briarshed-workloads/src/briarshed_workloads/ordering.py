"""Order of jobs: which waiting job of a pool is served first."""

from __future__ import annotations

from collections.abc import Iterable

from briarshed_workloads.engine import Engine
from briarshed_workloads.estimates import estimate_remaining_time
from briarshed_workloads.jobs import Job, find_objective
from briarshed_workloads.shortage import (
    BEYOND_SHARE,
    LATE_RANKS,
    LONG_RUNNING,
    ON_TIME,
    OUTLOOK_REFRESH_S,
    Rank,
    defer_jobs,
    measure_capacity,
)
from briarshed_workloads.supervision import report_error


def sort_jobs(engine: Engine, pool: str, jobs: Iterable[Job], now: float) -> list[Job]:
    """Return the jobs of a pool in the order in which they are served.

    They are sorted by `rank_job`. Where the pool cannot serve all in time, those whose
    callers lose least give way, see `defer_jobs`.

    Parameters
    ----------
    now : float
        Seconds of the boot clock.
    """
    unix_now = engine.to_unix_time(now)
    outlook = engine.outlooks.get(pool)
    is_current = outlook is not None and outlook.is_current(unix_now)
    ranks = outlook.ranks if is_current else {}
    known: dict[str, Job] = {}
    for job in jobs:
        try:
            if job.job_id not in ranks:
                ranks[job.job_id] = rank_job(engine, job, unix_now)
            known[job.job_id] = job
        except Exception as error:
            report_error(f"rank of job {job.job_id}", error)
    try:
        if not is_current:
            capacity = measure_capacity(engine, pool)
            earlier = outlook
            outlook = defer_jobs(engine, known, ranks, capacity, unix_now)
            if earlier is not None:
                outlook.carry_refused(earlier)
            engine.outlooks[pool] = outlook
    except Exception as error:
        report_error("choice of jobs that give way", error)
    return sorted(known.values(), key=lambda job: ranks[job.job_id])


def refresh_outlook(engine: Engine, pool: str, jobs: Iterable[Job], now: float) -> None:
    """Make the outlook of a pool whose endpoints are full, if the last one is old.

    Nothing can start there, so that its order is not needed; a job that arrives is
    refused by the outlook.

    Parameters
    ----------
    now : float
        Seconds of the boot clock.
    """
    outlook = engine.outlooks.get(pool)
    unix_now = engine.to_unix_time(now)
    if outlook and 0 <= unix_now - outlook.planned_at < OUTLOOK_REFRESH_S:
        return
    sort_jobs(engine, pool, jobs, now)


def rank_job(engine: Engine, job: Job, unix_now: float) -> Rank:
    """Return the sort key of a job as if it were alone in its pool."""
    if job.is_long_running:
        return Rank(LONG_RUNNING, 0, job.accepted_at, job.job_id)
    queue = engine.find_queue(job)
    due = job.accepted_at
    if job.description.schedule:
        due = max(due, job.find_due(min(job.waiting.list_steps()).occurrence))
    objective = due + find_objective(job, queue)
    rank = ON_TIME if job.is_within_share else BEYOND_SHARE
    if unix_now + estimate_remaining_time(engine, job, unix_now) > objective:
        rank = LATE_RANKS[rank]
    return Rank(rank, queue.priority if queue else 0, objective, job.job_id)
