"""Moves of instances between pools, decided from sustained demand.

Demand is the number of jobs that run or wait, and capacity the number of slots of
serving instances that are not in an evacuated data centre. Queues absorb bursts of
seconds. A move takes minutes, so it is only useful for demand that lasts longer than
the move.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from briarshed.budgets import (
    STOPPING_STATES,
    count_available,
    count_unavailable,
    has_budget,
    is_available,
)
from briarshed.documents import Configuration, Fleet
from briarshed.evacuations import is_evacuated
from briarshed.settings import WeightsSettings
from briarshed.waves import Move

AVERAGE_TIME_CONSTANT_S = 60.0
"""Time constant of the moving average; several times the length of a burst."""

MIN_DURATION_FACTOR = 3.0
"""Demand must have lasted for this many times the cost of a move."""

INITIAL_COST_S = 120.0
"""Duration of a drain and a reboot, used until stops have been measured."""

COST_LEARNING_RATE = 0.2
"""Weight of the latest stop in the average cost of a move."""

MOVE_COOLDOWN_S = 600.0
"""Time for which a pool that received an instance gives none, and vice versa."""

SURPLUS_HEADROOM = 1.0
"""Spare capacity, in instances, that a pool keeps above its demand when it gives."""


class PoolDemand(NamedTuple):
    """Demand of a pool over time.

    Attributes
    ----------
    mean : float
        Moving average in slots.
    at : float
        Time of the latest sample in seconds.
    shortage_since, surplus_since : float or None
        Time since which the mean exceeds the capacity, or leaves an instance unused.
    """

    mean: float
    at: float
    shortage_since: float | None = None
    surplus_since: float | None = None


class MoveState(NamedTuple):
    """State kept between choices of moves.

    Attributes
    ----------
    demands : dict
        Demand by pool.
    received, gave : dict
        Time at which a pool last received or gave an instance, by pool.
    cost_s : float
        Average duration of a move in seconds.
    """

    demands: Mapping[str, PoolDemand] = {}
    received: Mapping[str, float] = {}
    gave: Mapping[str, float] = {}
    cost_s: float = INITIAL_COST_S


def note_demand(
    state: MoveState,
    configuration: Configuration,
    fleet: Fleet,
    demand: Mapping[str, float],
    now: float,
) -> MoveState:
    """Return the state after a sample of the demand of each pool, in slots."""
    available = count_available(fleet)
    demands = {}
    for pool, content in configuration["pools"].items():
        slots = content["slots"]
        previous = state.demands.get(pool)
        if previous is not None and now - previous.at > AVERAGE_TIME_CONSTANT_S:
            # Without samples in between, demand may not have lasted.
            previous = None
        mean = _average(previous, demand.get(pool, 0.0), now)
        capacity = available.get(pool, 0) * slots
        shortage = mean > capacity
        surplus = mean + SURPLUS_HEADROOM * slots <= capacity - slots
        demands[pool] = PoolDemand(
            mean,
            now,
            _keep_start(previous and previous.shortage_since, shortage, now),
            _keep_start(previous and previous.surplus_since, surplus, now),
        )
    return state._replace(demands=demands)


def _average(previous: PoolDemand | None, sample: float, now: float) -> float:
    if previous is None:
        return sample
    weight = 1.0 - math.exp(-max(0.0, now - previous.at) / AVERAGE_TIME_CONSTANT_S)
    return previous.mean + weight * (sample - previous.mean)


def _keep_start(start: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if start is None else start


def note_fleet(state: MoveState, before: Fleet, after: Fleet, now: float) -> MoveState:
    """Return the state after a change of the fleet, with the moves in it.

    Every entry records these changes, so that the next planner has them as well.
    """
    received, gave = dict(state.received), dict(state.gave)
    demands = dict(state.demands)
    for name, instance in after["instances"].items():
        old = before["instances"].get(name)
        target = instance["target_pool"]
        if old is None:
            continue
        if target is not None and old["target_pool"] != target:
            received[target] = gave[instance["pool"]] = now
        if old["pool"] != instance["pool"]:
            received[instance["pool"]] = gave[old["pool"]] = now
            if instance["pool"] in demands:
                # Waiting jobs count as demand until the queue has drained, so whether
                # slots are still short is known only some time after the move.
                demand = demands[instance["pool"]]
                demands[instance["pool"]] = demand._replace(shortage_since=None)
    return MoveState(demands, received, gave, state.cost_s)


def note_cost(state: MoveState, seconds: float) -> MoveState:
    """Return the state after a stop whose drain and reboot took the given seconds."""
    cost = state.cost_s + COST_LEARNING_RATE * (seconds - state.cost_s)
    return state._replace(cost_s=cost)


def choose_moves(
    configuration: Configuration,
    fleet: Fleet,
    state: MoveState,
    weights: WeightsSettings,
    now: float,
) -> list[Move]:
    """Return the moves whose gain exceeds their cost, longest shortage first."""
    shortage = _list_shortages(configuration, state, now)
    if not shortage:
        return []
    supply = _count_supply(fleet)
    used: set[str] = set()
    moves = []
    for pool, lasted_s in shortage:
        slots = configuration["pools"][pool]["slots"]
        incoming = supply.available.get(pool, 0) + supply.incoming.get(pool, 0)
        needed_slots = state.demands[pool].mean - incoming * slots
        if needed_slots <= 0 or not supply.has_budget(configuration, pool):
            continue
        donor = _find_donor(configuration, state, supply, pool, now, used)
        if donor is None:
            continue
        used_slots = min(
            needed_slots, slots, _count_idle(configuration, state, supply, donor)
        )
        gain = _find_gain(weights, used_slots, lasted_s)
        if gain > weights.moves * slots * state.cost_s:
            used.add(donor)
            moves.append(Move(_pick_instance(fleet, donor), donor, pool))
    return moves


class _Supply(NamedTuple):
    """Instances by pool: available, unavailable, and available after a planned stop."""

    available: Mapping[str, int]
    unavailable: Mapping[str, int]
    incoming: Mapping[str, int]

    def has_budget(self, configuration: Configuration, pool: str) -> bool:
        return has_budget(configuration, self.unavailable.get(pool, 0), pool)


def _count_supply(fleet: Fleet) -> _Supply:
    incoming: dict[str, int] = {}
    for instance in fleet["instances"].values():
        if instance["state"] in STOPPING_STATES and not is_evacuated(fleet, instance):
            pool = instance["target_pool"] or instance["pool"]
            incoming[pool] = incoming.get(pool, 0) + 1
    return _Supply(count_available(fleet), count_unavailable(fleet), incoming)


def _list_shortages(
    configuration: Configuration, state: MoveState, now: float
) -> list[tuple[str, float]]:
    """Return pools short of capacity for long enough to move, longest first."""
    found = []
    for pool, demand in state.demands.items():
        if demand.shortage_since is None or pool not in configuration["pools"]:
            continue
        if now - demand.at > AVERAGE_TIME_CONSTANT_S:
            continue
        lasted_s = now - demand.shortage_since
        gave_lately = now - state.gave.get(pool, -math.inf) < MOVE_COOLDOWN_S
        if lasted_s >= MIN_DURATION_FACTOR * state.cost_s and not gave_lately:
            found.append((pool, lasted_s))
    return sorted(found, key=lambda item: (-item[1], item[0]))


def _find_donor(
    configuration: Configuration,
    state: MoveState,
    supply: _Supply,
    receiver: str,
    now: float,
    used: set[str],
) -> str | None:
    """Return the best pool to give an instance; the spare pool is preferred."""
    candidates = []
    for pool, content in configuration["pools"].items():
        demand = state.demands.get(pool)
        if pool in used or pool == receiver or demand is None:
            continue
        received_lately = now - state.received.get(pool, -math.inf) < MOVE_COOLDOWN_S
        if received_lately or not supply.has_budget(configuration, pool):
            continue
        idle = _count_idle(configuration, state, supply, pool)
        if content["spare"] and idle >= content["slots"]:
            candidates.append((0, -idle, pool))
        elif _has_lasting_surplus(demand, state, now) and idle >= content["slots"]:
            candidates.append((1, -idle, pool))
    return min(candidates)[2] if candidates else None


def _has_lasting_surplus(demand: PoolDemand, state: MoveState, now: float) -> bool:
    since = demand.surplus_since
    return since is not None and now - since >= MIN_DURATION_FACTOR * state.cost_s


def _count_idle(
    configuration: Configuration, state: MoveState, supply: _Supply, pool: str
) -> float:
    slots = configuration["pools"][pool]["slots"]
    return max(0.0, supply.available.get(pool, 0) * slots - state.demands[pool].mean)


def _find_gain(weights: WeightsSettings, used_slots: float, lasted_s: float) -> float:
    """Return the gain in weighted slot-seconds.

    Demand is expected to last as long again as it has lasted so far. Every idle slot
    that is used reduces the buffer and brings teams closer to their shares.
    """
    return lasted_s * used_slots * (weights.share + weights.buffer)


def _pick_instance(fleet: Fleet, pool: str) -> str:
    return min(
        name
        for name, instance in fleet["instances"].items()
        if instance["pool"] == pool and is_available(fleet, instance)
    )
