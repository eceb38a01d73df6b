"""One-way messages between entries: pyzmq PUSH to PULL, msgpack by msgspec.

A message carries its sender's address, and the reply is sent over the receiver's own
connection to it. Heartbeats detect a dead connection, which is then replaced. Messages
for a peer that does not read are dropped: sending never blocks.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

import msgspec
import zmq
import zmq.asyncio

from briarshed.decoding import DECODING_ERRORS
from briarshed.events import PEER_REJECTED
from briarshed.exceptions import BriarshedError
from briarshed_entry.logs import log_event
from briarshed_workloads.supervision import report_error
from briarshed_workloads.workloads import Submission

QUEUED_MESSAGES = 2_000
"""Messages queued for a peer that does not read; one second at the target size."""

HEARTBEAT_MS = 400
"""Heartbeat interval; a third of `HEARTBEAT_TIMEOUT_MS`."""

HEARTBEAT_TIMEOUT_MS = 1_200
"""Time without data after which a connection is closed and reopened."""

MAX_MESSAGE_BYTES = 4_194_304
"""Largest message that is received; a compressed configuration of 1 MB is far smaller.
A peer that sends a larger one is disconnected."""

LARGE_MESSAGE_BYTES = 65_536
"""Size of a message from which on its request is handled before the next is read."""

MAX_UNREAD_BYTES = 1_048_576
"""Most bytes of requests that an entry has sent and that were not answered; a single
request may be larger. It bounds what a leader that does not read them gets from each
entry at once."""

UNREAD_TIMEOUT_S = 10.0
"""Time after which a request without a reply no longer counts as unread: it was lost,
or read by a receiver that has ended since."""

LINGER_MS = 150
"""Time allowed for sending queued messages when a connection is closed."""

FIRST_ID_BITS = 48
"""Size of the random number from which ids of requests count; they have 64 bits."""

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 800


class LeaderHeartbeat(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """The leader's heartbeat.

    ``version`` is that of its configuration. ``waiting`` maps a queue to the number of
    its jobs that have not started, and ``oldest_waiting_at`` to the Unix time in
    seconds at which the oldest of them was accepted; queues without such jobs are left
    out. Both mean nothing unless ``is_loaded`` is set: a leader that has not read the
    records yet does not know which jobs wait. ``has_yielded`` is set if it resigns
    because of unexpected errors. ``sent_at`` is a time of the leader's boot clock in
    seconds, and ``echoed_at`` the time, by the receiver's clock, at which the receiver
    sent the last heartbeat that the leader has received; 0 if there was none.
    ``evacuated`` holds the evacuated data centres, and since when, in Unix seconds.
    """

    leader: str
    epoch: int
    has_authority: bool
    is_store_failing: bool
    is_resigning: bool
    version: int
    waiting: dict[str, int]
    has_yielded: bool = False
    sent_at: float = 0.0
    is_loaded: bool = True
    oldest_waiting_at: dict[str, float] = {}
    echoed_at: float = 0.0
    evacuated: dict[str, float] = {}


class EntryHeartbeat(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """An entry's heartbeat to the leader.

    ``version`` is that of its configuration. ``store_age`` is the time in seconds since
    its last successful call to the store if that is unavailable, so that the entry does
    not take the leadership; else 0. ``echoed_at`` is the time at which the last
    heartbeat of the leader of ``epoch`` was sent, by the leader's clock. ``sent_at`` is
    a time of the entry's own boot clock in seconds.
    """

    name: str
    incarnation: str
    version: int
    store_age: float
    is_stopping: bool
    epoch: int = 0
    echoed_at: float = 0.0
    sent_at: float = 0.0


class ConfigurationUpdate(msgspec.Struct, tag="o", array_like=True, frozen=True):
    """The encoded and compressed configuration, for an entry with an older version."""

    compressed: bytes


class SubmitRequest(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """A job that is submitted to the leader.

    ``attempt`` is the number of the caller's request, see
    `briarshed_workloads.refusals`. ``epoch`` is that of the leader it is meant for; 0
    if it may be any.
    """

    id: int
    submission: Submission
    attempt: int = 0
    epoch: int = 0


class JobRequest(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """Asks the leader for the state of a job, or to cancel it."""

    id: int
    job: str
    cancel: bool


class RefuseRequest(msgspec.Struct, tag="f", array_like=True, frozen=True):
    """Asks the leader to refuse a job whose description an entry has not read.

    ``epoch`` is that of the leader it is meant for; 0 if it may be any.
    """

    id: int
    job: str
    epoch: int = 0


class Reply(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """The leader's reply to a request.

    ``outcome`` is ``accepted``, ``refused``, ``full``, ``withdrawn``, ``cancelled``,
    ``missing``, ``unknown``, ``not leader`` or the state of a job. ``retry_after`` is
    in seconds.
    """

    id: int
    outcome: str
    retry_after: float = 0.0


Message = (
    LeaderHeartbeat
    | EntryHeartbeat
    | ConfigurationUpdate
    | SubmitRequest
    | JobRequest
    | RefuseRequest
    | Reply
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message and the address at which its sender receives replies."""

    sender: str
    message: Message


