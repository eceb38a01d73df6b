"""Steps for instance and pace orders whose responses are lost, in virtual time."""

import asyncio
import contextlib
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import (
    CAPACITY,
    JOB,
    NEED,
    NOW,
    make_configuration,
    make_engine,
    make_registration,
    poll_endpoint,
    submit,
)
from slow_store_steps import make_controller
from virtual_time import run_virtually
from wave_takeover_steps import OPTIONS, Calls

from briarshed_entry import clock
from briarshed_workloads.crashes import note_crash
from briarshed_workloads.disruption import list_pacing
from briarshed_workloads.fleet import PRESENT
from briarshed_workloads.instance_orders import FIRST_EPOCH
from briarshed_workloads.interfaces import (
    Accepted,
    Ordered,
    OutcomeUnknownError,
    Rejected,
)
from briarshed_workloads.maintenance import (
    Candidate,
    Maintenance,
    WaveView,
)
from briarshed_workloads.options import SiteLimits
from briarshed_workloads.placement import list_available
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.sizing import Move, plan_moves
from briarshed_workloads.workloads import Instance, PollResponse, Step, WaveOrder

MAINTENANCE_S = 2.0
CALL_TIMEOUT_S = 1.5
WARM_UP_S = 4.0
PLAY_S = 20.0
TICK_S = 0.05
WAVE_S = 26.0
URGENT_WAVE_S = 1.0
LEASE_S = 3.0
SETTLE_S = 5.0


class Platform:
    """Instances with maintenance of `MAINTENANCE_S`, and responses that are lost."""

    def __init__(self, names, lost):
        self.names = names
        self.lost_until = clock.now() + WARM_UP_S + lost
        self.states = dict.fromkeys(names, "up")
        self.starts = dict.fromkeys(names, 1)
        self.done = {}
        self.maintained = []
        self.has_begun = asyncio.Event()
        self.up_at = dict.fromkeys(names, 0.0)

    async def read_instances(self):
        """Return all instances."""
        return tuple(
            Instance(f"m-{name}", "pool", self.states[name], "d", (), CAPACITY, name)
            for name in self.names
        )

    async def maintain(self, instance, wave, holder, token, permit):
        """Begin the maintenance of an instance, unless that was done before."""
        name = instance.removeprefix("m-")
        outcome = Ordered()
        if (name, wave) not in self.done:
            if self.states[name] != "up":
                outcome = Rejected("busy")
            else:
                self.done[name, wave] = clock.now()
                self.maintained.append(name)
                self.has_begun.set()
                self.states[name] = "maintenance"
                loop = asyncio.get_running_loop()
                loop.call_later(MAINTENANCE_S, self._finish, name)
        if clock.now() < self.lost_until:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OutcomeUnknownError("no response")
        return outcome

    def _finish(self, name):
        self.states[name] = "up"
        self.starts[name] += 1
        self.up_at[name] = clock.now()

    def list_registrations(self):
        """Return the registrations of the endpoints that are up."""
        return [
            make_registration(name, self.starts[name])._replace(instance=f"m-{name}")
            for name in self.names
            if self.states[name] == "up"
        ]


def make_maintenance(context, epoch):
    """Return the maintenance of a term, and its engine."""

    async def save(wave, record):
        context.records[wave] = record

    engine = make_engine(epoch, ())
    term = SimpleNamespace(epoch=epoch, has_authority=lambda: True)
    options = OPTIONS._replace(site_limits=SiteLimits(lease=LEASE_S))
    maintenance = Maintenance(
        options, term, engine, context.platform, save, lambda record: None
    )
    for wave, record in context.records.items():
        maintenance.restore(wave, record)
    maintenance.set_waves(context.orders)
    return maintenance, engine


