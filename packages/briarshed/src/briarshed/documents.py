"""Documents in the store, and their encoding."""

from __future__ import annotations

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

import msgspec

from briarshed.decoding import DECODING_ERRORS
from briarshed.exceptions import DocumentError

CONFIGURATION_KEY = "briarshed/configuration"
FLEET_KEY = "briarshed/fleet"
GRANTS_KEY = "briarshed/grants"
MEMBERS_KEY = "briarshed/members"
DOCUMENT_KEYS = (CONFIGURATION_KEY, FLEET_KEY, GRANTS_KEY, MEMBERS_KEY)
ALIVE_PREFIX = "briarshed/alive/"
AUDIT_PREFIX = "briarshed/audit/"

KEPT_CHANGES = 50
"""Changes kept in a document; older ones are moved to keys under ``AUDIT_PREFIX``."""

InstanceState = Literal[
    "serving", "leaving", "draining", "rebooting", "returning", "failed", "gone"
]
WaveState = Literal["running", "paused", "halted", "done", "stopped"]


class Change(TypedDict):
    """One record of the audit trail, kept in the document that it changed."""

    id: str
    version: int
    at: float
    who: str
    what: str
    before: Any
    after: Any


class Pool(TypedDict):
    """A pool of instances.

    ``budget`` is the availability budget: the number of instances that may be out of
    service at once. ``slots`` and ``connections`` are per endpoint.
    """

    budget: int
    port: int
    slots: int
    connections: int
    spare: bool


class Team(TypedDict):
    """A team: its weight when capacity is short, and its upper limit in jobs."""

    share: float
    limit: int


class Queue(TypedDict):
    """A queue; an empty list of teams admits every team with a key."""

    pool: str
    open: bool
    teams: list[str]
    max_jobs: int
    max_bytes: int


class Key(TypedDict):
    """An API key: SHA-256 in hex, team, and optional expiry as Unix time."""

    hash: str
    team: str
    expires_at: float | None


class Configuration(TypedDict):
    """The operators' configuration."""

    version: int
    changes: list[Change]
    pools: dict[str, Pool]
    teams: dict[str, Team]
    queues: dict[str, Queue]
    keys: dict[str, Key]


class Instance(TypedDict):
    """An instance of the fleet; ``since`` is the Unix time of its last transition."""

    pool: str
    state: InstanceState
    rack: str
    data_centre: str
    address: str
    since: float
    target_pool: str | None
    wave: str | None
    operation: str | None


class Wave(TypedDict):
    """A maintenance wave over instances, in the order of ``pending``."""

    state: WaveState
    pending: list[str]
    done: list[str]
    reason: str


class Evacuation(TypedDict):
    """Evacuation of a data centre, by whom and since when in Unix seconds."""

    since: float
    who: str


class Fleet(TypedDict):
    """Pool and lifecycle state of every instance, waves and evacuations.

    ``evacuated`` is absent from documents of earlier versions.
    """

    version: int
    changes: list[Change]
    instances: dict[str, Instance]
    waves: dict[str, Wave]
    evacuated: NotRequired[dict[str, Evacuation]]


class Grants(TypedDict):
    """Rows of grants: jobs that may run, by team and owner (``NAME/INCARNATION``)."""

    version: int
    rows: dict[str, dict[str, int]]


class Member(TypedDict):
    """A registered entry process."""

    incarnation: str
    address: str
    data_centre: str
    operators: str


class Members(TypedDict):
    """Registered members, and Unix times of the removal of departed owners."""

    version: int
    members: dict[str, Member]
    departed: dict[str, float]


class Stored(NamedTuple):
    """A document as read from the store.

    Attributes
    ----------
    value : dict
        The decoded document.
    revision : int
        Revision of the key, for the next compare-and-swap; 0 for an absent key.
    """

    value: Any
    revision: int


Document = Configuration | Fleet | Grants | Members


def make_empty(key: str) -> Any:
    """Return the empty document that is used for an absent key."""
    empty: dict[str, dict[str, Any]] = {
        CONFIGURATION_KEY: {
            "version": 0,
            "changes": [],
            "pools": {},
            "teams": {},
            "queues": {},
            "keys": {},
        },
        FLEET_KEY: {"version": 0, "changes": [], "instances": {}, "waves": {}},
        GRANTS_KEY: {"version": 0, "rows": {}},
        MEMBERS_KEY: {"version": 0, "members": {}, "departed": {}},
    }
    return empty[key]


_TYPES: dict[str, Any] = {
    CONFIGURATION_KEY: Configuration,
    FLEET_KEY: Fleet,
    GRANTS_KEY: Grants,
    MEMBERS_KEY: Members,
}


def encode_document(document: Any) -> bytes:
    """Return the document as JSON with sorted keys, so equal ones have equal bytes."""
    return msgspec.json.encode(document, order="sorted")


def decode_document(key: str, data: bytes) -> Any:
    """Decode the document of a key and validate it against its type.

    Raises
    ------
    DocumentError
        If the data is not JSON or does not match the type of the document.
    """
    try:
        return msgspec.json.decode(data, type=_TYPES[key])
    except DECODING_ERRORS as error:
        raise DocumentError(f"document '{key}' cannot be decoded: {error}") from error
