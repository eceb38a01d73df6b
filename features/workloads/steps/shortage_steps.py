"""Steps for decisions in a shortage, and for refusals in virtual time."""

import asyncio
import math
from collections import Counter
from unittest import mock

from behave import given, then, when
from engine_steps import (
    CAPACITY,
    NEED,
    NOW,
    make_configuration,
    make_engine,
    poll_endpoint,
)
from heavy_days_steps import submit_for_team
from virtual_fleet import Fleet
from virtual_time import run_virtually
from withdrawn_job_steps import JOB, cause, list_jobs_run, make_submission, settle

from briarshed_entry import clock
from briarshed_workloads import ordering
from briarshed_workloads.admission import find_retry_delay
from briarshed_workloads.configuration import TeamRules
from briarshed_workloads.expected_wait import Claim, find_deferred
from briarshed_workloads.jobs import make_job
from briarshed_workloads.memory import MAX_OPEN_BYTES
from briarshed_workloads.ordering import sort_jobs
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.refusals import number_attempt
from briarshed_workloads.shares import Shares, restore_shares
from briarshed_workloads.shortage import EXPIRED, measure_work
from briarshed_workloads.transport import SubmitRequest
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Description,
    Step,
    Submission,
)

TIMEOUT_S = 2.8
EARLIER_S = 0.3


@given("6 jobs that each take the whole pool for 1 s and are due in {due:g} s")
def step_claims(context, due):
    context.claims = [Claim(f"{n}", (1,), due, 0.0, 1.0, 1.0) for n in range(6)]


@given("a job that loses {loss:g} for {work:g} s of work, of tier {tier:d}")
def step_first(context, loss, work, tier):
    context.claims = [Claim("first", (tier,), 2.0, 0.0, work, loss)]


@given("another that loses 1.5 for 1.5 s of work, of tier 1")
def step_other(context):
    context.claims.append(Claim("other", (1,), 2.0, 0.0, 1.5, 1.5))


@when("it is decided which of them give way")
def step_decide(context):
    context.deferred = find_deferred(context.claims).deferred


@then("{count:d} give way")
def step_count(context, count):
    assert len(context.deferred) == count, context.deferred


@then("the {which} one gives way")
def step_which(context, which):
    assert context.deferred == [which], context.deferred


def make_pool(endpoints=("a",)):
    """Return an engine with endpoints for 4 tasks each, and two queues."""
    plain = make_configuration()
    queue = plain.queues["q"]
    rules = {name: TeamRules(name, 1.0, NO_RESOURCES) for name in ("hot", "calm")}
    queues = {
        "q": queue._replace(priority=1),
        "urgent": queue._replace(name="urgent", priority=0),
    }
    configuration = plain._replace(teams=rules, queues=queues)
    engine = make_engine(names=endpoints, configuration=configuration)
    for name in endpoints:
        poll_endpoint(engine, name, NOW)
    return engine


def submit_job(engine, number, count, team="", queue="q", now=NOW):
    """Accept a job of tasks of 1 s."""
    description = Description("", (Step(count, NEED, 1.0),))
    submission = Submission(f"{number:016x}", queue, "pool", team, now, description)
    job = engine.accept(submission, now)
    engine.activate(job, now)
    return job


@given("a pool with {count:d} waiting jobs")
def step_waiting(context, count):
    context.engine = make_pool()
    context.jobs = [submit_job(context.engine, row, 1) for row in range(count)]


@when(
    "their order is asked for every {interval:g} s for {seconds:g} s, and one job"
    " arrives each time"
)
def step_orders(context, interval, seconds):
    with mock.patch.object(ordering, "rank_job", wraps=ordering.rank_job) as rank:
        for number in range(round(seconds / interval)):
            context.jobs.append(submit_job(context.engine, len(context.jobs), 1))
            now = NOW + number * interval
            order = sort_jobs(context.engine, "pool", context.jobs, now)
            assert len(order) == len(context.jobs)
    context.ranked = rank.call_count


@then("at most {most:d} jobs are ranked")
def step_ranked(context, most):
    assert context.ranked <= most, context.ranked


def measure_waiting(context, unix_now):
    """Return the work of the job that waits, in seconds of the whole pool."""
    return measure_work(context.engine, context.job, CAPACITY, unix_now).waiting


@given("a job of 8 tasks of 1 s, and {seconds:g} s of work of its pool")
def step_known_work(context, seconds):
    context.engine = make_pool()
    context.job = submit_job(context.engine, 1, 8)
    assert measure_waiting(context, NOW) == seconds


