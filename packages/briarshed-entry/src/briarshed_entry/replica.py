"""Local copies of the store's documents, whose versions never decrease."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Mapping, Sequence
from types import TracebackType
from typing import Any

import msgspec
from reactivex.subject import Subject
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from briarshed.authority import MS_PER_S
from briarshed.documents import (
    AUDIT_PREFIX,
    CONFIGURATION_KEY,
    DOCUMENT_KEYS,
    FLEET_KEY,
    GRANTS_KEY,
    KEPT_CHANGES,
    MEMBERS_KEY,
    Change,
    Configuration,
    Fleet,
    Grants,
    Members,
    Stored,
    make_empty,
)
from briarshed.events import (
    DOCUMENT_STALE,
    DOCUMENT_UPDATED,
    LOOP_FAILED,
    STORE_FAILING,
    STORE_RECOVERED,
)
from briarshed.exceptions import StoreUnavailableError
from briarshed.settings import Settings
from briarshed_entry.clock import now
from briarshed_entry.logs import log_event
from briarshed_entry.store import Poll, StoreClient

CHANGE_TIMEOUT_S = 5.0
"""Time after which a change is not attempted again."""

RETRY_DELAY_S = 0.05
"""Longest random delay before a compare-and-swap is retried, against contention."""

GRANTS_POLL_S = 5.0
"""Longest age of the copy of the grants when nothing requires a newer one.

The grants change up to once a second per entry. What an entry may run changes only
by its own writes or those of a peer, which then sends a notice, so most versions
need not be read.
"""

ALIVE_POLL_S = 10.0
"""Longest age of the list of live members while their number does not change."""

MAX_TRACKED_VERSIONS = 200

_CONFIRMED_KEYS = (CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY)

_GUARDS = {
    CONFIGURATION_KEY: (MEMBERS_KEY,),
    FLEET_KEY: (MEMBERS_KEY, CONFIGURATION_KEY),
    GRANTS_KEY: (MEMBERS_KEY, CONFIGURATION_KEY),
    MEMBERS_KEY: (),
}
"""Documents that must be unchanged for the compare-and-swap of another to succeed.

