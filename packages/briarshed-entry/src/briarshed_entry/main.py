"""Entry point of ``briarshed-entry``: set-up, signals and graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Annotated

import typer
from aiohttp import web
from returns.pipeline import is_successful

from briarshed.byte_admission import RequestBounds, size_share
from briarshed.events import (
    ENTRY_NOT_READY,
    ENTRY_READY,
    ENTRY_STARTED,
    ENTRY_STOPPED,
    ENTRY_STOPPING,
)
from briarshed.exceptions import BriarshedError, SettingsError
from briarshed.settings import Settings, load_settings
from briarshed_entry import callers, operators
from briarshed_entry.bounded_protocol import BoundedConnection
from briarshed_entry.connections import Connections, Door
from briarshed_entry.coordinator import Coordinator
from briarshed_entry.endpoints import Endpoints
from briarshed_entry.logs import configure_logs, log_event
from briarshed_entry.maintenance import Maintenance
from briarshed_entry.metrics import Metrics, make_middleware, name_client_gauges
from briarshed_entry.platform import PlatformClient
from briarshed_entry.replica import Replica
from briarshed_entry.scheduler import Scheduler
from briarshed_entry.store import StoreClient

MS_PER_S = 1_000
READINESS_CHECK_S = 0.5
OPERATORS_DOOR = 8
"""Part of the callers' connections, of which operators have as many more."""

application = typer.Typer(add_completion=False)


@application.command()
def start(
    settings_file: Annotated[Path, typer.Argument(help="JSON with comments.")],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Serve callers, operators and peers until SIGTERM or SIGINT."""
    result = load_settings(settings_file)
    if not is_successful(result):
        raise SettingsError(result.failure())
    if check:
        typer.echo(f"{settings_file}: no findings")
        return
    settings = result.unwrap()
    configure_logs(settings.log)
    asyncio.run(serve(settings))


def run() -> None:
    """Run the program; print errors and exit with their codes."""
    try:
        application()
    except BriarshedError as error:
        typer.echo(error.format_message(), err=True)
        sys.exit(error.exit_code)


async def serve(settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        store = await enter(StoreClient(settings.store))
        replica = await enter(Replica(settings, store))
        coordinator = await enter(Coordinator(settings, replica, store))
        endpoints = await enter(Endpoints(settings))
        scheduler = Scheduler(settings, replica, coordinator, endpoints)
        if settings.platform is not None:
            platform = await enter(PlatformClient(settings.platform))
            check = _make_check(settings, endpoints)
            await enter(Maintenance(settings, replica, coordinator, platform, check))

        def read_gauges() -> dict[str, float]:
            return {
                "authority": float(coordinator.find_authority().granted),
                "jobs.held": float(len(scheduler.list_jobs())),
                "configuration.version": float(replica.configuration["version"]),
                "fleet.version": float(replica.fleet["version"]),
                **name_client_gauges(connections.measure()),
            }

        metrics = Metrics(settings.statsd, read_gauges)
        connections = await enter(make_connections(settings, metrics.count))
        await enter(metrics)
        caller_application = callers.make_application(
            settings, replica, coordinator, scheduler
        )
        caller_application.middlewares.append(make_middleware(metrics))
        operator_application = operators.make_application(
            settings, replica, coordinator, scheduler, store.read_prefix
        )
        caller_server = await enter(
            callers.CallerServer(
                settings, caller_application, connections.open_door("callers")
            )
        )
        operators_address = await enter(
            _serve_application(
                operator_application,
                settings.operators.address,
                connections.open_door("operators", OPERATORS_DOOR),
            )
        )
        log_event(ENTRY_STARTED, name=settings.name, data_centre=settings.data_centre)
        # Read by a launcher that lets the system choose the ports.
        print(
            json.dumps(
                {"callers": caller_server.address, "operators": operators_address}
            ),
            flush=True,
        )
        readiness_task = asyncio.create_task(_log_readiness(settings, coordinator))
        await stopping.wait()
        readiness_task.cancel()
        await _stop(settings, coordinator, scheduler)


def make_connections(settings: Settings, count: Callable[[str], None]) -> Connections:
    """Return the owner of all connections of callers and operators."""
    chosen = settings.connections
    bounds = RequestBounds(
        chosen.max_header_bytes,
        chosen.header_timeout_ms / MS_PER_S,
        chosen.idle_timeout_ms / MS_PER_S,
    )
    has_tls = settings.callers.tls is not None
    return Connections(
        size_share(chosen.memory_mb, chosen.max_descriptors, has_tls),
        lambda: bounds,
        lambda reason: count(f"clients.limited.{reason.replace(' ', '_')}"),
    )


def _make_check(
    settings: Settings, endpoints: Endpoints
) -> Callable[[str], Awaitable[bool]]:
    timeout = settings.endpoints.probe_timeout_ms / MS_PER_S

    async def check(address: str) -> bool:
        health = await endpoints.check_health(address, timeout)
        return health is not None and health.state == "serving"

    return check


async def _log_readiness(settings: Settings, coordinator: Coordinator) -> None:
    before = None
    while True:
        reason = coordinator.find_readiness()
        if reason != before and reason:
            log_event(ENTRY_NOT_READY, name=settings.name, reason=reason)
        elif reason != before:
            log_event(ENTRY_READY, name=settings.name)
        before = reason
        await asyncio.sleep(READINESS_CHECK_S)


async def _stop(
    settings: Settings, coordinator: Coordinator, scheduler: Scheduler
) -> None:
    log_event(ENTRY_STOPPING, name=settings.name, reason="a signal was received")
    # The load balancer sends requests until it has noticed that readyz fails.
    scheduler.announce_stop()
    await asyncio.sleep(settings.timing.balancer_notice_ms / MS_PER_S)
    await scheduler.drain()
    await coordinator.leave()
    unfinished = len(scheduler.list_jobs())
    log_event(ENTRY_STOPPED, name=settings.name, jobs=unfinished)


@asynccontextmanager
async def _serve_application(
    served: web.Application, address: str, door: Door
) -> AsyncIterator[str]:
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(served)
    await runner.setup()
    loop = asyncio.get_running_loop()

    def make_protocol() -> BoundedConnection:
        assert runner.server is not None
        return BoundedConnection(runner.server, door, loop=loop)

    server = await loop.create_server(
        make_protocol, host.strip("[]"), int(port), backlog=door.backlog
    )
    try:
        bound = server.sockets[0].getsockname()
        yield f"{bound[0]}:{bound[1]}"
    finally:
        server.close()
        await runner.cleanup()


if __name__ == "__main__":
    run()
