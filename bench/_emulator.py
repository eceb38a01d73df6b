"""Seeded emulation of pools and jobs with rotating bursts, on the real engine.

Endpoints, callers and the network are modelled as delays; all decisions are made by
the engine. Time is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from briarshed_workloads import maintenance, moves_control
from briarshed_workloads.admission import find_retry_delay
from briarshed_workloads.configuration import (
    Configuration,
    PoolRules,
    QueueRules,
    RequestLimits,
    TeamRules,
)
from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Run
from briarshed_workloads.jobs import COMPLETED, FAILED, find_objective, make_job
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.shares import Shares
from briarshed_workloads.shortage import measure_incoming
from briarshed_workloads.sizing import ArrivalRate, plan_moves
from briarshed_workloads.standing_by import StandingBy
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Description,
    EndedRun,
    Instance,
    PollResponse,
    Registration,
    Resources,
    Step,
    Submission,
)

START_DELAY_S = 0.004
"""Delay between an order and the start at the endpoint."""

END_DELAY_S = 0.06
"""Delay between the end of a run at an endpoint and its receipt by the leader."""

BEFORE_ALL_STARTS = -1.0
"""Time of a poll sent before all starts: runs that it does not list may exist."""

MAX_RETRIES = 4
"""How often a caller submits a refused job again."""

HOT_TEAM, HOT_FROM, HOT_UNTIL = 3, 0.25, 0.5
"""The team whose demand rises, and the part of the time for which it does."""

WEIGHT_FACTOR = 1.9
"""A team's weight as a multiple of its usual jobs per second."""

MOVE_S = 1.5
LATE_FACTOR = 3.0
LATE_VALUE = 0.07
"""Part of its value that a job earns between its objective and three times that."""


class JobProfile(NamedTuple):
    """Distribution of a queue's jobs; times in seconds, ``cpu`` in millicores."""

    pool: str
    arrivals_per_s: float
    steps: float
    tasks_per_step: float
    seconds: float
    cpu: int
    memory_mb: int
    estimate_sigma: float
    priority: int
    attempts: int
    failing_part: float


class Deployment(NamedTuple):
    """A deployment: instances per pool and in reserve, and its job profiles."""

    name: str
    instances: int
    spare: int
    capacity: Resources
    long_running_jobs: int
    long_running_tasks: int
    long_running_demand: Resources
    profiles: tuple[JobProfile, ...]
    burst_s: float
    teams: int = 1


MOLDURAS = Deployment(
    "molduras",
    8,
    8,
    Resources(16_000, 65_536, 0),
    6,
    5,
    Resources(1_500, 11_000, 0),
    (
        JobProfile("p0", 3.68, 1.6, 6, 0.64, 1_100, 3_300, 0.2, 0, 2, 0.03),
        JobProfile("p1", 0.334, 2.0, 8, 2.1, 2_500, 5_100, 0.5, 1, 2, 0.0),
        JobProfile("p2", 4.6, 1.6, 6, 0.64, 1_100, 3_300, 0.2, 0, 2, 0.03),
        JobProfile("p3", 0.407, 2.0, 8, 2.1, 2_500, 5_100, 0.5, 1, 2, 0.0),
    ),
    4.5,
)

MSASANI = Deployment(
    "msasani",
    6,
    6,
    Resources(64_000, 262_144, 0),
    6,
    5,
    Resources(6_700, 32_000, 0),
    (
        JobProfile("p0", 2.96, 1.6, 6, 1.0, 3_500, 13_000, 0.2, 0, 3, 0.03),
        JobProfile("p1", 0.534, 2.0, 8, 1.7, 7_700, 20_000, 0.5, 1, 3, 0.0),
        JobProfile("p2", 3.71, 1.6, 6, 1.0, 3_500, 13_000, 0.2, 0, 3, 0.03),
        JobProfile("p3", 0.654, 2.0, 8, 1.7, 7_700, 20_000, 0.5, 1, 3, 0.0),
    ),
    4.5,
)

LARGE_MOLDURAS = Deployment(
    "molduras-grown",
    38,
    30,
    Resources(16_000, 32_768, 0),
    1,
    20,
    Resources(1_900, 6_000, 0),
    (
        JobProfile("p0", 7.09, 1.6, 8, 1.0, 2_000, 2_900, 0.2, 0, 2, 0.03),
        JobProfile("p1", 1.38, 2.0, 8, 2.1, 4_400, 5_900, 0.2, 1, 2, 0.0),
        JobProfile("p2", 8.86, 1.6, 8, 1.0, 2_000, 2_900, 0.2, 0, 2, 0.03),
        JobProfile("p3", 1.69, 2.0, 8, 2.1, 4_400, 5_900, 0.2, 1, 2, 0.0),
    ),
    4.0,
)

