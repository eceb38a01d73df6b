"""Plans of a leader at the size of a fleet, as decisions without arguments."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import NamedTuple

from briarshed_workloads.configuration import (
    Configuration,
    PoolRules,
    QueueRules,
    RequestLimits,
    TeamRules,
)
from briarshed_workloads.engine import Engine
from briarshed_workloads.evacuation import EvacuationChange
from briarshed_workloads.fleet import Run
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.ordering import sort_jobs
from briarshed_workloads.placement import (
    choose_endpoint,
    count_places,
    gather_candidates,
    list_eligible,
)
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.relocation import limit_relocations
from briarshed_workloads.shortage import MAX_OUTLOOK_CACHE_S
from briarshed_workloads.sizing import plan_moves
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Description,
    Instance,
    PollResponse,
    Registration,
    Resources,
    Step,
    Submission,
    TaskId,
)

NOW = 1_000.0
PLANNED_AT = NOW + 0.5
"""The tasks that run end in half of their time, so that room for others is expected."""
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")
RACK_SIZE = 4
SLOTS = 8
NEED = Resources(2_000, 2_000, 0)
CAPACITY = Resources(SLOTS * NEED.cpu, SLOTS * NEED.memory_mb, 0)
TASK_S = 1.0
RACK_OF_DATA = "rack 0"

Decision = Callable[[], object]


class FleetSize(NamedTuple):
    """Number of endpoints, pools and teams, and of the jobs that wait in each pool."""

    endpoints: int
    pools: int
    teams: int
    waiting: int


class Fleet:
    """A leader's state of a fleet in which all but one slot of each endpoint are busy.

    A long-running task runs at the first endpoint of each pool.
    """

    def __init__(self, size: FleetSize) -> None:
        self.pools = [f"p{number}" for number in range(size.pools)]
        self.engine = Engine(2, LeaseTimes(4.0, 4.0, 10.0), lambda *_, **__: None)
        self.engine.configuration = _make_configuration(self.pools, size.teams)
        self.instances: dict[str, Instance] = {}
        self._numbers = itertools.count()
        self._add_endpoints(size.endpoints)
        self._occupy()
        for pool, _ in itertools.product(self.pools, range(size.waiting)):
            team = f"t{next(self._numbers) % size.teams}"
            self.submit(pool, team, Step(4, NEED, TASK_S, rack=RACK_OF_DATA))

    def _add_endpoints(self, count: int) -> None:
        registrations = []
        for number in range(count):
            name, pool = f"e{number}", self.pools[number % len(self.pools)]
            rack = number // len(self.pools) // RACK_SIZE
            data_centre = DATA_CENTRES[rack % len(DATA_CENTRES)]
            registrations.append(
                Registration(
                    name,
                    1,
                    "",
                    pool,
                    data_centre,
                    f"rack {rack}",
                    (),
                    CAPACITY,
                    instance=f"i{number}",
                )
            )
            self.instances[f"i{number}"] = Instance(
                f"i{number}", pool, "up", data_centre, (), CAPACITY, name
            )
        self.engine.note_registrations(registrations, NOW)
        self.engine.roster = set(self.engine.endpoints)
        for endpoint in self.engine.endpoints.values():
            response = PollResponse(int(NOW * 1000), 1, (), ())
            self.engine.note_poll(endpoint, response, endpoint.counter, NOW, NOW)

    def _occupy(self) -> None:
        """Let tasks run in all slots but one, and in all of the rack with the data."""
        long_running: set[str] = set()
        for endpoint in self.engine.endpoints.values():
            pool = endpoint.registration.pool
            is_full = endpoint.registration.rack == RACK_OF_DATA
            for number in range(SLOTS if is_full else SLOTS - 1):
                is_first = pool not in long_running and not number
                long_running.add(pool)
                step = Step(1, NEED, TASK_S, long_running=is_first)
                task = TaskId(self.submit(pool, "t0", step), 0, 0, 0)
                run = self.engine.reserve(task, endpoint, step, "t0", NOW)
                self.engine.note_started(run, int(NOW * 1000), NOW)

    def submit(self, pool: str, team: str, step: Step) -> str:
        """Accept a job of one step, and return its id."""
        job_id = f"{next(self._numbers):016x}"
        submission = Submission(job_id, pool, pool, team, NOW, Description("", (step,)))
        self.engine.activate(self.engine.accept(submission, NOW), NOW)
        return job_id

    def find_long_running(self) -> Run:
        """Return the long-running run of the first pool."""
        return next(
            run
            for endpoint in self.engine.endpoints.values()
            for run in endpoint.runs.values()
            if run.step.long_running
        )


def _make_configuration(pools: list[str], teams: int) -> Configuration:
    queues = {
        pool: QueueRules(pool, "h", f"/{pool}/", pool, 0, 2, 1.6, 0.6, 3.0, True)
        for pool in pools
    }
    rules = {pool: PoolRules(pool, False, False) for pool in pools}
    rules["reserve"] = PoolRules("reserve", False, True)
    teams_by_name = {
        f"t{number}": TeamRules(f"t{number}", 1.0 + number % 4, NO_RESOURCES)
        for number in range(teams)
    }
    return Configuration(1, queues, rules, teams_by_name, {}, RequestLimits(), {})


def make_order(fleet: Fleet, interval_s: float) -> Decision:
    """Return a decision on the order of the first pool's jobs, ``interval_s`` later."""
    now = NOW

    def order() -> None:
        nonlocal now
        now += interval_s
        jobs = fleet.engine.list_open(fleet.pools[0]).values()
        waiting = [job for job in jobs if job.waiting]
        sort_jobs(fleet.engine, fleet.pools[0], waiting, now)

    return order


