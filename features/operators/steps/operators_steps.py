"""Steps for the operators' server with in-memory documents."""

from __future__ import annotations

import asyncio
import copy
import json
import random
import time
from pathlib import Path

from aiohttp.test_utils import TestClient, TestServer
from behave import given, then, when
from loguru import logger
from operators_world import (
    SECRETS,
    SEED,
    FakeCoordinator,
    FakeReplica,
    FakeScheduler,
    FakeStore,
    Reply,
    make_documents,
)

from briarshed.changes import Context, apply_script
from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY
from briarshed.keys import find_key, hash_key, make_key
from briarshed.language import parse_script
from briarshed.settings import check_settings
from briarshed_entry import operators

SAMPLE = Path(__file__).resolve().parents[3] / "examples" / "entry.jsonc"
KEYS = {
    "configuration": CONFIGURATION_KEY,
    "fleet": FLEET_KEY,
    "members": MEMBERS_KEY,
}
UNPARSABLE = {
    "bytes that are not UTF-8": (b"\xff\xfe", "c-1"),
    "a script of more than 256 KiB": (b"#" * 300_000, "c-1"),
    "a change id with a blank": (b"show pools", "c 1"),
    "a change id of 65 letters": (b"show pools", "c" * 65),
}


def open_server(context, store):
    """Run the operators' server until the scenario ends."""
    settings = check_settings(SAMPLE.read_text(), "sample").unwrap()
    hashes = {name: hash_key(text) for name, text in SECRETS.items()}
    settings = settings._replace(operators=settings.operators._replace(keys=hashes))
    context.store = store
    context.replica = FakeReplica(store)
    context.coordinator = FakeCoordinator()
    context.scheduler = FakeScheduler()
    application = operators.make_application(
        settings,
        context.replica,
        context.coordinator,
        context.scheduler,
        context.replica.read_prefix,
    )
    context.before = copy.deepcopy(store.documents)
    context.answers = []
    loop = asyncio.new_event_loop()
    client = TestClient(TestServer(application), loop=loop)
    loop.run_until_complete(client.start_server())
    context.loop, context.client = loop, client
    context.add_cleanup(loop.close)
    context.add_cleanup(lambda: loop.run_until_complete(client.close()))
    context.log = []
    sink = logger.add(lambda line: context.log.append(str(line)))
    context.add_cleanup(lambda: logger.remove(sink))


def send(context, body, authorization, change_id=""):
    """Post a script and store the response in the context."""
    headers = {"Authorization": authorization}
    if change_id:
        headers["Briarshed-Change-Id"] = change_id

    async def post():
        url = "/operator/commands"
        async with context.client.post(url, data=body, headers=headers) as response:
            return response.status, await response.json()

    context.status, context.answer = context.loop.run_until_complete(post())
    context.answers.append(context.answer)


def send_as(context, who, script, change_id=""):
    """Post a script as an operator; a semicolon separates lines."""
    body = script.replace("; ", "\n").encode()
    send(context, body, f"Bearer {SECRETS[who]}", change_id)


def change_directly(context, who, script, change_id=""):
    """Change the stored documents as another entry would, without the replica."""
    store = context.store
    documents = make_documents()._make(store.documents[key] for key in KEYS.values())
    change_id = change_id or f"other-{random.random()}"
    made = Context(change_id, who, time.time(), [make_key()])
    outcome = apply_script(parse_script(script).unwrap(), documents, made).unwrap()
    for key, document in zip(KEYS.values(), outcome.documents, strict=True):
        document = dict(document)
        context.replica.trim(key, document)
        store.documents[key] = document


@given("an operators' server with the documents of the language page")
def step_server(context):
    store = FakeStore()
    store.documents = dict(zip(KEYS.values(), make_documents(), strict=True))
    for key in (CONFIGURATION_KEY, FLEET_KEY):
        # The page's documents were made by one script; its change records are removed.
        store.documents[key]["changes"] = []
    open_server(context, store)


@given("an operators' server with empty documents")
def step_empty_server(context):
    open_server(context, FakeStore())


@given('the next change of the {target} fails with "{reason}"')
def step_fail_next(context, target, reason):
    context.replica.next_failures[KEYS[target]] = reason


@given('another operator\'s "{script}" is stored just before the next compare-and-swap')
def step_race(context, script):
    context.replica.before_swap = lambda: change_directly(context, "joao", script)


