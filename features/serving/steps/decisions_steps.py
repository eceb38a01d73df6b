"""Steps for the decision functions; Hypothesis generates cases from fixed seeds."""

import random
import sys
import time
from collections import Counter

from behave import given as given_step
from behave import then, when
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from briarshed import admission
from briarshed.fairness import FairQueue, Flow
from briarshed.health import FAILURES_TO_EJECT, Ejected, PoolHealth
from briarshed.placement import EndpointInfo, Placement
from briarshed.retries import RetryBudget

TEAMS = ("a", "b", "c", "d")
SHARES = {"a": 1.0, "b": 2.0, "c": 5.0, "d": 1.0}
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "add", "start", "end", "leave", "suspend", "resume"]),
        st.sampled_from(TEAMS),
        st.booleans(),
    ),
    max_size=80,
)


class QueueModel:
    """Applies steps to a queue and to a reference model of it."""

    def __init__(self):
        self.running = Counter()
        self.suspended = set()
        self.waiting = []
        self.queue = FairQueue(self.find_load)
        self.started = []
        self.added = 0

    def find_load(self, team):
        """Return the running jobs of a team per share."""
        return self.running[team] / SHARES[team]

    def apply(self, step, team, urgent, check):
        """Apply one step to both and compare their sizes."""
        flow = Flow(team, urgent)
        own = [job for job in self.waiting if job[0] == flow]
        match step:
            case "add":
                self.added += 1
                job_id = str(self.added)
                self.queue.add(flow, job_id, None)
                self.waiting.append((flow, job_id))
            case "start":
                self.start(check)
            case "end" if self.running[team]:
                self.running[team] -= 1
                self.queue.refresh(team)
            case "leave" if own:
                assert self.queue.remove(*own[-1])
                self.waiting.remove(own[-1])
            case "suspend":
                self.queue.suspend(team)
                self.suspended.add(team)
            case "resume":
                self.queue.resume(team)
                self.suspended.discard(team)
        assert len(self.queue) == len(self.waiting)

    def start(self, check):
        """Check the queue's choice and start the chosen job."""
        startable = [job for job in self.waiting if job[0].team not in self.suspended]
        choice = self.queue.choose()
        assert (choice is None) == (not startable), (choice, startable)
        if choice is None:
            return
        flow, job_id, _ = choice
        check(self, flow, job_id, startable)
        self.started.append((flow.urgent, any(not job[0].urgent for job in startable)))
        self.queue.note_started(flow, job_id)
        self.waiting.remove((flow, job_id))
        self.running[flow.team] += 1


def run_queue(check):
    def run(steps):
        model = QueueModel()
        for step in steps:
            model.apply(*step, check)

    return given(STEPS)(run)


def check_fewest_running(model, flow, job_id, startable):
    loads = [
        model.find_load(job[0].team) for job in startable if job[0][1] == flow.urgent
    ]
    assert model.find_load(flow.team) == min(loads)


def check_order(model, flow, job_id, startable):
    assert next(job for job in startable if job[0] == flow)[1] == job_id


def check_urgent(model, flow, job_id, startable):
    others = [job for job in startable if not job[0].urgent]
    if others and flow.urgent:
        assert sum(urgent for urgent, _ in model.started[-3:]) < 3
    elif any(job[0].urgent for job in startable) and not flow.urgent:
        assert [urgent for urgent, _ in model.started[-3:]] == [True] * 3


NAMES = tuple("pqrs")
PLACE_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "choose",
                "choose",
                "choose",
                "end",
                "load",
                "block",
                "probation",
                "recover",
            ]
        ),
        st.sampled_from(NAMES),
        st.integers(0, 4),
        st.floats(0, 0.04),
    ),
    max_size=80,
)


def make_endpoint_infos(names, **changes):
    endpoint_infos = {}
    for number, name in enumerate(names):
        endpoint_infos[name] = EndpointInfo(
            f"{name}:1", number % 2 == 0, 4, 3, False
        )._replace(**changes)
    return endpoint_infos


