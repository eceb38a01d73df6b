"""Limits the orders on their way to each endpoint.

A large job can lead to thousands of orders at once. Those beyond the connections of an
endpoint would time out before they are sent, and keep the event loop busy for longer
than the lease of the leader.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

MAX_ORDERS_IN_PROGRESS = 4
"""Orders sent to an endpoint at a time; fewer than the connections to its address, so
that a poll never waits for one."""

MAX_PENDING_ORDERS = 16
"""Orders of one kind for an endpoint, sent or waiting, from which on it is full."""


class OrderSlots:
    """Slots for the orders of one kind.

    Parameters
    ----------
    note_room : callable
        Called when half of the orders for an endpoint that was full are done.
    """

    def __init__(self, note_room: Callable[[], None]) -> None:
        self._note_room = note_room
        self._pending: Counter[str] = Counter()
        self._full: set[str] = set()
        self._slots: dict[str, asyncio.Semaphore] = {}

    def is_full(self, endpoint: str) -> bool:
        """Return whether no further order should be planned for an endpoint now."""
        return self._pending[endpoint] >= MAX_PENDING_ORDERS

    def queue(
        self, endpoint: str, send: Callable[[], Awaitable[None]]
    ) -> Coroutine[Any, Any, None]:
        """Count an order for an endpoint, and return a coroutine that sends it."""
        self._pending[endpoint] += 1
        if self.is_full(endpoint):
            self._full.add(endpoint)
        return self._send(endpoint, send)

    async def _send(self, endpoint: str, send: Callable[[], Awaitable[None]]) -> None:
        slots = self._slots.setdefault(
            endpoint, asyncio.Semaphore(MAX_ORDERS_IN_PROGRESS)
        )
        try:
            async with slots:
                await send()
        finally:
            self._release(endpoint)

    def _release(self, endpoint: str) -> None:
        self._pending[endpoint] -= 1
        if not self._pending[endpoint]:
            del self._pending[endpoint]
        has_room = self._pending[endpoint] <= MAX_PENDING_ORDERS // 2
        if endpoint in self._full and has_room:
            self._full.discard(endpoint)
            self._note_room()
