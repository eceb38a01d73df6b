"""Retention: which ended jobs and withdrawn ids the engine no longer keeps."""

from __future__ import annotations

from briarshed_workloads.engine import Engine


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


def forget_withdrawn(engine: Engine, unix_now: float, keep: float) -> list[str]:
    """Remove ids that were withdrawn over ``keep`` seconds ago, and return them."""
    old = [job_id for job_id, at in engine.withdrawn.items() if at < unix_now - keep]
    for job_id in old:
        del engine.withdrawn[job_id]
    return old