def has_capacity(placement, name, now):
    opening = placement._find_available_at(placement._states[name], now)
    return opening is not None and opening <= now


def run_placement(check):
    def run(steps):
        endpoint_infos = make_endpoint_infos(NAMES)
        placement = Placement(10.0)
        placement.update(endpoint_infos, 0.0)
        rng = random.Random(5)
        now, own, probation = 0.0, Counter(), set()
        for step, name, count, seconds in steps:
            now += seconds
            match step:
                case "choose":
                    available = [
                        one for one in NAMES if has_capacity(placement, one, now)
                    ]
                    found = placement.choose(now, rng)
                    check(endpoint_infos, available, found)
                    if found is not None:
                        placement.note_started(found[0], now)
                        own[found[0]] += 1
                        assert own[found[0]] <= (1 if found[0] in probation else 3)
                case "end" if own[name]:
                    placement.note_ended(name, f"{name}:1", now)
                    own[name] -= 1
                case "load":
                    placement.note_load(name, count, now)
                    assert has_capacity(placement, name, now) <= (count < 4)
                case "block":
                    placement.block(name, now + 0.1, now)
                    assert not has_capacity(placement, name, now + 0.09)
                case "probation" if not own[name]:
                    placement.set_probation(name, True, now)
                    probation.add(name)
                case "recover":
                    placement.set_probation(name, False, now)
                    probation.discard(name)
        assert placement.count_own() == own.total()

    return given(PLACE_STEPS)(run)


def check_capacity(endpoint_infos, available, found):
    assert (found is None) == (not available), (found, available)
    assert found is None or found[0] in available


def check_local(endpoint_infos, available, found):
    if found is not None and not endpoint_infos[found[0]].same_data_centre:
        assert not [name for name in available if endpoint_infos[name].same_data_centre]


