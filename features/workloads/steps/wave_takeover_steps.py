"""Steps for maintenance waves, with a fake of the platform's instance interface."""

import asyncio
import json
import math
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from engine_steps import (
    CAPACITY,
    JOB,
    NEED,
    NOW,
    TASK,
    make_configuration,
    make_engine,
    poll_endpoint,
    submit,
)

from briarshed_entry import clock
from briarshed_workloads.configuration import PoolRules
from briarshed_workloads.interfaces import (
    Item,
    Listing,
    Ordered,
    OutcomeUnknownError,
)
from briarshed_workloads.maintenance import Maintenance, WaveView, choose_next
from briarshed_workloads.options import EntryOptions, SiteLimits
from briarshed_workloads.persistence import Persistence
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.records import SizesRecord, WaveRecord
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Instance,
    ListedRun,
    Step,
    WaveOrder,
)

NAMES = ("m1", "m2", "m3")
ROUND_S = 5.0
OPTIONS = EntryOptions(
    "e",
    "d",
    ("d",),
    "",
    "",
    "",
    "",
    "",
    "",
    "",
    1.0,
    100.0,
    SiteLimits(),
)


class Calls:
    """A fake of the platform's instance interface."""

    def __init__(self, rows):
        self.rows = rows
        self.ordered = []
        self.unanswered = set()

    async def read_instances(self):
        """Return all instances."""
        return tuple(self.rows.values())

    async def maintain(self, instance, wave, holder, token, permit):
        """Begin the maintenance of an instance."""
        self.ordered.append(instance)
        if instance in self.unanswered:
            raise OutcomeUnknownError("no response")
        self.rows[instance] = self.rows[instance]._replace(state="maintenance")
        return Ordered()


def build(context, maximum=3, down=()):
    """Create the maintenance of the second term."""
    rows = {
        name: Instance(
            name,
            "p",
            "maintenance" if name in down else "up",
            "d",
            (),
            NO_RESOURCES,
            "",
        )
        for name in NAMES
    }
    context.saved = []

    async def save(wave, record):
        context.saved.append(record)

    def note_sizes(record):
        """Record nothing."""

    context.calls = Calls(rows)
    term = SimpleNamespace(epoch=2, has_authority=lambda: True)
    context.order = WaveOrder(1, NAMES, 20.0, maximum)
    context.engine = make_engine()
    context.maintenance = Maintenance(
        OPTIONS, term, context.engine, context.calls, save, note_sizes
    )


@given('a wave over "m1", "m2" and "m3", of which an earlier leader began "m1"')
def step_wave(context):
    build(context)
    context.record = WaveRecord(("m1",), False)


@given('a wave over "m1", "m2" and "m3" that is completed')
def step_completed(context):
    build(context)
    context.record = WaveRecord(NAMES, True)


@given('a wave over "m1", "m2" and "m3" with a maximum of 2, of which "m1" is down')
def step_down(context):
    build(context, maximum=2, down=("m1",))
    context.record = WaveRecord(("m1",), False)


@given('a wave over "m1", "m2" and "m3" with a maximum of 3, of which "m1" is down')
def step_other_wave(context):
    build(context, down=("m1",))
    context.record = WaveRecord((), False)


@then("the wave is not recorded as completed")
def step_not_recorded(context):
    assert context.saved
    assert not any(record.is_completed for record in context.saved)


def run_maintenance(context, *, after_lease=True):
    """Run two steps of the maintenance."""
    now = clock.now() + (OPTIONS.site_limits.lease + 1 if after_lease else 0.0)
    for _ in range(2):
        asyncio.run(context.maintenance.run_once(now))
        now += 1.0


@when("the new leader takes over {order}")
def step_take_over(context, order):
    if order.startswith("the records"):
        context.maintenance.restore(1, context.record)
        context.maintenance.set_waves([context.order])
    else:
        context.maintenance.set_waves([context.order])
        context.maintenance.restore(1, context.record)
    run_maintenance(context)


@when("the new leader has led for less than the lease time")
def step_too_early(context):
    context.maintenance.restore(1, context.record)
    context.maintenance.set_waves([context.order])
    run_maintenance(context, after_lease=False)


@then('it orders "m2" and "m3" and not "m1"')
def step_orders(context):
    assert sorted(context.calls.ordered) == ["m2", "m3"], context.calls.ordered


