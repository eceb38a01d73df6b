"""Planning: which waiting tasks start next, from the engine's state."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from briarshed_workloads.crashes import (
    give_up_tasks,
    has_crashed_recently,
    is_new,
    settle_evidence,
)
from briarshed_workloads.engine import Engine
from briarshed_workloads.evidence import (
    ISOLATION_S,
    MAX_ISOLATION_WAIT_S,
    MAX_STEADY_WAIT_S,
    SUSPICION_WINDOW_S,
    is_next_decisive,
)
from briarshed_workloads.fleet import Endpoint, Isolation, StartOrder, is_within
from briarshed_workloads.jobs import Job, find_need
from briarshed_workloads.ordering import refresh_outlook, sort_jobs
from briarshed_workloads.placement import (
    EligibleEndpoints,
    PlaceCounts,
    add_place,
    can_start,
    choose_endpoint,
    choose_gang,
    could_start,
    count_places,
    gather_candidates,
    list_available,
    list_eligible,
)
from briarshed_workloads.room_forecast import has_room_within
from briarshed_workloads.supervision import report_error
from briarshed_workloads.takeover import is_contested, may_have_earlier_runs
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Resources,
    Step,
    TaskId,
    add,
    fits,
)

MAX_STARTS_PER_PLAN = 100
"""Starts in a pool from which on a plan ends, so that it takes a small part of the
leader's lease. The next plan goes on."""


def plan_starts(engine: Engine, now: float) -> list[StartOrder]:
    """Reserve runs for waiting tasks and return their start orders.

    Jobs are served in the order of `rank_job`; a task goes to the endpoint of its pool
    that `choose_endpoint` returns. A job whose next task fits nowhere is skipped. The
    plan of a pool ends after `MAX_STARTS_PER_PLAN` starts.
    """
    orders: list[StartOrder] = []
    engine.usage.unknown = measure_unknown_usage(engine, now)
    settle_evidence(engine, now)
    for pool in list(engine.open_jobs):
        try:
            _plan_pool(engine, pool, now, orders)
        except Exception as error:
            report_error(f"plan of pool {pool}", error)
    return orders


def _plan_pool(engine: Engine, pool: str, now: float, orders: list[StartOrder]) -> None:
    """Reserve runs for the waiting tasks of a pool and add their start orders."""
    if is_contested(engine, pool, now):
        return
    jobs = [job for job in engine.list_open(pool).values() if job.waiting]
    if may_have_earlier_runs(engine, pool, now):
        jobs = [job for job in jobs if not job.is_restored]
    for job in jobs:
        if job.crashes:
            give_up_tasks(engine, job, now)
    jobs = [job for job in jobs if job.is_open]
    if not jobs:
        engine.outlooks.pop(pool, None)
        return
    _start_suspects(engine, pool, jobs, now, orders)
    jobs = [job for job in jobs if job.waiting]
    eligible = list_eligible(engine, pool, now)
    if not jobs or not eligible:
        return
    if not _has_capacity(jobs, eligible):
        refresh_outlook(engine, pool, jobs, now)
        return
    candidates = gather_candidates(engine, eligible, now)
    limit = len(orders) + MAX_STARTS_PER_PLAN
    for job in sort_jobs(engine, pool, jobs, now):
        if len(orders) >= limit:
            return
        try:
            _start_job(engine, job, candidates, now, orders, limit)
        except Exception as error:
            report_error(f"start of job {job.job_id}", error)


def _has_capacity(jobs: Sequence[Job], eligible: Sequence[Endpoint]) -> bool:
    """Return whether the CPU of the smallest unfinished task fits at any endpoint.

    For speed, it looks at steps that are ready instead of at their tasks.
    """
    least = min(
        find_need(step).cpu
        for job in jobs
        # A task that an earlier leader started may wait before its step is opened.
        for step in (
            job.find_step(next(iter(job.waiting))),
            *job.list_unfinished_steps(),
        )
    )
    return any(endpoint.find_free().cpu >= least for endpoint in eligible)


