"""Steps for tasks that crash their endpoints, with entries on fakes in virtual time."""

import asyncio
import itertools
import random
from collections import Counter
from functools import partial
from unittest import mock

from behave import given, then, when
from engine_steps import (
    CAPACITY,
    JOB,
    NEED,
    NOW,
    TASK,
    make_engine,
    make_registration,
    poll_endpoint,
    submit,
)
from virtual_fleet import REBOOT_S, Fleet, find_overlap
from virtual_time import UNIX_START_S, run_virtually

from briarshed_workloads import crashes, planning
from briarshed_workloads.evidence import (
    AT_START,
    NEW_ENDPOINT,
    SOLE_SUSPECT,
    UNRELATED,
    WEAK,
    LostRun,
    choose_start_delay,
    is_given_up,
    is_suspected,
)
from briarshed_workloads.fleet import PRESENT, Run
from briarshed_workloads.workloads import ListedRun, Step, TaskId

ENDPOINTS = tuple("abcdefgh")
SUBMIT_INTERVAL_S = 0.1
REST_S = 25.0
CRASHES_ALLOWED = 3
MORE_STARTS = 3
"""A task breaks the rule when it is started this many times after that many crashes."""

CRASHING_STEP = 0
OUTAGES = 12
RACK_OUTAGES = 40
RACK_CRASH_INTERVAL_S = 0.5
"""Time for which the endpoints of a rack are up between two crashes."""

EARLIER_CLOCK_MS, NEXT_CLOCK_MS = 30_000, 200
"""Clocks of an endpoint's incarnation that has run for long, and of the next one."""


def name_job(number):
    """Return the id of a job."""
    return f"{number:016x}"


class Crasher:
    """Crashes each endpoint that starts one of certain tasks.

    Parameters
    ----------
    tasks : set of TaskId
        Tasks that crash their endpoints.
    when : str
        When an endpoint crashes after the start, and whether it is silent then.
    """

    def __init__(self, tasks, when):
        self.starts = dict.fromkeys(tasks, 0)
        self.crashed = asyncio.Event()
        delay = when.removeprefix("after ").partition(" ")[0]
        self._delay = 0.0 if when.startswith("at once") else float(delay)
        self._how = "silent" if when.endswith("silently") else "closed"
        self._running = set()

    def note_start(self, endpoint, order):
        """Count a start, and crash the endpoint."""
        if order.task in self.starts:
            self.starts[order.task] += 1
            task = asyncio.create_task(self._crash(endpoint, order))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _crash(self, endpoint, order):
        await asyncio.sleep(self._delay)
        if (order.task, order.run) in endpoint.running:
            self.crashed.set()
            await endpoint.crash(self._how)


