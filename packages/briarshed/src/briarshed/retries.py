"""Retry budget and back-off delay."""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Retries available to a burst of failures; also the initial number of tokens."""

TOKENS_PER_JOB = 0.1
"""Retries added by each first attempt; they add at most a tenth to a long overload.

With less, there would be too few retries for one failing endpoint of ten; with more,
retries would amplify an overload.
"""

INITIAL_DELAY_S = 0.02
MAX_DELAY_S = 0.5


class RetryBudget:
    """Token bucket of one pool; first attempts add tokens and retries take them."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def note_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_JOB)

    def take_token(self) -> bool:
        """Take a token for a retry; return whether one was available."""
        # Ten times 0.1 adds up to slightly less than 1 in floating point.
        if self.tokens < 1 - 1e-9:
            return False
        self.tokens -= 1
        return True


def find_delay(retries: int, fraction: float) -> float:
    """Return the delay before a retry in seconds: exponential with full jitter.

    Parameters
    ----------
    retries : int
        Number of earlier retries of the job.
    fraction : float
        Random number, uniformly distributed from 0 to 1.
    """
    return fraction * min(MAX_DELAY_S, INITIAL_DELAY_S * 2**retries)
