"""Steps for decisions about clients; nothing is sent."""

from behave import given, then, when

from briarshed.byte_admission import (
    ByteBudget,
    ProcessShare,
    RequestBounds,
    find_excess,
    size_share,
)


@when("a process has {memory:d} MB and {descriptors:d} descriptors")
def step_process(context, memory, descriptors):
    context.share = size_share(memory, descriptors)


@then("clients may hold {held:d} bytes on {connections:d} connections")
def step_share(context, held, connections):
    assert context.share == ProcessShare(held, connections), context.share


@when(
    'a connection has been in phase "{phase}" for {elapsed:g} s and got {count:d} bytes'
)
def step_phase(context, phase, elapsed, count):
    context.reason = find_excess(phase, elapsed, count, RequestBounds())


@then('it is closed as "{reason}"')
def step_reason(context, reason):
    assert context.reason == reason, context.reason


@then('it is closed as ""')
def step_open(context):
    assert not context.reason, context.reason


@given("a budget of {size:d} bytes")
def step_budget(context, size):
    context.budget = ByteBudget(size)


@then("a request may reserve {first:d} and then {second:d} bytes, and another one none")
def step_single(context, first, second):
    assert context.budget.reserve(first)
    assert context.budget.reserve(second, own=first)
    assert not context.budget.reserve(1)


@then("after their return another one may reserve {amount:d} bytes")
def step_return(context, amount):
    context.budget.release(context.budget.held)
    assert context.budget.reserve(amount)
