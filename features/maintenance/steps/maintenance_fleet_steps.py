"""Steps for waves on a fleet of processes."""

import threading
import time
from collections import Counter

from behave import given, then, when

from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY
from briarshed_standins.fleet import Fleet
from briarshed_standins.processes import call

PLANNER = "entry-1"
POLL_S = 0.02
MAX_WAIT_S = 60.0
OUT_OF_SERVICE_STATES = ("leaving", "draining", "rebooting", "returning", "failed")


def watch_fleet(context):
    """Record every version of the fleet document that a poll finds."""
    while not context.stopped.wait(POLL_S):
        found = context.running.read_document(FLEET_KEY)
        if found["version"] != context.versions[-1]["version"]:
            context.versions.append(found)


def wait_for(context, condition, timeout_s=MAX_WAIT_S):
    deadline = time.monotonic() + timeout_s
    while not condition(context.versions[-1]):
        assert time.monotonic() < deadline, context.versions[-1]["waves"]
        time.sleep(POLL_S)


@given("a fleet of processes with a wave over all of its instances")
def step_fleet(context):
    fleet = context.running = Fleet().__enter__()
    context.add_cleanup(fleet.close)
    context.versions = [fleet.read_document(FLEET_KEY)]
    context.stopped = threading.Event()
    thread = threading.Thread(target=watch_fleet, args=(context,))
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(context.stopped.set)
    pools = ", ".join(pool.name for pool in fleet.plan.pools)
    reply = fleet.command(f"start wave w-1 pools {pools}")
    assert reply.status == 200, reply


def wait_for_state(context, state):
    def has_state(document):
        return state in [item["state"] for item in document["instances"].values()]

    wait_for(context, has_state)


@when('the planner is killed as soon as an instance is "{state}"')
def step_kill(context, state):
    wait_for_state(context, state)
    context.running.kill(PLANNER)


@when(
    'the planner is paused for {seconds:d} seconds as soon as an instance is "{state}"'
)
def step_pause(context, seconds, state):
    wait_for_state(context, state)
    context.running.stop(PLANNER)
    time.sleep(seconds)
    context.running.resume(PLANNER)


@when('the endpoint of "{instance}" is killed for {seconds:d} s')
def step_kill_endpoint(context, instance, seconds):
    role = context.running.find_endpoint_role(instance)
    context.running.kill(role)
    time.sleep(seconds)
    context.running.restart_endpoint(role)
    states = [item["instances"][instance]["state"] for item in context.versions]
    assert "failed" in states, states


@then("the wave is done within {seconds:d} s and each instance was rebooted once")
def step_done(context, seconds):
    wait_for(context, lambda item: item["waves"]["w-1"]["state"] == "done", seconds)
    url = f"{context.running.platform_url}/_records"
    records = call("GET", url).content
    counts = Counter((item["id"], item["state"]) for item in records)
    expected = {
        (name, state)
        for name in context.running.instances
        for state in ("draining", "drained", "rebooting", "live")
    }
    assert set(counts) == expected, expected ^ set(counts)
    assert set(counts.values()) == {1}, counts.most_common(3)


@then("no stored version of the fleet has planned stops beyond a budget")
def step_budgets(context):
    pools = context.running.read_document(CONFIGURATION_KEY)["pools"]
    print(f"{len(context.versions)} versions were seen")
    for before, after in zip(context.versions, context.versions[1:], strict=False):
        for pool, content in pools.items():
            out = count_out_of_service(after, pool)
            more = count_out_of_service(
                after, pool, OUT_OF_SERVICE_STATES[:-1]
            ) > count_out_of_service(before, pool, OUT_OF_SERVICE_STATES[:-1])
            assert not more or out <= content["budget"], (pool, after["instances"])


def count_out_of_service(document, pool, states=OUT_OF_SERVICE_STATES):
    return sum(
        item["pool"] == pool and item["state"] in states
        for item in document["instances"].values()
    )
