"""Steps for the pure decisions; cases come from hypothesis with fixed seeds."""

import random
import time
from collections import Counter

from behave import given as given_step
from behave import then, when
from hypothesis import given, seed, settings
from hypothesis import strategies as some

from briarshed import admission
from briarshed.fairness import FairQueue, Flow
from briarshed.health import FAILURES_TO_EJECT, Ejected, PoolHealth
from briarshed.placement import EndpointInfo, Placement
from briarshed.retries import RetryBudget

TEAMS = ("a", "b", "c", "d")
SHARES = {"a": 1.0, "b": 2.0, "c": 5.0, "d": 1.0}
STEPS = some.lists(
    some.tuples(
        some.sampled_from(["add", "add", "start", "end", "leave", "park", "unpark"]),
        some.sampled_from(TEAMS),
        some.booleans(),
    ),
    max_size=80,
)


class QueueModel:
    """Applies steps to a queue and to a plain model of it."""

    def __init__(self):
        self.running = Counter()
        self.parked = set()
        self.waiting = []
        self.queue = FairQueue(self.find_load)
        self.started = []
        self.added = 0

    def find_load(self, team):
        """Return running over share."""
        return self.running[team] / SHARES[team]

    def apply(self, step, team, urgent, check):
        """Apply one step to both, and compare their sizes."""
        line = Flow(team, urgent)
        own = [job for job in self.waiting if job[0] == line]
        match step:
            case "add":
                self.added += 1
                job_id = str(self.added)
                self.queue.add(line, job_id, None)
                self.waiting.append((line, job_id))
            case "start":
                self.start(check)
            case "end" if self.running[team]:
                self.running[team] -= 1
                self.queue.refresh(team)
            case "leave" if own:
                assert self.queue.remove(*own[-1])
                self.waiting.remove(own[-1])
            case "park":
                self.queue.suspend(team)
                self.parked.add(team)
            case "unpark":
                self.queue.resume(team)
                self.parked.discard(team)
        assert len(self.queue) == len(self.waiting)

    def start(self, check):
        """Start the chosen job after checking the choice."""
        able = [job for job in self.waiting if job[0].team not in self.parked]
        choice = self.queue.choose()
        assert (choice is None) == (not able), (choice, able)
        if choice is None:
            return
        line, job_id, _ = choice
        check(self, line, job_id, able)
        self.started.append((line.urgent, any(not job[0].urgent for job in able)))
        self.queue.note_started(line, job_id)
        self.waiting.remove((line, job_id))
        self.running[line.team] += 1


def run_queue(check):
    def run(steps):
        model = QueueModel()
        for step in steps:
            model.apply(*step, check)

    return given(STEPS)(run)


def check_least(model, line, job_id, able):
    loads = [model.find_load(job[0].team) for job in able if job[0][1] == line.urgent]
    assert model.find_load(line.team) == min(loads)


def check_order(model, line, job_id, able):
    assert next(job for job in able if job[0] == line)[1] == job_id


def check_urgent(model, line, job_id, able):
    others = [job for job in able if not job[0].urgent]
    if others and line.urgent:
        assert sum(urgent for urgent, _ in model.started[-3:]) < 3
    elif any(job[0].urgent for job in able) and not line.urgent:
        assert [urgent for urgent, _ in model.started[-3:]] == [True] * 3


NAMES = tuple("pqrs")
PLACE_STEPS = some.lists(
    some.tuples(
        some.sampled_from(
            ["choose", "choose", "choose", "end", "load", "block", "probation", "cure"]
        ),
        some.sampled_from(NAMES),
        some.integers(0, 4),
        some.floats(0, 0.04),
    ),
    max_size=80,
)


def make_sites(names, **changes):
    sites = {}
    for number, name in enumerate(names):
        sites[name] = EndpointInfo(f"{name}:1", number % 2 == 0, 4, 3, False)._replace(
            **changes
        )
    return sites


def is_open(placement, name, now):
    opening = placement._find_available_at(placement._states[name], now)
    return opening is not None and opening <= now


