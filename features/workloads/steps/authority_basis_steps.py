"""Steps for the log lines that tell what gives a leader its authority."""

import asyncio

from behave import given, then, when
from partition_steps import submit_jobs
from virtual_fleet import Fleet
from virtual_time import run_virtually

from briarshed.events import AUTHORITY_CHANGED, RUN_ORDERED
from briarshed_workloads import controller, leadership, orders

START_UP_S = 3.0
REST_S = 5.0
MODULES = (controller, leadership, orders)


def note_lines(lines):
    """Return a function that adds the event and fields of a log line to a list."""
    return lambda event, **fields: lines.append((event, fields))


@given("{entries:d} entries and a job each {interval:g} s")
def step_entries(context, entries, interval):
    context.names = [f"e{number}" for number in range(entries)]
    context.interval = interval


@when("{which} cannot reach the store for {seconds:g} s")
def step_store_unreachable(context, which, seconds):
    lines = context.lines = []

    async def run():
        async with Fleet(context.names) as fleet:
            leader = await fleet.wait_for_leader()
            context.epoch = leader.term.epoch
            submitting = asyncio.create_task(submit_jobs(fleet, context.interval))
            await asyncio.sleep(START_UP_S)
            cut = {
                "no entry": [],
                "all entries": context.names,
                "the leader": [leader.options.name],
            }[which]
            for name in cut:
                fleet.clients[name].is_cut = True
            await asyncio.sleep(seconds)
            fleet.reconnect_store()
            await asyncio.sleep(REST_S)
            submitting.cancel()

    originals = [module.log_event for module in MODULES]
    for module in MODULES:
        module.log_event = note_lines(lines)
    try:
        run_virtually(run())
    finally:
        for module, original in zip(MODULES, originals, strict=True):
            module.log_event = original


@then("the log of the leader shows authority by {bases}")
def step_bases(context, bases):
    rows = [
        fields
        for event, fields in context.lines
        if event is AUTHORITY_CHANGED and fields["epoch"] == context.epoch
    ]
    shown = ["lease"]
    for row in rows:
        assert row["before"] == shown[-1], rows
        shown.append(row["after"])
    assert shown == bases.split(", "), rows


@then("each order names the epoch of its leader and the data centre of the endpoint")
def step_orders(context):
    ordered = [fields for event, fields in context.lines if event is RUN_ORDERED]
    assert ordered
    for fields in ordered:
        assert fields["run"] >> 24 == fields["epoch"], fields
        assert fields["data_centre"] == "d", fields
