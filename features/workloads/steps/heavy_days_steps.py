"""Steps for decisions under load, without network and clock."""

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

from briarshed_workloads.configuration import (
    Configuration,
    PoolRules,
    QueueRules,
    RequestLimits,
    TeamRules,
)
from briarshed_workloads.copies import plan_copies
from briarshed_workloads.disruption import choose_pace, list_evictions
from briarshed_workloads.engine import Engine
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.outliers import (
    list_slow,
    list_stalled_runs,
    measure_slowness,
)
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.reputation import EndpointReputation
from briarshed_workloads.sizing import plan_moves
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Description,
    EndedRun,
    Instance,
    ListedRun,
    Registration,
    Resources,
    Step,
    Submission,
    TaskId,
)

SIZE = Resources(8_000, 16_000, 0)
POOLS = ("p0", "p1")
STOP_GRACE_S = 0.9


def submit_for_team(engine, number, team):
    """Submit a job with one task for a team."""
    steps = (Step(1, NEED, 1.0),)
    submission = Submission(
        f"{number:016x}", "q", "pool", team, NOW, Description("", steps)
    )
    engine.activate(engine.accept(submission, NOW), NOW)


@given("a pool with capacity for 4 tasks")
def step_pool(context):
    context.engine = make_engine(names=("a",))
    poll_endpoint(context.engine, "a", NOW)


@given("a team of weight 1 that submits 20 jobs, and one that submits 2 after it")
def step_hot_team(context):
    rules = {name: TeamRules(name, 1.0, NO_RESOURCES) for name in ("hot", "calm")}
    plain = make_configuration()
    context.engine.configuration = plain._replace(teams=rules)
    for number in range(20):
        submit_for_team(context.engine, number, "hot")
    for number in range(20, 22):
        submit_for_team(context.engine, number, "calm")


@when("waiting tasks are placed")
def step_place(context):
    orders = plan_starts(context.engine, NOW)
    context.teams = [order.run.team for order in orders]


@then("both jobs of the second team start")
def step_calm(context):
    assert context.teams.count("calm") == 2, context.teams


@then("the first team gets the 2 that its weight allows at once")
def step_hot(context):
    assert context.teams.count("hot") == 2, context.teams


class Pools:
    """An engine with two pools, and the platform's list of instances."""

    def __init__(self):
        self.engine = Engine(1, LeaseTimes(4.0, 4.0, 6.0), lambda *_, **__: None)
        queues = {
            pool: QueueRules(pool, "h", pool, pool, 0, 2, 1.6, 0.6, 3.0, True)
            for pool in POOLS
        }
        pools = {pool: PoolRules(pool, False, False) for pool in POOLS}
        pools["reserve"] = PoolRules("reserve", False, True)
        self.engine.configuration = Configuration(
            1, queues, pools, {}, {}, RequestLimits(), {}
        )
        self.instances = {}
        self.registrations = []
        for pool in POOLS:
            for number in range(4):
                self.add(f"{pool}-{number}", pool)
        for number in range(4):
            name = f"spare-{number}"
            self.instances[name] = self.describe(name, "reserve", "")

    def describe(self, name, pool, endpoint):
        """Return an instance of the platform's list."""
        return Instance(name, pool, "up", "d", (), SIZE, endpoint)

    def add(self, name, pool):
        """Add an instance with its endpoint to a pool."""
        self.instances[name] = self.describe(name, pool, f"e-{name}")
        registration = Registration(
            f"e-{name}", 1, "", pool, "d", "r", (), SIZE, instance=name
        )
        self.registrations.append(registration)
        self.engine.note_registrations(self.registrations, NOW)
        poll_endpoint(self.engine, f"e-{name}", NOW)

    def load(self, pool, count, age=0.0):
        """Submit a job that keeps ``count`` instances busy for two seconds."""
        steps = (Step(8 * count, NEED, 2.0),)
        submission = Submission(
            f"{pool:0>16}", pool, pool, "", NOW - age, Description("", steps)
        )
        self.engine.activate(self.engine.accept(submission, NOW), NOW)

    def move(self):
        """Return the planned moves as rows of instance and pool."""
        sizes = dict.fromkeys(POOLS, 4)
        moves = plan_moves(self.engine, self.instances, {}, set(), sizes, NOW)
        return [(move.instance, move.pool) for move in moves]


@given('pools "p0" and "p1" of 4 instances each and 4 in reserve')
def step_pools(context):
    context.pools = Pools()


@given('the 4 in reserve have been moved to "p0"')
def step_moved(context):
    for number in range(4):
        context.pools.add(f"spare-{number}", "p0")


@when('tasks for 8 instances wait in "{pool}"')
def step_load(context, pool):
    context.pools.load(pool, 8)


