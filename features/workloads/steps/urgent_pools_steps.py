"""Steps for pools that are short at the same time, without network and clock."""

from collections import Counter
from unittest import mock

from behave import given, then, when
from engine_steps import JOB, NOW
from heavy_days_steps import POOLS, SIZE
from standing_by_steps import plan

from briarshed_workloads import sizing
from briarshed_workloads.sizing import MAX_MOVES_PER_STEP, plan_moves
from briarshed_workloads.workloads import Description, Resources, Step, Submission

LATE_S = 60.0


@given('the queue of "p0" has priority {first:d} and that of "p1" priority {second:d}')
def step_priorities(context, first, second):
    engine = context.pools.engine
    queues = {
        pool: engine.configuration.queues[pool]._replace(priority=priority)
        for pool, priority in zip(POOLS, (first, second), strict=True)
    }
    engine.configuration = engine.configuration._replace(queues=queues)


@when('jobs wait that take all of {load:d} in "p0" and {other} in "p1"')
def step_wait(context, load, other):
    context.pools.load("p0", load)
    if other == "late":
        context.pools.load("p1", 6, age=LATE_S)
    elif other == "long":
        step = Step(6, Resources(SIZE.cpu), 0.0, long_running=True)
        submission = Submission(JOB, "p1", "p1", "", NOW, Description("", (step,)))
        context.pools.engine.activate(context.pools.engine.accept(submission, NOW), NOW)
    else:
        context.pools.load("p1", int(other))


@then(
    '{moved:d} in reserve are moved to "p1" for "urgent demand", '
    'and the others to "p0" for "demand"'
)
def step_moved_to(context, moved):
    pools = context.pools
    sizes = dict.fromkeys(POOLS, 4)
    moves = plan_moves(pools.engine, pools.instances, {}, set(), sizes, NOW)
    rows = Counter((move.pool, move.reason) for move in moves)
    expected = Counter({("p1", "urgent demand"): moved, ("p0", "demand"): 4 - moved})
    assert rows == expected, rows


@given("{count:d} more in reserve")
def step_more(context, count):
    for number in range(4, 4 + count):
        name = f"spare-{number}"
        context.pools.instances[name] = context.pools.describe(name, "reserve", "")


@then("8 moves are planned, and as many pools are chosen")
def step_bounded(context):
    with mock.patch.object(sizing, "choose_pool", wraps=sizing.choose_pool) as choose:
        moves = context.pools.move()
    assert len(moves) == choose.call_count == MAX_MOVES_PER_STEP, choose.call_count


@then('the first 2 moves go to "p0"')
def step_own_first(context):
    moves = plan(context, NOW)
    assert [move.pool for move in moves][:2] == ["p0", "p0"], moves
