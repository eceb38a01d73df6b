"""Steps for the store stand-in."""

import json
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from briarshed_standins.processes import Process, call, end_processes
from briarshed_standins.store_client import encode, read_key

NEW_VALUE = "new"


def start_standin(context, module, options, layer="scenario"):
    """Start a stand-in for one scenario or feature; return its printed line."""
    directory = tempfile.TemporaryDirectory(prefix="briarshed-")
    context.add_cleanup(directory.cleanup, layer=layer)
    command = [sys.executable, "-m", f"briarshed_standins.{module}", *options]
    process = Process(module, command, Path(directory.name))
    context.add_cleanup(lambda: end_processes([process]), layer=layer)
    context.standin = process
    return process.read_line()


def post(context, path, **content):
    return call("POST", f"{context.store_url}/v3/{path}", content)


def put(context, key, value, lease=0):
    content = {"key": encode(key), "value": encode(value), "lease": str(lease)}
    return post(context, "kv/put", **content)


def compare_and_swap(context, key, revision):
    compare = {
        "key": encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }
    write = {"request_put": {"key": encode(key), "value": encode(NEW_VALUE)}}
    try:
        reply = post(context, "kv/txn", compare=[compare], success=[write])
    except OSError:
        return "got no answer"
    assert reply.status == 200, reply
    return "took effect" if reply.content.get("succeeded") else "conflicted"


def list_prefix(context, prefix, path="kv/range", **options):
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    reply = post(context, path, key=encode(prefix), range_end=encode(end), **options)
    assert reply.status == 200, reply
    return reply.content


@given("a store stand-in")
def step_store(context):
    line = start_standin(context, "store", ["--address", "127.0.0.1:0"])
    context.store_url = f"http://{line['address']}"


@given('the stand-in\'s key "{key}" was put {count:d} times')
def step_put_times(context, key, count):
    context.revisions = {"revision 0": 0, "revision 1": 1}
    for number in range(count):
        put(context, key, f"old-{number}")
        found = post(context, "kv/range", key=encode(key)).content["kvs"][0]
        assert int(found["version"]) == number + 1, found
        before = context.revisions.get("the current revision")
        context.revisions["the former revision"] = before
        context.revisions["the current revision"] = int(found["mod_revision"])
        context.old_value = f"old-{number}"


@given("the store stand-in has the faults {faults}")
def step_faults(context, faults):
    reply = call("POST", f"{context.store_url}/_faults", json.loads(faults))
    assert reply.status == 200, reply


@when('a compare-and-swap of key "{key}" names {named}')
def step_compare_and_swap(context, key, named):
    context.outcome = compare_and_swap(context, key, context.revisions[named])


@when('two compare-and-swaps of key "{key}" name the same revision')
def step_compare_and_swap_twice(context, key):
    revision = context.revisions["the current revision"]
    with ThreadPoolExecutor(2) as executor:
        futures = [
            executor.submit(compare_and_swap, context, key, revision) for _ in range(2)
        ]
    context.outcomes = sorted(future.result() for future in futures)


@then("exactly one of them took effect")
def step_one_winner(context):
    assert context.outcomes == ["conflicted", "took effect"], context.outcomes


@then("the compare-and-swap {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('the next read of key "{key}" gives {value}')
def step_next_read(context, key, value):
    expected = {"the new one": NEW_VALUE, "the old one": context.old_value}[value]
    found = read_key(context.store_url, key)
    assert found == expected.encode(), found


@when('key "{key}" is put under a lease of {ttl:d} s')
def step_put_leased(context, key, ttl):
    reply = post(context, "lease/grant", TTL=str(ttl), ID="0")
    context.lease = reply.content["ID"]
    assert reply.content["TTL"] == str(ttl), reply
    assert put(context, key, "x", context.lease).status == 200


@when("the lease is kept alive for {seconds:g} s")
def step_keep_alive(context, seconds):
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        reply = post(context, "lease/keepalive", ID=context.lease)
        assert reply.content["result"]["TTL"] == "1", reply
        time.sleep(0.2)


@when("the lease is revoked")
def step_revoke(context):
    assert post(context, "lease/revoke", ID=context.lease).status == 200


@then('key "{key}" is present')
def step_present(context, key):
    assert read_key(context.store_url, key) is not None


@then('key "{key}" is absent within {seconds:g} s')
def step_absent(context, key, seconds):
    ends_at = time.monotonic() + seconds
    while read_key(context.store_url, key) is not None:
        assert time.monotonic() < ends_at, "the key still exists"
        time.sleep(0.02)


@then("the expired lease cannot be kept alive")
def step_expired(context):
    reply = post(context, "lease/keepalive", ID=context.lease)
    assert "TTL" not in reply.content["result"], reply


@then("a put under the expired lease is refused")
def step_put_expired(context):
    assert put(context, "alive/y", "x", context.lease).status == 404


@when('keys "p/b", "p/a" and "q" are put')
def step_put_three(context):
    for key in ("p/b", "p/a", "q"):
        put(context, key, "x")


@then('the range of prefix "{prefix}" has the keys "{keys}" and their revisions')
def step_range(context, prefix, keys):
    answer = list_prefix(context, prefix, keys_only=True)
    expected = [encode(key) for key in keys.split(", ")]
    assert [one["key"] for one in answer["kvs"]] == expected, answer
    assert all("value" not in one for one in answer["kvs"]), answer
    revisions = [int(one["mod_revision"]) for one in answer["kvs"]]
    assert revisions[1] == revisions[0] - 1, answer


@when('the range of prefix "{prefix}" is deleted')
def step_delete(context, prefix):
    answer = list_prefix(context, prefix, "kv/deleterange")
    assert answer["deleted"] == "2", answer


@then("a put of {count:d} bytes is refused")
def step_large(context, count):
    assert put(context, "big", b"x" * count).status == 400


@then('the fault "{name}" of the store stand-in is refused')
def step_unknown_fault(context, name):
    reply = call("POST", f"{context.store_url}/_faults", {name: 1})
    assert reply.status == 400, reply
    assert reply.content["unknown"] == [name], reply
