"""A seeded emulation of pools, jobs and turns of demand around the real engine.

Endpoints, callers and the network are reduced to delays; every decision is the
product's own. Time is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from briarshed_workloads import maintenance
from briarshed_workloads.configuration import (
    Configuration,
    PoolRules,
    QueueRules,
    RequestLimits,
)
from briarshed_workloads.engine import Engine, LeaseTimes
from briarshed_workloads.fleet import Run
from briarshed_workloads.jobs import COMPLETED, FAILED, find_objective
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.sizing import ArrivalRate, plan_moves
from briarshed_workloads.workloads import (
    Description,
    EndedRun,
    Instance,
    PollResponse,
    Registration,
    Resources,
    Step,
    Submission,
)

ORDER_S = 0.004
"""From an order to the start at an endpoint."""

NOTICE_S = 0.06
"""From an end at an endpoint to the leader's knowledge of it."""

LONG_AGO = -1.0
"""A look sent before every start: what it does not list may still be present."""

MOVE_S = 1.5
LATE_FACTOR = 3.0
LATE_WORTH = 0.07
"""Part of its worth that a job earns between its objective and three times that."""


class Kind(NamedTuple):
    """Jobs of one queue; work in seconds and thousandths of a core."""

    pool: str
    per_s: float
    steps: float
    width: float
    seconds: float
    cpu: int
    memory_mb: int
    estimate_off: float
    priority: int
    attempts: int
    hopeless: float


class Site(NamedTuple):
    """A deployment: instances a pool and in reserve, and its kinds of jobs."""

    name: str
    instances: int
    spare: int
    room: Resources
    lasting: int
    lasting_width: int
    lasting_need: Resources
    kinds: tuple[Kind, ...]
    turn_s: float


MOLDURAS = Site(
    "molduras",
    8,
    8,
    Resources(16_000, 65_536, 0),
    6,
    5,
    Resources(1_500, 11_000, 0),
    (
        Kind("p0", 3.68, 1.6, 6, 0.64, 1_100, 3_300, 0.2, 0, 2, 0.03),
        Kind("p1", 0.334, 2.0, 8, 2.1, 2_500, 5_100, 0.5, 1, 2, 0.0),
        Kind("p2", 4.6, 1.6, 6, 0.64, 1_100, 3_300, 0.2, 0, 2, 0.03),
        Kind("p3", 0.407, 2.0, 8, 2.1, 2_500, 5_100, 0.5, 1, 2, 0.0),
    ),
    4.5,
)

MSASANI = Site(
    "msasani",
    6,
    6,
    Resources(64_000, 262_144, 0),
    6,
    5,
    Resources(6_700, 32_000, 0),
    (
        Kind("p0", 2.96, 1.6, 6, 1.0, 3_500, 13_000, 0.2, 0, 3, 0.03),
        Kind("p1", 0.534, 2.0, 8, 1.7, 7_700, 20_000, 0.5, 1, 3, 0.0),
        Kind("p2", 3.71, 1.6, 6, 1.0, 3_500, 13_000, 0.2, 0, 3, 0.03),
        Kind("p3", 0.654, 2.0, 8, 1.7, 7_700, 20_000, 0.5, 1, 3, 0.0),
    ),
    4.5,
)

GROWN_MOLDURAS = Site(
    "molduras-grown",
    38,
    30,
    Resources(16_000, 32_768, 0),
    1,
    20,
    Resources(1_900, 6_000, 0),
    (
        Kind("p0", 7.09, 1.6, 8, 1.0, 2_000, 2_900, 0.2, 0, 2, 0.03),
        Kind("p1", 1.38, 2.0, 8, 2.1, 4_400, 5_900, 0.2, 1, 2, 0.0),
        Kind("p2", 8.86, 1.6, 8, 1.0, 2_000, 2_900, 0.2, 0, 2, 0.03),
        Kind("p3", 1.69, 2.0, 8, 2.1, 4_400, 5_900, 0.2, 1, 2, 0.0),
    ),
    4.0,
)

GROWN_MSASANI = Site(
    "msasani-grown",
    37,
    29,
    Resources(64_000, 262_144, 0),
    1,
    20,
    Resources(9_000, 47_000, 0),
    (
        Kind("p0", 9.14, 1.6, 8, 1.0, 6_200, 23_000, 0.2, 0, 3, 0.03),
        Kind("p1", 2.31, 2.0, 8, 1.7, 13_000, 49_000, 0.2, 1, 3, 0.0),
        Kind("p2", 11.4, 1.6, 8, 1.0, 6_200, 23_000, 0.2, 0, 3, 0.03),
        Kind("p3", 2.82, 2.0, 8, 1.7, 13_000, 49_000, 0.2, 1, 3, 0.0),
    ),
    4.0,
)

SITES = {site.name: site for site in (MOLDURAS, MSASANI, GROWN_MOLDURAS, GROWN_MSASANI)}