LARGE_MSASANI = Deployment(
    "msasani-grown",
    37,
    29,
    Resources(64_000, 262_144, 0),
    1,
    20,
    Resources(9_000, 47_000, 0),
    (
        JobProfile("p0", 9.14, 1.6, 8, 1.0, 6_200, 23_000, 0.2, 0, 3, 0.03),
        JobProfile("p1", 2.31, 2.0, 8, 1.7, 13_000, 49_000, 0.2, 1, 3, 0.0),
        JobProfile("p2", 11.4, 1.6, 8, 1.0, 6_200, 23_000, 0.2, 0, 3, 0.03),
        JobProfile("p3", 2.82, 2.0, 8, 1.7, 13_000, 49_000, 0.2, 1, 3, 0.0),
    ),
    4.0,
)

COMPETING = Deployment(
    "competing",
    36,
    29,
    Resources(64_000, 262_144, 0),
    1,
    24,
    Resources(6_000, 20_000, 0),
    (
        JobProfile("p0", 9.15, 1.6, 8, 0.8, 6_200, 23_000, 0.2, 0, 2, 0.01),
        JobProfile("p1", 2.42, 2.0, 8, 1.3, 13_000, 49_000, 0.2, 1, 4, 0.03),
        JobProfile("p2", 11.5, 1.6, 8, 0.8, 6_200, 23_000, 0.2, 0, 2, 0.01),
        JobProfile("p3", 2.95, 2.0, 8, 1.3, 13_000, 49_000, 0.2, 1, 4, 0.03),
    ),
    4.0,
    20,
)

CROWDED = Deployment(
    "crowded",
    36,
    29,
    Resources(32_000, 131_072, 0),
    3,
    24,
    Resources(4_700, 27_000, 0),
    (
        JobProfile("p0", 19.8, 1.6, 8, 0.64, 2_800, 8_000, 0.2, 0, 4, 0.01),
        JobProfile("p1", 4.09, 2.0, 8, 1.3, 6_000, 12_000, 0.5, 1, 2, 0.03),
        JobProfile("p2", 24.7, 1.6, 8, 0.64, 2_800, 8_000, 0.2, 0, 4, 0.01),
        JobProfile("p3", 5.0, 2.0, 8, 1.3, 6_000, 12_000, 0.5, 1, 2, 0.03),
    ),
    4.0,
    20,
)
"""Endpoints half full of tasks that last, so that few large tasks fit beside them."""

DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (
        MOLDURAS,
        MSASANI,
        LARGE_MOLDURAS,
        LARGE_MSASANI,
        COMPETING,
        CROWDED,
    )
}


def list_usage(teams: int) -> list[float]:
    """Return the usual demand of each team; a few are large."""
    return [1 / (number + 1) ** 1.2 for number in range(teams)]


class Result(NamedTuple):
    """Result of a run; values are relative to the value of all jobs.

    ``large_served`` is the part of the largest jobs whose result had a value, relative
    to that part of all jobs of their queue; the lowest of all queues, of the largest
    tenth and of the fifth below it.
    """

    earned: float
    on_time: float
    largest: float
    worst_kind: float
    instance_seconds: float
    moves: int
    served: float
    refusals: float
    large_served: float


