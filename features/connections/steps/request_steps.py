"""Steps with single requests at their limits, and with other trouble beside a crowd."""

import asyncio
import re
import secrets
import socket
import time
from types import SimpleNamespace
from unittest.mock import patch

from aiohttp import web
from behave import then, when
from crowd_steps import step_bounds, step_crowd
from doors import (
    GRACE_S,
    TIMEOUT_S,
    call,
    make_headers,
    make_job,
    start_crowd,
    wait_quiet,
    wait_until,
)

from briarshed_entry import bounded_protocol

FREEZE_S = 4.0

UNKNOWN = {
    "for an unknown queue": (b" /q/", b" /other/"),
    "with an unknown key": (b"Key: key-1", b"Key: key-2"),
    "with the method PUT": (b"POST", b"PUT"),
}


def exchange(address, parts, responses):
    """Send parts of requests on a connection; return the statuses of the responses."""
    host, _, port = address.rpartition(":")
    data, found = b"", []
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        for part in parts:
            connection.sendall(part)
        while len(found) < responses:
            received = connection.recv(65_536)
            if not received:
                break
            data += received
            found = re.findall(rb"HTTP/1.1 (\d+)", data)
    return " ".join(status.decode() for status in found)


def make_chunks(body, size):
    """Return a body in chunks, with the last one."""
    rows = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(row), row) for row in rows) + b"0\r\n\r\n"


def make_head(context, length=None):
    """Return a head with a job id of its own; without a length, its end is missing."""
    old = b" /q/" + re.search(rb"/q/(\w*)|$", context.door.head)[0][3:]
    new = b" /q/" + secrets.token_hex(8).encode()
    head = context.door.head.replace(old, new)
    return head if length is None else head + b"Content-Length: %d\r\n\r\n" % length


def pad_head(head, size, split):
    """Return a head that is padded to a size, in one line or in short lines."""
    missing = size - len(head) - 2
    if split == "short lines":
        lines = missing // 8
        return head + b"A: xyz\r\n" * (lines - 1) + _fill(missing - 8 * (lines - 1))
    return head + _fill(missing)


def _fill(size):
    return b"A: " + b"x" * (size - 5) + b"\r\n\r\n"


@when("a client sends a head of {size:d} bytes in {split}")
def step_head(context, size, split):
    body = make_job()
    head = make_head(context) + b"Content-Length: %d\r\n" % len(body)
    head = pad_head(head, size, split)
    assert len(head) == size
    data = head + body
    parts = [data]
    if split == "pieces":
        parts = [data[at : at + 1_000] for at in range(0, len(data), 1_000)]
    context.statuses = exchange(context.door.address, parts, 1)


@when("a client sends a body of {size:d} bytes")
def step_body(context, size, lines=0):
    parts = [b"\r\n" * lines + make_head(context, size), make_job(size)]
    context.statuses = exchange(context.door.address, parts, 1)


@when("a client sends {lines:d} empty lines and a body of {size:d} bytes")
def step_lines(context, lines, size):
    step_body(context, size, lines)


@when("a client sends a body of {size:d} bytes in chunks of {chunk:d}")
def step_chunks(context, size, chunk):
    head = make_head(context) + b"Transfer-Encoding: chunked\r\n\r\n"
    parts = [head, make_chunks(make_job(size), chunk)]
    context.statuses = exchange(context.door.address, parts, 1)


def make_large_job(context, steps):
    """Return a request with a job of that many steps, in parts."""
    body = b'{"spec":"x","steps":[' + b",".join([b'{"count":1}'] * steps) + b"]}"
    return [make_head(context, len(body)), body]


@when("a client sends a job of {count:d} steps")
def step_steps(context, count):
    parts = make_large_job(context, count)
    context.statuses = exchange(context.door.address, parts, 1)


@when("a client sends {jobs:d} jobs of {count:d} steps")
def step_jobs(context, jobs, count):
    for _ in range(jobs):
        exchange(context.door.address, make_large_job(context, count), 1)


@when("a client sends many invalid chunks")
def step_invalid(context):
    head = make_head(context) + b"Transfer-Encoding: chunked\r\n\r\n"
    parts = [head + b"2\r\n  \r\n" + b"zz\r\n\r\n" * 2_000]
    context.statuses = exchange(context.door.address, parts, 1)


@when("a client sends two requests at once")
def step_two(context):
    requests = [make_head(context, 100) + make_job(100) for _ in range(2)]
    context.statuses = exchange(context.door.address, [b"".join(requests)], 2)


@when("a client sends only the head of a body of {size:d} bytes")
def step_only_head(context, size):
    context.statuses = exchange(context.door.address, [make_head(context, size)], 1)


@when("a client sends only the head of a body {what}")
def step_other_head(context, what):
    head = make_head(context, 100).replace(*UNKNOWN[what])
    context.statuses = exchange(context.door.address, [head], 1)


@when("a client sends a head that expects 100, {what}")
def step_expect(context, what):
    head = make_head(context) + b"Expect: 100-continue\r\nContent-Length: 100\r\n\r\n"
    if what == "and then the body":
        context.statuses = _send_after_continue(context, head)
        return
    head = head.replace(*UNKNOWN[what])
    context.statuses = exchange(context.door.address, [head], 1)


def _send_after_continue(context, head):
    host, _, port = context.door.address.rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(head)
        first = connection.recv(65_536)
        connection.sendall(make_job(100))
        second = connection.recv(65_536)
    return f"{first[9:12].decode()} {second[9:12].decode()}"