@given("{jobs:d} jobs, {count:d} of them with a task that crashes its endpoint {when}")
def step_crashing_tasks(context, jobs, count, when):
    every = jobs // count
    context.jobs = jobs
    context.when = when
    context.tasks = {
        TaskId(name_job(number), 0, CRASHING_STEP, 1)
        for number in range(every // 2, jobs, every)
    }


@given("an endpoint that has crashed is back {seconds:g} s later")
def step_reboot(context, seconds):
    context.reboot_s = seconds


@given("{jobs:d} jobs without such a task, one every {seconds:g} s")
def step_many_sound_tasks(context, jobs, seconds):
    step_sound_tasks(context, jobs)
    context.interval_s = seconds


@given("{jobs:d} jobs without such a task")
def step_sound_tasks(context, jobs):
    context.jobs = jobs
    context.when = "at once"
    context.tasks = set()


def play(context, entries, disturb):
    """Submit the jobs, disturb the fleet, and keep what came of the jobs."""
    interval_s = getattr(context, "interval_s", SUBMIT_INTERVAL_S)

    async def run():
        names = tuple(f"e{number}" for number in range(entries))
        async with Fleet(names, ENDPOINTS) as fleet:
            crasher = Crasher(context.tasks, context.when)
            fleet.endpoints.after_start = crasher.note_start
            for endpoint in fleet.endpoints.by_name.values():
                endpoint.reboot_s = getattr(context, "reboot_s", REBOOT_S)
            await fleet.wait_for_leader()
            disturbing = asyncio.create_task(disturb(fleet, crasher))
            for number in range(context.jobs):
                fleet.submit(number)
                await asyncio.sleep(interval_s)
            await disturbing
            await asyncio.sleep(REST_S)
            await fleet.wait_for_leader()
            context.starts = crasher.starts
            context.outcomes = fleet.list_outcomes()
            context.runs = sorted(fleet.list_runs())
            context.overlap = find_overlap(context.runs)

    run_virtually(run())


async def kill_leaders(fleet, crasher, kills, delay_s):
    """Kill the leader a while after each of some crashes."""
    for _ in range(kills):
        crasher.crashed.clear()
        await crasher.crashed.wait()
        await asyncio.sleep(delay_s)
        leader = await fleet.wait_for_leader()
        await fleet.kill(leader.options.name)


async def do_nothing(fleet, crasher):
    """Let the fleet run undisturbed."""


@when("they are submitted to {entries:d} entries with 8 endpoints")
def step_submitted(context, entries):
    play(context, entries, do_nothing)


@when(
    "they are submitted to {entries:d} entries with 8 endpoints, and {kills:d} leaders"
    " are killed just after a crash"
)
def step_leaders_killed(context, entries, kills):
    play(context, entries, partial(kill_leaders, kills=kills, delay_s=0.1))


@when(
    "they are submitted to {entries:d} entries with 8 endpoints, and {kills:d} leaders"
    " are killed {seconds:g} s after crashes"
)
def step_leaders_killed_later(context, entries, kills, seconds):
    play(context, entries, partial(kill_leaders, kills=kills, delay_s=seconds))


@when(
    "they are submitted to {entries:d} entries with 8 endpoints, and {which} every"
    " {seconds:g} s, with seed {seed:d}"
)
def step_endpoints_crash(context, entries, which, seconds, seed):
    chance = random.Random(seed)

    def choose():
        if which.startswith("one endpoint"):
            return ENDPOINTS[:1]
        return chance.sample(ENDPOINTS, 4 if which.startswith("4 ") else 1)

    async def crash(fleet, crasher):
        crashing = []
        for _ in range(OUTAGES):
            await asyncio.sleep(seconds * chance.uniform(0.9, 1.1))
            crashing += [
                asyncio.create_task(fleet.endpoints.by_name[name].crash())
                for name in choose()
            ]
        await asyncio.gather(*crashing)

    play(context, entries, crash)


@when(
    "they are submitted to {entries:d} entries with 8 endpoints, and {count:d}"
    " endpoints of a rack crash {crashes:d} times, with seed {seed:d}"
)
def step_rack_crashes(context, entries, count, crashes, seed):
    chance = random.Random(seed)

    async def crash(fleet, crasher):
        for _ in range(crashes):
            await asyncio.sleep(RACK_CRASH_INTERVAL_S * chance.uniform(0.95, 1.05))
            rack = [fleet.endpoints.by_name[name] for name in ENDPOINTS[:count]]
            await asyncio.gather(*(endpoint.crash("silent") for endpoint in rack))

    play(context, entries, crash)


@when("they are submitted twice, and the Unix clock of the machine differs")
def step_unix_clock(context):
    context.plays = []
    for seconds in (0.0, 1.0):
        read = partial(random.Random(4).uniform, UNIX_START_S, UNIX_START_S + seconds)
        with mock.patch("time.time", read):
            step_rack_crashes(context, 2, 7, 38, 4)
        context.plays.append(context.runs)


@then("both plays have the same runs")
def step_same_runs(context):
    first, second = context.plays
    assert first == second, next(
        rows for rows in zip(first, second, strict=False) if rows[0] != rows[1]
    )


@when(
    "they are submitted to {entries:d} entries with 8 endpoints, and racks of {size:d}"
    " crash {how} in turn, {seconds:g} s apart, with seed {seed:d}"
)
def step_racks_crash(context, entries, size, how, seconds, seed):
    chance = random.Random(seed)
    racks = [ENDPOINTS[at : at + size] for at in range(0, len(ENDPOINTS), size)]

    async def crash(fleet, crasher):
        crashing = []
        for rack in racks:
            for name in rack:
                fleet.endpoints.by_name[name].rack = rack[0]
        for rack in itertools.islice(itertools.cycle(racks), RACK_OUTAGES):
            await asyncio.sleep(seconds * chance.uniform(0.95, 1.05))
            crashing += [
                asyncio.create_task(fleet.endpoints.by_name[name].crash(how))
                for name in rack
            ]
        await asyncio.gather(*crashing)

    play(context, entries, crash)


@then("no such task is started 3 times more after 3 crashes")
def step_starts(context):
    assert all(context.starts.values()), context.starts
    most = CRASHES_ALLOWED + MORE_STARTS - 1
    assert max(context.starts.values()) <= most, context.starts
    assert context.overlap is None, context.overlap


@then("the jobs of these tasks are failed, and all others completed")
def step_outcomes(context):
    given_up = {task.job for task in context.tasks}
    wrong = {
        job: outcome
        for job, outcome in context.outcomes.items()
        if outcome != ("failed" if job in given_up else "completed")
    }
    assert len(context.outcomes) >= context.jobs - 1, len(context.outcomes)
    assert not wrong, wrong


@then("all jobs are completed")
def step_all_completed(context):
    assert len(context.outcomes) >= context.jobs - 1, len(context.outcomes)
    assert set(context.outcomes.values()) == {"completed"}, context.outcomes


@given('the end of "a" was ordered, and it has restarted')
def step_end_ordered(context):
    context.engine.endpoints["a"].is_end_ordered = True
    for _ in range(2):  # the second poll fences the new incarnation
        poll_endpoint(context.engine, "a", NOW + 0.01, started_at_ms=2)
    context.engine.roster.add("a")


@given('"a" lists the run with 100 percent after a crash of another endpoint')
def step_nearly_done(context):
    context.job.note_crash(TASK, 1, WEAK)
    listed = [ListedRun(TASK, context.run.number, "", 100, 0)]
    poll_endpoint(context.engine, "a", NOW + 1, listed)


@given('a run of the task at "a" that {state}')
def step_run_state(context, state):
    engine = context.engine
    endpoint = engine.endpoints["a"]
    endpoint.clock_sample_ms = EARLIER_CLOCK_MS
    engine.endpoints["b"].full_until = NOW + 1
    (order,) = planning.plan_starts(engine, NOW)
    run = order.run
    run.token = endpoint.token
    if state == "got no response to its order":
        engine.note_outcome_unknown(run, NOW + 0.01)
    elif state == "the next incarnation has answered for":
        engine.note_started(run, NEXT_CLOCK_MS, NOW + 0.01)
    elif state == "was answered while clocks were low":
        endpoint.clock_sample_ms = 2 * NEXT_CLOCK_MS
        engine.note_started(run, NEXT_CLOCK_MS, NOW + 0.01)
    elif state == "has confirmed its start":
        engine.note_started(run, EARLIER_CLOCK_MS + 10, NOW + 0.01)
    elif state.startswith("was listed"):
        poll_endpoint(engine, "a", NOW + 0.01, [ListedRun(TASK, run.number, "", 10, 0)])
        if state.endswith("being stopped"):
            run.stop_requested_at = NOW + 0.02


@given('a leader with endpoints "a" to "e" and a task that has just started at "a"')
def step_just_started(context):
    context.engine = engine = make_engine(names=ENDPOINTS[:5])
    poll_endpoint(engine, "a", NOW)
    context.job = submit(engine, JOB, (Step(1, NEED, 1.0),), NOW)
    (order,) = planning.plan_starts(engine, NOW)
    order.run.token = order.run.endpoint.token
    engine.note_started(order.run, int(NOW * 1000) + 10, NOW + 0.01)


@given('"c", "d" and "e" have crashed {how}')
def step_others_crashed(context, how):
    for name in "cde":
        if how == "without any run":
            poll_endpoint(context.engine, name, NOW)
        crashes.note_crash(context.engine, context.engine.endpoints[name], NOW + 0.02)


@given(
    '"c", "d" and "e" of another pool have crashed {how}, {age:g} s after a start of'
    " another task"
)
def step_others_crashed_before(context, how, age):
    engine = context.engine
    for number, name in enumerate("cde"):
        crashed_at = NOW - 3.0 + (0.0 if how == "at once" else number / 2)
        endpoint = engine.endpoints[name]
        registration = endpoint.registration._replace(pool="another")
        if how == "at once":
            registration = registration._replace(rack="another")
        endpoint.registration = registration
        poll_endpoint(engine, name, crashed_at - 0.02)
        task = TASK._replace(job=name_job(number))
        started_at = crashed_at - age
        run = Run(task, number, endpoint, Step(1, NEED, 1.0), NEED, "", started_at)
        run.is_start_confirmed = True
        endpoint.add_run(run)
        engine.note_failing(endpoint, "closed", crashed_at + 0.02)
    for name in "cde":
        crashes.note_crash(engine, engine.endpoints[name], NOW - 1.0)


@given('a leader with an endpoint "a" that it has known for {seconds:g} s')
def step_known_for(context, seconds):
    context.engine = make_engine(names=("a",))
    poll_endpoint(context.engine, "a", NOW)
    context.engine.endpoints["a"].known_since = NOW - seconds


@given('the Unix clock of "a" tells that it has started {seconds:g} s ago')
def step_clock_tells(context, seconds):
    endpoint = context.engine.endpoints["a"]
    started_at_ms = int((NOW - seconds) * 1000)
    endpoint.registration = endpoint.registration._replace(started_at_ms=started_at_ms)


@when("a task that was in a crash is planned")
def step_plan_after_crash(context):
    job = submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)
    job.note_crash(TASK, 1, NEW_ENDPOINT)
    context.orders = planning.plan_starts(context.engine, NOW)