class Emulation:
    """One emulated run of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        load: float,
        moves: bool,
        length: float = 34.0,
        may_refuse: bool = True,
        hot: float = 5.0,
        may_stand_by: bool = False,
    ) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.run_random = random.Random(seed + 1_000)
        self.length = length
        self.load = load
        self.may_move = moves
        self.now = 0.0
        self.engine = Engine(1, LeaseTimes(5.0, 5.0, 5.0), lambda *_, **__: None)
        self.engine.configuration = _configure(deployment)
        self.instances: dict[str, Instance] = {}
        self.rates: dict[str, ArrivalRate] = {}
        self.moved_at: dict[str, float] = {}
        self.move_count = 0
        self.instance_seconds = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ends: dict[str, list[EndedRun]] = {}
        self._numbers: dict[str, int] = {}
        self._incarnations = itertools.count()
        self._durations: dict[str, list[float]] = {}
        self._profile_numbers: dict[str, int] = {}
        self._failing_jobs: set[str] = set()
        self._sent_at: dict[str, float] = {}
        self._sizes: dict[str, float] = {}
        self._unowed: set[str] = set()
        self._owed = Shares()
        self.may_refuse = may_refuse
        self.refusals = 0
        self.hot = hot
        self._standing_by = StandingBy(0.0, MOVE_S) if may_stand_by else None

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self) -> Result:
        """Run the emulation and return its result."""
        self._build_fleet()
        for profile in self.deployment.profiles:
            for number in range(self.deployment.long_running_jobs):
                self._submit_long_running(profile.pool, number)
        for number, profile in enumerate(self.deployment.profiles):
            self._schedule_arrivals(number, profile)
        self.at(0.0, self._run_sizing)
        while self._events and self._events[0][0] < self.length + 20.0:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if not self._events or self._events[0][0] > self.now + 0.008:
                self._plan()
        return self._evaluate()

    def _build_fleet(self) -> None:
        pools = [profile.pool for profile in self.deployment.profiles]
        for pool in pools:
            for number in range(self.deployment.instances):
                name = f"{pool}-{number}"
                self.instances[name] = Instance(
                    name, pool, "up", "d", (), self.deployment.capacity, ""
                )
                self._start_endpoint(name, pool)
        for number in range(self.deployment.spare):
            name = f"spare-{number}"
            self.instances[name] = Instance(
                name, "standby", "up", "d", (), self.deployment.capacity, ""
            )

    def _start_endpoint(self, instance: str, pool: str) -> None:
        endpoint = f"{instance}.{next(self._incarnations)}"
        row = self.instances[instance]
        self.instances[instance] = row._replace(
            pool=pool, state="up", endpoint=endpoint
        )
        rack = f"r{int(instance.rpartition('-')[2]) // 4}"
        registration = Registration(
            endpoint,
            1,
            "",
            pool,
            "d",
            rack,
            (),
            self.deployment.capacity,
            instance=instance,
        )
        present = [row.registration for row in self.engine.endpoints.values()]
        self.engine.note_registrations([*present, registration], self.now)
        known = self.engine.endpoints[endpoint]
        known.fenced_counter = 1
        known.needs_fence = False
        self.engine.roster.add(endpoint)
        self._ends[endpoint] = []

    def _schedule_arrivals(self, number: int, profile: JobProfile) -> None:
        profile_count = len(self.deployment.profiles)
        for start in range(math.ceil(self.length / self.deployment.burst_s)):
            is_burst = start % profile_count == number
            rate = profile.arrivals_per_s * self.load * (4.0 if is_burst else 0.05)
            time = start * self.deployment.burst_s
            end = min(self.length, time + self.deployment.burst_s)
            while True:
                time += self.random.expovariate(rate)
                if time >= end:
                    break
                self.at(time, partial(self._submit, number))

    def _draw(self, mean: float, spread: float, most: float) -> float:
        sigma = math.sqrt(math.log(1 + spread**2))
        value = self.random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        return min(value, most)

    def _submit_long_running(self, pool: str, number: int) -> None:
        step = Step(
            self.deployment.long_running_tasks,
            self.deployment.long_running_demand,
            0.5,
            per_endpoint=1,
            long_running=True,
        )
        self._accept(f"lasting-{pool}-{number}", f"last-{pool}", pool, (step,))

    def _submit(self, number: int) -> None:
        profile = self.deployment.profiles[number]
        job_id = f"{number}-{next(self._order)}"
        count = max(1, round(self._draw(profile.steps, 0.4, 4)))
        steps, durations = [], []
        for index in range(count):
            seconds = self._draw(profile.seconds, 0.5, profile.seconds * 2.5)
            estimate_factor = math.exp(self.random.gauss(0, profile.estimate_sigma))
            cpu = int(self._draw(profile.cpu, 0.45, profile.cpu * 3))
            memory = int(self._draw(profile.memory_mb, 0.6, profile.memory_mb * 3))
            tasks_per_step = max(
                1,
                round(
                    self._draw(profile.tasks_per_step, 0.6, profile.tasks_per_step * 4)
                ),
            )
            after = (index - 1,) if index else ()
            need = Resources(cpu, memory, 0)
            steps.append(
                Step(
                    tasks_per_step, need, seconds * estimate_factor, after, image=job_id
                )
            )
            durations.append(seconds)
        self._durations[job_id] = durations
        self._profile_numbers[job_id] = number
        if self.random.random() < profile.failing_part:
            self._failing_jobs.add(job_id)
        team = self._draw_team()
        rules = self.engine.configuration.teams.get(team)
        if rules and not self._owed.take(job_id, team, rules.weight, self.now):
            self._unowed.add(job_id)
        queue = f"q-{profile.pool}"
        self._sizes[job_id] = sum(
            step.count * step.need.cpu / 1000 * step.estimate for step in steps
        )
        self._accept(job_id, queue, profile.pool, tuple(steps), team)

    def _draw_team(self) -> str:
        """Return the team of the next job; one is hot for a quarter of the time."""
        count = self.deployment.teams
        if count < 2:
            return ""
        usage = list_usage(count)
        if HOT_FROM <= self.now / self.length < HOT_UNTIL:
            usage[HOT_TEAM] *= self.hot
        return f"t{self.random.choices(range(count), usage)[0]}"

    def _accept(
        self,
        job_id: str,
        queue: str,
        pool: str,
        steps: tuple[Step, ...],
        team: str = "",
        tries: int = 0,
    ) -> None:
        self._sent_at.setdefault(job_id, self.now)
        submission = Submission(
            job_id, queue, pool, team, self._sent_at[job_id], Description("", steps)
        )
        if self.may_refuse:
            queue_rules = self.engine.configuration.queues[queue]
            job = make_job(submission, queue_rules)
            delay = find_retry_delay(self.engine, job, self._sent_at[job_id], self.now)
            if delay is not None:
                self.refusals += 1
                if tries < MAX_RETRIES:
                    again = (job_id, queue, pool, steps, team, tries + 1)
                    self.at(self.now + delay, partial(self._accept, *again))
                return
        job = self.engine.accept(submission, self.now)
        self.engine.activate(job, self.now)
        self.rates.setdefault(pool, ArrivalRate()).add(job.core_seconds, self.now)

    def _plan(self) -> None:
        for order in plan_starts(self.engine, self.now):
            self.at(self.now + START_DELAY_S, partial(self._begin, order.run))

    def _begin(self, run: Run) -> None:
        self.engine.note_started(run, 0, self.now)
        if run.step.long_running:
            run.percent = 100
            return
        seconds = self._durations[run.task.job][run.task.step]
        seconds *= self.run_random.uniform(0.85, 1.15)
        self.at(self.now + seconds + END_DELAY_S, partial(self._end, run))

    def _end(self, run: Run) -> None:
        endpoint = run.endpoint
        if (run.task, run.number) not in endpoint.runs:
            return
        how = "failed" if run.task.job in self._failing_jobs else "succeeded"
        number = self._numbers.get(endpoint.name, 0) + 1
        self._numbers[endpoint.name] = number
        ended = EndedRun(number, run.task, run.number, how, "")
        self.engine.note_poll(
            endpoint, PollResponse(0, 0, (), (ended,)), 1, BEFORE_ALL_STARTS, self.now
        )
        for stop in self.engine.list_due_stop_orders(self.now):
            self.engine.drop(stop.run, stop.reason)

    def _run_sizing(self) -> None:
        interval = maintenance.STEP_INTERVAL_S
        in_use = sum(row.pool != "standby" for row in self.instances.values())
        if self.now < self.length:
            self.instance_seconds += in_use * interval
        if self.may_move:
            self._move_instances()
        if self.now < self.length + 15:
            self.at(self.now + interval, self._run_sizing)

    def _move_instances(self) -> None:
        held = {
            name
            for name, at in self.moved_at.items()
            if self.now - at < moves_control.MOVE_COOLDOWN_S
        }
        sizes = {
            profile.pool: self.deployment.instances
            for profile in self.deployment.profiles
        }
        self.engine.incoming = measure_incoming(self.instances.values())
        moves = plan_moves(
            self.engine,
            self.instances,
            self.rates,
            held,
            sizes,
            self.now,
            self._standing_by.choose_floors if self._standing_by else None,
        )
        for move in moves:
            row = self.instances[move.instance]
            self.move_count += 1
            self.moved_at[move.instance] = self.now
            endpoint = self.engine.endpoints.pop(row.endpoint, None)
            if endpoint is not None:
                self.engine.note_replaced(endpoint, "moved")
            is_parked = move.pool == "standby"
            self.instances[move.instance] = row._replace(
                pool=move.pool, state="up" if is_parked else "moving", endpoint=""
            )
            if not is_parked:
                self.at(
                    self.now + MOVE_S,
                    partial(self._start_endpoint, move.instance, move.pool),
                )

    def _evaluate(self) -> Result:
        engine = self.engine
        rows = []
        means: dict[int, float] = {}
        for number in range(len(self.deployment.profiles)):
            job_sizes = [
                self._sizes[job]
                for job, profile in self._profile_numbers.items()
                if profile == number
            ]
            means[number] = sum(job_sizes) / max(1, len(job_sizes))
        for job_id, number in self._profile_numbers.items():
            if job_id in self._unowed:
                continue
            job_value = min(4.0, 0.3 + 0.7 * self._sizes[job_id] / means[number])
            size = self._sizes[job_id] / means[number]
            job = engine.jobs.get(job_id)
            if job is None:
                rows.append((number, job_value, 0.0, size))
                continue
            objective = find_objective(job, engine.find_queue(job))
            took = math.inf
            if job.ended_at:
                took = job.ended_at - self._sent_at[job_id]
            done = job.state == (FAILED if job_id in self._failing_jobs else COMPLETED)
            part = 0.0
            if done and took <= objective:
                part = 1.0
            elif done and took <= LATE_FACTOR * objective:
                part = LATE_VALUE
            rows.append((number, job_value, part, size))
        return _summarize(rows, self.instance_seconds, self.move_count, self.refusals)


def _summarize(
    rows: list[tuple[int, float, float, float]],
    seconds: float,
    moves: int,
    refusals: int,
) -> Result:
    def share(part: list[tuple[int, float, float, float]]) -> float:
        owed = sum(row[1] for row in part)
        return sum(row[1] * row[2] for row in part) / owed if owed else 1.0

    profiles = sorted({row[0] for row in rows})
    by_profile = [[row for row in rows if row[0] == profile] for profile in profiles]
    largest = []
    for part in by_profile:
        part.sort(key=lambda row: -row[3])
        largest.append(share(part[: max(1, len(part) // 10)]))
    return Result(
        share(rows),
        sum(row[2] == 1.0 for row in rows) / max(1, len(rows)),
        sum(largest) / len(largest),
        min(share(part) for part in by_profile),
        seconds,
        moves,
        sum(row[2] > 0 for row in rows) / max(1, len(rows)),
        refusals,
        min(
            _count_served(part[first:last]) / max(1e-9, _count_served(part))
            for part in by_profile
            for first, last in (_find_largest(part), _find_next_largest(part))
        ),
    )


def _find_largest(rows: list[tuple[int, float, float, float]]) -> tuple[int, int]:
    """Return the bounds of the largest tenth of rows in descending order of size."""
    return 0, max(1, len(rows) // 10)


def _find_next_largest(rows: list[tuple[int, float, float, float]]) -> tuple[int, int]:
    """Return the bounds of the fifth below the largest tenth."""
    start = max(1, len(rows) // 10)
    return start, start + max(1, len(rows) // 5)


def _count_served(rows: list[tuple[int, float, float, float]]) -> float:
    """Return the part of rows whose result had a value."""
    return sum(row[2] > 0 for row in rows) / max(1, len(rows))


def _configure(deployment: Deployment) -> Configuration:
    queues = {}
    for profile in deployment.profiles:
        name = f"q-{profile.pool}"
        queues[name] = QueueRules(
            name,
            "h",
            name,
            profile.pool,
            profile.priority,
            profile.attempts,
            1.6,
            0.6,
            3,
            False,
        )
        last = f"last-{profile.pool}"
        queues[last] = QueueRules(
            last, "h", last, profile.pool, 0, 4, 2.2, 2.5, 3, True
        )
    pools = {
        profile.pool: PoolRules(profile.pool, False, False)
        for profile in deployment.profiles
    }
    pools["standby"] = PoolRules("standby", False, True)
    usage = list_usage(deployment.teams)
    rate = sum(profile.arrivals_per_s for profile in deployment.profiles)
    teams = {
        f"t{number}": TeamRules(
            f"t{number}",
            max(1.0, WEIGHT_FACTOR * rate * part / sum(usage)),
            NO_RESOURCES,
        )
        for number, part in enumerate(usage)
    }
    return Configuration(1, queues, pools, teams, {}, RequestLimits(), {})
