"""Contains unexpected errors: each is logged with its place and costs one step or item.

Errors of this product, such as a call without a response, are expected and handled
where they arise. Any other error is a defect. It must neither end a loop unnoticed nor
stop the handling of other endpoints, jobs, messages and records.
"""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Self

from briarshed import events
from briarshed.exceptions import BriarshedError
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry

REPORT_PERIOD_S = 5.0
MAX_REPORTS_PER_PERIOD = 5
"""How often an error at one place is logged within a period; more are only counted."""

MAX_PLACES = 500
"""Number of places whose reports are counted."""

RESTART_PAUSE_S = 0.05
"""Pause before a failed loop is started again."""

_reports: dict[tuple[str, str], deque[float]] = {}
"""Times of the latest reports by task and place."""


def find_place(error: BaseException) -> str:
    """Return file, line and function in which an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return "unknown"
    last = frames[-1]
    return f"{Path(last.filename).name}:{last.lineno} in {last.name}"


def report_error(task: str, error: BaseException) -> None:
    """Count an unexpected error and log it, unless it was logged often recently."""
    place, now = find_place(error), clock.now()
    telemetry.count("unexpected errors", place)
    if len(_reports) >= MAX_PLACES:
        _reports.clear()
    times = _reports.setdefault((task, place), deque(maxlen=MAX_REPORTS_PER_PERIOD))
    if len(times) == MAX_REPORTS_PER_PERIOD and now - times[0] < REPORT_PERIOD_S:
        return
    times.append(now)
    log_event(events.UNEXPECTED_ERROR, task=task, place=place, error=repr(error))


@contextlib.contextmanager
def contain_errors(
    task: str, note_failure: Callable[[str], None] | None = None
) -> Iterator[None]:
    """Report an unexpected error of the block and continue after it.

    Errors of this product are raised as usual, since callers handle them.

    Parameters
    ----------
    task : str
        What the block does, for the log.
    note_failure : callable, optional
        Called with the task after an error.
    """
    try:
        yield
    except BriarshedError:
        raise
    except Exception as error:
        report_error(task, error)
        if note_failure is not None:
            note_failure(task)


class FailureCounter:
    """Counts failures within a period.

    Parameters
    ----------
    limit : int
        Number of failures within ``period`` that are too many.
    period : float
        Length of the period in seconds.
    """

    def __init__(self, limit: int, period: float) -> None:
        self._limit = limit
        self._period = period
        self._times: deque[float] = deque(maxlen=limit)

    def add(self, now: float) -> bool:
        """Add a failure; return whether there were too many within the period."""
        self._times.append(now)
        return len(self._times) == self._limit and now - self._times[0] <= self._period


class LoopSupervisor:
    """Runs loops and starts them again after errors; a context manager that owns them.

    Parameters
    ----------
    pause : float
        Seconds before a failed loop is started again.
    note_error : callable
        Called with the name of a loop and an error of this product.
    note_failure : callable, optional
        Called with the name of a loop after an unexpected error, which is reported.
    """

    def __init__(
        self,
        pause: float,
        note_error: Callable[[str, BriarshedError], None],
        note_failure: Callable[[str], None] | None = None,
    ) -> None:
        self._pause = pause
        self._note_error = note_error
        self._note_failure = note_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._is_closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, loop: Callable[[], Awaitable[None]], name: str) -> None:
        """Run a loop until the supervisor is closed."""
        task = asyncio.create_task(self._run(loop, name))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._restart(done, loop, name))

    async def _run(self, loop: Callable[[], Awaitable[None]], name: str) -> None:
        while True:
            try:
                with contain_errors(name, self._note_failure):
                    await loop()
            except BriarshedError as error:
                self._note_error(name, error)
            await asyncio.sleep(self._pause)

    def _restart(
        self,
        task: asyncio.Task[None],
        loop: Callable[[], Awaitable[None]],
        name: str,
    ) -> None:
        """Replace a task that an error outside the loop has ended."""
        self._tasks.discard(task)
        if self._is_closed or task.cancelled():
            return
        error = task.exception()
        if error is not None:
            report_error(name, error)
        self.start(loop, name)