``find_rejection`` has checked the members at the guarded revision, so an entry that
was removed cannot change anything. Limits and budgets are in the configuration, so
an entry with an outdated copy of it cannot increase a row or stop an instance.
"""

_CONFLICT = "other changes came first each time"

Apply = Callable[[Any], Result[Any, str]]


class Replica:
    """Copies of the documents, polled from the store or sent by peers.

    Attributes
    ----------
    updates : Subject
        Emits the key of a document after its copy was replaced.
    own_changes : Subject
        Emits the key of a document after this entry changed it in the store.
    read_at : float or None
        Time, in seconds, at which the last read was sent that left the copies of
        configuration, fleet and members current.
    contact_at : float or None
        Time, in seconds, of the last response of the store.
    failing : bool
        Whether the last read of the store failed.
    failure : str
        Why the last read failed, or an empty string.
    alive : dict
        Names of live members and their incarnations, as of the last read.
    find_rejection : callable
        Takes a document key and returns why this entry may not change it now, or
        an empty string. It is called before each compare-and-swap, with the copy
        of the members whose revision guards that write.
    """

    def __init__(self, settings: Settings, store: StoreClient) -> None:
        self._settings = settings
        self._store = store
        self._held = {key: Stored(make_empty(key), -1) for key in DOCUMENT_KEYS}
        self._first_held_at: dict[tuple[str, int], float] = {}
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None
        self._grants_read_at: float | None = None
        self._alive_read_at: float | None = None
        self._sent_at: float | None = None
        self.updates: Subject[str] = Subject()
        self.own_changes: Subject[str] = Subject()
        self.read_at: float | None = None
        self.contact_at: float | None = None
        self.failing = False
        self.failure = "the store has not been read yet"
        self.alive: dict[str, str] = {}
        self.find_rejection: Callable[[str], str] = lambda key: ""

    async def __aenter__(self) -> Replica:
        await self.refresh()
        self._task = asyncio.create_task(self._poll())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def configuration(self) -> Configuration:
        """The configuration; version 0 if none was read."""
        return self._held[CONFIGURATION_KEY].value

    @property
    def fleet(self) -> Fleet:
        """The fleet; version 0 if none was read."""
        return self._held[FLEET_KEY].value

    @property
    def grants(self) -> Grants:
        """The grants; version 0 if none was read."""
        return self._held[GRANTS_KEY].value

    @property
    def members(self) -> Members:
        """The members; version 0 if none was read."""
        return self._held[MEMBERS_KEY].value

    def get_stored(self, key: str) -> Stored:
        """Return a document with its revision; -1 if it was never read."""
        return self._held[key]

    def get_version(self, key: str) -> int:
        """Return the version of the copy of a document."""
        return self._held[key].value["version"]

    def find_first_held_at(self, key: str, version: int) -> float | None:
        """Return when this entry first held a version of a document, in seconds.

        Only the latest ``MAX_TRACKED_VERSIONS`` versions are tracked.
        """
        return self._first_held_at.get((key, version))

    async def refresh(self, keys: Sequence[str] = ()) -> bool:
        """Read the changed documents once; return whether the store answered.

        Parameters
        ----------
        keys : sequence of str
            Documents to read if changed, even if their copies are still recent.
        """
        async with self._lock:
            return await self._refresh(keys)

    async def _refresh(self, keys: Sequence[str]) -> bool:
        sent_at = self._sent_at = now()
        try:
            poll = await self._store.poll()
            changed = self._list_changed(poll, sent_at, keys)
            found = await self._store.read(changed) if changed else {}
            await self._read_alive(poll, sent_at, found)
        except StoreUnavailableError as error:
            self._note_failure(error)
            return False
        self._note_success()
        if GRANTS_KEY in changed:
            self._grants_read_at = sent_at
        for key, stored in found.items():
            self._install(key, stored)
        if all(self._is_current(key, poll, found) for key in _CONFIRMED_KEYS):
            self.read_at = sent_at
        return True

    def _is_current(self, key: str, poll: Poll, found: Mapping[str, Stored]) -> bool:
        """Return whether the copy has the revision in the store.

        It is false after a stale read.
        """
        revision = found[key].revision if key in found else poll.revisions[key]
        return revision == self._held[key].revision

    async def _read_alive(
        self, poll: Poll, sent_at: float, found: Mapping[str, Stored]
    ) -> None:
        """Read the live members, unless the list is recent and complete.

        While a member is missing, the list is read each time, so that a member that
        has returned or restarted is not treated as stopped.
        """
        members = found.get(MEMBERS_KEY, self._held[MEMBERS_KEY]).value["members"]
        complete = poll.live == len(self.alive) and all(
            self.alive.get(name) == member["incarnation"]
            for name, member in members.items()
        )
        read_at = self._alive_read_at
        recent = read_at is not None and sent_at - read_at < ALIVE_POLL_S
        if not (complete and recent):
            self.alive = await self._store.read_alive()
            self._alive_read_at = sent_at

    def _list_changed(
        self, poll: Poll, sent_at: float, keys: Sequence[str]
    ) -> list[str]:
        changed = [
            key
            for key in DOCUMENT_KEYS
            if poll.revisions[key] > self._held[key].revision
        ]
        read_at = self._grants_read_at
        recent = read_at is not None and sent_at - read_at < GRANTS_POLL_S
        if GRANTS_KEY in changed and GRANTS_KEY not in keys and recent:
            changed.remove(GRANTS_KEY)
        if MEMBERS_KEY in changed and CONFIGURATION_KEY not in changed:
            # The copy of the members must not be newer than that of the
            # configuration: a member that made a change and then left would not be
            # asked for its consent, although this entry has not seen its change.
            changed.append(CONFIGURATION_KEY)
        return changed

    def _note_failure(self, error: StoreUnavailableError) -> None:
        if not self.failing:
            log_event(STORE_FAILING, error=error.message)
        self.failing = True
        self.failure = error.message

    def _note_success(self) -> None:
        if self.failing:
            log_event(STORE_RECOVERED)
        self.failing = False
        self.failure = ""
        self.contact_at = now()

    def _install(self, key: str, stored: Stored) -> bool:
        held = self._held[key]
        if stored.revision == held.revision:
            return False
        first = held.revision < 0
        offered, version = stored.value["version"], held.value["version"]
        if offered < version or stored.revision < held.revision:
            log_event(DOCUMENT_STALE, key=key, offered=offered, held=version)
            return False
        self._held[key] = stored
        if offered == version and not first:
            return False
        self._first_held_at.setdefault((key, offered), now())
        if len(self._first_held_at) > MAX_TRACKED_VERSIONS:
            del self._first_held_at[next(iter(self._first_held_at))]
        if key != GRANTS_KEY:
            log_event(DOCUMENT_UPDATED, key=key, version=offered)
        self._emit(self.updates, key)
        return True

    def _emit(self, subject: Subject[str], key: str) -> None:
        try:
            subject.on_next(key)
        except Exception as error:
            # An error in a subscriber must not stop the polling.
            log_event(LOOP_FAILED, task="updates", error=repr(error))

    def announce(self, key: str) -> None:
        """Notify subscribers of a document although its copy has not changed."""
        self._emit(self.updates, key)

    def offer(self, key: str, document: Any, revision: int) -> bool:
        """Install a document sent by a peer if it is newer; return whether it was."""
        return self._install(key, Stored(document, revision))

    async def change(
        self, key: str, apply: Apply, change_id: str
    ) -> Result[Stored, str]:
        """Change a document by compare-and-swap.

        Increments the version. If the document has an audit trail, its older changes
        are moved to separate keys.

        Parameters
        ----------
        key : str
            Key of the document.
        apply : callable
            Takes the document and returns the changed one or a refusal. It must be
            pure; after a conflict it is called again with the new document.
        change_id : str
            Identifies the change in the audit trail, so that a later read shows
            whether a compare-and-swap whose response was lost took effect.

        Returns
        -------
        Result
            The changed document, or the reason why it was not changed. The reason
            begins with "unknown:" if the change may still take effect.
        """
        pending: tuple[int, Any] | None = None
        reason = _CONFLICT
        started_at = now()
        repeated = False
        while now() - started_at < CHANGE_TIMEOUT_S:
            if repeated or self._held[key].revision < 0:
                await asyncio.sleep(random.random() * RETRY_DELAY_S * repeated)
                await self.refresh([key])
                repeated = True
                if self.failing:
                    reason = f"the store is not available: {self.failure}"
                    continue
            held = self._held[key]
            if _find_change(held.value, change_id) is not None:
                return Success(held)
            if pending is not None and pending[1] == held.value:
                return Success(held)
            # A compare-and-swap without a response can no longer take effect once
            # the document has a newer revision; until then it is retried unchanged.
            if pending is not None and pending[0] == held.revision:
                document = pending[1]
            else:
                pending = None
                prepared = await self._prepare(key, held, apply, change_id)
                if not is_successful(prepared):
                    return Failure(prepared.failure())
                document = prepared.unwrap()
            repeated = True
            outcome, reason = await self._compare_and_swap(key, held, document)
            if outcome == "refused" and pending is None:
                return Failure(reason)
            if outcome == "unknown":
                pending = (held.revision, document)
            if outcome == "swapped":
                stored = await self._read_back(key, held, document)
                self._emit(self.own_changes, key)
                return Success(stored)
        if pending is not None:
            return Failure(f"unknown: the change may take effect later; {reason}")
        return Failure(reason)

    async def _prepare(
        self, key: str, held: Stored, apply: Apply, change_id: str
    ) -> Result[Any, str]:
        applied = apply(held.value)
        if not is_successful(applied):
            return applied
        document = dict(applied.unwrap())
        document["version"] = held.value["version"] + 1
        if "changes" in document:
            document["changes"] = self._complete_changes(document, held, change_id)
            try:
                document["changes"] = await self._trim(key, document["changes"])
            except StoreUnavailableError as error:
                return Failure(f"the store is not available: {error.message}")
        return Success(document)

    def _complete_changes(
        self, document: Any, held: Stored, change_id: str
    ) -> list[Change]:
        """Set the version of new changes and make sure that one has the change id."""
        known = {change["id"] for change in held.value["changes"]}
        version = document["version"]
        changes = [
            change if change["id"] in known else {**change, "version": version}
            for change in document["changes"]
        ]
        if all(change["id"] != change_id for change in changes):
            changes.append(
                {
                    "id": change_id,
                    "version": version,
                    "at": time.time(),
                    "who": self._settings.name,
                    "what": "",
                    "before": None,
                    "after": None,
                }
            )
        return changes

    async def _trim(self, key: str, changes: list[Change]) -> list[Change]:
        """Move all but the last changes to separate keys; return the last ones."""
        newest = changes[-1]["version"]
        older = [
            change
            for change in changes[: -KEPT_CHANGES or None]
            if change["version"] < newest
        ]
        kind = key.rpartition("/")[2]
        for change in older:
            name = f"{AUDIT_PREFIX}{kind}/{change['version']:010d}/{change['id']}"
            await self._store.put(name, msgspec.json.encode(change))
        return changes[len(older) :]

    async def _compare_and_swap(
        self, key: str, held: Stored, document: Any
    ) -> tuple[str, str]:
        """Try one compare-and-swap; return its outcome, or "refused", and a reason."""
        guards = {other: self._held[other].revision for other in _GUARDS[key]}
        if min(guards.values(), default=0) < 0:
            return "refused", "the documents have not been read yet"
        rejection = self.find_rejection(key)
        if rejection:
            return "refused", rejection
        try:
            outcome = await self._store.compare_and_swap(
                key, held.revision, document, guards
            )
        except StoreUnavailableError as error:
            return "refused", f"the store is not available: {error.message}"
        if outcome == "unknown":
            return outcome, "the response of the store was lost"
        self.contact_at = now()
        return outcome, _CONFLICT

    async def _read_back(self, key: str, held: Stored, document: Any) -> Stored:
        """Return the document just written, with its revision if it is known.

        If the read fails, the copy gets the lowest possible revision, so that the
        next poll reads the document again.
        """
        await self.refresh([key])
        if self._held[key].revision == held.revision:
            self._install(key, Stored(document, held.revision + 1))
        return self._held[key]

    async def _poll(self) -> None:
        interval = self._settings.store.poll_ms / MS_PER_S
        while True:
            # The interval counts from when the last read was sent, since a slow read
            # would otherwise make the copies older than the interval.
            latest = self._sent_at or now()
            await asyncio.sleep(max(0.0, latest + interval - now()))
            try:
                await self.refresh()
            except Exception as error:
                log_event(LOOP_FAILED, task="replica", error=repr(error))


def _find_change(document: Any, change_id: str) -> Change | None:
    for change in reversed(document.get("changes", [])):
        if change["id"] == change_id:
            return change
    return None