def run_placement(check):
    def run(steps):
        sites = make_sites(NAMES)
        placement = Placement(10.0)
        placement.update(sites, 0.0)
        chance = random.Random(5)
        now, own, probation = 0.0, Counter(), set()
        for step, name, count, seconds in steps:
            now += seconds
            match step:
                case "choose":
                    free = [one for one in NAMES if is_open(placement, one, now)]
                    found = placement.choose(now, chance)
                    check(sites, free, found)
                    if found is not None:
                        placement.note_started(found[0], now)
                        own[found[0]] += 1
                        assert own[found[0]] <= (1 if found[0] in probation else 3)
                case "end" if own[name]:
                    placement.note_ended(name, f"{name}:1", now)
                    own[name] -= 1
                case "load":
                    placement.note_load(name, count, now)
                    assert is_open(placement, name, now) <= (count < 4)
                case "block":
                    placement.block(name, now + 0.1, now)
                    assert not is_open(placement, name, now + 0.09)
                case "probation" if not own[name]:
                    placement.set_probation(name, True, now)
                    probation.add(name)
                case "cure":
                    placement.set_probation(name, False, now)
                    probation.discard(name)
        assert placement.count_own() == own.total()

    return given(PLACE_STEPS)(run)


def check_able(sites, free, found):
    assert (found is None) == (not free), (found, free)
    assert found is None or found[0] in free


def check_near(sites, free, found):
    if found is not None and not sites[found[0]].same_data_centre:
        assert not [name for name in free if sites[name].same_data_centre]


