"""Placement: which waiting task starts next and where, from the engine's state."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from briarshed_workloads.crashes import (
    give_up_tasks,
    has_crashed_recently,
    is_new,
    settle_evidence,
)
from briarshed_workloads.engine import Engine
from briarshed_workloads.evidence import ISOLATION_S, SUSPICION_WINDOW_S
from briarshed_workloads.fleet import Endpoint, Isolation, Run, StartOrder, is_within
from briarshed_workloads.jobs import Job, find_need, find_objective
from briarshed_workloads.order_slots import MAX_PENDING_ORDERS
from briarshed_workloads.outliers import find_slow, project_ratio
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

LONG_RUNNING, ON_TIME, BEYOND_SHARE, LATE = 0, 1, 2, 3
"""Ranks of jobs: those that run until cancelled, those that can still meet their
objective, those beyond the share of their team, and late ones, which get the rest."""

OVERDUE_FACTOR = 2.0
"""Ratio of a run's time to the expected one above which a copy is started."""

SILENT_ENDPOINT_S = 0.3
"""Time without a response after which the runs of an endpoint are copied; the next poll
makes up for a lost response within this time."""

MIN_EXPECTED_S = 0.2
"""Run time below which a copy would start too late to help."""

REMAINING_TIME_CACHE_S = 0.25
"""Time for which the estimate of a job's remaining time is cached."""


MAX_STARTS_PER_PLAN = 100
"""Starts in a pool from which on a plan ends, so that it takes a small part of the
leader's lease. The next plan goes on."""


class EligibleEndpoints(NamedTuple):
    """The endpoints that may get new runs, and the names of the slow ones.

    ``starts_left`` holds, by name, how many more starts each may get now.
    """

    endpoints: Sequence[Endpoint]
    slow: Collection[str]
    starts_left: dict[str, int]


PlaceCounts = dict[str, int]
"""Number of runs by the name of an endpoint, and by ``rack`` and the name of a rack."""


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
        return
    _start_suspects(engine, pool, jobs, now, orders)
    jobs = [job for job in jobs if job.waiting]
    eligible = list_eligible(engine, pool, now)
    if not jobs or not eligible or not _has_capacity(jobs, eligible):
        return
    unix_now = engine.to_unix_time(now)
    ranked: list[tuple[tuple, Job]] = []
    for job in jobs:
        try:
            ranked.append((rank_job(engine, job, unix_now), job))
        except Exception as error:
            report_error(f"rank of job {job.job_id}", error)
    ranked.sort(key=lambda row: row[0])
    candidates = EligibleEndpoints(
        eligible, find_slow(eligible), _count_starts_left(eligible)
    )
    limit = len(orders) + MAX_STARTS_PER_PLAN
    for _, job in ranked:
        if len(orders) >= limit:
            return
        try:
            _start_job(engine, job, candidates, now, orders, limit)
        except Exception as error:
            report_error(f"start of job {job.job_id}", error)


def _count_starts_left(endpoints: Iterable[Endpoint]) -> dict[str, int]:
    """Return how many more starts each endpoint may get before some are answered."""
    return {
        row.name: MAX_PENDING_ORDERS - row.count_pending_starts() for row in endpoints
    }


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
        slow = find_slow(eligible)
        for job, run in overdue:
            others = [
                row
                for row in eligible
                if row is not run.endpoint and row.name not in slow
            ]
            need = find_need(run.step)
            maximum = engine.find_team_limit(job.team)
            if not is_within(engine.usage.estimate(job.team), need, maximum):
                continue
            starts_left = _count_starts_left(others)
            candidates = EligibleEndpoints(others, frozenset(), starts_left)
            counts = _count_places(engine, run.task, run.step)
            endpoint = choose_endpoint(
                engine, job, run.task, need, candidates, counts, now
            )
            if endpoint is not None:
                orders.append(_reserve(engine, job, run.task, run.step, endpoint, now))
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
    expected = max(estimate_task(engine, run.step), MIN_EXPECTED_S)
    ratio = project_ratio(run, now)
    if ratio is not None and ratio * run.step.estimate > OVERDUE_FACTOR * expected:
        return True
    return now - run.confirmed_at > OVERDUE_FACTOR * expected


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


def list_eligible(engine: Engine, pool: str, now: float) -> list[Endpoint]:
    """Return the endpoints of a pool that may get new runs of any task."""
    return [
        endpoint
        for endpoint in list_available(engine, pool, now)
        if not endpoint.is_isolated(now)
    ]


