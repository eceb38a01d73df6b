"""Steps for orders without a response, with a fake endpoint."""

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
    """Fake endpoints; the first start gets no response and is not executed."""

    def __init__(self, refuses_long_poll=False):
        self.starts = []
        self.polls = []
        self.running = ()
        self.refuses_long_poll = refuses_long_poll

    def read_clock(self):
        """Return the endpoint's clock in ms."""
        return int(clock.now() * 1000)

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Answer at once, or after the wait."""
        self.polls.append((clock.now(), token, wait))
        if wait:
            await asyncio.sleep(0.2 if self.refuses_long_poll else wait)
            if self.refuses_long_poll:
                return Refused("fenced")
        return PollResponse(self.read_clock(), 1, self.running, ())

    async def start(self, name, address, order, permit):
        """Lose the first order and execute the others."""
        self.starts.append((clock.now(), order))
        if len(self.starts) == 1:
            await asyncio.sleep(0.05)
            raise OutcomeUnknownError("no answer")
        self.running += (ListedRun(order.task, order.run, "", 10, 0),)
        return Accepted(self.read_clock())

    async def stop(self, name, address, task, run, token, permit):
        """Accept the order without an effect."""
        return Accepted(self.read_clock())

    async def discard_connections(self, address):
        """Do nothing."""


@contextlib.asynccontextmanager
async def wait_for_end(endpoints):
    """Run a controller with a long poll that waits for the end of a run."""
    controller, _ = make_controller(
        SimpleNamespace(commit_count=0), endpoints=endpoints
    )
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
        assert endpoints.polls[-1][2], "no long poll in progress"
        yield controller


@given("a leader with a long poll of an endpoint in progress")
def step_leader(context):
    context.starts = []


@when("the response to a start is lost and nothing runs there")
def step_lost(context):
    async def run():
        endpoints = Endpoints()
        async with wait_for_end(endpoints) as controller:
            submit(controller.engine, JOB, (Step(1, NEED, 60.0),), clock.now())
            controller._issue_orders(clock.now())
            await asyncio.sleep(0.4)
            controller._issue_orders(clock.now())
            await asyncio.sleep(0.1)
        context.starts, context.polls = endpoints.starts, endpoints.polls

    asyncio.run(run())


def refuse_poll(context, raises_token):
    """Refuse the long poll, after the token has been raised if ``raises_token``."""

    async def run():
        async with wait_for_end(Endpoints(refuses_long_poll=True)) as controller:
            if raises_token:
                controller.engine.endpoints["a"].require_fence()
            await asyncio.sleep(0.3)
        context.ended = controller.term.ended
        context.is_lost = controller.term.lost.is_set()

    asyncio.run(run())


@when("an order there gets no response, and the long poll is refused for its token")
def step_refused_late(context):
    refuse_poll(context, raises_token=True)


@when("the long poll is refused for its token")
def step_refused(context):
    refuse_poll(context, raises_token=False)


@then("the term has ended, and the log says why")
def step_ended(context):
    assert context.is_lost
    assert context.ended == [("lose", "fenced at a")], context.ended


@then("a poll with a higher token decides it within {bound:g} s")
def step_decides(context, bound):
    started_at, order = context.starts[0]
    deciding = [row for row in context.polls if row[1] > order.token]
    assert deciding, context.polls
    assert deciding[0][0] - started_at < bound, context.polls


@then("the task is started again")
def step_again(context):
    tasks = [order.task.job for _, order in context.starts]
    assert tasks == [JOB, JOB], tasks


@then("the term goes on")
def step_continues(context):
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
            count = len(endpoints.polls)
            await asyncio.sleep(0.3)
            assert len(endpoints.polls) == count, "polls continued"
            context.authority = True
            await asyncio.sleep(1.0)
        return len(endpoints.polls) - count

    context.count = asyncio.run(run())


@when("it has its authority back before a plan was due")
def step_unnoticed(context):
    async def run():
        endpoints = Endpoints()
        async with wait_for_end(endpoints) as controller:
            controller.term.has_authority = lambda: context.authority
            await asyncio.sleep(1.4)
            count = len(endpoints.polls)
            context.authority = True
            await asyncio.sleep(1.0)
        return len(endpoints.polls) - count

    context.count = asyncio.run(run())


@then("the endpoint is polled within 1 s")
def step_polled(context):
    assert context.count