@when("half of its tasks succeed, and the Unix clock steps back by an hour")
def step_clock_back(context):
    for task in list(context.job.list_tasks())[:4]:
        context.job.note_succeeded(task, NOW)


@then("{seconds:g} s of work is left")
def step_work_left(context, seconds):
    left = measure_waiting(context, NOW - 3600.0)
    assert left == seconds, left


@given("a pool with room for 4 of 8 tasks, and a started job of 4 tasks")
def step_started(context):
    context.engine = make_pool()
    context.large = submit_job(context.engine, 1, 8)
    context.orders = plan_starts(context.engine, NOW)
    assert len(context.orders) == 4, context.orders


@given("2 jobs of 1 task that arrived later")
def step_small(context):
    for number in (2, 3):
        submit_job(context.engine, number, 1)


@when("waiting tasks are placed in a shortage")
def step_place(context):
    for order in context.orders[:2]:
        context.engine.drop(order.run, "ended")
        context.large.note_succeeded(order.run.task, NOW)
    context.orders = plan_starts(context.engine, NOW + 1.0)


@then("the started job goes on first")
def step_goes_on(context):
    jobs = {order.run.task.job for order in context.orders}
    assert jobs == {context.large.job_id}, jobs


@given("a pool that can do half of the work of 40 small jobs and 4 large ones late")
def step_sizes(context):
    context.engine = make_pool()
    for number in range(40):
        submit_job(context.engine, number, 1)
    for number in range(40, 44):
        submit_job(context.engine, number, 6)


@then("the large jobs are of use at least half as often as all jobs")
def step_large_of_use(context):
    jobs = context.engine.open_jobs["pool"].values()
    lowered = context.engine.outlooks["pool"].lowered
    of_use = [job for job in jobs if lowered.get(job.job_id) != EXPIRED]
    assert len(of_use) < len(jobs), "no shortage"
    large = [job for job in of_use if job.core_seconds > 1.0]
    assert len(large) / 4 >= len(of_use) / len(jobs) / 2, (len(large), len(of_use))


@given(
    "a pool that is late, with 6 jobs of a team of weight 1 and 2 of another after it"
)
def step_hot(context):
    context.engine = make_pool()
    for number in range(6):
        submit_for_team(context.engine, number, "hot")
    for number in range(6, 8):
        submit_for_team(context.engine, number, "calm")


@when("the order of the jobs is asked")
def step_order(context):
    engine = context.engine
    jobs = list(engine.list_open("pool").values())
    context.order = sort_jobs(engine, "pool", jobs, NOW + 3.0)


@when("the next leader has restored the jobs, and their order is asked")
def step_restored(context):
    before = context.engine
    context.engine = make_pool()
    for job_id, job in before.jobs.items():
        context.engine.restore(job_id, job.encode_job(), None, NOW)
    jobs = context.engine.jobs.values()
    restore_shares(context.engine.shares, jobs, before.configuration)
    step_order(context)


@then("the jobs of the other team come before those beyond the weight of the first")
def step_beyond(context):
    assert context.engine.outlooks["pool"].late
    beyond = [job.is_within_share for job in context.order]
    assert beyond == sorted(beyond, reverse=True), beyond
    assert beyond.count(False) == 4, beyond


@given("a team of weight 1 with 2 jobs, and a third that was refused")
def step_third(context):
    context.shares = Shares()
    assert context.shares.take("1", "hot", 1.0, NOW)
    assert context.shares.take("2", "hot", 1.0, NOW)
    context.shares.note_refused("3", "hot", 1.0, NOW)


@when("the third is submitted again 2 s later, with 2 new jobs of the team after it")
def step_third_again(context):
    context.within = [
        context.shares.take(job_id, "hot", 1.0, NOW + 2.0) for job_id in "345"
    ]


@then("the third is beyond the share, and the new jobs are within it")
def step_third_beyond(context):
    assert context.within == [False, True, True], context.within


@given(
    "a team of weight 1 with 2 jobs that were refused within its share, and 1 beyond"
)
def step_refused(context):
    context.shares = Shares()
    for job_id in "123":
        context.shares.note_refused(job_id, "hot", 1.0, NOW)


@when("all come back every 10 s, up to {seconds:d} s later")
def step_come_back(context, seconds):
    for later in range(10, seconds + 1, 10):
        context.now = NOW + later
        context.found = find_within(context)
        for job_id in "123":
            context.shares.note_refused(job_id, "hot", 1.0, context.now)


@when("another job is refused {seconds:d} s later")
def step_another_refused(context, seconds):
    context.now = NOW + seconds
    context.shares.note_refused("4", "hot", 1.0, context.now)
    context.found = find_within(context)


