"""Steps for orders for instances, with a fake platform that may be late."""

import asyncio
import contextlib
import random
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    make_configuration,
    make_engine,
    poll_endpoint,
    submit,
)
from virtual_time import run_virtually
from wave_takeover_steps import OPTIONS

from briarshed_entry import clock
from briarshed_workloads.configuration import PoolRules
from briarshed_workloads.instance_orders import InstanceOrders
from briarshed_workloads.interfaces import (
    NotExecutedError,
    Ordered,
    OutcomeUnknownError,
)
from briarshed_workloads.maintenance import Maintenance
from briarshed_workloads.options import SiteLimits
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import NO_RESOURCES, Instance, Step, WaveOrder

CALL_TIMEOUT_S = 1.5
DELIVERY_S = 1.5
"""Time after a time-out until which sent bytes may still be delivered."""


class Platform:
    """A fake of the platform; a call can be late, lost or not executed."""

    def __init__(self, rows):
        self.rows = rows
        self.ordered = []
        self.delays = {}
        self.lost = set()
        self.failing = set()

    async def read_instances(self):
        """Return all instances."""
        return tuple(self.rows.values())

    async def maintain(self, instance, wave, holder, token, permit):
        """Begin the maintenance of an instance."""
        self.ordered.append(instance)
        await asyncio.sleep(self.delays.get(instance, 0.0))
        if instance in self.failing:
            raise NotExecutedError("429")
        if instance in self.lost:
            raise OutcomeUnknownError("time-out")
        self.rows[instance] = self.rows[instance]._replace(state="maintenance")
        return Ordered()

    async def move(self, instance, pool, holder, token, permit):
        """Move an instance."""
        self.ordered.append(instance)
        return Ordered()


def make_row(name, pool="p"):
    """Return an instance without an endpoint."""
    return Instance(name, pool, "up", "d", (), NO_RESOURCES, "")


def start_term(context, epoch=1, engine=None):
    """Let a leader begin its term with the records of the one before."""

    async def save(wave, record):
        context.records[wave] = record

    async def save_sizes(record):
        if context.during_write is not None:
            await context.during_write()
        context.sizes = record

    term = SimpleNamespace(epoch=epoch, has_authority=lambda: True)
    context.maintenance = Maintenance(
        OPTIONS._replace(site_limits=context.limits),
        term,
        engine or make_engine(epoch, ()),
        context.platform,
        save,
        lambda record: None,
        save_sizes,
    )
    for wave, record in context.records.items():
        context.maintenance.restore(wave, record)


@given("a platform that {refuses} old orders")
def step_platform(context, refuses):
    context.limits = SiteLimits(refuses_old_orders=refuses == "refuses")
    context.records = {}
    context.during_write = None


@given('a wave whose order for "m1" gets no response')
def step_lost(context):
    context.platform = Platform({"m1": make_row("m1")})
    context.platform.lost.add("m1")
    context.wave = WaveOrder(1, ("m1",), 60.0, 3)


@given('a wave whose order for "m1" takes 1.4 s, and for "m2" is not executed')
def step_slow(context):
    context.platform = Platform({name: make_row(name) for name in ("m1", "m2")})
    context.platform.delays["m1"] = 1.4
    context.platform.failing.add("m2")
    context.wave = WaveOrder(1, ("m1", "m2"), 60.0, 3)


@when("the leader decides again for {seconds:g} s")
def step_decide(context, seconds):
    async def decide():
        start_term(context)
        context.maintenance.set_waves([context.wave])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await context.maintenance.run()

    run_virtually(decide())


@then('"m1" has been ordered {times}')
def step_ordered(context, times):
    count = context.platform.ordered.count("m1")
    if times == "repeatedly":
        assert count > 1, count
    else:
        assert count == {"once": 1, "0 times": 0}[times], count


@given('a pool that is short of an instance, and "m1" in reserve')
def step_short(context):
    plain = make_configuration()
    reserve = PoolRules("reserve", False, True)
    configuration = plain._replace(pools={**plain.pools, "reserve": reserve})
    engine = make_engine(epoch=2, names=("a",), configuration=configuration)
    poll_endpoint(engine, "a", NOW)
    context.engine = engine
    context.platform = Platform({"m1": make_row("m1", "reserve")})
    submit(engine, JOB, (Step(40, NEED, 2.0),), NOW)
    start_term(context, 2, engine)


