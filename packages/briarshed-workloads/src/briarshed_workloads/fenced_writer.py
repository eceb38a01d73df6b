"""The leader's writes to the store, serialized and fenced by its term.

The store holds the leader's term in one item, under the key `TERM`. Every transaction
replaces this item on the condition that it has not changed since the previous
transaction. So a deposed leader can write nothing, and a transaction whose
response was lost cannot take effect after a later one. Each transaction has a number of
its own in the item, so that one that was given up is not taken for the next one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any

from msgspec.structs import replace

from briarshed.events import STORE_ANSWER_LOST
from briarshed.exceptions import BriarshedError
from briarshed_entry import clock
from briarshed_entry.logs import log_event
from briarshed_workloads.interfaces import (
    COMMIT_TIMEOUT_S,
    Committed,
    Conflicted,
    LeaseEnded,
    NotExecutedError,
    OutcomeUnknownError,
    Put,
    Store,
)
from briarshed_workloads.records import TERM, TermRecord, decode, encode

MAX_TRANSACTION_WRITES = 30
"""Writes in a transaction besides the condition and the write of the term item; the
store accepts 32 in total."""

RETRY_PAUSE_S = 0.1
"""Pause before a failed transaction is sent again."""

FIRST_ATTEMPT_TIMEOUT_S = 0.5
"""Time-out of the first attempt of a transaction. The second attempt shows whether the
first took effect, so that a lost response costs little. A store that is slowed down by
a factor of 60, the documented maximum, responds within 0.25 s."""

UNAVAILABLE_AFTER_S = 1.2
"""Time from the start of the first failed attempt after which the store counts as
unavailable, unless an attempt succeeds. The second attempt has half of it to respond,
since a lost response may be chance. If no other call that was sent meanwhile has been
answered either, the store counts as unavailable at once."""

SILENCE_S = 0.6
"""Time without an answer to any call after which the store counts as silent: the
interval of renewals, the answer of a slow store, and a margin."""

RETURN_CHECK_S = 0.05
"""Interval of checking whether a silent store answers again while an attempt waits."""

CommitResult = Committed | Conflicted | LeaseEnded


class LeadershipLostError(BriarshedError):
    """The store holds another leader's term."""


class LeaseLostError(BriarshedError):
    """The store rejected a transaction because the lease of a put has ended."""


