"""What each team is owed: jobs within its weight come before those beyond it."""

from __future__ import annotations

from typing import NamedTuple

BURST_S = 2.0
"""Jobs of this many seconds at a team's weight may come at once."""


class _Bucket(NamedTuple):
    tokens: float
    filled_at: float


class Shares:
    """A token bucket a team, filled with its weight in jobs a second."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, team: str, weight: float, now: float) -> bool:
        """Count a job; tell whether it lies within the team's share."""
        most = max(1.0, weight * BURST_S)
        bucket = self._buckets.get(team, _Bucket(most, now))
        tokens = min(most, bucket.tokens + (now - bucket.filled_at) * weight)
        is_within = tokens >= 1.0
        self._buckets[team] = _Bucket(tokens - 1.0 if is_within else tokens, now)
        return is_within
