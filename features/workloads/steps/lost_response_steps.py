"""Steps for a store that loses responses and executes calls late, in virtual time."""

import asyncio
from typing import NamedTuple

from behave import given, then, when
from virtual_fleet import LATENCY_S, Store, StoreClient
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.interfaces import OutcomeUnknownError, Put
from briarshed_workloads.leadership import RENEWAL_INTERVAL_S, LeaderTerm, acquire
from briarshed_workloads.records import EntryRecord

SAMPLE_S = 0.01


class Loss(NamedTuple):
    """What happens to a call: its response is lost ``lost_after`` s after it was sent.

    It is executed ``late_s`` s after that, or never if that is None.
    """

    lost_after: float
    late_s: float | None


class LossyClient(StoreClient):
    """An entry's client; ``choose_loss`` returns a Loss for a call that is lost.

    ``commit_losses`` holds what happens to the next transactions: a Loss, None or an
    error that is raised at once after the execution.
    """

    def __init__(self, store, entry_name):
        super().__init__(store, entry_name)
        self.choose_loss = lambda: None
        self.commit_losses = []

    async def commit(self, conditions, puts, removals=(), timeout=1.0):
        """Apply a transaction."""
        loss = self.commit_losses.pop(0) if self.commit_losses else self.choose_loss()
        return await self._pass(
            lambda: self._store.commit(conditions, puts, removals), loss
        )

    async def _call(self, function):
        return await self._pass(function, self.choose_loss())

    async def _pass(self, function, loss):
        if isinstance(loss, Exception):
            await super()._call(function)
            raise loss
        if loss is None or self.is_cut:
            return await super()._call(function)
        if loss.late_s is not None:
            asyncio.get_running_loop().call_later(
                LATENCY_S + loss.late_s, self._execute, function
            )
        await asyncio.sleep(loss.lost_after)
        raise OutcomeUnknownError("store: no response")

    def _execute(self, function):
        self._store.expire()
        function()


async def lead(client, name):
    """Return the term of an entry that takes the vacant leadership, or None."""
    outcome = await acquire(client, EntryRecord(name, "i", name), lambda _: 0.0)
    return outcome if isinstance(outcome, LeaderTerm) else None


@given("a leader whose write is executed, with all responses lost")
def step_executed(context):
    context.error = None


@when("it is given up because {reason}, and another write follows")
def step_given_up(context, reason):
    async def run():
        store = Store()
        store.checks_leases_first = True
        client = LossyClient(store, "e")
        term = await lead(client, "e")
        lease = await client.grant_lease(0.7)
        client.commit_losses = {
            "its lease has ended": [Loss(0.5, 0.0), Loss(0.5, None)],
            "it is cancelled": [Loss(0.5, 0.0), Loss(0.5, None)],
            "a response is not readable": [ValueError("unreadable")],
        }[reason]
        writer = term.fenced_writer
        first = asyncio.create_task(writer.commit([Put("first", b"v", lease)]))
        if reason == "it is cancelled":
            await asyncio.sleep(0.3)
            first.cancel()
        (context.error,) = await asyncio.gather(first, return_exceptions=True)
        client.commit_losses.clear()
        await writer.commit([Put("second", b"v")])
        context.keys = set(store.items)
        await writer.commit([Put("third", b"v")])
        context.is_lost = writer.is_leadership_lost

    run_virtually(run())


@then("the store holds the other write")
def step_held(context):
    assert isinstance(context.error, BaseException), context.error
    assert "second" in context.keys, context.keys


@then("writes go on")
def step_goes_on(context):
    assert not context.is_lost


async def watch_takeover(store, term):
    """Let an entry try to lead, and return when it did while the leader had authority.

    The leader renews its lease, and the responses to its calls are not lost any more.
    """
    renewing = asyncio.create_task(term.renew_until_lost())
    # The other entry does not try while the leader renews or replaces its lease.
    await asyncio.sleep(2 * RENEWAL_INTERVAL_S)
    client, until, found = LossyClient(store, "f"), clock.now() + 5.0, []
    while clock.now() < until:
        other = await lead(client, "f")
        if other is not None and term.has_authority():
            found.append(round(until - clock.now(), 2))
        await asyncio.sleep(SAMPLE_S)
    renewing.cancel()
    await asyncio.gather(renewing, return_exceptions=True)
    return found


@given(
    "a leader whose lease has ended, with the response to its write of a new one lost"
)
def step_new_lease(context):
    async def run():
        store = Store()
        store.checks_leases_first = True
        client = LossyClient(store, "e")
        term = await lead(client, "e")
        term.note_event("loaded", "test")
        await asyncio.sleep(2.0)
        # The third attempt comes after the new lease has ended.
        client.commit_losses = [Loss(0.5, 0.0), Loss(1.0, None)]
        await term._renew()
        context.found = await watch_takeover(store, term)

    context.play = run


@when("the store says that this lease has ended too, and 5 s pass")
def step_ended_too(context):
    run_virtually(context.play())


@given("an attempt of an entry to lead that gets no response and is executed late")
def step_late_attempt(context):
    async def run():
        store = Store()
        client = LossyClient(store, "e")
        client.commit_losses = [Loss(LATENCY_S, 0.4), Loss(0.5, None)]
        term = await lead(client, "e")
        assert term is None
        await asyncio.sleep(0.15)
        term = await lead(client, "e")
        context.found = []
        if term is not None:
            context.found = await watch_takeover(store, term)

    context.play = run


@when("its second attempt gets no response either, and 5 s pass")
def step_second_attempt(context):
    run_virtually(context.play())


@then("another entry leads only while the leader has no authority")
def step_alone(context):
    assert not context.found, context.found
