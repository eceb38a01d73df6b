"""Steps for the division of limits, with the real accounting of an entry."""

import random
import sys
from collections import Counter
from pathlib import Path

from behave import given, then, when
from hypothesis import HealthCheck, seed, settings, strategies
from hypothesis import given as given_values

from briarshed.grants import (
    GrantView,
    TeamDemand,
    find_start_limit,
    is_allowed,
    plan_team,
)
from briarshed_entry._grant_accounting import GrantAccounting, merge_rows

sys.path.append(str(Path(__file__).resolve().parents[3] / "bench"))

import grants as bench

RANDOM_RUNS = 300
TEAM = "team"
EVENTS = (
    "start start start start start end end read read plan plan plan plan apply apply"
    " demand wait wait limit crash remove return free tick tick"
)


def read_pairs(text):
    if text == "none":
        return {}
    return {name: int(count) for name, count in map(_split, text.split())}


def _split(pair):
    return pair.split("=")


@given('rows "{rows}" and a limit of {limit:d} for entries a, b and c')
def step_rows(context, rows, limit):
    context.rows, context.limit = read_pairs(rows), limit


@given("entry {entry} with {running:d} running and {waiting:d} waiting jobs")
def step_need(context, entry, running, waiting):
    context.entry, context.need = entry, TeamDemand(running, waiting, running + waiting)


@given('demands "{demands}"')
def step_demands(context, demands):
    context.view = GrantView(
        context.entry,
        ("a", "b", "c"),
        context.limit,
        context.need,
        requested=read_pairs(demands),
        freeable=("x",),
    )


@when("entry {entry} plans its grants")
def step_plan(context, entry):
    context.planned = plan_team(context.rows, context.view)
    assert is_allowed(context.rows, context.planned, context.limit)


@then('the rows are "{planned}" and it may run {may:d} jobs')
def step_planned(context, planned, may):
    assert context.planned == read_pairs(planned), context.planned
    limit = find_start_limit(context.rows, context.view)
    assert limit == may, limit


@given("entry a that holds 10 of 10 idle jobs at revision 5")
def step_hold(context):
    context.accounting = GrantAccounting()
    context.accounting.reset_owner("a", ["a", "b", "c"])
    team = {"share": 1.0, "limit": 10}
    context.documents = {"teams": {TEAM: team}}, {"rows": {TEAM: {"a": 10}}}


@when("the response to the compare-and-swap that gives them away is lost")
def step_lose(context):
    plan = context.accounting.plan([TEAM], *context.documents, 0.0)
    assert plan == {TEAM: {"a": 4, "b": 3, "c": 3}}, plan
    context.accounting.add_pending_caps(plan)
    context.accounting.keep_pending_caps(5)


@when("it reads the same rows at revision {revision:d}")
def step_settle(context, revision):
    context.accounting.expire_pending_caps(revision)


@then("entry a may run {count:d} jobs")
def step_floor(context, count):
    limit = context.accounting.find_limit(TEAM, *context.documents, 0.0)
    assert limit == count, limit


@when("jobs of {run:g} s are queued")
def step_measure(context, run):
    row = context.active_outline
    entries, limit = int(row["entries"]), int(row["limit"])
    context.usage = bench.measure(entries, limit, run, seed=7, at_s=2.0)
    print(f"seed 7: {context.usage}")


@then("at least {part:g} is in use while demand is spread evenly")
def step_even(context, part):
    assert context.usage.even >= part, context.usage


@then("at least {part:g} is in use while jobs arrive at random entries")
def step_arriving(context, part):
    assert context.usage.random >= part, context.usage


@then("at least {part:g} is in use 2 s after all demand moved to one entry")
def step_moved(context, part):
    assert context.usage.moved >= part, context.usage


class Entry:
    """An entry: its accounting, document snapshot, and jobs by owner."""

    def __init__(self, owner):
        self.owner, self.accounting, self.snapshot = owner, GrantAccounting(), None
        self.jobs = Counter()


