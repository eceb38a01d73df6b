"""Metrics sent to statsd; docs/metrics.md lists their names and units."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Self

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware
from statsd import StatsClient

from briarshed.byte_admission import ClientsReport
from briarshed.settings import StatsdSettings
from briarshed_entry import clock

MS_PER_S = 1_000


class Metrics:
    """Sends counters, timings and gauges over UDP; does nothing without settings.

    Parameters
    ----------
    settings : StatsdSettings or None
        Address, prefix and interval.
    read_gauges : callable
        Returns the values of the gauges, by name; called at each interval.
    """

    def __init__(
        self,
        settings: StatsdSettings | None,
        read_gauges: Callable[[], Mapping[str, float]],
    ) -> None:
        self._settings = settings
        self._read_gauges = read_gauges
        self._client: StatsClient | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        if self._settings is not None:
            host, _, port = self._settings.address.rpartition(":")
            self._client = StatsClient(
                host.strip("[]"), int(port), prefix=self._settings.prefix
            )
            self._task = asyncio.create_task(self._send_gauges())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._client is not None:
            self._client.close()

    def count(self, name: str) -> None:
        """Increment a counter."""
        if self._client is not None:
            self._client.incr(name)

    def record_time(self, name: str, seconds: float) -> None:
        """Send a duration, in milliseconds as statsd expects."""
        if self._client is not None:
            self._client.timing(name, seconds * MS_PER_S)

    async def _send_gauges(self) -> None:
        assert self._settings is not None
        assert self._client is not None
        while True:
            for name, value in self._read_gauges().items():
                self._client.gauge(name, value)
            await asyncio.sleep(self._settings.interval_ms / MS_PER_S)


def name_client_gauges(report: ClientsReport) -> dict[str, float]:
    """Return the gauges of what clients use, by name."""
    gauges = {}
    for door, held in report.held_bytes.items():
        gauges[f"clients.held_bytes.{door}"] = float(held)
        gauges[f"clients.budget_bytes.{door}"] = float(report.budget_bytes[door])
    for (door, phase), count in report.connections.items():
        gauges[f"clients.connections.{door}.{phase}"] = float(count)
    return gauges


def make_middleware(metrics: Metrics) -> Middleware:
    """Return a middleware that counts responses by status and records latency."""

    @web.middleware
    async def measure(request: web.Request, handler: Handler) -> web.StreamResponse:
        started_at = clock.now()
        response = await handler(request)
        if request.method == "POST":
            metrics.count(f"jobs.answers.{response.status}")
            metrics.record_time("jobs.latency", clock.now() - started_at)
        return response

    return measure
