"""Leader election: a leased item names the leader, and the term item fences its writes.

The term item decides who leads: a new leader raises the epoch in it, after which no
earlier leader can write. The lease only shows the other entries when to try.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import NamedTuple

from briarshed.charts import advance, load_chart
from briarshed.events import (
    AUTHORITY_CHANGED,
    AUTHORITY_GAINED,
    AUTHORITY_LOST,
    LEADERSHIP_CHANGED,
    MEMBERS_CHANGED,
    RECORD_UNREADABLE,
)
from briarshed.exceptions import DocumentError
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads.consent import (
    CONSENT_TTL_S,
    MAX_EARLIER_TERM_S,
    NON_MEMBER_DELAY_S,
)
from briarshed_workloads.fenced_writer import (
    FencedWriter,
    LeadershipLostError,
    LeaseLostError,
)
from briarshed_workloads.interfaces import (
    Committed,
    Item,
    NotExecutedError,
    OutcomeUnknownError,
    Put,
    Store,
)
from briarshed_workloads.options import EntryOptions
from briarshed_workloads.records import (
    LEADER,
    MEMBERS,
    TERM,
    EntryRecord,
    MembersRecord,
    TermRecord,
    decode,
    encode,
)
from briarshed_workloads.supervision import report_error

ELECTION_DELAY_S = 0.6
"""Longest time that an entry with few resources leaves a vacant leadership to others;
an entry with enough takes it within `ELECTION_INTERVAL_S` and four store calls."""

MAX_ATTEMPTS_PER_S = 300
"""Attempts of all entries together to take a vacant leadership, in a second. An attempt
costs the store up to five reads and two writes."""

ELECTION_INTERVAL_S = 0.15
"""Interval of reading the store while there is no leader."""

FULL_STRENGTH_CORES = 2.0
FULL_STRENGTH_LINK_MBPS = 100.0
"""An entry with these resources can lead a fleet of four times the current size."""

LEASE_TTL_S = 1.2
"""Time to live of the leader's lease; after a crash nobody can lead before it ends."""

RENEWAL_INTERVAL_S = 0.25
"""Interval of renewals. Each is sent on time, whether or not the last one has been
answered, so that the lease only ends after three unanswered renewals."""

LEASE_MARGIN_S = 0.2
"""The leader gives up its authority this long before its lease can end; covers timers
that fire late."""


RESIGN_TIMEOUT_S = 0.5
"""Time for the last write of a leader that resigns."""

LEASE, CONSENT, NOTHING = "lease", "consent of all members", "nothing"
"""What gives a leader its authority."""


def find_election_delay(options: EntryOptions) -> float:
    """Return how long an entry leaves the leadership to larger ones, in seconds."""
    strength = min(
        options.cores / FULL_STRENGTH_CORES,
        options.link_mbps / FULL_STRENGTH_LINK_MBPS,
        1.0,
    )
    return ELECTION_DELAY_S * (1.0 - strength)


def find_election_spread(entries: int) -> float:
    """Return the time over which the attempts of all entries to lead are spread.

    Parameters
    ----------
    entries : int
        Number of entries that may attempt it.

    Returns
    -------
    float
        Seconds; 0 if there are so few entries that each may attempt it at once.
    """
    spread = entries / MAX_ATTEMPTS_PER_S
    return spread if spread > ELECTION_INTERVAL_S else 0.0


async def count_members(store: Store) -> int:
    """Return how many entries may take the leadership at once, 0 if not recorded.

    Raises
    ------
    NotExecutedError, OutcomeUnknownError
        If the store does not respond.
    """
    return len(_decode_members(await store.read(MEMBERS)) or ())


class Authority(NamedTuple):
    """What gives a leader its authority, and for how many seconds."""

    basis: str
    seconds: float


class Vacancy(NamedTuple):
    """Time, in seconds of the boot clock, from which no entry is known to have led.

    The write that takes a lease changes the revision of the term.
    """

    term_revision: int
    since: float


