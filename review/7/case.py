"""All entries are lost for good at once, and new ones take their place."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from rig.deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    ROUTE,
    Deployment,
    make_job,
    run_case,
)
from rig.worker import Capacity

JOB = f"{0xA1:016x}"
UNITS = 3
WORKERS = 6
ENTRIES = 3

REPLACED_AFTER_S = 2.0
OBSERVED_S = 45.0

FIRST_S, IDLE_S = 6.0, 3.0
"""The rule counts from 6 s after the last run of a work unit, and for 3 s."""


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case and return its result."""
    deployment.configure(1, routes=[ROUTE], backends=[{"name": "p"}], tenants=[])
    for number in range(WORKERS):
        rack = f"r{number // 4}"
        await deployment.add_worker(f"w{number}", "p", rack, Capacity(8_000))
    for number in range(ENTRIES):
        deployment.add_entry(f"old-{number}")
    if not await deployment.wait_until_ready():
        return NOT_RUN
    step = {"count": UNITS, "cpu": 1_000, "mem-mb": 100, "long-running": True}
    if not await deployment.submit(JOB, make_job("last", **step)):
        return NOT_RUN
    await asyncio.sleep(5.0)
    if sum(len(worker.running) for worker in deployment.workers) != UNITS:
        return NOT_RUN
    if has_trouble:
        for entry in deployment.entries:
            entry.kill()
        deployment.write("all entries are lost for good")
        await asyncio.sleep(REPLACED_AFTER_S)
        for number in range(ENTRIES):
            deployment.add_entry(f"new-{number}", bootstrap=False)
    end = deployment.now + OBSERVED_S
    while deployment.now < end:
        await asyncio.sleep(2.0)
        await deployment.call("GET", f"/q/{JOB}")
    units = [f"{JOB}.0.0.{index}" for index in range(UNITS)]
    have_gaps = [find_gap(deployment, unit) for unit in units]
    return BROKEN if any(have_gaps) else HELD


def find_gap(deployment: Deployment, unit: str) -> bool:
    """Tell whether a work unit did not run for longer than the rule allows."""
    last_end = None
    longest = 0.0
    for at, _, what in deployment.list_runs(unit):
        if what == "start":
            longest = max(longest, at - last_end if last_end else 0.0)
            last_end = None
        else:
            last_end = at
    if last_end is not None:
        longest = max(longest, deployment.now - last_end)
    deployment.write(f"{unit} did not run for {longest:.1f} s")
    return longest > FIRST_S + IDLE_S


if __name__ == "__main__":
    run_case(play, Path(sys.argv[1]))
