"""Steps that run the examples of the language page."""

from __future__ import annotations

import copy
import re
import typing
from pathlib import Path

from behave import then, when
from operators_world import apply_text
from returns.pipeline import is_successful

from briarshed import commands, queries
from briarshed.changes import Documents
from briarshed.documents import CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY, make_empty
from briarshed.events import list_events
from briarshed.findings import format_finding
from briarshed.language import parse_script
from briarshed_cli import main

PAGE = Path(__file__).resolve().parents[3] / "docs" / "language.md"
BLOCK = re.compile(r"^```(commands|questions)([^\n]*)\n(.*?)^```", re.M | re.S)
MEMBER = {"incarnation": "a1", "address": "", "data_centre": "dc1", "operators": ""}
KEY = {"hash": "0" * 64, "team": "hotels", "expires_at": None}


def list_blocks(kind):
    """Return the conditions and texts of the page's example blocks of a kind."""
    found = BLOCK.findall(PAGE.read_text())
    return [(rest.strip(), text) for name, rest, text in found if name == kind]


def prepare_documents(documents, condition):
    """Return the documents in the condition that a block requires."""
    documents = copy.deepcopy(documents)
    if condition == "with a key":
        documents.configuration["keys"]["k-1a2b3c4d"] = dict(KEY)
    if condition == "with a silent member":
        documents.members["members"]["entry-3"] = dict(MEMBER)
    for instance in documents.fleet["instances"].values():
        instance["state"] = "serving"
        instance["pool"] = instance["target_pool"] or instance["pool"]
        instance["target_pool"] = None
    return documents


def insert_versions(text, documents):
    """Write the current versions into the version conditions of a block."""
    current = f"if version = {documents.configuration['version']}"
    text = re.sub(r"^if version = \d+", current, text, flags=re.M)
    current = f"if fleet version = {documents.fleet['version']}"
    return re.sub(r"^if fleet version = \d+", current, text, flags=re.M)


@when("the commands of the language page are applied")
def step_apply(context):
    documents = Documents(
        make_empty(CONFIGURATION_KEY), make_empty(FLEET_KEY), make_empty(MEMBERS_KEY)
    )
    context.examples = []
    for condition, text in list_blocks("commands"):
        documents = prepare_documents(documents, condition)
        text = insert_versions(text, documents)
        result = apply_text(text, documents)
        if not is_successful(result):
            raise AssertionError([format_finding(item) for item in result.failure()])
        documents = result.unwrap().documents
        context.examples += parse_script(text).unwrap().statements


@when("the queries of the language page are evaluated")
def step_evaluate(context):
    context.examples = []
    for _, text in list_blocks("questions"):
        script = parse_script(text).unwrap()
        assert not queries.check_queries(script), queries.check_queries(script)
        for statement in script.statements:
            row = dict.fromkeys(queries.COLUMNS[statement.command.subject], 1)
            table = queries.evaluate_query(statement.command, [row, row], 0.0)
            assert table.columns, statement
        context.examples += script.statements


@then("at least {count:d} {kind} of the page were {done}")
def step_count(context, count, kind, done):
    assert len(context.examples) >= count, len(context.examples)


@then("every command of the language has an example")
def step_complete(context):
    used = {type(item.command) for item in context.examples}
    missing = set(typing.get_args(commands.Command)) - used - {commands.Show}
    assert not missing, missing


@then("every subject has an example, and the page lists its columns")
def step_subjects(context):
    subjects = {item.command.subject for item in context.examples}
    assert subjects == set(queries.COLUMNS), subjects
    text = PAGE.read_text()
    for subject, columns in queries.COLUMNS.items():
        assert f"| `{subject}` | {', '.join(columns)} |" in text, subject


@then('the page says "{text}"')
def step_says(context, text):
    assert text in " ".join(PAGE.read_text().split()), text


@then("the operators' page has a row for every event that warns")
def step_events(context):
    text = PAGE.with_name("operators.md").read_text()
    for name, event in list_events().items():
        if event.level in ("WARNING", "ERROR"):
            assert f"| {event.number} {name} |" in text, name


@then("the operators' page has a row for every exit code of the program")
def step_codes(context):
    text = PAGE.with_name("operators.md").read_text()
    named = {name: value for name, value in vars(main).items() if name.isupper()}
    codes = {value for value in named.values() if isinstance(value, int)}
    assert len(codes) >= 5, named
    for code in {0, 1} | codes:
        assert f"\n| {code} | " in text, code
