"""Shares of the teams: jobs within a team's weight come before those beyond it."""

from __future__ import annotations

from typing import NamedTuple

BURST_S = 2.0
"""Burst: jobs of this many seconds at a team's weight may arrive at once."""


class _Bucket(NamedTuple):
    tokens: float
    filled_at: float


class Shares:
    """A token bucket for each team, refilled at its weight in jobs per second."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, team: str, weight: float, now: float) -> bool:
        """Count a job; return whether it lies within the team's share."""
        burst = max(1.0, weight * BURST_S)
        bucket = self._buckets.get(team, _Bucket(burst, now))
        tokens = min(burst, bucket.tokens + (now - bucket.filled_at) * weight)
        is_within = tokens >= 1.0
        self._buckets[team] = _Bucket(tokens - 1.0 if is_within else tokens, now)
        return is_within
