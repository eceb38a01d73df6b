"""Outlier ejection: endpoints that fail, stall or slow down runs but report healthy.

Detection uses the ends and the progress of runs, not the health that endpoints report.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from briarshed_workloads.fleet import Endpoint, Run
from briarshed_workloads.run_times import RunTimes
from briarshed_workloads.workloads import Step

STALL_TIMEOUT_S = 2.6
"""Time without progress after which a run is stalled: two polls and some slack."""

STALL_FACTOR = 1.5
"""Multiple of its estimated time that a run must have taken before it is stalled."""

STARTUP_TIMEOUT_S = 3.0
"""Time within which a long-running task should serve after its start."""

SLOW_FACTOR = 2.2
"""An endpoint is slow if it takes this multiple of the time that the pool's median
endpoint takes."""

MIN_PROGRESS_PERCENT = 10
"""Progress below which the run time cannot be projected."""


class StalledRun(NamedTuple):
    """A run without progress, and for how many seconds it has made none."""

    run: Run
    seconds: float


def project_ratio(run: Run, at: float) -> float | None:
    """Return the ratio of projected run time to estimate, or None if it is unknown.

    The progress is that of the last poll, and ``at`` the time for which it counts, in
    seconds of the boot clock. When an adopted run began is not known.
    """
    elapsed = at - run.confirmed_at
    is_known = run.step.estimate and not (run.checkpoint or run.is_adopted)
    if run.percent < MIN_PROGRESS_PERCENT or not is_known:
        return None
    return elapsed * 100 / run.percent / run.step.estimate


def list_projected(endpoint: Endpoint, run_times: RunTimes, now: float) -> list[float]:
    """Return the projected ratios of run time to expected time of an endpoint's runs.

    A run that has taken longer than expected counts with that ratio at least, also
    before its progress is known.
    """
    ratios = []
    for run in endpoint.runs.values():
        if not _tells_speed(run.step) or not run.is_present or not run.confirmed_at:
            continue
        expected = run_times.expect_in(run.step, endpoint.registration.rack)
        if not expected or run.checkpoint or run.stop_requested_at:
            continue
        passed = (now - run.confirmed_at) / expected
        ratio = project_ratio(run, endpoint.polled_at)
        if ratio is not None:
            passed = max(passed, ratio * run.step.estimate / expected)
        if ratio is not None or passed > 1.0:
            ratios.append(passed)
    return ratios


def note_run_time(
    endpoint: Endpoint, run: Run, run_times: RunTimes, now: float
) -> None:
    """Note the time of a run that has just succeeded."""
    seconds = now - run.confirmed_at
    rack = endpoint.registration.rack
    expected = run_times.expect_in(run.step, rack)
    if expected and _tells_speed(run.step):
        endpoint.reputation.note_speed(seconds / expected, now)
    run_times.note(run.step, rack, seconds)


def _tells_speed(step: Step) -> bool:
    """Return whether run times of a step depend on little besides the endpoint.

    Best-effort tasks get what others leave, and members of a gang wait for each other.
    """
    return not (step.long_running or step.best_effort or step.gang)


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


def measure_slowness(endpoints: Iterable[Endpoint], now: float) -> dict[str, float]:
    """Return how many times as long as the pool's median each endpoint takes.

    Endpoints that are not slower have 1. At most half of the endpoints are slow, since
    the median is that of the faster half.
    """
    rows = {row.name: row.reputation.measure_slowness(now) for row in endpoints}
    if not rows:
        return {}
    ordered = sorted(rows.values())
    usual = max(ordered[(len(ordered) - 1) // 2], 0.01)
    return {name: max(1.0, slowness / usual) for name, slowness in rows.items()}


def list_slow(slowness: dict[str, float]) -> set[str]:
    """Return the names of endpoints that are slow compared with others of their pool.

    Parameters
    ----------
    slowness : dict
        Slowness by name, see `measure_slowness`.
    """
    return {name for name, factor in slowness.items() if factor > SLOW_FACTOR}
