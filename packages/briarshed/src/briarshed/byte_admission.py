"""Decides what clients may keep in memory: a budget of bytes, and limits of time.

The numbers of bytes are those that a connection costs its process, not those that were
sent: a header line and a chunk cost far more than the few bytes that they may have.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal, NamedTuple, get_args

MB = 1_000_000

PROCESS_BYTES = 64 * MB
"""Memory of a process without connections."""

SPARE_SHARE = 4
"""A quarter of the remaining memory holds bytes that are not handled yet, another one
the connections themselves; the rest is that of the jobs."""

MIN_BUFFERED_BYTES = 2 * MB
MIN_CONNECTIONS = 16

CONNECTION_BYTES = 32_768
"""Memory of a connection that has sent nothing, and of one read from it."""

TLS_BYTES = 524_288
"""Further memory of a connection with TLS, whose layer has buffers of fixed size."""

DUTIES_SHARE = 2
"""Half of the descriptors is left for the store, peers, endpoints and instances."""

HEADER_LINE_BYTES = 512
"""Memory of a parsed header line in addition to its text."""

PART_BYTES = 64
"""Memory of a separately received part of a body in addition to its content."""

OBJECT_BYTES = 640
"""Memory of a decoded object of a body."""

VALUE_BYTES = 40
"""Memory of a decoded value in a list or an object."""

MAX_BLANK_BYTES = 64
"""Most bytes of empty lines before a request; one such line must be accepted."""

MIN_BODY_RATE = 1_024.0
"""Slowest progress of a body in bytes per second."""

BODY_GRACE_S = 2.0
"""Time after which the progress of a body counts."""

LINGER_S = 2.0
"""Time for which a connection is read after a refused head."""

MIN_PROGRESS_BYTES = 1_024
"""Bytes that count as progress; fewer do not keep a connection from being closed."""

Phase = Literal[
    "handshake",
    "idle",
    "head",
    "body",
    "handling",
    "writing",
    "closing",
    "discarding",
]

PHASES: tuple[str, ...] = get_args(Phase)


class ProcessShare(NamedTuple):
    """What clients may use of a process.

    Attributes
    ----------
    buffered_bytes : int
        Memory for what has been received and not been handled.
    connections : int
        Number of open connections of callers.
    """

    buffered_bytes: int
    connections: int


class ClientsReport(NamedTuple):
    """What clients use of a process at a time, for its metrics.

    Attributes
    ----------
    held_bytes, budget_bytes : Mapping
        Bytes that requests hold and may hold, by listen address.
    connections : Mapping
        Number of connections by listen address and phase, also of those with none.
    """

    held_bytes: Mapping[str, int]
    budget_bytes: Mapping[str, int]
    connections: Mapping[tuple[str, str], int]


class RequestBounds(NamedTuple):
    """Limits of each request, in bytes and seconds."""

    header_bytes: int = 16_384
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


def size_share(
    memory_mb: float, max_descriptors: int, has_tls: bool = False
) -> ProcessShare:
    """Return what clients may use of a process of this size."""
    spare = max(0, int(memory_mb * MB) - PROCESS_BYTES) // SPARE_SHARE
    each = CONNECTION_BYTES + (TLS_BYTES if has_tls else 0)
    return ProcessShare(
        max(MIN_BUFFERED_BYTES, spare),
        max(MIN_CONNECTIONS, min(max_descriptors // DUTIES_SHARE, spare // each)),
    )


def estimate_head(head: bytes) -> int:
    """Return the memory of a parsed head."""
    return len(head) + head.count(b"\n") * HEADER_LINE_BYTES


def estimate_decoded(body: bytes) -> int:
    """Return the memory of what a JSON body holds once it is decoded."""
    return body.count(b"{") * OBJECT_BYTES + body.count(b",") * VALUE_BYTES


class ByteBudget:
    """Memory of a process for what its clients have sent.

    Parameters
    ----------
    size : int
        The budget in bytes.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.held = 0

    def reserve(self, amount: int, own: int = 0) -> bool:
        """Reserve bytes if they are available, or if nobody else holds any.

        A single request inside the limits is therefore served, however small the
        budget is.

        Parameters
        ----------
        own : int
            Bytes that the same request holds already.
        """
        if self.held > own and self.held + amount > self.size:
            return False
        self.held += amount
        return True

    def release(self, amount: int) -> None:
        """Return reserved bytes."""
        self.held -= amount


def find_excess(
    phase: Phase, elapsed: float, received: int, bounds: RequestBounds
) -> str:
    """Return why a connection is to be closed, or an empty string.

    Parameters
    ----------
    phase : str
        What the connection is doing.
    elapsed : float
        Time in this phase, in seconds.
    received : int
        Bytes received in this phase.
    """
    if phase == "idle":
        return "idle" if elapsed > bounds.idle_timeout else ""
    if phase in ("handshake", "head"):
        return f"slow {phase}" if elapsed > bounds.header_timeout else ""
    if phase == "body":
        expected = (elapsed - BODY_GRACE_S) * MIN_BODY_RATE
        return "slow body" if received < expected else ""
    if phase in ("writing", "closing"):
        return "unread response" if elapsed > bounds.idle_timeout else ""
    if phase == "discarding":
        return "refused" if elapsed > LINGER_S else ""
    return ""
