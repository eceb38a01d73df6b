"""Steps for replies of the leader that arrive at the next process of an entry."""

import asyncio

from behave import given, then, when

from briarshed_workloads.transport import PendingReplies, Reply


async def open_requests(count):
    """Return the pending replies of a new process, and its requests."""
    pending = PendingReplies()
    return pending, [pending.open() for _ in range(count)]


@given("{count:d} requests of an entry to the leader to accept a job")
def step_first(context, count):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    _, context.first = context.runner.run(open_requests(count))


@when("the entry restarts, and sends {count:d} requests for other jobs")
def step_restart(context, count):
    context.pending, context.later = context.runner.run(open_requests(count))


@when("the replies to the first {count:d} requests arrive")
def step_late_replies(context, count):
    for id, _ in context.first[:count]:
        context.pending.resolve(Reply(id, "accepted"))


@then("none of the other jobs counts as accepted")
def step_none(context):
    assert not any(future.done() for _, future in context.later)


@then("each of them does when its own reply arrives")
def step_own(context):
    for id, future in context.later:
        context.pending.resolve(Reply(id, "accepted"))
        assert future.result() == Reply(id, "accepted")
