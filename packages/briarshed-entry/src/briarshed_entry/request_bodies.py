"""Reads the bodies of requests as far as their bytes are admitted."""

from __future__ import annotations

import asyncio

from aiohttp import StreamReader, web

from briarshed.byte_admission import PART_BYTES, estimate_decoded
from briarshed.exceptions import BodyTimeoutError, BodyTooLargeError, NoRoomError
from briarshed_entry.bounded_protocol import BoundedConnection

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def defer_continue(request: web.Request) -> None:
    """Leave the answer to ``Expect: 100-continue`` to the reader of the body."""
    if request.headers.get("Expect", "").lower() != "100-continue":
        raise web.HTTPExpectationFailed


async def read_body(request: web.BaseRequest, limit: int, timeout: float) -> bytes:
    """Return the body of a request, as far as its bytes are admitted.

    Parameters
    ----------
    limit : int
        Largest body in bytes.
    timeout : float
        Time within which it must arrive, in seconds.

    Raises
    ------
    BodyTooLargeError
        If it is declared to be larger, or is.
    BodyTimeoutError
        If it does not arrive in time.
    NoRoomError
        If the budget of the process does not allow it.
    """
    content = request.content
    if (request.content_length or 0) > limit:
        raise BodyTooLargeError(f"body over {limit} bytes")
    if content.is_eof():
        body = content.read_nowait()
        check_body(request, body, len(body), limit)
    else:
        invite_body(request)
        try:
            async with asyncio.timeout(timeout):
                body = await _collect(request, content, limit)
        except TimeoutError as error:
            raise BodyTimeoutError("the body did not arrive in time") from error
    if not _admit(request, estimate_decoded(body)):
        raise NoRoomError("no memory for the request")
    return body


async def _collect(
    request: web.BaseRequest, content: StreamReader, limit: int
) -> bytes:
    parts: list[bytes] = []
    received = 0
    try:
        async for part in content.iter_any():
            received += len(part)
            check_body(request, part, received, limit)
            parts.append(part)
        return b"".join(parts)
    finally:
        # The error of a lost connection is part of a reference cycle with this frame.
        parts.clear()


def check_body(
    request: web.BaseRequest, part: bytes, received: int, limit: int
) -> None:
    """Admit a part of a body.

    Raises
    ------
    BodyTooLargeError, NoRoomError
        If the body is too large, or the budget of the process does not allow it.
    """
    if received > limit:
        raise BodyTooLargeError(f"body over {limit} bytes")
    if part and not _admit(request, len(part) + PART_BYTES):
        raise NoRoomError("no memory for the body")


def _admit(request: web.BaseRequest, amount: int) -> bool:
    connection = request.protocol
    return not isinstance(connection, BoundedConnection) or connection.admit(amount)


def invite_body(request: web.BaseRequest) -> None:
    """Tell a client that waits for it to send its body."""
    expected = request.headers.get("Expect", "").lower()
    if expected == "100-continue" and request.transport is not None:
        request.transport.write(CONTINUE)
