"""Orders for instances: maintenance waves and moves between pools."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import NamedTuple

from briarshed import events
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry
from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Endpoint
from briarshed_workloads.instance_orders import (
    InstanceOrders,
    complete_all,
)
from briarshed_workloads.interfaces import (
    Instances,
    NotExecutedError,
    Ordered,
    OutcomeUnknownError,
)
from briarshed_workloads.leadership import LeaderTerm
from briarshed_workloads.moves_control import InstanceMoves
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.records import SizesRecord, WaveRecord
from briarshed_workloads.shortage import measure_incoming
from briarshed_workloads.takeover import note_ended
from briarshed_workloads.workloads import Instance, WaveOrder

STEP_INTERVAL_S = 0.15
"""Interval between decisions."""

LIST_INTERVAL_S = 0.9
"""Interval between reads of the instance list; each page is billed."""

GONE_AFTER_S = 3.0
"""Time for which all lists must lack an instance until it counts as gone. The pages of
a list are no snapshot, so that one list may lack an instance that exists."""

URGENT_SHARE = 0.2
"""Share of a wave's time limit; in this last part, tasks without checkpoints are
evicted too."""

DRAIN_S = 3.0
"""Time in which an instance without new runs is drained; covers most tasks."""

ORDER_RETRY_INTERVAL_S = 0.5
"""Interval after which an instance order that had no effect is repeated."""


LATE_ORDER_S = 10.0
"""Time after which an instance order without a response is not executed any more. An
endpoint that responds later than this has not been ended by the order."""

MAX_LIST_AGE_S = 3.0
"""Age of the instance list from which on only endpoints whose order may be on its way
are kept drained: no further instance can be ordered."""


class WaveView(NamedTuple):
    """An open wave: its order and its progress.

    ``seen_at`` is when a leader first read the order, ``begun`` names the instances
    whose maintenance has begun, and ``ordered_at`` holds the times of their orders;
    orders of earlier leaders have no time. ``unanswered`` names the instances whose
    order may take effect, since no response to it is known. ``gone`` names the
    instances that no longer exist. Times are seconds of the boot clock.
    """

    order: WaveOrder
    seen_at: float
    begun: set[str]
    ordered_at: dict[str, float]
    unanswered: set[str]
    gone: frozenset[str] = frozenset()


class Candidate(NamedTuple):
    """An instance that is due, with the endpoint that runs on it, if known."""

    instance: Instance
    endpoint: Endpoint | None


def choose_next(
    view: WaveView,
    instances: dict[str, Instance],
    find_endpoint: Callable[[str], Endpoint | None],
    short_pools: Collection[str],
    round_s: float,
    now: float,
) -> list[Candidate]:
    """Return the instances to drain now, at most the wave's maximum at a time.

    Instances that are down for the wave count against the maximum, and so do those that
    have begun and are not listed. Instances whose order has no response yet keep their
    place. Those with long-running tasks come next, as many as the outage budget of a
    step allows and one more: they can only be drained one after the other. The others
    follow, ordered by their number of runs. While there is time, they wait if their
    pool is short of capacity, since its demand subsides.

    Parameters
    ----------
    find_endpoint : callable
        Returns the endpoint that runs on an instance, if it is known.
    short_pools : collection of str
        Pools that are short of capacity.
    round_s : float
        Time to drain and maintain instances up to the maximum, in seconds.
    """
    order = view.order
    down = sum(
        instances[name].state == "maintenance"
        if name in instances
        else name in view.begun | view.unanswered and name not in view.gone
        for name in order.instances
    )
    pending = [
        name
        for name in order.instances
        if name in instances
        and name not in view.begun
        and instances[name].state == "up"
    ]
    candidates = [Candidate(instances[name], find_endpoint(name)) for name in pending]
    rounds = math.ceil(len(pending) / max(1, order.maximum))
    time_left = view.seen_at + order.duration * (1 - URGENT_SHARE) - now
    ranks = _rank_candidates(candidates)
    if time_left > rounds * round_s:
        candidates = [
            row
            for row in candidates
            if row.instance.instance in view.unanswered
            or ranks[row.instance.instance] <= ONE_BY_ONE
            or (
                ranks[row.instance.instance] == IN_ANY_ORDER
                and row.instance.pool not in short_pools
            )
        ]
    candidates.sort(
        key=lambda row: (
            row.instance.instance not in view.unanswered,
            ranks[row.instance.instance],
            _count_runs(row),
        )
    )
    return candidates[: max(0, order.maximum - down)]


BEGUN, ONE_BY_ONE, IN_ANY_ORDER, WAITING = 0, 1, 2, 3
"""Ranks of instances to drain: those that are being drained, those with long-running
tasks that are next, those without such tasks, and those whose tasks must wait."""

NEXT_IN_LINE = 1
"""Instances beyond the outage budget of a step that are drained of other runs ahead of
time, so that only their long-running tasks are left when their turn comes."""


def _rank_candidates(candidates: Sequence[Candidate]) -> dict[str, int]:
    """Return the rank of each instance."""
    ranks: dict[str, int] = {}
    draining: Counter[tuple[str, int, int]] = Counter()
    for row in sorted(candidates, key=lambda row: not _is_evicting(row)):
        budgets = _list_budgets(row)
        if _is_evicting(row):
            rank = BEGUN
        elif not budgets:
            rank = IN_ANY_ORDER
        elif all(
            draining[step] < max(1, most) + NEXT_IN_LINE
            for step, most in budgets.items()
        ):
            rank = ONE_BY_ONE
        else:
            rank = WAITING
        if rank <= ONE_BY_ONE:
            draining.update(budgets.keys())
        ranks[row.instance.instance] = rank
    return ranks


def _list_budgets(candidate: Candidate) -> dict[tuple[str, int, int], int]:
    """Return the outage budget of each long-running step with a task there."""
    if candidate.endpoint is None:
        return {}
    return {
        run.task[:3]: run.step.outage_budget
        for run in candidate.endpoint.runs.values()
        if run.step.long_running and run.step.outage_budget >= 0
    }


def _is_evicting(candidate: Candidate) -> bool:
    return candidate.endpoint is not None and candidate.endpoint.evicting


def _count_runs(candidate: Candidate) -> int:
    return len(candidate.endpoint.runs) if candidate.endpoint else 0


class Maintenance:
    """Carries out maintenance waves and moves of instances during one term.

    Parameters
    ----------
    options : EntryOptions
        Settings of this entry.
    term : LeaderTerm
        Term in which the orders are given.
    engine : Engine
        State of the endpoints and their runs.
    instances : Instances
        Calls to the platform.
    save : callable
        Records the progress of a wave and returns once it is durable.
    note_sizes : callable
        Records the sizes of the pools and the last moves with the next write.
    save_sizes : callable, optional
        Records the same and returns once it is durable.
    """

    def __init__(
        self,
        options: EntryOptions,
        term: LeaderTerm,
        engine: Engine,
        instances: Instances,
        save: Callable[[int, WaveRecord], Awaitable[None]],
        note_sizes: Callable[[SizesRecord], None],
        save_sizes: Callable[[SizesRecord], Awaitable[None]] | None = None,
    ) -> None:
        self.waves: dict[int, WaveView] = {}
        self.closed: set[int] = set()
        self._restored: dict[int, WaveRecord] = {}
        self.instances: dict[str, Instance] = {}
        self._options = options
        self._term = term
        self._engine = engine
        self._api = instances
        self._save = save
        self._orders = InstanceOrders(term.epoch, options.site_limits, clock.now())
        self.moves = InstanceMoves(
            options, term, instances, note_sizes, save_sizes, self._orders
        )
        self._instance_list = telemetry.Dependency("instance list")
        self._listed_at = -math.inf
        self._missing_since: dict[str, float] = {}

    def restore(self, wave: int, record: WaveRecord) -> None:
        """Restore the progress of a wave under earlier leaders."""
        self._restored[wave] = record
        self._orders.restore(record.ordered)
        if record.is_completed:
            self.closed.add(wave)
            self.waves.pop(wave, None)
        elif wave in self.waves:
            self.waves[wave] = self._open(self.waves[wave].order)

    def restore_sizes(self, record: SizesRecord) -> None:
        """Restore the sizes of the pools and the last moves of an earlier leader."""
        self.moves.restore(record)
        self._orders.restore(record.moved)

    def note_unreadable_orders(self) -> None:
        """Note that any instance may have been ordered by an earlier leader."""
        self._orders.note_unreadable()

    def _list_held(self, now: float) -> set[str]:
        """Return the instances that must not be ordered yet."""
        return self._orders.list_held(self.instances, now)

    def _find_seen_at(self, order: WaveOrder) -> float:
        """Return when a leader first read a wave, in seconds of the boot clock."""
        known = self._restored.get(order.wave)
        age = clock.read_unix_time() - known.seen_at if known and known.seen_at else 0.0
        # Wall-clock time may jump and differs between entries.
        return clock.now() - min(max(0.0, age), order.duration)

    def set_waves(self, orders: Sequence[WaveOrder]) -> None:
        """Apply the operator's orders for waves."""
        for order in orders:
            if order.wave not in self.waves and order.wave not in self.closed:
                self.waves[order.wave] = self._open(order)
                log_event(
                    events.WAVE_STARTED, wave=order.wave, count=len(order.instances)
                )

    def _open(self, order: WaveOrder) -> WaveView:
        """Return a wave with its progress under earlier leaders."""
        known = self._restored.get(order.wave, WaveRecord((), False))
        return WaveView(
            order,
            self._find_seen_at(order),
            set(known.begun),
            dict.fromkeys(known.ordered, -math.inf),
            set(known.ordered) - set(known.begun),
        )

    def is_urgent(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's instance must not wait for its runs to end."""
        now = clock.now()
        return any(
            now - view.seen_at > view.order.duration * (1 - URGENT_SHARE)
            for view in self.waves.values()
            if endpoint.registration.instance in view.order.instances
        )

    def note_submitted_work(self, pool: str, core_seconds: float) -> None:
        """Count core-seconds of work submitted to a pool."""
        self.moves.note_submitted_work(pool, core_seconds)

    async def run(self) -> None:
        """Carry out waves and moves until the term ends."""
        while True:
            await self.run_once(clock.now())
            await asyncio.sleep(STEP_INTERVAL_S)

    async def run_once(self, now: float) -> None:
        """Give the orders that are due."""
        if not self._term.has_authority():
            return
        try:
            await self._step(now)
            self._instance_list.note_working()
        except (NotExecutedError, OutcomeUnknownError) as error:
            self._instance_list.note_failing(str(error))

    async def _step(self, now: float) -> None:
        self._clear_refuted_marks()
        if now - self._listed_at >= LIST_INTERVAL_S:
            try:
                await self._read_instances()
            except (NotExecutedError, OutcomeUnknownError):
                if now - self._listed_at >= MAX_LIST_AGE_S:
                    self._mark_evicting(self._list_unanswered())
                raise
        chosen = {
            number: self._choose_next(view, now)
            for number, view in list(self.waves.items())
        }
        # The marks of all waves are replaced in each step, so that none outlives its
        # order, its wave or the incarnation that was drained.
        self._mark_evicting(
            {row.instance.instance for rows in chosen.values() for row in rows}
        )
        for number, rows in chosen.items():
            await self._advance(self.waves[number], rows, now)
        evacuated = self._engine.evacuated
        self._engine.incoming = measure_incoming(
            row
            for row in self.instances.values()
            if not evacuated.is_evacuated(row.data_centre)
        )
        due = {
            name
            for view in self.waves.values()
            for name in view.order.instances
            if name not in view.begun
        }
        held = self._list_held(now)
        await self.moves.run_once(
            self._engine, self.instances, self._find_endpoint, due, held, now
        )

    def _list_short_pools(self, now: float) -> set[str]:
        """Return the pools that are short of capacity."""
        return self.moves.list_short_pools(self._engine, self.instances, now)

    async def _read_instances(self) -> None:
        sent_at = clock.now()
        rows = await self._api.read_instances()
        self._listed_at = clock.now()
        self.instances = {row.instance: row for row in rows}
        for name in self.instances.keys() & self._missing_since.keys():
            del self._missing_since[name]
        self._note_ended_endpoints(sent_at)

    def _note_ended_endpoints(self, sent_at: float) -> None:
        """Note the endpoints without an instance that runs them.

        The list tells nothing of one that was not known when it was requested.
        """
        for endpoint in self._engine.endpoints.values():
            name = endpoint.registration.instance
            if not name or endpoint.known_since >= sent_at:
                continue
            row = self.instances.get(name)
            if row is None and self._is_missing(name):
                note_ended(self._engine, endpoint, "missing")
            elif row is not None and row.endpoint != endpoint.name:
                state = "in use by another" if row.state == "up" else row.state
                note_ended(self._engine, endpoint, state)

    def _is_missing(self, name: str) -> bool:
        """Return whether all lists of the last seconds lack an instance."""
        if name in self.instances:
            return False
        missing_since = self._missing_since.setdefault(name, self._listed_at)
        return self._listed_at - missing_since >= GONE_AFTER_S

    def _is_gone(self, name: str) -> bool:
        """Return whether an instance is known to exist no longer."""
        return self._is_missing(name) and not any(
            endpoint.registration.instance == name
            and endpoint.is_listed
            and not endpoint.is_gone
            for endpoint in self._engine.endpoints.values()
        )

    def _clear_refuted_marks(self) -> None:
        """Note which endpoints have responded long after an order to end them.

        Their crash would otherwise never count as evidence against a task.
        """
        for endpoint in self._engine.endpoints.values():
            is_refuted = endpoint.answered_at > endpoint.end_ordered_at + LATE_ORDER_S
            if endpoint.is_end_ordered and is_refuted:
                endpoint.is_end_ordered = False

    def _list_unanswered(self) -> set[str]:
        """Return the instances whose maintenance may begin at any time."""
        return {name for view in self.waves.values() for name in view.unanswered}

    def _mark_evicting(self, names: Collection[str]) -> None:
        """Drain the endpoints on these instances, and no others."""
        for endpoint in self._engine.endpoints.values():
            endpoint.evicting = endpoint.registration.instance in names

    def _choose_next(self, view: WaveView, now: float) -> list[Candidate]:
        """Return the instances of a wave to drain now."""
        order = view.order
        gone = frozenset(name for name in order.instances if self._is_gone(name))
        self.waves[order.wave] = view._replace(gone=gone)
        return choose_next(
            self.waves[order.wave],
            self.instances,
            self._find_endpoint,
            self._list_short_pools(now),
            self._options.site_limits.maintenance + DRAIN_S,
            now,
        )

    async def _advance(
        self, view: WaveView, chosen: Sequence[Candidate], now: float
    ) -> None:
        """Order the drained instances of a wave, and close it if all have begun."""
        order = view.order
        # It may be down for another wave: only the response to an order counts.
        if view.gone.issuperset(set(order.instances) - view.begun):
            await self._close(view)
            return
        due = [row for row in chosen if self._is_due(view, row, now)]
        due += self._list_repeatable(view, now)
        if not due:
            return
        # Recorded first, since the next leader waits the lease time only for these.
        view.ordered_at.update({row.instance.instance: now for row in due})
        await self._save_progress(view)
        await complete_all(self._order(view, row) for row in due)
        await self._save_progress(view)

    def _list_repeatable(self, view: WaveView, now: float) -> list[Candidate]:
        """Return the instances in maintenance whose order has no response.

        Nothing runs there. Once the order is known to have begun, the endpoint that
        comes up is not drained for a repeated one.
        """
        return [
            Candidate(self.instances[name], None)
            for name in sorted(view.unanswered)
            if name in self.instances
            and self.instances[name].state == "maintenance"
            and name not in self._list_held(now)
            and now - view.ordered_at.get(name, 0.0) >= ORDER_RETRY_INTERVAL_S
        ]

    def _is_due(self, view: WaveView, row: Candidate, now: float) -> bool:
        """Return whether an instance is drained and this leader may order it now."""
        name = row.instance.instance
        if now - view.ordered_at.get(name, 0.0) < ORDER_RETRY_INTERVAL_S:
            return False
        if name in self._list_held(now):
            return False
        has_moved = self.moves.has_moved_recently(name, now)
        return not has_moved and self._is_known_drained(row, now)

    def _is_known_drained(self, row: Candidate, now: float) -> bool:
        """Return whether an instance is known to have no runs.

        An endpoint that this leader has not polled yet may have runs of an earlier one,
        and one that has more ends to list may have successes that nobody has noted.
        """
        if row.endpoint is None:
            may_have_earlier_runs = self._engine.earlier.may_have_runs(now)
            return not row.instance.endpoint or not may_have_earlier_runs
        if (
            now < self._engine.earlier.find_runs_end(row.endpoint)
            and not row.endpoint.fenced_counter
        ):
            return False
        return not row.endpoint.runs and row.endpoint not in self._engine.partly_listed

    async def _save_progress(self, view: WaveView) -> None:
        seen_at = clock.read_unix_time() - (clock.now() - view.seen_at)
        record = WaveRecord(tuple(view.begun), False, tuple(view.ordered_at), seen_at)
        await self._save(view.order.wave, record)

    def _find_endpoint(self, instance: str) -> Endpoint | None:
        """Return the endpoint that runs on an instance, if it is known.

        The list may be older than the registration of the endpoint.
        """
        row = self.instances.get(instance)
        if row is None:
            return None
        found = self._engine.endpoints.get(row.endpoint) if row.endpoint else None
        if found is not None and not found.registration.instance:
            found.registration = found.registration._replace(instance=instance)
        if found is not None and not found.is_gone:
            return found
        registered = (
            endpoint
            for endpoint in self._engine.endpoints.values()
            if endpoint.registration.instance == instance and not endpoint.is_gone
        )
        return next(registered, found)

    async def _order(self, view: WaveView, row: Candidate) -> None:
        name = row.instance.instance
        token = self._orders.next_token()
        is_repeated = name in view.unanswered
        view.unanswered.add(name)
        if row.endpoint is not None:
            row.endpoint.note_end_ordered(clock.now())
        try:
            outcome = await self._api.maintain(
                name,
                view.order.wave,
                self._options.name,
                token,
                self._term.has_authority,
            )
        except NotExecutedError:
            if not is_repeated:
                view.unanswered.discard(name)
            raise
        except OutcomeUnknownError:
            self._orders.note_unanswered(name, clock.now())
            raise
        done = isinstance(outcome, Ordered)
        if done or not (is_repeated and outcome.reason == "busy"):
            # Otherwise the order without a response may be why the instance is busy.
            view.unanswered.discard(name)
        log_event(
            events.MAINTENANCE_ORDERED,
            wave=view.order.wave,
            instance=name,
            token=token,
            outcome="begun" if done else outcome.reason,
        )
        if done or outcome.reason == "wave":
            self._note_begun(view, name)
        if row.endpoint is not None and not done:
            row.endpoint.is_end_ordered = False
        if done and row.endpoint is not None:
            # The call also succeeds if an earlier leader's order was carried out. Then
            # this endpoint is still running, which its next poll shows.
            row.endpoint.require_fence()

    def _note_begun(self, view: WaveView, name: str) -> None:
        view.begun.add(name)
        row = self.instances.get(name)
        if row is not None and row.state == "up":
            self.instances[name] = row._replace(state="maintenance")

    async def _close(self, view: WaveView) -> None:
        wave = view.order.wave
        # The next leader may have another order for an instance of this wave.
        recent = self._orders.list_recent(view.ordered_at, clock.now())
        await self._save(wave, WaveRecord(tuple(view.begun), True, recent))
        del self.waves[wave]
        self.closed.add(wave)
        log_event(events.WAVE_DONE, wave=wave)