@when('tasks for 20 instances have waited in "p0" for 60 s')
def step_late(context):
    context.pools.load("p0", 20, age=60.0)


@then('no instance of "p0" moves')
def step_none_moves(context):
    assert not context.pools.move()


@when('nothing waits in "p0"')
def step_idle(context):
    assert not context.pools.engine.list_open("p0")


@then('the 4 in reserve are moved to "p0"')
def step_reserve_moves(context):
    context.moves = context.pools.move()
    expected = [(f"spare-{number}", "p0") for number in range(4)]
    assert sorted(context.moves) == expected, context.moves


@then('no instance of "p1" is moved')
def step_none_taken(context):
    assert not [row for row in context.moves if row[0].startswith("p1")]


@then('4 instances of "p0" get no new runs and move back to the reserve')
def step_retire(context):
    moves = context.pools.move()
    assert len(moves) == 4
    assert {pool for _, pool in moves} == {"reserve"}
    rows = context.pools.engine.endpoints.values()
    assert sum(row.retiring for row in rows) == 4


@when("the next endpoint runs on one of its retired instances")
def step_next_endpoint(context):
    pools = context.pools
    context.moved = min(instance for instance, _ in pools.move())
    before = pools.engine.endpoints[pools.instances[context.moved].endpoint]
    later = before.registration._replace(endpoint="later", started_at_ms=2)
    pools.registrations.append(later)
    pools.engine.note_registrations(pools.registrations, NOW)


@then("that instance does not move")
def step_stays(context):
    moved = [instance for instance, _ in context.pools.move()]
    assert moved and context.moved not in moved, moved


@then('4 instances of "p0" are moved to "p1"')
def step_shift(context):
    moves = context.pools.move()
    taken = [row for row in moves if row[1] == "p1"]
    assert len(taken) == 4, moves


@given("an endpoint where {count:d} different jobs have failed in a row")
def step_failed(context, count):
    context.reputation = EndpointReputation()
    for number in range(count):
        context.ejection_s = context.reputation.note_failure(f"w{number}", NOW)


@then("it is ejected")
def step_ejected(context):
    assert context.ejection_s > 0
    assert context.reputation.ejected_until > NOW


@then("it is not ejected")
def step_not_ejected(context):
    assert context.reputation.ejected_until <= NOW


@given("an endpoint that was ejected")
def step_was_ejected(context):
    step_failed(context, 3)
    context.first = context.ejection_s


@when("one more job fails there")
def step_fails_again(context):
    context.ejection_s = context.reputation.note_failure("w9", NOW + 60)


@then("it is ejected for twice as long")
def step_twice(context):
    assert context.ejection_s == 2 * context.first


@then('the task starts next at "b"')
def step_next_at(context):
    (order,) = plan_starts(context.engine, NOW + 2)
    assert order.run.endpoint.name == "b"


@given("a run of an estimated 1 s that has shown no progress for {seconds:g} s")
def step_stalled(context, seconds):
    context.engine = make_engine(names=("a",))
    poll_endpoint(context.engine, "a", NOW)
    submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)
    (order,) = plan_starts(context.engine, NOW)
    context.engine.note_started(order.run, int(NOW * 1000), NOW)
    now = NOW
    while now < NOW + seconds:
        now += 0.5
        listed = ListedRun(TASK, order.run.number, "", 0, 0)
        poll_endpoint(context.engine, "a", now, [listed])
    context.stalled = list_stalled_runs(context.engine.endpoints.values(), now)


@given("a long-running task that has been at 40 percent for 4 s")
def step_not_serving(context):
    show_progress(context, [40, 40, 40, 40])


@given("a long-running task that has progressed to 40 percent in 4 s")
def step_serving_slowly(context):
    show_progress(context, [10, 20, 30, 40])


def show_progress(context, percents):
    """Let a long-running task list its progress once a second."""
    context.engine = make_engine(names=("a",))
    poll_endpoint(context.engine, "a", NOW)
    submit(context.engine, JOB, (Step(1, NEED, 1.0, long_running=True),), NOW)
    (order,) = plan_starts(context.engine, NOW)
    context.engine.note_started(order.run, int(NOW * 1000), NOW)
    for second, percent in enumerate(percents, 1):
        listed = ListedRun(TASK, order.run.number, "", percent, 0)
        poll_endpoint(context.engine, "a", NOW + second, [listed])
    now = NOW + len(percents)
    context.stalled = list_stalled_runs(context.engine.endpoints.values(), now)


@then("it is stopped")
def step_stopped(context):
    assert len(context.stalled) == 1


@then("it is not stopped")
def step_not_stopped(context):
    assert not context.stalled


