"""Endpoints as the leader knows them: clock, token, runs and room."""

from __future__ import annotations

from typing import NamedTuple

from briarshed_workloads import outliers
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Registration,
    Resources,
    Step,
    TaskId,
    add,
    subtract,
)

MILLISECONDS = 1_000

TOKEN_COUNTER_BITS = 32
"""Low bits of a fencing token: orders of one leader; the epoch stands above them."""

MIN_CLOCK_RATE = 0.98
"""An endpoint's steady clock may be this slow, as the platform's pages state."""

EXPIRY_MARGIN_S = 0.5
"""Added to the computed end of an endpoint's deadline; covers the kill of its runs."""

ORDERED, PRESENT, STOPPING, DOUBTFUL = "ordered", "present", "stopping", "doubtful"


class Run:
    """One run of a task at an endpoint, from the order until its end is known.

    ``state`` is ``ordered`` (no answer yet), ``present``, ``stopping``, or
    ``doubtful`` (the order or the stop got no answer). ``confirmed_at`` and
    ``ordered_at`` are seconds of the boot clock.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_at",
        "endpoint",
        "is_copy",
        "load",
        "need",
        "number",
        "ordered_at",
        "pace",
        "paced_at",
        "percent",
        "progressed_at",
        "state",
        "step",
        "stop_requested_at",
        "task",
        "team",
        "token",
    )

    def __init__(
        self,
        task: TaskId,
        number: int,
        endpoint: Endpoint,
        step: Step,
        need: Resources,
        team: str,
        now: float,
    ) -> None:
        self.task = task
        self.number = number
        self.endpoint = endpoint
        self.step = step
        self.need = need
        self.team = team
        self.ordered_at = now
        self.confirmed_at = 0.0
        self.progressed_at = now
        self.state = ORDERED
        self.token = 0
        self.percent = 0
        self.load = 0
        self.pace = 100
        self.paced_at = 0.0
        self.checkpoint = ""
        self.stop_requested_at = 0.0
        self.is_copy = False

    @property
    def is_present(self) -> bool:
        """Tell whether the run is known to be there and is not being stopped."""
        return self.state == PRESENT

    @property
    def is_serving(self) -> bool:
        """Tell whether a long-running task is at work."""
        return self.state == PRESENT and self.percent >= 100


class Endpoint:
    """One incarnation of an endpoint.

    ``acknowledged`` is the highest end whose effect is durable, ``seen`` the highest
    that was listed. ``answered_at`` is the time of the last answer to any call, and
    ``looked_at`` that of the last list of runs. ``fenced`` tells that this incarnation
    has answered a look of this leader, so that no earlier leader's order can start
    there any more.

    An endpoint that is ``evacuating`` is emptied for maintenance; one that is
    ``retiring`` gets no new work, since its pool has room to spare.
    """

    __slots__ = (
        "acknowledged",
        "answered_at",
        "clock_sample_ms",
        "clock_sampled_at",
        "counter",
        "epoch",
        "evicting",
        "failing_since",
        "fenced_counter",
        "full_until",
        "is_gone",
        "is_listed",
        "last_deadline_ms",
        "last_listed_end",
        "needs_fence",
        "polled_at",
        "registration",
        "reputation",
        "retiring",
        "runs",
        "used",
    )

    def __init__(self, registration: Registration, epoch: int) -> None:
        self.registration = registration
        self.epoch = epoch
        self.counter = 1
        self.fenced_counter = 0
        self.needs_fence = True
        self.runs: dict[tuple[TaskId, int], Run] = {}
        self.used = NO_RESOURCES
        self.acknowledged = 0
        self.last_listed_end = 0
        self.clock_sample_ms = 0
        self.clock_sampled_at = 0.0
        self.answered_at = 0.0
        self.polled_at = 0.0
        self.failing_since = 0.0
        self.full_until = 0.0
        self.last_deadline_ms = 0
        self.is_listed = True
        self.is_gone = False
        self.evicting = False
        self.retiring = False
        self.reputation = outliers.EndpointReputation()

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.registration.endpoint

    @property
    def token(self) -> int:
        """Return the fencing token of the next order."""
        return (self.epoch << TOKEN_COUNTER_BITS) | self.counter

    @property
    def is_fenced(self) -> bool:
        """Tell whether every earlier order is barred or accounted for."""
        return self.fenced_counter > 0 and not self.needs_fence

    @property
    def has_unsaved_ends(self) -> bool:
        """Tell whether ends have been listed whose effect is not durable yet."""
        return self.last_listed_end > self.acknowledged

    def find_free(self) -> Resources:
        """Return the room that is left."""
        return subtract(self.registration.capacity, self.used)

    def find_clock(self, now: float) -> int:
        """Return the estimated time on the endpoint's clock, in ms."""
        return self.clock_sample_ms + int((now - self.clock_sampled_at) * MILLISECONDS)

    def choose_deadline(self, now: float, run_lease: float) -> int:
        """Return a deadline ``hold`` seconds ahead on the endpoint's clock."""
        deadline = self.find_clock(now) + int(run_lease * MILLISECONDS)
        self.last_deadline_ms = max(self.last_deadline_ms, deadline)
        return deadline

    def note_earlier_deadline(self, run_lease: float) -> None:
        """Allow for a deadline that an earlier leader set a moment ago."""
        earlier = self.clock_sample_ms + int(run_lease * MILLISECONDS)
        self.last_deadline_ms = max(self.last_deadline_ms, earlier)

    def find_lease_expiry(self) -> float:
        """Return when all that runs there has certainly ended, if it stays silent."""
        left = max(0, self.last_deadline_ms - self.clock_sample_ms) / MILLISECONDS
        return self.clock_sampled_at + left / MIN_CLOCK_RATE + EXPIRY_MARGIN_S

    def require_fence(self) -> None:
        """Give no work until a look with a higher token has been answered."""
        self.needs_fence = True
        self.counter += 1

    def add_run(self, run: Run) -> None:
        """Occupy room for a run."""
        self.runs[run.task, run.number] = run
        self.used = add(self.used, run.need)

    def remove_run(self, run: Run) -> bool:
        """Free the room of a run; False if it was not there."""
        if self.runs.pop((run.task, run.number), None) is None:
            return False
        self.used = subtract(self.used, run.need)
        return True


