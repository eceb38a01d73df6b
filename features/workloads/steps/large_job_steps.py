"""Steps for jobs with thousands of tasks, in virtual time."""

import asyncio
import sys
from functools import partial
from itertools import pairwise
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import JOB, NOW, make_engine, poll_endpoint, submit
from slow_store_steps import make_controller
from virtual_fleet import Endpoints
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads import reconciliation
from briarshed_workloads.configuration import PoolRules
from briarshed_workloads.copies import plan_copies
from briarshed_workloads.disruption import list_evictions
from briarshed_workloads.fleet import ORDERED, PRESENT
from briarshed_workloads.interfaces import OutcomeUnknownError
from briarshed_workloads.order_slots import OrderSlots
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import (
    PollResponse,
    Registration,
    Resources,
    Step,
    add,
)

NEED = Resources(10, 10, 0)
ROOM = Resources(10_000, 10_000, 0)
KINDS = {
    "with a limit of tasks per endpoint": {"per_endpoint": 1_000},
    "that last": {"long_running": True},
    "that may be copied": {"speculative": True},
    "with no further requirement": {},
}
PLANS = 10
OTHER_JOB = "00000000000000bb"
SETTLE_S = 2.0


def make_large_engine(endpoints, room=ROOM):
    """Return an engine whose fenced endpoints have room for many tasks."""
    names = [f"e{number}" for number in range(endpoints)]
    engine = make_engine(names=names)
    for name in names:
        row = engine.endpoints[name]
        row.registration = row.registration._replace(capacity=room)
        poll_endpoint(engine, name, NOW)
    return engine


