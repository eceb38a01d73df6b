"""Steps for coordinators that communicate over loopback."""

import asyncio
import socket
from contextlib import AsyncExitStack
from types import SimpleNamespace

import msgspec
import zmq
import zmq.asyncio
from behave import given, step, then, when
from fake_gateway import FakeGateway
from returns.pipeline import is_successful
from returns.result import Success
from store_steps import run

from briarshed.documents import (
    CONFIGURATION_KEY,
    GRANTS_KEY,
    MEMBERS_KEY,
    encode_document,
    make_empty,
)
from briarshed.membership import remove_member
from briarshed.settings import (
    CallersSettings,
    OperatorsSettings,
    PeersSettings,
    Settings,
    StoreSettings,
    TimingSettings,
)
from briarshed_entry.clock import now
from briarshed_entry.coordinator import Coordinator
from briarshed_entry.peers import Ping
from briarshed_entry.replica import Replica
from briarshed_entry.store import StoreClient

TIMING = TimingSettings(600, 500, 10_000, 100, 1_000, 100)
KEY_PAIRS = 4
TEAM = "tenors"
LIMIT = 20


def open_cluster(context):
    """Start a fake store with one team and generate key pairs for the entries."""
    if hasattr(context, "cluster"):
        return
    loop = context.loop = asyncio.new_event_loop()
    context.add_cleanup(loop.close)
    gateway = context.gateway = FakeGateway()
    gateway.delay_s = 0.2
    loop.run_until_complete(gateway.start())
    team = {TEAM: {"share": 1.0, "limit": LIMIT}}
    document = {**make_empty(CONFIGURATION_KEY), "version": 1, "teams": team}
    gateway.write(CONFIGURATION_KEY, encode_document(document))
    pairs = [zmq.curve_keypair() for _ in range(KEY_PAIRS)]
    context.keys = [(public.decode(), secret.decode()) for public, secret in pairs]
    context.cluster, context.max_granted = [], 0

    async def close():
        for entry in context.cluster:
            await entry.stack.aclose()
        await gateway.stop()

    context.add_cleanup(lambda: loop.run_until_complete(close()))


def choose_port():
    with socket.socket() as chosen:
        chosen.bind(("127.0.0.1", 0))
        return chosen.getsockname()[1]


def make_settings(context, number):
    names = [*(f"entry-{index}" for index in range(KEY_PAIRS - 1)), "tester"]
    allowed = {
        name: public for name, (public, _) in zip(names, context.keys, strict=True)
    }
    address = f"127.0.0.1:{choose_port()}"
    return Settings(
        names[number],
        "dc1",
        CallersSettings("127.0.0.1:1"),
        OperatorsSettings("127.0.0.1:1", {}),
        PeersSettings(address, *context.keys[number], allowed),
        StoreSettings(context.gateway.url, 200, 100, 1_000),
        timing=TIMING,
    )


async def start_entry(context, number):
    settings = make_settings(context, number)
    stack = AsyncExitStack()
    store = await stack.enter_async_context(StoreClient(settings.store))
    replica = await stack.enter_async_context(Replica(settings, store))
    coordinator = await stack.enter_async_context(Coordinator(settings, replica, store))
    entry = SimpleNamespace(
        settings=settings,
        stack=stack,
        store=store,
        replica=replica,
        coordinator=coordinator,
    )
    context.cluster.append(entry)


async def wait_until(check, seconds):
    """Wait for a check to return True; fail with the last value it returned."""
    end = now() + seconds
    while (found := check()) is not True:
        assert now() < end, found
        await asyncio.sleep(0.02)


def get_entry(context, name):
    return context.cluster[int(name.rpartition("-")[2])]


def read_rows(context):
    if GRANTS_KEY not in context.gateway.stored:
        return {}
    return context.gateway.read_document(GRANTS_KEY)["rows"].get(TEAM, {})


def read_members(context):
    return context.gateway.read_document(MEMBERS_KEY)["members"]


@given('the store fails with "{fault}"')
@when('the store fails with "{fault}"')
def step_fail(context, fault):
    open_cluster(context)
    context.gateway.fault = fault


@when("the store recovers")
def step_work(context):
    context.gateway.fault = ""


@given("{count:d} entries")
@given("{count:d} more entries")
def step_entries(context, count):
    open_cluster(context)

    async def start():
        for _ in range(count):
            await start_entry(context, len(context.cluster))
        if context.gateway.fault or count == 1:
            return
        for entry in context.cluster:
            await wait_until(
                lambda coordinator=entry.coordinator: (
                    coordinator.find_readiness() or coordinator.list_blockers() or True
                ),
                3,
            )

    context.loop.run_until_complete(start())