def run_health():
    events = st.lists(
        st.tuples(st.sampled_from(NAMES), st.integers(0, 6), st.floats(0, 1)),
        max_size=120,
    )

    def run(size, steps):
        health, now, ejected_until = PoolHealth(), 0.0, {}
        health.set_serving(NAMES[:size], now)
        for name, kind, seconds in steps:
            now += seconds
            actions = (
                health.note_failure(name, now) if kind else health.note_success(name)
            )
            for action in actions:
                if isinstance(action, Ejected):
                    ejected_until[action.endpoint] = action.until
                else:
                    ejected_until.pop(action.endpoint, None)
            ejected = [name for name, until in ejected_until.items() if until > now]
            assert len(ejected) == health.count_ejected(now)
            assert len(ejected) <= max(1, size // 2)
            assert len(ejected) < size

    return given(st.integers(1, len(NAMES)), events)(run)


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

    return given(st.lists(st.booleans(), max_size=400))(run)


PROPERTIES = {
    "the next job is of the team with the fewest running jobs per share": run_queue(
        check_fewest_running
    ),
    "jobs of one team and urgency start in order of arrival": run_queue(check_order),
    "urgent jobs take at most 3 of 4 consecutive starts": run_queue(check_urgent),
    "a chosen endpoint has capacity for one more job": run_placement(check_capacity),
    "a remote endpoint is chosen only if no local one has capacity": run_placement(
        check_local
    ),
    "at most half of the endpoints and never all of them are ejected": run_health(),
    "retries are at most 10 plus a tenth of the first attempts": run_retries(),
}


@then('with seed {number:d} the property holds that "{name}"')
def step_property(context, number, name):
    print(f"hypothesis seed {number}")
    run = settings(max_examples=300, deadline=None, database=None)(PROPERTIES[name])
    seed(number)(run)()


@when("2000 jobs start in 20 slots for teams with shares {share:g} and 1")
def step_shares(context, share):
    shares = {"a": share, "b": 1.0}
    running = Counter()
    queue = FairQueue(lambda team: running[team] / shares[team])
    rng = random.Random(1)
    order, total = [], 0
    for number in range(4000):
        queue.add(Flow("ab"[number % 2], False), str(number), None)
    for _ in range(2000):
        if len(order) == 20:
            ended = order.pop(rng.randrange(20))
            running[ended] -= 1
            queue.refresh(ended)
        flow, job_id, _item = queue.choose()
        queue.note_started(flow, job_id)
        running[flow.team] += 1
        order.append(flow.team)
        total += running["a"]
    context.average = total / 2000


@then("the first team used {slots:d} slots on average, within 1")
def step_share(context, slots):
    assert abs(context.average - slots) < 1, context.average


@when("an endpoint fails on probation until ejection number {number:d}")
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
    endpoint_infos = make_endpoint_infos("p", slots=8, limit=6, returning=True)
    placement.update(endpoint_infos, 0.0)
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
        flow, job_id, _item = queue.choose()
        queue.note_started(flow, job_id)
        running[flow.team] += 1

    return start


def prepare_choices(endpoints):
    placement = Placement(10.0)
    names = [f"i-{number}" for number in range(endpoints)]
    placement.update(make_endpoint_infos(names, slots=50, limit=50), 0.0)
    rng = random.Random(1)

    def choose():
        found, address = placement.choose(1.0, rng)
        placement.note_started(found, 1.0)
        placement.note_ended(found, address, 1.0)

    return choose


def prepare_failures(endpoints):
    health = PoolHealth()
    names = [f"i-{number}" for number in range(endpoints)]
    health.set_serving(names, 0.0)
    for number in range(endpoints * FAILURES_TO_EJECT):
        health.note_failure(names[number % endpoints], 0.0)
    rng = random.Random(1)
    return lambda: health.note_failure(rng.choice(names), 0.0)


COST_ROUNDS = 9
COSTS = {
    "a job start among teams": prepare_starts,
    "a placement among endpoints": prepare_choices,
    "a failure among endpoints": prepare_failures,
}


def count_calls(work):
    """Return the number of functions that a piece of work calls."""
    calls = 0

    def note(_frame, event, _argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


@then("{decision} at {large:d} costs less than 3 times as much as at {small:d}")
def step_cost(context, decision, large, small):
    def repeat(size):
        decide = COSTS[decision](size)
        return lambda: [decide() for _ in range(2000)]

    def measure(size):
        work = repeat(size)
        started_at = time.process_time()
        work()
        return time.process_time() - started_at

    fewest, most = count_calls(repeat(small)), count_calls(repeat(large))
    assert most < 3 * fewest, (fewest, most)
    # The sizes take turns, so that what else runs on the machine slows down both.
    pairs = [(measure(small), measure(large)) for _ in range(COST_ROUNDS)]
    least, most = (min(times) for times in zip(*pairs, strict=True))
    print(
        f"{decision}: {least * 500:.1f} us at {small}, {most * 500:.1f} us at {large}"
    )
    assert most < 3 * least, (least, most)


def note_departures(context, interval, is_backlogged):
    """Record the ends of 40 jobs at equal intervals."""
    context.departures = admission.Departures()
    for number in range(40):
        context.departures.note_end(is_backlogged, number * interval)


@given_step("40 jobs have ended every {interval:g} s while others waited")
def step_leave(context, interval):
    note_departures(context, interval, True)


@given_step("40 jobs have ended every {interval:g} s while none waited")
def step_leave_alone(context, interval):
    note_departures(context, interval, False)


@then("a job with {ahead:d} ahead, 0.2 s each on 4 slots, waits {wait:g} s")
def step_waits(context, ahead, wait):
    found = admission.estimate_wait(ahead, 0.2, 4, context.departures.interval)
    assert abs(found - wait) < 0.01, found
