"""Pure application of a script to the configuration, fleet and members documents."""

from __future__ import annotations

import copy
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from briarshed import commands
from briarshed.budgets import check_stop, count_unavailable
from briarshed.charts import advance, load_chart
from briarshed.commands import (
    Script,
    Statement,
    Target,
    changes_document,
    find_target,
)
from briarshed.documents import (
    Change,
    Configuration,
    Fleet,
    Members,
    encode_document,
)
from briarshed.findings import Finding, suggest_name
from briarshed.keys import NewKey
from briarshed.membership import remove_member

TARGETS: tuple[Target, ...] = ("configuration", "fleet", "members")
MAX_DOCUMENT_BYTES = 900_000
"""The store holds values up to 1 MB; the rest is left to the encoding in base64."""

ACTIVE_WAVE_STATES = ("running", "paused", "halted")
MAX_PORT = 65_535

_SECTIONS: dict[Target, tuple[str, ...]] = {
    "configuration": ("pools", "teams", "queues", "keys"),
    "fleet": ("instances", "waves"),
    "members": ("members",),
}
_MINIMUM = {
    "budget": 0,
    "slots": 1,
    "connections": 1,
    "port": 1,
    "limit": 0,
    "max_jobs": 1,
    "max_bytes": 1,
}
_KINDS = {
    "pools": "pool",
    "teams": "team",
    "queues": "queue",
    "keys": "key",
    "instances": "instance",
    "waves": "wave",
    "members": "member",
}

Row = dict[str, Any]


class Documents(NamedTuple):
    """The documents that a script may read and change."""

    configuration: Configuration
    fleet: Fleet
    members: Members


class Context(NamedTuple):
    """What a change records besides its effect.

    Attributes
    ----------
    change_id : str
        Identifies the change; the same id never takes effect twice.
    who : str
        Name of the operator.
    at : float
        Unix time in seconds.
    keys : sequence of NewKey
        One fresh key for each statement that needs one, in the script's order.
    """

    change_id: str
    who: str
    at: float
    keys: Sequence[NewKey] = ()


class Touch(NamedTuple):
    """An object before and after; None where it does not exist."""

    before: Any
    after: Any


class Outcome(NamedTuple):
    """Result of a script without findings.

    Attributes
    ----------
    documents : Documents
        The documents after the script; untouched ones are equal to those before.
    rows : dict
        Line of each statement to its result row.
    touched : dict
        Document to the objects changed in it, by ``SECTION.NAME``.
    """

    documents: Documents
    rows: dict[int, Row]
    changed_objects: dict[Target, dict[str, Touch]]


class _Work:
    """Copies of the documents that the statements of one script change in turn."""

    def __init__(self, source: str, documents: Documents, context: Context) -> None:
        self.source = source
        self.original = documents
        self.configuration: Any = _copy_sections("configuration", documents[0])
        self.fleet: Any = _copy_sections("fleet", documents[1])
        self.members: Any = _copy_sections("members", documents[2])
        self.context = context
        self.keys = iter(context.keys)
        self.findings: list[Finding] = []

    def get_section(self, name: str) -> dict[str, Any]:
        """Return the objects of one kind."""
        for target, sections in _SECTIONS.items():
            if name in sections:
                return getattr(self, target)[name]
        raise KeyError(name)

    def report(
        self,
        statement: Statement,
        field: str,
        message: str,
        hint: str = "",
        index: int = 0,
    ) -> None:
        """Add a finding at the value of a field."""
        columns = statement.columns.get(field, ())
        column = columns[index] if index < len(columns) else statement.column
        found = Finding(self.source, statement.line, column, message, hint)
        self.findings.append(found)

    def find(
        self,
        statement: Statement,
        section: str,
        name: str,
        field: str = "name",
        index: int = 0,
    ) -> Any:
        """Return an object, or None after a finding that offers the nearest name."""
        objects = self.get_section(section)
        if name not in objects:
            message = f"unknown {_KINDS[section]} '{name}'"
            self.report(statement, field, message, suggest_name(name, objects), index)
        return objects.get(name)

    def check_new(self, statement: Statement, section: str, name: str) -> bool:
        """Return whether a name is free, after a finding if it is not."""
        if name in self.get_section(section):
            kind = _KINDS[section]
            message = f"{kind} '{name}' already exists"
            hint = f"write 'change {kind}'" if section in ("pools", "teams") else ""
            self.report(statement, "name", message, hint)
            return False
        return True

    def check_numbers(self, statement: Statement) -> None:
        """Report numbers that are out of range."""
        for field, value in statement.command._asdict().items():
            least = _MINIMUM.get(field)
            if least is not None and value is not None and value < least:
                message = f"{field.replace('_', '-')} must be at least {least}"
                self.report(statement, field, message)
            if field == "port" and value is not None and value > MAX_PORT:
                self.report(statement, field, f"port must be at most {MAX_PORT}")
            if field == "share" and value is not None and value <= 0:
                self.report(statement, field, "share must be above 0")


