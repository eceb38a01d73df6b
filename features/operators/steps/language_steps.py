"""Steps for the operators' language and its application to documents."""

from __future__ import annotations

import copy

from behave import given, then, when
from briarshed.changes import Context, Documents, apply_script
from briarshed.documents import (
    CONFIGURATION_KEY,
    FLEET_KEY,
    MEMBERS_KEY,
    make_empty,
)
from briarshed.findings import format_finding
from briarshed.keys import make_key
from briarshed.language import parse_script
from briarshed.queries import check_questions
from hypothesis import given as generate
from hypothesis import seed, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

PAGE_SCRIPT = """\
create pool proofs budget 1
create pool reserve budget 1 spare
create team hotels share 3 limit 20
create team schools share 1 limit 10
create queue proofing pool proofs teams hotels
create queue samples pool proofs open
add instance i-1 pool proofs rack r1 data-centre dc1 address 127.0.0.1:9001
add instance i-2 pool proofs rack r2 data-centre dc1 address 127.0.0.1:9002
add instance i-3 pool proofs rack r3 data-centre dc2 address 127.0.0.1:9003
"""
SEED = 20261204
WORDS = (
    "create change pool pools team teams queue budget share limit open spare where show"
    ' jobs group by and = > , # 1 -1 60s hotels i-1 127.0.0.1:1 dry run if version é "'
)


def apply_text(text, documents, count=50):
    """Apply a script; return the outcome or the findings."""
    parsed = parse_script(text)
    if not is_successful(parsed):
        return parsed
    keys = [make_key() for _ in range(count)]
    context = Context("id-1", "maria", 1000.0, keys)
    return apply_script(parsed.unwrap(), documents, context)


def make_documents():
    """Return the documents that the language page starts from."""
    empty = Documents(
        make_empty(CONFIGURATION_KEY), make_empty(FLEET_KEY), make_empty(MEMBERS_KEY)
    )
    made = apply_text(PAGE_SCRIPT, empty).unwrap().documents
    made.configuration["version"] = 7
    made.configuration["keys"]["k-1a2b3c4d"] = {
        "hash": "0" * 64,
        "team": "hotels",
        "expires_at": None,
    }
    made.fleet["version"] = 3
    for name, state in (("i-1", "serving"), ("i-2", "serving"), ("i-3", "failed")):
        made.fleet["instances"][name]["state"] = state
    made.fleet["waves"]["w-1"] = {
        "state": "running",
        "pending": ["i-2"],
        "done": [],
        "reason": "",
    }
    member = {"incarnation": "a1", "address": "", "data_centre": "dc1", "operators": ""}
    made.members["members"] = {"entry-1": member, "entry-2": {**member}}
    return made


@when('the script "{script}" is parsed')
def step_parse(context, script):
    context.script_result = parse_script(script)


@when("this script is parsed")
def step_parse_text(context):
    context.script_result = parse_script(context.text)


@when('a script of {count:d} lines "{line}" is parsed')
def step_parse_many(context, count, line):
    context.script_result = parse_script("\n".join([line] * count))


@when('a script of {count:d} lines "" is parsed')
def step_parse_empty(context, count):
    step_parse_many(context, count, "")


@then('the script has a finding at column {column:d} that says "{message}"')
def step_finding(context, column, message):
    assert not is_successful(context.script_result), context.script_result
    findings = context.script_result.failure()
    texts = [format_finding(found) for found in findings]
    found = [
        item.column
        for item, text in zip(findings, texts, strict=True)
        if message in text
    ]
    assert column in found, texts


@then('the script has a finding at column 0 that says ""')
def step_no_finding(context):
    assert is_successful(context.script_result), context.script_result


@then("the script has findings on lines {lines}")
def step_lines(context, lines):
    found = [str(item.line) for item in context.script_result.failure()]
    assert ", ".join(found) == lines, context.script_result


@then("{count:d} generated scripts parse or have findings inside their text")
def step_generated(context, count):
    words = st.lists(st.sampled_from([*WORDS.split(), "\n", "\t"]), max_size=30)

    @seed(SEED)
    @settings(max_examples=count, deadline=None, database=None)
    @generate(st.one_of(words.map(" ".join), st.text(max_size=60)))
    def check(text):
        result = parse_script(text)
        if is_successful(result):
            return
        lines = text.splitlines() or [""]
        for found in result.failure():
            assert 1 <= found.line <= len(lines), (text, found)
            assert 1 <= found.column <= len(lines[found.line - 1]) + 1, (text, found)
            assert found.message, text

    print(f"seed {SEED}")
    check()


@given("the documents of the language page")
def step_documents(context):
    context.documents = make_documents()
    context.before = copy.deepcopy(context.documents)


@when('the script "{script}" is applied')
def step_apply(context, script):
    parsed = parse_script(script).unwrap()
    questions = check_questions(parsed)
    result = apply_text(script, context.documents)
    context.script_result = (
        type(result).from_failure(questions) if questions else result
    )


@then("the documents are as before")
def step_unchanged(context):
    assert context.documents == context.before
