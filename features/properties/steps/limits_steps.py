"""Steps of the proofs that no team exceeds its upper limit."""

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
STOP_DELAY_S = 4.5
"""Time after which a member that learned of no change has no authority."""


def list_burst(fleet):
    """Return jobs of both teams, each as long as the bursts need."""
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


def find_rate():
    """Return the arrivals a second that would use the limits five times over."""
    return BURST * sum(LIMITS.values()) * 1000 / TASK_MS


@when("five times the limits arrive at every entry for {seconds:d} seconds and {fault}")
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

    own = {
        "the limit is lowered": [Step(4.0, lower)],
        "an entry is restarted": [Step(3.0, restart)],
    }
    steps = own[fault] if fault in own else FAULTS[fault]
    run_load(context, list_burst(context.fleet), find_rate(), seconds, steps)
    most = {team: count_running(context.runs, team) for team in LIMITS}
    print(f"most running {most}, of limits {LIMITS}")
    # The demand must reach the limits, or the check would prove nothing.
    assert all(most[team] >= 0.9 * limit for team, limit in LIMITS.items()), most


def count_running(runs, team, since=0.0, until=float("inf")):
    """Return the highest number of jobs of a team that ran at once in a span."""
    changes = []
    for run in runs:
        if run.team == team and run.ended_at is not None:
            changes += [(run.started_at, 1), (run.ended_at, -1)]
    running = most = 0
    for at, step in sorted(changes):
        running += step
        if since <= at <= until:
            most = max(most, running)
    return most


def find_mean(runs, team, since, until):
    """Return the mean number of running jobs of a team in a span of time."""
    busy = sum(
        max(0.0, min(run.ended_at, until) - max(run.started_at, since))
        for run in runs
        if run.team == team and run.ended_at is not None
    )
    return busy / (until - since)


def send_to(context, names, seconds):
    """Send the bursts to some entries only; return when they began."""
    urls = [context.fleet.entries[name].url for name in names]

    async def run():
        async with Callers(lambda: urls) as callers:
            jobs = make_jobs(list_burst(context.fleet), find_rate(), seconds, SEED)
            jobs = [job._replace(job=f"{names[0]}-{job.job}") for job in jobs]
            return await callers.send_all(jobs)

    started_at = now()
    told = asyncio.run(run())
    context.told = [*getattr(context, "told", []), *told]
    context.fleet.wait_idle()
    context.runs = join_runs(context.fleet.read_records())
    return started_at


@when("an entry is killed and its lease and the longest task lease have passed")
def step_kill(context):
    send_to(context, ["entry-1", "entry-2", "entry-3"], 2)
    context.fleet.kill("entry-2")
    # Lease, then the stop delay before removal, then stop delay and task lease.
    time.sleep(STORE_LEASE_S + 2 * STOP_DELAY_S + TASK_LEASE_S + 4)


@then("the remaining entries run {part:g} of the limit")
def step_remaining(context, part):
    started_at = send_to(context, ["entry-1", "entry-3"], 6)
    check_part(context, part, started_at + 2, started_at + 6)


@when("all demand moves to one entry")
def step_move(context):
    send_to(context, ["entry-1", "entry-2", "entry-3"], 3)
    context.started_at = send_to(context, ["entry-1"], 7)


@then("it runs {part:g} of the limit two seconds later")
def step_moved(context, part):
    check_part(context, part, context.started_at + 2, context.started_at + 7)


def check_part(context, part, since, until):
    """Check that each team used a part of its limit and never more than all."""
    for team, limit in LIMITS.items():
        mean = find_mean(context.runs, team, since, until)
        print(f"{team}: {mean:.2f} of {limit}")
        assert count_running(context.runs, team) <= limit
        assert mean >= part * limit, (team, mean, limit)