@given('another operator\'s "{script}" is stored just after the next compare-and-swap')
def step_follow(context, script):
    context.replica.after_swap = lambda: change_directly(context, "joao", script)


@given(
    'maria\'s "{script}" under change id "{change_id}" is stored by another entry first'
)
def step_twice(context, script, change_id):
    context.replica.before_swap = lambda: change_directly(
        context, "maria", script, change_id
    )


@given('member "{name}" blocks changes')
def step_block(context, name):
    context.coordinator.blockers = [name]


@given('member "{name}" answers')
def step_answers(context, name):
    context.coordinator.replies = [Reply(name, "dc1", 0.1, [])]


@given('member "{name}" does not answer')
def step_silent(context, name):
    assert name not in [reply.entry for reply in context.coordinator.replies]


@given('member "{name}" lags behind')
def step_lag(context, name):
    context.coordinator.lagging = [name]


@given("the store does not answer")
def step_store_down(context):
    context.replica.is_failing = True


@given('this entry has {count:d} running jobs of queue "{queue}" at instance "{name}"')
def step_jobs(context, count, queue, name):
    address = context.store.documents[FLEET_KEY]["instances"][name]["address"]
    context.scheduler.add_jobs(count, queue, address)


@given('entry "{name}" in "{data_centre}" answers with {count:d} jobs of pool "{pool}"')
def step_reply(context, name, data_centre, count, pool):
    rows = [{"pool": pool, "count": count}]
    context.coordinator.replies = [Reply(name, data_centre, 0.2, rows)]


@given('the planner moved instance "{name}" from pool "{old}" to "{new}" {age:d} s ago')
def step_moved(context, name, old, new, age):
    fleet = context.store.documents[FLEET_KEY]
    change = {
        "id": "planner-1",
        "version": fleet["version"],
        "at": time.time() - age,
        "who": "entry-2",
        "what": f"boot {name}: the platform reports it live",
        "before": {name: [old, "rebooting"]},
        "after": {name: [new, "returning"]},
    }
    fleet["changes"].append(change)


@given("the jobs of this entry cannot be listed")
def step_broken(context):
    context.scheduler.jobs = None


@when("maria sends")
def step_send_text(context):
    send(context, context.text.encode(), f"Bearer {SECRETS['maria']}")


@when('{who:w} sends "{script}"')
def step_send(context, who, script):
    send_as(context, who, script)


@when('under change id "{change_id}" {who:w} sends "{script}"')
def step_send_id(context, change_id, who, script):
    send_as(context, who, script, change_id)


@when('an unknown client sends "{script}" with authorization "{authorization}"')
def step_unknown_client(context, script, authorization):
    send(context, script.encode(), authorization)


@when('an unknown client sends "{script}" with authorization ""')
def step_no_authorization(context, script):
    send(context, script.encode(), "")


@when("maria sends {what}")
def step_send_odd(context, what):
    body, change_id = UNPARSABLE[what]
    send(context, body, f"Bearer {SECRETS['maria']}", change_id)


@when('joao\'s "{script}" and {count:d} other changes of the fleet follow')
def step_others(context, script, count):
    change_directly(context, "joao", script)
    for number in range(count):
        verb = "pause" if number % 2 == 0 else "resume"
        change_directly(context, "joao", f"{verb} wave w-1")


@when("{count:d} changes are made")
def step_many(context, count):
    for number in range(count):
        send_as(context, "maria", f"change team hotels limit {number + 1}")
        assert context.status == 200, context.answer


@when("{count:d} generated scripts are sent by maria and joao")
def step_generated(context, count):
    rng = random.Random(SEED)
    print(f"seed {SEED}")
    names = ["a", "b", "c"]
    forms = [
        "create pool {x} budget {n}",
        "change pool {x} budget {n}",
        "delete pool {x}",
        "create team {x} share {n} limit {n}; create key for team {x}",
        "change team hotels limit {n}",
        "create queue {x} pool {y} open",
        "delete queue {x}",
        "rotate key k-1a2b3c4d overlap {n}s",
        "add instance {x} pool {y} rack r{n} data-centre dc1 address 127.0.0.1:{n}",
        "create pool {x} budget 1; add instance {y} pool {x} rack r{n} data-centre dc1"
        " address 127.0.0.1:{n}",
        "remove instance {x}",
        "pause wave w-1",
        "resume wave w-1",
    ]
    context.accepted = 0
    for _ in range(count):
        x, y = rng.choice(names), rng.choice(names)
        script = rng.choice(forms).format(x=x, y=y, n=rng.randint(1, 9))
        send_as(context, rng.choice(sorted(SECRETS)), script)
        context.accepted += context.status == 200


