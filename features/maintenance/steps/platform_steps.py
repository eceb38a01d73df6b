"""Steps for contract tests of the platform client with the platform stand-in."""

import asyncio
import json
import time

import aiohttp
from aiohttp import web
from behave import given, then, when

from briarshed.exceptions import PlatformUnavailableError
from briarshed.settings import PlatformSettings
from briarshed_entry.platform import PlatformClient
from briarshed_standins.platform import make_platform
from briarshed_standins.programs import open_site

TIMEOUT_MS = 300
REBOOT_S = 0.05
MAX_WAIT_S = 5.0


def make_endpoint():
    async def answer(_request):
        return web.json_response({"running": 0})

    application = web.Application()
    application.router.add_post("/_state", answer)
    # This response does not follow the platform's protocol.
    application.router.add_get("/instances", answer)
    return application


async def post(url, content):
    async with aiohttp.ClientSession() as session, session.post(url, json=content):
        pass


async def run_with_platform(context, action):
    """Run an action with a client, the stand-in's URL and an endpoint's URL."""
    endpoint, address = await open_site(make_endpoint(), "127.0.0.1:0")
    standin, standin_address = await open_site(
        make_platform(0.0, REBOOT_S), "127.0.0.1:0"
    )
    url = f"http://{standin_address}"
    listed = {"data_centre": "dc1", "rack": "r1", "address": address}
    try:
        await post(f"{url}/_instances", [{"id": context.instance, **listed}])
        await post(f"{url}/_faults", context.faults)
        async with PlatformClient(PlatformSettings(url, TIMEOUT_MS)) as client:
            return await action(client, url, f"http://{address}")
    finally:
        await standin.cleanup()
        await endpoint.cleanup()


@given('a platform stand-in with instance "{instance}"')
def step_platform(context, instance):
    context.instance, context.faults = instance, {}


@given("the platform stand-in has the faults {faults}")
def step_faults(context, faults):
    context.faults = json.loads(faults)


async def call_twice(function, instance, operation):
    for _ in range(2):
        try:
            await function(instance, operation)
        except PlatformUnavailableError as error:
            print(error.format_message())


async def wait_for_state(client, instance, state):
    deadline = time.monotonic() + MAX_WAIT_S
    while await client.find_state(instance) != state:
        assert time.monotonic() < deadline, f"{instance} is not {state}"
        await asyncio.sleep(REBOOT_S)


@when('the client drains it twice as "{drain}" and reboots it twice as "{reboot}"')
def step_stop(context, drain, reboot):
    async def action(client, url, _endpoint):
        await call_twice(client.drain, context.instance, drain)
        await wait_for_state(client, context.instance, "drained")
        await call_twice(client.reboot, context.instance, reboot)
        await wait_for_state(client, context.instance, "live")
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{url}/_records") as answer,
        ):
            return await answer.json()

    context.records = asyncio.run(run_with_platform(context, action))


@then('the stand-in recorded "{states}"')
def step_recorded(context, states):
    assert ", ".join(item["state"] for item in context.records) == states


@when('the client makes the call "{call}"')
def step_call(context, call):
    async def action(client, _url, endpoint):
        match call:
            case "list":
                await client.list_instances()
            case "state":
                await client.find_state(context.instance)
            case "drain":
                await client.drain(context.instance, "c-1.drain")
            case "early reboot":
                await client.reboot(context.instance, "c-1.reboot")
            case "wrong protocol":
                async with PlatformClient(PlatformSettings(endpoint)) as other:
                    await other.list_instances()

    started = time.monotonic()
    try:
        asyncio.run(run_with_platform(context, action))
    except PlatformUnavailableError as error:
        context.error = error.format_message()
    else:
        context.error = ""
    context.elapsed_s = time.monotonic() - started


@then('the platform is unavailable because of "{reason}" within {seconds:d} s')
def step_unavailable(context, reason, seconds):
    assert reason in context.error, context.error
    assert context.elapsed_s < seconds, context.elapsed_s


@then('the list names "{names}" and the state of "{instance}" is "{state}"')
def step_read(context, names, instance, state):
    async def action(client, _url, _endpoint):
        listing = await client.list_instances()
        return sorted(listing.instances), await client.find_state(instance)

    listed, found = asyncio.run(run_with_platform(context, action))
    assert (", ".join(listed) or "none") == names, listed
    assert found == state, found