def find_within(context):
    """Return whether the first and the last of three refused jobs have a share."""
    return [context.shares.has_share(row, "hot", 1.0, context.now) for row in "13"]


@then("the first is {first} and the last {last} the share")
def step_within(context, first, last):
    expected = [row == "within" for row in (first, last)]
    assert context.found == expected, context.found


@given("a pool with {backlog:g} s of work that waits, planned {age:g} s ago")
def step_backlog(context, backlog, age):
    context.engine = make_pool()
    for number in range(int(backlog)):
        submit_job(context.engine, number, 4)
    jobs = list(context.engine.list_open("pool").values())
    sort_jobs(context.engine, "pool", jobs, NOW)
    context.now = NOW + age


@given("a pool whose endpoints are full for 3 s, while 7 s of work arrive each second")
def step_full(context):
    context.engine = make_pool()
    submit_job(context.engine, 0, 4)
    assert len(plan_starts(context.engine, NOW)) == 4
    for number in range(1, 21):
        context.now = NOW + 0.15 * number
        submit_job(context.engine, number, 4, now=context.now)
        assert not plan_starts(context.engine, context.now)


@given("one of its jobs is late")
def step_one_late(context):
    outlook = context.engine.outlooks["pool"]
    outlook.lowered["0" * 16] = 3


@given("jobs that could all be done in time, and one larger that cannot")
def step_one_cannot(context):
    small = [Claim(f"s{number}", (0,), 5.0, 0.2, 0.1, 1.0) for number in range(10)]
    context.claims = [*small, Claim("large", (0,), 6.0, 4.0, 5.0, 100.0)]


@when("those that give way are chosen")
def step_choose(context):
    context.deferred = find_deferred(context.claims).deferred


@then("the larger one gives way, and no other")
def step_large_only(context):
    assert context.deferred == ["large"], context.deferred


def ask(context, waited, queue, team=""):
    """Ask whether a job of 4 tasks is accepted."""
    description = Description("", (Step(4, NEED, 1.0),))
    submission = Submission(JOB, queue, "pool", team, 0.0, description)
    rules = context.engine.configuration.queues[queue]
    job = make_job(submission, rules)
    now = context.now
    context.delay = find_retry_delay(context.engine, job, now - waited, now)


def offer(context, number, work=1.0, queue="q"):
    """Return the retry delay of a new job of 4 tasks, or accept it and return None."""
    engine = context.engine
    steps = (Step(4, NEED, work),)
    submission = Submission(
        f"{number:016x}", queue, "pool", "", context.now, Description("", steps)
    )
    job = make_job(submission, engine.configuration.queues[queue])
    delay = find_retry_delay(engine, job, context.now, context.now)
    if delay is None:
        engine.activate(engine.accept(submission, context.now), context.now)
    return delay


def plan_order(context):
    """Plan the order of the pool's jobs."""
    jobs = list(context.engine.list_open("pool").values())
    offset = context.engine.to_unix_time(0.0)
    sort_jobs(context.engine, "pool", jobs, context.now - offset)


@when(
    "{count:d} jobs of {work:g} s arrive within {seconds:g} s while it is planned every"
    " 0.05 s"
)
def step_many_arrive(context, count, work, seconds):
    context.delays, planned_at, started_at = [], context.now, context.now
    for number in range(count):
        context.now = started_at + seconds * number / count
        if context.now - planned_at >= 0.05:
            planned_at = context.now
            plan_order(context)
        delay = offer(context, 1_000 + number, work)
        if delay is not None:
            context.delays.append((context.now + delay - started_at, delay))


@then("at most {most:d} of the refused are told to come back at the same second")
def step_spread_delays(context, most):
    assert len(context.delays) > 150, context.delays
    seconds = Counter(math.ceil(at) for at, _ in context.delays)
    assert max(seconds.values()) <= most, seconds


@then("none is told to wait for more than {seconds:g} s longer than the first")
def step_bounded_delays(context, seconds):
    delays = [delay for _, delay in context.delays]
    assert max(delays) <= delays[0] + seconds, max(delays)


def refuse_urgent(context, others):
    """Return the delay of the first urgent job that is refused after others."""
    step_backlog(context, 20, 0.1)
    assert all(offer(context, 1_000 + number) for number in range(others))
    # Of equal jobs, the one with the lowest id gives way.
    delays = [offer(context, 5_000 - n, queue="urgent") for n in range(100)]
    return next(delay for delay in delays if delay is not None)


@when("jobs of 1 s in a queue of a higher priority arrive until one is refused")
def step_urgent_refused(context):
    context.delay = refuse_urgent(context, 0)


