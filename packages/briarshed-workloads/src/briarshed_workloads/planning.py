"""Which waiting task starts next, and where; a pure function of the engine's state."""

from __future__ import annotations

import itertools
import math
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Endpoint, Run, StartOrder, is_within
from briarshed_workloads.jobs import Job, find_need, find_objective
from briarshed_workloads.outliers import find_slow, project_ratio
from briarshed_workloads.workloads import Resources, Step, TaskId, fits

LONG_RUNNING, ON_TIME, BEYOND_SHARE, LATE = 0, 1, 2, 3
"""Ranks of jobs: those that run until cancelled, those that can still meet their
objective, those of a team that sends more than its share, and the rest, which use what
is left."""

OVERDUE_FACTOR = 2.0
"""Ratio of a run's time to the usual one from which on a copy is worth its room."""

SILENT_S = 0.3
"""Silence of an endpoint after which copies of its runs are worth their room; a lost
answer is made up for by the next look within this time."""

LEAST_USUAL_S = 0.2
"""Run time below which a copy would come too late to help."""

REST_KEPT_S = 0.25
"""Time for which an estimate of a job's remaining work is used again."""


class Room(NamedTuple):
    """The endpoints that may get work, and the names of the slow ones among them."""

    endpoints: Sequence[Endpoint]
    slow: Collection[str]


def plan_starts(engine: Engine, now: float) -> list[StartOrder]:
    """Book runs for waiting tasks and return the orders for them.

    Jobs are served in the order of `rank_job`; a task goes to the endpoint of its pool
    that `choose_endpoint` names. A job whose next task fits nowhere is passed over.
    """
    orders: list[StartOrder] = []
    for pool in list(engine.open_jobs):
        jobs = [job for job in engine.list_open(pool).values() if job.waiting]
        if not jobs:
            continue
        usable = list_usable(engine, pool, now)
        if not usable:
            continue
        if not _has_room(jobs, usable):
            continue
        quarantined = is_quarantined(engine, pool, now)
        wall_now = engine.to_unix_time(now)
        jobs.sort(key=lambda job: rank_job(engine, job, wall_now))
        room = Room(usable, find_slow(usable))
        for job in jobs:
            if not (quarantined and job.is_restored):
                orders += _start_job(engine, job, room, now)
    return orders


def plan_copies(engine: Engine, now: float) -> list[StartOrder]:
    """Book copies of overdue tasks whose step allows it, where room is left over.

    The first copy to succeed counts; the others are stopped.
    """
    orders: list[StartOrder] = []
    for pool in list(engine.open_jobs):
        overdue = [
            (job, runs[0])
            for job in engine.list_open(pool).values()
            if any(step.speculative for step in job.description.steps)
            for runs in _list_lone_runs(engine, job)
            if is_overdue(engine, runs[0], now)
        ]
        if not overdue:
            continue
        usable = list_usable(engine, pool, now)
        slow = find_slow(usable)
        for job, run in overdue:
            others = [
                row
                for row in usable
                if row is not run.endpoint and row.name not in slow
            ]
            need = find_need(run.step)
            maximum = engine.find_maximum(job.team)
            if not is_within(engine.usage.read(job.team), need, maximum):
                continue
            room = Room(others, frozenset())
            endpoint = choose_endpoint(engine, job, run.task, need, room)
            if endpoint is not None:
                orders.append(_reserve(engine, job, run.task, run.step, endpoint, now))
    return orders


def _list_lone_runs(engine: Engine, job: Job) -> list[list[Run]]:
    """Return the lone runs of unfinished tasks of speculative steps."""
    found = []
    for occurrence, number in job.opened_steps:
        step = job.description.steps[number]
        if not step.speculative:
            continue
        for index in range(step.count):
            task = TaskId(job.job_id, occurrence, number, index)
            runs = engine.runs.get(task, [])
            if len(runs) == 1 and not job.has_succeeded(task):
                found.append(runs)
    return found


