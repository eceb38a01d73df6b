"""After a wave that lost an answer, a sound worker gets no work any more."""

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
    encode,
    make_job,
    run_case,
)
from rig.worker import Capacity

JOB = f"{0xA1:016x}"
UNITS = 1
WORKERS, KIND = 7, "b"
"""Only one worker is of the kind that the work unit requires."""

LOST_FOR_S = 2.0
OBSERVED_S = 30.0

FIRST_S, IDLE_S = 6.0, 3.0
"""The rule counts from 6 s after the last run of a work unit, and for 3 s."""


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case and return its result."""
    deployment.configure(1, routes=[ROUTE], backends=[{"name": "p"}], tenants=[])
    for number in range(WORKERS):
        rack = f"r{number // 4}"
        kind = "a" if number else KIND
        await deployment.add_worker(f"w{number}", "p", rack, Capacity(8_000), kind)
    for number in range(3):
        deployment.add_entry(f"e{number}")
    if not await deployment.wait_until_ready():
        return NOT_RUN
    step = {"count": UNITS, "cpu": 1_000, "mem-mb": 100, "long-running": True}
    job = make_job("last", **step, requires=KIND)
    if not await deployment.submit(JOB, job):
        return NOT_RUN
    await asyncio.sleep(5.0)
    if sum(len(worker.running) for worker in deployment.workers) != UNITS:
        return NOT_RUN
    deployment.machines.loses_answers = has_trouble
    wave = {
        "wave": 1,
        "machines": [deployment.workers[0].machine],
        "duration-s": 26.0,
        "maximum": 1,
    }
    deployment.store.put("op/wave/1", encode(wave))
    deployment.write(f"wave confirmed: {wave}")
    await wait_for_upkeep(deployment)
    await asyncio.sleep(LOST_FOR_S)
    deployment.machines.loses_answers = False
    deployment.write("the platform answers again")
    await asyncio.sleep(OBSERVED_S)
    units = [f"{JOB}.0.0.{index}" for index in range(UNITS)]
    have_gaps = [find_gap(deployment, unit) for unit in units]
    free = [
        row.name
        for row in deployment.workers
        if row.is_up and row.kind == KIND and not row.running
    ]
    deployment.write(f"workers of its kind that are up and run nothing: {free}")
    return BROKEN if any(have_gaps) else HELD


async def wait_for_upkeep(deployment: Deployment) -> None:
    """Wait until the upkeep of a machine has begun."""
    end = deployment.now + 10.0
    while deployment.now < end:
        await asyncio.sleep(0.02)
        if any(worker.is_replaced for worker in deployment.workers):
            return


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
