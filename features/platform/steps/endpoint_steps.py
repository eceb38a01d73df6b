"""Steps for calls to endpoints, against a stand-in."""

import asyncio
import contextlib
import socket
import struct
import time

from behave import given, then, when

from briarshed.exceptions import BriarshedError
from briarshed_platform.endpoints import (
    PlatformEndpoints,
    decode_poll_response,
    encode_task,
)
from briarshed_platform.http_client import HttpClient
from briarshed_platform_standins._server import Faults
from briarshed_platform_standins.endpoint import EndpointStandin
from briarshed_workloads.interfaces import (
    Accepted,
    ConnectionClosedError,
    NotExecutedError,
    OutcomeUnknownError,
    Refused,
)
from briarshed_workloads.workloads import StartRequest, TaskId

TASK = TaskId("00000000000000aa", 0, 0, 0)
AHEAD_MS = 3_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EndpointFixture:
    """A stand-in for an endpoint and the adapter's client."""

    def __init__(self, standin, client):
        self.standin = standin
        self.calls = PlatformEndpoints(client)

    async def start(self, *, run=10, token=5, spec="run 5", ahead=AHEAD_MS, name="e"):
        """Order a start."""
        deadline = self.standin.read_clock() + ahead
        order = StartRequest(TASK, run, spec, token, deadline)
        return await self.calls.start(name, self.standin.address, order, lambda: True)

    async def poll(self, acknowledged=0, wait=0.0, token=5):
        """Poll the endpoint."""
        return await self.calls.poll(
            "e", self.standin.address, token, acknowledged, None, wait
        )


def run_with_standin(work):
    """Run a coroutine function with a new endpoint stand-in and client."""

    async def run():
        async with EndpointStandin("e") as standin, HttpClient() as client:
            return await work(EndpointFixture(standin, client))

    return asyncio.run(run())


@given("an endpoint")
def step_endpoint(context):
    context.response = None


@when("a start is ordered {how}")
def step_start(context, how):
    async def work(fixture):
        if how == "twice":
            await fixture.start()
        if how == "with a lower token":
            await fixture.poll(token=6)
        if how == "with the number of a stopped run":
            address = fixture.standin.address
            await fixture.calls.stop("e", address, TASK, 10, 5, lambda: True)
        if how == "past its deadline":
            return await fixture.start(ahead=-500)
        if how == "for another incarnation":
            return await fixture.start(name="f")
        return await fixture.start()

    context.response = run_with_standin(work)


@then('the response is "{response}"')
def step_response(context, response):
    if response == "started":
        assert isinstance(context.response, Accepted), context.response
    else:
        assert context.response == Refused(response), context.response


@when('the fault "{fault}" is set and a start is ordered')
def step_fault(context, fault):
    async def work(fixture):
        fixture.standin.faults = Faults(down=fault)
        try:
            return await fixture.start()
        except (NotExecutedError, OutcomeUnknownError) as error:
            return error

    context.response = run_with_standin(work)


@then('the order is refused as "{reason}"')
def step_refused(context, reason):
    assert context.response == Refused(reason)


@then("the order is unknown")
def step_unknown(context):
    assert isinstance(context.response, OutcomeUnknownError)


@when("a run of 0.1 s is started and the endpoint is polled with a wait")
def step_run(context):
    async def work(fixture):
        await fixture.start(spec="run 0.1")
        started_at = time.monotonic()
        first = await fixture.poll(wait=2.0)
        seconds = time.monotonic() - started_at
        return first, seconds, await fixture.poll(), await fixture.poll(acknowledged=1)

    context.first, context.seconds, context.again, context.last = run_with_standin(work)


@then("the poll returns the success within 0.5 s")
def step_success(context):
    (ended,) = context.first.ended
    assert (ended.task, ended.run, ended.outcome) == (TASK, 10, "succeeded")
    assert context.seconds < 0.5


@then("a poll without an acknowledgement returns it again")
def step_again(context):
    assert context.again.ended == context.first.ended


@then("a poll with an acknowledgement does not")
def step_not_again(context):
    assert not context.last.ended


async def find_error(call):
    """Return the error of a call that is refused."""
    try:
        await call
    except BriarshedError as error:
        return error
    raise AssertionError("the connection was not refused")


@when('connections to it end by "{end}" and new ones are refused')
def step_connections_end(context, end):
    async def work(client):
        async def accept(reader, writer):
            await reader.read(100)
            if end == "reset":
                plain = writer.get_extra_info("socket")
                plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.close()
            server.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        calls = PlatformEndpoints(client)
        address = f"{host}:{port}"
        with contextlib.suppress(OutcomeUnknownError):
            await calls.poll("e", address, 5, 0, None, 0.0)
        return await find_error(calls.poll("e", address, 5, 0, None, 0.0))

    async def run():
        async with HttpClient() as client:
            return await work(client)

    context.error = asyncio.run(run())


