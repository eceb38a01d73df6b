"""Steps with crowds of clients at the doors of processes."""

from contextlib import ExitStack

from behave import given, then, when
from doors import (
    PlatformEntries,
    Watch,
    await_leader,
    open_product_door,
    read_peak_mb,
    start_crowd,
)


@given('the door "{name}" with {memory:d} MB and {descriptors:d} descriptors')
def step_door(context, name, memory, descriptors):
    context.stack = ExitStack()
    context.add_cleanup(context.stack.close)
    context.bounds = memory, descriptors
    context.loses_lease = False
    kind, _, door = name.partition(" ")
    if kind == "platform":
        context.entries = PlatformEntries(context.stack, memory, descriptors)
        context.door = context.entries.open("e1", door)
    else:
        context.door = open_product_door(context.stack, memory, descriptors, door)
    context.watch = context.stack.enter_context(Watch(context.door.process.pid))
    print(f"{read_peak_mb(context.door.process.pid):.0f} MB before")


@when('{count:d} clients send "{kind}" and stay')
def step_crowd(context, count, kind):
    start_crowd(context.stack, context.door, kind, count)


@then("the process runs within its memory and descriptors")
def step_bounds(context):
    process, (memory, descriptors) = context.door.process, context.bounds
    assert process.is_running(), process.read_log()
    peak = read_peak_mb(process.pid)
    print(f"{peak:.0f} MB, {context.watch.descriptors} descriptors")
    assert peak <= memory, f"{peak:.0f} MB"
    assert context.watch.descriptors <= descriptors, context.watch.descriptors


@then("an ordinary request is answered")
def step_ordinary(context):
    request = context.door.request
    answer = await_leader(request) if context.loses_lease else request()
    assert answer.status == 200, answer
    step_bounds(context)
