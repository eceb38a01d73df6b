"""How many of a pool's own instances have to stay in it.

The decision needs no I/O. An instance beyond the floor may stand by in a standby pool,
where it is not billed, or serve another pool. It comes back when its pool is short, or
ahead of a spell of demand that is forecast.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Protocol

from briarshed_workloads.demand_forecast import (
    REMEMBERED_SPELLS,
    SPELL_END_SHARE,
    Forecast,
    Spell,
    find_longest_gap,
    forecast_spell,
    has_long_spells,
    note_level,
)

MIN_SPELL_MOVES = 4.0
"""Length of the usual spell of demand, in moves, from which own instances leave. Of a
shorter one, the larger part is over by the time that an instance has moved."""

QUIET_MOVES = 3.0
"""Time for which demand has to be low before instances leave, in moves. A shorter rest
does not pay for the way there and back."""

MIN_PRESENT_SHARE = 0.5
"""Share of a pool's own instances that stay for demand that returns early."""

RESERVE = 1.0
"""Instances that stay beyond the largest recent need."""

MAX_WAIT_S = 60.0
"""Longest time of low demand that is waited for before instances leave."""

LEARNING_S = 3.6
"""Time in which a leader learns the demand: three time constants of the mean rate."""


class Need(Protocol):
    """What a pool needs, in instances; see `sizing.PoolDemand`."""

    count: int
    widest: int

    def find_need(self) -> float:
        """Return the need of the pool in instances."""

    def find_load(self) -> float:
        """Return the need of the jobs that end, in instances."""


class PoolHistory:
    """Recent needs of a pool, and its spells of high demand.

    ``is_unseen`` is set while the last spell is one that an earlier leader has seen
    begin, and this one has not seen any of it.
    """

    def __init__(self, spells: tuple[Spell, ...] = ()) -> None:
        self.spells = spells
        self.is_unseen = bool(spells) and spells[-1].ended_at is None
        self.floor = 0
        self._needs: deque[tuple[float, float]] = deque()

    def note(self, need: float, level: float, now: float) -> None:
        """Note a measurement.

        Parameters
        ----------
        need : float
            Instances that the pool needs.
        level : float
            Need of its jobs that end, as a share of its own instances.
        """
        self.spells = note_level(self.spells, level, now)
        # Only needs that no later one exceeds can be the largest of a time up to now.
        while self._needs and self._needs[-1][1] <= need:
            self._needs.pop()
        self._needs.append((now, need))
        while self._needs[0][0] < now - MAX_WAIT_S:
            self._needs.popleft()

    def end_unseen(self, known_from: float) -> None:
        """End the last spell after the usual time, or drop it if none is known.

        It has ended before ``known_from``, and nobody has seen when.
        """
        self.is_unseen = False
        *earlier, last = self.spells
        durations = [
            row.ended_at - row.started_at for row in earlier if row.ended_at is not None
        ]
        self.spells = tuple(earlier)
        if durations:
            ended_at = last.started_at + statistics.median(durations)
            self.spells += (last._replace(ended_at=min(ended_at, known_from)),)

    def find_peak(self, since: float) -> float:
        """Return the largest need since a time."""
        return next((need for at, need in self._needs if at >= since), 0.0)


class StandingBy:
    """Decides how many instances stay in each pool during one term.

    Parameters
    ----------
    known_from : float
        Time in seconds from which on the demand is measured.
    move : float
        Downtime of an instance that is moved, in seconds.
    """

    def __init__(self, known_from: float, move: float) -> None:
        self._known_from = known_from
        self._move = move
        self._pools: dict[str, PoolHistory] = {}

    def restore(self, spells: Mapping[str, Sequence[Spell]]) -> None:
        """Restore the spells that an earlier leader knew.

        Spells that begin or end in the future are left out, since the clocks of two
        leaders may differ.
        """
        for pool, rows in spells.items():
            known = tuple(
                row
                for row in rows[-REMEMBERED_SPELLS:]
                if max(row.started_at, row.ended_at or 0.0) <= self._known_from
            )
            if known:
                self._pools[pool] = PoolHistory(known)

    def list_spells(self) -> dict[str, tuple[Spell, ...]]:
        """Return the last spells of demand of each pool that has had one."""
        return {pool: row.spells for pool, row in self._pools.items() if row.spells}

    def choose_floors(
        self, needs: Mapping[str, Need], sizes: Mapping[str, int], now: float
    ) -> dict[str, int]:
        """Return the number of instances that have to be in each pool.

        Parameters
        ----------
        needs : mapping
            Present need of each pool.
        sizes : mapping
            Number of instances that the operator assigned to each pool.
        """
        is_learning = now < self._known_from + LEARNING_S
        # Pools may have been removed.
        self._pools = {pool: self._pools.get(pool, PoolHistory()) for pool in needs}
        for pool, need in needs.items():
            size = sizes.get(pool, 0)
            history = self._pools[pool]
            level = need.find_load() / max(1, size)
            if level >= SPELL_END_SHARE:
                history.is_unseen = False
            elif history.is_unseen and not is_learning:
                history.end_unseen(self._known_from)
            if is_learning and not has_ended(history.spells) and history.spells:
                # A spell of an earlier term has not ended because nothing is known yet.
                level = max(level, SPELL_END_SHARE)
            history.note(need.find_need(), level, now)
        spells = [
            self._cut_unseen(spell)
            for row in self._pools.values()
            for spell in row.spells
        ]
        pays = has_long_spells(spells, MIN_SPELL_MOVES * self._move, now)
        for pool, need in needs.items():
            history, size = self._pools[pool], sizes.get(pool, 0)
            if is_learning:
                # Demand that is not known yet does not count as none. After an outage
                # that cost the leader, callers of all pools may return at once.
                history.floor = max(size, need.count)
            elif pays and has_ended(history.spells):
                history.floor = self._choose_floor(history, need, size, now)
            else:
                history.floor = size
        return {pool: self._pools[pool].floor for pool in needs}

    def _cut_unseen(self, spell: Spell) -> Spell:
        """Return the part of a spell that this leader has seen, if it has seen any."""
        if spell.ended_at is not None and spell.ended_at <= self._known_from:
            return spell
        return spell._replace(started_at=max(spell.started_at, self._known_from))

    def _choose_floor(
        self, history: PoolHistory, need: Need, size: int, now: float
    ) -> int:
        quiet = QUIET_MOVES * self._move
        forecast = forecast_spell(history.spells, now)
        wait = quiet
        if forecast is None:
            wait = min(MAX_WAIT_S, max(quiet, find_longest_gap(history.spells)))
        elif is_due(forecast, self._move, now):
            return size
        if now < self._known_from + wait:
            return size
        floor = max(
            math.ceil(history.find_peak(now - wait) + RESERVE),
            math.ceil(size * MIN_PRESENT_SHARE),
            need.widest,
        )
        if forecast is not None and forecast.starts_at - now < quiet + 2 * self._move:
            # Who leaves now would have to come back at once.
            floor = max(floor, history.floor)
        return min(size, floor)


def has_ended(spells: Sequence[Spell]) -> bool:
    """Return whether a pool has had a spell of demand, and none lasts."""
    return bool(spells) and spells[-1].ended_at is not None


def is_due(forecast: Forecast, move: float, now: float) -> bool:
    """Return whether instances have to come back now to be there in time."""
    return now >= forecast.starts_at - forecast.tolerance - move
