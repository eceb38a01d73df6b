"""Steps for the operator's items that evacuate data centres."""

from behave import given, then, when
from store_steps import run_with_standin

from briarshed_platform import directory as directory_module
from briarshed_platform.directory import EVACUATIONS, PlatformDirectory
from briarshed_workloads.evacuation import Evacuations

LONG_NAME = "n" * 150


@given("a store with the evacuations {keys}")
def step_items(context, keys):
    parts = keys.replace("(a name of 150 characters)", LONG_NAME).split()
    rows = (part.partition("=") for part in parts)
    context.items = {EVACUATIONS + name: value.encode() for name, _, value in rows}


@when("the evacuations are read 3 times")
def step_read(context):
    context.lines = []
    original = directory_module.log_event

    async def work(_, store):
        directory = PlatformDirectory(store)
        for _ in range(3):
            orders = await directory.read_evacuations()
            assert orders == (await directory.read_orders())._replace(waves=())
        return orders

    directory_module.log_event = lambda event, **fields: context.lines.append(fields)
    try:
        context.orders = run_with_standin(context, work)
    finally:
        directory_module.log_event = original


@then("{names} are evacuated, and {count:d} lines name what cannot be read")
def step_evacuated(context, names, count):
    assert context.orders.evacuations_at > 0
    found = [row.data_centre for row in context.orders.evacuations if row.is_evacuated]
    assert ", ".join(sorted(found)) == names, found
    assert len(context.lines) == count, context.lines
    assert all(line["key"].startswith(EVACUATIONS) for line in context.lines)


@when("z1 is removed, and written and removed again, before the next watch")
def step_remove(context):
    async def work(standin, store):
        directory = PlatformDirectory(store)
        known = Evacuations()
        orders = await directory.read_orders()
        known.note_complete(orders.evacuations, orders.evacuations_at, 0.0)
        standin.remove(EVACUATIONS + "z1")
        standin.put(EVACUATIONS + "z1", "e30=")
        standin.remove(EVACUATIONS + "z1")
        first = await directory.watch_orders(orders.revision, 0.05)
        known.note_changes(first.evacuations, 0.0)
        second = await directory.watch_orders(first.revision, 0.05)
        return known, second

    context.known, context.second = run_with_standin(context, work)


@then("the watch reports that z1 was returned, and the next one reports nothing")
def step_reported(context):
    names = [view.data_centre for view in context.known.list_views()]
    assert names == ["z2"], names
    assert not context.second.evacuations, context.second
