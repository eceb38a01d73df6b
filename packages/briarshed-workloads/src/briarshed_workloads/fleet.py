"""The leader's view of endpoints: clock, fencing token, runs and capacity."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from briarshed_workloads.reputation import EndpointReputation
from briarshed_workloads.workloads import (
    NO_RESOURCES,
    Registration,
    Resources,
    Step,
    TaskId,
    add,
    subtract,
)

MS_PER_S = 1_000

TOKEN_COUNTER_BITS = 32
"""Low bits of a fencing token: counter of one leader; the high bits are its epoch."""

MIN_CLOCK_RATE = 0.98
"""Lowest rate of an endpoint's steady clock; a documented limit of the platform."""

EXPIRY_MARGIN_S = 0.5
"""Added to the computed expiry of a run lease; the time that killing the runs takes."""

MAX_CLOCK_AGE_S = 10.0
"""Age from which the clock of an endpoint is read again before a start. A slow clock is
0.2 s behind by then, which the lease of a start allows for."""

CLOCK_RESOLUTION_MS = 2
"""Rounding of two readings of a clock."""

CLOCK_TOLERANCE_S = 0.1
"""Time for which the last reading of an endpoint's clock may have been on its way."""

ORDERED, PRESENT, STOPPING, DOUBTFUL = "ordered", "present", "stopping", "doubtful"