def is_overdue(engine: Engine, run: Run, now: float) -> bool:
    """Tell whether a run has taken, or will take, far longer than estimated.

    So does a run at a silent endpoint: it ends unseen, or lapses there.
    """
    silent_since = run.endpoint.failing_since
    if silent_since and not run.stop_requested_at:
        return now - silent_since > SILENT_S
    if not run.is_present or not run.confirmed_at:
        return False
    usual = max(estimate_task(engine, run.step), LEAST_USUAL_S)
    ratio = project_ratio(run, now)
    if ratio is not None and ratio * run.step.estimate > OVERDUE_FACTOR * usual:
        return True
    return now - run.confirmed_at > OVERDUE_FACTOR * usual


def _has_room(jobs: Sequence[Job], usable: Sequence[Endpoint]) -> bool:
    """Tell whether the smallest waiting task fits anywhere by its processor part."""
    least = min(
        find_need(job.find_step(task)).cpu
        for job in jobs
        for task in itertools.islice(job.waiting, 1)
    )
    return any(endpoint.find_free().cpu >= least for endpoint in usable)


def is_quarantined(engine: Engine, pool: str, now: float) -> bool:
    """Tell whether an endpoint of a pool may hold runs of an earlier leader unseen.

    Until every one has been fenced, has gone or has lapsed, a waiting task of a
    restored job may be running there.
    """
    if now >= engine.quarantine_until:
        return False
    return any(
        endpoint.fenced_counter == 0
        and not endpoint.is_gone
        and endpoint.registration.pool in (pool, "")
        for endpoint in engine.endpoints.values()
    )


def list_usable(engine: Engine, pool: str, now: float) -> list[Endpoint]:
    """Return the endpoints of a pool that may get new work."""
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
    ]


def rank_job(engine: Engine, job: Job, wall_now: float) -> tuple:
    """Return the sort key of a job: rank, priority, objective.

    Jobs whose objective has passed are served with what others leave, oldest first.
    """
    if job.is_long_running:
        return (LONG_RUNNING, 0, job.accepted_at, job.job_id)
    queue = engine.find_queue(job)
    due = job.accepted_at
    if job.description.schedule:
        due = max(due, job.find_due(min(task.occurrence for task in job.waiting)))
    objective = due + find_objective(job, queue)
    rank = ON_TIME if job.is_within_share else BEYOND_SHARE
    if wall_now + estimate_rest(engine, job, wall_now) > objective:
        rank = LATE
    priority = queue.priority if queue else 0
    return (rank, priority, objective, job.job_id)


def estimate_rest(engine: Engine, job: Job, wall_now: float) -> float:
    """Return the estimated chain of work in seconds that is left of a job.

    The figure is kept for `REST_KEPT_S`, since every plan asks for it.
    """
    if job.rest is not None and wall_now - job.rest[0] < REST_KEPT_S:
        return job.rest[1]
    rest = _measure_rest(engine, job)
    job.rest = wall_now, rest
    return rest


def _measure_rest(engine: Engine, job: Job) -> float:
    lengths: dict[int, float] = {}
    steps = job.description.steps

    def measure(number: int) -> float:
        if number not in lengths:
            lengths[number] = 0.0
            step = steps[number]
            before = max((measure(other) for other in step.after), default=0.0)
            done = job.succeeded.get((0, number), ())
            own = 0.0 if len(done) >= step.count else estimate_task(engine, step)
            lengths[number] = before + own
        return lengths[number]

    return max((measure(number) for number in range(len(steps))), default=0.0)


def estimate_task(engine: Engine, step: Step) -> float:
    """Return the run time of a task in seconds: learned by image, else declared."""
    return engine.run_times.get(step.image, step.estimate)


