"""Stand-ins in memory for what the operators' port uses of an entry."""

from __future__ import annotations

import asyncio
import copy
from typing import Any, NamedTuple

import msgspec
from briarshed.documents import (
    AUDIT_PREFIX,
    CONFIGURATION_KEY,
    FLEET_KEY,
    KEPT_CHANGES,
    MEMBERS_KEY,
    Stored,
    make_empty,
)
from briarshed.exceptions import StoreUnavailableError
from briarshed_entry.clock import now
from returns.pipeline import is_successful
from returns.result import Failure, Success


class FakeStore:
    """The documents themselves; several fake replicas may share one."""

    def __init__(self) -> None:
        keys = (CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY)
        self.documents = {key: make_empty(key) for key in keys}
        self.audit: dict[str, bytes] = {}


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

    async def read_prefix(self, prefix: str) -> dict[str, bytes]:
        """Return the changes that were moved out of the documents."""
        if self.failing:
            raise StoreUnavailableError("refused")
        audit = self.store.audit
        return {key: data for key, data in audit.items() if key.startswith(prefix)}

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
            self.trim(key, document)
            self.store.documents[key] = document
            self.swaps.append(key)
            self._copy()
            return Success(Stored(document, document["version"]))

    def trim(self, key: str, document: dict) -> None:
        """Move the older changes of a document to keys of their own."""
        changes = document.get("changes", [])
        for change in changes[:-KEPT_CHANGES]:
            kind = key.rpartition("/")[2]
            name = f"{AUDIT_PREFIX}{kind}/{change['version']:010d}/{change['id']}"
            self.store.audit[name] = msgspec.json.encode(change)
        if changes:
            document["changes"] = changes[-KEPT_CHANGES:]


class Reply(NamedTuple):
    """A peer's part of an answer."""

    entry: str
    data_centre: str
    age: float
    rows: list[dict]


class JobRow(NamedTuple):
    """A job as the scheduler lists it."""

    job_id: str
    queue: str
    team: str | None
    urgent: bool
    state: str
    endpoint: str | None
    attempts: int
    age: float


class FakeCoordinator:
    """Knows which members block changes, lag behind or answer questions."""

    def __init__(self) -> None:
        self.blockers: list[str] = []
        self.lagging: list[str] = []
        self.silent: list[str] = []
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
        """Return this entry's answer and the replies of the scenario."""
        own = Reply("entry-1", "dc1", 0.0, self.function(question))
        return [own, *self.replies]

    def unreached(self) -> list[str]:
        """Return the members that do not answer."""
        return self.silent

    def count_running(self, team: str) -> int:
        """Return no running jobs."""
        return 0


class FakeScheduler:
    """Lists the jobs that a scenario gave it."""

    def __init__(self) -> None:
        self.jobs: list[JobRow] = []

    def add_jobs(self, count: int, queue: str, endpoint: str) -> None:
        """Add running jobs."""
        for number in range(count):
            job = JobRow(
                f"j{number}", queue, "hotels", False, "running", endpoint, 1, 2.5
            )
            self.jobs.append(job)

    def list_jobs(self) -> list[JobRow]:
        """Return the jobs of the scenario."""
        return self.jobs
