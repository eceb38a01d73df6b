"""Steps for elections between entries that share a fake store."""

import asyncio
import json
from types import SimpleNamespace

from behave import given, then, when
from lost_response_steps import watch_authority
from virtual_fleet import Fleet
from virtual_time import run_virtually
from wave_takeover_steps import OPTIONS

from briarshed_entry import clock
from briarshed_platform.directory import PlatformDirectory
from briarshed_workloads.consent import PROMISE_TTL_S, PeerView, choose_members
from briarshed_workloads.engine import Engine
from briarshed_workloads.entry import Entry, LeaderView
from briarshed_workloads.interfaces import Committed, Conflicted, Item
from briarshed_workloads.leadership import LeaderTerm, acquire
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.records import (
    LEADER,
    MEMBERS,
    TERM,
    EntryRecord,
    MembersRecord,
    TermRecord,
    encode,
)
from briarshed_workloads.transport import EntryHeartbeat, LeaderHeartbeat
from briarshed_workloads.workloads import Description, Submission

CALL_S = 0.004
WEAK_CORES, WEAK_MBPS = 0.5, 10.0
RUN_LEASE_S = 4.0


class Store:
    """A store of the leader item and the term that responds after `CALL_S`."""

    def __init__(self):
        self.answered_at = clock.now()
        leader = encode(EntryRecord("gone", "i", "127.0.0.1:9"))
        self.items = {LEADER: Item(LEADER, leader, 1, 1)}
        self.revision = 1
        self.grants = 0

    async def read(self, key):
        """Return an item."""
        await asyncio.sleep(CALL_S)
        return self.items.get(key)

    async def grant_lease(self, ttl):
        """Return a lease."""
        await asyncio.sleep(CALL_S)
        self.grants += 1
        return 1

    async def commit(self, conditions, puts, removals=(), timeout=1.0):
        """Write all items if the conditions hold, else none."""
        await asyncio.sleep(CALL_S)
        for key, revision in conditions:
            known = self.items.get(key)
            if (known.revision if known else 0) != revision:
                return Conflicted({})
        self.revision += 1
        for put in puts:
            self.items[put.key] = Item(put.key, put.value, self.revision, 1)
        return Committed(self.revision)


def make_entry(store, name="e", cores=4.0, mbps=1000.0):
    """Return an entry with a configuration that is not started."""
    options = OPTIONS._replace(
        name=name, peers="127.0.0.1:0", cores=cores, link_mbps=mbps
    )
    entry = Entry(options, store, None, None, PlatformDirectory(store))
    entry._transport = SimpleNamespace(send=lambda *_: None)
    entry.apply_configuration(json.dumps({"version": 1}).encode(), "test")
    return entry


@given("{weak:d} weak entries and {strong:d} strong entries in an election")
def step_entries(context, weak, strong):
    context.counts = weak, strong


@when("the leadership becomes vacant after 0.5 s")
def step_vacant(context):
    async def run():
        store = Store()
        weak, strong = context.counts
        entries = [
            make_entry(store, f"weak-{number}", WEAK_CORES, WEAK_MBPS)
            for number in range(weak)
        ]
        entries += [make_entry(store, f"strong-{number}") for number in range(strong)]
        taken = asyncio.get_running_loop().create_future()

        def lead_as(name):
            async def lead(term):
                if not taken.done():
                    taken.set_result((name, clock.now()))
                await asyncio.sleep(60)

            return lead

        tasks = []
        for number, entry in enumerate(entries):
            entry._lead = lead_as(entry.options.name)
            await asyncio.sleep(0.5 / len(entries) if number else 0)
            tasks.append(asyncio.create_task(entry._elect()))
        # The strong entries have just read the leader item.
        await asyncio.sleep(5 * CALL_S)
        vacant_at = clock.now()
        del store.items[LEADER]
        async with asyncio.timeout(5):
            name, at = await taken
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert TERM in store.items
        return name, at - vacant_at

    context.name, context.seconds = asyncio.run(run())