def _start_job(engine: Engine, job: Job, room: Room, now: float) -> list[StartOrder]:
    orders: list[StartOrder] = []
    maximum = engine.find_maximum(job.team)
    blocked: set[int] = set()
    for task in list(job.waiting):
        if task.step in blocked:
            continue
        if engine.runs.get(task):
            # An earlier leader started it before this one knew that its step is open.
            job.waiting.pop(task)
            continue
        step = job.find_step(task)
        need = find_need(step)
        if step.gang:
            orders += _start_gang(engine, job, task, room.endpoints, now)
            blocked.add(task.step)
            continue
        if not is_within(engine.usage.read(job.team), need, maximum):
            blocked.add(task.step)
            continue
        endpoint = choose_endpoint(engine, job, task, need, room)
        if endpoint is None:
            blocked.add(task.step)
            continue
        orders.append(_reserve(engine, job, task, step, endpoint, now))
    return orders


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
    engine: Engine, job: Job, task: TaskId, usable: Sequence[Endpoint], now: float
) -> list[StartOrder]:
    """Book all members of a gang, or none."""
    step = job.find_step(task)
    members = [
        TaskId(job.job_id, task.occurrence, task.step, index)
        for index in range(step.count)
    ]
    if any(engine.runs.get(member) for member in members):
        return []
    total = Resources(*(part * step.count for part in find_need(step)))
    maximum = engine.find_maximum(job.team)
    if not is_within(engine.usage.read(job.team), total, maximum):
        return []
    chosen = choose_gang(engine, step, usable)
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
    engine: Engine, step: Step, usable: Sequence[Endpoint]
) -> list[Endpoint] | None:
    """Return an endpoint for each member, or None if they do not fit together.

    A gang that is slower across racks is placed within one rack where one has room.
    """
    candidates = [row for row in usable if _suits(step, row)]
    racks = {row.registration.rack for row in candidates}
    groups = [
        [row for row in candidates if row.registration.rack == rack]
        for rack in sorted(racks, key=lambda rack: rack != step.rack)
    ]
    if not step.same_rack:
        groups.append(candidates)
    for group in groups:
        chosen = _fill(step, group)
        if chosen is not None:
            return chosen
    return _fill(step, candidates)


def _fill(step: Step, group: Iterable[Endpoint]) -> list[Endpoint] | None:
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
    room: Room,
) -> Endpoint | None:
    """Return the best endpoint with room for the task, or None.

    Long-running tasks of a step are spread over racks, so that the loss of one takes
    few; fillers go where the fewest tasks serve; other tasks go where the most
    processor time is free. The rack that holds the data comes first, and an endpoint
    where the task has failed, or that is slow, comes last.
    """
    step = job.find_step(task)
    failed_endpoints = job.failed_endpoints.get(task, ())
    counts = _count_step(engine, task, step)
    best: Endpoint | None = None
    best_score: tuple = (math.inf,)
    for endpoint in room.endpoints:
        if not fits(need, endpoint.find_free()) or not _suits(step, endpoint):
            continue
        here = counts.get(endpoint.name, 0)
        if step.per_endpoint and here >= step.per_endpoint:
            continue
        is_poor = endpoint.name in failed_endpoints or endpoint.name in room.slow
        score = (is_poor, *_score(step, endpoint, counts, here))
        if score < best_score:
            best, best_score = endpoint, score
    return best


def _suits(step: Step, endpoint: Endpoint) -> bool:
    return not step.label or step.label in endpoint.registration.labels


def _count_step(engine: Engine, task: TaskId, step: Step) -> dict[str, int]:
    """Count the runs of the task's step and occurrence by endpoint and by rack."""
    counts: dict[str, int] = {}
    if not (step.per_endpoint or step.long_running):
        return counts
    for index in range(step.count):
        for run in engine.runs.get(task._replace(index=index), ()):
            registration = run.endpoint.registration
            for place in (registration.endpoint, f"rack {registration.rack}"):
                counts[place] = counts.get(place, 0) + 1
    return counts


def _score(
    step: Step, endpoint: Endpoint, counts: dict[str, int], here: int
) -> tuple[float, ...]:
    registration = endpoint.registration
    free = endpoint.find_free()
    share = free.cpu / max(1, registration.capacity.cpu)
    far = 1.0 if step.rack and registration.rack != step.rack else 0.0
    if step.best_effort:
        serving = sum(
            run.step.tail_latency_target > 0 for run in endpoint.runs.values()
        )
        fillers = sum(run.step.best_effort for run in endpoint.runs.values())
        return (far, fillers + serving, here, -share)
    if step.long_running:
        return (far, here, counts.get(f"rack {registration.rack}", 0), -share)
    return (far, -share)
