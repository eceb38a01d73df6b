"""How urgent the demand of a pool is, by the priority of its queues.

The decision needs no I/O. It answers the load of several pools that are short at the
same time: what is free goes where more urgent jobs could still meet their objective.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

MOST_URGENT = -math.inf
"""Urgency of a pool without room for all tasks that run until cancelled. As within a
pool, they come before jobs of any priority."""

LEAST_URGENT = math.inf
"""Urgency of a pool that has room for all jobs that can meet their objective."""


class DemandLevel(NamedTuple):
    """Part of a pool's demand that jobs up to a priority cause."""

    priority: float
    share: float


def split_demand(
    work: Mapping[int, float], late_work: float, has_long_running: bool = False
) -> tuple[DemandLevel, ...]:
    """Return the levels of demand, the most urgent one first.

    Parameters
    ----------
    work : mapping
        Remaining core-seconds of the jobs that can meet their objective, by the
        priority of their queue; lower ones are more urgent.
    late_work : float
        Remaining core-seconds of the jobs that cannot.
    has_long_running : bool
        Whether the pool has tasks that run until cancelled. They are not part of the
        demand, and remain if none of it counts.
    """
    first = (DemandLevel(MOST_URGENT, 0.0),) if has_long_running else ()
    total = sum(work.values()) + late_work
    if not total:
        return first
    priorities = sorted(work)
    sums = itertools.accumulate(work[priority] for priority in priorities)
    return first + tuple(
        DemandLevel(priority, part / total)
        for priority, part in zip(priorities, sums, strict=True)
    )


def choose_pool(
    pools: Iterable[str],
    surplus: Mapping[str, float],
    find_urgency: Callable[[str, float], float],
) -> str:
    """Return the pool that gets the next instance.

    It is the one with the most urgent jobs, or among equals the one that lacks most.

    Parameters
    ----------
    surplus : mapping
        Surplus of each pool in instances; negative for a shortage.
    find_urgency : callable
        Returns how urgent a pool's shortage is, given its surplus; see `find_urgency`.
    """
    return min(
        pools, key=lambda pool: (find_urgency(pool, surplus[pool]), surplus[pool])
    )


def find_urgency(
    levels: Sequence[DemandLevel],
    measure_surplus: Callable[[float], float],
    least_shortage: float,
) -> float:
    """Return the most urgent priority for whose jobs a pool is short.

    Parameters
    ----------
    levels : sequence of DemandLevel
        Levels of the pool's demand.
    measure_surplus : callable
        Returns the surplus in instances if only a share of the demand counted.
    least_shortage : float
        Shortage in instances from which a pool counts as short.
    """
    for level in levels:
        if measure_surplus(level.share) <= -least_shortage:
            return level.priority
    return LEAST_URGENT
