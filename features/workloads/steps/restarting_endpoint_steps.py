"""Steps for endpoints that restart under their name while orders are on their way."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from contract_endpoints import ContractEndpoints
from engine_steps import (
    CAPACITY,
    JOB,
    NEED,
    NOW,
    TASK,
    make_registration,
    poll_endpoint,
    submit,
)
from slow_store_steps import make_controller
from virtual_fleet import TASK_S, Endpoints, Fleet
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.interfaces import OutcomeUnknownError, Refused
from briarshed_workloads.jobs import COMPLETED
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import (
    ListedRun,
    PollResponse,
    Registration,
    Step,
)

UNSEEN, LATER = 2, 3
"""Starts of the later incarnations, in Unix ms; the first is known too late."""

MAX_START_DELAY_S = 0.3
MAX_DOWN_S = 0.2
MAX_UP_S = 3.0
SUBMIT_S = 20.0
SUBMIT_INTERVAL_S = 0.3
REST_S = 20.0
MIN_CRASHES = 12
LATE_S = 0.4
"""Time for which a start is held up; shorter than a task."""


def register(context, now):
    """Let both endpoints be registered, "a" as a later incarnation."""
    rows = [make_registration("a", LATER), make_registration("b")]
    context.engine.note_registrations(rows, now)


@given('an order of the task is on its way to "a"')
def step_on_its_way(context):
    engine = context.engine
    engine.endpoints["b"].full_until = NOW + 1
    (order,) = plan_starts(engine, NOW)
    context.run = order.run
    context.run.token = order.run.endpoint.token
    engine.endpoints["b"].full_until = 0.0


@when('"a" is registered as a later incarnation')
def step_registered(context):
    register(context, NOW + 0.01)


@when('"a" closes its connection and refuses new ones')
def step_ended(context):
    engine = context.engine
    endpoint = engine.endpoints["a"]
    engine.note_failing(endpoint, "closed", NOW + 0.01)
    engine.note_failing(endpoint, "refused", NOW + 0.01)


@when("the order is accepted")
def step_accepted(context):
    context.engine.note_started(context.run, int(NOW * 1000), NOW + 0.02)


@when("the order has no response")
def step_no_response(context):
    context.engine.note_outcome_unknown(context.run, NOW + 0.03)


@when("the order is not answered yet")
def step_not_answered(context):
    assert context.run.is_unsettled


@when("the order is refused")
def step_refused(context):
    context.engine.drop(context.run, "refused: fenced")


@when('the later incarnation of "a" lists the run in response to a poll')
def step_listed(context):
    poll_later(context, [ListedRun(TASK, context.run.number, "", 10, 0)])


@when('the later incarnation of "a" does not list the run in response to a poll')
def step_not_listed(context):
    poll_later(context, [])


def poll_later(context, running):
    """Let the later incarnation answer a poll, after it has registered."""
    register(context, NOW + 0.03)
    engine = context.engine
    assert engine.endpoints["a"].token > context.run.token
    poll_endpoint(engine, "a", NOW + 0.04, running, started_at_ms=LATER)
    plan = plan_starts(engine, NOW + 0.05) if running else []
    assert not plan, plan


@when('"a" does not respond to polls for {seconds:g} s')
def step_silent(context, seconds):
    engine, now = context.engine, NOW + seconds
    engine.note_failing(engine.endpoints["a"], "no response", NOW + 0.5)
    engine.drop_expired_runs(now)
    if TASK not in engine.jobs[JOB].waiting:
        assert not plan_starts(engine, now)


@when('"a" restarts with a {clock} clock and runs the task')
def step_runs_later(context, clock):
    engine = context.engine
    context.started_at_ms = LATER if clock == "later" else -LATER
    engine.endpoints["b"].full_until = NOW + 1
    for offset in (0.1, 0.2):
        poll_endpoint(engine, "a", NOW + offset, started_at_ms=context.started_at_ms)
    engine.roster.add("a")
    (order,) = plan_starts(engine, NOW + 0.3)
    order.run.token = order.run.endpoint.token
    engine.note_started(order.run, int(NOW * 1000), NOW + 0.3)
    row = ListedRun(TASK, order.run.number, "", 10, 0)
    poll_endpoint(engine, "a", NOW + 0.4, [row], started_at_ms=context.started_at_ms)
    engine.endpoints["b"].full_until = 0.0


@when("a response to a poll of {incarnation} incarnation arrives")
def step_late_response(context, incarnation):
    engine = context.engine
    started_at_ms = 1 if incarnation == "the earlier" else UNSEEN
    late = PollResponse(int(NOW * 1000), started_at_ms, (), ())
    endpoint = engine.endpoints["a"]
    engine.note_poll(endpoint, late, 1, NOW + 0.05, NOW + 0.5)
    assert not plan_starts(engine, NOW + 0.5)


@then('"a" is still polled as the present incarnation')
def step_present(context):
    endpoint = context.engine.endpoints["a"]
    assert endpoint.registration.started_at_ms == context.started_at_ms
    assert endpoint.is_fenced


@when("the registration of the earlier incarnation arrives")
def step_late_registration(context):
    rows = [make_registration(name) for name in "ab"]
    context.engine.note_registrations(rows, NOW + 0.5)
    assert not plan_starts(context.engine, NOW + 0.5)


@when('"a" lists no runs in response to a poll that was sent before')
def step_sent_before(context):
    engine = context.engine
    endpoint = engine.endpoints["a"]
    empty = PollResponse(int(NOW * 1000), endpoint.registration.started_at_ms, (), ())
    engine.note_poll(endpoint, empty, endpoint.counter, NOW + 0.02, NOW + 0.035)


class FencingEndpoints(Endpoints):
    """Endpoints that register again while a start is on its way, and refuse it."""

    async def start(self, name, address, order, permit):
        """Refuse the start for its token, after the registrations were read."""
        self.note_restart()
        return Refused("fenced")


@given("a leader with an order on its way to an endpoint that registers again")
def step_registers_again(context):
    context.endpoints = FencingEndpoints(("a",))


@when("the later incarnation refuses the order for its token")
def step_fenced(context):
    async def run():
        controller, _ = make_controller(
            SimpleNamespace(commit_count=0), endpoints=context.endpoints
        )
        controller.term.note_event = lambda *_: controller.term.lost.set()
        engine = controller.engine
        rows = [Registration("a", LATER, "", "pool", "d", "r", (), CAPACITY)]
        context.endpoints.note_restart = lambda: engine.note_registrations(
            rows, clock.now()
        )
        async with controller:
            await controller.poller.poll(engine.endpoints["a"])
            submit(engine, JOB, (Step(1, NEED, TASK_S),), clock.now())
            controller._issue_orders(clock.now())
            await asyncio.sleep(0.1)
        return controller.term.lost.is_set()

    context.is_lost = run_virtually(run())


class PollFencingEndpoints(Endpoints):
    """Endpoints that register again while a poll is on its way, and refuse it."""

    async def poll(self, name, address, token, *options):
        """Refuse the poll for its token, after the registrations were read."""
        self.note_restart()
        return Refused("fenced")


@given("a leader with a poll on its way to an endpoint that registers again")
def step_polled_again(context):
    context.endpoints = PollFencingEndpoints(("a",))


@when("the later incarnation refuses the poll for its token")
def step_poll_fenced(context):
    async def run():
        controller, _ = make_controller(
            SimpleNamespace(commit_count=0), endpoints=context.endpoints
        )
        controller.term.note_event = lambda *_: controller.term.lost.set()
        engine = controller.engine
        rows = [Registration("a", LATER, "", "pool", "d", "r", (), CAPACITY)]
        context.endpoints.note_restart = lambda: engine.note_registrations(
            rows, clock.now()
        )
        async with controller:
            await controller.poller.poll(engine.endpoints["a"])
        return controller.term.lost.is_set()

    context.is_lost = run_virtually(run())


@given("a leader that polls an endpoint")
def step_polls(context):
    context.endpoints = Endpoints(("a",))


@when("polls show two restarts, and the registrations are read again")
def step_two_restarts(context):
    async def run():
        controller, endpoints = make_controller(
            SimpleNamespace(commit_count=0), endpoints=context.endpoints
        )
        poller, endpoint = controller.poller, controller.engine.endpoints["a"]
        async with controller:
            poller.start_polling()
            for _ in range(2):
                await asyncio.sleep(0.1)
                endpoints.by_name["a"].restart()
                await poller.poll(endpoint)
                poller.start_polling()
            return len(poller._poll_loops)

    context.loops = run_virtually(run())


@then("it has one poll loop")
def step_one_loop(context):
    assert context.loops == 1, context.loops


@given("a leader and an endpoint that has forgotten an acknowledged end")
def step_forgotten(context):
    context.endpoints = Endpoints(("a",))


@when("it restarts unseen and a run there succeeds before the next poll")
def step_ends_unseen(context):
    context.jobs = run_virtually(play_unseen_restart(context.endpoints))


async def play_unseen_restart(endpoints):
    """Return the jobs of a run before and of one after an unseen restart."""
    controller, _ = make_controller(
        SimpleNamespace(commit_count=0), endpoints=endpoints
    )
    engine, poller, row = controller.engine, controller.poller, endpoints.by_name["a"]
    endpoint = engine.endpoints["a"]
    step = (Step(1, NEED, TASK_S),)
    async with controller:
        await poller.poll(endpoint)
        before = submit(engine, JOB, step, clock.now())
        controller._issue_orders(clock.now())
        await asyncio.sleep(TASK_S + 0.1)
        await poller.poll(endpoint)
        endpoint.acknowledged = endpoint.last_listed_end
        await poller.poll(endpoint, is_immediate=True)
        assert endpoint.acknowledged and not row.ended
        row.restart()
        after = submit(engine, "00000000000000bb", step, clock.now())
        controller._issue_orders(clock.now())
        await asyncio.sleep(TASK_S + 0.1)
        for _ in range(3):
            await poller.poll(endpoint, is_immediate=True)
    return before, after


@given("a leader and an endpoint that has listed an end, which is durable")
def step_durable(context):
    context.plays = {}


@when("it restarts unseen and a run there succeeds before that end is acknowledged")
def step_ends_before_acknowledgement(context):
    for restarts in (True, False):
        context.plays[restarts] = run_virtually(play_first_acknowledgement(restarts))
    context.jobs, _ = context.plays[True]


@when(
    "its acknowledgement is held up until a run after an unseen restart has succeeded"
)
def step_held_up(context):
    context.jobs, _ = run_virtually(play_first_acknowledgement(True, is_held_up=True))


@then("the first end is acknowledged by a later poll if the endpoint has not restarted")
def step_acknowledged_later(context):
    jobs, ended = context.plays[False]
    assert [job.state for job in jobs] == [COMPLETED] * 2
    assert not ended, ended


async def play_first_acknowledgement(restarts, *, is_held_up=False):
    """Return the jobs of two runs, and the ends that are not acknowledged."""
    fates = []
    endpoints = ContractEndpoints(
        ("a",),
        lambda task: TASK_S,
        lambda name: 1.0,
        CAPACITY,
        lambda *_: fates.pop() if fates else ("", 0.0),
    )
    controller, _ = make_controller(
        SimpleNamespace(commit_count=0), endpoints=endpoints
    )
    engine, poller, row = controller.engine, controller.poller, endpoints.by_name["a"]
    endpoint = engine.endpoints["a"]
    step = (Step(1, NEED, TASK_S),)
    async with controller:
        await asyncio.sleep(1.0)
        await poller.poll(endpoint)
        before = submit(engine, JOB, step, clock.now())
        controller._issue_orders(clock.now())
        await asyncio.sleep(TASK_S + 0.1)
        await poller.poll(endpoint, is_immediate=True)
        endpoint.acknowledged = endpoint.last_listed_end
        assert endpoint.acknowledged and row.ended
        if is_held_up:
            fates.append(("late", 1.3 * TASK_S))
            controller.spawn(poller.poll(endpoint), "poll")
            await asyncio.sleep(0.01)
        if restarts:
            row.restart()
        after = submit(engine, "00000000000000bb", step, clock.now())
        controller._issue_orders(clock.now())
        await asyncio.sleep(TASK_S + (0.3 if is_held_up else 0.1))
        for _ in range(4):
            await poller.poll(endpoint, is_immediate=True)
            endpoint.acknowledged = endpoint.last_listed_end
    return (before, after), row.ended


@then("the success is noted")
def step_noted(context):
    assert [job.state for job in context.jobs] == [COMPLETED] * 2


class LateEndpoints(Endpoints):
    """Endpoints of which one carries the first start out late, without a response."""

    def __init__(self):
        super().__init__(("a", "b"))
        self.late = None

    async def start(self, name, address, order, permit):
        """Start a run."""
        if self.late is None:
            self.late = self.by_name[name]
            carry_out = super().start(name, address, order, lambda: True)
            asyncio.get_running_loop().call_later(
                LATE_S, asyncio.create_task, carry_out
            )
            raise OutcomeUnknownError("closed without a response")
        return await super().start(name, address, order, permit)


@given("a leader with two endpoints, and a start that is carried out late")
def step_late_start(context):
    context.endpoints = LateEndpoints()


@when("there is no response to it, and its endpoint {event}")
def step_outlives(context, event):
    context.tasks = run_virtually(
        play_late_start(context.endpoints, event.startswith("ends"))
    )


async def play_late_start(endpoints, has_ended):
    """Return the tasks with two runs at a time."""
    controller, _ = make_controller(
        SimpleNamespace(commit_count=0), endpoints=endpoints
    )
    engine, poller = controller.engine, controller.poller
    rows = [make_registration(name) for name in "ab"]
    async with controller:
        engine.note_registrations(rows, clock.now())
        engine.roster = {"a", "b"}
        for endpoint in engine.endpoints.values():
            await poller.poll(endpoint)
        submit(engine, JOB, (Step(1, NEED, TASK_S),), clock.now())
        controller._issue_orders(clock.now())
        await asyncio.sleep(0)
        endpoint = engine.endpoints[endpoints.late.name]
        endpoint.full_until = clock.now() + 1
        if has_ended:
            poller.note_unresponsive(endpoint, "refused")
        await asyncio.sleep(LATE_S / 2)
        controller._issue_orders(clock.now())
        endpoints.late.restart()
        await asyncio.sleep(1.0)
        return find_simultaneous(
            run
            for row in endpoints.by_name.values()
            for run in (
                *row.record,
                *((task, at, clock.now(), "") for (task, _), at in row.running.items()),
            )
        )


@then("the task has had one run at a time")
def step_one_at_a_time(context):
    assert not context.tasks, context.tasks


@given("entries and endpoints that restart {how} at random times, seed {number:d}")
def step_fleet(context, how, number):
    context.how, context.random = how, random.Random(number)


@when("jobs are submitted for 20 s")
def step_submit(context):
    context.overlap, context.outcomes, context.crashes = run_virtually(play(context))


async def restart(context, endpoint):
    """Restart an endpoint again and again for `SUBMIT_S` seconds."""
    choose = context.random
    until = clock.now() + SUBMIT_S
    while clock.now() < until:
        await asyncio.sleep(choose.uniform(0.2, MAX_UP_S))
        endpoint.reboot_s = choose.uniform(0.02, MAX_DOWN_S)
        await endpoint.crash(context.how)


async def play(context):
    """Submit jobs while endpoints restart, and then let the jobs end."""
    choose = context.random
    async with Fleet() as fleet:
        await fleet.wait_for_leader()
        fleet.endpoints.choose_start_delay_s = lambda: choose.uniform(
            0, MAX_START_DELAY_S
        )
        restarts = [
            asyncio.create_task(restart(context, endpoint))
            for endpoint in fleet.endpoints.by_name.values()
        ]
        for number in range(int(SUBMIT_S / SUBMIT_INTERVAL_S)):
            fleet.submit(number)
            await asyncio.sleep(choose.uniform(0, 2 * SUBMIT_INTERVAL_S))
        await asyncio.gather(*restarts)
        await asyncio.sleep(REST_S)
        crashes = [len(row.crashes) for row in fleet.endpoints.by_name.values()]
        return find_simultaneous(fleet.list_runs()), fleet.list_outcomes(), crashes


def find_simultaneous(runs):
    """Return the tasks that had two runs at the same time.

    A run after a success that is lost in a crash is allowed: nobody has noted the end.
    """
    ends = {}
    found = []
    for task, started_at, ended_at, _ in sorted(runs, key=lambda run: run[1]):
        if started_at < ends.get(task, 0.0):
            found.append(task)
        ends[task] = max(ended_at, ends.get(task, 0.0))
    return found


@then("no task has had two runs at the same time")
def step_no_overlap(context):
    assert sum(context.crashes) >= MIN_CRASHES, context.crashes
    assert not context.overlap, context.overlap


@then("every job has ended")
def step_ended(context):
    # Crashes by chance just after a start may fail a job; none may wait for ever.
    assert context.outcomes
    others = set(context.outcomes.values()) - {"completed", "failed"}
    assert not others, context.outcomes
