"""Steps for what a leader does not know yet."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import (
    CAPACITY,
    JOB,
    NEED,
    NOW,
    RUN_LEASE_S,
    TASK,
    make_configuration,
    make_engine,
    make_registration,
    poll_endpoint,
    submit,
)
from virtual_fleet import STEPS, Fleet
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.configuration import PoolRules
from briarshed_workloads.disruption import list_pacing
from briarshed_workloads.interfaces import Item
from briarshed_workloads.jobs import COMPLETED, FAILED
from briarshed_workloads.persistence import Persistence
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.records import (
    ROSTER,
    JobRecord,
    RosterRecord,
    decode,
    encode,
)
from briarshed_workloads.workloads import (
    Description,
    EndedRun,
    ListedRun,
    PollResponse,
    Resources,
    Step,
    Submission,
)

NEW_JOB = "00000000000000bb"
SMALL = Resources(1, 1, 0)
LISTED = 500
SUBMIT_TIMEOUT_S = 2.8
LOAD_S = 2.5


@given("{leader} of an endpoint at which {count:d} tasks have ended")
def step_many_ended(context, leader, count):
    engine = make_engine(2, ("a",))
    poll_endpoint(engine, "a", NOW)
    job = submit(engine, JOB, (Step(count, SMALL, 1.0),), NOW)
    runs = []
    while orders := plan_starts(engine, NOW):
        for order in orders:
            runs.append(order.run)
            engine.note_started(order.run, int(NOW * 1000), NOW)
    assert len(runs) == count
    if leader == "a new leader":
        records = job.encode_job(), job.encode_progress()
        engine = make_engine(3, ("a",))
        engine.earlier.runs_until = NOW + RUN_LEASE_S
        engine.restore(JOB, *records, NOW)
    context.engine = engine
    context.ends = [
        EndedRun(number, run.task, run.number, "succeeded", "")
        for number, run in enumerate(runs, 1)
    ]


@given('another endpoint "b" that is free')
def step_free(context):
    rows = [make_registration(name) for name in "ab"]
    context.engine.note_registrations(rows, NOW)
    context.engine.roster.add("b")
    poll_endpoint(context.engine, "b", NOW)


@when("the endpoint lists {count:d} of the ends and says that there are more")
def step_lists_some(context, count):
    context.now = NOW + 2
    _list_ends(context.engine, context.ends[:count], context.now, True)


@when("the store has taken none of them {seconds:g} s later")
def step_not_taken(context, seconds):
    context.now += seconds
    _list_ends(context.engine, context.ends[:LISTED], context.now, True)


@when("it lists the others")
def step_lists_others(context):
    _list_ends(context.engine, context.ends[LISTED:], context.now + 1, False)


def _list_ends(engine, ends, now, may_have_more):
    endpoint = engine.endpoints["a"]
    response = PollResponse(int(now * 1000), 1, (), tuple(ends), may_have_more)
    engine.note_poll(endpoint, response, endpoint.counter, now - 0.001, now)


@then("no task of these starts again")
def step_none_again(context):
    orders = plan_starts(context.engine, context.now)
    assert not orders, f"{len(orders)} tasks start again, first {orders[0].run.task}"


@then("the job is completed")
def step_completed(context):
    assert context.engine.jobs[JOB].state == COMPLETED


@given("a job of a queue with 2 attempts, accepted by the leader")
def step_two_attempts(context):
    job = submit(make_engine(2), JOB, (Step(1, SMALL, 1.0),), NOW)
    assert job.max_attempts == 2
    context.record = decode(encode(job.encode_job()), JobRecord)


@when("the queue is removed, and a new leader restores the records")
def step_queue_removed(context):
    configuration = make_configuration()._replace(queues={}, queues_by_host={})
    context.engine = make_engine(3, configuration=configuration)
    context.engine.restore(JOB, context.record, None, NOW)


@when("{a} run of the job fails")
def step_run_fails(context, a):
    number = 1 if a == "a" else 2
    end = EndedRun(number, TASK, number, "failed", "")
    poll_endpoint(context.engine, "a", NOW + number, ended=[end])


@then("the job is not shown as failed")
def step_not_failed(context):
    assert context.engine.jobs[JOB].state != FAILED


@then("the job is shown as failed")
def step_failed(context):
    assert context.engine.jobs[JOB].state == FAILED


@given('a leader of epoch 3 and a team whose runs at "b" use its whole limit')
def step_team(context):
    context.engine = engine = make_engine(3, configuration=make_configuration(CAPACITY))
    engine.earlier.runs_until = NOW + RUN_LEASE_S
    job = submit(engine, JOB, (Step(4, NEED, 1.0),), NOW)
    job.is_restored = True
    context.runs = [
        ListedRun(TASK._replace(index=index), (2 << 24) + index, "", 10, 0)
        for index in range(4)
    ]


@when('"a" answers a poll and "b" has not been polled')
def step_one_polled(context):
    poll_endpoint(context.engine, "a", NOW)
    submit(context.engine, NEW_JOB, (Step(1, NEED, 1.0),), NOW)


@when('"b" lists its runs')
def step_lists_runs(context):
    poll_endpoint(context.engine, "b", NOW + 0.1, context.runs)


@when('the runs at "b" end')
def step_runs_end(context):
    ends = [
        EndedRun(number, row.task, row.run, "succeeded", "")
        for number, row in enumerate(context.runs, 1)
    ]
    poll_endpoint(context.engine, "b", NOW + 0.2, ended=ends)


@then("no new job of that team starts")
def step_nothing_starts(context):
    orders = plan_starts(context.engine, NOW + 0.1)
    assert not orders, orders


@then("a new job of that team starts")
def step_starts(context):
    (order,) = plan_starts(context.engine, NOW + 0.3)
    assert order.run.task.job == NEW_JOB


@given("3 entries, of which the leader has accepted a job")
def step_entries(context):
    context.submission = Submission(
        JOB, "q", "pool", "team", 0.0, Description("", STEPS)
    )


def find_follower(fleet, epoch):
    """Return an entry that hears a leader of an epoch, or None."""
    for entry in fleet.entries.values():
        heard = entry.leader.heartbeat.epoch if entry.leader else 0
        if entry.term is None and heard == epoch and entry.is_leader_alive():
            return entry
    return None


@when(
    "the leader is killed, and the job is submitted again before the next one has read"
    " the records"
)
def step_submitted_again(context):
    async def run():
        async with Fleet(("e1", "e2", "e3")) as fleet:
            leader = await fleet.wait_for_leader()
            reply = await leader.forwarder.submit(context.submission, SUBMIT_TIMEOUT_S)
            assert reply.outcome == "accepted"
            for client in fleet.clients.values():
                client.load_s = LOAD_S
            await fleet.kill(leader.options.name)
            follower = None
            while follower is None:
                await asyncio.sleep(0.02)
                follower = find_follower(fleet, 2)
            assert fleet.find_leader() is None
            submitted_at = clock.now()
            reply = await follower.forwarder.submit(
                context.submission, SUBMIT_TIMEOUT_S
            )
            context.seconds = clock.now() - submitted_at
            context.reply = reply

    run_virtually(run())


@then("that submission is not refused")
def step_not_refused(context):
    assert context.reply.outcome != "refused", (context.reply, context.seconds)


@given("a new leader with an endpoint that lists a best-effort run")
def step_best_effort(context):
    context.engine = engine = make_engine(3)
    submit(engine, JOB, (Step(1, NEED, 60.0, best_effort=True),), NOW)
    row = ListedRun(TASK, 2 << 24, "", 10, 0)
    poll_endpoint(engine, "a", NOW, [row])


@when("it runs alone at its endpoint")
def step_alone(context):
    context.pacing = list_pacing(context.engine, NOW + 1)


@then("an order sets it to full speed")
def step_full_speed(context):
    assert [order.percent for order in context.pacing] == [100], context.pacing


@given('a leader with {configuration}, and a task that runs at "a" on instance "m"')
def step_run_on_instance(context, configuration):
    context.engine = engine = make_engine(2, ("a",))
    context.registrations = [make_registration("a")._replace(instance="m")]
    engine.note_registrations(context.registrations, NOW)
    poll_endpoint(engine, "a", NOW)
    submit(engine, JOB, (Step(1, NEED, 1.0),), NOW)
    (order,) = plan_starts(engine, NOW)
    engine.note_started(order.run, int(NOW * 1000), NOW)
    if configuration == "no configuration":
        engine.configuration = None


@when('"x" of the pool "{pool}" registers with a later start on that instance')
def step_registered_by_another(context, pool):
    other = make_registration("x", started_at_ms=2)._replace(pool=pool, instance="m")
    context.registrations.append(other)
    context.engine.note_registrations(context.registrations, NOW + 0.5)


@when("a newer configuration adds that pool and the registrations are read again")
def step_pool_added(context):
    engine = context.engine
    pools = {**engine.configuration.pools, "other": PoolRules("other", False, False)}
    engine.configuration = engine.configuration._replace(version=2, pools=pools)
    engine.note_registrations(context.registrations, NOW + 1)


@then('the run at "a" {goes_on}')
def step_run_goes_on(context, goes_on):
    runs = context.engine.runs.get(TASK, [])
    assert bool(runs) == (goes_on == "goes on"), runs


@then('no task starts at "x"')
def step_unused(context):
    engine = context.engine
    if "x" in engine.endpoints:
        poll_endpoint(engine, "x", NOW + 1, started_at_ms=2)
    engine.roster.add("x")
    submit(engine, NEW_JOB, (Step(9, NEED, 1.0),), NOW + 1)
    names = {order.run.endpoint.name for order in plan_starts(engine, NOW + 1)}
    assert names == {"a"}, names


@when(
    'another writer registers "a" in an unknown pool at another address, started {when}'
)
def step_overwritten(context, when):
    started_at_ms = 2 if when == "later" else 1
    row = make_registration("a", started_at_ms)._replace(
        pool="other", address="elsewhere", instance="m"
    )
    context.engine.note_registrations([row], NOW + 0.5)


@then('orders to "a" go to its own address')
def step_own_address(context):
    assert context.engine.endpoints["a"].registration == context.registrations[0]


@given('a new leader with a restored job, and "a" of the pool "pool" in the record')
def step_recorded(context):
    context.engine = make_engine(3, ())
    job = submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)
    job.is_restored = True
    context.engine.earlier.note_term_end(NOW)
    context.record = RosterRecord((("a", 1, "own", "m", "pool"),))


@when('another writer has registered "a" in the pool "other" when the records are read')
def step_registered_elsewhere(context):
    engine = context.engine
    other = make_registration("a")._replace(pool="other", address="elsewhere")
    engine.note_registrations([other, make_registration("b")], NOW)
    item = Item(ROSTER, encode(context.record), 1, 1)

    async def read(key):
        return item if key == ROSTER else None

    store = SimpleNamespace(read=read)
    persistence = Persistence(None, engine, store, None, 1.0, lambda name: None)
    asyncio.run(persistence.load_roster())
    engine.roster = {"a", "b"}
    poll_endpoint(engine, "b", NOW + 0.1)


@then('the job waits until "a" has answered a poll at its own address')
def step_waits_for_recorded(context):
    engine = context.engine
    assert not plan_starts(engine, NOW + 0.2)
    assert engine.endpoints["a"].registration.address == "own"
    poll_endpoint(engine, "a", NOW + 0.3)
    assert plan_starts(engine, NOW + 0.4)


@given('a leader with endpoints "a" and "b", of which "b" is not registered any more')
def step_not_registered(context):
    context.engine = make_engine(3, ("a", "b"))
    for name in "ab":
        poll_endpoint(context.engine, name, NOW)
    context.engine.note_registrations([make_registration("a")], NOW + 0.1)


@when('"b" is registered again while the record without it is being written')
def step_registered_meanwhile(context):
    record_meanwhile(context, "b")


@given(
    'a leader with endpoints "a" and "b", of which "b" has joined and "a" is recorded'
)
def step_joined(context):
    context.engine = make_engine(3, ("a", "b"))
    for name in "ab":
        poll_endpoint(context.engine, name, NOW)
    context.engine.roster = {"a"}


@when('"b" restarts {evidence} while the record with it is being written')
def step_restarts_meanwhile(context, evidence):
    record_meanwhile(context, "b", started_at_ms=2, polls=evidence == "unregistered")


def record_meanwhile(context, name, started_at_ms=1, polls=False):
    """Let an endpoint appear, or restart, while the roster is being written."""
    engine = context.engine
    context.starts = []

    async def run():
        gate = asyncio.Event()

        async def commit(puts, removals=()):
            await gate.wait()

        def list_starts(now):
            job_id = f"{len(context.starts):016x}"
            submit(engine, job_id, (Step(8, NEED, 1.0),), NOW)
            starts = [order.run.endpoint.name for order in plan_starts(engine, now)]
            context.starts.append(name in starts)

        term = SimpleNamespace(fenced_writer=SimpleNamespace(commit=commit))
        persistence = Persistence(term, engine, None, None, 1.0, lambda name: None)
        saving = asyncio.create_task(persistence._save_roster())
        await asyncio.sleep(0)
        if polls:
            poll_endpoint(engine, name, NOW + 0.2, started_at_ms=started_at_ms)
        else:
            rows = [
                make_registration("a"),
                make_registration("b", started_at_ms),
            ]
            engine.note_registrations(rows, NOW + 0.2)
        poll_endpoint(engine, name, NOW + 0.3, started_at_ms=started_at_ms)
        list_starts(NOW + 0.4)
        gate.set()
        await saving
        list_starts(NOW + 0.5)
        await persistence._save_roster()
        list_starts(NOW + 0.6)

    asyncio.run(run())


@then('no task starts at "b" before a record with it is written')
def step_not_before_record(context):
    assert context.starts == [False, False, True], context.starts
