"""Minimal aiohttp reverse proxy: the baseline for the overhead of an entry."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json

import aiohttp
from aiohttp import web


def make_application(addresses: list[str], connections: int) -> web.Application:
    """Return an application that forwards jobs to the endpoints round-robin."""
    order = itertools.cycle(addresses)
    attempts = itertools.count()

    async def hold_session(application: web.Application):
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=connections)
        async with aiohttp.ClientSession(connector=connector) as session:
            application["session"] = session
            yield

    async def forward(request: web.Request) -> web.Response:
        body = await request.read()
        url = f"http://{next(order)}/tasks/bare-{next(attempts)}"
        headers = {
            "Briarshed-Job-Id": "bare",
            "Briarshed-Team": "",
            "Briarshed-Queue": request.match_info["queue"],
            "Briarshed-Lease-Ms": "30000",
            "Briarshed-Idempotent": "false",
        }
        session = request.app["session"]
        async with session.post(url, data=body, headers=headers) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    application = web.Application()
    application.cleanup_ctx.append(hold_session)
    application.router.add_post("/queues/{queue}/jobs", forward)
    return application


async def serve(application: web.Application) -> None:
    """Serve on an ephemeral port and print the address as JSON."""
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    print(json.dumps({"address": f"{host}:{port}"}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", required=True, help="comma-separated addresses")
    parser.add_argument("--connections", type=int, default=64)
    arguments = parser.parse_args()
    addresses = arguments.endpoints.split(",")
    asyncio.run(serve(make_application(addresses, arguments.connections)))


if __name__ == "__main__":
    main()
