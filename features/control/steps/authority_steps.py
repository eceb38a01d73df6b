"""Steps for authority decisions, on a simulation of the entries and the store."""

import random
import sys
from ast import literal_eval
from pathlib import Path

from behave import given, step, then, when
from hypothesis import HealthCheck, seed, settings, strategies
from hypothesis import given as given_values
from returns.pipeline import is_successful

from briarshed.authority import (
    OwnView,
    PeerView,
    decide_authority,
    find_relayed_confirmation,
)
from briarshed.membership import is_listed, list_owners, register_member

sys.path.append(str(Path(__file__).resolve().parents[3] / "bench"))

from partitions import INITIAL_ENTRIES, STORE, TIMING, World, run_random

RANDOM_RUNS = 100

CHECK_INTERVAL_S = 0.25


def _split(names):
    return [] if names == "none" else names.replace(" and ", ", ").split(", ")


@given("established entries a, b and c")
def step_establish(context):
    context.world = World()
    for name in INITIAL_ENTRIES:
        context.world.start(name)
    context.world.advance(5)
    for entry in context.world.entries.values():
        assert not entry.blockers(), f"{entry.name} is not established"


@when("nothing happens")
def step_nothing(context):
    pass


@when("the store goes down")
def step_store_down(context):
    context.world.store_down = True


@when("the store goes down and c is killed")
def step_store_down_killed(context):
    step_store_down(context)
    step_kill(context)


@when("the store goes down and c is partitioned")
def step_store_down_cut(context):
    step_store_down(context)
    context.world.cut("c", "ab")


@when("c is killed")
def step_kill(context):
    context.world.entries["c"].state = "killed"


@when("c is paused")
def step_pause(context):
    context.world.entries["c"].state = "paused"


@when("c resumes")
def step_wake(context):
    context.incarnation = context.world.entries["c"].incarnation
    context.world.entries["c"].state = "running"


@when("c is partitioned from everything")
def step_cut(context):
    context.world.cut("c", [*"ab", STORE])


@when("b and c are partitioned from a and the store")
def step_cut_pair(context):
    context.world.cut("bc", ["a", STORE])


@when("c is partitioned from the store and from a")
def step_cut_two(context):
    context.world.cut("c", ["a", STORE])


@step("{names} is partitioned from the store")
@step("{names} are partitioned from the store")
def step_cut_store(context, names):
    context.world.cut(_split(names), [STORE])


@when("c reaches its peers but not the store")
def step_cut_store_only(context):
    context.world.heal()
    context.world.cut("c", [STORE])


@when("all partitions heal")
def step_heal(context):
    context.world.heal()


@when("d is started without connections to a, b and c")
def step_start(context):
    context.world.start("d")
    context.world.cut("d", INITIAL_ENTRIES)


@step("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.world.advance(seconds)


@step("{name} accepts a change")
def step_accept(context, name):
    refusal = context.world.accept(name)
    assert not refusal, refusal


@then('a change by d is refused because of "{name}"')
def step_refuse(context, name):
    refusal = context.world.accept("d")
    assert f"'{name}'" in refusal, refusal


@then("{names} have authority and {others} have not")
def step_authority(context, names, others):
    world = context.world
    for name in _split(names) + _split(others):
        decision = world.entries[name].decide(world.time)
        assert decision.granted == (name in _split(names)), (name, decision)


@then("every entry has authority at every check during {seconds:d} seconds")
def step_always(context, seconds):
    world = context.world
    end = world.time + seconds
    refused = []
    while world.time < end:
        world.advance(CHECK_INTERVAL_S)
        decisions = {
            name: entry.decide(world.time) for name, entry in world.entries.items()
        }
        refused += [
            (world.time, name, decision.reason)
            for name, decision in decisions.items()
            if not decision.granted
        ]
    assert not refused, (len(refused), refused[:2], refused[-1])


@when("a and b restart while the store is down and reach c")
def step_restart(context):
    context.world.heal()
    context.world.store_down = True
    context.world.start("a")
    context.world.start("b")


@given("an entry in an outage whose peer consents")
def step_make_views(context):
    own = OwnView("a/i0", -5000.0, 60.0, None, True, 7, 4, ("b/i1",), True)
    context.own, context.peer = own, PeerView("i1", 99.0, None, 40.0, True, 7, 4, True)


@given("the peer confirmed its configuration {age:g} seconds ago")
def step_confirm(context, age):
    context.peer = context.peer._replace(confirmed_age=age, store_failing=False)


@when("peer {field} is {value}")
def step_replace_peer(context, field, value):
    context.peer = context.peer._replace(**{field: literal_eval(value)})


@when("entry {field} is {value}")
def step_replace_own(context, field, value):
    context.own = context.own._replace(**{field: literal_eval(value)})


@then('authority is "{text}"')
def step_decide(context, text):
    decision = decide_authority(context.own, {"b": context.peer}, TIMING, 100.0)
    assert text in decision.reason, decision
    assert decision.granted == (text in ("fresh", "outage consent")), decision


@then("the confirmation that it relays is from {second}")
def step_relay(context, second):
    relayed = find_relayed_confirmation(context.own, {"b": context.peer})
    assert relayed == literal_eval(second), relayed


@then("a new process c at address {address} is {outcome}")
def step_register(context, address, outcome):
    members = context.world.members
    before = members["members"]["c"]["incarnation"]
    member = {"incarnation": "new", "address": address}
    result = register_member(members, "c", member, 0.0)
    assert is_successful(result) == (outcome == "registered in its place"), result
    if is_successful(result):
        assert is_listed(result.unwrap(), "c", "new")
        assert f"c/{before}" in result.unwrap()["departed"]


@then("c runs under a new incarnation")
def step_incarnation(context):
    entry = context.world.entries["c"]
    assert entry.incarnation != context.incarnation
    assert entry.owner in list_owners(context.world.members)


@then("no entry ever honoured a replaced configuration")
def step_safe(context):
    assert not context.world.violations, context.world.violations[:3]


@then(
    "no sequence of {events:d} random events with seed {number:d} breaks the invariant"
)
def step_random(context, events, number):
    _check_random(events, number, RANDOM_RUNS)


@then(
    "no sequence of {events:d} random events with seed {number:d} breaks the invariant"
    " in {runs:d} runs"
)
def step_random_long(context, events, number, runs):
    _check_random(events, number, runs)


def _check_random(events, number, runs):
    print(f"seed {number}, {runs} runs of {events} events")
    accepted = []

    @seed(number)
    @settings(
        max_examples=runs,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_values(strategies.integers(0, 2**32 - 1))
    def check(run_seed):
        world = run_random(random.Random(run_seed), events)
        accepted.append(len(world.accepted))
        assert not world.violations, (run_seed, world.violations[:3])

    check()
    assert sum(accepted) > runs, "too few changes were accepted to test the invariant"
