"""Steps for endpoints whose capacity changes, with entries on fakes in virtual time."""

import asyncio

from behave import given, then, when
from engine_steps import CAPACITY, NEED
from virtual_fleet import Fleet
from virtual_time import run_virtually

from briarshed_entry import clock

ENDPOINTS = tuple("abcdefgh")
CHANGING = ENDPOINTS[:3]
SUBMIT_INTERVAL_S = 0.05
REST_S = 8.0
NOTICE_S = 4.5
"""Time for which a capacity that has shrunk does not count: contact and a heartbeat."""


@given("{jobs:d} jobs for 8 endpoints of 4 cores, more than these can run at a time")
def step_jobs(context, jobs):
    context.jobs = jobs


@when(
    "three endpoints shrink to {cores:d} cores after {shrink:g} s, and grow again after"
    " {grow:g} s"
)
def step_change(context, cores, shrink, grow):
    context.starts = []

    def note_start(endpoint, order):
        used = len(endpoint.running) * NEED.cpu
        row = clock.now(), endpoint.name, used, endpoint.capacity.cpu
        context.starts.append(row)

    async def change(fleet):
        rows = [fleet.endpoints.by_name[name] for name in CHANGING]
        await asyncio.sleep(shrink)
        context.shrunk_at = clock.now()
        for row in rows:
            row.capacity = CAPACITY._replace(cpu=cores * 1_000)
        await asyncio.sleep(grow - shrink)
        context.grown_at = clock.now()
        for row in rows:
            row.capacity = CAPACITY

    async def run():
        async with Fleet(("e1", "e2"), ENDPOINTS) as fleet:
            fleet.endpoints.after_start = note_start
            await fleet.wait_for_leader()
            changing = asyncio.create_task(change(fleet))
            for number in range(context.jobs):
                fleet.submit(number)
                await asyncio.sleep(SUBMIT_INTERVAL_S)
            await changing
            await asyncio.sleep(REST_S)

    run_virtually(run())


@then("nothing starts beyond their capacity from 4.5 s after they have shrunk")
def step_within(context):
    late = [
        row
        for row in context.starts
        if context.shrunk_at + NOTICE_S < row[0] < context.grown_at
    ]
    assert late
    assert not [row for row in late if row[2] > row[3]], late


@then("they are filled again within 4.5 s after they have grown")
def step_filled(context):
    filled = {
        name
        for at, name, used, _ in context.starts
        if 0 < at - context.grown_at < NOTICE_S and used == CAPACITY.cpu
    }
    assert filled.issuperset(CHANGING), filled