MAX_QUOTED = 60
"""Longest part of an invalid address in a message, in characters."""

_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()

Handler = Callable[[str, Message], Awaitable[None] | None]


class PeerTransport:
    """Sends and receives messages; a context manager that owns the sockets.

    Parameters
    ----------
    address : str
        Listen address (``IP:PORT``).
    handler : callable
        Called with the sender's address and the message.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._context = zmq.asyncio.Context()
        self._plain_context = zmq.Context(self._context)
        self._sockets: dict[str, zmq.Socket] = {}
        self._unusable: set[str] = set()
        self._receiver: zmq.asyncio.Socket | None = None
        self._task: asyncio.Task[None] | None = None
        self.dropped = 0

    async def __aenter__(self) -> Self:
        self._receiver = self._context.socket(zmq.PULL)
        self._set_options(self._receiver)
        self._receiver.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._receiver.bind(f"tcp://{self.address}")
        self._task = asyncio.create_task(self._read())
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
        # Terminating the context waits for every socket that is still open.
        for peer in self._sockets.values():
            peer.close(linger=LINGER_MS)
        self._context.destroy(linger=LINGER_MS)

    def _set_options(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.LINGER, LINGER_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)

    def send(self, address: str, message: Message) -> None:
        """Queue a message for a peer.

        It is dropped if the peer's queue is full or its address cannot be used.
        """
        socket = self._sockets.get(address) or self._connect(address)
        if socket is None:
            return
        try:
            socket.send(_ENCODER.encode(Envelope(self.address, message)), zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1

    def _connect(self, address: str) -> zmq.Socket | None:
        """Return a new socket, or None if the peer's address cannot be used."""
        if address in self._unusable:
            return None
        socket = self._plain_context.socket(zmq.PUSH)
        self._set_options(socket)
        try:
            socket.connect(f"tcp://{address}")
        except (zmq.ZMQError, ValueError) as error:
            socket.close(linger=0)
            self._unusable.add(address)
            log_event(
                PEER_REJECTED, reason=f"address {address[:MAX_QUOTED]!r}: {error}"
            )
            return None
        self._sockets[address] = socket
        return socket

    def close(self, address: str) -> None:
        """Close the connection to a peer."""
        self._unusable.discard(address)
        socket = self._sockets.pop(address, None)
        if socket is not None:
            socket.close(linger=0)

    async def _read(self) -> None:
        assert self._receiver is not None
        while True:
            data = await self._receiver.recv()
            try:
                envelope = _DECODER.decode(data)
            except DECODING_ERRORS as error:
                log_event(PEER_REJECTED, reason=str(error))
                continue
            try:
                result = self._handler(envelope.sender, envelope.message)
                if result is not None:
                    await result
            except BriarshedError as error:
                log_event(PEER_REJECTED, reason=str(error))
            except Exception as error:
                report_error("message of a peer", error)
            if len(data) >= LARGE_MESSAGE_BYTES:
                # Its request would else wait, decoded, behind all that has arrived.
                await asyncio.sleep(0)


class PendingReplies:
    """Matches the leader's replies to the requests of this process.

    Ids count from a random number: a reply that was held up may be meant for another
    process at this address, the one before a restart in most cases.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self._last = secrets.randbits(FIRST_ID_BITS)
        # Size and time of each request that its receiver may not have read.
        self._unread: dict[int, tuple[int, float]] = {}
        self._unread_bytes = 0

    def open(self, size: int = 0) -> tuple[int, asyncio.Future[Reply]]:
        """Return the id of a new request and the future of its reply.

        Parameters
        ----------
        size : int
            Its size in bytes; a request of 0 takes no room from others.
        """
        self._last += 1
        future = asyncio.get_running_loop().create_future()
        self._waiting[self._last] = future
        if size:
            self._unread[self._last] = (size, asyncio.get_running_loop().time())
            self._unread_bytes += size
        return self._last, future

    def has_room(self, size: int) -> bool:
        """Tell whether a request of this size may be sent.

        A message waits in this process, and in the receiver, until the receiver has
        read it. Without a reply it counts for `UNREAD_TIMEOUT_S`.
        """
        oldest = asyncio.get_running_loop().time() - UNREAD_TIMEOUT_S
        while self._unread:
            id, (_, sent_at) = next(iter(self._unread.items()))
            if sent_at > oldest:
                break
            self._note_read(id)
        return not self._unread or self._unread_bytes + size <= MAX_UNREAD_BYTES

    def forget_unread(self) -> None:
        """Count no earlier request as unread, since there is another receiver."""
        self._unread.clear()
        self._unread_bytes = 0

    def _note_read(self, id: int) -> None:
        size, _ = self._unread.pop(id, (0, 0.0))
        self._unread_bytes -= size

    def close(self, id: int) -> None:
        """Remove a request; a later reply to it is dropped."""
        self._waiting.pop(id, None)

    def resolve(self, reply: Reply) -> None:
        """Set the reply as the result of its request's future."""
        self._note_read(reply.id)
        future = self._waiting.pop(reply.id, None)
        if future is not None and not future.done():
            with contextlib.suppress(asyncio.InvalidStateError):
                future.set_result(reply)
