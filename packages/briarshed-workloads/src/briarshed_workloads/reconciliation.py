"""Corrects the leader's state where its parts contradict each other.

The state of jobs, runs and capacity is updated by events. An unexpected error in the
handling of an event can leave one part without the update of another. Without a
correction a task would then never start again, or capacity would stay reserved.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from briarshed_workloads.engine import ORDER_TIMEOUT_S, Engine
from briarshed_workloads.fleet import ORDERED, Endpoint
from briarshed_workloads.jobs import Job
from briarshed_workloads.workloads import NO_RESOURCES, Resources, add

TASKS_PER_PART = 1_000
"""Tasks of a job that are checked at a time; their check takes some milliseconds."""


def correct_state(
    engine: Engine, pending: Collection[str], now: float
) -> Iterator[None]:
    """Correct contradictions between jobs, runs and capacity, and report each.

    This yields after each job, and within large ones, so that other tasks can run in
    between.

    Parameters
    ----------
    pending : collection of str
        Jobs whose acceptance is not durable yet, so that they must not start.
    now : float
        Seconds of the boot clock.
    """
    engine.job_memory.correct(
        job.measure() for job in engine.jobs.values() if job.is_open
    )
    _correct_runs(engine)
    _correct_usage(engine)
    for endpoint in engine.endpoints.values():
        for run in endpoint.runs.values():
            if run.state == ORDERED and now - run.ordered_at > ORDER_TIMEOUT_S:
                _report(engine, "run", run.task.job, ORDERED, "doubtful")
                engine.note_outcome_unknown(run, now)
    unix_now = engine.to_unix_time(now)
    for job in list(engine.jobs.values()):
        # It may have been removed since the last one was corrected.
        is_kept = engine.jobs.get(job.job_id) is job
        if is_kept and job.is_open and job.job_id not in pending:
            yield from _correct_job(engine, job, unix_now)


def _report(
    engine: Engine, what: str, subject: str, before: object, after: object
) -> None:
    engine.report(
        "STATE_CORRECTED",
        what=what,
        subject=subject,
        before=str(before),
        after=str(after),
    )


def _correct_runs(engine: Engine) -> None:
    """Make the runs of tasks agree with the runs of endpoints."""
    found = {
        run for endpoint in engine.endpoints.values() for run in endpoint.runs.values()
    }
    by_task = {run for runs in engine.runs.values() for run in runs}
    by_step = {run for runs in engine.step_runs.values() for run in runs}
    for run in found - (by_task & by_step):
        _report(engine, "runs", run.task.job, "missing", run.endpoint.name)
        engine.unindex_run(run)
        engine.index_run(run)
    for run in (by_task | by_step) - found:
        _report(engine, "runs", run.task.job, run.endpoint.name, "removed")
        engine.unindex_run(run)


def _sum_needs(endpoint: Endpoint) -> Resources:
    total = NO_RESOURCES
    for run in endpoint.runs.values():
        total = add(total, run.need)
    return total


def _correct_usage(engine: Engine) -> None:
    """Make reserved resources agree with the runs that reserve them."""
    by_team: dict[str, Resources] = {}
    for endpoint in engine.endpoints.values():
        used = _sum_needs(endpoint)
        if used != endpoint.used:
            _report(engine, "capacity", endpoint.name, endpoint.used, used)
            endpoint.used = used
        for run in endpoint.runs.values():
            by_team[run.team] = add(by_team.get(run.team, NO_RESOURCES), run.need)
    for team in engine.usage.list_teams() | by_team.keys():
        before, after = engine.usage.read(team), by_team.get(team, NO_RESOURCES)
        if before != after:
            _report(engine, "usage", team, before, after)
            engine.usage.replace(team, after)


def _correct_job(engine: Engine, job: Job, unix_now: float) -> Iterator[None]:
    """Make an open job active, open its steps and let its idle tasks wait.

    This yields after every `TASKS_PER_PART` tasks. The state of each task is read in
    one piece.
    """
    active = engine.open_jobs.setdefault(job.pool, {})
    if job.job_id not in active:
        _report(engine, "job", job.job_id, "inactive", "active")
        active[job.job_id] = job
    is_finished = job.finish_if_done(unix_now)
    if is_finished:
        _report(engine, "job", job.job_id, "open", job.state)
        engine.unsaved_jobs[job.job_id] = None
    for number, task in enumerate(job.list_tasks()):
        if number % TASKS_PER_PART == 0:
            yield
        is_idle = (
            task not in job.waiting
            and task not in engine.runs
            and not job.has_succeeded(task)
        )
        if is_idle:
            _report(engine, "task", job.job_id, "idle", "waiting")
            job.requeue(task)
    yield
