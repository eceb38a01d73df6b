"""Steps for jobs that take long to restore or to correct, in virtual time."""

import asyncio
import contextlib
from collections import Counter

from behave import given, then, when
from engine_steps import NEED, NOW
from virtual_fleet import Fleet
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads import reconciliation
from briarshed_workloads.engine import Engine
from briarshed_workloads.interfaces import Item
from briarshed_workloads.leadership import RENEWAL_INTERVAL_S
from briarshed_workloads.records import JOBS, JobRecord, encode
from briarshed_workloads.workloads import Description, Schedule, Step, Submission

CALL_S = 0.01
REST_S = 5.0
TICK_S = 0.05
CANCELLED_JOBS = 1_000
NEW_JOBS = 20
PAUSE_S = 0.1
FAR_S = 1e10


@contextlib.contextmanager
def slow_down(owner, name):
    """Let each call of a function take some time, in which nothing else runs."""
    original = getattr(owner, name)

    def call(*arguments):
        asyncio.get_running_loop().pause(CALL_S)
        return original(*arguments)

    setattr(owner, name, call)
    try:
        yield
    finally:
        setattr(owner, name, original)


def add_jobs(store, count):
    """Put records of jobs into the store that are due in the far future."""
    schedule = Schedule(FAR_S, 1.0, 1)
    description = Description("", (Step(1, NEED, 1.0),), schedule)
    record = encode(JobRecord("q", "pool", "team", NOW, "", 0.0, description))
    for number in range(count):
        key = f"{JOBS}ffffffff{number:08x}"
        store.items[key] = Item(key, record, 1, 1), 0


async def measure_pauses(pauses):
    """Measure for how long the event loop is busy at a time."""
    while True:
        before = clock.now()
        await asyncio.sleep(TICK_S)
        pauses.append(clock.now() - before - TICK_S)


async def play(context, count):
    """Kill the leader beside recorded jobs, and submit jobs to the next one."""
    context.pauses = []
    async with Fleet() as fleet:
        first = await fleet.wait_for_leader()
        add_jobs(fleet.store, count)
        await fleet.kill(first.options.name)
        measuring = asyncio.create_task(measure_pauses(context.pauses))
        leader = await fleet.wait_for_leader()
        context.restored = len(leader.controller.engine.jobs)
        for number in range(NEW_JOBS):
            fleet.submit(number)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(REST_S)
        context.outcomes = Counter(fleet.list_outcomes().values())
        measuring.cancel()


@given(
    "two entries and the records of {count:d} jobs, each of which takes 10 ms to {work}"
)
def step_records(context, count, work):
    context.count = count
    context.slow = {
        "restore": (Engine, "restore"),
        "correct": (reconciliation, "_correct_job"),
    }[work]


@when("the leader is killed")
def step_killed(context):
    with slow_down(*context.slow):
        run_virtually(play(context, context.count))


@then("the other one leads once it has restored all jobs")
def step_leads(context):
    assert context.restored == context.count, context.restored


@then("its event loop is never busy for longer than the interval of renewing the lease")
def step_not_busy(context):
    assert max(context.pauses) < RENEWAL_INTERVAL_S, max(context.pauses)


@then("new jobs are accepted and completed")
def step_new_jobs(context):
    assert context.outcomes == {"completed": NEW_JOBS}, context.outcomes


@given("three entries and the records of {count:d} jobs")
def step_many_records(context, count):
    context.count = count


async def submit(entry, job):
    """Submit a job at an entry; return the reply and how long it took in seconds."""
    submission = Submission(
        job,
        "q",
        "pool",
        "team",
        clock.read_unix_time(),
        Description("", (Step(1, NEED, 1.0),)),
    )
    before = clock.now()
    reply = await entry.forwarder.submit(submission, 2.8)
    return reply, clock.now() - before


async def play_full(context):
    """Submit jobs while too many are open, and again after some were cancelled."""
    async with Fleet(("e1", "e2", "e3")) as fleet:
        first = await fleet.wait_for_leader()
        add_jobs(fleet.store, context.count)
        await fleet.kill(first.options.name)
        leader = await fleet.wait_for_leader()
        await asyncio.sleep(REST_S)
        entries = list(fleet.entries.values())
        context.refused = [
            await submit(entry, f"{number:016x}")
            for number, entry in enumerate(entries)
        ]
        jobs = list(leader.controller.engine.jobs)[:CANCELLED_JOBS]
        await asyncio.gather(*map(leader.controller.cancel, jobs))
        await asyncio.sleep(2.0)
        context.reply, _ = await submit(entries[0], "00000000000000ff")
        await asyncio.sleep(REST_S)
        context.state = leader.controller.find_state("00000000000000ff")


@when("the leader is killed, and a job is submitted at each of the others")
def step_play_full(context):
    run_virtually(play_full(context))


@then("both jobs are refused within {seconds:g} s, with a retry delay of {delay:g} s")
def step_refused(context, seconds, delay):
    assert len(context.refused) == 2
    for reply, took in context.refused:
        assert (reply.outcome, reply.retry_after) == ("refused", delay), reply
        assert took <= seconds, took


@when("{count:d} jobs are cancelled, and a job is submitted 2 s later")
def step_cancelled(context, count):
    assert count == CANCELLED_JOBS


@then("it is accepted and completed")
def step_accepted(context):
    assert context.reply.outcome == "accepted", context.reply
    assert context.state == "completed", context.state
