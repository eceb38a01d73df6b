"""Placement: where a task starts, from the engine's state of the endpoints."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from briarshed_workloads.crashes import is_new
from briarshed_workloads.engine import Engine
from briarshed_workloads.estimates import estimate_task
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import Endpoint
from briarshed_workloads.jobs import Job, find_need
from briarshed_workloads.order_slots import MAX_PENDING_ORDERS
from briarshed_workloads.outliers import SLOW_FACTOR, measure_slowness
from briarshed_workloads.room_forecast import HORIZON_S, RoomForecast
from briarshed_workloads.workloads import Resources, Step, TaskId, fits, subtract


class EligibleEndpoints(NamedTuple):
    """The endpoints that may get new runs, and what a plan knows of them.

    Attributes
    ----------
    endpoints : sequence of Endpoint
        Endpoints that may get new runs.
    slowness : dict
        By name, how many times as long as others an endpoint takes; 1 if not given.
    penalties : dict
        By name, the divisor of an endpoint's share of free CPU in the choice of one.
    starts_left : dict
        By name, how many more starts each may get now, as far as it was asked for.
    forecast : RoomForecast
        Room that is about to be freed, and the tasks that wait for it.
    unplaceable : list of Resources
        Needs for which no endpoint has room. Within a plan room is only taken, so that
        larger needs find none either.
    """

    endpoints: Sequence[Endpoint]
    slowness: Mapping[str, float]
    penalties: Mapping[str, float]
    starts_left: dict[str, int]
    forecast: RoomForecast
    unplaceable: list[Resources]

    def is_full_for(self, need: Resources) -> bool:
        """Return whether it is known that no endpoint has room for a need."""
        return any(fits(known, need) for known in self.unplaceable)

    def find_room(self, need: Resources) -> bool:
        """Return whether an endpoint has room for a need, and keep that none has."""
        if self.is_full_for(need):
            return False
        if any(endpoint.has_room(need) for endpoint in self.endpoints):
            return True
        self.unplaceable.append(need)
        return False

    def may_start(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get a start before some are answered."""
        left = self.starts_left.get(endpoint.name)
        if left is None:
            left = MAX_PENDING_ORDERS - endpoint.count_pending_starts()
            self.starts_left[endpoint.name] = left
        return left > 0

    def note_start(self, endpoint: Endpoint) -> None:
        """Count a start that the plan orders at an endpoint."""
        self.starts_left[endpoint.name] -= 1


def gather_candidates(
    engine: Engine, eligible: Sequence[Endpoint], now: float
) -> EligibleEndpoints:
    """Return what a plan knows of the endpoints that may get new runs."""
    slowness = measure_slowness(eligible, now)
    for endpoint in eligible:
        factor = slowness[endpoint.name]
        if endpoint.reputation.is_slow != (factor > SLOW_FACTOR):
            endpoint.reputation.is_slow = not endpoint.reputation.is_slow
            engine.report(
                "ENDPOINT_SPEED_CHANGED",
                endpoint=endpoint.name,
                factor=round(factor, 1),
            )
    return EligibleEndpoints(
        eligible,
        slowness,
        measure_penalties(eligible, slowness),
        {},
        RoomForecast(engine, eligible, now),
        [],
    )


PlaceCounts = dict[str, int]
"""Number of runs by the name of an endpoint, and by ``rack`` and the name of a rack."""


def measure_penalties(
    endpoints: Iterable[Endpoint], slowness: Mapping[str, float]
) -> dict[str, float]:
    """Return the divisor of each endpoint's share of free CPU, by name.

    One that takes longer, or where tasks have failed lately, gets fewer tasks.
    """
    return {
        row.name: slowness.get(row.name, 1.0) * (1 + row.reputation.failures)
        for row in endpoints
    }


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
        and not is_evacuated(engine, endpoint)
    ]