@then("the server answers {status:d}")
def step_status(context, status):
    assert context.status == status, (context.status, context.answer)


@then("the server answers {status:d} without a finding")
def step_status_only(context, status):
    step_status(context, status)
    assert context.answer["message"], context.answer
    assert not context.answer["findings"], context.answer


@then("the server answers 200, accepted, in force")
def step_accepted(context):
    step_status(context, 200)
    assert context.answer["accepted"], context.answer
    assert context.answer["in_force"], context.answer
    assert context.answer["waiting_for"] == [], context.answer


@then("the server answers 200, not accepted")
def step_not_accepted(context):
    step_status(context, 200)
    assert not context.answer["accepted"], context.answer
    assert not context.answer["in_force"], context.answer


@then('the server answers 200, accepted, waiting for "{name}"')
def step_waiting(context, name):
    step_status(context, 200)
    assert context.answer["accepted"], context.answer
    assert not context.answer["in_force"], context.answer
    assert context.answer["waiting_for"] == [name], context.answer


@then("the server answers {status:d} with a finding on line {line:d}")
def step_found(context, status, line):
    step_status(context, status)
    assert {found["line"] for found in context.answer["findings"]} == {line}


@then('the server answers {status:d} saying "{text}"')
def step_saying(context, status, text):
    step_status(context, status)
    assert text in context.answer["message"], context.answer
    assert not context.answer["accepted"], context.answer


@then('the server answers 200 saying ""')
def step_saying_nothing(context):
    step_status(context, 200)


@then("nothing has changed")
def step_unchanged(context):
    assert context.store.documents == context.before


@then('result {line:d} has a key that the configuration finds for team "{team}"')
def step_key(context, line, team):
    row = context.answer["results"][line - 1]
    context.key_text = row["key"]
    configuration = context.store.documents[CONFIGURATION_KEY]
    owner = find_key(configuration, row["key"], time.time())
    assert owner == (row["key_id"], team), owner


@then("no document and no log line has the text of the key")
def step_no_key(context):
    secret = context.key_text.partition(".")[2]
    assert len(secret) > 40
    assert secret not in json.dumps(context.store.documents)
    assert context.log
    assert not [line for line in context.log if secret in line]


@then("the configuration is at version {version:d} and the fleet at version {fleet:d}")
def step_versions(context, version, fleet):
    assert context.store.documents[CONFIGURATION_KEY]["version"] == version
    assert context.store.documents[FLEET_KEY]["version"] == fleet
    assert context.answer["version"] == version
    assert context.answer["fleet_version"] == fleet


@then("the response has version {version:d} and the configuration version {other:d}")
def step_own_version(context, version, other):
    assert context.answer["version"] == version, context.answer
    assert context.store.documents[CONFIGURATION_KEY]["version"] == other


@then('instance "{name}" is "{state}" in pool "{pool}"')
def step_instance(context, name, state, pool):
    instance = context.store.documents[FLEET_KEY]["instances"][name]
    assert (instance["state"], instance["pool"]) == (state, pool), instance


@then('wave "{name}" is "{state}"')
def step_wave(context, name, state):
    wave = context.store.documents[FLEET_KEY]["waves"][name]
    assert wave["state"] == state, wave


@then("result 1 names the key of the first response without its text")
def step_same_key(context):
    first, second = (answer["results"][0] for answer in context.answers)
    assert first["key_id"] == second["key_id"], context.answers
    assert "key" in first and "key" not in second, context.answers
    assert "shown only then" in second["note"], second


@then("result 1 names the only new key without its text")
def step_only_key(context):
    row = context.answer["results"][0]
    before = context.before[CONFIGURATION_KEY]["keys"]
    made = context.store.documents[CONFIGURATION_KEY]["keys"].keys() - before.keys()
    assert made == {row["key_id"]}, (made, row)
    assert "key" not in row, row


@then('result 1 says "{text}"')
def step_note(context, text):
    assert text in context.answer["results"][0]["note"], context.answer


@then('the response warns "{text}"')
def step_warns(context, text):
    assert any(text in item for item in context.answer["warnings"]), context.answer


