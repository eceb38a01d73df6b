"""Moves, buffer cost and share error under bursts, for three policies.

A fluid model in simulated time: work, in slots, arrives at each pool, waits and is
processed by the serving instances. It uses the real decisions and fleet document.
"""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from _deployments import (
    DEPLOYMENTS,
    SHARES,
    SLOTS,
    SPARE_POOL,
    Deployment,
    make_deployment,
)

from briarshed.budgets import count_serving
from briarshed.documents import Configuration, Fleet
from briarshed.measures import (
    Usage,
    find_entitlements,
    measure_buffer_cost,
    measure_share_error,
)
from briarshed.moves import MoveState, choose_moves, note_demand, note_fleet
from briarshed.waves import (
    ChangeInfo,
    Move,
    Observation,
    Observations,
    PlanningContext,
    apply_steps,
    decide_steps,
)

BURST_FACTOR = 5.0
LULL_FACTOR = 0.05
BURST_S = (4, 12)
MEAN_LOAD = 0.25
"""Mean demand over slots; in a burst, demand is 1.25 times the slots of the pool."""

SUSTAINED_LOAD = 1.3
STATE_DURATION_S = {
    "leaving": 2.0,
    "draining": 30.0,
    "rebooting": 60.0,
    "returning": 10.0,
}
DEADLINE_S = 30
"""Jobs of 1 s that would wait longer are refused."""

BURSTS_S = 600
SUSTAINED_S = 3_600
SHARE_INTERVAL_S = 5
SIZES = ((5, 30), (25, 180), (109, 720))
ROUNDS = 200

Demand = Mapping[str, float]
Arrivals = Callable[[float], dict[str, float]]
Rule = Callable[[Configuration, Fleet, Demand, float], list[Move]]


class Figures(NamedTuple):
    """Measures of one run."""

    moves: int
    undone: int
    buffer_cost: float
    share_error: float


def make_sustained_demand_rule(deployment: Deployment) -> Rule:
    """Return the entry's own policy with the weights of a deployment."""
    state = MoveState()
    previous: Fleet | None = None

    def choose(configuration, fleet, demand, now):
        nonlocal state, previous
        if previous is not None:
            state = note_fleet(state, previous, fleet, now)
        previous = fleet
        state = note_demand(state, configuration, fleet, demand, now)
        return choose_moves(configuration, fleet, state, deployment.weights, now)

    return choose


def choose_none(_configuration, _fleet, _demand, _now) -> list[Move]:
    """Never move an instance."""
    return []


def choose_by_threshold(configuration, fleet, demand, _now) -> list[Move]:
    """Move from the idlest pool as soon as a pool's demand exceeds its slots."""
    serving = count_serving(fleet)
    idle = {
        pool: serving.get(pool, 0) * SLOTS - demand.get(pool, 0.0)
        for pool in configuration["pools"]
    }
    moves = []
    for pool in sorted(idle):
        donor = max(idle, key=lambda name: (idle[name], name))
        if idle[pool] < 0 and idle[donor] >= SLOTS:
            name = min(
                name
                for name, item in fleet["instances"].items()
                if item["pool"] == donor and item["state"] == "serving"
            )
            moves.append(Move(name, donor, pool))
            idle[donor] -= SLOTS
    return moves


def make_bursts(rng: random.Random, pools: Sequence[str], slots: float) -> Arrivals:
    """Return arrivals per second: bursts at one pool after the other."""
    mean = slots * MEAN_LOAD
    turn, until = 0, 0.0

    def arrive(now: float) -> dict[str, float]:
        nonlocal turn, until
        if now >= until:
            turn += 1
            until = now + rng.randint(*BURST_S)
        burst = pools[turn % len(pools)]
        return {
            pool: mean * (BURST_FACTOR if pool == burst else LULL_FACTOR)
            for pool in pools
        }

    return arrive


def make_shift(rng: random.Random, pools: Sequence[str], slots: float) -> Arrivals:
    """Return arrivals per second: bursts, and one pool with sustained overload."""
    arrive_bursts = make_bursts(rng, pools[1:], slots)

    def arrive(now: float) -> dict[str, float]:
        return {**arrive_bursts(now), pools[0]: slots * SUSTAINED_LOAD}

    return arrive


