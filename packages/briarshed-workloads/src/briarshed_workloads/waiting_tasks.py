"""The waiting tasks of a job, grouped by step."""

from __future__ import annotations

from collections.abc import Iterator, MutableSet
from typing import NamedTuple

from briarshed_workloads.workloads import TaskId


class StepKey(NamedTuple):
    """A step of one occurrence of a job."""

    occurrence: int
    step: int


class WaitingTasks(MutableSet[TaskId]):
    """An ordered set of the tasks of one job.

    Plans need one task of a step, or the number of its tasks, far more often than all
    of them, and a step may have any number.
    """

    __slots__ = ("_size", "_steps")

    def __init__(self) -> None:
        self._steps: dict[StepKey, dict[TaskId, None]] = {}
        self._size = 0

    def __contains__(self, task: object) -> bool:
        return isinstance(task, TaskId) and task in self._steps.get(_find_key(task), ())

    def __iter__(self) -> Iterator[TaskId]:
        for tasks in self._steps.values():
            yield from tasks

    def __len__(self) -> int:
        return self._size

    def __repr__(self) -> str:
        return f"{type(self).__name__}({list(self)!r})"

    def add(self, task: TaskId) -> None:
        """Add a task after the others of its step."""
        tasks = self._steps.setdefault(_find_key(task), {})
        self._size += task not in tasks
        tasks[task] = None

    def discard(self, task: TaskId) -> None:
        """Remove a task if it is present."""
        key = _find_key(task)
        tasks = self._steps.get(key)
        if tasks is None or task not in tasks:
            return
        del tasks[task]
        self._size -= 1
        if not tasks:
            del self._steps[key]

    def clear(self) -> None:
        """Remove all tasks."""
        self._steps.clear()
        self._size = 0

    def discard_occurrence(self, occurrence: int) -> None:
        """Remove the tasks of an occurrence."""
        for key in [key for key in self._steps if key.occurrence == occurrence]:
            self._size -= len(self._steps.pop(key))

    def list_steps(self) -> list[StepKey]:
        """Return the steps that have waiting tasks."""
        return list(self._steps)

    def count(self, key: StepKey) -> int:
        """Return the number of waiting tasks of a step."""
        return len(self._steps.get(key, ()))

    def iterate(self, key: StepKey) -> Iterator[TaskId]:
        """Yield the waiting tasks of a step, which may be removed meanwhile."""
        yield from tuple(self._steps.get(key, ()))


def _find_key(task: TaskId) -> StepKey:
    return StepKey(task.occurrence, task.step)
