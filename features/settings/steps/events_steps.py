"""Steps that compare the catalogue of events with its documentation and its uses."""

from pathlib import Path

from behave import given, then

from briarshed.events import list_events

ROOT = Path(__file__).resolve().parents[3]


@given("the catalogue of events")
def step_list(context):
    context.events = list_events()


@then("each event has a unique number")
def step_numbers(context):
    numbers = [event.number for event in context.events.values()]
    assert len(set(numbers)) == len(numbers), sorted(numbers)


@then("the documentation lists exactly the events of the catalogue")
def step_page(context):
    lines = (ROOT / "docs" / "events.md").read_text().splitlines()
    listed = {line for line in lines if line[:3].strip("| ").isdigit()}
    expected = {
        f"| {event.number} | {event.level} | {name} | {event.text} |"
        for name, event in context.events.items()
    }
    assert listed == expected, listed ^ expected


@then("each event is used by a program")
def step_used(context):
    programs = ("packages/briarshed-entry", "packages/briarshed-workloads", "platform")
    sources = [path for name in programs for path in (ROOT / name).rglob("*.py")]
    text = "\n".join(path.read_text() for path in sources)
    unused = [name for name in context.events if name not in text]
    assert not unused, unused
