"""Steps for lists of runs with long checkpoints."""

import asyncio
import contextlib
import json
import time

from aiohttp import web
from behave import given, then, when
from endpoint_steps import TASK
from hypothesis import given as given_cases
from hypothesis import seed, settings
from hypothesis import strategies as some
from malformed_steps import call_server

from briarshed_platform import endpoints
from briarshed_platform.endpoints import encode_task
from briarshed_platform.response_bodies import (
    SMALL_BODY_BYTES,
    RowsBody,
    TextRoom,
)
from briarshed_workloads.interfaces import OutcomeUnknownError

CHARACTERS = {
    "ASCII characters": ("x", False),
    "two-byte characters": ("é", False),
    "escaped characters": ("é", True),
    "halves of characters": ("\ud800", True),
}
PARTS = 10
LONG_WAIT_S = 10.0
MAX_TEXT, ROOM = 300, 5_000
CASES = 200


@given(
    "an endpoint that lists {runs:d} runs and as many ends, whose checkpoints have"
    " {count:d} {characters}"
)
def step_endpoint(context, runs, count, characters):
    letter, is_escaped = CHARACTERS[characters]
    context.checkpoint = letter * count
    names = [encode_task(TASK._replace(index=index)) for index in range(2 * runs)]
    body = {
        "clock-ms": 1,
        "born": 1,
        "running": [[name, 7, context.checkpoint, 5, 0] for name in names[:runs]],
        "ended": [
            [number, name, 8, "done", context.checkpoint]
            for number, name in enumerate(names[runs:], 1)
        ],
    }
    context.runs = runs
    context.body = json.dumps(body, ensure_ascii=is_escaped).encode()
    context.pauses = [0.0]


@given("its response takes {seconds:g} s to arrive, in parts")
def step_slow(context, seconds):
    context.pauses = [seconds / PARTS] * PARTS


@given("its response stops after a part for {seconds:g} s")
def step_stops(context, seconds):
    context.pauses = [0.0] * (PARTS - 1) + [seconds]


def poll(context, times=1, wait=0.0):
    """Poll the endpoint several times at once; return the responses."""

    async def respond(request):
        await request.read()
        response = web.StreamResponse()
        await response.prepare(request)
        size = len(context.body) // len(context.pauses) + 1
        with contextlib.suppress(ConnectionResetError):
            for number, pause in enumerate(context.pauses):
                await asyncio.sleep(pause)
                await response.write(context.body[number * size : (number + 1) * size])
        return response

    async def call(fixture):
        calls, address = fixture.endpoints, fixture.address
        room = calls._listed_texts
        context.most_held = 0

        async def watch():
            while True:
                context.most_held = max(context.most_held, room.held)
                await asyncio.sleep(0)

        watching = asyncio.create_task(watch())
        polls = [calls.poll("e", address, 1, 0, 1, wait) for _ in range(times)]
        before = time.monotonic()
        try:
            return await asyncio.gather(*polls)
        finally:
            watching.cancel()
            context.seconds = time.monotonic() - before
            context.held = room.held

    return call_server(respond, call)


@when("it is polled")
def step_poll(context):
    context.responses, context.error = [], None
    logged = []
    original = endpoints.log_event
    endpoints.log_event = lambda event, **fields: logged.append(fields)
    try:
        context.responses = poll(context)
    except OutcomeUnknownError as error:
        context.error = error
    finally:
        endpoints.log_event = original
    context.logged = logged


@when("it is polled {times:d} times at once")
def step_poll_often(context, times):
    context.responses = poll(context, times, LONG_WAIT_S)


def check_listed(context, checkpoint=None):
    """Check the rows of each response, and their checkpoints unless they may differ."""
    assert context.responses
    for response in context.responses:
        indices = [row.task.index for row in (*response.running, *response.ended)]
        assert indices == list(range(2 * context.runs)), indices
        assert {row.run for row in response.running} == {7}
        assert {(row.run, row.outcome) for row in response.ended} == {(8, "succeeded")}
        for row in (*response.running, *response.ended):
            allowed = {"", context.checkpoint} if checkpoint is None else {checkpoint}
            assert row.checkpoint in allowed, len(row.checkpoint)


@then("each run and end is listed, with its checkpoint whole")
def step_whole(context):
    assert context.error is None, context.error
    check_listed(context, context.checkpoint)


@then("each run and end is listed, with its checkpoint left out and logged")
def step_left_out(context):
    assert context.error is None, context.error
    check_listed(context, "")
    assert context.logged == [{"endpoint": "e", "count": 2 * context.runs}]


@then("each response lists each run and end")
def step_each(context):
    check_listed(context)


@then(
    "the responses held at most {size:g} MB of texts at a time, and hold none"
    " afterwards"
)
def step_held(context, size):
    assert 0 < context.most_held <= size * 1e6, context.most_held
    assert context.held == 0, context.held


@then("the poll has failed after at most {seconds:g} s")
def step_failed(context, seconds):
    assert context.error is not None
    assert context.seconds <= seconds, context.seconds


def expect(value, depth=1):
    """Return a decoded body without the texts that are too long."""
    if isinstance(value, dict):
        return {key: expect(item, depth + 1) for key, item in value.items()}
    if isinstance(value, list):
        return [expect(item, depth + 1) for item in value]
    is_long = isinstance(value, str) and len(json.dumps(value)) - 2 > MAX_TEXT
    return "" if is_long and depth > 3 else value


TEXTS = some.one_of(
    some.text(max_size=20),
    some.text('"\\[]{}né', min_size=20, max_size=400),
)
ROWS = some.lists(some.lists(some.one_of(some.integers(), TEXTS), max_size=4))


@then("random bodies in random parts keep all but the overlong texts of rows")
def step_random(context):
    @seed(1)
    @settings(max_examples=CASES, deadline=None, database=None)
    @given_cases(
        some.fixed_dictionaries({"a": ROWS, "b": TEXTS, "c": ROWS}),
        some.lists(some.integers(1, 50), min_size=1),
    )
    def check(value, sizes):
        # Space before the body makes it so long that it is not kept whole.
        body = b" " * SMALL_BODY_BYTES + json.dumps(value).encode()
        with RowsBody(MAX_TEXT, TextRoom(10**6)) as reader:
            position, number = 0, 0
            reader.add(body[:SMALL_BODY_BYTES])
            position = SMALL_BODY_BYTES
            while position < len(body):
                size = sizes[number % len(sizes)]
                reader.add(body[position : position + size])
                position, number = position + size, number + 1
            assert reader.decode() == expect(value)

    check()
