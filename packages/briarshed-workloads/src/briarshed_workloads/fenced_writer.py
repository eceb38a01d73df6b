"""The leader's writes to the store, one after the other and fenced by its term.

Every transaction replaces the term item under the condition that the last one stands.
So a deposed leader writes nothing, and a transaction whose answer was lost cannot take
effect after a later one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

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
"""Entries of a transaction besides the term's own two; the store takes 32."""

RETRY_PAUSE_S = 0.1
"""Pause before a transaction that did not go through is sent again."""

FIRST_ATTEMPT_TIMEOUT_S = 0.5
"""How long the first try of a transaction waits for its answer. The second one learns
whether the first took effect, so that a lost answer costs little; a store that is slow
by the worst factor of the users' pages, 60, answers within 0.25 s."""

UNAVAILABLE_AFTER_S = 1.2
"""Time without a successful transaction after which the store counts as away: two tries
that go unanswered may be chance."""


class LeadershipLostError(BriarshedError):
    """Another leader's term stands in the store."""


class LeaseLostError(BriarshedError):
    """The lease that a put names has ended; nothing was written."""


class FencedWriter:
    """Commits the leader's writes in order.

    Parameters
    ----------
    store : Store
        Where the records are.
    term : TermRecord
        The term that this leader began.
    revision : int
        Revision of the term item as this leader wrote it.
    """

    def __init__(self, store: Store, term: TermRecord, revision: int) -> None:
        self.term = term
        self.revision = revision
        self.is_lost = False
        self.failing_since = 0.0
        self.is_refused = False
        self.commits = 0
        self._store = store
        self._lock = asyncio.Lock()

    @property
    def is_failing(self) -> bool:
        """Tell whether the last try of a transaction did not go through."""
        return self.failing_since > 0

    def is_store_unavailable(self, now: float) -> bool:
        """Tell whether the store refuses transactions, or has failed for some time.

        A lost answer may be chance; a refusal tells that nothing is written now.
        """
        if not self.is_failing:
            return False
        return self.is_refused or now - self.failing_since > UNAVAILABLE_AFTER_S

    def _note_failing(self, sent_at: float) -> None:
        self.failing_since = self.failing_since or sent_at

    async def commit(self, puts: Sequence[Put], removals: Sequence[str] = ()) -> None:
        """Write all, at most `CHUNK` entries, and wait until it is certain.

        Raises
        ------
        LeadershipLostError
            If another term stands; nothing of this call was written.
        """
        async with self._lock:
            if self.is_lost:
                raise LeadershipLostError("another leader has begun its term")
            last = self.term
            term = TermRecord(last.epoch, last.leader, last.writes + 1)
            await self._write(term, puts, removals)
            self.term = term
            self.commits += 1

    async def _write(
        self, term: TermRecord, puts: Sequence[Put], removals: Sequence[str]
    ) -> None:
        rows = [Put(TERM, encode(term)), *puts]
        timeout = FIRST_ATTEMPT_TIMEOUT_S
        while True:
            sent_at = clock.now()
            try:
                outcome = await self._store.commit(
                    [(TERM, self.revision)], rows, removals, timeout
                )
            except NotExecutedError:
                # The store client has logged it.
                self._note_failing(sent_at)
                self.is_refused = True
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            except OutcomeUnknownError as error:
                self._note_failing(sent_at)
                self.is_refused = False
                timeout = COMMIT_TIMEOUT_S
                log_event(STORE_ANSWER_LOST, writes=term.writes, error=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.failing_since = 0.0
            self.is_refused = False
            if isinstance(outcome, Committed):
                self.revision = outcome.revision
                return
            if isinstance(outcome, Conflicted) and self._is_own(outcome, term):
                return
            if isinstance(outcome, LeaseEnded):
                raise LeaseLostError("the lease of a put has ended")
            self.is_lost = True
            raise LeadershipLostError("another leader has begun its term")

    def _is_own(self, outcome: Conflicted, term: TermRecord) -> bool:
        """Tell whether the transaction had taken effect before, unanswered."""
        item = outcome.items.get(TERM)
        if item is None or decode(item.value, TermRecord) != term:
            return False
        self.revision = item.revision
        return True
