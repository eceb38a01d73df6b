"""Steps for replies and responses that arrive when something else is waited for."""

import asyncio

from behave import given, then, when
from virtual_fleet import Store
from virtual_time import run_virtually

from briarshed_workloads.leadership import LEASE_TTL_S, acquire
from briarshed_workloads.records import LEADER, EntryRecord
from briarshed_workloads.transport import PendingReplies, Reply

LATE_S = 0.5


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


async def lead_with_late_response(store):
    """Return the leases that two renewals of an ended lease leave behind.

    These are the one to which the leader item is bound and those that were renewed at
    the end. The response to the second renewal is late.
    """
    client = store.connect("e")
    term = await acquire(client, EntryRecord("e", "i", "e"), lambda _: 0.0)
    renew, renewed = client.renew_lease, []

    async def renew_late(lease):
        renewed.append(lease)
        is_second = len(renewed) == 2
        is_valid = await renew(lease)
        if is_second:
            await asyncio.sleep(LATE_S)
        return is_valid

    client.renew_lease = renew_late
    await asyncio.sleep(2 * LEASE_TTL_S)
    await asyncio.gather(term._renew(), term._renew())
    bound = store.items[LEADER][1]
    await term._renew()
    return bound, renewed, len(store.leases)


@given("a leader with two renewals on their way to the store, whose lease has ended")
def step_renewals(context):
    context.play = lead_with_late_response


@when("the first response has led to a new lease, and the second one arrives")
def step_late_response(context):
    async def run():
        return await context.play(Store())

    context.bound, context.renewed, context.lease_count = run_virtually(run())


@then("the new lease is the only one, and the leader item is bound to it")
def step_bound(context):
    assert context.renewed[-1] == context.bound, (context.renewed, context.bound)
    assert context.lease_count == 1, f"{context.lease_count} leases"
