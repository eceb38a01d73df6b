"""Steps for parsing the operators' language and applying scripts to documents."""

from __future__ import annotations

import copy

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st
from operators_world import SEED, apply_text, make_documents
from returns.pipeline import is_successful

from briarshed.findings import format_finding
from briarshed.language import parse_script
from briarshed.queries import check_queries

WORDS = (
    "create change pool pools team teams queue budget share limit open spare where show"
    ' jobs group by and = > , # 1 -1 60s hotels i-1 127.0.0.1:1 dry run if version é "'
)


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
    @given_values(st.one_of(words.map(" ".join), st.text(max_size=60)))
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
    query_findings = check_queries(parsed)
    result = apply_text(script, context.documents)
    context.script_result = (
        type(result).from_failure(query_findings) if query_findings else result
    )


@then("the documents are as before")
def step_unchanged(context):
    assert context.documents == context.before
