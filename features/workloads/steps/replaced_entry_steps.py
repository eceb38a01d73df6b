"""Steps for new entries beside members that are lost or cut off, in virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    make_engine,
    make_registration,
    poll_endpoint,
    submit,
)
from partition_steps import REST_S, WARM_UP_S, submit_jobs
from slow_store_steps import make_controller
from virtual_fleet import LONG_RETENTION, TASK_S, Fleet, Instances, find_overlap
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.records import MEMBERS, MembersRecord, decode
from briarshed_workloads.takeover import EarlierLeaders, is_contested
from briarshed_workloads.workloads import (
    EndedRun,
    ListedRun,
    PollResponse,
    Step,
    TaskId,
)

LOST_AGAIN_S = 12.0
NEVER_S = 10_000.0
WATCH_S = 0.05
ENTRIES = ("e0", "e1", "e2")
NEW_JOB = "00000000000000bb"
RUN_LEASE_S = 4.0


@given("{entries:d} entries and {endpoints:d} endpoints, and a job each {interval:g} s")
def step_entries(context, entries, endpoints, interval):
    assert entries == len(ENTRIES)
    context.interval = interval
    context.task_s = TASK_S
    context.endpoints = [f"p{number}" for number in range(endpoints)]
    context.takeovers = []


@given("tasks that take {seconds:g} s each")
def step_task_time(context, seconds):
    context.task_s = seconds


async def replace_entries(fleet, number, delay):
    """Lose all entries, and start others; return when the first of them started."""
    for name in list(fleet.entries):
        await fleet.kill(name)
    await asyncio.sleep(delay)
    started_at = clock.now()
    for index in range(len(ENTRIES)):
        await fleet.add_entry(f"n{number}-{index}")
    return started_at


async def wait_for_takeover(context, fleet, started_at):
    """Wait for a leader, and note the time since a start."""
    leader = await fleet.wait_for_leader()
    context.takeovers.append(clock.now() - started_at)
    return leader


async def finish(context, fleet, submitting):
    """Let all jobs end, and note what has become of them."""
    submitting.cancel()
    await asyncio.sleep(REST_S + 4 * context.task_s)
    await fleet.wait_for_leader()
    context.outcomes = fleet.list_outcomes()
    context.jobs = len(context.outcomes)
    context.overlap = find_overlap(fleet.list_runs())


@when("all entries are lost {times:d} times, and new ones start {delay:g} s later")
def step_lost(context, times, delay):
    async def run():
        async with Fleet(ENTRIES, context.endpoints) as fleet:
            await fleet.wait_for_leader()
            submitting = asyncio.create_task(submit_jobs(fleet, context.interval))
            await asyncio.sleep(WARM_UP_S)
            for number in range(times):
                started_at = await replace_entries(fleet, number, delay)
                await wait_for_takeover(context, fleet, started_at)
                await asyncio.sleep(LOST_AGAIN_S)
            await finish(context, fleet, submitting)

    run_virtually(run())


@when(
    "all entries and an endpoint are lost, its instance is {state}, and new ones start"
)
def step_lost_endpoint(context, state):
    async def run():
        async with Fleet(ENTRIES, context.endpoints) as fleet:
            await fleet.wait_for_leader()
            submitting = asyncio.create_task(submit_jobs(fleet, context.interval))
            await asyncio.sleep(WARM_UP_S)
            lost = fleet.endpoints.by_name[context.endpoints[0]]
            lost.reboot_s = NEVER_S
            crash = asyncio.create_task(lost.crash("silent"))
            instances, name = fleet.instances.rows, f"m-{lost.name}"
            if state == "missing":
                del instances[name]
            elif state == "in use by another":
                instances[name] = instances[name]._replace(endpoint="other")
            else:
                instances[name] = instances[name]._replace(state=state, endpoint="")
            started_at = await replace_entries(fleet, 0, 2.0)
            await wait_for_takeover(context, fleet, started_at)
            await finish(context, fleet, submitting)
            crash.cancel()

    run_virtually(run())


@when("the list of instances {shows}")
def step_list(context, shows):
    engine = context.engine
    endpoint = engine.endpoints["b"]
    endpoint.registration = endpoint.registration._replace(instance="m-b")
    instances = Instances("ab")
    controller, _ = make_controller(SimpleNamespace(commit_count=0))
    maintenance = controller.maintenance
    maintenance._engine, maintenance._api = engine, instances
    is_late = shows.startswith("was requested before")
    if is_late:
        row = instances.rows["m-b"]
        instances.rows["m-b"] = row._replace(state="down", endpoint="")
    elif shows.startswith("has lacked"):
        del instances.rows["m-b"]

    async def read():
        endpoint.known_since = clock.now() if is_late else clock.now() - 1.0
        await maintenance._read_instances()
        if not is_late:
            await asyncio.sleep(1.0)
            await maintenance._read_instances()

    run_virtually(read())


@when(
    "all entries and {inside:d} endpoints are cut off for {seconds:g} s, and a new"
    " entry starts"
)
def step_cut_off(context, inside, seconds):
    async def run():
        async with Fleet(ENTRIES, context.endpoints, LONG_RETENTION) as fleet:
            for row in fleet.endpoints.by_name.values():
                row.task_s = context.task_s
                # Tasks without progress are stopped after a while.
                row.reports_progress = True
            earlier = await fleet.wait_for_leader()
            submitting = asyncio.create_task(submit_jobs(fleet, context.interval))
            await asyncio.sleep(WARM_UP_S)
            context.both_s = 0.0
            fleet.cut_off_data_centre(ENTRIES, context.endpoints[:inside])
            if not inside:
                # The entries reach the endpoints, but neither the store nor others.
                fleet.partition.entries = frozenset()
            started_at = clock.now()
            await fleet.add_entry("n")
            while fleet.entries["n"].controller is None or not (
                fleet.entries["n"].controller.is_loaded
            ):
                assert clock.now() - started_at < REST_S
                await asyncio.sleep(WATCH_S)
            context.takeovers.append(clock.now() - started_at)
            while clock.now() - started_at < seconds:
                await asyncio.sleep(WATCH_S)
                terms = (earlier.term, fleet.entries["n"].term)
                if all(term is not None and term.has_authority() for term in terms):
                    context.both_s += WATCH_S
            fleet.reconnect_data_centre()
            fleet.reconnect_store()
            await asyncio.sleep(REST_S)
            await finish(context, fleet, submitting)

    run_virtually(run())


@then("each time a new entry leads within {most:g} s of its start")
def step_leads(context, most):
    assert context.takeovers and max(context.takeovers) <= most, context.takeovers


@then("both leaders had authority for over {seconds:g} s")
def step_both(context, seconds):
    assert context.both_s >= seconds, context.both_s


@given("a leader beside an earlier one that may go on for {s:g} s, and two jobs")
def step_engine(context, s):
    engine = context.engine = make_engine()
    submit(engine, JOB, (Step(1, NEED, 1.0),), NOW).is_restored = True
    submit(engine, NEW_JOB, (Step(1, NEED, 1.0),), NOW)
    engine.lease_times = engine.lease_times._replace(max_run_lease=RUN_LEASE_S)
    engine.earlier = EarlierLeaders(engine.lease_times)
    engine.earlier.note_term_end(NOW)
    engine.earlier.note_leader(NOW + s)


@when("one endpoint of their pool has answered, and the other has not")
def step_one_answers(context):
    poll_endpoint(context.engine, "a", NOW)


@then("no job starts until {seconds:g} s have passed")
def step_waits(context, seconds):
    engine = context.engine
    assert not plan_starts(engine, NOW + seconds - 0.1)
    assert is_contested(engine, "pool", NOW + seconds - 0.1)
    assert not is_contested(engine, "pool", NOW + seconds + 0.1)


@when("the other endpoint has answered too")
def step_both_answer(context):
    poll_endpoint(context.engine, "b", NOW)


@then("both jobs start at once")
def step_starts(context):
    assert len(plan_starts(context.engine, NOW)) == 2


@then("they start at once after a restart of an endpoint that is not reached")
def step_restart(context):
    engine = context.engine
    engine.note_registrations([make_registration("a", 2), make_registration("b")], NOW)
    assert not is_contested(engine, "pool", NOW)


class PolledEndpoints:
    """Lists a run and an end, and keeps what polls ask for."""

    def __init__(self):
        self.polls = []

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """List the run and the end."""
        self.polls.append((clock.now(), acknowledged, deadline_ms))
        await asyncio.sleep(WATCH_S)
        running = (ListedRun(TaskId(JOB, 0, 0, 0), 1, "", 50, 0),)
        ended = (EndedRun(1, TaskId(JOB, 0, 0, 1), 2, "succeeded", ""),)
        return PollResponse(int(clock.now() * 1000), 1, running, ended)


@given("a leader that polls an endpoint with a run and an end in a contested pool")
def step_contested(context):
    context.fake = PolledEndpoints()

    async def run(seconds):
        async def commit(puts, removals=()):
            """Succeed at once."""

        controller, _ = make_controller(
            SimpleNamespace(commit=commit), endpoints=context.fake
        )
        engine = controller.engine
        engine.earlier.note_leader(clock.now() + 63.0)
        engine.note_registrations(
            [make_registration("a"), make_registration("b")], clock.now()
        )
        engine.roster = {"a", "b"}
        submit(engine, JOB, (Step(2, NEED, 1.0),), clock.now())
        async with controller:
            controller.spawn(controller.persistence.save(), "save")
            polling = controller.poller._poll_loop(engine.endpoints["a"])
            controller.spawn(polling, "poll a")
            await asyncio.sleep(seconds)
            context.answered_at = clock.now()
            await controller.poller.poll(engine.endpoints["b"], is_immediate=True)
            await asyncio.sleep(seconds)

    context.play = run


@when("the other endpoint of the pool answers after {seconds:g} s")
def step_other_answers(context, seconds):
    run_virtually(context.play(seconds))


@then("no poll before that has a deadline or acknowledges an end")
def step_no_deadline(context):
    polls = [row for row in context.fake.polls if row[0] <= context.answered_at]
    assert len(polls) > 2
    assert not any(acknowledged or deadline for _, acknowledged, deadline in polls)


@then("polls after that have both")
def step_deadlines(context):
    polls = [row for row in context.fake.polls if row[0] > context.answered_at + 0.1]
    assert all(deadline for _, _, deadline in polls), polls
    assert any(acknowledged for _, acknowledged, _ in polls), polls


@when("all entries are lost, new ones lead, and {event}")
def step_members(context, event):
    async def run():
        async with Fleet(ENTRIES, context.endpoints) as fleet:
            await fleet.wait_for_leader()
            await asyncio.sleep(WARM_UP_S)
            started_at = await replace_entries(fleet, 0, 1.0)
            leader = await wait_for_takeover(context, fleet, started_at)
            await asyncio.sleep(WARM_UP_S)
            if event == "the new leader stops as planned":
                await leader.resign()
                await fleet.kill(leader.options.name)
                await fleet.wait_for_leader()
            context.members = {}
            for seconds in (10, 50, 80):
                await asyncio.sleep(seconds - max(context.members, default=0))
                item, _ = fleet.store.items[MEMBERS]
                context.members[seconds] = set(decode(item.value, MembersRecord).names)

    run_virtually(run())


@then("{seconds:d} s later the members are the {which} entries")
def step_names(context, seconds, which):
    names = context.members[seconds]
    if which == "lost":
        assert names == set(ENTRIES), names
    else:
        assert names and not names & set(ENTRIES), names
