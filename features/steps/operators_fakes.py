"""Stand-ins in memory for what the operators' port uses of an entry."""

from __future__ import annotations

import asyncio
import copy
from typing import Any, NamedTuple

from briarshed.documents import (
    CONFIGURATION_KEY,
    FLEET_KEY,
    MEMBERS_KEY,
    Stored,
    make_empty,
)
from briarshed_entry.clock import now
from returns.pipeline import is_successful
from returns.result import Failure, Success


class FakeStore:
    """The documents themselves; several fake replicas may share one."""

    def __init__(self) -> None:
        keys = (CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY)
        self.documents = {key: make_empty(key) for key in keys}
        self.audit: list[dict] = []


class FakeReplica:
    """Changes documents by compare-and-swap, like the real one.

    ``interloper`` runs once before the next swap, as an operator elsewhere would.
    """

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.held: dict[str, Any] = {}
        self.failing = False
        self.interloper = None
        self.failure_after: dict[str, str] = {}
        self.swaps: list[str] = []
        self._copy()

    def _copy(self) -> None:
        self.held = copy.deepcopy(self.store.documents)
        self.read_at = now()

    configuration = property(lambda self: self.held[CONFIGURATION_KEY])
    fleet = property(lambda self: self.held[FLEET_KEY])
    members = property(lambda self: self.held[MEMBERS_KEY])

    async def refresh(self) -> bool:
        """Copy the store, unless it fails."""
        if not self.failing:
            self._copy()
        return not self.failing

    async def list_audit(self, kind: str, at: float) -> list[dict]:
        """Return the changes that were trimmed."""
        return [change for change in self.store.audit if change["document"] == kind]

    async def change(self, key, apply, change_id):
        """Apply and swap until no other change came between."""
        if self.failing:
            return Failure("the store is not available: refused")
        while True:
            held = self.held[key]
            if any(item["id"] == change_id for item in held.get("changes", ())):
                return Success(Stored(held, held["version"]))
            applied = apply(held)
            if not is_successful(applied):
                return applied
            interloper, self.interloper = self.interloper, None
            if interloper is not None:
                interloper()
            await asyncio.sleep(0)
            if self.store.documents[key]["version"] != held["version"]:
                self._copy()
                continue
            if key in self.failure_after:
                return Failure(self.failure_after.pop(key))
            document = {**applied.unwrap(), "version": held["version"] + 1}
            self.store.documents[key] = document
            self.swaps.append(key)
            self._copy()
            return Success(Stored(document, document["version"]))


class Reply(NamedTuple):
    """A peer's part of an answer."""

    entry: str
    data_centre: str
    age: float
    rows: list[dict]


class FakeCoordinator:
    """Knows which members block changes, lag behind or answer questions."""

    def __init__(self) -> None:
        self.blockers: list[str] = []
        self.lagging: list[str] = []
        self.replies: list[Reply] = []
        self.waits: list[tuple[str, int, float]] = []

    def answer_with(self, function) -> None:
        """Keep the function that answers peers."""
        self.function = function

    def list_blockers(self) -> list[str]:
        """Return the members that forbid a change."""
        return self.blockers

    async def wait_in_force(self, key, version, timeout) -> list[str]:
        """Return the members that lag behind at once."""
        self.waits.append((key, version, timeout))
        return self.lagging

    async def gather(self, question) -> list[Reply]:
        """Return the replies of the scenario."""
        return self.replies

    def count_running(self, team: str) -> int:
        """Return no running jobs."""
        return 0


class FakeScheduler:
    """Lists the jobs that a scenario gave it."""

    def __init__(self) -> None:
        self.jobs: list[dict] = []

    def list_jobs(self) -> list[dict]:
        """Return the jobs of the scenario."""
        return self.jobs
