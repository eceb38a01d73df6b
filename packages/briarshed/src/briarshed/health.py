"""Ejection and probation of the endpoints of one pool."""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterable
from typing import NamedTuple

FAILURES_TO_EJECT = 5
"""Consecutive failures; with fewer, a job that always fails could eject an endpoint."""

FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0

MAX_DOUBLINGS = 6
"""Doublings after which the ejection time has reached its maximum."""


class Ejected(NamedTuple):
    """Send no jobs to the endpoint for a time, then one at a time on probation.

    ``until`` is the end of the ejection in seconds of the clock, and ``seconds`` its
    duration.
    """

    endpoint: str
    until: float
    seconds: float


class Readmitted(NamedTuple):
    """Send jobs to the endpoint without restriction again."""

    endpoint: str


Action = Ejected | Readmitted


class PoolHealth:
    """Outlier ejection for the endpoints of one pool, from results at this entry.

    An endpoint is ejected until its ejection time has passed, and then on probation
    until a job succeeds. Recording a result takes logarithmic time in the pool's size.
    """

    def __init__(self) -> None:
        self._serving: frozenset[str] = frozenset()
        self._failures: dict[str, int] = {}
        self._ejections: dict[str, int] = {}
        self._ejected: dict[str, tuple[int, float]] = {}
        self._by_failures: list[tuple[int, str]] = []
        self._due: list[tuple[float, str]] = []

    def find_limit(self) -> int:
        """Return how many endpoints may be ejected at once; one is always kept."""
        count = len(self._serving)
        return max(0, min(count - 1, max(1, count // 2)))

    def count_ejected(self, now: float) -> int:
        """Return how many endpoints are ejected."""
        self._release_due(now)
        return len(self._ejected)

    def set_serving(self, endpoints: Iterable[str], now: float) -> list[Action]:
        """Set the serving endpoints; above the limit, readmit the least failed."""
        self._serving = frozenset(endpoints)
        for endpoint in [name for name in self._failures if name not in self._serving]:
            self._reset(endpoint)
        self._release_due(now)
        actions: list[Action] = []
        while len(self._ejected) > self.find_limit():
            actions.append(self._readmit_fewest_failures())
        return actions

    def note_success(self, endpoint: str) -> list[Action]:
        """Record that a job succeeded at the endpoint."""
        was_ejected = endpoint in self._ejections
        self._reset(endpoint)
        return [Readmitted(endpoint)] if was_ejected else []

    def note_failure(self, endpoint: str, now: float) -> list[Action]:
        """Record a failure; eject the endpoint after too many consecutive ones."""
        if endpoint not in self._serving:
            return []
        self._release_due(now)
        if endpoint in self._ejected:
            # The job was sent before the ejection.
            return []
        failures = self._failures.get(endpoint, 0) + 1
        self._failures[endpoint] = failures
        if failures < FAILURES_TO_EJECT:
            return []
        actions: list[Action] = []
        if len(self._ejected) >= self.find_limit():
            if not self._by_failures or self._by_failures[0][0] >= failures:
                return []
            actions.append(self._readmit_fewest_failures())
        return [*actions, self._eject(endpoint, failures, now)]

    def _eject(self, endpoint: str, failures: int, now: float) -> Ejected:
        count = self._ejections.get(endpoint, 0)
        seconds = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**count)
        until = now + seconds
        self._ejections[endpoint] = min(count + 1, MAX_DOUBLINGS)
        self._ejected[endpoint] = failures, until
        insort(self._by_failures, (failures, endpoint))
        heapq.heappush(self._due, (until, endpoint))
        return Ejected(endpoint, until, seconds)

    def _release_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            until, endpoint = heapq.heappop(self._due)
            if self._ejected.get(endpoint, (0, 0.0))[1] == until:
                self._end_ejection(endpoint)

    def _readmit_fewest_failures(self) -> Readmitted:
        _, endpoint = self._by_failures[0]
        self._end_ejection(endpoint)
        self._ejections.pop(endpoint, None)
        return Readmitted(endpoint)

    def _end_ejection(self, endpoint: str) -> None:
        found = self._ejected.pop(endpoint, None)
        if found is not None:
            del self._by_failures[bisect_left(self._by_failures, (found[0], endpoint))]

    def _reset(self, endpoint: str) -> None:
        self._end_ejection(endpoint)
        self._failures.pop(endpoint, None)
        self._ejections.pop(endpoint, None)