async def observe(context):
    """Let the leader read registrations, and note which endpoints may get tasks."""
    platform = context.platform
    while True:
        engine, now = context.engine, clock.now()
        engine.note_registrations(platform.list_registrations(), now)
        engine.roster = set(engine.endpoints)
        for name, row in engine.endpoints.items():
            if platform.states[name] == "up" and not row.is_fenced:
                poll_endpoint(engine, name, now, started_at_ms=platform.starts[name])
        for row in list_available(engine, "pool", now):
            if platform.up_at[row.name] and row.name not in context.available:
                context.available[row.name] = now - platform.up_at[row.name]
        await asyncio.sleep(TICK_S)


async def play(context, event):
    """Carry out the waves."""
    context.records, context.available = {}, {}
    context.platform = Platform(("a", "b", "c"), context.lost)
    context.maintenance, context.engine = make_maintenance(context, FIRST_EPOCH)
    observing = asyncio.create_task(observe(context))
    await asyncio.sleep(WARM_UP_S)
    leading = asyncio.create_task(context.maintenance.run())
    if event == "the leader changes as it begins":
        await context.platform.has_begun.wait()
        leading.cancel()
        await asyncio.gather(leading, return_exceptions=True)
        context.maintenance, context.engine = make_maintenance(context, 2)
        leading = asyncio.create_task(context.maintenance.run())
    await asyncio.sleep(PLAY_S)
    context.evicting = [
        name for name, row in context.engine.endpoints.items() if row.evicting
    ]
    for task in (leading, observing):
        task.cancel()
    await asyncio.gather(leading, observing, return_exceptions=True)


@given("a wave over 1 instance, and responses that are lost for {lost:g} s")
def step_wave(context, lost):
    context.orders = [WaveOrder(1, ("m-a",), WAVE_S, 1)]
    context.lost = lost


@given("two waves over the same instance, and responses that are lost for {lost:g} s")
def step_waves(context, lost):
    context.orders = [WaveOrder(wave, ("m-a",), WAVE_S, 1) for wave in (1, 2)]
    context.lost = lost


@when("the wave is carried out, {event}")
def step_carried_out(context, event):
    run_virtually(play(context, event))


@when("the waves are carried out")
def step_both(context):
    run_virtually(play(context, ""))


@then("the instance is maintained once, and the wave is completed")
def step_once(context):
    assert context.platform.maintained == ["a"], context.platform.maintained
    assert context.records[1].is_completed


@then("the instance is maintained twice, and both waves are completed")
def step_twice(context):
    assert context.platform.maintained == ["a", "a"], context.platform.maintained
    assert all(context.records[wave].is_completed for wave in (1, 2))


@then("its endpoint may get tasks {most:g} s after it has come up")
def step_available(context, most):
    assert context.available.get("a", PLAY_S) <= most, context.available


@then("no endpoint is marked as evicting in the end")
def step_no_mark(context):
    assert context.evicting == [], context.evicting


class BusyCalls(Calls):
    """Loses the first response, and answers later orders for "m-a" with "busy"."""

    async def maintain(self, instance, wave, holder, token, permit):
        """Answer an order."""
        self.ordered.append(instance)
        if len(self.ordered) == 1:
            raise OutcomeUnknownError("no response")
        return Rejected("busy") if instance == "m-a" else Ordered()


def make_wave(context, calls_type, maximum):
    """Prepare a wave over two instances with a fake of the platform."""
    rows = {
        f"m-{name}": Instance(f"m-{name}", "pool", "up", "d", (), CAPACITY, name)
        for name in "ab"
    }
    context.platform = context.calls = calls_type(rows)
    context.orders = [WaveOrder(1, ("m-a", "m-b"), URGENT_WAVE_S, maximum)]
    context.records = {}
    context.maintenance, context.engine = make_maintenance(context, 2)
    registrations = [
        make_registration(name)._replace(instance=f"m-{name}") for name in "ab"
    ]
    context.engine.note_registrations(registrations, clock.now())
    context.engine.roster = set("ab")
    for name in "ab":
        poll_endpoint(context.engine, name, clock.now())


