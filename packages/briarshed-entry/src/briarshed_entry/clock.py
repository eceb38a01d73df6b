"""Clock for deadlines, leases and intervals."""

import time


def now() -> float:
    """Return ``CLOCK_BOOTTIME`` in seconds.

    Unlike ``CLOCK_MONOTONIC``, it advances while the machine is suspended, so that the
    confirmations of an entry expire during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_time() -> float:
    """Return Unix time in seconds.

    It is for what leaves the process: records, reports and the times that callers name.
    """
    return time.time()