class Result(NamedTuple):
    """What a day came to; parts of the worth that was owed."""

    earned: float
    on_time: float
    largest: float
    worst_kind: float
    instance_seconds: float
    moves: int


class Emulation:
    """One emulated day."""

    def __init__(
        self, site: Site, seed: int, load: float, moves: bool, length: float = 34.0
    ) -> None:
        self.site = site
        self.random = random.Random(seed)
        self.length = length
        self.load = load
        self.may_move = moves
        self.now = 0.0
        self.engine = Engine(1, LeaseTimes(5.0, 5.0), lambda *_, **__: None)
        self.engine.configuration = _configure(site)
        self.instances: dict[str, Instance] = {}
        self.rates: dict[str, ArrivalRate] = {}
        self.moved_at: dict[str, float] = {}
        self.move_count = 0
        self.instance_seconds = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ends: dict[str, list[EndedRun]] = {}
        self._numbers: dict[str, int] = {}
        self._lives = itertools.count()
        self._durations: dict[str, list[float]] = {}
        self._kinds: dict[str, int] = {}
        self._hopeless: set[str] = set()

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self) -> Result:
        """Play the day and return what it came to."""
        self._build_fleet()
        for kind in self.site.kinds:
            for number in range(self.site.lasting):
                self._submit_lasting(kind.pool, number)
        for number, kind in enumerate(self.site.kinds):
            self._schedule_arrivals(number, kind)
        self.at(0.0, self._size)
        while self._events and self._events[0][0] < self.length + 20.0:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if not self._events or self._events[0][0] > self.now + 0.008:
                self._plan()
        return self._judge()

    def _build_fleet(self) -> None:
        pools = [kind.pool for kind in self.site.kinds]
        for pool in pools:
            for number in range(self.site.instances):
                name = f"{pool}-{number}"
                self.instances[name] = Instance(
                    name, pool, "up", "d", (), self.site.room, ""
                )
                self._raise_endpoint(name, pool)
        for number in range(self.site.spare):
            name = f"spare-{number}"
            self.instances[name] = Instance(
                name, "standby", "up", "d", (), self.site.room, ""
            )

    def _raise_endpoint(self, instance: str, pool: str) -> None:
        endpoint = f"{instance}.{next(self._lives)}"
        row = self.instances[instance]
        self.instances[instance] = row._replace(
            pool=pool, state="up", endpoint=endpoint
        )
        rack = f"r{int(instance.rpartition('-')[2]) // 4}"
        registration = Registration(
            endpoint, 1, "", pool, "d", rack, (), self.site.room, instance=instance
        )
        present = [row.registration for row in self.engine.endpoints.values()]
        self.engine.note_registrations([*present, registration], self.now)
        known = self.engine.endpoints[endpoint]
        known.fenced_counter = 1
        known.needs_fence = False
        self.engine.roster.add(endpoint)
        self._ends[endpoint] = []

    def _schedule_arrivals(self, number: int, kind: Kind) -> None:
        turns = len(self.site.kinds)
        for start in range(math.ceil(self.length / self.site.turn_s)):
            is_turn = start % turns == number
            rate = kind.per_s * self.load * (4.0 if is_turn else 0.05)
            time = start * self.site.turn_s
            end = min(self.length, time + self.site.turn_s)
            while True:
                time += self.random.expovariate(rate)
                if time >= end:
                    break
                self.at(time, partial(self._submit, number))

    def _draw(self, mean: float, spread: float, most: float) -> float:
        sigma = math.sqrt(math.log(1 + spread**2))
        value = self.random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        return min(value, most)

    def _submit_lasting(self, pool: str, number: int) -> None:
        step = Step(
            self.site.lasting_width,
            self.site.lasting_need,
            0.5,
            per_endpoint=1,
            long_running=True,
        )
        self._accept(f"lasting-{pool}-{number}", f"last-{pool}", pool, (step,))

    def _submit(self, number: int) -> None:
        kind = self.site.kinds[number]
        job_id = f"{number}-{next(self._order)}"
        count = max(1, round(self._draw(kind.steps, 0.4, 4)))
        steps, durations = [], []
        for index in range(count):
            seconds = self._draw(kind.seconds, 0.5, kind.seconds * 2.5)
            off = math.exp(self.random.gauss(0, kind.estimate_off))
            cpu = int(self._draw(kind.cpu, 0.45, kind.cpu * 3))
            memory = int(self._draw(kind.memory_mb, 0.6, kind.memory_mb * 3))
            width = max(1, round(self._draw(kind.width, 0.6, kind.width * 4)))
            after = (index - 1,) if index else ()
            need = Resources(cpu, memory, 0)
            steps.append(Step(width, need, seconds * off, after, image=job_id))
            durations.append(seconds)
        self._durations[job_id] = durations
        self._kinds[job_id] = number
        if self.random.random() < kind.hopeless:
            self._hopeless.add(job_id)
        self._accept(job_id, f"q-{kind.pool}", kind.pool, tuple(steps))

    def _accept(
        self, job_id: str, queue: str, pool: str, steps: tuple[Step, ...]
    ) -> None:
        submission = Submission(
            job_id, queue, pool, "", self.now, Description("", steps)
        )
        job = self.engine.accept(submission, self.now)
        self.engine.activate(job, self.now)
        self.rates.setdefault(pool, ArrivalRate()).add(job.core_seconds, self.now)

    def _plan(self) -> None:
        for order in plan_starts(self.engine, self.now):
            self.at(self.now + ORDER_S, partial(self._begin, order.run))

    def _begin(self, run: Run) -> None:
        self.engine.note_started(run, 0, self.now)
        if run.step.long_running:
            run.percent = 100
            return
        seconds = self._durations[run.task.job][run.task.step]
        seconds *= self.random.uniform(0.85, 1.15)
        self.at(self.now + seconds + NOTICE_S, partial(self._end, run))

    def _end(self, run: Run) -> None:
        endpoint = run.endpoint
        if (run.task, run.number) not in endpoint.runs:
            return
        how = "failed" if run.task.job in self._hopeless else "succeeded"
        number = self._numbers.get(endpoint.name, 0) + 1
        self._numbers[endpoint.name] = number
        ended = EndedRun(number, run.task, run.number, how, "")
        self.engine.note_poll(
            endpoint, PollResponse(0, 0, (), (ended,)), 1, LONG_AGO, self.now
        )
        for stop in self.engine.list_due_stop_orders(self.now):
            self.engine.drop(stop.run, stop.reason)

    def _size(self) -> None:
        interval = maintenance.STEP_INTERVAL_S
        paid = sum(row.pool != "standby" for row in self.instances.values())
        if self.now < self.length:
            self.instance_seconds += paid * interval
        if self.may_move:
            self._move_instances()
        if self.now < self.length + 15:
            self.at(self.now + interval, self._size)

    def _move_instances(self) -> None:
        held = {
            name
            for name, at in self.moved_at.items()
            if self.now - at < maintenance.MOVE_COOLDOWN_S
        }
        sizes = {kind.pool: self.site.instances for kind in self.site.kinds}
        moves = plan_moves(
            self.engine,
            self.instances,
            self.rates,
            held,
            sizes,
            self.now,
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
                    partial(self._raise_endpoint, move.instance, move.pool),
                )

    def _judge(self) -> Result:
        engine = self.engine
        rows = []
        means: dict[int, float] = {}
        for number in range(len(self.site.kinds)):
            works = [
                engine.jobs[job].core_seconds
                for job, kind in self._kinds.items()
                if kind == number
            ]
            means[number] = sum(works) / max(1, len(works))
        for job_id, number in self._kinds.items():
            job = engine.jobs[job_id]
            worth = min(4.0, 0.3 + 0.7 * job.core_seconds / means[number])
            objective = find_objective(job, engine.find_queue(job))
            took = job.ended_at - job.accepted_at if job.ended_at else math.inf
            done = job.state == (FAILED if job_id in self._hopeless else COMPLETED)
            part = 0.0
            if done and took <= objective:
                part = 1.0
            elif done and took <= LATE_FACTOR * objective:
                part = LATE_WORTH
            rows.append((number, worth, part, job.core_seconds / means[number]))
        return _summarize(rows, self.instance_seconds, self.move_count)


