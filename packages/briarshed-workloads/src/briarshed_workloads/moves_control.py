"""Carries out moves of instances between pools during one term."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping
from functools import partial

from briarshed import events
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry
from briarshed_workloads.demand_forecast import Spell
from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import Endpoint
from briarshed_workloads.instance_orders import (
    FIRST_EPOCH,
    InstanceOrders,
    complete_all,
)
from briarshed_workloads.interfaces import Instances, Ordered, OutcomeUnknownError
from briarshed_workloads.leadership import LeaderTerm
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.records import SizesRecord
from briarshed_workloads.sizing import (
    ArrivalRate,
    Move,
    PoolDemand,
    measure_surplus,
    plan_moves,
)
from briarshed_workloads.standing_by import StandingBy
from briarshed_workloads.workloads import Instance

MOVE_COOLDOWN_S = 2.5
"""Time for which a moved instance gets no order; a move is visible after 1.5 s."""

WARM_UP_S = 6.0
"""Time before instances move in the first term, when the demand is not known yet."""

REJECTED_MOVE_RETRY_S = 30.0
"""Time after which a move that the platform has rejected as invalid is tried again; the
configuration may have changed."""


class InstanceMoves:
    """Decides on moves and orders them.

    Parameters
    ----------
    note_sizes : callable
        Records the sizes of the pools and the last moves with the next write.
    save_sizes : callable or None
        Records the same and returns once it is durable.
    orders : InstanceOrders
        Orders for instances that may still take effect.
    """

    def __init__(
        self,
        options: EntryOptions,
        term: LeaderTerm,
        instances: Instances,
        note_sizes: Callable[[SizesRecord], None],
        save_sizes: Callable[[SizesRecord], Awaitable[None]] | None,
        orders: InstanceOrders,
    ) -> None:
        self.sizes: dict[str, int] = {}
        self._options = options
        self._term = term
        self._api = instances
        self._note_sizes = note_sizes
        self._save_sizes = save_sizes
        self._orders = orders
        self._moved_at: dict[str, float] = {}
        self._rejected_at: dict[tuple[str, str], float] = {}
        self._rates: dict[str, ArrivalRate] = {}
        self._restored: SizesRecord | None = None
        self._standing_by: StandingBy | None = None
        self._releasing: set[str] = set()
        self._is_recorded = True
        first = term.epoch == FIRST_EPOCH
        self._moves_from = clock.now() + (WARM_UP_S if first else 0.0)

    def restore(self, record: SizesRecord) -> None:
        """Restore what an earlier leader has recorded."""
        self.sizes = record.sizes
        self._restored = record

    def note_submitted_work(self, pool: str, core_seconds: float) -> None:
        """Count core-seconds of work submitted to a pool."""
        self._rates.setdefault(pool, ArrivalRate()).add(core_seconds, clock.now())

    def has_moved_recently(self, instance: str, now: float) -> bool:
        """Return whether an instance was moved so recently that it gets no order."""
        return now - self._moved_at.get(instance, -math.inf) < MOVE_COOLDOWN_S

    def list_short_pools(
        self, engine: Engine, instances: Mapping[str, Instance], now: float
    ) -> set[str]:
        """Return the pools that are short of capacity."""
        surplus = measure_surplus(engine, instances, self._rates, now)
        return {pool for pool, rest in surplus.items() if rest < 0}

    async def run_once(
        self,
        engine: Engine,
        instances: dict[str, Instance],
        find_endpoint: Callable[[str], Endpoint | None],
        due: Collection[str],
        held: Collection[str],
        now: float,
    ) -> None:
        """Order the moves that are due.

        Parameters
        ----------
        find_endpoint : callable
            Returns the endpoint that runs on an instance, if it is known.
        due : collection of str
            Instances that are due for maintenance.
        held : collection of str
            Instances that must not be ordered yet.
        """
        if now < self._moves_from:
            return
        if not self.sizes:
            self.sizes = dict(Counter(row.pool for row in instances.values()))
        recent = {name for name in self._moved_at if self.has_moved_recently(name, now)}
        moves = plan_moves(
            engine,
            instances,
            self._rates,
            recent.union(due, held),
            self.sizes,
            now,
            partial(self._choose_floors, engine.to_unix_time(now) - now),
        )
        moves = [
            move
            for move in moves
            if now - self._rejected_at.get((move.instance, move.pool), -math.inf)
            >= REJECTED_MOVE_RETRY_S
        ]
        unix_now = engine.to_unix_time(now)
        if not moves:
            if not self._is_recorded:
                self._note_sizes(self._make_record(held, now, unix_now))
                self._is_recorded = True
            return
        self._moved_at.update({move.instance: now for move in moves})
        await self._record(self._make_record(held, now, unix_now))
        self._is_recorded = True
        await complete_all(
            self.carry_out(engine, instances, move)
            for move in moves
            if _is_idle(find_endpoint(move.instance))
        )

    def _choose_floors(
        self,
        unix_offset: float,
        demands: Mapping[str, PoolDemand],
        sizes: Mapping[str, int],
        now: float,
    ) -> dict[str, int]:
        """Return how many instances each pool has to have, and log changes."""
        if self._standing_by is None:
            # Nothing is known of the demand while the records are loaded.
            self._standing_by = self._begin_standing_by(now, unix_offset)
        before = self._standing_by.list_spells()
        floors = self._standing_by.choose_floors(demands, sizes, now)
        releasing = {pool for pool in floors if floors[pool] < sizes.get(pool, 0)}
        for pool in releasing - self._releasing:
            log_event(
                events.INSTANCES_RELEASED,
                pool=pool,
                floor=floors[pool],
                size=sizes[pool],
            )
            telemetry.count("own instances", "released")
        for pool in self._releasing - releasing:
            log_event(events.INSTANCES_RECALLED, pool=pool, size=sizes.get(pool, 0))
            telemetry.count("own instances", "recalled")
        self._releasing = releasing
        if self._standing_by.list_spells() != before:
            self._is_recorded = False
        return floors

    def _begin_standing_by(self, now: float, unix_offset: float) -> StandingBy:
        standing_by = StandingBy(now, self._options.site_limits.move)
        if self._restored is not None and self._restored.spells:
            spells = {
                pool: [_shift_spell(Spell(*row), -unix_offset) for row in rows]
                for pool, rows in self._restored.spells.items()
            }
            standing_by.restore(spells)
            known = standing_by.list_spells()
            log_event(events.SPELLS_RESTORED, pools=len(known))
        return standing_by

    def _make_record(
        self, held: Collection[str], now: float, unix_now: float
    ) -> SizesRecord:
        """Return the record of the sizes, the last moves, and the spells."""
        recent = self._orders.list_recent(self._moved_at, now)
        offset = unix_now - now
        spells = self._standing_by.list_spells() if self._standing_by else {}
        return SizesRecord(
            self.sizes,
            tuple(sorted({*recent, *held})),
            {
                pool: tuple(tuple(_shift_spell(row, offset)) for row in rows)
                for pool, rows in spells.items()
            },
        )

    async def _record(self, record: SizesRecord) -> None:
        """Record moves, so that the next leader waits with them.

        Where the platform refuses old orders, the moves do not wait for the write, so
        that a slow store does not delay them. A leader that is cut off from the store
        before the write cannot reach the platform either.
        """
        if self._orders.are_old_refused or self._save_sizes is None:
            self._note_sizes(record)
        else:
            await self._save_sizes(record)

    async def carry_out(
        self, engine: Engine, instances: dict[str, Instance], move: Move
    ) -> None:
        """Order a move, and note its outcome."""
        row = instances[move.instance]
        endpoint = engine.endpoints.get(row.endpoint)
        if endpoint is not None:
            # No run may start there between the decision and its effect.
            endpoint.require_fence()
            endpoint.note_end_ordered(clock.now())
        token = self._orders.next_token()
        try:
            outcome = await self._api.move(
                move.instance,
                move.pool,
                self._options.name,
                token,
                self._term.has_authority,
            )
        except OutcomeUnknownError:
            self._orders.note_unanswered(move.instance, clock.now())
            raise
        done = isinstance(outcome, Ordered)
        log_event(
            events.INSTANCE_MOVED,
            instance=move.instance,
            before=row.pool,
            after=move.pool,
            reason=move.reason,
            token=token,
            outcome="begun" if done else outcome.reason,
        )
        telemetry.count("moves", move.reason if done else outcome.reason)
        if done:
            if endpoint is not None:
                engine.note_replaced(endpoint, "moved")
            instances[move.instance] = row._replace(
                pool=move.pool, state="moving", endpoint=""
            )
            return
        if endpoint is not None:
            endpoint.is_end_ordered = False
        if outcome.reason == "invalid":
            self._rejected_at[move.instance, move.pool] = clock.now()


def _shift_spell(spell: Spell, seconds: float) -> Spell:
    """Return a spell in the seconds of another clock."""
    end = spell.ended_at
    return Spell(spell.started_at + seconds, None if end is None else end + seconds)


def _is_idle(endpoint: Endpoint | None) -> bool:
    """Return whether nothing runs at an endpoint, if there is one."""
    return endpoint is None or not endpoint.runs
