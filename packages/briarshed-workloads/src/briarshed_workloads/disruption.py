"""Planned interruptions: emptying endpoints within budgets, pacing of fillers."""

from __future__ import annotations

from collections.abc import Callable

from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import (
    PRESENT,
    Endpoint,
    PaceOrder,
    Run,
    StopOrder,
)
from briarshed_workloads.jobs import Job
from briarshed_workloads.workloads import TaskId

TAIL_HIGH = 0.85
"""Share of a tail target above which fillers beside the task are slowed."""

TAIL_LOW = 0.6
"""Share of the target below which they are sped up again."""

PACE_DOWN = 0.4
"""Factor on a filler's pace at each reading above the high mark."""

PACE_UP = 15
"""Percent points added to a filler's pace at each reading below the low mark."""

PACE_INTERVAL_S = 0.6
"""Time between changes of one filler's pace; readings cover the last half second."""


def list_evictions(
    engine: Engine, now: float, is_urgent: Callable[[Endpoint], bool]
) -> list[StopOrder]:
    """Return the runs to stop so that leaving endpoints become empty.

    Long-running tasks are moved within the outage budget of their step; tasks that
    save checkpoints are stopped; others may finish, unless the endpoint is urgent.
    """
    orders: list[StopOrder] = []
    stopped: dict[tuple[str, int, int], int] = {}
    for endpoint in engine.endpoints.values():
        leaving = endpoint.registration.draining
        if not (leaving or endpoint.evicting):
            continue
        for run in endpoint.runs.values():
            if run.state != PRESENT or run.stop_requested_at:
                continue
            job = engine.jobs.get(run.task.job)
            if job is None:
                continue
            key = run.task[:3]
            if run.step.long_running:
                away = count_unavailable(engine, job, run.task) + stopped.get(key, 0)
                budget = run.step.outage_budget
                if leaving or budget < 0 or away < budget:
                    stopped[key] = stopped.get(key, 0) + 1
                    orders.append(StopOrder(run, "endpoint is leaving"))
            elif run.step.checkpointing or is_urgent(endpoint):
                orders.append(StopOrder(run, "endpoint is leaving"))
    return orders


def count_unavailable(engine: Engine, job: Job, task: TaskId) -> int:
    """Return how many other tasks of a long-running step are not at work."""
    step = job.find_step(task)
    away = 0
    for index in range(step.count):
        other = task._replace(index=index)
        if index != task.index and not _is_at_work(engine, other):
            away += 1
    return away


def _is_at_work(engine: Engine, task: TaskId) -> bool:
    return any(
        run.is_serving and not run.stop_requested_at and not run.endpoint.failing_since
        for run in engine.runs.get(task, ())
    )


def list_pacing(engine: Engine, now: float) -> list[PaceOrder]:
    """Return changes of pace for fillers, by the tails of the tasks beside them."""
    orders: list[PaceOrder] = []
    for endpoint in engine.endpoints.values():
        fillers = [run for run in endpoint.runs.values() if _may_pace(run, now)]
        if not fillers:
            continue
        strain = max(
            (
                run.load / 1000 / run.step.tail_latency_target
                for run in endpoint.runs.values()
                if run.step.tail_latency_target > 0 and run.state == PRESENT
            ),
            default=0.0,
        )
        for run in fillers:
            percent = choose_pace(run.pace, strain)
            if percent != run.pace:
                orders.append(PaceOrder(run, percent))
    return orders


def _may_pace(run: Run, now: float) -> bool:
    return (
        run.step.best_effort
        and run.state == PRESENT
        and now - run.paced_at >= PACE_INTERVAL_S
    )


def choose_pace(pace: int, strain: float) -> int:
    """Return the next pace in percent for the highest tail over its target.

    The pace falls by a factor, so that harm ends within a few readings, and rises in
    steps, so that it settles below the mark.
    """
    if strain >= TAIL_HIGH:
        return int(pace * PACE_DOWN) if pace > 5 else 0
    if strain <= TAIL_LOW:
        return min(100, pace + PACE_UP)
    return pace