@then('the members are entry-1 and "{owner}" is recorded as departed')
def step_departed(context, owner):
    members = context.store.documents[MEMBERS_KEY]
    assert list(members["members"]) == ["entry-1"], members
    assert abs(members["departed"][owner] - time.time()) < 60, members


@then('the last change of the configuration is "{what}"')
def step_last(context, what):
    change = context.store.documents[CONFIGURATION_KEY]["changes"][-1]
    assert (change["what"], change["who"]) == (what, "maria"), change


@then('within {seconds:d} s the last change of the configuration is "{what}"')
def step_last_within(context, seconds, what):
    def is_recorded():
        changes = context.store.documents[CONFIGURATION_KEY]["changes"]
        return bool(changes) and changes[-1]["what"] == what

    until = time.monotonic() + seconds
    while not is_recorded() and time.monotonic() < until:
        context.loop.run_until_complete(asyncio.sleep(0.05))
    step_last(context, what)


@then(
    'the plan has {moves:d} move, {stops:d} stops and {count:d} instances of "{pool}"'
    " unavailable at most"
)
def step_plan(context, moves, stops, count, pool):
    plan = context.answer["plan"]
    assert (plan["moves"], plan["stops"]) == (moves, stops), plan
    most = {row["pool"]: row["unavailable_at_most"] for row in plan["pools"]}
    assert most[pool] == count, plan


@then("no result has a key")
def step_no_result_key(context):
    assert all("key" not in row for row in context.answer["results"]), context.answer


@then("replaying the audit trail from the start gives the documents")
def step_replay(context):
    assert context.accepted > 10, context.accepted
    for key in (CONFIGURATION_KEY, FLEET_KEY):
        document = context.store.documents[key]
        replayed = copy.deepcopy(context.before[key])
        for change in document["changes"]:
            assert change["version"] == replayed["version"] + 1, change
            assert change["who"] in SECRETS and change["what"] and change["id"], change
            replay_change(replayed, change)
        replayed["changes"] = document["changes"]
        assert replayed == without_hashes(document), key


def replay_change(document, change):
    """Apply a change by its record."""
    without_hashes(document)
    document["version"] = change["version"]
    for name, after in change["after"].items():
        section, _, key = name.partition(".")
        assert document[section].get(key) == change["before"][name], change
        document[section].pop(key, None)
        if after is not None:
            document[section][key] = after


def without_hashes(document):
    """Remove the hashes of keys, which the audit trail leaves out."""
    for key in document.get("keys", {}).values():
        key.pop("hash", None)
    return document


@then("the response has {count:d} rows")
def step_rows(context, count):
    step_status(context, 200)
    rows = context.answer["results"][0]["rows"]
    assert len(rows) == count, rows


@then("the response has {count:d} rows of the configuration")
def step_configuration_rows(context, count):
    rows = context.answer["results"][0]["rows"]
    assert [row["document"] for row in rows].count("configuration") == count, rows


@then('the response has the row "{pool}" with {count:d} jobs')
def step_group(context, pool, count):
    assert context.answer["results"][0]["rows"] == [{"pool": pool, "count": count}]


@then('the response comes from "{entries}" and not from "{missing}"')
def step_parts(context, entries, missing):
    result = context.answer["results"][0]
    assert ", ".join(part["entry"] for part in result["parts"]) == entries, result
    assert all(part["age_s"] is not None for part in result["parts"]), result
    assert [part["entry"] for part in result["unreached"]] == [missing], result
    assert all(part["data_centre"] for part in result["unreached"]), result


@then('key "{name}" expires in {seconds:d} s and the new one does not')
def step_rotated(context, name, seconds):
    keys = context.store.documents[CONFIGURATION_KEY]["keys"]
    assert abs(keys[name]["expires_at"] - time.time() - seconds) < 10, keys
    row = context.answer["results"][0]
    assert keys[row["key_id"]]["expires_at"] is None, keys


@then('the measure "{measure}" of "{subject}" is {value:g}')
def step_measure(context, measure, subject, value):
    rows = context.answer["results"][0]["rows"]
    found = [
        row["value"]
        for row in rows
        if (row["measure"], row["subject"]) == (measure, subject)
    ]
    assert len(found) == 1, rows
    # The roll-out lasts as long as the scenario.
    tolerance = 60 if measure == "roll-out" else 0.001
    assert abs(found[0] - value) < tolerance, rows
