"""Memory that jobs take at a leader: estimates in bytes.

The estimates are those that `bench/memory.py` measures. They do not depend on the
machine, so that each leader can load what an earlier one has accepted.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import NamedTuple

from briarshed_workloads.checkpoints import CheckpointRoom
from briarshed_workloads.occurrences import OccurrenceRoom
from briarshed_workloads.workloads import Description

MAX_OPEN_BYTES = 36_000_000
"""Memory of the open jobs, without their further occurrences, beyond which no job is
accepted. This leader and the next one plan so many within their leases."""

SMALL_JOBS_BYTES = 9_000_000
"""The part of `MAX_OPEN_BYTES` that large jobs leave to small ones."""

SMALL_JOB_BYTES = 65_536
"""Largest size of a small job."""

JOB_BYTES = 2_400
"""Bytes of a job without its description and its tasks."""

STEP_BYTES = 400
"""Bytes of a step of a description, without its texts and dependencies."""

OCCURRENCE_BYTES = 300
"""Bytes of an open occurrence without its steps."""

OPENED_STEP_BYTES = 600
"""Bytes of a step of an open occurrence without its tasks."""

TASK_BYTES = 180
"""Bytes of a task that waits; one that has succeeded takes less."""


def measure_description(description: Description) -> int:
    """Return the estimated size of a description in memory, in bytes."""
    size = sys.getsizeof(description.spec) + STEP_BYTES * len(description.steps)
    for step in description.steps:
        for value in (step.label, step.rack, step.image, step.after):
            if value:
                size += sys.getsizeof(value)
    return size


def measure_occurrence(description: Description) -> int:
    """Return the estimated size of an occurrence whose steps are all open, in bytes."""
    tasks = sum(step.count for step in description.steps)
    steps = OPENED_STEP_BYTES * len(description.steps)
    return OCCURRENCE_BYTES + steps + TASK_BYTES * tasks


class JobPart(NamedTuple):
    """What a job takes of the memory of all jobs, in bytes."""

    job_id: str
    size: int
    further_occurrences: int
    checkpoints: int


class JobMemory:
    """Memory that the open jobs of a leader take.

    Attributes
    ----------
    open_size, large_size : int
        Size in bytes of all open jobs, each with one occurrence, and of the large ones
        among them; those that have ended since the last correction still count.
    occurrences : OccurrenceRoom
        Memory for the further occurrences of all jobs.
    checkpoints : CheckpointRoom
        Memory for the checkpoints of all jobs.
    """

    def __init__(self) -> None:
        self.open_size = self.large_size = 0
        self.occurrences = OccurrenceRoom()
        self.checkpoints = CheckpointRoom()

    def add(self, size: int) -> None:
        """Count a job of ``size`` bytes."""
        self._change(size, 1)

    def remove(self, size: int) -> None:
        """Count a job of ``size`` bytes no more."""
        self._change(size, -1)

    def _change(self, size: int, sign: int) -> None:
        self.open_size += sign * size
        if size > SMALL_JOB_BYTES:
            self.large_size += sign * size

    def correct(self, parts: Iterable[JobPart]) -> None:
        """Count only these parts."""
        self.open_size = self.large_size = self.checkpoints.held = 0
        further = {}
        for part in parts:
            self.add(part.size)
            self.checkpoints.held += part.checkpoints
            further[part.job_id] = part.further_occurrences
        self.occurrences.correct(further)

    def has_room(self, size: int) -> bool:
        """Return whether a job of ``size`` bytes can be accepted.

        Large jobs leave a part of the memory to small ones. A large job of any size is
        accepted if it is the only one.
        """
        if size <= SMALL_JOB_BYTES:
            small = self.open_size - self.large_size + size
            return small <= max(SMALL_JOBS_BYTES, MAX_OPEN_BYTES - self.large_size)
        is_alone = not self.large_size and self.open_size <= SMALL_JOBS_BYTES
        return is_alone or self.open_size + size <= MAX_OPEN_BYTES - SMALL_JOBS_BYTES

    def list_parts(self) -> dict[str, int]:
        """Return the estimated bytes of each kind."""
        return {
            "small jobs": self.open_size - self.large_size,
            "large jobs": self.large_size,
            "further occurrences": self.occurrences.held,
            "checkpoints": self.checkpoints.held,
        }
