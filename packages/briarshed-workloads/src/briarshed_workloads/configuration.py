"""The operator's decoded configuration, and look-ups in it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from briarshed_workloads.workloads import NO_RESOURCES, Resources


class QueueRules(NamedTuple):
    """A queue: the requests that it takes and how its jobs are run.

    Attributes
    ----------
    name, host, prefix : str
        A request goes to the queue on its host with the longest matching path prefix.
    pool : str
        Pool whose endpoints run its tasks.
    priority : int
        Lower values are served first; 0 is the highest priority.
    max_attempts : int
        Failed runs after which a task has failed.
    stretch : float
        Factor on the job's critical path in its objective for the completion time.
    objective : float
        Seconds added to that product.
    timeout : float
        Longest time in seconds that a request may take.
    is_open : bool
        Whether callers need no API key.
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
    """A pool of endpoints.

    With ``rejects_overload`` its endpoints refuse runs that exceed their capacity.

    The instances of a ``standby`` pool are switched off and cost nothing.
    """

    name: str
    rejects_overload: bool
    standby: bool


class TeamRules(NamedTuple):
    """A team; a resource that is 0 in ``maximum`` is not limited."""

    name: str
    weight: float
    maximum: Resources


class RequestLimits(NamedTuple):
    """Limits on callers' requests, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class KeyRules(NamedTuple):
    """An API key, and the index of the team that it belongs to."""

    key: str
    team: int


class Rules(NamedTuple):
    """The objects of a configuration in the order in which they are written.

    Attributes
    ----------
    version : int
        Number of the configuration.
    queues, pools, teams : sequence
        Rules; names may be repeated.
    keys : sequence of KeyRules
        API keys of the teams.
    limits : RequestLimits
        Limits on callers' requests.
    """

    version: int
    queues: Sequence[QueueRules]
    pools: Sequence[PoolRules]
    teams: Sequence[TeamRules]
    keys: Sequence[KeyRules]
    limits: RequestLimits


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
    """Return the queues of each host, sorted by descending length of the prefix."""
    hosts: dict[str, list[QueueRules]] = {}
    for queue in queues.values():
        hosts.setdefault(queue.host, []).append(queue)
    return {
        host: tuple(sorted(rows, key=lambda row: -len(row.prefix)))
        for host, rows in hosts.items()
    }


def find_queue(configuration: Configuration, host: str, path: str) -> QueueRules | None:
    """Return the queue that matches the host and path of a request, or None."""
    rows = configuration.queues_by_host.get(host.partition(":")[0].lower(), ())
    return next((row for row in rows if path.startswith(row.prefix)), None)


def find_weight(configuration: Configuration, team: str) -> float:
    """Return the weight of a team in jobs per second."""
    return configuration.teams.get(team, UNLIMITED_TEAM).weight
