"""Steps for the counts of waiting jobs, with entries on fakes in virtual time."""

import asyncio

from behave import given, then, when
from engine_steps import JOB, NOW, TASK, make_engine, poll_endpoint
from virtual_fleet import LATENCY_S, Fleet
from virtual_time import run_virtually

from briarshed_entry import clock
from briarshed_platform.endpoints import START_TIMEOUT_S
from briarshed_workloads.interfaces import (
    NotExecutedError,
    OutcomeUnknownError,
    Refused,
)
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.records import JobRecord, ProgressRecord, decode, encode
from briarshed_workloads.waiting import count_waiting
from briarshed_workloads.workloads import EndedRun, ListedRun

QUEUE = "q"
JOBS = 80
SUBMIT_INTERVAL_S = 0.025
MAX_AGE_S = 2.0
"""Age up to which callers may get a count; docs/platform.md."""

SAMPLE_INTERVAL_S = 0.05
REST_S = 3.0
BACKLOG_S = 3.5
"""Time from the first submission to the event; most jobs still wait after it."""


class Sample:
    """A count given by an entry, and the number of jobs that it must include."""

    def __init__(self, at, entry, count, least):
        self.at = at
        self.entry = entry
        self.count = count
        self.least = least

    def __repr__(self):
        return f"{self.at:.2f} {self.entry}: {self.count}, at least {self.least}"


class Observer:
    """Asks every entry for its count, and knows which jobs wait; a context manager.

    Parameters
    ----------
    fleet : Fleet
        Entries on fakes.
    samples : list
        Filled with the counts.
    """

    def __init__(self, fleet, samples):
        self._samples = samples
        self._fleet = fleet
        self._accepted_at = {}

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, kind, error, trace):
        self._task.cancel()

    async def _run(self):
        while True:
            self._take()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _take(self):
        fleet, now = self._fleet, clock.now()
        for job, outcome in fleet.replies.items():
            if outcome == "accepted":
                self._accepted_at.setdefault(job, now)
        begun = {order.task.job for _, order, _ in fleet.endpoints.calls}
        least = sum(
            now - accepted_at > MAX_AGE_S and job not in begun
            for job, accepted_at in self._accepted_at.items()
        )
        for name, entry in fleet.entries.items():
            count = entry.forwarder.count_waiting(QUEUE)
            self._samples.append(Sample(now, name, count, least))


async def submit_jobs(fleet, first=0):
    """Submit far more jobs than the endpoints can run, and let most of them wait."""
    started_at = clock.now()
    for number in range(first, first + JOBS):
        fleet.submit(number)
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    await asyncio.sleep(started_at + BACKLOG_S - clock.now())


@given("3 entries at which far more jobs wait than the endpoints can run")
def step_entries(context):
    context.names = ("e1", "e2", "e3")
    context.samples = []


@when("the leader {event} and the next one reads the records in {seconds:g} s")
def step_leader_changes(context, event, seconds):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await fleet.wait_for_leader()
            async with Observer(fleet, context.samples):
                await submit_jobs(fleet)
                for client in fleet.clients.values():
                    client.load_s = seconds
                if event == "resigns":
                    await leader.resign()
                    await asyncio.sleep(0.1)
                await fleet.kill(leader.options.name)
                await fleet.wait_for_leader()
                context.loaded_at = clock.now()
                await asyncio.sleep(REST_S)

    run_virtually(run())


@when("the leader is cut off, and more jobs arrive")
def step_cut_off(context):
    async def run():
        async with Fleet(context.names) as fleet:
            leader = await fleet.wait_for_leader()
            async with Observer(fleet, context.samples):
                await submit_jobs(fleet)
                fleet.cut_off(leader.options.name)
                await submit_jobs(fleet, first=JOBS)
                await asyncio.sleep(2 * REST_S)

    run_virtually(run())


@when("the leader's heartbeats arrive {seconds:g} s late")
def step_held_up(context, seconds):
    async def run():
        async with Fleet(context.names) as fleet:
            await fleet.wait_for_leader()
            fleet.network.heartbeat_delay_s = seconds
            await asyncio.sleep(seconds + 1)
            async with Observer(fleet, context.samples):
                await submit_jobs(fleet)

    run_virtually(run())


@when("the endpoints {response} for {seconds:g} s")
def step_starts_fail(context, response, seconds):
    async def start(*_):
        await asyncio.sleep(LATENCY_S)
        if response == "refuse starts":
            return Refused("room")
        if response == "refuse connections":
            raise NotExecutedError("refused")
        await asyncio.sleep(START_TIMEOUT_S)
        raise OutcomeUnknownError("no response")

    async def run():
        async with Fleet(context.names) as fleet:
            await fleet.wait_for_leader()
            original, fleet.endpoints.start = fleet.endpoints.start, start
            async with Observer(fleet, context.samples):
                await submit_jobs(fleet)
                await asyncio.sleep(seconds)
                fleet.endpoints.start = original
                await asyncio.sleep(REST_S)

    run_virtually(run())


@when('its start at "a" {outcome}')
def step_start(context, outcome):
    engine, now = context.engine, NOW + 0.1
    engine.endpoints["b"].full_until = NOW + 1
    (order,) = plan_starts(engine, NOW)
    run, endpoint = order.run, order.run.endpoint
    run.token = endpoint.token
    if outcome.startswith("gets no response"):
        engine.note_outcome_unknown(run, NOW)
    elif outcome.startswith("is confirmed"):
        engine.note_started(run, int(now * 1000), now)
    elif outcome == "is refused":
        engine.drop(run, "refused: room")
    if outcome.endswith("the run is listed"):
        poll_endpoint(engine, "a", now, [ListedRun(TASK, run.number, "", 10, 0)])
    elif "fail" in outcome:
        poll_endpoint(
            engine, "a", now, ended=[EndedRun(1, TASK, run.number, "failed", "")]
        )
    elif outcome.endswith("restarts"):
        poll_endpoint(engine, "a", now, started_at_ms=2)


@when("a leader of epoch 3 restores the records")
def step_restored(context):
    job = decode(encode(context.job.encode_job()), JobRecord)
    progress = decode(encode(context.job.encode_progress()), ProgressRecord)
    context.engine = make_engine(epoch=3)
    context.engine.restore(JOB, job, progress, NOW)


@then("{count:d} job waits, and callers are told that it is {state}")
def step_waits(context, count, state):
    found = count_waiting(context.engine)
    assert sum(row.count for row in found.values()) == count, found
    assert context.engine.jobs[JOB].state == state, context.engine.jobs[JOB].state


@then(
    "every entry counts all jobs that were accepted 2 s before and wait, or gives no"
    " count"
)
def step_counts(context):
    assert max(sample.least for sample in context.samples) > JOBS / 4
    wrong = [
        sample
        for sample in context.samples
        if sample.count is not None and sample.count < sample.least
    ]
    assert not wrong, f"{len(wrong)} wrong counts, first {wrong[0]}, last {wrong[-1]}"


@then("each of them gives a count again within 3 s of the records being read")
def step_counts_again(context):
    last = {sample.entry: sample for sample in context.samples}
    assert len(last) == len(context.names)
    alive = [row for row in last.values() if row.at > context.loaded_at]
    assert len(alive) == len(context.names) - 1
    assert all(sample.count is not None for sample in alive), alive
