"""Runs a coroutine on an event loop whose clock jumps to the next timer.

Seconds pass at once and always in the same order, and a test can let the process be
paused for any time. Tasks may belong to a `Process`, which has a boot clock of its own
and can be frozen by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import selectors
from collections import deque
from collections.abc import Callable, Coroutine, Iterator
from contextvars import Context, ContextVar
from typing import Any, TypeVar

from briarshed_entry import clock

T = TypeVar("T")

START_S = 1_000.0
UNIX_START_S = 1_700_000_000.0

_current: ContextVar[Process | None] = ContextVar("current", default=None)


class Process:
    """A process on a machine of its own.

    While it is frozen, its timers and messages wait and its clock goes on. Its timers
    go on meanwhile if only the process is stopped, and not if its machine is suspended.

    Parameters
    ----------
    rate : float
        Seconds of its boot clock in a second.
    offset : float
        Reading of its boot clock at the start of the loop, besides `START_S`.
    """

    def __init__(self, rate: float = 1.0, offset: float = 0.0) -> None:
        self.is_frozen = False
        self.waiting: list[asyncio.Handle] = []
        self._rate = rate
        self._offset = offset
        self._context = Context()
        self._context.run(_current.set, self)

    def to_own_time(self, at: float) -> float:
        """Convert a time of the loop to this process's clock."""
        return START_S + self._offset + self._rate * (at - START_S)

    def to_loop_time(self, at: float) -> float:
        """Convert a time of this process's clock to that of the loop."""
        return START_S + (at - START_S - self._offset) / self._rate

    def create_task(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task in this process."""
        return asyncio.create_task(coroutine, context=self._context.copy())

    def call(self, function: Callable[..., T], *arguments: Any) -> T:
        """Return the result of a function that reads this process's clock."""
        return self._context.copy().run(function, *arguments)

    def call_soon(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Call a function in this process as soon as it is not frozen."""
        loop = asyncio.get_running_loop()
        loop.call_soon(function, *arguments, context=self._context.copy())

    def wake(self, suspended_s: float = 0.0) -> None:
        """Go on after a freeze, in which timers have stood still for a time."""
        self.is_frozen = False
        loop = asyncio.get_running_loop()
        waiting, self.waiting = self.waiting, []
        if not suspended_s:
            loop._ready.extend(waiting)
            return
        for handle in loop._scheduled:
            if handle._context.get(_current) is self:
                handle._when += suspended_s
        for handle in waiting:
            if handle.cancelled():
                continue
            if isinstance(handle, asyncio.TimerHandle):
                handle._when += suspended_s
                handle._scheduled = True
                loop._scheduled.append(handle)
            else:
                loop._ready.append(handle)
        heapq.heapify(loop._scheduled)


class _ReadyHandles(deque):
    """Sets the callbacks of frozen processes aside."""

    def append(self, handle: asyncio.Handle) -> None:
        """Add a callback that is due."""
        process = handle._context.get(_current)
        if process is not None and process.is_frozen:
            process.waiting.append(handle)
        else:
            super().append(handle)


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the time instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START_S

    def select(self, timeout: float | None = None) -> list:
        """Return the ready files, or let the time-out pass if there are none."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits for something that cannot come")
        self.now += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time; `pause` lets time pass without running a task."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)
        self._ready = _ReadyHandles()

    def time(self) -> float:
        """Return the virtual time in seconds, by the clock of the running process."""
        process = _current.get()
        now = self._virtual.now
        return now if process is None else process.to_own_time(now)

    def read_unix_time(self) -> float:
        """Return the Unix time in seconds, which is the same for all processes."""
        return UNIX_START_S + self._virtual.now - START_S

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *arguments: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call a function at a time of the running process's clock."""
        process = _current.get()
        if process is not None:
            when = process.to_loop_time(when)
        return super().call_at(when, callback, *arguments, context=context)

    def pause(self, seconds: float) -> None:
        """Let time pass as if the process had been stopped and continued."""
        self._virtual.now += seconds


@contextlib.contextmanager
def _use_clock_of(loop: VirtualTimeLoop) -> Iterator[None]:
    original, original_unix = clock.now, clock.read_unix_time
    clock.now, clock.read_unix_time = loop.time, loop.read_unix_time
    try:
        yield
    finally:
        clock.now, clock.read_unix_time = original, original_unix


def run_virtually(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualTimeLoop()
    with _use_clock_of(loop), asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(coroutine)