class Usage:
    """What each team has running, over all endpoints."""

    def __init__(self) -> None:
        self._by_team: dict[str, Resources] = {}

    def read(self, team: str) -> Resources:
        """Return what the team has running."""
        return self._by_team.get(team, NO_RESOURCES)

    def charge(self, team: str, need: Resources) -> None:
        """Count a run."""
        self._by_team[team] = add(self.read(team), need)

    def refund(self, team: str, need: Resources) -> None:
        """Stop counting a run."""
        self._by_team[team] = subtract(self.read(team), need)


def is_within(usage: Resources, need: Resources, maximum: Resources) -> bool:
    """Tell whether a team stays within its limit; parts of 0 are not limited."""
    total = add(usage, need)
    return all(
        limit == 0 or part <= limit or wanted == 0
        for part, limit, wanted in zip(total, maximum, need, strict=True)
    )


def read_counter(token: int) -> int:
    """Return the counter of an endpoint's orders that a fencing token holds."""
    return token & ((1 << TOKEN_COUNTER_BITS) - 1)


class StopOrder(NamedTuple):
    """End a run at its endpoint; the reason goes to the log."""

    run: Run
    reason: str


class StartOrder(NamedTuple):
    """A run that was booked and is to be ordered at its endpoint."""

    run: Run
    spec: str
    checkpoint: str


class PaceOrder(NamedTuple):
    """Let a filler work at a share of its speed."""

    run: Run
    percent: int
