"""Steps for partitions, with entries on fakes in virtual time."""

import asyncio
import itertools
import random

from behave import given, when
from virtual_fleet import LONG_RETENTION, Fleet, find_overlap
from virtual_time import run_virtually

WARM_UP_S = 3.0
REST_S = 25.0
HEAL_PAUSE_S = 1.5
RESTART_AFTER_S = 10.0
EVENT_PAUSE_S = (0.2, 6.0)
CUT_S = (0.5, 70.0)
OUTAGE_S = (0.5, 15.0)
MAX_CUT_OFF = 4


async def submit_jobs(fleet, interval):
    """Submit a job at each interval until this is cancelled."""
    for number in itertools.count():
        fleet.submit(number)
        await asyncio.sleep(interval)


@given(
    "{entries:d} entries and {endpoints:d} endpoints in two data centres, and a job"
    " each {interval:g} s"
)
def step_fleet(context, entries, endpoints, interval):
    context.interval = interval
    context.entries = [f"e{number}" for number in range(entries)]
    context.endpoints = [f"p{number}" for number in range(endpoints)]


@when(
    "the data centre {which} the leader is cut off for {seconds:g} s, and {event}",
)
def step_cut_off(context, which, seconds, event):
    async def run():
        async with Fleet(context.entries, context.endpoints, LONG_RETENTION) as fleet:
            leader = await fleet.wait_for_leader()
            submitting = asyncio.create_task(submit_jobs(fleet, context.interval))
            await asyncio.sleep(WARM_UP_S)
            inside = choose_inside(leader.options.name, which == "with")
            fleet.cut_off_data_centre(*inside)
            await wait_for_end(fleet, inside[0], seconds, event)
            await asyncio.sleep(REST_S / 2)
            submitting.cancel()
            await asyncio.sleep(REST_S)
            context.jobs = len(fleet.replies)
            await fleet.wait_for_leader()
            context.outcomes = fleet.list_outcomes()
            context.overlap = find_overlap(fleet.list_runs())

    def choose_inside(leader, has_leader):
        half = len(context.entries) // 2
        is_first = (leader in context.entries[:half]) == has_leader
        choose = slice(None, half) if is_first else slice(half, None)
        return context.entries[choose], context.endpoints[choose]

    async def wait_for_end(fleet, inside, seconds, event):
        if "restarts" in event:
            await asyncio.sleep(RESTART_AFTER_S)
            leaders = {
                name for name, row in fleet.entries.items() if row.term is not None
            }
            others = [
                name
                for name in context.entries
                if (name in inside) == ("inside" in event) and name not in leaders
            ]
            await fleet.restart(others[0])
            seconds -= RESTART_AFTER_S
        await asyncio.sleep(seconds)
        if event.endswith("first"):
            fleet.reconnect_store()
            await asyncio.sleep(HEAL_PAUSE_S)
            fleet.reconnect_data_centre()
        else:
            fleet.reconnect_data_centre()
            await asyncio.sleep(HEAL_PAUSE_S)
            fleet.reconnect_store()

    run_virtually(run())


@when("cuts, outages and restarts come at random for {seconds:g} s, with seed {seed:d}")
def step_random(context, seconds, seed):
    chance = random.Random(seed)

    async def run():
        async with Fleet(context.entries, context.endpoints, LONG_RETENTION) as fleet:
            await fleet.wait_for_leader()
            submitting = asyncio.create_task(submit_jobs(fleet, context.interval))
            faults = [
                asyncio.create_task(repeat(work, fleet))
                for work in (cut, stop_store, restart)
            ]
            await asyncio.sleep(seconds)
            for task in faults:
                task.cancel()
            await asyncio.gather(*faults, return_exceptions=True)
            for name in context.entries:
                if name not in fleet.entries:
                    await fleet.add_entry(name)
            fleet.reconnect_store()
            fleet.reconnect_data_centre()
            submitting.cancel()
            await asyncio.sleep(REST_S)
            context.jobs = sum(
                outcome == "accepted" for outcome in fleet.replies.values()
            )
            assert context.jobs > seconds / context.interval / 2, context.jobs
            await fleet.wait_for_leader()
            context.outcomes = fleet.list_outcomes()
            context.overlap = find_overlap(fleet.list_runs())

    async def repeat(work, fleet):
        while True:
            await asyncio.sleep(chance.uniform(*EVENT_PAUSE_S))
            await work(fleet)

    async def cut(fleet):
        half = len(context.entries) // 2
        part = chance.choice([slice(None, half), slice(half, None)])
        fleet.cut_off_data_centre(context.entries[part], context.endpoints[part])
        await asyncio.sleep(chance.uniform(*CUT_S))
        fleet.reconnect_data_centre()
        if chance.random() < 0.5:
            await asyncio.sleep(chance.uniform(0, HEAL_PAUSE_S))
        fleet.reconnect_store()

    async def stop_store(fleet):
        count = chance.choice([1, MAX_CUT_OFF, len(context.entries)])
        names = chance.sample(context.entries, count)
        for name in names:
            fleet.clients[name].is_cut = True
        await asyncio.sleep(chance.uniform(*OUTAGE_S))
        for name in names:
            fleet.clients[name].is_cut = name in fleet.partition.entries

    async def restart(fleet):
        name = chance.choice(sorted(fleet.entries))
        if len(fleet.entries) > 2:
            await fleet.restart(name)

    run_virtually(run())
