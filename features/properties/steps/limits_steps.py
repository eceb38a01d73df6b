"""Steps of the end-to-end tests that no team exceeds its upper limit."""

import asyncio
import time

from behave import then, when
from faults import FAULTS, Step
from properties_steps import LIMITS, SEED, TASK_LEASE_S, run_load

from briarshed_standins.checker import Limit, join_runs
from briarshed_standins.load import Callers, Source, make_jobs
from briarshed_standins.programs import now

TASK_MS = 300
DEADLINE_MS = 4_000
BURST = 5
LOWERED = 5
STORE_LEASE_S = 10.0
AUTHORITY_TIMEOUT_S = 4.5
"""Time after which a member that has not learned of a change has no authority."""


def list_burst_sources(fleet):
    """Return the sources of the burst jobs of both teams."""
    return [
        Source(
            "proofing",
            team,
            fleet.keys[team],
            limit,
            deadline_ms=DEADLINE_MS,
            task_options={"ms": TASK_MS},
        )
        for team, limit in LIMITS.items()
    ]


def find_arrival_rate():
    """Return the arrivals a second that need five times the limits."""
    return BURST * sum(LIMITS.values()) * 1000 / TASK_MS


@when(
    "jobs for five times the limits arrive at every entry for {seconds:d} seconds"
    " and {fault}"
)
def step_burst(context, seconds, fault):
    def lower(fleet):
        reply = fleet.command(f"change team hotels limit {LOWERED}")
        assert reply.status == 200, reply
        # Running jobs above the lowered limit end within their duration.
        in_force_at = now() + TASK_MS / 1000
        context.limits["hotels"].append(Limit(LOWERED, in_force_at))

    def restart(fleet):
        fleet.kill("entry-2")
        fleet.restart_entry("entry-2")

    limit_faults = {
        "the limit is lowered": [Step(4.0, lower)],
        "an entry is restarted": [Step(3.0, restart)],
    }
    steps = limit_faults[fault] if fault in limit_faults else FAULTS[fault]
    run_load(
        context, list_burst_sources(context.fleet), find_arrival_rate(), seconds, steps
    )
    max_running = {team: count_running(context.runs, team) for team in LIMITS}
    print(f"most running {max_running}, of limits {LIMITS}")
    # The check is meaningful only if the demand reaches the limits.
    assert all(max_running[team] >= 0.9 * limit for team, limit in LIMITS.items()), (
        max_running
    )


def count_running(runs, team, since=0.0, until=float("inf")):
    """Return the highest number of concurrent jobs of a team in a time span."""
    changes = []
    for run in runs:
        if run.team == team and run.ended_at is not None:
            changes += [(run.started_at, 1), (run.ended_at, -1)]
    running = max_running = 0
    for at, step in sorted(changes):
        running += step
        if since <= at <= until:
            max_running = max(max_running, running)
    return max_running


def find_mean(runs, team, since, until):
    """Return the mean number of running jobs of a team in a time span."""
    run_time_s = sum(
        max(0.0, min(run.ended_at, until) - max(run.started_at, since))
        for run in runs
        if run.team == team and run.ended_at is not None
    )
    return run_time_s / (until - since)


def send_to(context, names, seconds):
    """Send the bursts to some entries only; return the start time."""
    urls = [context.fleet.entries[name].url for name in names]

    async def run():
        async with Callers(lambda: urls) as callers:
            jobs = make_jobs(
                list_burst_sources(context.fleet), find_arrival_rate(), seconds, SEED
            )
            jobs = [job._replace(job=f"{names[0]}-{job.job}") for job in jobs]
            return await callers.send_all(jobs)

    started_at = now()
    outcomes = asyncio.run(run())
    context.outcomes = [*getattr(context, "outcomes", []), *outcomes]
    context.fleet.wait_idle()
    context.runs = join_runs(context.fleet.read_records())
    return started_at


@when("an entry is killed and its lease and the longest task lease have passed")
def step_kill(context):
    send_to(context, ["entry-1", "entry-2", "entry-3"], 2)
    context.fleet.kill("entry-2")
    # The store lease and the authority timeout pass before the member is removed, then
    # the authority timeout and the task lease before its grants are freed.
    time.sleep(STORE_LEASE_S + 2 * AUTHORITY_TIMEOUT_S + TASK_LEASE_S + 4)


@then("the remaining entries run {part:g} of the limit")
def step_remaining(context, part):
    started_at = send_to(context, ["entry-1", "entry-3"], 6)
    check_utilization(context, part, started_at + 2, started_at + 6)


@when("all demand moves to one entry")
def step_move(context):
    send_to(context, ["entry-1", "entry-2", "entry-3"], 3)
    context.started_at = send_to(context, ["entry-1"], 7)


@then("it runs {part:g} of the limit two seconds later")
def step_moved(context, part):
    check_utilization(context, part, context.started_at + 2, context.started_at + 7)


def check_utilization(context, part, since, until):
    """Check that each team used a part of its limit and never exceeded it."""
    for team, limit in LIMITS.items():
        mean = find_mean(context.runs, team, since, until)
        print(f"{team}: {mean:.2f} of {limit}")
        assert count_running(context.runs, team) <= limit
        assert mean >= part * limit, (team, mean, limit)