def _copy_sections(target: Target, document: Any) -> Any:
    copied = {name: copy.deepcopy(document[name]) for name in _SECTIONS[target]}
    return {**document, **copied}


def apply_script(
    script: Script,
    documents: Documents,
    context: Context,
    targets: Collection[Target] = TARGETS,
) -> Result[Outcome, tuple[Finding, ...]]:
    """Apply the statements of a script in their order.

    Parameters
    ----------
    script : Script
        A parsed script.
    documents : Documents
        The documents before; they are not modified.
    context : Context
        What the audit trail records.
    targets : collection
        Only statements that belong to these documents are applied.

    Returns
    -------
    Result
        The outcome, or all findings; a script with a finding changes nothing.
    """
    work = _Work(script.source, documents, context)
    rows: dict[int, Row] = {}
    chosen = [item for item in script.statements if _is_chosen(item, targets)]
    _check_forgetting(work, script)
    for statement in chosen:
        handler = _HANDLERS[type(statement.command)]
        rows[statement.line] = handler(work, statement, statement.command) or {}
    if work.findings:
        return Failure(tuple(work.findings))
    changed_objects = {target: _list_touched(work, target) for target in TARGETS}
    changed = _record(work, chosen, changed_objects)
    too_large = _find_oversized(script, changed)
    if too_large:
        return Failure((too_large,))
    return Success(Outcome(changed, rows, changed_objects))


def list_dangling_pools(documents: Documents) -> list[str]:
    """Return a warning for each instance whose pool was deleted in a race.

    The pool and the instance stand in two documents, so one swap cannot check both.
    """
    pools = documents.configuration["pools"]
    return [
        f"pool '{pool}' of instance '{name}' was deleted at the same time: create the"
        " pool again, or move or remove the instance"
        for name, instance in documents.fleet["instances"].items()
        for pool in (instance["pool"], instance["target_pool"])
        if pool is not None and pool not in pools
    ]


def list_conflicts(
    target: Target, base: Any, current: Any, changed_objects: Iterable[str]
) -> list[str]:
    """Return the touched objects that somebody else changed since the base.

    Lifecycle states and the progress of waves are left out, since maintenance
    changes them all the time; the commands check them themselves.
    """
    if base["version"] == current["version"] or target == "members":
        return []
    names = [name for name in changed_objects if not name.startswith("members.")]
    return [name for name in names if _pick(base, name) != _pick(current, name)]


def describe_text(statements: Iterable[Statement]) -> str:
    """Return the statements that change something, as the audit trail has them."""
    kept = [item.text for item in statements if changes_document(item.command)]
    return "; ".join(kept)


def select_statements(script: Script, target: Target) -> list[Statement]:
    """Return the statements whose change is recorded in a document."""
    return [item for item in script.statements if _find_recorder(item) == target]