def list_available(engine: Engine, pool: str, now: float) -> list[Endpoint]:
    """Return the endpoints of a pool that may get new runs, isolated ones included."""
    # waiting.find_endpoint_state names the reason for each endpoint that is left out.
    return [
        endpoint
        for endpoint in engine.endpoints.values()
        if endpoint.registration.pool == pool
        and endpoint.is_listed
        and not endpoint.is_gone
        and endpoint.is_fenced
        and not endpoint.registration.draining
        and not endpoint.evicting
        and not endpoint.retiring
        and not endpoint.failing_since
        and endpoint.reputation.ejected_until <= now
        and endpoint.full_until <= now
        and endpoint.name in engine.roster
        and endpoint.has_known_capacity
    ]


def rank_job(engine: Engine, job: Job, unix_now: float) -> tuple:
    """Return the sort key of a job: rank, priority, objective.

    Jobs that miss their objective come last, in the order of their objectives.
    """
    if job.is_long_running:
        return (LONG_RUNNING, 0, job.accepted_at, job.job_id)
    queue = engine.find_queue(job)
    due = job.accepted_at
    if job.description.schedule:
        due = max(due, job.find_due(min(job.waiting.list_steps()).occurrence))
    objective = due + find_objective(job, queue)
    rank = ON_TIME if job.is_within_share else BEYOND_SHARE
    if unix_now + estimate_remaining_time(engine, job, unix_now) > objective:
        rank = LATE
    priority = queue.priority if queue else 0
    return (rank, priority, objective, job.job_id)


def estimate_remaining_time(engine: Engine, job: Job, unix_now: float) -> float:
    """Return the estimated length of the critical path left of a job in seconds.

    Of a scheduled job, it is that of the first open occurrence. It is cached for
    `REMAINING_TIME_CACHE_S`, since every plan needs it.
    """
    if (
        job.cached_remaining is not None
        and unix_now - job.cached_remaining[0] < REMAINING_TIME_CACHE_S
    ):
        return job.cached_remaining[1]
    remaining = _measure_remaining_time(engine, job)
    job.cached_remaining = unix_now, remaining
    return remaining


def _measure_remaining_time(engine: Engine, job: Job) -> float:
    lengths: dict[int, float] = {}
    steps = job.description.steps
    occurrence = next(iter(job.open_occurrences), 0)

    def measure(number: int) -> float:
        if number not in lengths:
            lengths[number] = 0.0
            step = steps[number]
            before = max((measure(other) for other in step.after), default=0.0)
            done = job.succeeded.get((occurrence, number), ())
            own = 0.0 if len(done) >= step.count else estimate_task(engine, step)
            lengths[number] = before + own
        return lengths[number]

    return max((measure(number) for number in range(len(steps))), default=0.0)


def estimate_task(engine: Engine, step: Step) -> float:
    """Return a task's run time in seconds: the mean of its image, else the estimate."""
    return engine.run_times.get(step.image, step.estimate)


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
            counts = _count_places(engine, task, step)
        endpoint = choose_endpoint(engine, job, task, need, candidates, counts, now)
        if endpoint is None:
            return
        orders.append(_reserve(engine, job, task, step, endpoint, now))
        candidates.starts_left[endpoint.name] -= 1
        _add_place(counts, endpoint)


