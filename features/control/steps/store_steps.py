"""Steps for the store client and the replica."""

import asyncio
from functools import wraps
from types import SimpleNamespace

from behave import given, then, when
from fake_gateway import FakeGateway
from returns.pipeline import is_successful
from returns.result import Failure, Success

from briarshed.documents import (
    AUDIT_PREFIX,
    CONFIGURATION_KEY,
    MEMBERS_KEY,
    encode_document,
    make_empty,
)
from briarshed.exceptions import StoreUnavailableError
from briarshed.settings import StoreSettings
from briarshed_entry import clock
from briarshed_entry.replica import Replica
from briarshed_entry.store import StoreClient

TIMEOUT_MS = 300
SETTINGS = SimpleNamespace(name="entry-1", store=StoreSettings("", TIMEOUT_MS, 60_000))
TEAM = {"share": 1.0, "limit": 4}


def run(step):
    """Run a step on the event loop that owns the scenario's sockets."""

    @wraps(step)
    def run_step(context, **values):
        context.loop.run_until_complete(step(context, **values))

    return run_step


def make_configuration(version):
    empty = make_empty(CONFIGURATION_KEY)
    return {**empty, "version": version, "teams": {"tenors": TEAM}}


@given("a store that holds configuration version 3")
def step_store(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    gateway = context.gateway = FakeGateway()
    context.loop.run_until_complete(gateway.start())
    context.add_cleanup(lambda: context.loop.run_until_complete(gateway.stop()))
    gateway.write(CONFIGURATION_KEY, b"{}")
    gateway.write(CONFIGURATION_KEY, encode_document(make_configuration(3)))
    gateway.write(MEMBERS_KEY, encode_document(make_empty(MEMBERS_KEY)))
    context.clients, context.replicas = [], []
    context.client = open_client(context)


def open_client(context):
    client = StoreClient(SETTINGS.store._replace(url=context.gateway.url))
    context.loop.run_until_complete(client.__aenter__())
    closing = client.__aexit__
    context.add_cleanup(
        lambda: context.loop.run_until_complete(closing(None, None, None))
    )
    return client


@given("a replica of it")
@given("another replica of it")
def step_replica(context):
    replica = Replica(SETTINGS, open_client(context))
    context.loop.run_until_complete(replica.refresh())
    context.replicas.append(replica)


@given("the store is {fault}")
@run
async def step_fault(context, fault):
    gateway = context.gateway
    gateway.fault = "" if fault == "working" else fault
    if fault == "closed":
        await gateway.stop()
    if fault == "late":
        gateway.delay_s = 0.2
    if fault == "changed":
        gateway.write(CONFIGURATION_KEY, encode_document(make_configuration(4)))
    if fault == "guarded":
        context.replicas[0].find_rejection = lambda key: "not a member"


def read_version(context):
    value = context.gateway.read_document(CONFIGURATION_KEY)
    return value["version"]


@when("version 4 is written by compare-and-swap at revision {revision}")
@run
async def step_swap(context, revision):
    current = context.gateway.stored[CONFIGURATION_KEY][1]
    number = {"current": current, "older": current - 1, "0": 0}[revision]
    try:
        context.result = await context.client.compare_and_swap(
            CONFIGURATION_KEY, number, make_configuration(4)
        )
    except StoreUnavailableError:
        context.result = "refused"
    await asyncio.sleep(context.gateway.delay_s if revision == "current" else 0)


@when("version 4 is written by compare-and-swap after the members changed")
@run
async def step_guard(context):
    stored = await context.client.read([CONFIGURATION_KEY, MEMBERS_KEY])
    context.gateway.write(MEMBERS_KEY, encode_document(make_empty(MEMBERS_KEY)))
    context.result = await context.client.compare_and_swap(
        CONFIGURATION_KEY,
        stored[CONFIGURATION_KEY].revision,
        make_configuration(4),
        {MEMBERS_KEY: stored[MEMBERS_KEY].revision},
    )


@then('the compare-and-swap is "{result}" and the store holds version {version:d}')
def step_swapped(context, result, version):
    assert context.result == result, context.result
    assert read_version(context) == version


@then('every read fails within the timeout and says "{message}"')
@run
async def step_reads_fail(context, message):
    client = context.client
    for read in (
        client.poll,
        lambda: client.read([CONFIGURATION_KEY]),
        lambda: client.read_prefix(AUDIT_PREFIX),
    ):
        started_at = clock.now()
        try:
            await read()
            raise AssertionError("the read succeeded")
        except StoreUnavailableError as error:
            assert message in error.message, error.message
        assert clock.now() - started_at < TIMEOUT_MS / 1000 + 0.2


@when("entry-1 keeps its lease alive twice")
@run
async def step_keep(context):
    await context.client.keep_alive("entry-1", b"i1")
    await context.client.keep_alive("entry-1", b"i1")


@when("the lease of entry-1 expires and is kept alive again")
@run
async def step_expire(context):
    context.gateway.leases.clear()
    context.gateway.expire("briarshed/alive/entry-1")
    await context.client.keep_alive("entry-1", b"i1")


@when("entry-1 releases its lease")
@run
async def step_release(context):
    await context.client.release("entry-1")


@then("entry-1 is live and one lease was granted")
@run
async def step_live(context):
    assert (await context.client.read_alive()) == {"entry-1": "i1"}
    assert context.gateway.calls["lease/grant"] == 1


@then("entry-1 is live and 2 leases were granted")
@run
async def step_live_again(context):
    assert (await context.client.read_alive()) == {"entry-1": "i1"}
    assert context.gateway.calls["lease/grant"] == 2


@then("no entry is live")
@run
async def step_nobody(context):
    assert (await context.client.read_alive()) == {}


def add_team(name):
    """Return a change that raises a team's limit, so that a repeat is visible."""

    def apply(document):
        limit = document["teams"].get(name, {"limit": 0})["limit"] + 1
        teams = {**document["teams"], name: {"share": 1.0, "limit": limit}}
        return Success({**document, "teams": teams})

    return apply


def remove_tenors(document):
    if "tenors" not in document["teams"]:
        return Failure("no such team")
    return Success({**document, "teams": {}})


@when("a change is made")
@run
async def step_change(context):
    replica = context.replicas[0]
    context.results = [await replica.change(CONFIGURATION_KEY, add_team("x"), "c-1")]
    await asyncio.sleep(context.gateway.delay_s if context.gateway.late else 0)


@then('the change is "{result}" and the store holds it {times:d} times')
def step_changed(context, result, times):
    (changed,) = context.results
    if result == "made":
        assert is_successful(changed), changed
    else:
        assert result in changed.failure(), changed
    document = context.gateway.read_document(CONFIGURATION_KEY)
    assert document["teams"].get("x", {"limit": 0})["limit"] == times, document
    assert [change["id"] for change in document["changes"]].count("c-1") == times


@when("both change the configuration concurrently")
@run
async def step_race(context):
    await race(context, add_team("x"), add_team("x"))


@when("both remove the same team concurrently")
@run
async def step_race_removal(context):
    await race(context, remove_tenors, remove_tenors)


async def race(context, *changes):
    context.results = await asyncio.gather(
        *(
            replica.change(CONFIGURATION_KEY, apply, f"c-{number}")
            for number, (replica, apply) in enumerate(
                zip(context.replicas, changes, strict=True)
            )
        )
    )


@then("both changes are in the audit trail under different versions")
def step_both(context):
    assert all(is_successful(result) for result in context.results), context.results
    document = context.gateway.read_document(CONFIGURATION_KEY)
    assert sorted(change["id"] for change in document["changes"]) == ["c-0", "c-1"]
    assert [change["version"] for change in document["changes"]] == [4, 5]
    assert document["teams"]["x"]["limit"] == 2


@then('one is made and the other is refused with "{reason}"')
def step_one(context, reason):
    refused = [item for item in context.results if not is_successful(item)]
    assert [item.failure() for item in refused] == [reason], context.results


@when("{count:d} changes are made")
@run
async def step_many(context, count):
    for number in range(count):
        change = context.replicas[0].change
        result = await change(CONFIGURATION_KEY, add_team("x"), f"c-{number}")
        assert is_successful(result), result


@then(
    "the document holds {stored:d} changes and {moved:d} are in the audit trail's keys"
)
@run
async def step_trimmed(context, stored, moved):
    document = context.gateway.read_document(CONFIGURATION_KEY)
    assert len(document["changes"]) == stored
    found = await context.client.read_prefix(f"{AUDIT_PREFIX}configuration/")
    assert [key.rpartition("/")[2] for key in found] == [
        f"c-{number}" for number in range(moved)
    ], found


@when("version {version:d} arrives from {source}")
@run
async def step_arrive(context, version, source):
    replica, gateway = context.replicas[0], context.gateway
    document = make_configuration(version)
    before = replica.get_stored(CONFIGURATION_KEY).revision
    context.read_at = replica.read_at
    if source == "a peer":
        replica.offer(CONFIGURATION_KEY, document, before + version - 3)
    if source == "a stale read":
        old = (encode_document(document), before - 1, "")
        gateway.stored[CONFIGURATION_KEY] = old
    if source in ("the store", "a store that lost version 3"):
        gateway.write(CONFIGURATION_KEY, encode_document(document))
    await asyncio.sleep(0.01)
    await replica.refresh()


@then("the replica holds version {held:d} and its copy is {current}")
def step_held(context, held, current):
    replica = context.replicas[0]
    assert replica.configuration["version"] == held
    confirmed = replica.read_at > context.read_at
    assert confirmed == (current == "current"), current


@when("the members and then, between two reads, the configuration change")
@run
async def step_between(context):
    gateway = context.gateway
    members = {**make_empty(MEMBERS_KEY), "version": 9}
    gateway.write(MEMBERS_KEY, encode_document(members))
    configuration = encode_document(make_configuration(4))
    gateway.after_call = lambda: gateway.write(CONFIGURATION_KEY, configuration)
    await context.replicas[0].refresh()


@then("the replica holds both changes")
def step_holds_both(context):
    replica = context.replicas[0]
    assert replica.members["version"] == 9
    assert replica.configuration["version"] == 4
