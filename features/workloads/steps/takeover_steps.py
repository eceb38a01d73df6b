"""Steps for the take-over of endpoints by a new leader."""

from behave import given, then, when
from engine_steps import HOLD_S, NOW, TASK, look, make_observed

from briarshed_workloads.planning import plan_starts


@given('endpoint "b" is a later life of the instance of endpoint "a"')
def step_later_life(context):
    for name, born in (("a", 1), ("b", 2)):
        endpoint = context.engine.endpoints[name]
        endpoint.observed = endpoint.observed._replace(instance="m", born=born)
    context.entries = [context.engine.endpoints["b"].observed]


@when("the endpoints' entries are read")
def step_read(context):
    entries = getattr(context, "entries", [make_observed("b")])
    context.engine.observe(entries, NOW)


@then('the task starts at "b" at once')
def step_starts(context):
    (order,) = plan_starts(context.engine, NOW)
    assert order.run.endpoint.name == "b"


@then('the task does not start before endpoint "a" is fenced or has lapsed')
def step_waits_for_fence(context):
    engine = context.engine
    assert not plan_starts(engine, NOW)
    assert not plan_starts(engine, NOW + HOLD_S)
    look(engine, "a", NOW + 1)
    (order,) = plan_starts(engine, NOW + 1)
    assert order.run.task == TASK
