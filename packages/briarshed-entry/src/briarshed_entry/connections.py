"""Connections of clients: their number, and the memory that they share."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import TYPE_CHECKING, Protocol, Self

from briarshed import events
from briarshed.byte_admission import (
    MIN_BUFFERED_BYTES,
    PHASES,
    ByteBudget,
    ClientsReport,
    Phase,
    ProcessShare,
    RequestBounds,
)
from briarshed_entry.logs import log_event

if TYPE_CHECKING:
    from briarshed_entry.bounded_protocol import BoundedConnection

SWEEP_S = 1.0
REPORT_S = 5.0
BACKLOG = 1_024


class DoorConnection(Protocol):
    """A connection of a door, before or after its TLS handshake.

    Attributes
    ----------
    has_delivered : bool
        Whether a request of it has been answered.
    held : int
        Bytes of the budget that it has reserved.
    """

    has_delivered: bool
    held: int

    @property
    def is_expendable(self) -> bool:
        """Return whether it may be closed for another one during a request."""

    @property
    def phase(self) -> Phase:
        """Return what it is doing."""

    def abort(self, reason: str) -> None:
        """Close it at once, without a response."""

    def check_time(self, now: float, bounds: RequestBounds) -> None:
        """Close it if it has been in one phase for too long."""

    def allow_time(self, seconds: float) -> None:
        """Allow more time, since the process has not run for some."""


class Connections:
    """All connections of clients of a process; a context manager that closes slow ones.

    Parameters
    ----------
    share : ProcessShare
        What clients may use of the process.
    read_bounds : callable
        Returns the limits that are in force.
    count : callable, optional
        Called with the reason of each closed connection and each refusal.
    """

    def __init__(
        self,
        share: ProcessShare,
        read_bounds: Callable[[], RequestBounds],
        count: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.budget = ByteBudget(share.buffered_bytes)
        self.share = share
        self.read_bounds = read_bounds
        self._count = count
        self._doors: list[Door] = []
        self._excesses: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._sweep())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def open_door(self, name: str, share: int = 1) -> Door:
        """Return a door that has a share of the connections, for one listen address.

        A door with a part of them has a budget of its own, so that callers cannot keep
        health checks, metrics or operators out.
        """
        budget = self.budget if share == 1 else ByteBudget(MIN_BUFFERED_BYTES)
        door = Door(name, self, max(8, self.share.connections // share), budget)
        self._doors.append(door)
        return door

    def count_open(self) -> int:
        """Return the number of open connections."""
        return sum(len(door.connections) for door in self._doors)

    def measure(self) -> ClientsReport:
        """Return what clients use now."""
        counts = Counter(
            (door.name, connection.phase)
            for door in self._doors
            for connection in door.connections
        )
        return ClientsReport(
            {door.name: door.budget.held for door in self._doors},
            {door.name: door.budget.size for door in self._doors},
            {
                (door.name, phase): counts[door.name, phase]
                for door in self._doors
                for phase in PHASES
            },
        )

    def note_excess(self, reason: str) -> None:
        """Count a closed connection or a refusal; they are logged together."""
        self._excesses[reason] = self._excesses.get(reason, 0) + 1
        self._count(reason)

    def make_room(self, amount: int, asking: BoundedConnection) -> bool:
        """Reserve bytes; close connections that hold some and make no progress.

        None is closed if that would not make room enough.
        """
        budget = asking.door.budget
        if budget.reserve(amount, asking.held):
            return True
        missing = budget.held + amount - budget.size
        victims = []
        for connection in self._list_holding(asking):
            victims.append(connection)
            missing -= connection.held
            if missing <= 0:
                break
        if missing <= 0:
            for connection in victims:
                connection.abort("no room")
            if budget.reserve(amount, asking.held):
                return True
        self.note_excess("not admitted")
        return False

    def _list_holding(self, asking: BoundedConnection) -> Iterator[DoorConnection]:
        """Yield the connections that may be closed for another one, the first first."""
        for door in self._doors:
            if door.budget is asking.door.budget:
                for connection in door.list_waiting():
                    if connection is not asking and connection.held:
                        yield connection

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        reported_at = swept_at = loop.time()
        while True:
            await asyncio.sleep(SWEEP_S)
            now, bounds = loop.time(), self.read_bounds()
            pause = now - swept_at - SWEEP_S
            swept_at = now
            for door in self._doors:
                for connection in list(door.connections):
                    if pause > SWEEP_S:
                        connection.allow_time(pause)
                    connection.check_time(now, bounds)
            if self._excesses and now - reported_at >= REPORT_S:
                reported_at = now
                log_event(
                    events.CLIENTS_LIMITED,
                    closed=self._excesses,
                    connections=self.count_open(),
                    held=self.budget.held,
                    size=self.budget.size,
                )
                self._excesses = {}


class Door:
    """The connections of one listen address.

    Attributes
    ----------
    connections : dict
        All of them.
    capacity : int
        Most of them at a time.
    budget : ByteBudget
        Memory for what they have sent.
    """

    def __init__(
        self, name: str, owner: Connections, capacity: int, budget: ByteBudget
    ) -> None:
        self.name = name
        self.budget = budget
        self.owner = owner
        self.capacity = capacity
        self.connections: dict[DoorConnection, None] = {}
        # Connections without a request in progress, ordered by their last progress;
        # those that have delivered no complete request are separate.
        self._new: dict[DoorConnection, None] = {}
        self._known: dict[DoorConnection, None] = {}

    @property
    def backlog(self) -> int:
        """Return the number of connections that are accepted at a time.

        They are open before another one can be closed for them, for a few turns of
        the event loop, so that there may be four times as many beyond the capacity.
        """
        return max(8, min(BACKLOG, self.capacity // 8))

    def list_waiting(self) -> list[DoorConnection]:
        """Return the connections that may be closed for others, the first one first."""
        return [*self._new, *self._known]

    def add(self, connection: DoorConnection) -> None:
        """Add a new connection; close another one if there are too many."""
        if len(self.connections) >= self.capacity:
            victim = self._find_victim()
            (victim or connection).abort("too many connections")
            if victim is None:
                return
        self.connections[connection] = None
        self._new[connection] = None

    def _find_victim(self) -> DoorConnection | None:
        """Return the connection to close for a new one.

        Those in the middle of a request come last, and of them only those that have
        sent further requests, or do not read their response.
        """
        rest = (one for one in self.connections if one.is_expendable)
        return next(itertools.chain(self._new, self._known, rest), None)

    def note_progress(self, connection: DoorConnection) -> None:
        """Put a connection behind all others."""
        if connection not in self.connections:
            return
        waiting = self._known if connection.has_delivered else self._new
        waiting.pop(connection, None)
        waiting[connection] = None

    def note_handling(self, connection: DoorConnection) -> None:
        """Keep a connection with a complete request from being closed for others."""
        self._new.pop(connection, None)
        self._known.pop(connection, None)

    def remove(self, connection: DoorConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        self.note_handling(connection)
