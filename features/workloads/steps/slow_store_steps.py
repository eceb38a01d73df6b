"""Steps for a leader whose store is slow or unavailable, with fakes."""

import asyncio
import contextlib
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    TASK,
    make_configuration,
    make_engine,
    poll_endpoint,
    submit,
)
from virtual_time import run_virtually
from wave_takeover_steps import OPTIONS

from briarshed_entry import clock
from briarshed_workloads.controller import Controller
from briarshed_workloads.fenced_writer import MAX_TRANSACTION_WRITES, FencedWriter
from briarshed_workloads.fleet import Run
from briarshed_workloads.interfaces import (
    Committed,
    Conflicted,
    Item,
    OutcomeUnknownError,
    Put,
)
from briarshed_workloads.outliers import list_stalled_runs
from briarshed_workloads.persistence import Persistence
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.records import JOBS, TermRecord
from briarshed_workloads.workloads import (
    Description,
    EndedRun,
    ListedRun,
    PollResponse,
    Registration,
    Resources,
    Step,
    Submission,
)

CAPACITY = Resources(4_000, 8_000, 0)
STEP = Step(1, NEED, 1.0)
NEWEST = "f" * 16
MIN_POLLS = 3


class Endpoints:
    """Two runs at one endpoint: the first has succeeded, the second continues."""

    def __init__(self):
        self.polls = []

    async def poll(self, name, address, token, acknowledged, deadline_ms, wait):
        """Respond with both runs; list the end until it is acknowledged."""
        self.polls.append((acknowledged, deadline_ms, wait))
        await asyncio.sleep(0.005)
        rows = (ListedRun(TASK._replace(index=1), 2, "", len(self.polls), 0),)
        ended = (EndedRun(1, TASK, 1, "succeeded", ""),)
        return PollResponse(
            int(clock.now() * 1000), 1, rows, ended if not acknowledged else ()
        )


def make_controller(fenced_writer, *, is_store_failing=False, endpoints=None):
    """Return a controller that has loaded its records, with one endpoint."""
    term = SimpleNamespace(
        epoch=2,
        fenced_writer=fenced_writer,
        has_authority=lambda: True,
        measure_authority=lambda: 1.0,
        is_store_failing=is_store_failing,
        lost=asyncio.Event(),
    )
    endpoints = endpoints or Endpoints()
    controller = Controller(OPTIONS, term, None, endpoints, None, None)
    controller.is_loaded = True
    engine = controller.engine
    engine.configuration = make_configuration()
    engine.note_registrations(
        [Registration("a", 1, "", "pool", "d", "r", (), CAPACITY)], clock.now()
    )
    engine.roster = {"a"}
    return controller, endpoints


@given("a leader whose writes do not go through")
def step_leader(context):
    async def run():
        gate = asyncio.Event()

        async def commit(puts, removals=()):
            await gate.wait()

        controller, endpoints = make_controller(SimpleNamespace(commit=commit))
        async with controller:
            submit(controller.engine, JOB, (Step(2, NEED, 60.0),), clock.now())
            controller.spawn(controller.persistence.save(), "save")
            controller.poller.start_polling()
            await asyncio.sleep(2.0)
        context.acknowledged = controller.engine.endpoints["a"].acknowledged
        context.polls = endpoints.polls

    context.play = run


@when("a run succeeds at an endpoint where another one continues, and 2 s pass")
def step_pass(context):
    asyncio.run(context.play())


@then("the endpoint has been polled at least 3 times, and no poll waited")
def step_polled(context):
    later = context.polls[1:]
    assert len(later) >= MIN_POLLS, context.polls
    assert not any(wait for _, _, wait in later), context.polls


@then("its run lease has been extended")
def step_extended(context):
    deadlines = [deadline for _, deadline, _ in context.polls if deadline]
    assert deadlines[-1] > deadlines[0], context.polls


@then("nothing is acknowledged")
def step_nothing(context):
    assert context.acknowledged == 0
    assert not any(acknowledged for acknowledged, _, _ in context.polls)


