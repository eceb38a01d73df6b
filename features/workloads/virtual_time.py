"""Runs a coroutine on an event loop whose clock jumps to the next timer.

Seconds pass at once and always in the same order, and a test can let the process be
paused for any time.
"""

from __future__ import annotations

import asyncio
import contextlib
import selectors
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

from briarshed_entry import clock

T = TypeVar("T")

START_S = 1_000.0


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

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now

    def pause(self, seconds: float) -> None:
        """Let time pass as if the process had been stopped and continued."""
        self._virtual.now += seconds


@contextlib.contextmanager
def _use_clock_of(loop: VirtualTimeLoop) -> Iterator[None]:
    original = clock.now
    clock.now = loop.time
    try:
        yield
    finally:
        clock.now = original


def run_virtually(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualTimeLoop()
    with _use_clock_of(loop), asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(coroutine)
