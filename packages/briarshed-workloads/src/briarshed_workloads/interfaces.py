"""Protocols for the external systems of the scheduler; an adapter implements them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from briarshed.exceptions import BriarshedError
from briarshed_workloads.configuration import Configuration
from briarshed_workloads.evacuation import EvacuationChange
from briarshed_workloads.workloads import (
    Instance,
    PollResponse,
    Registration,
    StartRequest,
    TaskId,
    WaveOrder,
)

COMMIT_TIMEOUT_S = 1.0
"""Default time-out of a transaction; a slow store still responds within it."""


class NotExecutedError(BriarshedError):
    """The call was not executed and will not be executed later."""


class PermitExpiredError(NotExecutedError):
    """The order was withheld, since it was not permitted any more."""


class OutcomeUnknownError(BriarshedError):
    """The call may have been executed, or may be executed later."""


class ConnectionClosedError(OutcomeUnknownError):
    """The peer closed the connection gracefully without a response."""


class HistoryLostError(BriarshedError):
    """The store has compacted the history after the given revision."""


class Item(NamedTuple):
    """An item of the store; ``created`` is the revision at which it was created."""

    key: str
    value: bytes
    revision: int
    created: int


class Listing(NamedTuple):
    """Items under a prefix, and the store's revision when the first page was read."""

    items: tuple[Item, ...]
    revision: int


class Removal(NamedTuple):
    """An item that was removed at a revision."""

    key: str
    revision: int


class Events(NamedTuple):
    """Changes under a prefix; the next watch continues after ``revision``."""

    changed: tuple[Item, ...]
    removed: tuple[Removal, ...]
    revision: int


class Put(NamedTuple):
    """A value to write; an item with ``lease`` 0 does not expire."""

    key: str
    value: bytes
    lease: int = 0


class Committed(NamedTuple):
    """The transaction was committed at a revision."""

    revision: int


class Conflicted(NamedTuple):
    """A condition did not hold; ``items`` holds the current items by key."""

    items: dict[str, Item]


class LeaseEnded(NamedTuple):
    """The lease that the call names no longer exists."""


class Store(Protocol):
    """The platform's metadata store.

    Every call raises NotExecutedError if it was not executed, and OutcomeUnknownError
    if no response was received.

    Attributes
    ----------
    answered_at : float
        Time at which the latest of the answered calls was sent, in seconds of the boot
        clock.
    """

    answered_at: float

    async def read(self, key: str) -> Item | None:
        """Return an item with a linearizable read, or None if there is none."""

    async def read_all(self, prefix: str) -> Listing:
        """Return all items under a prefix."""

    async def watch(self, prefix: str, after: int, wait: float) -> Events:
        """Return the changes after a revision, or none after ``wait`` seconds.

        Raises HistoryLostError if the history has been compacted.
        """

    async def commit(
        self,
        conditions: Sequence[tuple[str, int]],
        puts: Sequence[Put],
        removals: Sequence[str] = (),
        timeout: float = COMMIT_TIMEOUT_S,
    ) -> Committed | Conflicted | LeaseEnded:
        """Apply all writes atomically if every key has its revision (0: absent)."""

    async def grant_lease(self, ttl: float) -> int:
        """Return a new lease with a time to live of ``ttl`` seconds."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it no longer exists."""

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease and remove its items."""


class Accepted(NamedTuple):
    """The endpoint accepted the order; ``clock_ms`` is the reading of its clock."""

    clock_ms: int


class Refused(NamedTuple):
    """The endpoint refused the order, which has had no effect.

    ``reason`` is ``fenced`` (it has seen a higher token), ``old`` (the run number is
    too low), ``late`` (the deadline has passed), ``room`` (not enough free capacity),
    ``ticket`` (see `StartRequest`), ``unhealthy`` (overloaded or unavailable),
    ``invalid`` or ``replaced`` (another incarnation responds at the address).
    """

    reason: str


Permit = Callable[[], bool]
"""Tells whether an order may still be given. It is called immediately before the bytes
of the order are sent, since a process can be paused after its decision. If it returns
False, nothing is sent and PermitExpiredError is raised."""


class Endpoints(Protocol):
    """Calls to endpoints; each raises NotExecutedError or OutcomeUnknownError."""

    async def start(
        self, endpoint: str, address: str, order: StartRequest, permit: Permit
    ) -> Accepted | Refused:
        """Start a run."""

    async def stop(
        self,
        endpoint: str,
        address: str,
        task: TaskId,
        run: int,
        token: int,
        permit: Permit,
    ) -> Accepted | Refused:
        """Stop a run; it and all lower run numbers of the task can no longer start."""

    async def poll(
        self,
        endpoint: str,
        address: str,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait: float,
    ) -> PollResponse | Refused:
        """Raise the token, extend the deadline, acknowledge ends and list the runs.

        The endpoint responds when a run ends, after at most ``wait`` seconds.
        """

    async def pace(
        self,
        endpoint: str,
        address: str,
        task: TaskId,
        run: int,
        percent: int,
        token: int,
        permit: Permit,
    ) -> Accepted | Refused:
        """Limit a run to a percentage of its full speed."""

    async def discard_connections(self, address: str) -> None:
        """Discard the pooled connections to an address that no longer responds."""


class Ordered(NamedTuple):
    """The call took effect now or had taken effect before."""


class Rejected(NamedTuple):
    """The call had no effect: ``fenced``, ``busy``, ``wave`` or ``invalid``."""

    reason: str


class Instances(Protocol):
    """The platform's instance list and its maintenance and move calls."""

    async def read_instances(self) -> tuple[Instance, ...]:
        """Return all instances."""

    async def move(
        self, instance: str, pool: str, holder: str, token: int, permit: Permit
    ) -> Ordered | Rejected:
        """Move an instance to a pool; all runs there end immediately."""

    async def maintain(
        self, instance: str, wave: int, holder: str, token: int, permit: Permit
    ) -> Ordered | Rejected:
        """Start the maintenance of an instance; all runs there end immediately."""


class Orders(NamedTuple):
    """Orders that the operator has written.

    Attributes
    ----------
    configuration : bytes or None
        The encoded configuration.
    waves : tuple of WaveOrder
    revision : int
        Revision of the last of them, after which a watch goes on.
    evacuations : tuple of EvacuationChange
        Data centres that were evacuated or returned.
    evacuations_at : int
        Revision as of which these are all evacuations; 0 if they are changes.
    """

    configuration: bytes | None
    waves: tuple[WaveOrder, ...]
    revision: int
    evacuations: tuple[EvacuationChange, ...] = ()
    evacuations_at: int = 0


class Directory(Protocol):
    """Items that the operator and the endpoints keep in the store."""

    async def read_endpoints(self) -> tuple[Registration, ...]:
        """Return the registered endpoints; invalid registrations are left out."""

    async def read_orders(self) -> Orders:
        """Return the operator's current orders."""

    async def watch_orders(self, after: int, wait: float) -> Orders:
        """Return orders changed after a revision, or none after ``wait`` seconds."""

    async def read_evacuations(self) -> Orders:
        """Return all evacuations that stand, and no other orders."""

    def decode_configuration(self, data: bytes) -> Configuration:
        """Return the configuration; raise DocumentError if it cannot be decoded."""

    def encode_wave_status(self, wave: int, is_completed: bool) -> Put:
        """Return the item that reports the state of a wave to the operator."""
