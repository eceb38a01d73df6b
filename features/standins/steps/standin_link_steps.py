"""Steps for the link stand-in."""

import json
import time

from behave import given, then, when
from steps.standin_endpoint_steps import SILENCE_S, Post
from steps.standin_store_steps import start_standin

from briarshed_standins.processes import call
from briarshed_standins.tasks import make_answer

ANSWER_TIMEOUT_S = 2.0
RETRANSMISSION_TIMEOUT_S = 10.0
SHARED = {}


def start_shared(context):
    """Start an endpoint and a link stand-in for the whole feature."""
    address = ["--address", "127.0.0.1:0"]
    for module in ("endpoint", "link"):
        line = start_standin(context, module, address, "feature")
        SHARED[module] = line["address"]
    SHARED["links"] = 0


def set_link_faults(context, faults):
    content = {context.link_name: json.loads(faults)}
    reply = call("POST", f"http://{SHARED['link']}/_faults", content)
    assert reply.status == 200, reply


def post_through_link(context, **task_options):
    SHARED["links"] += 1
    context.attempt = f"attempt-{SHARED['links']}"
    return Post(context.link, context.attempt, **task_options)


@given("an endpoint stand-in behind a link")
def step_link(context):
    if not SHARED:
        start_shared(context)
    SHARED["links"] += 1
    context.link_name = f"caller>endpoint-{SHARED['links']}"
    content = {"name": context.link_name, "target": SHARED["endpoint"]}
    reply = call("POST", f"http://{SHARED['link']}/_links", content)
    context.link = reply.content["address"]


@given("the link has the faults {faults}")
@when("the link gets the faults {faults}")
def step_faults(context, faults):
    set_link_faults(context, faults)


@when("a task is posted through the link")
def step_post(context):
    context.post = post_through_link(context, ms=20)


@given("a task of {ms:d} ms is posted through the link")
def step_post_long(context, ms):
    # The response to a second, short task shows that the first connection is open too.
    context.post = post_through_link(context, ms=ms)
    first = post_through_link(context, ms=20)
    assert first.read(ANSWER_TIMEOUT_S)[0], "no response through the link"


@then("the caller through the link gets {expected}")
def step_answer(context, expected):
    timeout_s = SILENCE_S if expected == "silence" else ANSWER_TIMEOUT_S
    data, ending = context.post.read(timeout_s)
    whole = make_answer(context.post.body)
    found = {
        "the whole answer": data.endswith(whole),
        "a broken connection": not data and ending != "silent",
        "silence": not data and ending == "silent",
        "a part of an answer": 0 < len(data) < 100 and ending != "silent",
    }
    assert found[expected], (data, ending)


@then("the whole answer arrives through the link after {least:g} s or more")
def step_late_answer(context, least):
    sent_at = time.monotonic()
    data, ending = context.post.read(RETRANSMISSION_TIMEOUT_S)
    assert data.endswith(make_answer(context.post.body)), (data, ending)
    assert time.monotonic() - sent_at > least


@when("the caller closes its connection")
def step_close(context):
    context.post.socket.close()


@then("the endpoint behind the link soon ran {count:d}")
def step_soon_ran(context, count):
    time.sleep(SILENCE_S)
    step_ran(context, count)


@then("the endpoint behind the link ran {count:d}")
def step_ran(context, count):
    lines = call("GET", f"http://{SHARED['endpoint']}/_records").content
    starts = [line for line in lines if line["event"] == "start"]
    found = [line for line in starts if line["attempt"] == context.attempt]
    assert len(found) == count, lines


@then("a new task through the link is answered: {expected}")
def step_new(context, expected):
    data, _ = post_through_link(context, ms=20).read(SILENCE_S)
    assert bool(data) == (expected == "yes"), data
