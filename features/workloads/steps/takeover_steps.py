"""Steps for a new leader that takes over endpoints."""

from behave import given, then, when
from engine_steps import (
    JOB,
    NEED,
    NOW,
    RUN_LEASE_S,
    TASK,
    make_configuration,
    make_engine,
    make_registration,
    poll_endpoint,
    submit,
)

from briarshed_workloads.configuration import PoolRules, TeamRules
from briarshed_workloads.copies import plan_copies
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Description,
    EndedRun,
    ListedRun,
    Resources,
    Step,
    Submission,
)


@given('endpoint "b" is a later incarnation on the instance of endpoint "a"')
def step_later_incarnation(context):
    for name, started_at_ms in (("a", 1), ("b", 2)):
        endpoint = context.engine.endpoints[name]
        endpoint.registration = endpoint.registration._replace(
            instance="m", started_at_ms=started_at_ms
        )
    context.registrations = [context.engine.endpoints["b"].registration]


@when("the registrations of the endpoints are read")
def step_read(context):
    registrations = getattr(context, "registrations", [make_registration("b")])
    context.engine.note_registrations(registrations, NOW)


@then('the task starts at "b" at once')
def step_starts(context):
    (order,) = plan_starts(context.engine, NOW)
    assert order.run.endpoint.name == "b"


@then('the task does not start before endpoint "a" is fenced or its runs have expired')
def step_waits_for_fence(context):
    engine = context.engine
    assert not plan_starts(engine, NOW)
    assert not plan_starts(engine, NOW + RUN_LEASE_S)
    poll_endpoint(engine, "a", NOW + 1)
    (order,) = plan_starts(engine, NOW + 1)
    assert order.run.task == TASK


SECOND = TASK._replace(step=1)
EARLIER_RUN = 1 << 24


@given("a restored job with two steps of 1 task")
def step_two_steps(context):
    steps = (Step(1, NEED, 1.0), Step(1, NEED, 1.0, after=(0,)))
    submit(context.engine, JOB, steps, NOW).is_restored = True


@when('"a" lists a run of the second step')
def step_second_runs(context):
    poll_endpoint(context.engine, "a", NOW, [ListedRun(SECOND, EARLIER_RUN, "", 10, 0)])


@when('"b" lists the success of the first step')
def step_first_ended(context):
    poll_endpoint(
        context.engine,
        "b",
        NOW,
        ended=[EndedRun(1, TASK, EARLIER_RUN, "succeeded", "")],
    )


@then("nothing is started")
def step_nothing(context):
    assert not plan_starts(context.engine, NOW)


@when('"a" lists the end of that run as "lapsed"')
def step_second_expired(context):
    ended = EndedRun(1, SECOND, EARLIER_RUN, "lapsed", "")
    poll_endpoint(context.engine, "a", NOW + 1, ended=[ended])


@then("the second step is started")
def step_second_started(context):
    (order,) = plan_starts(context.engine, NOW + 1)
    assert order.run.task == SECOND


LIMIT = Resources(2_000, 0, 0)
TWO_TASKS = (Step(2, NEED, 1.0),)


@given(
    'a new leader, a team limited to 2 tasks with a restored job of 2, and "b" polled'
)
def step_limited_team(context):
    plain = make_configuration(LIMIT)
    configuration = plain._replace(
        pools={**plain.pools, "other": PoolRules("other", False, False)},
        teams={
            **plain.teams,
            "limited": TeamRules("limited", 1.0, LIMIT),
            "unlimited": TeamRules("unlimited", 1.0, NO_RESOURCES),
        },
    )
    engine = context.engine = make_engine(
        names=("a", "b", "c"), configuration=configuration
    )
    endpoint = engine.endpoints["c"]
    endpoint.registration = endpoint.registration._replace(pool="other")
    engine.earlier.runs_until = NOW + RUN_LEASE_S + 1.5
    poll_endpoint(engine, "b", NOW)
    poll_endpoint(engine, "c", NOW)
    submit(engine, JOB, TWO_TASKS, NOW).is_restored = True
    context.numbers = iter(range(1, 10))


def submit_of_team(context, team, pool="pool", steps=TWO_TASKS):
    """Submit a job of a team to a pool."""
    engine = context.engine
    job_id = f"{next(context.numbers):016x}"
    submission = Submission(job_id, "q", pool, team, NOW, Description("", steps))
    engine.activate(engine.accept(submission, NOW), NOW)
    return job_id


@when("a job of 2 tasks of that team is submitted to the same pool")
def step_submit_same_pool(context):
    submit_of_team(context, "team")


@when("a job of 2 tasks of that team is submitted to another pool")
def step_submit_other_pool(context):
    submit_of_team(context, "team", "other")


@when("a job of 2 tasks of a team without a limit is submitted")
def step_submit_unlimited(context):
    submit_of_team(context, "unlimited")


@when("a job of 2 tasks of a limited team without restored jobs is submitted")
def step_submit_limited(context):
    submit_of_team(context, "limited")


@then("none of its tasks is started")
def step_none_started(context):
    orders = plan_starts(context.engine, NOW)
    assert not orders, [order.run.task for order in orders]


@when('"a" lists {count:d} runs of the restored job')
def step_restored_runs(context, count):
    listed = [
        ListedRun(TASK._replace(index=index), EARLIER_RUN, "", 10, 0)
        for index in range(count)
    ]
    poll_endpoint(context.engine, "a", NOW, listed)
    plan_starts(context.engine, NOW)


@then("the team has 2 runs")
def step_two_runs(context):
    runs = [
        run
        for endpoint in context.engine.endpoints.values()
        for run in endpoint.runs.values()
        if run.team == "team"
    ]
    assert len(runs) == 2, runs


@then("all of their tasks are started")
def step_all_started(context):
    assert len(plan_starts(context.engine, NOW)) == 4


OVERDUE_AT = NOW + 3.0


@given('"b" lists an overdue run of a speculative step of that team, and "d" is free')
def step_overdue(context):
    engine = context.engine
    engine.add_endpoint(make_registration("d"))
    engine.roster.add("d")
    poll_endpoint(engine, "d", NOW)
    job_id = submit_of_team(
        context, "team", steps=(Step(1, NEED, 1.0, speculative=True),)
    )
    running = [ListedRun(TASK._replace(job=job_id), EARLIER_RUN, "", 10, 0)]
    poll_endpoint(context.engine, "b", NOW, running)


@then("the run is not copied")
def step_not_copied(context):
    assert not plan_copies(context.engine, OVERDUE_AT)


@when("the restored job is cancelled")
def step_cancelled(context):
    engine = context.engine
    engine.cancel(engine.jobs[JOB], NOW)
    for run in [run for runs in engine.runs.values() for run in runs]:
        if run.task.job == JOB:
            engine.drop(run, "stopped")


@then("the run is copied")
def step_copied(context):
    (order,) = plan_copies(context.engine, OVERDUE_AT)
    assert order.run.is_copy
