"""Planned disruptions: eviction within outage budgets, pace of best-effort runs."""

from __future__ import annotations

from collections.abc import Callable

from briarshed_workloads.engine import Engine, StepKey
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import (
    PRESENT,
    Endpoint,
    PaceOrder,
    Run,
    StopOrder,
)
from briarshed_workloads.jobs import Job
from briarshed_workloads.relocation import limit_relocations
from briarshed_workloads.workloads import TaskId

TAIL_LATENCY_HIGH = 0.85
"""Share of a tail latency target from which best-effort runs beside it are slowed."""

TAIL_LATENCY_LOW = 0.6
"""Share of the target up to which they are sped up again."""

PACE_DOWN = 0.4
"""Factor on the pace for each reading from `TAIL_LATENCY_HIGH` on."""

PACE_UP = 15
"""Percentage points added to the pace for each reading up to `TAIL_LATENCY_LOW`."""

PACE_INTERVAL_S = 0.6
"""Minimum time between changes of a run's pace; readings cover the last 0.5 s."""


def list_evictions(
    engine: Engine, now: float, is_urgent: Callable[[Endpoint], bool]
) -> list[StopOrder]:
    """Return the runs to stop on endpoints that are drained or evacuated.

    Long-running tasks are evicted within the outage budget of their step, and tasks
    with checkpoints at once. Others may finish, unless the endpoint is urgent. Of an
    evacuated endpoint, only long-running tasks are evicted, see `limit_relocations`.
    """
    may_relocate = limit_relocations(engine, now)
    orders: list[StopOrder] = []
    unavailable: dict[StepKey, int] = {}
    stopped: dict[StepKey, int] = {}
    for endpoint in engine.endpoints.values():
        is_draining = endpoint.registration.draining
        must_drain = is_draining or endpoint.evicting
        if not (must_drain or is_evacuated(engine, endpoint)):
            continue
        for run in endpoint.runs.values():
            if run.state != PRESENT or run.stop_requested_at:
                continue
            job = engine.jobs.get(run.task.job)
            if job is None:
                continue
            key = run.task[:3]
            if run.step.long_running:
                if key not in unavailable:
                    unavailable[key] = count_unavailable(engine, job, key)
                others = unavailable[key] - (not _is_serving(engine, run.task))
                others += stopped.get(key, 0)
                budget = run.step.outage_budget
                if (is_draining or budget < 0 or others < budget) and (
                    must_drain or may_relocate(run)
                ):
                    stopped[key] = stopped.get(key, 0) + 1
                    orders.append(StopOrder(run, "endpoint is drained"))
            elif must_drain and (run.step.checkpointing or is_urgent(endpoint)):
                orders.append(StopOrder(run, "endpoint is drained"))
    return orders


def count_unavailable(engine: Engine, job: Job, key: StepKey) -> int:
    """Return how many tasks of a long-running step do not serve."""
    serving = {run.task.index for run in engine.step_runs.get(key, ()) if _serves(run)}
    return job.description.steps[key[2]].count - len(serving)


def _is_serving(engine: Engine, task: TaskId) -> bool:
    return any(_serves(run) for run in engine.runs.get(task, ()))


def _serves(run: Run) -> bool:
    is_stopping = run.stop_requested_at > 0
    return run.is_serving and not is_stopping and not run.endpoint.failing_since


def list_pacing(engine: Engine, now: float) -> list[PaceOrder]:
    """Return the changes of pace for best-effort runs.

    They depend on the tail latencies of the other runs at the endpoint.
    """
    orders: list[PaceOrder] = []
    for endpoint in engine.endpoints.values():
        best_effort_runs = [
            run for run in endpoint.runs.values() if _may_pace(run, now)
        ]
        if not best_effort_runs:
            continue
        tail_ratio = max(
            (
                run.load / 1000 / run.step.tail_latency_target
                for run in endpoint.runs.values()
                if run.step.tail_latency_target > 0 and run.state == PRESENT
            ),
            default=0.0,
        )
        for run in best_effort_runs:
            percent = choose_pace(run.pace, tail_ratio)
            # An earlier leader may have slowed down a run that this one has found.
            is_pace_unknown = run.is_adopted and not run.paced_at
            if percent != run.pace or is_pace_unknown or run.is_pace_unknown:
                orders.append(PaceOrder(run, percent))
    return orders


def _may_pace(run: Run, now: float) -> bool:
    return (
        run.step.best_effort
        and run.state == PRESENT
        and now - run.paced_at >= PACE_INTERVAL_S
    )


def choose_pace(pace: int, tail_ratio: float) -> int:
    """Return the next pace in percent.

    ``tail_ratio`` is the highest ratio of a tail latency to its target. The pace falls
    by a factor, so that latency recovers within a few readings, and rises in steps, so
    that it settles below `TAIL_LATENCY_HIGH`.
    """
    if tail_ratio >= TAIL_LATENCY_HIGH:
        return int(pace * PACE_DOWN) if pace > 5 else 0
    if tail_ratio <= TAIL_LATENCY_LOW:
        return min(100, pace + PACE_UP)
    return pace
