"""Checks a configuration before it is sent, and compares it with the one in force."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from briarshed.findings import suggest_name
from briarshed_workloads.configuration import Rules
from briarshed_workloads.fleet import is_within
from briarshed_workloads.workloads import NO_RESOURCES, Resources, fits

ERROR, UNREACHABLE, CONTRADICTION = "error", "never matches", "contradiction"
"""Kinds of findings: wrong, without effect, and limits that exclude each other."""

DIGEST_DIGITS = 8
"""Digits of the hash that stands for a key, whose text is never printed."""

Place = tuple[str, int, str]
"""Kind of object (`QUEUES`, `POOLS`, `TEAMS` or `LIMITS`), its index and the field."""

QUEUES, POOLS, TEAMS, LIMITS = "queues", "pools", "teams", "limits"
KEYS = "keys"


class ConfigurationFinding(NamedTuple):
    """A problem in a configuration.

    Attributes
    ----------
    kind : str
        ``error``, ``never matches`` or ``contradiction``.
    place : Place
        Where it is.
    message, hint : str
        The problem, and a suggested correction or an empty text.
    """

    kind: str
    place: Place
    message: str
    hint: str = ""


class Difference(NamedTuple):
    """A difference from the configuration in force.

    Attributes
    ----------
    change : str
        ``added``, ``removed`` or ``changed``.
    kind, name : str
        The object: `QUEUES`, `POOLS`, `TEAMS`, `LIMITS` or `KEYS`, and its name. A key
        is named by its hash and its team.
    fields : tuple
        Name, value in force and new value of each field that differs.
    """

    change: str
    kind: str
    name: str
    fields: tuple[tuple[str, Any, Any], ...] = ()


def check_rules(
    rules: Rules,
    capacities: Mapping[str, Resources] | None = None,
    tasks: Mapping[str, Resources] | None = None,
) -> list[ConfigurationFinding]:
    """Return all findings of a configuration.

    Parameters
    ----------
    rules : Rules
        The configuration.
    capacities : mapping, optional
        Largest endpoint of each pool that has one. Without it, pools are not compared
        with endpoints.
    tasks : mapping, optional
        The largest task of a queue, by its name. A configuration does not tell it.
    """
    findings: list[ConfigurationFinding] = []
    checks: tuple[Callable[[Rules], Iterable[ConfigurationFinding]], ...] = (
        _check_names,
        _check_pools_of_queues,
        _check_matches,
        _check_access,
        _check_numbers,
        _check_limits,
    )
    for check in checks:
        findings += check(rules)
    if capacities is not None:
        findings += _check_endpoints(rules, capacities)
    findings += _check_tasks(rules, tasks or {}, capacities or {})
    return findings


def _check_names(rules: Rules) -> Iterable[ConfigurationFinding]:
    for kind, rows in _list_objects(rules):
        seen: dict[str, int] = {}
        for index, row in enumerate(rows):
            if row.name in seen:
                yield ConfigurationFinding(
                    ERROR,
                    (kind, index, "name"),
                    f"the name {row.name!r} is used by entry {seen[row.name]} too",
                )
            seen.setdefault(row.name, index)
    owners: dict[str, int] = {}
    for key, team in rules.keys:
        if owners.setdefault(key, team) != team:
            yield ConfigurationFinding(
                ERROR,
                (TEAMS, team, "keys"),
                f"the key {_hash_key(key)} belongs to"
                f" {rules.teams[owners[key]].name!r} too",
            )


def _check_pools_of_queues(rules: Rules) -> Iterable[ConfigurationFinding]:
    pools = {row.name: row for row in rules.pools}
    for index, queue in enumerate(rules.queues):
        place = (QUEUES, index, "pool")
        if queue.pool not in pools:
            hint = suggest_name(queue.pool, pools)
            message = f"there is no pool {queue.pool!r}"
            yield ConfigurationFinding(ERROR, place, message, hint)
        elif pools[queue.pool].standby:
            message = f"pool {queue.pool!r} is on standby: its instances are off"
            yield ConfigurationFinding(CONTRADICTION, place, message)


def _check_matches(rules: Rules) -> Iterable[ConfigurationFinding]:
    seen: dict[tuple[str, str], int] = {}
    for index, queue in enumerate(rules.queues):
        place = (QUEUES, index, "prefix")
        if queue.prefix and not queue.prefix.startswith("/"):
            message = f"no path begins with {queue.prefix!r}"
            yield ConfigurationFinding(UNREACHABLE, place, message, "begin with '/'")
        first = seen.setdefault((queue.host, queue.prefix), index)
        if first != index:
            message = (
                f"queue {rules.queues[first].name!r} has the same host and prefix,"
                " and gets all requests"
            )
            yield ConfigurationFinding(UNREACHABLE, place, message)
        if not queue.host or ":" in queue.host:
            message = f"no request has the host {queue.host!r}"
            yield ConfigurationFinding(UNREACHABLE, (QUEUES, index, "host"), message)


def _check_access(rules: Rules) -> Iterable[ConfigurationFinding]:
    with_keys = {row.team for row in rules.keys}
    for index, team in enumerate(rules.teams):
        if index not in with_keys:
            message = f"team {team.name!r} has no key, so that it can submit nothing"
            yield ConfigurationFinding(UNREACHABLE, (TEAMS, index, "keys"), message)
    if not with_keys:
        for index, queue in enumerate(rules.queues):
            if not queue.is_open:
                message = f"no key can submit to queue {queue.name!r}"
                yield ConfigurationFinding(
                    UNREACHABLE, (QUEUES, index, "is_open"), message
                )
    used = {queue.pool for queue in rules.queues}
    for index, pool in enumerate(rules.pools):
        if pool.name not in used and not pool.standby:
            message = f"no queue uses pool {pool.name!r}"
            yield ConfigurationFinding(UNREACHABLE, (POOLS, index, "name"), message)


def _check_numbers(rules: Rules) -> Iterable[ConfigurationFinding]:
    for index, queue in enumerate(rules.queues):
        values = {
            "timeout": (queue.timeout, queue.timeout > 0),
            "max_attempts": (queue.max_attempts, queue.max_attempts >= 1),
            "stretch": (queue.stretch, queue.stretch >= 1),
            "objective": (queue.objective, queue.objective >= 0),
            "priority": (queue.priority, queue.priority >= 0),
        }
        for field, (value, is_valid) in values.items():
            if not is_valid:
                message = f"{value:g} is too small for queue {queue.name!r}"
                yield ConfigurationFinding(ERROR, (QUEUES, index, field), message)
    for index, team in enumerate(rules.teams):
        if team.weight <= 0:
            message = f"weight {team.weight:g} of team {team.name!r} is not above 0"
            yield ConfigurationFinding(ERROR, (TEAMS, index, "weight"), message)
    for field, value in rules.limits._asdict().items():
        if value <= 0:
            message = f"{value:g} is not above 0"
            yield ConfigurationFinding(ERROR, (LIMITS, 0, field), message)


def _check_limits(rules: Rules) -> Iterable[ConfigurationFinding]:
    for index, queue in enumerate(rules.queues):
        if 0 < queue.timeout < queue.objective:
            message = (
                f"requests to queue {queue.name!r} time out after {queue.timeout:g} s,"
                f" before the objective of {queue.objective:g} s"
            )
            yield ConfigurationFinding(
                CONTRADICTION, (QUEUES, index, "timeout"), message
            )
    limits = rules.limits
    if 0 < limits.idle_timeout < limits.header_timeout:
        message = (
            f"idle connections are closed after {limits.idle_timeout:g} s, before the"
            f" {limits.header_timeout:g} s that a head may take"
        )
        yield ConfigurationFinding(CONTRADICTION, (LIMITS, 0, "idle_timeout"), message)


def _check_endpoints(
    rules: Rules, capacities: Mapping[str, Resources]
) -> Iterable[ConfigurationFinding]:
    for index, pool in enumerate(rules.pools):
        if pool.name not in capacities and not pool.standby:
            message = f"pool {pool.name!r} has no endpoint"
            yield ConfigurationFinding(UNREACHABLE, (POOLS, index, "name"), message)


def _check_tasks(
    rules: Rules,
    tasks: Mapping[str, Resources],
    capacities: Mapping[str, Resources],
) -> Iterable[ConfigurationFinding]:
    for index, queue in enumerate(rules.queues):
        need = tasks.get(queue.name, NO_RESOURCES)
        largest = capacities.get(queue.pool)
        if largest is not None and not fits(need, largest):
            message = (
                f"no endpoint of pool {queue.pool!r} can run a task of {queue.name!r}"
            )
            yield ConfigurationFinding(UNREACHABLE, (QUEUES, index, "pool"), message)
    names = {queue.name for queue in rules.queues}
    for name in tasks.keys() - names:
        message = f"there is no queue {name!r}, whose largest task is given"
        hint = suggest_name(name, names)
        yield ConfigurationFinding(ERROR, (QUEUES, -1, "name"), message, hint)
    for index, team in enumerate(rules.teams):
        for queue_name, need in tasks.items():
            if not is_within(NO_RESOURCES, need, team.maximum):
                message = (
                    f"the limit of team {team.name!r} is below one task of queue"
                    f" {queue_name!r}"
                )
                place = (TEAMS, index, "maximum")
                yield ConfigurationFinding(CONTRADICTION, place, message)


def list_differences(rules: Rules, in_force: Rules) -> list[Difference]:
    """Return what a configuration changes, in the order of its objects."""
    found: list[Difference] = []
    for (kind, new), (_, old) in zip(
        _list_objects(rules), _list_objects(in_force), strict=True
    ):
        found += _compare(kind, new, old)
    new_keys, old_keys = _name_keys(rules), _name_keys(in_force)
    found += [
        Difference("added", KEYS, f"{_hash_key(key)} of team {new_keys[key]}")
        for key in new_keys
        if old_keys.get(key) != new_keys[key]
    ]
    found += [
        Difference("removed", KEYS, f"{_hash_key(key)} of team {old_keys[key]}")
        for key in old_keys
        if new_keys.get(key) != old_keys[key]
    ]
    fields = _list_changes(rules.limits, in_force.limits)
    if fields:
        found.append(Difference("changed", LIMITS, "", fields))
    return found


def _compare(
    kind: str, new: Collection[Any], old: Collection[Any]
) -> Iterable[Difference]:
    before = {row.name: row for row in old}
    after = {row.name: row for row in new}
    for name, row in after.items():
        if name not in before:
            yield Difference("added", kind, name)
        elif row != before[name]:
            yield Difference("changed", kind, name, _list_changes(row, before[name]))
    for name in before:
        if name not in after:
            yield Difference("removed", kind, name)


def _list_changes(after: Any, before: Any) -> tuple[tuple[str, Any, Any], ...]:
    return tuple(
        (field, old, new)
        for field, new, old in zip(after._fields, after, before, strict=True)
        if new != old
    )


def _list_objects(rules: Rules) -> list[tuple[str, Sequence[Any]]]:
    return [(QUEUES, rules.queues), (POOLS, rules.pools), (TEAMS, rules.teams)]


def _name_keys(rules: Rules) -> dict[str, str]:
    return {row.key: rules.teams[row.team].name for row in rules.keys}


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()[:DIGEST_DIGITS]
