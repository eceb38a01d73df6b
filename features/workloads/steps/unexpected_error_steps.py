"""Steps for unexpected errors, which are raised at chosen calls of functions."""

import asyncio
import contextlib
import functools
import itertools
import sys
from collections import Counter
from pathlib import Path

from behave import given, then, when
from engine_steps import JOB, NEED, NOW, make_engine, poll_endpoint, submit
from virtual_fleet import Fleet, find_overlap, make_wave
from virtual_time import run_virtually

from briarshed import events
from briarshed_entry import clock
from briarshed_workloads import (
    controller,
    leadership,
    orders,
    persistence,
    supervision,
)
from briarshed_workloads import entry as entry_module
from briarshed_workloads.interfaces import Item
from briarshed_workloads.planning import plan_starts
from briarshed_workloads.reconciliation import correct_state
from briarshed_workloads.workloads import NO_RESOURCES, Resources, Step

FOLDER = str(Path(controller.__file__).parent)
JOBS = 40
PAUSE_S = 0.25
REST_S = 6.0
SERVED_SHARE = 0.95
UNREADABLE = b"\xc1"
NESTED = b"\x91" * 5_000 + b"\xc0"
MAX_SHORT_ARRAY = 0x9F
EMPTY_RECORD = b"\x90"
MODULES = (controller, entry_module, leadership, orders, persistence, supervision)
NOT_CONTAINED = {
    # The containment itself.
    "supervision.report_error",
    "supervision.contain_errors",
    "supervision.find_place",
    "supervision._restart",
    "supervision.__init__",
    "supervision.__aexit__",
    "leadership._log_failure",
    # Called by the test only, or at the end of the process.
    "controller.find_state",
    "entry.__aexit__",
}


class PlantedError(Exception):
    """An error that no code expects."""


def name_code(code):
    """Return the module and function of a code object, or None outside the product."""
    folder, _, file = code.co_filename.rpartition("/")
    if folder != FOLDER or code.co_name.startswith("<"):
        return None
    return f"{file.removesuffix('.py')}.{code.co_name}"


@contextlib.contextmanager
def count_calls(counts):
    """Count the calls of the product's functions."""

    def note(frame, event, argument):
        if event == "call":
            name = name_code(frame.f_code)
            if name is not None:
                counts[name] += 1

    sys.setprofile(note)
    try:
        yield
    finally:
        sys.setprofile(None)