@given('a member "offline" that never answers')
def step_ghost(context):
    document = context.gateway.read_document(MEMBERS_KEY)
    offline_member = {
        "incarnation": "i",
        "address": f"127.0.0.1:{choose_port()}",
        "data_centre": "dc1",
        "operators": "",
    }
    document["members"]["offline"] = offline_member
    document["version"] += 1
    context.gateway.write(MEMBERS_KEY, encode_document(document))
    context.gateway.write("briarshed/alive/offline", b"i")


@step("{seconds:g} s pass")
@run
async def step_pass(context, seconds):
    await asyncio.sleep(seconds)


@then('{name} is not ready because "{reason}"')
@run
async def step_not_ready(context, name, reason):
    assert reason in get_entry(context, name).coordinator.find_readiness()


@then('{name} may not start a job of tenors because of "{reason}"')
def step_may_not(context, name, reason):
    assert get_entry(context, name).coordinator.may_start(TEAM) == reason


@then("{name} may start a job without a key")
def step_may(context, name):
    assert get_entry(context, name).coordinator.may_start(None) == ""


@then("within {seconds:g} s {name} is ready")
@run
async def step_ready(context, seconds, name):
    coordinator = get_entry(context, name).coordinator
    await wait_until(lambda: coordinator.find_readiness() or True, seconds)


@then("the members list entry-0 once")
def step_listed(context):
    (member,) = read_members(context).values()
    assert f"entry-0/{member['incarnation']}" == context.cluster[0].coordinator.owner
    assert context.gateway.read_document(MEMBERS_KEY)["departed"] == {}


async def set_limit(context, name, limit):
    def apply(document):
        teams = {**document["teams"], TEAM: {"share": 1.0, "limit": limit}}
        return Success({**document, "teams": teams})

    change_id = f"c-{limit}"
    return await get_entry(context, name).replica.change(
        CONFIGURATION_KEY, apply, change_id
    )


@when("{name} sets the limit of tenors to {limit:d}")
@run
async def step_limit(context, name, limit):
    result = await set_limit(context, name, limit)
    assert is_successful(result), result
    context.acceptor, context.version = name, result.unwrap().value["version"]


@then("within {seconds:g} s the change is in force at every entry")
@run
async def step_in_force(context, seconds):
    coordinator = get_entry(context, context.acceptor).coordinator
    waiting = await coordinator.wait_in_force(
        CONFIGURATION_KEY, context.version, seconds
    )
    assert waiting == [], waiting


@then("every entry has the change")
def step_hold(context):
    held = [entry.replica.configuration["version"] for entry in context.cluster]
    assert set(held) == {context.version}, held


@then('every entry has "{reason}"')
def step_all_authority(context, reason):
    found = [entry.coordinator.find_authority() for entry in context.cluster]
    assert all(item == (True, reason) for item in found), found


@then('within {seconds:g} s {name} has "{reason}"')
@run
async def step_authority(context, seconds, name, reason):
    coordinator = get_entry(context, name).coordinator
    await wait_until(
        lambda: (
            coordinator.find_authority() == (True, reason)
            or coordinator.find_authority()
        ),
        seconds,
    )


@then('a change is refused because "{reason}"')
@run
async def step_refused(context, reason):
    result = await set_limit(context, "entry-0", 9)
    assert not is_successful(result) and reason in result.failure(), result


@then('a change by {name} is refused because "{reason}"')
@run
async def step_refused_by(context, name, reason):
    result = await set_limit(context, name, 9)
    assert not is_successful(result) and reason in result.failure(), result


@then("a change by {name} is accepted")
@run
async def step_accepted(context, name):
    result = await set_limit(context, name, 9)
    assert is_successful(result), result


@when("{name} is killed")
@run
async def step_kill(context, name):
    entry = get_entry(context, name)
    context.departed_owner = entry.coordinator.owner
    await entry.stack.aclose()


@when("{name} loses its connection to the store")
def step_cut(context, name):
    store = get_entry(context, name).store
    store._settings = store._settings._replace(url="http://127.0.0.1:9")


@when("its lease expires")
def step_expire(context):
    context.gateway.expire(
        f"briarshed/alive/{context.departed_owner.partition('/')[0]}"
    )


@then("within {seconds:g} s the members do not list {name}")
@run
async def step_removed(context, seconds, name):
    await wait_until(lambda: name not in read_members(context), seconds)
    assert (
        context.departed_owner in context.gateway.read_document(MEMBERS_KEY)["departed"]
    )


@then("its grants are still held")
def step_still(context):
    assert read_rows(context)[context.departed_owner] > 0


@then("within {seconds:g} s its grants are freed")
@run
async def step_freed(context, seconds):
    await wait_until(lambda: context.departed_owner not in read_rows(context), seconds)


