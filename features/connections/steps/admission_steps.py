"""Steps for decisions about clients; nothing is sent."""

import asyncio
import gc
import tracemalloc
from types import SimpleNamespace

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from behave import given, then, when

from briarshed.byte_admission import (
    ByteBudget,
    ProcessShare,
    RequestBounds,
    find_excess,
    size_share,
)
from briarshed_entry.connections import Connections
from briarshed_entry.metrics import name_client_gauges
from briarshed_entry.request_bodies import read_body


@when("a process has {memory:d} MB and {descriptors:d} descriptors")
def step_process(context, memory, descriptors):
    context.share = size_share(memory, descriptors)


@then("clients may hold {held:d} bytes on {connections:d} connections")
def step_share(context, held, connections):
    assert context.share == ProcessShare(held, connections), context.share


@when(
    'a connection has been in phase "{phase}" for {elapsed:g} s and got {count:d} bytes'
)
def step_phase(context, phase, elapsed, count):
    context.reason = find_excess(phase, elapsed, count, RequestBounds())


@then('it is closed as "{reason}"')
def step_reason(context, reason):
    assert context.reason == reason, context.reason


@then('it is closed as ""')
def step_open(context):
    assert not context.reason, context.reason


@given("a budget of {size:d} bytes")
def step_budget(context, size):
    context.budget = ByteBudget(size)


@then("a request may reserve {first:d} and then {second:d} bytes, and another one none")
def step_single(context, first, second):
    assert context.budget.reserve(first)
    assert context.budget.reserve(second, own=first)
    assert not context.budget.reserve(1)


@then("after their return another one may reserve {amount:d} bytes")
def step_return(context, amount):
    context.budget.release(context.budget.held)
    assert context.budget.reserve(amount)


class Upload:
    """A connection that has sent a part of a body."""

    phase = "body"

    def __init__(self, door, held):
        self.door = door
        self.held = held
        self.is_closed = False

    def abort(self, reason):
        """Close it and return what it holds."""
        self.is_closed = True
        self.door.budget.release(self.held)
        self.held = 0
        self.door.remove(self)


@given(
    "a budget of {size:d} bytes, and {count:d} uploads that hold {held:d} bytes each"
)
def step_uploads(context, size, count, held):
    context.connections = Connections(ProcessShare(size, 64), RequestBounds)
    context.callers = context.connections.open_door("callers")
    context.uploads = [Upload(context.callers, held) for _ in range(count)]
    for upload in context.uploads:
        context.callers.add(upload)
        assert context.callers.budget.reserve(held)


@then(
    "the gauges show {held:d} of {size:d} bytes held, {bodies:d} bodies and {idle:d}"
    " idle connections"
)
def step_gauges(context, held, size, bodies, idle):
    gauges = name_client_gauges(context.connections.measure())
    assert gauges["clients.held_bytes.callers"] == held, gauges
    assert gauges["clients.budget_bytes.callers"] == size, gauges
    assert gauges["clients.connections.callers.body"] == bodies, gauges
    assert gauges["clients.connections.callers.idle"] == idle, gauges


@when("a further request asks for {amount:d} bytes")
def step_further(context, amount):
    asking = Upload(context.callers, 0)
    context.is_admitted = context.connections.make_room(amount, asking)


@when(
    "a request at a listen address with a part of the connections asks for {amount:d}"
    " bytes"
)
def step_small_door(context, amount):
    asking = Upload(context.connections.open_door("readiness", 16), 0)
    context.is_admitted = context.connections.make_room(amount, asking)


@then("{count:d} uploads are closed, and it is {verdict}")
def step_closed(context, count, verdict):
    assert sum(row.is_closed for row in context.uploads) == count
    assert context.is_admitted == (verdict == "admitted")


async def send_and_leave(size):
    """Let a client send a part of a body and leave while it is read."""
    loop = asyncio.get_running_loop()
    protocol = BaseProtocol(loop)
    protocol.connection_made(asyncio.Transport())
    content = StreamReader(protocol, 65_536, loop=loop)
    request = SimpleNamespace(
        content=content, content_length=None, headers={}, protocol=None
    )
    reading = asyncio.create_task(read_body(request, 2 * size, 60.0))
    for _ in range(10):
        content.feed_data(bytes(size // 10))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    content.set_exception(ConnectionResetError())
    await asyncio.wait([reading])
    assert isinstance(reading.exception(), ConnectionResetError), reading


@when("{count:d} clients send {size:d} bytes of a body each and leave")
def step_leave(context, count, size):
    async def run():
        for _ in range(count):
            await send_and_leave(size)

    gc.disable()
    tracemalloc.start()
    try:
        asyncio.run(run())
        context.kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()


@then("fewer than {size:d} bytes are kept")
def step_kept(context, size):
    assert context.kept < size, context.kept
