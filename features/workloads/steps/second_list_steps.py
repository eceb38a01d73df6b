"""Steps for the second list of runs that a new leader needs, in virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import JOB, NEED, TASK, make_engine, submit
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.disruption import count_unavailable
from briarshed_workloads.options import SiteLimits
from briarshed_workloads.polling import EndpointPoller
from briarshed_workloads.workloads import ListedRun, PollResponse, Step

STOP_GRACE_S = 0.2
RATES = {"exact": 1.0, "2% slow": 0.98}
TASKS = {
    "a long-running task with a budget": {"long_running": True, "outage_budget": 1},
    "a long-running task without a budget": {"long_running": True},
    "a task that ends": {},
}


class Endpoints:
    """One endpoint without new ends, which answers polls after their wait."""

    def __init__(self, rate):
        self.rate = rate
        self.waits = []

    async def poll(self, name, address, token, acknowledged, deadline, wait):
        """Return the list of its runs."""
        self.waits.append(wait)
        await asyncio.sleep(wait)
        running = (ListedRun(TASK, 1 << 24, "", 100, 0),)
        return PollResponse(int(clock.now() * 1000 * self.rate), 1, running, ())


@given("a new leader, and an endpoint with {task} and a clock that is {rate}")
def step_endpoint(context, task, rate):
    context.step = Step(1, NEED, **TASKS[task])
    context.fake = Endpoints(RATES[rate])


@when(
    "it polls the endpoint for {limit:g} s, with a pause of {pause:g} s after the"
    " first list"
)
def step_poll(context, limit, pause):
    engine = context.engine = make_engine(names=("a",))
    term = SimpleNamespace(has_authority=lambda: True)
    poller = EndpointPoller(
        term,
        engine,
        context.fake,
        SiteLimits(stop_grace=STOP_GRACE_S),
        lambda work, name: work.close(),
        lambda: None,
        lambda: None,
    )

    async def run():
        context.job = submit(engine, JOB, (context.step,), clock.now())
        context.job.is_restored = True
        started_at = clock.now()
        await poller.poll(engine.endpoints["a"])
        await asyncio.sleep(pause)
        while True:
            await poller.poll(engine.endpoints["a"])
            if clock.now() >= started_at + limit:
                break
        context.now = clock.now()
        context.elapsed = context.now - started_at

    run_virtually(run())


@then("it counts on the task to serve, after {count:d} polls and {limit:g} s at most")
def step_serves(context, count, limit):
    assert len(context.fake.waits) <= count, context.fake.waits
    assert context.elapsed <= limit, context.elapsed
    key = TASK[:3]
    arguments = context.engine, context.job, key, context.now, STOP_GRACE_S
    assert count_unavailable(*arguments) == 0, context.fake.waits


@then("the second poll waits for an end as usual")
def step_waits(context):
    assert context.fake.waits[1] > 1.0, context.fake.waits


@then("later polls wait for an end as usual")
def step_later(context):
    assert context.fake.waits[-1] > 1.0, context.fake.waits
