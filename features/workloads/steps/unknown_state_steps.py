"""Steps for what a leader does not know yet."""

from behave import given, then, when
from engine_steps import (
    JOB,
    NOW,
    RUN_LEASE_S,
    TASK,
    make_configuration,
    make_engine,
    poll_endpoint,
    submit,
)

from briarshed_workloads.jobs import COMPLETED, FAILED
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.records import JobRecord, decode, encode
from briarshed_workloads.workloads import EndedRun, PollResponse, Resources, Step

SMALL = Resources(1, 1, 0)
LISTED = 500


@given("{leader} of an endpoint at which {count:d} tasks have ended")
def step_many_ended(context, leader, count):
    engine = make_engine(2, ("a",))
    poll_endpoint(engine, "a", NOW)
    job = submit(engine, JOB, (Step(count, SMALL, 1.0),), NOW)
    runs = [order.run for order in plan_starts(engine, NOW)]
    assert len(runs) == count
    for run in runs:
        engine.note_started(run, int(NOW * 1000), NOW)
    if leader == "a new leader":
        records = job.encode_job(), job.encode_progress()
        engine = make_engine(3, ("a",))
        engine.earlier_runs_until = NOW + RUN_LEASE_S
        engine.restore(JOB, *records, NOW)
    context.engine = engine
    context.ends = [
        EndedRun(number, run.task, run.number, "succeeded", "")
        for number, run in enumerate(runs, 1)
    ]


@when("the endpoint lists {count:d} of the ends and says that there are more")
def step_lists_some(context, count):
    _list_ends(context.engine, context.ends[:count], NOW + 2, True)


@when("it lists the others")
def step_lists_others(context):
    _list_ends(context.engine, context.ends[LISTED:], NOW + 3, False)


def _list_ends(engine, ends, now, may_have_more):
    endpoint = engine.endpoints["a"]
    response = PollResponse(int(now * 1000), 1, (), tuple(ends), may_have_more)
    engine.note_poll(endpoint, response, endpoint.counter, now - 0.001, now)


@then("no task of these starts again")
def step_none_again(context):
    orders = plan_starts(context.engine, NOW + 2)
    assert not orders, f"{len(orders)} tasks start again, first {orders[0].run.task}"


@then("the job is completed")
def step_completed(context):
    assert context.engine.jobs[JOB].state == COMPLETED


@given("a job of a queue with 2 attempts, accepted by the leader")
def step_two_attempts(context):
    job = submit(make_engine(2), JOB, (Step(1, SMALL, 1.0),), NOW)
    assert job.max_attempts == 2
    context.record = decode(encode(job.encode_job()), JobRecord)


@when("the queue is removed, and a new leader restores the records")
def step_queue_removed(context):
    configuration = make_configuration()._replace(queues={}, queues_by_host={})
    context.engine = make_engine(3, configuration=configuration)
    context.engine.restore(JOB, context.record, None, NOW)


@when("{a} run of the job fails")
def step_run_fails(context, a):
    number = 1 if a == "a" else 2
    end = EndedRun(number, TASK, number, "failed", "")
    poll_endpoint(context.engine, "a", NOW + number, ended=[end])


@then("the job is not shown as failed")
def step_not_failed(context):
    assert context.engine.jobs[JOB].state != FAILED


@then("the job is shown as failed")
def step_failed(context):
    assert context.engine.jobs[JOB].state == FAILED
