"""Steps for a store that loses responses and executes calls late, in virtual time."""

import asyncio
import random
from typing import NamedTuple

from behave import given, then, when
from virtual_fleet import LATENCY_S, Fleet, Store, StoreClient
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.fenced_writer import LeadershipLostError
from briarshed_workloads.interfaces import OutcomeUnknownError, Put
from briarshed_workloads.leadership import RENEWAL_INTERVAL_S, LeaderTerm, acquire
from briarshed_workloads.records import EntryRecord

SAMPLE_S = 0.01
WRITE_PAUSE_S = (0.3, 8.0)
EPISODE_S = (0.5, 8.0)
CUT_S = (0.2, 3.0)
OUTAGE_S = (1.0, 15.0)
LOSS_PAUSES_S = ((0.1, 4.0), (0.1, 4.0), (5.0, 40.0))
OUTAGE_PAUSES_S = ((1.0, 6.0), (0.5, 6.0), (1.0, 8.0))
LOSSES = ((0.0, 0.7), (0.1, 0.9), (0.5, 0.5), (0.9, 0.9))
EXECUTED_SHARE = 0.6
LATE_S = ((0.0, 0.0), (0.0, 1.2), (1.0, 6.0))
REST_S = 10.0


class Loss(NamedTuple):
    """What happens to a call: its response is lost ``lost_after`` s after it was sent.

    It is executed ``late_s`` s after that, or never if that is None.
    """

    lost_after: float
    late_s: float | None


class LossyClient(StoreClient):
    """An entry's client.

    ``choose_loss`` returns a Loss for a call that is lost, given whether the call is a
    transaction. ``commit_losses`` holds what happens to the next transactions: a Loss,
    None or an error that is raised at once after the execution.
    """

    def __init__(self, store, entry_name):
        super().__init__(store, entry_name)
        self.choose_loss = lambda is_commit: None
        self.commit_losses = []

    async def commit(self, conditions, puts, removals=(), timeout=1.0):
        """Apply a transaction."""
        planned = self.commit_losses
        loss = planned.pop(0) if planned else self.choose_loss(True)
        return await self._pass(
            lambda: self._store.commit(conditions, puts, removals), loss
        )

    async def _call(self, function):
        return await self._pass(function, self.choose_loss(False))

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


def connect_lossy(fleet):
    """Let all entries of a fleet use lossy clients."""
    fleet.store.connect = lambda name: LossyClient(fleet.store, name)


def list_authorities(fleet):
    """Return the names of the entries whose leaders have authority."""
    return [
        name
        for name, entry in fleet.entries.items()
        if entry.term is not None and entry.term.has_authority()
    ]


async def watch_authority(fleet, found):
    """Add the moments at which two entries have authority to ``found``."""
    while True:
        names = list_authorities(fleet)
        if len(names) > 1:
            epochs = [fleet.entries[name].term.epoch for name in names]
            found.append((round(clock.now(), 2), names, epochs))
        await asyncio.sleep(SAMPLE_S)


async def write_values(fleet, chance, unwritten):
    """Let the leader write; add writes that count as done and are not to a list."""

    async def write(term, number):
        key = f"value/{term.epoch}/{number}"
        try:
            await term.fenced_writer.commit([Put(key, b"v")])
        except LeadershipLostError:
            return
        if key not in fleet.store.items:
            unwritten.append((round(clock.now(), 2), key))

    number, tasks = 0, []
    while True:
        await asyncio.sleep(chance.uniform(*WRITE_PAUSE_S))
        for entry in fleet.entries.values():
            if entry.term is not None and entry.term.has_authority():
                number += 1
                tasks.append(asyncio.create_task(write(entry.term, number)))


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


@given("{entries:d} entries whose calls to the store get lost and are executed late")
def step_entries(context, entries):
    context.names = [f"e{number}" for number in range(entries)]


@when("losses, cuts and restarts come at random for {seconds:g} s, with seed {seed:d}")
def step_random(context, seconds, seed):
    play_at_random(context, seconds, seed, has_outages=False)


@when("outages, cuts and restarts come at random for {seconds:g} s, with seed {seed:d}")
def step_outages(context, seconds, seed):
    play_at_random(context, seconds, seed, has_outages=True)


