"""Steps for the time for which runs may go on at endpoints that do not respond."""

import asyncio

from behave import given, then, when
from contract_endpoints import SLOWEST_RATE, ContractEndpoints, find_double_runs
from engine_steps import CAPACITY
from virtual_fleet import Directory, Fleet
from virtual_time import run_virtually

LONG_TASK_S = 9.0
END_S = 40.0


class SilentEndpoint:
    """A fleet of which one endpoint, "a", responds to no call once it ``is_silent``.

    The calls that it gets until then are carried out, with a response or without.
    """

    def __init__(self, rate):
        self.rate = rate
        self.is_silent = False
        self.is_mute = False
        self.unlisted = {"b"}

    def choose_fate(self, name, kind):
        """Return what becomes of a call."""
        if name == "a" and self.is_silent:
            return "lost", 0.0
        if name == "a" and self.is_mute:
            return "mute", 0.0
        return "", 0.0

    def list_unregistered(self):
        """Return the endpoints that are not registered."""
        return self.unlisted

    async def run(self, idle_s, has_restarted, event):
        """Return the records of all runs."""
        fleet = Fleet(("e1", "e2"), ("a", "b"))
        fleet.endpoints = ContractEndpoints(
            ("a", "b"),
            lambda task: LONG_TASK_S,
            lambda name: self.rate if name == "a" else 1.0,
            CAPACITY,
            self.choose_fate,
        )
        fleet.directory = Directory(fleet.endpoints, self)
        async with fleet:
            leader = await fleet.wait_for_leader()
            await asyncio.sleep(idle_s)
            row = fleet.endpoints.by_name["a"]
            if has_restarted:
                row.restart()
                self.unlisted.add("a")
                self.is_mute = event == "goes on"
            row.changed.clear()
            fleet.submit(1)
            await row.changed.wait()
            self.is_mute = True
            await asyncio.sleep(0.02)
            self.is_silent = True
            self.unlisted = {"a"}
            if event == "resigns":
                await leader.resign()
                await fleet.restart(leader.options.name)
            elif event == "ends":
                await fleet.restart(leader.options.name)
            await asyncio.sleep(END_S)
            return list(fleet.endpoints.list_records())


@given('two entries, and an endpoint "a" that was idle for {seconds:g} s{state}')
def step_idle(context, seconds, state):
    context.seconds = seconds
    context.has_restarted = state.endswith("has restarted unseen")
    rate = SLOWEST_RATE if state.endswith("slow clock") else 1.0
    context.play = SilentEndpoint(rate)


@given('two entries, and an endpoint "a" that was idle for {seconds:g} s')
def step_just_idle(context, seconds):
    step_idle(context, seconds, "")


@when('a task is started at "a", which is cut off then, and the leader {event}')
def step_cut_off(context, event):
    work = context.play.run(context.seconds, context.has_restarted, event)
    context.records = run_virtually(work)


@then('the task is started elsewhere, and not before "a" has ended the run')
def step_not_before(context):
    assert {row.endpoint for row in context.records} == {"a", "b"}, context.records
    found = find_double_runs(context.records)
    assert not found, found
