"""Shortage: what the jobs of a pool ask of it, and which of them give way."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from briarshed_workloads.engine import Engine
from briarshed_workloads.estimates import estimate_remaining_time, estimate_task
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.expected_wait import Claim, find_deferred, sum_work
from briarshed_workloads.jobs import Job, find_need, find_objective
from briarshed_workloads.sizing import is_available
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Instance,
    Resources,
    Step,
    add,
    subtract,
)

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

OUTLOOK_CACHE_S = 0.05
"""Time for which the choice of the jobs that give way stands, since plans are frequent
and each choice takes all jobs of the pool."""

JOBS_PER_CHOICE, MAX_OUTLOOK_CACHE_S = 500, 0.5
"""Number of jobs from which on a choice stands for longer, in proportion to it, and the
longest time, so that the choices take a bounded part of the leader's time."""

OUTLOOK_REFRESH_S = 0.25
"""Age from which the outlook of a pool is made again although nothing can start there:
a part of the age up to which jobs that arrive are refused by it."""

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


class PoolOutlook(NamedTuple):
    """What a plan expects of the jobs of a pool.

    Attributes
    ----------
    planned_at : float
        Time of the plan in Unix seconds.
    capacity : Resources
        What the pool has for jobs that end.
    means : dict
        Mean work of a job of each queue, in seconds of the whole pool.
    in_time : dict
        Claims of the jobs that are done by their objective, by id.
    late : dict
        Claims of those that are done later, while their result has a value.
    lowered : dict
        Ranks of the jobs that give way, by id.
    ranks : dict
        Ranks of all jobs, by id; those that arrive while the choice stands are added.
    refused : dict
        Work of the refused jobs whose callers have been told a later time, by tier.
    """

    planned_at: float
    capacity: Resources
    means: dict[str, float]
    in_time: dict[str, Claim]
    late: dict[str, Claim]
    lowered: dict[str, int]
    ranks: dict[str, Rank]
    refused: dict[tuple[int, ...], float]

    def is_current(self, unix_now: float) -> bool:
        """Return whether the choice of the jobs that give way still stands."""
        longest = OUTLOOK_CACHE_S * max(1.0, len(self.ranks) / JOBS_PER_CHOICE)
        return 0 <= unix_now - self.planned_at < min(longest, MAX_OUTLOOK_CACHE_S)

    def note_refused(self, claim: Claim) -> float:
        """Note a refused job, and return the work of those refused before it.

        More urgent ones count also if they were refused later.
        """
        before = sum(work for tier, work in self.refused.items() if tier <= claim.tier)
        self.refused[claim.tier] = self.refused.get(claim.tier, 0.0) + claim.work
        return before

    def carry_refused(self, earlier: PoolOutlook) -> None:
        """Take over the refused jobs that have not been told to come back by now."""
        done = max(0.0, self.planned_at - earlier.planned_at)
        for tier, work in sorted(earlier.refused.items()):
            left = max(0.0, work - done)
            done = max(0.0, done - work)
            if left:
                self.refused[tier] = left

    def count_expired(self) -> int:
        """Return the number of jobs whose result will be worth nothing."""
        return sum(rank == EXPIRED for rank in self.lowered.values())


class JobWork(NamedTuple):
    """Work of a job in seconds of the whole pool: all of it, and what waits."""

    whole: float
    waiting: float


def measure_capacity(engine: Engine, pool: str) -> Resources:
    """Return what a pool has for jobs that end, instances that move in included.

    Endpoints that are not polled yet count, so that a new leader does not take its lack
    of knowledge for a shortage.
    """
    total = engine.incoming.get(pool, NO_RESOURCES)
    for endpoint in engine.endpoints.values():
        if endpoint.registration.pool != pool or not is_available(endpoint):
            continue
        if is_evacuated(engine, endpoint):
            continue
        total = add(total, endpoint.registration.capacity)
        for run in endpoint.runs.values():
            if run.step.long_running:
                total = subtract(total, run.need)
    return total