def measure_unknown_usage(engine: Engine, now: float) -> dict[str, Resources]:
    """Return what unknown runs of an earlier leader may use of the teams' limits.

    Each waiting task of a restored job may be running at an endpoint that has not been
    polled yet.
    """
    usage: dict[str, Resources] = {}
    for pool, jobs in engine.open_jobs.items():
        if not may_have_earlier_runs(engine, pool, now):
            continue
        for job in jobs.values():
            if not job.is_restored or not any(engine.find_team_limit(job.team)):
                continue
            for key in job.waiting.list_steps():
                need = find_need(job.description.steps[key.step])
                count = job.waiting.count(key)
                total = Resources(*(part * count for part in need))
                usage[job.team] = add(usage.get(job.team, NO_RESOURCES), total)
    return usage


def _start_job(
    engine: Engine,
    job: Job,
    candidates: EligibleEndpoints,
    now: float,
    orders: list[StartOrder],
    limit: int,
) -> None:
    """Reserve runs for a job's waiting tasks and add their start orders.

    Orders are added one by one, so that none is lost if a later task raises an error.

    Parameters
    ----------
    limit : int
        Length of ``orders`` from which on no order is added, besides those of a gang.
    """
    for key in job.waiting.list_steps():
        if len(orders) >= limit:
            return
        step = job.description.steps[key.step]
        tasks = (
            task
            for task in job.waiting.iterate(key)
            if not _is_running(engine, job, task)
            and not job.is_held(task, now)
            and not job.must_isolate(task, now)
        )
        if not step.gang:
            _start_tasks(engine, job, tasks, candidates, now, orders, limit)
            continue
        task = next(tasks, None)
        if task is not None:
            orders += _start_gang(engine, job, task, candidates.endpoints, now)


def _is_running(engine: Engine, job: Job, task: TaskId) -> bool:
    """Return whether a waiting task has a run, and let it wait no longer then.

    An earlier leader started it before this one knew that its step is ready.
    """
    if not engine.runs.get(task):
        return False
    job.waiting.discard(task)
    return True


def _start_tasks(
    engine: Engine,
    job: Job,
    tasks: Iterable[TaskId],
    candidates: EligibleEndpoints,
    now: float,
    orders: list[StartOrder],
    limit: int,
) -> None:
    """Reserve runs for tasks of one step until one fits nowhere."""
    maximum = engine.find_team_limit(job.team)
    counts: PlaceCounts | None = None
    for task in tasks:
        step = job.find_step(task)
        need = find_need(step)
        if len(orders) >= limit or not is_within(
            engine.usage.estimate(job.team), need, maximum
        ):
            return
        if counts is None:
            counts = count_places(engine, task, step)
        endpoint = choose_endpoint(engine, job, task, need, candidates, counts, now)
        if endpoint is None and task in candidates.forecast.waiting:
            continue
        if endpoint is None:
            return
        orders.append(reserve_run(engine, job, task, step, endpoint, now))
        candidates.note_start(endpoint)
        add_place(counts, endpoint)


def _start_suspects(
    engine: Engine, pool: str, jobs: Iterable[Job], now: float, orders: list[StartOrder]
) -> None:
    """Isolate an endpoint for each suspected task, and start the task there.

    Those with the most crashes come first. At most half of the endpoints are isolated
    at a time. A task starts once its endpoint has room, and nothing else has started
    there for `SUSPICION_WINDOW_S`.
    """
    suspects = [
        (job, task)
        for job in jobs
        if job.crashes
        for task in list(job.crashes)
        if task in job.waiting
        and job.must_isolate(task, now)
        and not job.is_held(task, now)
        and not engine.runs.get(task)
    ]
    if not suspects:
        return
    suspects.sort(key=lambda row: -len(row[0].crashes[row[1]]))
    available = list_available(engine, pool, now)
    for job, task in suspects:
        endpoint = _isolate(engine, job, task, available, now)
        if endpoint is None:
            continue
        endpoint.isolation = Isolation(task, now + ISOLATION_S)
        step = job.find_step(task)
        has_room = fits(find_need(step), endpoint.find_free())
        if has_room and now - endpoint.last_ordered_at >= SUSPICION_WINDOW_S:
            orders.append(reserve_run(engine, job, task, step, endpoint, now))


