"""Steps of the end-to-end tests with real processes on loopback."""

import asyncio
from collections import Counter
from contextlib import nullcontext

from behave import given, then, when
from faults import FAULTS, LINKS, PLANNED_STOPS, Sampler, inject

from briarshed.documents import FLEET_KEY
from briarshed_standins.checker import Limit, Rules, check_records, join_runs
from briarshed_standins.fleet import Fleet
from briarshed_standins.load import Callers, Source, make_jobs
from briarshed_standins.plans import Plan, TeamPlan

SEED = 7
JOBS_PER_S = 40.0
LONG_TASK_MS = 1_500
SAMPLE_S = 0.05
SETTLE_S = 2.0
TASK_LEASE_S = 8.0
QUIET_LOG = {"log": {"level": "WARNING"}}
SHORT_LEASES = {
    "callers": {"max_deadline_ms": 8_000, "default_deadline_ms": 8_000},
    "timing": {"task_lease_ms": 8_000},
}
LIMITS = {"hotels": 12, "schools": 6}


def start_fleet(context, plan):
    """Start a fleet that is stopped at the end of the scenario."""
    context.fleet = Fleet(plan).__enter__()
    context.add_cleanup(context.fleet.close)
    context.limits = {team.name: [Limit(team.limit)] for team in plan.teams}
    context.withdrawn = {}


@given("a fleet of three entries in two data centres")
def step_fleet(context):
    start_fleet(context, Plan(links=LINKS, settings=QUIET_LOG))


@given("a fleet whose teams have limits of 12 and 6 jobs")
def step_limited_fleet(context):
    teams = tuple(TeamPlan(name, 1, limit) for name, limit in LIMITS.items())
    settings = {**QUIET_LOG, **SHORT_LEASES}
    start_fleet(context, Plan(links=LINKS, teams=teams, settings=settings))


def list_sources(fleet):
    """Return sources of jobs of all teams, idempotent or not, and of keyless jobs."""
    keys = fleet.keys
    return [
        Source("proofing", "hotels", keys["hotels"], 3.0, task_options={"ms": 80}),
        Source("proofing", "schools", keys["schools"], 2.0, idempotent=False),
        Source("printing", "ministries", keys["ministries"], 1.0),
        Source("printing", "hotels", keys["hotels"], 1.0, idempotent=False),
        # Longer than the notice time of a planned stop, so that a stop must wait.
        Source(
            "proofing",
            "schools",
            keys["schools"],
            0.3,
            task_options={"ms": LONG_TASK_MS},
        ),
        Source("samples", weight=1.0),
    ]


def run_load(context, sources, rate, seconds, steps):
    """Send jobs while the steps run; record the outcomes reported to the callers."""
    fleet = context.fleet

    async def run():
        async with Callers(fleet.list_urls) as callers:
            jobs = make_jobs(sources, rate, seconds, SEED)
            context.urgent_jobs = {job.job for job in jobs if job.source.urgent}
            outcomes, _ = await asyncio.gather(
                callers.send_all(jobs), inject(fleet, steps)
            )
            return outcomes

    context.fleets = []

    def keep_fleet():
        context.fleets.append(fleet.read_document(FLEET_KEY))

    with (
        Sampler(keep_fleet, SAMPLE_S)
        if steps in PLANNED_STOPS.values()
        else nullcontext()
    ):
        context.outcomes = asyncio.run(run())
    fleet.heal()
    fleet.wait_idle()
    context.runs = join_runs(fleet.read_records())


def check(context, outcomes=None):
    """Return the report of the checker over all records."""
    rules = Rules(context.limits, context.withdrawn, context.fleet.outages)
    return check_records(
        outcomes or context.outcomes, context.fleet.read_records(), rules
    )


@when("jobs of all teams arrive for {seconds:d} seconds and {fault}")
def step_load(context, seconds, fault):
    steps = PLANNED_STOPS.get(fault) or FAULTS[fault]
    run_load(context, list_sources(context.fleet), JOBS_PER_S, seconds, steps)


@then("the records have no violation")
def step_no_violation(context):
    report = check(context)
    assert not report.violations, report.violations[:5]


@then("at least {part:d} in 100 jobs finish")
def step_finished(context, part):
    outcomes = Counter((one.outcome, one.code) for one in context.outcomes)
    finished = sum(one.outcome == "finished" for one in context.outcomes)
    assert 100 * finished >= part * len(context.outcomes), outcomes
