"""Stand-in for one worker, as a process of its own.

    python3 worker.py --id NAME --address IP:PORT --store IP:PORT --pool POOL ...

It follows the pages: fencing tokens, a lease on its own steady clock, lists of runs and
ends, and a registration in the store that is refreshed at each interval. The `spec` of
a job tells what its work units do: ``run SECONDS`` ends as `done` after that time, and
``last`` is at work after `START_UP_S` and runs until it is stopped. ``POST /_end`` of a
test ends a run in a given way.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import signal
import time
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web

START_UP_S = 0.5
STOP_S = 0.05
HEARTBEAT_S = 1.5
MAX_LISTED_ENDS = 500


class Worker:
    """One incarnation of a worker; it holds nothing of an earlier one."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.token = 0
        self.deadline = 0
        self.running: dict[tuple[str, int], dict[str, Any]] = {}
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.highest: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.started_at = time.monotonic()

    def record(self, what: str, **fields: Any) -> None:
        """Append an event to the record of the test."""
        row = {"at": time.time(), "worker": self.options.id, "what": what, **fields}
        with open(self.options.record, "a", encoding="utf-8") as file:
            file.write(json.dumps(row) + "\n")

    def read_clock(self) -> int:
        """Return the steady clock in ms."""
        return int((time.monotonic() - self.started_at) * 1000) + 1

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def expire(self) -> None:
        """End everything when the lease has expired."""
        if self.read_clock() > self.deadline:
            for key in list(self.running):
                self.end(key, "lapsed")

    def end(self, key: tuple[str, int], how: str) -> None:
        """End a run and list its end."""
        if self.running.pop(key, None) is None:
            return
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.last_end += 1
        self.ended.append([self.last_end, *key, how, ""])
        self.record("end", unit=key[0], run=key[1], how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def end_later(self, seconds: float, key: tuple[str, int], how: str) -> None:
        """End a run after some time, unless it has ended."""
        await asyncio.sleep(seconds)
        self.expire()
        self.end(key, how)

    async def watch_lease(self) -> None:
        """Expire runs in time."""
        while True:
            await asyncio.sleep(0.05)
            self.expire()

    def extend(self, deadline: int) -> None:
        """Extend the lease, at most to the longest that is allowed."""
        most = self.read_clock() + self.options.max_hold_ms
        self.deadline = max(self.deadline, min(deadline, most))

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one call."""
        body = json.loads(await request.read() or b"{}")
        if request.path == "/_end":
            self.end((body["unit"], body["run"]), body["how"])
            return web.json_response({})
        if (
            request.headers.get("X-Expected-Instance", self.options.id)
            != self.options.id
        ):
            return self.answer(421)
        self.expire()
        if body.get("fencing-token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = body.get("fencing-token", 0)
        if request.path == "/api/run-start":
            return self.start(body)
        if request.path == "/api/run-stop":
            return self.stop(body)
        if request.path == "/api/hold":
            return await self.hold(body)
        if request.path == "/api/pace":
            return self.answer(200)
        return self.answer(404)

    def answer(self, status: int, **fields: Any) -> web.Response:
        """Return an answer with the clock."""
        return web.json_response(
            {**fields, "clock-ms": self.read_clock()}, status=status
        )

    def start(self, body: dict[str, Any]) -> web.Response:
        """Start a run."""
        key = body["task"], body["run"]
        if body["deadline-ms"] < self.read_clock():
            return self.answer(409, reason="late")
        self.extend(body["deadline-ms"])
        if key in self.running:
            return self.answer(200)
        if body["run"] <= self.highest.get(body["task"], 0):
            return self.answer(409, reason="old")
        verb, _, seconds = body["spec"].partition(" ")
        length = float(seconds) if verb == "run" else START_UP_S
        self.running[key] = {"at": time.monotonic(), "length": length}
        self.record("start", unit=key[0], run=key[1], token=body["fencing-token"])
        if verb == "run":
            self.spawn(self.end_later(length, key, "done"))
        return self.answer(200)

    def stop(self, body: dict[str, Any]) -> web.Response:
        """Stop a run."""
        unit, run = body["task"], body["run"]
        self.highest[unit] = max(self.highest.get(unit, 0), run)
        for key in list(self.running):
            if key[0] == unit and key[1] <= run:
                self.spawn(self.end_later(STOP_S, key, "stopped"))
        return self.answer(200)

    async def hold(self, body: dict[str, Any]) -> web.Response:
        """Extend the lease and list runs and ends."""
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
        seen = body.get("last-seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("wait-ms"):
            changed = self.changed
            try:
                async with asyncio.timeout(body["wait-ms"] / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        self.expire()
        now = time.monotonic()
        rows = [
            [*key, "", min(100, int(100 * (now - row["at"]) / row["length"])), 0]
            for key, row in self.running.items()
        ]
        return self.answer(
            200, running=rows, ended=self.ended[:MAX_LISTED_ENDS], born=self.born
        )

    async def register(self) -> None:
        """Write the registration at each interval."""
        options = self.options
        value = {
            "backend": options.pool,
            "address": options.address,
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 0,
            "born": self.born,
            "machine": f"m-{options.id}",
            "capacity": {"cpu": options.cpu, "mem-mb": 16_000, "gpus": 0},
            "labels": ["a", options.rack],
        }
        async with ClientSession(timeout=ClientTimeout(total=2.0)) as session:
            while True:
                value["sequence"] += 1
                text = base64.b64encode(json.dumps(value).encode()).decode()
                body = {"key": f"servers/{options.id}", "value": text}
                try:
                    url = f"http://{options.store}/api/kv-put"
                    async with session.post(url, json=body):
                        pass
                except (ClientError, TimeoutError):
                    await asyncio.sleep(0.2)
                    continue
                await asyncio.sleep(HEARTBEAT_S)


async def serve(options: argparse.Namespace) -> None:
    """Serve until the process is killed."""
    worker = Worker(options)
    runner = web.ServerRunner(web.Server(worker.handle, access_log=None))
    await runner.setup()
    host, _, port = options.address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    worker.record("up", born=worker.born)
    worker.spawn(worker.watch_lease())
    worker.spawn(worker.register())
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "address", "store", "pool", "rack", "record"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--cpu", type=int, default=4_000)
    parser.add_argument("--max-hold-ms", type=int, default=10_000)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
