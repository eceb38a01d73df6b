"""What the scheduler needs of outside systems; the adapter implements it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from briarshed.exceptions import BriarshedError
from briarshed_workloads.configuration import Configuration
from briarshed_workloads.workloads import (
    Instance,
    PollResponse,
    Registration,
    StartRequest,
    TaskId,
    WaveOrder,
)

COMMIT_TIMEOUT_S = 1.0
"""How long a write waits for its answer; a slow store still answers within it."""


class NotExecutedError(BriarshedError):
    """The call was certainly not executed."""


class OutcomeUnknownError(BriarshedError):
    """The call may have been executed, or may be executed later."""


class EndpointEndedError(BriarshedError):
    """The endpoint's process has certainly ended, and with it all its runs."""


class HistoryLostError(BriarshedError):
    """The store no longer has the history after the given revision."""


class Item(NamedTuple):
    """An item of the store; ``created`` is the revision of its creation."""

    key: str
    value: bytes
    revision: int
    created: int


class Listing(NamedTuple):
    """The items under a prefix and the store's revision before the first page."""

    items: tuple[Item, ...]
    revision: int


class Events(NamedTuple):
    """Changes under a prefix; ``removed`` holds keys. Continue from ``revision``."""

    changed: tuple[Item, ...]
    removed: tuple[str, ...]
    revision: int


class Put(NamedTuple):
    """A value to write; ``lease`` 0 writes it for good."""

    key: str
    value: bytes
    lease: int = 0


class Committed(NamedTuple):
    """A transaction took effect at a revision."""

    revision: int


class Conflicted(NamedTuple):
    """A condition did not hold; the items that stand, by key."""

    items: dict[str, Item]


class LeaseEnded(NamedTuple):
    """The lease of a call does not exist any more."""


class Store(Protocol):
    """The platform's metadata store.

    Every call raises NotExecutedError if it was certainly not executed, and
    OutcomeUnknownError if no answer came.

    Attributes
    ----------
    answered_at : float
        When the store last answered a call, in seconds of the boot clock.
    """

    answered_at: float

    async def read(self, key: str) -> Item | None:
        """Return an item by a linearizable read."""

    async def read_all(self, prefix: str) -> Listing:
        """Return all items under a prefix."""

    async def watch(self, prefix: str, after: int, wait: float) -> Events:
        """Return changes after a revision, or none after ``wait`` seconds.

        Raises HistoryLostError if the history is gone.
        """

    async def commit(
        self,
        conditions: Sequence[tuple[str, int]],
        puts: Sequence[Put],
        removals: Sequence[str] = (),
        timeout: float = COMMIT_TIMEOUT_S,
    ) -> Committed | Conflicted | LeaseEnded:
        """Write all or nothing, if every key has the given revision (0: absent)."""

    async def grant_lease(self, ttl: float) -> int:
        """Return a new lease of ``ttl`` seconds."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its items."""


class Accepted(NamedTuple):
    """The run is present at the endpoint; its clock in ms."""

    clock_ms: int


class Refused(NamedTuple):
    """The endpoint did nothing.

    ``reason`` is ``fenced`` (it has seen a higher token), ``old`` (the run number is
    too low), ``late`` (past its deadline), ``room``, ``ticket``, ``unhealthy``,
    ``invalid`` or ``replaced`` (another incarnation answers at the address).
    """

    reason: str


class Endpoints(Protocol):
    """Calls to endpoints.

    Besides the two errors of the store, every call raises EndpointEndedError where the
    way in which connections end proves that the process has ended.
    """

    async def start(
        self, endpoint: str, address: str, order: StartRequest
    ) -> Accepted | Refused:
        """Start a run."""

    async def stop(
        self, endpoint: str, address: str, task: TaskId, run: int, token: int
    ) -> Accepted | Refused:
        """Stop a run and bar it and all lower runs of the task."""

    async def poll(
        self,
        endpoint: str,
        address: str,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait: float,
    ) -> PollResponse | Refused:
        """Raise the token, extend the deadline, acknowledge ends, and list runs.

        Waits up to ``wait`` seconds for an end.
        """

    async def pace(
        self,
        endpoint: str,
        address: str,
        task: TaskId,
        run: int,
        percent: int,
        token: int,
    ) -> Accepted | Refused:
        """Let a run work at a share of its speed."""

    async def discard_connections(self, address: str) -> None:
        """Close kept connections to an address that fell silent."""


class Ordered(NamedTuple):
    """The instance call took effect, or had already."""


class Rejected(NamedTuple):
    """The call had no effect: ``fenced``, ``busy``, ``wave`` or ``invalid``."""

    reason: str


class Instances(Protocol):
    """The platform's instance list and its maintenance and move calls."""

    async def read_instances(self) -> tuple[Instance, ...]:
        """Return all instances."""

    async def move(
        self, instance: str, pool: str, holder: str, token: int
    ) -> Ordered | Rejected:
        """Move an instance to a pool; everything that runs there ends at once."""

    async def maintain(
        self, instance: str, wave: int, holder: str, token: int
    ) -> Ordered | Rejected:
        """Begin the maintenance of an instance; everything there ends at once."""


class Orders(NamedTuple):
    """What the operator has written; ``configuration`` is undecoded or None."""

    configuration: bytes | None
    waves: tuple[WaveOrder, ...]
    revision: int


class Directory(Protocol):
    """The operator's and the endpoints' entries in the store."""

    async def read_endpoints(self) -> tuple[Registration, ...]:
        """Return the registered endpoints; entries that make no sense are left out."""

    async def read_orders(self) -> Orders:
        """Return the operator's present orders."""

    async def watch_orders(self, after: int, wait: float) -> Orders:
        """Return orders that changed after a revision, or none after ``wait``."""

    def decode_configuration(self, data: bytes) -> Configuration:
        """Return the configuration; raises DocumentError if it cannot be read."""

    def encode_wave_status(self, wave: int, is_completed: bool) -> Put:
        """Return the item that tells the operator how a wave stands."""