@given("a wave over 2 instances with a maximum of 1, whose first response is lost")
def step_first_lost(context):
    make_wave(context, BusyCalls, 1)


@when('the repeated order is answered with "busy"')
def step_busy(context):
    now = clock.now() + LEASE_S + 1
    for _ in range(6):
        asyncio.run(context.maintenance.run_once(now))
        now += 0.6
    assert len(context.calls.ordered) > 2


@then("the other instance is not ordered")
def step_other(context):
    assert set(context.calls.ordered) == {"m-a"}, context.calls.ordered


@given("a wave over 2 instances that are being drained, one order without a response")
def step_draining(context):
    make_wave(context, Calls, 2)
    now = clock.now()
    for name in "ab":
        submit(context.engine, name * 16, (Step(1, NEED, 60.0),), now)
    for order in plan_starts(context.engine, now):
        context.engine.note_started(order.run, int(now * 1000), now)
    marks = [(len(row.runs), row.evicting) for row in context.engine.endpoints.values()]
    assert marks == [(1, False)] * 2, marks
    now += LEASE_S + 1
    asyncio.run(context.maintenance.run_once(now))
    marks = [(len(row.runs), row.evicting) for row in context.engine.endpoints.values()]
    assert marks == [(1, True)] * 2, marks
    view = context.maintenance.waves[1]
    context.maintenance.waves[1] = WaveView(
        view.order, view.seen_at, set(), {"m-a": now}, {"m-a"}
    )
    context.now = now


@when("the instance list cannot be read for {seconds:g} s")
def step_no_list(context, seconds):
    async def fail():
        raise OutcomeUnknownError("no response")

    context.calls.read_instances = fail
    context.maintenance._listed_at = context.now - seconds
    asyncio.run(context.maintenance.run_once(context.now))


@then("only the endpoint whose maintenance may begin at any time is drained")
def step_one_drained(context):
    marks = {name: row.evicting for name, row in context.engine.endpoints.items()}
    assert marks == {"a": True, "b": False}, marks


@given("an endpoint whose instance was ordered into maintenance without a response")
def step_ordered(context):
    context.engine = make_engine()
    for name in "ab":
        poll_endpoint(context.engine, name, NOW)
    context.engine.endpoints["a"].note_end_ordered(NOW)
    term = SimpleNamespace(epoch=2, has_authority=lambda: True)
    context.maintenance = Maintenance(
        OPTIONS, term, context.engine, Calls({}), None, None
    )


@when("it has responded {seconds:g} s later, and crashes then")
def step_crashes(context, seconds):
    engine = context.engine
    poll_endpoint(engine, "a", NOW + seconds)
    context.maintenance._clear_refuted_marks()
    note_crash(engine, engine.endpoints["a"], NOW + seconds + 1)


@then("the crash {verdict}")
def step_verdict(context, verdict):
    assert bool(context.engine.crashes) == (verdict == "counts as evidence")


class IdleEndpoints:
    """An endpoint without runs."""

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """List nothing."""
        await asyncio.sleep(wait)
        return PollResponse(int(clock.now() * 1000), 1, (), ())


class OneOrder:
    """Answers one order in the way of a scenario."""

    def __init__(self, answer):
        self.answer = answer

    async def read_instances(self):
        """Return one instance."""
        return (Instance("m-a", "pool", "up", "d", (), CAPACITY, "a"),)

    async def maintain(self, *arguments):
        """Say that the maintenance has begun."""
        return Ordered()

    async def move(self, *arguments):
        """Reject the order, or lose the response."""
        if self.answer is None:
            raise OutcomeUnknownError("no response")
        return self.answer


@given("a leader that polls an endpoint without runs")
def step_idle(context):
    context.orders, context.records = [], {}


