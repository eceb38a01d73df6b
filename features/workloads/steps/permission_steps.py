"""Steps for orders whose permission expires before they are sent."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from election_steps import make_entry
from engine_steps import JOB, NEED, submit
from slow_store_steps import make_controller
from unexpected_error_steps import JOBS, PAUSE_S, REST_S
from virtual_fleet import Fleet, find_overlap, make_wave
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_platform.http_client import HttpClient
from briarshed_workloads.consent import PeerView
from briarshed_workloads.interfaces import Accepted, PermitExpiredError
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.transport import EntryHeartbeat
from briarshed_workloads.workloads import PollResponse, Step

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
BUSY_S = 0.3
CONNECTIONS = 6
PAUSES = 20
PAUSE_SHARE = 0.1


class CountingServer:
    """Answers requests after a delay and keeps what it received."""

    def __init__(self):
        self.received = []

    async def serve(self, reader, writer):
        """Answer each request."""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            self.received.append(head)
            await reader.readexactly(2)
            if b"/busy" in head:
                await asyncio.sleep(BUSY_S)
            writer.write(ANSWER)
            await writer.drain()


@given("a server that counts the bytes it receives")
def step_server(context):
    context.server = CountingServer()


@when("an order to it is permitted first, and not any more when {moment}")
def step_expires(context, moment):
    async def run():
        server = await asyncio.start_server(context.server.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        async with server, HttpClient() as client:
            busy = []
            if moment == "an idle connection is taken":
                await client.call("POST", address, "/first", {}, timeout=1.0)
            if moment == "a busy connection becomes free":
                busy = [
                    client.call("POST", address, "/busy", {}, timeout=2.0)
                    for _ in range(CONNECTIONS)
                ]
            order = client.call(
                "POST", address, "/order", {}, timeout=2.0, permit=lambda: False
            )
            *_, context.outcome = await asyncio.gather(
                *busy, order, return_exceptions=True
            )
            context.after = await client.call(
                "POST", address, "/after", {}, timeout=1.0, permit=lambda: True
            )

    asyncio.run(run())


@then("the order is not executed, and the server has received nothing of it")
def step_nothing(context):
    assert isinstance(context.outcome, PermitExpiredError), context.outcome
    assert not [head for head in context.server.received if b"/order" in head]
    assert context.after.status == 200


@given("two entries that serve jobs and a wave")
def step_entries(context):
    context.orders = []


@when(
    "the process is paused for {seconds:g} s before 20 random orders, with seed"
    " {seed:d}"
)
def step_paused(context, seconds, seed):
    async def run():
        loop = asyncio.get_running_loop()
        chance = random.Random(seed)
        async with Fleet() as fleet:
            await fleet.wait_for_leader()
            fleet.directory.waves = (make_wave(1, ("a", "b")),)
            pauses = iter(range(PAUSES))

            def pause():
                if chance.random() < PAUSE_SHARE and next(pauses, None) is not None:
                    loop.pause(seconds)

            fleet.endpoints.before_send = fleet.instances.before_send = pause
            for number in range(JOBS):
                fleet.submit(number)
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(3 * REST_S)
            await fleet.wait_for_leader()
            context.sent = fleet.endpoints.calls
            context.orders = fleet.instances.orders
            context.outcomes = fleet.list_outcomes()
            context.day = SimpleNamespace(overlap=find_overlap(fleet.list_runs()))

    run_virtually(run())


@then("no order is sent without authority")
def step_authority(context):
    assert context.sent
    assert all(has_authority for *_, has_authority in context.sent), context.sent
    assert all(has_authority for *_, has_authority in context.orders), context.orders


@then("every accepted job is completed")
def step_completed(context):
    assert len(context.outcomes) > JOBS / 2
    assert set(context.outcomes.values()) == {"completed"}, context.outcomes


class RecordingEndpoints:
    """Answers every order and keeps the start orders."""

    def __init__(self):
        self.orders = []

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """List nothing."""
        await asyncio.sleep(wait)
        return PollResponse(int(clock.now() * 1000), 1, (), ())

    async def start(self, name, address, order, permit):
        """Keep the order."""
        self.orders.append((int(clock.now() * 1000), order))
        return Accepted(int(clock.now() * 1000))


@given("a leader with authority for {authority:g} s more")
def step_leader(context, authority):
    context.authority = authority


@when("it starts a task")
def step_starts(context):
    async def run():
        endpoints = RecordingEndpoints()
        controller, _ = make_controller(
            SimpleNamespace(commit_count=0), endpoints=endpoints
        )
        controller.term.measure_authority = lambda: context.authority
        async with controller:
            endpoint = controller.engine.endpoints["a"]
            await controller.poller.poll(endpoint)
            submit(controller.engine, JOB, (Step(1, NEED, 1.0),), clock.now())
            (order,) = plan_starts(controller.engine, clock.now())
            await controller.orders.send_start(order)
        return endpoints.orders

    ((context.now_ms, context.order),) = run_virtually(run())


@then("the deadline of the order is at most {most:g} s ahead")
def step_deadline(context, most):
    ahead = (context.order.deadline_ms - context.now_ms) / 1000
    assert 0 < ahead <= most, ahead


@given("a leader of epoch 3 whose store has failed for 2 s")
def step_failing_store(context):
    context.entry = make_entry(SimpleNamespace(answered_at=clock.now()))
    context.entry.term = SimpleNamespace(epoch=3, members=frozenset({"e", "p"}))
    context.entry._peers["127.0.0.1:1"] = PeerView(
        EntryHeartbeat("p", "i", 1, 0.0, False), 0.0
    )


@when(
    "an entry without the store answers a heartbeat of epoch {epoch:d},"
    " sent {age:g} s ago"
)
def step_answers(context, epoch, age):
    entry, now = context.entry, clock.now()
    heartbeat = EntryHeartbeat("p", "i", 1, 5.0, False, epoch, now - age)
    entry._handle("127.0.0.1:1", heartbeat)
    context.seconds = entry.measure_consent(now - 2.0)


@then("its authority lasts {seconds:g} s more")
def step_continue(context, seconds):
    assert abs(context.seconds - seconds) < 0.05, context.seconds