def play_at_random(context, seconds, seed, has_outages):
    """Play faults at random times, and note what must not be."""
    chance = random.Random(seed)

    async def run():
        fleet = Fleet(context.names, ())
        fleet.store.checks_leases_first = chance.random() < 0.5
        connect_lossy(fleet)
        context.found, context.unwritten = [], []
        faults = (
            (stop_store, cut_one, restart_cut_off)
            if has_outages
            else (lose, cut, restart)
        )
        pauses = OUTAGE_PAUSES_S if has_outages else LOSS_PAUSES_S
        async with fleet:
            tasks = [
                asyncio.create_task(work)
                for work in (
                    watch_authority(fleet, context.found),
                    write_values(fleet, chance, context.unwritten),
                    *(
                        repeat(fault, fleet, pause)
                        for fault, pause in zip(faults, pauses, strict=True)
                    ),
                )
            ]
            await asyncio.sleep(seconds)
            for task in tasks[2:]:
                task.cancel()
            await asyncio.gather(*tasks[2:], return_exceptions=True)
            for name in context.names:
                if name not in fleet.entries:
                    await fleet.add_entry(name)
            for client in fleet.clients.values():
                client.choose_loss = lambda is_commit: None
            fleet.reconnect_data_centre()
            await asyncio.sleep(REST_S)
            context.leaders = list_authorities(fleet)
            for task in tasks[:2]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def repeat(work, fleet, pause):
        while True:
            await asyncio.sleep(chance.uniform(*pause))
            await work(fleet)

    async def lose(fleet):
        shares, bounds = chance.choice(LOSSES), chance.choice(LATE_S)
        waits = chance.choice([[LATENCY_S], [0.5, 1.0]])

        def choose_loss(is_commit):
            if chance.random() >= shares[is_commit]:
                return None
            is_executed = chance.random() < EXECUTED_SHARE
            late_s = chance.uniform(*bounds) if is_executed else None
            return Loss(chance.choice(waits), late_s)

        count = chance.randint(1, len(context.names))
        clients = chance.sample(sorted(fleet.clients), count)
        for name in clients:
            fleet.clients[name].choose_loss = choose_loss
        await asyncio.sleep(chance.uniform(*EPISODE_S))
        for name in clients:
            fleet.clients[name].choose_loss = lambda is_commit: None

    async def cut(fleet):
        count = chance.randint(1, len(context.names) - 1)
        fleet.partition.entries = frozenset(chance.sample(context.names, count))
        await asyncio.sleep(chance.uniform(*EPISODE_S))
        fleet.reconnect_data_centre()

    async def restart(fleet):
        name = chance.choice(sorted(fleet.entries))
        await fleet.kill(name)
        await asyncio.sleep(chance.uniform(0.0, 1.5))
        await fleet.add_entry(name)
        # Only messages between entries are cut.
        fleet.clients[name].is_cut = False

    async def stop_store(fleet):
        """Let the store serve no entry for a while, and one after the other again."""
        nonlocal is_store_down
        is_store_down = True
        for client in fleet.clients.values():
            client.choose_loss = lambda is_commit: Loss(LATENCY_S, None)
        await asyncio.sleep(chance.uniform(*OUTAGE_S))
        is_store_down = False
        for name in chance.sample(context.names, len(context.names)):
            if name in fleet.clients:
                fleet.clients[name].choose_loss = lambda is_commit: None
            await asyncio.sleep(chance.choice([0.0, chance.uniform(0.0, 3.0)]))

    async def cut_one(fleet):
        fleet.partition.entries = frozenset(chance.sample(context.names, 1))
        await asyncio.sleep(chance.uniform(*CUT_S))
        fleet.reconnect_data_centre()

    async def restart_cut_off(fleet):
        """Restart an entry, which may reach the store again before the others do."""
        name = chance.choice(sorted(fleet.entries))
        if chance.random() < 0.5:
            fleet.partition.entries = frozenset({name})
        await fleet.kill(name)
        await asyncio.sleep(chance.choice([0.0, chance.uniform(0.0, 1.5)]))
        await fleet.add_entry(name)
        fleet.clients[name].is_cut = False
        if is_store_down and chance.random() < 0.5:
            fleet.clients[name].choose_loss = lambda is_commit: Loss(LATENCY_S, None)

    is_store_down = False
    run_virtually(run())


@then("no two entries have authority at a time")
def step_one(context):
    assert not context.found, (len(context.found), context.found[:5])


@then("no write counts as done that the store does not hold")
def step_written(context):
    assert not context.unwritten, context.unwritten


@then("one entry leads in the end")
def step_leads(context):
    assert len(context.leaders) == 1, context.leaders
