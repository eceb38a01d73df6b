"""Choice of an endpoint of one pool for one job."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

FULL_BACKOFF_S = 0.05
"""Time for which an endpoint that is known to be full gets no job.

Other entries use the same slots, so only an attempt shows whether one is free. This
limits the attempts to 20 per second and endpoint.
"""

URGENT_FULL_BACKOFF_S = 0.01
"""The same while urgent jobs wait.

Other entries reuse the slots of their finished jobs at once. An entry without a running
job finds a free slot only by attempts, and its urgent jobs would starve.
"""

LOAD_REPORT_TTL_S = 1.0
"""Age at which a reported load no longer limits the slow start."""

SUSPECT_S = 1.0
"""Time for which an endpoint is ranked last after a job failed there."""


class EndpointInfo(NamedTuple):
    """Properties of an endpoint that placement uses.

    Attributes
    ----------
    address : str
        Address of the endpoint.
    same_data_centre : bool
        Whether it is in the data centre of this entry.
    slots : int
        Tasks that it runs at the same time, for all entries together.
    limit : int
        Tasks that this entry may run there, bounded by its connections.
    returning : bool
        Whether it returns from maintenance and is in slow start.
    """

    address: str
    same_data_centre: bool
    slots: int
    limit: int
    returning: bool


class _EndpointState:
    """Load and restrictions of one endpoint, as known to this entry."""

    def __init__(self, info: EndpointInfo) -> None:
        self.info = info
        self.own_tasks = 0
        self.reported_tasks = 0
        self.reported_at = float("-inf")
        self.started_since_report = 0
        self.full_until = float("-inf")
        self.blocked_until = float("-inf")
        self.returning_since: float | None = None
        self.probation = False
        self.suspect_until = float("-inf")

    def estimate_load(self) -> float:
        """Return the estimated fraction of slots in use."""
        running = max(self.own_tasks, self.reported_tasks + self.started_since_report)
        return running / self.info.slots

    def rank(self, now: float) -> tuple[bool, float]:
        """Return the sort key of preference; the lowest is the best.

        An endpoint that fails its jobs immediately always seems idle, so one that has
        just failed is ranked last regardless of its load.
        """
        return now < self.suspect_until, self.estimate_load()


class Placement:
    """Endpoints of one pool that accept new jobs; a choice takes constant time.

    Parameters
    ----------
    slow_start_s : float
        Seconds over which the slots of a returning endpoint grow from 1.
    find_backoff : callable, optional
        Returns the seconds for which a full endpoint gets no job.
    """

    def __init__(
        self,
        slow_start_s: float,
        find_backoff: Callable[[], float] = lambda: FULL_BACKOFF_S,
    ) -> None:
        self._slow_start_s = slow_start_s
        self._find_backoff = find_backoff
        self._states: dict[str, _EndpointState] = {}
        self._available: dict[bool, list[str]] = {True: [], False: []}
        self._positions: dict[str, int] = {}
        self._due: list[tuple[float, str]] = []
        self._slots = 0
        self._own_tasks = 0

    def update(self, endpoints: Mapping[str, EndpointInfo], now: float) -> None:
        """Replace the endpoints; takes linear time, called when the fleet changes."""
        for name in [name for name in self._states if name not in endpoints]:
            self._remove_available(name)
            self._own_tasks -= self._states.pop(name).own_tasks
        for name, info in endpoints.items():
            self._remove_available(name)
            state = self._states.get(name)
            was_returning = state is not None and state.info.returning
            if state is None or state.info.address != info.address:
                self._own_tasks -= state.own_tasks if state is not None else 0
                state = self._states[name] = _EndpointState(info)
            state.info = info
            if info.returning and not was_returning:
                state.returning_since = now
            self._refresh(name, now)
        self._slots = sum(state.info.slots for state in self._states.values())

    def count_slots(self) -> int:
        """Return the slots of all endpoints, for all entries together."""
        return self._slots

    def count_own(self) -> int:
        """Return how many tasks of this entry run at the endpoints."""
        return self._own_tasks

    def has_available(self, now: float) -> bool:
        """Return whether any endpoint may get a job now."""
        self._release_due(now)
        return bool(self._available[True] or self._available[False])

    def has_endpoint(self, endpoint: str, address: str) -> bool:
        """Return whether the endpoint is known at this address."""
        state = self._states.get(endpoint)
        return state is not None and state.info.address == address

    def choose(
        self, now: float, rng: random.Random, avoid: frozenset[str] = frozenset()
    ) -> tuple[str, str] | None:
        """Return an endpoint and its address: the less loaded of two random ones.

        Endpoints in the entry's data centre are preferred. Those in ``avoid`` are used
        only if the pool has no others.
        """
        self._release_due(now)
        if avoid and all(name in avoid for name in self._list_first(len(avoid) + 1)):
            avoid = frozenset()
        for same_data_centre in (True, False):
            names = self._available[same_data_centre]
            size = min(len(names), 2 + len(avoid))
            sampled = [name for name in rng.sample(names, size) if name not in avoid]
            if sampled:
                found = min(sampled[:2], key=lambda name: self._states[name].rank(now))
                return found, self._states[found].info.address
        return None

    def note_started(self, endpoint: str, now: float) -> None:
        """Count a job sent to the endpoint."""
        state = self._states[endpoint]
        state.own_tasks += 1
        self._own_tasks += 1
        state.started_since_report += 1
        if state.estimate_load() >= 1:
            state.full_until = now + self._find_backoff()
        self._refresh(endpoint, now)

    def note_ended(self, endpoint: str, address: str, now: float) -> None:
        """Count a job of the endpoint as ended."""
        if (
            self.has_endpoint(endpoint, address)
            and self._states[endpoint].own_tasks > 0
        ):
            state = self._states[endpoint]
            state.own_tasks -= 1
            self._own_tasks -= 1
            state.started_since_report = max(0, state.started_since_report - 1)
            state.full_until = now
            self._refresh(endpoint, now)

    def note_load(self, endpoint: str, running: int, now: float) -> None:
        """Update the load with a reported number of running tasks."""
        state = self._states.get(endpoint)
        if state is None:
            return
        state.reported_tasks = running
        state.reported_at = now
        state.started_since_report = 0
        backoff = self._find_backoff() if running >= state.info.slots else 0.0
        state.full_until = now + backoff
        self._refresh(endpoint, now)

    def mark_full(self, endpoint: str, now: float) -> None:
        """Stop sending jobs to an endpoint for a short time; it had no free slot."""
        state = self._states.get(endpoint)
        if state is not None:
            state.full_until = now + self._find_backoff()
            self._refresh(endpoint, now)

    def block(self, endpoint: str, until: float, now: float) -> None:
        """Send no jobs to the endpoint before the given time."""
        state = self._states.get(endpoint)
        if state is not None:
            state.blocked_until = max(state.blocked_until, until)
            self._refresh(endpoint, now)

    def set_probation(self, endpoint: str, probation: bool, now: float) -> None:
        """Limit the endpoint to one job at a time, or end this limit and any block."""
        state = self._states.get(endpoint)
        if state is None:
            return
        state.probation = probation
        if not probation:
            state.blocked_until = now
        self._refresh(endpoint, now)

    def note_result(self, endpoint: str, failed: bool, now: float) -> None:
        """Note whether the endpoint's last job failed."""
        state = self._states.get(endpoint)
        if state is not None:
            state.suspect_until = now + SUSPECT_S if failed else now

    def find_address(self, endpoint: str) -> str:
        """Return an endpoint's address, or its name if it is no longer known."""
        state = self._states.get(endpoint)
        return state.info.address if state is not None else endpoint

    def find_next_due(self) -> float | None:
        """Return the time at which an endpoint becomes available without an event."""
        return self._due[0][0] if self._due else None

    def _list_first(self, count: int) -> list[str]:
        names = iter(self._states)
        return [name for name, _ in zip(names, range(count), strict=False)]

    def _find_available_at(self, state: _EndpointState, now: float) -> float | None:
        """Return when the endpoint may get a job; None if that depends on an event."""
        if state.own_tasks >= min(state.info.limit, state.info.slots):
            return None
        if state.probation and state.own_tasks > 0:
            return None
        closed_until = max(state.full_until, state.blocked_until)
        return max(closed_until, self._find_slow_start_at(state, now))

    def _find_slow_start_at(self, state: _EndpointState, now: float) -> float:
        if state.returning_since is None:
            return now
        elapsed = now - state.returning_since
        if elapsed >= self._slow_start_s:
            state.returning_since = None
            return now
        step = self._slow_start_s / state.info.slots
        is_recent = now - state.reported_at < LOAD_REPORT_TTL_S
        running = state.own_tasks
        if is_recent:
            running = max(running, state.reported_tasks + state.started_since_report)
        # Slot n, counted from 0, becomes available after n steps.
        return max(now, state.returning_since + running * step)

    def _refresh(self, name: str, now: float) -> None:
        available_at = self._find_available_at(self._states[name], now)
        if available_at is not None and available_at <= now:
            self._add_available(name)
            return
        self._remove_available(name)
        if available_at is not None:
            heapq.heappush(self._due, (available_at, name))

    def _release_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, name = heapq.heappop(self._due)
            if name in self._states and name not in self._positions:
                self._refresh(name, now)

    def _add_available(self, name: str) -> None:
        if name not in self._positions:
            names = self._available[self._states[name].info.same_data_centre]
            self._positions[name] = len(names)
            names.append(name)

    def _remove_available(self, name: str) -> None:
        position = self._positions.pop(name, None)
        if position is None:
            return
        names = self._available[self._states[name].info.same_data_centre]
        last = names.pop()
        if last != name:
            names[position] = last
            self._positions[last] = position
