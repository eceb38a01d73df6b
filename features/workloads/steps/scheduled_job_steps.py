"""Steps for scheduled jobs; the time is given to the engine by the test."""

import contextlib
import signal

from behave import given, then, when
from engine_steps import JOB, NEED, NOW, make_engine, poll_endpoint
from hypothesis import given as given_cases
from hypothesis import seed, settings
from hypothesis import strategies as some

from briarshed_workloads.jobs import CANCELLED, COMPLETED, Job
from briarshed_workloads.leadership import RENEWAL_INTERVAL_S
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.reconciliation import correct_state
from briarshed_workloads.records import (
    JobRecord,
    ProgressRecord,
    decode,
    encode,
)
from briarshed_workloads.sizing import find_remaining_work
from briarshed_workloads.workloads import (
    Description,
    Schedule,
    Step,
    Submission,
    TaskId,
)

STEPS = (Step(2, NEED, 1.0), Step(1, NEED, 1.0, after=(0,)))
ALL_TASKS = [
    (number, i) for number, step in enumerate(STEPS) for i in range(step.count)
]
HOUR_S = 3_600.0
INTERVAL_S = 60.0
CASES = 200


@contextlib.contextmanager
def limit_processor_time(seconds):
    """Raise an error if the block takes more processor time."""

    def stop(*_):
        raise AssertionError(f"not done after {seconds} s of processor time")

    former = signal.signal(signal.SIGPROF, stop)
    signal.setitimer(signal.ITIMER_PROF, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, former)


def make_record(occurrences, first_due, interval=INTERVAL_S, steps=STEPS):
    """Return the record of an accepted job with a schedule."""
    schedule = Schedule(first_due, interval, occurrences)
    description = Description("", steps, schedule)
    return JobRecord("q", "pool", "team", NOW, "", 0.0, description)


def restore(record, progress, now):
    """Return a new leader that has restored a job from its records, and the job."""
    engine = make_engine(epoch=3)
    record = decode(encode(record), JobRecord)
    progress = progress and decode(encode(progress), ProgressRecord)
    engine.restore(JOB, record, progress, now)
    return engine, engine.jobs[JOB]


def succeed(job, occurrence, now):
    """Let each task of an occurrence succeed."""
    for number, step in enumerate(STEPS):
        for index in range(step.count):
            job.note_succeeded(TaskId(JOB, occurrence, number, index), now)


def use(context, record, progress=None, now=NOW):
    """Let a leader restore a job, which the following steps use."""
    context.record, context.now = record, now
    context.engine, context.job = restore(record, progress, now)


@given("a scheduled job with {count:d} occurrences that begins in an hour")
def step_future(context, count):
    context.record, context.progress = make_record(count, NOW + HOUR_S), None
    context.job = None


@given(
    "a scheduled job with 1000000000 occurrences, of which {completed:d} are completed"
)
def step_completed_before(context, completed):
    first_due = NOW - completed * INTERVAL_S
    context.record = make_record(1_000_000_000, first_due)
    context.progress = ProgressRecord(False, (), (), completed, ())
    context.job = None


@given("a scheduled job with {count:d} overdue occurrences")
def step_overdue(context, count):
    context.now = NOW + count * INTERVAL_S
    use(context, make_record(count, NOW), now=context.now)


@given("a scheduled job with 1000000000 overdue occurrences, one each {interval:g} s")
def step_long_overdue(context, interval):
    context.now = NOW + 1_000_000_000 * max(interval, 1.0)
    context.record = make_record(1_000_000_000, NOW, interval)
    context.job, context.progress = None, None


@given("a scheduled job with 2 overdue occurrences of 1500 tasks")
def step_wide(context):
    context.record = make_record(2, NOW, steps=(Step(1_500, NEED, 1.0),))
    context.now = NOW + HOUR_S


@when("a leader restores it")
def step_leader_restores(context):
    use(context, context.record, now=context.now)


@then("{count:d} tasks wait")
def step_count_waiting(context, count):
    assert len(context.job.waiting) == count, len(context.job.waiting)


@when("all of them but one are ordered")
def step_ordered(context):
    for task in list(context.job.waiting)[1:]:
        context.job.note_ordered(task)
    context.job.open_due(context.now)


@when("the first {count:d} occurrences are completed")
def step_complete_first(context, count):
    for occurrence in range(count):
        succeed(context.job, occurrence, context.now)


@then("the tasks of the first {count:d} occurrences wait")
def step_first_wait(context, count):
    check_waiting(context.job, set(range(count)))


@then(
    "the tasks of the first {count:d} occurrences wait, without those of the first"
    " {done:d}"
)
def step_rest_wait(context, count, done):
    check_waiting(context.job, set(range(done, count)))


@given("a scheduled job with {count:d} occurrences, of which 2 tasks run")
def step_running(context, count):
    engine = context.engine = make_engine()
    poll_endpoint(engine, "a", NOW)
    schedule = Schedule(NOW, INTERVAL_S, count)
    submission = Submission(
        JOB, "q", "pool", "team", NOW, Description("", STEPS, schedule)
    )
    context.job = engine.accept(submission, NOW)
    engine.activate(context.job, NOW)
    for order in plan_starts(engine, NOW):
        engine.note_started(order.run, int(NOW * 1000), NOW)
    assert len(engine.runs) == STEPS[0].count


@when("it is cancelled")
def step_cancel(context):
    context.error = None
    try:
        with limit_processor_time(RENEWAL_INTERVAL_S):
            context.engine.cancel(context.job, NOW + 1)
    except AssertionError as error:
        context.error = error