def describe_plan(before: Documents, after: Documents) -> dict[str, Any]:
    """Return what a script would cost: moves, stops, and instances out of service.

    A stop is the drain and reboot of one instance, by a move or by a wave. A wave
    goes as far as the budget allows, so its pool may have that many out at once.
    """
    old, new = before.fleet["instances"], after.fleet["instances"]
    moved = [
        name
        for name, instance in new.items()
        if name in old and instance["target_pool"] != old[name]["target_pool"]
    ]
    pending = [
        name for name in _list_pending(after) - _list_pending(before) if name in new
    ]
    now, at_once = count_unavailable(before.fleet), count_unavailable(after.fleet)
    pools = []
    for name, pool in after.configuration["pools"].items():
        waiting = sum(new[item]["pool"] == name for item in pending)
        stops = waiting + sum(new[item]["pool"] == name for item in moved)
        out = at_once.get(name, 0)
        most = max(out, min(pool["budget"], out + waiting))
        if stops or most != now.get(name, 0):
            row = {"pool": name, "budget": pool["budget"], "stops": stops}
            out_now = {"unavailable": now.get(name, 0), "unavailable_at_most": most}
            pools.append(row | out_now)
    return {"moves": len(moved), "stops": len(moved) + len(pending), "pools": pools}


def _list_pending(documents: Documents) -> set[str]:
    return {
        name
        for wave in documents.fleet["waves"].values()
        if wave["state"] in ACTIVE_WAVE_STATES
        for name in wave["pending"]
    }


def _pick(document: Any, name: str) -> Any:
    section, _, key = name.partition(".")
    found = document[section].get(key)
    if found is None or section not in _SECTIONS["fleet"]:
        return found
    fields = ("pool", "target_pool") if section == "instances" else ("state",)
    return tuple(found[field] for field in fields)


def _is_chosen(statement: Statement, targets: Collection[Target]) -> bool:
    target = find_target(statement.command)
    return target is not None and target in targets


def _check_forgetting(work: _Work, script: Script) -> None:
    # Forgetting works while members block all other changes.
    forgetting = [
        item
        for item in script.statements
        if isinstance(item.command, commands.ForgetMember)
    ]
    if forgetting and len(forgetting) < len(script.statements):
        message = "'forget member' must stand in a script of its own"
        work.report(forgetting[0], "", message)


def _find_recorder(statement: Statement) -> Target | None:
    # The members document keeps no changes; the configuration records those.
    target = find_target(statement.command)
    return "configuration" if target == "members" else target


def _list_touched(work: _Work, target: Target) -> dict[str, Touch]:
    original = getattr(work.original, target)
    changed = getattr(work, target)
    changed_objects = {}
    for section in _SECTIONS[target]:
        before, after = original[section], changed[section]
        for name in {**before, **after}:
            touch = Touch(before.get(name), after.get(name))
            if touch.before != touch.after:
                changed_objects[f"{section}.{name}"] = touch
    return changed_objects


def _record(
    work: _Work,
    statements: Sequence[Statement],
    changed_objects: dict[Target, dict[str, Touch]],
) -> Documents:
    audited = {
        "configuration": {
            **changed_objects["configuration"],
            **changed_objects["members"],
        },
        "fleet": changed_objects["fleet"],
    }
    result: dict[str, Any] = {}
    for target, objects in audited.items():
        original = getattr(work.original, target)
        own = [item for item in statements if _find_recorder(item) == target]
        if not describe_text(own):
            result[target] = original
            continue
        version = original["version"] + 1
        change: Change = {
            "id": work.context.change_id,
            "version": version,
            "at": work.context.at,
            "who": work.context.who,
            "what": describe_text(own),
            "before": {name: _hide(item.before) for name, item in objects.items()},
            "after": {name: _hide(item.after) for name, item in objects.items()},
        }
        changed = getattr(work, target)
        changes = [*original["changes"], change]
        result[target] = {**changed, "version": version, "changes": changes}
    members = work.original.members
    if changed_objects["members"]:
        members = {**work.members, "version": members["version"] + 1}
    return Documents(result["configuration"], result["fleet"], members)


