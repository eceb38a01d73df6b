"""Shares of the teams: jobs within a team's weight come before those beyond it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from briarshed_workloads.configuration import Configuration, find_weight

if TYPE_CHECKING:
    from briarshed_workloads.jobs import Job

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
        """Count a job; return whether it lies within the team's share.

        Jobs of open queues have the team ``""``, whose share is not limited.
        """
        if not team:
            return True
        tokens = self._count_tokens(team, weight, now)
        is_within = tokens >= 1.0
        self._buckets[team] = _Bucket(tokens - 1.0 if is_within else tokens, now)
        return is_within

    def has_share(self, team: str, weight: float, now: float) -> bool:
        """Return whether one more job lies within the team's share."""
        return not team or self._count_tokens(team, weight, now) >= 1.0

    def _count_tokens(self, team: str, weight: float, now: float) -> float:
        burst = max(1.0, weight * BURST_S)
        bucket = self._buckets.get(team, _Bucket(burst, now))
        elapsed = max(0.0, now - bucket.filled_at)
        return min(burst, bucket.tokens + elapsed * weight)


def restore_shares(
    shares: Shares, jobs: Iterable[Job], configuration: Configuration
) -> None:
    """Count the jobs that earlier leaders accepted, ended ones included.

    A team's jobs beyond its weight remain so when the leader changes.
    """
    for job in sorted(jobs, key=lambda job: job.accepted_at):
        weight = find_weight(configuration, job.team)
        job.is_within_share = shares.take(job.team, weight, job.accepted_at)
