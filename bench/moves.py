"""Moves, buffer cost and share error under bursts, for three rules.

A fluid model in virtual time: work arrives at each pool in slots, waits there, and is
served by serving instances. The decisions and the fleet document are the real ones.
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
"""Mean demand over slots; a burst then asks for 1.25 times what the pool holds."""

LASTING_LOAD = 1.3
STAY_S = {"leaving": 2.0, "draining": 30.0, "rebooting": 60.0, "returning": 10.0}
DEADLINE_S = 30
"""Work of 1 s a job that would wait longer is refused."""

BURSTS_S = 600
LASTING_S = 3_600
SHARE_EVERY_S = 5
SIZES = ((5, 30), (25, 180), (109, 720))
ROUNDS = 200

Demand = Mapping[str, float]
Arrivals = Callable[[float], dict[str, float]]
Rule = Callable[[Configuration, Fleet, Demand, float], list[Move]]


class Figures(NamedTuple):
    """The measures of one run."""

    moves: int
    back: int
    buffer_cost: float
    share_error: float


def make_sustained_demand_rule(deployment: Deployment) -> Rule:
    """Return the product's rule with the weights of a deployment."""
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
    """Move as soon as a pool's demand exceeds its slots, from the idlest pool."""
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


def make_bursts(chance: random.Random, pools: Sequence[str], slots: float) -> Arrivals:
    """Return arrivals by second: each pool in turn bursts, the others lull."""
    mean = slots * MEAN_LOAD
    turn, until = 0, 0.0

    def arrive(now: float) -> dict[str, float]:
        nonlocal turn, until
        if now >= until:
            turn += 1
            until = now + chance.randint(*BURST_S)
        burst = pools[turn % len(pools)]
        return {
            pool: mean * (BURST_FACTOR if pool == burst else LULL_FACTOR)
            for pool in pools
        }

    return arrive


def make_shift(chance: random.Random, pools: Sequence[str], slots: float) -> Arrivals:
    """Return arrivals by second: bursts, and one pool that lastingly lacks slots."""
    arrive_bursts = make_bursts(chance, pools[1:], slots)

    def arrive(now: float) -> dict[str, float]:
        return {**arrive_bursts(now), pools[0]: slots * LASTING_LOAD}

    return arrive


def run(
    deployment: Deployment, rule: Rule, make_arrivals: Callable, seconds: int, seed: int
) -> Figures:
    """Run one rule over one kind of demand."""
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
        if now % SHARE_EVERY_S == 0:
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
    back = sum(1 for a, b in moved if (b, a) in moved)
    return Figures(
        len(moved), back, measure_buffer_cost(spans), measure_share_error(samples)
    )


def _observe(fleet: Fleet, entered: Mapping[str, float], now: float) -> Observations:
    platform = {"draining": "drained", "rebooting": "live"}
    seen = {}
    for name, item in fleet["instances"].items():
        state = item["state"]
        stayed_s = now - entered[name]
        if state in STAY_S and stayed_s >= STAY_S[state]:
            answer = platform.get(state, "")
            seen[name] = Observation(
                state, item["since"], stayed_s, answer, passes=1, confirmed=True
            )
    return seen


def _sample_shares(demand: Demand, served: Demand, fleet: Fleet):
    """Return what teams run, and what they are entitled to of the whole fleet.

    Every team wants the same part of each pool's demand, and a pool's slots go to
    the teams by their shares.
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
    """Return the processor time of noting demand and choosing moves."""
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
    assert moves, "the timed choice must not end early"
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
    demands = (("bursts", make_bursts, BURSTS_S), ("lasting", make_shift, LASTING_S))
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
                    f" {figures.moves} moves ({figures.back} undone by another),"
                    f" buffer cost {figures.buffer_cost:.3f},"
                    f" share error {figures.share_error:.4f}",
                    flush=True,
                )
    for pools, instances in SIZES:
        print(measure_choice(pools, instances))


if __name__ == "__main__":
    main()
