"""Steps for outages of the store, with entries on fakes in virtual time."""

import asyncio
import inspect
import itertools
from typing import NamedTuple

from behave import given, then, when
from virtual_fleet import LATENCY_S, STEPS, Fleet
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_workloads.interfaces import NotExecutedError, OutcomeUnknownError
from briarshed_workloads.records import JOBS
from briarshed_workloads.workloads import Description, Submission

WARM_UP_S = 3.0
REST_S = 4.0
TIMEOUT_S = 2.8
CALL_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0
DENSE_INTERVAL_S = 0.05


class Answer(NamedTuple):
    """The answer that the caller of a job got, and when."""

    job: str
    sent_at: float
    answered_at: float
    outcome: str


@given("{count:d} entries, and a job handed in once each {interval:g} s")
def step_entries(context, count, interval):
    context.names = [f"e{number}" for number in range(count)]
    context.interval = interval


@when("the store is {how} for {seconds:g} s")
def step_outage(context, how, seconds):
    def refuse(function):
        raise NotExecutedError("store: status 503")

    play(context, seconds, fail=refuse if how == "refusing" else None)


@when("only the leader loses the store for {seconds:g} s")
def step_leader(context, seconds):
    play(context, seconds, fail=None, only_leader=True)


@when(
    "the store is silent for {seconds:g} s, and an entry is parted from the others"
    " {later:g} s later"
)
def step_parted(context, seconds, later):
    async def part(fleet, leader):
        await asyncio.sleep(later)
        context.parted = next(name for name in context.names if name != leader)
        fleet.network.cut.add(context.parted)
        await asyncio.sleep(2.0)
        context.ready = {name: row.is_ready() for name, row in fleet.entries.items()}

    play(context, seconds, meanwhile=part)


@then("the parted entry is not ready 2 s after that, and the others are")
def step_not_ready(context):
    expected = {name: name != context.parted for name in context.names}
    assert context.ready == expected, context.ready


@when("the store loses each {number:d}th response to a write for {seconds:g} s")
def step_lost(context, number, seconds):
    counter = itertools.count(1)

    async def lose(client, call, function):
        answered_at = client.answered_at
        result = await call(function)
        if "commit" in function.__qualname__ and next(counter) % number == 0:
            client.answered_at = answered_at
            await asyncio.sleep(0.5)
            raise OutcomeUnknownError("store: response lost")
        return result

    play(context, seconds, wrap=lose)


@when("the store takes {write:g} s for a write and {read:g} s for others, for 3 s")
def step_slow(context, write, read):
    async def wait(client, call, function):
        sent_at, answered_at = clock.now(), client.answered_at
        is_write = "commit" in function.__qualname__
        await asyncio.sleep((write if is_write else read) - 2 * LATENCY_S)
        result = await call(function)
        client.answered_at = max(answered_at, sent_at)
        return result

    play(context, 3.0, wrap=wait)


def play(context, seconds, fail=None, wrap=None, only_leader=False, meanwhile=None):
    """Let the store fail for a time, and collect the answers to callers."""
    context.parted = ""
    context.resubmits = context.interval < DENSE_INTERVAL_S

    async def run():
        async with Fleet(context.names) as fleet:
            leader = (await fleet.wait_for_leader()).options.name
            context.answers = []
            submitting = asyncio.create_task(submit_jobs(fleet, context))
            await asyncio.sleep(WARM_UP_S)
            names = [leader] if only_leader else context.names
            context.failed_at = clock.now()
            restore = [spoil(fleet.clients[name], fail, wrap) for name in names]
            events = asyncio.create_task(
                meanwhile(fleet, leader) if meanwhile else rest()
            )
            await asyncio.sleep(seconds)
            context.returned_at = clock.now()
            for name, function in zip(names, restore, strict=True):
                # A parted entry does not reach the store when the others do.
                if name != context.parted:
                    function()
            await asyncio.sleep(REST_S)
            await events
            submitting.cancel()
            await asyncio.sleep(TIMEOUT_S + 1.0)
            context.recorded = {
                key.removeprefix(JOBS)
                for key in fleet.store.items
                if key.startswith(JOBS)
            }

    run_virtually(run())