@given("a run of an estimated 1 s that was listed by a poll 1 s after its start")
def step_run(context):
    context.engine = make_engine(names=("a",))
    poll_endpoint(context.engine, "a", NOW)
    submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)
    (order,) = plan_starts(context.engine, NOW)
    context.run = order.run
    context.engine.note_started(order.run, int(NOW * 1000), NOW)
    listed = ListedRun(TASK, order.run.number, "", 50, 0)
    poll_endpoint(context.engine, "a", NOW + 1, [listed])


@when("its endpoint answers a start order 2.5 s later, and is not polled")
def step_answers(context):
    run = context.run
    other = Run(run.task, run.number, run.endpoint, run.step, run.need, "team", NOW)
    other.token = run.endpoint.token
    context.engine.note_started(other, int((NOW + 3.5) * 1000), NOW + 3.5)
    rows = context.engine.endpoints.values()
    context.stalled = list_stalled_runs(rows, NOW + 3.7)


@then("the run is not stopped")
def step_not_stopped(context):
    assert not context.stalled


class LosingStore:
    """Executes every transaction, but loses the first response."""

    def __init__(self):
        self.revision = 1
        self.value = b""
        self.calls = 0
        self.answered_at = clock.now()

    async def commit(self, conditions, puts, removals=(), timeout=1.0):
        """Replace the term item if the condition holds."""
        self.calls += 1
        ((key, revision),) = conditions
        if revision != self.revision:
            return Conflicted({key: Item(key, self.value, self.revision, 1)})
        self.revision += 1
        self.value = puts[0].value
        if self.calls == 1:
            await asyncio.sleep(timeout)
            raise OutcomeUnknownError("no answer")
        return Committed(self.revision)


@given("a store that loses the response to the first of two writes")
def step_losing(context):
    context.store = LosingStore()


@when("both are committed")
def step_commit(context):
    async def run():
        fenced_writer = FencedWriter(context.store, TermRecord(1, "e/i", 0), 1)
        started_at = clock.now()
        for number in range(2):
            await fenced_writer.commit([Put(f"k{number}", b"v")])
        return clock.now() - started_at, fenced_writer.is_failing

    context.seconds, context.failing = asyncio.run(run())


@then("they are done within {bound:g} s")
def step_within(context, bound):
    assert context.seconds < bound, context.seconds
    assert not context.failing


@given(
    "a leader whose writes have failed for {seconds:g} s and whose lease is {renewed}"
)
def step_failing(context, seconds, renewed):
    async def run():
        is_failing = renewed != "renewed"
        # A lease that was renewed meanwhile shows that the store answers other calls.
        answered_at = clock.now() - (1.0 if is_failing else 0.1)
        store = SimpleNamespace(answered_at=answered_at)
        fenced_writer = FencedWriter(store, TermRecord(1, "e/i", 0), 1)
        if seconds:
            fenced_writer.failing_since = clock.now() - seconds
        controller, _ = make_controller(fenced_writer, is_store_failing=is_failing)
        return controller.can_accept()

    context.is_accepted = asyncio.run(run())


@given("a leader whose last write was refused by the store")
def step_refused(context):
    async def run():
        fenced_writer = FencedWriter(None, TermRecord(1, "e/i", 0), 1)
        fenced_writer.failing_since = clock.now() - 0.05
        fenced_writer.last_attempt_not_executed = True
        controller, _ = make_controller(fenced_writer)
        return controller.can_accept()

    context.is_accepted = asyncio.run(run())


@then("a job is {verdict}")
def step_verdict(context, verdict):
    assert context.is_accepted == (verdict == "accepted")


@given("a leader with 200 jobs whose progress is unsaved, and writes of 0.05 s")
def step_unsaved(context):
    context.engine = make_engine()
    for number in range(200):
        submit(context.engine, f"{number:016x}", (STEP,), NOW)


