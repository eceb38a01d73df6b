"""HTTP connections that are read only as far as their bytes are admitted.

The HTTP parser buffers heads, chunks and further requests of a connection before a
handler runs. `BoundedConnection` therefore stands before it: the parser gets one
complete head at a time, and no further request before the response to the last one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import msgspec
from aiohttp import EMPTY_PAYLOAD, StreamReader, web
from aiohttp.http import HttpRequestParser

from briarshed import events
from briarshed.byte_admission import (
    MAX_BLANK_BYTES,
    MIN_PROGRESS_BYTES,
    Phase,
    RequestBounds,
    estimate_head,
    find_excess,
)
from briarshed_entry.connections import Door
from briarshed_entry.logs import log_event

READ_BYTES = 16_384
"""Most bytes of one read from a connection."""

BODY_BUFFER_BYTES = 4_096
"""Unread part of a body, above which a connection is not read; it also bounds the
number of unread chunks, to a sixteenth."""

LINGERING_S = 2.0
"""Time for which the rest of a refused body is read.

If the connection were closed at once, the caller might not receive the response.
"""

MAX_LINGERING_BYTES = 1_048_576
HEAD_END = b"\r\n\r\n"

Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class BoundedServer(web.Server):
    """Server whose connections belong to a door."""

    def __init__(self, handler: Handle, door: Door) -> None:
        super().__init__(handler, access_log=None)
        self.door = door

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedConnection(self, self.door, loop=asyncio.get_running_loop())


class BoundedConnection(web.RequestHandler):
    """A connection that is read only as far as its bytes are admitted.

    Attributes
    ----------
    door : Door
        The connections that it belongs to.
    held : int
        Bytes of the budget that it has reserved.
    has_delivered : bool
        Whether a request of it has been answered.
    """

    __slots__ = (
        "_bounds_body",
        "_count",
        "_decompresses",
        "_discarded",
        "_has_answered",
        "_is_handling",
        "_is_held_up",
        "_is_lost",
        "_left",
        "_own_transport",
        "_parsed_limit",
        "_pending",
        "_phase",
        "_progress",
        "_raw_handler",
        "_received",
        "_since",
        "door",
        "has_delivered",
        "held",
    )

    def __init__(self, manager: web.Server, door: Door, **options: Any) -> None:
        limit = door.owner.read_bounds().header_bytes
        settings = {"lingering_time": LINGERING_S, "access_log": None, **options}
        super().__init__(
            manager,
            # The whole head is bounded here, whatever its split into lines.
            max_line_size=limit,
            max_field_size=limit,
            max_headers=limit,
            read_bufsize=BODY_BUFFER_BYTES,
            **settings,
        )
        self.door = door
        self._raw_handler = self._request_handler
        self._request_handler = self._handle
        self._phase: Phase = "idle"
        self._since = self._loop.time()
        self._received = 0
        self._progress = 0
        self._discarded = 0
        self._parsed_limit = limit
        self._decompresses = options.get("auto_decompress", True)
        self._own_transport: asyncio.Transport | None = None
        self._pending = b""
        self._left: int | None = 0
        self._count = 0
        self._bounds_body: StreamReader | None = None
        self._is_held_up = False
        self._is_handling = False
        self._is_lost = False
        self._has_answered = False
        self.has_delivered = False
        self.held = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to its door."""
        assert isinstance(transport, asyncio.Transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._own_transport = transport
        super().connection_made(transport)
        self.door.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Return what the connection holds, unless its request is still handled."""
        self._is_lost = True
        self._pending = b""
        self.door.remove(self)
        super().connection_lost(exc)
        if not self._is_handling:
            self._release()

    def abort(self, reason: str) -> None:
        """Close the connection at once, without a response."""
        self.door.owner.note_excess(reason)
        self.door.remove(self)
        self._pending = b""
        self.force_close()
        # Closing alone would wait for a client that does not read.
        if self._own_transport is not None:
            self._own_transport.abort()
        if not self._is_handling or self._phase == "body":
            # The handler drops the part of a body that it has read, and fails.
            self._release()

    @property
    def is_expendable(self) -> bool:
        """Tell whether the client sends on, or does not read, during a request."""
        return self._is_held_up or self._phase == "writing"

    @property
    def phase(self) -> Phase:
        """Return what the connection is doing."""
        return self._phase

    def admit(self, amount: int) -> bool:
        """Reserve bytes of the budget until the request has been handled."""
        if self._is_lost or self.transport is None:
            return False
        if not self.door.owner.make_room(amount, self):
            return False
        self.held += amount
        return True

    def check_time(self, now: float, bounds: RequestBounds) -> None:
        """Close the connection if it has been in one phase for too long."""
        phase = self._phase
        if self.transport is None or self.transport.is_closing():
            if phase not in ("closing", "discarding"):
                self._enter("closing")
            phase = self._phase
        reason = find_excess(phase, now - self._since, self._received, bounds)
        if reason:
            self.abort(reason)

    def allow_time(self, seconds: float) -> None:
        """Allow more time, since the process has not run for some."""
        self._since += seconds

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        self._since = self._loop.time()
        self._received = self._progress = 0

    def _release(self) -> None:
        self.door.budget.release(self.held)
        self.held = 0

    # Bytes from the client

    def data_received(self, data: bytes) -> None:
        """Pass on what the parser may get now, and keep the rest."""
        if not data:
            # The reader of a body has made room for what the parser has kept.
            super().data_received(data)
            self._note_body_end()
            if self._pending and not self._reading_paused:
                data, self._pending = self._pending, b""
                self._feed(data)
            return
        self._received += len(data)
        if self._received - self._progress >= MIN_PROGRESS_BYTES:
            self._progress = self._received
            if self._phase in ("idle", "head", "body"):
                self.door.note_progress(self)
        if self._pending:
            data, self._pending = self._pending + data, b""
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        while data and self.transport is not None:
            if self._phase in ("idle", "head"):
                data = self._feed_head(data)
            elif self._phase == "body" and not self._reading_paused:
                data = self._feed_body(data)
            elif self._phase in ("closing", "discarding"):
                self._discard(data)
                return
            else:
                self._hold_up(data)
                return

    def _feed_head(self, data: bytes) -> bytes:
        """Give the parser a complete head and return the bytes behind it."""
        if self._phase == "idle":
            data = self._skip_blank(data)
            if not data:
                return data
            received = self._received
            self._enter("head")
            self._received = received
        limit = self.door.owner.read_bounds().header_bytes
        end = data.find(HEAD_END, 0, limit)
        if end < 0:
            if len(data) >= limit:
                self._refuse_head()
            elif self.held or self.admit(limit):
                self._pending = data
            else:
                self.abort("no room")
            return b""
        head = data[: end + len(HEAD_END)]
        cost = estimate_head(head)
        if cost > self.held and not self.admit(cost - self.held):
            self.abort("no room")
            return b""
        self._has_answered = False
        self._raise_parser_limit(limit)
        super().data_received(head)
        self._find_body()
        rest = data[len(head) :]
        if self._phase == "body":
            # What has come with the head counts for the rate of the body.
            self._received = len(rest)
        return rest

    def _raise_parser_limit(self, limit: int) -> None:
        """Let the parser take heads that a new configuration allows.

        Its limits are fixed, and it is between two requests.
        """
        if limit <= self._parsed_limit:
            return
        self._parsed_limit = limit
        self._parser = HttpRequestParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=limit,
            max_field_size=limit,
            max_headers=limit,
            payload_exception=web.RequestPayloadError,
            auto_decompress=self._decompresses,
            max_msg_queue_size=self._max_msg_queue_size,
        )

    def _skip_blank(self, data: bytes) -> bytes:
        if data[0] not in HEAD_END:
            return data
        rest = data.lstrip(HEAD_END)
        self._discarded += len(data) - len(rest)
        if self._discarded > MAX_BLANK_BYTES:
            self.abort("empty lines")
            return b""
        return rest

    def _find_body(self) -> None:
        """Learn from the parser whether a body follows the head."""
        message, body = self._messages[-1] if self._messages else (None, EMPTY_PAYLOAD)
        self.door.note_handling(self)
        self._discarded = 0
        if body is EMPTY_PAYLOAD or body.is_eof():
            self._enter("handling")
            return
        self._enter("body")
        self._count = self._request_count
        self._bounds_body = body
        self._left = None
        if not message.chunked:
            self._left = int(message.headers.get("Content-Length", 0))
        self.door.note_progress(self)

    def _feed_body(self, data: bytes) -> bytes:
        """Give the parser the next part of a body and return the bytes behind it."""
        end = -1
        if self._left is not None:
            size = min(self._left, len(data))
            self._left -= size
        else:
            # The end of a chunked body is an empty line, and so is the end of its
            # last chunk; the parser tells them apart.
            end = data.find(b"\n\r\n")
            size = len(data) if end < 0 else end + 3
            if end < 0:
                # An end that arrives in two parts must not be passed on in two parts.
                size -= min(2, size - len(data.rstrip(HEAD_END)))
        part, rest = data[:size], data[size:]
        if part:
            super().data_received(part)
        if self._left == 0:
            self._end_body()
        else:
            self._note_body_end()
        if self._left is None and end < 0 and self._phase == "body":
            self._pending = rest
            return b""
        return rest

    def _note_body_end(self) -> None:
        body = self._bounds_body
        if self._phase != "body" or body is None:
            return
        if body.is_eof():
            self._end_body()
        elif body.exception() is not None or self._request_count != self._count:
            # The parser has failed, and reports that as a further request; nothing
            # after this can be distinguished.
            if body.exception() is None:
                body.set_exception(web.RequestPayloadError("invalid body"))
            self._bounds_body = None
            self._enter("handling")

    def _end_body(self) -> None:
        self._bounds_body = None
        self.door.note_handling(self)
        self._enter("handling")
        if self._has_answered:
            self._begin_next()

    def _hold_up(self, data: bytes) -> None:
        """Keep bytes, and read no more of them until they can be passed on."""
        self._pending = data
        if not self._is_held_up and self.transport is not None:
            self._is_held_up = True
            self._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._is_held_up:
            super()._resume_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on, unless earlier bytes wait to be passed on."""
        if self._is_held_up and self._phase == "body":
            self._is_held_up = False
        super().resume_reading(resume_parser)

    def _refuse_head(self) -> None:
        """Answer 431, and read on for a while so that the response arrives."""
        self.door.owner.note_excess("head too large")
        self._release()
        transport = self.transport
        assert transport is not None
        transport.write(
            b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self._enter("discarding")
        if transport.can_write_eof():
            transport.write_eof()

    def _discard(self, data: bytes) -> None:
        self._discarded += len(data)
        if self._discarded > MAX_LINGERING_BYTES:
            self.abort("head too large")

    # Requests and responses

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._is_handling = True
        assert self._raw_handler is not None
        try:
            return await self._raw_handler(request)
        finally:
            self._is_handling = False
            if self._is_lost or self.transport is None:
                self._release()

    async def finish_response(
        self, request: web.BaseRequest, resp: Any, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, and go on to the next request."""
        if self._phase == "handling":
            self._enter("writing")
        result = await super().finish_response(request, resp, start_time)
        self._has_answered = True
        if self._phase == "writing" and not result[1] and result[0].keep_alive:
            self._begin_next()
        return result

    def _begin_next(self) -> None:
        self._release()
        self.has_delivered = True
        self._enter("idle")
        self.door.note_progress(self)
        data, self._pending = self._pending, b""
        self._is_held_up = False
        self._feed(data)
        if not self._is_held_up and not self._reading_paused:
            self._resume_transport_reading()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to invalid HTTP, or to an unexpected error."""
        if isinstance(exc, web.RequestPayloadError):
            status, message = 400, str(exc) or "invalid body"
        is_unexpected = not isinstance(exc, ConnectionError)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR and is_unexpected:
            log_event(events.LOOP_FAILED, task=self.door.name, error=repr(exc))
        reason = f"status {status}" if is_unexpected else "left during a body"
        self.door.owner.note_excess(reason)
        reason = (message or "internal error").splitlines()[0]
        response = web.Response(
            status=status,
            body=msgspec.json.encode({"error": reason}),
            content_type="application/json",
        )
        response.force_close()
        return response
