"""Steps for endpoints that stop responding, with fakes that keep run leases."""

import asyncio
import itertools
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import CAPACITY, JOB, NEED, make_configuration, submit
from virtual_time import run_virtually
from wave_takeover_steps import OPTIONS

from briarshed_entry import clock
from briarshed_platform.endpoints import (
    IMMEDIATE_POLL_TIMEOUT_S,
    POLL_SLACK_S,
    START_TIMEOUT_S,
)
from briarshed_workloads.controller import Controller
from briarshed_workloads.interfaces import (
    Accepted,
    NotExecutedError,
    OutcomeUnknownError,
)
from briarshed_workloads.placement import list_eligible
from briarshed_workloads.workloads import (
    EndedRun,
    ListedRun,
    PollResponse,
    Registration,
    Step,
)

TASK_S = 60.0
LATENCY_S = 0.005
LAPSED = "lapsed"


class LeasedEndpoint:
    """An endpoint that ends its runs when their lease expires."""

    def __init__(self, name):
        self.name = name
        self.started_at_ms = 1
        self.deadline_ms = 0
        self.running = {}
        self.ended = []
        self.count = 0
        self.history = []

    def read_clock(self):
        """Return the endpoint's clock in ms."""
        return int(clock.now() * 1000)

    def expire(self):
        """End the runs if the lease has expired."""
        if self.running and self.read_clock() > self.deadline_ms:
            for task, run in self.running:
                self.count += 1
                self.ended.append(EndedRun(self.count, task, run, LAPSED, ""))
            self.end_all(self.deadline_ms / 1000)

    def end_all(self, ended_at):
        """Note when the present runs ended."""
        for started_at in self.running.values():
            self.history.append((started_at, ended_at))
        self.running.clear()

    def restart(self):
        """Lose everything, as a new process under the same name does."""
        self.end_all(clock.now())
        self.started_at_ms += 1
        self.deadline_ms = self.count = 0
        self.ended = []

    def start(self, order):
        """Start a run."""
        self.expire()
        self.deadline_ms = max(self.deadline_ms, order.deadline_ms)
        self.running[order.task, order.run] = clock.now()

    def poll(self, acknowledged, deadline_ms):
        """Extend the lease and list runs and ends."""
        self.expire()
        if deadline_ms:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.ended = [row for row in self.ended if row.end_number > acknowledged]
        rows = [ListedRun(*key, "", self.count, 0) for key in self.running]
        return PollResponse(
            self.read_clock(), self.started_at_ms, tuple(rows), tuple(self.ended)
        )


