"""Steps for the check of a configuration before it is sent."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from behave import given, then, when

from briarshed_platform.check import run_check

QUEUE = {"hostname": "h", "backend": "desk", "slo-ms": 600, "timeout-ms": 3000}
IN_FORCE = {
    "version": 7,
    "routes": [
        {"name": "fast", "path-prefix": "/fast/", **QUEUE},
        {"name": "slow", "path-prefix": "/slow/", **QUEUE},
    ],
    "backends": [{"name": "desk"}, {"name": "spare", "standby": True}],
    "tenants": [
        {"name": "one", "api-keys": ["k1"]},
        {"name": "two", "api-keys": ["k2"]},
    ],
    "limits": {},
}
TASKS = {"fast": {"cpu": 2000}}


def write_configuration(content, path):
    """Write a configuration with one line an entry of its first list."""
    rows = ",\n    ".join(json.dumps(row) for row in content["routes"])
    rest = {name: value for name, value in content.items() if name != "routes"}
    text = json.dumps(rest)[:-1]
    path.write_text(f'{{"routes": [\n\n    {rows}\n],\n{text[1:]}}}')


@given('the configuration "{change}"')
def step_configuration(context, change):
    content = json.loads(json.dumps(IN_FORCE))
    content["version"] = 8
    place, _, value = change.partition(" = ")
    target, names = content, place.split(".")
    for name in names[:-1]:
        target = target[int(name) if name.isdigit() else name]
    target[names[-1]] = json.loads(value)
    context.content = content


@when("it is checked")
def step_check(context):
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        paths = {name: Path(folder) / name for name in ("new", "in-force", "tasks")}
        write_configuration(context.content, paths["new"])
        write_configuration(IN_FORCE, paths["in-force"])
        paths["tasks"].write_text(json.dumps(TASKS))
        words = [str(paths["new"]), "--in-force", str(paths["in-force"])]
        words += ["--tasks", str(paths["tasks"])]
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            context.code = run_check(words)
    context.lines = output.getvalue().splitlines()


@then('the exit code is {code:d}, and a line holds "{place}" and "{message}"')
def step_line(context, code, place, message):
    assert context.code == code, context.lines
    found = [row for row in context.lines if place in row and message in row]
    assert found, context.lines


@then('no line holds "{text}"')
def step_no_line(context, text):
    assert not [row for row in context.lines if text in row], context.lines
