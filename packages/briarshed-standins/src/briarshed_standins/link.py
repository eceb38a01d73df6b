"""TCP proxy on loopback that injects faults between two processes.

``python -m briarshed_standins.link --address 127.0.0.1:0`` serves the control paths.
``POST /_links`` with ``{"name", "target"}`` opens a link and returns its address.
``POST /_faults`` maps patterns of link names to faults, and replaces all faults set
before: ``{"entry-1>*": {"cut": true}}``.
"""

from __future__ import annotations

import asyncio
import fnmatch
import random
from collections.abc import Mapping
from contextlib import suppress
from typing import Annotated, Any, Literal

import typer
from aiohttp import web

from briarshed_standins.programs import FAULTS_PATH, parse_address, run_program

FAULTS = {
    "cut": "resets open and new connections",
    "silent": "holds back all bytes; 'to_target' or 'to_client' for one direction",
    "silent_open": "connections that are open carry no more bytes; new ones work",
    "close_after_to_target": "closes a connection after this many bytes to the target",
    "close_after_to_client": "closes a connection after this many bytes to the client",
    "delay_ms": "one-way delay",
    "loss": "share of chunks that arrive after a retransmission, in order",
}
CHUNK_BYTES = 65_536
RETRANSMISSION_S = (0.2, 0.6, 1.4, 3.0)
"""Delays of TCP after one to four lost packets, whose time-out starts at 0.2 s."""

Direction = Literal["to_target", "to_client"]


class _ByteLimitReachedError(Exception):
    """The connection has reached the byte limit of a ``close_after`` fault."""


class Connection:
    """One proxied connection."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Link:
    """A listening address that forwards connections to a target."""

    def __init__(self, name: str, target: str) -> None:
        self.name = name
        self.target = target
        self.sent = {"to_target": 0, "to_client": 0}
        self._faults: dict[str, Any] = {}
        self._changed = asyncio.Event()
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._random = random.Random(name)

    async def open(self) -> str:
        """Listen on an ephemeral port; return the address."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def set_faults(self, faults: Mapping[str, Any]) -> None:
        """Replace the faults of this link."""
        if faults.get("silent_open") and not self._faults.get("silent_open"):
            for connection in self._connections:
                connection.silent = True
        self._faults = dict(faults)
        if faults.get("cut"):
            for connection in list(self._connections):
                connection.reset()
        self._changed.set()
        self._changed = asyncio.Event()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._faults.get("cut"):
            writer.transport.abort()
            return
        try:
            target = await asyncio.open_connection(*parse_address(self.target))
        except OSError:
            writer.transport.abort()
            return
        connection = Connection([writer, target[1]])
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._copy(connection, reader, target[1], "to_target"),
                self._copy(connection, target[0], writer, "to_client"),
            )
        except _ByteLimitReachedError:
            pass
        except OSError:
            connection.reset()
        finally:
            self._connections.discard(connection)
            for one in connection.writers:
                one.close()

    async def _copy(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        sent = 0
        while True:
            data = await reader.read(CHUNK_BYTES)
            await self._wait_until_open(connection, direction)
            if not data:
                break
            await asyncio.sleep(self._choose_delay())
            limit = self._faults.get(f"close_after_{direction}")
            if limit is not None and sent + len(data) >= limit:
                writer.write(data[: max(0, limit - sent)])
                await writer.drain()
                raise _ByteLimitReachedError
            sent += len(data)
            self.sent[direction] += len(data)
            writer.write(data)
            await writer.drain()
        with suppress(OSError):
            writer.write_eof()

    def _choose_delay(self) -> float:
        delay = self._faults.get("delay_ms", 0) / 1000
        if self._random.random() < self._faults.get("loss", 0.0):
            delay += self._random.choice(RETRANSMISSION_S)
        return delay

    async def _wait_until_open(
        self, connection: Connection, direction: Direction
    ) -> None:
        while connection.silent or self._faults.get("silent") in (True, direction):
            await self._changed.wait()


def make_links() -> web.Application:
    """Return an application that serves the control paths of the links."""
    links: dict[str, Link] = {}
    current: dict[str, dict[str, Any]] = {}

    def find_faults(name: str) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for pattern, faults in current.items():
            if fnmatch.fnmatchcase(name, pattern):
                found |= faults
        return found

    async def add_link(request: web.Request) -> web.Response:
        content = await request.json()
        link = Link(content["name"], content["target"])
        links[link.name] = link
        link.set_faults(find_faults(link.name))
        return web.json_response({"name": link.name, "address": await link.open()})

    async def set_faults(request: web.Request) -> web.Response:
        content = await request.json()
        unknown = {name for faults in content.values() for name in faults} - set(FAULTS)
        if unknown:
            answer = {"unknown": sorted(unknown), "known": FAULTS}
            return web.json_response(answer, status=400)
        current.clear()
        current.update(content)
        for link in links.values():
            link.set_faults(find_faults(link.name))
        return web.json_response({"faults": current})

    async def handle_get_counts(_request: web.Request) -> web.Response:
        return web.json_response({name: link.sent for name, link in links.items()})

    application = web.Application()
    application.router.add_post("/_links", add_link)
    application.router.add_get("/_counts", handle_get_counts)
    application.router.add_post(FAULTS_PATH, set_faults)
    return application


def main(address: Annotated[str, typer.Option()] = "127.0.0.1:0") -> None:
    """Serve links until SIGTERM or SIGINT."""
    run_program(lambda: [make_links()], [address])


if __name__ == "__main__":
    typer.run(main)