@when("a client sends a request, and a head of {size:d} bytes when that is allowed")
def step_raised(context, size):
    limits = {"max-header-bytes": 2 * size, "idle-timeout-ms": 60_000}
    body, address = make_job(), context.door.address
    long_ = {**make_headers(), "X-Long": "x" * size}
    path = "/q/" + secrets.token_hex(8)

    def is_allowed():
        return call(address, "POST", path, long_, body).status == 200

    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(make_head(context, len(body)) + body)
        first = connection.recv(65_536)
        context.entries.configure(2, limits)
        wait_until("the limits are raised", is_allowed)
        head = make_head(context) + b"Content-Length: %d\r\n" % len(body)
        connection.sendall(pad_head(head, size, "one line") + body)
        second = connection.recv(65_536)
    context.statuses = f"{first[9:12].decode()} {second[9:12].decode()}"


@then("it is answered with {statuses}")
def step_statuses(context, statuses):
    assert context.statuses == statuses, context.statuses


@when("the process is frozen while a second crowd comes")
def step_freeze(context):
    context.door.process.stop()
    context.loses_lease = True
    start_crowd(context.stack, context.door, "everything", 200)
    context.door.process.resume()
    wait_quiet(context.door.process.pid)


@when("the process is frozen for longer than its lease")
def step_freeze_alone(context):
    context.door.process.stop()
    context.loses_lease = True
    time.sleep(FREEZE_S)
    context.door.process.resume()


@when("a configuration lowers the limits")
def step_lower(context):
    context.entries.configure(2, {"max-body-bytes": 10_000, "max-header-bytes": 4_000})
    address, path = context.door.address, "/q/" + secrets.token_hex(8)
    long_ = {**make_headers(), "X-Long": "x" * 5_000}
    wait_until(
        "the limits are lowered",
        lambda: call(address, "POST", path, long_, make_job()).status == 431,
    )
    answer = call(address, "POST", path, make_headers(), make_job(10_001))
    assert answer.status == 413, answer


@when("the entry that leads is lost")
def step_lose_leader(context):
    # The first entry has led since it was alone; the crowd stays at the second.
    first = context.door
    context.door = context.entries.open("e2", "callers")
    step_crowd(context, 200, "everything")
    step_bounds(context)
    first.process.kill()
    context.loses_lease = True
    wait_until("a new leader accepts", lambda: context.door.request().status == 200)


@when("the process is frozen when it gets SIGTERM")
def step_frozen_sigterm(context):
    context.door.process.stop()
    context.door.process.terminate()
    time.sleep(FREEZE_S)
    context.door.process.resume()


@then("the process ends on SIGTERM within its grace")
def step_sigterm(context):
    process = context.door.process
    if process.is_running():
        process.terminate()
    assert process.wait(GRACE_S) == 0


@when('{count:d} clients of {where} send "{kind}" and stay')
def step_crowd_at(context, count, where, kind):
    context.leader = context.door
    if where != "the leader":
        context.door = context.entries.open("e2", "callers")
    if where.endswith("frozen leader"):
        context.leader.process.stop()
    step_crowd(context, count, kind)
    context.leader.process.resume()
    wait_quiet(context.leader.process.pid)


@then("the leader runs within its memory and descriptors")
def step_leader(context):
    context.door, other = context.leader, context.door
    step_bounds(context)
    context.door = other


@then("an ordinary request gets 200 or 503")
def step_ordinary_or_full(context):
    answer = context.door.request()
    assert answer.status in (200, 503), answer
    step_bounds(context)


def read_metric(context, name):
    """Return a value of the metrics page of the entry."""
    page = call(context.entries.metrics, "GET", "/metrics", {}).content.decode()
    line = next(row for row in page.splitlines() if row.startswith(name + " "))
    return float(line.rpartition(" ")[2])


BODIES = 'briarshed_client_connections{door="callers",phase="body"}'
HELD = 'briarshed_client_held_bytes{door="callers"}'


@when("a client sends {count:d} bytes of a body of {size:d} bytes and waits")
def step_part(context, count, size):
    host, _, port = context.door.address.rpartition(":")
    context.client = socket.create_connection((host, int(port)), TIMEOUT_S)
    context.add_cleanup(context.client.close)
    context.client.sendall(make_head(context, size) + make_job(size)[:count])
    wait_until("the head is read", lambda: read_metric(context, BODIES) == 1)


@then("the metrics page shows 1 connection with a body, and bytes held")
def step_page(context):
    wait_until("the part is read", lambda: read_metric(context, HELD) >= 1_000)


@then("the metrics page shows 0 connections with a body when the client has left")
def step_page_after(context):
    context.client.close()
    wait_until("the client is gone", lambda: read_metric(context, BODIES) == 0)
    wait_until("its bytes are returned", lambda: read_metric(context, HELD) == 0)


@when("the limit of a connection that takes bodies as they are is raised")
def step_raise(context):
    bounds = SimpleNamespace(header_bytes=100)
    door = SimpleNamespace(owner=SimpleNamespace(read_bounds=lambda: bounds))

    async def run():
        connection = bounded_protocol.BoundedConnection(
            web.Server(None),
            door,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
        )
        with patch.object(bounded_protocol, "HttpRequestParser") as parser:
            connection._raise_parser_limit(200)
        return parser.call_args.kwargs

    context.options = asyncio.run(run())


@then("its parser takes bodies as they are")
def step_opaque(context):
    assert context.options.get("auto_decompress") is False, context.options
