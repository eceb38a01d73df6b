"""Messages between entries, encoded as msgpack and sent over ZeroMQ with CURVE.

Each entry binds a ROUTER socket and opens a DEALER socket to each peer. Requests are
sent over the DEALER, and responses come back on the same connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from types import TracebackType
from typing import Any, NamedTuple, Protocol

import msgspec
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from briarshed.decoding import DECODING_ERRORS
from briarshed.events import LOOP_FAILED, PEER_REJECTED
from briarshed.settings import PeersSettings
from briarshed_entry.clock import now
from briarshed_entry.logs import log_event

MAX_FRAME_BYTES = 1_048_576
MAX_QUEUED_FRAMES = 64
"""Frames queued for a peer that does not read; further frames are dropped."""

RECONNECT_TIMEOUT_S = 3.0
"""Time without a message after which the connection to a peer is replaced.

A connection can stop working without an error while new ones work.
"""

_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1_000
_LOGGED_REJECTIONS_S = 10.0


class Ping(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Request for a pong; the time is in milliseconds of the sender's clock."""

    incarnation: str
    sent_at: int


class Pong(msgspec.Struct, tag="q", array_like=True, frozen=True):
    """Response to a ping.

    Ages are in milliseconds, and -1 if there is none. ``versions`` has the versions of
    the documents in the order of ``DOCUMENT_KEYS``. ``known`` is whether the sender's
    copy of the members lists the receiver. ``running`` maps each team with running or
    waiting jobs to their numbers.
    """

    incarnation: str
    echo: int
    confirmed_age: int
    contact_age: int
    store_failing: bool
    versions: tuple[int, int, int, int]
    known: bool
    running: dict[str, tuple[int, int]]
    stopping: bool