@then("{count:d} start is ordered")
def step_count_ordered(context, count):
    assert len(context.orders) == count, context.orders


@given(
    '{count:d} endpoints of {place} stopped responding {seconds:g} s before "a" does,'
    " within {span:g} s"
)
def step_others_silent(context, count, place, seconds, span):
    engine = context.engine
    rack = engine.endpoints["a"].registration.rack
    for name in "bcd"[:count]:
        endpoint = engine.endpoints[name]
        silent_at = NOW + 0.02 - seconds
        poll_endpoint(engine, name, silent_at - span)
        engine.note_failing(endpoint, "no answer", silent_at)
        changes = {"pool": "another"}
        if place.startswith("its rack"):
            changes["rack"] = rack
        if place.endswith("elsewhere"):
            changes["data_centre"] = "another"
        endpoint.registration = endpoint.registration._replace(**changes)


@given(
    "the task was lost at an earlier start, and was the only suspect of another crash"
)
def step_suspected(context):
    context.job.note_crash(TASK, 0, AT_START)
    context.job.note_crash(TASK, 1, SOLE_SUSPECT)


@when(
    '"a" crashes, and {others} of its rack is known 0.6 s later to have crashed with it'
)
def step_known_later(context, others):
    engine = context.engine
    crashes.note_crash(engine, engine.endpoints["a"], NOW + 0.03)
    engine.drop_runs(engine.endpoints["a"], "crashed")
    if others == '"b"':
        other = engine.endpoints["b"]
        poll_endpoint(engine, "b", NOW)
        rack = engine.endpoints["a"].registration.rack
        other.registration = other.registration._replace(rack=rack)
        engine.note_failing(other, "closed", NOW + 0.02)
        crashes.note_crash(engine, other, NOW + 0.63)


