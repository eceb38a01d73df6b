"""Steps for the plans that the benchmarks measure."""

import sys
from pathlib import Path

from behave import given, then, when

sys.path.append(str(Path(__file__).resolve().parents[3] / "bench"))

from _fleet_plans import PLANS, Fleet, FleetSize


@given(
    "a size of {endpoints:d} endpoints, {pools:d} pools and {teams:d} teams, with"
    " {waiting:d} waiting jobs a pool"
)
def step_size(context, endpoints, pools, teams, waiting):
    context.size = FleetSize(endpoints, pools, teams, waiting)


@when("each plan of the measurements is decided twice for a fleet of this size")
def step_decide_twice(context):
    context.errors = {}
    for plan in PLANS:
        try:
            decide = plan.make(Fleet(context.size))
            decide()
            decide()
        except Exception as error:
            context.errors[plan.label] = repr(error)


@then("none has raised an error")
def step_no_error(context):
    assert len(PLANS) > 0 and not context.errors, context.errors
