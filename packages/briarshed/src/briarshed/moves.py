"""Moves of instances between pools, decided from demand that lasts.

Demand and capacity are counted in slots: jobs that run or wait, and slots of serving
instances. A burst of seconds is served by queues; a move takes minutes, so it pays
only for demand that outlasts it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from briarshed.budgets import count_serving, count_unavailable, has_room
from briarshed.documents import Configuration, Fleet
from briarshed.settings import WeightsSettings
from briarshed.waves import Move

AVERAGE_S = 60.0
"""Time constant of the moving average; several bursts long."""

OUTLAST_FACTOR = 3.0
"""Demand must have lasted this many times the cost of a move."""

FIRST_COST_S = 120.0
"""Drain plus reboot, until the first stops have been timed."""

COST_GAIN = 0.2
"""Weight of the newest stop in the learned cost of a move."""

MOVE_BACK_S = 600.0
"""Time for which a pool that received does not give, and the other way round."""

SPARE_HEADROOM = 1.0
"""Instances' worth of slots that a pool keeps above its own demand when it gives."""


class PoolDemand(NamedTuple):
    """Demand of a pool over time.

    Attributes
    ----------
    mean : float
        Moving average in slots.
    at : float
        Time of the latest sample in seconds.
    short_since, spare_since : float or None
        Since when the mean exceeds the capacity, or leaves an instance unused.
    """

    mean: float
    at: float
    short_since: float | None = None
    spare_since: float | None = None


class MoveState(NamedTuple):
    """Everything that the choice of moves remembers.

    Attributes
    ----------
    demands : dict
        Pool to its demand.
    received, gave : dict
        Pool to the time at which it last received or gave an instance.
    cost_s : float
        Learned duration of a move in seconds.
    """

    demands: Mapping[str, PoolDemand] = {}
    received: Mapping[str, float] = {}
    gave: Mapping[str, float] = {}
    cost_s: float = FIRST_COST_S


def note_demand(
    state: MoveState,
    configuration: Configuration,
    fleet: Fleet,
    demand: Mapping[str, float],
    now: float,
) -> MoveState:
    """Return the state after a sample of the demand of each pool, in slots."""
    serving = count_serving(fleet)
    demands = {}
    for pool, content in configuration["pools"].items():
        slots = content["slots"]
        previous = state.demands.get(pool)
        mean = _average(previous, demand.get(pool, 0.0), now)
        capacity = serving.get(pool, 0) * slots
        short = mean > capacity
        spare = mean + SPARE_HEADROOM * slots <= capacity - slots
        demands[pool] = PoolDemand(
            mean,
            now,
            _keep_start(previous and previous.short_since, short, now),
            _keep_start(previous and previous.spare_since, spare, now),
        )
    return state._replace(demands=demands)


def _average(previous: PoolDemand | None, sample: float, now: float) -> float:
    if previous is None:
        return sample
    weight = 1.0 - math.exp(-max(0.0, now - previous.at) / AVERAGE_S)
    return previous.mean + weight * (sample - previous.mean)


