"""Steps for the time for which runs may go on at endpoints that do not respond."""

import asyncio
import functools

from behave import given, then, when
from contract_endpoints import SLOWEST_RATE, ContractEndpoints, find_double_runs
from engine_steps import CAPACITY
from virtual_fleet import REGISTRATION_TIMEOUT_S, Directory, Fleet
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.options import SiteLimits

LONG_TASK_S = 9.0
END_S = 40.0
VERY_LONG_TASK_S = 30.0
LONGEST_LEASE_S = 10.0
RUN_LEASE_S = 4.0
SEEN_S = 0.8
EARLY_S = 60


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


@then('the task is started elsewhere, and not before "a" has ended the late run')
def step_not_before_late(context):
    assert {row.endpoint for row in context.records} == {"a", "b"}, context.records
    assert all(row.is_late for row in context.records if row.endpoint == "a")
    found = find_double_runs(context.records, with_late=True)
    assert not found, found


class RestartedEndpoint(SilentEndpoint):
    """A fleet of which one endpoint, "a", may restart before it is cut off."""

    def __init__(self, idle_s):
        super().__init__(1.0)
        self.idle_s = idle_s
        self.late_s = None
        self.is_restarted_early = False
        self.cut_s = 0.0
        self.kills = []

    def make_fleet(self, make_directory):
        """Return a fleet of three entries whose endpoints accept long leases."""
        fleet = Fleet(("e1", "e2", "e3"), ("a", "b"))
        fleet.limits = SiteLimits(max_run_lease=LONGEST_LEASE_S)
        fleet.endpoints = ContractEndpoints(
            ("a", "b"),
            lambda task: VERY_LONG_TASK_S,
            lambda name: 1.0,
            CAPACITY,
            self.choose_fate,
        )
        for row in fleet.endpoints.by_name.values():
            row.max_accepted_lease_s = LONGEST_LEASE_S
            row.started_at_ms = int(clock.read_unix_time() * 1000)
        fleet.directory = make_directory(fleet.endpoints, self)
        return fleet

    async def run(self):
        """Return the records of all runs, and when a leader was last killed."""
        async with self.make_fleet(Directory) as fleet:
            row = fleet.endpoints.by_name["a"]
            leader = await fleet.wait_for_leader()
            if self.is_restarted_early:
                await asyncio.sleep(self.idle_s)
                row.restart()
                row.started_at_ms -= EARLY_S * 1000
                row.booted_at -= EARLY_S
                row.started_at_ms = max(row.started_at_ms, 2)
            await asyncio.sleep(self.idle_s)
            token = leader.controller.engine.endpoints["a"].token
            deadline_ms = row.read_clock() + int(RUN_LEASE_S * 1000)
            restarted_at = clock.now()
            if self.late_s is not None:
                row.restart()
                await asyncio.sleep(self.late_s)
                assert row.poll(token, 0, deadline_ms)
                await asyncio.sleep(SEEN_S)
            row.changed.clear()
            fleet.submit(1)
            await row.changed.wait()
            self.unlisted = set()
            events = [(self.cut_s, None), *((at, "kill") for at in self.kills)]
            for at, event in sorted(events, key=lambda item: item[0]):
                await asyncio.sleep(restarted_at + at - clock.now())
                if event:
                    leader = await fleet.wait_for_leader()
                    self.last_kill = clock.now()
                    await fleet.restart(leader.options.name)
                else:
                    self.is_silent = True
                    lapse = asyncio.get_running_loop().call_later
                    lapse(REGISTRATION_TIMEOUT_S, self.unlisted.add, "a")
            await asyncio.sleep(END_S)
            return list(fleet.endpoints.list_records())


class StaleDirectory(Directory):
    """A directory in which the endpoint "a" is registered again late or never."""

    def __init__(self, endpoints, partition):
        super().__init__(endpoints, partition)
        self._started_at_ms = endpoints.by_name["a"].started_at_ms
        self.is_stale = True

    async def read_endpoints(self):
        """Return the registered endpoints."""
        return tuple(
            row._replace(started_at_ms=self._started_at_ms)
            if row.endpoint == "a" and self.is_stale
            else row
            for row in await super().read_endpoints()
        )


