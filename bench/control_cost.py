"""Cost of membership, authority and grants at rest, for each entry.

All entries run in this process and the store's stand-in in another one. The bytes are
those of one entry's TCP connections in both directions, without headers of TCP and IP,
counted by relays; the processor time is measured in a run without relays.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import socket
import sys
import time
from collections import Counter
from contextlib import AsyncExitStack

import zmq
from returns.result import Success

from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY
from briarshed.settings import (
    CallersSettings,
    LogSettings,
    OperatorsSettings,
    PeersSettings,
    Settings,
    StoreSettings,
)
from briarshed_entry.coordinator import Coordinator
from briarshed_entry.logs import configure_logs
from briarshed_entry.replica import Replica
from briarshed_entry.store import StoreClient

ENTRIES = 16
TEAMS = 130
INSTANCES = 720
LIMIT = 64
SETTLE_S = 8.0
CHUNK_BYTES = 65_536


class Relay:
    """Relays one address and counts the bytes by direction."""

    def __init__(self, target: str, kind: str, counts: Counter[str]) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._kind = kind
        self._counts = counts

    async def open(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        return "127.0.0.1:" + str(self._server.sockets[0].getsockname()[1])

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            other = await asyncio.open_connection(self._host, int(self._port))
        except OSError:
            # The entry behind it has closed its port at the end of the run.
            writer.close()
            return
        await asyncio.gather(self._copy(reader, other[1]), self._copy(other[0], writer))

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            self._counts[self._kind] += len(data)
            writer.write(data)
        writer.close()


def make_settings(count: int, url: str) -> list[Settings]:
    """Return the settings of entries on free ports with new CURVE keys."""
    keys = [tuple(key.decode() for key in zmq.curve_keypair()) for _ in range(count)]
    names = [f"entry-{number:02d}" for number in range(count)]
    allowed = {name: public for name, (public, _) in zip(names, keys, strict=True)}
    chosen = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in chosen]
    for one in chosen:
        one.close()
    return [
        Settings(
            name,
            f"dc{number % 4 + 1}",
            CallersSettings("127.0.0.1:1"),
            OperatorsSettings("127.0.0.1:1", {}),
            PeersSettings(addresses[number], *keys[number], allowed),
            StoreSettings(url),
        )
        for number, name in enumerate(names)
    ]


async def add_relays(settings: list[Settings], counts: Counter[str]) -> list[Settings]:
    """Route the first entry's traffic through relays that count."""
    first, *others = settings
    store = await Relay(first.store.url.removeprefix("http://"), "store", counts).open()
    to_first = await Relay(first.peers.address, "peers", counts).open()
    routes = {
        other.name: await Relay(other.peers.address, "peers", counts).open()
        for other in others
    }
    routed = first._replace(
        store=first.store._replace(url=f"http://{store}"),
        peers=first.peers._replace(routes=routes),
    )
    return [
        routed,
        *(
            other._replace(peers=other.peers._replace(routes={first.name: to_first}))
            for other in others
        ),
    ]


def fill(document: dict) -> Success:
    """Return the configuration with its teams."""
    team = {"share": 1.0, "limit": LIMIT}
    teams = {f"team-{number:03d}": team for number in range(TEAMS)}
    return Success({**document, "teams": teams})


def fill_fleet(document: dict) -> Success:
    """Return the fleet with its instances."""
    instance = {
        "pool": "pool-1",
        "state": "serving",
        "rack": "r1",
        "data_centre": "dc1",
        "address": "127.0.0.1:9000",
        "since": 0.0,
        "target_pool": None,
        "wave": None,
        "operation": None,
    }
    names = (f"i-{number}" for number in range(INSTANCES))
    return Success({**document, "instances": dict.fromkeys(names, instance)})


async def run(count: int, seconds: float, relayed: bool) -> str:
    """Run the entries at rest; return a line of figures."""
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "briarshed_standins.store", "--address", "127.0.0.1:0"),
        stdout=asyncio.subprocess.PIPE,
    )
    assert program.stdout is not None
    try:
        printed = json.loads(await program.stdout.readline())
        url = str(printed.get("address") or printed.get("url") or printed)
        url = url if url.startswith("http") else f"http://{url}"
        return await measure(count, seconds, relayed, url)
    finally:
        program.terminate()
        await program.wait()


async def measure(count: int, seconds: float, relayed: bool, url: str) -> str:
    """Measure one run."""
    counts: Counter[str] = Counter()
    settings = make_settings(count, url)
    if relayed:
        settings = await add_relays(settings, counts)
    async with AsyncExitStack() as stack:
        replicas = []
        coordinators = []
        for one in settings:
            store = await stack.enter_async_context(StoreClient(one.store))
            replicas.append(await stack.enter_async_context(Replica(one, store)))
            coordinator = Coordinator(one, replicas[-1], store)
            coordinators.append(await stack.enter_async_context(coordinator))
        await asyncio.sleep(SETTLE_S / 2)
        for key, apply in ((CONFIGURATION_KEY, fill), (FLEET_KEY, fill_fleet)):
            result = await replicas[0].change(key, apply, f"fill-{key}")
            result.unwrap()
        await asyncio.sleep(SETTLE_S * 2)
        counts.clear()
        used, started = time.process_time(), time.monotonic()
        await asyncio.sleep(seconds)
        wall = time.monotonic() - started
        core = (time.process_time() - used) / wall / count
        fresh = sum(one.find_authority().granted for one in coordinators)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    if not relayed:
        return (
            f"{count} entries, {TEAMS} teams: {core:.2%} of a core an entry,"
            f" {memory:.0f} MB for all in one process, {fresh} have authority"
        )
    both = {kind: f"{total / wall:.0f}" for kind, total in sorted(counts.items())}
    total = counts.total() / wall
    return f"{count} entries, {TEAMS} teams: {total:.0f} B/s of one entry, {both}"


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, nargs="*", default=[9, ENTRIES])
    arguments = parser.parse_args()
    configure_logs(LogSettings(level="ERROR"))
    for count in arguments.entries:
        for relayed in (False, True):
            print(asyncio.run(run(count, arguments.seconds, relayed)), flush=True)


if __name__ == "__main__":
    main()