def _keep_start(start: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if start is None else start


def note_fleet(state: MoveState, before: Fleet, after: Fleet, now: float) -> MoveState:
    """Return the state after a change of the fleet; it remembers who moved.

    Every entry sees these changes, so the next planner knows them as well.
    """
    received, gave = dict(state.received), dict(state.gave)
    for name, instance in after["instances"].items():
        old = before["instances"].get(name)
        target = instance["target_pool"]
        if old is None:
            continue
        if target is not None and old["target_pool"] != target:
            received[target] = gave[instance["pool"]] = now
        if old["pool"] != instance["pool"]:
            received[instance["pool"]] = gave[old["pool"]] = now
    return state._replace(received=received, gave=gave)


def note_cost(state: MoveState, seconds: float) -> MoveState:
    """Return the state after a stop whose drain and reboot took some seconds."""
    cost = state.cost_s + COST_GAIN * (seconds - state.cost_s)
    return state._replace(cost_s=cost)


def choose_moves(
    configuration: Configuration,
    fleet: Fleet,
    state: MoveState,
    weights: WeightsSettings,
    now: float,
) -> list[Move]:
    """Return the moves that are worth their cost, the most urgent first."""
    short = _list_short(configuration, fleet, state, now)
    if not short:
        return []
    unavailable = count_unavailable(fleet)
    coming = _count_coming(fleet)
    used: set[str] = set()
    moves = []
    for pool, lasted_s in short:
        slots = configuration["pools"][pool]["slots"]
        serving = count_serving(fleet).get(pool, 0) + coming.get(pool, 0)
        missing = state.demands[pool].mean - serving * slots
        if missing <= 0 or not has_room(configuration, unavailable.get(pool, 0), pool):
            continue
        donor = _find_donor(configuration, fleet, state, pool, now, used)
        if donor is None:
            continue
        idle = _count_idle(configuration, fleet, state, donor)
        gain = _weigh_gain(weights, min(missing, slots), min(idle, slots), lasted_s)
        if gain <= weights.moves * slots * state.cost_s:
            continue
        name = _pick_instance(fleet, donor, used)
        if name is not None:
            used.add(donor)
            moves.append(Move(name, donor, pool))
    return moves


def _list_short(
    configuration: Configuration, fleet: Fleet, state: MoveState, now: float
) -> list[tuple[str, float]]:
    """Return pools whose demand has outlasted the cost of a move, longest first."""
    found = []
    for pool, demand in state.demands.items():
        if demand.short_since is None or pool not in configuration["pools"]:
            continue
        lasted_s = now - demand.short_since
        gave_lately = now - state.gave.get(pool, -math.inf) < MOVE_BACK_S
        if lasted_s >= OUTLAST_FACTOR * state.cost_s and not gave_lately:
            found.append((pool, lasted_s))
    return sorted(found, key=lambda item: (-item[1], item[0]))


def _count_coming(fleet: Fleet) -> dict[str, int]:
    """Count instances that will serve a pool soon: moving to it, or out for a while."""
    counts: dict[str, int] = {}
    for instance in fleet["instances"].values():
        if instance["state"] in ("leaving", "draining", "rebooting", "returning"):
            pool = instance["target_pool"] or instance["pool"]
            counts[pool] = counts.get(pool, 0) + 1
    return counts


def _find_donor(
    configuration: Configuration,
    fleet: Fleet,
    state: MoveState,
    receiver: str,
    now: float,
    used: set[str],
) -> str | None:
    """Return the pool that can give an instance best; the spare pool comes first."""
    serving = count_serving(fleet)
    unavailable = count_unavailable(fleet)
    candidates = []
    for pool, content in configuration["pools"].items():
        demand = state.demands.get(pool)
        if pool in used or pool == receiver or demand is None:
            continue
        if now - state.received.get(pool, -math.inf) < MOVE_BACK_S:
            continue
        if not has_room(configuration, unavailable.get(pool, 0), pool):
            continue
        if not serving.get(pool, 0):
            continue
        idle = _count_idle(configuration, fleet, state, pool)
        if content["spare"] and idle >= content["slots"]:
            candidates.append((0, -idle, pool))
        elif _has_spared(demand, state, now):
            candidates.append((1, -idle, pool))
    return min(candidates)[2] if candidates else None


def _has_spared(demand: PoolDemand, state: MoveState, now: float) -> bool:
    since = demand.spare_since
    return since is not None and now - since >= OUTLAST_FACTOR * state.cost_s


def _count_idle(
    configuration: Configuration, fleet: Fleet, state: MoveState, pool: str
) -> float:
    slots = configuration["pools"][pool]["slots"]
    capacity = count_serving(fleet).get(pool, 0) * slots
    return max(0.0, capacity - state.demands[pool].mean)


def _weigh_gain(
    weights: WeightsSettings, missing: float, idle: float, lasted_s: float
) -> float:
    """Return the gain in weighted slot-seconds.

    Demand that has lasted for some time is expected to last as long again. The
    receiver's teams get nearer to their shares, and the giver's buffer shrinks.
    """
    return lasted_s * (weights.share * missing + weights.buffer * idle)


def _pick_instance(fleet: Fleet, pool: str, used: set[str]) -> str | None:
    names = (
        name
        for name, instance in fleet["instances"].items()
        if instance["pool"] == pool and instance["state"] == "serving"
    )
    return min(names, default=None)
