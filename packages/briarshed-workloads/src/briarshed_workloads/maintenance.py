"""Waves of maintenance that the operator orders: empty an instance, hand it over."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from briarshed import events
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads.engine import Engine
from briarshed_workloads.fleet import TOKEN_COUNTER_BITS, Endpoint
from briarshed_workloads.leadership import Reign
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.ports import (
    Instances,
    NotExecutedError,
    Ordered,
    OutcomeUnknownError,
)
from briarshed_workloads.records import WaveRecord
from briarshed_workloads.workloads import Instance, WaveOrder

STEP_S = 0.3
"""Interval of decisions while a wave is open."""

LIST_S = 0.9
"""Interval of reading the instance list while a wave is open; each page is priced."""

URGENT_SHARE = 0.2
"""Share of a wave's time left at which work that does not save is interrupted too."""

ORDER_RETRY_S = 0.5
"""Pause before an instance order without effect is repeated."""


class WaveView(NamedTuple):
    """An open wave: its order, when it was seen, and which instances have begun."""

    order: WaveOrder
    seen_at: float
    begun: set[str]
    ordered_at: dict[str, float]


class Candidate(NamedTuple):
    """An instance that is due, with the endpoint that lives on it, if known."""

    instance: Instance
    endpoint: Endpoint | None


def choose_next(
    view: WaveView,
    instances: dict[str, Instance],
    find_endpoint: Callable[[str], Endpoint | None],
    now: float,
) -> list[Candidate]:
    """Return the instances to empty now, at most the wave's maximum together.

    Instances that are down for the wave, or whose order has no answer yet, count
    against the maximum. Those without work come first, then those with the least.
    """
    order = view.order
    down = sum(
        name in instances and instances[name].state == "maintenance"
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
    candidates.sort(key=lambda row: (not _is_evacuating(row), _count_work(row)))
    return candidates[: max(0, order.maximum - down)]


def _is_evacuating(candidate: Candidate) -> bool:
    return candidate.endpoint is not None and candidate.endpoint.evacuating


def _count_work(candidate: Candidate) -> int:
    return len(candidate.endpoint.runs) if candidate.endpoint else 0


class Maintenance:
    """Carries the open waves out under one reign."""

    def __init__(
        self,
        options: EntryOptions,
        reign: Reign,
        engine: Engine,
        instances: Instances,
        save: Callable[[int, WaveRecord], Awaitable[None]],
    ) -> None:
        self.waves: dict[int, WaveView] = {}
        self.closed: set[int] = set()
        self._restored: dict[int, WaveRecord] = {}
        self.instances: dict[str, Instance] = {}
        self._options = options
        self._reign = reign
        self._engine = engine
        self._calls = instances
        self._save = save
        self._listed_at = 0.0
        self._counter = 0
        self._wanted = asyncio.Event()

    def restore(self, wave: int, record: WaveRecord) -> None:
        """Take over how far an earlier leader came with a wave."""
        self._restored[wave] = record
        if record.is_completed:
            self.closed.add(wave)

    def set_waves(self, orders: Sequence[WaveOrder]) -> None:
        """Take over the operator's waves."""
        for order in orders:
            if order.wave not in self.waves and order.wave not in self.closed:
                known = self._restored.get(order.wave)
                begun = set(known.begun) if known else set()
                view = WaveView(order, clock.now(), begun, {})
                self.waves[order.wave] = view
                log_event(
                    events.WAVE_STARTED, wave=order.wave, count=len(order.instances)
                )
                self._wanted.set()

    def is_urgent(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint's instance must not wait for its work any more."""
        now = clock.now()
        return any(
            now - view.seen_at > view.order.duration * (1 - URGENT_SHARE)
            for view in self.waves.values()
            if endpoint.observed.instance in view.order.instances
        )

    async def run(self) -> None:
        """Work on open waves until the reign ends."""
        while True:
            if not self.waves:
                self._wanted.clear()
                await self._wanted.wait()
            if self._reign.has_authority():
                await self._step()
            await asyncio.sleep(STEP_S)

    async def _step(self) -> None:
        now = clock.now()
        if now - self._listed_at >= LIST_S:
            try:
                await self._read_instances()
            except (NotExecutedError, OutcomeUnknownError) as error:
                log_event(events.PLATFORM_FAILING, error=str(error))
                return
        for view in list(self.waves.values()):
            await self._advance(view, now)

    async def _read_instances(self) -> None:
        rows = await self._calls.read_instances()
        self._listed_at = clock.now()
        self.instances = {row.instance: row for row in rows}

    async def _advance(self, view: WaveView, now: float) -> None:
        order = view.order
        for name in order.instances:
            row = self.instances.get(name)
            if row is not None and row.state == "maintenance":
                await self._note_begun(view, name)
        left = [
            name
            for name in order.instances
            if name in self.instances and name not in view.begun
        ]
        if not left:
            await self._close(view)
            return
        chosen = choose_next(view, self.instances, self._find_endpoint, now)
        names = {row.instance.instance for row in chosen}
        for endpoint in self._engine.endpoints.values():
            instance = endpoint.observed.instance
            if instance in order.instances:
                endpoint.evacuating = instance in names
        await asyncio.gather(*(self._try_order(view, row, now) for row in chosen))

    def _find_endpoint(self, instance: str) -> Endpoint | None:
        row = self.instances.get(instance)
        if row is None:
            return None
        found = self._engine.endpoints.get(row.endpoint) if row.endpoint else None
        if found is not None and not found.observed.instance:
            found.observed = found.observed._replace(instance=instance)
        return found

    async def _try_order(self, view: WaveView, row: Candidate, now: float) -> None:
        name = row.instance.instance
        if now - view.ordered_at.get(name, 0.0) < ORDER_RETRY_S:
            return
        if row.endpoint is not None and row.endpoint.runs:
            return
        view.ordered_at[name] = now
        self._counter += 1
        token = (self._reign.epoch << TOKEN_COUNTER_BITS) | self._counter
        try:
            outcome = await self._calls.maintain(
                name, view.order.wave, self._options.name, token
            )
        except (NotExecutedError, OutcomeUnknownError) as error:
            log_event(events.PLATFORM_FAILING, error=str(error))
            return
        done = isinstance(outcome, Ordered)
        log_event(
            events.MAINTENANCE_ORDERED,
            wave=view.order.wave,
            instance=name,
            token=token,
            outcome="begun" if done else outcome.reason,
        )
        if done or outcome.reason == "wave":
            await self._note_begun(view, name)
        if done and row.endpoint is not None:
            # The call also succeeds if an earlier leader's order was carried out; then
            # this endpoint lives, and its next look will tell.
            row.endpoint.require_fence()

    async def _note_begun(self, view: WaveView, name: str) -> None:
        if name in view.begun:
            return
        view.begun.add(name)
        row = self.instances.get(name)
        if row is not None and row.state == "up":
            self.instances[name] = row._replace(state="maintenance")
        await self._save(view.order.wave, WaveRecord(tuple(view.begun), False))

    async def _close(self, view: WaveView) -> None:
        wave = view.order.wave
        await self._save(wave, WaveRecord(tuple(view.begun), True))
        del self.waves[wave]
        self.closed.add(wave)
        log_event(events.WAVE_DONE, wave=wave)
