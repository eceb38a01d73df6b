"""Steps for the engine, which gets events and the time from the test."""

from behave import given, then, when
from hypothesis import given as given_cases
from hypothesis import seed, settings
from hypothesis import strategies as some

from briarshed_workloads.configuration import (
    Configuration,
    PoolRules,
    QueueRules,
    RequestLimits,
    TeamRules,
)
from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import STOPPING, is_within
from briarshed_workloads.jobs import FAILED
from briarshed_workloads.leases import LeaseTimes
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Description,
    EndedRun,
    ListedRun,
    PollResponse,
    Registration,
    Resources,
    Step,
    Submission,
    TaskId,
)

JOB = "00000000000000aa"
TASK = TaskId(JOB, 0, 0, 0)
CAPACITY = Resources(4_000, 8_000, 0)
NEED = Resources(1_000, 1_000, 0)
RUN_LEASE_S = 5.0
LEASE_TIMES = LeaseTimes(RUN_LEASE_S, RUN_LEASE_S, 6.0)
NOW = 100.0


def make_configuration(maximum=NO_RESOURCES):
    """Return a configuration with one pool, one queue and one team."""
    queue = QueueRules("q", "h", "/q/", "pool", 0, 2, 1.6, 0.6, 3.0, False)
    return Configuration(
        1,
        {"q": queue},
        {"pool": PoolRules("pool", False, False)},
        {"team": TeamRules("team", 1.0, maximum)},
        {"key": "team"},
        RequestLimits(),
        {"h": (queue,)},
    )


def make_engine(epoch=2, names=("a", "b"), configuration=None):
    """Return an engine with registered endpoints that are not fenced yet."""
    engine = Engine(epoch, LEASE_TIMES, lambda *_, **__: None)
    engine.configuration = configuration or make_configuration()
    engine.note_registrations([make_registration(name) for name in names], NOW)
    engine.roster = set(names)
    return engine


def make_registration(name, started_at_ms=1):
    """Return the registration of an endpoint."""
    return Registration(
        name, started_at_ms, "", "pool", "d", f"rack {name}", (), CAPACITY
    )


def poll_endpoint(
    engine, name, now, running=(), ended=(), started_at_ms=1, counter=None
):
    """Let an endpoint answer a poll that was sent 1 ms before."""
    endpoint = engine.endpoints[name]
    counter = endpoint.counter if counter is None else counter
    answer = PollResponse(int(now * 1000), started_at_ms, tuple(running), tuple(ended))
    engine.note_poll(endpoint, answer, counter, now - 0.001, now)


def submit(engine, job_id, steps, now):
    """Accept a job and make its tasks ready to start."""
    submission = Submission(job_id, "q", "pool", "team", now, Description("", steps))
    job = engine.accept(submission, now)
    engine.activate(job, now)
    return job


@given('a leader of epoch 2 with an endpoint "a" and an endpoint "b"')
def step_leader(context):
    context.engine = make_engine()
    context.now = NOW
    poll_endpoint(context.engine, "b", NOW)


@given("a restored job with 1 task")
def step_restored(context):
    job = submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)
    job.is_restored = True
    context.engine.earlier.runs_until = NOW + RUN_LEASE_S + 1.5


@given('endpoint "a" lists a run of epoch 1 of that task')
def step_listed(context):
    poll_endpoint(context.engine, "a", NOW, [ListedRun(TASK, 1 << 24, "", 10, 0)])


@when('endpoint "a" does not respond for {seconds:g} s')
def step_silent(context, seconds):
    engine, now = context.engine, NOW + seconds
    endpoint = engine.endpoints["a"]
    engine.note_failing(endpoint, "no answer", now)
    if now > endpoint.find_lease_expiry():
        engine.drop_runs(endpoint, "run lease expired")
    plan_starts(engine, now)


@then('the task runs only at "{name}"')
def step_runs_only(context, name):
    runs = context.engine.runs.get(TASK, [])
    assert [run.endpoint.name for run in runs] == [name], runs


@given("an accepted job with 1 task")
def step_accepted(context):
    poll_endpoint(context.engine, "a", NOW)
    context.job = submit(context.engine, JOB, (Step(1, NEED, 1.0),), NOW)


@given('the task runs at "a"')
def step_runs(context):
    context.engine.endpoints["b"].full_until = NOW + 1
    (order,) = plan_starts(context.engine, NOW)
    context.run = order.run
    context.engine.note_started(order.run, int(NOW * 1000), NOW + 0.01)
    context.engine.endpoints["b"].full_until = 0.0
    assert order.run.endpoint.name == "a"


