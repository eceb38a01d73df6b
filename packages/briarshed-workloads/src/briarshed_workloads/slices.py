"""Splits long work on the event loop into slices, between which other tasks run."""

from __future__ import annotations

import asyncio

from briarshed_entry import clock

MAX_SLICE_S = 0.01
"""Time after which work lets other tasks run; the lease is renewed on the same loop."""


class WorkSlice:
    """Measures for how long work has kept the event loop busy."""

    def __init__(self) -> None:
        self._started_at = clock.now()

    async def end_if_due(self) -> None:
        """Let other tasks run if the slice is over; the next one begins then."""
        if clock.now() - self._started_at >= MAX_SLICE_S:
            await asyncio.sleep(0)
            self._started_at = clock.now()
