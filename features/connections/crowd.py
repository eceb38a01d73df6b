"""A crowd of clients that keep to no limit; a program of its own.

It connects COUNT clients to HOST:PORT, lets each send what KIND names, prints ``sent``
once all have sent it or can send no more, and keeps the connections open until its
standard input is closed. HEAD is the start of a valid request with a body, in hex. With
``tls`` as a fifth argument the clients complete a TLS handshake first.
"""

from __future__ import annotations

import asyncio
import re
import secrets
import ssl
import sys
from collections.abc import Callable, Iterator

BODY_BYTES = 262_144
PIECE = b" " * 16_384
LONG_LINE = b"X-Line: " + b"x" * 3_990 + b"\r\n"
SMALL_CHUNKS = 30_000
STALL_S = 3.0
"""Time after which a client whose bytes are not taken gives up sending."""


def _send_pieces(head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    for _ in range(BODY_BYTES // len(PIECE) - 1):
        yield PIECE
    yield PIECE[:-1]


def _send_whole(head: bytes) -> Iterator[bytes]:
    length = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield head + length + b" " * (BODY_BYTES - 1)


def _send_complete(head: bytes) -> Iterator[bytes]:
    yield b"".join(_send_whole(head)) + b" "


def _send_large_chunks(head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(BODY_BYTES // len(PIECE)):
        yield b"%x\r\n" % len(PIECE) + PIECE + b"\r\n"


def _send_small_chunks(head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(SMALL_CHUNKS // 1_000):
        yield b"2\r\n  \r\n" * 1_000


def _send_endless_head(head: bytes) -> Iterator[bytes]:
    yield head
    for _ in range(120):
        yield LONG_LINE


def _send_large_head(head: bytes) -> Iterator[bytes]:
    yield head + LONG_LINE * 120 + b"Content-Length: 0\r\n\r\n"


def _send_empty_lines(head: bytes) -> Iterator[bytes]:
    for _ in range(16):
        yield b"\r\n" * 8_192


def _send_many_requests(head: bytes) -> Iterator[bytes]:
    for _ in range(20):
        yield (head + b"Content-Length: 0\r\n\r\n") * 100


def _send_job(head: bytes) -> Iterator[bytes]:
    path = b"/q/" + secrets.token_hex(8).encode()
    body = b'{"spec":"x","steps":[' + b'{"count":1},' * 20_000 + b'{"count":1}]}'
    head = re.sub(rb"/q/\w*", path, head)
    yield head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _send_handshake(head: bytes) -> Iterator[bytes]:
    yield b"\x16\x03\x01\x02\x00\x01\x00"


def _send_nothing(head: bytes) -> Iterator[bytes]:
    return iter(())


KINDS: dict[str, Callable[[bytes], Iterator[bytes]]] = {
    "bodies in pieces": _send_pieces,
    "bodies at once": _send_whole,
    "complete bodies": _send_complete,
    "large chunks": _send_large_chunks,
    "small chunks": _send_small_chunks,
    "heads without end": _send_endless_head,
    "heads over the limit": _send_large_head,
    "empty lines": _send_empty_lines,
    "requests without reading": _send_many_requests,
    "nothing": _send_nothing,
    "jobs of many steps": _send_job,
    "starts of a handshake": _send_handshake,
}


def _make_context() -> ssl.SSLContext:
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


async def _send(
    host: str,
    port: int,
    kind: str,
    head: bytes,
    open_: list,
    context: ssl.SSLContext | None,
) -> None:
    try:
        async with asyncio.timeout(STALL_S):
            _, writer = await asyncio.open_connection(host, port, limit=1, ssl=context)
        open_.append(writer)
        for part in KINDS[kind](head):
            writer.write(part)
            async with asyncio.timeout(STALL_S):
                await writer.drain()
            await asyncio.sleep(0)
    except (OSError, TimeoutError):
        # The door has closed the connection, or reads no more from it.
        return


async def _run(address: str, kind: str, count: int, head: bytes, has_tls: bool) -> None:
    host, _, port = address.rpartition(":")
    kinds = list(KINDS)[:10] if kind == "everything" else [kind]
    open_: list[asyncio.StreamWriter] = []
    context = _make_context() if has_tls else None
    await asyncio.gather(
        *(
            _send(host, int(port), kinds[number % len(kinds)], head, open_, context)
            for number in range(count)
        )
    )
    print("sent", flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    where, what, many, start, *rest = sys.argv[1:]
    asyncio.run(_run(where, what, int(many), bytes.fromhex(start), rest == ["tls"]))