@then("both runs are to be stopped")
def step_to_stop(context):
    orders = context.engine.list_due_stop_orders(NOW + 1)
    assert {order.run.task[1:] for order in orders} == {(0, 0, 0), (0, 0, 1)}, orders
    assert {order.reason for order in orders} == {CANCELLED}, orders


@then("its remaining work is {work:g} core-seconds")
def step_remaining_work(context, work):
    assert find_remaining_work(context.engine, context.job) == work


@when("the job is due, and occurrence 0 is completed")
def step_due_and_completed(context):
    now = NOW + HOUR_S + INTERVAL_S * 2
    context.job.open_due(now)
    succeed(context.job, 0, now)


@given("a record of an earlier version, where occurrences 0, 1 and 3 are completed")
def step_earlier_version(context):
    rows = tuple(
        (occurrence, number, tuple(range(step.count)))
        for occurrence in (0, 1, 3)
        for number, step in enumerate(STEPS)
    )
    context.progress = ProgressRecord(False, rows, ())
    context.job = None


@when("the next leader restores it, plans and corrects its state")
def step_restore(context):
    if context.job is not None:
        context.progress = context.job.encode_progress()
    now = getattr(context, "now", NOW)
    context.error = None
    try:
        with limit_processor_time(RENEWAL_INTERVAL_S):
            context.engine, context.job = restore(context.record, context.progress, now)
            list(correct_state(context.engine, (), now))
            plan_starts(context.engine, now)
    except AssertionError as error:
        context.error = error


@when("the next leader restores it, and the job is due")
def step_restore_due(context):
    due = NOW + HOUR_S + context.record.description.schedule.occurrences * INTERVAL_S
    _, context.job = restore(context.record, context.job.encode_progress(), due)


@then(
    "this took less processor time than the interval of renewing the lease",
)
def step_quick(context):
    assert context.error is None, context.error


@then("no task of the job waits")
def step_none_waits(context):
    assert not context.job.waiting, context.job.waiting


@then("only the tasks of occurrence {occurrence:d} wait")
def step_waits(context, occurrence):
    check_waiting(context.job, {occurrence})


@then("only the tasks of occurrences {first:d} and {second:d} wait")
def step_two_wait(context, first, second):
    check_waiting(context.job, {first, second})


def check_waiting(job, occurrences):
    """Check that the first step's tasks of exactly these occurrences wait."""
    expected = {
        TaskId(JOB, occurrence, 0, index)
        for occurrence in occurrences
        for index in range(STEPS[0].count)
    }
    assert set(job.waiting) == expected, set(job.waiting) ^ expected


@when("all but the last occurrence are completed one after the other")
def step_complete_most(context):
    last = context.record.description.schedule.occurrences - 1
    succeed(context.job, 0, context.now)
    context.size = len(encode(context.job.encode_progress()))
    for occurrence in range(1, last):
        succeed(context.job, occurrence, context.now)


@then("its record is at most 100 bytes longer than after the first")
def step_record_size(context):
    size = len(encode(context.job.encode_progress()))
    assert size <= context.size + 100, (context.size, size)


@when("occurrences 1, 2 and 4 are completed")
def step_complete_some(context):
    for occurrence in (4, 1, 2):
        succeed(context.job, occurrence, context.now)


@when("occurrence 0 is completed")
def step_complete_early(context):
    use(context, context.record)
    succeed(context.job, 0, NOW)


@then("random orders of events complete each occurrence, and then the job")
def step_random(context):
    play_random_events()


@seed(1)
@settings(max_examples=CASES, deadline=None, database=None)
@given_cases(
    some.integers(1, 6),
    some.sampled_from([0.0, 1.0, 5.0]),
    some.lists(
        some.tuples(
            some.sampled_from(["time", "succeed", "fail", "restart"]),
            some.integers(0, 9),
        ),
        max_size=60,
    ),
)
def play_random_events(count, interval, events):
    """Play random events of one job, and check the tasks that wait against a model."""
    record = make_record(count, NOW, interval)
    now = NOW - 1.0
    _, job = restore(record, None, now)
    done: set[TaskId] = set()
    # The last events complete the job, whatever the others have left.
    tasks = count * len(ALL_TASKS)
    for event, choice in [*events, *[("time", 9), ("succeed", 0)] * tasks]:
        if event == "time":
            now += choice
            job.open_due(now)
        elif event == "restart":
            _, job = restore(record, job.encode_progress(), now)
        elif job.waiting:
            task = sorted(job.waiting)[choice % len(job.waiting)]
            assert task not in done, task
            job.note_ordered(task)
            if event == "fail":
                job.requeue(task)
            else:
                assert job.note_succeeded(task, now), task
                done.add(task)
        check_model(job, done, now)
    assert job.state == COMPLETED, (job.state, done)
    assert len(done) == tasks, done


def check_model(job: Job, done: set[TaskId], now: float) -> None:
    """Check that exactly the tasks that are ready and have not succeeded wait."""
    schedule = job.description.schedule
    ready = {
        TaskId(JOB, occurrence, number, index)
        for occurrence in range(schedule.occurrences)
        if schedule.first_due + occurrence * schedule.interval <= now
        for number, step in enumerate(STEPS)
        if all(
            TaskId(JOB, occurrence, other, row) in done
            for other in step.after
            for row in range(STEPS[other].count)
        )
        for index in range(step.count)
    }
    assert set(job.waiting) == ready - done, (set(job.waiting), ready - done)
    assert all(job.has_succeeded(task) for task in done), done
    assert job.is_open == (len(done) < schedule.occurrences * len(ALL_TASKS)), done