def _hide(value: Any) -> Any:
    # The trail outlives a key, so it does not keep the key's hash.
    if isinstance(value, dict) and "hash" in value:
        return {name: item for name, item in value.items() if name != "hash"}
    return value


def _find_oversized(script: Script, documents: Documents) -> Finding | None:
    for target in ("configuration", "fleet"):
        size = len(encode_document(getattr(documents, target)))
        if size > MAX_DOCUMENT_BYTES:
            line = next(item.line for item in script.statements if _find_recorder(item))
            message = (
                f"the {target} would take {size} bytes in the store, which holds"
                f" {MAX_DOCUMENT_BYTES}"
            )
            return Finding(script.source, line, 1, message, "split the script")
    return None


def _create_pool(work: _Work, statement: Statement, command: Any) -> Row:
    work.check_new(statement, "pools", command.name)
    work.check_numbers(statement)
    if command.spare:
        _check_spare(work, statement, command.name)
    pools = work.configuration["pools"]
    pools[command.name] = _drop_name(command._asdict())
    return {"pool": command.name}


def _change_pool(work: _Work, statement: Statement, command: Any) -> Row:
    work.check_numbers(statement)
    pool = work.find(statement, "pools", command.name)
    if command.spare:
        _check_spare(work, statement, command.name)
    if pool is not None:
        pool.update(_drop_unset(command))
    return {"pool": command.name}


def _delete_pool(work: _Work, statement: Statement, command: Any) -> Row:
    work.find(statement, "pools", command.name)
    used = [
        name
        for name, queue in work.configuration["queues"].items()
        if queue["pool"] == command.name
    ]
    if used:
        message = f"pool '{command.name}' is still used by {_list('queue', used)}"
        work.report(statement, "name", message)
    # The configuration is swapped before the fleet, so instances that the same
    # script removes would stand in a pool that does not exist for a moment.
    inside = [
        name
        for name, instance in work.original.fleet["instances"].items()
        if command.name in (instance["pool"], instance["target_pool"])
    ]
    if inside:
        message = f"pool '{command.name}' still has {_list('instance', inside)}"
        hint = "move or remove them in a script of their own first"
        work.report(statement, "name", message, hint)
    work.configuration["pools"].pop(command.name, None)
    return {"pool": command.name}


def _check_spare(work: _Work, statement: Statement, name: str) -> None:
    for other, pool in work.configuration["pools"].items():
        if pool["spare"] and other != name:
            message = f"pool '{other}' is already the spare pool"
            hint = f"write 'change pool {other} not spare' first"
            work.report(statement, "spare", message, hint)


def _create_team(work: _Work, statement: Statement, command: Any) -> Row:
    work.check_new(statement, "teams", command.name)
    work.check_numbers(statement)
    work.configuration["teams"][command.name] = _drop_name(command._asdict())
    return {"team": command.name}


def _change_team(work: _Work, statement: Statement, command: Any) -> Row:
    work.check_numbers(statement)
    team = work.find(statement, "teams", command.name)
    row = {"team": command.name}
    if team is None:
        return row
    if command.limit is not None and command.limit < team["limit"]:
        row["note"] = (
            "the lower limit is in force when the running jobs above it have ended,"
            " at the latest after the longest task lease"
        )
    team.update(_drop_unset(command))
    return row


def _delete_team(work: _Work, statement: Statement, command: Any) -> Row:
    work.find(statement, "teams", command.name)
    queues = [
        name
        for name, queue in work.configuration["queues"].items()
        if command.name in queue["teams"]
    ]
    if queues:
        message = f"team '{command.name}' is still named by {_list('queue', queues)}"
        work.report(statement, "name", message)
    owned = [
        name
        for name, key in work.configuration["keys"].items()
        if key["team"] == command.name
    ]
    if owned:
        message = f"team '{command.name}' still has {_list('key', owned)}"
        work.report(statement, "name", message, "withdraw them first")
    work.configuration["teams"].pop(command.name, None)
    return {"team": command.name}


