"""Steps for the records of a term; the store takes a write when it is told to."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import JOB, NEED, NOW, TASK, look, make_engine, make_observed, submit

from briarshed_workloads.persistence import Persistence
from briarshed_workloads.records import JOBS, SIZES, SizesRecord
from briarshed_workloads.workloads import EndedRun, Step, TaskId

ENDS = 7


class FencedWriter:
    """Takes one write at a time, when the gate opens."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.commits = 0
        self.keys = []

    async def commit(self, puts, removals=()):
        """Wait until the store is there."""
        await self.gate.wait()
        self.commits += 1
        self.keys.append([put.key for put in puts])


def play(context, during=None):
    """Begin a write, do something meanwhile, let it through; keep what was seen."""

    async def run():
        fenced_writer = FencedWriter()
        term = SimpleNamespace(fenced_writer=fenced_writer, epoch=2)
        persistence = Persistence(
            term, context.engine, None, None, 120.0, lambda _: None
        )
        saving = asyncio.create_task(persistence.save())
        persistence.request_save()
        await asyncio.sleep(0.1)
        endpoint = context.engine.endpoints["a"]
        context.before = endpoint.acknowledged, dict(persistence.outcomes)
        if during is not None:
            during()
        fenced_writer.gate.set()
        await asyncio.sleep(0.1)
        context.after = (
            context.engine.endpoints["a"].acknowledged,
            dict(persistence.outcomes),
        )
        saving.cancel()
        await asyncio.gather(saving, return_exceptions=True)

    asyncio.run(run())


@given('a leader whose endpoint "a" has listed 7 ends')
def step_ends(context):
    context.engine = make_engine()
    submit(context.engine, JOB, (Step(20, NEED, 1.0),), NOW)
    ended = [
        EndedRun(number, TaskId(JOB, 0, 0, number), number, "succeeded", "")
        for number in range(1, ENDS + 1)
    ]
    look(context.engine, "a", NOW, ended=ended)


@given("a leader with a job whose last task has succeeded")
def step_last(context):
    context.engine = make_engine()
    submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)
    look(context.engine, "a", NOW, ended=[EndedRun(1, TASK, 5, "succeeded", "")])


@when('a write begins, "a" {starts}, and the write goes through')
def step_restart(context, starts):
    def restart():
        if starts == "answers a look as a new one":
            look(context.engine, "a", NOW + 1, started_at_ms=2)
        else:
            entries = [make_observed("a", started_at_ms=2), make_observed("b")]
            context.engine.note_registrations(entries, NOW + 1)

    play(context, restart)


@then("no end of the new incarnation is acknowledged")
def step_none_acknowledged(context):
    assert context.after[0] == 0, context.after


@when("a write begins")
def step_begins(context):
    play(context)


@then("no end is acknowledged")
def step_not_yet(context):
    assert context.before[0] == 0


@when("the write goes through")
def step_goes_through(context):
    assert context.after is not None


@then("7 ends are acknowledged")
def step_acknowledged(context):
    assert context.after[0] == ENDS


@then("the job is not told to be completed")
def step_not_told(context):
    assert JOB not in context.before[1]


@then("the job is told to be completed")
def step_told(context):
    assert context.after[1][JOB] == "completed"


@when("an instance is moved and a write goes through")
def step_moved(context):
    async def run():
        fenced_writer = FencedWriter()
        fenced_writer.gate.set()
        term = SimpleNamespace(fenced_writer=fenced_writer, epoch=2)
        persistence = Persistence(
            term, context.engine, None, None, 120.0, lambda _: None
        )
        saving = asyncio.create_task(persistence.save())
        persistence.note_sizes(SizesRecord({"pool": 2}, ("m1",)))
        await asyncio.sleep(0.1)
        saving.cancel()
        await asyncio.gather(saving, return_exceptions=True)
        return fenced_writer.keys

    context.keys = asyncio.run(run())


@then("one write holds the outcome of the job and the move")
def step_one_write(context):
    assert [sorted(keys) for keys in context.keys if SIZES in keys] == [
        [JOBS + JOB, SIZES]
    ], context.keys
