"""Starts entries with the command of the deploy file, and the stand-ins around them.

The store, the endpoints and the instance list are the project's own stand-ins, run on
loopback in the process of the test. Entries are separate processes.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any, Self

REPOSITORY = Path(__file__).resolve().parents[2]
DEPENDENCIES = REPOSITORY / "target" / "deps"
sys.path[:0] = [str(DEPENDENCIES), str(REPOSITORY / "platform")]

import aiohttp  # noqa: E402

from briarshed_platform_standins._server import Response  # noqa: E402
from briarshed_platform_standins.endpoint import EndpointStandin  # noqa: E402
from briarshed_platform_standins.instances import InstancesStandin  # noqa: E402
from briarshed_platform_standins.store import StoreStandin  # noqa: E402

COULD_NOT_RUN = 2
PORTS_PER_ENTRY = 19
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.3
"""Delay after which the platform starts an entry again that has ended."""

MEMORY_MB = 300
"""``memory-mb`` of the sheets of the small deployments."""

SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
internal-ports = [{port}, {last}]
seeds = []
bootstrap = true
discovery = "platform"
orders = "invocation"
[zones]
z0 = "r"
z1 = "r"
z2 = "r"
[listen-addrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {memory}
max-fds = 4100
link-mbps = 1000.0
[bounds]
grace-s = 6
max-hold-ms = 10000
stop-grace-ms = 200
status_s = 120
notice-ms = 4500
config-apply-ms = 2000
maintenance-s = 2
migrate-s = 1.5
enforce-fencing = true
lease-ms = 3000
[platform]
address = "{store}"
form = "kv"
[cloud-api]
address = "{instances}"
"""


def encode(value: Any) -> str:
    """Return the encoding of a value as an item of the store."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def find_ports(count: int) -> int:
    """Return the first of a row of free ports below the ephemeral ones."""
    first = 11_000 + os.getpid() * 97 % 20_000
    while first + count < 32_000:
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            first += count
    raise OSError("no free ports")


PAGE_BYTES = 1_000_000
"""Size of a page of the store: "at most about 500 items or 1 MB"."""


class Store(StoreStandin):
    """The project's store with the sizes of the pages.

    The pages bound a page to 1 MB, and set no bound on a transaction.
    """

    async def _handle(self, request: Any) -> Any:
        request._client_max_size = 0
        return await super()._handle(request)

    def _list(self, query: dict[str, str]) -> Any:
        response = super()._list(query)
        page, size = [], 0
        for item in response.body["items"]:
            size += len(item["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(item)
        has_more = response.body["has-more"] or len(page) < len(response.body["items"])
        return Response(200, {**response.body, "items": page, "has-more": has_more})


class Record:
    """Lines of ``record.txt``, with seconds since the start of the test."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, *parts: object) -> None:
        """Append a line."""
        at = time.monotonic() - self.started_at
        print(f"{at:8.3f}", *parts, file=self._file, flush=True)


class EntryProcess:
    """An entry; the platform starts it again, and kills it above its memory."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.name = f"edge-{number}"
        self.port = fleet.first_port + PORTS_PER_ENTRY * number
        self.front = self.port + 16
        self.settings = fleet.folder / f"{self.name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.most_mb = 0.0
        self.ends = 0
        self.over_memory = 0
        self.is_stopped = False
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=f"z{number % 3}",
                port=self.port,
                last=self.port + 15,
                front=self.front,
                ready=self.port + 17,
                control=self.port + 18,
                store=fleet.store.address,
                instances=fleet.instances.address,
                memory=fleet.memory_mb,
            )
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "briarshed_platform",
                "entry",
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(DEPENDENCIES),
                    "BRIARSHED_SETTINGS": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )
        self.fleet.record.write("start", self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def read_memory_mb(self) -> float:
        """Return the resident memory in MB, 0 without a process."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        with suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
            for line in text.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def supervise(self) -> None:
        """Restart the process when it has ended, and kill it above its memory."""
        while True:
            await asyncio.sleep(0.1)
            memory = self.read_memory_mb()
            self.most_mb = max(self.most_mb, memory)
            if memory > self.fleet.memory_mb:
                self.over_memory += 1
                self.fleet.record.write(
                    "over memory", self.name, f"{memory:.0f} MB: SIGKILL"
                )
                self.signal(signal.SIGKILL)
                assert self.process is not None
                await self.process.wait()
            if self.process is not None and self.process.returncode is not None:
                self.ends += 1
                self.fleet.record.write("ended", self.name, self.process.returncode)
                await asyncio.sleep(RESTART_DELAY_S)
                if not self.is_stopped:
                    await self.start()