def _create_queue(work: _Work, statement: Statement, command: Any) -> Row:
    work.check_new(statement, "queues", command.name)
    work.check_numbers(statement)
    _check_queue(work, statement, command)
    queue = {**_drop_name(command._asdict()), "teams": [*command.teams]}
    _check_open(work, statement, queue)
    work.configuration["queues"][command.name] = queue
    return {"queue": command.name}


def _change_queue(work: _Work, statement: Statement, command: Any) -> Row:
    work.check_numbers(statement)
    _check_queue(work, statement, command)
    queue = work.find(statement, "queues", command.name)
    if queue is not None:
        queue.update(_drop_unset(command))
        queue["teams"] = [*queue["teams"]]
        _check_open(work, statement, queue)
    return {"queue": command.name}


def _check_queue(work: _Work, statement: Statement, command: Any) -> None:
    if command.pool is not None:
        work.find(statement, "pools", command.pool, "pool")
    for index, team in enumerate(command.teams or ()):
        work.find(statement, "teams", team, "teams", index)
        if team in command.teams[:index]:
            message = f"team '{team}' is given more than once"
            work.report(statement, "teams", message, index=index)


def _check_open(work: _Work, statement: Statement, queue: Any) -> None:
    if queue["open"] and queue["teams"]:
        message = "a queue that is open to all takes no teams"
        field = "teams" if "teams" in statement.columns else "open"
        work.report(statement, field, message, "write 'closed' or 'teams all'")


def _delete_queue(work: _Work, statement: Statement, command: Any) -> Row:
    work.find(statement, "queues", command.name)
    work.configuration["queues"].pop(command.name, None)
    return {"queue": command.name}


def _create_key(work: _Work, statement: Statement, command: Any) -> Row:
    work.find(statement, "teams", command.team, "team")
    expires_at = None
    if command.expires is not None:
        expires_at = work.context.at + command.expires
    return _add_key(work, command.team, expires_at)


def _withdraw_key(work: _Work, statement: Statement, command: Any) -> Row:
    key = work.find(statement, "keys", command.name)
    work.configuration["keys"].pop(command.name, None)
    return {"key_id": command.name, "team": key["team"] if key else ""}


def _rotate_key(work: _Work, statement: Statement, command: Any) -> Row:
    key = work.find(statement, "keys", command.name)
    if key is None:
        return {}
    ends_at = work.context.at + command.overlap
    if key["expires_at"] is not None and key["expires_at"] <= work.context.at:
        work.report(statement, "name", f"key '{command.name}' has already expired")
    row = _add_key(work, key["team"], None)
    key["expires_at"] = min(ends_at, key["expires_at"] or ends_at)
    return {**row, "replaces": command.name, "replaced_expires_at": key["expires_at"]}


def _add_key(work: _Work, team: str, expires_at: float | None) -> Row:
    made = next(work.keys)
    key = {"hash": made.hash, "team": team, "expires_at": expires_at}
    work.configuration["keys"][made.key_id] = key
    row = {"key_id": made.key_id, "key": made.text, "team": team}
    return row if expires_at is None else {**row, "expires_at": expires_at}


def _add_instance(work: _Work, statement: Statement, command: Any) -> Row:
    instances = work.fleet["instances"]
    existing = instances.get(command.name)
    if existing is not None and existing["pool"] != command.pool:
        message = f"instance '{command.name}' is already in pool '{existing['pool']}'"
        hint = f"write 'move instance {command.name} to pool {command.pool}'"
        work.report(statement, "name", message, hint)
    elif existing is not None:
        work.check_new(statement, "instances", command.name)
    work.find(statement, "pools", command.pool, "pool")
    _check_address(work, statement, command)
    instances[command.name] = {
        "pool": command.pool,
        "state": load_chart("lifecycle").initial,
        "rack": command.rack,
        "data_centre": command.data_centre,
        "address": command.address,
        "since": work.context.at,
        "target_pool": None,
        "wave": None,
        "operation": None,
    }
    return {"instance": command.name, "pool": command.pool}


