"""Steps for the store client and the fenced writer, against a stand-in."""

import asyncio
import base64
import time

from behave import given, then, when

from briarshed_platform.directory import PlatformDirectory
from briarshed_platform.http_client import HttpClient
from briarshed_platform.store import PlatformStore
from briarshed_platform_standins._server import Faults
from briarshed_platform_standins.store import StoreStandin
from briarshed_workloads.fenced_writer import FencedWriter, LeadershipLostError
from briarshed_workloads.interfaces import (
    Committed,
    Conflicted,
    HistoryLostError,
    LeaseEnded,
    NotExecutedError,
    OutcomeUnknownError,
    Put,
)
from briarshed_workloads.leadership import acquire
from briarshed_workloads.records import LEADER, EntryRecord, TermRecord

ME = EntryRecord("entry-1", "i1", "127.0.0.1:1")
OTHER = EntryRecord("entry-2", "i2", "127.0.0.1:2")


def run_with_standin(context, work):
    """Run a coroutine function with a new store stand-in and client."""

    async def run():
        async with StoreStandin() as standin, HttpClient() as client:
            for key, value in getattr(context, "items", {}).items():
                standin.put(key, base64.b64encode(value).decode())
            return await work(standin, PlatformStore(client, standin.address))

    return asyncio.run(run())


@given("a store")
def step_store(context):
    context.items = {}


@given('a store with {count:d} items under "many/"')
def step_many(context, count):
    context.items = {f"many/{number:05}": b"x" for number in range(count)}


@when('"a" is written under the condition that it is absent')
def step_write_absent(context):
    async def work(_, store):
        outcomes = []
        for value in (b"first", b"second"):
            outcomes.append(await store.commit([("a", 0)], [Put("a", value)]))
        return outcomes, await store.read("a")

    if not hasattr(context, "outcomes"):
        context.outcomes, context.item = run_with_standin(context, work)
        context.outcome = context.outcomes[0]
    else:
        context.outcome = context.outcomes[1]


@then("the transaction is committed")
def step_committed(context):
    assert isinstance(context.outcome, Committed)


@then("the transaction conflicts and returns the current item")
def step_conflicts(context):
    assert isinstance(context.outcome, Conflicted)
    assert context.outcome.items["a"].value == b"first"


@then('the item "a" has its first value')
def step_first_value(context):
    assert context.item.value == b"first"


@when('the fault "{fault}" is set and a key is read')
def step_fault(context, fault):
    async def work(standin, store):
        standin.faults = Faults(down=fault)
        started_at = time.monotonic()
        try:
            await store.read("a")
        except (NotExecutedError, OutcomeUnknownError) as error:
            return type(error), time.monotonic() - started_at
        return None, 0.0

    context.error, context.seconds = run_with_standin(context, work)


@then('the call ends with "{name}" within {seconds:g} s')
def step_error(context, name, seconds):
    kinds = {row.__name__: row for row in (NotExecutedError, OutcomeUnknownError)}
    assert context.error is not None
    assert issubclass(context.error, kinds[name]), context.error
    assert context.seconds < seconds, context.seconds


@when("an item is written under a lease that has ended")
def step_ended_lease(context):
    async def work(standin, store):
        lease = await store.grant_lease(5.0)
        standin.expire(lease)
        outcome = await store.commit([], [Put("a", b"x", lease)])
        return outcome, await store.renew_lease(lease)

    context.outcome, context.renewed = run_with_standin(context, work)


@then("the outcome is that the lease has ended")
def step_lease_ended(context):
    assert isinstance(context.outcome, LeaseEnded)


@then("renewing it reports that it has ended")
def step_not_renewed(context):
    assert context.renewed is False


@then("all {count:d} items are read")
def step_all_read(context, count):
    async def work(_, store):
        return await store.read_all("many/")

    assert len(run_with_standin(context, work).items) == count


@when('a watch after the current revision waits and "op/config" is written')
def step_watch(context):
    async def work(standin, store):
        old = standin.revision
        watch = asyncio.create_task(store.watch("op/", old, 5.0))
        await asyncio.sleep(0.1)
        written_at = time.monotonic()
        standin.put("op/config", "e30=")
        seen = await watch
        context.delay = time.monotonic() - written_at
        standin.compact()
        try:
            await store.watch("op/", old, 0.1)
        except HistoryLostError:
            return seen, True
        return seen, False

    context.seen, context.is_lost = run_with_standin(context, work)


@then("the watch returns the change within 0.5 s")
def step_returned(context):
    assert [item.key for item in context.seen.changed] == ["op/config"]
    assert context.delay < 0.5


@when("the history is compacted")
def step_dropped(context):
    assert context.seen


@then("the next watch after an old revision reports that the history is lost")
def step_lost(context):
    assert context.is_lost


@given("the operator's configuration was written")
def step_configured(context):
    context.items = {"op/config": b'{"version":1}'}


@when("a watch responds without the change but with a later revision")
def step_missed_change(context):
    async def work(standin, store):
        directory = PlatformDirectory(store)
        before = await directory.read_orders()
        standin.put("elsewhere", "e30=")
        return before, await directory.watch_orders(before.revision, 0.05)

    context.before, context.after = run_with_standin(context, work)


@then("the next watch starts after the last change that was received")
def step_begins_after(context):
    assert context.after.revision == context.before.revision


@given("a store with a leader's fenced writer")
def step_journal(context):
    context.items = {}


async def start_term(store, entry):
    """Start a term of an entry."""
    term = await acquire(store, entry, lambda: False)
    assert term is not None
    return term


@when("the response to a commit is lost and the change is applied {when}")
def step_lost_answer(context, when):
    late = 0.0 if when == "at once" else 1.5

    async def work(standin, store):
        term = await start_term(store, ME)
        standin.faults = Faults(lost=1.0, late=late)
        commit = asyncio.create_task(term.fenced_writer.commit([Put("a", b"1")]))
        await asyncio.sleep(0.2)
        standin.faults = Faults()
        await commit
        await term.fenced_writer.commit([Put("a", b"2")])
        await asyncio.sleep(late)
        return term.fenced_writer, await store.read("a")

    context.fenced_writer, context.item = run_with_standin(context, work)


@then("the fenced writer finds that the change was applied once")
def step_once(context):
    assert context.fenced_writer.term.writes == 2


@then("a later commit replaces the earlier one")
def step_later_stands(context):
    assert context.item.value == b"2"


@when("another leader starts its term")
def step_other(context):
    async def work(standin, store):
        first = await start_term(store, ME)
        standin.expire(standin.items[LEADER]["lease"])
        second = await start_term(store, OTHER)
        try:
            await first.fenced_writer.commit([Put("a", b"1")])
        except LeadershipLostError:
            return second, True, await store.read("a")
        return second, False, await store.read("a")

    context.second, context.is_deposed, context.item = run_with_standin(context, work)


@then("the first leader's commit fails with lost leadership")
def step_deposed(context):
    assert context.is_deposed
    assert context.second.epoch == 2
    assert isinstance(context.second.fenced_writer, FencedWriter)
    term = context.second.fenced_writer.term
    assert term.attempt
    assert term == TermRecord(2, "entry-2/i2", 0, term.attempt)


@then("nothing of it was written")
def step_nothing_written(context):
    assert context.item is None
