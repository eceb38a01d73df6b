"""Relocation: which long-running tasks leave an evacuated data centre, and when."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from briarshed_workloads.engine import Engine
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import STOPPING, Endpoint, Run
from briarshed_workloads.jobs import find_need
from briarshed_workloads.placement import (
    can_start,
    could_start_if_empty,
    count_places,
    list_available,
)


def limit_relocations(engine: Engine, now: float) -> Callable[[Run], bool]:
    """Return a function that tells whether a long-running task may relocate now.

    One task of a pool relocates at a time, and only if an endpoint elsewhere has
    capacity for it: a task that must wait for capacity serves nobody. The function
    counts a task for which it has returned True.
    """
    available: dict[str, list[Endpoint]] = {}
    relocating: dict[str, bool] = {}

    def may_relocate(run: Run) -> bool:
        pool = run.endpoint.registration.pool
        if pool not in relocating:
            available[pool] = [
                endpoint
                for endpoint in list_available(engine, pool, now)
                if not endpoint.is_isolated(now)
            ]
            relocating[pool] = _is_stopping(engine, pool) or _is_waiting(
                engine, pool, available[pool]
            )
        if relocating[pool]:
            return False
        need = find_need(run.step)
        counts = count_places(engine, run.task, run.step)
        relocating[pool] = any(
            can_start(run.step, need, endpoint, counts) for endpoint in available[pool]
        )
        return relocating[pool]

    return may_relocate


def _is_waiting(engine: Engine, pool: str, available: Sequence[Endpoint]) -> bool:
    """Return whether a long-running task of a pool waits for capacity.

    One that no available endpoint could run if it were empty does not compete for their
    capacity.
    """
    for job in engine.list_open(pool).values():
        if not job.is_long_running:
            continue
        for key in job.waiting.list_steps():
            task = next(job.waiting.iterate(key))
            step = job.find_step(task)
            if not step.long_running:
                continue
            need = find_need(step)
            counts = count_places(engine, task, step)
            if any(could_start_if_empty(step, need, row, counts) for row in available):
                return True
    return False


def _is_stopping(engine: Engine, pool: str) -> bool:
    """Return whether a long-running task of a pool stops to relocate."""
    return any(
        run.state == STOPPING and run.step.long_running
        for endpoint in engine.endpoints.values()
        if endpoint.registration.pool == pool and is_evacuated(engine, endpoint)
        for run in endpoint.runs.values()
    )