def _start_suspects(
    engine: Engine, pool: str, jobs: Iterable[Job], now: float, orders: list[StartOrder]
) -> None:
    """Isolate an endpoint for each suspected task, and start the task there.

    Those with the most crashes come first. At most half of the endpoints are isolated
    at a time. A task starts once nothing else has started at its endpoint for
    `SUSPICION_WINDOW_S`.
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
        if now - endpoint.last_ordered_at >= SUSPICION_WINDOW_S:
            step = job.find_step(task)
            orders.append(_reserve(engine, job, task, step, endpoint, now))


def _isolate(
    engine: Engine, job: Job, task: TaskId, available: Sequence[Endpoint], now: float
) -> Endpoint | None:
    """Return the endpoint that is or can be isolated for a task, or None."""
    step = job.find_step(task)
    need = find_need(step)
    maximum = engine.find_team_limit(job.team)
    if not is_within(engine.usage.estimate(job.team), need, maximum):
        return None
    counts = _count_places(engine, task, step)
    fitting = [
        row
        for row in available
        if _can_start(step, need, row, counts) and not is_new(engine, row, now)
    ]
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


def _reserve(
    engine: Engine,
    job: Job,
    task: TaskId,
    step: Step,
    endpoint: Endpoint,
    now: float,
) -> StartOrder:
    run = engine.reserve(task, endpoint, step, job.team, now)
    checkpoint = job.checkpoints.get(task, "") if step.checkpointing else ""
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
        _reserve(engine, job, member, step, endpoint, now)
        for member, endpoint in zip(members, chosen, strict=True)
    ]
    # The members of a gang share one run number.
    for order in orders[1:]:
        engine.renumber(order.run, orders[0].run.number)
    return orders


def choose_gang(
    engine: Engine, step: Step, eligible: Sequence[Endpoint]
) -> list[Endpoint] | None:
    """Return an endpoint for each member, or None if they do not all fit.

    A gang that is slower across racks is placed in one rack if possible.
    """
    candidates = [row for row in eligible if _has_label(step, row)]
    racks = {row.registration.rack for row in candidates}
    groups = [
        [row for row in candidates if row.registration.rack == rack]
        for rack in sorted(racks, key=lambda rack: rack != step.rack)
    ]
    if not step.same_rack:
        groups.append(candidates)
    for group in groups:
        chosen = _pack(step, group)
        if chosen is not None:
            return chosen
    return _pack(step, candidates)


def _pack(step: Step, group: Iterable[Endpoint]) -> list[Endpoint] | None:
    chosen: list[Endpoint] = []
    need = find_need(step)
    for endpoint in group:
        count = _count_fitting(need, endpoint.find_free())
        if step.per_endpoint:
            count = min(count, step.per_endpoint)
        chosen += [endpoint] * min(count, step.count - len(chosen))
        if len(chosen) == step.count:
            return chosen
    return None


def _count_fitting(need: Resources, free: Resources) -> int:
    parts = [
        max(0, have) // part for have, part in zip(free, need, strict=True) if part
    ]
    return min(parts, default=1_000)


def choose_endpoint(
    engine: Engine,
    job: Job,
    task: TaskId,
    need: Resources,
    candidates: EligibleEndpoints,
    counts: PlaceCounts,
    now: float,
) -> Endpoint | None:
    """Return the best endpoint with capacity for the task, or None.

    Long-running tasks of a step are spread over racks, so that the loss of a rack
    affects few. Best-effort tasks go to the endpoint with the fewest best-effort and
    serving tasks, and other tasks to the one with the largest share of free CPU. The
    rack that holds the data is preferred. An endpoint that is slow, or where the task
    has failed, comes last.

    Parameters
    ----------
    counts : dict
        Where the runs of the task's step and occurrence are, see `_count_places`.
    """
    step = job.find_step(task)
    failed_endpoints = job.failed_endpoints.get(task, ())
    was_in_crash = engine.was_in_crash(task)
    best: Endpoint | None = None
    best_score: tuple = (math.inf,)
    for endpoint in candidates.endpoints:
        if not candidates.starts_left.get(endpoint.name, 0) > 0:
            continue
        if not _can_start(step, need, endpoint, counts):
            continue
        if was_in_crash and is_new(engine, endpoint, now):
            continue
        here = counts.get(endpoint.name, 0)
        is_last_choice = (
            endpoint.name in failed_endpoints or endpoint.name in candidates.slow
        )
        score = (is_last_choice, *_score(step, endpoint, counts, here))
        if score < best_score:
            best, best_score = endpoint, score
    return best


def _can_start(
    step: Step, need: Resources, endpoint: Endpoint, counts: PlaceCounts
) -> bool:
    """Return whether an endpoint has capacity and label for a task of a step."""
    if not fits(need, endpoint.find_free()) or not _has_label(step, endpoint):
        return False
    return not step.per_endpoint or counts.get(endpoint.name, 0) < step.per_endpoint


def _has_label(step: Step, endpoint: Endpoint) -> bool:
    return not step.label or step.label in endpoint.registration.labels


def _count_places(engine: Engine, task: TaskId, step: Step) -> PlaceCounts:
    """Return the runs of the task's step and occurrence by endpoint and by rack.

    They are only counted for steps whose placement depends on them.
    """
    counts: PlaceCounts = {}
    if step.per_endpoint or step.long_running:
        for run in engine.step_runs.get(task[:3], ()):
            _add_place(counts, run.endpoint)
    return counts


def _add_place(counts: PlaceCounts, endpoint: Endpoint) -> None:
    registration = endpoint.registration
    for place in (registration.endpoint, f"rack {registration.rack}"):
        counts[place] = counts.get(place, 0) + 1


def _score(
    step: Step, endpoint: Endpoint, counts: PlaceCounts, here: int
) -> tuple[float, ...]:
    registration = endpoint.registration
    free = endpoint.find_free()
    share = free.cpu / max(1, registration.capacity.cpu)
    off_rack = 1.0 if step.rack and registration.rack != step.rack else 0.0
    if step.best_effort:
        serving = sum(
            run.step.tail_latency_target > 0 for run in endpoint.runs.values()
        )
        best_effort_runs = sum(run.step.best_effort for run in endpoint.runs.values())
        return (off_rack, best_effort_runs + serving, here, -share)
    if step.long_running:
        return (off_rack, here, counts.get(f"rack {registration.rack}", 0), -share)
    return (off_rack, -share)
