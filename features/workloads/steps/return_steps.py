"""Steps for the return of refused callers."""

from collections import Counter

from behave import given, then, when

from briarshed_workloads.returns import Returns

NOW = 100.0
URGENT, ORDINARY = 0, 1


@given("at most {count:d} jobs a second that an entry had accepted")
def step_entry(context, count):
    context.returns = Returns()
    for _ in range(count):
        context.returns.note_accepted(NOW - 5.0)


def refuse(context, priority, count, now=NOW):
    """Return the delays of refused callers."""
    return [context.returns.find_delay(priority, now) for _ in range(count)]


@when("it refuses {urgent:d} urgent and {ordinary:d} ordinary callers within a second")
def step_refuse(context, urgent, ordinary):
    context.delays = {URGENT: [], ORDINARY: []}
    for number in range(max(urgent, ordinary)):
        for priority, count in ((ORDINARY, ordinary), (URGENT, urgent)):
            if number < count:
                context.delays[priority] += refuse(context, priority, 1)


@when(
    "it refuses {ordinary:d} ordinary callers, and {urgent:d} urgent ones 0.5 s later"
)
def step_later(context, ordinary, urgent):
    context.delays = {ORDINARY: refuse(context, ORDINARY, ordinary)}
    context.delays[URGENT] = refuse(context, URGENT, urgent, NOW + 0.5)


@when("60 s have passed, and it refuses {count:d} ordinary callers")
def step_long_ago(context, count):
    context.delays = {URGENT: [], ORDINARY: refuse(context, ORDINARY, count, NOW + 60)}


@then(
    "the urgent callers return within {urgent:d} s and the ordinary within {late:d} s"
)
def step_within(context, urgent, late):
    assert max(context.delays[URGENT], default=0) <= urgent, context.delays
    assert max(context.delays[ORDINARY]) <= late, context.delays


@then("at most {most:d} callers return in one second")
def step_most(context, most):
    counts = Counter(context.delays[URGENT] + context.delays[ORDINARY])
    assert max(counts.values()) <= most, counts
