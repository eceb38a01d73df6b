"""Steps for the records of a term; the test decides when a write completes."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    TASK,
    make_engine,
    make_registration,
    poll_endpoint,
    submit,
)

from briarshed_workloads.persistence import Persistence
from briarshed_workloads.placement import list_available
from briarshed_workloads.records import (
    JOBS,
    PROGRESS,
    SIZES,
    ProgressRecord,
    SizesRecord,
    decode,
)
from briarshed_workloads.workloads import EndedRun, Step, TaskId

ENDS = 7
OTHER_JOB = "00000000000000bb"


class FencedWriter:
    """Completes one write at a time, once the gate is open."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.commit_count = 0
        self.keys = []
        self.sizes = []
        self.values = {}

    async def commit(self, puts, removals=()):
        """Wait for the gate and record the write."""
        await self.gate.wait()
        self.commit_count += 1
        self.keys.append([put.key for put in puts])
        self.sizes.append(sum(len(put.value) for put in puts))
        self.values.update({put.key: put.value for put in puts})


def play(context, during=None):
    """Begin a write, call ``during``, complete it; keep the state before and after."""

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
        context.values = fenced_writer.values
        context.writes = list(zip(fenced_writer.keys, fenced_writer.sizes, strict=True))
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
    poll_endpoint(context.engine, "a", NOW, ended=ended)


@given("a leader with a job whose last task has succeeded")
def step_last(context):
    context.engine = make_engine()
    submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)
    poll_endpoint(
        context.engine, "a", NOW, ended=[EndedRun(1, TASK, 5, "succeeded", "")]
    )


@given("a leader with {count:d} jobs")
def step_jobs(context, count):
    context.engine = make_engine()
    for number in range(count):
        submit(context.engine, f"{number:016x}", (Step(1, NEED, 1.0),), NOW)


@given("a leader with {count:d} jobs, each with a checkpoint of {size:d} bytes")
def step_large_jobs(context, count, size):
    step_jobs(context, count)
    for job in context.engine.jobs.values():
        job.note_checkpoint(TaskId(job.job_id, 0, 0, 0), "x" * size)


@then("all jobs are recorded, in writes of at most {limit:d} bytes or one record")
def step_writes(context, limit):
    recorded = {key.removeprefix(PROGRESS) for key in context.values}
    assert recorded == set(context.engine.jobs), len(recorded)
    for keys, size in context.writes:
        assert size <= limit or len(keys) == 1, (size, len(keys))
    assert max(size for _, size in context.writes) > limit


@then("they are recorded in the order in which they arrived")
def step_in_order(context):
    recorded = [key.removeprefix(PROGRESS) for key in context.values]
    assert recorded == list(context.engine.jobs), recorded


@when('a write begins, "a" {starts}, and the write goes through')
def step_restart(context, starts):
    def restart():
        if starts == "answers a poll as a new incarnation":
            poll_endpoint(context.engine, "a", NOW + 1, started_at_ms=2)
        else:
            entries = [make_registration("a", started_at_ms=2), make_registration("b")]
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


@then("the job is not reported as completed")
def step_not_reported(context):
    assert JOB not in context.before[1]


@then("the job is reported as completed")
def step_reported(context):
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


@then("one write contains the outcome of the job and the move")
def step_one_write(context):
    assert [sorted(keys) for keys in context.keys if SIZES in keys] == [
        [JOBS + JOB, SIZES]
    ], context.keys


@given('an endpoint "odd" whose start time exceeds 64 bits')
def step_odd(context):
    rows = [make_registration(name) for name in ("a", "b")]
    rows.append(make_registration("odd", started_at_ms=2**64))
    context.engine.note_registrations(rows, NOW)
    context.engine.roster = set()


@then('endpoints "a" and "b" are recorded, and "odd" gets no runs')
def step_others_recorded(context):
    assert context.engine.roster == {"a", "b"}, context.engine.roster
    poll_endpoint(context.engine, "odd", NOW, started_at_ms=2**64)
    names = {row.name for row in list_available(context.engine, "pool", NOW)}
    assert "odd" not in names and "a" in names, names


@given("another job of {count:d} tasks {content} of {size:d} bytes")
def step_large(context, count, content, size):
    job = submit(context.engine, OTHER_JOB, (Step(count, NEED, 1.0),), NOW)
    for index in range(count):
        task = TaskId(OTHER_JOB, 0, 0, index)
        if content == "with checkpoints":
            job.note_checkpoint(task, "x" * size)
            job.failed_runs[task] = {5}
        else:
            # Nine bytes each.
            job.failed_runs[task] = set(range(2**62, 2**62 + size // 9))
    context.engine.unsaved_jobs[OTHER_JOB] = None


@then(
    "the other job is recorded with its failed runs, and no record exceeds a megabyte"
)
def step_large_recorded(context):
    progress = decode(context.values[PROGRESS + OTHER_JOB], ProgressRecord)
    assert {row.failed_runs for row in progress.tasks} == {(5,)}, progress.tasks[0]
    check_sizes(context)


@then("the other job is not recorded, and no record exceeds a megabyte")
def step_large_not_recorded(context):
    assert PROGRESS + OTHER_JOB not in context.values
    check_sizes(context)


def check_sizes(context):
    """Check that each written value fits into an item of the store."""
    sizes = {key: len(value) for key, value in context.values.items()}
    assert max(sizes.values()) <= 2**20, sizes