def _check_address(work: _Work, statement: Statement, command: Any) -> None:
    host, _, port = command.address.rpartition(":")
    parts = host.split(".") if not host.startswith("[") else []
    if any(int(part) > 255 for part in parts) or not 1 <= int(port) <= MAX_PORT:
        work.report(statement, "address", f"'{command.address}' is not an address")
    for name, instance in work.fleet["instances"].items():
        if instance["address"] == command.address and name != command.name:
            message = f"address {command.address} belongs to instance '{name}'"
            work.report(statement, "address", message)
    for name, instance in work.fleet["instances"].items():
        elsewhere = instance["data_centre"] != command.data_centre
        if instance["rack"] == command.rack and elsewhere:
            message = (
                f"rack '{command.rack}' stands in data centre"
                f" '{instance['data_centre']}', see instance '{name}'"
            )
            work.report(statement, "rack", message)
            break


def _remove_instance(work: _Work, statement: Statement, command: Any) -> Row:
    instance = work.find(statement, "instances", command.name)
    if instance is not None and instance["state"] in ("draining", "rebooting"):
        message = f"instance '{command.name}' is {instance['state']}"
        hint = "wait until the platform's operation on it has ended"
        work.report(statement, "name", message, hint)
    work.fleet["instances"].pop(command.name, None)
    for wave in work.fleet["waves"].values():
        if command.name in wave["pending"]:
            wave["pending"].remove(command.name)
    return {
        "instance": command.name,
        "note": "jobs that still run on it end at the latest after the longest task"
        " lease; it may be switched off then",
    }


def _move_instance(work: _Work, statement: Statement, command: Any) -> Row:
    instance = work.find(statement, "instances", command.name)
    work.find(statement, "pools", command.pool, "pool")
    if instance is None:
        return {}
    name, source = command.name, instance["pool"]
    if source == command.pool:
        work.report(statement, "pool", f"instance '{name}' is already in that pool")
    objection = check_stop(work.configuration, work.fleet, name, command.pool)
    if objection:
        work.report(statement, "name", objection)
        return {}
    instance["state"] = advance(load_chart("lifecycle"), instance["state"], "leave")
    instance["target_pool"] = command.pool
    instance["since"] = work.context.at
    return {"instance": name, "from_pool": source, "to_pool": command.pool}


def _start_wave(work: _Work, statement: Statement, command: Any) -> Row:
    for index, pool in enumerate(command.pools):
        work.find(statement, "pools", pool, "pools", index)
    chosen = [
        name
        for name, instance in work.fleet["instances"].items()
        if instance["pool"] in command.pools
    ]
    return _add_wave(work, statement, command.name, chosen, "pools")


def _take_out_rack(work: _Work, statement: Statement, command: Any) -> Row:
    return _take_out(work, statement, command.name, "rack")


def _take_out_data_centre(work: _Work, statement: Statement, command: Any) -> Row:
    return _take_out(work, statement, command.name, "data_centre")


def _take_out(work: _Work, statement: Statement, name: str, field: str) -> Row:
    instances = work.fleet["instances"]
    chosen = [key for key, item in instances.items() if item[field] == name]
    if not chosen:
        known = {item[field] for item in instances.values()}
        message = f"no instance stands in {field.replace('_', ' ')} '{name}'"
        work.report(statement, "name", message, suggest_name(name, known))
        return {}
    wave = f"{field.replace('_', '-')}-{name}"
    return _add_wave(work, statement, wave, chosen, "name")


