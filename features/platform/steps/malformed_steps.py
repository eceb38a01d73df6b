"""Steps for malformed responses of outside systems and messages of peers."""

import asyncio
import contextlib
import socket
import zlib

import msgspec
import zmq
from aiohttp import web
from behave import given, then, when
from endpoint_steps import TASK

from briarshed import events
from briarshed.exceptions import DocumentError
from briarshed_platform.endpoints import PlatformEndpoints
from briarshed_platform.http_client import HttpClient
from briarshed_platform.instances import PlatformInstances
from briarshed_platform.store import PlatformStore
from briarshed_workloads import supervision, transport
from briarshed_workloads.configuration_updates import decompress
from briarshed_workloads.interfaces import NotExecutedError, OutcomeUnknownError
from briarshed_workloads.transport import (
    EntryHeartbeat,
    Envelope,
    JobRequest,
    PeerTransport,
)
from briarshed_workloads.workloads import StartRequest

BODIES = {
    "not JSON": b"<html>",
    "a list": b"[]",
    "no body": b"",
    "nested": b'{"clock-ms": 1, "born": 1, "x": ' + b"[" * 5_000 + b"]" * 5_000 + b"}",
    "9 MB": b'{"clock-ms": 1, "born": 1, "x": "' + b"x" * 9_000_000 + b'"}',
}
START = StartRequest(TASK, 1, "", 1, 1)
CALLS = {
    "poll": lambda fixture: fixture.endpoints.poll("e", fixture.address, 1, 0, 1, 0.0),
    "start": lambda fixture: fixture.endpoints.start(
        "e", fixture.address, START, lambda: True
    ),
    "stop": lambda fixture: fixture.endpoints.stop(
        "e", fixture.address, TASK, 1, 1, lambda: True
    ),
    "read": lambda fixture: fixture.store.read("k"),
    "read_all": lambda fixture: fixture.store.read_all("k"),
    "watch": lambda fixture: fixture.store.watch("k", 1, 0.1),
    "commit": lambda fixture: fixture.store.commit([], []),
    "grant_lease": lambda fixture: fixture.store.grant_lease(1.0),
    "read_instances": lambda fixture: fixture.instances.read_instances(),
}
FIRST_PAGE = {
    "machines": [{"machine": "m", "pool": "p", "state": "up"}],
    "next-token": "2",
}
HEARTBEAT = EntryHeartbeat("e", "i", 1, 0.0, False)
ENCODED_HEARTBEAT = msgspec.msgpack.encode(Envelope("a", HEARTBEAT))
FAILING = JobRequest(1, "fails", False)
NESTED_MESSAGE = b"\x93" + ENCODED_HEARTBEAT[1:] + b"\x91" * 5_000 + b"\xc0"
"""An envelope, an array of two elements, with a third one."""
UNKNOWN_TYPE = b"\x92\xa1a\x91\xa2xx"
WAIT_S = 3.0


class Fixture:
    """Clients of one address."""

    def __init__(self, client, address):
        self.address = address
        self.endpoints = PlatformEndpoints(client)
        self.store = PlatformStore(client, address)
        self.instances = PlatformInstances(client, address)


@given("a server that responds with status 200 and {body}")
def step_server(context, body):
    context.body = BODIES.get(body, body.encode())


@when("{call} is called there")
def step_call(context, call):
    async def respond(request):
        await request.read()
        return web.Response(body=context.body)

    context.error = None
    try:
        context.result = call_server(respond, CALLS[call])
    except OutcomeUnknownError as error:
        context.error = error


def call_server(respond, call):
    """Call a server that handles requests with a function, and return the result."""

    async def run():
        runner = web.ServerRunner(web.Server(respond))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        try:
            async with HttpClient() as client:
                return await call(Fixture(client, f"127.0.0.1:{port}"))
        finally:
            await runner.cleanup()

    return asyncio.run(run())


