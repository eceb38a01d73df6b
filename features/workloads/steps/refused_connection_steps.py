"""Steps for endpoints that cannot be reached and go on."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import JOB, NEED, make_registration, submit
from slow_store_steps import make_controller
from virtual_fleet import Fleet, find_overlap
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.interfaces import (
    ConnectionClosedError,
    NotExecutedError,
    OutcomeUnknownError,
    Refused,
)
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import Step

SUBMIT_INTERVAL_S = 0.3
REFUSAL_INTERVAL_S = 3.0
REFUSING = 3
REST_S = 15.0
LAST_JOBS = 24

RESPONSES = {
    "is closed, and the next ones are refused": (
        ConnectionClosedError("closed without a response"),
        NotExecutedError("refused"),
    ),
    "gets no response, like all others": (OutcomeUnknownError("time-out"),),
    "is answered in the name of another one": (Refused("replaced"),),
}


@given("{jobs:d} jobs on {endpoints:d} endpoints with {entries:d} entries")
def step_jobs(context, jobs, endpoints, entries):
    context.jobs = jobs
    context.endpoints = [f"p{number}" for number in range(endpoints)]
    context.entries = [f"e{number}" for number in range(entries)]


@when("3 endpoints refuse connections for {seconds:g} s, each 3 s, with seed {seed:d}")
def step_refuse(context, seconds, seed):
    chance = random.Random(seed)

    async def run():
        async with Fleet(context.entries, context.endpoints) as fleet:
            await fleet.wait_for_leader()
            refusing = asyncio.create_task(refuse(fleet.endpoints.by_name))
            for number in range(context.jobs):
                fleet.submit(number)
                await asyncio.sleep(SUBMIT_INTERVAL_S)
            refusing.cancel()
            await asyncio.sleep(REST_S)
            context.calls_before = len(fleet.endpoints.calls)
            for number in range(context.jobs, context.jobs + LAST_JOBS):
                fleet.submit(number)
            await asyncio.sleep(REST_S)
            context.outcomes = fleet.list_outcomes()
            context.overlap = find_overlap(fleet.list_runs())
            context.used = {
                row.name for row in fleet.endpoints.by_name.values() if row.record
            }
            starts = fleet.endpoints.starts[context.calls_before :]
            context.used_later = set(starts)

    async def refuse(by_name):
        while True:
            await asyncio.sleep(REFUSAL_INTERVAL_S)
            names = chance.sample(sorted(by_name), REFUSING)
            await asyncio.gather(*(by_name[name].refuse(seconds) for name in names))

    run_virtually(run())


@then("no task has run twice")
def step_once(context):
    assert context.overlap is None, context.overlap


@then("every endpoint has got work after the refusals")
def step_used_again(context):
    assert context.used_later == set(context.endpoints), context.used_later


class RespondingEndpoints:
    """Answers all calls with the given responses, the last of them again and again."""

    def __init__(self, responses):
        self._responses = list(responses)

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Return or raise the next response."""
        await asyncio.sleep(0.01)
        response = self._responses[0]
        if len(self._responses) > 1:
            self._responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response

    async def discard_connections(self, address):
        """Do nothing."""


@given("a task that runs at an endpoint")
def step_running(context):
    context.task = None


@when("a call to the endpoint {event}")
def step_call(context, event):
    async def run():
        endpoints = RespondingEndpoints(RESPONSES[event])
        controller, _ = make_controller(
            SimpleNamespace(commit_count=0), endpoints=endpoints
        )
        engine = controller.engine
        async with controller:
            listing = [make_registration(name) for name in "ab"]
            engine.note_registrations(listing, clock.now())
            engine.roster = {"a", "b"}
            submit(engine, JOB, (Step(1, NEED, 10.0),), clock.now())
            for endpoint in engine.endpoints.values():
                endpoint.needs_fence = False
                endpoint.fenced_counter = endpoint.counter
                endpoint.clock_sample_ms = int(clock.now() * 1000)
                endpoint.clock_sampled_at = clock.now()
            (order,) = plan_starts(engine, clock.now())
            run, endpoint = order.run, order.run.endpoint
            run.token = endpoint.token
            endpoint.choose_deadline(clock.now(), engine.lease_times.run_lease)
            engine.note_started(run, endpoint.find_clock(clock.now()), clock.now())
            until = clock.now() + 3.9
            while clock.now() < until:
                await controller.poller.poll(endpoint)
                await asyncio.sleep(0.25)
            assert not plan_starts(engine, clock.now())
            return engine.runs.get(run.task, []), run

    context.runs, context.run = run_virtually(run())


@then("the task still runs only there 3.9 s later")
def step_still_runs(context):
    assert context.runs == [context.run], context.runs
