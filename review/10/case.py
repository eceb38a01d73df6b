"""A job begins to run after its caller has left and its cancelling was acknowledged."""

from __future__ import annotations

import asyncio
import base64
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

from rig.deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    EntryProcess,
    make_job,
    run_case,
)
from rig.worker import Capacity

JOB = f"{0xA1:016x}"
WORKERS, ENTRIES = 6, 7

FREEZE_S = 3.5
SEND_AFTER_S, LEAVE_AFTER_S = 0.2, 1.25
"""When the caller sends its job after the freeze has begun, and for how long it waits:
half the objective of 2,500 ms of the jobs that last."""

CONTACT_S = 3.0
CANCEL_S, STOP_GRACE_S = 3.0, 0.2
"""After such a stretch without disturbance nothing of a cancelled job may run."""

OBSERVED_S = 20.0


def find_leader(deployment: Deployment) -> EntryProcess | None:
    """Return the entry that last wrote to the store under a condition."""
    item = deployment.store.items.get("briarshed/leader")
    text = base64.b64decode(item["value"]) if item else b""
    return next((row for row in deployment.entries if row.name.encode() in text), None)


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case and return its result."""
    entries = [f"e{number}" for number in range(ENTRIES)]
    if not await deployment.start(WORKERS, Capacity(8_000), entries):
        return NOT_RUN
    await asyncio.sleep(3.0)
    leader = find_leader(deployment)
    if leader is None:
        return NOT_RUN
    frozen, other = [row for row in deployment.entries if row is not leader][:2]
    if has_trouble:
        frozen.signal(signal.SIGSTOP)
        deployment.write(f"{frozen.name} is frozen; {leader.name} leads")
    frozen_at = deployment.now
    await asyncio.sleep(SEND_AFTER_S)
    step = {"count": 2, "cpu": 1_000, "mem-mb": 100, "long-running": True}
    request = deployment.call("POST", f"/q/{JOB}", make_job("last", **step), frozen)
    with suppress(TimeoutError):
        async with asyncio.timeout(LEAVE_AFTER_S):
            await request
    deployment.write("the caller leaves, and has its job cancelled")
    status, _ = await deployment.call("DELETE", f"/q/{JOB}", None, other)
    if status not in (200, 410):
        return NOT_RUN
    cancelled_at = deployment.now
    await asyncio.sleep(frozen_at + FREEZE_S - deployment.now)
    frozen.signal(signal.SIGCONT)
    calm_from = max(cancelled_at, deployment.now + CONTACT_S)
    deployment.write(f"{frozen.name} goes on")
    await asyncio.sleep(OBSERVED_S)
    await deployment.call("GET", f"/q/{JOB}", None, other)
    left = [
        run.task
        for worker in deployment.workers
        for run in worker.running.values()
        if run.task.startswith(JOB)
    ]
    stretch = deployment.now - calm_from
    deployment.write(
        f"cancelling acknowledged at {cancelled_at:.2f}; after {stretch:.1f} s "
        f"without disturbance these run: {left}"
    )
    return BROKEN if left and stretch > CANCEL_S + STOP_GRACE_S else HELD


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    run_case(play, os.environ.get("TROUBLE", "1") != "0", Path(sys.argv[1]))
