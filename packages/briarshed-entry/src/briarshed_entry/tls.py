"""TLS handshakes of clients, which count at their door like connections."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

from briarshed.byte_admission import Phase, RequestBounds, find_excess
from briarshed.events import LOOP_FAILED
from briarshed_entry.connections import Door
from briarshed_entry.logs import log_event

HANDSHAKE_TIMEOUT_S = 600.0
"""Time-out of the library, which does not know of frozen processes and changed limits;
the door closes slow handshakes much earlier."""


class TlsHandshake(asyncio.Protocol):
    """A connection before the end of its TLS handshake.

    The layer for TLS, whose buffers take most of the memory of such a connection, is
    created only once the door has admitted it.

    Parameters
    ----------
    context : ssl.SSLContext
        The certificate and the rules of the handshake.
    door : Door
        The connections that it belongs to.
    make_protocol : callable
        Returns the protocol that serves the connection after the handshake.
    """

    has_delivered = False
    held = 0
    is_expendable = False
    phase: Phase = "handshake"

    def __init__(
        self,
        context: ssl.SSLContext,
        door: Door,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        self._context = context
        self._door = door
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._since = self._loop.time()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake, unless the door closes the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.pause_reading()
        self._door.add(self)
        if not transport.is_closing():
            self._task = self._loop.create_task(self._upgrade(transport))

    def abort(self, reason: str) -> None:
        """Close the connection at once, without a response."""
        self._door.owner.note_excess(reason)
        self._door.remove(self)
        if self._transport is not None:
            self._transport.abort()

    def check_time(self, now: float, bounds: RequestBounds) -> None:
        """Close the connection if its handshake takes too long."""
        reason = find_excess(self.phase, now - self._since, 0, bounds)
        if reason:
            self.abort(reason)

    def allow_time(self, seconds: float) -> None:
        """Allow more time, since the process has not run for some."""
        self._since += seconds

    async def _upgrade(self, transport: asyncio.Transport) -> None:
        buffer = _HandshakeBuffer()
        try:
            secured = await self._loop.start_tls(
                transport,
                buffer,
                self._context,
                server_side=True,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            )
        except OSError:
            # `ssl.SSLError` is one; the sweep of the connections logs their number.
            self._door.owner.note_excess("failed handshake")
            return
        finally:
            self._door.remove(self)
        # There is no transport if the connection was closed meanwhile.
        if secured is None or secured.is_closing():
            return
        try:
            buffer.pass_on(secured, self._make_protocol())
        except Exception as error:
            log_event(LOOP_FAILED, task="TLS handshake", error=repr(error))
            secured.abort()


class _HandshakeBuffer(asyncio.Protocol):
    """Buffers what arrives with the end of a handshake for the next protocol."""

    def __init__(self) -> None:
        self._received = bytearray()
        self._has_ended = False

    def data_received(self, data: bytes) -> None:
        """Keep decrypted bytes."""
        self._received += data

    def eof_received(self) -> None:
        """Keep that the client has closed its sending side."""
        self._has_ended = True

    def pass_on(self, transport: asyncio.Transport, next_: asyncio.Protocol) -> None:
        """Let another protocol serve the connection from now on."""
        transport.set_protocol(next_)
        next_.connection_made(transport)
        if self._received:
            next_.data_received(bytes(self._received))
        if self._has_ended:
            next_.eof_received()
