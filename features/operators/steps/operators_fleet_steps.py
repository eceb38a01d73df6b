"""Steps for operators' changes on a fleet of processes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from briarshed.documents import CONFIGURATION_KEY
from briarshed_standins.fleet import Fleet
from briarshed_standins.processes import call, wait_until

WAIT_S = 30.0
HTTP_OK = 200


@given("three entries with the fleet's configuration")
def step_fleet(context):
    context.fleet = Fleet().__enter__()
    context.add_cleanup(context.fleet.close)


def command(context, script, entry="entry-1"):
    """Send a script that must be accepted and in force."""
    reply = context.fleet.command(script, entry)
    assert reply.status == HTTP_OK and reply.content["in_force"], reply
    return reply.content


def submit(context, key):
    """Submit a job to every entry; return the statuses."""
    statuses = []
    for url in context.fleet.list_urls():
        headers = {"Authorization": f"Bearer {key}"}
        reply = call("POST", f"{url}/queues/proofing/jobs", "work", headers)
        statuses.append(reply.status)
    return statuses


@when('a key is created for team "{team}" and the response says in force')
def step_create_key(context, team):
    context.row = command(context, f"create key for team {team}")["results"][0]


@then("every entry accepts the key at once")
def step_accepts(context):
    assert submit(context, context.row["key"]) == [200, 200, 200]


@when("the key is withdrawn and the response says in force")
def step_withdraw(context):
    command(context, f"withdraw key {context.row['key_id']}", "entry-2")


@then("every entry refuses the key at once")
def step_refuses(context):
    assert submit(context, context.row["key"]) == [401, 401, 401]


@when("each entry gets {count:d} changes of the same team at once")
def step_race(context, count):
    names = [*context.fleet.entries] * count
    scripts = [
        f"change team schools limit {number + 30}" for number in range(len(names))
    ]
    with ThreadPoolExecutor(len(names)) as executor:
        replies = executor.map(context.fleet.command, scripts, names)
        context.replies = list(zip(scripts, replies, strict=True))
    print("statuses", sorted(reply.status for _, reply in context.replies))


@then("each accepted change has its own version and an audit record")
def step_versions(context):
    document = context.fleet.read_document(CONFIGURATION_KEY)
    recorded = {change["version"]: change["what"] for change in document["changes"]}
    accepted = [
        (reply.content["version"], script)
        for script, reply in context.replies
        if reply.status == HTTP_OK
    ]
    assert accepted, context.replies
    assert len({version for version, _ in accepted}) == len(accepted), accepted
    assert all(recorded[version] == script for version, script in accepted), accepted
    made = [what for what in recorded.values() if "schools limit" in what]
    assert len(made) == len(accepted), (made, accepted)
    last = max(accepted)[1].rpartition(" ")[2]
    assert document["teams"]["schools"]["limit"] == int(last), document["teams"]


@then("the refusals name the current version and the change that came first")
def step_refused(context):
    refused = [reply for _, reply in context.replies if reply.status != HTTP_OK]
    assert all(reply.status == 409 for reply in refused), refused
    for reply in refused:
        assert "is now at version" in reply.content["message"], reply
        assert "by maria in version" in reply.content["message"], reply


@when('the store loses its next response and team "{team}" is created')
def step_lose(context, team):
    context.fleet.set_faults("store", lost_answers=1)
    command(context, f"create team {team} share 1 limit 1")


@then('team "{team}" is in the audit trail once')
def step_once(context, team):
    document = context.fleet.read_document(CONFIGURATION_KEY)
    made = [change for change in document["changes"] if team in change["what"]]
    assert len(made) == 1, made
    assert team in document["teams"]


@when("entry 3 is killed and entry 4 is started")
def step_replace(context):
    context.fleet.kill("entry-3")
    context.fleet.add_entry(ready=False)


def send_to_new_entry(context, script):
    """Send a script to entry 4, which may not listen yet."""
    return context.fleet.command(script, "entry-4")


@then("entry 4 refuses changes and names entry 3")
def step_blocked(context):
    reply = wait_until(
        "entry 4 listens",
        lambda: send_to_new_entry(context, "create team never share 1 limit 1"),
        WAIT_S,
    )
    assert reply.status == 503, reply
    assert "entry-3" in reply.content["message"], reply


@when("entry 4 gets the command to forget entry 3")
def step_forget(context):
    reply = send_to_new_entry(context, "forget member entry-1")
    assert reply.status == 409 and "entry-1 answers" in reply.content["message"], reply
    reply = send_to_new_entry(context, "forget member entry-3")
    assert reply.status == HTTP_OK, reply


@then('entry 4 accepts changes, and the audit trail has "{what}"')
def step_recorded(context, what):
    def is_accepted():
        # The running members must have answered the new entry first.
        return (
            send_to_new_entry(context, "create team after share 1 limit 1").status
            == 200
        )

    wait_until("entry 4 accepts a change", is_accepted, WAIT_S)

    def is_recorded():
        document = context.fleet.read_document(CONFIGURATION_KEY)
        assert "never" not in document["teams"], document["teams"]
        return what in [change["what"] for change in document["changes"]]

    wait_until("the command is in the audit trail", is_recorded, WAIT_S)
