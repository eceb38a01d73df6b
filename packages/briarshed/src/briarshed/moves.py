"""Moves of instances between pools, decided from demand that lasts.

Demand and capacity are counted in slots: jobs that run or wait, and slots of serving
instances. A burst of seconds is served by queues; a move takes minutes, so it pays
only for demand that outlasts it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from briarshed.budgets import (
    STOPPING_STATES,
    count_serving,
    count_unavailable,
    has_room,
)
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
        if previous is not None and now - previous.at > AVERAGE_S:
            # Without samples in between, nothing is known to have lasted.
            previous = None
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
                # Waiting jobs count as demand until they have drained, so whether
                # the pool still lacks slots shows only some time after it received.
                demand = demands[instance["pool"]]
                demands[instance["pool"]] = demand._replace(short_since=None)
    return MoveState(demands, received, gave, state.cost_s)


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
    short = _list_short(configuration, state, now)
    if not short:
        return []
    supply = _count_supply(fleet)
    used: set[str] = set()
    moves = []
    for pool, lasted_s in short:
        slots = configuration["pools"][pool]["slots"]
        coming = supply.serving.get(pool, 0) + supply.coming.get(pool, 0)
        missing = state.demands[pool].mean - coming * slots
        if missing <= 0 or not supply.has_room(configuration, pool):
            continue
        donor = _find_donor(configuration, state, supply, pool, now, used)
        if donor is None:
            continue
        put_to_work = min(
            missing, slots, _count_idle(configuration, state, supply, donor)
        )
        gain = _weigh_gain(weights, put_to_work, lasted_s)
        if gain > weights.moves * slots * state.cost_s:
            used.add(donor)
            moves.append(Move(_pick_instance(fleet, donor), donor, pool))
    return moves


class _Supply(NamedTuple):
    """Instances by pool: serving, out of service, and about to serve."""

    serving: Mapping[str, int]
    unavailable: Mapping[str, int]
    coming: Mapping[str, int]

    def has_room(self, configuration: Configuration, pool: str) -> bool:
        return has_room(configuration, self.unavailable.get(pool, 0), pool)


def _count_supply(fleet: Fleet) -> _Supply:
    coming: dict[str, int] = {}
    for instance in fleet["instances"].values():
        if instance["state"] in STOPPING_STATES:
            pool = instance["target_pool"] or instance["pool"]
            coming[pool] = coming.get(pool, 0) + 1
    return _Supply(count_serving(fleet), count_unavailable(fleet), coming)


def _list_short(
    configuration: Configuration, state: MoveState, now: float
) -> list[tuple[str, float]]:
    """Return pools whose demand has outlasted the cost of a move, longest first."""
    found = []
    for pool, demand in state.demands.items():
        if demand.short_since is None or pool not in configuration["pools"]:
            continue
        if now - demand.at > AVERAGE_S:
            continue
        lasted_s = now - demand.short_since
        gave_lately = now - state.gave.get(pool, -math.inf) < MOVE_BACK_S
        if lasted_s >= OUTLAST_FACTOR * state.cost_s and not gave_lately:
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
    """Return the pool that can give an instance best; the spare pool comes first."""
    candidates = []
    for pool, content in configuration["pools"].items():
        demand = state.demands.get(pool)
        if pool in used or pool == receiver or demand is None:
            continue
        received_lately = now - state.received.get(pool, -math.inf) < MOVE_BACK_S
        if received_lately or not supply.has_room(configuration, pool):
            continue
        idle = _count_idle(configuration, state, supply, pool)
        if content["spare"] and idle >= content["slots"]:
            candidates.append((0, -idle, pool))
        elif _has_spared(demand, state, now) and idle >= content["slots"]:
            candidates.append((1, -idle, pool))
    return min(candidates)[2] if candidates else None


def _has_spared(demand: PoolDemand, state: MoveState, now: float) -> bool:
    since = demand.spare_since
    return since is not None and now - since >= OUTLAST_FACTOR * state.cost_s


def _count_idle(
    configuration: Configuration, state: MoveState, supply: _Supply, pool: str
) -> float:
    slots = configuration["pools"][pool]["slots"]
    return max(0.0, supply.serving.get(pool, 0) * slots - state.demands[pool].mean)


def _weigh_gain(weights: WeightsSettings, put_to_work: float, lasted_s: float) -> float:
    """Return the gain in weighted slot-seconds.

    Demand that has lasted for some time is expected to last as long again. Every
    idle slot put to work shrinks the buffer and brings teams nearer to their shares.
    """
    return lasted_s * put_to_work * (weights.share + weights.buffer)


def _pick_instance(fleet: Fleet, pool: str) -> str:
    return min(
        name
        for name, instance in fleet["instances"].items()
        if instance["pool"] == pool and instance["state"] == "serving"
    )
