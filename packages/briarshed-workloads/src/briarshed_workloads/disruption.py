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

MAX_LIST_AGE_S = 2.6
"""Age from which on a list of runs tells nothing of what serves: two polls and some
slack. A run without polls ends after the run lease of 4 s."""

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
    engine: Engine,
    now: float,
    is_urgent: Callable[[Endpoint], bool],
    stop_grace: float,
    relocation_retry_at: dict[str, float] | None = None,
) -> list[StopOrder]:
    """Return the runs to stop on endpoints that are drained or evacuated.

    Long-running tasks are evicted within the outage budget of their step, and tasks
    with checkpoints at once. Others may finish, unless the endpoint is urgent. Of an
    evacuated endpoint, only long-running tasks are evicted, see `limit_relocations`.

    Parameters
    ----------
    now : float
        Seconds of the boot clock.
    is_urgent : callable
        Returns whether an endpoint must not wait for its runs to end.
    stop_grace : float
        Longest time in seconds that an endpoint takes to stop a run.
    relocation_retry_at : dict, optional
        State of `limit_relocations` between plans.
    """
    may_relocate = limit_relocations(engine, now, relocation_retry_at)
    orders: list[StopOrder] = []
    unavailable: dict[StepKey, int] = {}
    stopped: dict[StepKey, int] = {}
    vacated = [
        endpoint
        for endpoint in engine.endpoints.values()
        if endpoint.registration.draining
        or endpoint.evicting
        or is_evacuated(engine, endpoint)
    ]
    # Endpoints that shut down come first: their tasks are stopped beyond the budget
    # too, which leaves less of it for the others.
    vacated.sort(key=lambda endpoint: not endpoint.registration.draining)
    for endpoint in vacated:
        is_draining = endpoint.registration.draining
        must_drain = is_draining or endpoint.evicting
        for run in endpoint.runs.values():
            if run.state != PRESENT or run.stop_requested_at:
                continue
            job = engine.jobs.get(run.task.job)
            if job is None:
                continue
            key = run.task[:3]
            if run.step.long_running:
                if key not in unavailable:
                    unavailable[key] = count_unavailable(
                        engine, job, key, now, stop_grace
                    )
                is_serving = any(
                    is_certain_to_serve(other, now, stop_grace)
                    for other in engine.runs.get(run.task, ())
                )
                others = unavailable[key] - (not is_serving) + stopped.get(key, 0)
                budget = run.step.outage_budget
                if (is_draining or budget < 0 or others < budget) and (
                    must_drain or may_relocate(run)
                ):
                    # A task that does not serve counts as unavailable already.
                    stopped[key] = stopped.get(key, 0) + is_serving
                    orders.append(StopOrder(run, "endpoint is drained"))
            elif must_drain and (run.step.checkpointing or is_urgent(endpoint)):
                orders.append(StopOrder(run, "endpoint is drained"))
    return orders


def count_unavailable(
    engine: Engine, job: Job, key: StepKey, now: float, stop_grace: float
) -> int:
    """Return how many tasks of a long-running step may not serve."""
    serving = {
        run.task.index
        for run in engine.step_runs.get(key, ())
        if is_certain_to_serve(run, now, stop_grace)
    }
    return job.description.steps[key[2]].count - len(serving)


def is_certain_to_serve(run: Run, now: float, stop_grace: float) -> bool:
    """Return whether a run serves, as recently listed, and nothing is about to end it.

    An outage budget counts every other task as unavailable: a new leader does not know
    which runs the one before it has asked to stop, and a run that has not been listed
    for long may have ended.
    """
    endpoint = run.endpoint
    return (
        run.is_serving
        and not run.stop_requested_at
        and not endpoint.failing_since
        and now - endpoint.polled_at < MAX_LIST_AGE_S
        and endpoint.has_settled_stops(stop_grace)
    )


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
