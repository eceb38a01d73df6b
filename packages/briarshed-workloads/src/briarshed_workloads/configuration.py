"""The operator's configuration in the product's terms, and look-ups in it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from briarshed_workloads.workloads import NO_RESOURCES, Resources


class QueueRules(NamedTuple):
    """A queue: where callers reach it and how its jobs are run.

    Attributes
    ----------
    name, host, prefix : str
        The longest prefix of a path on the host selects the queue.
    pool : str
        Endpoints that run its tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs after which a task is given up.
    stretch : float
        The objective is this many times the longest chain of work.
    objective : float
        Seconds added to the objective.
    timeout : float
        Longest time in seconds for which a request is held.
    is_open : bool
        No key is needed.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    objective: float
    timeout: float
    is_open: bool


class PoolRules(NamedTuple):
    """A pool; ``guards_room``: its endpoints refuse what does not fit.

    The instances of a ``standby`` pool are switched off and cost nothing.
    """

    name: str
    rejects_overload: bool
    standby: bool


class TeamRules(NamedTuple):
    """A team; a part of ``maximum`` that is 0 is not limited."""

    name: str
    weight: float
    maximum: Resources


class RequestLimits(NamedTuple):
    """Limits on callers' requests; bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    ``teams_by_key`` maps an API key to the name of its team.
    """

    version: int
    queues: Mapping[str, QueueRules]
    pools: Mapping[str, PoolRules]
    teams: Mapping[str, TeamRules]
    teams_by_key: Mapping[str, str]
    limits: RequestLimits
    queues_by_host: Mapping[str, tuple[QueueRules, ...]]


UNLIMITED_TEAM = TeamRules("", 1.0, NO_RESOURCES)


def index_queues(
    queues: Mapping[str, QueueRules],
) -> dict[str, tuple[QueueRules, ...]]:
    """Return the queues of each host, those with the longest prefix first."""
    hosts: dict[str, list[QueueRules]] = {}
    for queue in queues.values():
        hosts.setdefault(queue.host, []).append(queue)
    return {
        host: tuple(sorted(rows, key=lambda row: -len(row.prefix)))
        for host, rows in hosts.items()
    }


def find_queue(configuration: Configuration, host: str, path: str) -> QueueRules | None:
    """Return the queue that a request addresses, or None."""
    rows = configuration.queues_by_host.get(host.partition(":")[0].lower(), ())
    return next((row for row in rows if path.startswith(row.prefix)), None)