class LeasedEndpoints:
    """Endpoints; calls to "a" are lost while ``is_silent`` is set."""

    def __init__(self):
        self.by_name = {name: LeasedEndpoint(name) for name in "ab"}
        self.is_silent = False
        self.refuses = False
        self.executes_silently = False
        self.starts = []

    def list_registrations(self):
        """Return the registrations of the present incarnations."""
        return tuple(
            Registration(name, row.started_at_ms, name, "pool", "d", name, (), CAPACITY)
            for name, row in self.by_name.items()
        )

    async def _carry_out(self, name, call, timeout):
        await asyncio.sleep(LATENCY_S)
        is_silent = name == "a" and self.is_silent
        result = None
        if not is_silent or self.executes_silently:
            result = call()
        if is_silent:
            await asyncio.sleep(timeout)
            raise OutcomeUnknownError("no answer")
        return result

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Answer after the wait."""
        if self.refuses and name == "a":
            raise NotExecutedError("refused")
        row = self.by_name[name]
        timeout = wait + POLL_SLACK_S if wait else IMMEDIATE_POLL_TIMEOUT_S
        await self._carry_out(
            name, lambda: row.poll(acknowledged, deadline_ms), timeout
        )
        await asyncio.sleep(wait)
        return await self._carry_out(name, lambda: row.poll(0, None), timeout - wait)

    async def start(self, name, address, order, permit):
        """Start a run."""
        if self.refuses and name == "a":
            raise NotExecutedError("refused")
        self.starts.append((clock.now(), name))
        row = self.by_name[name]
        await self._carry_out(name, lambda: row.start(order), START_TIMEOUT_S)
        return Accepted(row.read_clock())

    async def stop(self, name, address, task, run, token, permit):
        """Ignore the order."""
        return Accepted(self.by_name[name].read_clock())

    async def discard_connections(self, address):
        """Do nothing."""


class Play:
    """A leader with endpoints in virtual time."""

    def __init__(self):
        self.endpoints = LeasedEndpoints()
        self.has_authority = True
        self.faulty_at = 0.0
        self.listing = None

    async def run(self, fault, seconds, *, is_before_start=False):
        """Start a task at "a", let the fault happen and go on for some seconds."""
        term = SimpleNamespace(
            epoch=2,
            fenced_writer=SimpleNamespace(commit=self._commit, commit_count=0),
            has_authority=lambda: self.has_authority,
            measure_authority=lambda: 1.0,
            is_store_failing=False,
            lost=asyncio.Event(),
        )
        directory = SimpleNamespace(read_endpoints=self._read_endpoints)
        controller = Controller(OPTIONS, term, None, self.endpoints, None, directory)
        engine = controller.engine
        self.controller, self.engine = controller, engine
        engine.configuration = make_configuration()
        engine.note_registrations(await self._read_endpoints(), clock.now())
        async with controller:
            controller.poller.start_polling()
            loops = controller._plan, controller._refresh_endpoints
            for loop in (*loops, controller.persistence.save):
                controller.spawn(loop(), loop.__name__)
            await asyncio.sleep(0.2)
            if is_before_start:
                self.faulty_at = clock.now()
                await fault(self)
            submit(engine, JOB, (Step(1, NEED, TASK_S),), clock.now())
            controller._changed.set()
            await asyncio.sleep(0.3)
            if not is_before_start:
                self.faulty_at = clock.now()
                await fault(self)
            await asyncio.sleep(seconds)
        for row in self.endpoints.by_name.values():
            row.expire()
            row.end_all(clock.now())

    async def _commit(self, puts, removals=()):
        await asyncio.sleep(LATENCY_S)

    async def _read_endpoints(self):
        return self.listing or self.endpoints.list_registrations()


async def silence(play, *, executes=False):
    """Let "a" stop responding."""
    play.faulty_at = clock.now()
    play.endpoints.is_silent = True
    play.endpoints.executes_silently = executes


async def silence_after_poll(play):
    """Let "a" stop responding right after it has answered a poll."""
    await asyncio.sleep(1.21)
    await silence(play)


async def lose_responses(play):
    """Let "a" execute calls without responding."""
    await silence(play, executes=True)


FAULTS = {
    "stops responding while a poll waits": (silence, False),
    "stops responding right after a poll": (silence_after_poll, False),
    "stops responding before the start": (silence, True),
    "executes calls, but its responses are lost": (lose_responses, False),
    "executes the start, but responds to nothing": (lose_responses, True),
}


@given('a leader with endpoints "a" and "b", and a task that starts at "a"')
def step_leader(context):
    context.play = Play()


@given('the endpoint "b" joins 1 s later')
def step_only_endpoint(context):
    context.play.listing = context.play.endpoints.list_registrations()[:1]


def play_fault(context, fault, is_before_start=False, seconds=12.0):
    """Play a fault in virtual time."""
    run_virtually(context.play.run(fault, seconds, is_before_start=is_before_start))


for text, row in FAULTS.items():

    @when(f'"a" {text}')
    def step_fault(context, row=row):
        fault, is_before_start = row
        play_fault(context, fault, is_before_start)


@when('"a" does not respond for {seconds:g} s')
def step_silent_for(context, seconds):
    async def fault(play):
        await silence(play)
        await asyncio.sleep(seconds)
        play.endpoints.is_silent = False

    play_fault(context, fault)


@when(
    '"a" stops responding, and the leader has no authority from {start:g} s to'
    " {end:g} s later"
)
def step_no_authority(context, start, end):
    async def fault(play):
        await silence(play)
        await asyncio.sleep(start)
        play.has_authority = False
        await asyncio.sleep(end - start)
        play.has_authority = True

    play_fault(context, fault)


@when('"a" restarts, and its earlier registration is read again for {seconds:g} s')
def step_restart(context, seconds):
    async def fault(play):
        before = play.listing
        play.endpoints.by_name["a"].restart()
        await asyncio.sleep(seconds / 2)
        (_, other) = play.endpoints.list_registrations()
        play.listing = (*before, other)
        await asyncio.sleep(seconds / 2)
        play.listing = None

    play_fault(context, fault)


@when('"a" has no runs, {fault} for 2 s, and another task arrives')
def step_idle(context, fault):
    async def fail(play):
        endpoints = play.endpoints
        endpoints.refuses = fault == "refuses connections"
        endpoints.is_silent = not endpoints.refuses
        submit(play.engine, JOB, (Step(1, NEED, TASK_S),), clock.now())
        play.controller._changed.set()
        await asyncio.sleep(2.0)
        endpoints.refuses = endpoints.is_silent = False
        await asyncio.sleep(1.5)
        context.eligible = [
            row.name for row in list_eligible(play.engine, "pool", clock.now())
        ]

    play_fault(context, fail, is_before_start=True)


@then('"a" can get runs again 1.5 s after that')
def step_eligible(context):
    assert context.eligible == ["a", "b"], context.eligible


@then('the task starts at "b" between {least:g} s and {most:g} s later')
def step_starts_at_b(context, least, most):
    play = context.play
    times = [at - play.faulty_at for at, name in play.endpoints.starts if name == "b"]
    assert len(times) == 1, play.endpoints.starts
    assert least <= times[0] <= most, times


@then('the task has one run, at "a"')
def step_one_run(context):
    names = [name for _, name in context.play.endpoints.starts]
    assert names == ["a"], context.play.endpoints.starts
    assert not context.play.endpoints.by_name["a"].count, "the run has lapsed"


@then("no task has run twice at the same time")
def step_never_twice(context):
    spans = sorted(
        span for row in context.play.endpoints.by_name.values() for span in row.history
    )
    for (_, ended_at), (started_at, _) in itertools.pairwise(spans):
        assert started_at >= ended_at, spans


@then("the task is started again once")
def step_again_once(context):
    assert len(context.play.endpoints.starts) == 2, context.play.endpoints.starts