@when("a process closes its connection, {event} and new connections are refused")
def step_later_process(context, event):
    """Let later processes take the address of one that has just ended."""
    responses = {
        "a later process responds to a call": (200, b'{"clock-ms":1,"born":2}'),
        "a later process responds with an undecodable body": (200, b"{"),
        "a later process responds under another name": (421, b"{}"),
        "a later process gets a call and does not respond": None,
    }

    async def run():
        is_closing = asyncio.Event()
        connections = 0

        async def accept(reader, writer):
            nonlocal connections
            connections += 1
            await reader.readuntil(b"\r\n\r\n")
            if connections > 1:
                if responses[event] is None:
                    await is_closing.wait()
                else:
                    status, body = responses[event]
                    head = f"HTTP/1.1 {status} .\r\nContent-Length: {len(body)}\r\n"
                    head += "Connection: close\r\n\r\n"
                    writer.write(head.encode() + body)
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        async with HttpClient() as client:
            calls = PlatformEndpoints(client)

            async def poll(name):
                return await calls.poll(name, address, 5, 0, None, 0.0)

            try:
                await poll("e")
                raise AssertionError("the connection was not closed")
            except ConnectionClosedError:
                pass
            if event in responses:
                with contextlib.suppress(OutcomeUnknownError):
                    await poll("f" if "another name" in event else "e")
            server.close()
            is_closing.set()
            return await find_error(poll("f" if event not in responses else "e"))

    context.error = asyncio.run(run())


@when("a poll waits, this side discards its connections and new ones are refused")
def step_given_up(context):
    async def run():
        async with EndpointStandin("e") as standin, HttpClient() as client:
            calls = PlatformEndpoints(client)
            address = standin.address
            polling = asyncio.create_task(calls.poll("e", address, 5, 0, None, 1.0))
            await asyncio.sleep(0.1)
            await calls.discard_connections(address)
            with contextlib.suppress(OutcomeUnknownError):
                await polling
            await standin.__aexit__(None, None, None)
            return await find_error(calls.poll("e", address, 5, 0, None, 0.0))

    context.error = asyncio.run(run())


@when("a poll waits, this side discards its connections and the run it waits for ends")
def step_given_up_beside(context):
    async def work(fixture):
        await fixture.start(spec="run 0.3")
        polling = asyncio.create_task(fixture.poll(wait=1.0))
        await asyncio.sleep(0.1)
        await fixture.calls.discard_connections(fixture.standin.address)
        return await polling

    context.first = run_with_standin(work)


@then("the poll returns the success")
def step_told(context):
    assert [row.outcome for row in context.first.ended] == ["succeeded"]


@then("the end of the endpoint is not proved")
def step_not_proved(context):
    # No kind of error tells more than that the call was not executed.
    assert type(context.error) is NotExecutedError, context.error


@when("a run of 5 s is started with a deadline in 0.2 s and not polled for 0.4 s")
def step_lapse(context):
    async def work(fixture):
        await fixture.start(ahead=200)
        await asyncio.sleep(0.4)
        context.rows = fixture.standin.started
        return await fixture.poll()

    context.first = run_with_standin(work)


@then('a poll returns the end "lapsed"')
def step_lapsed(context):
    assert [row.outcome for row in context.first.ended] == ["lapsed"]


@then("the stand-in records that the run took less than {seconds:g} s")
def step_length(context, seconds):
    ((_, _, started_at, ended_at, *_),) = context.rows
    assert ended_at - started_at < seconds, context.rows


@when("an endpoint lists {count:d} ends in response to a poll")
def step_lists_ends(context, count):
    rows = [
        [number, encode_task(TASK), number, "done", ""]
        for number in range(1, count + 1)
    ]
    body = {"clock-ms": 1, "born": 1, "running": [], "ended": rows}
    context.response = decode_poll_response(body)


@then("it {may} have more ends")
def step_more_ends(context, may):
    assert context.response.may_have_more_ends == (may == "may")


@when("a process at another address redirects a start to it with status {status:d}")
def step_redirected(context, status):
    async def work(fixture):
        async def accept(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            target = f"http://{fixture.standin.address}/api/run-start"
            head = f"HTTP/1.1 {status} .\r\nLocation: {target}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        order = StartRequest(TASK, 10, "run 5", 5, fixture.standin.read_clock() + 3_000)
        async with server:
            try:
                response = await fixture.calls.start(
                    "e", f"{host}:{port}", order, lambda: True
                )
            except OutcomeUnknownError as error:
                response = error
        return response, await fixture.poll()

    context.response, context.first = run_with_standin(work)


@then("the endpoint has received no order")
def step_no_order(context):
    assert not context.first.running, context.first
    assert not context.first.ended, context.first
