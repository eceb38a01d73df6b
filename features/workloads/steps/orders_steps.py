"""Steps for orders without an answer; the endpoint is a fake."""

import asyncio
import contextlib
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import JOB, NEED, submit
from slow_store_steps import make_controller

from briarshed_entry import clock
from briarshed_workloads.interfaces import Accepted, OutcomeUnknownError, Refused
from briarshed_workloads.workloads import ListedRun, PollResponse, Step


class Endpoints:
    """Runs nothing but what the test lets it; the first start gets no answer."""

    def __init__(self, refuses_waiting_look=False):
        self.starts = []
        self.looks = []
        self.running = ()
        self.refuses_waiting_look = refuses_waiting_look

    def read_clock(self):
        """Return the endpoint's clock in ms."""
        return int(clock.now() * 1000)

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Answer at once, or after the wait."""
        self.looks.append((clock.now(), token, wait))
        if wait:
            await asyncio.sleep(0.2 if self.refuses_waiting_look else wait)
            if self.refuses_waiting_look:
                return Refused("fenced")
        return PollResponse(self.read_clock(), 1, self.running, ())

    async def start(self, name, address, order):
        """Lose the first order, and carry the others out."""
        self.starts.append((clock.now(), order))
        if len(self.starts) == 1:
            await asyncio.sleep(0.05)
            raise OutcomeUnknownError("no answer")
        self.running += (ListedRun(order.task, order.run, "", 10, 0),)
        return Accepted(self.read_clock())

    async def stop(self, name, address, task, run, token):
        """Stop nothing."""
        return Accepted(self.read_clock())

    async def discard_connections(self, address):
        """Close nothing."""


@contextlib.asynccontextmanager
async def wait_for_end(endpoints):
    """Let a conductor run whose look at an endpoint waits for the end of a run."""
    controller, _ = make_controller(SimpleNamespace(commits=0), endpoints=endpoints)
    controller.term.ended = []
    controller.term.note_event = lambda event, reason: (
        controller.term.ended.append((event, reason)),
        controller.term.lost.set(),
    )
    engine = controller.engine
    async with controller:
        submit(engine, "00000000000000bb", (Step(1, NEED, 60.0),), clock.now())
        controller.poller.start_polling()
        await asyncio.sleep(0.05)
        endpoints.starts.append(None)
        controller._issue_orders(clock.now())
        await asyncio.sleep(0.05)
        endpoints.starts.clear()
        assert endpoints.looks[-1][2], "no look waits"
        yield controller


@given("a leader that looks at an endpoint, and a look that waits")
def step_leader(context):
    context.starts = []


@when("the answer to a start is lost and nothing runs there")
def step_lost(context):
    async def run():
        endpoints = Endpoints()
        async with wait_for_end(endpoints) as controller:
            submit(controller.engine, JOB, (Step(1, NEED, 60.0),), clock.now())
            controller._issue_orders(clock.now())
            await asyncio.sleep(0.4)
            controller._issue_orders(clock.now())
            await asyncio.sleep(0.1)
        context.starts, context.looks = endpoints.starts, endpoints.looks

    asyncio.run(run())


def refuse_look(context, raises_token):
    """Let the waiting look be refused, perhaps after its token has been raised."""

    async def run():
        async with wait_for_end(Endpoints(refuses_waiting_look=True)) as controller:
            if raises_token:
                controller.engine.endpoints["a"].require_fence()
            await asyncio.sleep(0.3)
        context.ended = controller.term.ended
        context.is_lost = controller.term.lost.is_set()

    asyncio.run(run())


@when("an order there gets no answer, and the look is refused for its token")
def step_refused_late(context):
    refuse_look(context, raises_token=True)


@when("the look is refused for its token")
def step_refused(context):
    refuse_look(context, raises_token=False)


@then("the term has ended, and the log tells why")
def step_ended(context):
    assert context.is_lost
    assert context.ended == [("lose", "fenced at a")], context.ended


@then("a look with a higher token settles it within {bound:g} s")
def step_settles(context, bound):
    started_at, order = context.starts[0]
    settling = [row for row in context.looks if row[1] > order.token]
    assert settling, context.looks
    assert settling[0][0] - started_at < bound, context.looks


@then("the task is started again")
def step_again(context):
    tasks = [order.task.job for _, order in context.starts]
    assert tasks == [JOB, JOB], tasks


@then("the term goes on")
def step_goes_on(context):
    assert not context.is_lost


@given("a leader without authority, whose endpoint has a run")
def step_without_authority(context):
    context.authority = False


@when("it has its authority back")
def step_authority(context):
    async def run():
        endpoints = Endpoints()
        async with wait_for_end(endpoints) as controller:
            controller.term.has_authority = lambda: context.authority
            controller.spawn(controller._plan(), "plan")
            await asyncio.sleep(1.4)
            count = len(endpoints.looks)
            await asyncio.sleep(0.3)
            assert len(endpoints.looks) == count, "looks went on"
            context.authority = True
            await asyncio.sleep(1.0)
        return len(endpoints.looks) - count

    context.count = asyncio.run(run())


@when("its authority is back before a plan was due")
def step_unnoted(context):
    async def run():
        endpoints = Endpoints()
        async with wait_for_end(endpoints) as controller:
            controller.term.has_authority = lambda: context.authority
            await asyncio.sleep(1.4)
            count = len(endpoints.looks)
            context.authority = True
            await asyncio.sleep(1.0)
        return len(endpoints.looks) - count

    context.count = asyncio.run(run())


@then("the endpoint is looked at within 1 s")
def step_looked_at(context):
    assert context.count
