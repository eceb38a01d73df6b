"""Steps for random plays of faults, with entries as processes in virtual time."""

from behave import then, when
from fault_plays import run_play

MIN_ACCEPTED = 10


@when('the faults "{faults}" are played for {seconds:g} s with seed {seed:d}')
def step_play(context, faults, seconds, seed):
    context.result = run_play(seed, tuple(faults.split(", ")), seconds)


@then("no two entries have had authority at a time")
def step_authority(context):
    assert not context.result.violations, context.result


@then("no task has overlapped itself or started after its success")
def step_overlap(context):
    assert context.result.overlap is None, context.result


@then("all accepted jobs are completed")
def step_completed(context):
    result = context.result
    assert not result.unfinished, result
    assert result.accepted >= MIN_ACCEPTED, result
