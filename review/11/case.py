"""One small overdue schedule, whose open occurrences take all memory of a leader."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

REVIEW = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(REVIEW / "rig-3"))

from ordinary_jobs import report_lost, send_ordinary_jobs  # noqa: E402
from platform_standins import Fleet, run_case  # noqa: E402

WIDE_COUNT, NARROW_COUNT = 5_000, 1
"""Work units of the second step."""

OCCURRENCES = 8_760
HOUR_S = 3_600
"""The job is due every hour and began a year ago."""

TRAFFIC_S = 25.0
FINISH_S = 14.0
"""``finish_s`` of the sheets."""


async def make_case(folder: Path, has_trouble: bool) -> bool:
    """Run the case and return whether an accepted job is lost."""
    async with Fleet(folder, {"shop": 2, "hotel": 2}) as fleet:
        await fleet.wait_until_served("/shop/")
        accepted: list[str] = []
        stop = asyncio.Event()
        asyncio.get_running_loop().call_later(TRAFFIC_S, stop.set)
        traffic = asyncio.create_task(send_ordinary_jobs(fleet, accepted, stop))
        await asyncio.sleep(2.0)
        await send_overdue_job(fleet, WIDE_COUNT if has_trouble else NARROW_COUNT)
        await traffic
        fleet.record.write("end of the traffic;", len(accepted), "jobs accepted")
        await asyncio.sleep(FINISH_S)
        return await report_lost(fleet, accepted)


async def send_overdue_job(fleet: Fleet, count: int) -> None:
    """Submit a job of two steps that runs every hour since a year."""
    body = {
        "spec": "run 1",
        "steps": [
            {"count": 1, "cpu": 10},
            {"count": count, "cpu": 10, "after": [0]},
        ],
        "repeat-count": OCCURRENCES,
        "start-time-ms": int((time.time() - OCCURRENCES * HOUR_S) * 1_000),
        "interval-ms": HOUR_S * 1_000,
    }
    data = json.dumps(body).encode()
    path = "/shop/00000000000b0000"
    status, _ = await fleet.call("POST", path, data=data)
    fleet.record.write("POST", path, data.decode(), status)
    if status != 200:
        raise RuntimeError("the scheduled job was not accepted")


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place; not with TROUBLE=0."""

run_case(make_case, Path(__file__).parent, HAS_TROUBLE)
