"""Admission: which jobs are refused as they arrive in a shortage."""

from __future__ import annotations

from briarshed_workloads.configuration import find_weight
from briarshed_workloads.engine import Engine
from briarshed_workloads.expected_wait import find_deferred, sum_work
from briarshed_workloads.jobs import Job, find_objective
from briarshed_workloads.shortage import (
    BEYOND_SHARE,
    LATE_FACTOR,
    LATE_RANKS,
    ON_TIME,
    PoolOutlook,
    Rank,
    make_claim,
    measure_work,
)

MIN_RETRY_AFTER_S = 1.0
"""Least retry delay; callers who return sooner meet the same shortage."""

MAX_RETRY_SPREAD_S = 10.0
"""Longest time by which the returns of refused callers are spread. Load may have ended
by then, and a pool should not be idle while callers wait."""

MAX_OUTLOOK_AGE_S = 1.0
"""Age from which an outlook tells nothing: its pool has not been planned since."""


def find_retry_delay(
    engine: Engine, job: Job, asked_at: float, unix_now: float
) -> float | None:
    """Return after how many seconds to submit a new job again, or None to accept it.

    A job is refused if others of its pool are late already, and its result would be
    worth nothing by the time at which it would be done, unless those that would be late
    instead are worth less for their work. Nothing is
    refused without a recent plan of its pool. Jobs that run until cancelled and
    schedules are not refused.

    Parameters
    ----------
    job : Job
        The job, which is not accepted yet. If it should be, the outlook of its pool
        counts it from now on.
    asked_at : float
        When its caller first asked for it, in Unix seconds of this leader. The time of
        the submission does not tell, since the clocks of entries differ.
    """
    outlook = engine.outlooks.get(job.pool)
    if outlook is None or job.is_long_running or job.description.schedule:
        return None
    if not 0 <= unix_now - outlook.planned_at <= MAX_OUTLOOK_AGE_S:
        return None
    _remove_closed(engine, outlook)
    has_shortage = bool(outlook.late or outlook.lowered)
    queue = engine.find_queue(job)
    objective = find_objective(job, queue)
    weight = find_weight(engine.configuration, job.team)
    is_within_share = engine.shares.has_share(job.job_id, job.team, weight, unix_now)
    rank = Rank(
        ON_TIME if is_within_share else BEYOND_SHARE,
        queue.priority if queue else 0,
        asked_at + objective,
        job.job_id,
    )
    work = measure_work(engine, job, outlook.capacity, unix_now)
    mean = outlook.means.get(job.queue, work.whole)
    claim = make_claim(engine, job, rank, work, mean, 1.0, outlook.planned_at)
    before = sum_work(outlook.in_time.values()) + claim.work
    # A caller that has come back is not refused while a new one would be in time.
    limit = max(claim.due_in, objective)
    if not has_shortage or before + claim.path <= limit:
        outlook.in_time[job.job_id] = claim
        return None
    found = find_deferred([*outlook.in_time.values(), claim])
    if job.job_id not in found.deferred:
        outlook.in_time[job.job_id] = claim
        return None
    rank = rank._replace(rank=LATE_RANKS[rank.rank])
    late = make_claim(engine, job, rank, work, mean, LATE_FACTOR, outlook.planned_at)
    later = find_deferred([*outlook.late.values(), late], found.work)
    if job.job_id not in later.deferred:
        outlook.late[job.job_id] = late
        return None
    engine.shares.note_refused(job.job_id, job.team, weight, unix_now)
    # The jobs that are in time keep the pool busy until a new one can be, and those
    # that were refused earlier come back before it.
    refused = outlook.note_refused(claim) % MAX_RETRY_SPREAD_S
    return max(MIN_RETRY_AFTER_S, before + claim.path - objective) + refused


def _remove_closed(engine: Engine, outlook: PoolOutlook) -> None:
    """Remove jobs that were cancelled or have ended since the plan."""
    for claims in (outlook.in_time, outlook.late):
        for job_id in list(claims):
            job = engine.jobs.get(job_id)
            if job is None or not job.is_open:
                del claims[job_id]