async def read_leader(store: Store) -> EntryRecord | None:
    """Return the entry that holds the leader's lease, or None.

    If the item cannot be decoded, an entry without an address is returned: somebody
    holds the lease.
    """
    item = await store.read(LEADER)
    if item is None:
        return None
    try:
        return decode(item.value, EntryRecord)
    except DocumentError as error:
        log_event(RECORD_UNREADABLE, key=LEADER, error=str(error))
        return EntryRecord("unknown", "", "")


class LeaderTerm:
    """A term in which this entry leads.

    Parameters
    ----------
    store : Store
        Store that holds the lease and the term.
    entry : EntryRecord
        This entry.
    fenced_writer : FencedWriter
        Writes of this term.
    lease : int
        Lease of the leader item.
    vacant_at : float
        When the previous leader's lease was seen to have ended, in seconds of the boot
        clock.
    earlier_leader_until : float
        Until when an earlier leader may have authority by consent.
    confirmed_at : float
        When the lease was requested, in seconds of the boot clock.
    measure_consent : callable
        Called, while the store is unavailable, with the time at which the last renewal
        that succeeded was sent; returns for how many seconds no other entry can take
        over.
    members : frozenset of str or None
        Names of the entries that may take a vacant leadership at once, as read before
        the term; None if all may.

    Attributes
    ----------
    yields_from : float
        When this leader may resign because of unexpected errors, in seconds of the boot
        clock.
    has_yielded : bool
        Whether it has done so.
    store_back_at : float
        Time, in seconds of the boot clock, before which the store was last unavailable
        to all members, so that nobody could write to it; 0 if it never was.
    members : frozenset of str or None
        Names of all entries that may be members according to the store.
    """

    def __init__(
        self,
        store: Store,
        entry: EntryRecord,
        fenced_writer: FencedWriter,
        lease: int,
        vacant_at: float,
        confirmed_at: float,
        measure_consent: Callable[[float], float],
        members: frozenset[str] | None = None,
        earlier_leader_until: float = 0.0,
    ) -> None:
        self.members = members
        self.earlier_leader_until = earlier_leader_until
        self.fenced_writer = fenced_writer
        self.epoch = fenced_writer.term.epoch
        self.state = advance(load_chart("leadership"), "following", "acquire")
        self.is_store_failing = False
        self.vacant_at = vacant_at
        self._store = store
        self._entry = entry
        self._lease = lease
        self._measure_consent = measure_consent
        self._authority_until = confirmed_at + LEASE_TTL_S - LEASE_MARGIN_S
        self._renewed_from = confirmed_at
        self._reported_basis = LEASE
        self._replacing = asyncio.Lock()
        self.lost = asyncio.Event()
        self.yields_from = 0.0
        self.has_yielded = False
        self.store_back_at = 0.0

    def note_event(self, event: str, reason: str) -> None:
        """Apply an event to the leadership state and log the transition."""
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
        """Tell whether this leader may issue orders now.

        Without a valid lease another entry may have taken over, unless the store is
        known to be unavailable to every other entry as well.
        """
        return self.measure_authority() > 0

    def has_lease(self) -> bool:
        """Tell whether this leader's lease is valid: the store has answered lately."""
        return self._find_authority().basis == LEASE

    def measure_authority(self) -> float:
        """Return for how many seconds this leader still has authority, at least 0."""
        return self._find_authority().seconds

    def _find_authority(self) -> Authority:
        if self.state not in ("loading", "leading", "isolated"):
            return Authority(NOTHING, 0.0)
        if self.fenced_writer.is_leadership_lost:
            return Authority(NOTHING, 0.0)
        left = self._authority_until - clock.now()
        if left > 0:
            return Authority(LEASE, left)
        if self.is_store_failing:
            left = self._measure_consent(self._renewed_from)
            if left > 0:
                return Authority(CONSENT, left)
        return Authority(NOTHING, 0.0)

    def _report_authority(self) -> None:
        """Log a change of what gives this leader its authority."""
        basis = self._find_authority().basis
        if basis == self._reported_basis:
            return
        log_event(
            AUTHORITY_CHANGED,
            epoch=self.epoch,
            before=self._reported_basis,
            after=basis,
            renewed_ago=round(clock.now() - self._renewed_from, 3),
        )
        self._reported_basis = basis

    async def renew_until_lost(self) -> None:
        """Renew the lease until the term ends."""
        renewals: set[asyncio.Task[None]] = set()
        try:
            while not self.lost.is_set():
                await asyncio.sleep(RENEWAL_INTERVAL_S)
                self._report_authority()
                task = asyncio.create_task(self._renew())
                renewals.add(task)
                task.add_done_callback(renewals.discard)
                task.add_done_callback(_log_failure)
        finally:
            for task in renewals:
                task.cancel()
            await asyncio.gather(*renewals, return_exceptions=True)

    async def _renew(self) -> None:
        had = self.has_authority()
        sent_at = clock.now()
        lease = self._lease
        try:
            is_valid = await self._store.renew_lease(lease)
            if not is_valid:
                sent_at = await self._replace_lease(lease)
        except (NotExecutedError, OutcomeUnknownError) as error:
            self._note_unanswered(sent_at, str(error))
            return
        except LeadershipLostError as error:
            if not self.lost.is_set():
                self.note_event("lose", str(error))
            return
        if sent_at is None:
            return
        if self._find_authority().basis == CONSENT:
            self.store_back_at = sent_at - CONSENT_TTL_S
        self._renewed_from = max(self._renewed_from, sent_at)
        self.is_store_failing = False
        until = sent_at + LEASE_TTL_S - LEASE_MARGIN_S
        self._authority_until = max(self._authority_until, until)
        if self.state == "isolated":
            self.note_event("rejoin", "lease renewed")
        if not had:
            log_event(AUTHORITY_GAINED, reason="lease renewed")

    def _note_unanswered(self, sent_at: float, reason: str) -> None:
        if sent_at < self._renewed_from:
            # A renewal that was sent later has already succeeded.
            return
        self.is_store_failing = True
        if self.state == "leading" and not self.has_authority():
            self.note_event("isolate", reason)
            log_event(AUTHORITY_LOST, reason=reason)

    async def _replace_lease(self, ended: int) -> float | None:
        """Return the time at which a new lease was requested, or None without one.

        The lease ended while the store was unavailable or this process was paused. The
        write fails if the term shows that another entry has led since. The response may
        be late: a lease that has replaced the ended one meanwhile may be valid, and
        renewing it while the leader item is bound to the next one proves nothing.
        """
        async with self._replacing:
            if self.lost.is_set() or self._lease != ended:
                # Revoked by `resign`, after which a new lease would delay the next
                # leader, or already replaced by an earlier renewal.
                return None
            sent_at = clock.now()
            lease = await self._store.grant_lease(LEASE_TTL_S)
            try:
                await self.fenced_writer.commit(
                    [Put(LEADER, encode(self._entry), lease)]
                )
            except LeaseLostError as error:
                raise NotExecutedError(str(error)) from error
            self._lease = lease
            return sent_at

    async def set_members(self, names: frozenset[str]) -> None:
        """Write which entries may take a vacant leadership at once.

        Until the write is known to be committed, those before it may as well.
        """
        if self.members is not None:
            self.members |= names
        record = MembersRecord(tuple(sorted(names)))
        await self.fenced_writer.commit([Put(MEMBERS, encode(record))])
        self.members = names
        log_event(MEMBERS_CHANGED, members=record.names)

    async def yield_leadership(self, reason: str) -> None:
        """Resign so that another entry leads, unless the last leader has just yielded.

        An error that fails here may fail at every entry, and a fleet without a lasting
        leader is worse than one whose leader makes errors.
        """
        if not self.lost.is_set() and clock.now() >= self.yields_from:
            self.has_yielded = True
            await self.resign(reason)

    async def resign(self, reason: str = "planned stop") -> None:
        """Resign and revoke the lease, so that another entry can lead immediately.

        This leader does not go on by consent, so that any entry may lead.
        """
        self.note_event("resign", reason)
        if not self.may_have_earlier_leader():
            await self._remove_members()
        try:
            await self._store.end_lease(self._lease)
        except (NotExecutedError, OutcomeUnknownError) as error:
            log_event(AUTHORITY_LOST, reason=f"lease not revoked: {error}")

    def may_have_earlier_leader(self) -> bool:
        """Tell whether an earlier leader may still have authority by consent."""
        return clock.now() < self.earlier_leader_until

    async def _remove_members(self) -> None:
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                await self.fenced_writer.commit([], [MEMBERS])
        except (TimeoutError, LeadershipLostError) as error:
            log_event(AUTHORITY_LOST, reason=f"members not removed: {error!r}")


