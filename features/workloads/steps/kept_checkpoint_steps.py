"""Steps for checkpoints that a leader keeps."""

from behave import given, then, when
from engine_steps import CAPACITY, JOB, NEED, NOW, make_engine, poll_endpoint, submit

from briarshed_workloads.jobs import COMPLETED
from briarshed_workloads.planning import plan_starts, reserve_run
from briarshed_workloads.reconciliation import correct_state
from briarshed_workloads.records import (
    JobRecord,
    ProgressRecord,
    decode,
    encode,
)
from briarshed_workloads.workloads import EndedRun, ListedRun, Resources, Step, TaskId

CHARACTERS = {
    "ASCII characters": "x",
    "two-byte characters": "é",
    "halves of characters": "\ud800",
}
MB = 1e6


def make_leader(context):
    """Return a leader that has polled its endpoint, and keeps its reports."""
    context.reports = []
    context.engine = engine = make_engine(names=("a",))
    engine.report = lambda event, **fields: context.reports.append(event)
    endpoint = engine.endpoints["a"]
    large = Resources(*(1_000 * part for part in CAPACITY))
    endpoint.registration = endpoint.registration._replace(capacity=large)
    poll_endpoint(engine, "a", NOW)
    context.now = NOW
    return engine


def start(context, job, index=0):
    """Start a task of a job at the endpoint; return the order."""
    engine, step = context.engine, job.description.steps[0]
    task = TaskId(job.job_id, 0, 0, index)
    order = reserve_run(engine, job, task, step, engine.endpoints["a"], context.now)
    engine.note_started(order.run, int(context.now * 1000), context.now)
    return order


def list_runs(context, checkpoints, ended=()):
    """Let the endpoint list runs with these checkpoints."""
    context.now += 0.1
    rows = [
        ListedRun(run.task, run.number, checkpoint, 10, 0)
        for run, checkpoint in checkpoints
    ]
    poll_endpoint(context.engine, "a", context.now, running=rows, ended=ended)


def restore(context, job_id):
    """Return a job as the next leader restores it from its records."""
    job = context.engine.jobs[job_id]
    engine = make_engine(epoch=3)
    engine.restore(
        job_id,
        decode(encode(job.encode_job()), JobRecord),
        decode(encode(job.encode_progress()), ProgressRecord),
        NOW,
    )
    return engine.jobs[job_id]


@given('a leader whose endpoint runs a task with the checkpoint "{checkpoint}"')
def step_runs(context, checkpoint):
    engine = make_leader(context)
    step = Step(1, NEED, 1.0, checkpointing=True)
    context.job = submit(engine, JOB, (step,), NOW)
    context.run = start(context, context.job).run
    context.task = context.run.task
    list_runs(context, [(context.run, checkpoint)])


@when("the run is listed with a checkpoint of {count:d} {characters}")
def step_listed(context, count, characters):
    context.listed = CHARACTERS[characters] * count
    list_runs(context, [(context.run, context.listed)])


@then("the run is present, and the checkpoint is {kept}")
def step_present(context, kept):
    assert context.engine.is_tracked(context.run)
    is_kept = context.job.checkpoints.find(context.task) == context.listed
    assert is_kept == (kept == "kept")
    assert context.reports.count("CHECKPOINT_NOT_KEPT") == (not is_kept)


@when("the run is lost, and the task starts again")
def step_lost(context):
    context.engine.drop(context.run, "lost")
    context.order = start(context, context.job)


@then("the start carries the checkpoint {carried}")
def step_carried(context, carried):
    wanted = context.listed if carried == "that ran" else carried
    assert context.order.checkpoint == wanted, context.order.checkpoint[:10]


@when("the next leader restores the job")
def step_restored(context):
    context.restored = restore(context, JOB)


@then("the task has the checkpoint {carried}")
def step_has(context, carried):
    wanted = context.listed if carried == "that ran" else carried
    found = context.restored.checkpoints.find(context.task)
    assert found == wanted, found[:10]


@when("the run is listed as {outcome} with a checkpoint of {count:d} {characters}")
def step_listed_end(context, outcome, count, characters):
    run, checkpoint = context.run, CHARACTERS[characters] * count
    list_runs(context, [], [EndedRun(1, run.task, run.number, outcome, checkpoint)])


@then("the end is noted, and the job is {state}")
def step_end_noted(context, state):
    assert context.engine.endpoints["a"].last_listed_end == 1
    assert not context.engine.is_tracked(context.run)
    assert context.job.state == state, context.job.state


@given("a leader with {count:d} jobs of {tasks:d} tasks that run")
def step_many(context, count, tasks):
    engine = make_leader(context)
    context.runs = []
    for number in range(count):
        step = Step(tasks, NEED, 1.0, checkpointing=True)
        job = submit(engine, f"{number:016x}", (step,), NOW)
        context.runs += [start(context, job, index).run for index in range(tasks)]