@when("the liveness key of {name} holds {incarnation}")
def step_rename(context, name, incarnation):
    own = get_entry(context, name).coordinator.owner.partition("/")[2]
    value = "other" if incarnation == "another incarnation" else own
    context.gateway.write(f"briarshed/alive/{name}", value.encode())


@then("within {seconds:g} s {name} considers {other} {state}")
@run
async def step_taken(context, seconds, name, other, state):
    coordinator, owner = (
        get_entry(context, name).coordinator,
        get_entry(context, other).coordinator.owner,
    )
    wanted = state == "missing"
    await wait_until(lambda: (owner in coordinator._missing_since) == wanted, seconds)


@when("another entry removes {name}")
def step_remove(context, name):
    context.departed_owner = get_entry(context, name).coordinator.owner
    document = remove_member(context.gateway.read_document(MEMBERS_KEY), name, 0.0)
    document = {**document, "version": document["version"] + 1}
    context.gateway.write(MEMBERS_KEY, encode_document(document))


@then("within {seconds:g} s {name} is listed under a new incarnation")
@run
async def step_new(context, seconds, name):
    def check():
        member = read_members(context).get(name)
        return (
            member is not None
            and f"{name}/{member['incarnation']}" != context.departed_owner
        )

    await wait_until(check, seconds)


@given("within {seconds:g} s every entry holds a grant")
@run
async def step_granted(context, seconds):
    owners = {entry.coordinator.owner for entry in context.cluster}
    await wait_until(lambda: set(read_rows(context)) == owners, seconds)


@when("{name} queues {count:d} jobs of tenors")
def step_queue(context, name, count):
    get_entry(context, name).coordinator.set_waiting(TEAM, count)


@then("within {seconds:g} s {name} runs at least {least:d} of {limit:d} jobs")
@run
async def step_run(context, seconds, name, least, limit):
    coordinator = get_entry(context, name).coordinator

    def start():
        while coordinator.may_start(TEAM) == "":
            coordinator.note_started(TEAM)
        context.max_granted = max(context.max_granted, sum(read_rows(context).values()))
        count = coordinator.count_running(TEAM)
        assert count <= limit, count
        return count >= least

    await wait_until(start, seconds)


@then("the granted jobs never exceeded the limit")
def step_never(context):
    assert context.max_granted <= LIMIT, context.max_granted


@when("the jobs of {name} end")
def step_end(context, name):
    coordinator = get_entry(context, name).coordinator
    for _ in range(coordinator.count_running(TEAM)):
        coordinator.note_ended(TEAM)


@then("within {seconds:g} s at most {limit:d} jobs are granted")
@run
async def step_within(context, seconds, limit):
    await wait_until(lambda: sum(read_rows(context).values()) <= limit, seconds)


@when("{name} leaves")
@run
async def step_leave(context, name):
    context.departed_owner = get_entry(context, name).coordinator.owner
    await get_entry(context, name).coordinator.leave()


@then("the members do not list {name}")
def step_not_listed(context, name):
    assert name not in read_members(context)


@then("it has no grants")
def step_no_grants(context):
    assert context.departed_owner not in read_rows(context)


@then('a query to {name} is answered by "{names}"')
@run
async def step_ask(context, name, names):
    for entry in context.cluster:
        rows = [entry.settings.name]
        entry.coordinator.set_query_handler(
            lambda question, rows=rows: [question, *rows]
        )
    replies = await get_entry(context, name).coordinator.gather("who")
    rows = {reply.entry: reply.rows for reply in replies}
    assert rows == {entry: ["who", entry] for entry in names.split()}, rows


@then('{name} reports "{other}" as unreached')
def step_unreached(context, name, other):
    assert get_entry(context, name).coordinator.list_unreachable() == [other]


@when("a peer {peer} sends a ping of {size:d} bytes")
@run
async def step_ping(context, peer, size):
    settings = context.cluster[0].settings.peers
    public, secret = context.keys[-1]
    if "not in the settings" in peer:
        public, secret = (key.decode() for key in zmq.curve_keypair())
    message = msgspec.msgpack.encode(Ping("i" * size, 1))
    if "invalid message" in peer:
        message = b"\xc1" * size
    with zmq.asyncio.Context() as own, own.socket(zmq.DEALER) as dealer:
        dealer.linger = 0
        dealer.curve_publickey, dealer.curve_secretkey = (
            public.encode(),
            secret.encode(),
        )
        dealer.curve_serverkey = settings.public_key.encode()
        dealer.connect(f"tcp://{settings.address}")
        await dealer.send(message)
        context.answered = bool(await dealer.poll(1_000))


@then("it gets {answer}")
def step_answer(context, answer):
    assert context.answered == (answer == "a pong"), context.answered
