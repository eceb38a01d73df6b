"""Steps of the end-to-end tests that a withdrawn key is rejected."""

from behave import then, when
from faults import FAULTS, Step
from properties_steps import JOBS_PER_S, check, list_sources, run_load

from briarshed_standins.processes import call, wait_until
from briarshed_standins.programs import now

KEYED_SECONDS = 15
FAULT_END_S = 12.0


@when("the key of team hotels is withdrawn at {at_s:d} seconds and {fault}")
def step_withdraw(context, at_s, fault):
    def withdraw(fleet):
        context.command_sent_at = now()
        context.reply = fleet.command(f"withdraw key {fleet.key_ids['hotels']}")
        context.response_at = now()

    # The fault outlasts the bound, as the key is rejected anyway once it ends.
    prolonged_steps = [
        step._replace(at_s=FAULT_END_S) if step.at_s > at_s else step
        for step in FAULTS[fault]
    ]
    steps = [*prolonged_steps, Step(float(at_s), withdraw)]
    run_load(context, list_sources(context.fleet), JOBS_PER_S, KEYED_SECONDS, steps)
    assert context.reply.status == 200, context.reply


def find_last_start(context):
    """Return the start time of the last job under the withdrawn key."""
    key = context.fleet.key_ids["hotels"]
    starts = [run.started_at for run in context.runs if run.key == key]
    assert starts, "no job ran under the key before it was withdrawn"
    return max(starts)


@then("no job starts under the key more than {bound:g} seconds after the command")
def step_bound(context, bound):
    late_s = find_last_start(context) - context.command_sent_at
    print(f"last start {late_s:.2f} s after the command")
    assert late_s <= bound, late_s


@then("no job starts under the key once the command says that it is in force")
def step_in_force(context):
    content = context.reply.content
    assert content["in_force"] == (not content["waiting_for"]), content
    late_s = find_last_start(context) - context.response_at
    assert not content["in_force"] or late_s <= 0, (late_s, content)


@then("other teams' jobs have no violation")
def step_others(context):
    report = check(context)
    assert not report.violations, report.violations[:5]


@when("all entries lose their connection to the store and a new entry is started")
def step_start_unknown(context):
    fleet = context.fleet
    cut_off = [f"{name}>store" for name in fleet.entries]
    fleet.cut(*cut_off, "entry-?>entry-4", "entry-4>entry-?")
    context.added = fleet.add_entry()


@then("the new entry refuses to withdraw a key and names the members")
def step_refuse(context):
    key = context.fleet.key_ids["hotels"]
    reply = context.fleet.command(f"withdraw key {key}", context.added.name)
    text = str(reply.content)
    assert reply.status != 200, reply
    assert all(name in text for name in ("entry-1", "entry-2", "entry-3")), text


@then("the old entries still run keyed jobs")
def step_goes_on(context):
    fleet = context.fleet
    old = [entry.url for entry in fleet.entries.values() if entry != context.added]

    def finishes(url):
        headers = {"Authorization": f"Bearer {fleet.keys['hotels']}"}
        answer = call("POST", f"{url}/queues/proofing/jobs", "x", headers)
        return answer.status == 200

    for url in old:
        # Longer than the freshness, so that authority comes from outage consent.
        wait_until("keyed jobs by outage consent", lambda url=url: finishes(url), 10)
