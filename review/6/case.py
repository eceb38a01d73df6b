"""One large job comes, and no job runs any more."""

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

WORKERS = 6
CAPACITY = Capacity(64_000, 262_144)

LARGE = f"{0xA1:016x}"
UNITS, UNITS_PER_WORKER, UNIT_CPU = 2_000, 200, 100
"""The large job: at work everywhere it uses under a third of the service's capacity."""

ORDINARY_JOBS, STEPS = 5, 12
"""Jobs with steps of a second, one after the other, that are handed in before it."""

FINISH_S = 14.0
IDLE_S = 3.0
"""The rule asks for jobs this long after the end of the traffic: none may have nothing
running for 3 s."""

OBSERVED_S = 10.0
SAMPLE_S = 0.1


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case and return its result."""
    entries = [f"e{number}" for number in range(3)]
    if not await deployment.start(WORKERS, CAPACITY, entries):
        return NOT_RUN
    step = {"cpu": UNIT_CPU, "mem-mb": 10, "estimate-ms": 1_000}
    steps: list[dict] = [{"count": 2, **step}]
    steps += [{"count": 2, **step, "after": [n]} for n in range(STEPS - 1)]
    accepted = [f"{0x1000 + number:016x}" for number in range(ORDINARY_JOBS)]
    for job in accepted:
        if not await deployment.submit(job, {"spec": "run 1", "steps": steps}):
            return NOT_RUN
    await asyncio.sleep(1.0)
    if has_trouble:
        large = make_job(
            "run 1", count=UNITS, **step, **{"anti-affinity": UNITS_PER_WORKER}
        )
        if await deployment.submit(LARGE, large):
            accepted.append(LARGE)
    deployment.write(f"end of the traffic; accepted: {accepted}")
    await asyncio.sleep(FINISH_S)
    longest = await measure_idle_time(deployment, accepted)
    for job, seconds in longest.items():
        deployment.write(f"{job} had nothing running for {seconds:.1f} s")
    return BROKEN if max(longest.values()) > IDLE_S else HELD


async def measure_idle_time(
    deployment: Deployment, accepted: list[str]
) -> dict[str, float]:
    """Return the longest time in which each open job had nothing running.

    Times at which half of the service's capacity or more is in use do not count.
    """
    longest = dict.fromkeys(accepted, 0.0)
    since = dict.fromkeys(accepted, deployment.now)
    end = deployment.now + OBSERVED_S
    open_jobs = set(accepted)
    asking = deployment.spawn(ask_for_states(deployment, open_jobs))
    total = WORKERS * CAPACITY.cpu
    while deployment.now < end and open_jobs:
        await asyncio.sleep(SAMPLE_S)
        running = [
            run.task.partition(".")[0]
            for worker in deployment.workers
            for run in worker.running.values()
        ]
        is_half_used = len(running) * UNIT_CPU * 2 >= total
        for job in accepted:
            if job not in open_jobs or job in running or is_half_used:
                since[job] = deployment.now
            longest[job] = max(longest[job], deployment.now - since[job])
    asking.cancel()
    return longest


async def ask_for_states(deployment: Deployment, open_jobs: set[str]) -> None:
    """Ask for the states of the jobs again and again, and remove completed ones."""
    while open_jobs:
        for job in sorted(open_jobs):
            if await deployment.read_state(job) == "completed":
                open_jobs.discard(job)
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    run_case(play, os.environ.get("TROUBLE", "1") != "0", Path(sys.argv[1]))
