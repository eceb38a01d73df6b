"""Steps of the end-to-end tests of overload."""

import statistics

import psutil
from behave import given, then, when
from properties_steps import LINKS, QUIET_LOG, SETTLE_S, run_load, start_fleet

from briarshed_standins.load import Source
from briarshed_standins.plans import Plan, PoolPlan, QueuePlan, TeamPlan

TASK_MS = 200
CAPACITY = 40.0
URGENT_SHARE = 0.02
URGENT_DEADLINE_MS = 6_000


@given("a fleet whose pool runs 40 jobs a second")
def step_small_pool(context):
    plan = Plan(
        pools=(PoolPlan("proofs", 2, slots=4), PoolPlan("reserve", 1, spare=True)),
        teams=(TeamPlan("hotels", 3, 20), TeamPlan("schools", 1, 20)),
        queues=(QueuePlan("proofing", "proofs"),),
        duration_ms=TASK_MS,
        links=LINKS,
        settings=QUIET_LOG,
    )
    start_fleet(context, plan)
    context.memory = read_memory(context.fleet)


def read_memory(fleet):
    """Return the resident memory of all entries in bytes."""
    pids = [fleet.processes[name].pid for name in fleet.entries]
    return sum(psutil.Process(pid).memory_info().rss for pid in pids)


@when(
    "{rate:d} jobs a second arrive for {seconds:d} seconds with deadlines of"
    " {deadline:d} seconds"
)
def step_overload(context, rate, seconds, deadline):
    keys = context.fleet.keys
    deadline_ms = 1000 * deadline
    urgent = Source(
        "proofing",
        "schools",
        keys["schools"],
        URGENT_SHARE,
        urgent=True,
        deadline_ms=URGENT_DEADLINE_MS,
    )
    sources = [
        urgent,
        *(
            Source("proofing", team, keys[team], 0.5, deadline_ms=deadline_ms)
            for team in ("hotels", "schools")
        ),
    ]
    context.seconds = seconds
    run_load(context, sources, float(rate), seconds, [])


@then("the pool finishes at least {part:g} of its capacity")
def step_goodput(context, part):
    finished = [one for one in context.outcomes if one.outcome == "finished"]
    since = min(one.sent_at for one in context.outcomes) + SETTLE_S
    until = max(one.sent_at for one in context.outcomes)
    counted = sum(since <= one.told_at <= until for one in finished)
    rate = counted / (until - since)
    print(f"{rate:.1f} of {CAPACITY} jobs a second finished")
    assert rate >= part * CAPACITY, rate


@then("half of the refusals come within {bound:d} ms")
def step_early(context, bound):
    waits = [
        1000 * (one.told_at - one.sent_at)
        for one in context.outcomes
        if one.outcome == "not run"
    ]
    print(f"{len(waits)} refusals, median {statistics.median(waits):.1f} ms")
    assert statistics.median(waits) <= bound


@then("urgent jobs started within {bound:g} seconds")
def step_urgent(context, bound):
    starts = {run.job: run.started_at for run in context.runs}
    urgent = [one for one in context.outcomes if one.job in context.urgent_jobs]
    assert urgent, "no urgent job was sent"
    missing = [one for one in urgent if one.job not in starts]
    waits = [starts[one.job] - one.sent_at for one in urgent if one.job in starts]
    print(f"{len(urgent)} urgent jobs, longest wait {max(waits):.2f} s")
    assert not missing, missing[:3]
    assert max(waits) <= bound, max(waits)


@then("the entries' memory returns to within {part:d} % of its initial value")
def step_memory(context, part):
    growth = read_memory(context.fleet) / context.memory
    print(f"memory is {growth:.3f} of its initial value")
    assert growth <= 1 + part / 100, growth
