"""Steps for decoding input; nothing is sent."""

import asyncio
import base64
import json
from types import SimpleNamespace

import aiohttp
from aiohttp import web
from behave import given, then, when

from briarshed.exceptions import SettingsError
from briarshed_platform import directory as directory_module
from briarshed_platform.callers import Call, Callers, decode_job, encode_delay
from briarshed_platform.directory import PlatformDirectory
from briarshed_platform.http_client import HttpClient
from briarshed_platform.settings import decode_options
from briarshed_platform.store import PlatformStore
from briarshed_platform_standins.store import StoreStandin
from briarshed_workloads.configuration import find_queue
from briarshed_workloads.entry import Entry
from briarshed_workloads.options import EntryOptions, SiteLimits
from briarshed_workloads.workloads import Resources, Step

JOB = "00000000000000aa"
ENDPOINT = {
    "backend": "p",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "capacity": {"cpu": 1000, "mem-mb": 10, "gpus": 0},
    "labels": ["a", "r1"],
    "born": 5,
}
LONG_TEXT = "x" * 1_000_000
DEPTH = 5_000
NESTED = "[" * DEPTH + "]" * DEPTH
TEXTS = {"a long text": json.dumps(LONG_TEXT), "nested 5,000 deep": NESTED}
SETTINGS = {
    "node-name": "e1",
    "zone": "z",
    "zones": {"z": "r"},
    "ip": "10.0.0.1",
    "internal-ports": [7000, 7015],
    "listen-addrs": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "platform": {"address": "10.0.0.9:1"},
    "cloud-api": {"address": "10.0.0.9:2"},
    "limits": {"cpu-share": 0.5, "cores": 2},
}


def find_fault(job, body):
    """Return the message of the error that decoding a job raises."""
    try:
        decode_job(job, body.encode())
    except ValueError as error:
        return str(error)
    raise AssertionError("the job was accepted")


@when("a caller submits {body}")
def step_submit(context, body):
    if body == "a job with every field":
        context.step = decode_job(JOB, json.dumps(FULL).encode()).steps[1]
    elif body.startswith("a job with the id"):
        context.fault = find_fault("../etc", '{"spec":"x","steps":[{"count":1}]}')
    else:
        context.fault = find_fault(JOB, body)


@when("steps of {first:d} and then {second:d} tasks are submitted")
def step_wide(context, first, second):
    body = json.dumps({"spec": "x", "steps": [{"count": first}, {"count": second}]})
    context.fault = ""
    try:
        decode_job(JOB, body.encode())
    except ValueError as error:
        context.fault = str(error)


@then("it is accepted")
def step_no_finding(context):
    assert not context.fault, context.fault


@then('it is refused for "{place}"')
def step_names_place(context, place):
    assert place in context.fault, context.fault


FULL = {
    "spec": "x",
    "steps": [
        {"count": 1},
        {
            "count": 3,
            "cpu": 500,
            "mem-mb": 20,
            "gpus": 1,
            "estimate-ms": 1500,
            "after": [0],
            "checkpointing": True,
            "gang": True,
            "same-rack": True,
            "requires": "k",
            "affinity": "r1",
            "anti-affinity": 2,
            "speculative": True,
            "long-running": True,
            "image": "i",
            "target-ms": 250,
            "fills": True,
            "miss-budget": 1,
        },
    ],
}


@when('a caller posts a job that is nested 5,000 deep to "/a/"')
def step_post(context):
    body = f'{{"spec":"x","steps":[{{"count":1}}],"other":{NESTED}}}'
    context.status, context.answer = asyncio.run(post_job(context.entry, body))


async def post_job(entry, body):
    """Post a job to an entry's interface for callers; return status and body."""
    runner = web.ServerRunner(web.Server(Callers(entry).handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    url, headers = f"http://127.0.0.1:{port}/a/{JOB}", {"Host": "h.example"}
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=body, headers=headers) as response,
        ):
            return response.status, await response.text()
    finally:
        await runner.cleanup()


@then("the answer is 400 and names the depth")
def step_names_depth(context):
    assert context.status == 400, (context.status, context.answer)
    assert "recursion depth" in context.answer, context.answer


@then("the finding names the id")
def step_names_id(context):
    assert "job id" in context.fault


