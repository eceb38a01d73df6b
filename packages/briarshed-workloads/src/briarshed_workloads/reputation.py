"""What an endpoint's own runs tell of it: failures and speed."""

from __future__ import annotations

import math
import statistics
from collections import deque
from collections.abc import Sequence

FAILURES_TO_EJECT = 3
"""Different images or jobs that fail in a row at an endpoint before it is ejected. One
or two may be tasks that fail everywhere."""

FAILURES_ON_PROBATION = 1
"""The same for an endpoint that was ejected and has had no success since."""

FIRST_EJECTION_S = 3.0
MAX_EJECTION_S = 12.0
"""Duration of the first ejection; each further one doubles it, up to the maximum."""

MAX_SPEEDS = 5
"""Ended runs that tell an endpoint's speed."""

SPEED_AGE_S = 10.0
"""Age from which on an ended run tells nothing of the speed. An endpoint that gets few
runs because it was slow is tried again then."""

MEASURE_INTERVAL_S = 1.0
"""Interval of measuring the speed again without news; each plan asks for it."""

MIN_RUNS = 3
"""Runs, ended or in progress, whose median tells the speed. One or two may be tasks
that take long everywhere."""

PRIOR_RUNS = 2
"""Runs at the usual speed that fewer runs are averaged with."""

MIN_RATIO = 0.1
"""Least ratio of run time to expected time; lower ones count as this."""


class EndpointReputation:
    """Failures and speed of one endpoint; times are seconds of the boot clock.

    ``is_slow`` is set while the endpoint was slow in the last plan.
    """

    __slots__ = (
        "_ejection_s",
        "_ended",
        "_failed",
        "_measured_at",
        "_projected",
        "_slowness",
        "ejected_until",
        "is_slow",
    )

    def __init__(self) -> None:
        self.ejected_until = 0.0
        self._failed: set[str] = set()
        self._ejection_s = 0.0
        # Ratios of run time to expected time, and when the runs ended.
        self._ended: deque[tuple[float, float]] = deque(maxlen=MAX_SPEEDS)
        self._projected: Sequence[float] = ()
        self._slowness = 1.0
        self._measured_at = -math.inf
        self.is_slow = False

    @property
    def failures(self) -> int:
        """Number of different images or jobs that have failed since a success."""
        return len(self._failed)

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

    def note_speed(self, ratio: float, now: float) -> None:
        """Note the ratio of an ended run's time to the expected one."""
        self._ended.append((ratio, now))
        self._measured_at = -math.inf

    def note_projected(self, ratios: Sequence[float]) -> None:
        """Note the projected ratios of the runs that are in progress."""
        self._projected = ratios
        self._measured_at = -math.inf

    def forget_speed(self) -> None:
        """Forget the speed; the next incarnation may have another one."""
        self._ended.clear()
        self.note_projected(())

    def measure_slowness(self, now: float) -> float:
        """Return the usual ratio of run time to expected time; 1 if it is not known.

        Runs in progress tell of a change first; ended ones count besides as long as
        there are few of those.
        """
        if now - self._measured_at >= MEASURE_INTERVAL_S:
            self._measured_at = now
            ratios = list(self._projected)
            if len(ratios) < MIN_RUNS:
                ratios += [ratio for ratio, at in self._ended if now - at < SPEED_AGE_S]
            self._slowness = _estimate_slowness(ratios)
        return self._slowness


def _estimate_slowness(ratios: Sequence[float]) -> float:
    if len(ratios) >= MIN_RUNS:
        return statistics.median(ratios)
    total = sum(math.log(max(ratio, MIN_RATIO)) for ratio in ratios)
    return math.exp(total / (len(ratios) + PRIOR_RUNS))