def _summarize(
    rows: list[tuple[int, float, float, float]], seconds: float, moves: int
) -> Result:
    def share(part: list[tuple[int, float, float, float]]) -> float:
        owed = sum(row[1] for row in part)
        return sum(row[1] * row[2] for row in part) / owed if owed else 1.0

    kinds = sorted({row[0] for row in rows})
    by_kind = [[row for row in rows if row[0] == kind] for kind in kinds]
    largest = []
    for part in by_kind:
        part.sort(key=lambda row: -row[3])
        largest.append(share(part[: max(1, len(part) // 10)]))
    return Result(
        share(rows),
        sum(row[2] == 1.0 for row in rows) / max(1, len(rows)),
        sum(largest) / len(largest),
        min(share(part) for part in by_kind),
        seconds,
        moves,
    )


def _configure(site: Site) -> Configuration:
    queues = {}
    for kind in site.kinds:
        name = f"q-{kind.pool}"
        queues[name] = QueueRules(
            name, "h", name, kind.pool, kind.priority, kind.attempts, 1.6, 0.6, 3, False
        )
        last = f"last-{kind.pool}"
        queues[last] = QueueRules(last, "h", last, kind.pool, 0, 4, 2.2, 2.5, 3, True)
    pools = {kind.pool: PoolRules(kind.pool, False, False) for kind in site.kinds}
    pools["standby"] = PoolRules("standby", False, True)
    return Configuration(1, queues, pools, {}, {}, RequestLimits(), {})