@then('the state of the job is "{state}" {seconds:g} s after the crash')
def step_state_after_crash(context, state, seconds):
    engine = context.engine
    for tenth in range(int(seconds * 10) + 1):
        planning.plan_starts(engine, NOW + 0.03 + tenth / 10)
    assert context.job.state == state, (context.job.state, context.job.crashes)


@given(
    "a task that was lost {count:d} times just after its start together with its rack"
)
def step_lost_with_rack(context, count):
    context.rows = dict.fromkeys(range(count), UNRELATED)


@then("the task is not suspected")
def step_not_suspected(context):
    assert not is_suspected(context.rows)
    assert not is_given_up(context.rows)


@then("it is given up once {count:d} other crashes in a row followed its start")
def step_given_up_after(context, count):
    rows = context.rows
    for number in range(count):
        assert not is_given_up(rows), rows
        rows[100 + number] = AT_START
        rows[200 + number] = UNRELATED
    assert is_given_up(rows), rows


@given("{count:d} tasks, each lost once at its start, and {more:d} lost twice")
def step_lost_at_start(context, count, more):
    context.lost = [({1: AT_START}, number) for number in range(count)]
    context.lost += [({1: AT_START, 2: AT_START}, number) for number in range(more)]


@when("the delays of their next starts are chosen")
def step_choose_delays(context):
    context.delays = {1: [], 2: []}
    for rows, number in context.lost:
        run = LostRun(TASK._replace(index=number), len(rows), NOW, False)
        context.delays[len(rows)].append(choose_start_delay(rows, run))


