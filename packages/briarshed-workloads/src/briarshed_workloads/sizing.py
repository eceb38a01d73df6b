"""How many instances each pool should have, and which ones move; a pure decision.

An instance in a pool is paid for by the second, and one in a standby pool is not. A
move costs about as much as one second of an instance and takes it away for a while. So
instances follow the demand of the queues, and idle ones go back to the standby pool.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Endpoint
from briarshed_workloads.jobs import Job, find_need, find_objective
from briarshed_workloads.planning import estimate_rest, estimate_task
from briarshed_workloads.workloads import NO_RESOURCES, Instance, Resources, add

RATE_TIME_S = 1.2
"""Time constant of the mean arrival rate; short against the turns of demand (4.5 s)."""

NEWEST_TIME_S = 0.5
"""Time constant of the rate of the newest arrivals: some jobs of a waking queue."""

WAKING_SHARE = 0.4
"""Part of the last peak from which on a queue counts as waking up."""

PEAK_TIME_S = 60.0
"""Time constant with which the last peak is forgotten; some rounds of the turns."""

CLEAR_S = 1.2
"""Time within which a pool should be able to finish the work that waits."""

SURPLUS_SHARE = 0.1
"""Part of an instance by which capacity must exceed demand before one is released."""

CLEAR_LATE_S = 5.0
"""Time within which work that is late already should be finished all the same."""

LACK_SHARE = 0.5
"""Part of an instance that a pool must lack before one is moved to it."""

LEAST_INSTANCES = 2
"""Instances that stay in every pool, so that one loss does not leave it empty."""

MAX_MOVES = 8
"""Moves decided in one step, so that a step's effect shows before the next."""


class Move(NamedTuple):
    """An instance that goes to another pool, and why."""

    instance: str
    pool: str
    reason: str


class ArrivalRate:
    """Rate of work handed in to one pool, in cores.

    Demand turns: a queue that wakes up soon asks for as much as it did the last time.
    So the rate jumps to the last peak once the newest arrivals reach a part of it.
    """

    def __init__(self) -> None:
        self._mean = _Decaying(RATE_TIME_S)
        self._newest = _Decaying(NEWEST_TIME_S)
        self._peak = 0.0
        self._peak_at = 0.0

    def add(self, work: float, now: float) -> None:
        """Count core-seconds that were handed in."""
        mean = self._mean.add(work, now)
        self._newest.add(work, now)
        if mean >= self._read_peak(now):
            self._peak, self._peak_at = mean, now

    def _read_peak(self, now: float) -> float:
        return self._peak * math.exp(-(now - self._peak_at) / PEAK_TIME_S)

    def read(self, now: float) -> float:
        """Return core-seconds a second that the pool should be ready for."""
        mean, peak = self._mean.read(now), self._read_peak(now)
        if self._newest.read(now) >= WAKING_SHARE * peak:
            return max(mean, peak)
        return mean


class _Decaying:
    """An exponentially weighted rate."""

    def __init__(self, time: float) -> None:
        self._time = time
        self._rate = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> float:
        """Count an amount and return the new rate."""
        self._rate = self.read(now) + amount / self._time
        self._at = now
        return self._rate

    def read(self, now: float) -> float:
        """Return the rate."""
        return self._rate * math.exp(-max(0.0, now - self._at) / self._time)


class PoolNeed(NamedTuple):
    """What a pool needs and has.

    Attributes
    ----------
    demand : float
        Thousandths of a core that work with an end asks for.
    fixed : Resources
        What long-running tasks occupy or wait for.
    capacity : Resources
        Room of the working endpoints, and of instances on their way.
    count : int
        Instances of that capacity.
    least : int
        Instances that a long-running step needs, since its tasks must not share one.
    """

    demand: float
    fixed: Resources
    capacity: Resources
    count: int
    least: int

    def find_surplus(self) -> float:
        """Return how many instances the pool could do without; negative if it lacks."""
        if not self.count:
            wanted = self.demand or self.fixed.cpu or self.fixed.memory_mb
            return -1.0 if wanted else 0.0
        free_cpu = self.capacity.cpu - self.fixed.cpu - self.demand
        free_memory = self.capacity.memory_mb - self.fixed.memory_mb
        return min(
            free_cpu * self.count / max(1, self.capacity.cpu),
            free_memory * self.count / max(1, self.capacity.memory_mb),
            float(self.count - self.least),
        )


def measure_pool(
    engine: Engine, pool: str, rate: float, incoming: list[Resources], now: float
) -> PoolNeed:
    """Return the need of a pool.

    Parameters
    ----------
    rate : float
        Core-seconds handed in a second.
    incoming : list of Resources
        Capacity of the instances that move there.
    """
    rooms = list(incoming)
    fixed = NO_RESOURCES
    for endpoint in engine.endpoints.values():
        if endpoint.registration.pool == pool and is_working(endpoint):
            rooms.append(endpoint.registration.capacity)
            for run in endpoint.runs.values():
                if run.step.long_running:
                    fixed = add(fixed, run.need)
    wall_now = engine.to_unix_time(now)
    backlog = late = 0.0
    least = LEAST_INSTANCES
    for job in engine.list_open(pool).values():
        if job.is_long_running:
            least = max(least, _count_least(job))
            for task in job.waiting:
                fixed = add(fixed, find_need(job.find_step(task)))
        elif is_worth_room(engine, job, wall_now):
            backlog += find_work_left(engine, job)
        else:
            late += find_work_left(engine, job)
    demand = (max(rate, backlog / CLEAR_S) + late / CLEAR_LATE_S) * 1000
    return PoolNeed(demand, fixed, _sum(rooms), len(rooms), least)


