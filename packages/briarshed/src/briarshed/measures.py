"""The four measures of a deployment; lower is better for the first three."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from briarshed.documents import Fleet


class Usage(NamedTuple):
    """Instances of one pool over a period of time.

    Attributes
    ----------
    seconds : float
        Length of the period.
    held : int
        Instances of the pool, in service or not.
    needed : float
        Instances that the demand requires; may be fractional.
    """

    seconds: float
    held: int
    needed: float


def measure_buffer_cost(periods: Iterable[Usage]) -> float:
    """Return idle instance-seconds divided by needed instance-seconds.

    Without any demand the result is infinite if there are instances, otherwise 0.
    """
    idle = needed = 0.0
    for period in periods:
        idle += period.seconds * max(0.0, period.held - period.needed)
        needed += period.seconds * period.needed
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
    """Return the seconds from a wave's first stop to its last return to service."""
    in_wave = [item for item in transitions if item.wave == wave]
    starts = [item.at for item in in_wave if item.event == "leave"]
    ends = [item.at for item in in_wave if item.event == "serve"]
    return max(ends) - min(starts) if starts and ends else 0.0


def find_least_roll_out(
    sizes: Mapping[str, int], budgets: Mapping[str, int], stop_s: float
) -> float:
    """Return the minimum duration of a wave over whole pools in seconds.

    Pools proceed in parallel; in each, at most its budget is unavailable at once.

    Parameters
    ----------
    sizes, budgets : mapping
        Number of instances and budget, by pool.
    stop_s : float
        Duration of one stop in seconds, from leaving to serving.
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

    Capacity is divided by weighted max-min fairness: what a team does not want goes to
    the others in proportion to their shares.
    """
    entitled = dict.fromkeys(shares, 0.0)
    unsatisfied = [team for team in shares if wanted.get(team, 0.0) > 0.0]
    remaining = capacity
    while unsatisfied and remaining > 0.0:
        total = sum(shares[team] for team in unsatisfied)
        level = remaining / total
        satisfied = [
            team for team in unsatisfied if wanted[team] <= shares[team] * level
        ]
        if not satisfied:
            for team in unsatisfied:
                entitled[team] = shares[team] * level
            break
        for team in satisfied:
            entitled[team] = wanted[team]
            remaining -= wanted[team]
        unsatisfied = [team for team in unsatisfied if team not in satisfied]
    return entitled


def measure_share_error(
    samples: Sequence[tuple[Mapping[str, float], Mapping[str, float]]],
) -> float:
    """Return the fraction of entitled slots that teams did not use, from 0 to 1.

    Each sample has the running and the entitled slots by team. 0 means that every team
    used at least the slots that it was entitled to.
    """
    unused = entitled_sum = 0.0
    for running, entitled in samples:
        for team, slots in entitled.items():
            unused += max(0.0, slots - running.get(team, 0.0))
            entitled_sum += slots
    return unused / entitled_sum if entitled_sum else 0.0