class FencedWriter:
    """Commits the leader's writes in order.

    Parameters
    ----------
    store : Store
        Store that holds the records.
    term : TermRecord
        This leader's term.
    revision : int
        Revision at which this leader wrote the term item.

    Attributes
    ----------
    term : TermRecord
        Record of the last transaction, which may have been given up.
    is_leadership_lost : bool
        Whether the store was found to hold another leader's term.
    failing_since : float
        When the first of the latest failed attempts was sent, in seconds of the boot
        clock; 0 if the store answered the last attempt.
    last_attempt_not_executed : bool
        Whether the last attempt failed and was certainly not executed.
    commit_count : int
        Number of committed transactions.
    """

    def __init__(self, store: Store, term: TermRecord, revision: int) -> None:
        self.term = term
        self.revision = revision
        self.is_leadership_lost = False
        self.failing_since = 0.0
        self.last_attempt_not_executed = False
        self.commit_count = 0
        self._store = store
        self._lock = asyncio.Lock()

    @property
    def is_failing(self) -> bool:
        """Tell whether the last attempt of a transaction failed."""
        return self.failing_since > 0

    def is_store_unavailable(self, now: float) -> bool:
        """Tell whether the store cannot be written to or has failed for some time.

        A single lost response may be chance, whereas an attempt that was certainly not
        executed, or a time in which no call was answered, shows that nothing can be
        written now.
        """
        if not self.is_failing:
            return False
        return (
            self.last_attempt_not_executed
            or self._store.answered_at < self.failing_since
            or now - self.failing_since > UNAVAILABLE_AFTER_S
        )

    def _note_failing(self, sent_at: float) -> None:
        self.failing_since = self.failing_since or sent_at

    async def commit(self, puts: Sequence[Put], removals: Sequence[str] = ()) -> None:
        """Write atomically, and return when the writes are known to be committed.

        At most `MAX_TRANSACTION_WRITES` puts and removals are allowed. Failed attempts
        are repeated. If an exception is raised, nothing was written, unless an earlier
        attempt without a response was committed.

        Raises
        ------
        LeadershipLostError
            If the store holds another leader's term.
        LeaseLostError
            If the lease of a put has ended.
        """
        async with self._lock:
            if self.is_leadership_lost:
                raise LeadershipLostError("the store holds the term of another leader")
            # Not repeated even if this transaction is given up: it may be executed.
            self.term = replace(self.term, writes=self.term.writes + 1)
            await self._write(puts, removals)
            self.commit_count += 1

    async def _write(self, puts: Sequence[Put], removals: Sequence[str]) -> None:
        all_puts = [Put(TERM, encode(self.term)), *puts]
        timeout = FIRST_ATTEMPT_TIMEOUT_S
        has_given_up = False
        while True:
            sent_at = clock.now()
            commit = self._store.commit(
                [(TERM, self.revision)], all_puts, removals, timeout
            )
            is_silent = sent_at - self._store.answered_at >= SILENCE_S
            try:
                # Given up once only, so that a slow store can finish the next attempt.
                if is_silent and not has_given_up:
                    outcome = await self._await_return(commit)
                else:
                    outcome = await commit
            except NotExecutedError:
                # Logged by the store client.
                self._note_failing(sent_at)
                self.last_attempt_not_executed = True
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            except OutcomeUnknownError as error:
                self._note_failing(sent_at)
                self.last_attempt_not_executed = False
                timeout = COMMIT_TIMEOUT_S
                has_given_up = has_given_up or self._store.answered_at > sent_at
                log_event(STORE_ANSWER_LOST, writes=self.term.writes, error=str(error))
                await asyncio.sleep(sent_at + RETRY_PAUSE_S - clock.now())
                continue
            self.failing_since = 0.0
            self.last_attempt_not_executed = False
            if isinstance(outcome, Committed):
                self.revision = outcome.revision
                return
            if isinstance(outcome, LeaseEnded):
                raise LeaseLostError("the lease of a put has ended")
            written = self._find_own_write(outcome)
            if written == self.term.writes:
                return
            if written is None:
                self.is_leadership_lost = True
                raise LeadershipLostError("the store holds the term of another leader")
            # A transaction that was given up had been executed.

    async def _await_return(
        self, commit: Coroutine[Any, Any, CommitResult]
    ) -> CommitResult:
        """Return the outcome of an attempt, or give it up once the store is back.

        An attempt that was sent to a silent store gets no response, and its time-out
        would delay the next one after the store's return. The next one shows whether
        it was executed.

        Raises
        ------
        OutcomeUnknownError
            If the store answers calls that were sent later.
        """
        sent_at = clock.now()
        attempt = asyncio.ensure_future(commit)
        try:
            while not attempt.done():
                await asyncio.wait({attempt}, timeout=RETURN_CHECK_S)
                if not attempt.done() and self._store.answered_at > sent_at:
                    raise OutcomeUnknownError("the store answers later calls")
            return attempt.result()
        finally:
            attempt.cancel()
            await asyncio.gather(attempt, return_exceptions=True)

    def _find_own_write(self, outcome: Conflicted) -> int | None:
        """Return the number of this leader's last executed transaction.

        Its revision is noted. None if the term is that of another leader.
        """
        item = outcome.items.get(TERM)
        if item is None:
            return None
        found = decode(item.value, TermRecord)
        if replace(found, writes=self.term.writes) != self.term:
            return None
        self.revision = item.revision
        return found.writes