def _sum(rooms: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for room in rooms:
        total = add(total, room)
    return total


def _count_least(job: Job) -> int:
    return max(
        math.ceil(step.count / step.per_endpoint) if step.per_endpoint else 1
        for step in job.description.steps
    )


def is_working(endpoint: Endpoint) -> bool:
    """Tell whether an endpoint counts as capacity of its pool."""
    return (
        endpoint.is_listed
        and not endpoint.is_gone
        and not endpoint.registration.draining
        and not endpoint.failing_since
        and not endpoint.evicting
        and not endpoint.retiring
    )


def is_worth_room(engine: Engine, job: Job, wall_now: float) -> bool:
    """Tell whether a job can still meet its objective if it gets room now."""
    if job.is_long_running:
        return False
    objective = find_objective(job, engine.find_queue(job))
    return (
        wall_now + estimate_rest(engine, job, wall_now) <= job.accepted_at + objective
    )


def find_work_left(engine: Engine, job: Job) -> float:
    """Return the core-seconds of the job's tasks that have not succeeded."""
    return sum(
        (step.count - len(job.succeeded.get((0, number), ())))
        * step.need.cpu
        / 1000
        * estimate_task(engine, step)
        for number, step in enumerate(job.description.steps)
        if not step.long_running
    )


def measure_needs(
    engine: Engine,
    instances: Mapping[str, Instance],
    rates: Mapping[str, ArrivalRate],
    now: float,
) -> dict[str, PoolNeed]:
    """Return the need of each pool that is not a standby pool."""
    configuration = engine.configuration
    assert configuration is not None
    needs = {}
    for pool, rules in configuration.pools.items():
        if rules.standby:
            continue
        rate = rates[pool].read(now) if pool in rates else 0.0
        incoming = [
            row.capacity
            for row in instances.values()
            if row.pool == pool and row.state == "moving"
        ]
        needs[pool] = measure_pool(engine, pool, rate, incoming, now)
    return needs


def measure_surplus(
    engine: Engine,
    instances: Mapping[str, Instance],
    rates: Mapping[str, ArrivalRate],
    now: float,
) -> dict[str, float]:
    """Return how many instances each pool could do without; negative if it lacks."""
    needs = measure_needs(engine, instances, rates, now)
    return {pool: need.find_surplus() for pool, need in needs.items()}


def plan_moves(
    engine: Engine,
    instances: Mapping[str, Instance],
    rates: Mapping[str, ArrivalRate],
    held: Collection[str],
    sizes: Mapping[str, int],
    now: float,
) -> list[Move]:
    """Return the moves that bring capacity to demand.

    A pool lends only what it has beyond the size that the operator gave it: demand
    returns faster than an instance could. An instance that a pool can do without
    retires first: it gets no new work and moves once it is empty.

    Parameters
    ----------
    instances : mapping
        The platform's list by name.
    rates : mapping
        Arrival rate by pool.
    held : collection of str
        Instances that must stay: due for maintenance, or ordered a moment ago.
    sizes : mapping
        Instances that the operator gave to each pool.
    """
    configuration = engine.configuration
    assert configuration is not None
    standby = [name for name, row in configuration.pools.items() if row.standby]
    if not standby:
        return []
    surplus: dict[str, float] = {}
    for pool, need in measure_needs(engine, instances, rates, now).items():
        surplus[pool] = need.find_surplus()
        _choose_retiring(engine, pool, need.count - sizes.get(pool, 0), surplus, held)
    free = [
        row
        for row in instances.values()
        if row.state == "up"
        and row.instance not in held
        and (row.pool in standby or _has_retired(engine, row))
    ]
    # Parked ones last: another pool's instance is paid for already.
    free.sort(key=lambda row: row.pool in standby)
    return _match(surplus, free, standby)[:MAX_MOVES]


def _choose_retiring(
    engine: Engine,
    pool: str,
    lent: int,
    surplus: dict[str, float],
    held: Collection[str],
) -> None:
    """Let the emptiest instances of a pool retire while it can do without them."""
    rows = [
        row
        for row in engine.endpoints.values()
        if row.registration.pool == pool and row.registration.instance not in held
    ]
    if surplus[pool] < 0:
        for row in rows:
            if row.retiring:
                row.retiring = False
                surplus[pool] += 1
    guests = [
        row
        for row in rows
        if is_working(row)
        and row.is_fenced
        and not any(run.step.long_running for run in row.runs.values())
    ]
    guests.sort(key=lambda row: row.used.cpu)
    for row in guests[: max(0, lent)]:
        if surplus[pool] < 1 + SURPLUS_SHARE:
            return
        row.retiring = True
        surplus[pool] -= 1


def _has_retired(engine: Engine, instance: Instance) -> bool:
    endpoint = engine.endpoints.get(instance.endpoint)
    return (
        endpoint is not None
        and endpoint.retiring
        and endpoint.is_fenced
        and not endpoint.runs
    )


def _match(
    surplus: dict[str, float], free: list[Instance], standby: list[str]
) -> list[Move]:
    """Give free instances to the pools that lack most, and park the rest."""
    moves: list[Move] = []
    for row in free:
        lacking = min(surplus, key=lambda pool: surplus[pool])
        if surplus[lacking] <= -LACK_SHARE and row.pool != lacking:
            moves.append(Move(row.instance, lacking, "demand"))
            surplus[lacking] += 1
        elif row.pool not in standby:
            moves.append(Move(row.instance, standby[0], "not needed"))
    return moves
