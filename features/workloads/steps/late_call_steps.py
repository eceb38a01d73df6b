"""Steps for calls that endpoints carry out late or without a response."""

import asyncio
import random

from behave import given, then, when
from contract_endpoints import SLOWEST_RATE, ContractEndpoints, find_double_runs
from engine_steps import CAPACITY
from virtual_fleet import Directory, Fleet
from virtual_time import run_virtually

ENTRY_NAMES = ("e1", "e2", "e3")
ENDPOINT_NAMES = ("a", "b", "c", "d", "f", "g")
TASK_TIMES_S = (0.1, 0.3, 0.5, 0.5, 2.0, 6.0, 9.0)
SHORT_TASK_TIMES_S = (0.1, 0.2, 0.4)
RESPONSE_S = 0.02
MAX_LATE_S = 30.0
FAULT_PAUSE_S = (0.3, 6.0)
FAULT_S = (0.1, 12.0)
REST_S = 40.0


class Play:
    """Faults that a seed chooses, on a fleet of entries and contract endpoints."""

    def __init__(self, seed, seconds):
        self.chance = random.Random(seed)
        self.seconds = seconds
        self.faults = {}
        self.unlisted = set()
        self.cancels = []

    def measure_task(self, task):
        """Return the run time of a task."""
        return random.Random(str(task)).choice(TASK_TIMES_S)

    def choose_rate(self, name):
        """Return the rate of an endpoint's clock."""
        return self.chance.choice([1.0, SLOWEST_RATE, SLOWEST_RATE])

    def choose_fate(self, name, kind):
        """Return what becomes of a call."""
        fault = self.faults.get(name)
        if fault == "lost" or (fault == "mute" and kind == "response"):
            return "lost", 0.0
        if fault == "mute":
            return "mute", 0.0
        if fault == "late" and self.chance.random() < 0.4:
            if kind == "response":
                return "", self.chance.uniform(0, 0.9)
            kind_s = self.chance.choice([0.3, 2.0, 6.0, MAX_LATE_S])
            return self.chance.choice(["late", "late", ""]), self.chance.uniform(
                0, kind_s
            )
        return "", 0.0

    async def run(self):
        """Return the pairs of runs that break the rule, the outcomes and all runs."""
        fleet = Fleet(ENTRY_NAMES, ENDPOINT_NAMES)
        fleet.endpoints = ContractEndpoints(
            ENDPOINT_NAMES,
            self.measure_task,
            self.choose_rate,
            CAPACITY,
            self.choose_fate,
        )
        fleet.directory = Directory(fleet.endpoints, self)
        async with fleet:
            await fleet.wait_for_leader()
            works = [
                self._submit(fleet),
                *(self._disturb(fleet, name) for name in ENDPOINT_NAMES),
                self._change_leader(fleet),
                self._cancel(fleet),
            ]
            tasks = [asyncio.create_task(work) for work in works]
            await asyncio.sleep(self.seconds)
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            errors = [row for row in results if isinstance(row, Exception)]
            assert not errors, errors
            self.faults.clear()
            self.unlisted.clear()
            for row in fleet.endpoints.by_name.values():
                row.down = ""
            fleet.reconnect_store()
            fleet.network.cut.clear()
            for name in ENTRY_NAMES:
                if name not in fleet.entries:
                    await fleet.add_entry(name)
            await asyncio.sleep(REST_S)
            # Those at leaders that were killed have no outcome.
            for task in self.cancels:
                task.cancel()
            await asyncio.gather(*self.cancels, return_exceptions=True)
            await fleet.wait_for_leader()
            records = list(fleet.endpoints.list_records())
            return find_double_runs(records), fleet.list_outcomes(), records

    def list_unregistered(self):
        """Return the endpoints whose registrations have lapsed."""
        return self.unlisted

    async def _submit(self, fleet):
        number = 0
        pause_s = self.chance.choice([1.0, 1.5, 3.0])
        while True:
            fleet.submit(number)
            number += 1
            await asyncio.sleep(self.chance.uniform(0, 2 * pause_s))

    async def _cancel(self, fleet):
        while True:
            await asyncio.sleep(self.chance.uniform(2.0, 10.0))
            leader = fleet.find_leader()
            jobs = [job for job, state in fleet.replies.items() if state == "accepted"]
            if leader is not None and jobs:
                job = self.chance.choice(jobs[-5:])
                task = asyncio.create_task(leader.controller.cancel(job))
                self.cancels.append(task)

    async def _disturb(self, fleet, name):
        row = fleet.endpoints.by_name[name]
        while True:
            await asyncio.sleep(self.chance.uniform(*FAULT_PAUSE_S))
            kind = self.chance.choice(
                ["lost", "mute", "late", "late", "restart", "unlisted", "vanish"]
            )
            seconds = self.chance.uniform(*FAULT_S)
            if kind == "vanish":
                await self._vanish(row)
                continue
            if kind == "restart":
                await self._restart(row)
                continue
            if kind == "unlisted" or self.chance.random() < 0.3:
                self.unlisted.add(name)
            if kind != "unlisted":
                self.faults[name] = kind
            if self.chance.random() < 0.4:
                part = self.chance.random()
                await asyncio.sleep(seconds * part)
                await self._restart(row)
                seconds *= 1 - part
            await asyncio.sleep(seconds)
            self.faults.pop(name, None)
            self.unlisted.discard(name)

    async def _vanish(self, row):
        """Restart an endpoint that is cut off before its registration is read."""
        self.unlisted.add(row.name)
        await self._restart(row)
        self.faults[row.name] = "mute"
        await asyncio.sleep(self.chance.uniform(0, 1.0))
        self.faults[row.name] = "lost"
        await asyncio.sleep(self.chance.uniform(4.0, 9.0))
        self.faults.pop(row.name, None)
        self.unlisted.discard(row.name)

    async def _restart(self, row):
        row.down = "down"
        row.restart()
        await asyncio.sleep(self.chance.choice([0.01, 0.1, 1.0]))
        row.down = ""

    async def _change_leader(self, fleet):
        while True:
            await asyncio.sleep(self.chance.uniform(1.0, 12.0))
            leader = fleet.find_leader()
            if leader is None:
                continue
            name = leader.options.name
            kind = self.chance.choice(["kill", "cut", "resign", "store"])
            if kind == "kill":
                await fleet.restart(name)
            elif kind == "resign":
                await leader.resign()
                await fleet.restart(name)
            elif kind == "cut":
                fleet.cut_off(name)
                await asyncio.sleep(self.chance.uniform(0.5, 8.0))
                fleet.network.cut.clear()
                fleet.reconnect_store()
            else:
                for client in fleet.clients.values():
                    client.is_cut = True
                await asyncio.sleep(self.chance.uniform(0.5, 8.0))
                fleet.reconnect_store()


