"""Steps for the validation of settings."""

from pathlib import Path

from behave import given, then, when
from returns.pipeline import is_successful

from briarshed.findings import format_finding
from briarshed.settings import check_settings

SAMPLE = Path(__file__).resolve().parents[3] / "examples" / "entry.jsonc"


@given("the sample settings")
def step_read(context):
    context.settings_text = SAMPLE.read_text()


@given('the sample settings with "{before}" replaced by "{after}"')
def step_replace(context, before, after):
    text = SAMPLE.read_text()
    assert before in text, f"the sample has no {before}"
    context.settings_text = text.replace(before, after, 1)


@given('the sample settings with "{before}" replaced by ""')
def step_remove(context, before):
    step_replace(context, before, "")


@given("the sample settings with two unknown names")
def step_replace_two(context):
    text = SAMPLE.read_text()
    context.settings_text = text.replace('"share"', '"shares"').replace(
        '"level"', '"levle"'
    )


@when("the settings are checked")
def step_check(context):
    result = check_settings(context.settings_text, "sample")
    context.findings = () if is_successful(result) else result.failure()


@then("there are no findings")
def step_none(context):
    assert context.findings == (), context.findings


@then("there are {count:d} findings")
def step_count(context, count):
    assert len(context.findings) == count, context.findings


@then('there is a finding on the line of "{mark}" that says "{message}"')
def step_finding(context, mark, message):
    lines = context.settings_text.splitlines()
    texts = [format_finding(found) for found in context.findings]
    matching = [
        found
        for found, text in zip(context.findings, texts, strict=True)
        if message in text and mark in lines[found.line - 1]
    ]
    assert matching, texts
