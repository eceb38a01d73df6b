"""Steps for the evacuation of a data centre, with the time as an input."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from engine_steps import JOB, NEED, NOW, make_engine, poll_endpoint, submit
from virtual_fleet import Fleet, make_wave
from virtual_time import run_virtually

from briarshed import events
from briarshed_entry import clock
from briarshed_workloads import start_permit
from briarshed_workloads.configuration import PoolRules
from briarshed_workloads.disruption import list_evictions
from briarshed_workloads.evacuation import (
    EvacuationChange,
    Evacuations,
    find_confined_step,
)
from briarshed_workloads.interfaces import Accepted, PermitExpiredError
from briarshed_workloads.orders import OrderSender
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.sizing import plan_moves
from briarshed_workloads.start_permit import StartPermit
from briarshed_workloads.waiting import list_waiting
from briarshed_workloads.workloads import (
    Description,
    Instance,
    ListedRun,
    Registration,
    Resources,
    Step,
)

CAPACITY = Resources(4_000, 8_000, 0)
PLACES = {"a": "d1", "b": "d1", "c": "d2"}

STOP_GRACE_S, SETTLED_S = 0.2, 0.3


@given("no data centre is evacuated")
def step_none(context):
    context.evacuations = Evacuations()


@when("an entry learns of {changes}")
def step_learn(context, changes):
    known = context.evacuations
    for part in changes.split("; "):
        words = part.replace(":", "").split()
        if words[0] == "all":
            rows = []
            if words[3] != "none":
                rows = [EvacuationChange(words[3], True, int(words[5]))]
            known.note_complete(rows, int(words[2]), NOW)
        else:
            is_request = words[1] == "requested"
            change = EvacuationChange(words[0], is_request, int(words[3]))
            known.note_changes([change], NOW)


@then("{evacuated} is evacuated")
def step_evacuated(context, evacuated):
    names = [view.data_centre for view in context.evacuations.list_views()]
    assert (", ".join(names) or "none") == evacuated, names


@given('2 endpoints in "d1" and 1 in "d2", each for 4 tasks')
def step_endpoints(context):
    engine = context.engine = make_engine(names=())
    register(engine)
    engine.roster = set(PLACES)
    for name in PLACES:
        poll_endpoint(engine, name, NOW)


def register(engine, cold=()):
    """Let the endpoints register."""
    engine.note_registrations(
        [
            Registration(
                name,
                1,
                name,
                "pool",
                place,
                f"rack {name}",
                (f"label {place}",),
                CAPACITY,
                cold_remaining=3.0 if place in cold else 0.0,
            )
            for name, place in PLACES.items()
        ],
        NOW,
    )


def change(engine, data_centre, is_evacuated=True, revision=5):
    """Evacuate a data centre, or return it."""
    row = EvacuationChange(data_centre, is_evacuated, revision)
    assert engine.evacuated.note_changes([row], NOW)


@given('"d1" is evacuated')
def step_evacuate(context):
    change(context.engine, "d1")


@given('the endpoints in "d1" are cold')
def step_cold(context):
    register(context.engine, ("d1",))


@given("a job with {count:d} tasks is planned")
@when("a job with {count:d} tasks is planned")
def step_plan(context, count):
    submit(context.engine, JOB, (Step(count, NEED, 1.0),), NOW)
    context.orders = plan_starts(context.engine, NOW)


@when('"d1" is returned and tasks are planned')
def step_return(context):
    change(context.engine, "d1", False, 6)
    context.orders += plan_starts(context.engine, NOW)


@then('{one:d} tasks start in "d1" and {other:d} in "d2"')
def step_starts(context, one, other):
    places = [order.run.endpoint.registration.data_centre for order in context.orders]
    assert (places.count("d1"), places.count("d2")) == (one, other), places


@then('its endpoints are "evacuated" in the log of waiting tasks')
def step_logged(context):
    (row,) = list_waiting(context.engine, NOW)
    assert row.endpoints["evacuated"] == 2, row


@given("a leader with {basis} that read the evacuations {age:g} s ago")
def step_age(context, basis, age):
    engine = context.engine = make_engine()
    engine.evacuated.read_at = NOW - age
    context.term = SimpleNamespace(
        has_lease=lambda: basis == "a lease", store_back_at=0.0
    )


@given("the store was back {back:g} s ago")
def step_back(context, back):
    context.term.store_back_at = NOW - back


@then("its starts are {outcome} with a limit of {limit:g} s")
def step_permit(context, outcome, limit):
    permit = StartPermit(context.term, context.engine, limit)
    assert permit.check(NOW) == permit.is_valid(NOW) == (outcome == "permitted")


@when("its starts are withheld, and it regains authority {seconds:g} s later")
def step_regain(context, seconds):
    permit = StartPermit(context.term, context.engine, MAX_AGE_S)
    context.logged = []
    with patch.object(
        start_permit, "log_event", lambda event, **fields: context.logged.append(event)
    ):
        assert not permit.check(NOW)
        assert not permit.check(NOW + 1.0)
        permit.note_authority()
        assert not permit.check(NOW + seconds)
        context.engine.evacuated.read_at = NOW + seconds + 1.0
        assert permit.check(NOW + seconds + 2.0)


@then("its log tells of starts withheld at 0 s and 20 s")
def step_withheld(context):
    expected = [events.STARTS_WITHHELD] * 2 + [events.STARTS_RESUMED]
    assert context.logged == expected, context.logged


class Sink:
    """Accepts the starts that are still permitted when they would be sent."""

    def __init__(self):
        self.sent = []

    async def start(self, name, address, order, permit):
        """Start a run, unless it is not permitted any more."""
        if not permit():
            raise PermitExpiredError("not permitted")
        self.sent.append(name)
        return Accepted(int(NOW * 1000))


class Term:
    """A term with authority."""

    epoch = 2

    def has_authority(self):
        """Return True."""
        return True

    def measure_authority(self):
        """Return how long it lasts at least."""
        return 1.0


class Poller:
    """Has read the clock of each endpoint."""

    async def read_clock(self, endpoint):
        """Return True."""
        return True

    def wake(self, name):
        """Do nothing."""


def send(context, orders):
    """Send starts, and keep those that the endpoints get."""
    sink = context.sink = getattr(context, "sink", None) or Sink()
    sender = OrderSender(
        Term(),
        context.engine,
        sink,
        Poller(),
        lambda now: True,
        lambda work, name: work.close(),
        lambda: None,
        lambda: None,
    )

    async def run():
        for order in orders:
            await sender.send_start(order)

    asyncio.run(run())


@when('"d1" is evacuated before the starts are sent')
def step_before_sent(context):
    change(context.engine, "d1")
    send(context, context.orders)


@given('a gang of 12 tasks is planned, of which those in "d2" are sent')
def step_gang(context):
    submit(context.engine, JOB, (Step(12, NEED, 1.0, gang=True),), NOW)
    orders = plan_starts(context.engine, NOW)
    assert len(orders) == 12
    send(context, [order for order in orders if order.run.endpoint.name == "c"])
    context.orders = [order for order in orders if order.run.endpoint.name != "c"]


@when('"d1" is evacuated before the other starts are sent')
def step_before_others(context):
    change(context.engine, "d1")
    send(context, context.orders)


@then('{one:d} tasks were sent to "d1" and {other:d} to "d2"')
def step_sent(context, one, other):
    places = [PLACES[name] for name in context.sink.sent]
    assert (places.count("d1"), places.count("d2")) == (one, other), places


@then("{count:d} tasks wait again")
def step_wait(context, count):
    assert len(context.engine.jobs[JOB].waiting) == count


@then('the 4 members in "d2" are to be stopped')
def step_members(context):
    stops = context.engine.list_due_stop_orders(NOW)
    assert [stop.run.endpoint.name for stop in stops] == ["c"] * 4, stops
    assert {stop.reason for stop in stops} == {"its gang is incomplete"}


@given('{count:d} {kind} tasks run in "d1" and {other:d} in "d2"')
def step_run(context, count, kind, other):
    budget = int(kind.split()[-1]) if "budget" in kind else -1
    step = Step(
        count + other,
        NEED,
        1.0,
        checkpointing=kind == "checkpointing",
        long_running="long-running" in kind,
        outage_budget=budget,
    )
    job = submit(context.engine, JOB, (step,), NOW)
    places = ["a"] * count + ["c"] * other
    tasks = list(job.waiting.iterate(job.waiting.list_steps()[0]))
    for name in ("a", "c"):
        rows = [
            ListedRun(task, (1 << 24) + 1, "", 100, 0)
            for task, place in zip(tasks, places, strict=True)
            if place == name
        ]
        # Listed twice, so that no stop of an earlier leader may still take effect.
        for now in (NOW, NOW + SETTLED_S):
            poll_endpoint(context.engine, name, now, rows)
    for task in tasks:
        job.waiting.discard(task)
    assert sum(len(runs) for runs in context.engine.runs.values()) == count + other


@given("a long-running task that {requires} waits")
def step_waits(context, requires):
    engine = context.engine
    step = Step(1, NEED, 1.0, long_running=True)
    if "label" in requires:
        step = step._replace(label=requires.split('"')[1])
    if "cores" in requires:
        step = step._replace(need=NEED._replace(cpu=5_000))
    if "other task" in requires:
        step = step._replace(count=2, per_endpoint=1)
    job = submit(engine, "00000000000000bb", (step,), NOW)
    if step.count == 2:
        task = next(job.waiting.iterate(job.waiting.list_steps()[0]))
        rows = [ListedRun(task, (1 << 24) + 2, "", 100, 0)]
        poll_endpoint(engine, "c", NOW + SETTLED_S, rows)
        job.waiting.discard(task)
    assert len(job.waiting) == 1


@when('"d1" is evacuated, and {count:d} of the step\'s tasks have been stopped')
def step_stopped(context, count):
    change(context.engine, "d1")
    runs = [run for runs in context.engine.runs.values() for run in runs]
    for run in runs[:count]:
        run.stop_requested_at = NOW
    context.evictions = list_evictions(
        context.engine, NOW + SETTLED_S, lambda endpoint: False, STOP_GRACE_S
    )


@then("{count:d} tasks are evicted")
def step_evicted(context, count):
    assert len(context.evictions) == count, context.evictions


def is_confined(context, label, instances=()):
    """Return whether only evacuated data centres could run a job."""
    steps = (Step(1, NEED), Step(1, NEED, label=label))
    rows = {row.instance: row for row in instances}
    found = find_confined_step(context.engine, Description("", steps), "pool", rows)
    assert found is None or found is steps[1]
    return found is not None


@then(
    'a job that requires "label d1" is confined, and one that requires "label d2" is'
    " not"
)
def step_confined(context):
    assert is_confined(context, "label d1")
    assert not is_confined(context, "label d2")


@then(
    'a job that requires "label d1" is not confined with a spare instance that has it'
    ' in "d2"'
)
def step_spare(context):
    add_spare_pool(context.engine)
    row = Instance("m", "spare", "up", "d2", ("label d1",), CAPACITY, "")
    assert not is_confined(context, "label d1", [row])
    assert is_confined(context, "label d1", [row._replace(data_centre="d1")])


def add_spare_pool(engine):
    """Add a standby pool to the configuration."""
    pools = {**engine.configuration.pools, "spare": PoolRules("spare", False, True)}
    engine.configuration = engine.configuration._replace(pools=pools)


@given('a pool that lacks 2 instances and spare instances in "d1" and "d2"')
def step_lacking(context):
    engine = context.engine = make_engine(names=())
    add_spare_pool(engine)
    submit(engine, JOB, (Step(40, NEED, 2.0),), NOW)
    context.instances = {
        f"m-{place}": Instance(f"m-{place}", "spare", "up", place, (), CAPACITY, "")
        for place in ("d1", "d2")
    }


@when('"d1" is evacuated and moves are planned')
def step_moves(context):
    change(context.engine, "d1")
    context.moves = plan_moves(context.engine, context.instances, {}, (), {}, NOW)


@then('only the spare instance in "d2" moves')
def step_moved(context):
    assert [row.instance for row in context.moves] == ["m-d2"], context.moves


# A fleet in virtual time

ENTRIES = ("e0", "e1", "e2", "e3")
ENDPOINTS = {f"p{number}": "d1" if number < 4 else "d2" for number in range(8)}
JOB_PAUSE_S = 0.05
WARM_UP_S = 4.0
EVACUATED_S = 20.0
AFTER_S = 8.0
AWAY_S = 3.0
LEARNT_S = 4.0
MAX_AGE_S = 5.0
SLOW_TASK_S, WAITING_JOBS = 0.9, 200


@given("4 entries, and 4 endpoints in each of two data centres, which get jobs")
def step_fleet(context):
    context.starts = []


@when('"d1" is evacuated for 20 s, and {event}')
def step_event(context, event):
    async def run():
        fleet = Fleet(ENTRIES, tuple(ENDPOINTS))
        fleet.limits = fleet.limits._replace(evacuation=MAX_AGE_S)
        async with fleet:
            fleet.directory.data_centres = ENDPOINTS
            await fleet.wait_for_leader()
            submitting = asyncio.create_task(submit_jobs(fleet))
            await asyncio.sleep(WARM_UP_S)
            context.requested_at = await make_change(fleet, "d1", True, event)
            await asyncio.sleep(1.0)
            if event == "another request overlaps":
                fleet.directory.evacuate("d2")
                await asyncio.sleep(2.0)
                fleet.directory.return_to_use("d2")
            if "joins" in event:
                await fleet.add_entry("e4")
                for name in ENTRIES:
                    await fleet.kill(name)
                await fleet.wait_for_leader()
            if "cut off" in event:
                await asyncio.sleep(1.0)
                fleet.cut_off_data_centre(ENTRIES[:1], list(ENDPOINTS)[:4])
                await asyncio.sleep(6.0)
                fleet.reconnect_store()
                fleet.reconnect_data_centre()
            left = context.requested_at + EVACUATED_S - clock.now()
            await asyncio.sleep(left)
            context.returned_at = await make_change(fleet, "d1", False, event)
            await asyncio.sleep(AFTER_S)
            submitting.cancel()
            context.starts = [
                started_at
                for name, place in ENDPOINTS.items()
                if place == "d1"
                for started_at in list_starts(fleet.endpoints.by_name[name])
            ]

    run_virtually(run())


@when("the store is away for {seconds:g} s while accepted jobs wait")
def step_outage(context, seconds):
    async def run():
        fleet = Fleet(ENTRIES, tuple(ENDPOINTS))
        fleet.limits = fleet.limits._replace(evacuation=MAX_AGE_S)
        async with fleet:
            endpoints = fleet.endpoints.by_name.values()
            for endpoint in endpoints:
                endpoint.task_s = SLOW_TASK_S
            await fleet.wait_for_leader()
            for number in range(WAITING_JOBS):
                fleet.submit(number)
            await asyncio.sleep(WARM_UP_S)
            for client in fleet.clients.values():
                client.is_cut = True
            context.away_at = clock.now()
            await asyncio.sleep(seconds)
            fleet.reconnect_store()
            context.back_at = clock.now()
            await asyncio.sleep(AFTER_S)
            context.starts = [at for row in endpoints for at in list_starts(row)]

    run_virtually(run())


@then(
    "tasks start every {pause:d} s from {first:g} s on until {last:g} s after its"
    " return"
)
def step_go_on(context, pause, first, last):
    begin, end = context.away_at + first, context.back_at + last
    found = {int((at - begin) / pause) for at in context.starts if begin <= at < end}
    assert found == set(range(int((end - begin) / pause))), sorted(found)


def list_starts(endpoint):
    """Return when each run at an endpoint has started."""
    return [row[1] for row in endpoint.record] + list(endpoint.running.values())


async def submit_jobs(fleet):
    """Submit jobs until this is cancelled."""
    number = 0
    while True:
        fleet.submit(number)
        number += 1
        await asyncio.sleep(JOB_PAUSE_S)


async def make_change(fleet, data_centre, is_evacuated, event):
    """Evacuate a data centre or return it amid an event; return when."""
    directory = fleet.directory
    act = directory.evacuate if is_evacuated else directory.return_to_use
    if "wave" in event and is_evacuated:
        directory.waves = (make_wave(1, tuple(ENDPOINTS)),)
        await asyncio.sleep(1.0)
    if "before each" in event:
        await fleet.kill(fleet.find_leader().options.name)
        await asyncio.sleep(0.05)
    if "store is away" in event:
        for client in fleet.clients.values():
            client.is_cut = True
        await asyncio.sleep(AWAY_S / 2)
    if "leader cannot read" in event and is_evacuated:
        leader = fleet.find_leader().options.name
        fleet.clients[leader].loses_orders = True
        await asyncio.sleep(1.0)
    if "leader cannot read" in event and not is_evacuated:
        set_reads(fleet, True)
        await asyncio.sleep(LEARNT_S)
    directory.misses = "watches miss" in event
    act(data_centre)
    changed_at = clock.now()
    directory.misses = False
    if "0.05 s later" in event and is_evacuated:
        await asyncio.sleep(0.05)
        await fleet.kill(fleet.find_leader().options.name)
    if "store is away" in event:
        await asyncio.sleep(AWAY_S / 2)
        fleet.reconnect_store()
    return changed_at


@then('nothing starts in "d1" later than {seconds:g} s after the request')
def step_nothing_starts(context, seconds):
    known_at = context.requested_at + seconds
    assert any(at < context.requested_at for at in context.starts)
    late = [at for at in context.starts if known_at < at < context.returned_at]
    assert not late, (context.requested_at, late)


@then('tasks start in "d1" within {seconds:g} s after its return')
def step_start_again(context, seconds):
    returned_at = context.returned_at
    found = [at for at in context.starts if returned_at <= at < returned_at + seconds]
    assert found, (returned_at, [at for at in context.starts if at > returned_at])


@given("{count:d} entries whose endpoints run 16 long tasks")
def step_long_tasks(context, count):
    context.entries = ENTRIES[:count]


@when("no entry can read the orders for {seconds:g} s")
def step_no_reads(context, seconds):
    async def run():
        fleet = Fleet(context.entries)
        fleet.limits = fleet.limits._replace(evacuation=MAX_AGE_S)
        async with fleet:
            for endpoint in fleet.endpoints.by_name.values():
                endpoint.task_s = 200.0
                endpoint.reports_progress = True
            await fleet.wait_for_leader()
            for number in range(6):
                fleet.submit(number)
            await asyncio.sleep(WARM_UP_S)
            leader = fleet.find_leader()
            set_reads(fleet, False)
            await asyncio.sleep(seconds)
            context.leaders = leader, fleet.find_leader()
            context.outcomes = Counter(row[3] for row in fleet.list_runs())
            set_reads(fleet, True)
            await asyncio.sleep(LEARNT_S)
            permit = fleet.find_leader().controller.start_permit
            context.is_permitted = permit.is_valid(clock.now())

    run_virtually(run())


def set_reads(fleet, are_answered):
    """Let the entries' reads of the operator's orders succeed or fail."""
    for client in fleet.clients.values():
        client.loses_orders = not are_answered


@then("the same entry leads, and all 16 tasks run on")
def step_run_on(context):
    before, after = context.leaders
    assert before is after, context.leaders
    assert context.outcomes == {"running": 16}, context.outcomes


@then("tasks may start {seconds:g} s later")
def step_may_start(context, seconds):
    assert seconds == LEARNT_S
    assert context.is_permitted
