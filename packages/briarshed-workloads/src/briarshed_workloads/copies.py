"""Copies of overdue runs of speculative steps."""

from __future__ import annotations

from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Run, StartOrder, is_within
from briarshed_workloads.jobs import Job, find_need
from briarshed_workloads.outliers import list_slow, measure_slowness, project_ratio
from briarshed_workloads.placement import (
    EligibleEndpoints,
    choose_endpoint,
    count_places,
    list_eligible,
    measure_penalties,
)
from briarshed_workloads.planning import measure_unknown_usage, reserve_run
from briarshed_workloads.room_forecast import RoomForecast
from briarshed_workloads.takeover import is_contested

OVERDUE_FACTOR = 2.0
"""Ratio of a run's time to the expected one above which a copy is started."""

SILENT_ENDPOINT_S = 0.3
"""Time without a response after which the runs of an endpoint are copied; the next poll
makes up for a lost response within this time."""

MIN_EXPECTED_S = 0.2
"""Run time below which a copy would start too late to help."""


def plan_copies(engine: Engine, now: float) -> list[StartOrder]:
    """Reserve copies of overdue runs of speculative steps, where capacity is free.

    The first run of a task to succeed counts; the others are stopped.
    """
    orders: list[StartOrder] = []
    engine.usage.unknown = measure_unknown_usage(engine, now)
    for pool in list(engine.open_jobs):
        if is_contested(engine, pool, now):
            continue
        overdue = [
            (job, runs[0])
            for job in engine.list_open(pool).values()
            if job.is_speculative
            for runs in _list_single_runs(engine, job)
            if not job.crashes.get(runs[0].task, {}).keys() - {runs[0].number}
            and is_overdue(engine, runs[0], now)
        ]
        if not overdue:
            continue
        eligible = list_eligible(engine, pool, now)
        slow = list_slow(measure_slowness(eligible, now))
        suitable = [row for row in eligible if row.name not in slow]
        # A copy is late already, so that it waits for no better endpoint.
        candidates = EligibleEndpoints(
            suitable,
            {},
            measure_penalties(suitable, {}),
            {},
            RoomForecast(engine, (), now),
            [],
        )
        for job, run in overdue:
            need = find_need(run.step)
            if not candidates.find_room(need):
                continue
            maximum = engine.find_team_limit(job.team)
            if not is_within(engine.usage.estimate(job.team), need, maximum):
                continue
            counts = count_places(engine, run.task, run.step)
            others = [row for row in suitable if row is not run.endpoint]
            endpoint = choose_endpoint(
                engine,
                job,
                run.task,
                need,
                candidates._replace(endpoints=others, unplaceable=[]),
                counts,
                now,
            )
            if endpoint is not None:
                candidates.note_start(endpoint)
                orders.append(
                    reserve_run(engine, job, run.task, run.step, endpoint, now)
                )
    return orders


def _list_single_runs(engine: Engine, job: Job) -> list[list[Run]]:
    """Return the runs of unfinished tasks of speculative steps that have one run."""
    found = []
    for occurrence, number in job.opened_steps:
        if not job.description.steps[number].speculative:
            continue
        for run in engine.step_runs.get((job.job_id, occurrence, number), ()):
            runs = engine.runs[run.task]
            if len(runs) == 1 and not job.has_succeeded(run.task):
                found.append(runs)
    return found


def is_overdue(engine: Engine, run: Run, now: float) -> bool:
    """Return whether a run has taken, or will take, far longer than estimated.

    A run at an endpoint that does not respond counts too: its end is not reported, or
    its run lease expires.
    """
    silent_since = run.endpoint.failing_since
    if silent_since and not run.stop_requested_at:
        return now - silent_since > SILENT_ENDPOINT_S
    if not run.is_present or not run.confirmed_at:
        return False
    rack = run.endpoint.registration.rack
    expected = max(engine.run_times.expect_in(run.step, rack), MIN_EXPECTED_S)
    ratio = project_ratio(run, now)
    if ratio is not None and ratio * run.step.estimate > OVERDUE_FACTOR * expected:
        return True
    return now - run.confirmed_at > OVERDUE_FACTOR * expected
