"""Bounds of a queue, learned run time and expected wait."""

from __future__ import annotations

from briarshed.documents import Queue

LEARNING_RATE = 0.1
"""Weight of the newest run time in the moving average."""

MAX_RUN_TIME_S = 60.0
"""Cap of a learned run time: the longest task lease."""

MAX_WAIT_S = 600.0
"""Cap of an expected wait, so that one wrong estimate cannot grow without bound."""

URGENT_WAIT_FACTOR = 4 / 3
"""Urgent jobs get 3 of 4 starts, so a queue of them takes a third longer."""


def update_run_time(average: float | None, seconds: float) -> float:
    """Return the moving average of a queue's run time after one more job."""
    seconds = min(seconds, MAX_RUN_TIME_S)
    if average is None:
        return seconds
    return average + LEARNING_RATE * (seconds - average)


IDLE_FACTOR = 2.0
"""Most by which observed ends lengthen the expected wait: slots that are idle as long
as they work. A longer pause is a failure of an endpoint, not of the pool."""


class Departures:
    """Mean time between the ends of a pool's jobs while others wait, in seconds.

    Slots are idle for a moment between two jobs, and other entries take some of them,
    so that jobs leave more slowly than slots and run times tell.
    """

    def __init__(self) -> None:
        self.interval: float | None = None
        self._ended_at: float | None = None

    def note_end(self, is_backlogged: bool, now: float) -> None:
        """Count the end of a job; without a backlog nothing is learned."""
        if self._ended_at is not None:
            self.interval = update_run_time(self.interval, now - self._ended_at)
        self._ended_at = now if is_backlogged else None
        if not is_backlogged:
            self.interval = None


def find_exceeded_bound(queue: Queue, jobs: int, held: int, size: int) -> str:
    """Return which bound forbids one more job, or an empty text.

    Parameters
    ----------
    queue : Queue
        Its bounds.
    jobs, held : int
        Jobs queued at this entry, and the bytes of their bodies.
    size : int
        Bytes of the new job's body.
    """
    if jobs >= queue["max_jobs"]:
        return f"{jobs} jobs are queued and the queue holds {queue['max_jobs']}"
    if held + size > queue["max_bytes"]:
        return f"{held} bytes are queued and the queue holds {queue['max_bytes']}"
    return ""


def count_ahead(total: int, own: int, share: float, all_shares: float) -> float:
    """Return how many queued jobs start before a new one of a team.

    While the team's own jobs start, others start in proportion to their shares. The
    rest of a long queue of another team does not delay it.

    Parameters
    ----------
    total, own : int
        Queued jobs of all teams and of this one.
    share, all_shares : float
        Share of this team, and of all waiting teams with it.
    """
    return min(float(total), (own + 1) * all_shares / share - 1)


def estimate_wait(
    ahead: float, run_time: float | None, slots: float, interval: float | None = None
) -> float:
    """Return the seconds that a new job will wait; 0 while nothing is known.

    Parameters
    ----------
    ahead : float
        Jobs that start before it.
    run_time : float or None
        Learned run time in seconds.
    slots : float
        Slots of the pool that this entry can use; all are busy.
    interval : float or None
        Mean time between the ends of jobs, in seconds, if it was observed.
    """
    if run_time is None:
        return 0.0
    each = run_time / max(slots, 1.0)
    if interval is not None:
        each = min(max(each, interval), IDLE_FACTOR * each)
    return min(MAX_WAIT_S, (ahead + 1) * each)


def is_too_late(left: float, run_time: float | None, waiting: int) -> bool:
    """Tell whether a start would waste a slot that another job could use.

    A job that is stopped at its deadline helps nobody, and its caller is told
    "unknown". With no other job waiting the learned run time is not trusted that far.

    Parameters
    ----------
    left : float
        Seconds to the job's deadline.
    run_time : float or None
        Learned run time in seconds.
    waiting : int
        Queued jobs of the pool, without this one.
    """
    return waiting > 0 and run_time is not None and left < run_time
