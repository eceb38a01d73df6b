"""Load generator process of the benchmarks; prints its figures as JSON."""

from __future__ import annotations

import argparse
import asyncio
import json
import time

import aiohttp
from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
MAX_LATENCY_US = 60 * MICROSECONDS
JOB_BODY = b"x" * 200


async def call(
    session: aiohttp.ClientSession, arguments: argparse.Namespace, due_at: float
) -> tuple[int, float]:
    """Submit a job; return the status and the seconds since it was due."""
    headers = {"Authorization": f"Bearer {arguments.key}"} if arguments.key else {}
    try:
        async with session.post(
            arguments.url, data=JOB_BODY, headers=headers
        ) as answer:
            await answer.read()
            status = answer.status
    except (aiohttp.ClientError, TimeoutError):
        status = 0
    return status, time.perf_counter() - due_at


async def run(arguments: argparse.Namespace) -> dict:
    """Generate closed-loop load, or open-loop load if a rate is given."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    statuses: dict[int, int] = {}

    def record(status: int, seconds: float) -> None:
        statuses[status] = statuses.get(status, 0) + 1
        histogram.record_value(max(1, int(seconds * MICROSECONDS)))

    connector = aiohttp.TCPConnector(limit=arguments.callers)
    async with aiohttp.ClientSession(connector=connector) as session:
        started_at = time.perf_counter()
        ends_at = started_at + arguments.seconds

        async def send_in_turn() -> None:
            while time.perf_counter() < ends_at:
                record(*await call(session, arguments, time.perf_counter()))

        async def send_when_due(due_at: float) -> None:
            record(*await call(session, arguments, due_at))

        if arguments.rate:
            tasks = []
            for index in range(int(arguments.rate * arguments.seconds)):
                due_at = started_at + index / arguments.rate
                await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
                tasks.append(asyncio.create_task(send_when_due(due_at)))
            await asyncio.gather(*tasks)
        else:
            await asyncio.gather(*(send_in_turn() for _ in range(arguments.callers)))
        elapsed = time.perf_counter() - started_at
    return {
        "per_second": statuses.get(200, 0) / elapsed,
        "statuses": statuses,
        "histogram": histogram.encode().decode(),
    }


def main() -> None:
    """Generate load and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("url")
    parser.add_argument("--key", default="")
    parser.add_argument("--callers", type=int, default=48)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rate", type=float, default=0.0, help="arrivals per second")
    print(json.dumps(asyncio.run(run(parser.parse_args()))))


if __name__ == "__main__":
    main()
