"""Autoscaling: how many instances each pool should have, and which ones move.

The decision needs no I/O. An instance in a pool is billed by the second, and one in a
standby pool is not billed. A move costs about as much as one second of an instance and
makes it unavailable for a while. So instances follow the demand of the queues, and
idle ones go back to the standby pool.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from briarshed_workloads.engine import Engine
from briarshed_workloads.estimates import estimate_remaining_time, estimate_task
from briarshed_workloads.evacuation import is_evacuated
from briarshed_workloads.fleet import Endpoint
from briarshed_workloads.jobs import Job, find_need, find_objective
from briarshed_workloads.urgency import (
    DemandLevel,
    choose_pool,
    find_urgency,
    split_demand,
)
from briarshed_workloads.workloads import NO_RESOURCES, Instance, Resources, add

MEAN_RATE_TIME_S = 1.2
"""Time constant of the mean arrival rate; demand shifts between queues every 4.5 s."""

LATEST_RATE_TIME_S = 0.5
"""Time constant of the latest arrival rate: a few jobs of a queue that resumes."""

RESUME_SHARE = 0.4
"""Share of the last peak from which a queue counts as active again."""

PEAK_DECAY_TIME_S = 60.0
"""Time constant with which the last peak decays; covers several shifts of demand."""

BACKLOG_CLEAR_S = 1.2
"""Time within which a pool should be able to finish its backlog."""

MIN_SURPLUS = 0.1
"""Share of an instance that must remain as surplus when one is released."""

LATE_BACKLOG_CLEAR_S = 5.0
"""Time within which a pool should finish jobs although they are late already."""

MIN_SHORTAGE = 0.5
"""Share of an instance that a pool must be short of before one is moved to it."""

MIN_INSTANCES = 2
"""Instances that stay in every pool, so that losing one does not leave it empty."""

MAX_MOVES_PER_STEP = 8
"""Maximum number of moves in a step; its effect should show before the next one."""


ChooseFloors = Callable[
    [Mapping[str, "PoolDemand"], Mapping[str, int], float], Mapping[str, int]
]


ALL_INSTANCES = 1_000_000
"""More instances than a pool has."""


class Move(NamedTuple):
    """An instance to move to another pool, and the reason."""

    instance: str
    pool: str
    reason: str


class ArrivalRate:
    """Rate at which work is submitted to one pool, in core-seconds per second.

    Demand alternates between queues, and a queue that resumes soon demands as much as
    it did before. So the rate jumps to the last peak as soon as the latest arrivals
    reach `RESUME_SHARE` of it.
    """

    def __init__(self) -> None:
        self._mean = _Decaying(MEAN_RATE_TIME_S)
        self._latest = _Decaying(LATEST_RATE_TIME_S)
        self._peak = 0.0
        self._peak_at = 0.0

    def add(self, core_seconds: float, now: float) -> None:
        """Add submitted core-seconds."""
        mean = self._mean.add(core_seconds, now)
        self._latest.add(core_seconds, now)
        if mean >= self._read_peak(now):
            self._peak, self._peak_at = mean, now

    def _read_peak(self, now: float) -> float:
        return self._peak * math.exp(-(now - self._peak_at) / PEAK_DECAY_TIME_S)

    def read(self, now: float) -> float:
        """Return the core-seconds per second that the pool should have capacity for."""
        mean, peak = self._mean.read(now), self._read_peak(now)
        if self._latest.read(now) >= RESUME_SHARE * peak:
            return max(mean, peak)
        return mean


class _Decaying:
    """An exponentially weighted rate."""

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._rate = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> float:
        """Add an amount and return the new rate."""
        self._rate = self.read(now) + amount / self._time_constant
        self._at = now
        return self._rate

    def read(self, now: float) -> float:
        """Return the decayed rate."""
        return self._rate * math.exp(-max(0.0, now - self._at) / self._time_constant)


class PoolDemand(NamedTuple):
    """Demand and capacity of a pool.

    Attributes
    ----------
    demand : float
        Millicores demanded by jobs without long-running tasks.
    fixed : Resources
        Resources that long-running tasks have reserved or wait for.
    capacity : Resources
        Capacity of the available endpoints and of the instances that move in.
    count : int
        Number of instances with that capacity.
    min_instances : int
        Minimum number of instances, given the long-running tasks that may share one.
    widest : int
        Instances over which the tasks of an open job have to be spread at most.
    levels : tuple of DemandLevel
        Parts of the demand by the priority of the queues.
    arriving : float
        Millicores demanded by the jobs that arrive, without those that wait.
    """

    demand: float
    fixed: Resources
    capacity: Resources
    count: int
    min_instances: int
    widest: int = 0
    levels: tuple[DemandLevel, ...] = ()
    arriving: float = 0.0

    def find_need(self) -> float:
        """Return the need of the pool in instances."""
        return self.count - self.find_surplus()

    def find_load(self) -> float:
        """Return the instances that the arriving jobs need."""
        return self.arriving * self.count / max(1, self.capacity.cpu)

    def find_surplus(self) -> float:
        """Return the surplus of the pool in instances; negative for a shortage."""
        if not self.count:
            has_demand = self.demand or self.fixed.cpu or self.fixed.memory_mb
            return -1.0 if has_demand else 0.0
        free_cpu = self.capacity.cpu - self.fixed.cpu - self.demand
        free_memory = self.capacity.memory_mb - self.fixed.memory_mb
        return min(
            free_cpu * self.count / max(1, self.capacity.cpu),
            free_memory * self.count / max(1, self.capacity.memory_mb),
            float(self.count - self.min_instances),
        )

    def find_urgency(self, surplus: float) -> float:
        """Return the most urgent priority for whose jobs the pool is short.

        ``surplus`` is the present surplus, in instances; others may have been assigned.
        """
        gained = surplus - self.find_surplus()

        def measure(share: float) -> float:
            return self._replace(demand=self.demand * share).find_surplus() + gained

        return find_urgency(self.levels, measure, MIN_SHORTAGE)


def measure_pool(
    engine: Engine,
    pool: str,
    endpoints: Iterable[Endpoint],
    rate: float,
    incoming: Iterable[Resources],
    now: float,
) -> PoolDemand:
    """Return the demand and the capacity of a pool.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        The endpoints of the pool.
    rate : float
        Core-seconds submitted per second.
    incoming : iterable of Resources
        Capacities of the instances that move in.
    """
    capacities = list(incoming)
    fixed = NO_RESOURCES
    for endpoint in endpoints:
        if is_available(endpoint):
            if not is_evacuated(engine, endpoint):
                capacities.append(endpoint.registration.capacity)
            for run in endpoint.runs.values():
                if run.step.long_running:
                    fixed = add(fixed, run.need)
    unix_now = engine.to_unix_time(now)
    backlog: dict[int, float] = defaultdict(float)
    late = 0.0
    min_instances = MIN_INSTANCES
    widest = 0
    for job in engine.list_open(pool).values():
        widest = max(widest, _count_widest(job))
        if job.is_long_running:
            min_instances = max(min_instances, _count_min_instances(job))
            for key in job.waiting.list_steps():
                need = find_need(job.description.steps[key.step])
                count = job.waiting.count(key)
                fixed = add(fixed, Resources(*(part * count for part in need)))
        elif can_meet_objective(engine, job, unix_now):
            queue = engine.find_queue(job)
            backlog[queue.priority if queue else 0] += find_remaining_work(engine, job)
        else:
            late += find_remaining_work(engine, job)
    in_time = sum(backlog.values()) / BACKLOG_CLEAR_S
    return PoolDemand(
        (max(rate, in_time) + late / LATE_BACKLOG_CLEAR_S) * 1000,
        fixed,
        _sum(capacities),
        len(capacities),
        min_instances,
        widest,
        split_demand(backlog, late, any(fixed)),
        rate * 1000,
    )


def _sum(capacities: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for capacity in capacities:
        total = add(total, capacity)
    return total


def _count_min_instances(job: Job) -> int:
    return max(
        math.ceil(step.count / step.per_endpoint) if step.per_endpoint else 1
        for step in job.description.steps
    )


def _count_widest(job: Job) -> int:
    """Return how many instances a job may need at the same time.

    That may be all of the pool for a gang, and for a step that only some instances
    can run.
    """
    for step in job.description.steps:
        if step.gang or step.label or step.need.accelerators:
            return ALL_INSTANCES
    return _count_min_instances(job)


def is_available(endpoint: Endpoint) -> bool:
    """Return whether an endpoint counts towards the capacity of its pool."""
    return (
        endpoint.is_listed
        and not endpoint.is_gone
        and not endpoint.registration.draining
        and not endpoint.failing_since
        and not endpoint.evicting
        and not endpoint.retiring
    )


def can_meet_objective(engine: Engine, job: Job, unix_now: float) -> bool:
    """Return whether a job can still meet its objective if it gets capacity now."""
    if job.is_long_running:
        return False
    objective = find_objective(job, engine.find_queue(job))
    return (
        unix_now + estimate_remaining_time(engine, job, unix_now)
        <= job.accepted_at + objective
    )


def find_remaining_work(engine: Engine, job: Job) -> float:
    """Return the estimated core-seconds of due tasks that have not succeeded."""
    steps = zip(job.description.steps, job.count_remaining_tasks(), strict=True)
    return sum(
        count * step.need.cpu / 1000 * estimate_task(engine, step)
        for step, count in steps
        if not step.long_running
    )


def measure_demands(
    engine: Engine,
    instances: Mapping[str, Instance],
    rates: Mapping[str, ArrivalRate],
    now: float,
) -> dict[str, PoolDemand]:
    """Return demand and capacity of each pool except the standby pools."""
    configuration = engine.configuration
    assert configuration is not None
    endpoints: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in engine.endpoints.values():
        endpoints[endpoint.registration.pool].append(endpoint)
    incoming: dict[str, list[Resources]] = defaultdict(list)
    for row in instances.values():
        is_usable = not engine.evacuated.is_evacuated(row.data_centre)
        if row.state == "moving" and is_usable:
            incoming[row.pool].append(row.capacity)
    demands = {}
    for pool, rules in configuration.pools.items():
        if rules.standby:
            continue
        rate = rates[pool].read(now) if pool in rates else 0.0
        demands[pool] = measure_pool(
            engine, pool, endpoints[pool], rate, incoming[pool], now
        )
    return demands


def measure_surplus(
    engine: Engine,
    instances: Mapping[str, Instance],
    rates: Mapping[str, ArrivalRate],
    now: float,
) -> dict[str, float]:
    """Return the surplus of each pool in instances; negative for a shortage."""
    demands = measure_demands(engine, instances, rates, now)
    return {pool: pool_demand.find_surplus() for pool, pool_demand in demands.items()}


def plan_moves(
    engine: Engine,
    instances: Mapping[str, Instance],
    rates: Mapping[str, ArrivalRate],
    pinned: Collection[str],
    sizes: Mapping[str, int],
    now: float,
    choose_floors: ChooseFloors | None = None,
) -> list[Move]:
    """Return the moves that match capacity to demand.

    A pool releases only instances beyond its floor, since its demand can return faster
    than an instance could. A surplus instance is retired first: it gets no new runs,
    and moves once it has none. Pools that are short come before those that are below
    their floor.

    Parameters
    ----------
    instances : mapping
        The platform's instances by name.
    rates : mapping
        Arrival rates by pool.
    pinned : collection of str
        Instances that must not move: due for maintenance, or moved recently.
    sizes : mapping
        Number of instances that the operator assigned to each pool.
    choose_floors : callable, optional
        Returns the number of instances that have to be in each pool, given the demands,
        the sizes and the time in seconds; by default the sizes.
    """
    configuration = engine.configuration
    assert configuration is not None
    standby = [name for name, row in configuration.pools.items() if row.standby]
    if not standby:
        # Without a pool to move to, no endpoint can be retired.
        for endpoint in engine.endpoints.values():
            endpoint.retiring = False
        return []
    demands = measure_demands(engine, instances, rates, now)
    floors = choose_floors(demands, sizes, now) if choose_floors else sizes
    surplus = {pool: demand.find_surplus() for pool, demand in demands.items()}
    assigned = Counter(row.pool for row in instances.values())
    missing = {
        pool: floors.get(pool, 0) - assigned[pool] if choose_floors else 0
        for pool in demands
    }
    claims = count_claims(surplus, assigned, sizes) if choose_floors else {}
    widths = {
        pool: min(sizes.get(pool, 0), demand.widest) - assigned[pool]
        for pool, demand in demands.items()
        if choose_floors
    }
    in_standby = sum(
        row.pool in standby
        and row.state == "up"
        and row.instance not in pinned
        and not engine.evacuated.is_evacuated(row.data_centre)
        for row in instances.values()
    )
    owed = sum(claims.values()) - in_standby
    by_pool: dict[str, list[Endpoint]] = defaultdict(list)
    for row in engine.endpoints.values():
        if row.registration.instance not in pinned and not is_evacuated(engine, row):
            by_pool[row.registration.pool].append(row)
    for pool, pool_demand in demands.items():
        rows = by_pool[pool]
        count, size = pool_demand.count, sizes.get(pool, 0)
        owed = _withdraw(rows, count - size, surplus, pool, owed)
        _choose_retiring(rows, count - floors.get(pool, 0), surplus, pool)
    free = [
        row
        for row in instances.values()
        if row.state == "up"
        and row.instance not in pinned
        and not engine.evacuated.is_evacuated(row.data_centre)
        and (row.pool in standby or _has_retired(engine, row))
    ]
    # Instances of other pools come first, since they are billed already.
    free.sort(key=lambda row: row.pool in standby)
    return _assign(
        surplus,
        claims,
        missing,
        widths,
        free,
        standby,
        lambda pool, rest: demands[pool].find_urgency(rest),
    )


def count_claims(
    surplus: Mapping[str, float], assigned: Mapping[str, int], sizes: Mapping[str, int]
) -> dict[str, int]:
    """Return how many instances each pool is short of up to its own size.

    Parameters
    ----------
    surplus : mapping
        Surplus of each pool in instances; negative for a shortage.
    assigned : mapping
        Instances that are in each pool or move there, in whatever state.
    sizes : mapping
        Number of instances that the operator assigned to each pool.
    """
    return {
        pool: max(0, min(math.ceil(-rest), sizes.get(pool, 0) - assigned.get(pool, 0)))
        for pool, rest in surplus.items()
        if rest <= -MIN_SHORTAGE
    }


def _withdraw(
    rows: Sequence[Endpoint],
    borrowed: int,
    surplus: dict[str, float],
    pool: str,
    owed: int,
) -> int:
    """Retire borrowed instances that their own pools claim, the least used ones first.

    Those that retire already are counted, and stay so only if they are owed.

    Parameters
    ----------
    borrowed : int
        Instances of the pool beyond its size that do not retire.
    owed : int
        Instances that other pools claim and that are not in standby.

    Returns
    -------
    int
        Instances that are still owed.
    """
    for row in rows:
        if not row.retiring:
            continue
        if surplus[pool] < 0 and (borrowed < 0 or owed <= 0):
            row.retiring = False
            surplus[pool] += 1
            borrowed += 1
        else:
            owed -= 1
    for row in _list_candidates(rows)[: max(0, min(borrowed, owed))]:
        row.retiring = True
        surplus[pool] -= 1
        owed -= 1
    return owed


def _choose_retiring(
    rows: Sequence[Endpoint], borrowed: int, surplus: dict[str, float], pool: str
) -> None:
    """Retire the least used instances of a pool as long as it has a surplus."""
    for row in _list_candidates(rows)[: max(0, borrowed)]:
        if surplus[pool] < 1 + MIN_SURPLUS:
            return
        row.retiring = True
        surplus[pool] -= 1


def _list_candidates(rows: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the endpoints that may retire, the least used ones first."""
    candidates = [
        row
        for row in rows
        if is_available(row)
        and row.is_fenced
        and not any(run.step.long_running for run in row.runs.values())
    ]
    candidates.sort(key=lambda row: row.used.cpu)
    return candidates


