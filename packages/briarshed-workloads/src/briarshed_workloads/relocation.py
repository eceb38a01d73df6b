"""Relocation: which long-running tasks leave an evacuated data centre, and when."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from briarshed_workloads.engine import Engine
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import STOPPING, Endpoint, Run
from briarshed_workloads.jobs import find_need
from briarshed_workloads.placement import (
    PlaceCounts,
    can_start,
    could_start_if_empty,
    count_places,
    list_eligible,
)
from briarshed_workloads.workloads import Resources, Step, TaskId

WAITING_CHECK_INTERVAL_S = 0.25
"""Interval of looking at a pool's waiting tasks. Plans that changes cause are made as
often as every 8 ms, and a look at a crowd of tasks takes longer than that."""

NeedKey = tuple[Resources, str]
"""Need and label of a step."""


def limit_relocations(
    engine: Engine, now: float, retry_at: dict[str, float] | None = None
) -> Callable[[Run], bool]:
    """Return a function that tells whether a long-running task may relocate now.

    One task of a pool relocates at a time, and only if an endpoint elsewhere has
    capacity for it: a task that must wait for capacity serves nobody. The function
    counts a task for which it has returned True.

    Parameters
    ----------
    retry_at : dict, optional
        When the tasks of a pool that wait for capacity are looked at again, in seconds
        of the boot clock. The plans of a leader share it. Only that a task waits is
        kept: once none does, a task relocates, which can wait itself.
    """
    retries = {} if retry_at is None else retry_at
    relocating: dict[str, bool] = {}
    may_start: dict[str, Callable[[Step, PlaceCounts], bool]] = {}

    def may_relocate(run: Run) -> bool:
        pool = run.endpoint.registration.pool
        if pool not in relocating:
            is_blocked = now < retries.get(pool, 0.0)
            relocating[pool] = is_blocked or _is_stopping(engine, pool)
        if relocating[pool]:
            return False
        if pool not in may_start:
            endpoints = list_eligible(engine, pool, now)
            may_start[pool] = _find_places(endpoints, can_start)
        if not may_start[pool](run.step, _count_limited(engine, run.task, run.step)):
            return False
        # The task relocates, or one that waits needs the room more.
        relocating[pool] = True
        if _is_waiting(engine, pool, now):
            retries[pool] = now + WAITING_CHECK_INTERVAL_S
            return False
        return True

    return may_relocate


def _find_places(
    endpoints: Sequence[Endpoint],
    check: Callable[[Step, Resources, Endpoint, PlaceCounts], bool],
) -> Callable[[Step, PlaceCounts], bool]:
    """Return a function that tells whether a check holds at an endpoint for a step.

    Each endpoint is looked at once for each need and label. The limit per endpoint is
    compared with the runs of the step.
    """
    found: dict[NeedKey, list[Endpoint]] = {}

    def has_place(step: Step, counts: PlaceCounts) -> bool:
        need = find_need(step)
        key = need, step.label
        if key not in found:
            found[key] = [row for row in endpoints if check(step, need, row, {})]
        limit = step.per_endpoint
        return any(not limit or counts.get(row.name, 0) < limit for row in found[key])

    return has_place


def _count_limited(engine: Engine, task: TaskId, step: Step) -> PlaceCounts:
    """Return where the runs of a step are, if that limits where its tasks start."""
    return count_places(engine, task, step) if step.per_endpoint else {}


def _is_waiting(engine: Engine, pool: str, now: float) -> bool:
    """Return whether a long-running task of a pool waits for capacity.

    One that no available endpoint could run if it were empty does not compete for their
    capacity.
    """
    endpoints = list_eligible(engine, pool, now)
    may_start = _find_places(endpoints, could_start_if_empty)
    for job in engine.list_open(pool).values():
        if not job.is_long_running:
            continue
        for key in job.waiting.list_steps():
            task = next(job.waiting.iterate(key))
            step = job.find_step(task)
            counts = _count_limited(engine, task, step)
            if step.long_running and may_start(step, counts):
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
