"""Shares of the teams: jobs within a team's weight come before those beyond it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from briarshed_workloads.configuration import Configuration, find_weight

if TYPE_CHECKING:
    from briarshed_workloads.jobs import Job

BURST_S = 2.0
"""Burst: jobs of this many seconds at a team's weight may arrive at once."""


KEPT_S = 60.0
"""Time after the first refusal of a job for which it is kept whether it was within the
share of its team."""


class _Bucket(NamedTuple):
    tokens: float
    filled_at: float


class _RefusedJob(NamedTuple):
    is_within: bool
    refused_at: float


class Shares:
    """A token bucket for each team, refilled at its weight in jobs per second.

    A job is counted once, when its caller first asks for it: one that was refused and
    is submitted again takes nothing from the later jobs of its team.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._refused: dict[str, _RefusedJob] = {}

    def take(self, job_id: str, team: str, weight: float, now: float) -> bool:
        """Count a job; return whether it lies within the team's share.

        Jobs of open queues have the team ``""``, whose share is not limited.
        """
        if not team:
            return True
        refused = self._find_refused(job_id, now)
        self._refused.pop(job_id, None)
        if refused is not None:
            return refused.is_within
        tokens = self._count_tokens(team, weight, now)
        is_within = tokens >= 1.0
        self._buckets[team] = _Bucket(tokens - 1.0 if is_within else tokens, now)
        return is_within

    def has_share(self, job_id: str, team: str, weight: float, now: float) -> bool:
        """Return whether a job that is not accepted yet lies within the share."""
        refused = self._find_refused(job_id, now)
        if refused is not None:
            return refused.is_within
        return not team or self._count_tokens(team, weight, now) >= 1.0

    def note_refused(self, job_id: str, team: str, weight: float, now: float) -> None:
        """Count a job that is refused, and keep whether it was within the share."""
        if not team:
            return
        # After a step back of the Unix clock, what seems to be refused later is older.
        while self._refused:
            oldest = next(iter(self._refused))
            if 0 <= now - self._refused[oldest].refused_at <= KEPT_S:
                break
            del self._refused[oldest]
        if job_id not in self._refused:
            is_within = self.take(job_id, team, weight, now)
            self._refused[job_id] = _RefusedJob(is_within, now)

    def _find_refused(self, job_id: str, now: float) -> _RefusedJob | None:
        refused = self._refused.get(job_id)
        is_kept = refused is not None and now - refused.refused_at <= KEPT_S
        return refused if is_kept else None

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
        job.is_within_share = shares.take(job.job_id, job.team, weight, job.accepted_at)