class Notice(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """Documents of which the sender has a new version."""

    versions: dict[str, int]


class Offer(msgspec.Struct, tag="o", array_like=True, frozen=True):
    """A document for a peer that has an older version.

    ``configuration`` is the sender's version of the configuration when it read the
    document.
    """

    key: str
    revision: int
    configuration: int
    value: bytes


class Demand(msgspec.Struct, tag="d", array_like=True, frozen=True):
    """Number of jobs of each team that the sender wants to start beyond its grant."""

    wanted: dict[str, int]


class QueryRequest(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """An operator's query."""

    id: int
    query: Any


class QueryResponse(msgspec.Struct, tag="t", array_like=True, frozen=True):
    """The response to an operator's query."""

    id: int
    rows: list[Any]


Message = Ping | Pong | Notice | Offer | Demand | QueryRequest | QueryResponse

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


class Peer(NamedTuple):
    """Name and address of a peer."""

    name: str
    address: str


class Handler(Protocol):
    """Handles a message of a peer and may return a response."""

    def __call__(self, name: str, message: Message) -> Message | None:
        """Handle a message; ``name`` is the peer with the sender's CURVE key."""


class _Connection(NamedTuple):
    address: str
    socket: zmq.asyncio.Socket
    task: asyncio.Task[None]
    opened_at: float


class _CurveCredentials:
    """Credentials provider of the authenticator: accepts the keys of the settings."""

    def __init__(self, names: Mapping[str, str]) -> None:
        self._names = names

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether a public key is in the settings."""
        if key.decode() in self._names:
            return True
        log_event(PEER_REJECTED, reason="its CURVE key is not in the settings")
        return False


class Peers:
    """Sockets for messages to and from the peers.

    Attributes
    ----------
    received_at : dict
        Time, in seconds, of the last message from a peer on the connection to it.
    """

    def __init__(self, settings: PeersSettings, handle: Handler) -> None:
        self._settings = settings
        self._handle = handle
        self._names = {
            key: name
            for name, key in settings.allowed_keys.items()
            if key != settings.public_key
        }
        self._connections: dict[str, _Connection] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._rejected_at: dict[str, float] = {}
        self.received_at: dict[str, float] = {}

    async def __aenter__(self) -> Peers:
        self._context = zmq.asyncio.Context()
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=_CurveCredentials(self._names)
        )
        self._router = self._make_socket(zmq.ROUTER)
        self._router.curve_server = True
        try:
            self._router.bind(f"tcp://{self._settings.address}")
        except zmq.ZMQError:
            await self._close()
            raise
        self._tasks.append(asyncio.create_task(self._serve()))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._close()

    async def _close(self) -> None:
        for name in list(self._connections):
            self._disconnect(name)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._router.close(linger=0)
        self._authenticator.stop()
        self._context.destroy(linger=0)

    def set_peers(self, peers: Mapping[str, str]) -> None:
        """Connect to exactly these peers, a mapping of names to addresses.

        A peer without a key in the settings is skipped, so it counts as unreachable.
        A silent connection is replaced.
        """
        time = now()
        for name, connection in list(self._connections.items()):
            latest = max(self.received_at.get(name, 0.0), connection.opened_at)
            address = self._find_address(name, peers)
            silent = time - latest >= RECONNECT_TIMEOUT_S
            if address != connection.address or silent:
                self._disconnect(name)
        for name in peers:
            if name not in self._connections and name in self._settings.allowed_keys:
                self._connect(name, self._find_address(name, peers))

    def _find_address(self, name: str, peers: Mapping[str, str]) -> str:
        address = peers.get(name, "")
        return self._settings.routes.get(name, address) if address else ""

    def send(self, name: str, message: Message) -> bool:
        """Send a message to a peer; return whether it was queued."""
        connection = self._connections.get(name)
        if connection is None:
            return False
        data = _ENCODER.encode(message)
        if len(data) > MAX_FRAME_BYTES:
            log_event(
                PEER_REJECTED,
                reason=f"message of {len(data)} bytes to {name} exceeds the limit",
            )
            return False
        return _send([data], connection.socket)

    def _make_socket(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_FRAMES)
        socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_FRAMES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        socket.curve_publickey = self._settings.public_key.encode()
        socket.curve_secretkey = self._settings.secret_key.encode()
        return socket

    def _connect(self, name: str, address: str) -> None:
        socket = self._make_socket(zmq.DEALER)
        socket.curve_serverkey = self._settings.allowed_keys[name].encode()
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        # Without a connection, messages are dropped instead of queued, so that a peer
        # that returns does not receive old ones.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.connect(f"tcp://{address}")
        task = asyncio.create_task(self._receive(name, socket))
        self._connections[name] = _Connection(address, socket, task, now())

    def _disconnect(self, name: str) -> None:
        connection = self._connections.pop(name)
        connection.task.cancel()
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(connection.task)
        connection.socket.close(linger=0)

    async def _receive(self, name: str, socket: zmq.asyncio.Socket) -> None:
        """Read the messages that a peer sends on the connection to it."""
        while True:
            data = await socket.recv()
            message = self._decode(name, data)
            if message is not None:
                self.received_at[name] = now()
                self._call_handler(name, message)

    async def _serve(self) -> None:
        """Handle the messages that peers send on their connections."""
        while True:
            identity, *frames = await self._router.recv_multipart(copy=False)
            name = self._find_sender(frames[-1]) if frames else None
            if name is None:
                self._reject("?", "its CURVE key is not in the settings")
                continue
            message = self._decode(name, frames[-1].bytes)
            response = (
                self._call_handler(name, message) if message is not None else None
            )
            if response is not None:
                _send([identity.bytes, _ENCODER.encode(response)], self._router)

    def _find_sender(self, frame: zmq.Frame) -> str | None:
        try:
            return self._names.get(frame.get("User-Id"))
        except zmq.ZMQError:
            return None

    def _decode(self, name: str, data: bytes) -> Message | None:
        if len(data) > MAX_FRAME_BYTES:
            self._reject(name, f"message of {len(data)} bytes exceeds the limit")
            return None
        try:
            return _DECODER.decode(data)
        except DECODING_ERRORS as error:
            self._reject(name, f"message cannot be decoded: {error}")
            return None

    def _reject(self, name: str, reason: str) -> None:
        """Log a dropped message, at most once per sender in a few seconds."""
        time = now()
        if time - self._rejected_at.get(name, -_LOGGED_REJECTIONS_S) < (
            _LOGGED_REJECTIONS_S
        ):
            return
        self._rejected_at[name] = time
        log_event(PEER_REJECTED, reason=f"{name}: {reason}")

    def _call_handler(self, name: str, message: Message) -> Message | None:
        try:
            return self._handle(name, message)
        except Exception as error:
            # An error in one message must not stop the handling of others.
            log_event(LOOP_FAILED, task="peers", error=repr(error))
            return None


def _send(frames: list[bytes], socket: zmq.asyncio.Socket) -> bool:
    """Send without blocking; drop the message if the peer does not read."""
    sent = socket.send_multipart(frames, flags=zmq.DONTWAIT, copy=True)
    if not sent.done():
        sent.cancel()
        return False
    return not sent.cancelled() and sent.exception() is None
