"""Small jobs beside the disruption, and whether they are lost."""

from __future__ import annotations

import asyncio
import itertools
import time

from platform_standins import Fleet

IDLE_S = 3.0
"""Time without a run after which rule LOST is broken."""

ORDINARY_CPU, ORDINARY_TASKS = 500, 2

ASK_S = 15.0
"""Time for which each job is asked for, at all entries in turn."""


async def send_ordinary_jobs(
    fleet: Fleet, accepted: list[str], stop: asyncio.Event
) -> None:
    """Submit small jobs of another queue until told to stop."""
    for number in itertools.count(1):
        if stop.is_set():
            return
        path = f"/hotel/{0xA0000 + number:016x}"
        step = {"count": 1, "cpu": ORDINARY_CPU}
        body = {"spec": "run 0.5", "steps": [step, {**step, "after": [0]}]}
        status, _ = await fleet.call("POST", path, body, entry=number % 3)
        fleet.record.write("POST", path, status)
        if status == 200:
            accepted.append(path)
        await asyncio.sleep(0.1)


async def report_lost(fleet: Fleet, accepted: list[str]) -> bool:
    """Write which accepted jobs are lost, what ran and what memory entries needed.

    Returns
    -------
    bool
        Whether a job is lost.
    """
    open_jobs = await ask(fleet, accepted)
    lost = [path for path in open_jobs if is_lost(fleet, path)]
    fleet.write_runs()
    for path in lost:
        fleet.record.write("LOST:", path, "was accepted, and nothing of it runs")
    for entry in fleet.entries:
        fleet.record.write(
            entry.name,
            f"most memory {entry.most_mb:.0f} MB,",
            f"killed {entry.over_memory} times for more than {fleet.memory_mb} MB",
        )
    return bool(lost)


async def ask(fleet: Fleet, paths: list[str]) -> list[str]:
    """Ask for the state of jobs, and return those not shown as completed."""
    left = list(paths)
    end = time.monotonic() + ASK_S
    for number in itertools.count():
        missing = []
        for path in left:
            status, body = await fleet.call("GET", path, entry=number % 3)
            if status != 200 or body.get("state") != "completed":
                missing.append(path)
            if number < 3:
                fleet.record.write("GET", path, status, body)
        left = missing
        if not left or time.monotonic() > end:
            return left
        await asyncio.sleep(0.5)
    return left


def is_lost(fleet: Fleet, path: str) -> bool:
    """Return whether a job has had nothing running for 3 s although there is room.

    A work unit of it has not ended as done, its pool has over half of its room free,
    and open queues have no limit for a tenant.
    """
    job = path.rpartition("/")[2]
    rows = [
        row
        for name, endpoint in fleet.endpoints.items()
        if name.startswith("hotel")
        for row in endpoint.started
    ]
    since = time.monotonic() - IDLE_S
    active = [row for row in rows if row[3] is None or row[3] > since]
    done = {row[0] for row in rows if row[4:5] == ["done"]}
    is_idle = not any(row[0].startswith(f"{job}.") for row in active)
    room = sum(name.startswith("hotel") for name in fleet.endpoints) * fleet.cpu
    is_free = len(active) * ORDINARY_CPU < room / 2
    is_unfinished = sum(task.startswith(f"{job}.") for task in done) < ORDINARY_TASKS
    return is_idle and is_free and is_unfinished
