"""Steps for the handover of the leadership, with a fake store."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from briarshed_workloads import supervision
from briarshed_workloads.leadership import RENEWAL_INTERVAL_S, LeaderTerm
from briarshed_workloads.records import EntryRecord, TermRecord

RENEWALS = 3
ME = EntryRecord("e", "i", "127.0.0.1:1")


class Store:
    """Answers a renewal when the gate opens: the lease has ended."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.renewing = asyncio.Event()
        self.granted = 0

    async def renew_lease(self, lease):
        """Wait for the gate, and report that the lease has ended."""
        self.renewing.set()
        await self.gate.wait()
        return False

    async def grant_lease(self, ttl):
        """Grant a lease."""
        self.granted += 1
        return 7

    async def end_lease(self, lease):
        """End a lease."""


def play(context, resigns):
    """Renew a lease that has ended, with or without a resignation before."""

    async def run():
        store, written = Store(), []

        async def commit(puts, removals=()):
            written.extend(puts)

        record = TermRecord(1, "e/i", 0)
        fenced_writer = SimpleNamespace(
            term=record, is_leadership_lost=False, commit=commit
        )
        term = LeaderTerm(store, ME, fenced_writer, 1, 0.0, 0.0, lambda _: False)
        term.note_event("loaded", "test")
        renewing = asyncio.create_task(term.renew_until_lost())
        async with asyncio.timeout(10 * RENEWAL_INTERVAL_S):
            await store.renewing.wait()
        if resigns:
            await term.resign()
        store.gate.set()
        await asyncio.sleep(0.05)
        renewing.cancel()
        await asyncio.gather(renewing, return_exceptions=True)
        return store.granted, written

    context.granted, context.written = asyncio.run(run())


@given("a leader with a lease renewal in progress")
def step_renewing(context):
    context.granted = None


@when("it resigns and the renewal response says that the lease has ended")
def step_resigns(context):
    play(context, True)


@when("the renewal response says that the lease has ended")
def step_ended(context):
    play(context, False)


@then("it takes no new lease and writes nothing")
def step_nothing(context):
    assert context.granted == 0
    assert not context.written


@then("it takes a new lease and writes the leader item")
def step_again(context):
    assert context.granted >= 1
    assert context.written[0].lease == 7


class UnreadableStore(Store):
    """Answers renewals in a form that the client cannot decode."""

    def __init__(self):
        super().__init__()
        self.is_done = asyncio.Event()

    async def renew_lease(self, lease):
        """Fail like a client that cannot decode the response."""
        self.granted += 1
        if self.granted == RENEWALS:
            self.is_done.set()
        raise ValueError("unreadable")


@given("a leader whose store sends unreadable responses to renewals")
def step_unreadable(context):
    context.store = UnreadableStore()


@when("3 renewals are due")
def step_due(context):
    logged = []

    async def run():
        record = TermRecord(1, "e/i", 0)
        fenced_writer = SimpleNamespace(
            term=record, is_leadership_lost=False, commit=None
        )
        term = LeaderTerm(
            context.store, ME, fenced_writer, 1, 0.0, 0.0, lambda _: False
        )
        renewing = asyncio.create_task(term.renew_until_lost())
        async with asyncio.timeout(40 * RENEWAL_INTERVAL_S):
            await context.store.is_done.wait()
            # The last renewal ends, and its failure is logged.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        renewing.cancel()
        await asyncio.gather(renewing, return_exceptions=True)

    log_event = supervision.log_event
    supervision.log_event = lambda event, **fields: logged.append(fields)
    try:
        asyncio.run(run())
    finally:
        supervision.log_event = log_event
    context.logged = logged


@then("each is logged, and the leader keeps renewing")
def step_logged(context):
    assert [row["task"] for row in context.logged] == ["renewal"] * RENEWALS
    assert "unreadable" in context.logged[0]["error"]