def _add_wave(
    work: _Work, statement: Statement, name: str, chosen: list[str], field: str
) -> Row:
    existing = work.fleet["waves"].get(name)
    if existing is not None and existing["state"] in ACTIVE_WAVE_STATES:
        message = f"wave '{name}' is already {existing['state']}"
        work.report(statement, "name", message)
    for other, wave in work.fleet["waves"].items():
        both = sorted(set(chosen) & set(wave["pending"]))
        if other != name and wave["state"] in ACTIVE_WAVE_STATES and both:
            message = f"wave '{other}' already covers {_list('instance', both)}"
            work.report(statement, field, message)
    if not chosen:
        work.report(statement, field, "these pools have no instance")
    instances = work.fleet["instances"]
    ordered = sorted(
        chosen,
        key=lambda item: (
            instances[item]["data_centre"],
            instances[item]["rack"],
            item,
        ),
    )
    wave = {"state": "running", "pending": ordered, "done": [], "reason": ""}
    work.fleet["waves"][name] = wave
    return {"wave": name, "instances": len(ordered)}


def _pause_wave(work: _Work, statement: Statement, command: Any) -> Row:
    return _set_wave(work, statement, ("running",), "paused")


def _resume_wave(work: _Work, statement: Statement, command: Any) -> Row:
    return _set_wave(work, statement, ("paused", "halted"), "running")


def _stop_wave(work: _Work, statement: Statement, command: Any) -> Row:
    return _set_wave(work, statement, ACTIVE_WAVE_STATES, "stopped")


def _set_wave(
    work: _Work, statement: Statement, allowed: tuple[str, ...], state: str
) -> Row:
    name = statement.command.name
    wave = work.find(statement, "waves", name)
    if wave is None:
        return {}
    if wave["state"] not in allowed:
        work.report(statement, "name", f"wave '{name}' is {wave['state']}")
    wave["state"] = state
    if state == "running":
        wave["reason"] = ""
    return {"wave": name, "state": state}


def _forget_member(work: _Work, statement: Statement, command: Any) -> Row:
    member = work.find(statement, "members", command.name)
    if member is None:
        return {}
    work.members = remove_member(work.members, command.name, work.context.at)
    return {"member": command.name, "incarnation": member["incarnation"]}


def _require_version(work: _Work, statement: Statement, command: Any) -> Row:
    version = getattr(work.original, command.document)["version"]
    if version != command.version:
        message = f"the {command.document} is at version {version}"
        work.report(statement, "version", message)
    return {"document": command.document, "version": version}


def _drop_name(values: dict[str, Any]) -> dict[str, Any]:
    return {field: value for field, value in values.items() if field != "name"}


def _drop_unset(command: Any) -> dict[str, Any]:
    values = _drop_name(command._asdict())
    return {field: value for field, value in values.items() if value is not None}


def _list(kind: str, names: Sequence[str], shown: int = 3) -> str:
    plural = kind if len(names) == 1 else f"{kind}s"
    rest = f" and {len(names) - shown} more" if len(names) > shown else ""
    return f"{plural} {', '.join(names[:shown])}{rest}"


_HANDLERS: dict[type, Callable[[_Work, Statement, Any], Row]] = {
    commands.CreatePool: _create_pool,
    commands.ChangePool: _change_pool,
    commands.DeletePool: _delete_pool,
    commands.CreateTeam: _create_team,
    commands.ChangeTeam: _change_team,
    commands.DeleteTeam: _delete_team,
    commands.CreateQueue: _create_queue,
    commands.ChangeQueue: _change_queue,
    commands.DeleteQueue: _delete_queue,
    commands.CreateKey: _create_key,
    commands.WithdrawKey: _withdraw_key,
    commands.RotateKey: _rotate_key,
    commands.AddInstance: _add_instance,
    commands.RemoveInstance: _remove_instance,
    commands.MoveInstance: _move_instance,
    commands.StartWave: _start_wave,
    commands.PauseWave: _pause_wave,
    commands.ResumeWave: _resume_wave,
    commands.StopWave: _stop_wave,
    commands.TakeOutRack: _take_out_rack,
    commands.TakeOutDataCentre: _take_out_data_centre,
    commands.ForgetMember: _forget_member,
    commands.RequireVersion: _require_version,
}
