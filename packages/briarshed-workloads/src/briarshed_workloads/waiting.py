"""Waiting jobs by queue, and for the log why tasks wait and endpoints get no runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from briarshed_workloads.engine import Engine
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import Endpoint, is_within
from briarshed_workloads.jobs import PENDING, Job, find_need
from briarshed_workloads.takeover import is_contested, may_have_earlier_runs

MILLICORES = 1000


class WaitingJobs(NamedTuple):
    """The waiting jobs of a queue.

    Attributes
    ----------
    count : int
        Number of open jobs of which no task is known to have started.
    oldest_at : float
        When the oldest of them was accepted, in Unix seconds.
    """

    count: int
    oldest_at: float


class PoolWaiting(NamedTuple):
    """Waiting tasks of a pool, and its endpoints.

    Attributes
    ----------
    pool : str
    tasks : dict
        Number of waiting tasks by the reason for which they wait.
    oldest : float
        Time in seconds since the oldest of their jobs was accepted.
    used, free : float
        Cores that runs have reserved, and that endpoints for new runs have free.
    endpoints : dict
        Number of endpoints by their state.
    """

    pool: str
    tasks: dict[str, int]
    oldest: float
    used: float
    free: float
    endpoints: dict[str, int]


def count_waiting(engine: Engine) -> dict[str, WaitingJobs]:
    """Return the waiting jobs of each queue that has any."""
    found: dict[str, WaitingJobs] = {}
    for jobs in engine.open_jobs.values():
        for job in jobs.values():
            if job.state == PENDING:
                known = found.get(job.queue, WaitingJobs(0, job.accepted_at))
                found[job.queue] = WaitingJobs(
                    known.count + 1, min(known.oldest_at, job.accepted_at)
                )
    return found


def list_waiting(engine: Engine, now: float) -> Iterator[PoolWaiting]:
    """Yield a summary of each pool in which tasks wait."""
    unix_now = engine.to_unix_time(now)
    for pool in list(engine.open_jobs):
        jobs = [job for job in engine.list_open(pool).values() if job.waiting]
        if not jobs:
            continue
        may_run_already = may_have_earlier_runs(engine, pool, now)
        tasks: Counter[str] = Counter()
        for job in jobs:
            tasks[_find_reason(engine, job, may_run_already, now)] += len(job.waiting)
        states: Counter[str] = Counter()
        used = free = 0
        for endpoint in engine.endpoints.values():
            if endpoint.registration.pool != pool:
                continue
            state = find_endpoint_state(engine, endpoint, now)
            states[state] += 1
            used += endpoint.used.cpu
            free += endpoint.find_free().cpu if state == "eligible" else 0
        yield PoolWaiting(
            pool,
            dict(tasks),
            round(unix_now - min(job.accepted_at for job in jobs), 2),
            used / MILLICORES,
            free / MILLICORES,
            dict(states),
        )


def _find_reason(engine: Engine, job: Job, may_run_already: bool, now: float) -> str:
    """Return why the first waiting task of a job waits."""
    if is_contested(engine, job.pool, now):
        return "earlier leader"
    if may_run_already and job.is_restored:
        return "earlier leader's runs"
    task = next(iter(job.waiting))
    if job.is_held(task, now):
        return "crash just after its start"
    if job.must_isolate(task, now):
        return "isolation"
    step = job.find_step(task)
    maximum = engine.find_team_limit(job.team)
    if not is_within(engine.usage.estimate(job.team), find_need(step), maximum):
        return "limit of the team"
    return "capacity"


def find_endpoint_state(engine: Engine, endpoint: Endpoint, now: float) -> str:
    """Return why an endpoint gets no new runs, or ``eligible``."""
    reputation = endpoint.reputation
    reasons = {
        "gone": endpoint.is_gone,
        "not registered": not endpoint.is_listed,
        "unresponsive": endpoint.failing_since > 0,
        "draining": endpoint.registration.draining,
        "evacuated": is_evacuated(engine, endpoint),
        "in maintenance": endpoint.evicting,
        "moving": endpoint.retiring,
        "not fenced": not endpoint.is_fenced,
        "isolated": endpoint.is_isolated(now),
        "ejected": reputation.ejected_until > now,
        "full": endpoint.full_until > now,
        "not recorded": endpoint.name not in engine.roster,
        "unknown runs": not endpoint.has_known_capacity,
    }
    return next((reason for reason, holds in reasons.items() if holds), "eligible")