def count_calls(work):
    """Return the number of function calls that some work makes."""
    calls = 0

    def note(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


def answer(engine, orders):
    """Let endpoints confirm the starts of a plan."""
    for order in orders:
        engine.note_started(order.run, int(NOW * 1000), NOW)


def measure_plans(count, kind):
    """Return the most calls of a plan for a job of one step."""
    engine = make_large_engine(6)
    submit(engine, JOB, (Step(count, NEED, 1.0, **KINDS[kind]),), NOW)
    most = 0
    for _ in range(PLANS):
        orders = []
        most = max(
            most,
            count_calls(
                lambda found=orders: found.extend(
                    plan_starts(engine, NOW) + plan_copies(engine, NOW)
                )
            ),
        )
        answer(engine, orders)
    return most


SMALL_NEED = Resources(5, 5, 0)
WAITED_S = 1.0


def make_full_engine(endpoints, what, count):
    """Return an engine whose endpoints have no room for its tasks, but for one."""
    engine = make_large_engine(endpoints)
    has_runs = what == "overdue runs"
    if has_runs:
        submit(engine, JOB, (Step(count, NEED, 0.1, speculative=True),), NOW)
        while orders := plan_starts(engine, NOW):
            answer(engine, orders)
    for endpoint in engine.endpoints.values():
        room = add(endpoint.used, SMALL_NEED)
        endpoint.registration = endpoint.registration._replace(capacity=room)
    if not has_runs:
        # Of several steps, since the tasks of one are given up at the first.
        steps = (Step(1, NEED, 0.1),) * count
        submit(engine, JOB, steps, NOW)
        submit(engine, OTHER_JOB, (Step(1, SMALL_NEED, 0.1),), NOW)
    return engine


@given("pools of {small:d} and of {large:d} endpoints with room for smaller tasks only")
def step_full_pools(context, small, large):
    context.sizes = small, large


@when("each leader plans with {count:d} {what}")
def step_full_plan(context, count, what):
    plan = plan_copies if what == "overdue runs" else plan_starts
    context.calls, context.orders = [], []
    for size in context.sizes:
        engine = make_full_engine(size, what, count)
        work = partial(plan, engine, NOW + WAITED_S)
        context.calls.append(
            count_calls(lambda work=work: context.orders.append(work()))
        )


@then(
    "the plan for {large:d} endpoints makes at most {most:d} times the calls of that"
    " for {small:d}"
)
def step_full_calls(context, large, most, small):
    of_small, of_large = context.calls
    assert of_large <= most * of_small, context.calls


POLL_COST_S = 0.001
POLL_TIMEOUT_S = 0.5
STOP_GRACE_S = 0.2


@given("steps of {small:d} and of {large:d} tasks {kind}")
def step_steps(context, small, large, kind):
    context.sizes, context.kind = (small, large), kind


@when("each leader has planned 10 times, and the starts are answered")
def step_planned(context):
    context.calls = [measure_plans(size, context.kind) for size in context.sizes]


@then(
    "the longest plan for {large:d} tasks makes at most twice the calls of that for"
    " {small:d}"
)
def step_calls(context, large, small):
    assert context.sizes == (small, large)
    of_small, of_large = context.calls
    assert of_large <= 2 * of_small, context.calls


@given(
    "{endpoints:d} endpoints with room for {room:d} tasks each, and a job of"
    " {n:d} tasks"
)
def step_large_job(context, endpoints, room, n):
    context.engine = make_large_engine(endpoints, Resources(10 * room, 10 * room, 0))
    submit(context.engine, JOB, (Step(n, NEED, 1.0),), NOW)


@when("the leader plans until all tasks have been ordered, and the starts are answered")
def step_plan_all(context):
    engine = context.engine
    context.plans, context.pending = [], []
    while orders := plan_starts(engine, NOW):
        context.plans.append(len(orders))
        context.pending += [
            sum(run.state == ORDERED for run in row.runs.values())
            for row in engine.endpoints.values()
        ]
        answer(engine, orders)
    assert not engine.jobs[JOB].waiting


@then(
    "no plan has more than {most:d} starts, and no endpoint has more than {pending:d}"
    " without an answer"
)
def step_limited(context, most, pending):
    assert max(context.plans) <= most, context.plans
    assert max(context.pending) <= pending, max(context.pending)


@then("{count:d} plans were needed")
def step_plans(context, count):
    assert len(context.plans) == count, len(context.plans)


@given("a job of {n:d} tasks in one pool and a job of 1 task in another")
def step_two_pools(context, n):
    engine = context.engine = make_large_engine(2)
    pools = engine.configuration.pools
    pools["other"] = PoolRules("other", False, False)
    row = engine.endpoints["e1"]
    row.registration = row.registration._replace(pool="other")
    submit(engine, JOB, (Step(n, NEED, 1.0),), NOW)
    submit(engine, OTHER_JOB, (Step(1, NEED, 1.0),), NOW)
    engine.open_jobs["other"] = {OTHER_JOB: engine.open_jobs["pool"].pop(OTHER_JOB)}


@when("the leader plans once")
def step_plan_once(context):
    context.orders = plan_starts(context.engine, NOW)


@then("the job of 1 task starts")
def step_small_starts(context):
    jobs = [order.run.task.job for order in context.orders]
    assert jobs.count(OTHER_JOB) == 1, jobs


@given("{count:d} orders for one endpoint that take {seconds:g} s each")
def step_orders(context, count, seconds):
    context.count, context.seconds = count, seconds


@when("they are sent")
def step_send(context):
    async def send_all():
        context.sent = context.most = context.room = 0
        on_their_way = 0

        def note_room():
            context.room += 1
            context.left = context.count - context.sent

        async def send():
            nonlocal on_their_way
            on_their_way += 1
            context.most = max(context.most, on_their_way)
            await asyncio.sleep(context.seconds)
            on_their_way -= 1
            context.sent += 1

        slots = OrderSlots(note_room)
        orders = [slots.queue("a", send) for _ in range(context.count)]
        context.was_full = slots.is_full("a")
        await asyncio.gather(*orders)
        context.is_full = slots.is_full("a")

    run_virtually(send_all())


@then("at most {most:d} are on their way at a time, and all are sent")
def step_all_sent(context, most):
    assert context.most <= most, context.most
    assert context.sent == context.count


@then("the endpoint is full until half of 16 orders are left, which is reported once")
def step_full(context):
    assert context.was_full and not context.is_full
    assert context.room == 1
    # The order that ends is counted as sent before its slot is free.
    assert context.left == 8, context.left


class BusyEndpoints:
    """Respond later the more polls are in progress, and not after the time-out."""

    def __init__(self, silent):
        self.silent = silent
        self.in_progress = 0
        self.most = 0
        self.timed_out = 0

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """List no runs."""
        self.in_progress += 1
        self.most = max(self.most, self.in_progress)
        needed = POLL_COST_S * self.in_progress
        try:
            if name in self.silent or needed > POLL_TIMEOUT_S:
                self.timed_out += name not in self.silent
                await asyncio.sleep(POLL_TIMEOUT_S)
                raise OutcomeUnknownError("time-out")
            await asyncio.sleep(needed)
        finally:
            self.in_progress -= 1
        return PollResponse(int(clock.now() * 1000), 1, (), ())

    async def discard_connections(self, address):
        """Keep no connections."""


@given("{count:d} endpoints, and a leader that needs 1 ms for each poll in progress")
def step_many_endpoints(context, count):
    context.names = [f"e{number}" for number in range(count)]


@when("it polls them for the first time, and {silent:d} of them do not respond")
def step_first_polls(context, silent):
    # The silent ones are spread among the others.
    chosen = set(context.names[::3][:silent])

    async def lead():
        fake = BusyEndpoints(chosen)
        controller, _ = make_controller(SimpleNamespace(commit_count=0), endpoints=fake)
        engine = controller.engine
        rows = [
            Registration(name, 1, "", "pool", "d", "r", (), ROOM)
            for name in context.names
        ]
        engine.note_registrations(rows, clock.now())
        async with controller:
            started_at = clock.now()
            controller.poller.start_polling()
            for endpoint in engine.endpoints.values():
                while endpoint.name not in chosen and not endpoint.is_fenced:
                    await asyncio.sleep(0.05)
                    assert clock.now() < started_at + 60.0, fake.timed_out
            context.seconds = clock.now() - started_at
            context.most = fake.most

    run_virtually(lead())


@then("at most {most:d} polls are in progress at a time")
def step_most_polls(context, most):
    assert context.most <= most, context.most


@then("all others have responded once after {seconds:g} s")
def step_all_polled(context, seconds):
    assert context.seconds <= seconds, context.seconds


class StartingEndpoint:
    """Lists long-running runs that have started, or serve, at each poll."""

    def __init__(self):
        self.runs = []
        self.percent = 50
        self.polls = 0

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """List all runs."""
        self.polls += 1
        await asyncio.sleep(wait)
        rows = tuple(row._replace(percent=self.percent) for row in self.runs)
        return PollResponse(int(clock.now() * 1000), 1, rows, ())


@given("an endpoint at which {count:d} long-running tasks have just started")
def step_starting(context, count):
    context.count = count


@when("their start-up is watched for {seconds:g} s")
def step_watched(context, seconds):
    async def watch():
        fake = StartingEndpoint()
        controller, _ = make_controller(SimpleNamespace(commit_count=0), endpoints=fake)
        engine = controller.engine
        endpoint = engine.endpoints["a"]
        endpoint.registration = endpoint.registration._replace(capacity=ROOM)
        async with controller:
            await controller.poller.poll(endpoint, is_immediate=True)
            fake.polls = 0
            step = Step(context.count, NEED, 1.0, long_running=True)
            submit(engine, JOB, (step,), clock.now())
            while orders := plan_starts(engine, clock.now()):
                for order in orders:
                    now = clock.now()
                    engine.note_started(order.run, int(now * 1000), now)
                    controller.orders.watch_start(order.run)
            assert len(endpoint.runs) == context.count
            await asyncio.sleep(seconds)
            context.polls = fake.polls
            for run in endpoint.runs.values():
                run.percent = 100
            await asyncio.sleep(seconds)
            context.later_polls = fake.polls - context.polls

    run_virtually(watch())


@then("the endpoint is polled at most {most:d} times")
def step_polls(context, most):
    assert 0 < context.polls <= most, context.polls


@then("it is not polled any more once they serve")
def step_no_polls(context):
    assert context.later_polls <= 1, context.later_polls


@given("{count:d} starts for an endpoint that does not respond")
def step_unresponsive(context, count):
    async def send_all():
        endpoints = Endpoints(("a",))
        controller, _ = make_controller(
            SimpleNamespace(commit_count=0), endpoints=endpoints
        )
        engine = controller.engine
        endpoint = engine.endpoints["a"]
        endpoint.registration = endpoint.registration._replace(capacity=ROOM)
        async with controller:
            await controller.poller.poll(endpoint, is_immediate=True)
            job = submit(engine, JOB, (Step(count, NEED, 1.0),), clock.now())
            endpoints.by_name["a"].down = "silent"
            controller._issue_orders(clock.now())
            assert not job.waiting
            await asyncio.sleep(SETTLE_S)
            context.on_their_way = len(endpoint.runs)
            context.waiting = len(job.waiting)

    context.count, context.play = count, send_all


@when("they are sent, and a poll is not answered either")
def step_send_silent(context):
    run_virtually(context.play())


@then("at most {most:d} are on their way, and the others wait again")
def step_others_wait(context, most):
    assert 0 < context.on_their_way <= most, context.on_their_way
    assert context.waiting == context.count - context.on_their_way, context.waiting


@given("a leader with a job of {count:d} tasks")
def step_correct(context, count):
    context.engine = make_large_engine(1)
    context.job = submit(context.engine, JOB, (Step(count, NEED, 1.0),), NOW)


@when("its state is corrected")
def step_corrected(context):
    context.checked, seen = [0], 0
    original = context.job.list_tasks

    def list_tasks():
        nonlocal seen
        for task in original():
            seen += 1
            yield task

    type(context.job).list_tasks, kept = (
        lambda job: list_tasks(),
        type(context.job).list_tasks,
    )
    try:
        for _ in reconciliation.correct_state(context.engine, (), NOW):
            context.checked.append(seen)
    finally:
        type(context.job).list_tasks = kept


@then("no part checks more than {most:d} tasks")
def step_parts(context, most):
    parts = [after - before for before, after in pairwise(context.checked)]
    assert sum(parts) == context.job.description.steps[0].count
    assert max(parts) <= most, max(parts)


@given("jobs of {small:d} and of {large:d} long-running tasks that run at one endpoint")
def step_serving(context, small, large):
    context.engines = []
    for count in (small, large):
        engine = make_large_engine(1, Resources(100_000, 100_000, 0))
        step = Step(count, NEED, 1.0, long_running=True, outage_budget=1)
        submit(engine, JOB, (step,), NOW)
        while orders := plan_starts(engine, NOW):
            answer(engine, orders)
        for runs in engine.runs.values():
            runs[0].state, runs[0].percent = PRESENT, 100
        context.engines.append(engine)


@when("the endpoint is drained")
def step_drained(context):
    context.calls = []
    for engine in context.engines:
        engine.endpoints["e0"].evicting = True
        context.calls.append(
            count_calls(
                lambda leader=engine: list_evictions(
                    leader, NOW, lambda _: False, STOP_GRACE_S
                )
            )
        )


@then(
    "the plan of evictions for {large:d} makes at most {most:d} times the calls of that"
    " for {small:d}"
)
def step_eviction_calls(context, large, most, small):
    of_small, of_large = context.calls
    assert of_large <= most * of_small, context.calls
