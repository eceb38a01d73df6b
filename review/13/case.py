"""Checkpoints of 5,000 characters: the list of an endpoint's runs is not read."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

REVIEW = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(REVIEW / "rig-3"))

from platform_standins import EndpointStandin, Fleet, run_case  # noqa: E402

CHECKPOINT_LENGTH, SHORT_LENGTH = 5_000, 16
"""Characters of a checkpoint; the pages say "a string" and set no bound."""

CHECKPOINT_S = 0.5
"""``checkpoint-s`` of the sheets: each run has a new value after this time of work."""

SAVING_JOBS, ORDINARY_JOBS = 4, 6
RUN_S = 2.0
FINISH_S = 14.0
"""``finish_s`` of the sheets."""

IDLE_S = 3.0
"""Time without a run after which rule LOST is broken."""


class SavingEndpoint(EndpointStandin):
    """An endpoint that lists checkpoints of the runs whose specification says so."""

    length = SHORT_LENGTH

    def _start(self, body: dict) -> Any:
        key = body["task"], body["run"]
        if body["spec"].startswith("save "):
            self._saving.add(key)
            body = {**body, "spec": f"run {RUN_S}"}
        return super()._start(body)

    async def _poll(self, body: dict) -> Any:
        response = await super()._poll(body)
        rows = {(row[0], row[1]): row for row in self.started}
        for row in response.body["running"]:
            row[2] = self._find_checkpoint(rows[row[0], row[1]])
        response.body["ended"] = [
            [*row[:4], self._find_checkpoint(rows[row[1], row[2]])]
            for row in response.body["ended"]
        ]
        return response

    @property
    def _saving(self) -> set[tuple[str, int]]:
        return self.__dict__.setdefault("saving_runs", set())

    def _find_checkpoint(self, row: list) -> str:
        """Return the latest checkpoint of a run, empty before the first."""
        if (row[0], row[1]) not in self._saving:
            return ""
        end = time.monotonic() if row[3] is None else row[3]
        count = int((end - row[2]) / CHECKPOINT_S)
        return f"{count:016x}".ljust(self.length, "c") if count else ""


async def make_case(folder: Path, has_trouble: bool) -> bool:
    """Run the case and return whether an accepted job is lost."""
    SavingEndpoint.length = CHECKPOINT_LENGTH if has_trouble else SHORT_LENGTH
    async with Fleet(folder, {"shop": 3}, make_endpoint=SavingEndpoint) as fleet:
        await fleet.wait_until_served("/shop/")
        fleet.record.write("checkpoints have", SavingEndpoint.length, "characters")
        accepted: list[str] = []
        step = {"count": 1, "cpu": 500, "estimate-ms": 1_000 * RUN_S}
        saving = {"spec": "save 2", "steps": [{**step, "checkpointing": True}]}
        ordinary = {"spec": "run 0.3", "steps": [step]}
        for body, count, first in (
            (saving, SAVING_JOBS, 0xA0000),
            (ordinary, ORDINARY_JOBS, 0xB0000),
        ):
            for number in range(count):
                path = f"/shop/{first + number:016x}"
                if await fleet.submit(path, body, entry=number % 3) == 200:
                    accepted.append(path)
                await asyncio.sleep(RUN_S / 2)
        fleet.record.write("end of the traffic;", len(accepted), "jobs accepted")
        await asyncio.sleep(FINISH_S)
        lost = []
        for path in accepted:
            status, body = await fleet.call("GET", path)
            fleet.record.write("GET", path, status, body)
            if body.get("state") != "completed" and waits_idle(fleet, path):
                lost.append(path)
                fleet.record.write("LOST:", path, "was accepted, and nothing runs")
        fleet.write_runs()
        return bool(lost)


def waits_idle(fleet: Fleet, path: str) -> bool:
    """Return whether a job waits, and has had nothing running for 3 s.

    Its work unit has not ended as done. The pool has room for 48 such tasks and runs
    none of them, and open queues have no limit for a tenant.
    """
    job = path.rpartition("/")[2]
    since = time.monotonic() - IDLE_S
    rows = [row for part in fleet.endpoints.values() for row in part.started]
    own = [row for row in rows if row[0].startswith(f"{job}.")]
    is_done = any(row[4:5] == ["done"] for row in own)
    active = [row for row in rows if row[3] is None or row[3] > since]
    return not is_done and not active


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place; not with TROUBLE=0."""

run_case(make_case, Path(__file__).parent, HAS_TROUBLE)