def make_shares(fleet: Fleet) -> Decision:
    """Return a decision whether a new job of the next team lies within its share."""
    teams = itertools.cycle(fleet.engine.configuration.teams.values())
    numbers = itertools.count()

    def take() -> None:
        team = next(teams)
        job_id = f"{next(numbers):016x}"
        fleet.engine.shares.take(job_id, team.name, team.weight, NOW)

    return take


def make_sizing(fleet: Fleet) -> Decision:
    """Return a decision on the moves of instances."""
    sizes = dict.fromkeys(fleet.pools, len(fleet.instances) // len(fleet.pools))
    return lambda: plan_moves(fleet.engine, fleet.instances, {}, set(), sizes, NOW)


def make_relocation(fleet: Fleet) -> Decision:
    """Return a decision whether a long-running task may leave its data centre."""
    run = fleet.find_long_running()
    place = run.endpoint.registration.data_centre
    changes = [EvacuationChange(place, True, 1)]
    fleet.engine.evacuated.note_changes(changes, NOW)
    return lambda: limit_relocations(fleet.engine, NOW)(run)


def make_wait(fleet: Fleet) -> Decision:
    """Return a decision whether a task waits for the rack that holds its data."""
    engine, pool = fleet.engine, fleet.pools[0]
    job = next(job for job in engine.list_open(pool).values() if job.waiting)
    task = next(iter(job.waiting))
    step = job.find_step(task)
    counts = count_places(engine, task, step)
    eligible = list_eligible(engine, pool, PLANNED_AT)

    def choose() -> None:
        candidates = gather_candidates(engine, eligible, PLANNED_AT)
        choose_endpoint(engine, job, task, NEED, candidates, counts, PLANNED_AT)

    return choose


def make_full_plan(fleet: Fleet) -> Decision:
    """Return a plan of all pools in which the starts are taken back."""

    def plan() -> None:
        for order in plan_starts(fleet.engine, PLANNED_AT):
            fleet.engine.drop(order.run, "taken back")

    return plan


class Plan(NamedTuple):
    """A kind of plan, and what makes its decision for a fleet."""

    label: str
    make: Callable[[Fleet], Decision]


PLANS = (
    Plan("order of a pool, choice stands", lambda fleet: make_order(fleet, 0.0)),
    Plan(
        "outlook and order of a pool, anew",
        lambda fleet: make_order(fleet, MAX_OUTLOOK_CACHE_S),
    ),
    Plan("share of a team", make_shares),
    Plan("wait for a better endpoint of a pool", make_wait),
    Plan("sizing of all pools", make_sizing),
    Plan("relocation of a task", make_relocation),
    Plan("starts of all pools", make_full_plan),
)
