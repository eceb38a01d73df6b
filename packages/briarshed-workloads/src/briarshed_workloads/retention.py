"""Retention: what the engine no longer keeps of ended jobs and withdrawn ids."""

from __future__ import annotations

from collections.abc import Collection

from briarshed_workloads.engine import Engine
from briarshed_workloads.jobs import EMPTY_DESCRIPTION


def forget_ended(engine: Engine, unix_now: float, keep: float) -> list[str]:
    """Remove jobs that ended over ``keep`` seconds ago; return their ids."""
    old = [
        job.job_id
        for job in engine.jobs.values()
        if not job.is_open and 0 < job.ended_at < unix_now - keep
    ]
    for job_id in old:
        del engine.jobs[job_id]
    return old


def retire_ended(engine: Engine, pending: Collection[str]) -> None:
    """Forget all but the outcome of ended jobs without runs.

    Parameters
    ----------
    pending : collection of str
        Jobs whose acceptance is not durable yet.
    """
    running = {job_id for job_id, _, _ in engine.step_runs}
    for job in engine.jobs.values():
        is_retired = job.description is EMPTY_DESCRIPTION
        if job.is_open or is_retired or job.job_id in pending:
            continue
        if job.job_id not in running:
            job.retire()


def forget_withdrawn(engine: Engine, unix_now: float, keep: float) -> list[str]:
    """Remove ids that were withdrawn over ``keep`` seconds ago, and return them."""
    old = [job_id for job_id, at in engine.withdrawn.items() if at < unix_now - keep]
    for job_id in old:
        del engine.withdrawn[job_id]
    return old