class Run:
    """One run of a task at an endpoint, from the start order until its end is known.

    ``state`` is ``ordered`` (no response yet), ``present``, ``stopping``, or
    ``doubtful`` (there was no response to the start or stop order). Times are seconds
    of the boot clock. ``is_adopted`` is set for a run that this leader has found and
    not ordered. ``has_unknown_need`` is set for a run whose job is not known or has
    ended before this leader's term, so that the records do not tell its resources.
    ``token`` is 0 until the start order is sent. ``is_listed`` is set once the endpoint
    has listed the run in response to a poll, which tells the incarnation that runs it.
    ``is_start_confirmed`` is set if this incarnation has responded to the start order.
    ``unknown_at`` is when the outcome of an order became unknown. ``is_pace_unknown``
    is set while an order for its pace has no response.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_at",
        "endpoint",
        "has_unknown_need",
        "is_adopted",
        "is_copy",
        "is_listed",
        "is_pace_unknown",
        "is_start_confirmed",
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
        "stop_reason",
        "stop_requested_at",
        "task",
        "team",
        "token",
        "unknown_at",
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
        self.stop_reason = ""
        self.stop_requested_at = 0.0
        self.unknown_at = 0.0
        self.is_copy = False
        self.is_listed = False
        self.is_start_confirmed = False
        self.is_adopted = False
        self.is_pace_unknown = False
        self.has_unknown_need = False

    @property
    def started_at(self) -> float:
        """When the start was confirmed, or else ordered."""
        return self.confirmed_at or self.ordered_at

    @property
    def is_at_work(self) -> bool:
        """Whether the endpoint's incarnation has begun the run, as far as is known.

        An order alone does not tell that: it may be lost, or carried out by the next
        incarnation.
        """
        has_begun = self.is_listed or self.is_start_confirmed
        return has_begun and not self.stop_requested_at

    @property
    def may_be_at_next_incarnation(self) -> bool:
        """Whether the next incarnation may run it, if the endpoint has restarted.

        An order does not name the incarnation, and neither does the response to it.
        """
        return self.token > 0 and not (self.is_listed or self.is_start_confirmed)

    @property
    def is_unsettled(self) -> bool:
        """Whether it is not known if the endpoint carries out the start order."""
        return self.state in (ORDERED, DOUBTFUL)

    @property
    def is_present(self) -> bool:
        """Whether the endpoint has confirmed the run and it is not being stopped."""
        return self.state == PRESENT

    @property
    def is_serving(self) -> bool:
        """Whether the run, of a long-running task, is serving."""
        return self.state == PRESENT and self.percent >= 100


class Isolation(NamedTuple):
    """Lets one task start at an endpoint, and no other before a time.

    ``until`` is in seconds of the boot clock.
    """

    task: TaskId
    until: float


class Endpoint:
    """One incarnation of an endpoint.

    ``acknowledged`` is the highest number of an end whose effect is durable,
    ``forgotten`` the highest that is not to be acknowledged again, and
    ``last_listed_end`` the highest that was listed. ``answered_at`` is the time of the
    last response to any call, and ``polled_at`` that of the last list of runs. While
    calls fail, ``alive_until`` is the last time at which it was certainly running.
    ``is_fenced`` is set once this incarnation has answered a poll of this leader, so
    that it rejects orders of earlier leaders.

    An endpoint that is ``evicting`` is drained for maintenance; one that is
    ``retiring`` gets no new runs, since its pool has surplus capacity.
    ``is_end_ordered`` is set once its instance may have been ordered into maintenance
    or another pool, and ``end_ordered_at`` is when the last such order was sent.
    ``lost_runs`` holds the runs whose lease expired while it did not
    respond. ``earlier_deadlines_until`` is the time until which it may keep runs
    because of deadlines that were chosen by the clock of its earlier incarnation, and
    ``earlier_runs_until`` the time until which it may keep runs that only an earlier
    leader knows, besides that for all endpoints. ``has_restarted`` is set if it had
    another incarnation before, and ``has_ended`` if the list of instances has shown
    that it had ended before it ever answered a poll of this leader.
    ``fence_counter`` is the least counter of a poll that settles earlier orders.
    ``earlier_starts`` holds when its earlier incarnations started, in Unix ms, and
    ``seen_at`` is when the present one was last known from the response to a poll, and
    ``known_since`` when it became known to this leader. ``deadline_sent_at`` is when
    the last call with a deadline was sent. ``first_listed_ms`` and ``listed_ms`` are
    when it first and last listed its runs to this leader, by its own clock.
    """

    __slots__ = (
        "_unknown_needs",
        "acknowledged",
        "alive_until",
        "answered_at",
        "clock_sample_ms",
        "clock_sampled_at",
        "counter",
        "deadline_sent_at",
        "earlier_deadlines_until",
        "earlier_runs_until",
        "earlier_starts",
        "end_ordered_at",
        "epoch",
        "evicting",
        "failing_since",
        "fence_counter",
        "fenced_counter",
        "first_listed_ms",
        "forgotten",
        "full_until",
        "has_ended",
        "has_restarted",
        "is_end_ordered",
        "is_gone",
        "is_listed",
        "isolation",
        "known_since",
        "last_deadline_ms",
        "last_listed_end",
        "last_ordered_at",
        "listed_ms",
        "lost_runs",
        "needs_fence",
        "polled_at",
        "registration",
        "reputation",
        "retiring",
        "runs",
        "seen_at",
        "used",
    )

    def __init__(self, registration: Registration, epoch: int) -> None:
        self.registration = registration
        self.epoch = epoch
        self.counter = 1
        self.fenced_counter = 0
        self.fence_counter = 0
        self.needs_fence = True
        self.runs: dict[tuple[TaskId, int], Run] = {}
        self.used = NO_RESOURCES
        self._unknown_needs = 0
        self.acknowledged = 0
        self.forgotten = 0
        self.last_listed_end = 0
        self.first_listed_ms = 0
        self.listed_ms = 0
        self.clock_sample_ms = 0
        self.clock_sampled_at = 0.0
        self.answered_at = 0.0
        self.alive_until = 0.0
        self.polled_at = 0.0
        self.failing_since = 0.0
        self.full_until = 0.0
        self.last_deadline_ms = 0
        self.deadline_sent_at = 0.0
        self.earlier_deadlines_until = 0.0
        self.earlier_runs_until = 0.0
        self.earlier_starts: frozenset[int] = frozenset()
        self.has_ended = False
        self.has_restarted = False
        self.seen_at = 0.0
        self.known_since = 0.0
        self.is_listed = True
        self.is_gone = False
        self.is_end_ordered = False
        self.end_ordered_at = 0.0
        self.isolation: Isolation | None = None
        self.last_ordered_at = 0.0
        self.lost_runs: list[Run] = []
        self.evicting = False
        self.retiring = False
        self.reputation = EndpointReputation()

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.registration.endpoint

    @property
    def place(self) -> str:
        """Instance on which it runs, or its own name if that is not known."""
        return self.registration.instance or self.name

    @property
    def token(self) -> int:
        """Fencing token of the next order."""
        return (self.epoch << TOKEN_COUNTER_BITS) | self.counter

    @property
    def is_fenced(self) -> bool:
        """Whether earlier orders are rejected from now on or known to be in effect."""
        return self.fenced_counter > 0 and not self.needs_fence

    @property
    def has_unsaved_ends(self) -> bool:
        """Whether ends have been listed whose effect is not durable yet."""
        return self.last_listed_end > self.acknowledged

    @property
    def has_known_capacity(self) -> bool:
        """Whether the resources of all runs are known."""
        return self._unknown_needs == 0

    def has_recent_clock(self, now: float) -> bool:
        """Return whether the endpoint's clock was read lately."""
        return now - self.clock_sampled_at <= MAX_CLOCK_AGE_S

    def is_isolated(self, now: float) -> bool:
        """Return whether only one task may start there."""
        return self.isolation is not None and now < self.isolation.until

    def find_free(self) -> Resources:
        """Return the free capacity; an upper bound without a known capacity."""
        return subtract(self.registration.capacity, self.used)

    def has_room(self, need: Resources) -> bool:
        """Return whether a need fits within the free capacity."""
        # Plans ask this of every endpoint for every waiting task.
        capacity, used = self.registration.capacity, self.used
        return (
            need.cpu <= capacity.cpu - used.cpu
            and need.memory_mb <= capacity.memory_mb - used.memory_mb
            and need.accelerators <= capacity.accelerators - used.accelerators
        )

    def find_clock(self, now: float) -> int:
        """Return the estimated time of the endpoint's clock in ms."""
        return self.clock_sample_ms + int((now - self.clock_sampled_at) * MS_PER_S)

    def has_clock(self, clock_ms: int, sent_at: float, now: float) -> bool:
        """Return whether a reading is certainly of this incarnation's clock.

        The clock of the next incarnation starts anew after the last reading.

        Parameters
        ----------
        clock_ms : int
            Reading in the response to a call.
        sent_at, now : float
            When the call was sent at the earliest, and when it was answered, in seconds
            of the boot clock.
        """
        elapsed = sent_at - self.clock_sampled_at
        least = self.clock_sample_ms + MIN_CLOCK_RATE * MS_PER_S * elapsed
        least -= CLOCK_RESOLUTION_MS
        most = self.find_clock(now) + CLOCK_TOLERANCE_S * MS_PER_S
        most_of_next = MS_PER_S * (now - self.clock_sampled_at + CLOCK_TOLERANCE_S)
        return most_of_next < least <= clock_ms <= most

    def choose_deadline(self, now: float, run_lease: float) -> int:
        """Return a deadline at most ``run_lease`` seconds ahead.

        The endpoint's clock may have run slowly since it was read, and the next leader
        counts the run lease from the end of this term.
        """
        elapsed = now - self.clock_sampled_at
        least_clock = self.clock_sample_ms + int(MIN_CLOCK_RATE * elapsed * MS_PER_S)
        deadline = least_clock + int(run_lease * MS_PER_S)
        self.last_deadline_ms = max(self.last_deadline_ms, deadline)
        self.deadline_sent_at = now
        return deadline

    @property
    def is_acknowledgement_held(self) -> bool:
        """Whether ends are not acknowledged because of an order without a proof.

        If the endpoint has restarted unseen and has carried the order out, it would
        forget the end of that run unread, since its numbers start anew.
        """
        return self.acknowledged > self.forgotten and any(
            run.may_be_at_next_incarnation for run in self.runs.values()
        )

    @property
    def has_start_on_its_way(self) -> bool:
        """Whether a start has no response yet."""
        return any(run.state == ORDERED and run.token for run in self.runs.values())

    def count_pending_starts(self) -> int:
        """Return the number of starts that are planned or have no response yet."""
        return [run.state for run in self.runs.values()].count(ORDERED)

    def choose_acknowledged(self, is_partly_listed: bool = False) -> int:
        """Return the number of the last end to acknowledge in a poll, or 0.

        Each is acknowledged once, so that an endpoint that restarts unseen later does
        not forget its new ends unread.

        Parameters
        ----------
        is_partly_listed : bool
            Whether there may be further ends. They are listed once these are
            acknowledged, and no order is settled before.
        """
        is_held = self.is_acknowledgement_held and not is_partly_listed
        return (
            0 if is_held or self.acknowledged <= self.forgotten else self.acknowledged
        )

    def note_acknowledged(self, acknowledged: int) -> None:
        """Note that a poll has acknowledged the ends up to a number.

        Later starts have a higher token. If the endpoint restarts and carries one out,
        it refuses that poll, whose number is one of the earlier incarnation.
        """
        if acknowledged > self.forgotten:
            self.raise_token()
        self.forgotten = max(self.forgotten, acknowledged)

    def note_listed_end(self, number: int) -> None:
        """Note that an end is listed, so that it must be acknowledged again."""
        self.forgotten = min(self.forgotten, number - 1)

    def note_listed(self, clock_ms: int) -> None:
        """Note that the endpoint has listed its runs at a time of its clock."""
        self.first_listed_ms = self.first_listed_ms or clock_ms
        self.listed_ms = max(self.listed_ms, clock_ms)

    def has_settled_stops(self, stop_grace: float) -> bool:
        """Return whether no listed run is being stopped for an earlier leader.

        It has refused their stops since it first answered this leader. A run that was
        asked to stop before is listed as usual until it ends, at most ``stop_grace``
        seconds later.
        """
        elapsed = self.listed_ms - self.first_listed_ms
        return elapsed >= stop_grace * MS_PER_S + CLOCK_RESOLUTION_MS

    def find_settled_at(self, stop_grace: float) -> float:
        """Return from when on a list shows that stops are settled."""
        settled_ms = self.first_listed_ms + stop_grace * MS_PER_S + CLOCK_RESOLUTION_MS
        left = (settled_ms - self.clock_sample_ms) / MS_PER_S
        return self.clock_sampled_at + left / MIN_CLOCK_RATE

    def note_earlier_deadline(self, run_lease: float) -> None:
        """Assume that an earlier leader has just set a deadline."""
        earlier = self.clock_sample_ms + int(run_lease * MS_PER_S)
        self.last_deadline_ms = max(self.last_deadline_ms, earlier)

    def find_lease_expiry(self) -> float:
        """Return when this incarnation has ended its runs without another poll."""
        left = max(0, self.last_deadline_ms - self.clock_sample_ms) / MS_PER_S
        expiry = self.clock_sampled_at + left / MIN_CLOCK_RATE + EXPIRY_MARGIN_S
        return max(expiry, self.earlier_deadlines_until)

    def note_end_ordered(self, now: float) -> None:
        """Note that its instance is ordered into maintenance or another pool."""
        self.is_end_ordered = True
        self.end_ordered_at = now

    def require_fence(self) -> None:
        """Order no more starts until a poll with a higher token has been answered."""
        self.needs_fence = True
        self.raise_token()
        self.fence_counter = self.counter

    def reset_incarnation(self) -> None:
        """Forget what only its earlier incarnation has responded."""
        self.is_end_ordered = False
        self.require_fence()
        self.fenced_counter = 0
        self.acknowledged = 0
        self.forgotten = 0
        self.last_listed_end = 0
        self.first_listed_ms = 0
        self.listed_ms = 0
        self.clock_sample_ms = 0
        self.last_deadline_ms = 0
        self.reputation.forget_speed()

    def raise_token(self) -> None:
        """Let all later orders have a higher token than those before."""
        self.counter += 1

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.task, run.number] = run
        self.used = add(self.used, run.need)
        self._unknown_needs += run.has_unknown_need

    def remove_run(self, run: Run) -> bool:
        """Remove a run and free its resources; return False if it was not present."""
        if self.runs.get((run.task, run.number)) is not run:
            return False
        del self.runs[run.task, run.number]
        self.used = subtract(self.used, run.need)
        self._unknown_needs -= run.has_unknown_need
        return True


