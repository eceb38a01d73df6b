"""Fakes of the coordinator, the replica and an endpoint on a real socket."""

import asyncio
import json
import socket
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from types import SimpleNamespace

import aiohttp
from reactivex.subject import Subject

from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY, make_empty
from briarshed.keys import make_key
from briarshed.settings import check_settings
from briarshed_entry import callers
from briarshed_entry.endpoints import Endpoints
from briarshed_entry.main import make_connections
from briarshed_entry.scheduler import Scheduler

MIB = 1_048_576


def make_settings(**changes):
    """Return settings with short timeouts; ``changes`` update named sections."""
    content = {
        "name": "entry-1",
        "data_centre": "dc1",
        "callers": {"address": "127.0.0.1:0", "body_timeout_ms": 800},
        "operators": {"address": "127.0.0.1:0", "keys": {}},
        "peers": {
            "address": "127.0.0.1:0",
            "public_key": "k" * 40,
            "secret_key": "k" * 40,
            "allowed_keys": {},
        },
        "store": {"url": "http://127.0.0.1:0"},
        "endpoints": {
            "connect_timeout_ms": 300,
            "probe_after_ms": 200,
            "probe_timeout_ms": 400,
        },
        "timing": {"margin_ms": 300},
        "log": {"level": "ERROR"},
    }
    for section, values in changes.items():
        content[section] = {**content.get(section, {}), **values}
    return check_settings(json.dumps(content), "test").unwrap()


class FakeReplica:
    """A replica whose documents are set by the test."""

    def __init__(self):
        self.updates = Subject()
        self.configuration = make_empty(CONFIGURATION_KEY)
        self.configuration["version"] = 1
        self.fleet = make_empty(FLEET_KEY)
        self.members = {"version": 1, "members": {"entry-1": {}}, "departed": {}}
        self.keys = {}

    def add_team(self, team, share=1.0, limit=1000):
        """Add a team with a key."""
        key = make_key()
        self.configuration["teams"][team] = {"share": share, "limit": limit}
        self.configuration["keys"][key.key_id] = {
            "hash": key.hash,
            "team": team,
            "expires_at": None,
        }
        self.keys[team] = key.text

    def add_queue(self, queue, open_=False, teams=(), max_jobs=1000, max_bytes=MIB * 4):
        """Add a queue of the pool of the same name."""
        pool = {"budget": 1, "port": 80, "slots": 8, "connections": 64, "spare": False}
        self.configuration["pools"].setdefault(queue, pool)
        self.configuration["queues"][queue] = {
            "pool": queue,
            "open": open_,
            "teams": list(teams),
            "max_jobs": max_jobs,
            "max_bytes": max_bytes,
        }

    def add_instance(self, name, pool, address, state="serving", data_centre="dc1"):
        """Add an instance."""
        self.fleet["instances"][name] = {
            "pool": pool,
            "state": state,
            "rack": "r1",
            "data_centre": data_centre,
            "address": address,
        }

    def publish(self):
        """Notify the subscribers that the documents changed."""
        self.updates.on_next(CONFIGURATION_KEY)
        self.updates.on_next(FLEET_KEY)


class FakeCoordinator:
    """A coordinator that grants this entry the whole limit of every team."""

    def __init__(self, replica):
        self.replica = replica
        self.granted = True
        self.running = Counter()
        self.max_running = Counter()
        self.waiting = {}

    def find_authority(self):
        """Return whether keyed jobs may start."""
        return SimpleNamespace(granted=self.granted, reason="test")

    def find_readiness(self):
        """Return why the entry is not ready; empty, as this one is always ready."""
        return ""

    def may_start(self, team):
        """Return why a team may not start a job."""
        if team is None:
            return ""
        if not self.granted:
            return "authority"
        limit = self.replica.configuration["teams"][team]["limit"]
        return "limit" if self.running[team] >= limit else ""

    def note_started(self, team):
        """Count a start."""
        self.running[team] += 1
        self.max_running[team] = max(self.max_running[team], self.running[team])

    def note_ended(self, team):
        """Count an end."""
        self.running[team] -= 1

    def set_waiting(self, team, count):
        """Set the number of queued jobs."""
        self.waiting[team] = count

    def count_running(self, team):
        """Return the running jobs of a team."""
        return self.running[team]


