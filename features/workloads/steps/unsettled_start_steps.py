"""Steps for starts without a response that an earlier leader has recorded."""

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    TASK,
    make_engine,
    make_registration,
    poll_endpoint,
)

from briarshed_workloads.jobs import PENDING
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.records import JobRecord, ProgressRecord, TaskRecord
from briarshed_workloads.takeover import restore_unsettled
from briarshed_workloads.workloads import Description, ListedRun, Step

RUN, LATER_RUN = 1 << 24 | 7, 1 << 24 | 9
SETTLED_S = 0.1


@given("a record of a task whose start by the earlier leader had no response at {name}")
def step_recorded(context, name):
    context.engine = engine = make_engine()
    step = Step(1, NEED, 1.0)
    job = JobRecord("q", "pool", "team", NOW, "", 0.0, Description("", (step,)))
    row = TaskRecord(0, 0, 0, (), "", (), ((RUN, name.strip('"')),))
    engine.earlier.note_term_end(NOW)
    engine.restore(JOB, job, ProgressRecord(False, (), (row,), 1, (0,)), NOW)
    restore_unsettled(engine)
    context.job = engine.jobs[JOB]
    context.now = NOW + SETTLED_S


@when('the new leader has not reached "a"')
def step_not_reached(context):
    poll_endpoint(context.engine, "b", context.now)


@when('"a" lists the recorded run')
def step_lists(context):
    poll_endpoint(context.engine, "b", context.now)
    poll_endpoint(context.engine, "a", context.now, [ListedRun(TASK, RUN, "", 10, 0)])


@when('"a" lists no run')
def step_lists_none(context):
    poll_endpoint(context.engine, "a", context.now)


@when('"a" restarts, and lists no run')
def step_restarts(context):
    registrations = [make_registration("a", 2), make_registration("b")]
    context.engine.note_registrations(registrations, context.now)
    poll_endpoint(context.engine, "a", context.now + 0.1, started_at_ms=2)


@when('"b" lists a later run of the task')
def step_lists_later(context):
    poll_endpoint(
        context.engine, "b", context.now, [ListedRun(TASK, LATER_RUN, "", 10, 0)]
    )
    assert not context.engine.list_due_stop_orders(context.now)


@when('"a" is not known any more')
def step_unknown(context):
    step_recorded(context, "c")


@when('"a" has been silent for 12 s')
def step_silent(context):
    engine, now = context.engine, NOW + 12
    engine.note_failing(engine.endpoints["a"], "no response", NOW + 1)
    assert not engine.drop_expired_runs(now - 3.0)
    assert engine.drop_expired_runs(now) == 1


@when('"a" lists the run')
def step_lists_run(context):
    run = context.run
    poll_endpoint(
        context.engine, "a", NOW + 0.1, [ListedRun(TASK, run.number, "", 10, 0)]
    )


@when('"a" lists no run in its next poll')
def step_next_poll(context):
    poll_endpoint(context.engine, "a", NOW + 0.1)


def list_recorded(context):
    """Return the recorded starts without a response."""
    progress = context.engine.jobs[JOB].encode_progress()
    return [start for row in progress.tasks for start in row.unsettled]


@then("the start is recorded")
def step_is_recorded(context):
    assert list_recorded(context) == [(context.run.number, "a")]
    assert JOB in context.engine.unsaved_jobs


@then("no start is recorded")
def step_none_recorded(context):
    assert not list_recorded(context)


@then("the job is pending")
def step_pending(context):
    assert context.engine.jobs[JOB].state == PENDING
    assert not plan_starts(context.engine, NOW + SETTLED_S)