class Usage:
    """Resources in use by each team over all endpoints.

    ``unknown`` holds what runs that are not known yet may use besides.
    """

    def __init__(self) -> None:
        self._by_team: dict[str, Resources] = {}
        self.unknown: Mapping[str, Resources] = {}

    def read(self, team: str) -> Resources:
        """Return the resources in use by a team."""
        return self._by_team.get(team, NO_RESOURCES)

    def estimate(self, team: str) -> Resources:
        """Return the most that a team may have in use."""
        return add(self.read(team), self.unknown.get(team, NO_RESOURCES))

    def list_teams(self) -> set[str]:
        """Return the teams that have used resources."""
        return set(self._by_team)

    def replace(self, team: str, total: Resources) -> None:
        """Set the resources in use by a team."""
        self._by_team[team] = total

    def charge(self, team: str, need: Resources) -> None:
        """Add a run to the usage of its team."""
        self._by_team[team] = add(self.read(team), need)

    def refund(self, team: str, need: Resources) -> None:
        """Subtract a run from the usage of its team."""
        self._by_team[team] = subtract(self.read(team), need)


def is_within(usage: Resources, need: Resources, maximum: Resources) -> bool:
    """Return whether a team stays within its limit; 0 means unlimited."""
    total = add(usage, need)
    return all(
        limit == 0 or part <= limit or wanted == 0
        for part, limit, wanted in zip(total, maximum, need, strict=True)
    )


def read_counter(token: int) -> int:
    """Return the counter in the low bits of a fencing token."""
    return token & ((1 << TOKEN_COUNTER_BITS) - 1)


class StopOrder(NamedTuple):
    """Stop a run at its endpoint; the reason is logged."""

    run: Run
    reason: str


class StartOrder(NamedTuple):
    """Start a run whose resources are reserved at its endpoint."""

    run: Run
    spec: str
    checkpoint: str


class PaceOrder(NamedTuple):
    """Throttle a best-effort run to a percentage of full speed."""

    run: Run
    percent: int