def _bind_unlistening():
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


class FakeEndpoint:
    """An endpoint with fault injection; ``fault`` applies to every ``POST``.

    Attributes
    ----------
    started : list
        Job id of every task that started.
    fault_once : bool
        Whether the fault ends after one task request.
    """

    def __init__(self, fault="", run_time=0.0, slots=8):
        self.fault = fault
        self.fault_once = False
        self.run_time = run_time
        self.slots = slots
        self.frozen = False
        self.is_unreachable = False
        self.keep_alive = False
        self.repeats_refusal = False
        self.choose_fault = None
        self.started = []
        self.bodies = []
        self.requests = 0
        self.states = {}
        self.answers = {}
        self.running = 0
        self.max_running = 0
        self.held_responses = []
        self.open_connections = 0
        self.max_open_connections = 0
        self.address = ""

    async def __aenter__(self):
        # An unreachable endpoint binds its port without listening, so that no other
        # process can use it.
        self._bound = _bind_unlistening()
        self.address = f"127.0.0.1:{self._bound.getsockname()[1]}"
        if not self.is_unreachable:
            self._server = await asyncio.start_server(self._serve, sock=self._bound)
        return self

    async def __aexit__(self, *_):
        if self.is_unreachable:
            self._bound.close()
        else:
            self._server.close()

    async def _serve(self, reader, writer):
        self.open_connections += 1
        self.max_open_connections = max(
            self.max_open_connections, self.open_connections
        )
        try:
            await self._exchange(reader, writer)
            while self.keep_alive:
                await self._exchange(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def _exchange(self, reader, writer):
        if self.frozen:
            await asyncio.sleep(3600)
        if self.fault == "close after 0 bytes" and self.fault_once:
            self._end_fault()
            return
        start = await reader.readexactly(4)
        is_post = start == b"POST"
        if is_post and self.choose_fault is not None:
            self.fault = self.choose_fault()
        if is_post and self.fault.startswith("close after "):
            fault = self.fault
            if "0" in fault or "some" in fault:
                self._end_fault()
                await reader.read(0 if "0" in fault else 40)
                return
        head = (start + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        method, path, _ = head.split("\r\n", 1)[0].split(" ")
        headers = dict(
            line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
        )
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        if self.frozen:
            await asyncio.sleep(3600)
        if method == "POST":
            await self._post(path.split("/")[2], headers, body, writer)
        else:
            await self._control(method, path, writer)

    async def _control(self, method, path, writer):
        attempt = path.split("/")[2]
        if path.endswith("/answer"):
            await self._answer(writer, 200, self.answers[attempt], attempt)
            return
        state = self.states.setdefault(attempt, "never")
        if method == "DELETE":
            if state == "running":
                state = self.states[attempt] = "stopped"
            elif state == "never":
                self.states[attempt] = "fenced"
        state = "never" if state == "fenced" else state
        await self._answer(writer, 200, json.dumps({"state": state}).encode())

    def _end_fault(self):
        if self.fault_once:
            self.fault = ""

    async def _post(self, attempt, headers, body, writer):
        self.requests += 1
        fault = self.fault
        self._end_fault()
        if fault == "close after all bytes":
            return
        if fault == "silent before start":
            await asyncio.sleep(3600)
        if self.repeats_refusal:
            self.repeats_refusal = False
            await self._refuse(writer, "full")
        known = self.states.get(attempt)
        if known == "fenced":
            await self._refuse(writer, "fenced")
            return
        if fault == "impossible":
            await self._answer(writer, 422, b"")
            return
        if fault == "refused twice":
            self.repeats_refusal = True
            await self._refuse(writer, "full")
            return
        if fault == "leaving":
            await self._refuse(writer, "leaving")
            return
        if fault == "full" or self.running >= self.slots:
            await self._refuse(writer, "full")
            return
        self.started.append(headers["Briarshed-Job-Id"])
        self.bodies.append(body)
        self.states[attempt] = "running"
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            end = asyncio.get_running_loop().time() + self.run_time
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(0.02)
                if self.states[attempt] == "stopped":
                    return
        finally:
            self.running -= 1
        if fault == "unknown status":
            self.states[attempt] = "stopped"
            await self._answer(writer, 418, b"")
            return
        if fault == "fail":
            self.states[attempt] = "stopped"
            await self._answer(writer, 500, b"")
            return
        self.answers[attempt] = b"done " + body
        self.states[attempt] = "finished"
        await self._finish(fault, attempt, writer)

    async def _finish(self, fault, attempt, writer):
        answer = self.answers[attempt]
        match fault:
            case "close before the response":
                return
            case "silent":
                await asyncio.sleep(3600)
            case "truncated":
                await self._answer(writer, 200, answer, attempt, cut=3)
            case "no length":
                await self._answer(writer, 200, answer[:3], attempt, length=False)
            case "wrong attempt":
                await self._answer(writer, 200, b"another's", "0" * 32)
            case "late":
                await asyncio.sleep(0.5)
                await self._answer(writer, 200, answer, attempt)
            case "repeated":
                await self._answer(writer, 200, answer, attempt)
                await asyncio.sleep(0.1)
                await self._answer(writer, 200, answer, attempt)
            case "swapped":
                self.held_responses.append((attempt, writer))
                if len(self.held_responses) < 2:
                    await asyncio.sleep(3600)
                (one, first), (two, second) = self.held_responses
                await self._answer(first, 200, self.answers[two], two)
                await self._answer(second, 200, self.answers[one], one)
            case _:
                await self._answer(writer, 200, answer, attempt)

    async def _refuse(self, writer, code):
        body = json.dumps({"outcome": "not run", "code": code}).encode()
        await self._answer(writer, 503, body)

    async def _answer(self, writer, status, body, attempt="", cut=0, length=True):
        lines = [f"HTTP/1.1 {status} X", f"Briarshed-Load: {self.running}/{self.slots}"]
        if length:
            lines.append(f"Content-Length: {len(body)}")
        if attempt:
            lines.append(f"Briarshed-Attempt: {attempt}")
        text = "\r\n".join(lines) + "\r\n\r\n"
        with suppress(ConnectionError):
            writer.write(text.encode() + body[: len(body) - cut])
            await writer.drain()


async def wait_until(condition, timeout=2.0):
    """Return the seconds until the condition holds."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not condition():
        assert loop.time() - started_at < timeout, "the condition does not hold"
        await asyncio.sleep(0.01)
    return loop.time() - started_at


class Entry:
    """The modules under test, connected to fakes."""

    def __init__(self, settings):
        self.settings = settings
        self.replica = FakeReplica()
        self.coordinator = FakeCoordinator(self.replica)
        self.endpoints = Endpoints(settings)
        self.fakes = {}
        self.url = ""

    async def submit(self, queue="proofs", body=b"x", team="hotels", **headers):
        """Submit a job; return the status, the body and the headers."""
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if team and "Authorization" not in headers:
            headers["Authorization"] = f"Bearer {self.replica.keys[team]}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{self.url}/queues/{queue}/jobs", data=body, headers=headers
            ) as response,
        ):
            return response.status, await response.read(), response.headers

    async def get(self, path):
        """Return the status and the JSON body of a path."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(self.url + path) as response,
        ):
            return response.status, await response.json()


@asynccontextmanager
async def open_entry(fakes, settings=None, slots=8):
    """Yield an entry with the fakes as pool ``proofs`` and team ``hotels``."""
    entry = Entry(settings or make_settings())
    entry.replica.add_team("hotels")
    entry.replica.add_queue("proofs")
    entry.replica.configuration["pools"]["proofs"]["slots"] = slots
    async with AsyncExitStack() as stack:
        for name, fake in fakes.items():
            await stack.enter_async_context(fake)
            entry.replica.add_instance(name, "proofs", fake.address)
        entry.fakes = fakes
        await stack.enter_async_context(entry.endpoints)
        entry.scheduler = Scheduler(
            entry.settings, entry.replica, entry.coordinator, entry.endpoints
        )
        application = callers.make_application(
            entry.settings, entry.replica, entry.coordinator, entry.scheduler
        )
        connections = make_connections(entry.settings, lambda reason: None)
        await stack.enter_async_context(connections)
        door = connections.open_door("callers")
        port = callers.CallerServer(entry.settings, application, door)
        await stack.enter_async_context(port)
        entry.url = f"http://{port.address}"
        yield entry
