"""Steps that run the fault soak in a separate process."""

import re
import subprocess
import sys

from behave import given, then, when

from briarshed_platform_standins._soak_parts import find_known_by

LIMIT_S = 120
"""Timeout of the process; the soak waits up to 30 s for the last job."""


LINK_OPTIONS = ["--entries", "6", "--links", "--partition", "4"]


@when("the soak runs with seed {seed:d} for {seconds:d} s")
def step_run(context, seed, seconds):
    run_soak(context, seed, seconds, [])


@when("the soak with two data centres runs with seed {seed:d} for {seconds:d} s")
def step_run_links(context, seed, seconds):
    run_soak(context, seed, seconds, LINK_OPTIONS)


def run_soak(context, seed, seconds, options):
    command = [sys.executable, "-m", "briarshed_platform_standins.soak", *options]
    command += ["--seed", str(seed), "--seconds", str(seconds)]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=LIMIT_S, check=False
    )
    context.output, context.code = done.stdout, done.returncode


@then("it injected faults, accepted jobs and found no violation")
def step_seen(context):
    figures = dict(re.findall(r"(\w+)=(\d+)", context.output))
    assert context.code == 0, context.output
    assert int(figures["faults"]) > 0, context.output
    assert int(figures["accepted"]) > 0, context.output


@given("outages of the store from {rows} s")
def step_outages(context, rows):
    context.outages = [
        tuple(float(part) for part in row.split(" to ")) for row in rows.split(", ")
    ]


@then("an evacuation that is requested at 0 s is known by {seconds:g} s")
def step_known_by(context, seconds):
    assert find_known_by(0.0, context.outages) == seconds