@when('the start order at "a" gets no response')
def step_no_answer(context):
    context.engine.endpoints["b"].full_until = NOW + 1
    (order,) = plan_starts(context.engine, NOW)
    order.run.token = order.run.endpoint.token
    context.old_counter = order.run.endpoint.counter
    context.engine.note_outcome_unknown(order.run, NOW)


@then('the task has one reserved run at "a"')
def step_one_reserved(context):
    (run,) = context.engine.runs[TASK]
    assert run.endpoint.name == "a"
    assert not context.job.waiting
    assert not plan_starts(context.engine, NOW + 2)


@when('"a" lists no runs in response to a poll with the old token')
def step_old_poll(context):
    poll_endpoint(context.engine, "a", NOW + 1, counter=context.old_counter)


@when('"a" lists no runs in response to a poll with the new token')
def step_new_poll(context):
    poll_endpoint(context.engine, "a", NOW + 1)


@then("the task waits")
def step_waits(context):
    assert TASK in context.job.waiting
    assert not context.engine.runs.get(TASK)


@then("the task has succeeded")
def step_succeeded(context):
    assert context.job.has_succeeded(TASK)
    assert not context.job.is_open


@when('"a" lists the end "{end}" of the run')
def step_ends(context, end):
    context.end = EndedRun(1, TASK, context.run.number, end, "")
    poll_endpoint(context.engine, "a", NOW + 1, ended=[context.end])


@when("a leader of epoch 3 restores the records and gets the same end again")
def step_next_leader(context):
    record, progress = context.job.encode_job(), context.job.encode_progress()
    engine = make_engine(epoch=3)
    engine.restore(JOB, record, progress, NOW + 2)
    poll_endpoint(engine, "a", NOW + 2, ended=[context.end])
    context.engine, context.job = engine, engine.jobs[JOB]


@then("the task has 1 failed run")
def step_one_failed(context):
    assert len(context.job.failed_runs[TASK]) == 1


@then("the job is not failed")
def step_not_failed(context):
    assert context.job.state != FAILED


@when('"a" answers a poll as a later incarnation')
def step_restarted(context):
    poll_endpoint(context.engine, "a", NOW + 1, started_at_ms=2)


@then('"a" gets no runs until it is fenced and recorded again')
def step_not_usable(context):
    context.engine.endpoints["b"].full_until = NOW + 9
    assert not plan_starts(context.engine, NOW + 1)
    poll_endpoint(context.engine, "a", NOW + 2, started_at_ms=2)
    assert not plan_starts(context.engine, NOW + 2)
    context.engine.roster.add("a")
    assert plan_starts(context.engine, NOW + 2)


@when('"a" lists a run of an unknown job')
def step_unknown(context):
    poll_endpoint(context.engine, "a", NOW, [ListedRun(TASK, 7, "", 0, 0)])


@then('the run is to be stopped for "unknown job"')
def step_to_stop(context):
    (stop,) = context.engine.list_due_stop_orders(NOW + 1)
    assert stop.reason == "unknown job"
    assert stop.run.state == STOPPING


@then('"a" has no more than the rest of its capacity free')
def step_capacity(context):
    # The resources of an unknown run are not known, so that none are reserved for it.
    assert context.engine.endpoints["a"].find_free() <= CAPACITY


@then('nothing starts at "a" before that run has ended')
def step_nothing_starts(context):
    engine = context.engine
    engine.endpoints["b"].full_until = NOW + 9
    submit(engine, "00000000000000cc", (Step(1, NEED, 1.0),), NOW)
    assert not plan_starts(engine, NOW + 1)
    poll_endpoint(engine, "a", NOW + 2, ended=[EndedRun(1, TASK, 7, "stopped", "")])
    assert plan_starts(engine, NOW + 2)


@given('an order at "b" got no response, and a poll with a higher token was answered')
def step_settled(context):
    endpoint = context.engine.endpoints["b"]
    endpoint.require_fence()
    poll_endpoint(context.engine, "b", NOW + 1)
    context.token = endpoint.token


@when('"b" is not registered for a while and then again')
def step_registered_again(context):
    engine = context.engine
    engine.note_registrations([make_registration("a")], NOW + 2)
    assert "b" not in engine.endpoints
    engine.note_registrations([make_registration(name) for name in "ab"], NOW + 5)


@then('the next poll of "b" has a higher token than all before')
def step_higher(context):
    assert context.engine.endpoints["b"].token > context.token