@then("the outcome is unknown, and the reason names the body's fault")
def step_unknown(context):
    assert context.error is not None, context.result
    assert "time-out" not in str(context.error), context.error


@given(
    "a server with two pages of instances that responds to the second with status"
    " {status:d}"
)
def step_pages(context, status):
    async def respond(request):
        if "page-token" in request.query:
            return web.json_response({"error": "page"}, status=status)
        return web.json_response(FIRST_PAGE)

    context.respond = respond


@when("the instances are read there")
def step_read(context):
    context.error = None
    try:
        context.result = call_server(context.respond, CALLS["read_instances"])
    except (NotExecutedError, OutcomeUnknownError) as error:
        context.error = error


@then("the list is not taken for complete")
def step_not_complete(context):
    assert context.error is not None, context.result


def find_free_address():
    """Return a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@given("two entries' transports, where the handler fails for one message")
def step_transports(context):
    context.received = []


@when("one sends {message}, and then a heartbeat")
def step_sends(context, message):
    data = {
        "bytes that are no message": b"\xc1",
        "a message of an unknown type": UNKNOWN_TYPE,
        "a message nested 5,000 deep": NESTED_MESSAGE,
        "5 MB": b"x" * 5_000_000,
    }.get(message)
    logged = []

    def handle(sender, received):
        if received == FAILING:
            raise KeyError("the handler fails")
        context.received.append(received)

    async def run():
        address, other = find_free_address(), find_free_address()
        sender = PeerTransport(other, lambda *_: None)
        async with PeerTransport(address, handle), sender:
            if data is None:
                sender.send(address, FAILING)
            else:
                with contextlib.closing(zmq.Context.instance().socket(zmq.PUSH)) as raw:
                    raw.setsockopt(zmq.LINGER, 500)
                    raw.connect(f"tcp://{address}")
                    raw.send(data)
                    await asyncio.sleep(0.2)
            async with asyncio.timeout(WAIT_S):
                while not context.received:
                    sender.send(address, HEARTBEAT)
                    await asyncio.sleep(0.05)

    originals = transport.log_event, supervision.log_event
    transport.log_event = supervision.log_event = lambda event, **_: logged.append(
        event
    )
    try:
        asyncio.run(run())
    finally:
        transport.log_event, supervision.log_event = originals
    context.logged = logged


@when("one sends a heartbeat to {name}, and then to the other")
def step_sends_to(context, name):
    odd = {
        "an empty address": "",
        "a line break": "127.0.0.1:1\n",
        "a long address": "1" * 100_000,
    }.get(name, name)
    context.logged = []

    async def run():
        address, own = find_free_address(), find_free_address()
        receiver = PeerTransport(address, lambda _, row: context.received.append(row))
        sender = PeerTransport(own, lambda *_: None)
        async with receiver, sender, asyncio.timeout(WAIT_S):
            while not context.received:
                sender.send(odd, HEARTBEAT)
                sender.send(address, HEARTBEAT)
                await asyncio.sleep(0.05)

    original = transport.log_event
    transport.log_event = lambda event, **_: context.logged.append(event)
    try:
        asyncio.run(run())
    finally:
        transport.log_event = original


@then("the heartbeat arrives at the other, which logs {name}")
def step_arrives(context, name):
    assert context.received[0] == HEARTBEAT
    expected = [] if name == "nothing" else [getattr(events, name)]
    assert context.logged == expected, context.logged


@given("an entry without a configuration")
def step_entry(context):
    context.compressed = zlib.compress(b"x" * 100_000)


@when("a peer sends a configuration that is {damage}")
def step_configuration(context, damage):
    data = {
        "not compressed": b"x" * 100,
        "cut off": context.compressed[:-20],
        "17 MB": zlib.compress(b"x" * 17_000_000),
    }[damage]
    try:
        context.content = decompress(data)
    except DocumentError as error:
        context.content = error


@then("it is rejected, and the entry has no configuration")
def step_rejected(context):
    assert isinstance(context.content, DocumentError), context.content