@then("the wave is recorded as completed once both have begun")
def step_recorded(context):
    assert context.saved[-1].is_completed
    assert sorted(context.saved[-1].begun) == list(NAMES)


@then("it orders nothing")
def step_nothing(context):
    assert not context.calls.ordered


@given('an endpoint runs on "m2" that the new leader has not polled')
def step_not_polled(context):
    row = context.calls.rows["m2"]
    context.calls.rows["m2"] = row._replace(endpoint="a")
    context.engine.earlier.runs_until = clock.now() + 60.0


@when('the endpoint on "m2" has listed no runs')
def step_listed(context):
    started_at_ms = context.engine.endpoints["a"].registration.started_at_ms
    poll_endpoint(context.engine, "a", NOW + 1, started_at_ms=started_at_ms)
    run_maintenance(context)


@given('"m2" was about to be ordered by the previous leader')
def step_intended(context):
    context.record = WaveRecord(("m1",), False, ("m1", "m2"))


@then('it has ordered "m3" and not "m2"')
def step_not_yet(context):
    assert context.calls.ordered == ["m3"], context.calls.ordered


@when("the lease time has passed")
def step_lease_passed(context):
    run_maintenance(context)


@then('it has ordered "m2" as well')
def step_then(context):
    assert context.calls.ordered == ["m3", "m2"], context.calls.ordered


@then('it orders one of "m2" and "m3"')
def step_one(context):
    assert len(context.calls.ordered) == 1


def choose(context, age):
    """Return the names of the instances to drain when the wave has this age."""
    view = WaveView(context.order, NOW, set(), {}, set())
    engine = getattr(context, "engine", None)
    find = engine.endpoints.get if engine else lambda _: None
    rows = choose_next(view, context.instances, find, {"short"}, ROUND_S, NOW + age)
    return sorted(row.instance.instance for row in rows)


@given('a 20 s wave over "m1", "m2" and "m3", with "m1" in a pool short of capacity')
def step_short_pool(context):
    context.order = WaveOrder(1, NAMES, 20.0, 3)
    context.instances = {
        name: Instance(name, "p", "up", "d", (), NO_RESOURCES, "") for name in NAMES
    }
    context.instances["m1"] = context.instances["m1"]._replace(pool="short")


@when("2 s have passed")
def step_early(context):
    context.chosen = choose(context, 2.0)


@when("12 s have passed")
def step_late(context):
    context.chosen = choose(context, 12.0)


@then('"m2" and "m3" are to be drained')
def step_calm_pools(context):
    assert context.chosen == ["m2", "m3"], context.chosen


@then('"m1", "m2" and "m3" are to be drained')
def step_all(context):
    assert context.chosen == list(NAMES), context.chosen


@given('a wave over "m1", "m2" and "m3" that the previous leader first read 18 s ago')
def step_old_wave(context):
    build(context, maximum=0)
    context.record = WaveRecord((), False, (), clock.read_unix_time() - 18.0)


@then("the wave's age is 18 s")
def step_age(context):
    age = clock.now() - context.maintenance.waves[1].seen_at
    assert abs(age - 18.0) < 1.0, age


class MoveCalls(Calls):
    """A fake of the platform's instance interface, with moves."""

    def __init__(self, rows, records):
        super().__init__(rows)
        self.records = records
        self.recorded_at_move = []

    async def move(self, instance, pool, holder, token, permit):
        """Move an instance."""
        self.ordered.append(instance)
        self.recorded_at_move.append(self.records[-1].moved if self.records else ())
        self.rows[instance] = self.rows[instance]._replace(pool=pool, state="moving")
        return Ordered()


@given('a pool that is short of 2 instances, and "m1" and "m2" in reserve')
def step_short(context):
    context.records = []

    def note_sizes(record):
        context.records.append(record)

    rows = {
        name: Instance(name, "reserve", "up", "d", (), CAPACITY, "")
        for name in NAMES[:2]
    }
    rows["own"] = Instance("own", "pool", "up", "d", (), CAPACITY, "a")
    context.calls = MoveCalls(rows, context.records)
    plain = make_configuration()
    reserve = PoolRules("reserve", False, True)
    configuration = plain._replace(pools={**plain.pools, "reserve": reserve})
    context.engine = make_engine(names=("a",), configuration=configuration)
    poll_endpoint(context.engine, "a", NOW)
    now = clock.read_unix_time()
    submit(context.engine, JOB, (Step(40, NEED, 2.0),), now)
    context.engine.unix_offset = now - clock.now()
    term = SimpleNamespace(epoch=2, has_authority=lambda: True)
    context.maintenance = Maintenance(
        OPTIONS, term, context.engine, context.calls, None, note_sizes
    )


