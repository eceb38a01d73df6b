"""Evaluation of operators' queries over rows."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from briarshed.budgets import count_serving
from briarshed.commands import Condition, Script, Show, Statement
from briarshed.documents import Change, Configuration, Fleet, Members
from briarshed.evacuations import is_evacuated
from briarshed.findings import Finding, suggest_name
from briarshed.measures import Usage, find_entitlements, measure_buffer_cost

Row = dict[str, Any]

DISTRIBUTED_SUBJECTS = ("jobs",)
"""Subjects of which each entry has only its own rows."""

MAX_ROWS_PER_ENTRY = 500
"""Keeps a response well below 1 MB, the maximum size of a frame between entries."""

COLUMNS: dict[str, tuple[str, ...]] = {
    "jobs": (
        "job_id",
        "team",
        "queue",
        "pool",
        "state",
        "instance",
        "rack",
        "data_centre",
        "urgent",
        "attempts",
        "age_s",
        "entry",
    ),
    "instances": (
        "instance",
        "pool",
        "state",
        "rack",
        "data_centre",
        "address",
        "since",
        "target_pool",
        "wave",
    ),
    "teams": ("team", "share", "limit", "running", "keys"),
    "pools": (
        "pool",
        "budget",
        "instances",
        "serving",
        "unavailable",
        "slots",
        "connections",
        "port",
        "spare",
    ),
    "queues": ("queue", "pool", "open", "teams", "max_jobs", "max_bytes"),
    "keys": ("key_id", "team", "expires_at"),
    "waves": ("wave", "state", "pending", "stopped", "done", "reason"),
    "data-centres": (
        "data_centre",
        "instances",
        "serving",
        "evacuated_since",
        "evacuated_by",
    ),
    "members": ("member", "incarnation", "data_centre", "address", "operators"),
    "measures": ("measure", "subject", "value", "unit"),
    "changes": (
        "at",
        "who",
        "document",
        "version",
        "what",
        "id",
        "before",
        "after",
    ),
}
_HIDDEN_BY_DEFAULT = {"changes": ("id", "before", "after")}
_OMITTED = "omitted"


class Table(NamedTuple):
    """Result of a query; ``omitted`` is the number of rows that were cut off."""

    columns: tuple[str, ...]
    rows: list[Row]
    omitted: int = 0


def check_queries(script: Script) -> list[Finding]:
    """Return findings about unknown columns and conflicting clauses of queries."""
    findings = []
    for statement in script.statements:
        if isinstance(statement.command, Show):
            findings += _check_query(script.source, statement, statement.command)
    return findings


def _check_query(source: str, statement: Statement, show: Show) -> list[Finding]:
    known = COLUMNS[show.subject]
    named = {
        "columns": show.columns,
        "where": [condition.field for condition in show.where],
        "group": show.group,
    }
    findings = []

    def report(field: str, index: int, message: str, hint: str = "") -> None:
        column = statement.columns[field][index]
        findings.append(Finding(source, statement.line, column, message, hint))

    for field, names in named.items():
        for index, name in enumerate(names):
            if name not in known:
                message = f"{show.subject} have no column '{name}'"
                report(field, index, message, suggest_name(name, known))
    if show.columns and show.group:
        report("columns", 0, "'columns' and 'group by' exclude each other")
    if show.since is not None and show.subject != "changes":
        report("since", 0, "only 'show changes' takes 'since'")
    if show.by is not None and show.subject != "changes":
        report("by", 0, "only 'show changes' takes 'by'")
    return findings


def encode_query(show: Show) -> dict[str, Any]:
    """Return a query in the form that is sent to other entries."""
    return {
        "subject": show.subject,
        "where": [list(condition) for condition in show.where],
        "group": list(show.group),
    }


def decode_query(query: Mapping[str, Any]) -> Show:
    """Return the query that another entry sent."""
    conditions = tuple(Condition(*item) for item in query["where"])
    return Show(query["subject"], where=conditions, group=tuple(query["group"]))


def evaluate_part(show: Show, rows: Iterable[Row]) -> list[Row]:
    """Return one entry's part of a result: filtered, grouped and limited."""
    part = _group(show, _filter(show, rows))
    omitted = len(part) - MAX_ROWS_PER_ENTRY
    if omitted > 0:
        return [*part[:MAX_ROWS_PER_ENTRY], {_OMITTED: omitted}]
    return part


def merge_parts(show: Show, parts: Iterable[Sequence[Row]]) -> Table:
    """Return the result of a query from the parts of several entries."""
    rows = [row for part in parts for row in part]
    omitted = sum(row[_OMITTED] for row in rows if set(row) == {_OMITTED})
    kept = [row for row in rows if set(row) != {_OMITTED}]
    return _arrange(show, _sum_groups(show, kept) if show.group else kept, omitted)


def evaluate_query(show: Show, rows: Iterable[Row], at: float) -> Table:
    """Return the result of a query over all rows; ``at`` is Unix time in seconds."""
    chosen = _filter(show, rows)
    if show.since is not None:
        chosen = [row for row in chosen if row["at"] >= at - show.since]
    if show.by is not None:
        chosen = [row for row in chosen if row["who"] == show.by]
    return _arrange(show, _group(show, chosen), 0)