def run(
    deployment: Deployment, rule: Rule, make_arrivals: Callable, seconds: int, seed: int
) -> Figures:
    """Run one policy with one kind of demand."""
    configuration, fleet = make_deployment(deployment.pools, deployment.workers)
    pools = [pool for pool in configuration["pools"] if pool != SPARE_POOL]
    arrive = make_arrivals(random.Random(seed), pools, deployment.workers * SLOTS)
    entered = dict.fromkeys(fleet["instances"], 0.0)
    waiting = dict.fromkeys(configuration["pools"], 0.0)
    spans, samples, moved = [], [], []
    for now in range(seconds):
        serving = count_serving(fleet)
        arrivals = arrive(float(now))
        demand = {p: waiting[p] + arrivals.get(p, 0.0) for p in waiting}
        served = {p: min(demand[p], serving.get(p, 0) * SLOTS) for p in waiting}
        waiting = {
            p: min(demand[p] - served[p], serving.get(p, 0) * SLOTS * DEADLINE_S)
            for p in waiting
        }
        needed = sum(served.values()) / SLOTS
        spans.append(Usage(1.0, len(fleet["instances"]), needed))
        if now % SHARE_INTERVAL_S == 0:
            samples.append(_sample_shares(demand, served, fleet))
        moves = rule(configuration, fleet, demand, float(now))
        seen = _observe(fleet, entered, float(now))
        steps = decide_steps(
            configuration, fleet, seen, PlanningContext(True, True), moves
        )
        if not steps:
            continue
        fleet = apply_steps(fleet, steps, ChangeInfo(f"c-{now}", now + 1.0, "bench"))
        fleet["changes"] = fleet["changes"][-1:]
        for step in steps:
            entered[step.instance] = float(now)
            if step.event == "leave":
                before = fleet["instances"][step.instance]["pool"]
                moved.append((before, step.target_pool))
    undone = sum(1 for a, b in moved if (b, a) in moved)
    return Figures(
        len(moved),
        undone,
        measure_buffer_cost(spans),
        measure_share_error(samples),
    )


def _observe(fleet: Fleet, entered: Mapping[str, float], now: float) -> Observations:
    platform = {"draining": "drained", "rebooting": "live"}
    seen = {}
    for name, item in fleet["instances"].items():
        state = item["state"]
        elapsed_s = now - entered[name]
        if state in STATE_DURATION_S and elapsed_s >= STATE_DURATION_S[state]:
            answer = platform.get(state, "")
            seen[name] = Observation(
                state, item["since"], elapsed_s, answer, passes=1, confirmed=True
            )
    return seen


def _sample_shares(demand: Demand, served: Demand, fleet: Fleet):
    """Return the running and the entitled slots of each team in the whole fleet.

    All teams have equal parts of each pool's demand, and a pool's slots are divided
    among the teams by their shares.
    """
    part = 1.0 / len(SHARES)
    running = dict.fromkeys(SHARES, 0.0)
    for pool, slots in served.items():
        wanted = dict.fromkeys(SHARES, demand[pool] * part)
        for team, got in find_entitlements(SHARES, wanted, slots).items():
            running[team] += got
    wanted = {team: sum(demand.values()) * part for team in SHARES}
    return running, find_entitlements(SHARES, wanted, len(fleet["instances"]) * SLOTS)


def measure_choice(pools: int, instances: int) -> str:
    """Return the processor time of recording demand and choosing moves."""
    configuration, fleet = make_deployment(pools, -(-instances // pools))
    demand = dict.fromkeys(configuration["pools"], 10.0)
    demand["pool-000"] = 10.0 * instances * SLOTS
    state = MoveState()
    for at in range(0, 1_000, 5):
        state = note_demand(state, configuration, fleet, demand, float(at))
    times = []
    for _ in range(ROUNDS):
        started = time.process_time_ns()
        after = note_demand(state, configuration, fleet, demand, 1_000.0)
        weights = DEPLOYMENTS[0].weights
        moves = choose_moves(configuration, fleet, after, weights, 1_000.0)
        times.append((time.process_time_ns() - started) / 1_000)
    assert moves, "the measured choice returned no moves"
    median_us = sorted(times)[len(times) // 2]
    return (
        f"choice of moves {len(fleet['instances'])} instances {pools} pools:"
        f" {median_us:.0f} us (median of {ROUNDS})"
    )


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    print(f"seed {seed}")
    demands = (("bursts", make_bursts, BURSTS_S), ("lasting", make_shift, SUSTAINED_S))
    for deployment in DEPLOYMENTS:
        for kind, make_arrivals, seconds in demands:
            rules = {
                "lasting demand": make_sustained_demand_rule(deployment),
                "no moves": choose_none,
                "plain threshold": choose_by_threshold,
            }
            for name, rule in rules.items():
                figures = run(deployment, rule, make_arrivals, seconds, seed)
                print(
                    f"{deployment.name}, {kind} for {seconds} s, rule {name}:"
                    f" {figures.moves} moves ({figures.undone} undone by another),"
                    f" buffer cost {figures.buffer_cost:.3f},"
                    f" share error {figures.share_error:.4f}",
                    flush=True,
                )
    for pools, instances in SIZES:
        print(measure_choice(pools, instances))


if __name__ == "__main__":
    main()
