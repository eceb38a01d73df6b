"""Composition of a fleet, and the commands that configure it."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple


class PoolPlan(NamedTuple):
    """A pool; ``instances`` counts those in all data centres."""

    name: str
    instances: int
    budget: int = 1
    spare: bool = False
    slots: int = 8
    connections: int = 64


class TeamPlan(NamedTuple):
    """A team, its share and its upper limit of running jobs."""

    name: str
    share: float
    limit: int


class QueuePlan(NamedTuple):
    """A queue; an ``open`` one needs no key, and empty ``teams`` allows all teams."""

    name: str
    pool: str
    teams: tuple[str, ...] = ()
    open: bool = False


class Plan(NamedTuple):
    """Composition of a fleet.

    Attributes
    ----------
    entries : int
        Number of entries, named ``entry-1`` and so on, assigned to the data centres
        round-robin.
    links : tuple of str
        Connections that go through links: ``store``, ``platform``, ``peers``,
        ``endpoints`` or ``callers``. Links are named ``CLIENT>TARGET``, such as
        ``entry-1>store``, ``entry-1>entry-2``, ``entry-1>i-3`` or
        ``callers>entry-1``.
    endpoints_per_process : int
        With 1, each endpoint is a process that can be killed separately.
    duration_ms : int
        Duration of tasks whose bodies have no ``ms`` option.
    settings : Mapping
        Sections of the settings file, merged into those that the fleet writes.
    command : tuple of str
        Command of an entry; the path of its settings file is appended.
    configure : bool
        Whether to load pools, teams, queues, keys and instances at the start.
    """

    entries: int = 3
    data_centres: tuple[str, ...] = ("dc1", "dc2")
    pools: tuple[PoolPlan, ...] = (
        PoolPlan("proofs", 4),
        PoolPlan("prints", 2),
        PoolPlan("reserve", 2, spare=True),
    )
    teams: tuple[TeamPlan, ...] = (
        TeamPlan("hotels", 3, 20),
        TeamPlan("schools", 2, 20),
        TeamPlan("ministries", 1, 10),
    )
    queues: tuple[QueuePlan, ...] = (
        QueuePlan("proofing", "proofs", ("hotels", "schools")),
        QueuePlan("printing", "prints"),
        QueuePlan("samples", "proofs", open=True),
    )
    links: tuple[str, ...] = ()
    endpoints_per_process: int = 1
    duration_ms: int = 50
    lag_ms: int = 1_000
    reboot_ms: int = 1_000
    instances_per_rack: int = 2
    settings: Mapping[str, Any] = {}
    command: tuple[str, ...] = (str(Path(sys.executable).with_name("briarshed-entry")),)
    configure: bool = True


def make_configuration_script(plan: Plan) -> str:
    """Return the commands that create pools, teams, queues and keys, one per line."""
    lines = []
    for pool in plan.pools:
        line = f"create pool {pool.name} budget {pool.budget}"
        if pool.spare:
            lines.append(f"{line} spare")
        else:
            lines.append(f"{line} slots {pool.slots} connections {pool.connections}")
    for team in plan.teams:
        lines.append(f"create team {team.name} share {team.share:g} limit {team.limit}")
    for queue in plan.queues:
        line = f"create queue {queue.name} pool {queue.pool}"
        if queue.open:
            line += " open"
        elif queue.teams:
            line += f" teams {', '.join(queue.teams)}"
        lines.append(line)
    lines += [f"create key for team {team.name}" for team in plan.teams]
    return "\n".join(lines) + "\n"
