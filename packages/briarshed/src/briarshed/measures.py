"""The four measures of a deployment; lower is better for the first three."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from briarshed.documents import Fleet


class Usage(NamedTuple):
    """Instances of one pool over a span of time.

    Attributes
    ----------
    seconds : float
        Length of the span.
    held : int
        Instances that are held, in service or not.
    needed : float
        Instances that the demand needs; may be a fraction.
    """

    seconds: float
    held: int
    needed: float


def measure_buffer_cost(spans: Iterable[Usage]) -> float:
    """Return instance-seconds held idle over instance-seconds needed.

    Without any demand the result is infinite if instances are held, otherwise 0.
    """
    idle = needed = 0.0
    for span in spans:
        idle += span.seconds * max(0.0, span.held - span.needed)
        needed += span.seconds * span.needed
    if needed == 0.0:
        return float("inf") if idle else 0.0
    return idle / needed


class Transition(NamedTuple):
    """One recorded transition of an instance."""

    at: float
    instance: str
    event: str
    wave: str | None


def measure_roll_out(transitions: Iterable[Transition], wave: str) -> float:
    """Return seconds from the first stop of a wave to its last return to service."""
    mine = [item for item in transitions if item.wave == wave]
    starts = [item.at for item in mine if item.event == "leave"]
    ends = [item.at for item in mine if item.event == "serve"]
    return max(ends) - min(starts) if starts and ends else 0.0


def find_least_roll_out(
    sizes: Mapping[str, int], budgets: Mapping[str, int], stop_s: float
) -> float:
    """Return the least possible seconds for a wave over whole pools.

    Pools proceed side by side; within a pool at most its budget is out at once.

    Parameters
    ----------
    sizes, budgets : mapping
        Pool to its number of instances and its budget.
    stop_s : float
        Seconds of one stop, from leaving to serving.
    """
    return max(
        (-(-size // budgets[pool]) * stop_s for pool, size in sizes.items()),
        default=0.0,
    )


def count_moves(before: Fleet, after: Fleet) -> int:
    """Return the number of instances whose pool differs between two fleets."""
    old = before["instances"]
    return sum(
        1
        for name, instance in after["instances"].items()
        if name in old and old[name]["pool"] != instance["pool"]
    )


def find_entitlements(
    shares: Mapping[str, float], wanted: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the slots that each team is entitled to.

    Capacity is divided by share; what a team does not want goes to the others by
    their shares (weighted max-min fairness).
    """
    entitled = dict.fromkeys(shares, 0.0)
    open_teams = [team for team in shares if wanted.get(team, 0.0) > 0.0]
    left = capacity
    while open_teams and left > 0.0:
        total = sum(shares[team] for team in open_teams)
        level = left / total
        full = [team for team in open_teams if wanted[team] <= shares[team] * level]
        if not full:
            for team in open_teams:
                entitled[team] = shares[team] * level
            break
        for team in full:
            entitled[team] = wanted[team]
            left -= wanted[team]
        open_teams = [team for team in open_teams if team not in full]
    return entitled


def measure_share_error(
    samples: Sequence[tuple[Mapping[str, float], Mapping[str, float]]],
) -> float:
    """Return the part of entitled slots that teams did not run, from 0 to 1.

    Each sample holds slots running and slots entitled by team. 0 means that every
    team ran at least what it was entitled to.
    """
    missing = entitled_sum = 0.0
    for running, entitled in samples:
        for team, slots in entitled.items():
            missing += max(0.0, slots - running.get(team, 0.0))
            entitled_sum += slots
    return missing / entitled_sum if entitled_sum else 0.0
