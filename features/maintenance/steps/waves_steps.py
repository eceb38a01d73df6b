"""Steps for waves, run on in-memory fakes in virtual time."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_values
from hypothesis import strategies as st

from briarshed.budgets import check_stop
from briarshed.charts import draw_chart, load_chart
from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY, make_empty
from briarshed.exceptions import ChartError
from briarshed.language import parse_script
from briarshed.waves import (
    ChangeInfo,
    Move,
    Observation,
    PlanningContext,
    Step,
    apply_steps,
    decide_steps,
    list_platform_calls,
)

ROOT = Path(__file__).resolve().parents[3]
sys.path.append(str(ROOT / "bench"))

from _deployments import make_instance, make_pool  # noqa: E402
from _simulation import (  # noqa: E402
    KilledError,
    World,
    list_violations,
)

DOCS = ROOT / "docs"
HYPOTHESIS_SEED = 20260726
MAX_WAVE_TICKS = 900


def make_world(count, racks, budget, wave=True, world_seed=0):
    names = [f"i-{number:02}" for number in range(count)]
    instances = {
        name: {**make_instance("a", f"r{index * racks // count}"), "address": name}
        for index, name in enumerate(names)
    }
    content = {"state": "running", "pending": names, "done": [], "reason": ""}
    waves = {"w-1": content} if wave else {}
    return World({"a": make_pool(budget)}, instances, waves, world_seed)


def find_wave(world):
    return world.fleet["waves"]["w-1"]


def is_done(world):
    return find_wave(world)["state"] == "done"


def find_state(world, number=0):
    return world.fleet["instances"][f"i-{number:02}"]["state"]


def assert_rebooted_once(world):
    expected = sorted(world.fleet["instances"])
    assert sorted(world.reboots) == expected, world.reboots
    assert sorted(world.drains) == expected, world.drains
    states = {item["state"] for item in world.fleet["instances"].values()}
    assert states == {"serving"}, states


@given(
    '{count:d} instances of pool "a" in {racks:d} racks with budget {budget:d} {wave}'
)
def step_world(context, count, racks, budget, wave):
    context.shape = (count, racks, budget)
    context.world = make_world(count, racks, budget, wave == "and a wave over them")


@given('{count:d} instances of pool "a", of which {evacuated:d} are in evacuated "dc2"')
def step_evacuated(context, count, evacuated):
    context.world = make_world(count, 1, 1)
    instances = list(context.world.fleet["instances"].values())
    context.evacuated = instances[:evacuated]
    for instance in context.evacuated:
        instance["data_centre"] = "dc2"
    context.world.fleet["evacuated"] = {"dc2": {"since": 0.0, "who": "maria"}}


@given('the budget is {budget:d} and {out:d} of those in "dc2" are out of service')
def step_out(context, budget, out):
    pools = context.world.configuration["pools"]
    pools["a"]["budget"] = budget
    pools["b"] = make_pool(1)
    for instance in context.evacuated[:out]:
        instance["state"] = "rebooting"


@when("a wave is due for all of them")
def step_wave_due(context):
    world = context.world
    context.steps = decide_steps(
        world.configuration, world.fleet, {}, PlanningContext(True, True)
    )


@then('{here:d} instances stop in "dc1" and {there:d} in "dc2"')
def step_stopped(context, here, there):
    instances = context.world.fleet["instances"]
    places = [instances[step.instance]["data_centre"] for step in context.steps]
    assert (places.count("dc1"), places.count("dc2")) == (here, there), places


@then('a move of an instance in "dc1" is {outcome}')
def step_check_move(context, outcome):
    world = context.world
    name = max(world.fleet["instances"])
    reason = check_stop(world.configuration, world.fleet, name, "b")
    expected = "the availability budget of pool 'a' is used up"
    assert reason == ("" if outcome == "allowed" else expected), reason


@when('an instance in "{data_centre}" is leaving')
def step_leaving(context, data_centre):
    world = context.world
    instance = next(
        item
        for item in world.fleet["instances"].values()
        if item["data_centre"] == data_centre
    )
    instance["state"] = "leaving"
    context.steps = decide_steps(
        world.configuration, world.fleet, {}, PlanningContext(True, False)
    )


@when('2 instances in "{data_centre}" are to move to a pool with budget 1')
def step_move_two(context, data_centre):
    world = context.world
    world.fleet["waves"] = {}
    moves = [
        Move(name, "a", "b")
        for name, item in world.fleet["instances"].items()
        if item["data_centre"] == data_centre
    ]
    assert len(moves) == 2
    context.steps = decide_steps(
        world.configuration, world.fleet, {}, PlanningContext(True, True), moves
    )


@then("1 of them stops")
def step_one_stops(context):
    assert [step.target_pool for step in context.steps] == ["b"], context.steps


@then("it is kept")
def step_kept(context):
    assert [step.event for step in context.steps] == ["keep"], context.steps


@then("it is not kept")
def step_not_kept(context):
    assert not context.steps, context.steps


@given("two entries of which the first is the planner")
def step_entries(context):
    context.world.add_entry("entry-1")
    context.world.add_entry("entry-2", planner=False)


@given("two entries that are both planners")
def step_planners(context):
    context.world.add_entry("entry-1")
    context.world.add_entry("entry-2")


@given('an entry in the instances\' data centre is "{entry}"')
def step_entry_live(context, entry):
    data_centre = "dc1" if entry == "live" else "dc2"
    context.world.add_entry("entry-1", data_centre)


@given("an entry in another data centre that cannot reach the endpoints")
def step_entry_far(context):
    context.world.add_entry("entry-2", "dc2", planner=False)
    context.world.disconnected.add("entry-2")


@given('the first instance is "{state}"')
def step_first_state(context, state):
    world = context.world
    world.unconfirmed = ["entry-9"] if state == "leaving" else []
    run = world.run(60, lambda: find_state(world) == state)
    assert asyncio.run(run), find_state(world)
    world.unconfirmed = []


@when('the first entry is killed "{point}" with "{detail}" and the second takes over')
def step_kill(context, point, detail):
    world = context.world

    async def kill(name, at, what):
        if name == "entry-1" and at == point and what.startswith(detail):
            world.entries["entry-2"]._coordinator.planner = True
            raise KilledError

    world.hook = kill
    context.done = asyncio.run(world.run(MAX_WAVE_TICKS, lambda: is_done(world)))
    assert world.dead == {"entry-1"}, "the point was never reached"


@when('the first entry is killed "{point}" with "" and the second takes over')
def step_kill_any(context, point):
    step_kill(context, point, "")


@when("their changes interleave with {count:d} seeds")
def step_race(context, count):
    context.worlds = []
    for number in range(count):
        world = make_world(*context.shape, world_seed=number)
        world.add_entry("entry-1")
        world.add_entry("entry-2")
        asyncio.run(run_racing(world))
        context.worlds.append(world)
    context.world = world


async def run_racing(world):
    async def pause(_name, _point, _what):
        for _ in range(world.random.randrange(4)):
            await asyncio.sleep(0)

    world.hook = pause
    entries = list(world.entries.values())
    for _ in range(MAX_WAVE_TICKS):
        world.at += 1.0
        world._advance_platform()
        await asyncio.gather(*(entry.check_instances() for entry in entries))
        await asyncio.gather(*(entry.plan_once() for entry in entries))
        await asyncio.gather(*(e._replica.refresh() for e in entries))
        if is_done(world):
            return


@then("every wave ended with each instance rebooted once")
def step_all_ended(context):
    for world in context.worlds:
        assert is_done(world), find_wave(world)
        assert not world.violations, world.violations
        assert_rebooted_once(world)


@when('the first entry is frozen for {seconds:d} s "{point}" with "{detail}"')
def step_freeze(context, seconds, point, detail):
    world = context.world
    freeze_first(world, seconds, point, detail)
    context.done = asyncio.run(run_refreshed(world, lambda: is_done(world)))
    assert world.hook is None, "the point was never reached"


def freeze_first(world, seconds, point, detail, recovering=""):
    async def freeze(name, at, what):
        if name == "entry-1" and at == point and what.startswith(detail):
            world.hook = None
            other = world.entries["entry-2"]
            other._coordinator.planner = True
            other._coordinator.lost = ["entry-1"]
            world.down.discard(recovering)
            for _ in range(seconds):
                await other._replica.refresh()
                await world.tick(only="entry-2")
            other._coordinator.lost = []

    world.hook = freeze


@when(
    'the first entry is frozen before it records the failure of "{name}", '
    "which recovers"
)
def step_freeze_failure(context, name):
    world = context.world
    world.down.add(name)
    freeze_first(world, 60, "before swap", f"fail {name}", name)
    asyncio.run(run_refreshed(world, lambda: is_done(world)))
    assert world.hook is None, "the point was never reached"


@then('"{name}" was never failed')
def step_never_failed(context, name):
    texts = [change["what"] for change in context.world.fleet["changes"]]
    assert not [text for text in texts if f"fail {name}" in text], texts


@when(
    'instance "{state}" since 9 was observed since {since:d} as platform "{platform}"'
)
def step_observe(context, state, since, platform):
    fleet = make_empty(FLEET_KEY)
    instance = {**make_instance("a", state=state), "since": 9, "operation": "c-1"}
    fleet["instances"] = {"i-00": instance}
    configuration = {**make_empty(CONFIGURATION_KEY), "pools": {"a": make_pool()}}
    seen = {"i-00": Observation(state, since, platform_state=platform)}
    context.steps = decide_steps(
        configuration, fleet, seen, PlanningContext(True, True)
    )
    context.calls = list_platform_calls(fleet, seen)


@then('the steps that are due are "{steps}" and the calls are "{calls}"')
def step_due(context, steps, calls):
    assert [step.event for step in context.steps] == steps.split(), context.steps
    assert [call.kind for call in context.calls] == calls.split(), context.calls


@then('the steps that are due are "" and the calls are "{calls}"')
def step_due_calls(context, calls):
    step_due(context, "", calls)


@then('the steps that are due are "{steps}" and the calls are ""')
def step_due_steps(context, steps):
    step_due(context, steps, "")


@then('the steps that are due are "" and the calls are ""')
def step_due_none(context):
    step_due(context, "", "")


async def run_refreshed(world, until, ticks=MAX_WAVE_TICKS):
    for _ in range(ticks):
        for entry in world.entries.values():
            await entry._replica.refresh()
        await world.tick()
        if until():
            return True
    return False


def set_fault(world, fault, holds):
    match fault:
        case "every compare-and-swap response is lost":
            world.lost_write_responses = 10_000 if holds else 0
        case "the store is down":
            world.store_down = holds
        case "the platform is down":
            world.platform_down = holds
        case "no member confirms":
            world.unconfirmed = ["entry-9"] if holds else []
        case "no authority":
            for entry in world.entries.values():
                entry._coordinator.granted = not holds


@when('"{fault}" holds for {seconds:d} s in the middle of the wave')
def step_fault_middle(context, fault, seconds):
    world = context.world

    async def run():
        await run_refreshed(world, lambda: find_state(world, 1) == "leaving")
        set_fault(world, fault, True)
        await run_refreshed(world, lambda: False, seconds)
        set_fault(world, fault, False)
        return await run_refreshed(world, lambda: is_done(world))

    context.done = asyncio.run(run())


@when('"{fault}" holds for {seconds:d} s')
def step_fault(context, fault, seconds):
    set_fault(context.world, fault, True)
    asyncio.run(run_refreshed(context.world, lambda: False, seconds))


@when('"{fault}" holds while another instance fails')
def step_fault_and_failure(context, fault):
    world = context.world
    set_fault(world, fault, True)
    find_wave(world)["state"] = "paused"
    world.down.add("i-05")
    asyncio.run(run_refreshed(world, lambda: False, 12))


@then("the first instance serves and is pending again")
def step_kept(context):
    assert find_state(context.world) == "serving", find_state(context.world)
    assert find_wave(context.world)["pending"][0] == "i-00"
    assert not context.world.drains, context.world.drains


@then("the wave ends with each instance rebooted once")
def step_ended(context):
    assert context.done, find_wave(context.world)
    assert_rebooted_once(context.world)


@then("no change violated an invariant")
def step_rules(context):
    assert not context.world.violations, context.world.violations


@then("exactly 1 instance was stopped and it serves again")
def step_one(context):
    world = context.world
    assert world.reboots == ["i-00"], world.reboots
    assert find_state(world) == "serving", find_state(world)


@then("no instance was drained")
def step_none_drained(context):
    assert not context.world.drains, context.world.drains
    assert find_state(context.world) == "leaving", find_state(context.world)


@when("2 instances fail, then a rack is lost for {seconds:d} s")
def step_rack_loss(context, seconds):
    world = context.world
    lost = {f"i-{number:02}" for number in range(8, 12)}

    async def run():
        await run_refreshed(world, lambda: find_state(world, 1) == "leaving")
        world.down |= {"i-04", "i-05"}
        await run_refreshed(world, lambda: False, 15)
        context.stopped = {len(world.drains)}
        world.down -= {"i-04", "i-05"}
        world.down |= lost
        await run_refreshed(world, lambda: False, 30)
        context.before = list(world.drains)
        await run_refreshed(world, lambda: False, seconds)
        context.after = list(world.drains)
        world.down -= lost
        return await run_refreshed(world, lambda: is_done(world))

    context.done = asyncio.run(run())


@then("no stop began while the budget was used up")
def step_no_stop(context):
    assert context.before == context.after, (context.before, context.after)


@then("the wave ends with the lost instances serving again")
def step_lost_served(context):
    assert context.done, find_wave(context.world)
    states = {item["state"] for item in context.world.fleet["instances"].values()}
    assert states == {"serving"}, states
    assert sorted(context.world.reboots) == sorted(context.world.fleet["instances"])


@when("the first {count:d} instances do not come back from their reboot")
def step_broken(context, count):
    world = context.world
    world.broken_after_reboot = {f"i-{number:02}" for number in range(count)}
    done = world.run(MAX_WAVE_TICKS, lambda: find_wave(world)["state"] == "halted")
    assert asyncio.run(done), find_wave(world)


@then("the wave is halted with at most {count:d} instances stopped")
def step_halted(context, count):
    asyncio.run(run_refreshed(context.world, lambda: False, 60))
    wave = find_wave(context.world)
    assert wave["state"] == "halted", wave
    assert "i-00 and i-01" in wave["reason"], wave
    assert len(context.world.drains) <= count, context.world.drains


@when("they are repaired and an operator resumes the wave")
def step_resume(context):
    world = context.world
    world.broken_after_reboot = set()
    world.down = set()
    find_wave(world).update(state="running", reason="")
    world.fleet["version"] += 1
    context.done = asyncio.run(run_refreshed(world, lambda: is_done(world)))


@when('the platform "{listed}" the first instance, which "{health}" its health check')
def step_list(context, listed, health):
    world = context.world
    if listed != "lists":
        world.omitted.add("i-00")
    if listed == "hides":
        world.hidden.add("i-00")
    if listed == "loses":
        del world.states["i-00"]
    if health == "fails":
        world.down.add("i-00")


@when("the first instance fails its health checks for {seconds:d} s")
def step_fail_for(context, seconds):
    world = context.world
    world.down.add("i-00")
    asyncio.run(world.run(seconds))
    expected = "failed" if seconds > 10 else "serving"
    assert find_state(world) == expected, find_state(world)
    world.down.discard("i-00")


@then('the first instance is "{state}" after {seconds:d} s')
def step_state_after(context, state, seconds):
    asyncio.run(context.world.run(seconds))
    assert find_state(context.world) == state, find_state(context.world)


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    asyncio.run(context.world.run(seconds))


@then("every instance is serving")
def step_all_serving(context):
    states = {item["state"] for item in context.world.fleet["instances"].values()}
    assert states == {"serving"}, states


@when("{count:d} random histories of decisions are applied")
def step_random(context, count):
    context.world = make_world(1, 1, 1)
    print(f"hypothesis seed {HYPOTHESIS_SEED}")

    @seed(HYPOTHESIS_SEED)
    @settings(
        max_examples=count,
        deadline=None,
        # No shrinking, as a smaller seed does not give a simpler history.
        phases=[Phase.generate],
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_values(st.integers(0, 2**32))
    def check(number):
        found = run_random_history(random.Random(number))
        assert not found, found

    check()


def run_random_history(rng):
    """Apply random decisions and return the invariants that they violated."""
    pools = {pool: make_pool(rng.randint(0, 3)) for pool in "abc"}
    configuration = {**make_empty(CONFIGURATION_KEY), "pools": pools}
    names = [f"i-{number:02}" for number in range(rng.randint(3, 14))]
    fleet = make_empty(FLEET_KEY)
    fleet["instances"] = {
        name: make_instance(rng.choice("abc"), f"r{rng.randint(0, 3)}")
        for name in names
    }
    fleet["waves"] = {
        wave: {
            "state": "running",
            "pending": rng.sample(names, rng.randint(1, len(names))),
            "done": [],
            "reason": "",
        }
        for wave in ("w-1", "w-2")
    }
    found = []
    for number in range(40):
        before = fleet
        seen = {
            name: make_random_observation(rng, item)
            for name, item in fleet["instances"].items()
        }
        moves = [
            Move(name, fleet["instances"][name]["pool"], rng.choice("abc"))
            for name in rng.sample(names, 2)
        ]
        planning = PlanningContext(rng.random() < 0.8, rng.random() < 0.8)
        steps = decide_steps(configuration, fleet, seen, planning, moves)
        if steps:
            stamp = ChangeInfo(f"c-{number}", number + 1.0, "test")
            fleet = apply_steps(fleet, steps, stamp)
            found += list_violations(configuration, before, fleet)
        if rng.random() < 0.1:
            rng.choice(list(pools.values()))["budget"] = rng.randint(0, 3)
    return found


def make_random_observation(rng, instance):
    since = instance["since"] - (rng.random() < 0.1)
    platform = {"draining": "drained", "rebooting": "live"}.get(instance["state"], "")
    failures = rng.choice([0, 0, 0, 0, 0, 3])
    return Observation(
        instance["state"],
        since,
        rng.choice([0.0, 60.0, 700.0]),
        platform if rng.random() < 0.6 else "",
        0 if failures else rng.choice([0, 1, 3]),
        failures,
        rng.random() < 0.5,
    )


@when('event "{event}" is applied to an instance that is "{state}"')
def step_event(context, event, state):
    fleet = make_empty(FLEET_KEY)
    fleet["instances"] = {"i-00": make_instance("a", state=state)}
    try:
        apply_steps(fleet, [Step("i-00", state, event)], ChangeInfo("c-1", 1.0, "test"))
    except ChartError as error:
        context.refusal = error.format_message()
    else:
        context.refusal = ""


@then("it is refused")
def step_refused(context):
    assert "no event" in context.refusal, context.refusal


@then('docs/lifecycle.md has the diagram of "{name}"')
def step_picture(context, name):
    text = (DOCS / "lifecycle.md").read_text()
    drawn = text.split("```mermaid\n")[1].split("\n```")[0]
    assert drawn == draw_chart(load_chart(name)), "generate the diagram again"


@then(
    "examples/{script} creates {pools:d} pools, {teams:d} teams, {queues:d} queues"
    " and {count:d} instances"
)
def step_sample(context, script, pools, teams, queues, count):
    text = (ROOT / "examples" / script).read_text()
    statements = parse_script(text, script).unwrap().statements
    found = Counter(type(item.command).__name__ for item in statements)
    expected = {
        "CreatePool": pools,
        "CreateTeam": teams,
        "CreateQueue": queues,
        "AddInstance": count,
    }
    assert found == expected, found