def choose_gang(
    engine: Engine, step: Step, eligible: Sequence[Endpoint]
) -> list[Endpoint] | None:
    """Return an endpoint for each member, or None if they do not all fit.

    A gang that is slower across racks is placed in one rack if possible.
    """
    candidates = [row for row in eligible if _has_label(step, row)]
    # A cold member would hold up the others.
    candidates.sort(key=_is_cold)
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
    serving tasks, and other tasks to the one with the largest share of free CPU. An
    endpoint that takes longer, since it is slow or not in the rack that holds the data,
    comes later; the task waits instead while it would end sooner at a better one. One
    that is still cold after its start comes after warm ones, and one where the task has
    failed comes last.

    Parameters
    ----------
    counts : dict
        Where the runs of the task's step and occurrence are, see `count_places`.
    """
    step = job.find_step(task)
    failed_endpoints = job.failed_endpoints.get(task, ())
    was_in_crash = engine.was_in_crash(task)
    best: Endpoint | None = None
    best_score: tuple = (math.inf,)
    if candidates.is_full_for(need):
        return None
    has_room = False
    for endpoint in candidates.endpoints:
        if not endpoint.has_room(need) or not candidates.may_start(endpoint):
            continue
        name = endpoint.name
        has_room = True
        if not _is_suitable(step, endpoint, counts):
            continue
        if was_in_crash and is_new(engine, endpoint, now):
            continue
        score = (
            name in failed_endpoints,
            _is_cold(endpoint),
            _measure_time_factor(engine, step, endpoint, candidates.slowness),
            *_score(step, endpoint, counts, candidates.penalties[name]),
        )
        if score < best_score:
            best, best_score = endpoint, score
    if not has_room:
        candidates.unplaceable.append(need)
    if best is None or best_score[2] <= 1.0 or step.long_running:
        return best
    if not best_score[0] and _is_better_to_wait(
        engine, job, task, need, candidates, counts, best, now
    ):
        return None
    return best


def _measure_time_factor(
    engine: Engine, step: Step, endpoint: Endpoint, slowness: Mapping[str, float]
) -> float:
    """Return how many times as long a task takes at an endpoint as at the best ones.

    Small differences do not count, since the endpoints with most room come first.
    """
    registration = endpoint.registration
    factor = slowness.get(registration.endpoint, 1.0)
    factor = factor if factor > SLOW_FACTOR else 1.0
    if not step.rack:
        return factor
    return factor * engine.run_times.find_spread(step, registration.rack)


def _is_better_to_wait(
    engine: Engine,
    job: Job,
    task: TaskId,
    need: Resources,
    candidates: EligibleEndpoints,
    counts: PlaceCounts,
    best: Endpoint,
    now: float,
) -> bool:
    """Return whether a task would end sooner if it waited for a better endpoint.

    ``best`` is the best endpoint that has room for it now. A step waits for `HORIZON_S`
    in all, in case that no room is freed as expected.
    """
    step = job.find_step(task)
    key = task[1:3]
    if now - job.waits_since.get(key, now) >= HORIZON_S:
        return False
    factor = _measure_time_factor(engine, step, best, candidates.slowness)

    def is_suitable(endpoint: Endpoint) -> bool:
        if not _is_suitable(step, endpoint, counts):
            return False
        own = _measure_time_factor(engine, step, endpoint, candidates.slowness)
        return own < factor

    limit = (factor - 1.0) * estimate_task(engine, step)
    if not candidates.forecast.wait_for(task, need, is_suitable, limit):
        return False
    if key not in job.waits_since:
        job.waits_since[key] = now
        engine.report("TASK_WAITS", job_id=job.job_id, step=key, endpoint=best.name)
    return True


def can_start(
    step: Step, need: Resources, endpoint: Endpoint, counts: PlaceCounts
) -> bool:
    """Return whether an endpoint has capacity and label for a task of a step."""
    return endpoint.has_room(need) and _is_suitable(step, endpoint, counts)


def could_start(
    step: Step, need: Resources, endpoint: Endpoint, counts: PlaceCounts
) -> bool:
    """Return whether `can_start` holds once the runs that will end have ended."""
    room = endpoint.registration.capacity
    for run in endpoint.runs.values():
        if run.step.long_running:
            room = subtract(room, run.need)
    return fits(need, room) and _is_suitable(step, endpoint, counts)


def could_start_if_empty(
    step: Step, need: Resources, endpoint: Endpoint, counts: PlaceCounts
) -> bool:
    """Return whether `can_start` holds once all runs of the endpoint have ended."""
    capacity = endpoint.registration.capacity
    return fits(need, capacity) and _is_suitable(step, endpoint, counts)


def _is_suitable(step: Step, endpoint: Endpoint, counts: PlaceCounts) -> bool:
    if not _has_label(step, endpoint):
        return False
    return not step.per_endpoint or counts.get(endpoint.name, 0) < step.per_endpoint


def _is_cold(endpoint: Endpoint) -> bool:
    """Return whether an endpoint is still slow after its start, as it reports."""
    return endpoint.registration.cold_remaining > 0


def _has_label(step: Step, endpoint: Endpoint) -> bool:
    return not step.label or step.label in endpoint.registration.labels


def count_places(engine: Engine, task: TaskId, step: Step) -> PlaceCounts:
    """Return the runs of the task's step and occurrence by endpoint and by rack.

    They are only counted for steps whose placement depends on them.
    """
    counts: PlaceCounts = {}
    if step.per_endpoint or step.long_running:
        for run in engine.step_runs.get(task[:3], ()):
            add_place(counts, run.endpoint)
    return counts


def add_place(counts: PlaceCounts, endpoint: Endpoint) -> None:
    """Count a run at an endpoint and in its rack."""
    registration = endpoint.registration
    for place in (registration.endpoint, f"rack {registration.rack}"):
        counts[place] = counts.get(place, 0) + 1


def _score(
    step: Step,
    endpoint: Endpoint,
    counts: PlaceCounts,
    penalty: float,
) -> tuple[float, ...]:
    registration = endpoint.registration
    capacity = registration.capacity.cpu
    share = (capacity - endpoint.used.cpu) / (capacity or 1) / penalty
    if not step.best_effort and not step.long_running:
        return (-share,)
    here = counts.get(endpoint.name, 0)
    if step.best_effort:
        serving = sum(
            run.step.tail_latency_target > 0 for run in endpoint.runs.values()
        )
        best_effort_runs = sum(run.step.best_effort for run in endpoint.runs.values())
        return (best_effort_runs + serving, here, -share)
    return (here, counts.get(f"rack {registration.rack}", 0), -share)
