"""Whether a leader knows enough of evacuations to start tasks."""

from __future__ import annotations

from briarshed import events
from briarshed_entry.logs import log_event
from briarshed_workloads.engine import Engine
from briarshed_workloads.leadership import LeaderTerm


def measure_age(read_at: float, store_back_at: float, now: float) -> float:
    """Return for how long an evacuation may have been requested unknown to the leader.

    Parameters
    ----------
    read_at : float
        When the last complete list of evacuations was requested.
    store_back_at : float
        When the store was last unavailable to all entries. No request could be
        confirmed then.
    now : float
        All times are in seconds of the boot clock, and so is the result.
    """
    return now - max(read_at, store_back_at)


class StartPermit:
    """Permits starts while the leader's knowledge of evacuations is recent.

    Parameters
    ----------
    term : LeaderTerm
        Term of the leader.
    engine : Engine
        State that holds what is known of evacuations.
    max_age : float
        Time in seconds within which an evacuation must be in force; 0 for no limit.
    """

    def __init__(self, term: LeaderTerm, engine: Engine, max_age: float) -> None:
        self._term = term
        self._engine = engine
        self._max_age = max_age
        self._withheld_since = 0.0

    def note_authority(self) -> None:
        """Note that the leader has regained its authority; before, nothing started."""
        self._withheld_since = 0.0

    def is_valid(self, now: float) -> bool:
        """Return whether tasks may start.

        While the leader goes on by the consent of all members, the store is unavailable
        to all of them, so that no evacuation can be requested.
        """
        return not self._max_age or self._measure_excess(now) <= 0

    def _measure_excess(self, now: float) -> float:
        if not self._term.has_lease():
            return 0.0
        read_at = self._engine.evacuated.read_at
        return measure_age(read_at, self._term.store_back_at, now) - self._max_age

    def check(self, now: float) -> bool:
        """Return whether tasks may start, and log when this changes."""
        is_valid = self.is_valid(now)
        if is_valid and self._withheld_since:
            log_event(
                events.STARTS_RESUMED, seconds=round(now - self._withheld_since, 1)
            )
            self._withheld_since = 0.0
        elif not is_valid and not self._withheld_since:
            log_event(events.STARTS_WITHHELD, seconds=self._max_age)
            self._withheld_since = now
        return is_valid
