"""Shared code of the stand-in programs: clock, faults and HTTP servers."""

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
    """Return ``CLOCK_BOOTTIME`` in seconds; all processes of a machine share it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Faults:
    """Faults of one stand-in; each ``POST /_faults`` replaces all of them.

    Parameters
    ----------
    known : Mapping[str, str]
        Name of each fault, and its effect. An unknown name is rejected with 400, so
        that a test with a misspelt fault fails.
    """

    def __init__(self, known: Mapping[str, str]) -> None:
        self._known = dict(known)
        self._active: dict[str, Any] = {}
        self.changed = asyncio.Event()

    def read(self, name: str, default: Any = None) -> Any:
        """Return the value of a fault."""
        return self._active.get(name, default)

    def take(self, name: str) -> bool:
        """Return whether the fault applies to this request.

        ``true`` applies until it is cleared; a number applies to that many requests.
        """
        value = self._active.get(name)
        if isinstance(value, int) and not isinstance(value, bool):
            self._active[name] = value - 1
            if value <= 1:
                del self._active[name]
            return value > 0
        return bool(value)

    def replace(self, faults: Mapping[str, Any]) -> list[str]:
        """Replace all faults, unless some names are unknown; return those names."""
        unknown = sorted(set(faults) - set(self._known))
        if not unknown:
            self._active = {name: value for name, value in faults.items() if value}
            self.changed.set()
            self.changed = asyncio.Event()
        return unknown

    def add_routes(self, application: web.Application) -> None:
        """Add the control path of the faults to an application."""

        async def handle_set_faults(request: web.Request) -> web.Response:
            faults = await request.json()
            unknown = self.replace(faults)
            if unknown:
                content = {"unknown": unknown, "known": self._known}
                return web.json_response(content, status=400)
            return web.json_response({"faults": self._active})

        async def handle_get_faults(_request: web.Request) -> web.Response:
            return web.json_response({"faults": self._active, "known": self._known})

        application.router.add_post(FAULTS_PATH, handle_set_faults)
        application.router.add_get(FAULTS_PATH, handle_get_faults)


def make_application(
    guard: Callable[[web.Request], Awaitable[web.StreamResponse | None]],
) -> web.Application:
    """Return an application that calls the guard before its handlers.

    The guard returns a response, or None to call the handler. Requests to control
    paths bypass it.
    """

    @web.middleware
    async def apply_guard(request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        return await guard(request) or await handler(request)

    return web.Application(middlewares=[apply_guard], client_max_size=MAX_BODY_BYTES)


def abort_connection(request: web.Request) -> web.Response:
    """Reset the connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def stay_silent(request: web.Request) -> web.Response:
    """Send nothing until the client closes the connection."""
    while True:
        await asyncio.sleep(SILENCE_CHECK_S)
        if request.transport is None or request.transport.is_closing():
            return web.Response()


def parse_address(address: str) -> tuple[str, int]:
    """Split ``HOST:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def open_site(application: web.Application, address: str) -> tuple[Any, str]:
    """Serve an application; return its runner and its actual address."""
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
    """Serve one application per address until SIGTERM or SIGINT.

    Prints a JSON line with the actual addresses when all servers listen.
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
    """Print the addresses as a JSON line for the parent process."""
    line = {"address": addresses[0], "addresses": list(addresses)}
    print(json.dumps(line), flush=True)
