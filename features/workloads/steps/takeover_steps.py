"""Steps for a new leader that takes over endpoints."""

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    RUN_LEASE_S,
    TASK,
    make_registration,
    poll_endpoint,
    submit,
)

from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import EndedRun, ListedRun, Step


@given('endpoint "b" is a later incarnation on the instance of endpoint "a"')
def step_later_incarnation(context):
    for name, started_at_ms in (("a", 1), ("b", 2)):
        endpoint = context.engine.endpoints[name]
        endpoint.registration = endpoint.registration._replace(
            instance="m", started_at_ms=started_at_ms
        )
    context.registrations = [context.engine.endpoints["b"].registration]


@when("the registrations of the endpoints are read")
def step_read(context):
    registrations = getattr(context, "registrations", [make_registration("b")])
    context.engine.note_registrations(registrations, NOW)


@then('the task starts at "b" at once')
def step_starts(context):
    (order,) = plan_starts(context.engine, NOW)
    assert order.run.endpoint.name == "b"


@then('the task does not start before endpoint "a" is fenced or its runs have expired')
def step_waits_for_fence(context):
    engine = context.engine
    assert not plan_starts(engine, NOW)
    assert not plan_starts(engine, NOW + RUN_LEASE_S)
    poll_endpoint(engine, "a", NOW + 1)
    (order,) = plan_starts(engine, NOW + 1)
    assert order.run.task == TASK


SECOND = TASK._replace(step=1)
EARLIER_RUN = 1 << 24


@given("a restored job with two steps of 1 task")
def step_two_steps(context):
    steps = (Step(1, NEED, 1.0), Step(1, NEED, 1.0, after=(0,)))
    submit(context.engine, JOB, steps, NOW).is_restored = True


@when('"a" lists a run of the second step')
def step_second_runs(context):
    poll_endpoint(context.engine, "a", NOW, [ListedRun(SECOND, EARLIER_RUN, "", 10, 0)])


@when('"b" lists the success of the first step')
def step_first_ended(context):
    poll_endpoint(
        context.engine,
        "b",
        NOW,
        ended=[EndedRun(1, TASK, EARLIER_RUN, "succeeded", "")],
    )


@then("nothing is started")
def step_nothing(context):
    assert not plan_starts(context.engine, NOW)


@when('"a" lists the end of that run as "lapsed"')
def step_second_expired(context):
    ended = EndedRun(1, SECOND, EARLIER_RUN, "lapsed", "")
    poll_endpoint(context.engine, "a", NOW + 1, ended=[ended])


@then("the second step is started")
def step_second_started(context):
    (order,) = plan_starts(context.engine, NOW + 1)
    assert order.run.task == SECOND
