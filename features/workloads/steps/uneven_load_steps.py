"""Steps for endpoints and work of uneven speed; no network."""

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    make_engine,
    poll_endpoint,
    submit,
)

from briarshed_workloads.outliers import list_slow, measure_slowness
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.run_times import RunTimes
from briarshed_workloads.workloads import (
    EndedRun,
    ListedRun,
    Resources,
    Step,
    TaskId,
)

NAMES = ("a", "b", "c", "d")
SECOND = Step(1, NEED, 1.0, image="i")


def start(context, name, step, count, now):
    """Start a job's tasks at an endpoint and return their runs."""
    engine = context.engine
    context.jobs = getattr(context, "jobs", 0) + 1
    job_id = f"{context.jobs:016x}"
    job = submit(engine, job_id, (step._replace(count=count),), now)
    runs = []
    for index in range(count):
        task = TaskId(job_id, 0, 0, index)
        job.waiting.discard(task)
        run = engine.reserve(task, engine.endpoints[name], step, "team", now)
        run.token = engine.endpoints[name].token
        engine.note_started(run, int(now * 1000), now)
        runs.append(run)
    return runs


def end(context, name, runs, now):
    """Let runs succeed at an endpoint."""
    first = context.engine.endpoints[name].last_listed_end + 1
    ended = [
        EndedRun(first + number, run.task, run.number, "succeeded", "")
        for number, run in enumerate(runs)
    ]
    poll_endpoint(context.engine, name, now, ended=ended)


def is_slow(context, name="a"):
    """Return whether an endpoint counts as slow."""
    endpoints = context.engine.endpoints.values()
    return name in list_slow(measure_slowness(endpoints, context.now))


@given("4 endpoints where runs take as long as expected")
def step_endpoints(context):
    context.engine = make_engine(names=NAMES)
    for name in NAMES:
        poll_endpoint(context.engine, name, NOW)
        end(context, name, start(context, name, SECOND, 3, NOW), NOW + 1)
    context.now = NOW + 1


@when('endpoint "a" has 4 best-effort runs that took 4 times as long')
def step_best_effort(context):
    end_slow_runs(context, SECOND._replace(best_effort=True))


@when('endpoint "a" has 4 off-rack runs that took 4 times as long')
def step_away(context):
    context.engine.run_times.spread_factor = 4.0
    end_slow_runs(context, SECOND._replace(rack="another"))


def end_slow_runs(context, step):
    """Let four runs of a step end at "a" after four times the expected time."""
    runs = start(context, "a", step, 4, context.now)
    context.now += 4
    end(context, "a", runs, context.now)


@given("4 endpoints that have run nothing")
def step_fresh(context):
    context.engine = make_engine(names=NAMES)
    for name in NAMES:
        poll_endpoint(context.engine, name, NOW)
    context.now = NOW


@then("it gets fewer of the next tasks than others")
def step_fewer(context):
    context.jobs += 1
    submit(context.engine, f"{context.jobs:016x}", (Step(8, NEED, 1.0),), context.now)
    started = list_started(context)
    assert len(started) == 8
    assert started.count("a") < min(started.count(name) for name in "bcd"), started


@when('endpoint "a" has {count:d} ended run that took {factor:d} times as long')
@when('endpoint "a" has {count:d} ended runs that took {factor:d} times as long')
def step_ended(context, count, factor):
    runs = start(context, "a", SECOND, count, context.now)
    context.now += factor
    end(context, "a", runs, context.now)


PACES = {
    "a seventh of the pace": 7.0,
    "a quarter of the pace": 4.0,
}


def progress(context, name, runs, pace, now, seconds):
    """Let an endpoint list how far runs have come."""
    percent = int(100 * seconds / PACES[pace])
    listed = [ListedRun(run.task, run.number, "", percent, 0) for run in runs]
    poll_endpoint(context.engine, name, now + seconds, listed)


@when('endpoint "a" has {count:d} run in progress at {pace}')
@when('endpoint "a" has {count:d} runs in progress at {pace}')
def step_in_progress(context, count, pace):
    runs = start(context, "a", SECOND, count, context.now)
    progress(context, "a", runs, pace, context.now, 0.8)
    context.now += 0.8


@then("it counts as slow")
def step_slow(context):
    assert is_slow(context)


@then("it doesn't count as slow")
def step_not_slow(context):
    assert not is_slow(context)


@given("an endpoint that counts as slow")
def step_slow_endpoint(context):
    step_endpoints(context)
    step_ended(context, 4, 4)
    assert is_slow(context)


@when("it restarts under its name")
def step_restarts(context):
    poll_endpoint(context.engine, "a", context.now + 0.1, started_at_ms=2)


