"""Endpoints that fail, stall or slow what they run while they report to be well.

Belief comes from ends and progress, not from what an endpoint says of its health.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from briarshed_workloads.fleet import Endpoint, Run

FAILURES_TO_AVOID = 3
"""Different works that fail in a row at an endpoint before it is avoided. Work that
never succeeds fails everywhere, so that one or two are no proof."""

FAILURES_ON_PROBATION = 1
"""The same, for an endpoint that was avoided and has not succeeded since."""

FIRST_AVOIDED_S = 3.0
LONGEST_AVOIDED_S = 12.0
"""Time without new work; doubles each time, up to the second figure."""

STALL_TIMEOUT_S = 2.6
"""Time without progress after which a run stands still: two looks and some slack."""

STALL_FACTOR = 1.5
"""A run is no stall before it has taken this many times its estimated time."""

STARTUP_TIMEOUT_S = 3.0
"""Time within which a long-running task should be at work after its start."""

SLOW_FACTOR = 2.2
"""Ratio of run times to estimates, against the pool's mean, that counts as slow."""

SLOW_WEIGHT = 0.3
"""Weight of a new ratio in the endpoint's mean."""

MIN_PROGRESS_PERCENT = 10
"""Progress below which a run tells nothing of an endpoint's speed."""


class EndpointReputation:
    """What is held against one endpoint; times are seconds of the boot clock."""

    __slots__ = ("_avoided_s", "_failed", "ejected_until", "slowness")

    def __init__(self) -> None:
        self.ejected_until = 0.0
        self.slowness = 1.0
        self._failed: set[str] = set()
        self._avoided_s = 0.0

    def note_success(self) -> None:
        """Clear what was held against the endpoint."""
        self._failed.clear()
        self._avoided_s = 0.0

    def note_failure(self, work: str, now: float) -> float:
        """Note that a piece of work failed or stalled.

        Returns
        -------
        float
            Seconds for which the endpoint is avoided from now on; 0 if it is not.
        """
        self._failed.add(work)
        is_on_probation = self._avoided_s > 0
        limit = FAILURES_ON_PROBATION if is_on_probation else FAILURES_TO_AVOID
        if now < self.ejected_until or len(self._failed) < limit:
            return 0.0
        self._failed.clear()
        longer = self._avoided_s * 2 or FIRST_AVOIDED_S
        self._avoided_s = min(LONGEST_AVOIDED_S, longer)
        self.ejected_until = now + self._avoided_s
        return self._avoided_s

    def note_speed(self, ratio: float) -> None:
        """Note how long a run took, or will take, against its estimate."""
        self.slowness += SLOW_WEIGHT * (ratio - self.slowness)


class StalledRun(NamedTuple):
    """A run that stands still, and for how long in seconds."""

    run: Run
    seconds: float


def project_ratio(run: Run, now: float) -> float | None:
    """Return the expected run time over the estimate, or None if it cannot be told."""
    elapsed = now - run.confirmed_at
    if run.percent < MIN_PROGRESS_PERCENT or not run.step.estimate or run.checkpoint:
        return None
    return elapsed * 100 / run.percent / run.step.estimate


def list_stalled_runs(endpoints: Iterable[Endpoint], now: float) -> list[StalledRun]:
    """Return the runs whose progress has stood still for too long."""
    # Progress is known up to the last look: a look that is late is no stall.
    return [
        StalledRun(run, endpoint.polled_at - run.progressed_at)
        for endpoint in endpoints
        if not endpoint.failing_since and now - endpoint.polled_at < STALL_TIMEOUT_S
        for run in endpoint.runs.values()
        if run.is_present
        and not run.stop_requested_at
        and _stands_still(run, endpoint.polled_at)
    ]


def _stands_still(run: Run, now: float) -> bool:
    if not run.confirmed_at:
        return False
    quiet = now - run.progressed_at > STALL_TIMEOUT_S
    if run.step.long_running:
        # A slow endpoint takes its time to start one up; stopping it begins anew.
        is_late = now - run.confirmed_at > STARTUP_TIMEOUT_S
        return quiet and is_late and run.percent < 100
    if run.step.gang:
        return False
    return quiet and now - run.confirmed_at > STALL_FACTOR * run.step.estimate


def find_slow(endpoints: Iterable[Endpoint]) -> set[str]:
    """Return the endpoints that are slow against the others of their pool.

    At most half of them, so that a pool is never left with nothing.
    """
    rows = list(endpoints)
    if len(rows) < 2:
        return set()
    ordered = sorted(rows, key=lambda row: row.reputation.slowness)
    usual = ordered[(len(ordered) - 1) // 2].reputation.slowness
    slow = [row for row in ordered if row.reputation.slowness > SLOW_FACTOR * usual]
    return {row.name for row in slow[-(len(rows) // 2) :]}