def _isolate(
    engine: Engine, job: Job, task: TaskId, available: Sequence[Endpoint], now: float
) -> Endpoint | None:
    """Return the endpoint that is or can be isolated for a task, or None."""
    step = job.find_step(task)
    need = find_need(step)
    maximum = engine.find_team_limit(job.team)
    if not is_within(engine.usage.estimate(job.team), need, maximum):
        return None
    counts = count_places(engine, task, step)
    rows = [row for row in available if not is_new(engine, row, now)]
    fitting = [row for row in rows if can_start(step, need, row, counts)]
    if is_next_decisive(job.crashes[task]):
        # An endpoint that has crashed may do so again whatever it runs. The others are
        # often those that have no room now.
        steady = [row for row in rows if not has_crashed_recently(engine, row, now)]
        fitting = [row for row in fitting if row in steady] or fitting
        if fitting and fitting[0] not in steady:
            suitable = [row for row in steady if could_start(step, need, row, counts)]
            fitting = _list_awaited(engine, job, task, suitable, now) or fitting
    isolated = [row for row in available if row.is_isolated(now)]
    for endpoint in fitting:
        if endpoint in isolated and endpoint.isolation.task == task:
            return endpoint
    if len(isolated) >= max(1, len(available) // 2):
        return None
    # A crash costs what runs at the endpoint.
    return min(
        (row for row in fitting if row not in isolated),
        key=lambda row: (has_crashed_recently(engine, row, now), row.used.cpu),
        default=None,
    )


def _list_awaited(
    engine: Engine, job: Job, task: TaskId, rows: Iterable[Endpoint], now: float
) -> list[Endpoint]:
    """Return the endpoints without room of which a task may isolate one now.

    They must have room soon, and a single one is isolated at a time in each pool, since
    it gets no other work meanwhile.
    """
    if now - job.suspected_at.get(task, now) >= MAX_STEADY_WAIT_S:
        return []
    if any(
        row.registration.pool == job.pool and _is_awaited(engine, row, task, now)
        for row in engine.endpoints.values()
    ):
        return []
    need = find_need(job.find_step(task))
    return [
        row
        for row in rows
        if has_room_within(engine, row, need, MAX_ISOLATION_WAIT_S, now)
    ]


def _is_awaited(engine: Engine, endpoint: Endpoint, task: TaskId, now: float) -> bool:
    """Return whether another task has isolated an endpoint that has no room for it."""
    isolation = endpoint.isolation
    if isolation is None or now >= isolation.until or isolation.task == task:
        return False
    owner = engine.jobs.get(isolation.task.job)
    if owner is None or isolation.task not in owner.waiting:
        return False
    need = find_need(owner.find_step(isolation.task))
    return not fits(need, endpoint.find_free())


def reserve_run(
    engine: Engine,
    job: Job,
    task: TaskId,
    step: Step,
    endpoint: Endpoint,
    now: float,
) -> StartOrder:
    """Reserve a run of a task at an endpoint and return its start order."""
    run = engine.reserve(task, endpoint, step, job.team, now)
    checkpoint = job.checkpoints.find(task) if step.checkpointing else ""
    return StartOrder(run, job.description.spec, checkpoint)


def _start_gang(
    engine: Engine, job: Job, task: TaskId, eligible: Sequence[Endpoint], now: float
) -> list[StartOrder]:
    """Reserve runs for all members of a gang, or for none."""
    step = job.find_step(task)
    members = [
        TaskId(job.job_id, task.occurrence, task.step, index)
        for index in range(step.count)
    ]
    if any(engine.runs.get(member) for member in members):
        return []
    total = Resources(*(part * step.count for part in find_need(step)))
    maximum = engine.find_team_limit(job.team)
    if not is_within(engine.usage.estimate(job.team), total, maximum):
        return []
    chosen = choose_gang(engine, step, eligible)
    if chosen is None:
        return []
    orders = [
        reserve_run(engine, job, member, step, endpoint, now)
        for member, endpoint in zip(members, chosen, strict=True)
    ]
    # The members of a gang share one run number.
    for order in orders[1:]:
        engine.renumber(order.run, orders[0].run.number)
    return orders
