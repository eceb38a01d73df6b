"""Returns: when callers that were refused in an outage submit their jobs again."""

from __future__ import annotations

import math
from collections.abc import Mapping

MIN_DELAY_S = 1
"""Least retry delay; nobody knows when an outage ends."""

MAX_DELAY_S = 8
"""Longest retry delay of the spread."""

PACE_FACTOR = 2
"""Callers that may return in one second, as a multiple of the most jobs that this entry
has had accepted in one second: what the leader has taken before, and those who return
besides."""

MIN_PACE = 10
"""Least number of callers that may return in one second."""

LOWEST_PRIORITY = 3
"""Priority from which on lower ones make no difference."""

PACE_WINDOW_S = 30
"""Time over which the accepted jobs are counted."""


def choose_second(returning: Mapping[int, int], first: int, room: int) -> int:
    """Return the second in which a caller returns.

    It is the first with room, or the emptiest of the next `MAX_DELAY_S` seconds.

    Parameters
    ----------
    returning : mapping
        Number of callers that return in a second.
    first : int
        The first second that the caller may return in.
    room : int
        Callers from which on a second is full for it. It is less for ordinary callers
        than for urgent ones, for whom the rest is kept.
    """
    seconds = range(first, first + MAX_DELAY_S)
    return min(seconds, key=lambda second: max(0, returning.get(second, 0) - room + 1))


def find_room(pace: int, priority: int) -> int:
    """Return how many callers may return in a second, for one of a priority.

    Parameters
    ----------
    pace : int
        Callers that may return in one second.
    priority : int
        Priority of the queue; the most urgent has 0. Each lower one may use half.
    """
    return max(1, pace >> min(max(0, priority), LOWEST_PRIORITY))


class Returns:
    """Accepted jobs and expected returns of this entry's callers, by second.

    Times are in seconds of the boot clock.
    """

    def __init__(self) -> None:
        self._accepted: dict[int, int] = {}
        self._returning: dict[int, int] = {}

    def note_accepted(self, now: float) -> None:
        """Count a job that the leader has accepted."""
        second = math.floor(now)
        self._accepted[second] = self._accepted.get(second, 0) + 1
        _forget(self._accepted, second - PACE_WINDOW_S)

    def find_delay(self, priority: int, now: float) -> float:
        """Return in how many seconds a refused caller should return, and expect it."""
        second = math.floor(now)
        _forget(self._accepted, second - PACE_WINDOW_S)
        _forget(self._returning, second)
        pace = max(MIN_PACE, PACE_FACTOR * max(self._accepted.values(), default=0))
        first = second + MIN_DELAY_S
        chosen = choose_second(self._returning, first, find_room(pace, priority))
        self._returning[chosen] = self._returning.get(chosen, 0) + 1
        return float(chosen - second)


def _forget(counts: dict[int, int], before: int) -> None:
    """Remove the counts of earlier seconds."""
    for second in [second for second in counts if second < before]:
        del counts[second]
