"""Run leases: for how long endpoints keep runs that nobody polls."""

from __future__ import annotations

from typing import NamedTuple

from briarshed_workloads.fleet import EXPIRY_MARGIN_S, MIN_CLOCK_RATE

CALL_DELAY_S = 3.0
"""Delay after which a call without a response is expected to have been carried out, if
ever. One that is later still is refused, unless the endpoint has restarted meanwhile
and no leader has reached it since."""

LATE_CALL_S = 10.0
"""Time after the start of an endpoint within which it may carry out a call to its
earlier incarnation: calls may be seconds late, and sent before the start is known."""

CLOCK_DOUBT_S = 10.0
"""Difference that the clocks of entries and endpoints may have; they may jump."""


class LeaseTimes(NamedTuple):
    """Run leases in seconds.

    Attributes
    ----------
    run_lease : float
        Time for which endpoints keep runs without a poll.
    max_run_lease : float
        Longest run lease that any leader grants.
    max_accepted_lease : float
        Longest run lease that endpoints accept; they shorten longer ones. An endpoint
        that has restarted takes deadlines of its earlier clock for longer ones.
    """

    run_lease: float
    max_run_lease: float
    max_accepted_lease: float

    @property
    def longest_granted(self) -> float:
        """Longest time in seconds for which the runs of an earlier leader may go on."""
        return self.max_run_lease / MIN_CLOCK_RATE + EXPIRY_MARGIN_S

    @property
    def longest_accepted(self) -> float:
        """Longest time in seconds for which an endpoint keeps runs without a call."""
        return self.max_accepted_lease / MIN_CLOCK_RATE + EXPIRY_MARGIN_S

    @property
    def longest_late_deadline(self) -> float:
        """Age in seconds of an endpoint that has passed all deadlines of late calls."""
        return LATE_CALL_S + self.longest_accepted

    def find_late_runs_end(self, sent_at: float) -> float:
        """Return when an endpoint that has restarted has ended its earlier runs.

        These are runs that calls of an earlier leader or for an earlier incarnation
        began or extended. They were sent until ``sent_at``, and may be carried out
        later.
        """
        return sent_at + CALL_DELAY_S + self.longest_accepted
