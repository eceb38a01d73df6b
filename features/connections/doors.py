"""Processes of the system, each with the door that a crowd is sent to."""

from __future__ import annotations

import asyncio
import base64
import http.client
import json
import os
import secrets
import ssl
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

from briarshed_platform_standins.instances import InstancesStandin
from briarshed_platform_standins.store import StoreStandin
from briarshed_standins.fleet import Fleet
from briarshed_standins.plans import Plan, PoolPlan, QueuePlan, TeamPlan
from briarshed_standins.processes import POLL_S, Ports, Process, wait_until

HOST, QUEUE, KEY = "h.example", "/q/", "key-1"
CROWD = Path(__file__).with_name("crowd.py")
WITHOUT_HANDSHAKE = ("nothing", "starts of a handshake")
TLS_FOLDER = Path(__file__).with_name("tls")
TIMEOUT_S = 30.0
GRACE_S = 20.0
NO_LEADER = b'{"error":"not accepted"}'


class Door(NamedTuple):
    """An address of a process, the start of a request there, and an ordinary one."""

    process: Process
    address: str
    head: bytes
    request: Callable[[], Answer]
    has_tls: bool = False


class Answer(NamedTuple):
    """Status and content of a response."""

    status: int
    content: bytes


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    has_tls: bool = False,
) -> Answer:
    """Make one request on a new connection."""
    if has_tls:
        context = ssl.create_default_context(cafile=TLS_FOLDER / "certificate.pem")
        context.check_hostname = False
        connection = http.client.HTTPSConnection(
            address, timeout=TIMEOUT_S, context=context
        )
    else:
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return Answer(response.status, response.read())
    finally:
        connection.close()


def await_leader(send: Callable[[], Answer]) -> Answer:
    """Repeat a request while it is refused for want of a leader; return the answer.

    Only for entries that were frozen, or lost their leader: such an entry refuses jobs
    until the lease is renewed. Any other answer is final, and so is a closed
    connection.
    """
    ends_at = time.monotonic() + TIMEOUT_S
    while True:
        answer = send()
        is_refused = answer.status == 503 and NO_LEADER in answer.content
        if not is_refused or time.monotonic() > ends_at:
            return answer
        time.sleep(POLL_S)


def make_job(size: int = 0) -> bytes:
    """Return a job, padded to a size in bytes."""
    body = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 1000}]}).encode()
    return body + b" " * (size - len(body))


class LoopThread:
    """An event loop in a thread, for stand-ins that run beside blocking steps."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def run(self, work: Coroutine) -> Any:
        """Run a coroutine to its end and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(TIMEOUT_S)

    def call(self, function: Callable, *arguments: Any) -> None:
        """Call a function in the loop's thread."""
        self._loop.call_soon_threadsafe(function, *arguments)


class PlatformEntries:
    """Entries on the platform with a stand-in store."""

    def __init__(self, stack: ExitStack, memory_mb: int, descriptors: int) -> None:
        self._limits = memory_mb, descriptors
        self._stack = stack
        self._folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self._ports = Ports()
        stack.callback(self._ports.close)
        self._loop = LoopThread()
        self._store, self._instances = StoreStandin(), InstancesStandin()
        for standin in (self._store, self._instances):
            self._loop.run(standin.__aenter__())
            stack.callback(self._loop.run, standin.__aexit__(None, None, None))
        self.configure(1, {})

    def configure(self, version: int, limits: dict[str, Any]) -> None:
        """Write a version of the operator's configuration."""
        queue = {
            "name": "q",
            "hostname": HOST,
            "path-prefix": QUEUE,
            "backend": "p",
            "timeout-ms": 10_000,
        }
        content = {
            "version": version,
            "routes": [queue],
            "backends": [{"name": "p"}],
            "tenants": [{"name": "t", "api-keys": [KEY]}],
            "limits": limits,
        }
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._loop.call(self._store.put, "op/config", value)

    def start(self, name: str) -> tuple[Process, dict[str, str]]:
        """Start an entry; return its process and its addresses."""
        memory_mb, descriptors = self._limits
        first = self._ports.choose_address().rpartition(":")[2]
        ports = [int(first), int(first) - 1]
        self._ports.choose_address()
        addresses = {
            "callers": self._ports.choose_address(),
            "readiness": self._ports.choose_address(),
            "metrics": f"127.0.0.1:{ports[0]}",
        }
        path = self._folder / f"{name}.toml"
        path.write_text(
            f'node-name = "{name}"\nip = "127.0.0.1"\nzone = "z"\n'
            f"internal-ports = [{ports[1]}, {ports[0]}]\n"
            '[zones]\nz = "r"\n'
            f'[listen-addrs]\nfront = "{addresses["callers"]}"\n'
            f'ready = "{addresses["readiness"]}"\n'
            "[limits]\ncpu-share = 1.0\ncores = 1\n"
            f"memory-mb = {memory_mb}\nmax-fds = {descriptors}\n"
            f"[bounds]\ngrace-s = {GRACE_S}\n"
            f'[platform]\naddress = "{self._store.address}"\n'
            f'[cloud-api]\naddress = "{self._instances.address}"\n'
        )
        os.environ["BRIARSHED_SETTINGS"] = str(path)
        command = [sys.executable, "-m", "briarshed_platform", "entry"]
        process = Process(name, command, self._folder, reads_output=False)
        self._stack.callback(_end, process)
        wait_until(
            f"{name} ready",
            lambda: call(addresses["readiness"], "GET", "/api/ready", {}).status == 200,
        )
        return process, addresses

    def open(self, name: str, door: str) -> Door:
        """Start an entry; return one of its doors."""
        process, addresses = self.start(name)
        self.metrics = addresses["metrics"]
        head = b"POST /q/%s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n" % (
            secrets.token_hex(8).encode(),
            HOST.encode(),
            KEY.encode(),
        )
        address = addresses[door]

        def request() -> Answer:
            if door != "callers":
                return call(address, "GET", "/api/ready", {})
            path = QUEUE + secrets.token_hex(8)
            return call(address, "POST", path, make_headers(), make_job())

        wait_until("an ordinary request is served", lambda: request().status == 200)
        return Door(process, address, head, request)