def _has_retired(engine: Engine, instance: Instance) -> bool:
    endpoint = engine.endpoints.get(instance.endpoint)
    return (
        endpoint is not None
        and not endpoint.is_gone
        and endpoint.retiring
        and endpoint.is_fenced
        and not endpoint.runs
    )


def _assign(
    surplus: dict[str, float],
    claims: dict[str, int],
    missing: dict[str, int],
    widths: dict[str, int],
    free: Sequence[Instance],
    standby: Sequence[str],
    find_urgency: Callable[[str, float], float],
) -> list[Move]:
    """Move free instances to the pools that lack most, others to standby.

    Pools that are short of their own instances come first, the most urgent ones before
    others (see `urgency.choose_pool`), then those with a job that needs more instances
    at the same time, see ``widths``. Those below their floor whose instances are lent
    to others get no further ones from standby. At most `MAX_MOVES_PER_STEP` are moved.
    """
    moves: list[Move] = []
    balance = sum(missing.values())
    for row in free:
        if len(moves) >= MAX_MOVES_PER_STEP:
            break
        others = [pool for pool in surplus if pool != row.pool]
        short = [pool for pool in others if surplus[pool] <= -MIN_SHORTAGE]
        claiming = [pool for pool in short if claims.get(pool, 0) > 0]
        wide = [pool for pool in others if widths.get(pool, 0) > 0]
        below = [pool for pool in others if missing[pool] > 0]
        if short:
            pool = choose_pool(claiming or short, surplus, find_urgency)
            lacking = min(claiming or short, key=lambda name: surplus[name])
            reason = "demand" if pool == lacking else "urgent demand"
        elif wide:
            pool, reason = max(wide, key=lambda name: widths[name]), "demand"
        elif below and (balance > 0 or row.pool not in standby):
            pool = max(below, key=lambda name: missing[name])
            reason = "expected demand"
        elif row.pool not in standby:
            pool, reason = standby[0], "not needed"
        else:
            continue
        moves.append(Move(row.instance, pool, reason))
        balance += (pool in standby) - (row.pool in standby)
        if pool in surplus:
            surplus[pool] += 1
            missing[pool] -= 1
            claims[pool] = claims.get(pool, 0) - 1
            widths[pool] = widths.get(pool, 0) - 1
    return moves