@then("the finding names {place}")
def step_names(context, place):
    assert place in context.fault, context.fault


@then("each field of the step holds its value")
def step_fields(context):
    expected = Step(
        3,
        Resources(500, 20, 1),
        1.5,
        (0,),
        True,
        True,
        True,
        "k",
        "r1",
        2,
        True,
        True,
        "i",
        0.25,
        True,
        1,
    )
    assert context.step == expected, context.step


@given("two registered endpoints and the registration {value}")
def step_entries(context, value):
    valid = json.dumps(ENDPOINT)
    context.items = {"servers/a": valid, "servers/b": valid, "servers/c": value}


@given('two registered endpoints, and one whose "{field}" is {value}')
def step_invalid_field(context, field, value):
    step_entries(context, replace_field(ENDPOINT, field, value))


def replace_field(item, field, value):
    """Return the text of an item in which the value of one field is replaced.

    The value is inserted as written, since it may be none that JSON can encode.
    """
    fields = {key: json.dumps(content) for key, content in item.items()}
    if value == "missing":
        del fields[field]
    else:
        fields[field] = TEXTS.get(value, value)
    rows = ", ".join(f'"{key}": {text}' for key, text in fields.items())
    return f"{{{rows}}}"


def call_directory(items, read):
    """Call a directory with these items; return the result and the logged keys."""
    logged = []
    log_event = directory_module.log_event

    async def run():
        async with StoreStandin() as standin, HttpClient() as client:
            for key, value in items.items():
                standin.put(key, base64.b64encode(value.encode()).decode())
            return await read(PlatformDirectory(PlatformStore(client, standin.address)))

    directory_module.log_event = lambda event, **fields: logged.append(fields["key"])
    try:
        return asyncio.run(run()), logged
    finally:
        directory_module.log_event = log_event


@given("two registered endpoints, and one with a line break in its name")
def step_invalid_name(context):
    valid = json.dumps(ENDPOINT)
    context.items = dict.fromkeys(("servers/a", "servers/b", "servers/c\r\nd"), valid)


@given('a registered endpoint at "[::1]:80"')
def step_ipv6(context):
    context.items = {"servers/a": json.dumps({**ENDPOINT, "address": "[::1]:80"})}


@then("it is returned")
def step_returned(context):
    assert [row.address for row in context.rows] == ["[::1]:80"], context.logged


@when("the endpoints are read")
def step_read(context):
    async def read(directory):
        await directory.read_endpoints()
        return await directory.read_endpoints()

    context.rows, context.logged = call_directory(context.items, read)


@then("the two are returned, and the invalid registration is logged once")
def step_two(context):
    assert [row.endpoint for row in context.rows] == ["a", "b"]
    assert context.rows[0].rack == "r1"
    assert context.rows[0].capacity == Resources(1000, 10, 0)
    odd = [key for key in context.items if key not in ("servers/a", "servers/b")]
    assert context.logged == odd, context.logged


def make_entry():
    """Return an entry that is not started."""
    options = EntryOptions(
        "e",
        "z",
        ("z",),
        "",
        "",
        "127.0.0.1:0",
        "",
        "",
        "",
        "",
        1.0,
        100.0,
        SiteLimits(),
    )
    store = SimpleNamespace(answered_at=0.0)
    return Entry(options, store, None, None, PlatformDirectory(store))


def write(context, body):
    """Apply a configuration of the operator to the entry."""
    context.entry.apply_configuration(json.dumps(body).encode(), "test")


@given("an entry with configuration 3")
def step_configuration(context):
    context.entry = make_entry()
    write(context, {"version": 3})


@when('"{"version":"four"}" is written')
def step_unreadable(context):
    write(context, {"version": "four"})


@when("configuration {version:d} is written")
def step_version(context, version):
    write(context, {"version": version})


@then("configuration {version:d} is in force")
def step_in_force(context, version):
    assert context.entry.configuration.version == version


@when("a configuration that is nested 5,000 deep is written")
def step_nested_configuration(context):
    data = f'{{"version": 4, "other": {NESTED}}}'.encode()
    context.entry.apply_configuration(data, "test")


