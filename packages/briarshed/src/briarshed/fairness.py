"""Weighted fair queueing of the jobs of one pool, with priority for urgent jobs."""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable
from itertools import count
from typing import Generic, NamedTuple, TypeVar

MAX_CONSECUTIVE_URGENT = 3
"""Consecutive starts of urgent jobs after which a waiting normal job starts."""

Item = TypeVar("Item")


class Flow(NamedTuple):
    """A flow of jobs in first-in, first-out order: one team, urgent or not."""

    team: str
    urgent: bool


class FairQueue(Generic[Item]):
    """Queued jobs of one pool.

    A decision takes logarithmic time in the number of waiting teams. A team's load is
    read again when the team reaches the front, so an increased load takes one more
    step; a decreased load has an effect only after the team's next ``refresh``.

    Parameters
    ----------
    find_load : callable
        Returns the number of running jobs of a team divided by its share.
    """

    def __init__(self, find_load: Callable[[str], float]) -> None:
        self._find_load = find_load
        self._flows: dict[Flow, OrderedDict[str, Item]] = {}
        self._heaps: dict[bool, list[tuple[float, int, str]]] = {True: [], False: []}
        self._heap_numbers: dict[Flow, int] = {}
        self._suspended: set[str] = set()
        self._numbers = count()
        self._consecutive_urgent = 0
        self._waiting: Counter[bool] = Counter()

    def __len__(self) -> int:
        return self._waiting[True] + self._waiting[False]

    def count_team(self, team: str) -> int:
        """Return the number of a team's queued jobs."""
        urgent = self._flows.get(Flow(team, True), ())
        other = self._flows.get(Flow(team, False), ())
        return len(urgent) + len(other)

    def count_urgent(self) -> int:
        """Return the number of urgent queued jobs."""
        return self._waiting[True]

    def add(self, flow: Flow, job_id: str, item: Item, first: bool = False) -> None:
        """Queue a job at the end of its flow or, for another attempt, at the front."""
        jobs = self._flows.setdefault(flow, OrderedDict())
        jobs[job_id] = item
        if first:
            jobs.move_to_end(job_id, last=False)
        self._waiting[flow.urgent] += 1
        if flow not in self._heap_numbers and flow.team not in self._suspended:
            self._push(flow)

    def remove(self, flow: Flow, job_id: str) -> bool:
        """Remove a job; return whether it was queued."""
        jobs = self._flows.get(flow)
        if jobs is None or job_id not in jobs:
            return False
        del jobs[job_id]
        self._waiting[flow.urgent] -= 1
        if not jobs:
            del self._flows[flow]
            self._heap_numbers.pop(flow, None)
        return True

    def choose(self) -> tuple[Flow, str, Item] | None:
        """Return the next job to start, without removing it."""
        urgent = self._find_front(True)
        other = None
        if urgent is None or self._consecutive_urgent >= MAX_CONSECUTIVE_URGENT:
            other = self._find_front(False)
        flow = other or urgent
        if flow is None:
            return None
        job_id, item = next(iter(self._flows[flow].items()))
        return flow, job_id, item

    def note_started(self, flow: Flow, job_id: str) -> None:
        """Remove a job that starts and count consecutive urgent starts."""
        self.remove(flow, job_id)
        self._consecutive_urgent = self._consecutive_urgent + 1 if flow.urgent else 0

    def suspend(self, team: str) -> None:
        """Skip a team that may not start jobs now, until it is resumed."""
        self._suspended.add(team)
        for urgent in (True, False):
            self._heap_numbers.pop(Flow(team, urgent), None)

    def resume(self, team: str) -> None:
        """Stop skipping a team."""
        if team in self._suspended:
            self._suspended.discard(team)
            self.refresh(team)

    def is_suspended(self, team: str) -> bool:
        """Return whether a team is skipped."""
        return team in self._suspended

    def list_suspended(self) -> list[str]:
        """Return the teams that are skipped."""
        return list(self._suspended)

    def refresh(self, team: str) -> None:
        """Update the position of a team whose load has changed."""
        if team in self._suspended:
            return
        for urgent in (True, False):
            flow = Flow(team, urgent)
            if flow in self._flows:
                self._push(flow)

    def refresh_all(self) -> None:
        """Update the positions of all waiting teams; takes linear time."""
        for heap in self._heaps.values():
            heap.clear()
        self._heap_numbers.clear()
        for flow in self._flows:
            if flow.team not in self._suspended:
                self._push(flow)

    def _push(self, flow: Flow) -> None:
        number = next(self._numbers)
        self._heap_numbers[flow] = number
        load = self._find_load(flow.team)
        heapq.heappush(self._heaps[flow.urgent], (load, number, flow.team))

    def _find_front(self, urgent: bool) -> Flow | None:
        heap = self._heaps[urgent]
        while heap:
            load, number, team = heap[0]
            flow = Flow(team, urgent)
            if self._heap_numbers.get(flow) != number:
                heapq.heappop(heap)
                continue
            current = self._find_load(team)
            if current <= load:
                return flow
            heapq.heapreplace(heap, (current, number, team))
        return None
