"""All entries are lost for good at once, and new ones take their place."""

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
    make_job,
    run_case,
)
from rig.worker import Capacity

JOB = f"{0xA1:016x}"
UNITS = 3
WORKERS = 6
ENTRIES = 3

REPLACED_AFTER_S = 2.0
OBSERVED_S = 25.0


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case and return its result."""
    entries = [f"old-{number}" for number in range(ENTRIES)]
    if not await deployment.start(WORKERS, Capacity(8_000), entries):
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
    have_gaps = [deployment.is_idle_too_long(unit) for unit in units]
    return BROKEN if any(have_gaps) else HELD


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    run_case(play, os.environ.get("TROUBLE", "1") != "0", Path(sys.argv[1]))