@when("its instance is {ordered}")
def step_instance_ordered(context, ordered):
    async def run():
        controller, _ = make_controller(
            SimpleNamespace(commit_count=0), endpoints=IdleEndpoints()
        )
        engine = controller.engine
        async with controller:
            controller.poller.start_polling()
            await asyncio.sleep(SETTLE_S)
            endpoint = engine.endpoints["a"]
            assert list_available(engine, "pool", clock.now()) == [endpoint]
            answer = None if ordered.endswith("no response") else Rejected("busy")
            context.platform = OneOrder(answer)
            maintenance, _ = make_maintenance(context, FIRST_EPOCH)
            maintenance._engine = engine
            await maintenance._read_instances()
            with contextlib.suppress(OutcomeUnknownError):
                if ordered.startswith("in maintenance"):
                    order = WaveOrder(1, ("m-a",), WAVE_S, 1)
                    view = WaveView(order, clock.now(), set(), {}, {"m-a"})
                    instance = maintenance.instances["m-a"]
                    await maintenance._order(view, Candidate(instance, endpoint))
                else:
                    await maintenance.moves.carry_out(
                        engine, maintenance.instances, Move("m-a", "other", "test")
                    )
            context.was_fenced = endpoint.is_fenced
            await asyncio.sleep(1.0)
            context.available_now = list_available(engine, "pool", clock.now())

    run_virtually(run())


@then("the endpoint may get tasks again within 1 s")
def step_available_again(context):
    assert not context.was_fenced
    assert len(context.available_now) == 1


@given("a best-effort task whose pace of 40 % was ordered without a response")
def step_paced(context):
    async def run():
        answers, context.tokens = [], []

        async def pace(name, address, task, number, percent, token, permit):
            context.tokens.append((percent, token))
            if len(answers) < 2:
                answers.append("lost")
                raise OutcomeUnknownError("no response")
            answers.append("done")
            return Accepted(0)

        controller, _ = make_controller(
            SimpleNamespace(commit_count=0), endpoints=SimpleNamespace(pace=pace)
        )
        engine = controller.engine
        poll_endpoint(engine, "a", clock.now())
        steps = (
            Step(1, NEED, 1.0, long_running=True, tail_latency_target=0.1),
            Step(1, NEED, 1.0, best_effort=True),
        )
        submit(engine, JOB, steps, clock.now())
        for order in plan_starts(engine, clock.now()):
            order.run.state = PRESENT
        serving, filler = engine.endpoints["a"].runs.values()
        serving.load = 95
        context.orders = []
        for _ in range(5):
            for order in list_pacing(engine, clock.now()):
                order.run.paced_at = clock.now()
                context.orders.append(order.percent)
                await controller.orders.send_pace(order)
            serving.load = 10
            await asyncio.sleep(1.0)
        context.answers, context.pace = answers, filler.pace

    context.play = run


@when("its neighbours are below their target again")
def step_below(context):
    run_virtually(context.play())


@then("its pace is ordered again, until an order is answered")
def step_ordered_again(context):
    assert context.orders == [40, 100, 100], context.orders
    assert context.answers == ["lost", "lost", "done"], context.answers
    assert context.pace == 100


@when("the order of 40 % is carried out then")
def step_late_pace(context):
    context.late_token = next(token for percent, token in context.tokens)


@then("the endpoint has refused it")
def step_refused(context):
    # An endpoint does nothing for a lower token than the highest that it has seen.
    assert context.tokens[0][0] == 40 and context.answers[-1] == "done"
    assert context.late_token < context.tokens[-1][1], context.tokens


@given("a retiring endpoint, and a configuration that has no standby pool any more")
def step_retiring(context):
    context.engine = make_engine(configuration=make_configuration())
    context.engine.endpoints["a"].retiring = True


@when("moves are planned")
def step_moves(context):
    plan_moves(context.engine, {}, {}, (), {}, NOW)


@then("the endpoint is not retiring")
def step_not_retiring(context):
    assert not context.engine.endpoints["a"].retiring
