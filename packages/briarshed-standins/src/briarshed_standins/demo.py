"""``make demo``: sends jobs while an entry and an endpoint are killed."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

from briarshed_standins.checker import CallerRecord, Limit, Report, Rules, check_records
from briarshed_standins.fleet import Fleet, Plan, end_on_signals
from briarshed_standins.load import Callers, Source, make_jobs
from briarshed_standins.processes import FleetError

RATE = 40.0
SECONDS = 10.0
SEED = 20
KILLED_ENTRY = "entry-2"
KILLED_INSTANCE = "i-2"
KILL_ENTRY_S = 3.0
KILL_ENDPOINT_S = 6.0
MIN_FINISHED_PART = 0.9


def list_sources(fleet: Fleet) -> list[Source]:
    """Return sources of idempotent and non-idempotent jobs, with and without a key."""
    return [
        Source(
            "proofing", "hotels", fleet.keys["hotels"], 3.0, task_options={"ms": 80}
        ),
        Source("proofing", "schools", fleet.keys["schools"], 2.0, idempotent=False),
        Source("printing", "ministries", fleet.keys["ministries"], 1.0),
        Source("printing", "hotels", fleet.keys["hotels"], 1.0, idempotent=False),
        Source("samples", weight=1.0),
    ]


async def send_jobs(fleet: Fleet) -> list[CallerRecord]:
    """Send the jobs, and kill an entry and an endpoint meanwhile."""
    jobs = make_jobs(list_sources(fleet), RATE, SECONDS, SEED)
    async with Callers(fleet.list_urls) as callers:
        sending = asyncio.create_task(callers.send_all(jobs))
        await asyncio.sleep(KILL_ENTRY_S)
        await asyncio.to_thread(fleet.kill, KILLED_ENTRY)
        await asyncio.sleep(KILL_ENDPOINT_S - KILL_ENTRY_S)
        role = fleet.find_endpoint_role(KILLED_INSTANCE)
        await asyncio.to_thread(fleet.kill, role)
        return await sending


def run_demo() -> tuple[Report, Sequence[CallerRecord]]:
    """Start the fleet, send the jobs and check the records."""
    with Fleet(Plan(settings={"log": {"level": "WARNING"}})) as fleet:
        records = asyncio.run(send_jobs(fleet))
        fleet.wait_idle()
        limits = {team.name: (Limit(team.limit),) for team in fleet.plan.teams}
        rules = Rules(limits, outages=fleet.outages)
        return check_records(records, fleet.read_records(), rules), records


def is_successful(report: Report) -> bool:
    """Return whether at least 90 % of the jobs finished without any violation."""
    enough = report.finished >= MIN_FINISHED_PART * report.submitted
    return enough and not report.violations


def format_lines(report: Report) -> tuple[str, str]:
    """Return a summary for people and one for programs."""
    lost = report.count("lost")
    doubled = report.count("doubled", "started_twice")
    false_not_run = report.count("false_not_run")
    sentence = (
        f"Of {report.submitted} jobs, {report.finished} finished while one of three"
        f" entries and one endpoint were killed; {report.refused} were refused as not"
        f" run and the outcome of {report.unknown} is unknown."
    )
    machine = (
        f"submitted={report.submitted} finished={report.finished}"
        f" refused={report.refused} unknown={report.unknown}"
        f" lost={lost} doubled={doubled} false_not_run={false_not_run}"
    )
    return sentence, machine


def main() -> int:
    """Run the demo; return 0 if it was successful."""
    end_on_signals()
    try:
        report, _ = run_demo()
    except FleetError as error:
        print(f"The fleet failed: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    for violation in report.violations:
        print(
            f"{violation.kind}: {violation.job}: {violation.message}", file=sys.stderr
        )
    for line in format_lines(report):
        print(line)
    return 0 if is_successful(report) else 1


if __name__ == "__main__":
    sys.exit(main())