@when("11 s pass without runs there")
def step_pass(context):
    context.now += 11


@when('20 tasks of an image that takes 4 times its estimate end at endpoint "a"')
def step_slow_image(context):
    step = SECOND._replace(image="other")
    for _ in range(20):
        runs = start(context, "a", step, 1, context.now)
        context.now += 4
        end(context, "a", runs, context.now)


@given("tasks of an image with estimates of {estimates} that take {times}")
def step_times(context, estimates, times):
    context.run_times = RunTimes()
    steps = [SECOND, SECOND._replace(estimate=4.0 if "4" in estimates else 1.0)]
    for number in range(24):
        step = steps[number % 2]
        seconds = {
            "3 times as long": 3.0 * step.estimate,
            "twice as long": 2.0 * step.estimate,
            "2 s": 2.0,
        }.get(times, step.estimate)
        context.run_times.note(step, "", seconds)
    if times.endswith("7 s"):
        context.run_times.note(SECOND, "", 7.0)


@then("a task with an estimate of 1 s is expected to take {least:g} to {most:g} s")
def step_expected(context, least, most):
    expected = context.run_times.expect(SECOND)
    assert least <= expected <= most, expected


@given(
    'a step of 1 s whose data lies in the rack of "a", which is full for {seconds:g} s'
)
def step_rack(context, seconds):
    context.engine = make_engine(names=("a", "b"))
    for name in ("a", "b"):
        poll_endpoint(context.engine, name, NOW - 1)
    big = SECOND._replace(need=Resources(4_000, 1_000, 0))
    start(context, "a", big._replace(estimate=1.0 + seconds), 1, NOW - 1)
    context.now = NOW
    context.rack = "rack a"
    poll_a(context)


def poll_a(context):
    """Let "a" list its runs as in progress."""
    listed = [
        ListedRun(run.task, run.number, "", 0, 0)
        for run in context.engine.endpoints["a"].runs.values()
    ]
    poll_endpoint(context.engine, "a", context.now, listed)


@given('the task takes {factor:g} times as long at "b", since it is off rack')
def step_off_rack(context, factor):
    context.engine.run_times.spread_factor = factor


@given('the task takes 4 times as long at "b", since it is slow')
def step_b_slow(context):
    context.rack = ""
    for _ in range(4):
        context.engine.endpoints["b"].reputation.note_speed(4.0, NOW)


@when("the turns of 2 tasks of one such job come")
def step_two_tasks(context):
    submit_task(context, JOB, count=2)
    context.started = list_started(context)


def submit_task(context, job_id, count=1):
    """Submit a job whose data lies in a rack."""
    step = Step(count, Resources(3_000, 1_000, 0), 1.0, rack=context.rack)
    submit(context.engine, job_id, (step,), context.now)


def list_started(context):
    """Return the endpoints at which waiting tasks start now."""
    orders = plan_starts(context.engine, context.now)
    return [order.run.endpoint.name for order in orders]


@when("the task's turn comes")
def step_turn(context):
    submit_task(context, JOB)
    context.started = list_started(context)


@when('"a" is full for another 0.3 s, 1.1 s later')
def step_still_full(context):
    assert context.started == []
    context.now += 1.1
    end(context, "a", list(context.engine.endpoints["a"].runs.values()), context.now)
    next_one = Step(1, Resources(4_000, 1_000, 0), 0.3)
    start(context, "a", next_one, 1, context.now)
    poll_a(context)
    context.started = list_started(context)


@then('it waits for "a"')
def step_waits(context):
    assert context.started == [], context.started


@then('it starts at "b"')
def step_starts(context):
    assert context.started == ["b"], context.started


@when("the turns of 2 such jobs come")
def step_two(context):
    submit_task(context, JOB)
    submit_task(context, JOB.replace("a", "b"))
    context.started = list_started(context)


@then('one task waits for "a" and the other starts at "b"')
def step_one_each(context):
    assert context.started == ["b"], context.started


@given('2 endpoints with room for 4 tasks, of which "a" has failed one')
def step_failed_one(context):
    context.engine = make_engine(names=("a", "b"))
    context.now = NOW
    for name in ("a", "b"):
        poll_endpoint(context.engine, name, NOW)
    context.engine.endpoints["a"].reputation.note_failure("w", NOW)


@when("3 tasks start")
def step_three(context):
    submit(context.engine, JOB, (Step(3, NEED, 1.0),), NOW)
    context.started = list_started(context)


@then('1 task starts at "a"')
def step_one_at_a(context):
    assert context.started.count("a") == 1, context.started