def _log_failure(task: asyncio.Task[None]) -> None:
    """Log an unexpected error of a renewal; the next one is sent regardless."""
    if not task.cancelled() and task.exception() is not None:
        report_error("renewal", task.exception())


async def acquire(
    store: Store,
    entry: EntryRecord,
    measure_consent: Callable[[float], float],
    vacancy: Vacancy | None = None,
    promised_until: float = 0.0,
) -> LeaderTerm | Vacancy | None:
    """Try to start a term.

    Parameters
    ----------
    vacancy : Vacancy, optional
        What an earlier attempt has returned.
    promised_until : float
        Until when an earlier process of this entry, if it was a member, may have
        promised not to lead, in seconds of the boot clock.

    Returns
    -------
    LeaderTerm or Vacancy or None
        The term; the vacancy if this entry is no member and leaves the leadership to
        members; None if another entry leads or was faster, or if a promise may hold.

    Raises
    ------
    NotExecutedError, OutcomeUnknownError
        If the store does not respond.
    """
    # Read before the leader item: a write that ends the vacancy afterwards changes it.
    current = await store.read(TERM)
    if await store.read(LEADER) is not None:
        return None
    vacant_at = clock.now()
    earlier_leader_until = 0.0
    members_item = await store.read(MEMBERS)
    members = _decode_members(members_item)
    if members is not None and entry.name not in members:
        revision = current.revision if current else 0
        if vacancy is None or vacancy.term_revision != revision:
            vacancy = Vacancy(revision, vacant_at)
        if vacant_at - vacancy.since < NON_MEMBER_DELAY_S:
            return vacancy
        earlier_leader_until = vacancy.since + MAX_EARLIER_TERM_S
    if members is not None and vacant_at < promised_until:
        return None
    term = _begin_term(current, entry)
    confirmed_at = clock.now()
    lease = await store.grant_lease(LEASE_TTL_S)
    conditions = [
        (LEADER, 0),
        (TERM, current.revision if current else 0),
        (MEMBERS, members_item.revision if members_item else 0),
    ]
    puts = [Put(LEADER, encode(entry), lease), Put(TERM, encode(term))]
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
    fenced_writer = FencedWriter(store, term, revision)
    return LeaderTerm(
        store,
        entry,
        fenced_writer,
        lease,
        vacant_at,
        confirmed_at,
        measure_consent,
        members,
        earlier_leader_until,
    )


def _decode_members(item: Item | None) -> frozenset[str] | None:
    """Return the names of the members, or None if there is no record of them."""
    if item is None:
        return None
    try:
        return frozenset(decode(item.value, MembersRecord).names)
    except DocumentError as error:
        log_event(RECORD_UNREADABLE, key=MEMBERS, error=str(error))
        return frozenset()


def _begin_term(current: Item | None, entry: EntryRecord) -> TermRecord:
    last = 0
    if current is not None:
        try:
            last = decode(current.value, TermRecord).epoch
        except DocumentError as error:
            # Every epoch was written with a revision of its own, so that no earlier
            # epoch exceeds the revision.
            log_event(RECORD_UNREADABLE, key=TERM, error=str(error))
            last = current.revision
    leader = f"{entry.name}/{entry.incarnation}"
    return TermRecord(last + 1, leader, 0, secrets.token_hex(4))
