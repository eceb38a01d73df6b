"""Longest chains of steps by their estimates."""

from __future__ import annotations

from collections.abc import Iterator

from briarshed_workloads.workloads import Description


def find_critical_path(description: Description) -> float:
    """Return the estimated length of the critical path of the steps in seconds."""
    return max(iterate_critical_paths(description), default=0.0)


def iterate_critical_paths(description: Description) -> Iterator[float]:
    """Yield, for each step, the longest path that ends with it, in seconds."""
    lengths: dict[int, float] = {}

    def measure(number: int) -> float:
        if number not in lengths:
            lengths[number] = 0.0  # validation rejects cycles
            step = description.steps[number]
            before = max((measure(other) for other in step.after), default=0.0)
            lengths[number] = before + step.estimate
        return lengths[number]

    for number in range(len(description.steps)):
        yield measure(number)
