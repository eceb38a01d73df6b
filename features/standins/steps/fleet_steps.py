"""Steps for a fleet of stand-ins and entries."""

import itertools
import signal
import sys
import tempfile
import time
from pathlib import Path

import psutil
from behave import given, then, when

from briarshed_standins.checker import Limit, Rules, check_records
from briarshed_standins.fleet import Fleet, Plan
from briarshed_standins.load import Source, make_jobs, run_load
from briarshed_standins.processes import (
    FleetError,
    Ports,
    Process,
    call,
    end_processes,
    wait_until,
)

RATE = 40.0
SILENCE_S = 1.0
SEEDS = itertools.count(1)
FLEET_KEYS = {"entries", "operators", "teams", "queues", "endpoints", "processes"}


@given("a fleet of {count:d} entries with links to the store")
def step_fleet(context, count):
    fleet = Fleet(Plan(entries=count, links=("store",)))
    context.fleet = fleet.__enter__()
    context.add_cleanup(fleet.close)
    context.caller_records = []


def send_jobs(context, count, idempotent):
    """Send jobs with the next seed; return their callers' records."""
    key = context.fleet.keys["hotels"]
    source = Source("proofing", "hotels", key, idempotent=idempotent)
    seed = next(SEEDS)
    jobs = make_jobs([source], RATE, 10 * count / RATE, seed, "fleet")[:count]
    records = run_load(context.fleet.list_urls, jobs)
    context.caller_records += records
    return records


@then("{count:d} jobs finish through the fleet")
def step_finish(context, count):
    records = send_jobs(context, count, False)
    assert [one.outcome for one in records] == ["finished"] * count, records


@then("{count:d} idempotent jobs finish through the fleet")
def step_finish_idempotent(context, count):
    records = send_jobs(context, count, True)
    assert [one.outcome for one in records] == ["finished"] * count, records


@when('fleet process "{role}" is {verb}')
def step_signal(context, role, verb):
    fleet = context.fleet
    verbs = {
        "killed": fleet.kill,
        "stopped": fleet.stop,
        "resumed": fleet.resume,
        "terminated": fleet.terminate,
    }
    verbs[verb](role)


@when('entry "{name}" is restarted')
def step_restart(context, name):
    context.fleet.restart_entry(name)


@when("an entry is added to the fleet")
def step_add(context):
    context.fleet.add_entry()


@when('the endpoints of "{role}" are restarted')
def step_restart_endpoints(context, role):
    context.fleet.restart_endpoint(role)


@when('the links "{pattern}" are cut')
def step_cut(context, pattern):
    context.fleet.cut(pattern)


@when("the links are healed")
def step_heal(context):
    context.fleet.heal()


@then('the ready entries are "{names}"')
def step_ready(context, names):
    assert list(context.fleet.entries) == names.split(", "), context.fleet.entries
    context.fleet.wait_ready()


@then('entry "{name}" does not answer')
def step_silent(context, name):
    try:
        url = context.fleet.entries[name].url
        reply = call("GET", f"{url}/healthz", timeout_s=SILENCE_S)
    except OSError:
        return
    raise AssertionError(reply)


@then('entry "{name}" answers')
def step_answers(context, name):
    context.fleet.wait_ready(name)


@then('entry "{name}" cannot reach the store')
def step_unreachable(context, name):
    link = context.fleet.read_settings(name)["store"]["url"]
    try:
        reply = call("POST", f"{link}/v3/kv/range", {"key": "eA=="})
    except OSError:
        return
    raise AssertionError(reply)


@then('fleet process "{role}" ends within {seconds:d} s')
def step_ends(context, role, seconds):
    assert context.fleet.wait_ended(role, seconds) == 0


@then("the records of the fleet have no violation")
def step_no_violation(context):
    fleet = context.fleet
    fleet.wait_idle()
    limits = {team.name: (Limit(team.limit),) for team in fleet.plan.teams}
    rules = Rules(limits, outages=fleet.outages)
    report = check_records(context.caller_records, fleet.read_records(), rules)
    assert report.violations == (), report.violations
    assert report.submitted == len(context.caller_records) > 0, report


@when('a fleet starts an entry that ends with "{text}"')
def step_start_failing(context, text):
    command = (sys.executable, "-c", f"import sys; sys.exit('{text}')")
    started_at = time.monotonic()
    try:
        with Fleet(Plan(entries=1, pools=(), command=command)):
            raise AssertionError("the fleet started")
    except FleetError as error:
        context.failure = str(error)
    context.failed_after_s = time.monotonic() - started_at


@then('the fleet failed within {seconds:d} s with "{first}" and "{second}"')
def step_failed(context, seconds, first, second):
    assert first in context.failure, context.failure
    assert second in context.failure, context.failure
    assert context.failed_after_s < seconds, context.failed_after_s


@then("{count:d} addresses of each of two fleets are all different")
def step_ports(context, count):
    fleets = [Ports(), Ports()]
    for ports in fleets:
        context.add_cleanup(ports.close)
    chosen = [ports.choose_address() for _ in range(count) for ports in fleets]
    assert len(set(chosen)) == 2 * count, chosen


@given('"make fleet" is running')
def step_program(context):
    directory = tempfile.TemporaryDirectory(prefix="briarshed-")
    context.add_cleanup(directory.cleanup)
    command = [sys.executable, "-m", "briarshed_standins.fleet"]
    context.program = Process("fleet", command, Path(directory.name))
    context.add_cleanup(lambda: end_processes([context.program]))
    line = context.program.read_line(60.0)
    assert set(line) == FLEET_KEYS, line
    context.children = psutil.Process(context.program.pid).children(recursive=True)
    pids = {child.pid for child in context.children}
    assert set(line["processes"].values()) <= pids, line


@given('"make fleet" is running, and its parent ignores SIGINT')
def step_ignoring(context):
    original = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        step_program(context)
    finally:
        signal.signal(signal.SIGINT, original)


@when("the fleet's program gets {name}")
def step_program_signal(context, name):
    psutil.Process(context.program.pid).send_signal(getattr(signal, name))


@then("none of its processes is left after {seconds:d} s")
def step_none_left(context, seconds):
    context.program.wait(seconds)
    wait_until(
        "all ended",
        lambda: not any(child.is_running() for child in context.children),
        seconds,
    )
