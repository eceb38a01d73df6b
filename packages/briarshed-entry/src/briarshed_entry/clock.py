"""Clock for deadlines, leases and intervals."""

import time


def now() -> float:
    """Return ``CLOCK_BOOTTIME`` in seconds.

    Unlike ``CLOCK_MONOTONIC``, it advances while the machine is suspended, so that the
    confirmations of an entry expire during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
