"""Another writer puts one entry that can't be used beside those of the workers."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

from fleet import (
    HEARTBEAT_S,
    NOT_RUN,
    Fleet,
    encode,
    find_ports,
    run_case,
)

CASE = Path(__file__).resolve().parent
POOL = "desk"
STEP = {"count": 1, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 3_000}
STEPS = [STEP, {**STEP, "after": [0]}]
JOBS = 4


async def write_repeatedly(fleet: Fleet, entry: dict[str, Any]) -> None:
    """Write the entry at the interval at which workers write theirs."""
    while True:
        fleet.store.put("servers/other", encode(entry))
        await asyncio.sleep(HEARTBEAT_S)


async def play(has_trouble: bool) -> int:
    """Write the entry while jobs run, and ask for the jobs."""
    async with Fleet(CASE, {POOL: {"workers": 3}}) as fleet:
        jobs = [
            await fleet.submit(POOL, {"spec": "run 3", "steps": STEPS})
            for _ in range(JOBS)
        ]
        if None in jobs:
            return NOT_RUN
        await asyncio.sleep(1.0)
        if has_trouble:
            entry = {
                "backend": POOL,
                "address": f"127.0.0.1:{find_ports(1)}",
                "zone": "z1",
                "slots": "eight",
                "state": "ready",
                "capacity": {"cpu": 1_000, "mem-mb": 1_000},
                "born": 0xC0FFEE00_0000_4000_8000_000000000001,
            }
            fleet.note(f"disruption: another writer puts servers/other: {entry}")
            writer = asyncio.create_task(write_repeatedly(fleet, entry))
        body = {"spec": "run 1", "steps": [STEP]}
        result = await fleet.judge_jobs(POOL, jobs, body)
        if has_trouble:
            writer.cancel()
        return result


run_case(play, has_trouble=os.environ.get("TROUBLE", "1") != "0")
