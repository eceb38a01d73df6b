"""Who leads: a leased item tells that the leader lives, the term fences its writes.

The term item decides. A new leader raises it, after which no earlier leader can write.
The lease only tells the others when to try.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from briarshed.charts import advance, load_chart
from briarshed.events import (
    AUTHORITY_GAINED,
    AUTHORITY_LOST,
    LEADERSHIP_CHANGED,
)
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads.journal import (
    Journal,
    LeadershipLostError,
    LeaseLostError,
)
from briarshed_workloads.ports import (
    Committed,
    Item,
    NotExecutedError,
    OutcomeUnknownError,
    Put,
    Store,
)
from briarshed_workloads.records import (
    LEADER,
    TERM,
    EntryRecord,
    TermRecord,
    decode,
    encode,
)

LEASE_S = 1.5
"""Time to live of the leader's lease: what a crash of the leader costs at least."""

RENEW_S = 0.35
"""Interval of renewals; three may be lost before the lease ends."""

LEASE_MARGIN_S = 0.2
"""The leader stops this long before its lease can end; covers a late timer."""

RETRY_S = 0.25
"""Pause after a renewal that got no answer."""


async def read_leader(store: Store) -> EntryRecord | None:
    """Return the living leader, or None."""
    item = await store.read(LEADER)
    return decode(item.value, EntryRecord) if item else None


class LeaderTerm:
    """The time for which this entry leads.

    Parameters
    ----------
    store : Store
        Where lease and term are.
    me : EntryRecord
        This entry.
    journal : Journal
        Writes of this term.
    lease : int
        Lease of the leader item.
    confirmed_at : float
        When the lease was asked for, in seconds of the boot clock.
    may_go_on : callable
        Tells whether, while the store is away, no other entry can take over.
    """

    def __init__(
        self,
        store: Store,
        me: EntryRecord,
        journal: Journal,
        lease: int,
        confirmed_at: float,
        may_go_on: Callable[[], bool],
    ) -> None:
        self.journal = journal
        self.epoch = journal.term.epoch
        self.state = advance(load_chart("leadership"), "following", "acquire")
        self.is_store_failing = False
        self._store = store
        self._me = me
        self._lease = lease
        self._may_go_on = may_go_on
        self._authority_until = confirmed_at + LEASE_S - LEASE_MARGIN_S
        self.lost = asyncio.Event()

    def note_event(self, event: str, reason: str) -> None:
        """Advance the state and log it."""
        after = advance(load_chart("leadership"), self.state, event)
        log_event(
            LEADERSHIP_CHANGED,
            before=self.state,
            after=after,
            epoch=self.epoch,
            reason=reason,
        )
        self.state = after
        if after in ("following", "resigned"):
            self.lost.set()

    def has_authority(self) -> bool:
        """Tell whether orders may be given now.

        Without a valid lease another leader may have taken over, unless every other
        entry is known to be without the store too.
        """
        if self.state not in ("loading", "leading", "isolated"):
            return False
        if self.journal.is_lost:
            return False
        if clock.now() < self._authority_until:
            return True
        return self.is_store_failing and self._may_go_on()

    async def keep(self) -> None:
        """Renew the lease until the term ends."""
        while not self.lost.is_set():
            await asyncio.sleep(RENEW_S)
            had = self.has_authority()
            try:
                await self._renew()
            except (NotExecutedError, OutcomeUnknownError) as error:
                self.is_store_failing = True
                if self.state == "leading" and not self.has_authority():
                    self.note_event("isolate", str(error))
                    log_event(AUTHORITY_LOST, reason=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            except LeadershipLostError as error:
                self.note_event("lose", str(error))
                return
            self.is_store_failing = False
            if self.state == "isolated":
                self.note_event("rejoin", "lease renewed")
            if not had:
                log_event(AUTHORITY_GAINED, reason="lease renewed")

    async def _renew(self) -> None:
        sent_at = clock.now()
        if not await self._store.renew_lease(self._lease):
            if self.lost.is_set():
                # Ended by `resign`; a new lease would keep the others waiting.
                return
            # The lease ended while the store was away or this process stood still.
            # The term decides whether somebody else has led since.
            sent_at = clock.now()
            self._lease = await self._store.grant_lease(LEASE_S)
            try:
                await self.journal.commit([Put(LEADER, encode(self._me), self._lease)])
            except LeaseLostError as error:
                raise NotExecutedError(str(error)) from error
        self._authority_until = sent_at + LEASE_S - LEASE_MARGIN_S

    async def resign(self) -> None:
        """Give the leadership up, so that another entry can take it at once."""
        self.note_event("resign", "planned stop")
        try:
            await self._store.end_lease(self._lease)
        except (NotExecutedError, OutcomeUnknownError) as error:
            log_event(AUTHORITY_LOST, reason=f"lease left to lapse: {error}")


async def acquire(
    store: Store, me: EntryRecord, may_go_on: Callable[[], bool]
) -> LeaderTerm | None:
    """Try to begin a term; None if another entry leads or was faster.

    Raises
    ------
    NotExecutedError, OutcomeUnknownError
        If the store does not answer.
    """
    if await store.read(LEADER) is not None:
        return None
    standing = await store.read(TERM)
    term = _begin_term(standing, me)
    confirmed_at = clock.now()
    lease = await store.grant_lease(LEASE_S)
    conditions = [(LEADER, 0), (TERM, standing.revision if standing else 0)]
    puts = [Put(LEADER, encode(me), lease), Put(TERM, encode(term))]
    try:
        outcome = await store.commit(conditions, puts)
        if not isinstance(outcome, Committed):
            return None
        revision = outcome.revision
    except OutcomeUnknownError:
        item = await store.read(TERM)
        if item is None or decode(item.value, TermRecord) != term:
            return None
        revision = item.revision
    journal = Journal(store, term, revision)
    return LeaderTerm(store, me, journal, lease, confirmed_at, may_go_on)


def _begin_term(standing: Item | None, me: EntryRecord) -> TermRecord:
    last = decode(standing.value, TermRecord).epoch if standing else 0
    return TermRecord(last + 1, f"{me.name}/{me.incarnation}", 0)
