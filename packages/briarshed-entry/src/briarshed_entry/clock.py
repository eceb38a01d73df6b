"""The time that decisions use."""

import time


def now() -> float:
    """Return seconds of ``CLOCK_BOOTTIME``.

    It advances while a machine is suspended, so an entry that was suspended finds
    its confirmations old. ``CLOCK_MONOTONIC`` stops then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
