"""Steps for the memory that jobs take at a leader."""

import gc
import tracemalloc
from collections import Counter

from behave import given, then, when
from engine_steps import JOB, NEED, NOW, make_engine, poll_endpoint, submit
from large_job_steps import make_large_engine

from briarshed.byte_admission import PROCESS_BYTES
from briarshed_workloads.jobs import COMPLETED
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.reconciliation import correct_state
from briarshed_workloads.records import (
    JobRecord,
    ProgressRecord,
    decode,
    encode,
)
from briarshed_workloads.retention import retire_ended
from briarshed_workloads.workloads import (
    Description,
    EndedRun,
    ListedRun,
    Schedule,
    Step,
    TaskId,
)

SMALLEST_LIMIT_BYTES = 200_000_000
MEMORY_BYTES = (SMALLEST_LIMIT_BYTES - PROCESS_BYTES) // 2
INTERVAL_S = 60.0


def describe(counts, occurrences):
    """Return a job with steps that follow each other, whose occurrences are overdue."""
    steps = tuple(
        Step(count, NEED, 1.0, after=(number - 1,) if number else ())
        for number, count in enumerate(counts)
    )
    first_due = NOW - occurrences * INTERVAL_S
    return Description("", steps, Schedule(first_due, INTERVAL_S, occurrences))


def read_counts(text):
    """Return the numbers of tasks of the steps."""
    return [int(count) for count in text.split(",")]


def restore(records, engine=None):
    """Return a leader that has restored jobs from their records."""
    engine = engine or make_engine(epoch=3)
    for job_id, (record, progress) in records.items():
        engine.restore(
            job_id,
            decode(record, JobRecord),
            progress and decode(progress, ProgressRecord),
            NOW,
        )
    return engine


def record_jobs(engine):
    """Return the records of jobs."""
    return {
        job_id: (encode(job.encode_job()), encode(job.encode_progress()))
        for job_id, job in engine.jobs.items()
    }


def measure(work):
    """Return what some work returns, and the bytes that it has kept allocated."""
    tracemalloc.start()
    try:
        result = work()
        return result, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def count_active(job):
    """Return the number of occurrences of which a step is open."""
    return len({occurrence for occurrence, _ in job.opened_steps})


def check_taken(taken):
    """Check the bytes taken, before a fault makes the test itself take many more."""
    assert taken <= MEMORY_BYTES, taken


def end_early_steps(engine):
    """Let each task that waits before the last step succeed, until none waits.

    All tasks of a round run at the same time, so that further occurrences are opened
    before any of them succeeds.
    """
    for job in engine.jobs.values():
        last = len(job.description.steps) - 1
        while job.is_open:
            running = []
            while early := [task for task in job.waiting if task.step < last]:
                for task in early:
                    job.note_ordered(task)
                running += early
                job.open_due(NOW)
            if not running:
                break
            for task in running:
                job.note_succeeded(task, NOW)
                check_taken(tracemalloc.get_traced_memory()[0])


@given(
    "{jobs:d} scheduled jobs with {occurrences:d} overdue occurrences of steps with"
    " {counts} tasks"
)
def step_jobs(context, jobs, occurrences, counts):
    description = describe(read_counts(counts), occurrences)
    record = JobRecord("q", "pool", "team", NOW, "", 0.0, description)
    records = {f"{number:016x}": (encode(record), None) for number in range(jobs)}
    context.engine = restore(records)
    context.taken = 0


@when("all steps before the last one succeed in each occurrence that is open")
def step_early_steps(context):
    engine = context.engine
    _, context.taken = measure(lambda: end_early_steps(engine))


@when("the next leader restores these jobs, plans and corrects its state")
def step_next_leader(context):
    records = record_jobs(context.engine)

    def load():
        engine = restore(records)
        plan_starts(engine, NOW)
        for _ in correct_state(engine, (), NOW):
            pass
        return engine

    context.engine, context.taken = measure(load)


@then("the jobs have taken at most the memory that is meant for them")
def step_bounded(context):
    check_taken(context.taken)


@then("tasks of each job wait")
def step_each_waits(context):
    waiting = {key: len(job.waiting) for key, job in context.engine.jobs.items()}
    assert all(waiting.values()), waiting


@given(
    "a scheduled job of {count:d} occurrences, all of which an earlier version has"
    " opened"
)
def step_opened_before(context, count):
    context.occurrences = count


@given(
    "its steps have {first:d} and {last:d} tasks, of which the first has succeeded in"
    " each"
)
def step_first_succeeded(context, first, last):
    count = context.occurrences
    description = describe([first, last], count)
    record = JobRecord("q", "pool", "team", NOW, "", 0.0, description)
    done = tuple((number, 0, tuple(range(first))) for number in range(count))
    progress = ProgressRecord(False, done, (), count, tuple(range(count)))
    context.records = {f"{0:016x}": (encode(record), encode(progress))}


@when(
    "the next leader restores this job, and an endpoint lists a run of occurrence"
    " {last:d}"
)
def step_adopted(context, last):
    context.engine = make_large_engine(1)
    _, context.taken = measure(lambda: restore(context.records, context.engine))
    (job_id,) = context.engine.jobs
    context.task = TaskId(job_id, last, 1, 0)
    row = ListedRun(context.task, 1, "", 0, 0)
    poll_endpoint(context.engine, "e0", NOW, running=(row,))