@then("the delays of those lost {often} are spread evenly up to {seconds:g} s")
def step_delays_spread(context, often, seconds):
    delays = context.delays[1 if often == "once" else 2]
    tenths = Counter(int(delay / seconds * 10) for delay in delays)
    assert set(tenths) == set(range(10)), tenths
    assert max(tenths.values()) < 2 * len(delays) / 10, tenths


@given('a leader with endpoints "a" to "e"')
def step_five_endpoints(context):
    context.engine = make_engine(names=ENDPOINTS[:5])


def prepare_pool(context, crashed, full, rest):
    """Let some endpoints have crashed 1 s ago, and others run tasks in all slots."""
    engine = context.engine
    for name in ENDPOINTS[:5]:
        poll_endpoint(engine, name, NOW)
    for name in crashed:
        crashes.note_crash(engine, engine.endpoints[name], NOW - 1.0)
    step = Step(CAPACITY.cpu // NEED.cpu, NEED, rest)
    context.others = []
    for number, name in enumerate(full, 1):
        submit(engine, name_job(number), (step,), NOW)
        for task in list(engine.jobs[name_job(number)].list_tasks()):
            run = engine.reserve(task, engine.endpoints[name], step, "", NOW)
            context.others.append(run)


@given('all but "e" have crashed 1 s ago, and "e" has no room for {rest:g} s')
def step_no_room(context, rest):
    prepare_pool(context, "abcd", "e", rest)


@given('"a" has crashed 1 s ago, and all others have no room for {rest:g} s')
def step_others_full(context, rest):
    prepare_pool(context, "a", "bcde", rest)


@when("{count:d} tasks are planned that were lost 4 times just after their starts")
def step_plan_several(context, count):
    engine = context.engine
    for number in range(count):
        job = submit(engine, name_job(100 + number), (Step(1, NEED, 1.0),), NOW)
        for run in range(4):
            job.note_crash(TaskId(job.job_id, 0, 0, 0), run, AT_START)
    context.orders = planning.plan_starts(engine, NOW)


@then('one starts at "a", and one waits at another endpoint')
def step_one_waits(context):
    assert [order.run.endpoint.name for order in context.orders] == ["a"]
    rows = context.engine.endpoints.values()
    isolated = [row.name for row in rows if row.is_isolated(NOW)]
    assert len(isolated) == 2 and "a" in isolated, isolated


@when('the runs at "e" go on for longer than forecast')
def step_longer(context):
    assert not context.orders, context.orders
    for tenth in range(1, 41):
        now = NOW + tenth / 10
        for run in context.others:
            # By its progress, it ends within 0.1 s.
            run.state, run.percent, run.confirmed_at = PRESENT, 95, now - 1.0
            run.endpoint.polled_at = now
        context.orders += planning.plan_starts(context.engine, now)


@then("it has started elsewhere within 4 s")
def step_elsewhere(context):
    runs = [order.run for order in context.orders]
    places = [run.endpoint.name for run in runs if run.task == TASK]
    assert len(places) == 1 and places != ["e"], places


@when("a task is planned that was lost {count:d} times just after its start")
def step_plan_lost(context, count):
    engine = context.engine
    job = submit(engine, JOB, (Step(1, NEED, 1.0),), NOW)
    for number in range(count):
        job.note_crash(TASK, number, AT_START)
    context.orders = planning.plan_starts(engine, NOW)


@then("it starts at once")
def step_starts_at_once(context):
    assert len(context.orders) == 1, context.orders


@then('it starts at "e" once it has room')
def step_starts_at_e(context):
    assert not context.orders, context.orders
    context.engine.drop(context.others[0], "ended")
    runs = [order.run for order in planning.plan_starts(context.engine, NOW + 0.3)]
    places = [run.endpoint.name for run in runs if run.task == TASK]
    assert places == ["e"], places


@given(
    "a task that has been running for {seconds:g} s at each endpoint at which another"
    " one starts"
)
def step_runs_beside(context, seconds):
    context.runs_for = seconds


def crash_in_turn(context, has_other_start):
    """Return the state of a job whose task is lost at each endpoint."""
    engine, at = make_engine(names=ENDPOINTS[:5]), NOW
    job = submit(engine, JOB, (Step(1, NEED, 3.0),), NOW)
    for number, name in enumerate(ENDPOINTS[:5]):
        at += context.interval_s
        endpoint = engine.endpoints[name]
        poll_endpoint(engine, name, at - 0.01)
        starts = [(TASK, at - context.runs_for)]
        if has_other_start:
            starts.append((TASK._replace(job=name_job(number)), at - 0.02))
        for task, started_at in starts:
            step = Step(1, NEED, 3.0)
            run = Run(task, number, endpoint, step, NEED, "", started_at)
            run.is_start_confirmed = True
            endpoint.add_run(run)
        crashes.note_crash(engine, endpoint, at)
        endpoint.runs.clear()
    planning.plan_starts(engine, at + 5.0)
    return job.state


@when("the endpoints crash in turn every {seconds:g} s, just after the starts")
def step_crash_in_turn(context, seconds):
    context.interval_s = seconds
    context.state = crash_in_turn(context, has_other_start=True)


@then("the task is not given up")
def step_not_given_up(context):
    assert context.state != "failed", context.state


@then("it is given up if the endpoints crash as often without another start")
def step_given_up_alone(context):
    assert crash_in_turn(context, has_other_start=False) == "failed"


@given('"a" has started 0.3 s before')
def step_started_before(context):
    endpoint = context.engine.endpoints["a"]
    endpoint.known_since = NOW - 0.2
    started_at_ms = int((NOW - 0.3) * 1000)
    endpoint.registration = endpoint.registration._replace(started_at_ms=started_at_ms)


@when('the next incarnation of "a" registers and crashes as well')
def step_next_crashes(context):
    engine = context.engine
    for seconds in (0.03, 0.06):
        started_at_ms = int((NOW + seconds) * 1000)
        rows = [make_registration("a", started_at_ms)]
        rows += [make_registration(name) for name in "bcde"]
        engine.note_registrations(rows, NOW + seconds + 0.01)


@when('"a" becomes silent just after the start, and {what}')
def step_stops_responding(context, what):
    engine = context.engine
    endpoint = engine.endpoints["a"]
    engine.note_failing(endpoint, "closed", NOW + 0.03)
    if what == "it responds again":
        poll_endpoint(engine, "a", NOW + 0.5)
    elif what == "its end is announced":
        endpoint.evicting = True
        crashes.note_crash(engine, endpoint, NOW + 0.5)


@when('"a" crashes')
def step_crashes(context):
    engine = context.engine
    crashes.note_crash(engine, engine.endpoints["a"], NOW + 0.03)


@when('"a" restarts')
def step_restarts(context):
    poll_endpoint(context.engine, "a", NOW + 1.1, started_at_ms=2)


@when('"a" restarts again')
def step_restarts_again(context):
    poll_endpoint(context.engine, "a", NOW + 0.05, started_at_ms=3)


@then("{count:d} crashes count against the task")
def step_crashes_count(context, count):
    assert len(context.job.crashes.get(TASK, ())) == count, context.job.crashes


@then('the evidence against the task is "{evidence}"')
def step_evidence(context, evidence):
    weights = {
        "none": NEW_ENDPOINT,
        "a crash at its start": AT_START,
        "the only one suspected": SOLE_SUSPECT,
        "unrelated": UNRELATED,
    }
    assert list(context.job.crashes[TASK].values()) == [weights[evidence]]


@given(
    "a leader with {endpoints:d} endpoints and {jobs:d} jobs whose tasks ran at 2"
    " crashes"
)
def step_many_suspects(context, endpoints, jobs):
    context.engine = make_engine(names=ENDPOINTS[:endpoints])
    for name in ENDPOINTS[:endpoints]:
        poll_endpoint(context.engine, name, NOW)
    for number in range(jobs):
        job = submit(context.engine, name_job(number), (Step(1, NEED, 0.2),), NOW)
        for run in (1, 2):
            job.note_crash(TaskId(job.job_id, 0, 0, 0), run, WEAK)


@when("a further job is submitted, and each run takes {seconds:g} s")
def step_runs_take(context, seconds):
    engine, now = context.engine, NOW
    submit(engine, JOB, (Step(1, NEED, seconds),), now)
    context.begun_at = {}
    running = []
    for _ in range(400):
        for run in [row for row in running if now - row.ordered_at >= seconds]:
            running.remove(run)
            engine.jobs[run.task.job].note_succeeded(run.task, now)
            engine.drop(run, "succeeded")
        for order in planning.plan_starts(engine, now):
            engine.note_started(order.run, int(now * 1000), now)
            context.begun_at[order.run.task.job] = now
            running.append(order.run)
        now += 0.05


@then("every job has begun within {seconds:g} s")
def step_all_begun(context, seconds):
    waited = {job: at - NOW for job, at in context.begun_at.items()}
    assert waited.keys() == context.engine.jobs.keys(), len(waited)
    assert max(waited.values()) <= seconds, sorted(waited.values())


@when("the pool is planned")
def step_planned(context):
    with mock.patch.object(planning, "report_error") as context.report_error:
        context.orders = planning.plan_starts(context.engine, NOW)


@then("one task has been ordered, and no error was reported")
def step_no_error(context):
    assert len(context.orders) == 1, context.orders
    assert not context.report_error.called, context.report_error.call_args


@given('a job waits whose first task fits nowhere, and whose second task fits at "b"')
def step_large_and_small(context):
    large = Step(1, CAPACITY._replace(cpu=CAPACITY.cpu + 1), 1.0)
    submit(context.engine, JOB, (large, Step(1, NEED, 1.0)), NOW)
