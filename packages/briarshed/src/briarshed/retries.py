"""Retry budget and delay."""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Retries that a burst of failures may take; also the tokens at the start."""

TOKENS_PER_JOB = 0.1
"""Retries earned by each first attempt, so that retries add a tenth to a long overload.

With fewer, one failing endpoint of ten could not be retried around; with more, retries
would feed an overload.
"""

FIRST_DELAY_S = 0.02
MAX_DELAY_S = 0.5


class RetryBudget:
    """Token bucket of one pool; first attempts fill it and retries empty it."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def note_first_attempt(self) -> None:
        """Add what a first attempt earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_JOB)

    def take_token(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        # Ten additions of 0.1 stay just below 1.
        if self.tokens < 1 - 1e-9:
            return False
        self.tokens -= 1
        return True


def find_delay(retries: int, fraction: float) -> float:
    """Return the seconds before a retry: exponential with full jitter.

    Parameters
    ----------
    retries : int
        Retries of the job so far.
    fraction : float
        Uniform random number from 0 to 1.
    """
    return fraction * min(MAX_DELAY_S, FIRST_DELAY_S * 2**retries)
