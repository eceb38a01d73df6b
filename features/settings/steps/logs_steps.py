"""Steps for the log output."""

import os
import tempfile
from unittest import mock

from behave import given, then, when
from loguru import logger

from briarshed.events import ENTRY_READY
from briarshed_entry import logs

LINES, WARNINGS = 900, 10


@given("a log output that accepts all lines")
def step_output(context):
    context.descriptor, path = tempfile.mkstemp()
    os.unlink(path)
    context.output = logs.BufferedOutput(context.descriptor)


@when("900 lines and then 10 warnings are logged within a second")
def step_log(context):
    real_time = logs.time
    logs.time = type("Clock", (), {"monotonic": staticmethod(lambda: 5.0)})
    try:
        for number in range(LINES):
            context.output.add(f"line {number}", False)
        for number in range(WARNINGS):
            context.output.add(f"warning {number}", True)
    finally:
        logs.time = real_time
    context.output.flush()


@then("all warnings are written, and 300 lines are counted as dropped")
def step_written(context):
    size = os.fstat(context.descriptor).st_size
    text = os.pread(context.descriptor, size, 0).decode()
    os.close(context.descriptor)
    assert text.count("warning") == WARNINGS, text[-300:]
    assert context.output.take_dropped() == LINES - logs.MAX_LINES_PER_S


@when(
    '{count:d} events of the level "INFO" are logged within a second, and then'
    " {below:d} below it"
)
def step_events(context, count, below):
    context.output.level = logger.level("INFO").no
    clock = type("Clock", (), {"monotonic": staticmethod(lambda: 5.0)})
    number = logger.add(
        lambda message: context.output.add(message, False), level="INFO"
    )
    with (
        mock.patch.object(logs, "_output", context.output),
        mock.patch.object(logs, "time", clock),
        mock.patch.object(context.output, "add", wraps=context.output.add) as made,
    ):
        for _ in range(count):
            logs.log_event(ENTRY_READY, name="e1")
        for _ in range(below):
            logs.log_event(ENTRY_READY._replace(level="DEBUG"), name="e1")
    logger.remove(number)
    context.made = made.call_count


@then("{made:d} of their lines have been made, and {dropped:d} are counted as dropped")
def step_made(context, made, dropped):
    os.close(context.descriptor)
    assert context.made == made, context.made
    assert context.output.take_dropped() == dropped
