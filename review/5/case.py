"""The workers of a rack crash four times under a job whose work units never fail."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from fleet import BROKEN, HELD, NOT_RUN, Fleet, run_case

CASE = Path(__file__).resolve().parent
POOL = "desk"
WORK_S = 6.0
CRASHES, UP_S, DOWN_S = 4, 3.5, 1.0
STEP = {"count": 2, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 6_000}
WAIT_S = 40.0


async def play(has_trouble: bool) -> int:
    """Crash the rack while a job runs and read the state of the job."""
    async with Fleet(CASE, {POOL: {"workers": 4}}) as fleet:
        job = await fleet.submit(POOL, {"spec": f"run {WORK_S}", "steps": [STEP]})
        if job is None:
            return NOT_RUN
        for _ in range(CRASHES if has_trouble else 0):
            await asyncio.sleep(UP_S)
            for name in fleet.workers:
                fleet.kill_worker(name)
            await asyncio.sleep(DOWN_S)
            for name in fleet.workers:
                fleet.start_worker(name)
        end = time.monotonic() + WAIT_S
        state = ""
        while time.monotonic() < end and state not in ("completed", "failed"):
            await asyncio.sleep(1.0)
            state = await fleet.read_state(POOL, job)
        failed = sum(row.get("how") == "failed" for row in fleet.read_events())
        fleet.note(
            f"test: the job is {state}; {failed} runs of any job have ended failed"
        )
        if state == "failed" and not failed:
            fleet.note("test: LOST is broken: shown as failed without cause")
            return BROKEN
        return HELD if state == "completed" else NOT_RUN


run_case(play)
