"""A small deployment on loopback: entries of the deploy file, and stand-ins.

The entries run as separate processes with the command of `deploy/system.toml`, and so
do the workers. The store and the machine list are the project's stand-ins, in this
process.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from briarshed_platform_standins.instances import InstancesStandin
from briarshed_platform_standins.store import StoreStandin

ROOT = Path(os.environ["REVIEW_ROOT"])
HELD, BROKEN, NOT_RUN = 0, 1, 2

INTERVALS_OF_SILENCE = 3
HEARTBEAT_S = 1.5
RESTART_S = 0.5
"""Delay after which the platform restarts an entry that has ended."""

CALL_TIMEOUT_S = 4.0
READY_TIMEOUT_S = 25.0

WAIT_S = 40.0
"""Longer than `recovery-s` (12 s) and `finish_s` (14 s) together."""

FOR_S = 3.0
"""The rule LOST: for 3 s, a job has nothing running."""

LEADER_KEY = "briarshed/leader"

SETTINGS = """node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r"
internal-ports = [{port}, {last}]
seeds = []
bootstrap = true
discovery = "platform"
orders = "invocation"
[zones]
z1 = "r"
[listen-addrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
max-hold-ms = 10000
stop-grace-ms = 200
gang-wait-ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice-ms = 4500
migrate-s = 1.5
maintenance-s = 2
enforce-fencing = true
lease-ms = 3000
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
retention-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
[cloud-api]
address = "{instances}"
rate-per-s = 64.0
duties = []
duty-per-s = 64.0
"""


class CannotRunError(Exception):
    """The deployment did not come up."""


_reserved: set[int] = set()
"""Ports that were returned before, which their processes may not have opened yet."""


def find_ports(count: int) -> int:
    """Return the first of some consecutive free ports."""
    for _ in range(200):
        first = 20_000 + secrets.randbelow(11_000)
        ports = range(first, first + count)
        if not _reserved.isdisjoint(ports):
            continue
        opened = []
        try:
            for port in ports:
                probe = socket.socket()
                opened.append(probe)
                probe.bind(("127.0.0.1", port))
            _reserved.update(ports)
            return first
        except OSError:
            continue
        finally:
            for probe in opened:
                probe.close()
    raise CannotRunError("no free ports")


class Process:
    """A process that the test started."""

    def __init__(
        self, name: str, command: list[str], env: dict[str, str], log: Path
    ) -> None:
        self.name = name
        self._command = command
        self._env = env
        self._log = log
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self.popen = subprocess.Popen(
                self._command, cwd=ROOT, env=self._env, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running():
            self.popen.send_signal(number)

    def end(self) -> None:
        """End the process and wait for it."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()


class Fleet:
    """Entries, workers and platform of one test; a context manager that owns them."""

    def __init__(
        self, case: Path, pools: dict[str, dict[str, Any]], entries: int = 3
    ) -> None:
        """`pools` maps a pool to `workers`, `cpu` and the fields of its route."""
        self.case = case
        self.pools = pools
        self.folder = Path(tempfile.mkdtemp(prefix="briarshed-review-"))
        self.events = self.folder / "workers.jsonl"
        self.events.touch()
        self.store = StoreStandin()
        self.instances = InstancesStandin()
        self.entries: dict[str, Process] = {}
        self.fronts: dict[str, str] = {}
        self.workers: dict[str, Process] = {}
        self.worker_pools: dict[str, str] = {}
        self.addresses: dict[str, str] = {}
        self.keeps_entries = True
        self.session = ClientSession(timeout=ClientTimeout(total=CALL_TIMEOUT_S))
        self._count = entries
        self._lines: list[tuple[float, str]] = []
        self._beats: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._turn = 0

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append((time.time(), text))

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def _start(self) -> None:
        await self.store.__aenter__()
        await self.instances.__aenter__()
        self._observe_registrations()
        self.store.put("op/config", encode(self.make_configuration(1)))
        python_path = f"{ROOT}/target/deps"
        base = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        base["PYTHONPATH"] = python_path
        for pool, row in self.pools.items():
            for number in range(row["workers"]):
                name = f"{pool}-{number}"
                self.addresses[name] = f"127.0.0.1:{find_ports(1)}"
                self.worker_pools[name] = pool
                command = [sys.executable, str(Path(__file__).with_name("worker.py"))]
                command += ["--id", name, "--address", self.addresses[name]]
                command += ["--store", self.store.address, "--pool", pool]
                command += ["--rack", f"rack-{pool}", "--record", str(self.events)]
                command += ["--cpu", str(row.get("cpu", 4_000))]
                self.workers[name] = Process(
                    name, command, base, self.folder / "workers.log"
                )
                self.workers[name].start()
                self.instances.rows[f"m-{name}"] = {
                    "machine": f"m-{name}",
                    "pool": pool,
                    "state": "up",
                    "zone": "z1",
                    "labels": ["a", f"rack-{pool}"],
                    "capacity": {
                        "cpu": row.get("cpu", 4_000),
                        "mem-mb": 16_000,
                        "gpus": 0,
                    },
                    "id": name,
                }
        for number in range(1, self._count + 1):
            name = f"edge-z1-{number}"
            port = find_ports(18)
            path = self.folder / f"{name}.toml"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    port=port,
                    last=port + 15,
                    front=port + 16,
                    ready=port + 17,
                    store=self.store.address,
                    instances=self.instances.address,
                )
            )
            self.fronts[name] = f"127.0.0.1:{port + 16}"
            env = {**base, "BRIARSHED_SETTINGS": str(path)}
            command = ["python3", "-m", "briarshed_platform", "entry"]
            self.entries[name] = Process(
                name, command, env, self.folder / f"{name}.log"
            )
            self.entries[name].start()
        self._tasks = [
            asyncio.create_task(self._restart_entries()),
            asyncio.create_task(self._drop_silent_workers()),
        ]
        await self._wait_until_ready()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        for process in [*self.entries.values(), *self.workers.values()]:
            process.end()
        await self.session.close()
        await self.store.__aexit__(None, None, None)
        await self.instances.__aexit__(None, None, None)
        self._write_record()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _write_record(self) -> None:
        lines = list(self._lines)
        for row in self.read_events():
            fields = " ".join(
                f"{key}={value}"
                for key, value in row.items()
                if key not in ("at", "what")
            )
            lines.append((row["at"], f"worker: {row['what']} {fields}"))
        lines.sort()
        start = lines[0][0] if lines else 0.0
        text = "".join(f"{at - start:8.3f} s  {line}\n" for at, line in lines)
        (self.case / "record.txt").write_text(text, encoding="utf-8")

    def read_events(self) -> list[dict[str, Any]]:
        """Return what the workers have recorded."""
        rows = []
        for line in self.events.read_text("utf-8").splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows

    def make_configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration with a public queue for each pool."""
        routes = [
            {
                "name": pool,
                "hostname": "desk.example",
                "path-prefix": f"/{pool}/",
                "backend": pool,
                "timeout-ms": 3_000,
                "max-attempts": row.get("max-attempts", 3),
                "stretch": 1.6,
                "slo-ms": 600,
                "priority": 0,
                "public": True,
            }
            for pool, row in self.pools.items()
        ]
        return {
            "version": version,
            "routes": routes,
            "backends": [{"name": pool} for pool in self.pools],
            "tenants": [],
        }

    # The platform

    def _observe_registrations(self) -> None:
        put = self.store.put

        def observe(key: str, value: str, lease: int = 0) -> None:
            self._beats[key] = time.monotonic()
            put(key, value, lease)

        self.store.put = observe

    async def _drop_silent_workers(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - INTERVALS_OF_SILENCE * HEARTBEAT_S
            for key, at in list(self._beats.items()):
                if key.startswith("servers/") and at < limit:
                    del self._beats[key]
                    self.store.remove(key)

    async def _restart_entries(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for process in self.entries.values():
                if self.keeps_entries and not process.is_running():
                    await asyncio.sleep(RESTART_S)
                    self.note(f"platform: {process.name} is started again")
                    process.start()

    async def _wait_until_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            await asyncio.sleep(0.2)
            workers = sum(key.startswith("servers/") for key in self.store.items)
            if workers < len(self.workers) or self.find_leader() is None:
                continue
            states = [await self._is_serving(name) for name in self.entries]
            if all(states):
                self.note("all entries and workers are ready")
                await asyncio.sleep(2.0)
                return
        raise CannotRunError("the deployment is not ready in time")

    async def _is_serving(self, name: str) -> bool:
        pool = next(iter(self.pools))
        status, _ = await self.call("GET", f"/{pool}/", entry=name, quiet=True)
        return status == 200

    def find_leader(self) -> str | None:
        """Return the entry that the store names as the leader."""
        item = self.store.items.get(LEADER_KEY)
        if item is None:
            return None
        return msgspec.msgpack.decode(base64.b64decode(item["value"]))[0]

    # Consumers

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        entry: str | None = None,
        quiet: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to an entry, the next one in turn if none is named.

        The status is 0 if there is no answer.
        """
        if entry is None:
            running = [name for name, row in self.entries.items() if row.is_running()]
            self._turn += 1
            entry = (
                running[self._turn % len(running)]
                if running
                else next(iter(self.entries))
            )
        headers = {"Host": "desk.example", "X-Deadline-Ms": "3000"}
        url = f"http://{self.fronts[entry]}{path}"
        try:
            async with self.session.request(
                method, url, json=body, headers=headers
            ) as response:
                status, answer = response.status, await response.json()
        except (ClientError, TimeoutError, ValueError):
            status, answer = 0, {}
        if not quiet:
            result = f"{status or 'no answer'} {answer}"
            self.note(f"consumer: {method} {path} at {entry} -> {result}")
        return status, answer

    async def submit(
        self, pool: str, body: dict[str, Any], attempts: int = 8
    ) -> str | None:
        """Hand a job in until it is accepted; return its id, or None."""
        job = secrets.token_hex(8)
        for _ in range(attempts):
            status, _ = await self.call("POST", f"/{pool}/{job}", body)
            if status == 200:
                return job
            await asyncio.sleep(0.5)
        return None

    async def read_state(self, pool: str, job: str, quiet: bool = False) -> str:
        """Return the state of a job, ``unknown job`` for 410, or an empty string."""
        status, answer = await self.call("GET", f"/{pool}/{job}", quiet=quiet)
        if status == 410:
            return "unknown job"
        return answer.get("state", "") if status == 200 else ""

    async def judge_jobs(self, pool: str, jobs: list[str], body: dict[str, Any]) -> int:
        """Ask for jobs for `WAIT_S`, and tell whether LOST is broken for one of them.

        In the end, a job with ``body`` is handed in for the record only.
        """
        asked_at = time.monotonic()
        left = list(jobs)
        while time.monotonic() - asked_at < WAIT_S and left:
            await asyncio.sleep(1.0)
            for job in list(left):
                if await self.read_state(pool, job) == "completed":
                    left.remove(job)
        waited = time.monotonic() - asked_at
        self.note(f"test: {len(left)} of {len(jobs)} not completed in {waited:.1f} s")
        await self.submit(pool, body, attempts=3)
        idle = time.time() - max(row["at"] for row in self.read_events())
        if left and not self.list_running() and idle > FOR_S:
            self.note(f"test: LOST is broken: nothing has run for {idle:.1f} s")
            return BROKEN
        return NOT_RUN if left else HELD

    # Workers

    def kill_worker(self, name: str) -> None:
        """Crash a worker."""
        self.note(f"disruption: {name} is killed")
        self.workers[name].end()

    def start_worker(self, name: str) -> None:
        """Start a worker again under its id, at its address."""
        self.note(f"{name} is started again")
        self.workers[name].start()

    def list_running(self) -> list[dict[str, Any]]:
        """Return the runs that are at work on workers that are up."""
        running: dict[tuple[str, str, int], dict[str, Any]] = {}
        for row in sorted(self.read_events(), key=lambda row: row["at"]):
            if row["what"] == "up":
                for key in [key for key in running if key[0] == row["worker"]]:
                    del running[key]
                continue
            key = row["worker"], row["unit"], row["run"]
            if row["what"] == "start":
                running[key] = row
            else:
                running.pop(key, None)
        return [
            row for key, row in running.items() if self.workers[key[0]].is_running()
        ]


def encode(value: Any) -> str:
    """Return a value as the store keeps it."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def run_case(play: Callable[[bool], Awaitable[int]], has_trouble: bool) -> None:
    """Run a case with or without its disruption and exit with its result."""
    # Lets the fleet end its processes if the test itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        result = asyncio.run(play(has_trouble))
    except Exception as error:
        print(f"not run: {error!r}")
        result = NOT_RUN
    print(
        {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[
            result
        ]
    )
    sys.exit(result)