class LateStart(RestartedEndpoint):
    """A fleet of which one endpoint, "a", carries a start out after a restart.

    It gets calls from nobody since, and registers again late or never.
    """

    def __init__(self, idle_s, silent_s):
        super().__init__(idle_s)
        self.silent_s = silent_s
        self.start_fate = ("late", 0.0)
        self.registers_s = None

    def choose_fate(self, name, kind):
        """Return what becomes of a call."""
        if name == "a" and self.is_mute and kind == "start":
            return self.start_fate
        if name == "a" and (self.is_mute or self.is_silent):
            return "lost", 0.0
        return "", 0.0

    async def run(self):
        """Return the records of all runs, and when a leader was last killed."""
        async with self.make_fleet(StaleDirectory) as fleet:
            row = fleet.endpoints.by_name["a"]
            leader = await fleet.wait_for_leader()
            await asyncio.sleep(self.idle_s)
            controller = leader.controller
            await controller.poller.poll(controller.engine.endpoints["a"], True)
            self.is_mute = True
            fleet.submit(1)
            await asyncio.sleep(self.silent_s)
            row.restart()
            self.is_mute, self.is_silent, self.unlisted = False, True, set()
            restarted_at = clock.now()
            call_later = asyncio.get_running_loop().call_later
            if self.registers_s is None:
                lapse_s = REGISTRATION_TIMEOUT_S - self.silent_s
                call_later(lapse_s, self.unlisted.add, "a")
            else:
                register = functools.partial(
                    setattr, fleet.directory, "is_stale", False
                )
                call_later(self.registers_s, register)
            for at in self.kills:
                await asyncio.sleep(restarted_at + at - clock.now())
                leader = await fleet.wait_for_leader()
                self.last_kill = clock.now()
                await fleet.restart(leader.options.name)
            await asyncio.sleep(END_S)
            return list(fleet.endpoints.list_records())


@given('three entries, and an endpoint "a" that was idle for {seconds:g} s')
def step_three_entries(context, seconds):
    context.play = RestartedEndpoint(seconds)


@when(
    '"a" restarts, and carries out a poll for its earlier incarnation {seconds:g} s'
    " later"
)
def step_late_poll(context, seconds):
    context.play.late_s = seconds


@when('"a" goes on')
def step_goes_on(context):
    pass


@when('"a" has restarted 60 s before')
def step_restarted_before(context):
    context.play.is_restarted_early = True


@when('a task is started at "a", which is cut off {seconds:g} s after its restart')
@when('a task is started at "a", which is cut off {seconds:g} s after that')
def step_cut_at(context, seconds):
    context.play.cut_s = seconds


@when('"a" is silent for {seconds:g} s, and restarts unseen')
def step_silent(context, seconds):
    context.play = LateStart(context.play.idle_s, seconds)


@when(
    "it carries out a start {seconds:g} s after that was sent, although it is cut off"
)
def step_carries_out(context, seconds):
    context.play.start_fate = ("late", seconds)


@when("it registers {seconds:g} s after the restart")
def step_registers(context, seconds):
    context.play.registers_s = seconds


@when("it answers a start {seconds:g} s after that was sent, and is cut off")
def step_answers(context, seconds):
    context.play.start_fate = ("", seconds)


@when("the leader goes on")
def step_leader_goes_on(context):
    context.records = run_virtually(context.play.run())


@when("the leader is killed after {times} s after the restart")
def step_kill_at(context, times):
    context.play.kills = [float(text) for text in times.split(" and ")]
    context.records = run_virtually(context.play.run())


@then("the task is started elsewhere at most {most:g} s after the last kill")
def step_started_soon(context, most):
    started_at = min(row.started_at for row in context.records if row.endpoint == "b")
    assert started_at - context.play.last_kill <= most, (
        started_at - context.play.last_kill
    )