@given('"m1" has just been moved by the previous leader')
def step_moved_before(context):
    context.record = SizesRecord({"pool": 1}, ("m1",))
    context.maintenance.restore_sizes(context.record)
    context.maintenance.restore = lambda *_: None
    context.order = WaveOrder(9, (), 20.0, 1)
    context.maintenance.set_waves = lambda _: None


@then('it has moved "m2" and not "m1"')
def step_moved_other(context):
    assert context.calls.ordered == ["m2"], context.calls.ordered


@then('the move of "m2" was recorded before it was ordered')
def step_recorded_before(context):
    assert "m2" in context.calls.recorded_at_move[0]
    assert "m1" in context.calls.recorded_at_move[0]


@then('it has moved "m1" as well')
def step_moved_both(context):
    assert context.calls.ordered == ["m2", "m1"], context.calls.ordered


@given("a wave over 12 instances, 6 of them with a task of one step with a budget of 1")
def step_lasting(context):
    names = tuple(f"m{number:02}" for number in range(12))
    context.order = WaveOrder(1, names, 20.0, 12)
    context.instances = {
        name: Instance(name, "p", "up", "d", (), NO_RESOURCES, name) for name in names
    }
    holders = names[:6]
    context.engine = make_engine(names=holders)
    steps = (Step(6, NEED, 1.0, per_endpoint=1, long_running=True, outage_budget=1),)
    submit(context.engine, JOB, steps, NOW)
    for name in holders:
        poll_endpoint(context.engine, name, NOW)
    assert len(plan_starts(context.engine, NOW)) == 6


@then("2 instances with such a task are to be drained, and all others without")
def step_two_first(context):
    holders = [name for name in context.chosen if name < "m06"]
    assert len(holders) == 2, context.chosen
    assert len(context.chosen) == 8, context.chosen


@given('the instance list lacks "{name}" for a moment')
@given('the instance list lacks "{name}" from now on')
def step_unlisted(context, name):
    context.unlisted = context.calls.rows.pop(name)


@given('an endpoint is registered on "m2", which the instance list lacks')
def step_registered_unlisted(context):
    step_unlisted(context, "m2")
    endpoint = context.engine.endpoints["a"]
    endpoint.registration = endpoint.registration._replace(instance="m2")


@given('a wave over "m1", "m2" and "m3" with a maximum of 1, of which "m1" is down')
def step_down_of_one(context):
    build(context, maximum=1, down=("m1",))
    context.record = WaveRecord(("m1",), False)


@then("the wave is not completed")
def step_not_completed(context):
    assert context.maintenance.waves
    step_not_recorded(context)


def read_list_again(context):
    """Let the next step read the instance list."""
    context.maintenance._listed_at = -math.inf


@when('the instance list names "m2" again')
def step_listed_again(context):
    context.calls.rows["m2"] = context.unlisted
    read_list_again(context)
    run_maintenance(context)


@then('"m2" is ordered before the wave is recorded as completed')
def step_ordered_before(context):
    assert context.calls.ordered == ["m3", "m2"], context.calls.ordered
    assert context.saved[-1].is_completed


@when('the instance list has lacked "m2" for 10 s')
def step_lacked(context):
    with mock.patch.object(clock, "now", return_value=clock.now() + 10.0):
        run_maintenance(context)


@then('the wave is recorded as completed without "m2"')
def step_completed_without(context):
    assert context.saved[-1].is_completed
    assert sorted(context.saved[-1].begun) == ["m1", "m3"]


@when("the new leader decides 0.5 s after the start of its machine")
def step_after_boot(context):
    with mock.patch.object(clock, "now", return_value=0.5):
        context.maintenance.restore(1, context.record)
        context.maintenance.set_waves([context.order])
        asyncio.run(context.maintenance.run_once(0.5))


@given('a wave over "m1", "m2" and "m3" with a maximum of {maximum:d}')
def step_maximum(context, maximum):
    build(context, maximum=maximum)
    context.record = WaveRecord((), False)


@given('"m3" was about to be ordered by the previous leader')
def step_intended_third(context):
    context.record = WaveRecord((), False, ("m3",))


