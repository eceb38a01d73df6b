"""Steps for own instances that leave their pool, without network and clock."""

import asyncio
import json

import msgspec
from behave import given, then, when
from engine_steps import JOB, NEED, NOW, make_engine, submit
from wave_takeover_steps import run_maintenance

from briarshed_entry import clock
from briarshed_workloads.demand_forecast import Spell, forecast_spell
from briarshed_workloads.interfaces import OutcomeUnknownError
from briarshed_workloads.records import SizesRecord, decode, encode
from briarshed_workloads.sizing import (
    ALL_INSTANCES,
    MIN_INSTANCES,
    ArrivalRate,
    PoolDemand,
    measure_demands,
    plan_moves,
)
from briarshed_workloads.standing_by import StandingBy
from briarshed_workloads.workloads import Resources, Step

SIZE, STEP_S, MOVE_S = 8, 0.15, 1.5


@given("spells of demand that started at {starts}")
def step_spells(context, starts):
    context.spells = [Spell(start, start + 4) for start in json.loads(starts)]


@then("at {now:d} s the next one is expected at {expected} s")
def step_forecast(context, now, expected):
    forecast = forecast_spell(context.spells, now)
    found = "none" if forecast is None else f"{forecast.starts_at:g}"
    assert found == expected, forecast


def play(context, spells, until, need=1, widest=0, rest=0):
    """Measure a pool until a time, and keep its floor at each time.

    Long-running tasks need ``need`` of its instances, also between the spells.
    """
    context.standing_by, context.floors = StandingBy(-10.0, MOVE_S), []
    go_on(context, spells, -10.0, until, need, widest, rest=rest)


def go_on(context, spells, now, until, need=1, widest=0, count=SIZE, rest=0):
    """Measure a pool from one time to another.

    What has arrived in a spell takes ``rest`` seconds longer to work off.
    """
    while now < until:
        arriving = SIZE * 1000.0 * any(start <= now < end for start, end in spells)
        is_busy = any(start <= now < end + rest for start, end in spells)
        demand = SIZE * 1000.0 if is_busy else 0.0
        lasting = Resources(need * 1000)
        capacity = Resources(count * 1000, count * 1000)
        row = PoolDemand(
            demand,
            lasting,
            capacity,
            count,
            MIN_INSTANCES,
            widest,
            arriving=arriving,
        )
        floors = context.standing_by.choose_floors({"p": row}, {"p": SIZE}, now)
        context.floors.append((now, floors["p"]))
        now += STEP_S


def find_floor(context, now):
    """Return the floor at a time."""
    return max(row for row in context.floors if row[0] <= now)[1]


@given(
    "a pool of 8 instances with tasks that last on {need:d} and a spell of {spell:d} s"
)
def step_spell(context, need, spell):
    context.end = spell
    play(context, [(0, spell)], spell + 10, need=need)


@given(
    "a pool of 8 instances with a spell of {spell:d} s "
    "that takes 6 s longer to work off"
)
def step_rest_of_spell(context, spell):
    context.end = spell
    play(context, [(0, spell)], spell + 16, rest=6)


@then("{floor:d} have to be in it {quiet:d} s after the spell")
def step_floor(context, floor, quiet):
    assert find_floor(context, context.end + quiet) == floor


@given("a pool of 8 instances with a spell of 10 s every 40 s, seen 4 times")
def step_regular(context):
    play(context, [(start, start + 10) for start in (0, 40, 80, 120)], 160)


@then("4 have to be in it 15 s before the next one, and 8 have to 5 s before it")
def step_ahead(context):
    assert (find_floor(context, 145), find_floor(context, 155)) == (4, 8)


def replace_leader(context, at):
    """Let another leader take over what the first one has recorded."""
    known = context.standing_by.list_spells()
    context.floors = []
    context.standing_by = StandingBy(at, MOVE_S)
    spells = {"p": [row for row in known["p"] if row.started_at < at]}
    context.standing_by.restore(spells)


@given("a new leader at {at:d} s, for whom the pool has 4 of its instances")
def step_next_leader(context, at):
    replace_leader(context, at)
    go_on(context, [(160, 170)], at, 156, count=4)


@then("{floor:d} have to be in it at {now:d} s")
def step_floor_at(context, floor, now):
    assert find_floor(context, now) == floor


@given("a new leader in the middle of the next spell")
def step_in_spell(context):
    go_on(context, [(160, 170)], 160, 165)
    replace_leader(context, 165)
    # The new leader knows no jobs at first.
    go_on(context, [(166, 170)], 165, 168)


@then("it knows one spell that began at 160 s")
def step_one_spell(context):
    last = context.standing_by.list_spells()["p"][-1]
    assert abs(last.started_at - 160) < STEP_S and last.ended_at is None, last


@given("a pool of 8 instances with a spell of 5 s every 40 s, seen {count:d} times")
def step_short_spells(context, count):
    spells = [Spell(40.0 * row, 40.0 * row + 5) for row in range(1, count + 1)]
    context.spells, context.floors = {"p": spells}, []


@given("it has another at 160 s, and no leader between 162 s and 1000 s")
def step_no_leader(context):
    context.spells["p"].append(Spell(160.0))
    step_next_measures(context)


@given("a pool that has been removed since, with a spell from 100 s on")
def step_removed_pool(context):
    context.spells["removed"] = [Spell(100.0)]


@when("another leader measures the first pool from 1000 s to 1010 s")
def step_next_measures(context):
    context.standing_by = StandingBy(1000.0, MOVE_S)
    context.standing_by.restore(context.spells)
    go_on(context, [], 1000, 1010)


