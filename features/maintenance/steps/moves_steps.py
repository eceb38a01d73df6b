"""Steps for moves between pools and for the measures."""

import asyncio
import json
import sys
from pathlib import Path

from behave import given, then, when

sys.path.append(str(Path(__file__).resolve().parents[3] / "bench"))

import moves as bench
from _deployments import DEPLOYMENTS, make_instance, make_pool
from _simulation import World

from briarshed import measures
from briarshed.moves import (
    MoveState,
    choose_moves,
    note_demand,
    note_fleet,
)
from briarshed.settings import WeightsSettings

DECIDED_AT = 10_000.0


@given("deployment {number:d}")
def step_deployment(context, number):
    context.deployment = DEPLOYMENTS[number - 1]


@when("each queue in turn demands 5 times its mean for 10 minutes with seed {seed:d}")
def step_bursts(context, seed):
    def run(rule):
        seconds = bench.BURSTS_S
        return bench.run(context.deployment, rule, bench.make_bursts, seconds, seed)

    context.figures = run(bench.make_sustained_demand_rule(context.deployment))
    context.threshold_figures = run(bench.choose_by_threshold)


@then("no instance moves")
def step_no_moves(context):
    assert context.figures.moves == 0, context.figures


@then("a simple threshold rule makes at least {count:d} moves in the same time")
def step_plain(context, count):
    assert context.threshold_figures.moves >= count, context.threshold_figures


@given('pools "a", "b" and the spare pool "reserve" with 3 instances each')
def step_pools(context):
    names = ("a", "b", "reserve")
    pools = {pool: make_pool(spare=pool == "reserve") for pool in names}
    instances = {
        f"{pool}-{number}": {**make_instance(pool), "address": f"{pool}-{number}"}
        for pool in names
        for number in range(3)
    }
    context.world = World(pools, instances)
    context.weights = WeightsSettings()
    context.state = MoveState()


@given("the weights buffer {buffer:g}, moves {moves:g}, share {share:g}")
def step_weights(context, buffer, moves, share):
    context.weights = WeightsSettings(buffer, moves, share)


@given("{names} are in an evacuated data centre")
def step_evacuated_instances(context, names):
    fleet = context.world.fleet
    fleet["evacuated"] = {"dc2": {"since": 0.0, "who": "maria"}}
    for name in names.split(", ") if names != "none" else ():
        fleet["instances"][name]["data_centre"] = "dc2"


@given("each pool has a budget of {budget:d}")
def step_budgets(context, budget):
    for pool in context.world.configuration["pools"].values():
        pool["budget"] = budget


@given('"{name}" is rebooting')
def step_rebooting(context, name):
    context.world.fleet["instances"][name]["state"] = "rebooting"


@given("the spare pool has no serving instance")
def step_no_spare(context):
    instances = context.world.fleet["instances"]
    for number in range(3):
        del instances[f"reserve-{number}"]


@given('one instance of pool "{pool}" is failed')
def step_failed(context, pool):
    context.world.fleet["instances"][f"{pool}-0"]["state"] = "failed"


@given('an instance moved from "{before}" to "{after}" {ago:d} s before the decision')
def step_moved(context, before, after, ago):
    old = {"instances": {"x": make_instance(before)}}
    new = {"instances": {"x": make_instance(after)}}
    context.state = note_fleet(context.state, old, new, DECIDED_AT - ago)


@when('pool "a" demands {a:d} slots and pool "b" demands {b:d} for {seconds:d} s')
def step_wants(context, a, b, seconds):
    world, state = context.world, context.state
    for age in range(seconds, -1, -1):
        at = DECIDED_AT - age
        demand = {"a": a, "b": b}
        state = note_demand(state, world.configuration, world.fleet, demand, at)
    context.moves = choose_moves(
        world.configuration, world.fleet, state, context.weights, DECIDED_AT
    )


@then('the chosen moves are "{moves}"')
def step_chosen(context, moves):
    chosen = ", ".join(
        f"{move.source_pool} to {move.target_pool}" for move in context.moves
    )
    assert chosen == moves, chosen


@then('the chosen instances are "{names}"')
def step_instances(context, names):
    assert [move.instance for move in context.moves] == [names], context.moves


@then('the chosen moves are ""')
@then('the chosen instances are ""')
def step_chosen_none(context):
    assert not context.moves, context.moves


@when('the planner runs for {seconds:d} s while pool "a" demands {slots:d} slots')
def step_planner(context, seconds, slots):
    context.world.jobs = {
        entry: [{"pool": "a", "count": slots // 2}, {"pool": None, "count": 1}]
        for entry in ("entry-1", "entry-2")
    }
    run_planner(context, seconds)


@when("the planner runs for {seconds:d} s while {count:d} of 2 entries answers")
def step_planner_alone(context, seconds, count):
    names = ("entry-1", "entry-2")[:count]
    context.world.jobs = {name: [{"pool": "a", "count": 32}] for name in names}
    run_planner(context, seconds)


def run_planner(context, seconds):
    context.world.add_entry("entry-1")
    context.world.add_entry("entry-2", planner=False)
    asyncio.run(context.world.run(seconds))


@when(
    'pool "a" demands 32 slots for 400 s, with no samples in the middle for {gap:d} s'
)
def step_gap(context, gap):
    world, state = context.world, context.state
    for age in range(400, -1, -1):
        if not 200 <= age < 200 + gap:
            at = DECIDED_AT - age
            state = note_demand(state, world.configuration, world.fleet, {"a": 32}, at)
    context.moves = choose_moves(
        world.configuration, world.fleet, state, context.weights, DECIDED_AT
    )


@then("no instance is rebooted")
def step_no_reboot(context):
    assert not context.world.reboots, context.world.reboots


@then('{count:d} instance moved from "{before}" to "{after}" and serves')
def step_moved_all(context, count, before, after):
    instances = context.world.fleet["instances"]
    moved = [
        name
        for name, item in instances.items()
        if name.startswith(before) and item["pool"] == after
    ]
    assert len(moved) == count, instances
    assert {item["state"] for item in instances.values()} == {"serving"}, instances
    assert context.world.reboots == moved, context.world.reboots


def compute_measure(name, sample):
    match name:
        case "buffer":
            return measures.measure_buffer_cost(measures.Usage(*s) for s in sample)
        case "roll-out":
            steps = [measures.Transition(at, "i-1", event, "w") for at, event in sample]
            return measures.measure_roll_out(steps, "w")
        case "share":
            return measures.measure_share_error(sample)
        case "entitled":
            return measures.find_entitlements(*sample)
    raise AssertionError(f"unknown measure {name}")


@then('measure "{name}" of {sample} is {value}')
def step_measure(context, name, sample, value):
    got = compute_measure(name, json.loads(sample))
    assert got == json.loads(value), got
