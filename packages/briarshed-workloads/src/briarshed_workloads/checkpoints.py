"""Checkpoints of a job's tasks, and the memory that they share at a leader."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from briarshed_workloads.workloads import TaskId

MAX_CHECKPOINT_BYTES = 65_536
"""Largest checkpoint that is kept, in bytes of UTF-8. Over a link of 5 Mbit/s a start
that carries it reaches the endpoint within its time-out."""

MAX_RECORDED_BYTES = 131_072
"""Most bytes of checkpoints in the record of a job, so that it is written in well under
a second over such a link."""

MAX_HELD_BYTES = 16_000_000
"""Most bytes of checkpoints of all jobs."""


class CheckpointRoom:
    """Memory that jobs share for the checkpoints of their tasks.

    Parameters
    ----------
    size : int
        Bytes for all jobs.

    Attributes
    ----------
    held : int
        Bytes that are in use.
    """

    def __init__(self, size: int = MAX_HELD_BYTES) -> None:
        self.size = size
        self.held = 0


class Checkpoints:
    """The latest checkpoints of a job's tasks that could be kept.

    Parameters
    ----------
    room : CheckpointRoom
        Memory that is shared with other jobs.

    Attributes
    ----------
    held : int
        Bytes of these checkpoints.
    """

    __slots__ = ("_by_task", "_room", "held")

    def __init__(self, room: CheckpointRoom) -> None:
        self._room = room
        self._by_task: dict[TaskId, tuple[str, int]] = {}
        self.held = 0

    def __len__(self) -> int:
        return len(self._by_task)

    def __iter__(self) -> Iterator[TaskId]:
        return iter(self._by_task)

    def find(self, task: TaskId) -> str:
        """Return the checkpoint of a task; empty if there is none."""
        return self._by_task.get(task, ("", 0))[0]

    def keep(self, tasks: Sequence[TaskId], checkpoint: str) -> bool:
        """Replace the checkpoint of tasks that share it; return whether it is kept.

        Otherwise the earlier ones are kept, and the work since then is lost if the
        tasks start again.
        """
        size = measure_checkpoint(checkpoint)
        former = sum(self._by_task[task][1] for task in tasks if task in self._by_task)
        change = size * len(tasks) - former
        has_room = change <= 0 or self._room.held + change <= self._room.size
        if not 0 < size <= MAX_CHECKPOINT_BYTES or not has_room:
            return False
        for task in tasks:
            self._by_task[task] = checkpoint, size
        self._change_held(change)
        return True

    def discard(self, tasks: Iterable[TaskId]) -> None:
        """Forget the checkpoints of tasks."""
        for task in tasks:
            _, size = self._by_task.pop(task, ("", 0))
            self._change_held(-size)

    def clear(self) -> None:
        """Forget all checkpoints."""
        self._by_task.clear()
        self._change_held(-self.held)

    def choose_recorded(self) -> dict[TaskId, str]:
        """Return the checkpoints that a record of the job holds: the shortest ones.

        Those of a gang are all chosen, or none.
        """
        if self.held <= MAX_RECORDED_BYTES:
            return {task: text for task, (text, _) in self._by_task.items()}
        groups: dict[str, list[TaskId]] = {}
        for task, (text, _) in self._by_task.items():
            groups.setdefault(text, []).append(task)
        sizes = {text: self._by_task[tasks[0]][1] for text, tasks in groups.items()}
        chosen: dict[TaskId, str] = {}
        left = MAX_RECORDED_BYTES
        for text in sorted(groups, key=sizes.__getitem__):
            left -= sizes[text] * len(groups[text])
            if left < 0:
                break
            chosen.update(dict.fromkeys(groups[text], text))
        return chosen

    def _change_held(self, change: int) -> None:
        self.held += change
        self._room.held += change


def measure_checkpoint(checkpoint: str) -> int:
    """Return the bytes of a checkpoint in UTF-8; -1 if it cannot be encoded."""
    if checkpoint.isascii():
        return len(checkpoint)
    try:
        return len(checkpoint.encode())
    except UnicodeEncodeError:
        # JSON can hold half of a surrogate pair.
        return -1