@given('the waves 1 and 2, of which "{field}" of 1 is {value}')
def step_invalid_wave(context, field, value):
    wave = {"wave": 2, "machines": ["m"], "duration-s": 1}
    odd = replace_field(wave, field, value)
    context.items = {"op/wave/1": odd, "op/wave/2": json.dumps(wave)}


@when("the operator's orders are read")
def step_read_orders(context):
    async def read(directory):
        return await directory.read_orders()

    context.orders, context.logged = call_directory(context.items, read)


@then("the order of wave 2 is returned, and wave 1 is logged")
def step_other_wave(context):
    assert [row.wave for row in context.orders.waves] == [2], context.orders
    assert context.logged == ["op/wave/1"], context.logged


@given('an entry with queues "/a/" and "/a/b/" on "h.example"')
def step_queues(context):
    context.entry = make_entry()
    queue = {"hostname": "h.example", "backend": "p", "public": True}
    routes = [
        {**queue, "name": prefix, "path-prefix": prefix} for prefix in ("/a/", "/a/b/")
    ]
    write(context, {"version": 1, "routes": routes})


def find(context, host, path):
    """Return the name of the queue that a request addresses."""
    queue = find_queue(context.entry.configuration, host, path)
    return queue.name if queue else None


@then('"/a/b/0123" addresses "/a/b/" and "/a/0123" addresses "/a/"')
def step_longest(context):
    assert find(context, "h.example:80", "/a/b/0123") == "/a/b/"
    assert find(context, "H.example", "/a/0123") == "/a/"


@then('"/c/0123" and another host address no queue')
def step_none(context):
    assert find(context, "h.example", "/c/0123") is None
    assert find(context, "other", "/a/0123") is None


def find_findings(content):
    """Return the messages of a settings file's findings."""
    try:
        decode_options(content, "boot.toml")
    except SettingsError as error:
        return [finding.message for finding in error.findings]
    return []


@when('a settings file has {value} for "bounds.{name}"')
def step_bound(context, value, name):
    bounds = {} if value == "null" else {name: json.loads(value)}
    context.content = {**SETTINGS, "bounds": bounds}


@then("evacuations are in force within {seconds:g} s")
def step_evacuation_limit(context, seconds):
    limits = decode_options(context.content, "boot.toml").site_limits
    assert limits.evacuation == seconds


@then("old orders count as {result}")
def step_old_orders(context, result):
    limits = decode_options(context.content, "boot.toml").site_limits
    assert limits.refuses_old_orders == (result == "refused")


@then('an error names "bounds.{name}"')
def step_bound_finding(context, name):
    (message,) = find_findings(context.content)
    assert f"bounds.{name}" in message


@when('a settings file lacks "node-name" and has a string for "limits.cores"')
def step_two_findings(context):
    content = {key: SETTINGS[key] for key in SETTINGS if key != "node-name"}
    content["limits"] = {"cpu-share": 0.5, "cores": "two"}
    context.findings = find_findings(content)


@then("the findings name both")
def step_both(context):
    text = "\n".join(context.findings)
    assert len(context.findings) == 2, context.findings
    assert "node-name" in text
    assert "limits.cores" in text


@when('a settings file has a field "colour"')
def step_unknown_field(context):
    context.findings = find_findings({**SETTINGS, "colour": "red"})


@then("it has no findings")
def step_no_findings(context):
    assert not context.findings, context.findings


@when("a caller cancels the job {job}")
def step_cancel(context, job):
    async def ask(*_):
        raise AssertionError("the leader was asked")

    entry = SimpleNamespace(
        forwarder=SimpleNamespace(query=ask), describe_basis=lambda: ""
    )
    request = SimpleNamespace(method="DELETE", headers={})
    call = Call(SimpleNamespace(timeout=3.0), "team", job)
    context.answer = asyncio.run(Callers(entry)._cancel(request, call))


@then("the answer is 410, and the leader is not asked")
def step_gone(context):
    assert context.answer.status == 410, context.answer.status


@given("a job that is refused with a delay of {delay:g} s")
def step_delay(context, delay):
    context.delay = delay


@when("the delay is written for its caller")
def step_write_delay(context):
    context.header = encode_delay(context.delay)


@then('its header is "{text}"')
def step_delay_text(context, text):
    assert context.header == text, context.header
