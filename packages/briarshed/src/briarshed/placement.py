"""Choice of an endpoint of one pool for one job."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

FULL_BACKOFF_S = 0.05
"""How long an endpoint that is known to be full gets nothing.

The endpoint's slots are shared with other entries, so only a try shows a free one; this
limits the tries to 20 a second for each endpoint.
"""

URGENT_FULL_BACKOFF_S = 0.01
"""The same while urgent work waits.

Other entries refill the slots of the jobs they end at once, so an entry without a
running job finds a free slot by tries alone, and urgent work there would starve.
"""


LOAD_VALID_S = 1.0
"""Age from which a reported load no longer limits the slow start."""


SUSPECT_S = 1.0
"""How long an endpoint comes after all others once a job has failed there."""


class EndpointInfo(NamedTuple):
    """What placement needs to know of an endpoint.

    Attributes
    ----------
    address : str
        Address of the endpoint.
    near : bool
        Whether it stands in the data centre of this entry.
    slots : int
        Tasks that it runs at a time, for all entries together.
    limit : int
        Tasks that this entry may run there, for lack of connections.
    returning : bool
        Whether it returns from maintenance and starts slowly.
    """

    address: str
    same_data_centre: bool
    slots: int
    limit: int
    returning: bool


class _State:
    """Load of one endpoint as this entry knows it."""

    def __init__(self, site: EndpointInfo) -> None:
        self.site = site
        self.own = 0
        self.reported = 0
        self.reported_at = float("-inf")
        self.since_report = 0
        self.full_until = float("-inf")
        self.blocked_until = float("-inf")
        self.returning_since: float | None = None
        self.probation = False
        self.suspect_until = float("-inf")

    def estimate_load(self) -> float:
        """Return the estimated share of slots in use."""
        running = max(self.own, self.reported + self.since_report)
        return running / self.site.slots

    def rank(self, now: float) -> tuple[bool, float]:
        """Return the order of preference, the best first.

        An endpoint that fails at once always looks idle, so one that just failed
        comes after all others whatever its load.
        """
        return now < self.suspect_until, self.estimate_load()


class Placement:
    """Endpoints of one pool that take new work; a choice costs constant time.

    Parameters
    ----------
    slow_start_s : float
        Seconds over which the slots of a returning endpoint grow from 1.
    find_pause : callable, optional
        Returns how long a full endpoint gets nothing, in seconds.
    """

    def __init__(
        self,
        slow_start_s: float,
        find_pause: Callable[[], float] = lambda: FULL_BACKOFF_S,
    ) -> None:
        self._slow_start_s = slow_start_s
        self._find_pause = find_pause
        self._states: dict[str, _State] = {}
        self._available: dict[bool, list[str]] = {True: [], False: []}
        self._positions: dict[str, int] = {}
        self._due: list[tuple[float, str]] = []
        self._slots = 0
        self._own = 0

    def update(self, sites: Mapping[str, EndpointInfo], now: float) -> None:
        """Replace the set of endpoints; linear, called when the fleet changes."""
        for name in [name for name in self._states if name not in sites]:
            self._withdraw(name)
            self._own -= self._states.pop(name).own
        for name, site in sites.items():
            self._withdraw(name)
            state = self._states.get(name)
            was_returning = state is not None and state.site.returning
            if state is None or state.site.address != site.address:
                self._own -= state.own if state is not None else 0
                state = self._states[name] = _State(site)
            state.site = site
            if site.returning and not was_returning:
                state.returning_since = now
            self._refresh(name, now)
        self._slots = sum(state.site.slots for state in self._states.values())

    def count_slots(self) -> int:
        """Return the slots of all endpoints, for all entries together."""
        return self._slots

    def count_own(self) -> int:
        """Return how many tasks of this entry run at the endpoints."""
        return self._own

    def has_available(self, now: float) -> bool:
        """Tell whether some endpoint may get a job now."""
        self._release_due(now)
        return bool(self._available[True] or self._available[False])

    def has_endpoint(self, endpoint: str, address: str) -> bool:
        """Tell whether the endpoint still takes new work."""
        state = self._states.get(endpoint)
        return state is not None and state.site.address == address

    def choose(
        self, now: float, chance: random.Random, avoid: frozenset[str] = frozenset()
    ) -> tuple[str, str] | None:
        """Return an endpoint and its address: the less loaded of two random ones.

        Those of the own data centre come first. Endpoints in ``avoid`` are used only
        if the pool has no others.
        """
        self._release_due(now)
        if avoid and all(name in avoid for name in self._first(len(avoid) + 1)):
            avoid = frozenset()
        for same_data_centre in (True, False):
            names = self._available[same_data_centre]
            size = min(len(names), 2 + len(avoid))
            drawn = [name for name in chance.sample(names, size) if name not in avoid]
            if drawn:
                found = min(drawn[:2], key=lambda name: self._states[name].rank(now))
                return found, self._states[found].site.address
        return None

    def note_started(self, endpoint: str, now: float) -> None:
        """Count a job sent to the endpoint."""
        state = self._states[endpoint]
        state.own += 1
        self._own += 1
        state.since_report += 1
        if state.estimate_load() >= 1:
            state.full_until = now + self._find_pause()
        self._refresh(endpoint, now)

    def note_ended(self, endpoint: str, address: str, now: float) -> None:
        """Count a job of the endpoint as ended."""
        if self.has_endpoint(endpoint, address) and self._states[endpoint].own > 0:
            state = self._states[endpoint]
            state.own -= 1
            self._own -= 1
            state.since_report = max(0, state.since_report - 1)
            state.full_until = now
            self._refresh(endpoint, now)

    def note_load(self, endpoint: str, running: int, now: float) -> None:
        """Take a reported number of running tasks into account."""
        state = self._states.get(endpoint)
        if state is None:
            return
        state.reported = running
        state.reported_at = now
        state.since_report = 0
        pause = self._find_pause() if running >= state.site.slots else 0.0
        state.full_until = now + pause
        self._refresh(endpoint, now)

    def mark_full(self, endpoint: str, now: float) -> None:
        """Send nothing to an endpoint for a moment, since it had no free slot."""
        state = self._states.get(endpoint)
        if state is not None:
            state.full_until = now + self._find_pause()
            self._refresh(endpoint, now)

    def block(self, endpoint: str, until: float, now: float) -> None:
        """Send nothing to the endpoint until then."""
        state = self._states.get(endpoint)
        if state is not None:
            state.blocked_until = max(state.blocked_until, until)
            self._refresh(endpoint, now)

    def set_probation(self, endpoint: str, probation: bool, now: float) -> None:
        """Limit the endpoint to one job at a time, or end that and any block."""
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
        """Return an endpoint's address, or its name if it serves no longer."""
        state = self._states.get(endpoint)
        return state.site.address if state is not None else endpoint

    def find_next_due(self) -> float | None:
        """Return when an endpoint may become available without any event."""
        return self._due[0][0] if self._due else None

    def _first(self, count: int) -> list[str]:
        names = iter(self._states)
        return [name for name, _ in zip(names, range(count), strict=False)]

    def _find_opening(self, state: _State, now: float) -> float | None:
        """Return when the endpoint may get a job; None if an event must come first."""
        if state.own >= min(state.site.limit, state.site.slots):
            return None
        if state.probation and state.own > 0:
            return None
        closed_until = max(state.full_until, state.blocked_until)
        return max(closed_until, self._find_slow_opening(state, now))

    def _find_slow_opening(self, state: _State, now: float) -> float:
        if state.returning_since is None:
            return now
        elapsed = now - state.returning_since
        if elapsed >= self._slow_start_s:
            state.returning_since = None
            return now
        step = self._slow_start_s / state.site.slots
        fresh = now - state.reported_at < LOAD_VALID_S
        running = state.own
        if fresh:
            running = max(running, state.reported + state.since_report)
        # The slot numbered n, counted from 0, opens after n steps.
        return max(now, state.returning_since + running * step)

    def _refresh(self, name: str, now: float) -> None:
        opening = self._find_opening(self._states[name], now)
        if opening is not None and opening <= now:
            self._offer(name)
            return
        self._withdraw(name)
        if opening is not None:
            heapq.heappush(self._due, (opening, name))

    def _release_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, name = heapq.heappop(self._due)
            if name in self._states and name not in self._positions:
                self._refresh(name, now)

    def _offer(self, name: str) -> None:
        if name not in self._positions:
            names = self._available[self._states[name].site.same_data_centre]
            self._positions[name] = len(names)
            names.append(name)

    def _withdraw(self, name: str) -> None:
        position = self._positions.pop(name, None)
        if position is None:
            return
        names = self._available[self._states[name].site.same_data_centre]
        last = names.pop()
        if last != name:
            names[position] = last
            self._positions[last] = position