@when("all find at the same time that the leadership is vacant")
def step_vacant_for_all(context):
    async def run():
        store = Store()
        names = tuple(f"weak-{number}" for number in range(context.counts[0]))
        store.items[MEMBERS] = Item(MEMBERS, encode(MembersRecord(names)), 1, 1)
        del store.items[LEADER]
        entries = [make_entry(store, name, WEAK_CORES, WEAK_MBPS) for name in names]
        taken = asyncio.get_running_loop().create_future()

        async def lead(term):
            if not taken.done():
                taken.set_result(clock.now())
            await asyncio.sleep(60)

        # An entry that has just started may be bound by an earlier promise.
        await asyncio.sleep(PROMISE_TTL_S)
        vacant_at = clock.now()
        for entry in entries:
            entry._lead = lead
        tasks = [asyncio.create_task(entry._elect()) for entry in entries]
        async with asyncio.timeout(5):
            at = await taken
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return store.grants, at - vacant_at

    context.grants, context.seconds = run_virtually(run())


@then("at most {count:d} of them have written to the store")
def step_attempts(context, count):
    assert context.grants <= count, context.grants


@then("a strong entry becomes leader within {bound:g} s")
def step_strong(context, bound):
    assert context.name.startswith("strong"), context.name
    assert context.seconds < bound, context.seconds


@then("an entry becomes leader within {bound:g} s")
def step_any(context, bound):
    assert context.seconds < bound, context.seconds


@given("an entry whose store last responded {seconds:g} s ago")
def step_entry(context, seconds):
    context.entry = make_entry(SimpleNamespace(answered_at=clock.now() - seconds))


@given("a leader heartbeat {age:g} s old, {authority} authority, its store {store}")
def step_leader(context, age, authority, store):
    heartbeat = LeaderHeartbeat(
        "l", 3, authority == "with", store == "failing", False, 1, {}
    )
    context.entry.leader = LeaderView("127.0.0.1:9", heartbeat, clock.now() - age)


@then("the entry is {verdict}")
def step_ready(context, verdict):
    assert context.entry.is_ready() == (verdict == "ready")


@when("a caller submits a job with a deadline of 3 s")
def step_submit(context):
    async def run():
        job = Submission("00000000000000aa", "q", "p", "", 0.0, Description("", ()))
        started_at = clock.now()
        reply = await context.entry.forwarder.submit(job, 3.0)
        return reply.outcome, clock.now() - started_at

    context.outcome, context.seconds = asyncio.run(run())


@then("it is refused after {least:g} to {most:g} s")
def step_refused(context, least, most):
    assert context.outcome == "refused"
    assert least <= context.seconds <= most, context.seconds


@given("an entry that {consent}")
def step_consent(context, consent):
    context.has_consented = consent.startswith("has just reported")


@when("it finds the leadership vacant")
def step_finds(context):
    async def run():
        store = Store()
        del store.items[LEADER]
        entry = make_entry(store)
        if context.has_consented:
            store.answered_at = clock.now() - 5.0
            leader = LeaderHeartbeat("l", 3, False, True, False, 1, {})
            entry.leader = LeaderView("127.0.0.1:9", leader, clock.now())
        entry._make_entry_heartbeat()
        found_at = clock.now()
        term = None
        while term is None:
            term = await entry._try_to_lead()
        return found_at, term

    context.found_at, context.term = asyncio.run(run())


@then("runs of the earlier leader may continue until {seconds:g} s after that")
def step_earlier_runs(context, seconds):
    engine = Engine(
        2, LeaseTimes(RUN_LEASE_S, RUN_LEASE_S, RUN_LEASE_S), lambda *_, **__: None
    )
    engine.earlier.note_term_end(context.term.vacant_at)
    until = engine.earlier.runs_until - context.found_at
    assert abs(until - seconds) < 0.4, until


def note_heartbeat(entry, name, age, store):
    """Give an entry a heartbeat of another one that came ``age`` s ago."""
    store_age = 5.0 if store == "without" else 0.0
    sent_at = clock.now() - age
    heartbeat = EntryHeartbeat(name, "i", 1, store_age, False)
    entry._peers[name] = PeerView(
        heartbeat, sent_at, sent_at if store == "without" else 0.0
    )


