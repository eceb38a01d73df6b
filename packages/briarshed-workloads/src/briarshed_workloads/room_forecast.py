"""When the running tasks of a pool are expected to free room for a waiting one."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Endpoint, Run
from briarshed_workloads.workloads import Resources, TaskId, add, fits, subtract

HORIZON_S = 1.0
"""Longest time for which a task waits for a better endpoint, also if the expected ends
are wrong: a task whose turn has come must start within 3 s."""

MAX_FORECASTS = 50
"""Tasks of one plan that may wait for a better endpoint; later ones would wait behind
them."""


def find_rest(engine: Engine, run: Run, now: float) -> float | None:
    """Return in how many seconds a run is expected to end, or None if not known.

    It is negative for a run that has taken longer than expected.
    """
    if run.step.long_running or not run.is_present or not run.confirmed_at:
        return None
    endpoint = run.endpoint
    expected = engine.run_times.expect_in(run.step, endpoint.registration.rack)
    expected *= max(1.0, endpoint.reputation.measure_slowness(now))
    return expected - (now - run.started_at)


def has_room_within(
    engine: Engine, endpoint: Endpoint, need: Resources, limit: float, now: float
) -> bool:
    """Return whether an endpoint is expected to have room within ``limit`` seconds.

    Nothing else is expected to start there. A run whose start is not confirmed yet is
    expected to take the usual time from its order on.
    """
    room = endpoint.find_free()
    for run in endpoint.runs.values():
        rest = find_rest(engine, run, now)
        if rest is None and not run.confirmed_at and not run.step.long_running:
            rack = endpoint.registration.rack
            rest = engine.run_times.expect_in(run.step, rack) - (now - run.ordered_at)
        if rest is not None and 0 <= rest <= limit:
            room = add(room, run.need)
    return fits(need, room)


class RoomForecast:
    """Expected ends of the runs at some endpoints, and who waits for their room.

    Parameters
    ----------
    engine : Engine
        State of the runs.
    endpoints : iterable of Endpoint
        Endpoints that may get new runs.
    now : float
        Seconds of the boot clock.

    Attributes
    ----------
    waiting : set
        Tasks that wait for room.
    """

    def __init__(
        self, engine: Engine, endpoints: Iterable[Endpoint], now: float
    ) -> None:
        self._engine = engine
        self._endpoints = endpoints
        self._now = now
        self._ends: list[tuple[float, Endpoint, Resources]] | None = None
        self._promised: dict[str, Resources] = {}
        self._left = MAX_FORECASTS
        self.waiting: set[TaskId] = set()

    def wait_for(
        self,
        task: TaskId,
        need: Resources,
        is_suitable: Callable[[Endpoint], bool],
        limit: float,
    ) -> bool:
        """Let a task wait if a suitable endpoint will have room for it soon enough.

        The room counts as taken for the tasks that come after it.

        Parameters
        ----------
        limit : float
            Longest time that is worth waiting, in seconds.
        """
        if self._left <= 0:
            return False
        self._left -= 1
        if self._ends is None:
            self._ends = self._list_ends()
        freed: dict[str, Resources] = {}
        for seconds, endpoint, room in self._ends:
            if seconds >= limit:
                return False
            if not is_suitable(endpoint):
                continue
            name = endpoint.name
            total = add(freed.get(name, endpoint.find_free()), room)
            freed[name] = total
            promised = self._promised.get(name)
            left = subtract(total, promised) if promised else total
            if fits(need, left):
                self._promised[name] = add(promised, need) if promised else need
                self.waiting.add(task)
                return True
        return False

    def _list_ends(self) -> list[tuple[float, Endpoint, Resources]]:
        ends = [
            (seconds, endpoint, run.need)
            for endpoint in self._endpoints
            for run in endpoint.runs.values()
            if (seconds := self._find_end(run)) is not None
        ]
        return sorted(ends, key=lambda row: row[0])

    def _find_end(self, run: Run) -> float | None:
        """Return in how many seconds a run ends, or None if not within `HORIZON_S`."""
        rest = find_rest(self._engine, run, self._now)
        return rest if rest is not None and 0 <= rest < HORIZON_S else None
