"""Open occurrences of scheduled jobs, and the memory that they share at a leader."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

MAX_OPEN_OCCURRENCES = 1_000
"""Open occurrences of a job from which on no further one is opened."""

MAX_FURTHER_BYTES = 16_000_000
"""Memory for all active occurrences of all jobs besides the first one of each job,
whose memory is part of the job's size."""


class OccurrenceRoom:
    """Memory that jobs share for their further occurrences.

    A job may hold at most as much as is free: a few jobs get most of the memory, and
    many jobs get a part each.

    Parameters
    ----------
    size : int
        Bytes for all jobs.

    Attributes
    ----------
    held : int
        Bytes that are in use.
    """

    def __init__(self, size: int = MAX_FURTHER_BYTES) -> None:
        self.size = size
        self.held = 0
        self._by_job: dict[str, int] = {}

    def has_room(self, job_id: str, amount: int) -> bool:
        """Return whether a job may hold ``amount`` bytes more."""
        free = self.size - self.held - amount
        return self._by_job.get(job_id, 0) <= free

    def set_held(self, job_id: str, amount: int) -> None:
        """Set the bytes that a job holds."""
        self.held += amount - self._by_job.pop(job_id, 0)
        if amount:
            self._by_job[job_id] = amount

    def correct(self, by_job: Mapping[str, int]) -> None:
        """Replace the bytes that each job holds."""
        self._by_job = {job_id: held for job_id, held in by_job.items() if held}
        self.held = sum(self._by_job.values())


class OpenOccurrences:
    """The occurrences of a job that have been opened and are not completed.

    Steps of an open occurrence are opened only while it is active. It becomes active
    when it is opened; one that an earlier leader has opened stays inactive until there
    is room for it.

    Parameters
    ----------
    job_id : str
        The job.
    size : int
        Bytes of an occurrence whose steps are all open.
    room : OccurrenceRoom
        Memory for active occurrences besides the first.

    Attributes
    ----------
    next : int
        The first occurrence that has not been opened yet.
    open : dict
        Earlier occurrences that are not completed, in ascending order; all others
        before ``next`` are. Only these have a state in memory and in the records,
        besides successes that were noted before an occurrence was opened.
    active : dict
        The open occurrences whose steps may be opened.
    """

    __slots__ = ("_job_id", "_room", "active", "next", "open", "size")

    def __init__(self, job_id: str, size: int, room: OccurrenceRoom) -> None:
        self._job_id = job_id
        self._room = room
        self.size = size
        self.next = 0
        self.open: dict[int, None] = {}
        self.active: dict[int, None] = {}

    @property
    def further_bytes(self) -> int:
        """Bytes of the active occurrences besides the first."""
        return max(0, len(self.active) - 1) * self.size

    def is_completed(self, occurrence: int) -> bool:
        """Return whether all tasks of an occurrence are known to have succeeded."""
        return occurrence < self.next and occurrence not in self.open

    def is_active(self, occurrence: int) -> bool:
        """Return whether the steps of an occurrence may be opened."""
        return occurrence in self.active

    def find_first(self) -> int:
        """Return the first open occurrence; 0 if none is open."""
        return next(iter(self.open), 0)

    def find_inactive(self) -> int | None:
        """Return the first occurrence that can become active; None if none can."""
        if len(self.active) == len(self.open) or not self._has_memory():
            return None
        return next(number for number in self.open if number not in self.active)

    def has_room(self) -> bool:
        """Return whether a further occurrence may be opened."""
        return (
            len(self.open) < MAX_OPEN_OCCURRENCES
            and len(self.active) == len(self.open)
            and self._has_memory()
        )

    def _has_memory(self) -> bool:
        return not self.active or self._room.has_room(self._job_id, self.size)

    def open_next(self) -> int:
        """Open the next occurrence, and return its number."""
        occurrence = self.next
        self.open[occurrence] = None
        self.next += 1
        return occurrence

    def activate(self, occurrence: int) -> None:
        """Let the steps of an open occurrence be opened."""
        self.active[occurrence] = None
        self._room.set_held(self._job_id, self.further_bytes)

    def close(self, occurrence: int) -> None:
        """Remove an occurrence whose tasks have all succeeded."""
        del self.open[occurrence]
        self.active.pop(occurrence, None)
        self._room.set_held(self._job_id, self.further_bytes)

    def release(self) -> None:
        """Release the memory of all occurrences; none is active any more."""
        self.active.clear()
        self._room.set_held(self._job_id, 0)

    def restore(self, next_occurrence: int, opened: Iterable[int]) -> None:
        """Restore recorded occurrences; none is active yet."""
        self.release()
        self.next = next_occurrence
        self.open = dict.fromkeys(opened)