@given("a leader that got a heartbeat of one member {age:g} s ago, {store} the store")
def step_leader_heartbeat(context, age, store):
    context.entry = make_entry(SimpleNamespace(answered_at=clock.now()))
    context.entry.term = SimpleNamespace(members=frozenset({"e", "one", "other"}))
    note_heartbeat(context.entry, "one", age, store)


@given("another member whose name a process with the store uses as well")
def step_name_used_twice(context):
    entry, now = context.entry, clock.now()
    for address, age, consented_at in (("1", 0.1, 0.0), ("2", 0.0, now)):
        heartbeat = EntryHeartbeat("other", address, 1, 0.0, False)
        entry._peers[address] = PeerView(heartbeat, now - age, consented_at)


@given("another member whose last heartbeat came {age:g} s ago, {store} the store")
def step_other_heartbeat(context, age, store):
    note_heartbeat(context.entry, "other", age, store)


@given("another member that {state}")
def step_other_member(context, state):
    entry, now = context.entry, clock.now()
    if state == "has never been heard":
        return
    if state == "was removed, and was silent for 6 s":
        entry.term.members -= {"other"}
        note_heartbeat(entry, "other", 6.0, "with")
    if state == "restarted while the store failed":
        heartbeat = EntryHeartbeat("other", "j", 1, 5.0, False)
        entry._peers["other"] = PeerView(heartbeat, now, now, now)


@when("the leader's lease was last confirmed {seconds:g} s ago")
def step_store_failed(context, seconds):
    context.consent = context.entry.measure_consent(clock.now() - seconds)


@then("the leader {verdict}")
def step_continues(context, verdict):
    assert (context.consent > 0) == (verdict == "continues")


def read_names(text):
    """Return the names in a list."""
    return frozenset(text.split(", ")) if text != "none yet" else None


@given("a store whose members are {members}")
def step_members(context, members):
    names, _, context.meanwhile = members.partition(", which ")
    context.record = None
    if names == "unreadable":
        context.record = b"?"
    elif names != "not recorded":
        context.record = encode(MembersRecord(tuple(read_names(names))))


@when('entry "e" finds the leadership vacant, and again {seconds:g} s later')
def step_vacant_again(context, seconds):
    async def run():
        store = Store()
        del store.items[LEADER]
        if context.record is not None:
            store.items[MEMBERS] = Item(MEMBERS, context.record, 1, 1)
        entry = EntryRecord("e", "i", "127.0.0.1:1")
        read = store.read

        def start_term():
            store.items[TERM] = Item(TERM, encode(TermRecord(1, "f", 0)), 2, 2)

        async def read_before_term(key):
            item = await read(key)
            if key == LEADER:
                start_term()
            return item

        if context.meanwhile == "led from just after that":
            store.read = read_before_term
        outcome = None
        for _ in range(2):
            outcome = await acquire(store, entry, lambda _: 0.0, outcome)
            context.decided_at = clock.now()
            if isinstance(outcome, LeaderTerm):
                break
            await asyncio.sleep(seconds)
            if context.meanwhile == "led meanwhile":
                start_term()
        context.outcome = outcome

    run_virtually(run())


@then("it leads alone")
def step_leads(context):
    assert isinstance(context.outcome, LeaderTerm), context.outcome
    assert context.outcome.earlier_leader_until <= context.decided_at


@then("it leads, and an earlier leader may go on for {seconds:g} s")
def step_leads_beside(context, seconds):
    assert isinstance(context.outcome, LeaderTerm), context.outcome
    left = context.outcome.earlier_leader_until - context.decided_at
    assert abs(left - seconds) < 0.1, left


@then("it waits")
def step_waits(context):
    assert not isinstance(context.outcome, LeaderTerm), context.outcome


@given("a leader with the members {members}")
def step_leader_members(context, members):
    context.members = read_names(members)


