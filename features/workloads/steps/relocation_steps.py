"""Steps for relocations out of an evacuated data centre, in a crowd of tasks."""

from contextlib import ExitStack
from unittest.mock import patch

from behave import given, then, when
from engine_steps import CAPACITY, JOB, NEED, NOW, make_engine, poll_endpoint, submit
from evacuation_steps import SETTLED_S, STOP_GRACE_S, change

from briarshed_workloads import relocation
from briarshed_workloads.disruption import list_evictions
from briarshed_workloads.workloads import ListedRun, Registration, Step


@given('30 endpoints in "d1" and 30 in "d2" that each run a long-running task')
def step_many(context):
    places = {f"p{n:02}": "d1" if n < 30 else "d2" for n in range(60)}
    engine = context.engine = make_engine(names=())
    rows = [
        Registration(name, 1, name, "pool", place, "r", (f"label {place}",), CAPACITY)
        for name, place in places.items()
    ]
    engine.note_registrations(rows, NOW)
    engine.roster = set(places)
    step = Step(60, NEED, 1.0, long_running=True, outage_budget=60)
    job = submit(engine, JOB, (step,), NOW)
    tasks = list(job.waiting.iterate(job.waiting.list_steps()[0]))
    for name, task in zip(places, tasks, strict=True):
        for now in (NOW, NOW + SETTLED_S):
            row = ListedRun(task, (1 << 24) + 1, "", 100, 0)
            poll_endpoint(engine, name, now, [row])
        job.waiting.discard(task)


@given('200 long-running tasks with {limits} wait that no endpoint in "d2" could run')
def step_crowd_waits(context, limits):
    step = Step(1, NEED, 1.0, long_running=True, label="label d1")
    step = step._replace(per_endpoint=int(limits == "a limit per endpoint"))
    for number in range(200):
        submit(context.engine, f"{number + 1_000:016x}", (step,), NOW)


@given('a long-running task waits that could run in "d2" when endpoints are empty')
def step_large_waits(context):
    step = Step(1, NEED._replace(cpu=CAPACITY.cpu), 1.0, long_running=True)
    context.large = submit(context.engine, f"{2_000:016x}", (step,), NOW)


@given('the endpoints in "d2" have no room')
def step_no_room(context):
    engine = context.engine
    engine.note_registrations(
        [
            row.registration._replace(capacity=NEED)
            for row in engine.endpoints.values()
            if row.registration.data_centre == "d2"
        ],
        NOW,
    )


@when('"d1" is evacuated, and 30 plans are made in 0.24 s')
def step_plans(context):
    change(context.engine, "d1")
    context.looks = 0
    context.retry_at = {}

    def count(function):
        def check(*arguments):
            context.looks += 1
            return function(*arguments)

        return check

    names = ("can_start", "could_start_if_empty")
    with ExitStack() as stack:
        for name in names:
            counted = count(getattr(relocation, name))
            stack.enter_context(patch.object(relocation, name, counted))
        context.evictions = [
            order
            for number in range(30)
            for order in plan_evictions(context, NOW + SETTLED_S + number * 0.008)
        ]


def plan_evictions(context, now):
    """Return the tasks that a plan of the same leader evicts."""
    return list_evictions(
        context.engine, now, lambda endpoint: False, STOP_GRACE_S, context.retry_at
    )


@then("the plans look at endpoints at most {count:d} times, and stop no task")
def step_looks(context, count):
    assert not context.evictions, context.evictions
    assert 0 < context.looks <= count, context.looks


@then("a task relocates within {seconds:g} s once no such task waits")
def step_unblocked(context, seconds):
    job = context.large
    for task in list(job.waiting.iterate(job.waiting.list_steps()[0])):
        job.waiting.discard(task)
    assert len(plan_evictions(context, NOW + SETTLED_S + seconds)) == 1
