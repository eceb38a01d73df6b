"""Joins callers' records with endpoints' records and counts violations."""

from __future__ import annotations

from typing import NamedTuple


class Outage(NamedTuple):
    """A time in which an entry could not answer, for it was killed or paused.

    Attributes
    ----------
    entry : str
        Callers' URL of the entry.
    since, until : float
        Seconds of ``CLOCK_BOOTTIME``; None is without an end.
    """

    entry: str
    since: float
    until: float | None