EVENTS = some.lists(
    some.tuples(
        some.sampled_from(
            [
                "submit",
                "plan",
                "end",
                "fail",
                "lose",
                "poll",
                "restart",
                "restart_unseen",
                "register",
            ]
        ),
        some.integers(0, 3),
        some.integers(1, 4),
    ),
    min_size=20,
    max_size=60,
)
MAXIMUM = Resources(6_000, 0, 0)


class Model:
    """A model of endpoints that execute the orders of the engine under test."""

    def __init__(self):
        self.names = ("a", "b", "c")
        self.engine = make_engine(2, self.names, make_configuration(MAXIMUM))
        self.now = NOW
        self.present = {name: {} for name in self.names}
        self.numbers = dict.fromkeys(self.names, 0)
        self.started_at_ms = dict.fromkeys(self.names, 1)
        self.doubtful = []
        self.succeeded = set()
        self.count = 0
        for name in self.names:
            poll_endpoint(self.engine, name, self.now)

    def apply(self, event, place, size):
        """Apply one event and check the invariants."""
        self.now += 0.05
        name = self.names[place % len(self.names)]
        getattr(self, f"do_{event}")(name, size)
        self.check()

    def do_submit(self, _, size):
        """Submit a job with ``size`` tasks."""
        self.count += 1
        job_id = f"{self.count:016x}"
        submit(self.engine, job_id, (Step(size, NEED, 1.0),), self.now)

    def do_plan(self, _, size):
        """Start what fits; some responses are lost, of executed and other orders."""
        for number, order in enumerate(plan_starts(self.engine, self.now)):
            run = order.run
            run.token = run.endpoint.token
            assert run.task not in self.succeeded
            is_lost = (number + size) % 4 == 0
            if not is_lost or size % 2:
                self.present[run.endpoint.name][run.task, run.number] = run
            if is_lost:
                self.engine.note_outcome_unknown(run, self.now)
            else:
                clock_ms = int(self.now * 1000)
                self.engine.note_started(run, clock_ms, self.now)

    def do_poll(self, name, _):
        """Let an endpoint answer a poll."""
        running = [ListedRun(task, run, "", 10, 0) for task, run in self.present[name]]
        poll_endpoint(
            self.engine, name, self.now, running, started_at_ms=self.started_at_ms[name]
        )

    def do_end(self, name, _):
        """End a run with success."""
        self.finish(name, "succeeded")

    def do_fail(self, name, _):
        """End a run with failure."""
        self.finish(name, "failed")

    def finish(self, name, outcome):
        """End the oldest run at an endpoint and list it."""
        if not self.present[name]:
            return
        self.do_poll(name, 0)
        task, run = next(iter(self.present[name]))
        del self.present[name][task, run]
        if outcome == "succeeded":
            self.succeeded.add(task)
        self.numbers[name] += 1
        ended = EndedRun(self.numbers[name], task, run, outcome, "")
        running = [ListedRun(*key, "", 10, 0) for key in self.present[name]]
        poll_endpoint(
            self.engine, name, self.now, running, [ended], self.started_at_ms[name]
        )

    def do_restart(self, name, size):
        """Restart an endpoint under the same name, and let it answer a poll."""
        self.do_restart_unseen(name, size)
        poll_endpoint(
            self.engine, name, self.now, started_at_ms=self.started_at_ms[name]
        )

    def do_restart_unseen(self, name, _):
        """Restart an endpoint under the same name."""
        self.present[name].clear()
        self.numbers[name] = 0
        self.started_at_ms[name] += 1

    def do_register(self, _, size):
        """Read the registrations of all endpoints."""
        rows = [
            make_registration(name, self.started_at_ms[name]) for name in self.names
        ]
        self.engine.note_registrations(rows, self.now)

    def do_lose(self, name, _):
        """Let an endpoint leave a poll unanswered."""
        endpoint = self.engine.endpoints[name]
        self.engine.note_failing(endpoint, "no answer", self.now)

    def check(self):
        """Check capacities, the team's limit and that no task runs twice."""
        total = Resources()
        tasks = []
        for name in self.names:
            used = Resources(*(part * len(self.present[name]) for part in NEED))
            assert is_within(Resources(), used, CAPACITY), (name, used)
            total = Resources(*(a + b for a, b in zip(total, used, strict=True)))
            tasks += [task for task, _ in self.present[name]]
        assert len(tasks) == len(set(tasks)), tasks
        assert total.cpu <= MAXIMUM.cpu


@then("random events keep to capacities, limits and one run per task")
def step_random(context):
    @seed(20_261_204)
    @settings(max_examples=300, deadline=None, database=None)
    @given_cases(EVENTS)
    def play(events):
        model = Model()
        for event in events:
            model.apply(*event)

    play()
