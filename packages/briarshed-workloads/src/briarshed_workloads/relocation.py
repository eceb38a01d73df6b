"""Relocation: which long-running tasks leave an evacuated data centre, and when."""

from __future__ import annotations

from collections.abc import Callable

from briarshed_workloads.engine import Engine
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import STOPPING, Run
from briarshed_workloads.jobs import find_need
from briarshed_workloads.placement import can_start, count_places, list_available


def limit_relocations(engine: Engine, now: float) -> Callable[[Run], bool]:
    """Return a function that tells whether a long-running task may relocate now.

    One task of a pool relocates at a time, and only if an endpoint elsewhere has
    capacity for it: a task that must wait for capacity serves nobody. The function
    counts a task for which it has returned True.
    """
    pools: dict[str, bool] = {}

    def may_relocate(run: Run) -> bool:
        pool = run.endpoint.registration.pool
        if pool not in pools:
            pools[pool] = _is_relocating(engine, pool)
        if pools[pool]:
            return False
        need = find_need(run.step)
        counts = count_places(engine, run.task, run.step)
        pools[pool] = any(
            can_start(run.step, need, endpoint, counts)
            for endpoint in list_available(engine, pool, now)
            if not endpoint.is_isolated(now)
        )
        return pools[pool]

    return may_relocate


def _is_relocating(engine: Engine, pool: str) -> bool:
    """Return whether a long-running task of a pool stops or waits."""
    if any(
        job.is_long_running and job.waiting for job in engine.list_open(pool).values()
    ):
        return True
    return any(
        run.state == STOPPING and run.step.long_running
        for endpoint in engine.endpoints.values()
        if endpoint.registration.pool == pool and is_evacuated(engine, endpoint)
        for run in endpoint.runs.values()
    )