@then("the run is not to be stopped")
def step_not_stopped(context):
    assert context.engine.runs[context.task]
    assert not context.engine.list_due_stop_orders(NOW)


@when("each task that waits or runs succeeds until none is left")
def step_all_succeed(context):
    (job,) = context.engine.jobs.values()
    context.successes = Counter()
    context.most_active = 0
    running = [getattr(context, "task", None)]
    while job.is_open:
        context.most_active = max(context.most_active, count_active(job))
        tasks = [*filter(None, running), *job.waiting]
        running = []
        assert tasks, "no task waits or runs"
        for task in tasks:
            context.successes[task] += job.note_succeeded(task, NOW)


@then("each task has succeeded once, and the job is completed")
def step_each_once(context):
    (job,) = context.engine.jobs.values()
    assert job.state == COMPLETED, job.state
    counts = [step.count for step in job.description.steps]
    known = 0 if not hasattr(context, "occurrences") else counts[0]
    wanted = job.count_occurrences() * (sum(counts) - known)
    assert len(context.successes) == wanted, (len(context.successes), wanted)
    assert set(context.successes.values()) == {1}


@then("at most {count:d} of its occurrences was active at a time")
def step_most_active(context, count):
    assert context.most_active <= count, context.most_active


@then("each job has several active occurrences")
def step_several(context):
    context.active = [count_active(job) for job in context.engine.jobs.values()]
    assert min(context.active) > 1, context.active


@when("the first of the jobs is cancelled, and the tasks of the other one are ordered")
def step_cancel_first(context):
    first, second = context.engine.jobs.values()
    context.engine.cancel(first, NOW)
    for task in list(second.waiting):
        second.note_ordered(task)
    second.open_due(NOW)


@when("the second of the jobs is cancelled")
def step_cancel_second(context):
    _, second = context.engine.jobs.values()
    context.engine.cancel(second, NOW)


@then("the second one has more active occurrences than before")
def step_more_active(context):
    job = list(context.engine.jobs.values())[1]
    active = count_active(job)
    assert active > context.active[1], (active, context.active)


@then("no memory is reserved for further occurrences")
def step_none_reserved(context):
    held = context.engine.job_memory.occurrences.held
    assert held == 0, held


def end_job(engine, number, steps, ended):
    """Accept a job, start and let it end."""
    rows = tuple(Step(1, NEED, 1.0, image=f"{number} {row}") for row in range(steps))
    job = submit(engine, f"{number:016x}", rows, NOW)
    if ended == "cancelled":
        job.cancel(NOW)
        return
    for task in list(job.waiting):
        job.note_ordered(task)
        job.note_succeeded(task, NOW)


@given("{count:d} jobs of {steps:d} steps that have {ended}")
def step_ended_jobs(context, count, steps, ended):
    context.engine = engine = make_engine()
    tracemalloc.start()
    for number in range(count):
        end_job(engine, number, steps, ended)


@when("the leader forgets what it needs no more of jobs that have ended")
def step_forget(context):
    retire_ended(context.engine, ())


@then("each job takes at most {size:d} bytes more than before it was accepted")
def step_each_size(context, size):
    gc.collect()
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert taken <= size * len(context.engine.jobs), taken / len(context.engine.jobs)


@then("each job is still reported as {state}")
def step_reported(context, state):
    assert {job.state for job in context.engine.jobs.values()} == {state}


@given("a job that was cancelled while a run of it is listed")
def step_cancelled_running(context):
    context.engine = engine = make_engine(names=("a",))
    poll_endpoint(engine, "a", NOW)
    context.job = submit(engine, JOB, (Step(1, NEED, 1.0),), NOW)
    (order,) = plan_starts(engine, NOW)
    context.run = order.run
    engine.note_started(order.run, int(NOW * 1000), NOW)
    engine.cancel(context.job, NOW)


@then("the job still has its steps, and the run is to be stopped")
def step_has_steps(context):
    assert context.job.description.steps
    orders = context.engine.list_due_stop_orders(NOW)
    assert [order.run for order in orders] == [context.run], orders


@when("the run has ended, and the leader forgets again")
def step_run_ended(context):
    run = context.run
    ended = [EndedRun(1, run.task, run.number, "stopped", "c")]
    poll_endpoint(context.engine, "a", NOW + 1, ended=ended)
    retire_ended(context.engine, ())


@then("the job has no steps")
def step_no_steps(context):
    assert not context.job.description.steps


@when("an endpoint lists a run of it with a checkpoint, and then its end")
def step_late_run(context):
    task = context.run.task
    row = ListedRun(task, 99, "c", 1, 0)
    poll_endpoint(context.engine, "a", NOW + 2, running=[row])
    context.orders = context.engine.list_due_stop_orders(NOW + 2)
    retire_ended(context.engine, ())
    ended = [EndedRun(2, task, 99, "failed", "c")]
    poll_endpoint(context.engine, "a", NOW + 3, ended=ended)


@then("that run is to be stopped, and the endpoint has no runs")
def step_late_stopped(context):
    assert [order.run.number for order in context.orders] == [99], context.orders
    assert not context.engine.endpoints["a"].runs