@then("that one is told the same delay as after 303 refused jobs of the other queue")
def step_same_delay(context):
    delay = refuse_urgent(context, 303)
    assert context.delay == delay, (context.delay, delay)


@given("a pool in which 20 s of work of a team of weight 1 wait")
def step_crowd(context):
    context.engine = make_pool()
    for number in range(20):
        submit_job(context.engine, number, 4, "hot")
    jobs = list(context.engine.list_open("pool").values())
    sort_jobs(context.engine, "pool", jobs, NOW)
    context.now = NOW + 0.1


@when("a job of 1 s of the {team} arrives")
def step_team_arrives(context, team):
    ask(context, 0.0, "q", "hot" if team == "same team" else "calm")


@when("a job of 1 s arrives that its caller asked for {waited:g} s ago")
def step_arrives(context, waited):
    ask(context, waited, "q")


@when("its jobs are cancelled, and a job of 1 s arrives before the next plan")
def step_cancelled(context):
    for job in list(context.engine.jobs.values()):
        context.engine.cancel(job, context.now)
    ask(context, 0.0, "q")


@when("a job of 1 s arrives in a queue of a higher priority")
def step_urgent(context):
    ask(context, 0.0, "urgent")


@then("it is accepted")
def step_accepted(context):
    assert context.delay is None, context.delay


@then("it is refused")
def step_refused(context):
    assert context.delay >= 1.0, context.delay


def fill(leader, is_full):
    """Let the leader have no room for jobs, or room again."""
    leader.controller.engine.job_memory.open_size = MAX_OPEN_BYTES if is_full else 0


@given("3 entries, and a job that the leader has refused")
def step_refused_job(context):
    context.names = ["e0", "e1", "e2"]


@when("{message} arrives {seconds:g} s later, and there is room again")
def step_message(context, message, seconds):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            other = next(row for row in fleet.entries.values() if row is not leader)
            fill(leader, True)
            submission = make_submission()
            read_at = clock.now()
            reply = await other.forwarder.submit(submission, TIMEOUT_S)
            assert reply.outcome == "refused", reply
            await asyncio.sleep(seconds)
            fill(leader, False)
            epoch = leader.term.epoch
            if message == "a new request of its caller":
                reply = await other.forwarder.submit(submission, TIMEOUT_S)
            else:
                if message.startswith("an earlier"):
                    read_at -= EARLIER_S
                if message == "a request for another leader":
                    epoch, read_at = epoch + 1, clock.now()
                attempt = number_attempt(read_at, read_at, read_at)
                request = SubmitRequest(1, submission, attempt, epoch)
                reply = await leader.forwarder.submit_locally(request)
            context.outcome = reply.outcome
            await asyncio.sleep(2.0)
            context.has_run = JOB in list_jobs_run(fleet)

    run_virtually(run())


@then("the job is not accepted")
def step_not_accepted(context):
    assert context.outcome in ("full", "refused", "not leader"), context.outcome
    assert not context.has_run


@then("the job is accepted")
def step_job_accepted(context):
    assert context.outcome == "accepted", context.outcome
    assert context.has_run


@when("another entry leads, and its caller submits it again")
def step_leader_changes(context):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            fill(leader, True)
            submission = make_submission()
            reply = await leader.forwarder.submit(submission, TIMEOUT_S)
            assert reply.outcome == "refused", reply
            await cause(fleet, "the leader is killed")
            leader = await settle(fleet)
            reply = await leader.forwarder.submit(submission, TIMEOUT_S)
            context.outcome = reply.outcome
            await asyncio.sleep(2.0)
            context.has_run = JOB in list_jobs_run(fleet)

    run_virtually(run())


@given("3 entries, and a job whose acceptance waits for the store")
def step_slow_store(context):
    context.names = ["e0", "e1", "e2"]


@when("there is no more room, and the job is sent again")
def step_sent_again(context):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await settle(fleet)
            submission = make_submission()
            for client in fleet.clients.values():
                client.is_cut = True
            controller = leader.controller
            first = asyncio.create_task(controller.submit(submission, 1_000_000))
            await asyncio.sleep(0.1)
            fill(leader, True)
            second = asyncio.create_task(controller.submit(submission, 1_000_001))
            await asyncio.sleep(0.1)
            fleet.reconnect_store()
            context.outcomes = [
                row.outcome for row in await asyncio.gather(first, second)
            ]

    run_virtually(run())


@then('both requests are answered with "{outcome}" once the store responds')
def step_both(context, outcome):
    assert context.outcomes == [outcome] * 2, context.outcomes
