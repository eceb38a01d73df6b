"""Follows the operator's orders, which an entry reads unless the leader sends them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping

from briarshed import events
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads import telemetry
from briarshed_workloads.evacuation import (
    EvacuationChange,
    Evacuations,
    is_everything_evacuated,
    list_unknown,
)
from briarshed_workloads.interfaces import Directory, HistoryLostError, Orders

WATCH_WAIT_S = 0.7
"""How long a watch of the operator's orders waits. A watch can hang or miss changes,
and a configuration must be in force in all entries within 2 s."""

LEADER_CHECK_S = 0.1
"""Interval of checking whether the leader still sends this entry updates."""

EVACUATION_READ_S = 2.0
"""Interval of reading all evacuations, so that one whose change a watch has missed is
known within half of the 5 s that operators allow. Calls to the store are billed."""


class OrderWatch:
    """Follows the operator's orders.

    Parameters
    ----------
    directory : Directory
        Where the operator writes.
    data_centres : collection of str
        Data centres that the settings name.
    is_updated_by_leader : callable
        Tells whether the leader sends this entry what changes. A watch would transfer
        it a second time, and a large configuration saturates a small instance's link.
    apply : callable
        Applies configuration and waves.

    Attributes
    ----------
    evacuations : Evacuations
        The evacuated data centres as read by this entry.
    """

    def __init__(
        self,
        directory: Directory,
        data_centres: Collection[str],
        is_updated_by_leader: Callable[[], bool],
        apply: Callable[[Orders], None],
    ) -> None:
        self.evacuations = Evacuations()
        self._directory = directory
        self._data_centres = data_centres
        self._is_updated_by_leader = is_updated_by_leader
        self._apply = apply
        self._published: dict[str, float] = {}

    async def follow(self) -> None:
        """Follow the orders until cancelled or until a call fails."""
        while True:
            if self._is_updated_by_leader():
                self._publish(self.evacuations.reported)
                await asyncio.sleep(LEADER_CHECK_S)
                continue
            # Read first and by itself: a large configuration may not arrive in time.
            await self._read_evacuations()
            orders = await self.read()
            while not self._is_updated_by_leader():
                if clock.now() - self.evacuations.read_at >= EVACUATION_READ_S:
                    await self._read_evacuations()
                try:
                    # A watch may miss a change and still respond, so the next one
                    # starts after the last change that was received.
                    orders = await self._directory.watch_orders(
                        orders.revision, WATCH_WAIT_S
                    )
                except HistoryLostError:
                    break
                self.apply(orders)

    async def read(self) -> Orders:
        """Read and apply all orders that stand."""
        sent_at = clock.now()
        orders = await self._directory.read_orders()
        self.apply(orders)
        self.evacuations.read_at = max(self.evacuations.read_at, sent_at)
        return orders

    async def _read_evacuations(self) -> None:
        sent_at = clock.now()
        self.apply(await self._directory.read_evacuations())
        self.evacuations.read_at = max(self.evacuations.read_at, sent_at)

    def apply(self, orders: Orders) -> None:
        """Apply orders; evacuations come first, since others may fail."""
        unix_now = clock.read_unix_time()
        if orders.evacuations_at:
            changes = self.evacuations.note_complete(
                orders.evacuations, orders.evacuations_at, unix_now
            )
        else:
            changes = self.evacuations.note_changes(orders.evacuations, unix_now)
        if changes:
            self._report(changes)
        self._publish(self.evacuations.to_report())
        self._apply(orders)

    def _report(self, changes: Iterable[EvacuationChange]) -> None:
        known = self.evacuations
        for change in changes:
            event = (
                events.DATA_CENTRE_EVACUATED
                if change.is_evacuated
                else events.DATA_CENTRE_RETURNED
            )
            log_event(event, data_centre=change.data_centre, source="store")
        evacuated = {row.data_centre for row in changes if row.is_evacuated}
        for name in evacuated.intersection(list_unknown(known, self._data_centres)):
            log_event(
                events.EVACUATION_UNKNOWN,
                data_centre=name,
                known=", ".join(self._data_centres),
            )
        if evacuated and is_everything_evacuated(known, self._data_centres):
            log_event(events.EVERYTHING_EVACUATED, count=len(self._data_centres))

    def note_reported(self, reported: Mapping[str, float]) -> None:
        """Note what the leader reports, for operators' view at this entry.

        It decides nothing here: an entry that takes the leadership reads the orders.
        """
        known = self.evacuations
        if known.reported == reported:
            return
        views = {view.data_centre for view in known.list_views()}
        for name in reported.keys() - known.reported.keys() - views:
            log_event(events.DATA_CENTRE_EVACUATED, data_centre=name, source="leader")
        for name in known.reported.keys() - reported.keys():
            log_event(events.DATA_CENTRE_RETURNED, data_centre=name, source="leader")
        known.reported = dict(reported)

    def _publish(self, since: dict[str, float]) -> None:
        """Update the metrics with the evacuated data centres."""
        if since != self._published:
            self._published = since
            telemetry.set_evacuated(since)
