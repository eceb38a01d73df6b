"""Forecast of demand that recurs, from the spells in which a pool was busy.

The decision needs no I/O. A spell is a time of high demand. The next one is forecast
only if the last ones have started at regular intervals; without that evidence, or once
an expected spell has not come, there is no forecast.
"""

from __future__ import annotations

import itertools
import statistics
from collections.abc import Iterable, Sequence
from typing import NamedTuple

SPELL_START_SHARE = 0.5
"""Share of a pool's own capacity from which demand counts as a spell."""

SPELL_END_SHARE = 0.25
"""Share of a pool's own capacity below which a spell has ended."""

REPEATS = 2
"""Intervals in a row that must agree before the next spell is forecast."""

MAX_DEVIATION = 0.15
"""Deviation from the mean interval up to which intervals agree, as a share of it."""

REMEMBERED_SPELLS = 4
"""Spells that are remembered; older ones tell little about the present pattern."""


class Spell(NamedTuple):
    """A time of high demand; ``ended_at`` is None while it lasts. Times in seconds."""

    started_at: float
    ended_at: float | None = None


class Forecast(NamedTuple):
    """When the next spell is expected to start, and by how much that may be wrong.

    Both are in seconds.
    """

    starts_at: float
    tolerance: float


def note_level(spells: Sequence[Spell], level: float, now: float) -> tuple[Spell, ...]:
    """Return the spells after a measurement of demand.

    Parameters
    ----------
    spells : sequence of Spell
        The last spells, in order.
    level : float
        Demand as a share of the pool's own capacity.
    now : float
        Time of the measurement in seconds.
    """
    last = spells[-1] if spells else None
    if last is not None and last.ended_at is None:
        if level >= SPELL_END_SHARE:
            return tuple(spells)
        return (*spells[:-1], last._replace(ended_at=now))
    if level < SPELL_START_SHARE:
        return tuple(spells)
    return (*spells[1 - REMEMBERED_SPELLS :], Spell(now))


def forecast_spell(spells: Sequence[Spell], now: float) -> Forecast | None:
    """Return when the next spell starts, or None without evidence that has repeated."""
    starts = [spell.started_at for spell in spells[-(REPEATS + 1) :]]
    if len(starts) <= REPEATS:
        return None
    intervals = [after - before for before, after in itertools.pairwise(starts)]
    mean = sum(intervals) / len(intervals)
    if any(abs(interval - mean) > MAX_DEVIATION * mean for interval in intervals):
        return None
    tolerance = MAX_DEVIATION * mean
    expected = Forecast(starts[-1] + mean, tolerance)
    return expected if now <= expected.starts_at + tolerance else None


def find_longest_gap(spells: Sequence[Spell]) -> float:
    """Return the longest of the last times without high demand, in seconds."""
    return max(
        (
            after.started_at - before.ended_at
            for before, after in itertools.pairwise(spells)
            if before.ended_at is not None
        ),
        default=0.0,
    )


def has_long_spells(spells: Iterable[Spell], least: float, now: float) -> bool:
    """Return whether spells usually last for at least a time in seconds.

    A spell that goes on counts once it has lasted that long.
    """
    durations = [
        (now if spell.ended_at is None else spell.ended_at) - spell.started_at
        for spell in spells
        if spell.ended_at is not None or now - spell.started_at >= least
    ]
    return bool(durations) and statistics.median(durations) >= least
