"""What every stand-in program shares: the clock, faults, and how it is served."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Any

from aiohttp import web

FAULTS_PATH = "/_faults"
CONTROL_PREFIX = "/_"
SILENCE_CHECK_S = 0.05
SHUTDOWN_S = 0.2
MAX_BODY_BYTES = 16_777_216


def now() -> float:
    """Return seconds of ``CLOCK_BOOTTIME``, which all processes of a machine share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Faults:
    """Faults of one stand-in, replaced as a whole by each ``POST /_faults``.

    Parameters
    ----------
    known : Mapping[str, str]
        Name of each fault, and what it does. An unknown name is answered with 400,
        so a misspelt fault cannot pass for a fault that had no effect.
    """

    def __init__(self, known: Mapping[str, str]) -> None:
        self._known = dict(known)
        self._active: dict[str, Any] = {}
        self.changed = asyncio.Event()

    def read(self, name: str, default: Any = None) -> Any:
        """Return the value of a fault."""
        return self._active.get(name, default)

    def take(self, name: str) -> bool:
        """Return whether the fault applies now.

        ``true`` applies until it is cleared; a number applies that many times.
        """
        value = self._active.get(name)
        if isinstance(value, int) and not isinstance(value, bool):
            self._active[name] = value - 1
            if value <= 1:
                del self._active[name]
            return value > 0
        return bool(value)

    def replace(self, faults: Mapping[str, Any]) -> list[str]:
        """Replace all faults; return the unknown names, on which nothing changes."""
        unknown = sorted(set(faults) - set(self._known))
        if not unknown:
            self._active = {name: value for name, value in faults.items() if value}
            self.changed.set()
            self.changed = asyncio.Event()
        return unknown

    def add_routes(self, application: web.Application) -> None:
        """Serve the control path of the faults."""

        async def answer_post(request: web.Request) -> web.Response:
            faults = await request.json()
            unknown = self.replace(faults)
            if unknown:
                content = {"unknown": unknown, "known": self._known}
                return web.json_response(content, status=400)
            return web.json_response({"faults": self._active})

        async def answer_get(_request: web.Request) -> web.Response:
            return web.json_response({"faults": self._active, "known": self._known})

        application.router.add_post(FAULTS_PATH, answer_post)
        application.router.add_get(FAULTS_PATH, answer_get)


def make_application(
    guard: Callable[[web.Request], Awaitable[web.StreamResponse | None]],
) -> web.Application:
    """Return an application whose requests, but for control ones, pass the guard.

    The guard returns a response of its own, or None to let the handler answer.
    """

    @web.middleware
    async def apply_guard(request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        return await guard(request) or await handler(request)

    return web.Application(middlewares=[apply_guard], client_max_size=MAX_BODY_BYTES)


def abort_connection(request: web.Request) -> web.Response:
    """Reset the connection; the response returned is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def stay_silent(request: web.Request) -> web.Response:
    """Send nothing for as long as the caller keeps the connection open."""
    while True:
        await asyncio.sleep(SILENCE_CHECK_S)
        if request.transport is None or request.transport.is_closing():
            return web.Response()


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``HOST:PORT``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def open_site(application: web.Application, address: str) -> tuple[Any, str]:
    """Serve an application; return its runner and the address it listens on."""
    host, port = parse_address(address)
    runner = web.AppRunner(
        application, access_log=None, shutdown_timeout=SHUTDOWN_S, handle_signals=False
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def run_program(
    make_applications: Callable[[], Iterable[web.Application]],
    addresses: Sequence[str],
) -> None:
    """Serve one application an address until a signal arrives.

    One JSON line with the actual addresses is printed when all of them listen.
    """

    async def serve() -> None:
        runners = []
        listening = []
        for application, wanted in zip(make_applications(), addresses, strict=True):
            runner, address = await open_site(application, wanted)
            runners.append(runner)
            listening.append(address)
        print_listening(listening)
        await wait_for_signal()
        for runner in runners:
            await runner.cleanup()

    asyncio.run(serve())


def print_listening(addresses: Sequence[str]) -> None:
    """Print the JSON line that tells the parent process where to connect."""
    line = {"address": addresses[0], "addresses": list(addresses)}
    print(json.dumps(line), flush=True)