@contextlib.contextmanager
def plant_error(function, number):
    """Raise an error once, at a certain call of a function."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        if event == "call" and name_code(frame.f_code) == function:
            count += 1
            if count == number:
                # The interpreter removes a profile function that raises an error.
                raise PlantedError(f"planted in {function}")

    sys.setprofile(note)
    try:
        yield
    finally:
        sys.setprofile(None)


@contextlib.contextmanager
def collect_events(logged):
    """Collect the events that the product logs."""
    originals = [module.log_event for module in MODULES]

    def note(event, **fields):
        logged.append((event, fields))

    for module in MODULES:
        module.log_event = note
    supervision._reports.clear()
    try:
        yield
    finally:
        for module, original in zip(MODULES, originals, strict=True):
            module.log_event = original


class Day:
    """Outcome of a day."""

    def __init__(self):
        self.logged = []
        self.replies = {}
        self.outcomes = {}
        self.overlap = None

    async def play(self):
        """Submit jobs to two entries and wait until they are done."""
        async with Fleet() as fleet:
            await fleet.wait_for_leader()
            fleet.directory.waves = (make_wave(1, ("a",)),)
            for number in range(JOBS):
                fleet.submit(number)
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(REST_S)
            await fleet.wait_for_leader()
            self.replies = fleet.replies
            self.outcomes = fleet.list_outcomes()
            self.overlap = find_overlap(fleet.list_runs())

    def find_faults(self):
        """Return what is wrong with the day."""
        accepted = Counter(self.replies.values())["accepted"]
        faults = []
        if accepted < SERVED_SHARE * JOBS:
            faults.append(f"{accepted} accepted")
        if set(self.outcomes.values()) != {"completed"}:
            faults.append(f"{Counter(self.outcomes.values())}")
        if self.overlap is not None:
            faults.append(f"{self.overlap} ran twice")
        places = [
            fields["place"]
            for event, fields in self.logged
            if event is events.UNEXPECTED_ERROR
        ]
        if not places:
            faults.append("not logged")
        return faults


def play_day(function, number):
    """Play a day with one planted error."""
    day = Day()
    with collect_events(day.logged), plant_error(function, number):
        run_virtually(day.play())
    return day


@when('an error is raised in call {number:d} of "{function}" during a calm day')
def step_error_in_call(context, number, function):
    context.day = play_day(function, number)


@functools.cache
def count_calls_of_day():
    """Return how often a day without an error calls each function."""
    counts = Counter()
    day = Day()
    with collect_events(day.logged), count_calls(counts):
        run_virtually(day.play())
    faults = day.find_faults()
    assert faults == ["not logged"], faults
    return counts


@when('an error is raised once in "{function}" during a calm day of two entries')
def step_raise(context, function):
    number = max(1, count_calls_of_day()[function] // 2)
    context.day = play_day(function, number)


@then("at least 95 in 100 of the jobs are accepted, and each of them is completed")
def step_completed(context):
    day = context.day
    assert Counter(day.replies.values())["accepted"] >= SERVED_SHARE * JOBS
    assert set(day.outcomes.values()) == {"completed"}, Counter(day.outcomes.values())


@then("no task has run twice at the same time or after its success")
def step_once(context):
    assert context.day.overlap is None, context.day.overlap


@then("the error is logged with its place")
def step_logged(context):
    rows = [
        fields
        for event, fields in context.day.logged
        if event is events.UNEXPECTED_ERROR
    ]
    assert rows, "nothing logged"
    assert "planted" in rows[0]["error"] and ".py:" in rows[0]["place"], rows


@when("an error is raised once in each function during a calm day of two entries")
def step_each(context):
    counts = count_calls_of_day()
    context.faults = {}
    context.count = 0
    for function, number in sorted(counts.items()):
        if function in NOT_CONTAINED or number < 4:
            continue
        context.count += 1
        faults = play_day(function, number // 2).find_faults()
        if faults:
            context.faults[function] = faults


def list_faults(context, text):
    """Return the functions whose day has a fault that contains a text."""
    return {
        function: faults
        for function, faults in context.faults.items()
        if any(text in fault for fault in faults)
    }


@then("each day has at least 95 in 100 of the jobs accepted and completed")
def step_all_completed(context):
    assert context.count > 100, context.count
    assert not list_faults(context, "accepted"), context.faults
    assert not list_faults(context, "Counter"), context.faults


@then("none has a task that ran twice at the same time or after its success")
def step_all_once(context):
    assert not list_faults(context, "ran twice"), context.faults


@then("each error is logged with its place")
def step_all_logged(context):
    assert not list_faults(context, "not logged"), context.faults


@given("two entries, and a function that always fails in the process that leads")
def step_entries(context):
    context.logged = []


@contextlib.contextmanager
def fail_always(function, has_failed):
    """Let a function fail while ``has_failed`` returns True for its object."""
    module, _, name = function.partition(".")
    kinds = {
        "controller": controller.Controller,
        "persistence": persistence.Persistence,
    }
    kind = kinds[module]
    original = getattr(kind, name)

    def fail(self, *arguments):
        if has_failed(self._store):
            raise PlantedError(function)
        return original(self, *arguments)

    setattr(kind, name, fail)
    try:
        yield
    finally:
        setattr(kind, name, original)


async def play_failure(context, function, everywhere):
    """Let a function of the leader fail from 3 s on; note who leads when."""
    failing = []

    def has_failed(store):
        return store in failing

    context.leaders = []
    async with Fleet() as fleet:
        first = await fleet.wait_for_leader()
        await asyncio.sleep(3.0)
        with fail_always(function, has_failed):
            failing += fleet.clients.values() if everywhere else [first._store]
            context.failed_at = clock.now()
            for number in range(80):
                fleet.submit(number)
                leader = fleet.find_leader()
                if leader is not None:
                    context.leaders.append((clock.now(), leader.options.name))
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(REST_S)
        context.first = first.options.name
        context.replies = Counter(fleet.replies.values())
        context.outcomes = Counter(fleet.list_outcomes().values())
        context.overlap = find_overlap(fleet.list_runs())


@when('"{function}" fails in the leader from 3 s on')
def step_leader_fails(context, function):
    run_virtually(play_failure(context, function, everywhere=False))


@when('"{function}" fails in every leader from 3 s on')
def step_all_fail(context, function):
    run_virtually(play_failure(context, function, everywhere=True))


def check_jobs_go_on(context):
    """Check that jobs are accepted and completed, and that none ran twice."""
    assert context.replies["accepted"] >= 0.9 * sum(context.replies.values()), (
        context.replies
    )
    assert set(context.outcomes) == {"completed"}, context.outcomes
    assert context.overlap is None, context.overlap


@then("the other entry leads within {bound:g} s, and jobs go on")
def step_other_leads(context, bound):
    others = [at for at, name in context.leaders if name != context.first]
    assert others and others[0] - context.failed_at <= bound, context.leaders[:20]
    check_jobs_go_on(context)


@then("the first one does not lead again within {seconds:g} s")
def step_not_again(context, seconds):
    others = [at for at, name in context.leaders if name != context.first]
    again = [
        at for at, name in context.leaders if name == context.first and at > others[0]
    ]
    assert not again or again[0] - others[0] > seconds, context.leaders


@then("the leadership changes at most once in 20 s, and jobs go on")
def step_no_circle(context):
    names = [name for _, name in context.leaders]
    changes = sum(one != other for one, other in itertools.pairwise(names))
    assert changes <= 1, names
    check_jobs_go_on(context)


@given("two entries that have done some jobs and a wave")
def step_done(context):
    context.logged = []


def append_nested(record):
    """Return a record, an encoded short array, with one more element."""
    assert record[0] < MAX_SHORT_ARRAY, record[0]
    return bytes([record[0] + 1]) + record[1:] + NESTED


async def play_unreadable(context, key, damage=lambda _: UNREADABLE):
    """Damage a record, end the leader, and note who leads when."""
    async with Fleet(("e1", "e2", "e3")) as fleet:
        first = await fleet.wait_for_leader()
        fleet.directory.waves = (make_wave(1, ("a",)),)
        for number in range(10):
            fleet.submit(number)
            await asyncio.sleep(PAUSE_S)
        items = fleet.store.items
        keys = [name for name in items if name.startswith(key)]
        damaged = keys[-1] if keys else key
        fleet.store.revision += 1
        item, lease = items.get(damaged, (None, 0))
        revision = fleet.store.revision
        content = damage(item.value if item else EMPTY_RECORD)
        items[damaged] = Item(damaged, content, revision, revision), lease
        context.damaged = damaged
        context.leaders, context.first = [], first.options.name
        context.failed_at = clock.now()
        await first.__aexit__(None, None, None)
        del fleet.entries[first.options.name]
        for number in range(10, 40):
            fleet.submit(number)
            leader = fleet.find_leader()
            if leader is not None:
                context.leaders.append((clock.now(), leader.options.name))
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(REST_S)
        context.replies = Counter(fleet.replies.values())
        outcomes = fleet.list_outcomes()
        context.state = outcomes.pop(damaged.rpartition("/")[2], "unknown")
        context.outcomes = Counter(outcomes.values())
        context.overlap = find_overlap(fleet.list_runs())


@when('the record "{key}" is unreadable and the leader ends')
def step_unreadable(context, key):
    with collect_events(context.logged):
        run_virtually(play_unreadable(context, key))


@when('the record "{key}" is nested 5,000 deep and the leader ends')
def step_nested(context, key):
    with collect_events(context.logged):
        run_virtually(play_unreadable(context, key, append_nested))


@then("the unreadable record is logged")
def step_unreadable_logged(context):
    keys = {
        fields["key"]
        for event, fields in context.logged
        if event is events.RECORD_UNREADABLE
    }
    names = {key.rpartition("/")[2] for key in keys}
    assert context.damaged.rpartition("/")[2] in names, (context.damaged, keys)


@then("the state of its job is unknown")
def step_state_unknown(context):
    assert context.state == "unknown", context.state


@given("a leader with a task that runs and one that waits")
def step_contradictions(context):
    engine = context.engine = make_engine(names=("a",))
    poll_endpoint(engine, "a", NOW)
    context.job = submit(engine, JOB, (Step(2, NEED, 1.0),), NOW)
    engine.endpoints["a"].used = Resources(3_000, 0, 0)
    (order,) = plan_starts(engine, NOW)
    engine.endpoints["a"].used = NEED
    engine.note_started(order.run, int(NOW * 1000), NOW)
    context.reports = []
    engine.report = lambda event, **fields: context.reports.append(fields)


@when("one after the other is lost: usage, capacity, a run, a waiting task")
def step_lose(context):
    engine, endpoint = context.engine, context.engine.endpoints["a"]
    losses = (
        lambda: engine.usage.refund("team", NEED),
        lambda: setattr(endpoint, "used", NO_RESOURCES),
        lambda: engine.runs.clear(),
        lambda: context.job.waiting.clear(),
    )
    for lose in losses:
        lose()
        list(correct_state(engine, (), NOW + 1))
    list(correct_state(engine, (), NOW + 1))


@then("each is corrected and logged")
def step_corrected(context):
    engine = context.engine
    assert engine.usage.read("team") == NEED
    assert engine.endpoints["a"].used == NEED
    assert len(engine.runs) == 1
    assert len(context.job.waiting) == 1
    whats = [row["what"] for row in context.reports]
    assert whats == ["usage", "capacity", "runs", "task"], whats
