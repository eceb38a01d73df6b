"""Stand-in for endpoints: tasks under leases, fences, and records of what ran.

``python -m briarshed_standins.endpoint --address 127.0.0.1:0`` serves one endpoint for
each ``--address``. Each has its own slots, faults and tasks. ``--record FILE`` appends
a JSON line when a task starts and when it ends, before either is visible to callers,
so the record is complete after a SIGKILL.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, TypedDict

import typer
from aiohttp import web

from briarshed_standins.programs import (
    Faults,
    abort_connection,
    make_application,
    now,
    run_program,
    stay_silent,
)
from briarshed_standins.tasks import make_answer, parse_task_options

FAULTS = {
    "down": "resets every connection",
    "frozen": "sends no responses until cleared; tasks do not finish, leases still end",
    "silent": "starts the task and never responds on its connection; others work",
    "silent_unstarted": "as silent, but the task does not start",
    "fail": "starts each task, then fails it",
    "impossible": "rejects each task with 422",
    "full": "refuses each task with the code 'full'",
    "late_ms": "delays each response by this time after the end of the task",
    "lost": "runs the task to its end, then resets the connection without a response",
    "lost_unstarted": "resets the connection without starting the task",
    "truncated": "sends half of the declared body and closes the connection",
    "wrong_attempt": "responds with the id and the body of another attempt",
    "repeated": "sends the response twice on the connection",
}
UNKNOWN_ATTEMPT = "00000000000000000000000000000000"
State = Literal["serving", "leaving", "off"]


class Limits(NamedTuple):
    """Limits of one endpoint, and the duration of tasks without an ``ms`` option."""

    slots: int
    connections: int
    duration_ms: int


class RecordLine(TypedDict):
    """One line of the record; times are in seconds of ``CLOCK_BOOTTIME``.

    The fleet program adds a line with the event ``killed`` when it kills an endpoint.
    """

    event: Literal["start", "end", "killed"]
    at: float
    endpoint: str
    attempt: str
    job: str
    team: str
    key: str
    queue: str
    idempotent: bool
    result: str


class Task:
    """One attempt of a job, which this endpoint has started; ``attempt`` is its id.

    ``state`` is ``running``, ``finished`` or ``stopped``; a task that failed, was
    fenced or interrupted, or whose lease ended is ``stopped``.
    """

    def __init__(self, request: web.Request, body: bytes) -> None:
        self.attempt = request.match_info["attempt"]
        self.headers = request.headers
        self.body = body
        self.state = "running"
        self.ended = asyncio.Event()
        self.runner: asyncio.Task[None] | None = None
        self.fails = False


class Endpoint:
    """One endpoint; ``write`` is called with each line of its record."""

    def __init__(self, limits: Limits, write: Callable[[RecordLine], None]) -> None:
        self.limits = limits
        self.state: State = "serving"
        self.faults = Faults(FAULTS)
        self.address = ""
        self.most_connections = 0
        self.refused_connections = 0
        self._write = write
        # Counted here because every response carries it and ``_tasks`` keeps finished
        # tasks too.
        self._running = 0
        self._tasks: dict[str, Task] = {}
        self._fenced: set[str] = set()
        self._silent: set[int] = set()
        self._transports: set[asyncio.BaseTransport] = set()

    def count_running(self) -> int:
        """Return the number of running tasks."""
        return self._running

    async def guard(self, request: web.Request) -> web.StreamResponse | None:
        """Apply the connection limit and the faults of whole connections."""
        self.address = self.address or _find_address(request)
        open_now = self._count_connections(request)
        self.most_connections = max(self.most_connections, open_now)
        if open_now > self.limits.connections:
            self.refused_connections += 1
            return abort_connection(request)
        if self.state == "off" or self.faults.read("down"):
            return abort_connection(request)
        if id(request.protocol) in self._silent:
            return await stay_silent(request)
        # A request that arrives while frozen runs afterwards, even if its caller has
        # disconnected.
        await request.read()
        await self._wait_while_frozen()
        return None

    async def handle_start(self, request: web.Request) -> web.StreamResponse:
        """Start a task or refuse it; respond when it has ended."""
        body = await request.read()
        if self.faults.take("lost_unstarted"):
            return abort_connection(request)
        if self.faults.take("silent_unstarted"):
            return await self._hold_open(request)
        refusal = self._find_refusal(request.match_info["attempt"], body)
        if refusal is not None:
            return refusal
        task = self._start(request, body)
        if self.faults.take("silent"):
            return await self._hold_open(request)
        await task.ended.wait()
        await asyncio.sleep(self.faults.read("late_ms", 0) / 1000)
        await self._wait_while_frozen()
        if self.state == "off":
            return abort_connection(request)
        return await self._send_result(request, task)

    async def handle_get_state(self, request: web.Request) -> web.Response:
        """Return the state of a task."""
        task = self._tasks.get(request.match_info["attempt"])
        return self._answer({"state": task.state if task else "never"})

    async def handle_get_result(self, request: web.Request) -> web.StreamResponse:
        """Return the result of a finished task."""
        task = self._tasks.get(request.match_info["attempt"])
        if task is None or task.state != "finished":
            return self._answer({"state": task.state if task else "never"}, 404)
        return await self._send_result(request, task)

    async def handle_fence(self, request: web.Request) -> web.Response:
        """Fence an attempt: stop it if running, refuse it if it arrives later."""
        attempt = request.match_info["attempt"]
        task = self._tasks.get(attempt)
        if task is None:
            self._fenced.add(attempt)
            return self._answer({"state": "never"})
        if task.state == "running":
            self._end(task, "fenced")
        return self._answer({"state": task.state})

    async def handle_get_health(self, _request: web.Request) -> web.Response:
        """Return the state and the load."""
        return self._answer(
            {
                "state": self.state,
                "running": self.count_running(),
                "slots": self.limits.slots,
            }
        )

    async def change_state(self, request: web.Request) -> web.Response:
        """Set the state; ``off`` interrupts the running tasks.

        The platform stand-in calls this to drain or reboot an instance.
        """
        content = await request.json()
        self.address = self.address or _find_address(request)
        self.state = content["state"]
        if self.state == "off":
            for task in list(self._tasks.values()):
                if task.state == "running":
                    self._end(task, "interrupted")
        return web.json_response({"state": self.state, "running": self.count_running()})

    async def change_limits(self, request: web.Request) -> web.Response:
        """Replace the given limits."""
        self.limits = self.limits._replace(**await request.json())
        return web.json_response(self.limits._asdict())

    async def handle_get_counts(self, _request: web.Request) -> web.Response:
        """Return the counts of connections and running tasks."""
        return web.json_response(
            {
                "most_connections": self.most_connections,
                "refused_connections": self.refused_connections,
                "running": self.count_running(),
            }
        )

    def _find_refusal(self, attempt: str, body: bytes) -> web.Response | None:
        if attempt in self._tasks:
            # The attempt has already started, so the outcome "not run" would be wrong.
            return self._answer({"state": self._tasks[attempt].state}, 409)
        code = ""
        if attempt in self._fenced:
            code = "fenced"
        elif self.state == "leaving":
            code = "leaving"
        elif self.count_running() >= self.limits.slots or self.faults.take("full"):
            code = "full"
        if code:
            return self._answer({"outcome": "not run", "code": code}, 503)
        if parse_task_options(body).outcome == 422 or self.faults.take("impossible"):
            return self._answer({"outcome": "not run", "code": "impossible"}, 422)
        return None

    def _start(self, request: web.Request, body: bytes) -> Task:
        task = Task(request, body)
        task_options = parse_task_options(body)
        task.fails = self.faults.take("fail") or task_options.outcome == 500
        self._tasks[task.attempt] = task
        self._running += 1
        self._record("start", task, "")
        duration_ms = (
            self.limits.duration_ms if task_options.ms is None else task_options.ms
        )
        task.runner = asyncio.create_task(self._run(task, duration_ms / 1000))
        return task

    async def _run(self, task: Task, duration_s: float) -> None:
        lease_s = int(task.headers.get("Briarshed-Lease-Ms", "60000")) / 1000
        with suppress(TimeoutError):
            async with asyncio.timeout(lease_s):
                await asyncio.sleep(duration_s)
                await self._wait_while_frozen()
                self._end(task, "failed" if task.fails else "finished")
                return
        self._end(task, "lease-ended")

    def _end(self, task: Task, result: str) -> None:
        if task.state != "running":
            return
        self._running -= 1
        task.state = "finished" if result == "finished" else "stopped"
        self._record("end", task, result)
        task.ended.set()
        if task.runner is not None and task.runner is not asyncio.current_task():
            task.runner.cancel()

    def _record(self, event: Any, task: Task, result: str) -> None:
        headers = task.headers
        self._write(
            {
                "event": event,
                "at": now(),
                "endpoint": self.address,
                "attempt": task.attempt,
                "job": headers.get("Briarshed-Job-Id", ""),
                "team": headers.get("Briarshed-Team", ""),
                "key": headers.get("Briarshed-Key-Id", ""),
                "queue": headers.get("Briarshed-Queue", ""),
                "idempotent": headers.get("Briarshed-Idempotent") == "true",
                "result": result,
            }
        )

    def _count_connections(self, request: web.Request) -> int:
        if request.transport is not None:
            self._transports.add(request.transport)
        self._transports = {one for one in self._transports if not one.is_closing()}
        return len(self._transports)

    async def _wait_while_frozen(self) -> None:
        while self.faults.read("frozen"):
            await self.faults.changed.wait()

    async def _hold_open(self, request: web.Request) -> web.Response:
        self._silent.add(id(request.protocol))
        try:
            return await stay_silent(request)
        finally:
            self._silent.discard(id(request.protocol))

    def _make_load_header(self) -> dict[str, str]:
        return {"Briarshed-Load": f"{self.count_running()}/{self.limits.slots}"}

    def _answer(self, content: dict[str, Any], status: int = 200) -> web.Response:
        return web.json_response(
            content, status=status, headers=self._make_load_header()
        )

    async def _send_result(
        self, request: web.Request, task: Task
    ) -> web.StreamResponse:
        if task.state != "finished":
            headers = self._make_load_header() | {"Briarshed-Attempt": task.attempt}
            return web.json_response({"code": "failed"}, status=500, headers=headers)
        answer = make_answer(task.body)
        attempt = task.attempt
        if self.faults.take("lost"):
            return abort_connection(request)
        if self.faults.take("wrong_attempt"):
            attempt, answer = UNKNOWN_ATTEMPT, make_answer(b"another body")
        headers = self._make_load_header() | {"Briarshed-Attempt": attempt}
        if self.faults.take("truncated"):
            return await _send_half(request, answer, headers)
        if self.faults.take("repeated"):
            _send_duplicate(request, answer, headers)
        return web.Response(body=answer, headers=headers)


async def _send_half(
    request: web.Request, answer: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    response = web.StreamResponse(headers=headers)
    response.content_length = len(answer)
    await response.prepare(request)
    await response.write(answer[: len(answer) // 2])
    if request.transport is not None:
        request.transport.close()
    return response


def _send_duplicate(
    request: web.Request, answer: bytes, headers: dict[str, str]
) -> None:
    fields = headers | {"Content-Length": str(len(answer))}
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in fields.items())]
    if request.transport is not None:
        head = "\r\n".join([*lines, "", ""]).encode()
        request.transport.write(head + answer)


def _find_address(request: web.Request) -> str:
    transport = request.transport
    if transport is None:
        return ""
    host, port = transport.get_extra_info("sockname")[:2]
    return f"{host}:{port}"


def make_endpoint(
    limits: Limits, write: Callable[[RecordLine], None]
) -> web.Application:
    """Return an application that serves one endpoint."""
    lines: list[RecordLine] = []

    def append_line(line: RecordLine) -> None:
        write(line)
        lines.append(line)

    async def handle_get_records(_request: web.Request) -> web.Response:
        return web.json_response(lines)

    endpoint = Endpoint(limits, append_line)
    application = make_application(endpoint.guard)
    router = application.router
    router.add_post("/tasks/{attempt}", endpoint.handle_start)
    router.add_get("/tasks/{attempt}", endpoint.handle_get_state)
    router.add_get("/tasks/{attempt}/answer", endpoint.handle_get_result)
    router.add_delete("/tasks/{attempt}", endpoint.handle_fence)
    router.add_get("/healthz", endpoint.handle_get_health)
    router.add_post("/_state", endpoint.change_state)
    router.add_post("/_limits", endpoint.change_limits)
    router.add_get("/_counts", endpoint.handle_get_counts)
    router.add_get("/_records", handle_get_records)
    endpoint.faults.add_routes(application)
    return application


def open_record(path: str) -> Callable[[RecordLine], None]:
    """Return a function that appends lines to a file; an empty path discards them."""
    if not path:
        return lambda _line: None
    file = Path(path).open("a", buffering=1, encoding="utf-8")  # noqa: SIM115
    return lambda line: print(json.dumps(line), file=file)


def serve_endpoints(addresses: Sequence[str], limits: Limits, record: str = "") -> None:
    """Serve one endpoint per address until a signal arrives."""
    write = open_record(record)
    run_program(lambda: [make_endpoint(limits, write) for _ in addresses], addresses)


def main(
    address: Annotated[list[str], typer.Option()],
    slots: Annotated[int, typer.Option()] = 8,
    connections: Annotated[int, typer.Option()] = 64,
    duration_ms: Annotated[int, typer.Option()] = 50,
    record: Annotated[str, typer.Option()] = "",
) -> None:
    """Serve endpoints until SIGTERM or SIGINT."""
    serve_endpoints(address, Limits(slots, connections, duration_ms), record)


if __name__ == "__main__":
    typer.run(main)