@given("4 endpoints of which one takes 5 times as long")
def step_one_slow(context):
    make_slow(context, 1)


@given("4 endpoints that all take 5 times as long")
def step_all_slow(context):
    make_slow(context, 4)


def make_slow(context, count):
    """Make the first ``count`` endpoints take 5 times the estimated run time."""
    context.engine = make_engine(names=("a", "b", "c", "d"))
    for number, endpoint in enumerate(context.engine.endpoints.values()):
        poll_endpoint(context.engine, endpoint.name, NOW)
        for _ in range(12):
            endpoint.reputation.note_speed(5.0 if number < count else 1.0, NOW)


@then("a task goes to one of the others, even if the slow one is empty")
def step_other(context):
    submit(context.engine, JOB, (Step(3, NEED, 1.0),), NOW)
    names = [row.run.endpoint.name for row in plan_starts(context.engine, NOW)]
    assert len(names) == 3
    assert "a" not in names


@then("none counts as slow")
def step_none_slow(context):
    assert not list_slow(measure_slowness(context.engine.endpoints.values(), NOW))


@given("an accepted job with 1 speculative task")
def step_speculative(context):
    poll_endpoint(context.engine, "a", NOW)
    steps = (Step(1, NEED, 1.0, speculative=True),)
    context.job = submit(context.engine, JOB, steps, NOW)


@given("an accepted job with 1 plain task")
def step_plain(context):
    poll_endpoint(context.engine, "a", NOW)
    context.job = submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)


@when('"a" has not responded for {seconds:g} s')
def step_silent_for(context, seconds):
    context.engine.note_failing(context.engine.endpoints["a"], "no answer", NOW + 0.1)
    context.orders = plan_copies(context.engine, NOW + 0.1 + seconds)


@then('{count:d} copies of it start at "b"')
def step_count_copies(context, count):
    names = [order.run.endpoint.name for order in context.orders]
    assert names == ["b"] * count, names


@given("an accepted job with 1 speculative task and a later step")
def step_speculative_then(context):
    poll_endpoint(context.engine, "a", NOW)
    steps = (
        Step(1, NEED, 1.0, speculative=True),
        Step(1, NEED, 1.0, after=(0,)),
    )
    context.job = submit(context.engine, JOB, steps, NOW)


@when('that copy succeeds while "a" still does not respond')
def step_silent_success(context):
    (order,) = context.orders
    context.engine.note_started(order.run, int(NOW * 1000) + 700, NOW + 0.7)
    ended = EndedRun(1, TASK, order.run.number, "succeeded", "")
    poll_endpoint(context.engine, "b", NOW + 1.7, ended=[ended])


@then("the later step is started, and no other copy")
def step_later_only(context):
    now = NOW + 2.0
    assert not plan_copies(context.engine, now)
    (order,) = plan_starts(context.engine, now)
    assert order.run.task.step == 1


@when("it has taken 2.5 times its estimate")
def step_overdue(context):
    listed = ListedRun(TASK, context.run.number, "", 40, 0)
    poll_endpoint(context.engine, "a", NOW + 2.5, [listed])


@then('one copy of it starts at "b"')
def step_copy(context):
    assert not plan_starts(context.engine, NOW + 2.5)
    (order,) = plan_copies(context.engine, NOW + 2.5)
    assert order.run.endpoint.name == "b"
    assert not plan_copies(context.engine, NOW + 2.5)
    context.copy = order.run


@when("the copy succeeds")
def step_copy_succeeds(context):
    context.engine.note_started(context.copy, int(NOW * 1000) + 2_500, NOW + 2.5)
    ended = EndedRun(1, TASK, context.copy.number, "succeeded", "")
    poll_endpoint(context.engine, "b", NOW + 3, ended=[ended])


@then("the first run is to be stopped")
def step_first_stops(context):
    (stop,) = context.engine.list_due_stop_orders(NOW + 3)
    assert stop.run is context.run


@given("a long-running step of 3 tasks with a budget of 1, one on each endpoint")
def step_budget(context):
    names = ("a", "b", "c", "d")
    context.engine = engine = make_engine(names=names)
    for name in names:
        poll_endpoint(engine, name, NOW)
    engine.endpoints["d"].full_until = NOW + 1
    step = Step(3, NEED, 0.1, per_endpoint=1, long_running=True, outage_budget=1)
    submit(engine, JOB, (step,), NOW)
    for order in plan_starts(engine, NOW):
        engine.note_started(order.run, int(NOW * 1000), NOW)
    context.now = NOW + 1
    serve_all(context)


def serve_all(context, names=("a", "b", "c", "d")):
    """Let endpoints list that all their runs serve."""
    for name in names:
        endpoint = context.engine.endpoints[name]
        listed = [
            ListedRun(run.task, run.number, "", 100, 0)
            for run in endpoint.runs.values()
        ]
        poll_endpoint(context.engine, endpoint.name, context.now, listed)