class Fleet:
    """Entries, endpoints, the store and the instance list; a context manager."""

    def __init__(
        self,
        folder: Path,
        pools: dict[str, int],
        entries: int = 3,
        cpu: int = 8_000,
        memory_mb: int = MEMORY_MB,
        configuration: dict[str, Any] | None = None,
        make_endpoint: Callable[[str], EndpointStandin] = EndpointStandin,
    ) -> None:
        self.record = Record(folder)
        self.memory_mb = memory_mb
        self.store = Store()
        self.instances = InstancesStandin()
        self.endpoints: dict[str, EndpointStandin] = {}
        self.addresses: dict[str, str] = {}
        self.entries: list[EntryProcess] = []
        self.cpu = cpu
        self.configuration = configuration or make_configuration(list(pools))
        self.silent: set[str] = set()
        self._make_endpoint = make_endpoint
        self._pools = pools
        self._count = entries
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.folder = Path(
            self._stack.enter_context(tempfile.TemporaryDirectory(prefix="review-"))
        )
        await self._stack.enter_async_context(self.store)
        await self._stack.enter_async_context(self.instances)
        for pool, count in self._pools.items():
            for number in range(count):
                await self.add_endpoint(f"{pool}-{number}", pool)
        self.write_configuration(self.configuration)
        self.first_port = find_ports(PORTS_PER_ENTRY * self._count)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        )
        for number in range(self._count):
            self.entries.append(EntryProcess(self, number))
        self._stack.push_async_callback(self._end_entries)
        for entry in self.entries:
            await entry.start()
        self._tasks = [
            asyncio.create_task(work)
            for work in (self._register(), *(row.supervise() for row in self.entries))
        ]
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def _end_entries(self) -> None:
        for entry in self.entries:
            entry.is_stopped = True
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
            if entry.process is not None:
                await entry.process.wait()

    async def add_endpoint(self, name: str, pool: str) -> EndpointStandin:
        """Start an endpoint, with an instance of its own, and register it."""
        endpoint = self._make_endpoint(name)
        await self._stack.enter_async_context(endpoint)
        self.endpoints[name] = endpoint
        self.addresses.setdefault(name, endpoint.address)
        self.instances.rows[f"m-{name}"] = {
            "machine": f"m-{name}",
            "pool": pool,
            "state": "up",
            "zone": "z0",
            "labels": ["a", "r1"],
            "capacity": self._make_capacity(),
            "id": name,
        }
        return endpoint

    async def enter(self, endpoint: EndpointStandin) -> None:
        """Let an endpoint listen until the fleet ends."""
        await self._stack.enter_async_context(endpoint)

    def _make_capacity(self) -> dict[str, int]:
        return {"cpu": self.cpu, "mem-mb": 64_000, "gpus": 0}

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Write a configuration as the operator."""
        self.configuration = configuration
        self.store.put("op/config", encode(configuration))

    async def _register(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for name, endpoint in self.endpoints.items():
                if name in self.silent:
                    continue
                row = {
                    "backend": name.rpartition("-")[0],
                    "address": self.addresses[name],
                    "zone": "z0",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "sequence": sequence,
                    "born": endpoint.started_at_ms,
                    "capacity": self._make_capacity(),
                    "labels": ["a", "r1"],
                    "machine": f"m-{name}",
                }
                self.store.put(f"servers/{name}", encode(row))
            await asyncio.sleep(HEARTBEAT_S)

    def write_runs(self) -> None:
        """Write what each endpoint has run, with the times of start and end."""
        for name, endpoint in self.endpoints.items():
            endpoint.expire_runs()
            for row in endpoint.started:
                times = [f"{at - self.record.started_at:.3f}" for at in row[2:4] if at]
                self.record.write("ran", name, *row[:2], *times, *row[4:5])

    # The consumers

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        entry: int = 0,
        headers: dict[str, str] | None = None,
        data: bytes | None = None,
        timeout: float = 5.0,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to an entry; status 0 if there is no complete answer."""
        if body is not None:
            data = json.dumps(body).encode()
        url = f"http://127.0.0.1:{self.entries[entry].front}{path}"
        all_headers = {"Host": "h.example", "X-Deadline-Ms": "3000", **(headers or {})}
        try:
            async with self.session.request(
                method,
                url,
                data=data,
                headers=all_headers,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                text = await response.read()
                return response.status, json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def submit(self, path: str, body: Any, entry: int = 0, tries: int = 8) -> int:
        """Submit a job, at the next entry after each attempt without success."""
        status = 0
        for number in range(tries):
            at = (entry + number) % len(self.entries)
            status, _ = await self.call("POST", path, body, at)
            self.record.write("POST", path, f"at edge-{at}:", status)
            if status == 200:
                return status
            await asyncio.sleep(0.3)
        return status

    async def wait_until_served(self, path: str, seconds: float = 30.0) -> None:
        """Wait until a small job is accepted.

        Raises
        ------
        TimeoutError
            If none is.
        """
        async with asyncio.timeout(seconds):
            number = 0
            while True:
                number += 1
                job = f"{path}{number:016x}"
                body = {"spec": "run 0.1", "steps": [{"count": 1, "cpu": 100}]}
                status, _ = await self.call("POST", job, body)
                if status == 200:
                    self.record.write("served", job)
                    return
                await asyncio.sleep(0.3)

    def find_leader(self) -> EntryProcess | None:
        """Return the entry that the store names as the leader."""
        item = self.store.items.get("briarshed/leader")
        if item is None:
            return None
        value = base64.b64decode(item["value"])
        return next(
            (row for row in self.entries if row.name.encode() in value[:40]), None
        )


def make_configuration(pools: list[str], **fields: Any) -> dict[str, Any]:
    """Return a configuration with one open queue for each pool."""
    routes = [
        {
            "name": f"q-{pool}",
            "hostname": "h.example",
            "path-prefix": f"/{pool}/",
            "backend": pool,
            "max-attempts": 3,
            "stretch": 1.6,
            "slo-ms": 600,
            "public": True,
        }
        for pool in pools
    ]
    backends = [{"name": pool, "rejects-overload": False} for pool in pools]
    return {"version": 1, "routes": routes, "backends": backends, **fields}


def run_case(
    make_case: Callable[[Path, bool], Any], folder: Path, has_trouble: bool
) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    try:
        is_broken = asyncio.run(make_case(folder.resolve(), has_trouble))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    sys.exit(1 if is_broken else 0)
