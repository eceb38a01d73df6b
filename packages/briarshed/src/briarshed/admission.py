"""Queue bounds, average run time and estimated wait of new jobs."""

from __future__ import annotations

from briarshed.documents import Queue

LEARNING_RATE = 0.1
"""Weight of the latest run time in the moving average."""

MAX_RUN_TIME_S = 60.0
"""Upper bound of a run time: the longest task lease."""

MAX_WAIT_S = 600.0
"""Upper bound of an estimated wait, so a wrong estimate cannot grow indefinitely."""

URGENT_WAIT_FACTOR = 4 / 3
"""Urgent jobs get 3 of 4 starts, so they wait a third longer than with all starts."""


def update_run_time(average: float | None, seconds: float) -> float:
    """Return the moving average of a queue's run time after one more job."""
    seconds = min(seconds, MAX_RUN_TIME_S)
    if average is None:
        return seconds
    return average + LEARNING_RATE * (seconds - average)


MAX_IDLE_FACTOR = 2.0
"""Maximum factor by which observed intervals between job ends lengthen the wait.

At 2, slots are idle as long as they are busy. A longer interval is the failure of one
endpoint and says nothing about the pool.
"""


class Departures:
    """Mean time between the ends of a pool's jobs while others wait, in seconds.

    Slots are idle for a short time between two jobs, and other entries use some of
    them, so jobs end at a lower rate than slots and run times suggest.
    """

    def __init__(self) -> None:
        self.interval: float | None = None
        self._ended_at: float | None = None

    def note_end(self, is_backlogged: bool, now: float) -> None:
        """Update the mean with the end of a job; reset it if no jobs wait."""
        if self._ended_at is not None:
            self.interval = update_run_time(self.interval, now - self._ended_at)
        self._ended_at = now if is_backlogged else None
        if not is_backlogged:
            self.interval = None


def find_exceeded_bound(queue: Queue, jobs: int, queued_bytes: int, size: int) -> str:
    """Return a message if one more job would exceed a bound, or an empty string.

    Parameters
    ----------
    queue : Queue
        The queue with its bounds.
    jobs, queued_bytes : int
        Number of jobs queued at this entry, and total size of their bodies in bytes.
    size : int
        Size of the new job's body in bytes.
    """
    if jobs >= queue["max_jobs"]:
        return f"{jobs} jobs are queued and the queue holds {queue['max_jobs']}"
    if queued_bytes + size > queue["max_bytes"]:
        return (
            f"{queued_bytes} bytes are queued and the queue holds {queue['max_bytes']}"
        )
    return ""


def count_ahead(total: int, own: int, share: float, all_shares: float) -> float:
    """Return how many queued jobs start before a new one of a team.

    While the team's own jobs start, jobs of other teams start in proportion to their
    shares. A longer queue of another team does not delay the job further.

    Parameters
    ----------
    total, own : int
        Queued jobs of all teams and of this one.
    share, all_shares : float
        Share of this team, and sum of the shares of all waiting teams including it.
    """
    return min(float(total), (own + 1) * all_shares / share - 1)


def estimate_wait(
    ahead: float, run_time: float | None, slots: float, interval: float | None = None
) -> float:
    """Return the estimated wait of a new job in seconds; 0 without any run time.

    Parameters
    ----------
    ahead : float
        Jobs that start before it.
    run_time : float or None
        Average run time in seconds.
    slots : float
        Slots of the pool that this entry can use; all are busy.
    interval : float or None
        Observed mean time between the ends of jobs in seconds, if there is one.
    """
    if run_time is None:
        return 0.0
    each = run_time / max(slots, 1.0)
    if interval is not None:
        each = min(max(each, interval), MAX_IDLE_FACTOR * each)
    return min(MAX_WAIT_S, (ahead + 1) * each)


def is_too_late(remaining_s: float, run_time: float | None, waiting: int) -> bool:
    """Return whether a job would probably not finish before its deadline.

    A job that is stopped at its deadline wastes a slot that another job could use, and
    its caller gets the outcome "unknown". If no other job waits, it may start even if
    the average run time is too long.

    Parameters
    ----------
    remaining_s : float
        Seconds until the job's deadline.
    run_time : float or None
        Average run time in seconds.
    waiting : int
        Queued jobs of the pool, without this one.
    """
    return waiting > 0 and run_time is not None and remaining_s < run_time