def measure_incoming(instances: Iterable[Instance]) -> dict[str, Resources]:
    """Return the capacity that moves into each pool."""
    incoming: dict[str, Resources] = {}
    for row in instances:
        if row.state == "moving":
            incoming[row.pool] = add(incoming.get(row.pool, NO_RESOURCES), row.capacity)
    return incoming


def measure_work(
    engine: Engine, job: Job, capacity: Resources, unix_now: float
) -> JobWork:
    """Return the work of a job's first open occurrence; it is cached."""
    cached = job.cached_work
    if cached is not None and 0 <= unix_now - cached[0] < WORK_CACHE_S:
        return cached[1]
    occurrence = job.occurrences.find_first()
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
) -> PoolOutlook:
    """Lower the ranks of jobs that would make others late.

    Nothing changes where the pool can serve all of them in time.

    Parameters
    ----------
    jobs : mapping
        Jobs of one pool by id.
    ranks : dict
        Ranks by the id of the job; they are changed.
    capacity : Resources
        What the pool has for jobs that end.

    Returns
    -------
    PoolOutlook
        What is expected of the jobs then.
    """
    work = {
        job_id: measure_work(engine, jobs[job_id], capacity, unix_now)
        for job_id, row in ranks.items()
        if row.rank != LONG_RUNNING
    }
    means = _find_mean_work(jobs, work)

    def claim(row: Rank, factor: float) -> Claim:
        job = jobs[row.job_id]
        mean = means[job.queue]
        return make_claim(engine, job, row, work[row.job_id], mean, factor, unix_now)

    in_time = {
        row.job_id: claim(row, 1.0) for row in ranks.values() if row.rank in LATE_RANKS
    }
    outlook = find_deferred(in_time.values())
    for job_id in outlook.deferred:
        row = ranks[job_id]
        ranks[job_id] = row._replace(rank=LATE_RANKS[row.rank])
        del in_time[job_id]
    late = {
        row.job_id: claim(row, LATE_FACTOR)
        for row in ranks.values()
        if row.rank in LATE_RANKS.values()
    }
    expired = find_deferred(late.values(), outlook.work).deferred
    for job_id in expired:
        ranks[job_id] = ranks[job_id]._replace(rank=EXPIRED)
        del late[job_id]
    lowered = {job_id: ranks[job_id].rank for job_id in (*outlook.deferred, *expired)}
    return PoolOutlook(unix_now, capacity, means, in_time, late, lowered, ranks, {})


def make_claim(
    engine: Engine,
    job: Job,
    row: Rank,
    work: JobWork,
    mean: float,
    factor: float,
    unix_now: float,
) -> Claim:
    """Return what a job asks, to be done within a multiple of its objective.

    Parameters
    ----------
    mean : float
        Mean work of a job of its queue.
    """
    late_by = (factor - 1.0) * find_objective(job, engine.find_queue(job))
    return Claim(
        job.job_id,
        (row.rank, row.priority),
        row.due_at + late_by - unix_now,
        estimate_remaining_time(engine, job, unix_now),
        work.waiting,
        FIXED_PART * mean + (1 - FIXED_PART) * work.whole,
    )


def list_shortages(engine: Engine) -> Iterator[dict[str, object]]:
    """Yield, for the log, the pools that cannot do all their jobs in time."""
    for pool, outlook in engine.outlooks.items():
        expired = outlook.count_expired()
        if outlook.late or expired:
            yield {
                "pool": pool,
                "in_time": len(outlook.in_time),
                "work": round(sum_work(outlook.in_time.values()), 2),
                "late": len(outlook.late),
                "expired": expired,
            }


def _find_mean_work(
    jobs: Mapping[str, Job], work: Mapping[str, JobWork]
) -> dict[str, float]:
    """Return the mean work of a job for each queue."""
    rows: dict[str, list[float]] = {}
    for job_id, row in work.items():
        rows.setdefault(jobs[job_id].queue, []).append(row.whole)
    return {queue: sum(values) / len(values) for queue, values in rows.items()}
