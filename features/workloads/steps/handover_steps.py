"""Steps for the hand-over of the leadership; the store is a list of calls."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from briarshed_workloads import leadership
from briarshed_workloads.leadership import RENEWAL_INTERVAL_S, LeaderTerm
from briarshed_workloads.records import EntryRecord, TermRecord

RENEWALS = 3
ME = EntryRecord("e", "i", "127.0.0.1:1")


class Store:
    """Answers a renewal when the gate opens, with the word that the lease ended."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.renewing = asyncio.Event()
        self.granted = 0

    async def renew_lease(self, lease):
        """Wait, and tell that the lease has ended."""
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
    """Let a renewal meet the end of its lease, with or without a resignation."""

    async def run():
        store, written = Store(), []

        async def commit(puts, removals=()):
            written.extend(puts)

        record = TermRecord(1, "e/i", 0)
        fenced_writer = SimpleNamespace(term=record, is_lost=False, commit=commit)
        term = LeaderTerm(store, ME, fenced_writer, 1, 0.0, 0.0, lambda _: False)
        term.note_event("loaded", "test")
        keeping = asyncio.create_task(term.renew_until_lost())
        async with asyncio.timeout(10 * RENEWAL_INTERVAL_S):
            await store.renewing.wait()
        if resigns:
            await term.resign()
        store.gate.set()
        await asyncio.sleep(0.05)
        keeping.cancel()
        await asyncio.gather(keeping, return_exceptions=True)
        return store.granted, written

    context.granted, context.written = asyncio.run(run())


@given("a leader whose renewal is under way")
def step_renewing(context):
    context.granted = None


@when("it resigns and the renewal is told that the lease has ended")
def step_resigns(context):
    play(context, True)


@when("the renewal is told that the lease has ended")
def step_ended(context):
    play(context, False)


@then("it takes no new lease and writes nothing")
def step_nothing(context):
    assert context.granted == 0
    assert not context.written


@then("it takes a new lease and writes that it leads")
def step_again(context):
    assert context.granted >= 1
    assert context.written[0].lease == 7


class UnreadableStore(Store):
    """Answers no renewal in a way that the client expects."""

    def __init__(self):
        super().__init__()
        self.is_done = asyncio.Event()

    async def renew_lease(self, lease):
        """Fail as a client does that cannot read an answer."""
        self.granted += 1
        if self.granted == RENEWALS:
            self.is_done.set()
        raise ValueError("unreadable")


@given("a leader whose store answers a renewal with something unreadable")
def step_unreadable(context):
    context.store = UnreadableStore()


@when("3 renewals are due")
def step_due(context):
    logged = []

    async def run():
        record = TermRecord(1, "e/i", 0)
        fenced_writer = SimpleNamespace(term=record, is_lost=False, commit=None)
        term = LeaderTerm(
            context.store, ME, fenced_writer, 1, 0.0, 0.0, lambda _: False
        )
        keeping = asyncio.create_task(term.renew_until_lost())
        async with asyncio.timeout(40 * RENEWAL_INTERVAL_S):
            await context.store.is_done.wait()
            # The last renewal ends, and its failure is logged.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        keeping.cancel()
        await asyncio.gather(keeping, return_exceptions=True)

    log_event = leadership.log_event
    leadership.log_event = lambda event, **fields: logged.append(fields)
    try:
        asyncio.run(run())
    finally:
        leadership.log_event = log_event
    context.logged = logged


@then("each is logged, and the leader keeps renewing")
def step_logged(context):
    assert [row["task"] for row in context.logged] == ["renewal"] * RENEWALS
    assert "unreadable" in context.logged[0]["error"]
