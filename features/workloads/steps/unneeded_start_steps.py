"""Steps for starts that are not needed any more, and for full lists of ends."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import JOB, NEED, NOW, make_engine, submit
from slow_store_steps import make_controller
from virtual_fleet import Endpoints
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import EndedRun, PollResponse, Resources, Step

MAX_LISTED_ENDS = 500
POLL_PAUSE_S = 0.5


@given("a leader with an endpoint whose clock was read {seconds:g} s ago")
def step_old_clock(context, seconds):
    context.seconds = seconds


@when("a job is cancelled while its start waits for the clock")
def step_cancelled(context):
    async def run():
        controller, endpoints = make_controller(
            SimpleNamespace(commit_count=0), endpoints=Endpoints(("a",))
        )
        engine = controller.engine
        endpoint = engine.endpoints["a"]
        async with controller:
            await controller.poller.poll(endpoint)
            await asyncio.sleep(context.seconds)
            job = submit(engine, JOB, (Step(1, NEED, 1.0),), clock.now())
            (order,) = plan_starts(engine, clock.now())
            start = asyncio.create_task(controller.orders.send_start(order))
            await asyncio.sleep(0)
            engine.cancel(job, clock.now())
            await start
        context.starts = endpoints.starts
        context.runs = list(endpoint.runs)

    run_virtually(run())


@then("the start is not sent, and its run is removed")
def step_not_sent(context):
    assert not context.starts, context.starts
    assert not context.runs, context.runs


@given("an endpoint with {count:d} ends to list, and an order without a response")
def step_full_list(context, count):
    engine = context.engine = make_engine(2, ("a",))
    endpoint = context.endpoint = engine.endpoints["a"]
    context.now, context.forgotten = NOW, 0
    context.ends = []
    poll(context)
    submit(engine, JOB, (Step(count + 1, Resources(1, 1, 0), 1.0),), NOW)
    *runs, unanswered = [order.run for order in plan_starts(engine, NOW)]
    for run in (*runs, unanswered):
        run.token = endpoint.token
    for run in runs:
        engine.note_started(run, int(NOW * 1000) + 1, NOW + 0.001)
    engine.note_outcome_unknown(unanswered, NOW + 0.5)
    context.ends = [
        EndedRun(number, run.task, run.number, "succeeded", "")
        for number, run in enumerate(runs, 1)
    ]


def poll(context):
    """Poll the endpoint, which lists what is not acknowledged; ends become durable."""
    engine, endpoint = context.engine, context.endpoint
    context.now += POLL_PAUSE_S
    counter = endpoint.counter
    acknowledged = endpoint.choose_acknowledged(endpoint in engine.partly_listed)
    endpoint.note_acknowledged(acknowledged)
    context.forgotten = max(context.forgotten, acknowledged)
    rest = [row for row in context.ends if row.end_number > context.forgotten]
    listed = tuple(rest[:MAX_LISTED_ENDS])
    is_full = len(listed) == MAX_LISTED_ENDS
    response = PollResponse(int(context.now * 1000), 1, (), listed, is_full)
    engine.note_poll(endpoint, response, counter, context.now - 0.001, context.now)
    endpoint.acknowledged = endpoint.last_listed_end


@when("it is polled {count:d} times")
def step_polled(context, count):
    for _ in range(count):
        poll(context)


@then("all ends are acknowledged, and the order is settled")
def step_settled(context):
    assert context.forgotten == len(context.ends), context.forgotten
    assert not context.endpoint.runs, len(context.endpoint.runs)
    assert not context.endpoint.needs_fence