class GrantsSimulation:
    """Grant rows of the store, restarting entries, and swaps with lost responses."""

    def __init__(self, rng, names):
        self.rng, self.names = rng, names
        self.count, self.time, self.limit = 0, 0.0, 10
        self.revision, self.rows, self.guard = 0, {}, 0
        self.bound, self.max_running = self.limit, 0
        self.orphaned_jobs, self.removed = Counter(), set()
        self.in_flight, self.entries = [], {}
        for name in names:
            self._start(name, Counter())

    def _start(self, name, jobs):
        """Register a new owner; the same process still counts its earlier jobs."""
        self.count += 1
        self.guard += 1
        self.entries[name] = entry = Entry(f"{name}/{self.count}")
        for owner, count in jobs.items():
            self._run(entry, owner, count)
        self._read(entry)

    def _read(self, entry):
        owners = sorted(other.owner for other in self.entries.values())
        configuration = {"teams": {TEAM: {"share": 1.0, "limit": self.limit}}}
        grants = {"version": self.revision, "rows": {TEAM: dict(self.rows)}}
        entry.snapshot = (self.revision, self.guard, configuration, grants)
        entry.accounting.reset_owner(entry.owner, owners)
        entry.accounting.expire_pending_caps(self.revision)

    def _run(self, entry, owner, count):
        entry.jobs[owner] += count
        entry.accounting.add_running(TEAM, count, self.time)

    def do_random_event(self):
        """Do one random event."""
        rng = self.rng
        name = rng.choice(self.names)
        entry = self.entries[name]
        _revision, _guard, configuration, grants = entry.snapshot
        match rng.choice(EVENTS.split()):
            case "start" if entry.owner not in self.removed:
                limit = entry.accounting.find_limit(
                    TEAM, configuration, grants, self.time
                )
                free = limit - entry.jobs.total()
                self._run(entry, entry.owner, max(0, min(free, rng.randint(1, 9))))
            case "end" if entry.jobs.total():
                owner = rng.choice(sorted(entry.jobs.elements()))
                self._run(entry, owner, -1)
            case "read":
                self._read(entry)
            case "plan" if entry.owner not in self.removed:
                if rng.random() < 0.5:
                    self._read(entry)
                self._plan(entry)
            case "apply" if self.in_flight:
                self._apply_swap(self.in_flight.pop(rng.randrange(len(self.in_flight))))
            case "demand":
                other = self.entries[rng.choice(self.names)]
                wanted = {TEAM: rng.choice((0, 1, 20))}
                entry.accounting.note_demand(other.owner, wanted, self.time)
            case "wait":
                waiting = rng.choice((0, 0, 1, 20))
                entry.accounting.set_waiting(TEAM, waiting, self.time)
            case "limit":
                self.limit = rng.choice((0, 1, 5, 10, 30, 30))
                self.bound = max(self.limit, sum(self.rows.values()))
                self.guard += 1
            case "crash":
                # Its tasks keep running on endpoints until their leases expire.
                self.orphaned_jobs += entry.jobs
                self._start(name, Counter())
            case "remove":
                self.removed.add(entry.owner)
                self.guard += 1
            case "return" if entry.owner in self.removed:
                self._start(name, entry.jobs)
            case "free" if entry.owner not in self.removed:
                self._free(entry)
            case "tick":
                self.time += rng.choice((0.5, 1.0, 6.0))

    def _free(self, entry):
        """Expire the task leases of stopped owners and free their rows."""
        listed = {other.owner for other in self.entries.values()}
        entry.accounting.freeable = set(self.rows) - listed
        for owner in entry.accounting.freeable:
            self.orphaned_jobs.pop(owner, None)
            for other in self.entries.values():
                self._run(other, owner, -other.jobs[owner])
        self._plan(entry)
        entry.accounting.freeable = ()

    def _plan(self, entry):
        """Start a compare-and-swap whose response arrives at once or never."""
        revision, guard, configuration, grants = entry.snapshot
        plan = entry.accounting.plan([TEAM], configuration, grants, self.time)
        if not plan:
            return
        entry.accounting.add_pending_caps(plan)
        swap = (revision, guard, merge_rows(grants, plan)["rows"].get(TEAM, {}))
        match self.rng.choice(("answered", "answered", "lost", "late", "late")):
            case "answered":
                self._apply_swap(swap)
                self._read(entry)
                entry.accounting.clear_pending_caps()
            case "lost":
                self._apply_swap(swap)
                entry.accounting.keep_pending_caps(revision)
            case "late":
                self.in_flight.append(swap)
                entry.accounting.keep_pending_caps(revision)

    def _apply_swap(self, swap):
        revision, guard, after = swap
        if (revision, guard) != (self.revision, self.guard):
            return
        assert is_allowed(self.rows, after, self.limit), (self.rows, after, self.limit)
        self.rows = after
        self.revision += 1
        self.bound = max(self.limit, min(self.bound, sum(after.values())))

    def check(self):
        """Check the limit, and that no owner runs more jobs than its rows allow."""
        jobs = Counter(self.orphaned_jobs)
        for entry in self.entries.values():
            jobs += entry.jobs
        self.max_running = max(self.max_running, jobs.total())
        assert jobs.total() <= self.bound, (jobs, self.bound, self.rows)
        for owner, count in jobs.items():
            assert count <= self.rows.get(owner, 0), (owner, jobs, self.rows)


@then("no sequence of {events:d} random events with seed {number:d} exceeds the limit")
def step_random(context, events, number):
    print(f"seed {number}, {RANDOM_RUNS} runs of {events} events")
    max_running = []

    @seed(number)
    @settings(
        max_examples=RANDOM_RUNS,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_values(strategies.integers(0, 2**32 - 1))
    def check(run_seed):
        simulation = GrantsSimulation(random.Random(run_seed), "abc")
        for _ in range(events):
            simulation.do_random_event()
            simulation.check()
        max_running.append(simulation.max_running)

    check()
    print(f"mean of the most running jobs: {sum(max_running) / len(max_running):.1f}")
    assert sum(max_running) > 5 * len(max_running), "too few jobs ran to test the limit"
