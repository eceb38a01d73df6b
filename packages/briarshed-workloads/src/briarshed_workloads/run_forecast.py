"""How long the runs in progress are expected to go on, from their progress.

It answers work with a long tail: a few runs take many times as long as the others of
their image. Where a step allows no copies, its job lasts as long as they do, and the
room that they hold is not freed before.
"""

from __future__ import annotations

from collections.abc import Iterable

from briarshed_workloads.fleet import Run
from briarshed_workloads.outliers import project_ratio
from briarshed_workloads.run_times import RunTimes
from briarshed_workloads.workloads import TaskId


def forecast_rest(
    run: Run, run_times: RunTimes, slowness: float, now: float
) -> float | None:
    """Return in how many seconds a run is expected to end, or None if it is unknown.

    Its progress tells most. Without it, the time is that of other runs of its image, as
    long as the run has not taken longer already.

    Parameters
    ----------
    slowness : float
        How many times as long as others its endpoint takes.
    now : float
        Seconds of the boot clock.
    """
    if run.step.long_running or not run.is_present or not run.confirmed_at:
        return None
    elapsed = now - run.confirmed_at
    ratio = project_ratio(run, run.endpoint.polled_at)
    if ratio is not None:
        return max(0.0, ratio * run.step.estimate - elapsed)
    expected = run_times.expect_in(run.step, run.endpoint.registration.rack)
    rest = expected * max(1.0, slowness) - elapsed
    return rest if rest >= 0 else None


def forecast_step(
    runs: Iterable[Run], missing: int, expected: float, run_times: RunTimes, now: float
) -> float:
    """Return in how many seconds the rest of a step is expected to have succeeded.

    Parameters
    ----------
    runs : iterable of Run
        Runs of the step.
    missing : int
        Tasks that have not succeeded.
    expected : float
        Expected run time of one of its tasks in seconds.
    now : float
        Seconds of the boot clock.
    """
    rests: dict[TaskId, float] = {}
    for run in runs:
        # Small differences in speed are noise, and would make many jobs seem late.
        rest = forecast_rest(run, run_times, 1.0, now)
        if rest is None or (run.step.speculative and rest > expected):
            # A copy may be started that takes the usual time.
            rest = expected
        rests[run.task] = min(rest, rests.get(run.task, rest))
    if len(rests) < missing:
        return max(expected, *rests.values()) if rests else expected
    return max(rests.values(), default=0.0)
