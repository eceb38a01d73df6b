"""Refusals of a leader, which remain true for requests that arrive later."""

from __future__ import annotations

from typing import NamedTuple

KEPT_S = 60.0
"""Time for which a refusal is kept; longer than any entry tries to submit a job."""

MAX_REFUSALS = 20_000
"""Refusals that are kept; more jobs are not refused."""

MS_PER_S = 1_000


class Refusal(NamedTuple):
    """When a job was refused last and first, by the boot clock."""

    refused_at: float
    first_at: float


class Refusals:
    """Jobs that this leader has refused, and when.

    An *attempt* is one request of a caller. Its number is a time in ms of the leader's
    boot clock that was certainly not later than the request, so that the leader can
    tell a message that was held up from a caller who tries again; 0 if not known.
    """

    def __init__(self) -> None:
        self._refusals: dict[str, Refusal] = {}

    def __len__(self) -> int:
        return len(self._refusals)

    def note(self, job_id: str, now: float) -> bool:
        """Keep a refusal; return False if too many are kept already."""
        self._forget(now)
        if len(self._refusals) >= MAX_REFUSALS:
            return False
        first_at = self.find_first(job_id, now)
        self._refusals.pop(job_id, None)
        self._refusals[job_id] = Refusal(now, first_at)
        return True

    def covers(self, job_id: str, attempt: int, now: float) -> bool:
        """Return whether the attempt was made before a refusal of its job."""
        self._forget(now)
        known = self._refusals.get(job_id)
        return known is not None and attempt <= known.refused_at * MS_PER_S

    def is_outdated(self, attempt: int, now: float) -> bool:
        """Return whether a refusal of the attempt may have been forgotten."""
        return attempt != 0 and attempt < (now - KEPT_S) * MS_PER_S

    def find_first(self, job_id: str, now: float) -> float:
        """Return when a job was refused for the first time; now if it never was."""
        known = self._refusals.get(job_id)
        return known.first_at if known is not None else now

    def _forget(self, now: float) -> None:
        while self._refusals:
            job_id = next(iter(self._refusals))
            if self._refusals[job_id].refused_at >= now - KEPT_S:
                return
            del self._refusals[job_id]


def number_attempt(read_at: float, heartbeat_at: float, received_at: float) -> int:
    """Return the number of an attempt for a leader.

    Parameters
    ----------
    read_at : float
        When the entry received the caller's request, by its own boot clock.
    heartbeat_at : float
        When the leader sent its last heartbeat, by its own boot clock.
    received_at : float
        When the entry received that, by its own boot clock.
    """
    earlier = max(0.0, received_at - read_at)
    return int((heartbeat_at - earlier) * MS_PER_S)
