"""Outlier ejection: endpoints that fail, stall or slow down runs but report healthy.

Detection uses the ends and the progress of runs, not the health that endpoints report.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from briarshed_workloads.fleet import Endpoint, Run

FAILURES_TO_EJECT = 3
"""Different images or jobs that fail in a row at an endpoint before it is ejected. One
or two may be tasks that fail everywhere."""

FAILURES_ON_PROBATION = 1
"""The same for an endpoint that was ejected and has had no success since."""

FIRST_EJECTION_S = 3.0
MAX_EJECTION_S = 12.0
"""Duration of the first ejection; each further one doubles it, up to the maximum."""

STALL_TIMEOUT_S = 2.6
"""Time without progress after which a run is stalled: two polls and some slack."""

STALL_FACTOR = 1.5
"""Multiple of its estimated time that a run must have taken before it is stalled."""

STARTUP_TIMEOUT_S = 3.0
"""Time within which a long-running task should serve after its start."""

SLOW_FACTOR = 2.2
"""An endpoint is slow if its ratio of run time to estimate is this multiple of the
pool's median. The projected ratio of a run in progress counts only above this value."""

SLOW_WEIGHT = 0.3
"""Weight of a new ratio in the endpoint's moving average."""

MIN_PROGRESS_PERCENT = 10
"""Progress below which the run time cannot be projected."""


class EndpointReputation:
    """Failures and slowness of one endpoint; times are seconds of the boot clock."""

    __slots__ = ("_ejection_s", "_failed", "ejected_until", "slowness")

    def __init__(self) -> None:
        self.ejected_until = 0.0
        self.slowness = 1.0
        self._failed: set[str] = set()
        self._ejection_s = 0.0

    def note_success(self) -> None:
        """Reset the failure count and the ejection time."""
        self._failed.clear()
        self._ejection_s = 0.0

    def note_failure(self, source: str, now: float) -> float:
        """Note that a task failed or stalled.

        Parameters
        ----------
        source : str
            Image of the task, or its job if it has none.
        now : float
            Seconds of the boot clock.

        Returns
        -------
        float
            Seconds for which the endpoint is ejected from now on; 0 if it is not.
        """
        self._failed.add(source)
        is_on_probation = self._ejection_s > 0
        limit = FAILURES_ON_PROBATION if is_on_probation else FAILURES_TO_EJECT
        if now < self.ejected_until or len(self._failed) < limit:
            return 0.0
        self._failed.clear()
        longer = self._ejection_s * 2 or FIRST_EJECTION_S
        self._ejection_s = min(MAX_EJECTION_S, longer)
        self.ejected_until = now + self._ejection_s
        return self._ejection_s

    def note_speed(self, ratio: float) -> None:
        """Note the ratio of a run time, measured or projected, to its estimate."""
        self.slowness += SLOW_WEIGHT * (ratio - self.slowness)


class StalledRun(NamedTuple):
    """A run without progress, and for how many seconds it has made none."""

    run: Run
    seconds: float


def project_ratio(run: Run, now: float) -> float | None:
    """Return the ratio of projected run time to estimate, or None if it is unknown."""
    elapsed = now - run.confirmed_at
    if run.percent < MIN_PROGRESS_PERCENT or not run.step.estimate or run.checkpoint:
        return None
    return elapsed * 100 / run.percent / run.step.estimate


def list_stalled_runs(endpoints: Iterable[Endpoint], now: float) -> list[StalledRun]:
    """Return the runs that have made no progress for too long."""
    # Progress is known as of the last poll: a late poll does not mean a stalled run.
    return [
        StalledRun(run, endpoint.polled_at - run.progressed_at)
        for endpoint in endpoints
        if not endpoint.failing_since and now - endpoint.polled_at < STALL_TIMEOUT_S
        for run in endpoint.runs.values()
        if run.is_present
        and not run.stop_requested_at
        and _is_stalled(run, endpoint.polled_at)
    ]


def _is_stalled(run: Run, now: float) -> bool:
    if not run.confirmed_at:
        return False
    quiet = now - run.progressed_at > STALL_TIMEOUT_S
    if run.step.long_running:
        # Start-up takes longer at a slow endpoint; a stopped task starts from scratch.
        is_late = now - run.confirmed_at > STARTUP_TIMEOUT_S
        return quiet and is_late and run.percent < 100
    if run.step.gang:
        return False
    return quiet and now - run.confirmed_at > STALL_FACTOR * run.step.estimate


def find_slow(endpoints: Iterable[Endpoint]) -> set[str]:
    """Return the names of endpoints that are slow compared with others of their pool.

    At most half of them count as slow, so that the pool keeps some.
    """
    rows = list(endpoints)
    if len(rows) < 2:
        return set()
    ordered = sorted(rows, key=lambda row: row.reputation.slowness)
    usual = ordered[(len(ordered) - 1) // 2].reputation.slowness
    slow = [row for row in ordered if row.reputation.slowness > SLOW_FACTOR * usual]
    return {row.name for row in slow[-(len(rows) // 2) :]}
