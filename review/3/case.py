"""The leading entry is killed while scheduled jobs wait for their next occurrence."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from fleet import NOT_RUN, Fleet, run_case

CASE = Path(__file__).resolve().parent
POOL = "desk"
SCHEDULED_JOBS = 40
INTERVAL_S = 300
OCCURRENCES = 365 * 24 * 3_600 // INTERVAL_S
"""Every five minutes for a year."""

STEP = {"count": 1, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 3_000}
STEPS = [STEP, {**STEP, "after": [0]}]
JOBS = 4


async def play(has_trouble: bool) -> int:
    """Kill the leading entry and ask for the jobs that were accepted before."""
    async with Fleet(CASE, {POOL: {"workers": 3}}) as fleet:
        first = int((time.time() + 3_600) * 1000)
        for number in range(SCHEDULED_JOBS):
            schedule = {
                "repeat-count": OCCURRENCES,
                "start-time-ms": first + number * 1_000,
                "interval-ms": INTERVAL_S * 1_000,
            }
            body = {"spec": "run 1", "steps": [STEP], **schedule}
            if await fleet.submit(POOL, body) is None:
                return NOT_RUN
        jobs = [
            await fleet.submit(POOL, {"spec": "run 3", "steps": STEPS})
            for _ in range(JOBS)
        ]
        if None in jobs:
            return NOT_RUN
        await asyncio.sleep(1.0)
        if has_trouble:
            leader = fleet.find_leader()
            if leader is None:
                return NOT_RUN
            fleet.note(f"disruption: {leader}, which leads, is killed")
            fleet.entries[leader].end()
        body = {"spec": "run 1", "steps": [STEP]}
        return await fleet.judge_jobs(POOL, jobs, body)


run_case(play, has_trouble=os.environ.get("TROUBLE", "1") != "0")