@then("only the first pool has spells")
def step_first_only(context):
    assert set(context.standing_by.list_spells()) == {"p"}


@then("it knows {count:d} spells, of 5 s each")
def step_known_spells(context, count):
    rows = context.standing_by.list_spells().get("p", ())
    assert [row.ended_at - row.started_at for row in rows] == [5.0] * count, rows


@given("records of an earlier version")
def step_earlier(context):
    rate = ArrivalRate()
    rate.add(1e6, clock.now() + 5.0)
    context.maintenance.moves._rates["pool"] = rate
    old = msgspec.msgpack.encode(({"pool": 1}, ()))
    context.maintenance.restore_sizes(decode(old, SizesRecord))


@when("its demand ends")
def step_demand_ends(context):
    context.engine.open_jobs.clear()
    now = context.maintenance._listed_at + 40.0
    for _ in range(2):
        asyncio.run(context.maintenance.run_once(now))
        now += 5.0


@then("the last record has a spell that started less than 60 s ago and has ended")
def step_spell_recorded(context):
    record = decode(encode(context.records[-1]), SizesRecord)
    ((start, end),) = record.spells["pool"]
    now = context.engine.to_unix_time(context.maintenance._listed_at)
    assert start <= end <= now + 60 and now - start < 60, (start, end, now)


@given("a pool of 8 instances with spells of 10 s at 0, 30 and 45 s")
def step_irregular(context):
    play(context, [(0, 10), (30, 40), (45, 55)], 95)


@then("8 have to be in it at 65 s, and 4 at 90 s")
def step_waits(context):
    assert (find_floor(context, 65), find_floor(context, 90)) == (8, 4)


@given("a pool of 8 instances after a spell, and an open job over 7 of them")
def step_spread(context):
    play(context, [(0, 10)], 20, widest=7)


@then("7 have to be in it")
def step_spread_floor(context):
    assert find_floor(context, 19) == 7


@given("a pool, and an open job with {what}")
def step_whole(context, what):
    context.engine = make_engine()
    step = {
        "a required label": Step(1, NEED, 1.0, label="x"),
        "a gang": Step(2, NEED, 1.0, gang=True),
        "an accelerator": Step(1, Resources(10, 10, 1), 1.0),
    }[what]
    submit(context.engine, JOB, (step,), NOW)


@then("all instances of the pool have to be in it")
def step_all(context):
    demand = measure_demands(context.engine, {}, {}, NOW)["pool"]
    assert demand.widest >= ALL_INSTANCES, demand


@given('the 4 in reserve and 2 of "p0" have been moved to "p1"')
def step_lent(context):
    for number in range(4):
        context.pools.add(f"spare-{number}", "p1")
    for number in range(2):
        name = f"p0-{number}"
        pools = context.pools
        pools.registrations = [
            row for row in pools.registrations if row.instance != name
        ]
        pools.engine.note_replaced(pools.engine.endpoints.pop(f"e-{name}"), "moved")
        pools.add(name, "p1")


@given('2 of "p0" have been moved to the reserve')
def step_away(context):
    step_lent(context)
    for name, row in context.pools.instances.items():
        if row.pool == "p1" and not name.startswith("p1"):
            context.pools.instances[name] = row._replace(pool="reserve", endpoint="")
            del context.pools.engine.endpoints[f"e-{name}"]


def plan(context, now):
    """Plan moves as a leader does that leads since `NOW`."""
    sizes = dict.fromkeys(("p0", "p1"), 4)
    standing_by = StandingBy(NOW, MOVE_S)
    rows = context.pools.instances
    engine = context.pools.engine
    return plan_moves(engine, rows, {}, set(), sizes, now, standing_by.choose_floors)


@when('tasks for 40 instances wait in "p0" and in "p1"')
def step_both(context):
    context.pools.load("p0", 40)
    context.pools.load("p1", 40)
    context.moves = plan(context, NOW)
    retiring = [row for row in context.pools.engine.endpoints.values() if row.retiring]
    context.retiring = {row.registration.pool for row in retiring}, len(retiring)


@then('2 instances of "p1" get no new runs and move to "p0"')
def step_returned(context):
    assert context.retiring == ({"p1"}, 2), context.retiring
    assert [move.pool for move in context.moves] == ["p0"] * 2, context.moves


@when("a new leader plans its first moves")
def step_new_leader(context):
    context.moves = plan(context, NOW + 1.0)


@then('2 instances in reserve are moved to "p0", and no other moves')
def step_back(context):
    assert [move.pool for move in context.moves] == ["p0"] * 2, context.moves
    rows = context.pools.instances
    assert all(rows[move.instance].pool == "reserve" for move in context.moves)


@given("the response to the first move of each is lost, and has no effect")
def step_lost(context):
    answer, lost = context.calls.move, set()

    async def move(instance, *rest):
        if instance not in lost:
            lost.add(instance)
            raise OutcomeUnknownError("no response")
        return await answer(instance, *rest)

    context.calls.move = move
    context.maintenance.restore_sizes(SizesRecord({"pool": 1}))


@when("the lease time has passed twice")
def step_passed_twice(context):
    run_maintenance(context)
    later = 20.0
    for _ in range(2):
        now = context.maintenance._listed_at + later
        asyncio.run(context.maintenance.run_once(now))
        later += 5.0


@then('it has moved both "m1" and "m2" in the end')
def step_moved_in_the_end(context):
    assert sorted(context.calls.ordered) == ["m1", "m2"], context.calls.ordered
