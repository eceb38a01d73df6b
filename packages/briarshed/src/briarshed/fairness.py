"""Order in which queued jobs of one pool start: weighted fair, urgent first."""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable
from itertools import count
from typing import Generic, NamedTuple, TypeVar

MAX_URGENT_RUN = 3
"""Consecutive urgent starts after which a waiting other job starts."""

Item = TypeVar("Item")


class Flow(NamedTuple):
    """Jobs that keep their order among themselves: one team, urgent or not."""

    team: str
    urgent: bool


class FairQueue(Generic[Item]):
    """Queued jobs of one pool.

    Every decision costs the logarithm of the number of waiting teams. A team's load
    is looked up again when the team comes to the front, so a load that rose costs one
    step; a load that fell is taken into account at the next ``refresh`` of the team.

    Parameters
    ----------
    find_load : callable
        Running jobs of a team over its share.
    """

    def __init__(self, find_load: Callable[[str], float]) -> None:
        self._find_load = find_load
        self._lines: dict[Flow, OrderedDict[str, Item]] = {}
        self._heaps: dict[bool, list[tuple[float, int, str]]] = {True: [], False: []}
        self._entries: dict[Flow, int] = {}
        self._parked: set[str] = set()
        self._numbers = count()
        self._urgent_run = 0
        self._waiting: Counter[bool] = Counter()

    def __len__(self) -> int:
        return self._waiting[True] + self._waiting[False]

    def count_team(self, team: str) -> int:
        """Return the number of a team's queued jobs."""
        urgent = self._lines.get(Flow(team, True), ())
        other = self._lines.get(Flow(team, False), ())
        return len(urgent) + len(other)

    def count_urgent(self) -> int:
        """Return the number of urgent queued jobs."""
        return self._waiting[True]

    def add(self, line: Flow, job_id: str, item: Item, first: bool = False) -> None:
        """Queue a job, last in its line or, for a repeated attempt, first."""
        jobs = self._lines.setdefault(line, OrderedDict())
        jobs[job_id] = item
        if first:
            jobs.move_to_end(job_id, last=False)
        self._waiting[line.urgent] += 1
        if line not in self._entries and line.team not in self._parked:
            self._push(line)

    def remove(self, line: Flow, job_id: str) -> bool:
        """Remove a job at once; return whether it was queued."""
        jobs = self._lines.get(line)
        if jobs is None or job_id not in jobs:
            return False
        del jobs[job_id]
        self._waiting[line.urgent] -= 1
        if not jobs:
            del self._lines[line]
            self._entries.pop(line, None)
        return True

    def choose(self) -> tuple[Flow, str, Item] | None:
        """Return the job that starts next, without removing it."""
        urgent = self._find_front(True)
        other = None
        if urgent is None or self._urgent_run >= MAX_URGENT_RUN:
            other = self._find_front(False)
        line = other or urgent
        if line is None:
            return None
        job_id, item = next(iter(self._lines[line].items()))
        return line, job_id, item

    def note_started(self, line: Flow, job_id: str) -> None:
        """Remove a chosen job that starts."""
        self.remove(line, job_id)
        self._urgent_run = self._urgent_run + 1 if line.urgent else 0

    def suspend(self, team: str) -> None:
        """Pass over a team until it is unparked, since it may start nothing now."""
        self._parked.add(team)
        for urgent in (True, False):
            self._entries.pop(Flow(team, urgent), None)

    def resume(self, team: str) -> None:
        """Consider a team again."""
        if team in self._parked:
            self._parked.discard(team)
            self.refresh(team)

    def is_suspended(self, team: str) -> bool:
        """Tell whether a team is passed over."""
        return team in self._parked

    def list_suspended(self) -> list[str]:
        """Return the teams that are passed over."""
        return list(self._parked)

    def refresh(self, team: str) -> None:
        """Take a changed load of a team into account."""
        if team in self._parked:
            return
        for urgent in (True, False):
            line = Flow(team, urgent)
            if line in self._lines:
                self._push(line)

    def refresh_all(self) -> None:
        """Take changed loads of all teams into account; linear in waiting teams."""
        for heap in self._heaps.values():
            heap.clear()
        self._entries.clear()
        for line in self._lines:
            if line.team not in self._parked:
                self._push(line)

    def _push(self, line: Flow) -> None:
        number = next(self._numbers)
        self._entries[line] = number
        load = self._find_load(line.team)
        heapq.heappush(self._heaps[line.urgent], (load, number, line.team))

    def _find_front(self, urgent: bool) -> Flow | None:
        heap = self._heaps[urgent]
        while heap:
            load, number, team = heap[0]
            line = Flow(team, urgent)
            if self._entries.get(line) != number:
                heapq.heappop(heap)
                continue
            current = self._find_load(team)
            if current <= load:
                return line
            heapq.heapreplace(heap, (current, number, team))
        return None
