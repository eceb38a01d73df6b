"""Roll-out time and store calls of a full wave, and the cost of one decision.

The entry's planner runs in simulated time on a simulated fleet.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Sequence

from _deployments import make_deployment
from _simulation import World
from loguru import logger

from briarshed.documents import Configuration, Fleet
from briarshed.measures import Transition, find_least_roll_out, measure_roll_out
from briarshed.settings import TimingSettings
from briarshed.waves import (
    ChangeInfo,
    Observation,
    PlanningContext,
    apply_steps,
    decide_steps,
)

ENTRIES = 9
TIMEOUT_S = 20_000
TARGET_RATIO = 1.25
CONFIRM_S = 2.0
"""Time until all members have polled the store and responded to a ping."""

STOP_DURATIONS_S = ((30.0, 60.0), (30.0, 90.0), (10.0, 30.0), (3.0, 5.0))
"""Drain and reboot times of the simulated platform."""

SIZES = ((5, 30), (25, 180), (109, 720))
ROUNDS = 200


def measure_wave(drain_s: float, reboot_s: float, seed: int, confirm_s: float) -> str:
    """Return the figures of one wave over 30 instances in 5 pools of budget 1."""
    configuration, fleet = make_deployment(5, 6, data_centres=1, wave=True)
    world = World(configuration["pools"], fleet["instances"], fleet["waves"], seed)
    world.drain_s, world.reboot_s, world.confirm_s = drain_s, reboot_s, confirm_s
    world.add_entry("entry-1")
    transitions, elapsed_s = asyncio.run(_run_wave(world))
    took_s = measure_roll_out(transitions, "w-1")
    stop_s = drain_s + reboot_s + TimingSettings().slow_start_ms / 1_000
    sizes = dict.fromkeys(configuration["pools"], 6)
    budgets = {pool: item["budget"] for pool, item in configuration["pools"].items()}
    least_s = find_least_roll_out(sizes, budgets, stop_s)
    # Each entry polls once per second and reads the fleet once after each change.
    calls = world.store_calls + ENTRIES * (elapsed_s + world.swaps)
    ratio = took_s / least_s
    verdict = "within" if ratio <= TARGET_RATIO else "beyond"
    return (
        f"wave drain {drain_s:g} s reboot {reboot_s:g} s confirm {confirm_s:g} s:"
        f" {took_s:.0f} s, minimum {least_s:.0f} s, ratio {ratio:.3f}"
        f" ({verdict} {TARGET_RATIO});"
        f" {world.swaps} swaps, {world.swaps / elapsed_s:.3f} swaps/s,"
        f" {calls / elapsed_s:.2f} store calls/s with {ENTRIES} entries;"
        f" violations {len(world.violations)}"
    )


async def _run_wave(world: World) -> tuple[list[Transition], float]:
    transitions: list[Transition] = []
    started_at = world.at
    states = {name: item["state"] for name, item in world.fleet["instances"].items()}
    events = {"leaving": "leave", "serving": "serve"}
    while world.fleet["waves"]["w-1"]["state"] != "done":
        await world.tick()
        if world.at - started_at > TIMEOUT_S:
            raise TimeoutError("the wave did not end")
        for name, item in world.fleet["instances"].items():
            if item["state"] != states[name]:
                states[name] = item["state"]
                event = events.get(item["state"], "")
                transitions.append(Transition(world.at, name, event, "w-1"))
    return transitions, world.at - started_at


def split_evenly(pools: int, instances: int) -> tuple[Configuration, Fleet]:
    """Return a fleet with the given number of instances, spread over the pools."""
    configuration, fleet = make_deployment(pools, -(-instances // pools), 4, wave=True)
    seen: dict[str, int] = {}
    limits = {
        pool: instances // pools + (index < instances % pools)
        for index, pool in enumerate(configuration["pools"])
    }
    kept = {}
    for name, item in fleet["instances"].items():
        seen[item["pool"]] = seen.get(item["pool"], 0) + 1
        if seen[item["pool"]] <= limits[item["pool"]]:
            kept[name] = item
    fleet["instances"] = kept
    fleet["waves"]["w-1"]["pending"] = list(kept)
    return configuration, fleet


def measure_decision(pools: int, instances: int) -> str:
    """Return the processor time of decisions without and with due stops."""
    configuration, fleet = split_evenly(pools, instances)
    context = PlanningContext(is_planner=True, may_stop=True)
    stamp = ChangeInfo("c-1", 1.0, "bench")
    steps = decide_steps(configuration, fleet, {}, context)
    busy = apply_steps(fleet, steps, stamp)
    seen = {
        name: Observation(item["state"], item["since"])
        for name, item in busy["instances"].items()
    }
    idle_us = _measure_median(lambda: decide_steps(configuration, busy, seen, context))
    start_us = _measure_median(
        lambda: decide_steps(configuration, fleet, seen, context)
    )
    apply_us = _measure_median(lambda: apply_steps(fleet, steps, stamp))
    return (
        f"decision {instances} instances {pools} pools: nothing due {idle_us:.0f} us,"
        f" {len(steps)} stops due {start_us:.0f} us, apply {apply_us:.0f} us (median"
        f" of {ROUNDS})"
    )


def _measure_median(function) -> float:
    times = []
    for _ in range(ROUNDS):
        started = time.process_time_ns()
        function()
        times.append((time.process_time_ns() - started) / 1_000)
    return sorted(times)[len(times) // 2]


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    logger.remove()
    print(f"seed {seed}")
    for drain_s, reboot_s in STOP_DURATIONS_S:
        print(measure_wave(drain_s, reboot_s, seed, CONFIRM_S), flush=True)
    for pools, instances in SIZES:
        print(measure_decision(pools, instances), flush=True)


if __name__ == "__main__":
    main()