@when("a job is submitted after the first write has begun")
def step_submitted(context):
    engine = context.engine

    async def run():
        writes, has_begun, is_done = [], asyncio.Event(), asyncio.Event()

        async def commit(puts, removals=()):
            writes.append([*(put.key for put in puts), *removals])
            has_begun.set()
            await asyncio.sleep(0.05)
            if sum(len(row) for row in writes) > 200:
                is_done.set()

        fenced_writer = SimpleNamespace(commit=commit, commit_count=0)
        term = SimpleNamespace(fenced_writer=fenced_writer, epoch=2)
        persistence = Persistence(term, engine, None, None, 120.0, lambda _: None)
        saving = asyncio.create_task(persistence.save())
        persistence.request_save()
        async with asyncio.timeout(20):
            await has_begun.wait()
            steps = Description("", (STEP,))
            engine.accept(Submission(NEWEST, "q", "pool", "team", NOW, steps), NOW)
            persistence.pending_acceptances[NEWEST] = (
                asyncio.get_running_loop().create_future()
            )
            persistence.request_save()
            await is_done.wait()
        saving.cancel()
        await asyncio.gather(saving, return_exceptions=True)
        return writes

    context.writes = asyncio.run(run())


@then("it is in the second write")
def step_second(context):
    assert JOBS + NEWEST in context.writes[1], [len(row) for row in context.writes]


@then("every write is full but the last, and none has over 30 entries")
def step_full(context):
    sizes = [len(row) for row in context.writes]
    assert set(sizes[:-1]) == {MAX_TRANSACTION_WRITES}, sizes
    assert sizes[-1] <= MAX_TRANSACTION_WRITES, sizes


@given("40 new jobs, of which the first write holds 30")
def step_new_jobs(context):
    context.engine = make_engine()


@when("the others are refused, and one is handed in again during the second write")
def step_handed_in_again(context):
    engine, written, begun = context.engine, [], asyncio.Queue()

    async def commit(puts, removals=()):
        gate = asyncio.Event()
        await begun.put(gate)
        await gate.wait()
        written.append([put.key for put in puts])

    async def run():
        fenced_writer = SimpleNamespace(commit=commit, commit_count=0)
        term = SimpleNamespace(fenced_writer=fenced_writer, epoch=2)
        persistence = Persistence(term, engine, None, None, 120.0, lambda _: None)
        engine.endpoints.clear()

        def hand_in(job):
            steps = Description("", (STEP,))
            engine.accept(Submission(job, "q", "pool", "team", NOW, steps), NOW)
            future = asyncio.get_running_loop().create_future()
            persistence.pending_acceptances[job] = future
            persistence.request_save()
            return future

        async def wait_for_write():
            async with asyncio.timeout(20):
                return await begun.get()

        for number in range(40):
            hand_in(f"{number:016x}")
        saving = asyncio.create_task(persistence.save())
        first = await wait_for_write()
        refused = persistence.refuse_unsent()
        hand_in(NEWEST)
        first.set()
        second = await wait_for_write()
        again = hand_in(refused[0])
        second.set()
        third = await wait_for_write()
        context.is_early = again.done()
        third.set()
        async with asyncio.timeout(20):
            context.outcome = await again
        context.is_recorded = JOBS + refused[0] in written[2]
        saving.cancel()
        await asyncio.gather(saving, return_exceptions=True)

    asyncio.run(run())


@then("it is accepted by the write that records it, not before")
def step_recorded_first(context):
    assert not context.is_early
    assert context.outcome == "accepted"
    assert context.is_recorded


class FailingStore:
    """Answers each write with an error that tells nothing of its outcome."""

    def __init__(self):
        self.answered_at = clock.now()
        self.calls = 0

    async def commit(self, conditions, puts, removals=(), timeout=1.0):
        """Fail at once."""
        self.calls += 1
        self.answered_at = clock.now()
        raise OutcomeUnknownError("store: unexpected status 500")


@given("a store that answers each write at once with an error")
def step_errors(context):
    context.make_store = FailingStore


@when("a write has failed for 1 s")
def step_failed(context):
    async def run():
        context.store = context.make_store()
        fenced_writer = FencedWriter(context.store, TermRecord(1, "e/i", 0), 1)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await fenced_writer.commit([Put("k", b"v")])

    run_virtually(run())


@then("at most {most:d} attempts were made")
def step_attempts(context, most):
    assert context.store.calls <= most, context.store.calls