def make_headers() -> dict[str, str]:
    """Return the headers of a caller on the platform."""
    return {"Host": HOST, "X-Api-Key": KEY, "X-Deadline-Ms": "10000"}


def _end(process: Process) -> None:
    if process.is_running():
        process.kill()


def open_product_door(
    stack: ExitStack, memory_mb: int, descriptors: int, door: str
) -> Door:
    """Start a fleet with one entry of the product's own interface."""
    limits = {"memory_mb": memory_mb, "max_descriptors": descriptors}
    plan = Plan(
        entries=1,
        data_centres=("dc1",),
        pools=(PoolPlan("proofs", 1),),
        teams=(TeamPlan("hotels", 1, 20),),
        queues=(QueuePlan("proofing", "proofs"),),
        settings={"connections": limits, "log": {"level": "WARNING"}},
    )
    fleet = stack.enter_context(Fleet(plan))
    entry = fleet.entries["entry-1"]
    url, path = entry.url, "/queues/proofing/jobs"
    key = fleet.keys["hotels"]
    has_tls = door == "TLS callers"
    if door == "operators":
        url, path, key = entry.operators, "/operator/commands", fleet.operator_key
    address = url.removeprefix("http://")
    headers = {"Authorization": f"Bearer {key}"}
    body = b"show queues\n" if door == "operators" else b"work"
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"

    def request() -> Answer:
        return call(address, "POST", path, headers, body, has_tls)

    if has_tls:
        _restart_with_tls(fleet, address)
        wait_until("an ordinary request is served", lambda: request().status == 200)
    process = fleet.processes["entry-1"]
    return Door(process, address, head.encode(), request, has_tls)


def _restart_with_tls(fleet: Fleet, address: str) -> None:
    """Restart the entry of a fleet with a certificate, and wait until it is ready."""
    settings = fleet.read_settings("entry-1")
    settings["callers"]["tls"] = {
        "certificate": str(TLS_FOLDER / "certificate.pem"),
        "key": str(TLS_FOLDER / "key.pem"),
    }
    fleet.entries["entry-1"].settings.write_text(json.dumps(settings))
    fleet.terminate("entry-1")
    fleet.wait_ended("entry-1", TIMEOUT_S)
    fleet.restart_entry("entry-1", ready=False)

    def check() -> bool:
        try:
            return call(address, "GET", "/readyz", {}, has_tls=True).status == 200
        except OSError:
            return False

    wait_until("the entry serves TLS", check)


class Watch:
    """Samples the open descriptors of a process until it is left."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self.descriptors = 0

    def __enter__(self) -> Watch:
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopping.set()
        self._thread.join()

    def _sample(self) -> None:
        while not self._stopping.wait(0.05):
            try:
                count = len(os.listdir(f"/proc/{self._pid}/fd"))
            except OSError:
                return
            self.descriptors = max(self.descriptors, count)


def read_peak_mb(pid: int) -> float:
    """Return the highest resident memory that a process has had, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) * 1024 / 1e6


def start_crowd(stack: ExitStack, door: Door, kind: str, count: int) -> None:
    """Start a crowd at a door, and wait until it has sent what it can."""
    command = [sys.executable, str(CROWD), door.address, kind, str(count)]
    command.append(door.head.hex())
    if door.has_tls and kind not in WITHOUT_HANDSHAKE:
        command.append("tls")
    crowd = subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )

    def end() -> None:
        crowd.kill()
        crowd.wait()
        crowd.stdin.close()
        crowd.stdout.close()

    stack.callback(end)
    assert crowd.stdout.readline() == "sent\n", "the crowd failed"
    wait_quiet(door.process.pid)


def wait_quiet(pid: int) -> None:
    """Wait until a process has nothing more to do, or has ended."""
    before = -1
    for _ in range(100):
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return
        used = int(fields[11]) + int(fields[12])
        if used - before <= 2:
            return
        before = used
        time.sleep(0.3)