def run_health():
    events = some.lists(
        some.tuples(some.sampled_from(NAMES), some.integers(0, 6), some.floats(0, 1)),
        max_size=120,
    )

    def run(size, steps):
        health, now, out = PoolHealth(), 0.0, {}
        health.set_serving(NAMES[:size], now)
        for name, kind, seconds in steps:
            now += seconds
            actions = (
                health.note_failure(name, now) if kind else health.note_success(name)
            )
            for action in actions:
                if isinstance(action, Ejected):
                    out[action.endpoint] = action.until
                else:
                    out.pop(action.endpoint, None)
            ejected = [name for name, until in out.items() if until > now]
            assert len(ejected) == health.count_ejected(now)
            assert len(ejected) <= max(1, size // 2)
            assert len(ejected) < size

    return given(some.integers(1, len(NAMES)), events)(run)


def run_retries():
    def run(steps):
        budget, first, retried = RetryBudget(), 0, 0
        for is_first in steps:
            if is_first:
                budget.note_first_attempt()
                first += 1
            else:
                retried += budget.take_token()
            assert retried <= 0.1 * first + 10 + 1e-6

    return given(some.lists(some.booleans(), max_size=400))(run)


PROPERTIES = {
    "the next job is of the team with the least running over share": run_queue(
        check_least
    ),
    "jobs of one team and urgency start in their order": run_queue(check_order),
    "urgent jobs take at most 3 of 4 consecutive starts": run_queue(check_urgent),
    "a chosen endpoint may take one more job": run_placement(check_able),
    "a far endpoint is chosen only if no near one may take a job": run_placement(
        check_near
    ),
    "at most half of the endpoints are ejected and one always stays": run_health(),
    "retries are at most a tenth of the first attempts and 10": run_retries(),
}


@then('it holds with seed {number:d} that "{name}"')
def step_property(context, number, name):
    print(f"hypothesis seed {number}")
    run = settings(max_examples=300, deadline=None, database=None)(PROPERTIES[name])
    seed(number)(run)()


@when("2000 jobs start in 20 slots for teams with shares {share:g} and 1")
def step_shares(context, share):
    shares = {"a": share, "b": 1.0}
    running = Counter()
    queue = FairQueue(lambda team: running[team] / shares[team])
    chance = random.Random(1)
    order, total = [], 0
    for number in range(4000):
        queue.add(Flow("ab"[number % 2], False), str(number), None)
    for _ in range(2000):
        if len(order) == 20:
            ended = order.pop(chance.randrange(20))
            running[ended] -= 1
            queue.refresh(ended)
        line, job_id, _item = queue.choose()
        queue.note_started(line, job_id)
        running[line.team] += 1
        order.append(line.team)
        total += running["a"]
    context.average = total / 2000


@then("the first team ran {slots:d} slots on average, within 1")
def step_share(context, slots):
    assert abs(context.average - slots) < 1, context.average


@when("an endpoint fails on probation until its {number:d}. ejection")
def step_eject(context, number):
    health, now, actions = PoolHealth(), 0.0, []
    health.set_serving(["p", "q"], now)
    for _ in range(FAILURES_TO_EJECT - 1):
        assert health.note_failure("p", now) == []
    for _ in range(number):
        actions = health.note_failure("p", now)
        now = actions[-1].until
    context.ejected = actions[-1]


@then("it is ejected for {seconds:d} s")
def step_ejected(context, seconds):
    assert context.ejected.seconds == seconds, context.ejected


@then("the expected wait is {wait:g} s")
def step_wait(context, wait):
    row = context.active_outline
    run_time = None if row["run_time"] == "none" else float(row["run_time"])
    found = admission.estimate_wait(int(row["ahead"]), run_time, float(row["slots"]))
    assert found == wait, found


@then("{ahead:g} jobs start before its next one")
def step_ahead(context, ahead):
    row = context.active_outline
    found = admission.count_ahead(
        int(row["total"]), int(row["own"]), float(row["share"]), float(row["shares"])
    )
    assert abs(found - ahead) < 0.001, found


@when("an endpoint of 8 slots returned {seconds:g} s ago")
def step_returned(context, seconds):
    placement = Placement(10.0)
    sites = make_sites("p", slots=8, limit=6, returning=True)
    placement.update(sites, 0.0)
    context.slots = 0
    while placement.choose(seconds, random.Random(1)) is not None:
        placement.note_started("p", seconds)
        context.slots += 1


@then("it takes {slots:d} jobs")
def step_takes(context, slots):
    assert context.slots == slots, context.slots


def prepare_starts(teams):
    running = Counter()
    queue = FairQueue(lambda team: running[team])
    for number in range(4000):
        queue.add(Flow(f"t{number % teams}", False), str(number), None)

    def start():
        line, job_id, _item = queue.choose()
        queue.note_started(line, job_id)
        running[line.team] += 1

    return start


def prepare_choices(endpoints):
    placement = Placement(10.0)
    names = [f"i-{number}" for number in range(endpoints)]
    placement.update(make_sites(names, slots=50, limit=50), 0.0)
    chance = random.Random(1)

    def choose():
        found, address = placement.choose(1.0, chance)
        placement.note_started(found, 1.0)
        placement.note_ended(found, address, 1.0)

    return choose


def prepare_failures(endpoints):
    health = PoolHealth()
    names = [f"i-{number}" for number in range(endpoints)]
    health.set_serving(names, 0.0)
    for number in range(endpoints * FAILURES_TO_EJECT):
        health.note_failure(names[number % endpoints], 0.0)
    chance = random.Random(1)
    return lambda: health.note_failure(chance.choice(names), 0.0)


COSTS = {
    "a start among teams": prepare_starts,
    "a choice among endpoints": prepare_choices,
    "a failure among endpoints": prepare_failures,
}


@then("{decision} at {large:d} costs less than 3 times that at {small:d}")
def step_cost(context, decision, large, small):
    def measure(size):
        times = []
        for _ in range(5):
            decide = COSTS[decision](size)
            begin = time.perf_counter()
            for _ in range(2000):
                decide()
            times.append(time.perf_counter() - begin)
        return min(times)

    least, most = measure(small), measure(large)
    print(
        f"{decision}: {least * 500:.1f} us at {small}, {most * 500:.1f} us at {large}"
    )
    assert most < 3 * least, (least, most)


def let_leave(context, interval, is_backlogged):
    """Let 40 jobs end at equal intervals."""
    context.departures = admission.Departures()
    for number in range(40):
        context.departures.note_end(is_backlogged, number * interval)


@given_step("40 jobs have left every {interval:g} s while others waited")
def step_leave(context, interval):
    let_leave(context, interval, True)


@given_step("40 jobs have left every {interval:g} s while none waited")
def step_leave_alone(context, interval):
    let_leave(context, interval, False)


@then("a job with {ahead:d} ahead, 0.2 s each on 4 slots, waits {wait:g} s")
def step_waits(context, ahead, wait):
    found = admission.estimate_wait(ahead, 0.2, 4, context.departures.interval)
    assert abs(found - wait) < 0.01, found
