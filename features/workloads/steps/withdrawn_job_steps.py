"""Steps for ids that are cancelled before their jobs are submitted, in virtual time."""

import asyncio

from behave import given, then, when
from virtual_fleet import STEPS, Fleet
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.controller import MAX_WITHDRAWN
from briarshed_workloads.interfaces import Item
from briarshed_workloads.persistence import CLEANUP_INTERVAL_S
from briarshed_workloads.records import WITHDRAWN
from briarshed_workloads.workloads import Description, Submission

JOB = "00000000000000aa"
TIMEOUT_S = 2.8
SETTLE_S = 1.0
WATCH_S = 10.0
CANCEL_SLACK_S = 0.5
RETENTION_S = 150.0


def make_submission(job=JOB):
    """Return a submission of two steps."""
    return Submission(
        job, "q", "pool", "team", clock.read_unix_time(), Description("", STEPS)
    )


def list_jobs_run(fleet):
    """Return the jobs of all runs."""
    return {task.job for task, *_ in fleet.list_runs()}


async def settle(fleet):
    """Return the leader once all entries have heard of it."""
    leader = await fleet.wait_for_leader()
    await asyncio.sleep(SETTLE_S)
    return leader


async def cancel(fleet, job=JOB, name="e1"):
    """Cancel a job at an entry and return the outcome."""
    return (await fleet.entries[name].forwarder.query(job, True, TIMEOUT_S)).outcome


async def cause(fleet, event):
    """Let one of the events of the outline happen."""
    leader = fleet.find_leader()
    if event == "the leader stops as planned":
        await leader.resign()
    times = 2 if event.endswith("twice") else int("killed" in event)
    for _ in range(times):
        leader = await fleet.wait_for_leader()
        await fleet.restart(leader.options.name)
        await fleet.wait_for_leader()
        await asyncio.sleep(SETTLE_S)


@given("3 entries, and a submission that an entry holds up")
@given("3 entries")
def step_entries(context):
    context.names = ["e0", "e1", "e2"]
    context.prepare = lambda fleet: None


@when("its id is cancelled, {event}, and the submission goes on after {seconds:g} s")
def step_cancelled(context, event, seconds):
    async def run():
        async with Fleet(context.names) as fleet:
            await settle(fleet)
            submission = make_submission()
            context.answer = await cancel(fleet)
            cancelled_at = clock.now()
            await cause(fleet, event)
            await asyncio.sleep(max(0, cancelled_at + seconds - clock.now()))
            before = clock.now()
            entry = fleet.entries["e2"]
            context.reply = await entry.forwarder.submit(submission, TIMEOUT_S)
            context.seconds = clock.now() - before
            await asyncio.sleep(WATCH_S)
            context.jobs_run = list_jobs_run(fleet)
            context.state = await entry.forwarder.query(JOB, False, TIMEOUT_S)

    run_virtually(run())


@then('the cancel was answered with "{outcome}"')
@then('the cancel is answered with "{outcome}"')
def step_answered(context, outcome):
    assert context.answer == outcome, context.answer


@then("the submission is refused within {most:g} s, and nothing of the job ever runs")
def step_refused_soon(context, most):
    assert context.reply.outcome == "refused", context.reply
    assert context.seconds <= most, context.seconds
    assert not context.jobs_run, context.jobs_run


@then('the state of the job is "{state}"')
def step_state(context, state):
    assert context.state.outcome == state, context.state


@when(
    "{count:d} jobs are submitted, and cancelled from 10 ms before to 10 ms after that,"
    " at {which}"
)
def step_at_once(context, count, which):
    async def run():
        async with Fleet(context.names) as fleet:
            await settle(fleet)
            jobs = [f"{number:016x}" for number in range(count)]
            other = "e2" if which == "the same entry" else "e1"

            async def submit(number, job):
                await asyncio.sleep(0.01 + number)
                forwarder = fleet.entries["e2"].forwarder
                await forwarder.submit(make_submission(job), TIMEOUT_S)

            async def cancel_at(number, job):
                await asyncio.sleep(number + 0.02 * number / count)
                outcome = await cancel(fleet, job, other)
                return job, outcome, clock.now()

            submitting = [submit(*row) for row in enumerate(jobs)]
            cancelling = [cancel_at(*row) for row in enumerate(jobs)]
            done = await asyncio.gather(*submitting, *cancelling)
            context.answers = done[count:]
            await asyncio.sleep(WATCH_S)
            context.runs = list(fleet.list_runs())

    run_virtually(run())