@when("each run is listed with a checkpoint of {count:d} ASCII characters")
def step_each_listed(context, count):
    rows = [(run, f"{number:0{count}}") for number, run in enumerate(context.runs)]
    list_runs(context, rows)


def measure_kept(context):
    """Return the bytes of all checkpoints that are kept."""
    jobs = context.engine.jobs.values()
    return sum(
        len(job.checkpoints.find(task)) for job in jobs for task in job.checkpoints
    )


@then("the checkpoints take at most {size:g} MB, and those beyond it are logged")
def step_bounded(context, size):
    context.kept = measure_kept(context)
    one = context.kept // sum(
        len(job.checkpoints) for job in context.engine.jobs.values()
    )
    assert size * MB - one < context.kept <= size * MB, context.kept
    kept = context.kept // one
    logged = context.reports.count("CHECKPOINT_NOT_KEPT")
    assert logged == len(context.runs) - kept, (logged, kept)


@when("the state is corrected")
def step_correct(context):
    for _ in correct_state(context.engine, (), context.now):
        pass


@then("the checkpoints take as much as before")
def step_as_before(context):
    held = context.engine.job_memory.checkpoints.held
    assert held == context.kept == measure_kept(context), (held, context.kept)


@when("all tasks of half of the jobs succeed, and the other jobs are cancelled")
def step_half(context):
    jobs = list(context.engine.jobs.values())
    for number, job in enumerate(jobs):
        if number % 2:
            context.engine.cancel(job, NOW)
            continue
        for index in range(job.description.steps[0].count):
            job.note_succeeded(TaskId(job.job_id, 0, 0, index), NOW)
        assert job.state == COMPLETED


@then("the checkpoints take {size:g} MB")
def step_take(context, size):
    held = context.engine.job_memory.checkpoints.held
    assert held == measure_kept(context) == size * MB, held


@when("each run is listed with a longer checkpoint, by {count:d} ASCII characters")
def step_longer(context, count):
    rows = [
        (run, f"{number:0{count * number}}")
        for number, run in enumerate(context.runs, 1)
    ]
    list_runs(context, rows[::-1])


def read_recorded(context):
    """Return the checkpoints in the record of the first job, by task index."""
    job = next(iter(context.engine.jobs.values()))
    rows = job.encode_progress().tasks
    return {row.index: row.checkpoint for row in rows if row.checkpoint}


@then("the record holds the first {count:d} checkpoints")
def step_record_first(context, count):
    assert sorted(read_recorded(context)) == list(range(count))


@given("a leader with a gang of {count:d} tasks that run")
def step_gang(context, count):
    engine = make_leader(context)
    submit(engine, JOB, (Step(count, NEED, 1.0, gang=True, checkpointing=True),), NOW)
    orders = plan_starts(engine, NOW)
    assert len(orders) == count, orders
    context.runs = [order.run for order in orders]
    for run in context.runs:
        engine.note_started(run, int(NOW * 1000), NOW)


@when("one of them is listed with a checkpoint of {count:d} ASCII characters")
def step_one_listed(context, count):
    first, *rest = context.runs
    list_runs(context, [(first, "x" * count), *((run, "") for run in rest)])


@then("the record holds no checkpoint")
def step_record_none(context):
    assert not read_recorded(context)


@then("the record holds the checkpoint for each member")
def step_record_each(context):
    assert len(read_recorded(context)) == len(context.runs)


@given("a leader that has restored a completed job")
def step_completed(context):
    engine = make_leader(context)
    record = JobRecord("q", "pool", "team", NOW, COMPLETED, NOW, None)
    engine.restore(JOB, record, None, NOW)


@when('an endpoint lists a run of it with the checkpoint "{checkpoint}"')
def step_lists_ended(context, checkpoint):
    context.task = TaskId(JOB, 0, 0, 0)
    rows = [ListedRun(context.task, 1, checkpoint, 10, 0)]
    poll_endpoint(context.engine, "a", NOW + 1, running=rows)


@then("the run is to be stopped")
def step_to_be_stopped(context):
    orders = context.engine.list_due_stop_orders(NOW + 1)
    assert [order.run.task for order in orders] == [context.task], orders


@when('the run is listed as stopped with the checkpoint "{checkpoint}"')
def step_stopped(context, checkpoint):
    ended = [EndedRun(1, context.task, 1, "stopped", checkpoint)]
    poll_endpoint(context.engine, "a", NOW + 2, ended=ended)


@then("the endpoint has no runs")
def step_no_runs(context):
    assert not context.engine.endpoints["a"].runs