@then('it orders "m3" first')
def step_third_first(context):
    assert context.calls.ordered[0] == "m3", context.calls.ordered


@given('the wave has 100 s, and "m1" is in a pool short of capacity')
def step_short_of_capacity(context):
    context.order = context.order._replace(duration=100.0)
    context.calls.rows["m1"] = context.calls.rows["m1"]._replace(pool="short")
    context.maintenance._list_short_pools = lambda _: {"short"}


@given('the order for "m2" gets no response')
def step_unanswered(context):
    context.calls.unanswered.add("m2")


@when('the pool of "m1" is no longer short of capacity')
def step_no_longer_short(context):
    context.maintenance._list_short_pools = lambda _: set()
    run_maintenance(context)


@then('only "m2" has been ordered')
def step_only_second(context):
    assert set(context.calls.ordered) == {"m2"}, context.calls.ordered


@then('"m2" is still recorded as ordered')
def step_still_recorded(context):
    assert "m2" in context.saved[-1].ordered, context.saved[-1]


class Records:
    """A store that holds one record that cannot be decoded."""

    def __init__(self, key):
        self.item = Item(key, b"\xc1", 1, 1)

    async def read(self, key):
        """Return the record if it has this key."""
        return self.item if self.item.key == key else None

    async def read_all(self, prefix):
        """Return the record if it is under the prefix."""
        return Listing((self.item,) if self.item.key.startswith(prefix) else (), 1)


@given('the record "{key}" cannot be decoded')
def step_undecodable(context, key):
    persistence = Persistence(None, context.engine, Records(key), None, 1.0, None)
    asyncio.run(persistence.load_waves(context.maintenance))
    if not hasattr(context, "order"):
        context.record = WaveRecord((), False)
        context.order = WaveOrder(9, (), 20.0, 1)
        context.maintenance.restore = lambda *_: None
        context.maintenance.set_waves = lambda _: None


@then('it has ordered "m1", "m2" and "m3"')
def step_ordered_all(context):
    assert sorted(context.calls.ordered) == list(NAMES), context.calls.ordered


@then('it has moved both "m1" and "m2"')
def step_moved_all(context):
    assert sorted(context.calls.ordered) == ["m1", "m2"], context.calls.ordered


@given('a task runs at endpoint "a" on "m2", for which the list names {named}')
def step_other_named(context, named):
    engine = context.engine
    for name, started_at_ms in (("a", 2), ("b", 1)):
        endpoint = engine.endpoints[name]
        endpoint.registration = endpoint.registration._replace(
            instance="m2", started_at_ms=started_at_ms
        )
    engine.note_replaced(engine.endpoints["b"], "replaced")
    submit(engine, JOB, (Step(1, NEED, 1.0, long_running=True, outage_budget=0),), NOW)
    poll_endpoint(engine, "a", NOW, [ListedRun(TASK, 1, "", 100, 0)], started_at_ms=2)
    listed = {"no endpoint": "", "an earlier endpoint": "b"}.get(named, "other")
    row = context.calls.rows["m2"]
    context.calls.rows["m2"] = row._replace(endpoint=listed)


@then('it has ordered "m1" and "m3" and not "m2"')
def step_ordered_others(context):
    assert sorted(context.calls.ordered) == ["m1", "m3"], context.calls.ordered


@given("a pool of 8 idle instances with the recorded sizes {sizes}")
def step_idle_pool(context, sizes):
    names = tuple("abcdefgh")
    plain = make_configuration()
    reserve = PoolRules("reserve", False, True)
    context.engine = make_engine(
        names=names,
        configuration=plain._replace(pools={**plain.pools, "reserve": reserve}),
    )
    rows = {}
    for name in names:
        poll_endpoint(context.engine, name, NOW)
        endpoint = context.engine.endpoints[name]
        endpoint.registration = endpoint.registration._replace(instance=name)
        rows[name] = Instance(name, "pool", "up", "d", (), CAPACITY, name)
    context.calls = MoveCalls(rows, [])
    term = SimpleNamespace(epoch=2, has_authority=lambda: True)
    context.maintenance = Maintenance(
        OPTIONS, term, context.engine, context.calls, None, lambda _: None
    )
    context.maintenance.restore_sizes(SizesRecord(json.loads(sizes)))


@when("the new leader takes its first decisions")
def step_first_decisions(context):
    run_maintenance(context, after_lease=False)