async def rest():
    """Do nothing besides the outage."""


def spoil(client, fail, wrap):
    """Let the calls of a client fail; return a function that ends this."""
    names = ("_call", "commit", "fail_if_cut", "is_cut")
    originals = {name: getattr(client, name) for name in names}
    call = client._call
    if fail is not None:
        client._call = client.fail_if_cut = _refuse_calls(fail)
    elif wrap is not None:
        client._call = lambda function: wrap(client, call, function)
    else:
        client.is_cut, client.commit = True, _ignore_commits

    def restore():
        for name, value in originals.items():
            setattr(client, name, value)

    return restore


def _refuse_calls(fail):
    async def refuse(call):
        if inspect.isawaitable(call):
            await call
        await asyncio.sleep(LATENCY_S)
        fail(call)

    return refuse


async def _ignore_commits(conditions, puts, removals=(), timeout=CALL_TIMEOUT_S):
    await asyncio.sleep(timeout)
    raise OutcomeUnknownError("store: time-out")


async def submit_jobs(fleet, context):
    """Submit a job at each interval, each at one entry and once."""
    tasks = []
    for number in itertools.count(1):
        tasks.append(asyncio.create_task(submit(fleet, context, number)))
        await asyncio.sleep(context.interval)


async def submit(fleet, context, number):
    """Submit one job and note the answer."""
    job = f"{number:016x}"
    sent_at = clock.now()
    entry = fleet.entries[context.names[number % len(context.names)]]
    submission = Submission(job, "q", "pool", "team", sent_at, Description("", STEPS))
    reply = await entry.forwarder.submit(submission, TIMEOUT_S)
    context.answers.append(Answer(job, sent_at, clock.now(), reply.outcome))
    if reply.outcome == "refused" and context.resubmits:
        await asyncio.sleep(RETRY_AFTER_S)
        await submit(fleet, context, number)


def list_during(context):
    """Return the answers to jobs that were handed in during the outage."""
    return [
        row
        for row in context.answers
        if context.failed_at <= row.sent_at < context.returned_at
    ]


@then("at most {most:d} jobs that were handed in meanwhile have an unknown outcome")
def step_unknown(context, most):
    rows = [row for row in list_during(context) if row.outcome == "unknown"]
    assert len(rows) <= most, rows


@then("each refusal came within {bound:g} s")
def step_refusals(context, bound):
    refused = [row for row in context.answers if row.outcome == "refused"]
    late = [row for row in refused if row.answered_at - row.sent_at > bound]
    assert refused, "no job was refused"
    assert not late, late


@then("no refused job is recorded")
def step_not_recorded(context):
    refused = {row.job for row in context.answers if row.outcome == "refused"}
    assert not refused & context.recorded, refused & context.recorded


@then("no job is recorded whose last answer was a refusal")
def step_last_refused(context):
    last = {row.job: row.outcome for row in context.answers}
    refused = {job for job, outcome in last.items() if outcome == "refused"}
    assert refused or context.answers
    assert not refused & context.recorded, refused & context.recorded


@then("each accepted job is recorded")
def step_accepted(context):
    accepted = {row.job for row in context.answers if row.outcome == "accepted"}
    assert accepted <= context.recorded, accepted - context.recorded


@then("the first job is accepted within {bound:g} s of the store's return")
def step_return(context, bound):
    accepted = [
        row.answered_at
        for row in context.answers
        if row.outcome == "accepted" and row.answered_at > context.returned_at
    ]
    assert min(accepted) - context.returned_at <= bound, (
        min(accepted) - context.returned_at
    )


@then("no job is refused, and none has an unknown outcome")
def step_none(context):
    rows = [row for row in context.answers if row.outcome != "accepted"]
    assert not rows, rows