@then("no job runs {slack:g} s after its cancelling was answered")
def step_none_runs(context, slack):
    answered_at = {job: at for job, _, at in context.answers}
    late = [row for row in context.runs if row[2] > answered_at[row[0].job] + slack]
    assert not late, late


@then("each cancel is answered")
def step_each_answered(context):
    outcomes = {outcome for _, outcome, _ in context.answers}
    assert outcomes == {"missing", "cancelled"}, outcomes


@when("an unknown id is cancelled while the store does not respond")
def step_no_store(context):
    async def run():
        async with Fleet(context.names) as fleet:
            await settle(fleet)
            for client in fleet.clients.values():
                client.is_cut = True
            context.answer = await cancel(fleet)

    run_virtually(run())


@when("{count:d} unknown ids are cancelled, and {seconds:g} s pass")
def step_many(context, count, seconds):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            answers = await asyncio.gather(
                *(cancel(fleet, f"{number:016x}") for number in range(count))
            )
            assert set(answers) == {"missing"}, answers
            assert len(list_records(fleet)) == count
            await pass_time(leader, seconds)
            context.known = dict(leader.controller.engine.withdrawn)
            context.records = list_records(fleet)

    run_virtually(run())


async def pass_time(leader, seconds):
    """Let withdrawals be older; only the boot clock is virtual."""
    withdrawn = leader.controller.engine.withdrawn
    for job_id in withdrawn:
        withdrawn[job_id] -= seconds
    await asyncio.sleep(2 * CLEANUP_INTERVAL_S)


@when(
    "an unknown id is cancelled, and its retention ends during an outage of the store"
)
def step_outage(context):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            controller = leader.controller
            for client in fleet.clients.values():
                client.is_cut = True
            request = asyncio.create_task(controller.cancel(JOB))
            await asyncio.sleep(SETTLE_S)
            assert not request.done()
            engine, now = controller.engine, clock.read_unix_time()
            engine.withdrawn[JOB] -= RETENTION_S
            controller.persistence.forget_withdrawn(now)
            await asyncio.sleep(SETTLE_S)
            context.is_done = request.done()
            fleet.reconnect_store()
            await asyncio.sleep(WATCH_S)
            await settle(fleet)
            context.answer = await cancel(fleet, "b" * 16)

    run_virtually(run())


@then('the request has ended, and the next cancel is answered with "{outcome}"')
def step_ended(context, outcome):
    assert context.is_done
    assert context.answer == outcome, context.answer


def list_records(fleet):
    """Return the keys of the records of withdrawn ids."""
    return [key for key in fleet.store.items if key.startswith(WITHDRAWN)]


@then("no leader and no record knows them")
def step_forgotten(context):
    assert not context.known, context.known
    assert not context.records, context.records


@given("3 entries, whose leader has withdrawn {count:d} ids")
def step_full(context, count):
    assert count == MAX_WITHDRAWN
    step_entries(context)


@when("an unknown id is cancelled")
def step_beyond(context):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            engine = leader.controller.engine
            now = engine.to_unix_time(clock.now())
            engine.withdrawn = {f"{n:016x}": now for n in range(1, MAX_WITHDRAWN + 1)}
            first = await cancel(fleet, "f" * 16)
            await pass_time(leader, RETENTION_S)
            context.answers = first, await cancel(fleet, "e" * 16)

    run_virtually(run())
    context.answer = context.answers[0]


@when("{seconds:g} s pass, and an unknown id is cancelled")
def step_later(context, seconds):
    assert seconds == RETENTION_S
    context.answer = context.answers[1]


@given("3 entries, and an undecodable record of a withdrawn id")
def step_undecodable(context):
    step_entries(context)

    def put_record(fleet):
        fleet.store.items[WITHDRAWN + JOB] = Item(WITHDRAWN + JOB, b"\xc1", 1, 1), 0

    context.prepare = put_record


@when("the leader is killed, and the job is submitted")
def step_killed(context):
    async def run():
        async with Fleet(context.names) as fleet:
            await settle(fleet)
            context.prepare(fleet)
            await cause(fleet, "the leader is killed")
            forwarder = fleet.entries["e2"].forwarder
            context.reply = await forwarder.submit(make_submission(), TIMEOUT_S)

    run_virtually(run())


@then("the submission is refused")
def step_refused(context):
    assert context.reply.outcome == "refused", context.reply
