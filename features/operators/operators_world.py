"""In-memory documents and fakes for the features of the operators."""

from __future__ import annotations

import asyncio
import copy
from typing import Any, NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Success

from briarshed.changes import Context, Documents, apply_script
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
from briarshed.keys import make_key
from briarshed.language import parse_script
from briarshed_entry.clock import now
from briarshed_entry.scheduler import JobRow

SEED = 20261204
SECRETS = {"maria": "secret-of-maria", "joao": "secret-of-joao"}
PAGE_SCRIPT = """\
create pool proofs budget 1
create pool reserve budget 1 spare
create team hotels share 3 limit 20
create team schools share 1 limit 10
create queue proofing pool proofs teams hotels
create queue samples pool proofs open
add instance i-1 pool proofs rack r1 data-centre dc1 address 127.0.0.1:9001
add instance i-2 pool proofs rack r2 data-centre dc1 address 127.0.0.1:9002
add instance i-3 pool proofs rack r3 data-centre dc2 address 127.0.0.1:9003
"""


def apply_text(text, documents, count=50):
    """Apply a script and return its outcome or its findings."""
    parsed = parse_script(text)
    if not is_successful(parsed):
        return parsed
    keys = [make_key() for _ in range(count)]
    context = Context("id-1", "maria", 1000.0, keys)
    return apply_script(parsed.unwrap(), documents, context)


def make_documents():
    """Return the documents that the language page starts from."""
    empty = Documents(
        make_empty(CONFIGURATION_KEY), make_empty(FLEET_KEY), make_empty(MEMBERS_KEY)
    )
    made = apply_text(PAGE_SCRIPT, empty).unwrap().documents
    made.configuration["version"] = 7
    made.configuration["keys"]["k-1a2b3c4d"] = {
        "hash": "0" * 64,
        "team": "hotels",
        "expires_at": None,
    }
    made.fleet["version"] = 3
    for name, state in (("i-1", "serving"), ("i-2", "serving"), ("i-3", "failed")):
        made.fleet["instances"][name]["state"] = state
    made.fleet["waves"]["w-1"] = {
        "state": "running",
        "pending": ["i-2"],
        "done": [],
        "reason": "",
    }
    member = {"incarnation": "a1", "address": "", "data_centre": "dc1", "operators": ""}
    made.members["members"] = {"entry-1": member, "entry-2": {**member}}
    return made


class FakeStore:
    """The stored documents; several fake replicas may share one store."""

    def __init__(self) -> None:
        keys = (CONFIGURATION_KEY, FLEET_KEY, MEMBERS_KEY)
        self.documents = {key: make_empty(key) for key in keys}
        self.audit: dict[str, bytes] = {}


class FakeReplica:
    """Changes documents by compare-and-swap, like the real one.

    ``before_swap`` is called once before the next compare-and-swap, to make a change of
    another operator, and ``after_swap`` once after it, before this replica reads the
    result.
    """

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.cached: dict[str, Any] = {}
        self.is_failing = False
        self.before_swap = None
        self.after_swap = None
        self.next_failures: dict[str, str] = {}
        self._copy()

    def _copy(self) -> None:
        self.cached = copy.deepcopy(self.store.documents)
        self.read_at = now()

    configuration = property(lambda self: self.cached[CONFIGURATION_KEY])
    fleet = property(lambda self: self.cached[FLEET_KEY])
    members = property(lambda self: self.cached[MEMBERS_KEY])

    async def refresh(self) -> bool:
        """Copy the store, unless it fails."""
        if not self.is_failing:
            self._copy()
        return not self.is_failing

    async def read_prefix(self, prefix: str) -> dict[str, bytes]:
        """Return the changes that were moved out of the documents."""
        if self.is_failing:
            raise StoreUnavailableError("refused")
        audit = self.store.audit
        return {key: data for key, data in audit.items() if key.startswith(prefix)}

    async def change(self, key, apply, change_id):
        """Retry the compare-and-swap until no other change intervenes."""
        if self.is_failing:
            return Failure("the store is not available: refused")
        while True:
            cached = self.cached[key]
            if any(item["id"] == change_id for item in cached.get("changes", ())):
                return Success(Stored(cached, cached["version"]))
            applied = apply(cached)
            if not is_successful(applied):
                return applied
            before_swap, self.before_swap = self.before_swap, None
            if before_swap is not None:
                before_swap()
            await asyncio.sleep(0)
            if self.store.documents[key]["version"] != cached["version"]:
                self._copy()
                continue
            if key in self.next_failures:
                return Failure(self.next_failures.pop(key))
            document = {**applied.unwrap(), "version": cached["version"] + 1}
            self.trim(key, document)
            self.store.documents[key] = document
            after_swap, self.after_swap = self.after_swap, None
            if after_swap is not None:
                after_swap()
            self._copy()
            return Success(Stored(self.cached[key], self.cached[key]["version"]))

    def trim(self, key: str, document: dict) -> None:
        """Move the older changes of a document to separate audit keys."""
        changes = document.get("changes", [])
        for change in changes[:-KEPT_CHANGES]:
            kind = key.rpartition("/")[2]
            name = f"{AUDIT_PREFIX}{kind}/{change['version']:010d}/{change['id']}"
            self.store.audit[name] = msgspec.json.encode(change)
        if changes:
            document["changes"] = changes[-KEPT_CHANGES:]


class Reply(NamedTuple):
    """A peer's part of a query result."""

    entry: str
    data_centre: str
    age: float
    rows: list[dict]


class FakeCoordinator:
    """A coordinator whose blockers, lagging members and replies are set by the test."""

    def __init__(self) -> None:
        self.blockers: list[str] = []
        self.lagging: list[str] = []
        self.replies: list[Reply] = []
        self.waits: list[tuple[str, int, float]] = []

    def set_query_handler(self, function) -> None:
        """Set the function that answers queries."""
        self.function = function

    def list_blockers(self) -> list[str]:
        """Return the members that block changes."""
        return self.blockers

    async def wait_in_force(self, key, version, timeout) -> list[str]:
        """Return the members that lag behind, without waiting."""
        self.waits.append((key, version, timeout))
        return self.lagging

    async def gather(self, query) -> list[Reply]:
        """Return the rows of this entry and the replies of the scenario."""
        own = Reply("entry-1", "dc1", 0.0, self.function(query))
        return [own, *self.replies]

    def count_running(self, team: str) -> int:
        """Return no running jobs."""
        return 0


class FakeScheduler:
    """A scheduler whose jobs are set by the test."""

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