@given("entries and endpoints with random faults, seed {number:d}")
def step_play(context, number):
    context.number = number


@when("jobs are submitted and calls are carried out late for {seconds:g} s")
def step_run(context, seconds):
    play = Play(context.number, seconds)
    context.double, context.outcomes, context.records = run_virtually(play.run())


@then("no two runs break the rule")
def step_no_double(context):
    assert len(context.records) > 20, len(context.records)
    assert not context.double, context.double[:3]


@then("every job that was accepted has ended")
def step_all_ended(context):
    # Crashes just after a start may fail a job; none may wait for ever.
    states = set(context.outcomes.values())
    assert states <= {"completed", "failed", "cancelled"}, context.outcomes


class CalmPlay(Play):
    """Calls that are all answered, within 20 ms; counts the polls."""

    def __init__(self):
        super().__init__(1, 0.0)
        self.polls = []

    def measure_task(self, task):
        """Return the run time of a task."""
        return random.Random(str(task)).choice(SHORT_TASK_TIMES_S)

    def choose_fate(self, name, kind):
        """Return a delay."""
        return "", self.chance.uniform(0, RESPONSE_S)

    def note_poll(self, acknowledged):
        """Count a poll."""
        self.polls.append(acknowledged)

    async def run(self, jobs, interval):
        """Return the outcomes of the jobs."""
        fleet = Fleet(ENTRY_NAMES, ENDPOINT_NAMES)
        fleet.endpoints = ContractEndpoints(
            ENDPOINT_NAMES,
            self.measure_task,
            self.choose_rate,
            CAPACITY,
            self.choose_fate,
        )
        fleet.endpoints.note_poll = self.note_poll
        fleet.directory = Directory(fleet.endpoints, self)
        async with fleet:
            await fleet.wait_for_leader()
            for number in range(jobs):
                fleet.submit(number)
                await asyncio.sleep(self.chance.uniform(0, 2 * interval))
            await asyncio.sleep(10 * interval)
            return fleet.list_outcomes()


@given("entries and endpoints without faults that respond within 20 ms")
def step_calm(context):
    context.play = CalmPlay()


@when("{jobs:d} jobs are submitted, one each {interval:g} s in the mean")
def step_submit_jobs(context, jobs, interval):
    context.jobs = jobs
    context.outcomes = run_virtually(context.play.run(jobs, interval))


@then("all are completed with at most {most:g} polls for each that acknowledges")
def step_few_polls(context, most):
    assert list(context.outcomes.values()) == ["completed"] * context.jobs
    polls = context.play.polls
    ratio = len(polls) / sum(acknowledged > 0 for acknowledged in polls)
    assert ratio <= most, (ratio, len(polls))
