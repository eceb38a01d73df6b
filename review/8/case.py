"""After a wave that lost an answer, a sound worker gets no work any more."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from rig.deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    encode,
    make_job,
    run_case,
)
from rig.worker import Capacity

JOB = f"{0xA1:016x}"
UNITS = 1
WORKERS, KIND = 6, "b"
"""Another worker is the only one of the kind that the work unit requires."""

LOST_FOR_S = 2.0
OBSERVED_S = 20.0


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case and return its result."""
    entries = [f"e{number}" for number in range(3)]
    if not await deployment.start(WORKERS, Capacity(8_000), entries):
        return NOT_RUN
    special = await deployment.add_worker("w-b", "p", "r1", Capacity(8_000), KIND)
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
        "machines": [special.machine],
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
    have_gaps = [deployment.is_idle_too_long(unit) for unit in units]
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


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    run_case(play, os.environ.get("TROUBLE", "1") != "0", Path(sys.argv[1]))
