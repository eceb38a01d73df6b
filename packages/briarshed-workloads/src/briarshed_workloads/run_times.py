"""Expected run times of tasks, learned from the runs that have succeeded."""

from __future__ import annotations

import math
from typing import NamedTuple

from briarshed_workloads.workloads import Step

MAX_WEIGHT_RUNS = 12
"""Runs that a mean covers: each new one has at least this part of the weight."""

MAX_DEVIATION = math.log(2.0)
"""Largest deviation of one run that counts, as a logarithm. A few runs take many times
as long as the others of their image, and must not make all seem slow."""


class _Image(NamedTuple):
    """Logarithms of an image's run time and of its ratio to the estimate.

    ``time_error`` and ``ratio_error`` are mean deviations of the runs from what either
    would have predicted.
    """

    runs: int
    time: float
    ratio: float
    time_error: float
    ratio_error: float


class RunTimes:
    """Run times by image; either the usual time or the caller's estimate predicts more.

    Callers state an estimate for each step. Where runs of an image differ and the
    estimates tell how, the expected time is the estimate times the usual ratio.

    Attributes
    ----------
    spread_factor : float
        Factor on the run time of a task away from the rack that holds its data.
    """

    def __init__(self) -> None:
        self.spread_factor = 2.0
        self._images: dict[str, _Image] = {}

    def find_spread(self, step: Step, rack: str) -> float:
        """Return the factor on the run time of a step's tasks in a rack."""
        return self.spread_factor if step.rack and step.rack != rack else 1.0

    def note(self, step: Step, rack: str, seconds: float) -> None:
        """Note the time of a run in a rack that has succeeded, in seconds.

        The estimate of the first step of an image counts like a run.
        """
        seconds /= self.find_spread(step, rack)
        if not step.image or seconds <= 0:
            return
        time = math.log(seconds)
        estimate = math.log(step.estimate) if step.estimate else time
        ratio = time - estimate
        known = self._images.get(step.image, _Image(1, estimate, 0.0, 0.0, 0.0))
        weight = 1.0 / min(known.runs + 1, MAX_WEIGHT_RUNS)
        off_time = _limit(time - known.time)
        off_ratio = _limit(ratio - known.ratio)
        self._images[step.image] = _Image(
            known.runs + 1,
            known.time + weight * off_time,
            known.ratio + weight * off_ratio,
            known.time_error + weight * (abs(off_time) - known.time_error),
            known.ratio_error + weight * (abs(off_ratio) - known.ratio_error),
        )

    def expect_in(self, step: Step, rack: str) -> float:
        """Return the expected run time of a task of a step in a rack in seconds."""
        return self.expect(step) * self.find_spread(step, rack)

    def expect(self, step: Step) -> float:
        """Return the expected run time of a task of a step in seconds."""
        known = self._images.get(step.image)
        if known is None:
            return step.estimate
        if step.estimate and known.ratio_error <= known.time_error:
            return step.estimate * math.exp(known.ratio)
        return math.exp(known.time)


def _limit(deviation: float) -> float:
    return max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