def _filter(show: Show, rows: Iterable[Row]) -> list[Row]:
    return [row for row in rows if all(_matches(item, row) for item in show.where)]


def _matches(condition: Condition, row: Row) -> bool:
    value = row.get(condition.field)
    wanted = condition.value
    if condition.operator in "<>":
        ordered = _compare(value, wanted)
        return ordered is not None and (ordered < 0) == (condition.operator == "<")
    equal = wanted in value if isinstance(value, list) else _equals(value, wanted)
    return equal == (condition.operator == "=")


def _equals(value: Any, wanted: str) -> bool:
    if isinstance(value, int | float) and not isinstance(value, bool):
        number = _read_number(wanted)
        return number is not None and number == value
    return format_value(value) == wanted


def _compare(value: Any, wanted: str) -> int | None:
    """Return the sign of value minus wanted; None if equal or not comparable."""
    if isinstance(value, int | float) and not isinstance(value, bool):
        number = _read_number(wanted)
        if number is None or number == value:
            return None
        return -1 if value < number else 1
    text = format_value(value)
    if text == wanted:
        return None
    return -1 if text < wanted else 1


def _read_number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def format_value(value: Any) -> str:
    """Return a value as text for conditions and tables."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ", ".join(format_value(item) for item in value)
    return str(value)


def _group(show: Show, rows: list[Row]) -> list[Row]:
    if not show.group:
        return rows
    counted = [{**_pick(row, show.group), "count": 1} for row in rows]
    return _sum_groups(show, counted)


def _sum_groups(show: Show, rows: Iterable[Row]) -> list[Row]:
    totals: dict[tuple[str, ...], Row] = {}
    for row in rows:
        key = tuple(format_value(row.get(field)) for field in show.group)
        if key in totals:
            totals[key]["count"] += row["count"]
        else:
            totals[key] = dict(row)
    return [totals[key] for key in sorted(totals)]


def _arrange(show: Show, rows: list[Row], omitted: int) -> Table:
    if show.group:
        return Table((*show.group, "count"), rows, omitted)
    hidden = _HIDDEN_BY_DEFAULT.get(show.subject, ())
    shown = [name for name in COLUMNS[show.subject] if name not in hidden]
    columns = show.columns or tuple(shown)
    return Table(columns, [_pick(row, columns) for row in rows], omitted)


def _pick(row: Row, columns: Iterable[str]) -> Row:
    return {name: row.get(name) for name in columns}


def list_jobs(
    configuration: Configuration, fleet: Fleet, entry: str, jobs: Iterable[Row]
) -> list[Row]:
    """Return a row for each job of an entry, with the instance that runs the job.

    Parameters
    ----------
    jobs : iterable of dict
        Rows with ``job_id``, ``queue``, ``team``, ``state``, ``urgent``,
        ``endpoint`` (an address or None), ``attempts`` and ``age`` in seconds.
    """
    instances = {
        instance["address"]: (name, instance)
        for name, instance in fleet["instances"].items()
    }
    rows = []
    for job in jobs:
        queue = configuration["queues"].get(job["queue"], {"pool": None})
        name, instance = instances.get(job["endpoint"], (None, {}))
        location = {
            "instance": name,
            "rack": instance.get("rack"),
            "data_centre": instance.get("data_centre"),
        }
        row = {**job, **location, "pool": queue["pool"], "entry": entry}
        rows.append({**row, "age_s": round(job["age"], 1)})
    return rows


def list_pools(configuration: Configuration, fleet: Fleet) -> list[Row]:
    """Return a row for each pool, with counts of its instances."""
    rows = []
    for name, pool in sorted(configuration["pools"].items()):
        instances = [
            instance
            for instance in fleet["instances"].values()
            if instance["pool"] == name and instance["state"] != "gone"
        ]
        counts = {
            "instances": len(instances),
            "serving": sum(row["state"] == "serving" for row in instances),
            "unavailable": sum(
                row["state"] != "serving" or is_evacuated(fleet, row)
                for row in instances
            ),
        }
        rows.append({"pool": name, **pool, **counts})
    return rows


def list_teams(
    configuration: Configuration, count_running: Callable[[str], int]
) -> list[Row]:
    """Return a row for each team."""
    owners = [key["team"] for key in configuration["keys"].values()]
    return [
        {
            "team": name,
            **team,
            "running": count_running(name),
            "keys": owners.count(name),
        }
        for name, team in sorted(configuration["teams"].items())
    ]


def list_queues(configuration: Configuration) -> list[Row]:
    """Return a row for each queue."""
    queues = configuration["queues"].items()
    return [{"queue": name, **queue} for name, queue in sorted(queues)]


def list_keys(configuration: Configuration) -> list[Row]:
    """Return a row for each key, without its hash."""
    return [
        {"key_id": name, "team": key["team"], "expires_at": key["expires_at"]}
        for name, key in sorted(configuration["keys"].items())
    ]


def list_instances(fleet: Fleet) -> list[Row]:
    """Return a row for each instance."""
    instances = fleet["instances"].items()
    return [{"instance": name, **instance} for name, instance in sorted(instances)]


def list_waves(fleet: Fleet) -> list[Row]:
    """Return a row for each wave, with counts of its instances."""
    in_wave = [
        instance["wave"]
        for instance in fleet["instances"].values()
        if instance["state"] != "serving"
    ]
    return [
        {
            "wave": name,
            "state": wave["state"],
            "pending": len(wave["pending"]),
            "stopped": in_wave.count(name),
            "done": len(wave["done"]),
            "reason": wave["reason"],
        }
        for name, wave in sorted(fleet["waves"].items())
    ]


def list_members(members: Members) -> list[Row]:
    """Return a row for each registered member."""
    registered = members["members"].items()
    return [{"member": name, **member} for name, member in sorted(registered)]


def list_measures(
    configuration: Configuration, fleet: Fleet, jobs: Iterable[Row]
) -> list[Row]:
    """Return the current idle instances by pool and use of shares by team.

    Parameters
    ----------
    jobs : iterable of dict
        Rows of all entries with ``pool``, ``team``, ``state`` and ``count``.
    """
    wanted: dict[str, dict[str, float]] = {}
    running: dict[str, float] = {}
    for job in jobs:
        team, pool, count = job["team"], job["pool"], job["count"]
        by_team = wanted.setdefault(pool, {})
        by_team[team] = by_team.get(team, 0.0) + count
        if job["state"] == "running":
            running[team] = running.get(team, 0.0) + count
    shares = {name: team["share"] for name, team in configuration["teams"].items()}
    entitled = dict.fromkeys(shares, 0.0)
    serving = count_serving(fleet)
    rows = []
    for name, pool in sorted(configuration["pools"].items()):
        demand = wanted.get(name, {})
        needed = sum(demand.values()) / pool["slots"]
        usage = Usage(1.0, serving.get(name, 0), needed)
        idle = measure_buffer_cost([usage]) if needed else None
        rows.append(_make_measure("buffer", name, idle, "idle per needed instance"))
        slots = serving.get(name, 0) * pool["slots"]
        for team, part in find_entitlements(shares, demand, slots).items():
            entitled[team] += part
    for team, slots in sorted(entitled.items()):
        utilization = running.get(team, 0.0) / slots if slots else None
        rows.append(
            _make_measure("share", team, utilization, "running per entitled slot")
        )
    return rows


def list_history(fleet: Fleet, changes: Iterable[Change], at: float) -> list[Row]:
    """Return the number of moves in the fleet's changes and the duration of each wave.

    Parameters
    ----------
    changes : iterable of Change
        Changes of the fleet in the last 24 hours.
    at : float
        Unix time in seconds, used as the end of a wave that is not done yet.
    """
    moves = 0
    started: dict[str, float] = {}
    for change in sorted(changes, key=lambda item: item["version"]):
        moves += _count_moves(change)
        for wave in _list_started(change):
            started[wave] = change["at"]
    rows = [_make_measure("moves", "last 24 h", moves, "instances")]
    for name, wave in sorted(fleet["waves"].items()):
        if name in started:
            times = [
                fleet["instances"][item]["since"]
                for item in wave["done"]
                if item in fleet["instances"]
            ]
            end = max(times, default=at) if wave["state"] == "done" else at
            unit = "s" if wave["state"] == "done" else f"s so far, {wave['state']}"
            rows.append(_make_measure("roll-out", name, end - started[name], unit))
    return rows


def _list_started(change: Change) -> list[str]:
    """Return the waves that were started by an operator's change."""
    started = []
    for name, after in (change["after"] or {}).items():
        section, _, wave = name.partition(".")
        # Changes of the planner contain lists under the names of instances.
        if section != "waves" or not isinstance(after, dict):
            continue
        before = change["before"][name]
        is_started = before is None or before["state"] in ("done", "stopped")
        if is_started and after["state"] == "running":
            started.append(wave)
    return started


def _count_moves(change: Change) -> int:
    """Return how many instances changed their pool.

    The planner records an instance as a list of its pool and state under its name.
    """
    before = change["before"] or {}
    return sum(
        isinstance(after, list)
        and isinstance(before.get(name), list)
        and after[0] != before[name][0]
        for name, after in (change["after"] or {}).items()
    )


def _make_measure(measure: str, subject: str, value: float | None, unit: str) -> Row:
    shown = None if value is None else round(value, 3)
    return {"measure": measure, "subject": subject, "value": shown, "unit": unit}


def list_changes(changes: Mapping[str, Iterable[Change]]) -> list[Row]:
    """Return a row for each change, newest first.

    Parameters
    ----------
    changes : mapping
        Changes by name of the document.
    """
    rows = [
        {"document": document, **change}
        for document, items in changes.items()
        for change in items
    ]
    return sorted(rows, key=lambda row: (row["at"], row["version"]), reverse=True)