def list_stops(context):
    """Return the stop orders that drain the endpoints that are due."""
    return list_evictions(context.engine, context.now, lambda _: False, STOP_GRACE_S)


@when("all 3 endpoints are due for maintenance")
def step_due(context):
    for name in ("a", "b", "c"):
        context.engine.endpoints[name].evicting = True
    context.stops = list_stops(context)


@then("1 task is stopped")
def step_one_stopped(context):
    (stop,) = context.stops
    context.stopped = stop.run


@when("it serves again elsewhere")
def step_elsewhere(context):
    run, engine = context.stopped, context.engine
    run.stop_requested_at = context.now
    assert not list_stops(context)
    engine.drop(run, "stopped")
    (order,) = plan_starts(engine, context.now)
    assert order.run.endpoint.name == "d"
    engine.note_started(order.run, int(context.now * 1000), context.now)
    assert not list_stops(context)
    context.now += 1
    serve_all(context)


@then("the next one is stopped")
def step_next_stopped(context):
    (stop,) = list_stops(context)
    assert stop.run.task != context.stopped.task
    assert isinstance(stop.run.task, TaskId)


@given(
    "a best-effort run at {pace:d} percent beside one at {ratio:g} of its tail target"
)
def step_best_effort(context, pace, ratio):
    context.after = choose_pace(pace, ratio)


@then("the pace of the best-effort run becomes {after:d} percent")
def step_pace(context, after):
    assert context.after == after, context.after


@when("a new leader has polled 1 of the 3 endpoints, which are due for maintenance")
def step_polled_one(context):
    replace_leader(context, ("a", "d"))


@when("a new leader has polled all 3 endpoints, which are due for maintenance")
def step_new_leader_polled(context):
    replace_leader(context, ("a", "b", "c", "d"))


def replace_leader(context, polled):
    """Let a new leader poll some endpoints; all but "d" are due for maintenance."""
    context.listed = {
        name: [ListedRun(run.task, run.number, "", 100, 0) for run in row.runs.values()]
        for name, row in context.engine.endpoints.items()
    }
    step = context.engine.jobs[JOB].description.steps[0]
    engine = context.engine = make_engine(epoch=3, names=tuple(context.listed))
    engine.earlier.runs_until = context.now + 5.0
    submit(engine, JOB, (step,), NOW).is_restored = True
    for name in polled:
        poll_endpoint(engine, name, context.now, context.listed[name])
    for name in ("a", "b", "c"):
        engine.endpoints[name].evicting = True


@given('the leader has just stopped the task at "a"')
def step_just_stopped(context):
    (run,) = context.engine.endpoints["a"].runs.values()
    context.stopped = run


@then("no task is stopped")
def step_no_stop(context):
    assert not list_stops(context), list_stops(context)


@when('the task at "a" has ended and the others are listed 1 s later')
def step_ended(context):
    context.now += 1
    for name, listed in context.listed.items():
        poll_endpoint(context.engine, name, context.now, listed if name != "a" else ())
    assert not context.engine.endpoints["a"].runs


@when('the task of "a" serves again at "d"')
def step_again(context):
    (order,) = plan_starts(context.engine, context.now)
    assert order.run.endpoint.name == "d"
    context.engine.note_started(order.run, int(context.now * 1000), context.now)
    context.now += 1
    serve_all(context)
    context.stops = list_stops(context)


@when("the endpoints have listed their tasks again 1 s later")
def step_listed_again(context):
    context.now += 1
    serve_all(context)
    context.stops = list_stops(context)


@when('all endpoints but "b" have listed their tasks again 3 s later')
def step_all_but_b(context):
    context.now += 3
    serve_all(context, {"a", "c", "d"})


@then('no task is stopped, except for that at "b"')
def step_none_but_b(context):
    assert {stop.run.endpoint.name for stop in context.stops} <= {"b"}, context.stops


@given('the endpoint "c" shuts down')
def step_shuts_down(context):
    endpoint = context.engine.endpoints["c"]
    endpoint.registration = endpoint.registration._replace(draining=True)


@then('only the task at "c" is stopped')
def step_only_c(context):
    assert [stop.run.endpoint.name for stop in context.stops] == ["c"], context.stops


@then("no task is stopped or started")
def step_none_stopped(context):
    assert not list_stops(context)
    assert not plan_starts(context.engine, context.now)


@when("the new leader has polled all 3 endpoints")
def step_polled_all(context):
    for name, listed in context.listed.items():
        poll_endpoint(context.engine, name, context.now, listed)
    context.stops = list_stops(context)