@when('entry "f" {state}')
def step_member_state(context, state):
    now = 100.0
    led_since = now - 5.0 if state.startswith("has been silent") else 0.0
    heard_at, sent_at = now - 0.2, 1.0
    if state.endswith("s ago"):
        heard_at = now - float(state.split()[-3])
    elif "record only" in state:
        sent_at = 0.0
    elif state.startswith("has been silent"):
        heard_at = 0.0
    is_stopping = state == "says that it stops"
    heartbeat = EntryHeartbeat("f", "i", 1, 0.0, is_stopping, sent_at=sent_at)
    views = [PeerView(heartbeat, heard_at)]
    context.chosen = choose_members(context.members, views, "e", led_since, now)


@then("the members should be {expected}")
def step_chosen(context, expected):
    assert context.chosen == read_names(expected), context.chosen


@given("a follower of a leader of epoch {epoch:d}")
def step_heard(context, epoch):
    context.entry = make_entry(SimpleNamespace(answered_at=0.0))
    heartbeat = LeaderHeartbeat("l", epoch, True, False, False, 1, {})
    context.entry._handle("127.0.0.1:9", heartbeat)
    # It has led itself since, and has forgotten the leader before.
    context.entry.leader = None


@when("a leader of epoch {epoch:d} whose store fails sends it a heartbeat")
def step_earlier_leader(context, epoch):
    heartbeat = LeaderHeartbeat("m", epoch, False, True, False, 1, {})
    context.entry._handle("127.0.0.1:8", heartbeat)


@then("it follows no leader of epoch {epoch:d}")
def step_not_followed(context, epoch):
    assert context.entry.leader is None, context.entry.leader
    assert context.entry._make_entry_heartbeat().store_age == 0.0


@given("{entries:d} entries, of which one leads")
def step_fleet(context, entries):
    context.names = [f"e{number}" for number in range(entries)]


@when("the leader stops as planned")
def step_stops(context):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await fleet.wait_for_leader()
            await asyncio.sleep(1.0)
            context.before = MEMBERS in fleet.store.items
            await leader.resign()
            context.after = MEMBERS in fleet.store.items
            await fleet.kill(leader.options.name)
            await fleet.wait_for_leader()
            await asyncio.sleep(1.0)
            context.later = MEMBERS in fleet.store.items

    run_virtually(run())


@then("there is no record of members until the next leader has written it")
def step_no_record(context):
    assert (context.before, context.after, context.later) == (True, False, True)


@when("{seconds:g} s pass on its clock")
def step_promise_passes(context, seconds):
    entry = make_entry(SimpleNamespace(answered_at=clock.now() - 5.0))
    leader = LeaderHeartbeat("l", 3, False, True, False, 1, {})
    entry.leader = LeaderView("127.0.0.1:9", leader, clock.now())
    assert entry._make_entry_heartbeat().store_age > 0
    entry._consented_at -= seconds
    context.may_lead = entry._may_lead()


@then("it {verdict} try to lead")
def step_may_lead(context, verdict):
    assert context.may_lead == (verdict == "may")


@when(
    "the store fails for {outage:g} s, and a member starts again, cut off, after"
    " {seconds:g} s"
)
def step_member_restarts(context, outage, seconds):
    async def run():
        context.found = []
        async with Fleet(context.names) as fleet:
            leader = await fleet.wait_for_leader()
            await asyncio.sleep(1.0)
            for client in fleet.clients.values():
                client.is_cut = True
            await asyncio.sleep(outage)
            assert leader.term.has_authority()
            watching = asyncio.create_task(watch_authority(fleet, context.found))
            name = next(name for name in context.names if name != leader.options.name)
            fleet.partition.entries = frozenset({name})
            await fleet.kill(name)
            await asyncio.sleep(seconds)
            await fleet.add_entry(name)
            fleet.clients[name].is_cut = False
            await asyncio.sleep(3.0)
            context.member_leads = fleet.entries[name].term is not None
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)

    run_virtually(run())


@then("the member leads within 3 s")
def step_member_leads(context):
    assert context.member_leads
