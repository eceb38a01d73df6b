"""Processor time of decisions by size: of an entry, and of the plans of a leader."""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Callable, Sequence

from _deployments import SLOTS
from _fleet_plans import PLANS, Fleet, FleetSize
from _report import find_version

from briarshed.admission import count_ahead, estimate_wait, find_exceeded_bound
from briarshed.documents import Queue
from briarshed.fairness import FairQueue, Flow
from briarshed.placement import EndpointInfo, Placement

ENDPOINTS = (30, 180, 720)
POOLS = (5, 25, 109)
TEAMS = (6, 30, 130)
FLEETS = [
    FleetSize(*size, waiting=5) for size in zip(ENDPOINTS, POOLS, TEAMS, strict=True)
]
ONE_POOL = [FleetSize(6, 1, 130, waiting) for waiting in (30, 300, 3_000)]
PLAN_REPEATS = 5
JOBS_PER_TEAM = 4
ROUNDS = 15
REPEATS = 1_000
RUN_S = 1.0
WAIT_S = 4.0
QUEUE = Queue(pool="", open=False, teams=[], max_jobs=1_000, max_bytes=1 << 30)

Decision = Callable[[], object]


def time_decision(decide: Decision, repeats: int = REPEATS) -> float:
    """Return the median time of one decision over all rounds, in microseconds."""
    times = []
    for _ in range(ROUNDS):
        started = time.process_time_ns()
        for _ in range(repeats):
            decide()
        times.append((time.process_time_ns() - started) / repeats / 1_000)
    return sorted(times)[ROUNDS // 2]


def make_placement(endpoints: int, load: float, seed: int) -> Placement:
    """Return a placement of which this entry uses a part of the slots."""
    placement = Placement(10.0)
    names = [f"i-{index:03}" for index in range(endpoints)]
    placement.update(
        {name: EndpointInfo(name, True, SLOTS, SLOTS, False) for name in names}, 0.0
    )
    rng = random.Random(seed)
    for _ in range(int(endpoints * SLOTS * load)):
        found = placement.choose(0.0, rng)
        if found is not None:
            placement.note_started(found[0], 0.0)
    return placement


def make_placement_decision(placements: Sequence[Placement], seed: int) -> Decision:
    """Return a decision that chooses an endpoint, and starts and ends a job."""
    rng = random.Random(seed)
    now = 0.0

    def place() -> None:
        nonlocal now
        now += 0.001
        placement = placements[int(rng.random() * len(placements))]
        found = placement.choose(now, rng)
        if found is None:
            raise RuntimeError("no endpoint is available")
        endpoint, address = found
        placement.note_started(endpoint, now)
        placement.note_ended(endpoint, address, now)
        placement.note_load(endpoint, SLOTS // 2, now)

    return place


class Teams:
    """Running jobs of teams, and one queue with jobs of all teams."""

    def __init__(self, teams: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.shares = {f"t-{n:03}": 1.0 + n % 4 for n in range(teams)}
        self.names = list(self.shares)
        self.running = {team: self.rng.randint(1, 20) for team in self.names}
        self.queue: FairQueue[int] = FairQueue(self.find_load)
        self.number = 0
        for team in self.names * JOBS_PER_TEAM:
            self.add(team)

    def find_load(self, team: str) -> float:
        """Return the running jobs of a team over its share."""
        return self.running[team] / self.shares[team]

    def add(self, team: str) -> None:
        """Queue another job of a team."""
        self.number += 1
        self.queue.add(Flow(team, False), str(self.number), self.number)

    def start(self) -> None:
        """Start the next job, queue one of its team, and end one of a random team."""
        choice = self.queue.choose()
        if choice is None:
            raise RuntimeError("the queue is empty")
        flow, key, _ = choice
        self.queue.note_started(flow, key)
        self.running[flow.team] += 1
        self.add(flow.team)
        team = self.names[int(self.rng.random() * len(self.names))]
        if self.running[team] > 0:
            self.running[team] -= 1
        self.queue.refresh(team)

    def admit(self) -> bool:
        """Decide on another job with a full pool and queued jobs of all teams."""
        team = self.names[self.number % len(self.names)]
        if find_exceeded_bound(QUEUE, len(self.queue), 1_000, 200):
            return False
        own = self.queue.count_team(team)
        share = self.shares[team]
        ahead = count_ahead(len(self.queue), own, share, 100.0)
        return estimate_wait(ahead, RUN_S, 48.0) <= WAIT_S


def print_figures(label: str, sizes: Sequence[int], times: Sequence[float]) -> None:
    """Print the times by size, and the ratio of the last to the first."""
    parts = [f"{size}: {us:.2f} us" for size, us in zip(sizes, times, strict=True)]
    size_factor = sizes[-1] / sizes[0]
    print(
        f"{label}: {', '.join(parts)}; growth {times[-1] / times[0]:.2f}"
        f" while the size grows {size_factor:.1f}",
        flush=True,
    )


def print_plans() -> None:
    """Print the times of a leader's plans by size of the fleet, and of one pool."""
    for plan in PLANS:
        for label, sizes in (("endpoints", FLEETS), ("waiting jobs", ONE_POOL)):
            times = [
                time_decision(plan.make(Fleet(size)), PLAN_REPEATS) for size in sizes
            ]
            numbers = [
                size.endpoints if sizes is FLEETS else size.waiting for size in sizes
            ]
            print_figures(f"{plan.label}, {label}", numbers, times)


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    print(f"version {find_version()}, seed {seed}, median of {ROUNDS} x {REPEATS}")
    one_pool = [
        time_decision(make_placement_decision([make_placement(size, 0.5, seed)], seed))
        for size in ENDPOINTS
    ]
    print_figures("placement and end, one pool, endpoints", ENDPOINTS, one_pool)
    spread = []
    for pools, endpoints in zip(POOLS, ENDPOINTS, strict=True):
        placements = [
            make_placement(endpoints // pools, 0.5, seed) for _ in range(pools)
        ]
        spread.append(time_decision(make_placement_decision(placements, seed)))
    print_figures("placement and end, endpoints over all pools, pools", POOLS, spread)
    chosen = [time_decision(Teams(size, seed).start) for size in TEAMS]
    print_figures("fair choice, start and end, teams in one queue", TEAMS, chosen)
    admitted = [time_decision(Teams(size, seed).admit) for size in TEAMS]
    print_figures("admission, teams in one queue", TEAMS, admitted)
    print_plans()


if __name__ == "__main__":
    main()