def move(context):
    """Decide once, and give the orders a moment."""

    async def decide():
        now = clock.now()
        engine = context.engine
        engine.unix_offset = NOW - now
        task = asyncio.ensure_future(context.maintenance.run_once(now + 7.0))
        await asyncio.wait([task], timeout=0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(decide())


@when('the leader moves "m1" while the store takes no writes')
def step_no_writes(context):
    context.during_write = asyncio.Event().wait
    move(context)


@when('the leader moves "m1", and a run starts there while the move is recorded')
def step_run_meanwhile(context):
    engine = context.engine

    async def start():
        endpoint = engine.endpoints["a"]
        endpoint.registration = endpoint.registration._replace(instance="m1")
        assert plan_starts(engine, NOW)

    context.during_write = start
    move(context)


@given('a wave over "m1" that has begun and is completed')
def step_completed(context):
    context.platform = Platform({"m1": make_row("m1")})
    start_term(context)
    context.maintenance.set_waves([WaveOrder(1, ("m1",), 60.0, 3)])
    context.started_at = clock.now()
    for later in (0.0, 1.0):
        decide_at(context, later)
    assert context.records[1].is_completed
    context.platform.rows["m1"] = make_row("m1")
    context.platform.ordered.clear()


def decide_at(context, later):
    """Decide once, some time after the start of the scenario."""
    now = context.started_at + later
    with mock.patch.object(clock, "now", lambda: now):
        asyncio.run(context.maintenance.run_once(now))


@when("a new leader has led for less than the lease time")
def step_new_leader(context):
    now = context.started_at + 1.2
    with mock.patch.object(clock, "now", lambda: now):
        start_term(context, 2)
        context.maintenance.set_waves([WaveOrder(2, ("m1",), 60.0, 3)])
    decide_at(context, 2.5)


@then('it orders nothing for "m1" in another wave')
def step_held(context):
    assert not context.platform.ordered


@when("the lease time has passed since")
def step_lease_over(context):
    # Sums of times are rounded.
    decide_at(context, 1.2 + context.limits.lease + 0.001)


@then('it orders "m1" in another wave')
def step_other_wave(context):
    assert context.platform.ordered == ["m1"]


@when(
    "3 leaders in turn order waves and moves, with deliveries that are late at random"
)
def step_random(context):
    """Draw when orders are given, answered and delivered, by the rules of a term."""
    context.delivered = {}
    for seed in range(200):
        draw = random.Random(seed)
        now, earlier, sent = 100.0, set(), []
        for epoch in (1, 2, 3):
            orders = InstanceOrders(epoch, context.limits, now)
            orders.restore(earlier)
            until = now + draw.uniform(0.5, 8.0)
            while now < until:
                names = {"m1", "m2"} - orders.list_held(("m1", "m2"), now)
                for name in sorted(names):
                    if now < until and draw.random() < 0.3:
                        now = give_order(draw, orders, name, now, sent)
                        earlier.add(name)
                now += 0.15
            # The leader may end while it waits for a response.
            now = until
        for name, token, _ in sorted(sent, key=lambda row: row[2]):
            context.delivered.setdefault((seed, name), []).append(token)


def give_order(draw, orders, name, now, sent):
    """Send an order and return when its outcome is known."""
    token = orders.next_token()
    if draw.random() < 0.5:
        sent.append((name, token, now + 0.001))
        return now + 0.004
    # The response or the request is late; only the request matters here.
    ended_at = now + CALL_TIMEOUT_S
    sent.append((name, token, draw.uniform(now, ended_at + DELIVERY_S)))
    orders.note_unanswered(name, ended_at)
    return ended_at


@then("the tokens that reach each instance rise")
def step_rise(context):
    assert len(context.delivered) > 300
    for key, tokens in context.delivered.items():
        assert tokens == sorted(tokens), (key, tokens)
